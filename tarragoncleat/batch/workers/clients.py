"""Client protocols for workers and for the platform's instance interface.

They are implemented by the adapter to a platform and by fakes in tests.
"""

import dataclasses
import enum
from typing import Protocol

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import model
from tarragoncleat.kernel import errors

__all__ = [
    "EndedRun",
    "InstanceClient",
    "InstanceRecord",
    "InstanceState",
    "OrderOutcome",
    "OrderReply",
    "PaceOrder",
    "RenewLeaseOrder",
    "RunningTask",
    "StartOrder",
    "StopOrder",
    "WorkerClient",
    "WorkerReport",
]


class OrderOutcome(enum.Enum):
    """A worker's answer to an order.

    FENCED means that a later term's token was seen, SUPERSEDED that the order
    is obsolete, EXPIRED that its lease had expired on arrival, and GONE that
    the worker's incarnation has ended. RESTARTED means that it has ended too,
    and that a later incarnation under the same name has accepted the order.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"
    GONE = "gone"
    RESTARTED = "restarted"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """Outcome of an order, with the worker's clock if the reply had one."""

    outcome: OrderOutcome
    clock_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts a run; `lease_until_ms` is a time on the worker's clock."""

    task: model.TaskKey
    run: int
    payload: str
    lease_until_ms: int
    fence: int
    checkpoint: str
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Stops a run and prevents a later start of it."""

    task: model.TaskKey
    run: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PaceOrder:
    """Sets the speed of a run, from 0 to 100 percent."""

    task: model.TaskKey
    run: int
    percent: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLeaseOrder:
    """Renews the lease of all runs on a worker and requests a report.

    Attributes:
        lease_until_ms: Expiry on the worker's clock, or None for no renewal.
        fence: Fencing token.
        acknowledged: Sequence number up to which the worker may drop ends.
        wait_ms: How long the worker may wait for an end before it answers.
    """

    lease_until_ms: int | None
    fence: int
    acknowledged: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a worker reports as running.

    `load` is the tail latency in ms for a latency-sensitive task, and the CPU
    usage in 1/1000 core for any other one.
    """

    task: model.TaskKey
    run: int
    checkpoint: str
    percent: int
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """An ended run, which a worker reports until it is acknowledged."""

    sequence: int
    task: model.TaskKey
    run: int
    ending: commands.Ending
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to `RenewLeaseOrder`.

    Without `lists_all_ends` there may be more ended runs than `ended`; the next
    report lists them once these are acknowledged. With `is_successor` it is the
    answer of a later incarnation under the same name, which holds and knows
    nothing of the one that was called.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    is_successor: bool = False
    lists_all_ends: bool = True


class WorkerClient(Protocol):
    """Client of one worker; each request names the worker's incarnation."""

    async def start(self, order: StartOrder) -> OrderReply:
        """Starts a run."""

    async def stop(self, order: StopOrder) -> OrderReply:
        """Stops a run."""

    async def pace(self, order: PaceOrder) -> OrderReply:
        """Sets the speed of a run."""

    async def renew_lease(
        self, order: RenewLeaseOrder
    ) -> WorkerReport | OrderReply:
        """Renews the lease; returns a report, or the reason of a failure."""

    async def close(self) -> None:
        """Closes the connections."""


class InstanceState(enum.Enum):
    """State of an instance at the platform."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An instance as the platform lists it."""

    instance: str
    pool: str
    state: InstanceState
    worker_id: str


class InstanceClient(Protocol):
    """Client of the platform's instance interface."""

    async def list_instances(
        self,
    ) -> tuple[InstanceRecord, ...] | errors.Failure:
        """Returns all instances."""

    async def move(
        self, instance: str, pool: str, holder: str, fence: int
    ) -> None | errors.Failure:
        """Moves an instance to a pool; fails with CONFLICT if it can't now."""

    async def maintain(
        self, instance: str, wave: int, holder: str, fence: int
    ) -> None | errors.Failure:
        """Begins maintenance; fails with CONFLICT if refused for now."""
