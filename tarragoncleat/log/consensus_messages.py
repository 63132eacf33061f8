"""Records of the replicated log and the messages of the consensus core."""

from collections.abc import Iterable
import dataclasses
import enum
import functools
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
    "decode_configuration",
    "encode_configuration",
]


class RecordKind(enum.Enum):
    """Kind of a record in the replicated log."""

    NO_OP = "no_op"
    COMMAND = "command"
    CONFIGURATION = "configuration"


class Record(NamedTuple):
    """One record of the log; `time_ms` is the leader's time since the epoch.

    It is a tuple, so that its encoding has no field names: records are the
    most frequent values that entries exchange.
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
    """The replicated state after the record `index` of `term`.

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


def decode_configuration(record: Record) -> tuple[ids.EntryId, ...]:
    """Returns the replicas that a configuration record names."""
    return _unpack_replicas(record.payload)


@functools.lru_cache(maxsize=16)
def _unpack_replicas(payload: bytes) -> tuple[ids.EntryId, ...]:
    """Unpacks a configuration; the leader reads it for each message."""
    return tuple(ids.EntryId(name) for name in msgpack.unpackb(payload))


@codec.message("vote_request")
@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote, or with `pre_vote` asks if one would be granted."""

    term: int
    candidate: ids.EntryId
    last_index: int
    last_term: int
    pre_vote: bool


@codec.message("vote_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to a `VoteRequest`.

    A granted pre-vote has the requested term; every other reply has the
    voter's own term.
    """

    term: int
    voter: ids.EntryId
    granted: bool
    pre_vote: bool


@codec.message("append_request", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Sends records, or a heartbeat without records.

    The reply repeats `sequence`, which shows how recent the reply is.
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
    """Reply to an `AppendRequest` or a complete snapshot.

    If accepted, `match_index` is the last synced index up to which the log
    equals the leader's; otherwise it is the last index up to which the logs
    may still be equal.
    """

    term: int
    follower: ids.EntryId
    accepted: bool
    match_index: int
    sequence: int


@codec.message("snapshot_chunk")
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Part of a snapshot; an empty part asks which offset is needed next."""

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
    """Reply to a `SnapshotChunk` with the offset that is needed next."""

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
