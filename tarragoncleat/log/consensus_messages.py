"""Records of the replicated log and the messages of its core."""

from collections.abc import Iterable
import dataclasses
import enum
from typing import NamedTuple

import msgpack

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import ids

__all__ = [
    "AppendReply",
    "AppendRequest",
    "CoreMessage",
    "Record",
    "RecordKind",
    "Snapshot",
    "SnapshotChunk",
    "SnapshotReply",
    "TermVote",
    "VoteReply",
    "VoteRequest",
    "configuration_of",
    "encode_configuration",
]


class RecordKind(enum.Enum):
    """What a record means to the log itself."""

    NO_OP = "no_op"
    COMMAND = "command"
    CONFIGURATION = "configuration"


class Record(NamedTuple):
    """One record of the log; `time_ms` is the leader's time since the epoch.

    A tuple, because its encoding has no field names and it is the most
    frequent value between entries.
    """

    index: int  # type: ignore[assignment]
    term: int
    time_ms: int
    kind: RecordKind
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TermVote:
    """The current term and the candidate that received the vote in it."""

    term: int = 0
    voted_for: ids.EntryId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the machine after the record `index` of `term`.

    `replicas` and `time_ms` are the configuration and the leader's time at
    that record.
    """

    index: int
    term: int
    time_ms: int
    replicas: tuple[ids.EntryId, ...]
    data: bytes


def encode_configuration(replicas: Iterable[ids.EntryId]) -> bytes:
    """Returns the payload of a configuration record."""
    return msgpack.packb(sorted(replicas))


def configuration_of(record: Record) -> tuple[ids.EntryId, ...]:
    """Returns the replicas that a configuration record names."""
    return tuple(ids.EntryId(name) for name in msgpack.unpackb(record.payload))


@codec.message("vote_request")
@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or with `pre_vote` whether one would be granted."""

    term: int
    candidate: ids.EntryId
    last_index: int
    last_term: int
    pre_vote: bool


@codec.message("vote_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Answers a `VoteRequest`.

    A granted pre-vote carries the term that was asked for, every other reply
    the voter's own term.
    """

    term: int
    voter: ids.EntryId
    granted: bool
    pre_vote: bool


@codec.message("append_request", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Sends records, or without records a heartbeat.

    `sequence` is echoed by the reply and shows how recent the reply is.
    """

    term: int
    leader: ids.EntryId
    previous_index: int
    previous_term: int
    records: tuple[Record, ...]
    commit_index: int
    sequence: int


@codec.message("append_reply", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Answers an `AppendRequest` or a complete snapshot.

    When accepted, `match_index` is the last synced index that equals the
    leader's log; otherwise it is where the logs may still agree.
    """

    term: int
    follower: ids.EntryId
    accepted: bool
    match_index: int
    sequence: int


@codec.message("snapshot_chunk")
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Part of a snapshot; an empty part asks how much has arrived."""

    term: int
    leader: ids.EntryId
    index: int
    index_term: int
    time_ms: int
    replicas: tuple[ids.EntryId, ...]
    size: int
    offset: int
    data: bytes
    sequence: int


@codec.message("snapshot_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Answers a `SnapshotChunk` with the offset that is needed next."""

    term: int
    follower: ids.EntryId
    index: int
    next_offset: int
    sequence: int


CoreMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
)
