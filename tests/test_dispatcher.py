"""Tests of the leader's dealings with workers, over fakes."""

from collections.abc import Callable
import unittest

import anyio

from tarragoncleat.batch import clients
from tarragoncleat.batch import commands
from tarragoncleat.batch import jobs
from tarragoncleat.kernel import timer as timer_module
from tests import batch_builders

_PATIENCE_S = 20.0


class DispatcherTest(unittest.TestCase):
    """Guards runs, ends and leases through a leader's term."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.local.register("w-1")
        self.worker = batch_builders.FakeWorker(batch_builders.build_record())
        self.key = batch_builders.task_key()
        self.others: list[batch_builders.FakeWorker] = []

    def _play(
        self,
        scenario: Callable,
        timer: timer_module.TimerService | None = None,
        term: int = 1,
    ) -> None:
        async def main() -> None:
            dispatcher, self.log = batch_builders.make_dispatcher(
                self.local,
                [self.worker, *self.others],
                timer or timer_module.TimerService(),
                term=term,
            )
            with anyio.fail_after(_PATIENCE_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(dispatcher.run)
                    await scenario()
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    def _job_state(self) -> jobs.JobState:
        return self.local.state.job("job-1").state

    async def _until(self, condition: Callable[[], object]) -> None:
        while not condition():
            await anyio.sleep(0.005)

    def test_refusal_that_could_not_be_stored_is_stored_later(self) -> None:
        """Guards against a task that nobody runs and nobody starts again."""
        self.worker.start_outcome = clients.OrderOutcome.NO_ROOM

        async def scenario() -> None:
            def refuse_next() -> None:
                self.log.refuses = True

            self.log.on_commit.append(refuse_next)
            self.local.submit()
            await self._until(lambda: self.worker.starts)
            self.log.on_commit.remove(refuse_next)
            await anyio.sleep(0.2)
            self.worker.start_outcome = None
            self.log.refuses = False
            await self._until(lambda: self.worker.running)

        self._play(scenario)
        self.assertEqual(next(iter(self.worker.running))[1], 2)

    def test_late_heartbeat_of_an_unknown_life_moves_no_task(self) -> None:
        """Guards against a second run beside one that goes on.

        The life was too short to be known before its heartbeat arrived.
        """
        self.local.submit()
        late = batch_builders.FakeWorker(
            batch_builders.build_record(
                "w-0", instance=self.worker.record.instance
            )
        )
        late.is_gone = True
        self.others = [late]

        async def scenario() -> None:
            await self._until(lambda: self.worker.running)
            self.local.register("w-0", instance=self.worker.record.instance)
            await self._until(lambda: self.local.state.has_worker_ended("w-0"))
            await anyio.sleep(0.05)
            self.assertTrue(self.local.state.is_current(self.key, 1, "w-1"))
            self.worker.end(self.key)
            await self._until(
                lambda: self._job_state() is jobs.JobState.COMPLETED
            )

        self._play(scenario)
        self.assertEqual(late.starts, [])

    def test_report_of_a_new_life_ends_the_one_before_it(self) -> None:
        """A task must not wait for the lease of a life that is over."""
        self.local.submit()
        instance = self.worker.record.instance
        after = batch_builders.FakeWorker(
            batch_builders.build_record("w-2", instance=instance)
        )
        self.others = [after]

        async def scenario() -> None:
            await self._until(lambda: self.worker.running)
            self.worker.is_silent = True
            await anyio.sleep(0.05)
            self.local.register("w-2", instance=instance)
            await self._until(lambda: after.running)

        self._play(scenario)
        # A lease that lapsed would leave the worker known.
        self.assertTrue(self.local.state.has_worker_ended("w-1"))

    def test_run_is_stored_before_it_is_started(self) -> None:
        self.local.submit()
        stored: list[bool] = []

        async def scenario() -> None:
            await self._until(lambda: self.worker.starts)
            stored.append(self.local.state.is_current(self.key, 1, "w-1"))
            self.worker.end(self.key)
            await self._until(
                lambda: self._job_state() is jobs.JobState.COMPLETED
            )

        self._play(scenario)
        self.assertEqual(stored, [True])

    def test_end_is_acknowledged_only_after_it_is_stored(self) -> None:
        self.local.submit()

        async def scenario() -> None:
            await self._until(lambda: self.worker.running)
            self.log.refuses = True
            self.worker.end(self.key)
            await anyio.sleep(0.3)
            self.assertEqual(self.worker.acknowledged, 0)
            self.log.refuses = False
            await self._until(lambda: self.worker.acknowledged == 1)

        self._play(scenario)
        self.assertIs(self._job_state(), jobs.JobState.COMPLETED)

    def test_lost_answer_to_a_start_makes_no_second_run(self) -> None:
        self.local.submit()
        self.worker.lost_answers = 2

        async def scenario() -> None:
            await self._until(lambda: len(self.worker.starts) == 3)
            await anyio.sleep(0.05)

        self._play(scenario)
        self.assertEqual({order.run for order in self.worker.starts}, {1})

    def test_refused_start_is_tried_again_as_a_new_run(self) -> None:
        self.local.submit()
        self.worker.start_outcome = clients.OrderOutcome.NO_ROOM

        async def scenario() -> None:
            await self._until(lambda: self.worker.starts)
            self.worker.start_outcome = None
            await self._until(lambda: self.worker.running)

        self._play(scenario)
        self.assertGreater(self.worker.starts[-1].run, 1)

    def test_run_that_must_not_be_there_is_stopped(self) -> None:
        """A late order may start a task after its job was cancelled."""
        self.local.submit()
        self.local.apply(commands.CancelJob("job-1"))
        self.worker.running[(self.key, 1)] = batch_builders._Run()

        async def scenario() -> None:
            await self._until(lambda: self.worker.stops)

        self._play(scenario)
        self.assertEqual(self.worker.stops[0].task, self.key)

    def test_cancelled_job_is_stopped_at_once(self) -> None:
        self.local.submit()

        async def scenario() -> None:
            await self._until(lambda: self.worker.running)
            self.local.apply(commands.CancelJob("job-1"))
            await self._until(lambda: self.worker.stops)
            await self._until(lambda: not self.local.state.workers["w-1"].tasks)

        self._play(scenario)

    def test_new_leader_starts_what_its_predecessor_only_stored(self) -> None:
        self.local.submit()
        self.local.start(self.key)

        async def scenario() -> None:
            await self._until(lambda: self.worker.running)

        self._play(scenario, term=2)
        self.assertEqual(self.worker.starts[0].run, 1)
        self.assertEqual(self.worker.starts[0].fence, 2)

    def test_silent_workers_task_waits_until_its_lease_is_over(self) -> None:
        timer = batch_builders.ManualTimer()
        self.local.submit()
        self.local.start(self.key)
        self.worker.is_silent = True

        async def scenario() -> None:
            await anyio.sleep(0.6)
            timer.advance(5.9)
            await anyio.sleep(0.6)
            self.assertTrue(self.local.state.workers["w-1"].tasks)
            timer.advance(1.0)
            await self._until(lambda: not self.local.state.workers["w-1"].tasks)

        self._play(scenario, timer)

    def test_workers_end_frees_its_tasks_at_once(self) -> None:
        self.local.submit()
        self.local.start(self.key)
        self.worker.is_gone = True

        async def scenario() -> None:
            await self._until(lambda: not self.local.state.workers)

        self._play(scenario)
        job = self.local.state.job("job-1")
        self.assertEqual(job.occurrences[0].steps[0].waiting, {0})

    def test_due_instance_is_maintained_when_it_is_empty(self) -> None:
        self.local.apply(commands.StartWave(1, ("instance-of-w-1",), 9_000, 1))

        async def scenario() -> None:
            await self._until(lambda: not self.local.state.waves[1].remaining)

        self._play(scenario)
        self.assertNotIn("w-1", self.local.state.workers)
