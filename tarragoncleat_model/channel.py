"""The calls of a leader to a model's worker, and what may happen to them."""

from collections.abc import Callable
import dataclasses
import random
from typing import Protocol

import anyio
import anyio.abc

from tarragoncleat.batch.workers import clients
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat_model import worker as worker_module

__all__ = ["Condition", "ModelClient", "WorkerTable"]

_LATENCY_S = 0.002
_ORDER_TIMEOUT_S = 0.8
_MAX_DELAY_S = 4.0
_MS_PER_S = 1000

_Outcome = clients.OrderOutcome
_UNANSWERED = clients.OrderReply(_Outcome.UNANSWERED)


@dataclasses.dataclass(slots=True)
class Condition:
    """What happens now to calls to one instance.

    Attributes:
        is_cut: No call arrives, and no answer.
        refusing_share: Share of the orders that are refused; a quarter of them
            is left unanswered instead.
        losing_share: Share of the orders that are carried out, but whose answer
            is lost.
        delaying_share: Share of the orders that are carried out seconds later,
            without an answer.
    """

    is_cut: bool = False
    refusing_share: float = 0.0
    losing_share: float = 0.0
    delaying_share: float = 0.0


class WorkerTable(Protocol):
    """Finds the workers and the conditions of their instances."""

    tasks: anyio.abc.TaskGroup
    random: random.Random

    def worker(self, worker_id: str) -> worker_module.ModelWorker:
        """Returns a worker, also one that has ended."""

    def has_successor(self, worker_id: str) -> bool:
        """Whether a later worker answers at the instance."""

    def condition(self, worker_id: str) -> Condition:
        """Returns the condition of a worker's instance."""


class ModelClient:
    """Client of one worker."""

    def __init__(
        self,
        worker_id: str,
        table: WorkerTable,
        timer: timer_module.TimerService,
    ) -> None:
        """Creates a client.

        Args:
            worker_id: The worker.
            table: Finds the worker.
            timer: Clock.
        """
        self._worker_id = worker_id
        self._table = table
        self._timer = timer

    async def start(self, order: clients.StartOrder) -> clients.OrderReply:
        """Starts a run."""
        return await self._send(lambda worker, now: worker.start(order, now))

    async def stop(self, order: clients.StopOrder) -> clients.OrderReply:
        """Stops a run."""
        return await self._send(lambda worker, now: worker.stop(order, now))

    async def pace(self, order: clients.PaceOrder) -> clients.OrderReply:
        """Does nothing: the model has no tasks that are paced."""
        del order
        return await self._send(lambda worker, now: _Outcome.ACCEPTED)

    async def renew_lease(
        self, order: clients.RenewLeaseOrder
    ) -> clients.WorkerReport | clients.OrderReply:
        """Renews the lease; returns a report."""
        failure = await self._reach()
        if failure is not None:
            return failure
        worker = self._table.worker(self._worker_id)
        outcome = worker.renew(order, self._timer.monotonic_s())
        if outcome is not None:
            return clients.OrderReply(outcome)
        if not worker.has_ends and order.wait_ms:
            worker.changed = anyio.Event()
            with anyio.move_on_after(order.wait_ms / _MS_PER_S):
                await worker.changed.wait()
        if not worker.is_up or self._condition.is_cut:
            return _UNANSWERED
        return worker.report(self._timer.monotonic_s())

    async def close(self) -> None:
        """Does nothing."""

    @property
    def _condition(self) -> Condition:
        return self._table.condition(self._worker_id)

    async def _reach(self) -> clients.OrderReply | None:
        """Returns the answer to a call that doesn't reach the worker."""
        await self._timer.sleep_s(_LATENCY_S)
        if self._condition.is_cut:
            await self._timer.sleep_s(_ORDER_TIMEOUT_S)
            return _UNANSWERED
        if self._table.worker(self._worker_id).is_up:
            return None
        if self._table.has_successor(self._worker_id):
            return clients.OrderReply(_Outcome.GONE)
        return _UNANSWERED

    async def _send(
        self,
        carry_out: Callable[[worker_module.ModelWorker, float], _Outcome],
    ) -> clients.OrderReply:
        failure = await self._reach()
        if failure is not None:
            return failure
        worker = self._table.worker(self._worker_id)
        condition, draw = self._condition, self._table.random.random
        if draw() < condition.refusing_share:
            if draw() < 0.25:
                await self._timer.sleep_s(_ORDER_TIMEOUT_S)
                return _UNANSWERED
            return clients.OrderReply(
                _Outcome.UNHEALTHY, worker.clock_ms(self._timer.monotonic_s())
            )
        if draw() < condition.delaying_share:
            self._table.tasks.start_soon(self._carry_out_late, carry_out)
            await self._timer.sleep_s(_ORDER_TIMEOUT_S)
            return _UNANSWERED
        is_lost = draw() < condition.losing_share
        outcome = carry_out(worker, self._timer.monotonic_s())
        if is_lost:
            await self._timer.sleep_s(_ORDER_TIMEOUT_S)
            return _UNANSWERED
        return clients.OrderReply(
            outcome, worker.clock_ms(self._timer.monotonic_s())
        )

    async def _carry_out_late(
        self,
        carry_out: Callable[[worker_module.ModelWorker, float], _Outcome],
    ) -> None:
        delay_s = _ORDER_TIMEOUT_S + self._table.random.random() * _MAX_DELAY_S
        await self._timer.sleep_s(delay_s)
        worker = self._table.worker(self._worker_id)
        if worker.is_up:
            carry_out(worker, self._timer.monotonic_s())
