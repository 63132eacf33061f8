"""Builders of settings, fleets and upstreams for tests."""

from collections.abc import Callable
import os
import pathlib
import socket
import types
from typing import Any

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.membership import upstreams
from tarragoncleat.state import commands
from tarragoncleat.state import fleet
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = [
    "LOOPBACK",
    "FleetDriver",
    "LocalLog",
    "build_announcement",
    "build_instance",
    "build_profile",
    "build_settings",
    "populate",
]

_FIRST_NETWORK, _NETWORKS = 100, 120
# Bound in each network that a process uses.
_CLAIM_ADDRESS = "254.254", 9_999


def _claim_network() -> tuple[str, socket.socket]:
    """Returns a network that no other process uses, and the socket that tells.

    Process ids alone don't suffice: two of parallel runs may differ by a
    multiple of the number of networks.
    """
    suffix, port = _CLAIM_ADDRESS
    for offset in range(_NETWORKS):
        number = _FIRST_NETWORK + (os.getpid() + offset) % _NETWORKS
        claim = socket.socket()
        try:
            claim.bind((f"127.{number}.{suffix}", port))
        except OSError:
            claim.close()
            continue
        return f"127.{number}", claim
    raise RuntimeError("other test processes use all loopback networks")


# First two bytes of the addresses that the tests of this process use.
LOOPBACK, _claim = _claim_network()


def build_settings(
    entry_id: str = "entry-1",
    availability_zone: str = "fukuoka-a",
    data_folder: pathlib.Path | None = pathlib.Path("data"),
    **sections: Any,
) -> settings.Settings:
    """Returns the settings of one entry; `sections` replace whole sections."""
    entry = {
        "entry_id": entry_id,
        "availability_zone": availability_zone,
        "region": "kyushu",
        "http_address": "127.0.0.1:8080",
        "peer_address": "127.0.0.1:9080",
        "data_folder": data_folder,
    }
    entry.update(sections.pop("entry", {}))
    return settings.Settings.model_validate({"entry": entry, **sections})


def build_profile(name: str = "profile", **fields: Any) -> profiles.Profile:
    """Returns a profile that owes 4 instances and allows 1 to be out."""
    values: dict[str, Any] = {
        "firm": ids.FirmId("firm-a"),
        "owed": profiles.Capacity(instances=4),
        "settle_s": 0,
    }
    return profiles.Profile(ids.ProfileId(name), **{**values, **fields})


def build_instance(
    name: str, pool_id: str = "pool", **fields: Any
) -> pools.Instance:
    """Returns an instance of 16 cores and 64 GB."""
    values: dict[str, Any] = {
        "availability_zone": ids.AvailabilityZone("fukuoka-a"),
        "rack": ids.Rack("rack-1"),
        "cores": 16.0,
        "memory_mb": 65_536,
        "accelerators": 0,
        "address": "127.24.0.1:7000",
    }
    return pools.Instance(
        ids.InstanceId(name), ids.PoolId(pool_id), **{**values, **fields}
    )


class FleetDriver:
    """Applies commands to a fleet, each as one log record.

    Records are also applied to `reference` if that is set.
    """

    def __init__(self) -> None:
        self.fleet = fleet.Fleet()
        self.reference: fleet.Fleet | None = None
        self.index = 0
        self.time_ms = 1_000_000

    def apply(
        self,
        command: Any,
        firm: str = "*",
        role: str = commands.CONTROLLER_ROLE,
        if_match: int | None = None,
        command_id: str | None = None,
    ) -> commands.Result:
        """Applies a command and returns its result."""
        self.index += 1
        envelope = commands.Envelope(
            ids.CommandId(command_id or f"command-{self.index}"),
            ids.FirmId(firm),
            "tester",
            role,
            if_match,
            command,
        )
        payload = codec.encode(envelope)
        data = self.fleet.apply(self.index, self.time_ms, payload)
        if self.reference is not None:
            self.reference.apply(self.index, self.time_ms, payload)
        return codec.decode(data)

    def apply_ok(self, command: Any, **options: Any) -> commands.Result:
        """Applies a command that must succeed."""
        result = self.apply(command, **options)
        if not result.ok:
            raise AssertionError(f"{command}: {result.reason}")
        return result


def populate(
    driver: FleetDriver,
    instances: int = 6,
    firm: str = "firm-a",
    suffix: str = "",
    **fields: Any,
) -> None:
    """Adds a service with its profile, pool and instances.

    Each rack has three instances, and racks alternate between two zones.
    """
    owner = ids.FirmId(firm)
    pool = ids.PoolId(f"pool{suffix}")
    profile = build_profile(f"profile{suffix}", firm=owner, **fields)
    driver.apply_ok(commands.PutProfile(profile))
    driver.apply_ok(commands.PutPool(pools.Pool(pool, owner)))
    service = profiles.Service(
        ids.ServiceId(f"service{suffix}"), profile.profile_id, owner, pool
    )
    driver.apply_ok(commands.PutService(service))
    for number in range(instances):
        rack = number // 3
        instance = build_instance(
            f"i{number}{suffix}",
            pool,
            rack=ids.Rack(f"rack-{rack}"),
            availability_zone=ids.AvailabilityZone(f"zone-{rack % 2}"),
        )
        driver.apply_ok(commands.PutInstance(instance))


class LocalLog:
    """A replicated log with one entry, which applies proposals immediately."""

    def __init__(self, driver: FleetDriver) -> None:
        self._driver = driver
        self.failure: errors.Failure | None = None
        self.before_read: Callable[[], None] = lambda: None
        self.before_apply: Callable[[], None] = lambda: None

    async def propose(self, payload: bytes, timeout_s: float) -> Any:
        if self.failure is not None:
            return self.failure
        self.before_apply()
        driver = self._driver
        driver.index += 1
        result = driver.fleet.apply(driver.index, driver.time_ms, payload)
        return types.SimpleNamespace(index=driver.index, result=result)

    async def read_barrier(self, timeout_s: float) -> int | errors.Failure:
        self.before_read()
        return self._driver.index if self.failure is None else self.failure

    def applied_indexes(self) -> dict[str, Any]:
        index = self._driver.index
        return {"entry-1": types.SimpleNamespace(applied_index=index, age_s=0)}


def build_announcement(
    upstream_id: str = "upstream-1",
    availability_zone: str = "fukuoka-a",
    **fields: Any,
) -> upstreams.Announcement:
    """Returns an announcement of an upstream of the service "bidding"."""
    values = {
        "service": ids.ServiceId("bidding"),
        "host": "127.0.0.1",
        "port": 7001,
        "rack": ids.Rack("rack-1"),
        "slots": 8,
        "connections": 64,
        "lease_ms": 3_000,
    }
    return upstreams.Announcement(
        upstream_id=ids.UpstreamId(upstream_id),
        availability_zone=ids.AvailabilityZone(availability_zone),
        **{**values, **fields},
    )
