"""Moves idle instances between pools, and to and from the spare pool."""

from collections.abc import Callable, Iterator, Mapping, Sequence
import dataclasses
import math

import anyio

from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import events
from tarragoncleat.batch.pools import call_budget
from tarragoncleat.batch.pools import instance_orders
from tarragoncleat.batch.pools import pool_sizing
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.replicated import worker_state
from tarragoncleat.batch.workers import clients
from tarragoncleat.batch.workers import worker_session
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module

__all__ = ["PoolRebalancer"]

_MS_PER_S = 1000
_LIST_INTERVAL_S = 4.0
# While a pool lacks instances, those that come back from maintenance count.
_SHORTAGE_LIST_INTERVAL_S = 1.0
_IDLE_BEFORE_MOVE_S = 0.2
_IDLE_BEFORE_RETURN_S = 0.6
# Maximum time from the end of a move to the registration of the worker.
_REGISTRATION_TIMEOUT_S = 1.5
# Time before and after a move until its instance works: the round that plans
# it, and its worker's registration and first report.
_START_DELAY_S = 0.3
# A move whose request was not answered may still take effect within this time.
_UNANSWERED_MOVE_S = 4.0
# Share of the platform's call limit for moves; the rest is for maintenance.
_CALLS_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _PendingMove:
    """Time range in which an instance gets no tasks because it will move."""

    since_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Move:
    """A move to a pool; `worker_id` is empty for a switched-off instance."""

    instance: str
    pool: str
    worker_id: str


