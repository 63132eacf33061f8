"""Messages with which nodes discover each other and the leader."""

import dataclasses
import enum

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids

__all__ = [
    "Announcement",
    "Directory",
    "LeaveReply",
    "LeaveRequest",
    "LeaveState",
    "NotLeader",
    "Refusal",
]


@codec.message("announcement")
@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Announces a node and requests the `Directory`.

    `node_id` is None for a node that can't be a replica.
    """

    node_id: ids.EntryId | None
    availability_zone: ids.AvailabilityZone


@codec.message("directory")
@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """The nodes that can be replicas, and the leader, as known by a node."""

    leader: ids.EntryId | None
    is_ready: bool
    nodes: tuple[ids.EntryId, ...]


class LeaveState(enum.Enum):
    """How far the replacement of a node that is about to stop has come.

    RELEASED: It is not a replica any more. REPLACING: Another node is taking
    its place. STAYS: No other node can take its place.
    """

    RELEASED = "released"
    REPLACING = "replacing"
    STAYS = "stays"


@codec.message("leave_request")
@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequest:
    """Asks the leader to replace a node that is about to stop."""

    node_id: ids.EntryId


@codec.message("leave_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class LeaveReply:
    """Answers a `LeaveRequest`."""

    state: LeaveState


@codec.message("not_leader")
@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """The receiver is not the leader and did not carry out the request."""

    leader: ids.EntryId | None


@codec.message("refusal")
@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A `Failure` in the form that is sent to another node."""

    kind: errors.ErrorKind
    reason: str
    retry_after_s: int | None = None
