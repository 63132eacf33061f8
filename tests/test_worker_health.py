"""Tests of the detection of workers that fail tasks or hang."""

import unittest

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.workers import clients
from tarragoncleat.batch.workers import worker_health
from tests import batch_builders

_REPORT_INTERVAL_S = 0.5


class _FakeSession:
    """The part of a worker session that the health tracker uses."""

    def __init__(self) -> None:
        self.record = batch_builders.build_record()
        self.running: dict = {}


class WorkerHealthTest(unittest.TestCase):
    """Tests the detection of faulty workers and of stuck runs."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.local.register("w-1")
        self.health = worker_health.WorkerHealth()
        self.session = _FakeSession()
        self.key = batch_builders.task_key()

    def _report(self, percent: int, now_s: float, run: int = 1) -> None:
        self.session.running = {
            (self.key, run): clients.RunningTask(
                self.key, run, "", percent, 0.0
            )
        }
        self.health.record_report(self.session, self.local.state, now_s)

    def _end(self, job_id: str, ending: commands.Ending) -> None:
        key = batch_builders.task_key(job_id)
        row = commands.RunEnd(key, 1, "w-1", ending, "")
        self.health.record_end(row, 50.0)

    def test_run_without_progress_between_reports_is_stuck(self) -> None:
        """Guards against tasks that hang on a worker for ever."""
        self.local.submit()
        for now_s in (10.0, 12.0, 14.0):
            self._report(40, now_s)
        self.assertEqual(self.health.stuck_runs("w-1"), [(self.key, 1)])
        self._report(60, 15.0)
        self.assertEqual(self.health.stuck_runs("w-1"), [])

    def _run_task(
        self, duration_s: float, estimate_s: float, hangs_at: int = 101
    ) -> tuple[int, float]:
        """Plays runs of a task that starts anew each time it is stopped.

        Returns:
            How often it was stopped, and when it was done, or stopped for the
            fifth time.
        """
        step = batch_builders.build_step(estimated_ms=int(estimate_s * 1_000))
        self.local.submit("job-1", step)
        now_s, began_s, stops, percent = 10.0, 10.0, 0, 0
        while stops < 5 and percent < 100:
            now_s += _REPORT_INTERVAL_S
            progress = int(100 * (now_s - began_s) / duration_s)
            percent = min(progress, hangs_at)
            self._report(percent, now_s, run=stops + 1)
            if self.health.stuck_runs("w-1"):
                self.health.record_stuck(self.key)
                stops += 1
                began_s = now_s
        return stops, now_s - 10.0

    def test_task_of_minutes_or_hours_is_not_stuck(self) -> None:
        """Guards against a task that is stopped every few seconds, for good.

        Its percentage is a whole number, which changes seldom.
        """
        for duration_s in (600.0, 10_800.0):
            for estimate_s in (duration_s, duration_s / 2):
                with self.subTest(duration=duration_s, estimate=estimate_s):
                    self.setUp()
                    stops, _ = self._run_task(duration_s, estimate_s)
                    self.assertEqual(stops, 0)

    def test_long_task_with_a_wrong_estimate_ends_after_some_stops(
        self,
    ) -> None:
        """Guards against estimates that decide whether a task ever ends."""
        stops, _ = self._run_task(600.0, 1.0)
        self.assertIn(stops, (1, 2))

    def test_task_that_hangs_is_still_found(self) -> None:
        """Guards against a limit so long that a hanging task isn't noticed."""
        for duration_s, limit_s in ((1.0, 3.0), (600.0, 20.0)):
            with self.subTest(duration=duration_s):
                self.setUp()
                stops, end_s = self._run_task(
                    duration_s, duration_s, hangs_at=0
                )
                self.assertGreater(stops, 0)
                self.assertLess(end_s / (2**stops - 1), limit_s)

    def test_missing_reports_do_not_make_a_run_stuck(self) -> None:
        """Guards against repeated stops of tasks on an unresponsive worker.

        Without reports the last known percentage can't change, so it doesn't
        show whether the task hangs. Seen on the day trouble-1 of
        hks-auction-grid.
        """
        self.local.submit()
        self._report(40, 10.0)
        self.assertEqual(self.health.stuck_runs("w-1"), [])

    def test_long_running_tasks_are_never_stuck(self) -> None:
        """The percentage of a long-running task doesn't show its progress."""
        self.local.submit("job-1", batch_builders.build_step(long_running=True))
        for now_s in (10.0, 20.0):
            self._report(100, now_s)
        self.assertEqual(self.health.stuck_runs("w-1"), [])

    def test_failures_of_several_jobs_eject_a_worker(self) -> None:
        """A worker that fails every task would otherwise attract all work."""
        for name in ("a", "b", "c"):
            self._end(name, commands.Ending.FAILED)
        self.assertTrue(self.health.is_ejected("w-1", 51.0))
        self.assertFalse(self.health.is_ejected("w-1", 60.0))

    def test_failures_of_one_job_eject_no_worker(self) -> None:
        """A job that fails on any worker must not eject healthy ones."""
        for _ in range(6):
            self._end("a", commands.Ending.FAILED)
        self.assertFalse(self.health.is_ejected("w-1", 51.0))
