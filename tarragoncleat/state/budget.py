"""The availability budget of a pool.

The planner uses it to choose the next instances of a wave, and the fleet uses
it again when the step is committed. A step may take instances of a pool when
the instances that are in service and settled, less the taken ones, less the
largest loss of the profile's failure domain among those that remain, still
reach the floor (owed less `max_out`), and when no more than `max_out`
instances of the pool are out for maintenance at once.
"""

import collections
from collections.abc import Collection, Hashable, Iterable
import dataclasses

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = [
    "Room",
    "allows",
    "floor",
    "is_out",
    "is_settled",
    "max_out",
    "reserve",
    "spendable",
]

_MS_PER_S = 1000
_AWAY = frozenset(
    {
        pools.InstanceState.DRAINING,
        pools.InstanceState.IN_MAINTENANCE,
        pools.InstanceState.RETURNING,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """How many instances a pool can give up now.

    Attributes:
        allowed: Instances that the best choice could take. The reserve depends
            on which instances remain, so a chosen set is checked by `allows`.
        blocked_reason: Why `allowed` is zero, else None.
    """

    allowed: int
    blocked_reason: str | None


def max_out(profile: profiles.Profile) -> int:
    """Returns how many instances may be out for maintenance at once."""
    tolerance = profile.tolerance
    if tolerance.max_out is not None:
        return tolerance.max_out
    fraction = tolerance.max_out_fraction or 0.0
    # The small addition keeps 0.29 * 100 from being rounded down to 28.
    return int(fraction * profile.owed.instances + 1e-9)


def floor(profile: profiles.Profile) -> int:
    """Returns how many instances must stay in service and settled."""
    return max(0, profile.owed.instances - max_out(profile))


def is_settled(
    instance: pools.Instance, profile: profiles.Profile, now_ms: int
) -> bool:
    """Tells whether an instance counts as in service for the budget."""
    if instance.state is not pools.InstanceState.IN_SERVICE:
        return False
    in_service_ms = now_ms - instance.in_service_since_ms
    return in_service_ms >= profile.settle_s * _MS_PER_S


def is_out(
    instance: pools.Instance, profile: profiles.Profile, now_ms: int
) -> bool:
    """Tells whether an instance counts as out for maintenance.

    A maintained instance counts as out until it has settled.
    """
    if instance.state in _AWAY:
        return True
    if instance.state is not pools.InstanceState.IN_SERVICE:
        return False
    maintained = 0 < instance.maintained_at_ms >= instance.in_service_since_ms
    return maintained and not is_settled(instance, profile, now_ms)


def reserve(
    domain: profiles.FailureDomain, remaining: Iterable[pools.Instance]
) -> int:
    """Returns the largest loss of a failure domain among instances."""
    return max(_domain_sizes(domain, remaining), default=0)


def spendable(
    profile: profiles.Profile,
    instances_of_pool: Collection[pools.Instance],
    now_ms: int,
) -> Room:
    """Returns how many instances of the pool can be taken now.

    Args:
        profile: Profile of the service that the pool serves.
        instances_of_pool: Every instance of the pool, in any state.
        now_ms: Time in milliseconds since the epoch.
    """
    out = _out_ids(profile, instances_of_pool, now_ms)
    free = max_out(profile) - len(out)
    if free <= 0:
        return Room(0, _too_many_out(profile, len(out)))
    settled = _settled(profile, instances_of_pool, now_ms)
    sizes = _domain_sizes(profile.tolerance.failure_reserve, settled)
    above = len(settled) - floor(profile) - _least_reserve(profile, sizes)
    if above <= 0:
        return Room(0, _below_floor(profile, settled, 0))
    return Room(min(free, above), None)


def allows(
    profile: profiles.Profile,
    instances_of_pool: Collection[pools.Instance],
    take: Collection[ids.InstanceId],
    now_ms: int,
) -> None | errors.Failure:
    """Checks that the budget allows to take these instances together.

    Args:
        profile: Profile of the service that the pool serves.
        instances_of_pool: Every instance of the pool, in any state.
        take: Instances of the pool that would go out now.
        now_ms: Time in milliseconds since the epoch.

    Returns:
        None when the step fits, else a `Failure` of kind BUDGET that names
        the limit.
    """
    taken = set(take)
    unknown = taken - {item.instance_id for item in instances_of_pool}
    if unknown:
        return _refusal(f"not in the pool: {', '.join(sorted(unknown))}")
    out = _out_ids(profile, instances_of_pool, now_ms)
    if len(out | taken) > max_out(profile):
        return _refusal(_too_many_out(profile, len(out)))
    settled = _settled(profile, instances_of_pool, now_ms)
    remaining = [item for item in settled if item.instance_id not in taken]
    kept = reserve(profile.tolerance.failure_reserve, remaining)
    if len(remaining) - kept >= floor(profile):
        return None
    return _refusal(_below_floor(profile, remaining, len(taken)))


def _settled(
    profile: profiles.Profile,
    instances: Iterable[pools.Instance],
    now_ms: int,
) -> list[pools.Instance]:
    return [item for item in instances if is_settled(item, profile, now_ms)]


def _out_ids(
    profile: profiles.Profile,
    instances: Iterable[pools.Instance],
    now_ms: int,
) -> set[ids.InstanceId]:
    return {
        item.instance_id for item in instances if is_out(item, profile, now_ms)
    }


def _domain_of(
    domain: profiles.FailureDomain, instance: pools.Instance
) -> Hashable:
    if domain is profiles.FailureDomain.INSTANCE:
        return instance.instance_id
    if domain is profiles.FailureDomain.RACK:
        return instance.availability_zone, instance.rack
    return instance.availability_zone


def _domain_sizes(
    domain: profiles.FailureDomain, instances: Iterable[pools.Instance]
) -> list[int]:
    if domain is profiles.FailureDomain.NONE:
        return []
    counts = collections.Counter(_domain_of(domain, i) for i in instances)
    return list(counts.values())


def _least_reserve(profile: profiles.Profile, sizes: list[int]) -> int:
    """Returns the reserve that remains after the best choice of instances.

    Taking from the largest domain first lowers the reserve with each taken
    instance, until the other domains alone no longer reach the floor.
    """
    goal = floor(profile)
    for limit in range(max(sizes, default=0)):
        if sum(min(size, limit) for size in sizes) - limit >= goal:
            return limit
    return max(sizes, default=0)


def _too_many_out(profile: profiles.Profile, out: int) -> str:
    return (
        f"{out} instances are out for maintenance or not yet settled; "
        f"profile {profile.profile_id} allows {max_out(profile)} at once"
    )


def _below_floor(
    profile: profiles.Profile, remaining: list[pools.Instance], taken: int
) -> str:
    domain = profile.tolerance.failure_reserve
    kept = reserve(domain, remaining)
    return (
        f"{len(remaining)} settled instances remain after taking {taken}, "
        f"less a reserve of {kept} ({domain.value}); profile "
        f"{profile.profile_id} needs {floor(profile)}"
    )


def _refusal(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BUDGET, reason)
