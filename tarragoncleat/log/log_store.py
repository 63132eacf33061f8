"""The durable part of the replicated log.

The data folder holds `term` (term and vote), `log-*.seg` (records in the order
in which they were written; a record replaces earlier ones of the same or a
higher index) and `snapshot-*.snap`. Every method blocks until the disk has
confirmed, so `replication` calls them in a worker thread.
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

__all__ = ["LogStore", "Write"]

_TERM_FILE = "term"
_SEGMENT_PATTERN = "log-*.seg"
_SNAPSHOT_PATTERN = "snapshot-*.snap"
_TEMPORARY_PATTERN = "*.tmp"
# The space of a segment is written with zeros in advance, so that syncing a
# write into it needs no update of the file system's own records.
_SEGMENT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """What one call of `LogStore.write` makes durable together.

    `reset_log` removes every record that was written before.
    """

    snapshot: consensus_messages.Snapshot | None = None
    reset_log: bool = False
    term_vote: consensus_messages.TermVote | None = None
    records: Sequence[consensus_messages.Record] = ()
    commit_index: int = 0


@dataclasses.dataclass(slots=True)
class _Closed:
    path: pathlib.Path
    last_index: int
    size: int


@dataclasses.dataclass(slots=True)
class _Loaded:
    records: list[consensus_messages.Record] = dataclasses.field(
        default_factory=list
    )
    commit_index: int = 0


class LogStore:
    """The files of one replica; it is not safe for parallel calls."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Names the folder; `load` must be called before anything else."""
        self._folder = folder
        self._closed: list[_Closed] = []
        self._descriptor: int | None = None
        self._path = folder
        self._size = 0
        self._reserved = 0
        self._open_last_index = 0
        self._must_cut = False
        self._next_batch = 1
        self._next_segment = 1
        self._commit_index = 0
        self._damage: errors.Failure | None = None

    def load(
        self, replicas: Sequence[ids.EntryId]
    ) -> consensus.SavedState | errors.Failure:
        """Reads the folder, or prepares it at the first start.

        Args:
            replicas: The configuration that a first start begins with.

        Returns:
            What was saved, or a Failure of kind STORAGE that names the damaged
            file and the offset, or of kind DISK_FULL.
        """
        try:
            self._prepare_folder(replicas)
            return self._load()
        except OSError as error:
            return log_files.failure_of(error, self._folder)

    def write(self, write: Write) -> errors.Failure | None:
        """Makes a write durable.

        A failed write may be repeated; nothing of it counts until a call
        returns None. After an error other than a full disk the system may have
        forgotten unsynced data, so every later call fails as well.
        """
        if self._damage is not None:
            return self._damage
        try:
            self._write(write)
        except OSError as error:
            failure = log_files.failure_of(error, self._path)
            if failure.kind is errors.ErrorKind.STORAGE:
                self._damage = failure
            return failure
        return None

    def save_snapshot(
        self, snapshot: consensus_messages.Snapshot, keep_from: int
    ) -> errors.Failure | None:
        """Saves a snapshot and removes the segments before `keep_from`."""
        try:
            self._write_snapshot(snapshot)
            self._remove_segments(min(keep_from, snapshot.index + 1))
        except OSError as error:
            return log_files.failure_of(error, self._folder)
        return None

    def close(self) -> None:
        """Closes the open segment."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def size_bytes(self) -> dict[str, int]:
        """Returns the bytes in segments and in snapshots."""
        snapshots = self._folder.glob(_SNAPSHOT_PATTERN)
        return {
            "log": self._size + sum(closed.size for closed in self._closed),
            "snapshot": sum(path.stat().st_size for path in snapshots),
        }

    # Reading.

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
            # A crash during the first start leaves the first term alone.
            return self._read_term() == consensus_messages.TermVote()
        return not names

    def _load(self) -> consensus.SavedState | errors.Failure:
        # A process that was killed may have left files and names that are
        # not durable; what is read here counts, so it must be.
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
            return self._refuse(
                f"records {snapshot.index + 1} to {records[0].index - 1} "
                "are missing"
            )
        if not _continues(snapshot, records):
            # A crash between the two steps of installing a snapshot leaves
            # records that the snapshot replaces.
            records = []
            self._remove_journal()
        last_index = records[-1].index if records else snapshot.index
        self._commit_index = min(
            max(loaded.commit_index, snapshot.index), last_index
        )
        return consensus.SavedState(
            term_vote, snapshot, records, self._commit_index
        )

    def _refuse(self, what: str) -> errors.Failure:
        return errors.Failure(
            errors.ErrorKind.STORAGE, f"{self._folder}: {what}"
        )

    def _read_term(self) -> consensus_messages.TermVote | errors.Failure:
        body = log_files.read_sealed(self._folder / _TERM_FILE)
        if isinstance(body, errors.Failure):
            return body
        term, voted_for = msgpack.unpackb(body)
        return consensus_messages.TermVote(term, voted_for)

    def _read_snapshot(self) -> consensus_messages.Snapshot | errors.Failure:
        paths = sorted(self._folder.glob(_SNAPSHOT_PATTERN))
        if not paths:
            return self._refuse("the snapshot is missing")
        body = log_files.read_sealed(paths[-1])
        if isinstance(body, errors.Failure):
            return body
        for path in paths[:-1]:
            path.unlink()
        index, term, time_ms, replicas, data = msgpack.unpackb(body)
        return consensus_messages.Snapshot(
            index, term, time_ms, tuple(replicas), data
        )

    def _read_segments(self) -> _Loaded | errors.Failure:
        loaded = _Loaded()
        paths = sorted(self._folder.glob(_SEGMENT_PATTERN))
        expected_batch: int | None = None
        for path in paths:
            segment = log_files.read_segment(path, path == paths[-1])
            if isinstance(segment, errors.Failure):
                return segment
            if segment.torn_at is not None:
                self._cut(path, segment.torn_at)
            if segment.torn_at == 0:
                continue
            # Frees the reserved space; it needs no sync, because zeros behind
            # the last write do no harm.
            if path.stat().st_size > segment.end:
                os.truncate(path, segment.end)
            if expected_batch not in (None, segment.first_batch):
                return self._refuse(
                    f"{path.name} does not continue the segment before it"
                )
            if path == paths[-1]:
                log_files.sync_file(path)
            expected_batch = segment.next_batch
            last_index = _replay(segment, loaded)
            self._closed.append(_Closed(path, last_index, segment.end))
        self._next_batch = expected_batch or 1
        if paths:
            self._next_segment = _segment_number(paths[-1]) + 1
        return loaded

    def _cut(self, path: pathlib.Path, offset: int) -> None:
        loguru.logger.warning(
            "cut an incomplete write from the end of the log",
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

    # Writing.

    def _write(self, write: Write) -> None:
        if write.snapshot is not None:
            self._write_snapshot(write.snapshot)
        if write.term_vote is not None:
            self._write_term(write.term_vote)
        if write.reset_log:
            self._remove_journal()
        self._append(write.records, write.commit_index)

    def _write_term(self, term_vote: consensus_messages.TermVote) -> None:
        body = msgpack.packb([term_vote.term, term_vote.voted_for])
        log_files.write_sealed(self._folder / _TERM_FILE, body)

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
        log_files.write_sealed(path, body)
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
        # A write that failed halfway leaves bytes behind the last good one,
        # which must not be taken for a part of the next.
        if self._must_cut or self._size + len(frames) > self._reserved:
            self._close_segment()
        descriptor = self._open_segment(len(frames))
        self._must_cut = True
        log_files.write_all(descriptor, frames)
        os.fdatasync(descriptor)
        self._must_cut = False
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
        reserved = max(_SEGMENT_BYTES, len(header) + needed_bytes)
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
        descriptor = os.open(path, flags, 0o600)
        try:
            log_files.write_all(descriptor, header.ljust(reserved, b"\0"))
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
        self._reserved = reserved
        self._open_last_index = 0
        self._next_segment += 1
        return descriptor

    def _close_segment(self) -> None:
        if self._descriptor is None:
            return
        os.ftruncate(self._descriptor, self._size)
        if self._must_cut:
            os.fsync(self._descriptor)
            self._must_cut = False
        os.close(self._descriptor)
        self._descriptor = None
        self._closed.append(
            _Closed(self._path, self._open_last_index, self._size)
        )
        self._size = 0

    def _remove_journal(self) -> None:
        self._close_segment()
        # The newest goes first: what a crash leaves is a beginning of the old
        # log, which ends before the snapshot or disagrees with it.
        while self._closed:
            self._closed[-1].path.unlink()
            log_files.sync_folder(self._folder)
            self._closed.pop()

    def _remove_segments(self, keep_from: int) -> None:
        while self._closed and self._closed[0].last_index < keep_from:
            self._closed[0].path.unlink(missing_ok=True)
            self._closed.pop(0)
        log_files.sync_folder(self._folder)


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


def _replay(segment: log_files.Segment, loaded: _Loaded) -> int:
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
        _place(record, loaded.records)
        last_index = max(last_index, index)
    return last_index


def _place(
    record: consensus_messages.Record,
    records: list[consensus_messages.Record],
) -> None:
    if records:
        del records[max(0, record.index - records[0].index) :]
    records.append(record)


def _continues(
    snapshot: consensus_messages.Snapshot,
    records: Iterable[consensus_messages.Record],
) -> bool:
    kept = list(records)
    if not kept:
        return True
    if kept[-1].index < snapshot.index:
        return False
    if kept[0].index > snapshot.index:
        return True
    return kept[snapshot.index - kept[0].index].term == snapshot.term
