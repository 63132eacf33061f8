"""Handles requests about queues, jobs, workers and waves on the leader."""

from collections.abc import Callable
import functools
from typing import Any

import msgpack

from tarragoncleat.batch import commands
from tarragoncleat.batch import dispatcher as dispatcher_module
from tarragoncleat.batch import events
from tarragoncleat.batch import messages
from tarragoncleat.batch import model
from tarragoncleat.batch import state as state_module
from tarragoncleat.cluster import log_node
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module

__all__ = ["LeaderService"]

_COMMIT_TIMEOUT_S = 2.5
_MS_PER_S = 1000


def _not_found(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.NOT_FOUND, reason)


class LeaderService:
    """Handles the requests that reach the leader."""

    def __init__(
        self,
        node: log_node.LogNode,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        dispatcher: Callable[[], dispatcher_module.Dispatcher | None],
    ) -> None:
        """Creates the service.

        Args:
            node: The replicated log.
            state: The replicated state.
            timer: Clock.
            dispatcher: Returns the dispatcher of the current term, if any.
        """
        self._node = node
        self._state = state
        self._timer = timer
        self._dispatcher = dispatcher

    async def handle(self, request: Any) -> Any:
        """Handles a request; returns a reply message or a `Failure`."""
        return await self._handle(request)

    @functools.singledispatchmethod
    async def _handle(self, request: Any) -> Any:
        return errors.Failure(
            errors.ErrorKind.BAD_REQUEST,
            f"unsupported request type: {type(request).__name__}",
        )

    @_handle.register
    async def _submit(self, request: messages.SubmitRequest) -> Any:
        arrived_s = self._timer.monotonic_s()
        located = await self._locate(request.host, request.path, arrived_s)
        if isinstance(located, errors.Failure):
            return located
        queue, job_id = located
        routed_version = self._held_version() or 0
        is_new = self._state.job(job_id) is None
        if is_new:
            result = await self._commit(
                commands.SubmitJob(job_id, queue.key, request.definition)
            )
            if isinstance(result, errors.Failure):
                return result
        elif not await self._node.read_barrier():
            return _no_leader()
        event_log.emit(
            events.JobAccepted(
                job_id,
                queue.name,
                self._held_version() or 0,
                self._node.term,
                sum(step.task_count for step in request.definition.steps),
                is_new,
                routed_version,
                self._waited_ms(arrived_s),
            )
        )
        return messages.Done()

    @_handle.register
    async def _read(self, request: messages.ReadRequest) -> Any:
        arrived_s = self._timer.monotonic_s()
        if not await self._node.read_barrier():
            return _no_leader()
        located = await self._locate(request.host, request.path, arrived_s)
        if isinstance(located, errors.Failure):
            return located
        queue, job_id = located
        if not job_id:
            self._log_queue(request.host, request.path, queue.name, arrived_s)
            return messages.QueueReply(self._state.waiting_count(queue.key))
        job = self._state.job(job_id)
        return messages.JobReply(job.state if job is not None else None)

    @_handle.register
    async def _cancel(self, request: messages.CancelRequest) -> Any:
        arrived_s = self._timer.monotonic_s()
        located = await self._locate(request.host, request.path, arrived_s)
        if isinstance(located, errors.Failure):
            return located
        job_id = located[1]
        result = await self._commit(commands.CancelJob(job_id))
        if isinstance(result, errors.Failure):
            return result
        was_known = bool(msgpack.unpackb(result.result))
        event_log.emit(events.JobCancelled(job_id, was_known))
        if not was_known:
            return messages.JobReply(None)
        return messages.Done()

    @_handle.register
    async def _put_configuration(self, request: messages.PutRequest) -> Any:
        result = await self._store_configuration(request.configuration)
        self._log_configuration("PUT", request.configuration.version, result)
        return result

    async def _store_configuration(
        self, new: model.FleetConfiguration
    ) -> messages.Done | errors.Failure:
        current = self._state.configuration
        if current is not None and new.version <= current.version:
            if not await self._node.read_barrier():
                return _no_leader()
            return messages.Done()
        result = await self._commit(commands.PutConfiguration(new))
        if isinstance(result, errors.Failure):
            return result
        event_log.emit(
            events.ConfigurationInForce(
                new.version, len(new.queues), len(new.services)
            )
        )
        return messages.Done()

    @_handle.register
    async def _read_configuration(
        self, request: messages.ReadConfigurationRequest
    ) -> Any:
        del request
        result = await self._read_latest_configuration()
        self._log_configuration("GET", None, result)
        return result

    async def _read_latest_configuration(
        self,
    ) -> messages.ConfigurationReply | errors.Failure:
        if not await self._node.read_barrier():
            return _no_leader()
        current = self._state.configuration
        if current is None:
            return errors.Failure(
                errors.ErrorKind.NO_UPSTREAM, "there is no configuration yet"
            )
        return messages.ConfigurationReply(current.source)

    @_handle.register
    async def _heartbeat(self, request: messages.Heartbeat) -> Any:
        record = request.worker
        if self._state.has_worker_ended(record.worker_id):
            return messages.Done()
        worker = self._state.workers.get(record.worker_id)
        if worker is None:
            result = await self._commit(commands.RegisterWorker(record))
            if isinstance(result, errors.Failure):
                return result
            event_log.emit(
                events.WorkerChanged(
                    record.worker_id, record.service, "registered"
                )
            )
            worker = self._state.workers.get(record.worker_id)
        draining = state_module.WorkerState.DRAINING
        is_active = worker is not None and worker.state is not draining
        if is_active and request.is_draining:
            return await self._drain(record)
        self._retry_renewal_now(record.worker_id)
        return messages.Done()

    async def _drain(self, record: model.WorkerRecord) -> Any:
        result = await self._commit(commands.DrainWorker(record.worker_id))
        if isinstance(result, errors.Failure):
            return result
        event_log.emit(
            events.WorkerChanged(record.worker_id, record.service, "draining")
        )
        return messages.Done()

    def _retry_renewal_now(self, worker_id: str) -> None:
        dispatcher = self._dispatcher()
        if dispatcher is not None and worker_id in dispatcher.sessions:
            dispatcher.sessions[worker_id].retry_now()

    @_handle.register
    async def _end_worker(self, request: messages.WorkerLeft) -> Any:
        if request.worker_id in self._state.workers:
            result = await self._commit(
                commands.MarkWorkersLost((request.worker_id,), is_final=True)
            )
            if isinstance(result, errors.Failure):
                return result
        elif not await self._node.read_barrier():
            # Its successor may know the worker.
            return _no_leader()
        return messages.Done()

    @_handle.register
    async def _request_wave(self, request: messages.WaveRequest) -> Any:
        if request.wave not in self._state.waves:
            result = await self._commit(
                commands.StartWave(
                    request.wave,
                    request.instances,
                    request.duration_ms,
                    request.cap,
                )
            )
            if isinstance(result, errors.Failure):
                return result
            event_log.emit(
                events.WaveAccepted(
                    request.wave,
                    len(request.instances),
                    request.cap,
                    request.duration_ms,
                )
            )
        return messages.Done()

    @_handle.register
    async def _read_wave(self, request: messages.WaveStateRequest) -> Any:
        if not await self._node.read_barrier():
            return _no_leader()
        wave = self._state.waves.get(request.wave)
        if wave is None:
            return _not_found(f"wave {request.wave} is not known")
        return messages.WaveReply(not wave.remaining)

    async def _locate(
        self, host: str, path: str, arrived_s: float
    ) -> tuple[model.QueuePolicy, str] | errors.Failure:
        """Returns the queue of a path, and the job id after its prefix."""
        if self._state.configuration is None:
            return errors.Failure(
                errors.ErrorKind.NO_UPSTREAM, "there is no configuration yet"
            )
        queue = self._state.route(host, path)
        if queue is None:
            # A deposed leader may not have the latest configuration yet.
            if not await self._node.read_barrier():
                return _no_leader()
            queue = self._state.route(host, path)
        if queue is None:
            self._log_queue(host, path, None, arrived_s)
            return _not_found(f"no queue at {host}{path}")
        return queue, path[len(queue.path_prefix) :]

    def _held_version(self) -> int | None:
        configuration = self._state.configuration
        return configuration.version if configuration is not None else None

    def _log_configuration(
        self, method: str, version: int | None, result: object
    ) -> None:
        failure = result.reason if isinstance(result, errors.Failure) else None
        event_log.emit(
            events.ConfigurationAnswered(
                method,
                version,
                self._held_version(),
                self._node.term,
                failure,
            )
        )

    def _log_queue(
        self, host: str, path: str, queue: str | None, arrived_s: float
    ) -> None:
        event_log.emit(
            events.QueueAnswered(
                host,
                path,
                queue,
                self._held_version() or 0,
                self._node.term,
                self._waited_ms(arrived_s),
            )
        )

    def _waited_ms(self, arrived_s: float) -> int:
        waited_s = self._timer.monotonic_s() - arrived_s
        return int(waited_s * _MS_PER_S)

    async def _commit(
        self, command: commands.Command
    ) -> applier_module.AppliedProposal | errors.Failure:
        return await self._node.propose(
            codec.encode(command), _COMMIT_TIMEOUT_S
        )


def _no_leader() -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.NO_LEADER, "this node may no longer be the leader"
    )
