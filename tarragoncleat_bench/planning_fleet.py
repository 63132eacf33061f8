"""In-memory fleets for the benchmarks of the decisions."""

import dataclasses
import math
import random
from typing import Any

from tarragoncleat.kernel import ids
from tarragoncleat.state import job_losses
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = ["LARGE", "SIZES", "MemoryFleet", "Size", "build"]

_FIRM = ids.FirmId("firm")
# Aliases, since fields of MemoryFleet hide the modules of the same names.
_Profiles = dict[ids.ProfileId, profiles.Profile]
_Services = dict[ids.ServiceId, profiles.Service]
_Teams = dict[ids.TeamId, profiles.Team]
_Instances = dict[ids.InstanceId, pools.Instance]
_Pools = dict[ids.PoolId, pools.Pool]
_Waves = dict[ids.WaveId, waves.Wave]
_Jobs = dict[ids.JobId, jobs.Job]
_Losses = dict[ids.JobId, job_losses.JobLosses]


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a fleet.

    Attributes:
        name: Name in the rows of the results.
        zones: Number of availability zones.
        pools: Number of pools.
        per_pool: Instances of each pool.
        cores: Cores of each instance.
    """

    name: str
    zones: int
    pools: int
    per_pool: int
    cores: float

    @property
    def instances(self) -> int:
        """Number of instances."""
        return self.pools * self.per_pool


# x10 has ten times as many pools; x100 also has ten times as many instances in
# each pool. 164 pools of 146 instances make 23,944.
SIZES = (
    Size("Kyushu", 4, 5, 8, 16.0),
    Size("Khomas", 3, 5, 6, 32.0),
    Size("Kyushu x10", 4, 50, 8, 16.0),
    Size("Khomas x10", 3, 50, 6, 32.0),
    Size("Kyushu x100", 4, 50, 80, 16.0),
    Size("Khomas x100", 3, 50, 60, 32.0),
)
LARGE = Size("24,000 in 164 pools", 30, 164, 146, 16.0)

_INSTANCES_PER_RACK = 4
_MEMORY_MB = 65_536
_SETTLE_S = 30


@dataclasses.dataclass(slots=True)
class MemoryFleet:
    """The tables that the decisions read, as dictionaries."""

    profiles: _Profiles
    services: _Services
    teams: _Teams
    pools: _Pools
    instances: _Instances
    waves: _Waves
    jobs: _Jobs
    losses: _Losses = dataclasses.field(default_factory=dict)

    def set_instance(self, name: ids.InstanceId, **changes: Any) -> None:
        """Changes fields of an instance."""
        old = self.instances[name]
        self.instances[name] = dataclasses.replace(old, **changes)


def build(size: Size, rng: random.Random) -> MemoryFleet:
    """Builds a fleet whose pools have 25% more instances than they owe.

    A third of the owed number may be out at once, and the failure reserve
    covers the loss of one more instance.
    """
    fleet = MemoryFleet({}, {}, {}, {}, {}, {}, {})
    owed_instances = max(1, size.per_pool * 4 // 5)
    tolerance = profiles.Tolerance(
        max_out=math.ceil(owed_instances / 3),
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
            profiles.Capacity(instances=owed_instances),
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
    rack = index // _INSTANCES_PER_RACK
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
