"""Handles the requests of callers on the leader: submit, read and cancel jobs.

The queue and the caller of a request are decided at its place in the log. What
was decided by the state before the commit would be wrong when a configuration
is committed between the two.
"""

import msgpack

from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import events
from tarragoncleat.batch.leader import admission
from tarragoncleat.batch.leader import job_routing
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import customer_usage
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.cluster import log_node
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module

__all__ = ["JobService"]

_COMMIT_TIMEOUT_S = 2.5
_MS_PER_S = 1000
# Each further attempt needs a configuration that moved the path or the caller's
# key meanwhile.
_MAX_ROUTINGS = 4
# Decisions of commands behind such a configuration.
_OVERTAKEN = frozenset(
    {commands.JobDecision.NO_QUEUE, commands.JobDecision.UNAUTHORIZED}
)


class JobService:
    """Answers callers by the state at the places of their requests in the log.

    Requests that arrive later are decided by the same or a newer configuration.
    """

    def __init__(
        self,
        node: log_node.LogNode,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        control: admission.AdmissionControl | None = None,
        max_stored_tasks: int = bounds_module.Bounds().max_stored_tasks,
    ) -> None:
        """Creates the service of a node that leads.

        Args:
            node: The replicated log.
            state: The replicated state.
            timer: Clock.
            control: Refuses submissions under overload; None to store all.
            max_stored_tasks: Limit for the tasks of all jobs.
        """
        self._room = admission.StorageRoom(state, max_stored_tasks)
        self._node = node
        self._router = job_routing.JobRouter(node, state)
        self._state = state
        self._timer = timer
        self._control = control

    async def submit(
        self, request: messages.SubmitRequest
    ) -> messages.Done | errors.Failure:
        """Stores a job, unless it is stored already."""
        arrived_s = self._timer.monotonic_s()
        for _ in range(_MAX_ROUTINGS):
            target = await self._router.locate(request)
            if isinstance(target, errors.Failure):
                return target
            if target.queue is None or target.caller is None:
                return self._refuse_submission(request, target, arrived_s)
            refusal = await self._check_admission(request, target)
            if refusal is not None:
                return refusal
            decision = await self._store(request, target)
            if isinstance(decision, errors.Failure):
                return decision
            if decision is commands.JobDecision.ID_TAKEN:
                return self._refuse_id(request, target, arrived_s)
            if decision is commands.JobDecision.OVER_CAP:
                return customer_usage.over_cap_failure(
                    request, target.queue, self._state.customers
                )
            if decision not in _OVERTAKEN:
                self._log_accepted(request, target, decision, arrived_s)
                return messages.Done()
        return _unstable_route()

    async def _check_admission(
        self, request: messages.SubmitRequest, target: job_routing.Target
    ) -> errors.Failure | None:
        """Returns the refusal of a job that certainly isn't stored, or None."""
        queue = target.queue
        if queue is None or target.job is not None:
            return None
        job_id = job_routing.job_id_of(queue, request.path)
        if self._find_refusal(job_id, request.definition, queue) is None:
            return None
        latest = await self._router.read(request)
        if isinstance(latest, errors.Failure):
            return latest
        if latest.job is not None or not latest.has_queue(queue):
            return None
        if latest.caller is None:
            return None
        # Another attempt may have reached the log meanwhile.
        failure = self._find_refusal(job_id, request.definition, queue)
        if failure is not None and self._control is not None:
            self._control.record_refusal(job_id, queue, failure)
        return failure

    def _find_refusal(
        self,
        job_id: str,
        definition: model.JobDefinition,
        queue: model.QueuePolicy,
    ) -> errors.Failure | None:
        failure = self._room.refusal(definition)
        if failure is None and self._control is not None:
            failure = self._control.refusal(job_id, definition, queue)
        return failure

    async def read(
        self, request: messages.ReadRequest
    ) -> messages.QueueReply | messages.JobReply | errors.Failure:
        """Returns the state of a job, or the length of a queue."""
        arrived_s = self._timer.monotonic_s()
        reply = await self._node.read(lambda: self._evaluate_read(request))
        if isinstance(reply, errors.Failure):
            return reply
        target, answer = reply
        if target.caller is None:
            return self._refuse(request, target, arrived_s)
        if isinstance(answer, messages.QueueReply):
            self._log_queue(request, target, arrived_s)
        return answer

    async def cancel(
        self, request: messages.CancelRequest
    ) -> messages.Done | messages.JobReply | errors.Failure:
        """Cancels a job; replies without a state if it is not known."""
        arrived_s = self._timer.monotonic_s()
        for _ in range(_MAX_ROUTINGS):
            target = await self._router.locate(request)
            if isinstance(target, errors.Failure):
                return target
            if target.queue is None or target.caller is None:
                return self._refuse(request, target, arrived_s)
            job_id = job_routing.job_id_of(target.queue, request.path)
            if target.is_other_queues_job:
                # The command would find the job by its id alone.
                decision = await self._decide_unknown_job(request, target)
            else:
                decision = await self._commit(
                    self._cancel_command(request, job_id)
                )
            if isinstance(decision, errors.Failure):
                return decision
            if decision is commands.JobDecision.STORED:
                self._log_cancelled(job_id, True, arrived_s)
                return messages.Done()
            if decision in _OVERTAKEN:
                continue
            # A job that is not known has no queue that the state could check.
            found = self._router.find(request)
            if found.has_queue(target.queue) and found.caller is not None:
                self._log_cancelled(job_id, False, arrived_s)
                return messages.JobReply(None)
        return _unstable_route()

    async def _decide_unknown_job(
        self, request: messages.CancelRequest, target: job_routing.Target
    ) -> commands.JobDecision | errors.Failure:
        """Decides on a path that leads to no job by the latest state."""
        latest = await self._router.read(request)
        if isinstance(latest, errors.Failure):
            return latest
        if not latest.has_queue(target.queue):
            return commands.JobDecision.NO_QUEUE
        return commands.JobDecision.UNKNOWN_JOB

    def _cancel_command(
        self, request: messages.CancelRequest, job_id: str
    ) -> commands.CancelJob | commands.CancelCustomerJob:
        if self._state.customers.is_configured:
            return commands.CancelCustomerJob(job_id, request.key)
        return commands.CancelJob(job_id)

    async def _store(
        self, request: messages.SubmitRequest, target: job_routing.Target
    ) -> commands.JobDecision | errors.Failure:
        """Stores the job of a target that was located, if it isn't stored."""
        if target.job is None:
            return await self._commit_submission(request, target)
        latest = await self._router.read(request)
        if isinstance(latest, errors.Failure):
            return latest
        if not latest.has_queue(target.queue):
            return commands.JobDecision.NO_QUEUE
        if latest.caller is None:
            return commands.JobDecision.UNAUTHORIZED
        if target.is_other_queues_job:
            return commands.JobDecision.ID_TAKEN
        if latest.caller.may_see(target.job.caller):
            return commands.JobDecision.ALREADY_STORED
        return commands.JobDecision.ID_TAKEN

    async def _commit_submission(
        self, request: messages.SubmitRequest, target: job_routing.Target
    ) -> commands.JobDecision | errors.Failure:
        command = self._submit_command(request, target)
        if self._control is None:
            return await self._commit(command)
        self._control.begin_commit(command.job_id)
        result = await self._commit(command)
        self._control.end_commit(command.job_id, result)
        return result

    def _submit_command(
        self, request: messages.SubmitRequest, target: job_routing.Target
    ) -> commands.SubmitJob | commands.SubmitCustomerJob:
        assert target.queue is not None
        job_id = job_routing.job_id_of(target.queue, request.path)
        key, definition = target.queue.key, request.definition
        if self._state.customers.is_configured:
            return commands.SubmitCustomerJob(
                job_id, key, definition, request.key
            )
        return commands.SubmitJob(job_id, key, definition)

    def _evaluate_read(
        self, request: messages.ReadRequest
    ) -> tuple[job_routing.Target, messages.QueueReply | messages.JobReply]:
        target = self._router.find(request)
        queue, job = target.queue, target.visible_job
        if queue is not None and request.path == queue.path_prefix:
            waiting = self._state.waiting_count(queue.key)
            return target, messages.QueueReply(waiting)
        return target, messages.JobReply(job.state if job else None)

    def _refuse_submission(
        self,
        request: messages.SubmitRequest,
        target: job_routing.Target,
        arrived_s: float,
    ) -> errors.Failure:
        # The refusal of a stored job would say that it never runs.
        if target.job is not None and target.queue is None:
            return errors.Failure(
                errors.ErrorKind.UNDECIDED,
                "the job was stored before its queue was removed",
            )
        if target.job is not None and target.job.caller.may_be(request.key):
            return errors.Failure(
                errors.ErrorKind.UNDECIDED,
                "the job was stored before its key was withdrawn",
            )
        return self._refuse(request, target, arrived_s)

    def _refuse_id(
        self,
        request: messages.SubmitRequest,
        target: job_routing.Target,
        arrived_s: float,
    ) -> errors.Failure:
        cause = "other_customer"
        if self._router.find(request).is_other_queues_job:
            cause = "other_queue"
        self._log_refused_caller(request, target, cause, arrived_s)
        return errors.Failure(
            errors.ErrorKind.CONFLICT, "the id belongs to another job"
        )

    def _refuse(
        self,
        request: job_routing.JobRequest,
        target: job_routing.Target,
        arrived_s: float,
    ) -> errors.Failure:
        if not target.version:
            return errors.Failure(
                errors.ErrorKind.NO_UPSTREAM, "there is no configuration yet"
            )
        if target.queue is None:
            self._log_queue(request, target, arrived_s)
            return errors.Failure(
                errors.ErrorKind.NOT_FOUND,
                f"no queue at {request.host}{request.path}",
            )
        key = "unknown" if request.key else "none"
        self._log_refused_caller(request, target, key, arrived_s)
        return errors.Failure(
            errors.ErrorKind.UNAUTHORIZED,
            f"no customer has this key in configuration {target.version}"
            if request.key
            else f"queue {target.queue.name} needs a customer's key",
        )

    def _version(self) -> int:
        configuration = self._state.configuration
        return configuration.version if configuration is not None else 0

    def _log_accepted(
        self,
        request: messages.SubmitRequest,
        target: job_routing.Target,
        decision: commands.JobDecision,
        arrived_s: float,
    ) -> None:
        assert target.queue is not None and target.caller is not None
        event_log.emit(
            events.JobAccepted(
                job_routing.job_id_of(target.queue, request.path),
                target.queue.name,
                self._version(),
                self._node.term,
                sum(step.task_count for step in request.definition.steps),
                decision is commands.JobDecision.STORED,
                target.version,
                self._waited_ms(arrived_s),
                target.caller.customer,
            )
        )

    def _log_cancelled(
        self, job_id: str, was_known: bool, arrived_s: float
    ) -> None:
        waited_ms = self._waited_ms(arrived_s)
        event_log.emit(events.JobCancelled(job_id, was_known, waited_ms))

    def _log_queue(
        self,
        request: job_routing.JobRequest,
        target: job_routing.Target,
        arrived_s: float,
    ) -> None:
        event_log.emit(
            events.QueueAnswered(
                request.host,
                request.path,
                target.queue.name if target.queue is not None else None,
                target.version,
                self._node.term,
                self._waited_ms(arrived_s),
            )
        )

    def _log_refused_caller(
        self,
        request: job_routing.JobRequest,
        target: job_routing.Target,
        key: str,
        arrived_s: float,
    ) -> None:
        assert target.queue is not None
        event_log.emit(
            events.CallerRefused(
                job_routing.job_id_of(target.queue, request.path),
                target.queue.name,
                target.version,
                self._node.term,
                key,
                self._waited_ms(arrived_s),
            )
        )

    def _waited_ms(self, arrived_s: float) -> int:
        waited_s = self._timer.monotonic_s() - arrived_s
        return int(waited_s * _MS_PER_S)

    async def _commit(
        self, command: commands.Command
    ) -> commands.JobDecision | errors.Failure:
        result = await self._node.propose(
            codec.encode(command), _COMMIT_TIMEOUT_S
        )
        if isinstance(result, errors.Failure):
            return result
        return commands.JobDecision(msgpack.unpackb(result.result))


def _unstable_route() -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.OVERLOADED,
        "the path's queue or its callers change too often",
    )
