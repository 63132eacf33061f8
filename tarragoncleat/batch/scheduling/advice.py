"""Requests and caches the advisor's approvals of workers for steps.

Steps of queues with advice may run only on workers that the advisor approves.
It accepts one call at a time from each node, and a call takes time for each
worker that it names. So the most urgent step comes first, each call names only
a few workers, and replies are cached.
"""

from collections.abc import Collection, Sequence
import dataclasses
import random
from typing import Protocol

import anyio

from tarragoncleat.batch import events
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module

__all__ = ["AdvisorClient", "Approval", "ApprovalCache", "Approvals", "StepKey"]

StepKey = tuple[str, int, int]

_MS_PER_S = 1000
_MAX_WORKERS_PER_CALL = 100
# About half of the workers may be refused, so more are named than are needed.
_OVERASK_FACTOR = 2
_MIN_WORKERS_PER_CALL = 4
_RETRY_DELAY_S = 0.2
# Tickets count as expired this much earlier, because an order takes time.
_EXPIRY_MARGIN_S = 0.3
_MAX_CACHED_STEPS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Approval:
    """A worker that may run a step, with the ticket that proves it."""

    worker_id: str
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Approvals:
    """The advisor's reply; its tickets are valid for `valid_ms`."""

    approved: tuple[Approval, ...]
    valid_ms: int


class AdvisorClient(Protocol):
    """Client of the advisor."""

    async def request_approvals(
        self, step: StepKey, worker_ids: Sequence[str]
    ) -> Approvals | errors.Failure:
        """Requests approval of workers for a step."""


@dataclasses.dataclass(slots=True)
class _StepAnswers:
    """Cached replies about a step: tickets with expiry, and refused workers."""

    tickets: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    refused: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _Request:
    """A step that needs `count` more workers out of `worker_ids`."""

    step: StepKey
    worker_ids: tuple[str, ...]
    count: int


class ApprovalCache:
    """Caches tickets and requests missing ones from the advisor."""

    def __init__(
        self, client: AdvisorClient, timer: timer_module.TimerService
    ) -> None:
        """Creates an empty cache."""
        self._client = client
        self._timer = timer
        self._answers: dict[StepKey, _StepAnswers] = {}
        self._requests: dict[StepKey, _Request] = {}
        self._request_added = anyio.Event()
        self._random = random.Random(0)

    def ticket(self, step: StepKey, worker_id: str) -> str | None:
        """Returns a ticket that is still valid, or None."""
        answers = self._answers.get(step)
        if answers is None or worker_id not in answers.tickets:
            return None
        ticket, until_s = answers.tickets[worker_id]
        return ticket if self._timer.monotonic_s() < until_s else None

    def discard_ticket(self, step: StepKey, worker_id: str) -> None:
        """Drops a ticket that a worker has refused."""
        answers = self._answers.get(step)
        if answers is not None:
            answers.tickets.pop(worker_id, None)

    def clear_requests(self) -> None:
        """Drops the requests of the previous round of placement."""
        self._requests.clear()

    def request_tickets(
        self, step: StepKey, worker_ids: Collection[str], count: int
    ) -> None:
        """Requests tickets for `count` more workers; requests are FIFO."""
        to_ask = self._workers_to_ask(step, worker_ids)
        if to_ask:
            self._requests[step] = _Request(step, to_ask, count)
            self._request_added.set()

    def _workers_to_ask(
        self, step: StepKey, worker_ids: Collection[str]
    ) -> tuple[str, ...]:
        """Returns workers without a valid ticket, expired ones first."""
        answers = self._answers.get(step, _StepAnswers())
        expired = [
            worker_id
            for worker_id in worker_ids
            if worker_id in answers.tickets
            and self.ticket(step, worker_id) is None
        ]
        never_asked = [
            worker_id
            for worker_id in worker_ids
            if worker_id not in answers.tickets
            and worker_id not in answers.refused
        ]
        self._random.shuffle(never_asked)
        return (*expired, *never_asked)

    async def run(self) -> None:
        """Sends requests one at a time until cancelled."""
        while True:
            while not self._requests:
                self._request_added = anyio.Event()
                await self._request_added.wait()
            request = next(iter(self._requests.values()))
            del self._requests[request.step]
            count = max(_MIN_WORKERS_PER_CALL, _OVERASK_FACTOR * request.count)
            asked_ids = request.worker_ids[: min(_MAX_WORKERS_PER_CALL, count)]
            reply = await self._client.request_approvals(
                request.step, asked_ids
            )
            if isinstance(reply, errors.Failure):
                event_log.emit(
                    events.AdviceMissing(
                        request.step[0], request.step[2], reply.reason
                    )
                )
                await self._timer.sleep_s(_RETRY_DELAY_S)
                continue
            self._store(request.step, asked_ids, reply)

    def _store(
        self, step: StepKey, asked_ids: Sequence[str], reply: Approvals
    ) -> None:
        answers = self._answers.setdefault(step, _StepAnswers())
        valid_s = reply.valid_ms / _MS_PER_S - _EXPIRY_MARGIN_S
        until_s = self._timer.monotonic_s() + valid_s
        for approval in reply.approved:
            answers.tickets[approval.worker_id] = (approval.ticket, until_s)
        answers.refused |= set(asked_ids) - answers.tickets.keys()
        while len(self._answers) > _MAX_CACHED_STEPS:
            del self._answers[next(iter(self._answers))]
