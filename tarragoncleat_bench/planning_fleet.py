"""Fleets in memory for the benchmarks of the decisions."""

import dataclasses
import math
import random
from typing import Any

from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = ["LARGE", "SIZES", "MemoryFleet", "Size", "build"]

_FIRM = ids.FirmId("firm")
# The class below has fields named like the modules of these types.
_Profiles = dict[ids.ProfileId, profiles.Profile]
_Services = dict[ids.ServiceId, profiles.Service]
_Teams = dict[ids.TeamId, profiles.Team]
_Instances = dict[ids.InstanceId, pools.Instance]
_Pools = dict[ids.PoolId, pools.Pool]
_Waves = dict[ids.WaveId, waves.Wave]
_Jobs = dict[ids.JobId, jobs.Job]


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """A fleet: its zones, pools, and instances of each pool."""

    name: str
    zones: int
    pools: int
    per_pool: int
    cores: float

    @property
    def instances(self) -> int:
        """Number of instances."""
        return self.pools * self.per_pool


# Ten times is ten times the pools; a hundred times is ten times the pools of
# ten times the size. 164 pools of 146 instances are 23,944.
SIZES = (
    Size("Kyushu", 4, 5, 8, 16.0),
    Size("Khomas", 3, 5, 6, 32.0),
    Size("Kyushu x10", 4, 50, 8, 16.0),
    Size("Khomas x10", 3, 50, 6, 32.0),
    Size("Kyushu x100", 4, 50, 80, 16.0),
    Size("Khomas x100", 3, 50, 60, 32.0),
)
LARGE = Size("24,000 in 164 pools", 30, 164, 146, 16.0)

_RACK_SIZE = 4
_MEMORY_MB = 65_536
_SETTLE_S = 30


@dataclasses.dataclass(slots=True)
class MemoryFleet:
    """The tables that the decisions read, as plain dictionaries."""

    profiles: _Profiles
    services: _Services
    teams: _Teams
    pools: _Pools
    instances: _Instances
    waves: _Waves
    jobs: _Jobs

    def set_instance(self, name: ids.InstanceId, **changes: Any) -> None:
        """Changes fields of an instance."""
        old = self.instances[name]
        self.instances[name] = dataclasses.replace(old, **changes)


def build(size: Size, rng: random.Random) -> MemoryFleet:
    """Builds a fleet whose pools hold a quarter more than they owe.

    A third of what is owed may be out, and the loss of one more instance is
    kept in reserve.
    """
    fleet = MemoryFleet({}, {}, {}, {}, {}, {}, {})
    owed = max(1, size.per_pool * 4 // 5)
    tolerance = profiles.Tolerance(
        max_out=math.ceil(owed / 3),
        failure_reserve=profiles.FailureDomain.INSTANCE,
        actions=tuple(profiles.Interruption),
    )
    for number in range(size.pools):
        pool_id = ids.PoolId(f"pool-{number:03}")
        service_id = ids.ServiceId(f"service-{number:03}")
        profile_id = ids.ProfileId(f"profile-{number:03}")
        fleet.profiles[profile_id] = profiles.Profile(
            profile_id,
            _FIRM,
            profiles.Capacity(instances=owed),
            tolerance=tolerance,
            standing=rng.choice(tuple(profiles.Standing)),
            settle_s=_SETTLE_S,
        )
        fleet.services[service_id] = profiles.Service(
            service_id, profile_id, _FIRM, pool_id
        )
        fleet.pools[pool_id] = pools.Pool(pool_id, _FIRM, service_id)
        for index in range(size.per_pool):
            instance = _instance(size, pool_id, number, index)
            fleet.instances[instance.instance_id] = instance
    return fleet


def _instance(
    size: Size, pool_id: ids.PoolId, pool_number: int, index: int
) -> pools.Instance:
    rack = index // _RACK_SIZE
    zone = (pool_number + rack) % size.zones
    return pools.Instance(
        ids.InstanceId(f"i-{pool_number:03}-{index:04}"),
        pool_id,
        ids.AvailabilityZone(f"zone-{zone:02}"),
        ids.Rack(f"rack-{pool_number:03}-{rack:03}"),
        size.cores,
        _MEMORY_MB,
        0,
        "127.0.0.1:7000",
    )
