"""Profiles, the services that run under them, and team quotas."""

import dataclasses
import enum

import pydantic

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids

__all__ = [
    "Capacity",
    "FailureDomain",
    "Interruption",
    "Placement",
    "Profile",
    "Service",
    "Standing",
    "Team",
    "Tolerance",
    "check_capacity",
    "check_profile",
]

# Sums over a whole fleet must stay within 64 bits.
_MAX_AMOUNT = 10**12
_MAX_TIME_S = 366 * 86_400


class Standing(enum.Enum):
    """Order under scarcity: LOW is refused first, URGENT last."""

    URGENT = "urgent"
    NORMAL = "normal"
    LOW = "low"

    @property
    def rank(self) -> int:
        """Zero for URGENT, rising as the standing falls."""
        return _RANKS[self]


_RANKS = {Standing.URGENT: 0, Standing.NORMAL: 1, Standing.LOW: 2}


class FailureDomain(enum.Enum):
    """The largest correlated loss that a budget keeps in reserve."""

    NONE = "none"
    INSTANCE = "instance"
    RACK = "rack"
    AVAILABILITY_ZONE = "availability_zone"


class Interruption(enum.Enum):
    """What may be done to a running task to make room."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """An amount of capacity; memory in MB."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    instances: int = 0
    slots: int = 0
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where the capacity has to be. Zero `max_per_rack` means no limit."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    availability_zones: tuple[ids.AvailabilityZone, ...] = ()
    max_per_rack: int = 0
    spread: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """The availability budget and the allowed interruptions.

    Exactly one of `max_out` (instances) and `max_out_fraction` (of the owed
    instances, rounded down) is set.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    max_out: int | None = 1
    max_out_fraction: float | None = None
    max_out_s: int = 3600
    failure_reserve: FailureDomain = FailureDomain.NONE
    actions: tuple[Interruption, ...] = (Interruption.STOP,)


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """What a class of work is owed."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    profile_id: ids.ProfileId
    firm: ids.FirmId
    owed: Capacity
    placement: Placement = Placement()
    tolerance: Tolerance = Tolerance()
    standing: Standing = Standing.NORMAL
    settle_s: int = 30
    revision: ids.Revision = ids.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and the profile that it runs under."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    service_id: ids.ServiceId
    profile_id: ids.ProfileId
    firm: ids.FirmId
    pool_id: ids.PoolId
    revision: ids.Revision = ids.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team and its quota."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    team_id: ids.TeamId
    firm: ids.FirmId
    quota: Capacity
    revision: ids.Revision = ids.Revision(0)


def check_capacity(capacity: Capacity, what: str) -> errors.Failure | None:
    """Checks that every part of an amount is a number within the limits."""
    for field in dataclasses.fields(capacity):
        value = getattr(capacity, field.name)
        if not 0 <= value <= _MAX_AMOUNT:
            return _bad(
                f"{what}.{field.name} must be 0 to {_MAX_AMOUNT}, not {value}"
            )
    return None


def check_profile(profile: Profile) -> errors.Failure | None:
    """Checks that a profile can be kept at all.

    Returns:
        None, or a `Failure` of kind BAD_REQUEST that names the field.
    """
    return errors.first_failure(
        check_capacity(profile.owed, "owed"),
        _check_tolerance(profile.tolerance, profile.owed.instances),
        _check_placement(profile.placement),
        _check_settling(profile),
    )


def _check_settling(profile: Profile) -> errors.Failure | None:
    if not 0 <= profile.settle_s <= _MAX_TIME_S:
        return _bad(
            f"settle_s must be 0 to {_MAX_TIME_S}, not {profile.settle_s}"
        )
    return None


def _check_tolerance(tolerance: Tolerance, owed: int) -> errors.Failure | None:
    count = tolerance.max_out
    fraction = tolerance.max_out_fraction
    if (count is None) == (fraction is None):
        return _bad(
            "tolerance: exactly one of max_out and max_out_fraction must be set"
        )
    if count is not None and not 0 <= count <= owed:
        return _bad(
            f"tolerance.max_out must be 0 to owed.instances ({owed}), "
            f"not {count}"
        )
    if fraction is not None and not 0.0 <= fraction <= 1.0:
        return _bad(
            f"tolerance.max_out_fraction must be 0 to 1, not {fraction}"
        )
    if not 0 < tolerance.max_out_s <= _MAX_TIME_S:
        return _bad(
            f"tolerance.max_out_s must be 1 to {_MAX_TIME_S}, "
            f"not {tolerance.max_out_s}"
        )
    if len(set(tolerance.actions)) != len(tolerance.actions):
        return _bad("tolerance.actions names an action twice")
    return None


def _check_placement(placement: Placement) -> errors.Failure | None:
    zones = placement.availability_zones
    if len(set(zones)) != len(zones):
        return _bad("placement.availability_zones names a zone twice")
    if not 0 <= placement.max_per_rack <= _MAX_AMOUNT:
        return _bad(
            f"placement.max_per_rack must be 0 (no limit) to {_MAX_AMOUNT}, "
            f"not {placement.max_per_rack}"
        )
    return None


def _bad(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)
