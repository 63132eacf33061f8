"""The part of the log that a replica keeps in memory."""

from collections.abc import Sequence

from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus_messages

__all__ = ["Log"]


class Log:
    """A snapshot and the records after it, with consecutive indexes.

    Some records before the snapshot may be kept as well, so that a follower
    that is slightly behind doesn't need the snapshot.
    """

    def __init__(
        self,
        snapshot: consensus_messages.Snapshot,
        records: Sequence[consensus_messages.Record] = (),
    ) -> None:
        """Creates the log from a snapshot and the records read with it."""
        self._snapshot = snapshot
        self._records = list(records)
        first = self._records[0].index if self._records else snapshot.index + 1
        self._first_index = first
        self._configurations = [
            record
            for record in self._records
            if record.kind is consensus_messages.RecordKind.CONFIGURATION
            and record.index > snapshot.index
        ]

    @property
    def snapshot(self) -> consensus_messages.Snapshot:
        """The latest snapshot."""
        return self._snapshot

    @property
    def first_index(self) -> int:
        """Index of the first record in memory."""
        return self._first_index

    @property
    def last_index(self) -> int:
        """Index of the last record, or of the snapshot."""
        return self._first_index + len(self._records) - 1

    @property
    def last_term(self) -> int:
        """Term of the last record, or of the snapshot."""
        if self._records:
            return self._records[-1].term
        return self._snapshot.term

    @property
    def last_time_ms(self) -> int:
        """Time of the last record, or of the snapshot."""
        if self._records:
            return self._records[-1].time_ms
        return self._snapshot.time_ms

    @property
    def replicas(self) -> tuple[ids.EntryId, ...]:
        """Replicas of the latest configuration, even if not committed."""
        if self._configurations:
            return consensus_messages.decode_configuration(
                self._configurations[-1]
            )
        return self._snapshot.replicas

    @property
    def configuration_index(self) -> int:
        """Index of the latest configuration record, 0 for the first one."""
        if self._configurations:
            return self._configurations[-1].index
        return 0

    def term_at(self, index: int) -> int | None:
        """Returns the term of a record, or None when it isn't known."""
        if self._first_index <= index <= self.last_index:
            return self._records[index - self._first_index].term
        if index == self._snapshot.index:
            return self._snapshot.term
        return None

    def record_at(self, index: int) -> consensus_messages.Record:
        """Returns the record of an index that is in memory."""
        if not self._first_index <= index <= self.last_index:
            raise IndexError(f"record {index} is not in memory")
        return self._records[index - self._first_index]

    def slice(
        self, first: int, max_records: int, max_bytes: int, last: int
    ) -> tuple[consensus_messages.Record, ...]:
        """Returns records from `first` to at most `last`, within the limits.

        If there are records in this range, at least one is returned, even if
        it is larger than `max_bytes`.
        """
        selected: list[consensus_messages.Record] = []
        size = 0
        end = min(last, self.last_index, first + max_records - 1)
        for index in range(first, end + 1):
            record = self._records[index - self._first_index]
            size += len(record.payload)
            if selected and size > max_bytes:
                break
            selected.append(record)
        return tuple(selected)

    def append(self, record: consensus_messages.Record) -> None:
        """Appends a record, after removing those from its index on."""
        if record.index <= self.last_index:
            self._truncate(record.index)
        if record.index != self.last_index + 1:
            raise IndexError(
                f"record {record.index} does not follow {self.last_index}"
            )
        self._records.append(record)
        if record.kind is consensus_messages.RecordKind.CONFIGURATION:
            self._configurations.append(record)

    def compact(
        self, snapshot: consensus_messages.Snapshot, keep_from: int
    ) -> None:
        """Replaces the records before `keep_from` by a snapshot.

        A snapshot that conflicts with the log, or is ahead of it, replaces
        every record.
        """
        if self.term_at(snapshot.index) != snapshot.term:
            self._records = []
            self._first_index = snapshot.index + 1
            self._configurations = []
        else:
            keep_from = min(
                max(keep_from, self._first_index), snapshot.index + 1
            )
            del self._records[: keep_from - self._first_index]
            self._first_index = keep_from
            self._configurations = [
                item
                for item in self._configurations
                if item.index > snapshot.index
            ]
        self._snapshot = snapshot

    def _truncate(self, index: int) -> None:
        del self._records[index - self._first_index :]
        while self._configurations and self._configurations[-1].index >= index:
            self._configurations.pop()
