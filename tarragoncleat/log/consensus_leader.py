"""Replication from the leader to its followers."""

from collections import deque
from collections.abc import Callable, Collection
import dataclasses
from typing import NamedTuple

from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus_log
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import consensus_output

__all__ = ["Leadership"]

# Limits of one request and of the records in flight to one follower, which
# bound the memory that a slow follower costs.
_MAX_BATCH_RECORDS = 256
_MAX_BATCH_BYTES = 262_144
_MAX_WINDOW_RECORDS = 1_024
_CHUNK_BYTES = 262_144
# A chunk without a reply within this many heartbeats is sent again.
_CHUNK_RETRY_HEARTBEATS = 5


@dataclasses.dataclass(slots=True)
class _Progress:
    """What a follower has confirmed and been sent.

    `batch_index` is the first index of the latest request with records.
    """

    next_index: int
    contact_s: float
    batch_index: int = 0
    match_index: int = 0
    sent_commit_index: int = 0
    acked_sequence: int = 0
    snapshot_index: int | None = None
    chunk_offset: int = 0
    chunk_sent_s: float = 0.0
    is_probing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    token: int
    sequence: int
    index: int


class _SentHeartbeat(NamedTuple):
    sequence: int
    sent_s: float


class Leadership:
    """The state of a leader during one term."""

    def __init__(
        self,
        entry_id: ids.EntryId,
        term: int,
        log: consensus_log.Log,
        timing: consensus_output.Timing,
        now: consensus_output.Now,
        output: consensus_output.Output,
    ) -> None:
        """Starts a term; messages are added to `output`."""
        self._entry_id = entry_id
        self._term = term
        self._log = log
        self._timing = timing
        self._output = output
        self._progress: dict[ids.EntryId, _Progress] = {}
        self._observers: frozenset[ids.EntryId] = frozenset()
        self._synced_index = 0
        self._sequence = 0
        self._reads: list[_Read] = []
        self._unconfirmed: deque[_SentHeartbeat] = deque()
        self._confirmed_s = now.monotonic_s
        self._first_index = log.last_index + 1
        self._started_s = now.monotonic_s
        self.update_members(now)

    @property
    def first_index(self) -> int:
        """Index of the no-op record of this term."""
        return self._first_index

    def set_output(self, output: consensus_output.Output) -> None:
        """Adds further messages to another output."""
        self._output = output

    def set_observers(
        self, observers: Collection[ids.EntryId], now: consensus_output.Now
    ) -> None:
        """Replicates the log to nodes that don't count in any majority."""
        if self._observers != frozenset(observers):
            self._observers = frozenset(observers)
            self.update_members(now)

    def match_index(self, member: ids.EntryId) -> int:
        """Returns the last index that a follower has confirmed, or 0."""
        progress = self._progress.get(member)
        return progress.match_index if progress is not None else 0

    def update_members(self, now: consensus_output.Now) -> None:
        """Tracks the replicas in the log's latest configuration, and observers.

        Both get the log; only replicas count in majorities.
        """
        members = set(self._log.replicas) | self._observers
        members.discard(self._entry_id)
        for member in sorted(members - self._progress.keys()):
            self._progress[member] = _Progress(
                self._log.last_index + 1, now.monotonic_s
            )
        for member in sorted(self._progress.keys() - members):
            del self._progress[member]

    def acknowledge_sync(self, index: int) -> None:
        """Marks the leader's own log as synced up to `index`."""
        self._synced_index = max(self._synced_index, index)

    def commit_index(self) -> int:
        """Returns the highest index that a majority has synced.

        A record of an earlier term commits only together with a later record
        of this term, because another leader may still overwrite it even if a
        majority has it.
        """
        index = self._majority_value(
            self._synced_index, lambda progress: progress.match_index
        )
        return index if self._log.term_at(index) == self._term else 0

    def contact_times_s(self) -> dict[ids.EntryId, float]:
        """Returns the time of each follower's last reply."""
        return {
            member: progress.contact_s
            for member, progress in self._progress.items()
        }

    def has_quorum_contact(self, now: consensus_output.Now) -> bool:
        """Whether a majority replied within the election timeout."""
        limit_s = now.monotonic_s - self._timing.election_max_s
        alive = sum(
            member == self._entry_id
            or self._progress[member].contact_s >= limit_s
            for member in self._log.replicas
        )
        return 2 * alive > len(self._log.replicas)

    def confirmed_s(self) -> float:
        """Returns when the latest heartbeat that a majority answered was sent.

        A reply proves nothing about the time after its heartbeat was sent: it
        may have waited while this process was suspended.
        """
        self._drop_confirmed()
        return self._confirmed_s

    def _drop_confirmed(self) -> None:
        if not self._unconfirmed:
            return
        confirmed = self._confirmed_sequence()
        while self._unconfirmed and self._unconfirmed[0].sequence <= confirmed:
            self._confirmed_s = self._unconfirmed.popleft().sent_s

    def _confirmed_sequence(self) -> int:
        return self._majority_value(
            self._sequence, lambda progress: progress.acked_sequence
        )

    def _majority_value(
        self, own: int, value_of: Callable[[_Progress], int]
    ) -> int:
        """Returns the highest value that a majority of replicas has reached.

        The leader counts only while it is a replica; its removal is committed
        by a majority of the others.
        """
        values = [
            own
            if member == self._entry_id
            else value_of(self._progress[member])
            for member in self._log.replicas
        ]
        return sorted(values)[(len(values) - 1) // 2]

    def request_read(self, token: int, commit_index: int) -> None:
        """Registers a read; the next round of heartbeats confirms it."""
        index = max(commit_index, self._first_index)
        self._reads.append(_Read(token, self._sequence + 1, index))

    def release_reads(self) -> None:
        """Moves the reads that a majority has confirmed to the output."""
        confirmed = self._confirmed_sequence()
        for read in self._reads:
            if read.sequence <= confirmed:
                self._output.reads.append(
                    consensus_output.ConfirmedRead(read.token, read.index)
                )
        self._reads = [
            read for read in self._reads if read.sequence > confirmed
        ]

    def send_heartbeats(
        self, commit_index: int, now: consensus_output.Now
    ) -> None:
        """Sends a heartbeat to every follower, with pending records if any."""
        self._drop_confirmed()
        self._sequence += 1
        self._unconfirmed.append(
            _SentHeartbeat(self._sequence, now.monotonic_s)
        )
        for member, progress in self._progress.items():
            if progress.snapshot_index is None:
                self._send_append(member, progress, commit_index, now)
            else:
                self._send_chunk(member, progress, b"")

    def send_pending_records(
        self, commit_index: int, now: consensus_output.Now
    ) -> None:
        """Sends the missing records to followers; sends no heartbeats."""
        for member, progress in self._progress.items():
            self._fill_window(member, progress, commit_index, now)

    def send_commit_index(
        self, commit_index: int, now: consensus_output.Now
    ) -> None:
        """Sends the commit index before the next heartbeat is due.

        A follower with unconfirmed records is skipped, because the leader
        sends it the commit index when its confirmation arrives.
        """
        for member, progress in self._progress.items():
            self._send_commit_index(member, progress, commit_index, now)

    def on_append_reply(
        self,
        reply: consensus_messages.AppendReply,
        commit_index: int,
        now: consensus_output.Now,
    ) -> None:
        """Processes a follower's reply and sends it the records it lacks."""
        progress = self._progress.get(reply.follower)
        if progress is None:
            return
        self._record_contact(progress, reply.sequence, now)
        if reply.accepted:
            self._advance(progress, reply.match_index)
            self._fill_window(reply.follower, progress, commit_index, now)
            self._send_commit_index(reply.follower, progress, commit_index, now)
        elif progress.snapshot_index is None:
            # Only one request is sent until the point where the logs agree is
            # known; otherwise each rejection of a whole window of requests
            # would send it again.
            progress.is_probing = True
            progress.next_index = max(
                progress.match_index + 1,
                min(progress.next_index, reply.match_index + 1),
            )
            self._send_append(reply.follower, progress, commit_index, now)

    def on_snapshot_reply(
        self,
        reply: consensus_messages.SnapshotReply,
        now: consensus_output.Now,
    ) -> None:
        """Processes a follower's reply and sends the next chunk."""
        progress = self._progress.get(reply.follower)
        if progress is None:
            return
        self._record_contact(progress, reply.sequence, now)
        if progress.snapshot_index != reply.index:
            return
        retry_after_s = _CHUNK_RETRY_HEARTBEATS * self._timing.heartbeat_s
        must_retry = now.monotonic_s - progress.chunk_sent_s >= retry_after_s
        if reply.next_offset != progress.chunk_offset or must_retry:
            progress.chunk_offset = reply.next_offset
            self._send_next_chunk(reply.follower, progress, now)

    def _advance(self, progress: _Progress, match_index: int) -> None:
        progress.is_probing = False
        progress.match_index = max(progress.match_index, match_index)
        progress.next_index = max(progress.next_index, match_index + 1)
        snapshot_index = progress.snapshot_index
        if snapshot_index is not None and match_index >= snapshot_index:
            progress.snapshot_index = None
            progress.next_index = progress.match_index + 1

    def _record_contact(
        self, progress: _Progress, sequence: int, now: consensus_output.Now
    ) -> None:
        progress.contact_s = now.monotonic_s
        progress.acked_sequence = max(progress.acked_sequence, sequence)

    def _fill_window(
        self,
        member: ids.EntryId,
        progress: _Progress,
        commit_index: int,
        now: consensus_output.Now,
    ) -> None:
        while self._may_send(progress):
            self._send_append(member, progress, commit_index, now)

    def _send_commit_index(
        self,
        member: ids.EntryId,
        progress: _Progress,
        commit_index: int,
        now: consensus_output.Now,
    ) -> None:
        if not self._timing.announces_commits:
            return
        has_confirmed_all = progress.next_index == progress.match_index + 1
        is_behind = progress.sent_commit_index < commit_index
        if has_confirmed_all and is_behind and progress.snapshot_index is None:
            self._send_append(member, progress, commit_index, now)

    def _may_send(self, progress: _Progress) -> bool:
        if progress.snapshot_index is not None or progress.is_probing:
            return False
        in_flight = progress.next_index - 1 - progress.match_index
        # Two requests are in flight at most; what is proposed meanwhile is sent
        # in one. A request for each proposal would take a third of the
        # processor time of a busy leader.
        return (
            progress.next_index <= self._log.last_index
            and progress.match_index >= progress.batch_index - 1
            and in_flight < _MAX_WINDOW_RECORDS
        )

    def _send_append(
        self,
        member: ids.EntryId,
        progress: _Progress,
        commit_index: int,
        now: consensus_output.Now,
    ) -> None:
        previous_index = progress.next_index - 1
        previous_term = self._log.term_at(previous_index)
        if previous_term is None or progress.next_index < self._log.first_index:
            self._start_snapshot(member, progress, now)
            return
        records = self._log.slice(
            progress.next_index,
            _MAX_BATCH_RECORDS,
            _MAX_BATCH_BYTES,
            progress.match_index + _MAX_WINDOW_RECORDS,
        )
        request = consensus_messages.AppendRequest(
            self._term,
            self._entry_id,
            previous_index,
            previous_term,
            records,
            commit_index,
            self._sequence,
        )
        if records:
            progress.batch_index = progress.next_index
        progress.next_index += len(records)
        progress.sent_commit_index = commit_index
        self._output.immediate_messages.append(
            consensus_output.Envelope(member, request)
        )

    def _start_snapshot(
        self,
        member: ids.EntryId,
        progress: _Progress,
        now: consensus_output.Now,
    ) -> None:
        progress.snapshot_index = self._log.snapshot.index
        progress.chunk_offset = 0
        self._send_next_chunk(member, progress, now)

    def _send_next_chunk(
        self,
        member: ids.EntryId,
        progress: _Progress,
        now: consensus_output.Now,
    ) -> None:
        if progress.snapshot_index != self._log.snapshot.index:
            progress.snapshot_index = self._log.snapshot.index
            progress.chunk_offset = 0
        start = progress.chunk_offset
        data = self._log.snapshot.data[start : start + _CHUNK_BYTES]
        progress.chunk_sent_s = now.monotonic_s
        self._send_chunk(member, progress, data)

    def _send_chunk(
        self, member: ids.EntryId, progress: _Progress, data: bytes
    ) -> None:
        snapshot = self._log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.chunk_offset = 0
        chunk = consensus_messages.SnapshotChunk(
            self._term,
            self._entry_id,
            snapshot.index,
            snapshot.term,
            snapshot.time_ms,
            snapshot.replicas,
            len(snapshot.data),
            progress.chunk_offset,
            data,
            self._sequence,
        )
        self._output.immediate_messages.append(
            consensus_output.Envelope(member, chunk)
        )
