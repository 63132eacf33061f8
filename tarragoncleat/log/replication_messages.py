"""Messages between entries about proposals, reads and learners."""

from collections.abc import Collection
import dataclasses
from typing import Any, NamedTuple, Protocol

from anyio.streams import memory

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus_messages

__all__ = [
    "FollowBatch",
    "FollowRequest",
    "FollowSnapshot",
    "InForceReport",
    "JoinGrant",
    "JoinProbe",
    "JoinState",
    "Links",
    "ProposeReply",
    "ProposeRequest",
    "ProposeResult",
    "ReadIndexReply",
    "ReadIndexRequest",
    "ReportRow",
    "Sender",
]


class Sender(Protocol):
    """What a replica needs of the links to other nodes."""

    def send(self, entry_id: ids.EntryId, message: object) -> bool:
        """Queues a message; returns False when it is certainly not sent."""


class Links(Sender, Protocol):
    """What replication needs of `peering.PeerLinks`."""

    def subscribe(
        self, *message_types: type
    ) -> memory.MemoryObjectReceiveStream[Any]:
        """Returns a stream of received messages of these types."""

    def connected(self) -> Collection[ids.EntryId]:
        """Returns the entries with a working link."""


@codec.message("propose_request")
@dataclasses.dataclass(frozen=True, slots=True)
class ProposeRequest:
    """Proposals that an entry forwards to the leader.

    The leader forgets about the reply after `timeout_ms`.
    """

    request_id: int
    payloads: tuple[bytes, ...]
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeResult:
    """Outcome of one proposal; `kind` is None when it was applied."""

    index: int
    result: bytes
    kind: errors.ErrorKind | None
    reason: str


@codec.message("propose_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class ProposeReply:
    """Answers a `ProposeRequest`, in the order of its payloads."""

    request_id: int
    results: tuple[ProposeResult, ...]


@codec.message("read_index_request")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """Asks the leader for an index that is safe to read at."""

    request_id: int


@codec.message("read_index_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexReply:
    """Answers a `ReadIndexRequest`; None when the entry does not lead."""

    request_id: int
    index: int | None


@codec.message("follow_request", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class FollowRequest:
    """Asks an entry for the committed records after `applied_index`.

    It also keeps the subscription alive and acknowledges what arrived.
    `restart` asks to send everything after `applied_index` once more;
    `snapshot_offset` is what has arrived of the snapshot `snapshot_index`.
    """

    applied_index: int
    restart: bool
    snapshot_index: int = 0
    snapshot_offset: int = 0


@codec.message("follow_batch", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class FollowBatch:
    """Committed records for a follower, or a heartbeat.

    `applied_index` is the sender's own; `age_ms` is how long ago its state was
    known to be current; `term` and `leader_id` are the latest that it knows.
    """

    previous_index: int
    applied_index: int
    records: tuple[consensus_messages.Record, ...]
    age_ms: int
    term: int
    leader_id: ids.EntryId | None


@codec.message("follow_snapshot")
@dataclasses.dataclass(frozen=True, slots=True)
class FollowSnapshot:
    """Part of a snapshot for a follower that is far behind."""

    index: int
    index_term: int
    time_ms: int
    replicas: tuple[ids.EntryId, ...]
    size: int
    offset: int
    data: bytes


class ReportRow(NamedTuple):
    """The index that an entry has applied, and the age of that knowledge.

    A tuple, because its encoding has no field names and reports have a row
    for every entry.
    """

    entry_id: ids.EntryId
    applied_index: int
    age_ms: int


@codec.message("in_force_report")
@dataclasses.dataclass(frozen=True, slots=True)
class InForceReport:
    """Reports for the leader on the way up, and from it on the way down."""

    rows: tuple[ReportRow, ...]


@codec.message("join_probe")
@dataclasses.dataclass(frozen=True, slots=True)
class JoinProbe:
    """Sent by a replica that is not a member of the log yet.

    `attempt_id` names the process, `is_admitted` tells whether the replica was
    removed already and may be added.
    """

    attempt_id: str
    is_admitted: bool


@codec.message("join_state")
@dataclasses.dataclass(frozen=True, slots=True)
class JoinState:
    """Answers a `JoinProbe`; an unused replica never voted nor stored."""

    attempt_id: str
    is_unused: bool


@codec.message("join_grant")
@dataclasses.dataclass(frozen=True, slots=True)
class JoinGrant:
    """States that the configuration at `index` lacks the replica."""

    attempt_id: str
    index: int
