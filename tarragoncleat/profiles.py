"""Profiles, the services that run under them, and team quotas."""

import dataclasses
import enum

from tarragoncleat import ids

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
]


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

    instances: int = 0
    slots: int = 0
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where the capacity has to be. Zero `max_per_rack` means no limit."""

    availability_zones: tuple[ids.AvailabilityZone, ...] = ()
    max_per_rack: int = 0
    spread: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """The availability budget and the allowed interruptions.

    Exactly one of `max_out` (instances) and `max_out_fraction` (of the owed
    instances, rounded down) is set.
    """

    max_out: int | None = 1
    max_out_fraction: float | None = None
    max_out_s: int = 3600
    failure_reserve: FailureDomain = FailureDomain.NONE
    actions: tuple[Interruption, ...] = (Interruption.STOP,)


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """What a class of work is owed."""

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

    service_id: ids.ServiceId
    profile_id: ids.ProfileId
    firm: ids.FirmId
    pool_id: ids.PoolId
    revision: ids.Revision = ids.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team and its quota."""

    team_id: ids.TeamId
    firm: ids.FirmId
    quota: Capacity
    revision: ids.Revision = ids.Revision(0)
