"""Carries out maintenance waves within their caps and availability budgets."""

from collections.abc import Mapping

from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import commands
from tarragoncleat.batch import events
from tarragoncleat.batch import jobs as jobs_module
from tarragoncleat.batch import pool_sizing
from tarragoncleat.batch import state as state_module
from tarragoncleat.batch import worker_calls
from tarragoncleat.batch import worker_session
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module

__all__ = ["WaveKeeper"]

_MS_PER_S = 1000
_AT_WORK_PERCENT = 100
# An instance is taken for back this long after its maintenance should have
# ended, even if no worker on it has registered.
_RETURN_MARGIN_S = 1.5
# Tasks that end by themselves get this long before the instance is taken.
_PATIENCE_S = 5.0
# At most this share of a service's workers is emptied or down at once.
_SERVICE_SHARE = 0.25


class WaveKeeper:
    """Empties instances, orders their maintenance and waits for them."""

    def __init__(
        self,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        bounds: bounds_module.Bounds,
        instance_calls: worker_calls.InstanceCalls,
        committer: commands.Committer,
        holder: str,
        fence: int,
    ) -> None:
        """Begins at the start of a leader's term.

        Args:
            state: The replicated state, for reading.
            timer: Clock.
            bounds: Bounds of the deployment.
            instance_calls: Calls to the platform.
            committer: Replicates commands.
            holder: Name of this node as holder of the instances' leases.
            fence: Fencing token of the term.
        """
        self._state = state
        self._timer = timer
        self._bounds = bounds
        self._calls = instance_calls
        self._committer = committer
        self._holder = holder
        self._fence = fence
        self._started_s = timer.monotonic_s()
        self._sessions: worker_session.Sessions = {}
        self._demands: Mapping[str, pool_sizing.Demand] = {}
        self._emptying: dict[str, float] = {}
        self._begun_s: dict[str, float] = {}

    def is_emptying(self, instance: str) -> bool:
        """Whether an instance gets no tasks because its turn has come."""
        return instance in self._emptying

    def is_due(self, instance: str) -> bool:
        """Whether an instance still waits for its maintenance."""
        return any(
            instance in wave.instances and instance not in wave.begun
            for wave in self._state.waves.values()
        )

    def due_instances(self) -> set[str]:
        """Returns the instances that still wait for their maintenance."""
        return {
            instance
            for wave in self._state.waves.values()
            for instance in wave.remaining
        }

    async def step(
        self,
        sessions: worker_session.Sessions,
        demands: Mapping[str, pool_sizing.Demand] | None = None,
    ) -> None:
        """Takes the next steps of every wave.

        Args:
            sessions: Sessions by worker.
            demands: Load by service; it says where vacant instances are not
                needed now.
        """
        self._sessions = sessions
        self._demands = demands or {}
        by_instance = {
            session.record.instance: session for session in sessions.values()
        }
        for wave in list(self._state.waves.values()):
            if wave.remaining:
                await self._step_wave(wave, by_instance)
        due = [name for name in self._emptying if not self.is_due(name)]
        for instance in due:
            del self._emptying[instance]

    async def _step_wave(
        self, wave: state_module.Wave, by_instance: worker_session.Sessions
    ) -> None:
        self._choose(wave, by_instance)
        for instance in wave.remaining:
            if instance in wave.chosen:
                # An earlier leader may have ordered it; repeating is safe.
                await self._order(wave, instance)
            elif instance in self._emptying:
                is_empty = self._empty(instance)
                if is_empty and self._down(wave) < wave.cap:
                    await self._choose_and_order(wave, instance)

    def _choose(
        self, wave: state_module.Wave, by_instance: worker_session.Sessions
    ) -> None:
        """Starts to empty instances, the ones with the least work first."""
        waiting = [
            name
            for name in wave.remaining
            if name not in wave.chosen and name not in self._emptying
        ]
        waiting.sort(key=lambda name: self._load(by_instance.get(name)))
        busy = self._busy_by_service(by_instance)
        emptying = sum(name in self._emptying for name in wave.remaining)
        for instance in waiting:
            if emptying >= 2 * wave.cap:
                return
            session = by_instance.get(instance)
            service = session.record.service if session else ""
            is_full = busy.get(service, 0) >= self._most_busy(service)
            if session and is_full and not self._is_spared(session):
                continue
            if session:
                self._take_room(session)
            busy[service] = busy.get(service, 0) + 1
            self._emptying[instance] = self._timer.monotonic_s()
            emptying += 1

    def _is_spared(self, session: worker_session.WorkerSession) -> bool:
        """Whether the instance is vacant, and its pool needs it not now.

        Its maintenance costs nothing then, and it may move only afterwards.
        """
        demand = self._demands.get(session.record.service)
        if demand is None or self._load(session):
            return False
        return pool_sizing.can_spare(demand, 0)

    def _take_room(self, session: worker_session.WorkerSession) -> None:
        """Takes the room of a vacant instance off its pool's."""
        demand = self._demands.get(session.record.service)
        if demand is not None and not self._load(session):
            demand.free_millicores -= session.record.cpu_millicores

    def _most_busy(self, service: str) -> int:
        workers = sum(
            worker.record.service == service
            for worker in self._state.workers.values()
        )
        return max(1, int(workers * _SERVICE_SHARE))

    def _busy_by_service(
        self, by_instance: worker_session.Sessions
    ) -> dict[str, int]:
        busy: dict[str, int] = {}
        for instance in self._emptying:
            session = by_instance.get(instance)
            if session is not None:
                service = session.record.service
                busy[service] = busy.get(service, 0) + 1
        return busy

    def _load(self, session: worker_session.WorkerSession | None) -> int:
        if session is None:
            return 0
        worker = self._state.workers.get(session.record.worker_id)
        return len(worker.tasks) if worker is not None else 0

    def _down(self, wave: state_module.Wave) -> int:
        """Returns how many instances are down for this wave."""
        back = {
            worker.record.instance for worker in self._state.workers.values()
        }
        now_s = self._timer.monotonic_s()
        shortest_s = self._bounds.maintenance_ms / _MS_PER_S
        longest_s = shortest_s + _RETURN_MARGIN_S
        down = 0
        for instance in wave.chosen:
            begun_s = self._begun_s.get(instance, self._started_s)
            since_s = now_s - begun_s
            # A worker that registered before the order was carried out says
            # nothing, so the maintenance has its time in any case.
            is_back = instance in back and since_s > shortest_s
            is_past = is_back or since_s > longest_s
            down += instance not in wave.begun or not is_past
        return down

    def _empty(self, instance: str) -> bool:
        """Stops what may be stopped; returns whether the instance is empty."""
        # A start that is being stored now would be lost with the instance.
        if self._emptying[instance] >= self._timer.monotonic_s():
            return False
        # Each worker is asked to empty itself, also after one that is not yet.
        left = [
            worker
            for worker in self._state.workers_on(instance)
            if not self._empty_worker(worker)
        ]
        return not left

    def _empty_worker(self, worker: state_module.Worker) -> bool:
        if not worker.tasks:
            return True
        session = self._sessions.get(worker.record.worker_id)
        if session is None:
            return False
        since_s = self._emptying[worker.record.instance]
        waited_s = self._timer.monotonic_s() - since_s
        holds_lasting = False
        for task in list(self._state.tasks_on(worker)):
            found = self._state.task(task.key)
            if found is None:
                continue
            definition = found[1].definition
            if definition.long_running:
                holds_lasting = True
                if self._may_take(found[1], task):
                    session.stop(task.key, task.run)
            elif definition.checkpointing and waited_s > _PATIENCE_S / 2:
                session.stop(task.key, task.run)
        return not holds_lasting and waited_s > _PATIENCE_S

    def _may_take(
        self,
        step: jobs_module.Step,
        task: jobs_module.Task,
    ) -> bool:
        """Whether the step's availability budget lets this task be stopped."""
        most = step.definition.max_unavailable
        if not most:
            return True
        away = 0
        for other in step.tasks:
            if other is not task and not self._is_at_work(other):
                away += 1
        return away < most

    def _is_at_work(self, task: jobs_module.Task) -> bool:
        if task.state is not jobs_module.TaskState.RUNNING:
            return False
        session = self._sessions.get(task.worker_id)
        if session is None or not session.is_fresh:
            return False
        run_id = (task.key, task.run)
        row = session.running.get(run_id)
        return (
            row is not None
            and row.percent >= _AT_WORK_PERCENT
            and run_id not in session.stopping
        )

    async def _choose_and_order(
        self,
        wave: state_module.Wave,
        instance: str,
    ) -> None:
        chosen = commands.NoteMaintenance(
            wave.number, instance, commands.MaintenancePhase.CHOSEN
        )
        result = await self._committer.commit(chosen)
        if isinstance(result, applier_module.AppliedProposal):
            await self._order(wave, instance)

    async def _order(
        self,
        wave: state_module.Wave,
        instance: str,
    ) -> None:
        failure = await self._calls.maintain(
            instance, wave.number, self._holder, self._fence
        )
        phase = commands.MaintenancePhase.BEGUN
        if failure is not None:
            if failure.kind is not errors.ErrorKind.NOT_FOUND:
                self._log(wave, instance, failure.reason)
                return
            phase = commands.MaintenancePhase.GONE
        self._begun_s[instance] = self._timer.monotonic_s()
        await self._committer.commit(
            commands.NoteMaintenance(wave.number, instance, phase)
        )
        self._emptying.pop(instance, None)
        self._log(wave, instance, None)

    def _log(
        self, wave: state_module.Wave, instance: str, refused: str | None
    ) -> None:
        event_log.emit(
            events.MaintenanceOrdered(
                wave.number, instance, len(wave.remaining), refused
            )
        )
