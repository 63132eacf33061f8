"""Messages by which nodes find each other and the leader."""

import dataclasses

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids

__all__ = ["Announcement", "Directory", "NotLeader", "Refusal"]


@codec.message("announcement")
@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A node names itself and asks who leads.

    `node_id` is None for a node that holds no log.
    """

    node_id: ids.EntryId | None
    availability_zone: ids.AvailabilityZone


@codec.message("directory")
@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """What a node knows about the nodes that can hold the log."""

    leader: ids.EntryId | None
    is_ready: bool
    nodes: tuple[ids.EntryId, ...]


@codec.message("not_leader")
@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """The receiver does not lead, and has not carried out the request."""

    leader: ids.EntryId | None


@codec.message("refusal")
@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A `Failure` as it travels between nodes."""

    kind: errors.ErrorKind
    reason: str
