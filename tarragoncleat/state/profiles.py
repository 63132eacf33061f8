"""Profiles, the services that use them, and teams with their quotas."""

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

# Keeps sums over a whole fleet within 64 bits.
_MAX_AMOUNT = 10**12
_MAX_TIME_S = 366 * 86_400


class Standing(enum.Enum):
    """Priority when capacity is scarce: LOW is refused first, URGENT last."""

    URGENT = "urgent"
    NORMAL = "normal"
    LOW = "low"

    @property
    def rank(self) -> int:
        """Sort key: 0 for URGENT, the highest value for LOW."""
        return _RANKS[self]


_RANKS = {Standing.URGENT: 0, Standing.NORMAL: 1, Standing.LOW: 2}


class FailureDomain(enum.Enum):
    """The failure domain whose loss the availability budget allows for."""

    NONE = "none"
    INSTANCE = "instance"
    RACK = "rack"
    AVAILABILITY_ZONE = "availability_zone"


class Interruption(enum.Enum):
    """How a running job may be interrupted to free capacity."""

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
    """Where capacity must be located. A `max_per_rack` of 0 means no limit."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    availability_zones: tuple[ids.AvailabilityZone, ...] = ()
    max_per_rack: int = 0
    spread: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """The availability budget and the permitted interruptions.

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
    """The capacity owed to a class of work, and its tolerance of disruption."""

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
    """A service, its profile and its pool."""

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


def check_capacity(
    capacity: Capacity, field_name: str
) -> errors.Failure | None:
    """Checks that every field of an amount is a number within its limits."""
    for field in dataclasses.fields(capacity):
        value = getattr(capacity, field.name)
        if not 0 <= value <= _MAX_AMOUNT:
            return _bad_request(
                f"{field_name}.{field.name} must be 0 to {_MAX_AMOUNT}, "
                f"not {value}"
            )
    return None


def check_profile(profile: Profile) -> errors.Failure | None:
    """Checks that the fields of a profile are valid and consistent.

    Returns:
        None, or a `Failure` of kind BAD_REQUEST that names the field.
    """
    return errors.first_failure(
        check_capacity(profile.owed, "owed"),
        _check_tolerance(profile.tolerance, profile.owed.instances),
        _check_placement(profile.placement),
        _check_settle_time(profile),
    )


def _check_settle_time(profile: Profile) -> errors.Failure | None:
    if not 0 <= profile.settle_s <= _MAX_TIME_S:
        return _bad_request(
            f"settle_s must be 0 to {_MAX_TIME_S}, not {profile.settle_s}"
        )
    return None


def _check_tolerance(tolerance: Tolerance, owed: int) -> errors.Failure | None:
    count = tolerance.max_out
    fraction = tolerance.max_out_fraction
    if (count is None) == (fraction is None):
        return _bad_request(
            "tolerance: exactly one of max_out and max_out_fraction must be set"
        )
    if count is not None and not 0 <= count <= owed:
        return _bad_request(
            f"tolerance.max_out must be 0 to owed.instances ({owed}), "
            f"not {count}"
        )
    if fraction is not None and not 0.0 <= fraction <= 1.0:
        return _bad_request(
            f"tolerance.max_out_fraction must be 0 to 1, not {fraction}"
        )
    if not 0 < tolerance.max_out_s <= _MAX_TIME_S:
        return _bad_request(
            f"tolerance.max_out_s must be 1 to {_MAX_TIME_S}, "
            f"not {tolerance.max_out_s}"
        )
    if len(set(tolerance.actions)) != len(tolerance.actions):
        return _bad_request("tolerance.actions names an action twice")
    return None


def _check_placement(placement: Placement) -> errors.Failure | None:
    zones = placement.availability_zones
    if len(set(zones)) != len(zones):
        return _bad_request("placement.availability_zones names a zone twice")
    if not 0 <= placement.max_per_rack <= _MAX_AMOUNT:
        return _bad_request(
            f"placement.max_per_rack must be 0 (no limit) to {_MAX_AMOUNT}, "
            f"not {placement.max_per_rack}"
        )
    return None


def _bad_request(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)
