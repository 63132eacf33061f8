"""Tests of the log storage with crashes, damaged files and full disks."""

import errno
import os
import pathlib
import shutil
import tempfile
import unittest
import unittest.mock

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import log_files
from tarragoncleat.log import log_store

_REPLICAS = (ids.EntryId("a"), ids.EntryId("b"))


def _record(index: int, term: int = 1) -> consensus_messages.Record:
    kind = consensus_messages.RecordKind.COMMAND
    payload = bytes([index % 251 + 1]) * 20
    return consensus_messages.Record(index, term, 1_000 + index, kind, payload)


def _snapshot(index: int, term: int = 1) -> consensus_messages.Snapshot:
    return consensus_messages.Snapshot(
        index, term, 1_000 + index, _REPLICAS, b"state %d" % index
    )


class _FolderTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        # Thousands of syncs would be slow; these tests check only the order.
        patches = (
            unittest.mock.patch("os.fsync"),
            unittest.mock.patch("os.fdatasync"),
            unittest.mock.patch.object(log_store, "_SEGMENT_BYTES", 8_192),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.folder = pathlib.Path(folder.name) / "data"

    def _open(self) -> tuple[log_store.LogStore, consensus.SavedState]:
        store = log_store.LogStore(self.folder)
        self.addCleanup(store.close)
        saved = store.load(_REPLICAS)
        assert isinstance(saved, consensus.SavedState), saved
        return store, saved

    def _write(
        self, store: log_store.LogStore, *indexes: int, term: int = 1
    ) -> None:
        records = [_record(index, term) for index in indexes]
        self.assertIsNone(store.write(log_store.WriteBatch(records=records)))

    def _load_indexes(self) -> list[int]:
        return [record.index for record in self._open()[1].records]

    def _segment(self) -> pathlib.Path:
        return max(self.folder.glob("log-*.seg"))


class LogStoreTest(_FolderTest):
    """Guards against synced state that is lost at a restart."""

    def test_restart_finds_what_was_written(self) -> None:
        """Guards against synced records or votes lost at a restart."""
        store, saved = self._open()
        self.assertEqual(saved.snapshot.replicas, _REPLICAS)
        vote = consensus_messages.TermVote(3, ids.EntryId("b"))
        self.assertIsNone(store.write(log_store.WriteBatch(term_vote=vote)))
        self._write(store, 1, 2, 3)
        store.write(log_store.WriteBatch(commit_index=2))
        self._write(store, 3, 4, term=2)
        _, saved = self._open()
        self.assertEqual(saved.term_vote, vote)
        self.assertEqual(saved.commit_index, 2)
        terms = [(record.index, record.term) for record in saved.records]
        self.assertEqual(terms, [(1, 1), (2, 1), (3, 2), (4, 2)])

    def test_snapshot_removes_old_segments_and_keeps_later_records(
        self,
    ) -> None:
        """Guards against a snapshot that removes records after it."""
        with unittest.mock.patch.object(log_store, "_SEGMENT_BYTES", 300):
            store, _ = self._open()
            for index in range(1, 31):
                self._write(store, index)
            before = len(list(self.folder.glob("log-*.seg")))
            self.assertIsNone(store.save_snapshot(_snapshot(20), 16))
            after = len(list(self.folder.glob("log-*.seg")))
        self.assertLess(after, before)
        _, saved = self._open()
        self.assertEqual(saved.snapshot.index, 20)
        self.assertLessEqual(saved.records[0].index, 16)
        self.assertEqual(saved.records[-1].index, 30)

    def test_power_loss_while_covered_segments_are_removed_leaves_no_gap(
        self,
    ) -> None:
        """Guards against a node that doesn't start after a power loss.

        Removals that were not synced may be lost one by one, so that an earlier
        segment is there again and a later one isn't.
        """
        with unittest.mock.patch.object(log_store, "_SEGMENT_BYTES", 300):
            store, _ = self._open()
            for index in range(1, 31):
                self._write(store, index)
        segments = {
            path: path.read_bytes() for path in self.folder.glob("log-*.seg")
        }
        sync_folder = log_files.sync_folder

        def lose_power(folder: pathlib.Path) -> None:
            if not all(path.exists() for path in segments):
                raise OSError(errno.EIO, "power loss")
            sync_folder(folder)

        with unittest.mock.patch.object(log_files, "sync_folder", lose_power):
            self.assertIsNotNone(store.save_snapshot(_snapshot(20), 16))
        first = min(segments)
        self.assertFalse(first.exists())
        first.write_bytes(segments[first])
        _, saved = self._open()
        self.assertEqual(saved.records[-1].index, 30)

    def test_crash_at_any_step_of_an_install_leaves_a_valid_log(self) -> None:
        """Guards against old and new records mixed by a crash.

        The crash happens while a received snapshot is installed, at any
        removal, rename or sync.
        """
        for is_conflicting in (True, False):
            for steps in range(12):
                with self.subTest(is_conflicting=is_conflicting, steps=steps):
                    self._check_install(is_conflicting, steps)

    def _check_install(self, is_conflicting: bool, steps: int) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)
        last = 30 if is_conflicting else 10
        with unittest.mock.patch.object(log_store, "_SEGMENT_BYTES", 300):
            store, _ = self._open()
            for index in range(1, last + 1):
                self._write(store, index)
        remaining_steps = [steps]

        def count(real: object) -> object:
            def step(*values: object, **named: object) -> object:
                remaining_steps[0] -= 1
                if remaining_steps[0] < 0:
                    raise OSError(errno.EIO, "crash")
                return real(*values, **named)  # type: ignore[operator]

            return step

        write = log_store.WriteBatch(
            _snapshot(20, 2), True, None, [_record(21, 2)], 0
        )
        with (
            unittest.mock.patch("os.fsync", count(os.fsync)),
            unittest.mock.patch("os.fdatasync", count(os.fdatasync)),
            unittest.mock.patch("os.replace", count(os.replace)),
            unittest.mock.patch.object(
                pathlib.Path, "unlink", count(pathlib.Path.unlink)
            ),
        ):
            failure = store.write(write)
        _, saved = self._open()
        if failure is None:
            self.assertEqual(saved.records[-1], _record(21, 2))
        self.assertIn(saved.snapshot.index, (0, 20))
        if saved.snapshot.index == 20:
            for record in saved.records:
                self.assertEqual(record, _record(21, 2))


