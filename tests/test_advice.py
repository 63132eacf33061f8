"""Tests of the questions to the advisor."""

from collections.abc import Callable
import unittest

import anyio

from tarragoncleat.batch import advice
from tarragoncleat.batch import model
from tarragoncleat.batch import placement
from tarragoncleat.batch import worker_views
from tests import batch_builders

_STEP = ("job-1", 0, 0)
_WORKERS = tuple(f"w-{number}" for number in range(1, 9))


class AdvisorTest(unittest.TestCase):
    """Guards against starts without a valid ticket, and useless calls."""

    def setUp(self) -> None:
        self.timer = batch_builders.ManualTimer()
        self.calls = batch_builders.FakeAdvisor(("w-1", "w-2"))
        self.approval_cache = advice.ApprovalCache(self.calls, self.timer)

    def _play(self, scenario: Callable) -> None:
        async def main() -> None:
            with anyio.fail_after(10):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.approval_cache.run)
                    await scenario()
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    async def _settle(self) -> None:
        for _ in range(20):
            await anyio.sleep(0)

    def test_each_worker_is_asked_about_once(self) -> None:
        async def scenario() -> None:
            for _ in range(6):
                self.approval_cache.request_tickets(_STEP, _WORKERS, 2)
                await self._settle()

        self._play(scenario)
        named = [name for _, names in self.calls.asked for name in names]
        self.assertEqual(sorted(named), sorted(_WORKERS))
        self.assertEqual(len(self.calls.asked), 2)

    def test_expired_ticket_is_renewed_and_refused_one_forgotten(self) -> None:
        async def scenario() -> None:
            self.approval_cache.request_tickets(_STEP, ("w-1",), 1)
            await self._settle()
            self.assertEqual(
                self.approval_cache.ticket(_STEP, "w-1"), "ticket-1"
            )
            self.timer.advance(3.0)
            self.assertIsNone(self.approval_cache.ticket(_STEP, "w-1"))
            self.approval_cache.request_tickets(_STEP, ("w-1",), 1)
            await self._settle()
            self.assertEqual(
                self.approval_cache.ticket(_STEP, "w-1"), "ticket-2"
            )
            self.approval_cache.discard_ticket(_STEP, "w-1")
            self.assertIsNone(self.approval_cache.ticket(_STEP, "w-1"))

        self._play(scenario)

    def test_first_wish_of_a_round_is_asked_first(self) -> None:
        other = ("job-2", 0, 0)

        async def scenario() -> None:
            self.approval_cache.request_tickets(other, _WORKERS, 1)
            self.approval_cache.clear_requests()
            self.approval_cache.request_tickets(_STEP, _WORKERS, 1)
            self.approval_cache.request_tickets(other, _WORKERS, 1)
            await self._settle()

        self._play(scenario)
        self.assertEqual([step for step, _ in self.calls.asked], [_STEP, other])

    def test_step_of_an_advised_queue_waits_for_a_ticket(self) -> None:
        local = batch_builders.LocalState()
        rule = model.Advice(decide_ms=5, period_ms=2, valid_ms=3_000)
        configuration = batch_builders.build_configuration(2, advice=rule)
        local.apply(batch_builders.commands.PutConfiguration(configuration))
        local.register(*_WORKERS)
        local.submit("job-1", batch_builders.build_step(5))
        chosen: list[set[str]] = []

        async def scenario() -> None:
            for _ in range(3):
                schedulable_workers = dict.fromkeys(_WORKERS, 0.0)
                views = worker_views.build_views(
                    local.state, schedulable_workers
                )
                made = placement.plan(
                    local.state, views, local.time_ms, self.approval_cache
                )
                chosen.append({row.worker_id for row in made.starts})
                await self._settle()

        self._play(scenario)
        self.assertEqual(chosen[0], set())
        self.assertEqual(chosen[-1], {"w-1", "w-2"})
