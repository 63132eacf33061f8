"""Input and output types of the consensus core."""

import dataclasses

from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus_messages

__all__ = ["ConfirmedRead", "Envelope", "Now", "Output", "Timing"]


@dataclasses.dataclass(frozen=True, slots=True)
class Now:
    """The current time, as passed to the core.

    `monotonic_s` drives timeouts; `wall_ms` is the timestamp of new records.
    """

    monotonic_s: float
    wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the core in seconds.

    With `announces_commits` the followers hear of a commit at once, which costs
    a message to and from each of them; otherwise with the next request.
    """

    heartbeat_s: float
    election_min_s: float
    election_max_s: float
    announces_commits: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message and the entry to which it is sent."""

    to: ids.EntryId
    message: consensus_messages.CoreMessage


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmedRead:
    """A read that may be served once `index` is applied."""

    token: int
    index: int


@dataclasses.dataclass(slots=True)
class Output:
    """Work that the core produced, in the order in which it must be done.

    `immediate_messages` may be sent before any sync. `snapshot`, then
    `term_vote`, then `records` must be synced before `deferred_messages` are
    sent. A record replaces every earlier record of the same or a higher index;
    with `reset_log` the snapshot replaces the whole log first.
    """

    immediate_messages: list[Envelope] = dataclasses.field(default_factory=list)
    snapshot: consensus_messages.Snapshot | None = None
    reset_log: bool = False
    term_vote: consensus_messages.TermVote | None = None
    records: list[consensus_messages.Record] = dataclasses.field(
        default_factory=list
    )
    deferred_messages: list[Envelope] = dataclasses.field(default_factory=list)
    reads: list[ConfirmedRead] = dataclasses.field(default_factory=list)

    def needs_sync(self) -> bool:
        """Whether anything must be synced to disk."""
        return bool(self.snapshot or self.term_vote or self.records)

    def has_deferred_work(self) -> bool:
        """Whether there is anything to sync, or to send after a sync."""
        return self.needs_sync() or bool(self.deferred_messages)
