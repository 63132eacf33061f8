"""Proposals on their way to the leader, and their results on the way back."""

from collections.abc import Sequence
import dataclasses
import itertools
from typing import Protocol

import anyio

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module
from tarragoncleat.log import replication_messages

__all__ = ["Leader", "Proposals"]

_MS_PER_S = 1000
_MAX_BATCH = 256
_MAX_BATCH_BYTES = 1_048_576
# Bounds the memory for proposals that wait for a leader.
_MAX_QUEUED = 8_192
# Half of the largest frame between entries.
_MAX_PAYLOAD_BYTES = 4_194_304
_RETRY_INTERVAL_S = 0.05


class Leader(Protocol):
    """What proposals need to know about leadership."""

    @property
    def is_leader(self) -> bool:
        """Whether this entry leads."""

    @property
    def leader_id(self) -> ids.EntryId | None:
        """The leader that this entry knows of."""

    @property
    def term(self) -> int:
        """The current term."""

    def append(self, payloads: Sequence[bytes]) -> int | errors.Failure:
        """Appends to the own log; returns the index of the first one."""

    def refusal(self) -> errors.Failure | None:
        """Why no proposal can succeed at present, if so."""


@dataclasses.dataclass(eq=False, slots=True)
class _Queued:
    payload: bytes
    deadline_s: float
    waiter: applier_module.Waiter
    is_sent: bool = False
    is_withdrawn: bool = False
    index: int = 0


@dataclasses.dataclass(slots=True)
class _Forwarded:
    leader_id: ids.EntryId
    proposals: Sequence[_Queued]


@dataclasses.dataclass(slots=True)
class _Serving:
    """Proposals of another entry that this leader has appended."""

    sender: ids.EntryId
    request_id: int
    deadline_s: float
    waiters: Sequence[tuple[int, applier_module.Waiter]]


