"""Messages with which nodes discover each other and the leader."""

import dataclasses

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids

__all__ = ["Announcement", "Directory", "NotLeader", "Refusal"]


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
