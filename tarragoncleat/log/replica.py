"""A replica: the consensus core and its storage."""

from collections.abc import Callable, Collection, Sequence
import random

import anyio
import anyio.to_thread
import loguru

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module
from tarragoncleat.log import consensus
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import consensus_output
from tarragoncleat.log import log_store
from tarragoncleat.log import replication_messages

__all__ = ["Replica"]

_MS_PER_S = 1000
_RETRY_INTERVAL_S = 1.0
# The commit index is saved with the next write, or after this time.
_COMMIT_INDEX_SAVE_INTERVAL_S = 5.0


class Replica:
    """Runs the consensus core, writes its log and applies what is committed."""

    def __init__(
        self,
        settings: settings_module.Settings,
        links: replication_messages.Sender,
        timer: timer_module.TimerService,
        applier: applier_module.Applier,
        store: log_store.LogStore,
        saved: consensus.SavedState,
        on_confirmed_reads: Callable[
            [Sequence[consensus_output.ConfirmedRead]], None
        ],
        on_change: Callable[[], None],
        is_admitted: Callable[[], bool],
    ) -> None:
        """Starts from the state that `store` has loaded.

        Args:
            settings: Settings of the entry.
            links: Links to the other entries.
            timer: Clock for timeouts.
            applier: Receives committed records.
            store: The files of the replica.
            saved: The state that `store` has loaded.
            on_confirmed_reads: Called with the reads that a majority has
                confirmed.
            on_change: Called after the state of the core may have changed.
            is_admitted: Whether the replica may vote and acknowledge records.
        """
        consensus_settings = settings.consensus
        self._links = links
        self._timer = timer
        self._applier = applier
        self._store = store
        self._on_confirmed_reads = on_confirmed_reads
        self._on_change = on_change
        self._is_admitted = is_admitted
        self._keep_records = consensus_settings.snapshot_every_records
        self._tick_interval_s = consensus_settings.heartbeat_ms / _MS_PER_S / 4
        self._core = consensus.Consensus(
            settings.entry_id,
            consensus_output.Timing(
                consensus_settings.heartbeat_ms / _MS_PER_S,
                consensus_settings.election_timeout_min_ms / _MS_PER_S,
                consensus_settings.election_timeout_max_ms / _MS_PER_S,
                consensus_settings.announce_commits,
            ),
            random.Random(),
            saved,
            self._now(),
        )
        self._connected_leader: ids.EntryId | None = None
        self._wake = anyio.Event()
        self._write_failure: errors.Failure | None = None
        self._unsaved_snapshot: consensus_messages.Snapshot | None = None
        self._saved_commit_index = self._core.commit_index
        self._commit_index_saved_s = timer.monotonic_s()
        self._write_count = 0
        applier.restore(saved.snapshot)
        self._apply_committed()

    @property
    def core(self) -> consensus.Consensus:
        """The consensus core; callers must not change it."""
        return self._core

    @property
    def is_admitted(self) -> bool:
        """Whether the replica may vote and acknowledge records."""
        return self._is_admitted()

    @property
    def write_failure(self) -> errors.Failure | None:
        """The error that blocks the replica until a write succeeds, if any."""
        return self._write_failure

    async def run(self) -> None:
        """Ticks the core and writes its output until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick)
            tasks.start_soon(self._write)

    def step(self, message: consensus_messages.CoreMessage) -> None:
        """Processes a message; drops it while writes fail."""
        if self._write_failure is None and self._is_admitted():
            self._core.step(message, self._now())
            self._process_output()

    def report_leader_unreachable(self) -> None:
        """Brings the election forward when the link to the leader broke."""
        if self._is_admitted():
            self._core.report_leader_unreachable(self._now())

    def propose(self, payloads: Sequence[bytes]) -> int | errors.Failure:
        """Appends proposals; returns the index of the first one."""
        if self._write_failure is not None:
            return self._write_failure
        index = self._core.propose(payloads, self._now())
        self._process_output()
        return index

    def propose_replicas(
        self, replicas: Sequence[ids.EntryId]
    ) -> int | errors.Failure:
        """Appends a configuration; returns its index."""
        if self._write_failure is not None:
            return self._write_failure
        index = self._core.propose_replicas(replicas, self._now())
        self._process_output()
        return index

    def set_observers(self, observers: Collection[ids.EntryId]) -> None:
        """Sends the log also to nodes that are no replicas, as the leader."""
        self._core.set_observers(observers, self._now())

    def request_read(self, token: int) -> bool:
        """Requests a read index; returns False when this is not the leader."""
        if self._write_failure is not None:
            return False
        requested = self._core.request_read(token, self._now())
        self._process_output()
        return requested

    def dump(self) -> dict:
        """Returns the state for debugging."""
        return {
            "last_index": self._core.log.last_index,
            "first_index": self._core.log.first_index,
            "snapshot_index": self._core.log.snapshot.index,
            "replicas": list(self._core.log.replicas),
            "blocked": None
            if self._write_failure is None
            else self._write_failure.reason,
            "writes": self._write_count,
            "bytes": self._store.size_bytes(),
        }

    def close(self) -> None:
        """Closes the files."""
        self._store.close()

    def _now(self) -> consensus_output.Now:
        return consensus_output.Now(
            self._timer.monotonic_s(), self._timer.wall_time_ms()
        )

    async def _tick(self) -> None:
        async for _ in self._timer.subscribe(self._tick_interval_s):
            if self._write_failure is None and self._is_admitted():
                self._core.tick(self._now())
                self._process_output()

    def _process_output(self) -> None:
        """Handles the output that needs no sync; wakes the writer otherwise."""
        self._send(self._core.take_immediate_messages())
        reads = self._core.take_confirmed_reads()
        if reads:
            self._on_confirmed_reads(reads)
        self._apply_committed()
        if (
            self._core.has_deferred_work()
            or self._unsaved_snapshot
            or self._must_save_commit_index()
        ):
            self._wake.set()
        self._on_change()

    def _send(self, envelopes: Sequence[consensus_output.Envelope]) -> None:
        for envelope in envelopes:
            # The protocol repeats a message that the link drops.
            self._links.send(envelope.to, envelope.message)

    def _apply_committed(self) -> None:
        log = self._core.log
        index = self._applier.applied_index + 1
        while log.first_index <= index <= self._core.commit_index:
            self._applier.apply(log.record_at(index))
            index += 1
        snapshot = self._applier.take_snapshot_if_due()
        if snapshot is not None:
            self._unsaved_snapshot = snapshot

    def _must_save_commit_index(self) -> bool:
        is_behind = self._core.commit_index > self._saved_commit_index
        waited_s = self._timer.monotonic_s() - self._commit_index_saved_s
        return is_behind and waited_s >= _COMMIT_INDEX_SAVE_INTERVAL_S

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await self._write_output()
            await self._write_snapshot()
            self._process_output()

    async def _write_output(self) -> None:
        must_save_commit_index = self._must_save_commit_index()
        output = self._core.take_output()
        self._send(output.immediate_messages)
        commit_index = self._core.commit_index
        if output.needs_sync() or must_save_commit_index:
            write = log_store.WriteBatch(
                output.snapshot,
                output.reset_log,
                output.term_vote,
                output.records,
                commit_index,
            )
            await self._sync(write)
            self._saved_commit_index = commit_index
            self._commit_index_saved_s = self._timer.monotonic_s()
        if output.snapshot is not None:
            self._applier.restore(output.snapshot)
        self._send(output.deferred_messages)
        self._core.acknowledge_sync(output, self._now())

    async def _sync(self, write: log_store.WriteBatch) -> None:
        while True:
            self._write_count += 1
            failure = await anyio.to_thread.run_sync(self._store.write, write)
            if failure is None:
                break
            self._on_write_failure(failure)
            await self._timer.sleep_s(_RETRY_INTERVAL_S)
        if self._write_failure is not None:
            loguru.logger.info("writing the log succeeded again")
            self._write_failure = None

    def _on_write_failure(self, failure: errors.Failure) -> None:
        is_first = self._write_failure is None
        self._write_failure = failure
        if not is_first:
            return
        loguru.logger.error(
            "can't write the log; the replica is blocked until it can",
            kind=failure.kind.value,
            reason=failure.reason,
        )
        self._core.resign(self._now())
        # While the disk stays full nothing else tells of the lost leadership.
        self._on_change()

    async def _write_snapshot(self) -> None:
        snapshot = self._unsaved_snapshot
        if snapshot is None:
            return
        self._unsaved_snapshot = None
        if snapshot.index <= self._core.log.snapshot.index:
            return
        keep_from = snapshot.index + 1 - self._keep_records
        failure = await anyio.to_thread.run_sync(
            self._store.save_snapshot, snapshot, keep_from
        )
        if failure is None:
            self._core.compact(snapshot, self._keep_records)
        else:
            loguru.logger.error(
                "can't save the snapshot; the log was not compacted",
                reason=failure.reason,
            )
