"""What the leader asks of workers and of the platform's instances.

The protocols are implemented by the adapter to a platform, and by fakes.
"""

import dataclasses
import enum
from typing import Protocol

from tarragoncleat.batch import commands
from tarragoncleat.batch import model
from tarragoncleat.kernel import errors

__all__ = [
    "EndedRun",
    "HoldOrder",
    "HoldReport",
    "InstanceCalls",
    "InstanceRecord",
    "InstanceState",
    "OrderOutcome",
    "OrderReply",
    "PaceOrder",
    "RunningTask",
    "StartOrder",
    "StopOrder",
    "WorkerCalls",
]


class OrderOutcome(enum.Enum):
    """What a worker answered to an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"
    GONE = "gone"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """Answer to an order, with the worker's clock when it sent one."""

    outcome: OrderOutcome
    clock_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts a run. `lease_until_ms` is a time on the worker's clock."""

    task: model.TaskKey
    run: int
    payload: str
    lease_until_ms: int
    fence: int
    checkpoint: str
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Stops a run, and keeps it from starting later."""

    task: model.TaskKey
    run: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PaceOrder:
    """Lets a task work at a share of its speed, 0 to 100 percent."""

    task: model.TaskKey
    run: int
    percent: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldOrder:
    """Renews the lease of all that runs, and asks for what happened.

    Attributes:
        lease_until_ms: Time on the worker's clock, or None to only look.
        fence: Fencing token.
        acknowledged: Sequence number up to which ends may be forgotten.
        wait_ms: How long the worker may wait for an end before it answers.
    """

    lease_until_ms: int | None
    fence: int
    acknowledged: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that runs on a worker.

    `load` is the tail latency in ms for a task that serves, and the processor
    time in 1/1000 core for any other one.
    """

    task: model.TaskKey
    run: int
    checkpoint: str
    percent: int
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """An end that a worker lists until it is acknowledged."""

    sequence: int
    task: model.TaskKey
    run: int
    ending: commands.Ending
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class HoldReport:
    """What a worker answered to `HoldOrder`."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


class WorkerCalls(Protocol):
    """Calls to one worker; each names the life of the worker it is for."""

    async def start(self, order: StartOrder) -> OrderReply:
        """Starts a run."""

    async def stop(self, order: StopOrder) -> OrderReply:
        """Stops a run."""

    async def pace(self, order: PaceOrder) -> OrderReply:
        """Changes the share at which a task works."""

    async def hold(self, order: HoldOrder) -> HoldReport | OrderReply:
        """Renews the lease and reports; an `OrderReply` says why not."""

    async def close(self) -> None:
        """Closes the connections."""


class InstanceState(enum.Enum):
    """What the platform says of an instance."""

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


class InstanceCalls(Protocol):
    """Calls to the platform about instances."""

    async def list_instances(
        self,
    ) -> tuple[InstanceRecord, ...] | errors.Failure:
        """Returns all instances."""

    async def move(
        self, instance: str, pool: str, holder: str, fence: int
    ) -> None | errors.Failure:
        """Moves an instance to a pool; CONFLICT when it can't move now."""

    async def maintain(
        self, instance: str, wave: int, holder: str, fence: int
    ) -> None | errors.Failure:
        """Begins maintenance; CONFLICT when the platform says not now."""
