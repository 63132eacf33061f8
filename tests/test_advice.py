"""Tests of the cache of the advisor's approvals."""

from collections.abc import Callable
import unittest

import anyio

from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.scheduling import advice
from tarragoncleat.batch.scheduling import planner
from tarragoncleat.batch.scheduling import worker_views
from tests import batch_builders

_STEP = ("job-1", 0, 0)
_WORKERS = tuple(f"w-{number}" for number in range(1, 9))


class ApprovalCacheTest(unittest.TestCase):
    """Tests the validity of tickets and the calls to the advisor."""

    def setUp(self) -> None:
        self.timer = batch_builders.ManualTimer()
        self.client = batch_builders.FakeAdvisorClient(("w-1", "w-2"))
        self.approval_cache = advice.ApprovalCache(self.client, self.timer)

    def _run_scenario(self, scenario: Callable) -> None:
        async def main() -> None:
            with anyio.fail_after(10):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.approval_cache.run)
                    await scenario()
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    async def _run_pending_tasks(self) -> None:
        for _ in range(20):
            await anyio.sleep(0)

    def test_each_worker_is_named_in_one_call(self) -> None:
        """A call takes time for each worker, so repeated ones cause delay."""

        async def scenario() -> None:
            for _ in range(6):
                self.approval_cache.request_tickets(_STEP, _WORKERS, 2)
                await self._run_pending_tasks()

        self._run_scenario(scenario)
        named = [name for _, names in self.client.calls for name in names]
        self.assertEqual(sorted(named), sorted(_WORKERS))
        self.assertEqual(len(self.client.calls), 2)

    def test_expired_ticket_is_renewed_and_refused_one_dropped(self) -> None:
        """A worker refuses starts with an invalid ticket."""

        async def scenario() -> None:
            self.approval_cache.request_tickets(_STEP, ("w-1",), 1)
            await self._run_pending_tasks()
            self.assertEqual(
                self.approval_cache.ticket(_STEP, "w-1"), "ticket-1"
            )
            self.timer.advance(3.0)
            self.assertIsNone(self.approval_cache.ticket(_STEP, "w-1"))
            self.approval_cache.request_tickets(_STEP, ("w-1",), 1)
            await self._run_pending_tasks()
            self.assertEqual(
                self.approval_cache.ticket(_STEP, "w-1"), "ticket-2"
            )
            self.approval_cache.discard_ticket(_STEP, "w-1")
            self.assertIsNone(self.approval_cache.ticket(_STEP, "w-1"))

        self._run_scenario(scenario)

    def test_first_request_of_a_round_is_sent_first(self) -> None:
        """Requests of an earlier round must not delay the most urgent step."""
        other = ("job-2", 0, 0)

        async def scenario() -> None:
            self.approval_cache.request_tickets(other, _WORKERS, 1)
            self.approval_cache.clear_requests()
            self.approval_cache.request_tickets(_STEP, _WORKERS, 1)
            self.approval_cache.request_tickets(other, _WORKERS, 1)
            await self._run_pending_tasks()

        self._run_scenario(scenario)
        self.assertEqual(
            [step for step, _ in self.client.calls], [_STEP, other]
        )

    def test_step_of_queue_with_advice_waits_for_a_ticket(self) -> None:
        """Guards against starts on workers that the advisor hasn't approved."""
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
                plan = planner.plan(
                    local.state, views, local.time_ms, self.approval_cache
                )
                chosen.append({row.worker_id for row in plan.starts})
                await self._run_pending_tasks()

        self._run_scenario(scenario)
        self.assertEqual(chosen[0], set())
        self.assertEqual(chosen[-1], {"w-1", "w-2"})
