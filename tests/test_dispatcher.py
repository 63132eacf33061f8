"""Tests of the dispatcher with fake workers."""

import time
from typing import Any
import unittest
import unittest.mock

import anyio

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.scheduling import worker_views
from tarragoncleat.batch.workers import clients
from tarragoncleat.kernel import errors
from tests import batch_builders
from tests import dispatcher_rig

# Longer than a commit may take.
_STALL_S = 3.4


class DispatcherTest(dispatcher_rig.DispatcherTestCase):
    """Tests starts, ends and leases during a leader's term."""

    def test_refused_start_is_committed_after_a_failed_commit(self) -> None:
        """If the refusal were dropped, the task would never run again."""
        self.worker.start_outcome = clients.OrderOutcome.NO_ROOM

        async def scenario() -> None:
            def reject_next() -> None:
                self.log.is_rejecting = True

            self.log.on_commit.append(reject_next)
            self.local.submit()
            await dispatcher_rig.wait_until(lambda: self.worker.starts)
            self.log.on_commit.remove(reject_next)
            await anyio.sleep(0.2)
            self.worker.start_outcome = None
            self.log.is_rejecting = False
            await dispatcher_rig.wait_until(lambda: self.worker.running)

        self.run_scenario(scenario)
        self.assertEqual(next(iter(self.worker.running))[1], 2)

    def test_error_in_one_session_ends_neither_the_term_nor_a_run(self) -> None:
        """Guards against one worker's report that ends every process in turn.

        The session is opened again, and the run that it had started goes on.
        """
        self.local.submit()
        other = batch_builders.FakeWorker(batch_builders.build_record("w-2"))
        self.other_workers = [other]

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.worker.running)
            self.local.register("w-2")
            await dispatcher_rig.wait_until(lambda: other.renewed_until_ms)
            self.worker.error = RuntimeError("unforeseen")
            await dispatcher_rig.wait_until(lambda: self.worker.error is None)
            self.worker.end(self.key)
            before_ms = other.renewed_until_ms
            other.clock_ms += 1_000
            await dispatcher_rig.wait_until(
                lambda: other.renewed_until_ms > before_ms
            )
            await dispatcher_rig.wait_until(
                lambda: self.job_state() is jobs.JobState.COMPLETED
            )

        self.run_scenario(scenario)
        self.assertEqual({order.run for order in self.worker.starts}, {1})

    def test_suspension_during_a_plan_delays_no_later_one(self) -> None:
        """Guards against a pause as long as the process was suspended."""
        timer = batch_builders.ManualTimer()

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: self.worker.renewed_until_ms
            )
            refresh = worker_views.ViewCache.refresh
            suspended: list[float] = []

            def suspend(*arguments: Any) -> object:
                if not suspended:
                    suspended.append(timer.monotonic_s())
                    timer.advance(7.0)
                return refresh(*arguments)

            with unittest.mock.patch.object(
                worker_views.ViewCache, "refresh", suspend
            ):
                while not suspended:
                    await anyio.sleep(0.005)
            self.local.submit()
            with anyio.fail_after(3):
                await dispatcher_rig.wait_until(lambda: self.worker.running)

        self.run_scenario(scenario, timer)

    def test_worker_that_has_no_client_is_ended(self) -> None:
        """Guards against a stored worker whose address can't be parsed."""
        self.local.register("w-bad", address="nowhere")

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: self.local.state.has_worker_ended("w-bad")
            )
            self.local.submit()
            await dispatcher_rig.wait_until(lambda: self.worker.running)

        self.run_scenario(scenario)
        ended = commands.MarkWorkersLost(("w-bad",), is_final=True)
        self.assertEqual(self.log.committed.count(ended), 1)

    def test_end_of_a_worker_names_the_runs_that_it_confirmed(self) -> None:
        """A crash is no proof against a task that may not have begun."""
        for outcome, confirmed in (
            (None, (commands.ConfirmedRun(self.key, 1),)),
            (clients.OrderOutcome.UNANSWERED, ()),
        ):
            with self.subTest(outcome=outcome):
                self.setUp()
                self.local.submit()
                self.worker.start_outcome = outcome
                self.run_scenario(self._end_started_worker)
                ended = commands.EndWorker("w-1", confirmed)
                self.assertIn(ended, self.log.committed)

    async def _end_started_worker(self) -> None:
        await dispatcher_rig.wait_until(lambda: self.worker.starts)
        await anyio.sleep(0.05)
        self.worker.has_ended = True
        await dispatcher_rig.wait_until(
            lambda: self.local.state.has_worker_ended("w-1")
        )

    def test_run_that_a_report_lists_is_confirmed(self) -> None:
        """The leader that has sent its start may have been another one."""
        self.local.submit()
        self.local.start(self.key)
        self.worker.running[(self.key, 1)] = batch_builders.FakeRun()
        self.worker.start_outcome = clients.OrderOutcome.UNANSWERED

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: self.worker.renewed_until_ms
            )
            await anyio.sleep(0.1)
            self.worker.has_ended = True
            await dispatcher_rig.wait_until(
                lambda: self.local.state.has_worker_ended("w-1")
            )

        self.run_scenario(scenario)
        confirmed = (commands.ConfirmedRun(self.key, 1),)
        self.assertIn(commands.EndWorker("w-1", confirmed), self.log.committed)

    def test_late_heartbeat_of_ended_incarnation_moves_no_task(self) -> None:
        """Guards against a second run beside one that is still running.

        The earlier incarnation ended before its first heartbeat arrived.
        """
        self.local.submit()
        late_worker = batch_builders.FakeWorker(
            batch_builders.build_record(
                "w-0", instance=self.worker.record.instance
            )
        )
        late_worker.has_ended = True
        self.other_workers = [late_worker]

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.worker.running)
            self.local.register("w-0", instance=self.worker.record.instance)
            await dispatcher_rig.wait_until(
                lambda: self.local.state.has_worker_ended("w-0")
            )
            await anyio.sleep(0.05)
            self.assertTrue(self.local.state.is_current(self.key, 1, "w-1"))
            self.worker.end(self.key)
            await dispatcher_rig.wait_until(
                lambda: self.job_state() is jobs.JobState.COMPLETED
            )

        self.run_scenario(scenario)
        self.assertEqual(late_worker.starts, [])

    def test_start_carries_the_lease_of_the_last_renewal(self) -> None:
        """Guards against starts that keep a silent worker's lease alive."""
        self.worker.max_poll_s = 5.0

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: self.worker.renewed_until_ms
            )
            await anyio.sleep(0.1)
            self.local.submit()
            await dispatcher_rig.wait_until(lambda: self.worker.starts)

        self.run_scenario(scenario)
        self.assertLessEqual(
            self.worker.starts[0].lease_until_ms, self.worker.renewed_until_ms
        )

    def test_report_of_new_incarnation_ends_the_previous_one(self) -> None:
        """A task must not wait for the lease of an ended incarnation."""
        self.local.submit()
        instance = self.worker.record.instance
        successor = batch_builders.FakeWorker(
            batch_builders.build_record("w-2", instance=instance)
        )
        self.other_workers = [successor]

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.worker.running)
            self.worker.is_unresponsive = True
            await anyio.sleep(0.05)
            self.local.register("w-2", instance=instance)
            await dispatcher_rig.wait_until(lambda: successor.running)

        self.run_scenario(scenario)
        # After a mere lease expiry the worker would not count as ended.
        self.assertTrue(self.local.state.has_worker_ended("w-1"))

    def test_report_of_new_incarnation_ends_a_draining_one(self) -> None:
        """Guards against a draining worker that is never forgotten.

        It was cut off before this leader got a report of it.
        """
        instance = self.worker.record.instance
        successor = batch_builders.FakeWorker(
            batch_builders.build_record("w-2", instance=instance)
        )
        self.other_workers = [successor]
        self.worker.is_unresponsive = True
        self.local.apply(commands.DrainWorker("w-1"))
        timer = batch_builders.ManualTimer()

        async def scenario() -> None:
            await anyio.sleep(0.05)
            timer.advance(60.0)
            self.local.register("w-2", instance=instance)
            await dispatcher_rig.wait_until(
                lambda: self.local.state.has_worker_ended("w-1")
            )

        self.run_scenario(scenario, timer)

    def test_stalled_starts_are_not_planned_again_into_the_same_room(
        self,
    ) -> None:
        """Guards against a worker that runs more than its capacity.

        The commit of a start stalls, and meanwhile a newer job arrives.
        """
        step = batch_builders.build_step(
            cpu_millicores=4_000, estimated_ms=10_000
        )

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: self.worker.renewed_until_ms
            )
            self.log.stall = anyio.Event()
            self.local.time_ms = int(time.time() * 1_000)
            self.local.submit("job-1", step)
            await anyio.sleep(0.5)
            self.local.time_ms += 400
            self.local.submit("job-2", step)
            await anyio.sleep(_STALL_S)
            self.log.stall.set()
            self.log.stall = None
            await dispatcher_rig.wait_until(lambda: self.worker.running)
            await anyio.sleep(0.5)
            self.assertEqual(len(self.worker.running), 1)

        self.run_scenario(scenario)

    def test_run_is_stored_before_it_is_started(self) -> None:
        """A new leader would start another run if it didn't know this one."""
        self.local.submit()
        was_stored: list[bool] = []

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.worker.starts)
            was_stored.append(self.local.state.is_current(self.key, 1, "w-1"))
            self.worker.end(self.key)
            await dispatcher_rig.wait_until(
                lambda: self.job_state() is jobs.JobState.COMPLETED
            )

        self.run_scenario(scenario)
        self.assertEqual(was_stored, [True])

    def test_end_is_acknowledged_only_after_it_is_stored(self) -> None:
        """A worker drops acknowledged ends; an unstored one would be lost."""
        self.local.submit()

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.worker.running)
            self.log.is_rejecting = True
            self.worker.end(self.key)
            await anyio.sleep(0.3)
            self.assertEqual(self.worker.acknowledged, 0)
            self.log.is_rejecting = False
            await dispatcher_rig.wait_until(
                lambda: self.worker.acknowledged == 1
            )

        self.run_scenario(scenario)
        self.assertIs(self.job_state(), jobs.JobState.COMPLETED)

    def test_lost_reply_to_a_start_causes_no_second_run(self) -> None:
        """A start without a reply must be repeated with the same run number."""
        self.local.submit()
        self.worker.lost_replies = 2

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: len(self.worker.starts) == 3
            )
            await anyio.sleep(0.05)

        self.run_scenario(scenario)
        self.assertEqual({order.run for order in self.worker.starts}, {1})

    def test_refused_start_is_retried_as_a_new_run(self) -> None:
        """Guards against tasks that stay assigned after a refused start."""
        self.local.submit()
        self.worker.start_outcome = clients.OrderOutcome.NO_ROOM

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.worker.starts)
            self.worker.start_outcome = None
            await dispatcher_rig.wait_until(lambda: self.worker.running)

        self.run_scenario(scenario)
        self.assertGreater(self.worker.starts[-1].run, 1)

    def test_reported_run_of_cancelled_job_is_stopped(self) -> None:
        """A delayed order may start a task after its job was cancelled."""
        self.local.submit()
        self.local.apply(commands.CancelJob("job-1"))
        self.worker.running[(self.key, 1)] = batch_builders.FakeRun()

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.worker.stops)

        self.run_scenario(scenario)
        self.assertEqual(self.worker.stops[0].task, self.key)

    def test_cancelled_job_is_stopped_at_once(self) -> None:
        """Guards against runs of a cancelled job that keep their resources."""
        self.local.submit()

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.worker.running)
            self.local.apply(commands.CancelJob("job-1"))
            await dispatcher_rig.wait_until(lambda: self.worker.stops)
            await dispatcher_rig.wait_until(
                lambda: not self.local.state.workers["w-1"].tasks
            )

        self.run_scenario(scenario)

    def test_new_leader_keeps_tasks_off_what_the_last_one_has_chosen(
        self,
    ) -> None:
        """Guards against tasks that maintenance ends at their start (review/5).

        The last leader may have sent the order.
        """
        instance = self.worker.record.instance
        other = self.add_worker("w-2")
        self.local.apply(commands.StartWave(1, (instance,), 30_000, 1))
        self.local.apply(
            commands.RecordMaintenance(
                1, instance, commands.MaintenancePhase.CHOSEN
            )
        )
        self.instances.failure = errors.Failure(
            errors.ErrorKind.UNDECIDED, "no answer"
        )
        self.local.submit("job-1", batch_builders.build_step(4))

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: len(other.running) == 4)

        self.run_scenario(scenario, term=2)
        self.assertEqual(self.worker.starts, [])

    def test_new_leader_starts_runs_that_were_only_stored(self) -> None:
        """A leader may fail between storing a run and sending its start."""
        self.local.submit()
        self.local.start(self.key)

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.worker.running)

        self.run_scenario(scenario, term=2)
        self.assertEqual(self.worker.starts[0].run, 1)
        self.assertEqual(self.worker.starts[0].fence, 2)

    def test_unresponsive_worker_keeps_tasks_until_lease_expiry(self) -> None:
        """An earlier restart could run the task twice at the same time."""
        timer = batch_builders.ManualTimer()
        self.local.submit()
        self.local.start(self.key)
        self.worker.is_unresponsive = True

        async def scenario() -> None:
            await anyio.sleep(0.6)
            timer.advance(5.9)
            await anyio.sleep(0.6)
            self.assertTrue(self.local.state.workers["w-1"].tasks)
            timer.advance(1.0)
            await dispatcher_rig.wait_until(
                lambda: not self.local.state.workers["w-1"].tasks
            )

        self.run_scenario(scenario, timer)

    def _check_start_while_draining(
        self, outcome: clients.OrderOutcome
    ) -> None:
        """Repeats a start until its worker drains; then it starts elsewhere."""
        other = self.add_worker("w-2")
        self.local.submit()
        self.local.start(self.key)
        self.worker.start_outcome = outcome

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.worker.starts)
            self.local.apply(commands.DrainWorker("w-1"))
            await anyio.sleep(0.3)
            count = len(self.worker.starts)
            self.worker.start_outcome = None
            await dispatcher_rig.wait_until(lambda: other.running)
            self.assertEqual(len(self.worker.starts), count)
            self.assertFalse(self.worker.running)

        self.run_scenario(scenario)

    def test_unanswered_start_is_not_repeated_once_its_worker_drains(
        self,
    ) -> None:
        """Guards against a run that begins on a worker about to leave.

        The worker didn't answer for seconds, and has begun to drain meanwhile
        (review/10).
        """
        self._check_start_while_draining(clients.OrderOutcome.UNANSWERED)
        self.assertTrue(self.worker.stops)

    def test_late_start_is_not_repeated_once_its_worker_drains(self) -> None:
        """Guards against a run that begins on a worker about to leave.

        It refused the start because its lease had expired on the way.
        """
        self._check_start_while_draining(clients.OrderOutcome.EXPIRED)

    def test_next_leader_starts_nothing_on_a_draining_worker(self) -> None:
        """Guards against a stored start that a draining worker gets late."""
        other = self.add_worker("w-2")
        self.local.submit()
        self.local.start(self.key)
        self.local.apply(commands.DrainWorker("w-1"))

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: other.running)
            self.assertEqual(self.worker.starts, [])

        self.run_scenario(scenario, term=2)

    def test_leader_that_may_be_deposed_grants_no_lease(self) -> None:
        """Guards against a task that runs under two leaders at once.

        The next one waits for the leases that were granted before its election.
        """
        self.local.submit()

        async def scenario() -> None:
            self.log.confirmed_age_s = 1.6
            await dispatcher_rig.wait_until(
                lambda: self.local.state.workers["w-1"].tasks
            )
            count = len(self.worker.acknowledgements)
            await dispatcher_rig.wait_until(
                lambda: len(self.worker.acknowledgements) > count + 3
            )
            self.assertEqual(self.worker.starts, [])
            self.assertEqual(self.worker.renewed_until_ms, 0)
            self.log.confirmed_age_s = 0.2
            await dispatcher_rig.wait_until(lambda: self.worker.running)

        self.run_scenario(scenario)

    def test_end_of_worker_requeues_its_tasks_at_once(self) -> None:
        """Tasks must not wait for the lease of an ended incarnation."""
        self.local.submit()
        self.local.start(self.key)
        self.worker.has_ended = True

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: not self.local.state.workers
            )

        self.run_scenario(scenario)
        job = self.local.state.job("job-1")
        self.assertEqual(job.occurrences[0].steps[0].waiting, {0})

    def test_due_instance_is_maintained_when_it_is_idle(self) -> None:
        """Guards against waves that never advance."""
        self.local.apply(commands.StartWave(1, ("instance-of-w-1",), 9_000, 1))

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: not self.local.state.waves[1].remaining
            )

        self.run_scenario(scenario)
        self.assertNotIn("w-1", self.local.state.workers)
