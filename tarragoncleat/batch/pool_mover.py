"""Moves instances between pools, and to and from the spare pool."""

from collections.abc import Callable, Iterator, Mapping, Sequence
import dataclasses

import anyio

from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import commands
from tarragoncleat.batch import events
from tarragoncleat.batch import pool_sizing
from tarragoncleat.batch import state as state_module
from tarragoncleat.batch import worker_calls
from tarragoncleat.batch import worker_session
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module

__all__ = ["PoolMover"]

_MS_PER_S = 1000
_LIST_INTERVAL_S = 4.0
_VACANT_BEFORE_MOVE_S = 0.2
_VACANT_BEFORE_RETURN_S = 0.6
# A worker registers within this time after its instance has moved.
_REGISTRATION_S = 1.5
# A move without an answer may be carried out this much later.
_LATE_MOVE_S = 4.0
# Moves leave this share of the platform's allowed calls to maintenance.
_CALLS_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Leaving:
    """An instance that gets no more tasks because it is about to move."""

    since_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Move:
    """A move to a pool; `worker_id` is empty for an instance that is off."""

    instance: str
    pool: str
    worker_id: str


class PoolMover:
    """Lets vacant instances go where work waits, or switches them off."""

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
        self._calls = instance_calls
        self._committer = committer
        self._holder = holder
        self._fence = fence
        self._arrival_s = bounds.move_ms / _MS_PER_S + _REGISTRATION_S
        self._calls_per_s = bounds.instance_calls_per_s * _CALLS_SHARE
        self._calls_left = self._calls_per_s
        self._calls_at_s = timer.monotonic_s()
        self._trend = pool_sizing.LoadTrend()
        self._spare: set[str] = set()
        self._next_list_s = 0.0
        self._vacant_since_s: dict[str, float] = {}
        self._leaving: dict[str, _Leaving] = {}
        self._arriving: dict[str, tuple[str, float]] = {}
        # Pools for which the platform refused an instance as unfit.
        self._unfit: set[tuple[str, str]] = set()

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance gets no tasks because it is about to move."""
        return instance in self._leaving

    async def step(
        self,
        sessions: worker_session.Sessions,
        demands: Mapping[str, pool_sizing.Demand],
        is_sound: Callable[[str], bool] = lambda worker_id: True,
    ) -> None:
        """Takes the next steps.

        Args:
            sessions: Sessions by worker.
            demands: Load by service; what moves is taken off it.
            is_sound: Whether a worker may be given to another pool.
        """
        spare_pool = self._spare_pool()
        if spare_pool is None:
            return
        now_s = self._timer.monotonic_s()
        self._trend.note(demands, now_s)
        self._refill_calls(now_s)
        await self._list(spare_pool)
        self._forget_past(now_s)
        moves = []
        for session in list(self._vacant(sessions, now_s)):
            sound = is_sound(session.record.worker_id)
            target = self._target(session, demands, spare_pool, sound)
            if target is not None and self._take_call():
                record = session.record
                moves.append(
                    self._plan_move(record.instance, target, record.worker_id)
                )
        for instance in sorted(self._spare):
            service = self._neediest(demands, instance)
            if service is None:
                break
            if not self._is_due(instance) and self._take_call():
                moves.append(self._plan_move(instance, service))
        await self._carry_out(moves)

    def _spare_pool(self) -> str | None:
        configuration = self._state.configuration
        if configuration is None:
            return None
        for service in configuration.services:
            if service.is_spare:
                return service.name
        return None

    async def _list(self, spare_pool: str) -> None:
        """Reads now and then which instances are off."""
        now_s = self._timer.monotonic_s()
        if now_s < self._next_list_s:
            return
        self._next_list_s = now_s + _LIST_INTERVAL_S
        rows = await self._calls.list_instances()
        if isinstance(rows, errors.Failure):
            return
        self._spare = {
            row.instance
            for row in rows
            if row.pool == spare_pool
            and row.state is worker_calls.InstanceState.UP
        }

    def _refill_calls(self, now_s: float) -> None:
        passed_s = now_s - self._calls_at_s
        self._calls_at_s = now_s
        self._calls_left = min(
            self._calls_per_s, self._calls_left + passed_s * self._calls_per_s
        )

    def _take_call(self) -> bool:
        if self._calls_left < 1:
            return False
        self._calls_left -= 1
        return True

    def _forget_past(self, now_s: float) -> None:
        here = {
            worker.record.instance for worker in self._state.workers.values()
        }
        for instance, (_, since_s) in list(self._arriving.items()):
            if instance in here or now_s - since_s > self._arrival_s:
                del self._arriving[instance]
        for instance, leaving in list(self._leaving.items()):
            if now_s > leaving.until_s:
                del self._leaving[instance]

    def _neediest(
        self, demands: Mapping[str, pool_sizing.Demand], instance: str
    ) -> str | None:
        arriving: dict[str, int] = {}
        for service, _ in self._arriving.values():
            arriving[service] = arriving.get(service, 0) + 1
        fit = {
            service: demand
            for service, demand in demands.items()
            if (instance, service) not in self._unfit
        }
        return pool_sizing.neediest(fit, self._trend, arriving)

    def _is_due(self, instance: str) -> bool:
        """Whether maintenance of the instance is under way or planned."""
        return any(
            instance in wave.instances and instance not in wave.begun
            for wave in self._state.waves.values()
        )

    def _vacant(
        self, sessions: worker_session.Sessions, now_s: float
    ) -> Iterator[worker_session.WorkerSession]:
        """Yields the sessions of workers that run nothing."""
        vacant_since_s = {}
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
                or worker.state is not state_module.WorkerState.UP
                or instance in busy
                or self._is_due(instance)
            ):
                self._leaving.pop(instance, None)
                continue
            since_s = self._vacant_since_s.get(instance, now_s)
            vacant_since_s[instance] = since_s
            if now_s - since_s >= _VACANT_BEFORE_MOVE_S:
                yield session
        self._vacant_since_s = vacant_since_s

    def _target(
        self,
        session: worker_session.WorkerSession,
        demands: Mapping[str, pool_sizing.Demand],
        spare_pool: str,
        is_sound: bool,
    ) -> str | None:
        """Returns where a vacant instance moves now, or None.

        It is closed to new tasks one step before it moves: a start that is
        being stored now would be lost by the move.
        """
        instance, service = session.record.instance, session.record.service
        now_s = self._timer.monotonic_s()
        leaving = self._leaving.get(instance)
        demand = demands.get(service)
        if demand is None:
            return None
        if leaving is None:
            growth = self._trend.growth_millicores(service)
            if not pool_sizing.can_spare(demand, growth):
                return None
        target = self._neediest(demands, instance) if is_sound else None
        vacant_s = now_s - self._vacant_since_s[instance]
        if target is None and vacant_s >= _VACANT_BEFORE_RETURN_S:
            target = spare_pool
        if target is None or target == service:
            self._leaving.pop(instance, None)
            return None
        if leaving is None:
            until_s = now_s + _LATE_MOVE_S
            self._leaving[instance] = _Leaving(now_s, until_s)
            demand.free_millicores -= session.record.cpu_millicores
            return None
        return target if now_s > leaving.since_s else None

    def _plan_move(
        self, instance: str, pool: str, worker_id: str = ""
    ) -> _Move:
        """Counts a move as under way, before the platform has answered."""
        if pool != self._spare_pool():
            self._arriving[instance] = (pool, self._timer.monotonic_s())
        return _Move(instance, pool, worker_id)

    async def _carry_out(self, moves: Sequence[_Move]) -> None:
        """Moves instances on which nothing runs, all at once.

        A queue's turn lasts seconds; dozens of moves one after another, each
        with its commit, would come too late for it. A leader that was frozen
        knows nothing of what runs by now, so it confirms first that it leads.
        """
        if not moves:
            return
        if not await self._committer.confirm():
            for move in moves:
                self._arriving.pop(move.instance, None)
            return
        moved: list[_Move] = []
        async with anyio.create_task_group() as tasks:
            for move in moves:
                tasks.start_soon(self._call, move, moved)
        workers = tuple(move.worker_id for move in moved if move.worker_id)
        if workers:
            await self._committer.commit(
                commands.LoseWorkers(workers, is_final=True)
            )
        for move in moved:
            self._leaving.pop(move.instance, None)

    async def _call(self, move: _Move, moved: list[_Move]) -> None:
        instance = move.instance
        failure = await self._calls.move(
            instance, move.pool, self._holder, self._fence
        )
        refused = failure.reason if failure is not None else None
        event_log.emit(events.InstanceMoved(instance, move.pool, refused))
        self._spare.discard(instance)
        self._vacant_since_s.pop(instance, None)
        if failure is None:
            moved.append(move)
            if move.pool == self._spare_pool():
                self._spare.add(instance)
            return
        self._arriving.pop(instance, None)
        if failure.kind is errors.ErrorKind.NOT_FOUND:
            self._unfit.add((instance, move.pool))
        if failure.kind is not errors.ErrorKind.UNDECIDED:
            self._leaving.pop(instance, None)
