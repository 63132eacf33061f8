"""Asks the advisor which workers may run the steps of some queues.

The advisor alone knows; it takes one call at a time from each node, and each
call costs time for every worker that it names. So the most urgent step is
asked for first, for a few workers at a time, and answers are kept.
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

__all__ = ["Advisor", "AdvisorCalls", "Approval", "Approvals", "StepKey"]

StepKey = tuple[str, int, int]

_MS_PER_S = 1000
_MAX_WORKERS = 100
# About half of the workers may refuse, so more are named than are needed.
_SPARE_FACTOR = 2
_LEAST_WORKERS = 4
_RETRY_S = 0.2
# A ticket is not used shortly before it expires: the order takes time.
_EXPIRY_MARGIN_S = 0.3
_MAX_STEPS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Approval:
    """A worker that may run a step, and the ticket that shows it."""

    worker_id: str
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Approvals:
    """The advisor's answer; the tickets hold for `valid_ms`."""

    good: tuple[Approval, ...]
    valid_ms: int


class AdvisorCalls(Protocol):
    """Calls to the advisor."""

    async def ask(
        self, step: StepKey, worker_ids: Sequence[str]
    ) -> Approvals | errors.Failure:
        """Returns which of the workers may run the step."""


@dataclasses.dataclass(slots=True)
class _Known:
    """What is known about a step."""

    tickets: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    refused: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _Wish:
    """A step that needs more workers."""

    step: StepKey
    worker_ids: tuple[str, ...]
    count: int


class Advisor:
    """Keeps the advisor's answers and asks for what is missing."""

    def __init__(
        self, calls: AdvisorCalls, timer: timer_module.TimerService
    ) -> None:
        """Begins without answers."""
        self._calls = calls
        self._timer = timer
        self._known: dict[StepKey, _Known] = {}
        self._wishes: dict[StepKey, _Wish] = {}
        self._wake = anyio.Event()
        self._random = random.Random(0)

    def ticket(self, step: StepKey, worker_id: str) -> str | None:
        """Returns a ticket that is still valid, or None."""
        known = self._known.get(step)
        if known is None or worker_id not in known.tickets:
            return None
        ticket, until_s = known.tickets[worker_id]
        return ticket if self._timer.monotonic_s() < until_s else None

    def forget(self, step: StepKey, worker_id: str) -> None:
        """Drops a ticket that a worker has refused."""
        known = self._known.get(step)
        if known is not None:
            known.tickets.pop(worker_id, None)

    def begin_round(self) -> None:
        """Drops the wishes of the last round of placement."""
        self._wishes.clear()

    def want(
        self, step: StepKey, worker_ids: Collection[str], count: int
    ) -> None:
        """Asks for `count` more workers; earlier calls go first."""
        unknown = self._unknown(step, worker_ids)
        if unknown:
            self._wishes[step] = _Wish(step, unknown, count)
            self._wake.set()

    def _unknown(
        self, step: StepKey, worker_ids: Collection[str]
    ) -> tuple[str, ...]:
        """Returns whom to ask about: those with expired tickets first."""
        known = self._known.get(step, _Known())
        expired = [
            worker_id
            for worker_id in worker_ids
            if worker_id in known.tickets
            and self.ticket(step, worker_id) is None
        ]
        fresh = [
            worker_id
            for worker_id in worker_ids
            if worker_id not in known.tickets and worker_id not in known.refused
        ]
        self._random.shuffle(fresh)
        return (*expired, *fresh)

    async def run(self) -> None:
        """Asks until cancelled, one call at a time."""
        while True:
            while not self._wishes:
                self._wake = anyio.Event()
                await self._wake.wait()
            wish = next(iter(self._wishes.values()))
            del self._wishes[wish.step]
            count = max(_LEAST_WORKERS, _SPARE_FACTOR * wish.count)
            asked = wish.worker_ids[: min(_MAX_WORKERS, count)]
            answer = await self._calls.ask(wish.step, asked)
            if isinstance(answer, errors.Failure):
                event_log.emit(
                    events.AdviceMissing(
                        wish.step[0], wish.step[2], answer.reason
                    )
                )
                await self._timer.sleep_s(_RETRY_S)
                continue
            self._keep(wish.step, asked, answer)

    def _keep(
        self, step: StepKey, asked: Sequence[str], answer: Approvals
    ) -> None:
        known = self._known.setdefault(step, _Known())
        valid_s = answer.valid_ms / _MS_PER_S - _EXPIRY_MARGIN_S
        until_s = self._timer.monotonic_s() + valid_s
        for approval in answer.good:
            known.tickets[approval.worker_id] = (approval.ticket, until_s)
        known.refused |= set(asked) - known.tickets.keys()
        while len(self._known) > _MAX_STEPS:
            del self._known[next(iter(self._known))]
