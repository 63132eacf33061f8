"""Maintenance waves."""

import dataclasses
import enum

from tarragoncleat import ids

__all__ = ["Blocker", "Selection", "Skipped", "Wave", "WaveState"]


class WaveState(enum.Enum):
    """Where a wave is in its life."""

    PROPOSED = "proposed"
    APPROVED = "approved"
    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    FINISHED = "finished"


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """Which instances a wave covers: the union of what is named."""

    pools: tuple[ids.PoolId, ...] = ()
    availability_zones: tuple[ids.AvailabilityZone, ...] = ()
    racks: tuple[ids.Rack, ...] = ()
    instances: tuple[ids.InstanceId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Blocker:
    """Why a pool can't give the wave another instance now."""

    pool_id: ids.PoolId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Skipped:
    """An instance that the wave passed over for good."""

    instance_id: ids.InstanceId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave; times in milliseconds since the epoch."""

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
