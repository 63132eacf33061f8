"""What a leader knows about its followers, and what it sends to them."""

from collections.abc import Callable
import dataclasses

from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus_log
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import consensus_output

__all__ = ["Leadership"]

# Bound of one request and of what is on the way to one follower, so that a
# slow follower costs bounded memory.
_MAX_BATCH_RECORDS = 256
_MAX_BATCH_BYTES = 262_144
_MAX_WINDOW_RECORDS = 1_024
_CHUNK_BYTES = 262_144
# A chunk that isn't answered within this many heartbeats is sent again.
_CHUNK_RETRY_HEARTBEATS = 5


@dataclasses.dataclass(slots=True)
class _Progress:
    next_index: int
    contact_s: float
    match_index: int = 0
    sent_commit: int = 0
    acked_sequence: int = 0
    snapshot_index: int | None = None
    chunk_offset: int = 0
    chunk_sent_s: float = 0.0
    probing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    token: int
    sequence: int
    index: int


class Leadership:
    """Replication from one leader in one term."""

    def __init__(
        self,
        entry_id: ids.EntryId,
        term: int,
        log: consensus_log.Log,
        times: consensus_output.Times,
        now: consensus_output.Now,
        output: consensus_output.Output,
    ) -> None:
        """Starts a term; the core's `output` receives the messages."""
        self._entry_id = entry_id
        self._term = term
        self._log = log
        self._times = times
        self._output = output
        self._progress: dict[ids.EntryId, _Progress] = {}
        self._synced_index = 0
        self._sequence = 0
        self._reads: list[_Read] = []
        self._first_index = log.last_index + 1
        self._started_s = now.monotonic_s
        self.update_members(now)

    @property
    def first_index(self) -> int:
        """Index of the no-op record of this term."""
        return self._first_index

    def use_output(self, output: consensus_output.Output) -> None:
        """Directs further messages to a new output."""
        self._output = output

    def update_members(self, now: consensus_output.Now) -> None:
        """Follows a change of the configuration in the log."""
        members = set(self._log.replicas) - {self._entry_id}
        for member in sorted(members - self._progress.keys()):
            self._progress[member] = _Progress(
                self._log.last_index + 1, now.monotonic_s
            )
        for member in sorted(self._progress.keys() - members):
            del self._progress[member]

    def acknowledge_sync(self, index: int) -> None:
        """Counts the leader's own log up to `index` as synced."""
        self._synced_index = max(self._synced_index, index)

    def commit_index(self) -> int:
        """Returns the highest index that a majority has synced.

        Records of earlier terms only count through a later record of this
        term, because a majority may still lose them to another leader.
        """
        index = self._reached_by_majority(
            self._synced_index, lambda progress: progress.match_index
        )
        return index if self._log.term_at(index) == self._term else 0

    def contact_times_s(self) -> dict[ids.EntryId, float]:
        """Returns when each follower answered last."""
        return {
            member: progress.contact_s
            for member, progress in self._progress.items()
        }

    def has_quorum_contact(self, now: consensus_output.Now) -> bool:
        """Whether a majority answered within the election timeout."""
        limit_s = now.monotonic_s - self._times.election_max_s
        alive = sum(
            member == self._entry_id
            or self._progress[member].contact_s >= limit_s
            for member in self._log.replicas
        )
        return 2 * alive > len(self._log.replicas)

    def _reached_by_majority(
        self, own: int, reached: Callable[[_Progress], int]
    ) -> int:
        """Returns the highest value that a majority of replicas has reached.

        The leader counts only while it is a replica; its removal is committed
        by a majority of the others.
        """
        values = [
            own if member == self._entry_id else reached(self._progress[member])
            for member in self._log.replicas
        ]
        return sorted(values)[(len(values) - 1) // 2]

    def request_read(self, token: int, commit_index: int) -> None:
        """Registers a read; the next round of heartbeats confirms it."""
        index = max(commit_index, self._first_index)
        self._reads.append(_Read(token, self._sequence + 1, index))

    def release_reads(self) -> None:
        """Moves the reads that a majority has confirmed to the output."""
        confirmed = self._reached_by_majority(
            self._sequence, lambda progress: progress.acked_sequence
        )
        for read in self._reads:
            if read.sequence <= confirmed:
                self._output.reads.append(
                    consensus_output.ReadyRead(read.token, read.index)
                )
        self._reads = [
            read for read in self._reads if read.sequence > confirmed
        ]

    def send_heartbeats(
        self, commit_index: int, now: consensus_output.Now
    ) -> None:
        """Sends one round to every follower, with records where due."""
        self._sequence += 1
        for member, progress in self._progress.items():
            if progress.snapshot_index is None:
                self._send_append(member, progress, commit_index, now)
            else:
                self._send_chunk(member, progress, b"")

    def send_news(self, commit_index: int, now: consensus_output.Now) -> None:
        """Sends what each follower lacks, without an empty heartbeat."""
        for member, progress in self._progress.items():
            self._fill_window(member, progress, commit_index, now)

    def announce_commit(
        self, commit_index: int, now: consensus_output.Now
    ) -> None:
        """Tells followers of a commit instead of at the next heartbeat.

        A follower that still has records to confirm is left out: its
        confirmation brings the next message to it.
        """
        for member, progress in self._progress.items():
            self._announce(member, progress, commit_index, now)

    def on_append_reply(
        self,
        reply: consensus_messages.AppendReply,
        commit_index: int,
        now: consensus_output.Now,
    ) -> None:
        """Takes a follower's answer and sends it what it lacks."""
        progress = self._progress.get(reply.follower)
        if progress is None:
            return
        self._touch(progress, reply.sequence, now)
        if reply.accepted:
            self._advance(progress, reply.match_index)
            self._fill_window(reply.follower, progress, commit_index, now)
            self._announce(reply.follower, progress, commit_index, now)
        elif progress.snapshot_index is None:
            # Only one request is sent until the logs are known to agree; the
            # rejections of a whole window would each send it again.
            progress.probing = True
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
        """Takes a follower's answer and sends the next part."""
        progress = self._progress.get(reply.follower)
        if progress is None:
            return
        self._touch(progress, reply.sequence, now)
        if progress.snapshot_index != reply.index:
            return
        late_s = _CHUNK_RETRY_HEARTBEATS * self._times.heartbeat_s
        is_late = now.monotonic_s - progress.chunk_sent_s >= late_s
        if reply.next_offset != progress.chunk_offset or is_late:
            progress.chunk_offset = reply.next_offset
            self._send_next_chunk(reply.follower, progress, now)

    def _advance(self, progress: _Progress, match_index: int) -> None:
        progress.probing = False
        progress.match_index = max(progress.match_index, match_index)
        progress.next_index = max(progress.next_index, match_index + 1)
        snapshot_index = progress.snapshot_index
        if snapshot_index is not None and match_index >= snapshot_index:
            progress.snapshot_index = None
            progress.next_index = progress.match_index + 1

    def _touch(
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

    def _announce(
        self,
        member: ids.EntryId,
        progress: _Progress,
        commit_index: int,
        now: consensus_output.Now,
    ) -> None:
        is_idle = progress.next_index == progress.match_index + 1
        is_behind = progress.sent_commit < commit_index
        if is_idle and is_behind and progress.snapshot_index is None:
            self._send_append(member, progress, commit_index, now)

    def _may_send(self, progress: _Progress) -> bool:
        if progress.snapshot_index is not None or progress.probing:
            return False
        on_the_way = progress.next_index - 1 - progress.match_index
        return (
            progress.next_index <= self._log.last_index
            and on_the_way < _MAX_WINDOW_RECORDS
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
        progress.next_index += len(records)
        progress.sent_commit = commit_index
        self._output.early.append(consensus_output.Envelope(member, request))

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
        self._output.early.append(consensus_output.Envelope(member, chunk))
