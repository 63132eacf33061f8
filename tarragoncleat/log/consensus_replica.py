"""A replica's log: what is stored, synced and known to be committed."""

import dataclasses

from tarragoncleat.log import consensus_log
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import consensus_output

__all__ = ["ReplicaLog"]


@dataclasses.dataclass(slots=True)
class _PartialSnapshot:
    index: int
    index_term: int
    data: bytearray = dataclasses.field(default_factory=bytearray)


class ReplicaLog:
    """The log of a replica; adds what must be synced to the output."""

    def __init__(
        self,
        log: consensus_log.Log,
        commit_index: int,
        output: consensus_output.Output,
    ) -> None:
        """Starts with a log that is synced already."""
        self._log = log
        last_known_commit = min(commit_index, log.last_index)
        self._commit_index = max(log.snapshot.index, last_known_commit)
        self._leader_commit_index = 0
        self._synced_index = log.last_index
        self._has_replaced = False
        self._partial_snapshot: _PartialSnapshot | None = None
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

    def set_output(self, output: consensus_output.Output) -> None:
        """Adds further work to another output."""
        self._output = output
        self._has_replaced = False

    def append(self, record: consensus_messages.Record) -> None:
        """Appends a record, which replaces those from its index on."""
        self._mark_replaced_from(record.index)
        self._log.append(record)
        self._output.records.append(record)

    def commit(self, index: int) -> None:
        """Marks the records up to `index` as committed."""
        self._commit_index = max(self._commit_index, index)

    def mark_synced(self, output: consensus_output.Output) -> int:
        """Marks the last output as synced.

        Returns:
            Index of its last record; 0 if it has no records or if records were
            replaced since.
        """
        if output.snapshot is not None:
            self._synced_index = max(self._synced_index, output.snapshot.index)
        # After a replacement the same record may be appended again. Only the
        # sync of the output that contains it again counts.
        if not output.records or self._has_replaced:
            return 0
        last_index = output.records[-1].index
        self._synced_index = max(self._synced_index, last_index)
        return last_index

    def append_from_leader(
        self, request: consensus_messages.AppendRequest
    ) -> tuple[bool, int]:
        """Appends the leader's records.

        Returns:
            Whether they continue this log, and the last index up to which it
            equals the leader's log; if they don't, the last index up to which
            the logs may be equal.
        """
        self._leader_commit_index = max(
            self._leader_commit_index, request.commit_index
        )
        previous = request.previous_index
        # Committed records equal the leader's, even if no longer in memory.
        follows_log = (
            previous < self._commit_index
            or self._log.term_at(previous) == request.previous_term
        )
        if not follows_log:
            return False, self._last_possible_match(previous)
        for record in request.records:
            is_new = record.index > self._commit_index
            if is_new and self._log.term_at(record.index) != record.term:
                self.append(record)
        match_index = previous + len(request.records)
        self.commit(min(request.commit_index, match_index))
        return True, match_index

    def receive_chunk(self, chunk: consensus_messages.SnapshotChunk) -> int:
        """Adds a part of a snapshot and installs it when it is complete.

        Returns:
            The number of bytes that have arrived.
        """
        partial = self._partial_snapshot
        snapshot_id = (chunk.index, chunk.index_term)
        if (
            partial is None
            or (partial.index, partial.index_term) != snapshot_id
        ):
            partial = _PartialSnapshot(*snapshot_id)
            self._partial_snapshot = partial
        if chunk.offset == len(partial.data):
            partial.data += chunk.data
        received_bytes = len(partial.data)
        if received_bytes >= chunk.size:
            self._install(chunk, bytes(partial.data))
        return received_bytes

    def _install(
        self, chunk: consensus_messages.SnapshotChunk, data: bytes
    ) -> None:
        snapshot = consensus_messages.Snapshot(
            chunk.index, chunk.index_term, chunk.time_ms, chunk.replicas, data
        )
        self._partial_snapshot = None
        if self._log.term_at(snapshot.index) != snapshot.term:
            self._mark_replaced_from(self._commit_index + 1)
            self._output.reset_log = True
            self._output.records = []
        self._log.compact(snapshot, snapshot.index + 1)
        self._commit_index = snapshot.index
        self._output.snapshot = snapshot

    def _mark_replaced_from(self, index: int) -> None:
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
