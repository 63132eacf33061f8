"""Preemption: interrupts less important jobs to free capacity for another.

The profile of a job's service states which interruptions are allowed. The
cheapest set is chosen: checkpoints before throttles before stops, then the
least work lost, then the fewest jobs.
"""

from collections.abc import Iterable
import dataclasses

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import pool_capacity
from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import profiles

__all__ = [
    "Interruption",
    "PreemptionPlan",
    "can_preempt",
    "placement_order",
    "plan_preemption",
]

_SEVERITY = {
    profiles.Interruption.CHECKPOINT: 0,
    profiles.Interruption.THROTTLE: 1,
    profiles.Interruption.STOP: 2,
}
_ACTIONS = tuple(sorted(_SEVERITY, key=lambda action: _SEVERITY[action]))


@dataclasses.dataclass(frozen=True, slots=True)
class Interruption:
    """A running job, its interruption, and the job that needs its capacity."""

    job: jobs.Job
    action: profiles.Interruption
    cause: ids.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """An instance and the interruptions that free the capacity on it."""

    instance_id: ids.InstanceId
    interruptions: tuple[Interruption, ...]


def placement_order(view: fleet_view.FleetView, job: jobs.Job) -> tuple:
    """Returns the key that sorts waiting jobs in the order of placement."""
    return (
        not job.urgent,
        _standing_rank(view, job),
        -job.priority,
        job.submitted_at_ms,
        job.job_id,
    )


def can_preempt(view: fleet_view.FleetView, job: jobs.Job) -> bool:
    """Returns whether other jobs may be interrupted for this one."""
    return (
        job.urgent or _standing_rank(view, job) == profiles.Standing.URGENT.rank
    )


def plan_preemption(
    view: fleet_view.FleetView,
    capacity: pool_capacity.PoolCapacity,
    job: jobs.Job,
    now_ms: int,
) -> PreemptionPlan | None:
    """Returns the cheapest plan that lets a job fit, or None."""
    best: tuple[tuple, PreemptionPlan] | None = None
    for host in capacity.ready_hosts:
        chosen = _choose_victims(view, capacity, host, job, now_ms)
        if chosen is None:
            continue
        cost = (
            max((_SEVERITY[item.action] for item in chosen), default=0),
            sum(_lost_run_ms(item, now_ms) for item in chosen),
            len(chosen),
            host.instance.instance_id,
        )
        if best is None or cost < best[0]:
            best = (
                cost,
                PreemptionPlan(host.instance.instance_id, tuple(chosen)),
            )
    return None if best is None else best[1]


def _choose_victims(
    view: fleet_view.FleetView,
    capacity: pool_capacity.PoolCapacity,
    host: pool_capacity.Host,
    job: jobs.Job,
    now_ms: int,
) -> list[Interruption] | None:
    less_important = [
        other
        for other in host.active.values()
        if _is_less_important(view, other, job)
    ]
    less_important.sort(
        key=lambda other: now_ms - (other.started_at_ms or now_ms)
    )
    chosen: dict[ids.JobId, Interruption] = {}
    for action in _ACTIONS:
        for other in less_important:
            if not _can_apply(view, other, action, chosen):
                continue
            chosen[other.job_id] = Interruption(other, action, job.job_id)
            if _fits_after(capacity, host, job, chosen.values()):
                return _without_unneeded(capacity, host, job, chosen)
    return None


def _is_less_important(
    view: fleet_view.FleetView, other: jobs.Job, job: jobs.Job
) -> bool:
    other_key = (not other.urgent, _standing_rank(view, other))
    return not other.urgent and other_key > (
        not job.urgent,
        _standing_rank(view, job),
    )


def _can_apply(
    view: fleet_view.FleetView,
    other: jobs.Job,
    action: profiles.Interruption,
    chosen: dict[ids.JobId, Interruption],
) -> bool:
    profile = view.profile_of_service(other.service_id)
    if profile is None or action not in profile.tolerance.actions:
        return False
    if action is profiles.Interruption.THROTTLE:
        running = other.state is jobs.JobState.RUNNING
        return running and other.job_id not in chosen
    earlier = chosen.get(other.job_id)
    return earlier is None or (earlier.action is profiles.Interruption.THROTTLE)


def _fits_after(
    capacity: pool_capacity.PoolCapacity,
    host: pool_capacity.Host,
    job: jobs.Job,
    interruptions: Iterable[Interruption],
) -> bool:
    return capacity.fits_after(
        host, job, ((item.job, item.action) for item in interruptions)
    )


def _without_unneeded(
    capacity: pool_capacity.PoolCapacity,
    host: pool_capacity.Host,
    job: jobs.Job,
    chosen: dict[ids.JobId, Interruption],
) -> list[Interruption]:
    """Leaves out interruptions that are not needed in the end."""
    needed = list(chosen.values())
    needed.sort(key=lambda item: -_SEVERITY[item.action])
    for item in tuple(needed):
        others = [other for other in needed if other is not item]
        if _fits_after(capacity, host, job, others):
            needed = others
    return needed


def _lost_run_ms(item: Interruption, now_ms: int) -> int:
    if item.action is not profiles.Interruption.STOP:
        return 0
    return now_ms - (item.job.started_at_ms or now_ms)


def _standing_rank(view: fleet_view.FleetView, job: jobs.Job) -> int:
    profile = view.profile_of_service(job.service_id)
    standing = profiles.Standing.NORMAL if profile is None else profile.standing
    return standing.rank
