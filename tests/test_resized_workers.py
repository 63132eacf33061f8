"""Tests of workers whose capacity shrinks and grows while tasks run on them.

Load pattern: a pool is full, and some of its workers lose half of their room
for seconds, so that more runs on them than fits.
"""

import dataclasses
import unittest

import anyio

from tarragoncleat.batch.leader import leader_service
from tarragoncleat.batch.pools import pool_sizing
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.scheduling import planner
from tarragoncleat.batch.scheduling import worker_views
from tarragoncleat.batch.workers import clients
from tarragoncleat.kernel import timer as timer_module
from tests import batch_builders
from tests import dispatcher_rig


class ResizedWorkerTest(unittest.TestCase):
    """Tests heartbeats that tell another capacity, and plans after them."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.state = self.local.state
        self.local.register("w-1")
        self.service = leader_service.LeaderService(
            batch_builders.FakeLog(self.state),  # type: ignore[arg-type]
            self.state,
            batch_builders.ManualTimer(),
            lambda: None,
        )
        self.views = worker_views.ViewCache()
        self.planner = planner.Planner(self.state)

    def _send_heartbeat(self, sequence: int, cores: int) -> None:
        record = batch_builders.build_record(cpu_millicores=1_000 * cores)
        heartbeat = messages.Heartbeat(record, False, sequence)
        reply = anyio.run(self.service.handle, heartbeat)
        self.assertIsInstance(reply, messages.Done)

    def _cores(self) -> int:
        return self.state.workers["w-1"].record.cpu_millicores // 1_000

    def _plan(self) -> int:
        """Plans, applies the starts and returns their number."""
        starts = self._make_plan().starts
        self.local.apply(commands.StartRuns(tuple(starts)))
        return len(starts)

    def _make_plan(self) -> planner.Plan:
        views = self.views.refresh(
            self.state, dict.fromkeys(self.state.workers, 0.0)
        )
        return self.planner.plan(
            views,
            self.views.changed_services,
            self.local.time_ms,
            self.views.has_other_workers,
        )

    def test_shrunk_worker_gets_no_start_beyond_its_room(self) -> None:
        """A worker that doesn't guard its capacity would be overloaded."""
        self.local.submit("job-1", batch_builders.build_step(10))
        self.assertEqual(self._plan(), 4)
        self._send_heartbeat(2, 2)
        for position in range(2):
            self.local.end(batch_builders.task_key(position=position))
            self.assertEqual(self._plan(), 0)
        self.local.end(batch_builders.task_key(position=2))
        self.assertEqual(self._plan(), 1)
        self._send_heartbeat(3, 4)
        self.assertEqual(self._plan(), 2)

    def test_stopping_task_uses_the_shrunk_room(self) -> None:
        """What is being stopped still counts."""
        self.local.submit("job-1", batch_builders.build_step(4))
        self._plan()
        self._send_heartbeat(2, 3)
        self.local.submit("job-2")
        self.local.apply(commands.CancelJob("job-1"))
        self.local.end(
            batch_builders.task_key(), commands.Ending.STOPPED, worker_id="w-1"
        )
        self.assertEqual(self._plan(), 0)

    def test_heartbeat_that_was_held_up_restores_no_capacity(self) -> None:
        """Heartbeats of the time before may arrive late."""
        self._send_heartbeat(5, 2)
        self._send_heartbeat(4, 4)
        self.assertEqual(self._cores(), 2)
        self._send_heartbeat(6, 3)
        self.assertEqual(self._cores(), 3)

    def test_capacity_outlives_a_snapshot_and_an_expired_lease(self) -> None:
        """A worker that is back must not have its first capacity again."""
        self._send_heartbeat(2, 2)
        self.local.apply(commands.MarkWorkersLost(("w-1",), is_final=False))
        self.state.restore(1, self.state.snapshot())
        self.assertEqual(self._cores(), 2)

    def test_task_that_fits_only_after_growth_starts(self) -> None:
        """A planner keeps which tasks fit nowhere."""
        step = batch_builders.build_step(cpu_millicores=6_000)
        self.local.submit("job-1", step)
        self.assertEqual(self._plan(), 0)
        self._send_heartbeat(2, 8)
        self.assertEqual(self._plan(), 1)

    def test_worker_without_room_does_not_show_the_size_of_instances(
        self,
    ) -> None:
        """Its pool would seem to lack thousands of instances."""
        self.local.register("w-2")
        self.local.submit("job-1", batch_builders.build_step(10))
        self._send_heartbeat(2, 0)
        demand = self._make_plan().demands["bidding"]
        self.assertEqual(demand.instance_millicores, 4_000)
        self.assertLess(pool_sizing.instance_shortage(demand, 0), 3)

    def test_task_needs_no_room_of_what_it_does_not_use(self) -> None:
        """Too many tasks on the cores must not stop one that fills gaps."""
        self.local.submit("job-1", batch_builders.build_step(4))
        self._plan()
        self._send_heartbeat(2, 2)
        step = batch_builders.build_step(best_effort=True)
        self.local.submit("job-2", step)
        self.assertEqual(self._plan(), 1)


class StartOnShrunkWorkerTest(unittest.TestCase):
    """Tests starts that were stored before their worker shrank."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.local.register("w-1")
        self.worker = batch_builders.FakeWorker(batch_builders.build_record())
        self.key = batch_builders.task_key()

    def _shrink(self) -> None:
        record = dataclasses.replace(
            self.local.state.workers["w-1"].record, cpu_millicores=500
        )
        self.local.apply(commands.RegisterWorker(record))

    def test_stored_start_is_withdrawn(self) -> None:
        """A start is repeated for seconds while it gets no answer."""
        dispatcher, _ = batch_builders.build_dispatcher(
            self.local, [self.worker], timer_module.TimerService()
        )

        async def scenario() -> None:
            self.worker.start_outcome = clients.OrderOutcome.UNANSWERED
            self.local.submit()
            dispatcher.notify_state_changed()
            await dispatcher_rig.wait_until(lambda: self.worker.starts)
            self._shrink()
            self.worker.start_outcome = None
            await dispatcher_rig.wait_until(lambda: self.worker.stops)
            sent = len(self.worker.starts)
            await anyio.sleep(0.5)
            self.assertEqual(len(self.worker.starts), sent)

        dispatcher_rig.run_beside(dispatcher, scenario)
        self.assertEqual(self.worker.running, {})

    def test_free_room_is_negative_after_a_shrink(self) -> None:
        """Operators see from it how much more runs than fits."""
        self.local.submit()
        self.local.start(self.key)
        self._shrink()
        worker = self.local.state.workers["w-1"]
        free = self.local.state.free_on(worker)
        self.assertEqual(free, model.Resources(-500, 7_680, 0))


if __name__ == "__main__":
    unittest.main()
