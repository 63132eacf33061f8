"""Applies committed records to the state machine."""

from collections.abc import Callable
import dataclasses
from typing import Any, Generic, Protocol, TypeVar

import anyio

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus_log
from tarragoncleat.log import consensus_messages

__all__ = [
    "AppliedProposal",
    "Applier",
    "EvaluationFuture",
    "ProposalFuture",
    "StateMachine",
]

_Value = TypeVar("_Value")


class StateMachine(Protocol):
    """A deterministic state machine that applies committed records."""

    def apply(self, index: int, time_ms: int, payload: bytes) -> bytes:
        """Applies a command and returns the result for its proposer."""

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, index: int, data: bytes) -> None:
        """Replaces the whole state by a snapshot taken after `index`."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedProposal:
    """A proposal that was committed and applied."""

    index: int
    result: bytes


class ProposalFuture:
    """Holds the outcome of one proposal once it is known."""

    def __init__(self) -> None:
        """Creates a future without an outcome."""
        self._event = anyio.Event()
        self._outcome: AppliedProposal | errors.Failure | None = None

    @property
    def outcome(self) -> AppliedProposal | errors.Failure | None:
        """The outcome, or None if it is not known yet."""
        return self._outcome

    @property
    def is_done(self) -> bool:
        """Whether there is an outcome, which may be a (falsy) `Failure`."""
        return self._outcome is not None

    def set_outcome(self, outcome: AppliedProposal | errors.Failure) -> None:
        """Sets the outcome; only the first one counts."""
        if self._outcome is None:
            self._outcome = outcome
            self._event.set()

    async def wait(self, timeout_s: float) -> None:
        """Waits until the outcome is set, at most for the given time."""
        with anyio.move_on_after(timeout_s):
            await self._event.wait()


class EvaluationFuture(ProposalFuture, Generic[_Value]):
    """Evaluates the state right after a record, before any later one."""

    def __init__(self, evaluate: Callable[[], _Value]) -> None:
        """Creates a future; `evaluate` must not block."""
        super().__init__()
        self._evaluate = evaluate
        self._value: _Value | None = None

    @property
    def value(self) -> Any:
        """The evaluated value, or None without an `AppliedProposal`."""
        return self._value

    def set_outcome(self, outcome: AppliedProposal | errors.Failure) -> None:
        """Evaluates the state if the record was applied."""
        if isinstance(outcome, AppliedProposal) and not self.is_done:
            self._value = self._evaluate()
        super().set_outcome(outcome)


class Applier:
    """Applies each committed record exactly once, in order.

    It keeps the recent records and the latest snapshot, to send them to
    learners.
    """

    def __init__(
        self,
        state_machine: StateMachine,
        replicas: tuple[ids.EntryId, ...],
        snapshot_every_records: int,
    ) -> None:
        """Starts with an empty state machine at index 0."""
        self._state_machine = state_machine
        self._snapshot_every_records = snapshot_every_records
        empty = consensus_messages.Snapshot(0, 0, 0, replicas, b"")
        self._history = consensus_log.Log(empty)
        self._applied_index = 0
        self._futures: dict[int, list[tuple[int, ProposalFuture]]] = {}
        self._changed = anyio.Event()
        self._bytes_since_snapshot = 0

    @property
    def applied_index(self) -> int:
        """Index of the last applied record; it never decreases."""
        return self._applied_index

    @property
    def history(self) -> consensus_log.Log:
        """The latest snapshot and applied records, not to be changed."""
        return self._history

    def apply(self, record: consensus_messages.Record) -> None:
        """Applies the next record; skips one that is applied already.

        Raises:
            ValueError: Records before this one are missing.
        """
        if record.index <= self._applied_index:
            return
        if record.index > self._applied_index + 1:
            raise ValueError(
                f"record {record.index} does not follow {self._applied_index}"
            )
        result = b""
        if record.kind is consensus_messages.RecordKind.COMMAND:
            result = self._state_machine.apply(
                record.index, record.time_ms, record.payload
            )
        self._history.append(record)
        self._bytes_since_snapshot += len(record.payload)
        self._applied_index = record.index
        self._complete_futures(record, result)
        self._signal_change()

    def restore(self, snapshot: consensus_messages.Snapshot) -> None:
        """Restores a newer snapshot; ignores one that is not newer."""
        if snapshot.index <= self._applied_index:
            return
        self._state_machine.restore(snapshot.index, snapshot.data)
        self._history = consensus_log.Log(snapshot)
        self._bytes_since_snapshot = 0
        self._applied_index = snapshot.index
        replaced = [index for index in self._futures if index <= snapshot.index]
        failure = errors.Failure(
            errors.ErrorKind.UNDECIDED,
            "a snapshot replaced the record before its result was known",
        )
        for index in replaced:
            for _, future in self._futures.pop(index):
                future.set_outcome(failure)
        self._signal_change()

    def take_snapshot_if_due(self) -> consensus_messages.Snapshot | None:
        """Takes a snapshot when enough was applied since the last one.

        It also waits until the records since then are as large as the last
        snapshot, so that snapshots at most double the bytes written. After ten
        times the configured number of records it doesn't wait any longer.
        """
        last = self._history.snapshot
        count = self._applied_index - last.index
        if count < self._snapshot_every_records:
            return None
        is_too_small = self._bytes_since_snapshot < len(last.data)
        if is_too_small and count < 10 * self._snapshot_every_records:
            return None
        snapshot = consensus_messages.Snapshot(
            self._applied_index,
            self._history.last_term,
            self._history.last_time_ms,
            self._history.replicas,
            self._state_machine.snapshot(),
        )
        self._history.compact(
            snapshot, self._applied_index + 1 - self._snapshot_every_records
        )
        self._bytes_since_snapshot = 0
        return snapshot

    def add_future(self, index: int, term: int, future: ProposalFuture) -> None:
        """Completes `future` once the record at `index` is applied.

        If that record has another term, it has replaced the proposal, which
        will never commit.
        """
        self._futures.setdefault(index, []).append((term, future))

    def remove_future(self, index: int, future: ProposalFuture) -> None:
        """Removes a future, for example after a timeout."""
        entries = self._futures.get(index, [])
        remaining = [entry for entry in entries if entry[1] is not future]
        if remaining:
            self._futures[index] = remaining
        else:
            self._futures.pop(index, None)

    async def wait_applied(self, index: int, timeout_s: float) -> bool:
        """Waits until `index` is applied; returns False after the timeout."""
        with anyio.move_on_after(timeout_s):
            while self._applied_index < index:
                await self._changed.wait()
        return self._applied_index >= index

    def _complete_futures(
        self, record: consensus_messages.Record, result: bytes
    ) -> None:
        for term, future in self._futures.pop(record.index, []):
            if term == record.term:
                future.set_outcome(AppliedProposal(record.index, result))
            else:
                future.set_outcome(
                    errors.Failure(
                        errors.ErrorKind.NO_LEADER,
                        "the leader changed before the proposal was replicated",
                    )
                )

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
