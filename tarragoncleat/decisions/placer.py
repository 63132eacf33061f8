"""Places jobs on instances.

Jobs are placed in the order urgent, standing, priority, submission. When the
first waiting job of a pool fits nowhere, an instance is reserved for it and
later jobs are backfilled around the reservation. Urgent jobs get room by
interrupting less important ones as their profiles allow (`preemption`).
"""

from collections.abc import Callable, Collection
import dataclasses

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import pool_capacity
from tarragoncleat.decisions import preemption
from tarragoncleat.decisions import team_usage
from tarragoncleat.decisions import usage
from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = ["Decision", "Note", "Placement", "Placer"]

_MS_PER_S = 1000
# Jobs behind a blocked one that are tried for backfill in one decision. The
# limit keeps the cost of a decision independent of the length of the queue.
_BACKFILL_DEPTH = 50
# A pool in which jobs wait is examined again after this time even when
# nothing was recorded, because learned sizes and expected ends change.
_RECHECK_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A job, the instance that it goes to, and the size to reserve."""

    job_id: ids.JobId
    instance_id: ids.InstanceId
    size: jobs.Demand


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """A job that was not placed and why."""

    job: jobs.Job
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What to do about the waiting jobs now.

    Attributes:
        interruptions: Running jobs to interrupt, before the placements.
        placements: Jobs to place.
        unplaceable: Jobs that can never run as they are.
        waiting: Jobs that were examined and have to wait.
    """

    interruptions: tuple[preemption.Interruption, ...] = ()
    placements: tuple[Placement, ...] = ()
    unplaceable: tuple[Note, ...] = ()
    waiting: tuple[Note, ...] = ()


@dataclasses.dataclass(slots=True)
class _Reservation:
    instance_id: ids.InstanceId
    start_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Examined:
    """When a pool was last examined, and in which state."""

    view: fleet_view.PoolView
    ready: frozenset[ids.InstanceId]
    held: frozenset[ids.JobId]
    time_ms: int

    def still_holds(
        self,
        pool: fleet_view.PoolView,
        ready: frozenset[ids.InstanceId],
        held: frozenset[ids.JobId],
        now_ms: int,
    ) -> bool:
        fresh = now_ms - self.time_ms < _RECHECK_MS
        same = self.ready == ready and self.held == held
        return fresh and same and self.view is pool


@dataclasses.dataclass(slots=True)
class _PoolRound:
    """The state of one pool during one decision."""

    view: fleet_view.PoolView
    capacity: pool_capacity.PoolCapacity
    reservation: _Reservation | None = None
    tried: int = 0


