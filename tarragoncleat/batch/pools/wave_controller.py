"""Runs maintenance waves within their caps and availability budgets."""

from collections.abc import Callable, Mapping
import math

from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import events
from tarragoncleat.batch.pools import instance_orders
from tarragoncleat.batch.pools import pool_sizing
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.replicated import waves
from tarragoncleat.batch.replicated import worker_state
from tarragoncleat.batch.workers import worker_session
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module

__all__ = ["WaveController"]

_MS_PER_S = 1000
_AVAILABLE_PERCENT = 100
# An instance counts as back this long after the end of its maintenance is due,
# even if no worker on it has registered.
_RETURN_MARGIN_S = 1.5
# Time that tasks have to end by themselves before maintenance begins.
_DRAIN_TIMEOUT_S = 5.0
# Time from one round of maintenance to the next beside the maintenance itself.
_ROUND_OVERHEAD_S = 1.0
# A wave no longer waits when this multiple of its rounds is left, because
# instances with long-running tasks take longer than a round.
_URGENCY_FACTOR = 2.0
# A pool's instances are left alone this long after work waited for it. A load
# peak has short moments without waiting work.
_PEAK_HOLD_S = 3.0
# Maximum share of a service's workers that are draining or down at once.
_MAX_UNAVAILABLE_SHARE = 0.25


