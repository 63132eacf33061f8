"""A replica: the consensus core together with its disk."""

from collections.abc import Callable, Sequence
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
# The commit index reaches the disk with the next write, or after this time.
_MARK_INTERVAL_S = 5.0


class Replica:
    """Owns the core and the store, and applies what is committed."""

    def __init__(
        self,
        settings: settings_module.Settings,
        links: replication_messages.Sender,
        timer: timer_module.TimerService,
        applier: applier_module.Applier,
        store: log_store.LogStore,
        saved: consensus.SavedState,
        on_reads: Callable[[Sequence[consensus_output.ConfirmedRead]], None],
        on_progress: Callable[[], None],
        may_take_part: Callable[[], bool],
    ) -> None:
        """Takes over what `store` has loaded.

        Args:
            settings: Settings of the entry.
            links: Links to the other entries.
            timer: Clock for timeouts.
            applier: Receives what is committed.
            store: The files of the replica.
            saved: What `store` has loaded.
            on_reads: Called with read indexes that a majority confirmed.
            on_progress: Called after the core may have changed.
            may_take_part: Whether the replica may vote and acknowledge.
        """
        times = settings.consensus
        self._links = links
        self._timer = timer
        self._applier = applier
        self._store = store
        self._on_reads = on_reads
        self._on_progress = on_progress
        self._may_take_part = may_take_part
        self._keep_records = times.snapshot_every_records
        self._tick_s = times.heartbeat_ms / _MS_PER_S / 4
        self._core = consensus.Consensus(
            settings.entry_id,
            consensus_output.Timing(
                times.heartbeat_ms / _MS_PER_S,
                times.election_timeout_min_ms / _MS_PER_S,
                times.election_timeout_max_ms / _MS_PER_S,
            ),
            random.Random(),
            saved,
            self._now(),
        )
        self._connected_leader: ids.EntryId | None = None
        self._wake = anyio.Event()
        self._blocked: errors.Failure | None = None
        self._unsaved: consensus_messages.Snapshot | None = None
        self._marked_index = self._core.commit_index
        self._marked_s = timer.monotonic_s()
        self._writes = 0
        applier.restore(saved.snapshot)
        self._apply_committed()

    @property
    def core(self) -> consensus.Consensus:
        """The core, for reading."""
        return self._core

    @property
    def is_admitted(self) -> bool:
        """Whether the replica takes part in the log."""
        return self._may_take_part()

    @property
    def blocked(self) -> errors.Failure | None:
        """Why the replica accepts nothing at present, if so."""
        return self._blocked

    async def run(self) -> None:
        """Ticks the core and writes until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick)
            tasks.start_soon(self._write)

    def step(self, message: consensus_messages.CoreMessage) -> None:
        """Takes a message; while blocked it is dropped like a lost one."""
        if self._blocked is None and self._may_take_part():
            self._core.step(message, self._now())
            self._pump()

    def report_leader_unreachable(self) -> None:
        """Brings the election forward when the link to the leader broke."""
        if self._may_take_part():
            self._core.report_leader_unreachable(self._now())

    def propose(self, payloads: Sequence[bytes]) -> int | errors.Failure:
        """Appends proposals; returns the index of the first one."""
        if self._blocked is not None:
            return self._blocked
        index = self._core.propose(payloads, self._now())
        self._pump()
        return index

    def propose_replicas(
        self, replicas: Sequence[ids.EntryId]
    ) -> int | errors.Failure:
        """Appends a configuration; returns its index."""
        if self._blocked is not None:
            return self._blocked
        index = self._core.propose_replicas(replicas, self._now())
        self._pump()
        return index

    def request_read(self, token: int) -> bool:
        """Asks the core for a read index; returns False when not leading."""
        if self._blocked is not None:
            return False
        accepted = self._core.request_read(token, self._now())
        self._pump()
        return accepted

    def dump(self) -> dict:
        """Returns the state for people who look into a running process."""
        return {
            "last_index": self._core.log.last_index,
            "first_index": self._core.log.first_index,
            "snapshot_index": self._core.log.snapshot.index,
            "replicas": list(self._core.log.replicas),
            "blocked": self._blocked.reason if self._blocked else None,
            "writes": self._writes,
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
        async for _ in self._timer.subscribe(self._tick_s):
            if self._blocked is None and self._may_take_part():
                self._core.tick(self._now())
                self._pump()

    def _pump(self) -> None:
        """Does what needs no disk and wakes the writer for the rest."""
        self._send(self._core.take_immediate_messages())
        reads = self._core.take_confirmed_reads()
        if reads:
            self._on_reads(reads)
        self._apply_committed()
        if self._core.has_deferred_work() or self._unsaved or self._must_mark():
            self._wake.set()
        self._on_progress()

    def _send(self, envelopes: Sequence[consensus_output.Envelope]) -> None:
        for envelope in envelopes:
            # A message that the link drops is repeated by the protocol.
            self._links.send(envelope.to, envelope.message)

    def _apply_committed(self) -> None:
        log = self._core.log
        index = self._applier.applied_index + 1
        while log.first_index <= index <= self._core.commit_index:
            self._applier.apply(log.record_at(index))
            index += 1
        snapshot = self._applier.take_snapshot_if_due()
        if snapshot is not None:
            self._unsaved = snapshot

    def _must_mark(self) -> bool:
        is_behind = self._core.commit_index > self._marked_index
        waited_s = self._timer.monotonic_s() - self._marked_s
        return is_behind and waited_s >= _MARK_INTERVAL_S

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await self._write_output()
            await self._write_snapshot()
            self._pump()

    async def _write_output(self) -> None:
        must_mark = self._must_mark()
        output = self._core.take_output()
        self._send(output.immediate_messages)
        commit_index = self._core.commit_index
        if output.needs_sync() or must_mark:
            write = log_store.Write(
                output.snapshot,
                output.reset_log,
                output.term_vote,
                output.records,
                commit_index,
            )
            await self._sync(write)
            self._marked_index = commit_index
            self._marked_s = self._timer.monotonic_s()
        if output.snapshot is not None:
            self._applier.restore(output.snapshot)
        self._send(output.deferred_messages)
        self._core.acknowledge_sync(output, self._now())

    async def _sync(self, write: log_store.Write) -> None:
        while True:
            self._writes += 1
            failure = await anyio.to_thread.run_sync(self._store.write, write)
            if failure is None:
                break
            self._block(failure)
            await self._timer.sleep_s(_RETRY_INTERVAL_S)
        if self._blocked is not None:
            loguru.logger.info("the log accepts records again")
            self._blocked = None

    def _block(self, failure: errors.Failure) -> None:
        if self._blocked is None:
            loguru.logger.error(
                "the log can't be written; this replica accepts nothing",
                kind=failure.kind.value,
                reason=failure.reason,
            )
            self._core.resign(self._now())
        self._blocked = failure

    async def _write_snapshot(self) -> None:
        snapshot = self._unsaved
        if snapshot is None:
            return
        self._unsaved = None
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
                "the snapshot was not saved; the log is kept",
                reason=failure.reason,
            )
