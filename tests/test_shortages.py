"""Tests of late work beside a service that lacks instances.

Load pattern: a queue asks for more room than the fleet has, for seconds or for
good, while jobs of other queues are late.
"""

import unittest

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.scheduling import planner
from tarragoncleat.batch.scheduling import shortages
from tarragoncleat.batch.scheduling import worker_views
from tests import batch_builders

_PLAN_INTERVAL_MS = 250
# The users look for jobs that wait beside idle workers 14 s after the end of
# their traffic.
_MAX_WAIT_MS = 14_000


class LateWorkTest(unittest.TestCase):
    """Tests when late jobs of one queue start beside a lack in another."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        first = batch_builders.build_configuration(2)
        second = batch_builders.build_configuration(
            2, name="alerts", path_prefix="/alerts/", service="alerting"
        )
        self.alerts = second.queues[0].key
        configuration = model.FleetConfiguration(
            2,
            b"{}",
            first.queues + second.queues,
            first.services
            + second.services
            + (model.ServicePolicy("spare", True, True),),
        )
        self.local.apply(commands.PutConfiguration(configuration))
        self.local.register("w-1", "w-2", "w-3", "w-4")
        self.planner = planner.Planner(self.local.state)
        self.cache = worker_views.ViewCache()

    def _submit_alerts(self, step: model.StepDefinition) -> None:
        definition = batch_builders.build_job(step)
        self.local.apply(commands.SubmitJob("lack", self.alerts, definition))

    def _plan(self) -> None:
        state = self.local.state
        views = self.cache.refresh(state, dict.fromkeys(state.workers, 0.0))
        plan = self.planner.plan(
            views,
            self.cache.changed_services,
            self.local.time_ms,
            self.cache.has_other_workers,
        )
        if plan.starts:
            self.local.apply(commands.StartRuns(tuple(plan.starts)))

    def _wait_for_start(self, key: model.TaskKey, limit_ms: int) -> int:
        """Plans until a task runs; returns how long it waited, in ms."""
        began_ms = self.local.time_ms
        while self.local.time_ms - began_ms <= limit_ms:
            self._plan()
            located = self.local.state.task(key)
            assert located is not None
            if located[2].state is jobs.TaskState.RUNNING:
                break
            self.local.time_ms += _PLAN_INTERVAL_MS
        return self.local.time_ms - began_ms

    def _submit_late_job(self, job_id: str = "late-job") -> model.TaskKey:
        self.local.submit(job_id)
        self.local.time_ms += 60_000
        return batch_builders.task_key(job_id)

    def test_late_job_starts_beside_lasting_work_beyond_all_room(self) -> None:
        """Guards against late jobs that wait for good (review/4).

        Tasks that last never become late, so their service lacks instances
        for as long as their job exists.
        """
        key = self._submit_late_job()
        self._submit_alerts(batch_builders.build_step(24, long_running=True))
        self.assertLess(self._wait_for_start(key, 20_000), _MAX_WAIT_MS)

    def test_late_job_starts_beside_a_queue_that_is_always_overloaded(
        self,
    ) -> None:
        """Guards against a queue whose new jobs starve another one."""
        key = self._submit_late_job()
        step = batch_builders.build_step(24, estimated_ms=600_000)
        self._submit_alerts(step)
        self.assertLess(self._wait_for_start(key, 20_000), _MAX_WAIT_MS)

    def test_further_late_jobs_of_the_same_lack_do_not_wait(self) -> None:
        """Guards against a wait for each job instead of for each lack."""
        first = self._submit_late_job()
        self._submit_alerts(batch_builders.build_step(24, long_running=True))
        self._wait_for_start(first, 20_000)
        second = self._submit_late_job("late-job-2")
        self.assertEqual(self._wait_for_start(second, 20_000), 0)

    def test_late_work_leaves_workers_at_the_beginning_of_a_lack(self) -> None:
        """Guards against late jobs that fill what a load peak could get."""
        key = self._submit_late_job()
        self._submit_alerts(batch_builders.build_step(24, long_running=True))
        self.assertGreater(self._wait_for_start(key, 3_000), 3_000)

    def test_late_work_gives_way_as_long_as_workers_leave(self) -> None:
        """Guards against late jobs that keep workers from a long load peak."""
        key = self._submit_late_job()
        self._submit_alerts(batch_builders.build_step(24, long_running=True))
        for worker_id in ("w-1", "w-2", "w-3"):
            self.assertGreater(self._wait_for_start(key, 3_000), 3_000)
            lost = commands.MarkWorkersLost((worker_id,), is_final=True)
            self.local.apply(lost)
        self.assertLess(self._wait_for_start(key, 20_000), _MAX_WAIT_MS)

    def test_next_lack_counts_anew(self) -> None:
        """Guards against late jobs that fill workers in each further peak."""
        clock = shortages.GiveWayClock()
        for lacking, now_ms, expected in (
            ({"alerting"}, 0, True),
            ({"alerting"}, 6_000, False),
            (set(), 7_000, False),
            ({"alerting"}, 8_000, True),
            ({"alerting", "bidding"}, 20_000, False),
            ({"bidding"}, 21_000, False),
            ({"alerting"}, 22_000, True),
        ):
            clock.update(lacking)
            gives_way = clock.gives_way("bidding", ["w-1"], now_ms)
            self.assertEqual(gives_way, expected, now_ms)

    def test_clock_that_is_set_back_prolongs_no_wait(self) -> None:
        """Guards against late jobs that wait until the old time comes again."""
        clock = shortages.GiveWayClock()
        clock.update({"alerting"})
        for now_ms, expected in (
            (100_000, True),
            (40_000, True),
            (44_000, True),
            (45_000, False),
        ):
            gives_way = clock.gives_way("bidding", ["w-1"], now_ms)
            self.assertEqual(gives_way, expected, now_ms)


if __name__ == "__main__":
    unittest.main()
