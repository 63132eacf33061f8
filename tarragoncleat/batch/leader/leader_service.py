"""Handles requests about queues, jobs, workers and waves on the leader."""

from collections.abc import Callable
import functools
from typing import Any

import msgpack

from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import events
from tarragoncleat.batch.leader import admission
from tarragoncleat.batch.leader import dispatcher as dispatcher_module
from tarragoncleat.batch.leader import job_service
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import incarnations
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.replicated import worker_state
from tarragoncleat.cluster import log_node
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module

__all__ = ["LeaderService"]

_COMMIT_TIMEOUT_S = 2.5
# Kept sequence numbers of workers that have ended.
_MAX_STALE_SEQUENCES = 100
_MS_PER_S = 1000


class LeaderService:
    """Handles the requests that reach the leader."""

    def __init__(
        self,
        node: log_node.LogNode,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        dispatcher: Callable[[], dispatcher_module.Dispatcher | None],
        controls_overload: bool = False,
        max_stored_tasks: int = bounds_module.Bounds().max_stored_tasks,
    ) -> None:
        """Creates the service.

        Args:
            node: The replicated log.
            state: The replicated state.
            timer: Clock.
            dispatcher: Returns the dispatcher of the current term, if any.
            controls_overload: Whether submissions may be refused for want of
                room.
            max_stored_tasks: Limit for the tasks of all jobs.
        """
        self._node = node
        self._state = state
        self._timer = timer
        control = None
        if controls_overload:
            control = admission.AdmissionControl(state, timer, self._supply)
        self._jobs = job_service.JobService(
            node, state, timer, control, max_stored_tasks
        )
        self._dispatcher = dispatcher
        # Sequence number of the latest heartbeat by worker.
        self._sequences: dict[str, int] = {}

    def _supply(self, service: str) -> admission.Supply | None:
        dispatcher = self._dispatcher()
        return dispatcher.supply(service) if dispatcher is not None else None

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
        return await self._jobs.submit(request)

    @_handle.register
    async def _read(self, request: messages.ReadRequest) -> Any:
        return await self._jobs.read(request)

    @_handle.register
    async def _cancel(self, request: messages.CancelRequest) -> Any:
        return await self._jobs.cancel(request)

    @_handle.register
    async def _put_configuration(self, request: messages.PutRequest) -> Any:
        arrived_s = self._timer.monotonic_s()
        new = request.configuration
        result = await self._store_configuration(new)
        self._log_configuration("PUT", new.version, result, arrived_s)
        return result

    async def _store_configuration(
        self, new: model.FleetConfiguration
    ) -> messages.Done | errors.Failure:
        current = self._state.configuration
        if current is not None and new.version <= current.version:
            return await self._node.read(messages.Done)
        result = await self._commit(commands.PutConfiguration(new))
        if isinstance(result, errors.Failure):
            return result
        if msgpack.unpackb(result.result):
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
        arrived_s = self._timer.monotonic_s()
        result = await self._read_latest_configuration()
        self._log_configuration("GET", None, result, arrived_s)
        return result

    async def _read_latest_configuration(
        self,
    ) -> messages.ConfigurationReply | errors.Failure:
        current = await self._node.read(lambda: self._state.configuration)
        if isinstance(current, errors.Failure):
            return current
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
        if self._state.incarnations.is_superseded(record.worker_id):
            return messages.Done()
        is_latest = self._record_sequence(request)
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
        elif is_latest and worker.record.capacity != record.capacity:
            result = await self._commit(commands.RegisterWorker(record))
            if isinstance(result, errors.Failure):
                return result
            event_log.emit(
                events.WorkerResized(
                    record.worker_id,
                    record.service,
                    request.sequence,
                    tuple(worker.record.capacity),
                    tuple(self._state.free_on(worker)),
                )
            )
        if request.is_draining and request.remaining_ms is not None:
            self._record_departure(record.worker_id, request.remaining_ms)
        draining = worker_state.WorkerState.DRAINING
        is_active = worker is not None and worker.state is not draining
        if is_active and request.is_draining:
            return await self._drain(record)
        self._retry_renewal_now(record.worker_id)
        return messages.Done()

    def _record_sequence(self, heartbeat: messages.Heartbeat) -> bool:
        """Records a heartbeat; returns False if a later one came before it.

        A heartbeat that was held up must not restore an earlier capacity.
        """
        worker_id = heartbeat.worker.worker_id
        if heartbeat.sequence < self._sequences.get(worker_id, 0):
            return False
        self._sequences[worker_id] = heartbeat.sequence
        if len(self._sequences) > _MAX_STALE_SEQUENCES + 2 * len(
            self._state.workers
        ):
            self._sequences = {
                name: sequence
                for name, sequence in self._sequences.items()
                if name in self._state.workers
            }
        return True

    async def _drain(self, record: model.WorkerRecord) -> Any:
        result = await self._commit(commands.DrainWorker(record.worker_id))
        if isinstance(result, errors.Failure):
            return result
        event_log.emit(
            events.WorkerChanged(record.worker_id, record.service, "draining")
        )
        return messages.Done()

    def _record_departure(self, worker_id: str, remaining_ms: int) -> None:
        dispatcher = self._dispatcher()
        if dispatcher is not None:
            dispatcher.record_departure(worker_id, remaining_ms)

    def _retry_renewal_now(self, worker_id: str) -> None:
        dispatcher = self._dispatcher()
        if dispatcher is not None and worker_id in dispatcher.sessions:
            dispatcher.sessions[worker_id].retry_now()

    @_handle.register
    async def _end_worker(self, request: messages.WorkerLeft) -> Any:
        worker_id = request.worker_id
        name, started_ms = incarnations.split_worker_id(worker_id)
        if not started_ms and self._state.incarnations.tells_start(name):
            return await self._end_draining_incarnation(name)
        # Its registration may be in the log and not in the state yet. A worker
        # that leaves as draining hasn't crashed.
        for command in (
            commands.DrainWorker(worker_id),
            commands.MarkWorkersLost((worker_id,), is_final=True),
        ):
            result = await self._commit(command)
            if isinstance(result, errors.Failure):
                return result
        return messages.Done()

    async def _end_draining_incarnation(self, name: str) -> Any:
        """Handles the leaving of a worker that doesn't tell which life ended.

        Only a draining one can have left. Of an active one it may be a late
        message of its predecessor; if it is gone, its lease ends instead.
        """
        leaving = tuple(
            worker_id
            for worker_id, worker in self._state.workers.items()
            if incarnations.split_worker_id(worker_id)[0] == name
            and worker.state is worker_state.WorkerState.DRAINING
        )
        if not leaving:
            return await self._node.read(messages.Done)
        result = await self._commit(
            commands.MarkWorkersLost(leaving, is_final=True)
        )
        return result if isinstance(result, errors.Failure) else messages.Done()

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
        wave = await self._node.read(
            lambda: self._state.waves.get(request.wave)
        )
        if isinstance(wave, errors.Failure):
            return wave
        if wave is None:
            return errors.Failure(
                errors.ErrorKind.NOT_FOUND,
                f"wave {request.wave} is not known",
            )
        return messages.WaveReply(not wave.remaining)

    def _held_version(self) -> int | None:
        configuration = self._state.configuration
        return configuration.version if configuration is not None else None

    def _log_configuration(
        self,
        method: str,
        version: int | None,
        result: object,
        arrived_s: float,
    ) -> None:
        failure = result.reason if isinstance(result, errors.Failure) else None
        event_log.emit(
            events.ConfigurationAnswered(
                method,
                version,
                self._held_version(),
                self._node.term,
                failure,
                int((self._timer.monotonic_s() - arrived_s) * _MS_PER_S),
            )
        )

    async def _commit(
        self, command: commands.Command
    ) -> applier_module.AppliedProposal | errors.Failure:
        return await self._node.propose(
            codec.encode(command), _COMMIT_TIMEOUT_S
        )
