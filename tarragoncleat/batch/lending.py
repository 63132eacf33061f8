"""Lends instances of the spare pool to pools whose queues have their turn.

Answers the load pattern in which the queues ask in turns for more than their
pools hold, while the instances of the spare pool are off and cost nothing.
"""

from collections.abc import Mapping
import dataclasses

from tarragoncleat import applier as applier_module
from tarragoncleat import errors
from tarragoncleat import event_log
from tarragoncleat import timer as timer_module
from tarragoncleat.batch import commands
from tarragoncleat.batch import events
from tarragoncleat.batch import state as state_module
from tarragoncleat.batch import worker_calls
from tarragoncleat.batch import worker_session

__all__ = ["Demand", "PoolLender", "choose_pool"]

_LIST_INTERVAL_S = 4.0
_IDLE_BEFORE_NEXT_S = 0.4
_IDLE_BEFORE_RETURN_S = 2.5
# An instance on its way counts as help for this long.
_ARRIVAL_S = 3.0
# An instance is worth its move when the waiting work fills this share of it.
_WORTH_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class Demand:
    """Work of a service that found no room, in 1/1000 core."""

    unplaced_millicores: int = 0
    instance_millicores: int = 1

    @property
    def instances(self) -> float:
        """How many more instances the work would fill."""
        return self.unplaced_millicores / max(1, self.instance_millicores)


def choose_pool(
    demands: Mapping[str, Demand], arriving: Mapping[str, int]
) -> str | None:
    """Returns the service that needs an instance most, or None.

    Args:
        demands: Work without room by service.
        arriving: Instances that are on their way, by service.
    """
    best = None
    best_need = _WORTH_SHARE
    for service, demand in sorted(demands.items()):
        need = demand.instances - arriving.get(service, 0)
        if need > best_need:
            best, best_need = service, need
    return best


class PoolLender:
    """Moves instances of the spare pool to other pools and back."""

    def __init__(
        self,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        instance_calls: worker_calls.InstanceCalls,
        committer: commands.Committer,
        holder: str,
        fence: int,
    ) -> None:
        """Begins at the start of a leader's term.

        Args:
            state: The replicated state, for reading.
            timer: Clock.
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
        self._spare: set[str] = set()
        self._next_list_s = 0.0
        self._idle_since_s: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._arriving: dict[str, tuple[str, float]] = {}

    def is_leaving(self, instance: str) -> bool:
        """Whether an instance gets no tasks because it is about to move."""
        return instance in self._leaving

    async def step(
        self, sessions: worker_session.Sessions, demands: Mapping[str, Demand]
    ) -> None:
        """Takes the next steps."""
        spare_pool = self._spare_pool()
        if spare_pool is None:
            return
        await self._list(spare_pool)
        self._forget_arrived()
        for session in list(sessions.values()):
            instance = session.record.instance
            if instance in self._state.loans:
                await self._step_lent(session, demands, spare_pool)
        for instance in sorted(self._spare):
            service = choose_pool(demands, self._arriving_by_service())
            if service is None:
                return
            if not self._is_due(instance):
                await self._move(instance, service, "")

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

    def _forget_arrived(self) -> None:
        now_s = self._timer.monotonic_s()
        here = {
            worker.record.instance for worker in self._state.workers.values()
        }
        for instance, (_, since_s) in list(self._arriving.items()):
            if instance in here or now_s - since_s > _ARRIVAL_S:
                del self._arriving[instance]

    def _arriving_by_service(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for service, _ in self._arriving.values():
            counts[service] = counts.get(service, 0) + 1
        return counts

    def _is_due(self, instance: str) -> bool:
        """Whether maintenance of the instance is under way or planned."""
        return any(
            instance in wave.instances and instance not in wave.begun
            for wave in self._state.waves.values()
        )

    async def _step_lent(
        self,
        session: worker_session.WorkerSession,
        demands: Mapping[str, Demand],
        spare_pool: str,
    ) -> None:
        """Lets an idle instance go where it is needed, or switches it off."""
        instance = session.record.instance
        service = session.record.service
        worker = self._state.workers.get(session.record.worker_id)
        own = demands.get(service, Demand())
        is_busy = worker is None or worker.tasks or own.unplaced_millicores
        if is_busy or self._is_due(instance):
            self._idle_since_s.pop(instance, None)
            self._leaving.discard(instance)
            return
        now_s = self._timer.monotonic_s()
        idle_s = now_s - self._idle_since_s.setdefault(instance, now_s)
        others = {
            name: demand for name, demand in demands.items() if name != service
        }
        target = choose_pool(others, self._arriving_by_service())
        if target is None and idle_s >= _IDLE_BEFORE_RETURN_S:
            target = spare_pool
        if target is None or idle_s < _IDLE_BEFORE_NEXT_S:
            self._leaving.discard(instance)
        elif instance in self._leaving:
            await self._move(instance, target, session.record.worker_id)
        else:
            # A start that is being stored now would be lost by the move.
            self._leaving.add(instance)

    async def _move(self, instance: str, service: str, worker_id: str) -> None:
        """Moves an instance on which nothing runs."""
        is_return = service == self._spare_pool()
        if not is_return and instance not in self._state.loans:
            lent = await self._committer.commit(commands.NoteLoan(instance))
            if not isinstance(lent, applier_module.Applied):
                return
        failure = await self._calls.move(
            instance, service, self._holder, self._fence
        )
        refused = failure.reason if failure is not None else None
        event_log.emit(events.InstanceMoved(instance, service, refused))
        self._spare.discard(instance)
        if failure is not None:
            self._leaving.discard(instance)
            self._idle_since_s.pop(instance, None)
            return
        if is_return:
            self._spare.add(instance)
        else:
            self._arriving[instance] = (service, self._timer.monotonic_s())
        if worker_id:
            await self._committer.commit(
                commands.LoseWorkers((worker_id,), is_final=True)
            )
        self._leaving.discard(instance)
        self._idle_since_s.pop(instance, None)