class DamagedFilesTest(_FolderTest):
    """Guards against lost synced records and undetected damage."""

    def setUp(self) -> None:
        super().setUp()
        store, _ = self._open()
        self._write(store, 1, 2)
        self.synced_size = len(self._used())
        self._write(store, 3, 4)
        store.close()
        self.content = self._used()
        self.path = self._segment()

    def _used(self) -> bytes:
        return self._segment().read_bytes().rstrip(b"\0")

    def _replace(self, content: bytes) -> None:
        # Truncating a file in place makes some file systems sync it.
        self.path.unlink(missing_ok=True)
        self.path.write_bytes(content)

    def test_tail_torn_at_every_offset_loses_only_the_last_write(self) -> None:
        """Guards against a torn write that hides earlier synced records."""
        for size in range(len(self.content) + 1):
            with self.subTest(size=size):
                # After a crash the end is missing or consists of zeros.
                self._replace(self.content[:size] + bytes(size % 2 * 4_096))
                indexes = self._load_indexes()
                if size == len(self.content):
                    self.assertEqual(indexes, [1, 2, 3, 4])
                elif size >= self.synced_size:
                    self.assertEqual(indexes, [1, 2])
                else:
                    self.assertEqual(indexes, [])
                # The truncated file must be valid for the next start and write.
                store, _ = self._open()
                self._write(store, len(indexes) + 1)
                expected = [*indexes, len(indexes) + 1]
                self.assertEqual(self._load_indexes(), expected)
                for path in self.folder.glob("log-*.seg"):
                    path.unlink()

    def test_every_changed_byte_is_refused_with_file_and_offset(self) -> None:
        """Guards against starting with a log that has undetected damage."""
        for offset in range(len(self.content)):
            with self.subTest(offset=offset):
                damaged = bytearray(self.content)
                damaged[offset] ^= 0x10
                self._replace(bytes(damaged))
                failure = log_store.LogStore(self.folder).load(_REPLICAS)
                self.assertIsInstance(failure, errors.Failure)
                self.assertIs(failure.kind, errors.ErrorKind.STORAGE)
                self.assertIn(str(self.path), failure.reason)
                self.assertIn("offset", failure.detail)

    def test_zeroed_sectors_of_the_last_write_count_as_torn(self) -> None:
        """Guards against refusing a log whose last write lost whole sectors."""
        store, _ = self._open()
        records = [_record(5), _record(6)]
        large = consensus_messages.Record(
            7, 1, 1_007, consensus_messages.RecordKind.COMMAND, b"x" * 4_000
        )
        store.write(log_store.WriteBatch(records=[*records, large]))
        path = self._segment()
        damaged = bytearray(path.read_bytes())
        damaged[1_024:2_048] = bytes(1_024)
        path.write_bytes(damaged)
        self.assertEqual(self._load_indexes(), [1, 2, 3, 4])

    def test_missing_or_damaged_files_are_refused(self) -> None:
        """Guards against starting without the saved vote or snapshot."""
        snapshot = next(self.folder.glob("snapshot-*.snap"))
        for path in (self.folder / "term", snapshot):
            intact_content = path.read_bytes()
            for damaged_content in (
                None,
                b"",
                intact_content[:-1],
                intact_content[:-1] + b"\xff",
            ):
                with self.subTest(
                    path=path.name, damaged_content=damaged_content
                ):
                    path.unlink()
                    if damaged_content is not None:
                        path.write_bytes(damaged_content)
                    failure = log_store.LogStore(self.folder).load(_REPLICAS)
                    self.assertIsInstance(failure, errors.Failure)
                    self.assertIs(failure.kind, errors.ErrorKind.STORAGE)
                    path.write_bytes(intact_content)