class PoolRebalancer:
    """Moves idle instances to pools with waiting work, or to the spare pool."""

    def __init__(
        self,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        bounds: bounds_module.Bounds,
        orders: instance_orders.InstanceOrders,
        committer: commands.Committer,
    ) -> None:
        """Creates the rebalancer at the start of a leader's term.

        Args:
            state: The replicated state, read only.
            timer: Clock.
            bounds: Limits of the deployment.
            orders: Sends the term's orders for instances.
            committer: Replicates commands.
        """
        self._state = state
        self._timer = timer
        self._orders = orders
        self._committer = committer
        self._arrival_timeout_s = (
            bounds.move_ms / _MS_PER_S + _REGISTRATION_TIMEOUT_S
        )
        self._budget = call_budget.CallBudget(
            bounds.instance_calls_per_s * _CALLS_SHARE, timer.monotonic_s()
        )
        self._trend = pool_sizing.LoadTrend(
            bounds.move_ms / _MS_PER_S + _START_DELAY_S
        )
        self._spare: set[str] = set()
        self._listed_s = -math.inf
        self._has_shortage = False
        self._idle_since_s: dict[str, float] = {}
        self._pending_moves: dict[str, _PendingMove] = {}
        self._arriving: dict[str, tuple[str, float]] = {}
        # Pairs of instance and pool that the platform refuses permanently.
        self._rejected_pools: set[tuple[str, str]] = set()

    def has_pending_move(self, instance: str) -> bool:
        """Whether an instance gets no tasks because it is about to move."""
        return instance in self._pending_moves

    def is_moving(self, instance: str) -> bool:
        """Whether a move of an instance is planned or under way."""
        return instance in self._pending_moves or instance in self._arriving

    @property
    def spare_count(self) -> int:
        """Number of instances in the spare pool, as known."""
        return len(self._spare)

    def arriving_counts(self) -> dict[str, int]:
        """Returns the number of instances that are moving to each service."""
        arriving: dict[str, int] = {}
        for service, _ in self._arriving.values():
            arriving[service] = arriving.get(service, 0) + 1
        return arriving

    async def step(
        self,
        sessions: worker_session.Sessions,
        demands: Mapping[str, pool_sizing.Demand],
        is_healthy: Callable[[str], bool] = lambda worker_id: True,
        is_reserved: Callable[[str], bool] = lambda instance: False,
    ) -> None:
        """Plans and sends moves; called periodically.

        Args:
            sessions: Sessions by worker.
            demands: Load by service; the capacity of instances that will move
                is deducted.
            is_healthy: Whether a worker may be moved to another pool.
            is_reserved: Whether an instance is being taken for maintenance. One
                that is only due for it may move; a wave can last for longer
                than a load peak.
        """
        spare_pool = self._spare_pool()
        if spare_pool is None:
            return
        now_s = self._timer.monotonic_s()
        self._trend.record_demands(demands, now_s)
        self._budget.refill(now_s)
        await self._refresh_spare_instances(spare_pool)
        self._remove_expired(now_s)
        moves = []
        idle_sessions = self._idle_sessions(sessions, now_s, is_reserved)
        for session in list(idle_sessions):
            healthy = is_healthy(session.record.worker_id)
            target_pool = self._target_pool(
                session, demands, spare_pool, healthy
            )
            if target_pool is not None and self._budget.try_acquire():
                record = session.record
                moves.append(
                    self._plan_move(
                        record.instance, target_pool, record.worker_id
                    )
                )
        for instance in sorted(self._spare):
            service = self._service_to_grow(demands, instance)
            if service is None:
                break
            if not is_reserved(instance) and self._budget.try_acquire():
                moves.append(self._plan_move(instance, service))
        self._has_shortage = self._service_to_grow(demands) is not None
        await self._execute(moves)

    def _spare_pool(self) -> str | None:
        configuration = self._state.configuration
        if configuration is None:
            return None
        for service in configuration.services:
            if service.is_spare:
                return service.name
        return None

    async def _refresh_spare_instances(self, spare_pool: str) -> None:
        """Reads the instances of the spare pool, at most once per interval."""
        now_s = self._timer.monotonic_s()
        interval_s = _LIST_INTERVAL_S
        if self._has_shortage:
            interval_s = _SHORTAGE_LIST_INTERVAL_S
        if now_s - self._listed_s < interval_s:
            return
        self._listed_s = now_s
        rows = await self._orders.list_instances()
        if isinstance(rows, errors.Failure):
            return
        self._spare = {
            row.instance
            for row in rows
            if row.pool == spare_pool and row.state is clients.InstanceState.UP
        }

    def _remove_expired(self, now_s: float) -> None:
        registered = {
            worker.record.instance for worker in self._state.workers.values()
        }
        for instance, (_, since_s) in list(self._arriving.items()):
            if (
                instance in registered
                or now_s - since_s > self._arrival_timeout_s
            ):
                del self._arriving[instance]
        for instance, pending in list(self._pending_moves.items()):
            if now_s > pending.until_s:
                del self._pending_moves[instance]

    def _service_to_grow(
        self, demands: Mapping[str, pool_sizing.Demand], instance: str = ""
    ) -> str | None:
        """Returns the service that lacks most and may get the instance."""
        eligible = {
            service: demand
            for service, demand in demands.items()
            if (instance, service) not in self._rejected_pools
        }
        return pool_sizing.service_to_grow(
            eligible, self._trend, self.arriving_counts()
        )

    def _idle_sessions(
        self,
        sessions: worker_session.Sessions,
        now_s: float,
        is_reserved: Callable[[str], bool],
    ) -> Iterator[worker_session.WorkerSession]:
        """Yields the sessions of workers that were idle for long enough."""
        idle_since_s = {}
        busy = {
            worker.record.instance
            for worker in self._state.workers.values()
            if worker.tasks
        }
        for session in sessions.values():
            instance = session.record.instance
            worker = self._state.workers.get(session.record.worker_id)
            if (
                worker is None
                or worker.state is not worker_state.WorkerState.UP
                or instance in busy
                or is_reserved(instance)
            ):
                self._pending_moves.pop(instance, None)
                continue
            since_s = self._idle_since_s.get(instance, now_s)
            idle_since_s[instance] = since_s
            if now_s - since_s >= _IDLE_BEFORE_MOVE_S:
                yield session
        self._idle_since_s = idle_since_s

    def _target_pool(
        self,
        session: worker_session.WorkerSession,
        demands: Mapping[str, pool_sizing.Demand],
        spare_pool: str,
        is_healthy: bool,
    ) -> str | None:
        """Returns the pool that an idle instance moves to now, or None.

        It gets no new tasks from one step before its move, because the move
        would end a run whose start is being stored.
        """
        instance, service = session.record.instance, session.record.service
        now_s = self._timer.monotonic_s()
        pending = self._pending_moves.get(instance)
        demand = demands.get(service)
        if demand is None:
            return None
        if pending is None:
            growth = self._trend.growth_millicores(service)
            if not pool_sizing.can_release_instance(demand, growth):
                return None
        target_pool = (
            self._service_to_grow(demands, instance) if is_healthy else None
        )
        idle_s = now_s - self._idle_since_s[instance]
        may_return = (
            idle_s >= _IDLE_BEFORE_RETURN_S
            # Late work that gives way to other pools needs the instance soon.
            and not demand.late_millicores
        )
        if target_pool is None and may_return:
            target_pool = spare_pool
        if target_pool is None or target_pool == service:
            self._pending_moves.pop(instance, None)
            return None
        if pending is None:
            until_s = now_s + _UNANSWERED_MOVE_S
            self._pending_moves[instance] = _PendingMove(now_s, until_s)
            demand.free_millicores -= session.record.cpu_millicores
            return None
        return target_pool if now_s > pending.since_s else None

    def _plan_move(
        self, instance: str, pool: str, worker_id: str = ""
    ) -> _Move:
        """Creates a move and counts the instance as arriving at the pool."""
        if pool != self._spare_pool():
            self._arriving[instance] = (pool, self._timer.monotonic_s())
        return _Move(instance, pool, worker_id)

    async def _execute(self, moves: Sequence[_Move]) -> None:
        """Sends all moves in parallel and commits them in one command.

        A queue's load peak lasts seconds; dozens of sequential moves with a
        commit each would be too late for it. Leadership is confirmed first,
        because a leader that was paused doesn't know what runs by now.
        """
        if not moves:
            return
        if not await self._committer.confirm_leadership():
            for move in moves:
                self._arriving.pop(move.instance, None)
            return
        moved: list[_Move] = []
        async with anyio.create_task_group() as tasks:
            for move in moves:
                tasks.start_soon(self._execute_move, move, moved)
        workers = tuple(move.worker_id for move in moved if move.worker_id)
        if workers:
            await self._committer.commit(
                commands.MarkWorkersLost(workers, is_final=True)
            )
        for move in moved:
            self._pending_moves.pop(move.instance, None)

    async def _execute_move(self, move: _Move, moved: list[_Move]) -> None:
        instance = move.instance
        failure = await self._orders.move(instance, move.pool)
        refusal_reason = failure.reason if failure is not None else None
        event_log.emit(
            events.InstanceMoved(instance, move.pool, refusal_reason)
        )
        self._spare.discard(instance)
        self._idle_since_s.pop(instance, None)
        if failure is None:
            moved.append(move)
            if move.pool == self._spare_pool():
                self._spare.add(instance)
            return
        self._arriving.pop(instance, None)
        if failure.kind is errors.ErrorKind.NOT_FOUND:
            self._rejected_pools.add((instance, move.pool))
        if failure.kind is not errors.ErrorKind.UNDECIDED:
            self._pending_moves.pop(instance, None)
