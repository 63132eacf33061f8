"""Application of committed records to the state machine."""

import dataclasses
from typing import Protocol

import anyio

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus_log
from tarragoncleat.log import consensus_messages

__all__ = ["Applied", "Applier", "StateMachine", "Waiter"]


class StateMachine(Protocol):
    """A deterministic machine that is driven by committed records."""

    def apply(self, index: int, time_ms: int, payload: bytes) -> bytes:
        """Applies a command and returns the result for its proposer."""

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, index: int, data: bytes) -> None:
        """Replaces the whole state by a snapshot taken after `index`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A proposal that was committed and applied."""

    index: int
    result: bytes


class Waiter:
    """A place for the outcome of one proposal."""

    def __init__(self) -> None:
        """Starts without an outcome."""
        self._event = anyio.Event()
        self._outcome: Applied | errors.Failure | None = None

    @property
    def outcome(self) -> Applied | errors.Failure | None:
        """The outcome, once there is one."""
        return self._outcome

    @property
    def is_settled(self) -> bool:
        """Whether there is an outcome; a `Failure` is one, though falsy."""
        return self._outcome is not None

    def settle(self, outcome: Applied | errors.Failure) -> None:
        """Sets the outcome; only the first one counts."""
        if self._outcome is None:
            self._outcome = outcome
            self._event.set()

    async def wait(self, timeout_s: float) -> None:
        """Waits for the outcome, at most for the given time."""
        with anyio.move_on_after(timeout_s):
            await self._event.wait()


class Applier:
    """Feeds committed records to the state machine, each exactly once.

    It keeps the recent records and the latest snapshot, from which followers
    are served.
    """

    def __init__(
        self,
        state_machine: StateMachine,
        replicas: tuple[ids.EntryId, ...],
        snapshot_every_records: int,
    ) -> None:
        """Starts with an empty state machine at index 0."""
        self._machine = state_machine
        self._snapshot_every = snapshot_every_records
        empty = consensus_messages.Snapshot(0, 0, 0, replicas, b"")
        self._history = consensus_log.Log(empty)
        self._applied_index = 0
        self._waiters: dict[int, list[tuple[int, Waiter]]] = {}
        self._changed = anyio.Event()
        self._bytes_since_snapshot = 0

    @property
    def applied_index(self) -> int:
        """Index of the last record that was applied; it never decreases."""
        return self._applied_index

    @property
    def history(self) -> consensus_log.Log:
        """Applied records and the latest snapshot, for reading."""
        return self._history

    def apply(self, record: consensus_messages.Record) -> None:
        """Applies the record that follows the last one; skips older ones.

        Raises:
            ValueError: The record leaves a gap.
        """
        if record.index <= self._applied_index:
            return
        if record.index > self._applied_index + 1:
            raise ValueError(
                f"record {record.index} does not follow {self._applied_index}"
            )
        result = b""
        if record.kind is consensus_messages.RecordKind.COMMAND:
            result = self._machine.apply(
                record.index, record.time_ms, record.payload
            )
        self._history.append(record)
        self._bytes_since_snapshot += len(record.payload)
        self._applied_index = record.index
        self._settle(record, result)
        self._notify()

    def restore(self, snapshot: consensus_messages.Snapshot) -> None:
        """Jumps to a snapshot that is ahead; ignores any other."""
        if snapshot.index <= self._applied_index:
            return
        self._machine.restore(snapshot.index, snapshot.data)
        self._history = consensus_log.Log(snapshot)
        self._bytes_since_snapshot = 0
        self._applied_index = snapshot.index
        passed = [index for index in self._waiters if index <= snapshot.index]
        unknown = errors.Failure(
            errors.ErrorKind.UNDECIDED,
            "a snapshot replaced the record before its result was known",
        )
        for index in passed:
            for _, waiter in self._waiters.pop(index):
                waiter.settle(unknown)
        self._notify()

    def take_snapshot_if_due(self) -> consensus_messages.Snapshot | None:
        """Takes a snapshot when enough was applied since the last one.

        It also waits until the records since then are as large as the last
        snapshot, so that writing snapshots at most doubles what is written.
        """
        last = self._history.snapshot
        count = self._applied_index - last.index
        if count < self._snapshot_every:
            return None
        is_small = self._bytes_since_snapshot < len(last.data)
        if is_small and count < 10 * self._snapshot_every:
            return None
        snapshot = consensus_messages.Snapshot(
            self._applied_index,
            self._history.last_term,
            self._history.last_time_ms,
            self._history.replicas,
            self._machine.snapshot(),
        )
        self._history.compact(
            snapshot, self._applied_index + 1 - self._snapshot_every
        )
        self._bytes_since_snapshot = 0
        return snapshot

    def watch(self, index: int, term: int, waiter: Waiter) -> None:
        """Settles `waiter` once the record at `index` is applied.

        When a record of another term takes the place of the proposal, the
        proposal certainly never commits.
        """
        self._waiters.setdefault(index, []).append((term, waiter))

    def forget(self, index: int, waiter: Waiter) -> None:
        """Stops watching for a waiter."""
        entries = self._waiters.get(index, [])
        kept = [entry for entry in entries if entry[1] is not waiter]
        if kept:
            self._waiters[index] = kept
        else:
            self._waiters.pop(index, None)

    async def wait_applied(self, index: int, timeout_s: float) -> bool:
        """Waits until `index` is applied; returns whether it was in time."""
        with anyio.move_on_after(timeout_s):
            while self._applied_index < index:
                await self._changed.wait()
        return self._applied_index >= index

    def _settle(self, record: consensus_messages.Record, result: bytes) -> None:
        for term, waiter in self._waiters.pop(record.index, []):
            if term == record.term:
                waiter.settle(Applied(record.index, result))
            else:
                waiter.settle(
                    errors.Failure(
                        errors.ErrorKind.NO_LEADER,
                        "the leader changed before the proposal was replicated",
                    )
                )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
