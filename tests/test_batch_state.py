"""Tests of the replicated state of jobs, workers and waves."""

import unittest

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.replicated import worker_state
from tests import batch_builders

_Ending = commands.Ending


class JobTest(unittest.TestCase):
    """Tests the state changes of jobs and tasks."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.state = self.local.state
        self.local.register("w-1", "w-2")

    def _state_of(self, job_id: str = "job-1") -> jobs.JobState | None:
        job = self.state.job(job_id)
        return job.state if job else None

    def test_repeated_submission_remains_one_job(self) -> None:
        """A caller that got no answer submits the job again."""
        self.local.submit()
        self.local.start(batch_builders.task_key())
        self.local.submit()
        self.assertIs(self._state_of(), jobs.JobState.RUNNING)

    def test_job_completes_only_when_all_steps_are_done(self) -> None:
        """Guards against steps that start too early or are left out."""
        first = batch_builders.build_step(2)
        second = batch_builders.build_step(1, depends_on=(0,))
        self.local.submit("job-1", first, second)
        job = self.state.job("job-1")
        assert job is not None
        occurrence = job.occurrences[0]
        for position in range(2):
            key = batch_builders.task_key(position=position)
            self.assertFalse(occurrence.is_ready(occurrence.steps[1]))
            self.local.start(key)
            self.local.end(key)
        self.assertTrue(occurrence.is_ready(occurrence.steps[1]))
        last = batch_builders.task_key()._replace(step=1)
        self.local.start(last)
        self.assertIs(self._state_of(), jobs.JobState.RUNNING)
        self.local.end(last)
        self.assertIs(self._state_of(), jobs.JobState.COMPLETED)

    def test_end_of_an_earlier_run_changes_nothing(self) -> None:
        """A run's end may arrive after lease expiry and a restart elsewhere."""
        key = batch_builders.task_key()
        self.local.submit()
        self.local.start(key)
        self.local.apply(commands.MarkWorkersLost(("w-1",), is_final=False))
        self.local.start(key, run=2, worker_id="w-2")
        self.local.end(key, _Ending.DONE, run=1, worker_id="w-1")
        self.assertIs(self._state_of(), jobs.JobState.RUNNING)

    def test_job_whose_start_was_lost_waits_again(self) -> None:
        """Its worker may crash or refuse before the task has begun."""
        key = batch_builders.task_key()
        self.local.submit()
        self.local.start(key)
        queue = batch_builders.QUEUE
        self.assertEqual(self.state.waiting_count(queue), 0)
        self.local.apply(commands.MarkWorkersLost(("w-1",), is_final=True))
        self.assertEqual(self.state.waiting_count(queue), 1)
        self.local.start(key, 2, "w-2")
        self.local.end(key, _Ending.REJECTED, 2, "w-2")
        self.assertEqual(self.state.waiting_count(queue), 1)
        self.local.start(key, 3, "w-2")
        self.local.end(key, _Ending.FAILED, 3, "w-2")
        self.state.restore(1, self.state.snapshot())
        self.assertEqual(self.state.waiting_count(queue), 0)

    def test_only_failed_ends_count_as_attempts(self) -> None:
        """Stops and lost workers must not make a job fail."""
        key = batch_builders.task_key()
        self.local.submit()
        endings = [_Ending.STOPPED, _Ending.LEASE_EXPIRED, _Ending.REJECTED]
        endings += [_Ending.FAILED] * 3
        for run, ending in enumerate(endings, 1):
            self.assertFalse(self.state.job("job-1").has_ended)
            self.local.start(key, run)
            self.local.end(key, ending, run)
        self.assertIs(self._state_of(), jobs.JobState.FAILED)

    def test_long_running_task_restarts_however_it_ends(self) -> None:
        """Guards against services that stay down or fail after few restarts."""
        key = batch_builders.task_key()
        step = batch_builders.build_step(long_running=True)
        self.local.submit("job-1", step)
        for run in range(1, 6):
            self.local.start(key, run)
            ending = _Ending.DONE if run % 2 else _Ending.FAILED
            self.local.end(key, ending, run)
        self.assertIs(self._state_of(), jobs.JobState.RUNNING)
        self.assertEqual(
            self.state.job("job-1").occurrences[0].steps[0].waiting, {0}
        )

    def test_one_done_member_ends_a_gang(self) -> None:
        """Guards against gang tasks that wait for members already done."""
        step = batch_builders.build_step(3, gang=True)
        self.local.submit("job-1", step)
        for position in range(3):
            self.local.start(batch_builders.task_key(position=position))
        self.local.end(batch_builders.task_key(position=1))
        self.assertIs(self._state_of(), jobs.JobState.COMPLETED)
        self.assertFalse(self.state.workers["w-1"].tasks)

    def _start_gang(self, worker_ids: tuple[str, ...]) -> None:
        self.local.apply(
            commands.StartRuns(
                tuple(
                    commands.RunStart(
                        batch_builders.task_key(position=position), 1, worker_id
                    )
                    for position, worker_id in enumerate(worker_ids)
                )
            )
        )

    def test_gang_that_lost_a_worker_before_its_start_does_not_start(
        self,
    ) -> None:
        """Guards against members that wait alone for one that can't start.

        The worker began to drain after the start was planned.
        """
        self.local.submit("job-1", batch_builders.build_step(3, gang=True))
        self.local.apply(commands.DrainWorker("w-2"))
        self._start_gang(("w-1", "w-2", "w-1"))
        self.assertFalse(self.state.workers["w-1"].tasks)
        self.assertIs(self._state_of(), jobs.JobState.QUEUED)
        self._start_gang(("w-1", "w-1", "w-1"))
        self.assertEqual(len(self.state.workers["w-1"].tasks), 3)

    def test_run_is_not_started_on_a_service_that_the_queue_has_left(
        self,
    ) -> None:
        """Guards against a start on a service by an older configuration.

        The configuration was stored after the start was planned.
        """
        self.local.submit()
        self.local.apply(
            commands.PutConfiguration(
                batch_builders.build_configuration(2, service="other")
            )
        )
        self.local.start(batch_builders.task_key())
        self.assertFalse(self.state.workers["w-1"].tasks)
        self.local.register("w-3", service="other")
        self.local.start(batch_builders.task_key(), worker_id="w-3")
        self.assertEqual(len(self.state.workers["w-3"].tasks), 1)

    def test_cancelled_job_starts_nothing_and_frees_its_worker(self) -> None:
        """A task of a cancelled job uses its worker until its end is known."""
        key = batch_builders.task_key()
        self.local.submit("job-1", batch_builders.build_step(2))
        self.local.start(key)
        self.local.apply(commands.CancelJob("job-1"))
        self.local.start(batch_builders.task_key(position=1))
        self.assertEqual(self.state.workers["w-1"].tasks, {key})
        self.local.end(key, _Ending.STOPPED)
        self.assertFalse(self.state.workers["w-1"].tasks)
        self.assertIs(self._state_of(), jobs.JobState.CANCELLED)

    def test_checkpoint_is_kept_after_a_stop(self) -> None:
        """Guards against restarts from the beginning after a stop."""
        key = batch_builders.task_key()
        self.local.submit()
        self.local.start(key)
        self.local.end(key, _Ending.STOPPED, checkpoint="saved-1")
        self.assertEqual(self.state.task(key)[2].checkpoint, "saved-1")


