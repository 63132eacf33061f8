"""Pools and the instances that belong to them."""

import dataclasses
import enum

from tarragoncleat import ids

__all__ = ["Instance", "InstanceState", "Pool"]


class InstanceState(enum.Enum):
    """What an instance is doing."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    IN_MAINTENANCE = "in_maintenance"
    RETURNING = "returning"
    LOST = "lost"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A pool; without a service it is a spare pool."""

    pool_id: ids.PoolId
    firm: ids.FirmId
    service_id: ids.ServiceId | None = None
    revision: ids.Revision = ids.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A worker. `pool_id` is the one pool that it belongs to."""

    instance_id: ids.InstanceId
    pool_id: ids.PoolId
    availability_zone: ids.AvailabilityZone
    rack: ids.Rack
    cores: float
    memory_mb: int
    accelerators: int
    address: str
    state: InstanceState = InstanceState.IN_SERVICE
    in_service_since_ms: int = 0
    moving_to: ids.PoolId | None = None
    wave_id: ids.WaveId | None = None
    maintained_at_ms: int = 0
    fence: int = 1
    revision: ids.Revision = ids.Revision(0)
