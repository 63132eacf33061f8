"""What the consensus core asks of its surroundings."""

import dataclasses

from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus_messages

__all__ = ["Envelope", "Now", "Output", "ReadyRead", "Times"]


@dataclasses.dataclass(frozen=True, slots=True)
class Now:
    """The time that is passed to the core.

    `monotonic_s` drives timeouts; `wall_ms` is stamped on records.
    """

    monotonic_s: float
    wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Times:
    """Intervals of the core in seconds."""

    heartbeat_s: float
    election_min_s: float
    election_max_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message and the entry that it goes to."""

    to: ids.EntryId
    message: consensus_messages.CoreMessage


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyRead:
    """A read that may be served once `index` is applied."""

    token: int
    index: int


@dataclasses.dataclass(slots=True)
class Output:
    """Work that the core produced, in the order in which it must be done.

    `early` may be sent at once. `snapshot`, then `term_vote`, then `records`
    must be synced before `messages` are sent. A record replaces every earlier
    record of the same or a higher index; with `reset_log` the snapshot
    replaces the whole log first.
    """

    early: list[Envelope] = dataclasses.field(default_factory=list)
    snapshot: consensus_messages.Snapshot | None = None
    reset_log: bool = False
    term_vote: consensus_messages.TermVote | None = None
    records: list[consensus_messages.Record] = dataclasses.field(
        default_factory=list
    )
    messages: list[Envelope] = dataclasses.field(default_factory=list)
    reads: list[ReadyRead] = dataclasses.field(default_factory=list)

    def must_sync(self) -> bool:
        """Whether anything must reach the disk."""
        return bool(self.snapshot or self.term_vote or self.records)

    def must_wait(self) -> bool:
        """Whether there is work that follows a sync."""
        return self.must_sync() or bool(self.messages)
