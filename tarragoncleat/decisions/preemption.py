"""Makes room for an urgent job by interrupting less important ones.

What may be done to a job is stated in the profile of its service. The cheapest
set is chosen: checkpoints before throttles before stops, then the least work
lost, then the fewest jobs.
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
    "Room",
    "make_room",
    "may_interrupt",
    "order_key",
]

_SEVERITY = {
    profiles.Interruption.CHECKPOINT: 0,
    profiles.Interruption.THROTTLE: 1,
    profiles.Interruption.STOP: 2,
}
_ACTIONS = tuple(sorted(_SEVERITY, key=lambda action: _SEVERITY[action]))


@dataclasses.dataclass(frozen=True, slots=True)
class Interruption:
    """A running job, what is done to it, and the job that it is done for."""

    job: jobs.Job
    action: profiles.Interruption
    cause: ids.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """An instance and the interruptions that make room on it."""

    instance_id: ids.InstanceId
    interruptions: tuple[Interruption, ...]


def order_key(view: fleet_view.FleetView, job: jobs.Job) -> tuple:
    """Returns the key by which waiting jobs are placed."""
    return (
        not job.urgent,
        _rank(view, job),
        -job.priority,
        job.submitted_at_ms,
        job.job_id,
    )


def may_interrupt(view: fleet_view.FleetView, job: jobs.Job) -> bool:
    """Tells whether other jobs may be interrupted for this one."""
    return job.urgent or _rank(view, job) == profiles.Standing.URGENT.rank


def make_room(
    view: fleet_view.FleetView,
    capacity: pool_capacity.PoolCapacity,
    job: jobs.Job,
    now_ms: int,
) -> Room | None:
    """Returns the cheapest way to make room, or None when there is none."""
    best: tuple[tuple, Room] | None = None
    for host in capacity.ready_hosts:
        chosen = _victims(view, capacity, host, job, now_ms)
        if chosen is None:
            continue
        cost = (
            max((_SEVERITY[item.action] for item in chosen), default=0),
            sum(_lost_ms(item, now_ms) for item in chosen),
            len(chosen),
            host.instance.instance_id,
        )
        if best is None or cost < best[0]:
            best = (cost, Room(host.instance.instance_id, tuple(chosen)))
    return None if best is None else best[1]


def _victims(
    view: fleet_view.FleetView,
    capacity: pool_capacity.PoolCapacity,
    host: pool_capacity.Host,
    job: jobs.Job,
    now_ms: int,
) -> list[Interruption] | None:
    lesser = [
        other
        for other in host.active.values()
        if _is_less_important(view, other, job)
    ]
    lesser.sort(key=lambda other: now_ms - (other.started_at_ms or now_ms))
    chosen: dict[ids.JobId, Interruption] = {}
    for action in _ACTIONS:
        for other in lesser:
            if not _can_apply(view, other, action, chosen):
                continue
            chosen[other.job_id] = Interruption(other, action, job.job_id)
            if _has_room(capacity, host, job, chosen.values()):
                return _without_needless(capacity, host, job, chosen)
    return None


def _is_less_important(
    view: fleet_view.FleetView, other: jobs.Job, job: jobs.Job
) -> bool:
    other_key = (not other.urgent, _rank(view, other))
    return not other.urgent and other_key > (not job.urgent, _rank(view, job))


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


def _has_room(
    capacity: pool_capacity.PoolCapacity,
    host: pool_capacity.Host,
    job: jobs.Job,
    interruptions: Iterable[Interruption],
) -> bool:
    return capacity.fits_after(
        host, job, ((item.job, item.action) for item in interruptions)
    )


def _without_needless(
    capacity: pool_capacity.PoolCapacity,
    host: pool_capacity.Host,
    job: jobs.Job,
    chosen: dict[ids.JobId, Interruption],
) -> list[Interruption]:
    """Leaves out interruptions that turned out not to be needed."""
    kept = list(chosen.values())
    kept.sort(key=lambda item: -_SEVERITY[item.action])
    for item in tuple(kept):
        rest = [other for other in kept if other is not item]
        if _has_room(capacity, host, job, rest):
            kept = rest
    return kept


def _lost_ms(item: Interruption, now_ms: int) -> int:
    if item.action is not profiles.Interruption.STOP:
        return 0
    return now_ms - (item.job.started_at_ms or now_ms)


def _rank(view: fleet_view.FleetView, job: jobs.Job) -> int:
    profile = view.profile_of_service(job.service_id)
    standing = profiles.Standing.NORMAL if profile is None else profile.standing
    return standing.rank