class Proposals:
    """Batches the proposals of this entry and serves those of others.

    A proposal whose message was handed to a link, or that was appended to the
    own log, may commit; from then on only its record's fate or the leader's
    word that it was not appended ends in a not-run result.
    """

    def __init__(
        self,
        links: replication_messages.Links,
        timer: timer_module.TimerService,
        applier: applier_module.Applier,
        leader: Leader,
    ) -> None:
        """Connects the parts; `run` moves the proposals."""
        self._links = links
        self._timer = timer
        self._applier = applier
        self._leader = leader
        self._queue: list[_Queued] = []
        self._forwarded: dict[int, _Forwarded] = {}
        self._serving: list[_Serving] = []
        self._request_ids = itertools.count(1)
        self._wake = anyio.Event()

    async def propose(
        self, payload: bytes, timeout_s: float
    ) -> applier_module.Applied | errors.Failure:
        """Proposes a payload and waits for its result."""
        if len(payload) > _MAX_PAYLOAD_BYTES:
            return errors.Failure(
                errors.ErrorKind.TOO_LARGE,
                f"a proposal may have at most {_MAX_PAYLOAD_BYTES} bytes",
            )
        refusal = self._leader.refusal()
        if refusal is not None:
            return refusal
        if len(self._queue) >= _MAX_QUEUED:
            return errors.Failure(
                errors.ErrorKind.OVERLOADED,
                "too many proposals wait for the leader",
            )
        deadline_s = self._timer.monotonic_s() + timeout_s
        queued = _Queued(payload, deadline_s, applier_module.Waiter())
        self._queue.append(queued)
        self._wake.set()
        try:
            await queued.waiter.wait(timeout_s)
        finally:
            self._withdraw(queued)
        outcome = queued.waiter.outcome
        return _timed_out(queued) if outcome is None else outcome

    async def run(self) -> None:
        """Moves proposals until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._retry)
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                self._move()

    def on_request(
        self,
        sender: ids.EntryId,
        request: replication_messages.ProposeRequest,
    ) -> None:
        """Appends the proposals of another entry, when this entry leads."""
        first = self._leader.append(request.payloads)
        if isinstance(first, errors.Failure):
            result = _result_of(first)
            reply = replication_messages.ProposeReply(
                request.request_id, (result,) * len(request.payloads)
            )
            self._links.send(sender, reply)
            return
        waiters = self._watch(first, len(request.payloads))
        deadline_s = self._timer.monotonic_s() + request.timeout_ms / _MS_PER_S
        self._serving.append(
            _Serving(sender, request.request_id, deadline_s, waiters)
        )
        self.settle_served()

    def on_reply(
        self, sender: ids.EntryId, reply: replication_messages.ProposeReply
    ) -> None:
        """Takes the leader's answer to forwarded proposals."""
        forwarded = self._forwarded.pop(reply.request_id, None)
        if forwarded is None:
            return
        retry: list[_Queued] = []
        for queued, result in zip(
            forwarded.proposals, reply.results, strict=False
        ):
            if result.kind is errors.ErrorKind.NO_LEADER:
                queued.is_sent = False
                retry.append(queued)
            elif result.kind is None:
                queued.waiter.settle(
                    applier_module.Applied(result.index, result.result)
                )
            else:
                queued.waiter.settle(errors.Failure(result.kind, result.reason))
        self._requeue(retry)

    def wake(self) -> None:
        """Tries the queued proposals again, after the leader changed."""
        if self._queue:
            self._wake.set()

    def settle_served(self) -> None:
        """Replies to the entries whose proposals are all applied."""
        waiting: list[_Serving] = []
        for serving in self._serving:
            if all(waiter.is_settled for _, waiter in serving.waiters):
                self._reply(serving)
            else:
                waiting.append(serving)
        self._serving = waiting

    def dump(self) -> dict:
        """Returns counts for people who look into a running process."""
        return {
            "queued": len(self._queue),
            "forwarded": sum(
                len(item.proposals) for item in self._forwarded.values()
            ),
            "serving": len(self._serving),
        }

    async def _retry(self) -> None:
        async for _ in self._timer.subscribe(_RETRY_INTERVAL_S):
            self._fail_lost_links()
            self._drop_late_served()
            self._refuse_queued()
            self.wake()

    def _withdraw(self, queued: _Queued) -> None:
        queued.is_withdrawn = True
        if queued in self._queue:
            self._queue.remove(queued)
        if queued.index:
            self._applier.forget(queued.index, queued.waiter)
        for request_id, forwarded in tuple(self._forwarded.items()):
            if all(other.is_withdrawn for other in forwarded.proposals):
                del self._forwarded[request_id]

    def _move(self) -> None:
        while self._queue:
            if self._leader.is_leader:
                moved = self._append_own()
            else:
                moved = self._forward()
            if not moved:
                return

    def _take_batch(self) -> list[_Queued]:
        batch: list[_Queued] = []
        size = 0
        for queued in self._queue[:_MAX_BATCH]:
            size += len(queued.payload)
            if batch and size > _MAX_BATCH_BYTES:
                break
            batch.append(queued)
        return batch

    def _append_own(self) -> bool:
        batch = self._take_batch()
        first = self._leader.append([queued.payload for queued in batch])
        if isinstance(first, errors.Failure):
            return False
        del self._queue[: len(batch)]
        term = self._leader.term
        for index, queued in enumerate(batch, first):
            queued.is_sent = True
            queued.index = index
            self._applier.watch(index, term, queued.waiter)
        return True

    def _forward(self) -> bool:
        leader_id = self._leader.leader_id
        if leader_id is None:
            return False
        batch = self._take_batch()
        latest_s = max(queued.deadline_s for queued in batch)
        timeout_s = max(0.0, latest_s - self._timer.monotonic_s())
        request = replication_messages.ProposeRequest(
            next(self._request_ids),
            tuple(queued.payload for queued in batch),
            int(timeout_s * _MS_PER_S),
        )
        if not self._links.send(leader_id, request):
            return False
        del self._queue[: len(batch)]
        for queued in batch:
            queued.is_sent = True
        self._forwarded[request.request_id] = _Forwarded(leader_id, batch)
        return True

    def _requeue(self, proposals: Sequence[_Queued]) -> None:
        now_s = self._timer.monotonic_s()
        # The next retry moves them, which leaves time for an election.
        self._queue.extend(
            queued
            for queued in proposals
            if queued.deadline_s > now_s and not queued.is_withdrawn
        )

    def _fail_lost_links(self) -> None:
        connected = set(self._links.connected())
        for request_id, forwarded in tuple(self._forwarded.items()):
            if forwarded.leader_id in connected:
                continue
            del self._forwarded[request_id]
            for queued in forwarded.proposals:
                queued.waiter.settle(
                    errors.Failure(
                        errors.ErrorKind.UNDECIDED,
                        "the link to the leader broke before its answer",
                    )
                )

    def _refuse_queued(self) -> None:
        refusal = self._leader.refusal()
        if refusal is not None:
            for queued in self._queue:
                queued.waiter.settle(refusal)
            self._queue = []

    def _watch(
        self, first: int, count: int
    ) -> list[tuple[int, applier_module.Waiter]]:
        term = self._leader.term
        waiters = []
        for index in range(first, first + count):
            waiter = applier_module.Waiter()
            self._applier.watch(index, term, waiter)
            waiters.append((index, waiter))
        return waiters

    def _drop_late_served(self) -> None:
        now_s = self._timer.monotonic_s()
        kept = []
        for serving in self._serving:
            if serving.deadline_s > now_s:
                kept.append(serving)
                continue
            for index, waiter in serving.waiters:
                self._applier.forget(index, waiter)
        self._serving = kept

    def _reply(self, serving: _Serving) -> None:
        results = tuple(
            _result_of(waiter.outcome)
            for _, waiter in serving.waiters
            if waiter.outcome is not None
        )
        reply = replication_messages.ProposeReply(serving.request_id, results)
        self._links.send(serving.sender, reply)


def _timed_out(queued: _Queued) -> errors.Failure:
    if queued.is_sent:
        return errors.Failure(
            errors.ErrorKind.UNDECIDED,
            "no majority confirmed the proposal in time",
        )
    return errors.Failure(
        errors.ErrorKind.NO_LEADER, "no leader was found in time"
    )


def _result_of(
    outcome: applier_module.Applied | errors.Failure,
) -> replication_messages.ProposeResult:
    if isinstance(outcome, errors.Failure):
        return replication_messages.ProposeResult(
            0, b"", outcome.kind, outcome.reason
        )
    return replication_messages.ProposeResult(
        outcome.index, outcome.result, None, ""
    )