class WorkerTest(unittest.TestCase):
    """Tests registration, draining and the end of workers."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.state = self.local.state

    def test_heartbeat_of_another_incarnation_ends_no_worker(self) -> None:
        """A delayed heartbeat may name an incarnation that ended long ago."""
        self.local.register("w-1", instance="i")
        self.local.submit()
        self.local.start(batch_builders.task_key())
        self.local.register("w-2", instance="i")
        names = [
            worker.record.worker_id for worker in self.state.workers_on("i")
        ]
        self.assertEqual(names, ["w-1", "w-2"])
        job = self.state.job("job-1")
        self.assertEqual(job.occurrences[0].steps[0].waiting, set())

    def test_ended_incarnation_is_not_registered_again(self) -> None:
        """A heartbeat may be delayed by a partition until after the end."""
        self.local.register("w-1", instance="i")
        self.local.submit()
        self.local.start(batch_builders.task_key())
        self.local.register("w-2", instance="i")
        self.local.apply(commands.MarkWorkersLost(("w-1",), is_final=True))
        job = self.state.job("job-1")
        self.assertEqual(job.occurrences[0].steps[0].waiting, {0})
        self.local.register("w-1", instance="i")
        self.assertEqual(set(self.state.workers), {"w-2"})
        (worker,) = self.state.workers_on("i")
        self.assertEqual(worker.record.worker_id, "w-2")

    def test_draining_worker_gets_no_run_and_stays_draining(self) -> None:
        """Another heartbeat must not make a draining worker available."""
        self.local.register("w-1")
        self.local.submit()
        self.local.apply(commands.DrainWorker("w-1"))
        self.local.register("w-1")
        self.local.start(batch_builders.task_key())
        self.assertIs(
            self.state.workers["w-1"].state, worker_state.WorkerState.DRAINING
        )
        self.assertFalse(self.state.workers["w-1"].tasks)

    def test_draining_worker_stays_draining_after_its_lease_expired(
        self,
    ) -> None:
        """Guards against new tasks on a worker that was cut off and returns.

        Its draining was acknowledged before its lease expired.
        """
        self.local.register("w-1")
        self.local.submit()
        self.local.start(batch_builders.task_key())
        self.local.apply(commands.DrainWorker("w-1"))
        self.local.apply(commands.MarkWorkersLost(("w-1",), is_final=False))
        self.local.register("w-1")
        worker = self.state.workers["w-1"]
        self.assertIs(worker.state, worker_state.WorkerState.DRAINING)
        self.assertFalse(worker.tasks)


class ConfigurationTest(unittest.TestCase):
    """Tests versions and routes of the configuration."""

    def test_lower_and_equal_versions_change_nothing(self) -> None:
        """A delayed or repeated request must not revert the configuration."""
        local = batch_builders.LocalState()
        for version, latency_ms in ((5, 50), (5, 55), (4, 40)):
            configuration = batch_builders.build_configuration(
                version, latency_ms=latency_ms
            )
            local.apply(commands.PutConfiguration(configuration))
        self.assertEqual(local.state.configuration.version, 5)
        queue = local.state.queue(batch_builders.QUEUE)
        self.assertEqual(queue.latency_ms, 50)

    def test_path_is_routed_by_host_and_prefix(self) -> None:
        """Guards against jobs in a queue of another host or path."""
        local = batch_builders.LocalState()
        queue = local.state.route("hall.example", "/bids/123")
        self.assertEqual(queue.name, "bids")
        self.assertIsNone(local.state.route("hall.example", "/lots/123"))
        self.assertIsNone(local.state.route("other.example", "/bids/123"))


class SnapshotTest(unittest.TestCase):
    """Tests snapshots."""

    def test_restored_state_equals_the_original(self) -> None:
        """Guards against a snapshot that omits a part of the state."""
        local = batch_builders.LocalState()
        local.register("w-1", "w-2")
        local.submit("job-1", batch_builders.build_step(3, checkpointing=True))
        local.submit("job-2")
        for position in range(2):
            local.start(batch_builders.task_key(position=position))
        local.end(
            batch_builders.task_key(), _Ending.STOPPED, checkpoint="saved"
        )
        local.start(batch_builders.task_key(), 2, "w-2")
        local.apply(commands.CancelJob("job-2"))
        local.apply(commands.StartWave(1, ("instance-of-w-1",), 9_000, 2))
        local.apply(
            commands.RecordMaintenance(
                1, "instance-of-w-1", commands.MaintenancePhase.CHOSEN
            )
        )
        restored = state_module.BatchState()
        restored.restore(1, local.state.snapshot())
        self.assertEqual(restored.snapshot(), local.state.snapshot())
        for name in ("w-1", "w-2"):
            self.assertEqual(
                restored.workers[name].tasks, local.state.workers[name].tasks
            )
        self.assertEqual(list(restored.active_jobs), ["job-1"])


class WaveTest(unittest.TestCase):
    """Tests the effect of maintenance on an instance's workers."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.local.apply(commands.StartWave(1, ("i",), 9_000, 1))

    def _record(self, phase: commands.MaintenancePhase) -> None:
        self.local.apply(commands.RecordMaintenance(1, "i", phase))

    def test_answer_to_a_repeated_order_ends_no_later_worker(self) -> None:
        """The first order may have succeeded although its answer was lost."""
        self.local.register("w-1", instance="i")
        self._record(commands.MaintenancePhase.CHOSEN)
        self.local.register("w-2", instance="i")
        self._record(commands.MaintenancePhase.BEGUN)
        self.assertEqual(set(self.local.state.workers), {"w-2"})

    def test_begun_maintenance_ends_the_worker(self) -> None:
        """Guards against tasks that stay assigned to a worker that is down."""
        self.local.register("w-1", instance="i")
        self._record(commands.MaintenancePhase.CHOSEN)
        self.assertEqual(set(self.local.state.workers), {"w-1"})
        self._record(commands.MaintenancePhase.BEGUN)
        self.assertFalse(self.local.state.workers)
        self.assertFalse(self.local.state.waves[1].remaining)
