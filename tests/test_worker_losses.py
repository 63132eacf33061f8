"""Tests of workers that return while the record of their loss is pending.

A record may be committed seconds after its proposal. What was found then, that
nothing can run on the worker, must still hold when its tasks are queued again.
They run in simulated time.
"""

from collections.abc import Awaitable, Callable
from typing import Any
import unittest

import anyio

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import worker_state
from tarragoncleat_model import virtual_time
from tests import batch_builders
from tests import dispatcher_rig

_CONTACT_S = 2.0
# Longer than a commit is waited for where its fate may stay unknown.
_LONG_STALL_S = 5.0


class PendingLossTest(unittest.TestCase):
    """A leader whose commits stall, and workers that were silent before."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.key = batch_builders.task_key()
        self.local.submit()
        self.workers: dict[str, batch_builders.FakeWorker] = {}
        self.clock = virtual_time.Clock()
        self.log: batch_builders.FakeLog
        self.dispatcher: Any

    def _add_worker(
        self, worker_id: str, **fields: Any
    ) -> batch_builders.FakeWorker:
        self.local.register(worker_id, **fields)
        record = batch_builders.build_record(worker_id, **fields)
        self.workers[worker_id] = batch_builders.FakeWorker(record)
        return self.workers[worker_id]

    def _play(self, scenario: Callable[[], Awaitable[None]]) -> None:
        self.dispatcher, self.log = batch_builders.build_dispatcher(
            self.local,
            list(self.workers.values()),
            virtual_time.Timer(self.clock),
        )

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.dispatcher.run)
                with anyio.fail_after(60):
                    await scenario()
                tasks.cancel_scope.cancel()

        virtual_time.run(main, self.clock)

    async def _stall_loss(self, kind: type) -> anyio.Event:
        """Holds back commits until the leader has proposed a loss."""
        stall = self.log.stall = anyio.Event()
        await dispatcher_rig.wait_until(
            lambda: any(isinstance(item, kind) for item in self.log.stalled)
        )
        return stall

    def _end_stall(self, stall: anyio.Event) -> None:
        self.log.stall = None
        stall.set()

    def _check_nothing_granted(self, worker: batch_builders.FakeWorker) -> None:
        self.assertEqual(worker.starts, [])
        self.assertEqual(worker.renewed_until_ms, 0)

    def test_worker_that_returns_before_its_loss_is_stored_starts_nothing(
        self,
    ) -> None:
        """Guards against a task that runs on two workers.

        The worker's lease has expired; it answers again before the record that
        takes its tasks back is committed (review/6).
        """
        lost = self._add_worker("w-1")
        other = self._add_worker("w-2")
        self.local.start(self.key)
        lost.is_unresponsive = True

        async def scenario() -> None:
            stall = await self._stall_loss(commands.MarkWorkersLost)
            lost.is_unresponsive = False
            await anyio.sleep(_CONTACT_S)
            self.assertTrue(lost.acknowledgements)
            self._check_nothing_granted(lost)
            self._end_stall(stall)
            await dispatcher_rig.wait_until(
                lambda: lost.running or other.running
            )
            await anyio.sleep(_CONTACT_S)
            self.assertEqual(len(lost.running) + len(other.running), 1)

        self._play(scenario)

    def test_unknown_fate_of_a_loss_keeps_its_worker_without_leases(
        self,
    ) -> None:
        """Guards against a lease that is granted after a commit's timeout.

        The record may still be committed then.
        """
        lost = self._add_worker("w-1")
        self.local.start(self.key)
        lost.is_unresponsive = True

        async def scenario() -> None:
            stall = await self._stall_loss(commands.MarkWorkersLost)
            await anyio.sleep(_LONG_STALL_S)
            lost.is_unresponsive = False
            await anyio.sleep(_CONTACT_S)
            self._check_nothing_granted(lost)
            losses = [
                item
                for item in self.log.stalled
                if isinstance(item, commands.MarkWorkersLost)
            ]
            self.assertEqual(len(losses), 1)
            self._end_stall(stall)
            await dispatcher_rig.wait_until(lambda: lost.running)
            self.assertEqual(lost.starts[-1].run, 2)

        self._play(scenario)

    def test_new_session_with_a_worker_whose_loss_is_pending_grants_nothing(
        self,
    ) -> None:
        """Guards against a loss that only the failed session knew of."""
        lost = self._add_worker("w-1")
        self.local.start(self.key)
        lost.is_unresponsive = True

        async def scenario() -> None:
            stall = await self._stall_loss(commands.MarkWorkersLost)
            lost.error = RuntimeError("unforeseen")
            await dispatcher_rig.wait_until(lambda: lost.error is None)
            lost.is_unresponsive = False
            count = len(lost.acknowledgements)
            await dispatcher_rig.wait_until(
                lambda: len(lost.acknowledgements) > count + 3
            )
            self._check_nothing_granted(lost)
            self._end_stall(stall)

        self._play(scenario)

    def test_incarnation_whose_end_is_pending_gets_no_lease(self) -> None:
        """Guards against a task that runs on two workers.

        A delayed report of one incarnation shows that the other one on its
        instance, silent so far, must have ended; then that one answers.
        """
        silent = self._add_worker("w-1", instance="m-1")
        self.local.start(self.key)
        silent.is_unresponsive = True
        reporting = self._add_worker("w-2", instance="m-1")
        reporting.is_unresponsive = True

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: (
                    self.local.state.workers["w-1"].state
                    is worker_state.WorkerState.LEASE_EXPIRED
                )
            )
            reporting.is_unresponsive = False
            stall = await self._stall_loss(commands.EndWorker)
            silent.is_unresponsive = False
            await anyio.sleep(_CONTACT_S)
            self._check_nothing_granted(silent)
            self._end_stall(stall)
            await dispatcher_rig.wait_until(
                lambda: "w-1" not in self.local.state.workers
            )

        self._play(scenario)

    def test_worker_gets_leases_again_once_its_loss_is_refused(self) -> None:
        """Guards against a worker that is left without leases for good."""
        lost = self._add_worker("w-1")
        self.local.start(self.key)
        lost.is_unresponsive = True

        async def scenario() -> None:
            stall = await self._stall_loss(commands.MarkWorkersLost)
            lost.is_unresponsive = False
            self.log.is_rejecting = True
            self._end_stall(stall)
            await dispatcher_rig.wait_until(lambda: lost.running)
            self.assertEqual(lost.starts[-1].run, 1)

        self._play(scenario)

    def test_loss_of_one_worker_holds_up_no_other_check(self) -> None:
        """Guards against tasks that stand still as long as a commit does."""
        lost = self._add_worker("w-1")
        self.local.start(self.key)
        lost.is_unresponsive = True
        stuck = self._add_worker("w-2")
        self.local.submit("job-2")
        stuck_key = batch_builders.task_key("job-2")
        self.local.start(stuck_key, worker_id="w-2")

        async def scenario() -> None:
            stall = await self._stall_loss(commands.MarkWorkersLost)
            await dispatcher_rig.wait_until(lambda: stuck.stops)
            self.assertEqual(stuck.stops[0].task, stuck_key)
            self._end_stall(stall)

        self._play(scenario)