class FullDiskTest(_FolderTest):
    """Guards against a partial write that a later write makes valid."""

    def test_write_may_be_repeated_after_the_disk_was_full(self) -> None:
        """Guards against a partial write that is read or blocks later ones."""
        store, _ = self._open()
        self._write(store, 1)
        real_write = os.write

        def short_write(descriptor: int, data: bytes) -> int:
            if len(data) < 60:
                raise OSError(errno.ENOSPC, "No space left on device")
            return real_write(descriptor, data[: len(data) // 2])

        write = log_store.WriteBatch(records=[_record(2), _record(3)])
        with unittest.mock.patch("os.write", short_write):
            failure = store.write(write)
        self.assertIsInstance(failure, errors.Failure)
        assert failure is not None
        self.assertIs(failure.kind, errors.ErrorKind.DISK_FULL)
        self.assertEqual(self._load_indexes(), [1])
        self.assertIsNone(store.write(write))
        self.assertEqual(self._load_indexes(), [1, 2, 3])

    def test_other_disk_errors_are_final(self) -> None:
        """Guards against relying on data that a disk error may have lost."""
        store, _ = self._open()
        error = OSError(errno.EIO, "Input/output error")
        with unittest.mock.patch("os.fdatasync", side_effect=error):
            failure = store.write(log_store.WriteBatch(records=[_record(1)]))
        self.assertIsInstance(failure, errors.Failure)
        again = store.write(log_store.WriteBatch(records=[_record(1)]))
        self.assertIs(again, failure)
        self.assertIs(again.kind, errors.ErrorKind.STORAGE)


if __name__ == "__main__":
    unittest.main()


class KilledThenPowerLossTest(_FolderTest):
    """Guards against lost writes that were only in the page cache."""

    def setUp(self) -> None:
        super().setUp()
        # Contents at the latest sync, by inode because files are renamed.
        self.durable: dict[int, bytes] = {}
        for name in ("os.fsync", "os.fdatasync"):
            patch = unittest.mock.patch(name, self._record_sync)
            patch.start()
            self.addCleanup(patch.stop)

    def _record_sync(self, descriptor: int) -> None:
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path.is_file():
            self.durable[path.stat().st_ino] = path.read_bytes()

    def _lose_power(self) -> None:
        for path in self.folder.iterdir():
            path.write_bytes(self.durable.get(path.stat().st_ino, b""))

    def test_log_is_whole_after_a_kill_during_a_write_and_a_power_loss(
        self,
    ) -> None:
        """Guards against a gap in the log after a kill and a power loss.

        If a restart doesn't sync an unsynced write that it reads, a power loss
        removes this write but keeps later ones, and the node can't start. Found
        on kcc-grid, scale-2.
        """
        store, _ = self._open()
        self._write(store, 1, 2)
        with unittest.mock.patch("os.fdatasync"):
            # The process is killed after the write, before its sync.
            self._write(store, 3)
        store.close()
        store, saved = self._open()
        self.assertEqual(len(saved.records), 3)
        self._write(store, 4)
        store.close()
        self._lose_power()
        self.assertEqual(self._load_indexes(), [1, 2, 3, 4])

    def test_names_are_durable_before_they_count(self) -> None:
        """Guards against a vote that is granted twice after a power loss.

        The rename of the term file must be durable before a reply relies on it.
        """
        self._open()[0].close()
        synced: list[str] = []

        def record_sync(descriptor: int) -> None:
            synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))

        with unittest.mock.patch("os.fsync", record_sync):
            self._open()
        self.assertIn(str(self.folder), synced)
