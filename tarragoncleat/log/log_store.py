"""The storage of the replicated log.

The data folder has the files `term` (term and vote), `log-*.seg` (records in
the order in which they were written; a record replaces earlier ones of the
same or a higher index) and `snapshot-*.snap`. Methods that write block until
the data is synced, so `replica` calls them in a worker thread.
"""

from collections.abc import Iterable, Sequence
import dataclasses
import os
import pathlib

import loguru
import msgpack

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import log_files

__all__ = ["LogStore", "WriteBatch"]

_TERM_FILE = "term"
_SEGMENT_PATTERN = "log-*.seg"
_SNAPSHOT_PATTERN = "snapshot-*.snap"
_TEMPORARY_PATTERN = "*.tmp"
# The space of a segment is filled with zeros in advance, so that syncing a
# write into it needs no update of the file system's metadata.
_SEGMENT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class WriteBatch:
    """Data that one call of `LogStore.write` makes durable.

    `reset_log` removes all records written before.
    """

    snapshot: consensus_messages.Snapshot | None = None
    reset_log: bool = False
    term_vote: consensus_messages.TermVote | None = None
    records: Sequence[consensus_messages.Record] = ()
    commit_index: int = 0


@dataclasses.dataclass(slots=True)
class _ClosedSegment:
    path: pathlib.Path
    last_index: int
    size: int


@dataclasses.dataclass(slots=True)
class _LoadedRecords:
    records: list[consensus_messages.Record] = dataclasses.field(
        default_factory=list
    )
    commit_index: int = 0


