"""Queues proposals, forwards them to the leader and returns their results."""

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

__all__ = ["LeaderInfo", "Proposals"]

_MS_PER_S = 1000
_MAX_BATCH_PROPOSALS = 256
_MAX_BATCH_BYTES = 1_048_576
# Limits the memory for proposals that wait for a leader.
_MAX_QUEUED = 8_192
# Half of the maximum size of a frame between entries.
_MAX_PAYLOAD_BYTES = 4_194_304
_RETRY_INTERVAL_S = 0.05


class LeaderInfo(Protocol):
    """The leadership state that proposals need."""

    @property
    def is_leader(self) -> bool:
        """Whether this entry is the leader."""

    @property
    def leader_id(self) -> ids.EntryId | None:
        """The known leader, if any."""

    @property
    def term(self) -> int:
        """The current term."""

    def append(self, payloads: Sequence[bytes]) -> int | errors.Failure:
        """Appends to the log of this entry; returns the first index."""

    def refusal(self) -> errors.Failure | None:
        """Returns why a proposal would certainly fail now, or None."""


@dataclasses.dataclass(eq=False, slots=True)
class _QueuedProposal:
    payload: bytes
    deadline_s: float
    future: applier_module.ProposalFuture
    is_sent: bool = False
    is_cancelled: bool = False
    index: int = 0


@dataclasses.dataclass(slots=True)
class _ForwardedBatch:
    leader_id: ids.EntryId
    proposals: Sequence[_QueuedProposal]


@dataclasses.dataclass(slots=True)
class _RemoteBatch:
    """Proposals of another entry that this entry appended as the leader."""

    sender: ids.EntryId
    request_id: int
    deadline_s: float
    futures: Sequence[tuple[int, applier_module.ProposalFuture]]


