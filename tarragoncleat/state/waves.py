"""Maintenance waves and their states."""

import dataclasses
import enum

import pydantic

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids

__all__ = [
    "ACTIONS",
    "Blocker",
    "Selection",
    "Skipped",
    "Wave",
    "WaveState",
    "check_transition",
]

ACTIONS = frozenset({"reboot"})


class WaveState(enum.Enum):
    """The lifecycle states of a wave."""

    PROPOSED = "proposed"
    APPROVED = "approved"
    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    FINISHED = "finished"

    @property
    def is_final(self) -> bool:
        """Whether the wave never drains another instance."""
        return self in (WaveState.CANCELLED, WaveState.FINISHED)

    @property
    def may_drain(self) -> bool:
        """Whether the wave may drain instances now."""
        return self in (WaveState.APPROVED, WaveState.RUNNING)


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """The instances of a wave: the union of the named groups."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    pools: tuple[ids.PoolId, ...] = ()
    availability_zones: tuple[ids.AvailabilityZone, ...] = ()
    racks: tuple[ids.Rack, ...] = ()
    instances: tuple[ids.InstanceId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Blocker:
    """Why no further instance of a pool can be drained for a wave now."""

    pool_id: ids.PoolId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Skipped:
    """An instance that the wave skips permanently."""

    instance_id: ids.InstanceId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave; times in milliseconds since the epoch."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    wave_id: ids.WaveId
    firm: ids.FirmId
    selection: Selection
    state: WaveState = WaveState.PROPOSED
    remaining: tuple[ids.InstanceId, ...] = ()
    out: tuple[ids.InstanceId, ...] = ()
    done: tuple[ids.InstanceId, ...] = ()
    skipped: tuple[Skipped, ...] = ()
    blocked_by: tuple[Blocker, ...] = ()
    action: str = "reboot"
    proposed_at_ms: int = 0
    approved_by: str | None = None
    revision: ids.Revision = ids.Revision(0)


_TRANSITIONS = {
    WaveState.PROPOSED: {WaveState.APPROVED, WaveState.CANCELLED},
    WaveState.APPROVED: {WaveState.PAUSED, WaveState.CANCELLED},
    WaveState.RUNNING: {WaveState.PAUSED, WaveState.CANCELLED},
    WaveState.PAUSED: {WaveState.RUNNING, WaveState.CANCELLED},
    WaveState.CANCELLED: set(),
    WaveState.FINISHED: set(),
}


def check_transition(wave: Wave, state: WaveState) -> errors.Failure | None:
    """Checks that an operator may change a wave to a state."""
    if state in _TRANSITIONS[wave.state]:
        return None
    return errors.Failure(
        errors.ErrorKind.CONFLICT,
        f"wave {wave.wave_id} is {wave.state.value}; "
        f"it can't become {state.value}",
        {"revision": wave.revision},
    )
