"""A replica's log: what is stored, synced and known to be committed."""

import dataclasses

from tarragoncleat.log import consensus_log
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import consensus_output

__all__ = ["ReplicaLog"]


@dataclasses.dataclass(slots=True)
class _ArrivingSnapshot:
    index: int
    index_term: int
    data: bytearray = dataclasses.field(default_factory=bytearray)


class ReplicaLog:
    """Changes the log and notes in the output what must be synced."""

    def __init__(
        self,
        log: consensus_log.Log,
        commit_index: int,
        output: consensus_output.Output,
    ) -> None:
        """Starts with a log that is synced."""
        self._log = log
        known = min(commit_index, log.last_index)
        self._commit_index = max(log.snapshot.index, known)
        self._leader_commit_index = 0
        self._synced_index = log.last_index
        self._has_replaced = False
        self._arriving: _ArrivingSnapshot | None = None
        self._output = output

    @property
    def commit_index(self) -> int:
        """Highest index that is known to be committed."""
        return self._commit_index

    @property
    def leader_commit_index(self) -> int:
        """Highest index that a leader has reported as committed."""
        return max(self._commit_index, self._leader_commit_index)

    @property
    def synced_index(self) -> int:
        """Highest index up to which the log is certainly synced."""
        return self._synced_index

    def use_output(self, output: consensus_output.Output) -> None:
        """Directs further work to a new output."""
        self._output = output
        self._has_replaced = False

    def append(self, record: consensus_messages.Record) -> None:
        """Appends a record; it replaces later ones of the same index."""
        self._note_replaced(record.index)
        self._log.append(record)
        self._output.records.append(record)

    def commit(self, index: int) -> None:
        """Notes that the records up to `index` are committed."""
        self._commit_index = max(self._commit_index, index)

    def acknowledge(self, output: consensus_output.Output) -> int:
        """Counts the last output as synced.

        Returns:
            Index of its last record, or 0 when that says nothing.
        """
        if output.snapshot is not None:
            self._synced_index = max(self._synced_index, output.snapshot.index)
        # Once a record was replaced, the same record may come back behind it;
        # what is synced of it counts with the next output.
        if not output.records or self._has_replaced:
            return 0
        last_index = output.records[-1].index
        self._synced_index = max(self._synced_index, last_index)
        return last_index

    def store(
        self, request: consensus_messages.AppendRequest
    ) -> tuple[bool, int]:
        """Takes the leader's records.

        Returns:
            Whether they follow the own log, and the last index that equals
            the leader's log, or up to which both may be equal.
        """
        self._leader_commit_index = max(
            self._leader_commit_index, request.commit_index
        )
        previous = request.previous_index
        # What is committed equals the leader's log, also when it is no longer
        # in memory.
        is_known = (
            previous < self._commit_index
            or self._log.term_at(previous) == request.previous_term
        )
        if not is_known:
            return False, self._last_possible_match(previous)
        for record in request.records:
            is_new = record.index > self._commit_index
            if is_new and self._log.term_at(record.index) != record.term:
                self.append(record)
        match_index = previous + len(request.records)
        self.commit(min(request.commit_index, match_index))
        return True, match_index

    def receive_chunk(self, chunk: consensus_messages.SnapshotChunk) -> int:
        """Takes a part of a snapshot and installs it when it is complete.

        Returns:
            How much of the snapshot has arrived.
        """
        arriving = self._arriving
        place = (chunk.index, chunk.index_term)
        if arriving is None or (arriving.index, arriving.index_term) != place:
            arriving = _ArrivingSnapshot(*place)
            self._arriving = arriving
        if chunk.offset == len(arriving.data):
            arriving.data += chunk.data
        arrived = len(arriving.data)
        if arrived >= chunk.size:
            self._install(chunk, bytes(arriving.data))
        return arrived

    def _install(
        self, chunk: consensus_messages.SnapshotChunk, data: bytes
    ) -> None:
        snapshot = consensus_messages.Snapshot(
            chunk.index, chunk.index_term, chunk.time_ms, chunk.replicas, data
        )
        self._arriving = None
        if self._log.term_at(snapshot.index) != snapshot.term:
            self._note_replaced(self._commit_index + 1)
            self._output.reset_log = True
            self._output.records = []
        self._log.compact(snapshot, snapshot.index + 1)
        self._commit_index = snapshot.index
        self._output.snapshot = snapshot

    def _note_replaced(self, index: int) -> None:
        if index <= self._log.last_index:
            self._has_replaced = True
            self._synced_index = min(self._synced_index, index - 1)

    def _last_possible_match(self, previous: int) -> int:
        index = min(previous - 1, self._log.last_index)
        if previous <= self._log.last_index:
            term = self._log.term_at(previous)
            while index > self._commit_index and (
                self._log.term_at(index) == term
            ):
                index -= 1
        return max(index, self._commit_index)
