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
    "AppliedIndexReport",
    "FollowBatch",
    "FollowRequest",
    "FollowSnapshot",
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
    """Sends messages to other nodes, as a replica needs it."""

    def send(self, entry_id: ids.EntryId, message: object) -> bool:
        """Queues a message; returns False if it will certainly not be sent."""


class Links(Sender, Protocol):
    """The part of `peering.PeerLinks` that replication uses."""

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

    The leader sends no reply after `timeout_ms`.
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
    """Reply to a `ProposeRequest`, in the order of its payloads."""

    request_id: int
    results: tuple[ProposeResult, ...]


@codec.message("read_index_request")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """Requests an index that is safe to read at from the leader."""

    request_id: int


@codec.message("read_index_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexReply:
    """Reply to a `ReadIndexRequest`; None if the entry is not the leader."""

    request_id: int
    index: int | None


@codec.message("follow_request", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class FollowRequest:
    """Subscribes to the committed records after `applied_index`.

    It also renews the subscription and acknowledges received records.
    `restart` requests everything after `applied_index` again;
    `snapshot_offset` is the number of bytes that have arrived of the snapshot
    `snapshot_index`.
    """

    applied_index: int
    restart: bool
    snapshot_index: int = 0
    snapshot_offset: int = 0


@codec.message("follow_batch", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class FollowBatch:
    """Committed records for a subscriber, or a heartbeat.

    `applied_index` is that of the sender; `age_ms` is the time since its state
    was known to be current; `term` and `leader_id` are the latest it knows.
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
    """Part of a snapshot for a subscriber that is far behind."""

    index: int
    index_term: int
    time_ms: int
    replicas: tuple[ids.EntryId, ...]
    size: int
    offset: int
    data: bytes


class ReportRow(NamedTuple):
    """The applied index of an entry, and the age of this information.

    It is a tuple, so that its encoding has no field names: reports have a row
    for every entry.
    """

    entry_id: ids.EntryId
    applied_index: int
    age_ms: int


@codec.message("in_force_report")
@dataclasses.dataclass(frozen=True, slots=True)
class AppliedIndexReport:
    """Applied indexes, sent towards the leader and back from it to all."""

    rows: tuple[ReportRow, ...]


@codec.message("join_probe")
@dataclasses.dataclass(frozen=True, slots=True)
class JoinProbe:
    """Requests admission for a replica that is not a member of the log yet.

    `attempt_id` identifies the process. `is_admitted` is True once the replica
    was removed from the configuration, so that it may be added again.
    """

    attempt_id: str
    is_admitted: bool


@codec.message("join_state")
@dataclasses.dataclass(frozen=True, slots=True)
class JoinState:
    """Reply to a `JoinProbe`; an unused replica has no votes or records."""

    attempt_id: str
    is_unused: bool


@codec.message("join_grant")
@dataclasses.dataclass(frozen=True, slots=True)
class JoinGrant:
    """Confirms that the configuration at `index` lacks the replica."""

    attempt_id: str
    index: int