class Proposals:
    """Batches the proposals of this entry and serves those of others.

    A proposal that was passed to a link or appended to the log of this entry
    may commit. After that it is reported as not run only if another record
    took its index, or if the leader replied that it was not appended.
    """

    def __init__(
        self,
        links: replication_messages.Links,
        timer: timer_module.TimerService,
        applier: applier_module.Applier,
        leader: LeaderInfo,
    ) -> None:
        """Creates an empty queue; `run` must be running to process it."""
        self._links = links
        self._timer = timer
        self._applier = applier
        self._leader = leader
        self._queue: list[_QueuedProposal] = []
        self._forwarded: dict[int, _ForwardedBatch] = {}
        self._remote_batches: list[_RemoteBatch] = []
        self._request_ids = itertools.count(1)
        self._wake = anyio.Event()

    async def propose(
        self, payload: bytes, timeout_s: float
    ) -> applier_module.AppliedProposal | errors.Failure:
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
        proposal = _QueuedProposal(
            payload, deadline_s, applier_module.ProposalFuture()
        )
        self._queue.append(proposal)
        self._wake.set()
        try:
            await proposal.future.wait(timeout_s)
        finally:
            self._cancel(proposal)
        outcome = proposal.future.outcome
        return _timed_out(proposal) if outcome is None else outcome

    async def run(self) -> None:
        """Appends or forwards queued proposals until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._retry)
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                self._dispatch()

    def on_request(
        self,
        sender: ids.EntryId,
        request: replication_messages.ProposeRequest,
    ) -> None:
        """Appends the proposals of another entry, if this is the leader."""
        first = self._leader.append(request.payloads)
        if isinstance(first, errors.Failure):
            result = _result_of(first)
            reply = replication_messages.ProposeReply(
                request.request_id, (result,) * len(request.payloads)
            )
            self._links.send(sender, reply)
            return
        futures = self._create_futures(first, len(request.payloads))
        deadline_s = self._timer.monotonic_s() + request.timeout_ms / _MS_PER_S
        self._remote_batches.append(
            _RemoteBatch(sender, request.request_id, deadline_s, futures)
        )
        self.reply_completed()

    def on_reply(
        self, sender: ids.EntryId, reply: replication_messages.ProposeReply
    ) -> None:
        """Processes the leader's reply to forwarded proposals."""
        forwarded = self._forwarded.pop(reply.request_id, None)
        if forwarded is None:
            return
        to_retry: list[_QueuedProposal] = []
        for proposal, result in zip(
            forwarded.proposals, reply.results, strict=False
        ):
            if result.kind is errors.ErrorKind.NO_LEADER:
                proposal.is_sent = False
                to_retry.append(proposal)
            elif result.kind is None:
                proposal.future.set_outcome(
                    applier_module.AppliedProposal(result.index, result.result)
                )
            else:
                proposal.future.set_outcome(
                    errors.Failure(result.kind, result.reason)
                )
        self._requeue(to_retry)

    def retry_queued(self) -> None:
        """Retries the queued proposals, for example when a leader is known."""
        if self._queue:
            self._wake.set()

    def reply_completed(self) -> None:
        """Replies to each batch of another entry whose outcomes are known."""
        waiting: list[_RemoteBatch] = []
        for remote_batch in self._remote_batches:
            if all(future.is_done for _, future in remote_batch.futures):
                self._reply(remote_batch)
            else:
                waiting.append(remote_batch)
        self._remote_batches = waiting

    def dump(self) -> dict:
        """Returns the numbers of pending proposals for debugging."""
        return {
            "queued": len(self._queue),
            "forwarded": sum(
                len(item.proposals) for item in self._forwarded.values()
            ),
            "serving": len(self._remote_batches),
        }

    async def _retry(self) -> None:
        async for _ in self._timer.subscribe(_RETRY_INTERVAL_S):
            self._fail_disconnected()
            self._drop_expired_batches()
            self._fail_queued()
            self.retry_queued()

    def _cancel(self, proposal: _QueuedProposal) -> None:
        proposal.is_cancelled = True
        if proposal in self._queue:
            self._queue.remove(proposal)
        if proposal.index:
            self._applier.remove_future(proposal.index, proposal.future)
        for request_id, forwarded in tuple(self._forwarded.items()):
            if all(other.is_cancelled for other in forwarded.proposals):
                del self._forwarded[request_id]

    def _dispatch(self) -> None:
        while self._queue:
            if self._leader.is_leader:
                dispatched = self._append_own()
            else:
                dispatched = self._forward()
            if not dispatched:
                return

    def _next_batch(self) -> list[_QueuedProposal]:
        batch: list[_QueuedProposal] = []
        size = 0
        for proposal in self._queue[:_MAX_BATCH_PROPOSALS]:
            size += len(proposal.payload)
            if batch and size > _MAX_BATCH_BYTES:
                break
            batch.append(proposal)
        return batch

    def _append_own(self) -> bool:
        batch = self._next_batch()
        first = self._leader.append([proposal.payload for proposal in batch])
        if isinstance(first, errors.Failure):
            return False
        del self._queue[: len(batch)]
        term = self._leader.term
        for index, proposal in enumerate(batch, first):
            proposal.is_sent = True
            proposal.index = index
            self._applier.add_future(index, term, proposal.future)
        return True

    def _forward(self) -> bool:
        leader_id = self._leader.leader_id
        if leader_id is None:
            return False
        batch = self._next_batch()
        latest_s = max(proposal.deadline_s for proposal in batch)
        timeout_s = max(0.0, latest_s - self._timer.monotonic_s())
        request = replication_messages.ProposeRequest(
            next(self._request_ids),
            tuple(proposal.payload for proposal in batch),
            int(timeout_s * _MS_PER_S),
        )
        if not self._links.send(leader_id, request):
            return False
        del self._queue[: len(batch)]
        for proposal in batch:
            proposal.is_sent = True
        self._forwarded[request.request_id] = _ForwardedBatch(leader_id, batch)
        return True

    def _requeue(self, proposals: Sequence[_QueuedProposal]) -> None:
        now_s = self._timer.monotonic_s()
        # The next retry sends them, which leaves time for an election.
        self._queue.extend(
            proposal
            for proposal in proposals
            if proposal.deadline_s > now_s and not proposal.is_cancelled
        )

    def _fail_disconnected(self) -> None:
        connected = set(self._links.connected())
        for request_id, forwarded in tuple(self._forwarded.items()):
            if forwarded.leader_id in connected:
                continue
            del self._forwarded[request_id]
            for proposal in forwarded.proposals:
                proposal.future.set_outcome(
                    errors.Failure(
                        errors.ErrorKind.UNDECIDED,
                        "the link to the leader broke before its reply",
                    )
                )

    def _fail_queued(self) -> None:
        refusal = self._leader.refusal()
        if refusal is not None:
            for proposal in self._queue:
                proposal.future.set_outcome(refusal)
            self._queue = []

    def _create_futures(
        self, first: int, count: int
    ) -> list[tuple[int, applier_module.ProposalFuture]]:
        term = self._leader.term
        futures = []
        for index in range(first, first + count):
            future = applier_module.ProposalFuture()
            self._applier.add_future(index, term, future)
            futures.append((index, future))
        return futures

    def _drop_expired_batches(self) -> None:
        now_s = self._timer.monotonic_s()
        kept = []
        for remote_batch in self._remote_batches:
            if remote_batch.deadline_s > now_s:
                kept.append(remote_batch)
                continue
            for index, future in remote_batch.futures:
                self._applier.remove_future(index, future)
        self._remote_batches = kept

    def _reply(self, remote_batch: _RemoteBatch) -> None:
        results = tuple(
            _result_of(future.outcome)
            for _, future in remote_batch.futures
            if future.outcome is not None
        )
        reply = replication_messages.ProposeReply(
            remote_batch.request_id, results
        )
        self._links.send(remote_batch.sender, reply)


def _timed_out(proposal: _QueuedProposal) -> errors.Failure:
    if proposal.is_sent:
        return errors.Failure(
            errors.ErrorKind.UNDECIDED,
            "no majority confirmed the proposal in time",
        )
    return errors.Failure(
        errors.ErrorKind.NO_LEADER, "no leader was found in time"
    )


def _result_of(
    outcome: applier_module.AppliedProposal | errors.Failure,
) -> replication_messages.ProposeResult:
    if isinstance(outcome, errors.Failure):
        return replication_messages.ProposeResult(
            0, b"", outcome.kind, outcome.reason
        )
    return replication_messages.ProposeResult(
        outcome.index, outcome.result, None, ""
    )