class WaveController:
    """Drains instances, orders their maintenance and waits until it is over."""

    def __init__(
        self,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        bounds: bounds_module.Bounds,
        orders: instance_orders.InstanceOrders,
        committer: commands.Committer,
    ) -> None:
        """Creates the controller at the start of a leader's term.

        Args:
            state: The replicated state, read only.
            timer: Clock.
            bounds: Limits of the deployment.
            orders: Sends the term's orders for instances.
            committer: Replicates commands.
        """
        self._state = state
        self._timer = timer
        self._bounds = bounds
        self._orders = orders
        self._committer = committer
        self._started_s = timer.monotonic_s()
        self._sessions: worker_session.Sessions = {}
        self._is_moving: Callable[[str], bool] = lambda instance: False
        self._demands: Mapping[str, pool_sizing.Demand] = {}
        self._work_waited_s: dict[str, float] = {}
        self._draining_since_s: dict[str, float] = {}
        self._maintenance_started_s: dict[str, float] = {}

    def is_draining(self, instance: str) -> bool:
        """Whether an instance gets no tasks because it is being drained."""
        return instance in self._draining_since_s

    def is_reserved(self, instance: str) -> bool:
        """Whether an instance is being taken for maintenance.

        That includes one for which an earlier leader may have sent the order.
        """
        return self.is_draining(instance) or any(
            instance in wave.chosen and instance not in wave.begun
            for wave in self._state.waves.values()
        )

    def reserved_instances(self) -> set[str]:
        """Returns the instances for which `is_reserved` holds."""
        return self._draining_since_s.keys() | {
            instance
            for wave in self._state.waves.values()
            for instance in wave.chosen.keys() - wave.begun
        }

    def is_due(self, instance: str) -> bool:
        """Whether maintenance of an instance is requested and has not begun."""
        return any(
            instance in wave.instances and instance not in wave.begun
            for wave in self._state.waves.values()
        )

    def due_instances(self) -> set[str]:
        """Returns the instances whose maintenance has not begun."""
        return {
            instance
            for wave in self._state.waves.values()
            for instance in wave.remaining
        }

    async def step(
        self,
        sessions: worker_session.Sessions,
        demands: Mapping[str, pool_sizing.Demand] | None = None,
        is_moving: Callable[[str], bool] = lambda instance: False,
    ) -> None:
        """Advances every wave; called periodically.

        Args:
            sessions: Sessions by worker.
            demands: Load by service, from which it is decided whether idle
                instances are needed; the capacity of drained ones is deducted.
            is_moving: Whether an instance is on its way to another pool.
        """
        self._sessions = sessions
        self._is_moving = is_moving
        self._demands = demands or {}
        now_s = self._timer.monotonic_s()
        for service, demand in self._demands.items():
            if demand.unplaced_millicores > 0:
                self._work_waited_s[service] = now_s
        by_instance = {
            session.record.instance: session for session in sessions.values()
        }
        for wave in list(self._state.waves.values()):
            if wave.remaining:
                await self._step_wave(wave, by_instance)
        finished = [
            name for name in self._draining_since_s if not self.is_due(name)
        ]
        for instance in finished:
            del self._draining_since_s[instance]

    async def _step_wave(
        self, wave: waves.Wave, by_instance: worker_session.Sessions
    ) -> None:
        self._start_draining(wave, by_instance)
        for instance in wave.remaining:
            if instance in wave.chosen:
                # An earlier leader has chosen it, and may have sent the order.
                # Tasks may have started there since.
                self._draining_since_s.setdefault(
                    instance, self._timer.monotonic_s()
                )
            if instance not in self._draining_since_s:
                continue
            if not self._drain(instance):
                continue
            if instance in wave.chosen:
                # The order is idempotent.
                await self._order_maintenance(wave, instance)
            elif self._down_count(wave) < wave.cap:
                await self._record_and_order(wave, instance)

    def _start_draining(
        self, wave: waves.Wave, by_instance: worker_session.Sessions
    ) -> None:
        """Starts to drain instances, those with the fewest tasks first."""
        is_urgent = self._is_urgent(wave)
        waiting = [
            name
            for name in wave.remaining
            if name not in wave.chosen
            and name not in self._draining_since_s
            and not self._is_moving(name)
            and (is_urgent or not self._is_needed(by_instance.get(name)))
        ]
        waiting.sort(key=lambda name: self._task_count(by_instance.get(name)))
        idle_limit = self._idle_limit(wave, by_instance)
        draining = self._draining_by_service(by_instance)
        draining_count = sum(
            name in self._draining_since_s for name in wave.remaining
        )
        for instance in waiting:
            if draining_count >= 2 * wave.cap:
                return
            session = by_instance.get(instance)
            service = session.record.service if session else ""
            is_at_limit = draining.get(service, 0) >= self._max_draining(
                service
            )
            if (
                session
                and is_at_limit
                and not self._is_idle_and_not_needed(session)
            ):
                continue
            if not self._task_count(session):
                # Idle instances need no time to drain; the others stay usable
                # until the cap has room for them.
                if idle_limit <= 0:
                    return
                idle_limit -= 1
            if session:
                self._deduct_free_capacity(session)
            draining[service] = draining.get(service, 0) + 1
            self._draining_since_s[instance] = self._timer.monotonic_s()
            draining_count += 1

    def _is_needed(self, session: worker_session.WorkerSession | None) -> bool:
        """Whether a load peak needs an instance, which then can wait.

        One without a worker may move to any pool for which work waits now.
        """
        if session is None:
            return any(
                demand.unplaced_millicores > 0
                for demand in self._demands.values()
            )
        waited_s = self._work_waited_s.get(session.record.service, -math.inf)
        return self._timer.monotonic_s() - waited_s < _PEAK_HOLD_S

    def _is_urgent(self, wave: waves.Wave) -> bool:
        """Whether the wave would be late if it waited longer."""
        rounds = math.ceil(len(wave.remaining) / wave.cap)
        round_s = self._bounds.maintenance_ms / _MS_PER_S + _ROUND_OVERHEAD_S
        needed_s = _URGENCY_FACTOR * rounds * round_s + _DRAIN_TIMEOUT_S
        # The clock may have been set back since the request.
        now_ms = max(self._timer.wall_time_ms(), self._state.time_ms)
        left_ms = wave.requested_ms + wave.duration_ms - now_ms
        return left_ms / _MS_PER_S <= needed_s

    def _idle_limit(
        self, wave: waves.Wave, by_instance: worker_session.Sessions
    ) -> int:
        """Returns how many more idle instances may start to drain."""
        idle_draining_count = sum(
            name in self._draining_since_s
            and name not in wave.chosen
            and not self._task_count(by_instance.get(name))
            for name in wave.remaining
        )
        return wave.cap - self._down_count(wave) - idle_draining_count

    def _is_idle_and_not_needed(
        self, session: worker_session.WorkerSession
    ) -> bool:
        """Whether the instance is idle and its pool can do without it now.

        Its maintenance then costs no capacity.
        """
        demand = self._demands.get(session.record.service)
        if demand is None or self._task_count(session):
            return False
        return pool_sizing.can_release_instance(demand, 0)

    def _deduct_free_capacity(
        self, session: worker_session.WorkerSession
    ) -> None:
        """Deducts an idle instance's capacity from its pool's free capacity."""
        demand = self._demands.get(session.record.service)
        if demand is not None and not self._task_count(session):
            demand.free_millicores -= session.record.cpu_millicores

    def _max_draining(self, service: str) -> int:
        workers = sum(
            worker.record.service == service
            for worker in self._state.workers.values()
        )
        return max(1, int(workers * _MAX_UNAVAILABLE_SHARE))

    def _draining_by_service(
        self, by_instance: worker_session.Sessions
    ) -> dict[str, int]:
        draining: dict[str, int] = {}
        for instance in self._draining_since_s:
            session = by_instance.get(instance)
            if session is not None:
                service = session.record.service
                draining[service] = draining.get(service, 0) + 1
        return draining

    def _task_count(self, session: worker_session.WorkerSession | None) -> int:
        if session is None:
            return 0
        worker = self._state.workers.get(session.record.worker_id)
        return len(worker.tasks) if worker is not None else 0

    def _down_count(self, wave: waves.Wave) -> int:
        """Returns the number of instances that are down for a wave."""
        registered = {
            worker.record.instance for worker in self._state.workers.values()
        }
        now_s = self._timer.monotonic_s()
        min_down_s = self._bounds.maintenance_ms / _MS_PER_S
        max_down_s = min_down_s + _RETURN_MARGIN_S
        down = 0
        for instance in wave.chosen:
            maintenance_started_s = self._maintenance_started_s.get(
                instance, self._started_s
            )
            since_s = now_s - maintenance_started_s
            # The registered worker may have started before the maintenance,
            # so the instance counts as down for the minimum time in any case.
            is_back = instance in registered and since_s > min_down_s
            is_over = is_back or since_s > max_down_s
            down += instance not in wave.begun or not is_over
        return down

    def _drain(self, instance: str) -> bool:
        """Stops tasks as far as allowed; returns whether draining is done."""
        # A start that was planned before draining began may be stored only
        # now; its run would be lost with the instance.
        if self._draining_since_s[instance] >= self._timer.monotonic_s():
            return False
        # A list, not a generator: all workers must be drained, also after one
        # that is not done.
        not_drained = [
            worker
            for worker in self._state.workers_on(instance)
            if not self._drain_worker(worker)
        ]
        return not not_drained

    def _drain_worker(self, worker: worker_state.Worker) -> bool:
        if not worker.tasks:
            return True
        session = self._sessions.get(worker.record.worker_id)
        if session is None:
            return False
        since_s = self._draining_since_s[worker.record.instance]
        waited_s = self._timer.monotonic_s() - since_s
        has_long_running = False
        for task in list(self._state.tasks_on(worker)):
            located = self._state.task(task.key)
            if located is None:
                continue
            definition = located[1].definition
            if definition.long_running:
                has_long_running = True
                if self._may_stop(located[1], task):
                    session.stop(task.key, task.run)
            elif definition.checkpointing and waited_s > _DRAIN_TIMEOUT_S / 2:
                session.stop(task.key, task.run)
        return not has_long_running and waited_s > _DRAIN_TIMEOUT_S

    def _may_stop(
        self,
        step: jobs_module.Step,
        task: jobs_module.Task,
    ) -> bool:
        """Whether the step's availability budget allows stopping this task."""
        max_unavailable = step.definition.max_unavailable
        if not max_unavailable:
            return True
        unavailable = 0
        for other in step.tasks:
            if other is not task and not self._is_available(other):
                unavailable += 1
        return unavailable < max_unavailable

    def _is_available(self, task: jobs_module.Task) -> bool:
        if task.state is not jobs_module.TaskState.RUNNING:
            return False
        session = self._sessions.get(task.worker_id)
        if session is None or not session.is_responsive:
            return False
        run_id = (task.key, task.run)
        running_task = session.running.get(run_id)
        return (
            running_task is not None
            and running_task.percent >= _AVAILABLE_PERCENT
            and run_id not in session.stopping
        )

    async def _record_and_order(
        self,
        wave: waves.Wave,
        instance: str,
    ) -> None:
        chosen = commands.RecordMaintenance(
            wave.number, instance, commands.MaintenancePhase.CHOSEN
        )
        result = await self._committer.commit_decision(chosen)
        if isinstance(result, applier_module.AppliedProposal):
            await self._order_maintenance(wave, instance)

    async def _order_maintenance(
        self,
        wave: waves.Wave,
        instance: str,
    ) -> None:
        failure = await self._orders.maintain(instance, wave.number)
        phase = commands.MaintenancePhase.BEGUN
        if failure is not None:
            if failure.kind is not errors.ErrorKind.NOT_FOUND:
                self._log_order(wave, instance, failure.reason)
                return
            phase = commands.MaintenancePhase.GONE
        self._maintenance_started_s[instance] = self._timer.monotonic_s()
        await self._committer.commit(
            commands.RecordMaintenance(wave.number, instance, phase)
        )
        self._draining_since_s.pop(instance, None)
        self._log_order(wave, instance, None)

    def _log_order(
        self, wave: waves.Wave, instance: str, refused: str | None
    ) -> None:
        event_log.emit(
            events.MaintenanceOrdered(
                wave.number, instance, len(wave.remaining), refused
            )
        )
