"""The availability budget of a pool.

The planner uses the budget to choose the next instances of a wave. The fleet
checks it again when the step is committed.

Instances of a pool may be drained together if both conditions hold:

- The instances that stay settled in service, minus the largest number of them
  in one failure domain (the failure reserve), reach the floor, which is the
  owed number of instances minus `max_out`.
- At most `max_out` instances of the pool are out for maintenance at once.
"""

import collections
from collections.abc import Collection, Hashable, Iterable
import dataclasses

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = [
    "Headroom",
    "check_drain",
    "failure_reserve",
    "floor",
    "headroom",
    "is_out",
    "is_settled",
    "max_out",
]

_MS_PER_S = 1000
_OUT_STATES = frozenset(
    {
        pools.InstanceState.DRAINING,
        pools.InstanceState.IN_MAINTENANCE,
        pools.InstanceState.RETURNING,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Headroom:
    """How many more instances of a pool may be drained now.

    Attributes:
        allowed: Size of the largest set of instances that the budget allows.
            The failure reserve depends on which instances remain, so each
            chosen set needs a `check_drain`.
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
    # Without the addition, 0.29 * 100 would be rounded down to 28.
    return int(fraction * profile.owed.instances + 1e-9)


def floor(profile: profiles.Profile) -> int:
    """Returns how many instances must stay settled in service."""
    return max(0, profile.owed.instances - max_out(profile))


def is_settled(
    instance: pools.Instance, profile: profiles.Profile, now_ms: int
) -> bool:
    """Returns whether an instance counts as in service for the budget.

    It must have been in service for the settling time of the profile.
    """
    if instance.state is not pools.InstanceState.IN_SERVICE:
        return False
    in_service_ms = now_ms - instance.in_service_since_ms
    return in_service_ms >= profile.settle_s * _MS_PER_S


def is_out(
    instance: pools.Instance, profile: profiles.Profile, now_ms: int
) -> bool:
    """Returns whether an instance counts as out for maintenance.

    After maintenance, an instance counts as out until it has settled.
    """
    if instance.state in _OUT_STATES:
        return True
    if instance.state is not pools.InstanceState.IN_SERVICE:
        return False
    returned_from_maintenance = (
        0 < instance.maintained_at_ms >= instance.in_service_since_ms
    )
    return returned_from_maintenance and not is_settled(
        instance, profile, now_ms
    )


def failure_reserve(
    domain: profiles.FailureDomain, remaining: Iterable[pools.Instance]
) -> int:
    """Returns the size of the largest failure domain among the instances."""
    return max(_domain_sizes(domain, remaining), default=0)


def headroom(
    profile: profiles.Profile,
    instances_of_pool: Collection[pools.Instance],
    now_ms: int,
) -> Headroom:
    """Returns how many instances of the pool may be drained now.

    Args:
        profile: Profile of the service that the pool serves.
        instances_of_pool: Every instance of the pool, in any state.
        now_ms: Time in milliseconds since the epoch.
    """
    out = _out_ids(profile, instances_of_pool, now_ms)
    below_max_out = max_out(profile) - len(out)
    if below_max_out <= 0:
        return Headroom(0, _too_many_out(profile, len(out)))
    settled = _settled_instances(profile, instances_of_pool, now_ms)
    sizes = _domain_sizes(profile.tolerance.failure_reserve, settled)
    above_floor = len(settled) - floor(profile) - _least_reserve(profile, sizes)
    if above_floor <= 0:
        return Headroom(0, _below_floor(profile, settled, 0))
    return Headroom(min(below_max_out, above_floor), None)


def check_drain(
    profile: profiles.Profile,
    instances_of_pool: Collection[pools.Instance],
    drained_ids: Collection[ids.InstanceId],
    now_ms: int,
) -> None | errors.Failure:
    """Checks that the budget allows draining these instances together.

    Args:
        profile: Profile of the service that the pool serves.
        instances_of_pool: Every instance of the pool, in any state.
        drained_ids: Instances of the pool to drain now.
        now_ms: Time in milliseconds since the epoch.

    Returns:
        None, or a `Failure` of kind BUDGET that names the exceeded limit.
    """
    drained = set(drained_ids)
    unknown = drained - {item.instance_id for item in instances_of_pool}
    if unknown:
        return _budget_failure(f"not in the pool: {', '.join(sorted(unknown))}")
    out = _out_ids(profile, instances_of_pool, now_ms)
    if len(out | drained) > max_out(profile):
        return _budget_failure(_too_many_out(profile, len(out)))
    settled = _settled_instances(profile, instances_of_pool, now_ms)
    remaining = [item for item in settled if item.instance_id not in drained]
    reserve = failure_reserve(profile.tolerance.failure_reserve, remaining)
    if len(remaining) - reserve >= floor(profile):
        return None
    return _budget_failure(_below_floor(profile, remaining, len(drained)))


def _settled_instances(
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


def _domain_key(
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
    counts = collections.Counter(
        _domain_key(domain, item) for item in instances
    )
    return list(counts.values())


def _least_reserve(profile: profiles.Profile, sizes: list[int]) -> int:
    """Returns the smallest failure reserve after any choice of instances.

    Draining from the largest domains first lowers the reserve, until the
    remaining instances minus the reserve no longer reach the floor.
    """
    required = floor(profile)
    for limit in range(max(sizes, default=0)):
        if sum(min(size, limit) for size in sizes) - limit >= required:
            return limit
    return max(sizes, default=0)


def _too_many_out(profile: profiles.Profile, out: int) -> str:
    return (
        f"{out} instances are out for maintenance or not yet settled; "
        f"profile {profile.profile_id} allows {max_out(profile)} at once"
    )


def _below_floor(
    profile: profiles.Profile,
    remaining: list[pools.Instance],
    drained_count: int,
) -> str:
    domain = profile.tolerance.failure_reserve
    reserve = failure_reserve(domain, remaining)
    return (
        f"{len(remaining)} settled instances remain after taking "
        f"{drained_count}, less a reserve of {reserve} ({domain.value}); "
        f"profile {profile.profile_id} needs {floor(profile)}"
    )


def _budget_failure(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BUDGET, reason)