class Placer:
    """Places waiting jobs, pool by pool where something changed."""

    def __init__(self, model: usage.UsageModel) -> None:
        """Creates a placer that takes sizes and run times from `model`."""
        self._model = model
        self._teams = team_usage.TeamUse()
        self._capacities: dict[ids.PoolId, pool_capacity.PoolCapacity] = {}
        self._examined: dict[ids.PoolId, _Examined] = {}

    def place(
        self,
        view: fleet_view.FleetView,
        now_ms: int,
        is_ready: Callable[[pools.Instance], bool],
        held: Collection[ids.JobId] = (),
    ) -> Decision:
        """Decides about the waiting jobs.

        Args:
            view: The fleet.
            now_ms: Time in milliseconds since the epoch.
            is_ready: Tells whether a worker holds a lease, so that it can
                start a job now.
            held: Jobs whose earlier task may still run somewhere; they wait.
        """
        self._teams.refresh(view)
        teams = self._teams.trial(view)
        rounds = self._open_rounds(view, now_ms, is_ready, held)
        waiting = [
            job
            for item in rounds.values()
            for job in item.view.waiting
            if job.job_id not in held
        ]
        waiting.sort(key=lambda job: preemption.order_key(view, job))
        draft = _Draft(view, now_ms, teams)
        for job in waiting:
            pool_id = view.services[job.service_id].pool_id
            self._place_one(rounds[pool_id], job, draft)
        return draft.finish()

    def _open_rounds(
        self,
        view: fleet_view.FleetView,
        now_ms: int,
        is_ready: Callable[[pools.Instance], bool],
        held: Collection[ids.JobId],
    ) -> dict[ids.PoolId, _PoolRound]:
        rounds = {}
        for pool_id in self._capacities.keys() - view.pools.keys():
            del self._capacities[pool_id]
            del self._examined[pool_id]
        for pool_id, pool in view.pools.items():
            if not pool.waiting:
                continue
            ready = frozenset(
                item.instance_id for item in pool.instances if is_ready(item)
            )
            kept = frozenset(
                job.job_id for job in pool.waiting if job.job_id in held
            )
            last = self._examined.get(pool_id)
            if last is not None and last.still_holds(pool, ready, kept, now_ms):
                continue
            self._examined[pool_id] = _Examined(pool, ready, kept, now_ms)
            capacity = self._capacities.get(pool_id)
            if capacity is None:
                capacity = pool_capacity.PoolCapacity(self._model)
                self._capacities[pool_id] = capacity
            capacity.update(pool, ready, now_ms)
            rounds[pool_id] = _PoolRound(pool, capacity)
        return rounds

    def _place_one(
        self, pool: _PoolRound, job: jobs.Job, draft: "_Draft"
    ) -> None:
        if pool.tried >= _BACKFILL_DEPTH and not job.urgent:
            return
        reason = pool.capacity.never_fits(job) or draft.teams.never_allows(job)
        if reason is not None:
            draft.unplaceable.append(Note(job, reason))
            return
        reason = draft.teams.refusal(job)
        if reason is not None:
            pool.tried += 1
            draft.waiting.append(Note(job, reason))
            return
        chosen = self._choose(pool, job, draft.now_ms)
        if chosen is None and preemption.may_interrupt(draft.view, job):
            chosen = self._make_room(pool, job, draft)
        if chosen is None:
            self._block(pool, job, draft)
            return
        size = pool.capacity.demand(job)
        pool.capacity.occupy(job, chosen)
        draft.teams.add(job)
        draft.placements.append(Placement(job.job_id, chosen, size))

    def _choose(
        self, pool: _PoolRound, job: jobs.Job, now_ms: int
    ) -> ids.InstanceId | None:
        reservation = pool.reservation
        if reservation is None or job.urgent:
            return pool.capacity.choose(job, None)
        end_ms = now_ms + self._model.run_s(job) * _MS_PER_S
        ends_before = end_ms <= reservation.start_ms
        excluded = None if ends_before else reservation.instance_id
        return pool.capacity.choose(job, excluded)

    def _make_room(
        self, pool: _PoolRound, job: jobs.Job, draft: "_Draft"
    ) -> ids.InstanceId | None:
        capacity = pool.capacity
        room = preemption.make_room(draft.view, capacity, job, draft.now_ms)
        if room is None:
            return None
        for interruption in room.interruptions:
            capacity.interrupt(interruption.job, interruption.action)
            if interruption.action is not profiles.Interruption.THROTTLE:
                draft.teams.add(interruption.job, -1)
        draft.interruptions.extend(room.interruptions)
        return room.instance_id

    def _block(self, pool: _PoolRound, job: jobs.Job, draft: "_Draft") -> None:
        pool.tried += 1
        is_first = pool.reservation is None
        reason = pool.capacity.blocked_reason(job, is_first)
        draft.waiting.append(Note(job, reason))
        if pool.reservation is not None:
            return
        earliest = pool.capacity.earliest_room(job, draft.now_ms)
        if earliest is not None:
            pool.reservation = _Reservation(*earliest)


class _Draft:
    """Collects the parts of a decision."""

    def __init__(
        self, view: fleet_view.FleetView, now_ms: int, teams: team_usage.Trial
    ) -> None:
        self.view = view
        self.now_ms = now_ms
        self.teams = teams
        self.interruptions: list[preemption.Interruption] = []
        self.placements: list[Placement] = []
        self.unplaceable: list[Note] = []
        self.waiting: list[Note] = []

    def finish(self) -> Decision:
        return Decision(
            tuple(self.interruptions),
            tuple(self.placements),
            tuple(self.unplaceable),
            tuple(self.waiting),
        )