class LogStore:
    """The files of one replica; not safe for concurrent calls."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates a store for a folder; call `load` first."""
        self._folder = folder
        self._closed_segments: list[_ClosedSegment] = []
        self._descriptor: int | None = None
        self._path = folder
        self._size = 0
        self._reserved_bytes = 0
        self._open_last_index = 0
        self._has_partial_write = False
        self._next_batch = 1
        self._next_segment = 1
        self._commit_index = 0
        self._fatal_failure: errors.Failure | None = None

    def load(
        self, replicas: Sequence[ids.EntryId]
    ) -> consensus.SavedState | errors.Failure:
        """Reads the folder, or creates it at the first start.

        Args:
            replicas: The initial configuration, used at the first start.

        Returns:
            The saved state, or a Failure: STORAGE with the damaged file and
            the offset, or DISK_FULL.
        """
        try:
            self._prepare_folder(replicas)
            return self._load()
        except OSError as error:
            return log_files.failure_from_os_error(error, self._folder)

    def write(self, write: WriteBatch) -> errors.Failure | None:
        """Makes a batch durable.

        A failed write may be repeated; no part of it is valid until a call
        returns None. After an error other than a full disk the system may have
        lost unsynced data, so every later call fails as well.
        """
        if self._fatal_failure is not None:
            return self._fatal_failure
        try:
            self._write(write)
        except OSError as error:
            failure = log_files.failure_from_os_error(error, self._path)
            if failure.kind is errors.ErrorKind.STORAGE:
                self._fatal_failure = failure
            return failure
        return None

    def save_snapshot(
        self, snapshot: consensus_messages.Snapshot, keep_from: int
    ) -> errors.Failure | None:
        """Saves a snapshot and removes segments that end before `keep_from`."""
        try:
            self._write_snapshot(snapshot)
            self._remove_covered_segments(min(keep_from, snapshot.index + 1))
        except OSError as error:
            return log_files.failure_from_os_error(error, self._folder)
        return None

    def close(self) -> None:
        """Closes the open segment."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def size_bytes(self) -> dict[str, int]:
        """Returns the sizes of the segments and of the snapshots."""
        snapshots = self._folder.glob(_SNAPSHOT_PATTERN)
        return {
            "log": self._size
            + sum(segment.size for segment in self._closed_segments),
            "snapshot": sum(path.stat().st_size for path in snapshots),
        }

    def _prepare_folder(self, replicas: Sequence[ids.EntryId]) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        log_files.sync_folder(self._folder.parent)
        for path in self._folder.glob(_TEMPORARY_PATTERN):
            path.unlink()
        if not self._is_unused():
            return
        self._write_term(consensus_messages.TermVote())
        self._write_snapshot(
            consensus_messages.Snapshot(0, 0, 0, tuple(replicas), b"")
        )

    def _is_unused(self) -> bool:
        names = {path.name for path in self._folder.iterdir()}
        if names == {_TERM_FILE}:
            # A crash during the first start may leave only the term file.
            return self._read_term() == consensus_messages.TermVote()
        return not names

    def _load(self) -> consensus.SavedState | errors.Failure:
        # A killed process may have left files and names that are not durable.
        # The state that is read here is relied on, so it must be synced.
        log_files.sync_folder(self._folder)
        term_vote = self._read_term()
        if isinstance(term_vote, errors.Failure):
            return term_vote
        snapshot = self._read_snapshot()
        if isinstance(snapshot, errors.Failure):
            return snapshot
        loaded = self._read_segments()
        if isinstance(loaded, errors.Failure):
            return loaded
        records = loaded.records
        if records and records[0].index > snapshot.index + 1:
            return self._storage_failure(
                f"records {snapshot.index + 1} to {records[0].index - 1} "
                "are missing"
            )
        if not _matches_snapshot(snapshot, records):
            # A crash after a snapshot was written, but before the log was
            # removed, leaves records that the snapshot replaces.
            records = []
            self._remove_all_segments()
        last_index = records[-1].index if records else snapshot.index
        self._commit_index = min(
            max(loaded.commit_index, snapshot.index), last_index
        )
        return consensus.SavedState(
            term_vote, snapshot, records, self._commit_index
        )

    def _storage_failure(self, problem: str) -> errors.Failure:
        return errors.Failure(
            errors.ErrorKind.STORAGE, f"{self._folder}: {problem}"
        )

    def _read_term(self) -> consensus_messages.TermVote | errors.Failure:
        body = log_files.read_checksummed(self._folder / _TERM_FILE)
        if isinstance(body, errors.Failure):
            return body
        term, voted_for = msgpack.unpackb(body)
        return consensus_messages.TermVote(term, voted_for)

    def _read_snapshot(self) -> consensus_messages.Snapshot | errors.Failure:
        paths = sorted(self._folder.glob(_SNAPSHOT_PATTERN))
        if not paths:
            return self._storage_failure("the snapshot is missing")
        body = log_files.read_checksummed(paths[-1])
        if isinstance(body, errors.Failure):
            return body
        for path in paths[:-1]:
            path.unlink()
        index, term, time_ms, replicas, data = msgpack.unpackb(body)
        return consensus_messages.Snapshot(
            index, term, time_ms, tuple(replicas), data
        )

    def _read_segments(self) -> _LoadedRecords | errors.Failure:
        loaded = _LoadedRecords()
        paths = sorted(self._folder.glob(_SEGMENT_PATTERN))
        expected_batch: int | None = None
        for path in paths:
            segment = log_files.read_segment(path, path == paths[-1])
            if isinstance(segment, errors.Failure):
                return segment
            if segment.torn_at is not None:
                self._truncate_torn_write(path, segment.torn_at)
            if segment.torn_at == 0:
                continue
            # Frees the reserved space. This needs no sync, because zeros after
            # the last write are harmless.
            if path.stat().st_size > segment.end:
                os.truncate(path, segment.end)
            if expected_batch not in (None, segment.first_batch):
                return self._storage_failure(
                    f"{path.name} does not continue the segment before it"
                )
            if path == paths[-1]:
                log_files.sync_file(path)
            expected_batch = segment.next_batch
            last_index = _replay(segment, loaded)
            self._closed_segments.append(
                _ClosedSegment(path, last_index, segment.end)
            )
        self._next_batch = expected_batch or 1
        if paths:
            self._next_segment = _segment_number(paths[-1]) + 1
        return loaded

    def _truncate_torn_write(self, path: pathlib.Path, offset: int) -> None:
        loguru.logger.warning(
            "removed an incomplete write from the end of the log",
            file=str(path),
            offset=offset,
            bytes=path.stat().st_size - offset,
        )
        if offset == 0:
            path.unlink()
            log_files.sync_folder(self._folder)
            return
        descriptor = os.open(path, os.O_RDWR)
        try:
            os.ftruncate(descriptor, offset)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _write(self, write: WriteBatch) -> None:
        if write.snapshot is not None:
            self._write_snapshot(write.snapshot)
        if write.term_vote is not None:
            self._write_term(write.term_vote)
        if write.reset_log:
            self._remove_all_segments()
        self._append(write.records, write.commit_index)

    def _write_term(self, term_vote: consensus_messages.TermVote) -> None:
        body = msgpack.packb([term_vote.term, term_vote.voted_for])
        log_files.write_checksummed(self._folder / _TERM_FILE, body)

    def _write_snapshot(self, snapshot: consensus_messages.Snapshot) -> None:
        path = self._folder / f"snapshot-{snapshot.index:020d}.snap"
        body = msgpack.packb(
            [
                snapshot.index,
                snapshot.term,
                snapshot.time_ms,
                snapshot.replicas,
                snapshot.data,
            ]
        )
        log_files.write_checksummed(path, body)
        for old in self._folder.glob(_SNAPSHOT_PATTERN):
            if old < path:
                old.unlink()

    def _append(
        self,
        records: Sequence[consensus_messages.Record],
        commit_index: int,
    ) -> None:
        bodies = [_pack_record(record) for record in records]
        if commit_index > self._commit_index:
            bodies.append(msgpack.packb([commit_index]))
        if not bodies:
            return
        frames = log_files.pack_frames(bodies, self._next_batch)
        # A failed write may leave bytes after the last complete one. They must
        # not be read as a part of the next write.
        if (
            self._has_partial_write
            or self._size + len(frames) > self._reserved_bytes
        ):
            self._close_segment()
        descriptor = self._open_segment(len(frames))
        self._has_partial_write = True
        log_files.write_all(descriptor, frames)
        os.fdatasync(descriptor)
        self._has_partial_write = False
        self._size += len(frames)
        self._next_batch += 1
        self._commit_index = max(self._commit_index, commit_index)
        indexes = [record.index for record in records]
        self._open_last_index = max(self._open_last_index, *indexes, 0)

    def _open_segment(self, needed_bytes: int) -> int:
        if self._descriptor is not None:
            return self._descriptor
        path = self._folder / f"log-{self._next_segment:010d}.seg"
        header = log_files.pack_segment_header(self._next_batch)
        reserved_bytes = max(_SEGMENT_BYTES, len(header) + needed_bytes)
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
        descriptor = os.open(path, flags, 0o600)
        try:
            log_files.write_all(descriptor, header.ljust(reserved_bytes, b"\0"))
            os.fsync(descriptor)
            os.lseek(descriptor, len(header), os.SEEK_SET)
            log_files.sync_folder(self._folder)
        except OSError:
            os.close(descriptor)
            path.unlink()
            raise
        self._descriptor = descriptor
        self._path = path
        self._size = len(header)
        self._reserved_bytes = reserved_bytes
        self._open_last_index = 0
        self._next_segment += 1
        return descriptor

    def _close_segment(self) -> None:
        if self._descriptor is None:
            return
        os.ftruncate(self._descriptor, self._size)
        if self._has_partial_write:
            os.fsync(self._descriptor)
            self._has_partial_write = False
        os.close(self._descriptor)
        self._descriptor = None
        self._closed_segments.append(
            _ClosedSegment(self._path, self._open_last_index, self._size)
        )
        self._size = 0

    def _remove_all_segments(self) -> None:
        self._close_segment()
        # Removes the newest segment first, so that a crash leaves a prefix of
        # the old log. It ends before the snapshot or conflicts with it.
        while self._closed_segments:
            self._closed_segments[-1].path.unlink()
            log_files.sync_folder(self._folder)
            self._closed_segments.pop()

    def _remove_covered_segments(self, keep_from: int) -> None:
        log_files.sync_folder(self._folder)
        while (
            self._closed_segments
            and self._closed_segments[0].last_index < keep_from
        ):
            # Each removal is durable before the next one: a power loss that
            # undoes only the earlier one would leave a gap.
            self._closed_segments[0].path.unlink(missing_ok=True)
            log_files.sync_folder(self._folder)
            self._closed_segments.pop(0)


def _segment_number(path: pathlib.Path) -> int:
    return int(path.stem.removeprefix("log-"))


def _pack_record(record: consensus_messages.Record) -> bytes:
    return msgpack.packb(
        [
            record.index,
            record.term,
            record.time_ms,
            record.kind.value,
            record.payload,
        ]
    )


def _replay(segment: log_files.Segment, loaded: _LoadedRecords) -> int:
    last_index = 0
    for frame in segment.frames:
        fields = msgpack.unpackb(frame.body)
        if len(fields) == 1:
            loaded.commit_index = max(loaded.commit_index, fields[0])
            continue
        index, term, time_ms, kind, payload = fields
        record = consensus_messages.Record(
            index, term, time_ms, consensus_messages.RecordKind(kind), payload
        )
        _append_or_replace(record, loaded.records)
        last_index = max(last_index, index)
    return last_index


def _append_or_replace(
    record: consensus_messages.Record,
    records: list[consensus_messages.Record],
) -> None:
    if records:
        del records[max(0, record.index - records[0].index) :]
    records.append(record)


def _matches_snapshot(
    snapshot: consensus_messages.Snapshot,
    records: Iterable[consensus_messages.Record],
) -> bool:
    record_list = list(records)
    if not record_list:
        return True
    if record_list[-1].index < snapshot.index:
        return False
    if record_list[0].index > snapshot.index:
        return True
    return (
        record_list[snapshot.index - record_list[0].index].term == snapshot.term
    )
