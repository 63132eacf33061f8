"""Handles the requests of callers on the leader: submit, read and cancel jobs.

The queue of a request is decided at its place in the log. What was decided by
the state before the commit would be wrong when a configuration is committed
between the two.
"""

import dataclasses

import msgpack

from tarragoncleat.batch import commands
from tarragoncleat.batch import customer_usage
from tarragoncleat.batch import events
from tarragoncleat.batch import jobs as jobs_module
from tarragoncleat.batch import messages
from tarragoncleat.batch import model
from tarragoncleat.batch import state as state_module
from tarragoncleat.cluster import log_node
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module

__all__ = ["JobService"]

_COMMIT_TIMEOUT_S = 2.5
_MS_PER_S = 1000
# Each further attempt needs a configuration that moved the path meanwhile.
_MAX_ROUTINGS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    """What a path leads to.

    Attributes:
        version: Version of the configuration that decided; 0 if there is none.
        queue: The queue, or None.
        job: The job at the path, also if its queue was removed, or None.
    """

    version: int
    queue: model.QueuePolicy | None
    job: jobs_module.Job | None


class JobService:
    """Answers callers by the state at the places of their requests in the log.

    Requests that arrive later are decided by the same or a newer configuration.
    """

    def __init__(
        self,
        node: log_node.LogNode,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
    ) -> None:
        """Creates the service of a node that leads.

        Args:
            node: The replicated log.
            state: The replicated state.
            timer: Clock.
        """
        self._node = node
        self._state = state
        self._timer = timer

    async def submit(
        self, request: messages.SubmitRequest
    ) -> messages.Done | errors.Failure:
        """Stores a job, unless it is stored already."""
        arrived_s = self._timer.monotonic_s()
        for _ in range(_MAX_ROUTINGS):
            target = await self._locate(request.host, request.path)
            if isinstance(target, errors.Failure):
                return target
            if target.queue is None:
                return self._refuse_submission(request, target, arrived_s)
            decision = await self._store(request, target.queue, target.job)
            if isinstance(decision, errors.Failure):
                return decision
            if decision is commands.JobDecision.OVER_CAP:
                return customer_usage.over_cap_failure(
                    request, target.queue, self._state.customers
                )
            if decision is not commands.JobDecision.NO_QUEUE:
                self._log_accepted(
                    request, target.queue, target.version, decision, arrived_s
                )
                return messages.Done()
        return _unstable_route()

    async def read(
        self, request: messages.ReadRequest
    ) -> messages.QueueReply | messages.JobReply | errors.Failure:
        """Returns the state of a job, or the length of a queue."""
        arrived_s = self._timer.monotonic_s()
        reply = await self._node.read(lambda: self._evaluate_read(request))
        if isinstance(reply, errors.Failure):
            return reply
        target, answer = reply
        if target.queue is None:
            return self._no_queue(request.host, request.path, target, arrived_s)
        if isinstance(answer, messages.QueueReply):
            self._log_queue(request.host, request.path, target, arrived_s)
        return answer

    async def cancel(
        self, request: messages.CancelRequest
    ) -> messages.Done | messages.JobReply | errors.Failure:
        """Cancels a job; replies without a state if it is not known."""
        arrived_s = self._timer.monotonic_s()
        for _ in range(_MAX_ROUTINGS):
            target = await self._locate(request.host, request.path)
            if isinstance(target, errors.Failure):
                return target
            if target.queue is None:
                return self._no_queue(
                    request.host, request.path, target, arrived_s
                )
            job_id = _job_id(target.queue, request.path)
            decision = await self._commit(commands.CancelJob(job_id))
            if isinstance(decision, errors.Failure):
                return decision
            if decision is commands.JobDecision.STORED:
                self._log_cancelled(job_id, True, arrived_s)
                return messages.Done()
            # A job that is not known has no queue that the state could check.
            found = self._find_target(request.host, request.path)
            if _is_same_queue(found.queue, target.queue):
                self._log_cancelled(job_id, False, arrived_s)
                return messages.JobReply(None)
        return _unstable_route()

    async def _locate(self, host: str, path: str) -> _Target | errors.Failure:
        """Returns what a path leads to; that there is no queue is certain."""
        target = self._find_target(host, path)
        if target.queue is not None:
            return target
        return await self._read_target(host, path)

    async def _store(
        self,
        request: messages.SubmitRequest,
        queue: model.QueuePolicy,
        job: jobs_module.Job | None,
    ) -> commands.JobDecision | errors.Failure:
        """Stores a job in a queue unless it is `job`, which is stored."""
        if job is None:
            job_id = _job_id(queue, request.path)
            return await self._commit(
                commands.SubmitJob(job_id, queue.key, request.definition)
            )
        target = await self._read_target(request.host, request.path)
        if isinstance(target, errors.Failure):
            return target
        if _is_same_queue(target.queue, queue):
            return commands.JobDecision.ALREADY_STORED
        return commands.JobDecision.NO_QUEUE

    def _find_target(self, host: str, path: str) -> _Target:
        queue = self._state.route(host, path)
        if queue is not None:
            job = self._state.job(_job_id(queue, path))
        else:
            job = self._state.job_at(host, path)
        return _Target(self._version(), queue, job)

    async def _read_target(
        self, host: str, path: str
    ) -> _Target | errors.Failure:
        return await self._node.read(lambda: self._find_target(host, path))

    def _evaluate_read(
        self, request: messages.ReadRequest
    ) -> tuple[_Target, messages.QueueReply | messages.JobReply]:
        target = self._find_target(request.host, request.path)
        queue, job = target.queue, target.job
        if queue is not None and not _job_id(queue, request.path):
            waiting = self._state.waiting_count(queue.key)
            return target, messages.QueueReply(waiting)
        return target, messages.JobReply(job.state if job else None)

    def _refuse_submission(
        self,
        request: messages.SubmitRequest,
        target: _Target,
        arrived_s: float,
    ) -> errors.Failure:
        if target.job is not None:
            # A refusal would say that the job never runs.
            return errors.Failure(
                errors.ErrorKind.UNDECIDED,
                "the job was stored before its queue was removed",
            )
        return self._no_queue(request.host, request.path, target, arrived_s)

    def _no_queue(
        self, host: str, path: str, target: _Target, arrived_s: float
    ) -> errors.Failure:
        if not target.version:
            return errors.Failure(
                errors.ErrorKind.NO_UPSTREAM, "there is no configuration yet"
            )
        self._log_queue(host, path, target, arrived_s)
        return errors.Failure(
            errors.ErrorKind.NOT_FOUND, f"no queue at {host}{path}"
        )

    def _version(self) -> int:
        configuration = self._state.configuration
        return configuration.version if configuration is not None else 0

    def _log_accepted(
        self,
        request: messages.SubmitRequest,
        queue: model.QueuePolicy,
        routed_version: int,
        decision: commands.JobDecision,
        arrived_s: float,
    ) -> None:
        event_log.emit(
            events.JobAccepted(
                _job_id(queue, request.path),
                queue.name,
                self._version(),
                self._node.term,
                sum(step.task_count for step in request.definition.steps),
                decision is commands.JobDecision.STORED,
                routed_version,
                self._waited_ms(arrived_s),
            )
        )

    def _log_cancelled(
        self, job_id: str, was_known: bool, arrived_s: float
    ) -> None:
        waited_ms = self._waited_ms(arrived_s)
        event_log.emit(events.JobCancelled(job_id, was_known, waited_ms))

    def _log_queue(
        self, host: str, path: str, target: _Target, arrived_s: float
    ) -> None:
        event_log.emit(
            events.QueueAnswered(
                host,
                path,
                target.queue.name if target.queue is not None else None,
                target.version,
                self._node.term,
                self._waited_ms(arrived_s),
            )
        )

    def _waited_ms(self, arrived_s: float) -> int:
        waited_s = self._timer.monotonic_s() - arrived_s
        return int(waited_s * _MS_PER_S)

    async def _commit(
        self, command: commands.SubmitJob | commands.CancelJob
    ) -> commands.JobDecision | errors.Failure:
        result = await self._node.propose(
            codec.encode(command), _COMMIT_TIMEOUT_S
        )
        if isinstance(result, errors.Failure):
            return result
        return commands.JobDecision(msgpack.unpackb(result.result))


def _job_id(queue: model.QueuePolicy, path: str) -> str:
    """Returns the part of a path after the queue's prefix."""
    return path[len(queue.path_prefix) :]


def _is_same_queue(
    queue: model.QueuePolicy | None, other: model.QueuePolicy | None
) -> bool:
    return queue is not None and other is not None and queue.key == other.key


def _unstable_route() -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.OVERLOADED, "the path's queue changes too often"
    )
