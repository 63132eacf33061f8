"""Places jobs on instances.

Jobs are placed in the order urgent, standing, priority, submission. When the
first waiting job of a pool fits nowhere, an instance is reserved for it and
later jobs are backfilled around the reservation. Urgent jobs preempt less
important ones as their profiles allow (`preemption`).
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

__all__ = ["Decision", "Placement", "Placer", "UnplacedJob"]

_MS_PER_S = 1000
# Jobs behind a blocked one that are tried for backfill in one decision. The
# limit keeps the cost of a decision independent of the length of the queue.
_BACKFILL_DEPTH = 50
# A pool in which jobs wait is examined again after this time even when
# nothing was recorded, because learned sizes and expected ends change.
_RECHECK_INTERVAL_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A job, the instance to place it on, and the size to reserve."""

    job_id: ids.JobId
    instance_id: ids.InstanceId
    size: jobs.Demand


@dataclasses.dataclass(frozen=True, slots=True)
class UnplacedJob:
    """A job that was not placed, and the reason."""

    job: jobs.Job
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The outcome of one round over the waiting jobs.

    Attributes:
        interruptions: Running jobs to interrupt, before the placements.
        placements: Jobs to place.
        unplaceable: Jobs that can never run as they are.
        waiting: Jobs that were examined and have to wait.
    """

    interruptions: tuple[preemption.Interruption, ...] = ()
    placements: tuple[Placement, ...] = ()
    unplaceable: tuple[UnplacedJob, ...] = ()
    waiting: tuple[UnplacedJob, ...] = ()


@dataclasses.dataclass(slots=True)
class _Reservation:
    instance_id: ids.InstanceId
    start_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class _LastExamination:
    """The inputs with which a pool was last examined."""

    view: fleet_view.PoolView
    ready: frozenset[ids.InstanceId]
    possibly_running: frozenset[ids.JobId]
    time_ms: int

    def is_current(
        self,
        pool: fleet_view.PoolView,
        ready: frozenset[ids.InstanceId],
        possibly_running: frozenset[ids.JobId],
        now_ms: int,
    ) -> bool:
        is_recent = now_ms - self.time_ms < _RECHECK_INTERVAL_MS
        is_same = (
            self.ready == ready and self.possibly_running == possibly_running
        )
        return is_recent and is_same and self.view is pool


@dataclasses.dataclass(slots=True)
class _PoolRound:
    """The state of one pool during one decision."""

    view: fleet_view.PoolView
    capacity: pool_capacity.PoolCapacity
    reservation: _Reservation | None = None
    blocked_count: int = 0


class Placer:
    """Places waiting jobs in the pools where something changed."""

    def __init__(self, model: usage.UsageModel) -> None:
        """Creates a placer that gets sizes and run times from `model`."""
        self._model = model
        self._teams = team_usage.TeamUsage()
        self._capacities: dict[ids.PoolId, pool_capacity.PoolCapacity] = {}
        self._examined: dict[ids.PoolId, _LastExamination] = {}

    def place(
        self,
        view: fleet_view.FleetView,
        now_ms: int,
        is_ready: Callable[[pools.Instance], bool],
        possibly_running: Collection[ids.JobId] = (),
    ) -> Decision:
        """Decides about the waiting jobs.

        Args:
            view: The fleet.
            now_ms: Time in milliseconds since the epoch.
            is_ready: Returns whether a worker holds a lease, so that it can
                start a job now.
            possibly_running: Jobs of which an earlier task may still run; they
                wait.
        """
        self._teams.refresh(view)
        teams = self._teams.tentative_usage(view)
        rounds = self._start_rounds(view, now_ms, is_ready, possibly_running)
        waiting = [
            job
            for item in rounds.values()
            for job in item.view.waiting
            if job.job_id not in possibly_running
        ]
        waiting.sort(key=lambda job: preemption.placement_order(view, job))
        builder = _DecisionBuilder(view, now_ms, teams)
        for job in waiting:
            pool_id = view.services[job.service_id].pool_id
            self._place_job(rounds[pool_id], job, builder)
        return builder.build()

    def _start_rounds(
        self,
        view: fleet_view.FleetView,
        now_ms: int,
        is_ready: Callable[[pools.Instance], bool],
        possibly_running: Collection[ids.JobId],
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
            pool_possibly_running = frozenset(
                job.job_id
                for job in pool.waiting
                if job.job_id in possibly_running
            )
            last = self._examined.get(pool_id)
            if last is not None and last.is_current(
                pool, ready, pool_possibly_running, now_ms
            ):
                continue
            self._examined[pool_id] = _LastExamination(
                pool, ready, pool_possibly_running, now_ms
            )
            capacity = self._capacities.get(pool_id)
            if capacity is None:
                capacity = pool_capacity.PoolCapacity(self._model)
                self._capacities[pool_id] = capacity
            capacity.update(pool, ready, now_ms)
            capacity.isolate(view.suspects, now_ms)
            rounds[pool_id] = _PoolRound(pool, capacity)
        return rounds

    def _place_job(
        self, pool: _PoolRound, job: jobs.Job, builder: "_DecisionBuilder"
    ) -> None:
        if pool.blocked_count >= _BACKFILL_DEPTH and not job.urgent:
            return
        reason = pool.capacity.unplaceable_reason(
            job
        ) or builder.teams.unplaceable_reason(job)
        if reason is not None:
            builder.unplaceable.append(UnplacedJob(job, reason))
            return
        reason = builder.teams.wait_reason(job)
        if reason is not None:
            pool.blocked_count += 1
            builder.waiting.append(UnplacedJob(job, reason))
            return
        instance_id = self._choose(pool, job, builder.now_ms)
        if instance_id is None and preemption.can_preempt(builder.view, job):
            instance_id = self._preempt(pool, job, builder)
        if instance_id is None:
            self._record_blocked(pool, job, builder)
            return
        size = pool.capacity.demand(job)
        pool.capacity.reserve(job, instance_id)
        builder.teams.add(job)
        builder.placements.append(Placement(job.job_id, instance_id, size))

    def _choose(
        self, pool: _PoolRound, job: jobs.Job, now_ms: int
    ) -> ids.InstanceId | None:
        reservation = pool.reservation
        if reservation is None or job.urgent:
            return pool.capacity.best_host(job, None)
        end_ms = now_ms + self._model.expected_run_s(job) * _MS_PER_S
        ends_before = end_ms <= reservation.start_ms
        excluded = None if ends_before else reservation.instance_id
        return pool.capacity.best_host(job, excluded)

    def _preempt(
        self, pool: _PoolRound, job: jobs.Job, builder: "_DecisionBuilder"
    ) -> ids.InstanceId | None:
        capacity = pool.capacity
        plan = preemption.plan_preemption(
            builder.view, capacity, job, builder.now_ms
        )
        if plan is None:
            return None
        for interruption in plan.interruptions:
            capacity.apply_interruption(interruption.job, interruption.action)
            if interruption.action is not profiles.Interruption.THROTTLE:
                builder.teams.add(interruption.job, -1)
        builder.interruptions.extend(plan.interruptions)
        return plan.instance_id

    def _record_blocked(
        self, pool: _PoolRound, job: jobs.Job, builder: "_DecisionBuilder"
    ) -> None:
        pool.blocked_count += 1
        is_first = pool.reservation is None
        reason = pool.capacity.wait_reason(job, is_first)
        builder.waiting.append(UnplacedJob(job, reason))
        if pool.reservation is not None:
            return
        start = pool.capacity.earliest_start(job, builder.now_ms)
        if start is not None:
            pool.reservation = _Reservation(*start)


class _DecisionBuilder:
    """Collects the parts of a decision."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        now_ms: int,
        teams: team_usage.TentativeUsage,
    ) -> None:
        self.view = view
        self.now_ms = now_ms
        self.teams = teams
        self.interruptions: list[preemption.Interruption] = []
        self.placements: list[Placement] = []
        self.unplaceable: list[UnplacedJob] = []
        self.waiting: list[UnplacedJob] = []

    def build(self) -> Decision:
        return Decision(
            tuple(self.interruptions),
            tuple(self.placements),
            tuple(self.unplaceable),
            tuple(self.waiting),
        )
