"""Pools and the instances that belong to them."""

import dataclasses
import enum

import pydantic

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings

__all__ = [
    "Instance",
    "InstanceState",
    "Pool",
    "check_instance",
    "check_transition",
]

_MAX_CORES = 100_000
_MAX_MEMORY_MB = 10**9
_MAX_ACCELERATORS = 10_000


class InstanceState(enum.Enum):
    """The lifecycle states of an instance."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    IN_MAINTENANCE = "in_maintenance"
    RETURNING = "returning"
    LOST = "lost"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A pool; without a service it is a spare pool."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    pool_id: ids.PoolId
    firm: ids.FirmId
    service_id: ids.ServiceId | None = None
    revision: ids.Revision = ids.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An instance; times in milliseconds since the epoch.

    It belongs to exactly one pool, `pool_id`. With `is_quarantined` it returns
    to quarantine, not to service, when it is back after a loss.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

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
    is_quarantined: bool = False


# The transitions that the controller may record. Only a wave step or a move
# starts a drain, because both check the availability budget.
_TRANSITIONS = {
    InstanceState.IN_SERVICE: {InstanceState.LOST, InstanceState.QUARANTINED},
    InstanceState.DRAINING: {
        InstanceState.IN_MAINTENANCE,
        InstanceState.RETURNING,
        InstanceState.IN_SERVICE,
        InstanceState.LOST,
    },
    InstanceState.IN_MAINTENANCE: {
        InstanceState.RETURNING,
        InstanceState.IN_SERVICE,
        InstanceState.LOST,
    },
    InstanceState.RETURNING: {
        InstanceState.IN_SERVICE,
        InstanceState.LOST,
        InstanceState.QUARANTINED,
    },
    InstanceState.LOST: {InstanceState.RETURNING, InstanceState.IN_SERVICE},
    InstanceState.QUARANTINED: {
        InstanceState.RETURNING,
        InstanceState.IN_SERVICE,
        InstanceState.LOST,
    },
}


def check_transition(
    instance: Instance, state: InstanceState
) -> errors.Failure | None:
    """Checks that the controller may record a new state of an instance."""
    if state not in _TRANSITIONS[instance.state]:
        return errors.Failure(
            errors.ErrorKind.CONFLICT,
            f"instance {instance.instance_id} can't go from "
            f"{instance.state.value} to {state.value}",
            {"revision": instance.revision},
        )
    returned_from = (InstanceState.LOST, InstanceState.RETURNING)
    if (
        instance.is_quarantined
        and instance.state in returned_from
        and state is InstanceState.IN_SERVICE
    ):
        return errors.Failure(
            errors.ErrorKind.CONFLICT,
            f"instance {instance.instance_id} is quarantined",
            {"revision": instance.revision},
        )
    if state is InstanceState.IN_MAINTENANCE and instance.wave_id is None:
        return errors.Failure(
            errors.ErrorKind.CONFLICT,
            f"instance {instance.instance_id} belongs to no wave",
            {"revision": instance.revision},
        )
    return None


def check_instance(instance: Instance) -> errors.Failure | None:
    """Checks the descriptive fields of an instance.

    Returns:
        None, or a `Failure` of kind BAD_REQUEST that names the field.
    """
    if not 0 < instance.cores <= _MAX_CORES:
        return _bad_request(
            f"cores must be above 0 and at most {_MAX_CORES}, "
            f"not {instance.cores}"
        )
    if not 0 < instance.memory_mb <= _MAX_MEMORY_MB:
        return _bad_request(
            f"memory_mb must be 1 to {_MAX_MEMORY_MB}, not {instance.memory_mb}"
        )
    if not 0 <= instance.accelerators <= _MAX_ACCELERATORS:
        return _bad_request(
            f"accelerators must be 0 to {_MAX_ACCELERATORS}, "
            f"not {instance.accelerators}"
        )
    try:
        settings.host_and_port(instance.address)
    except ValueError as error:
        return _bad_request(f"address {instance.address!r}: {error}")
    return None


def _bad_request(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)
