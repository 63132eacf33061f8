"""Tests of finding workers that fail or hang."""

import unittest

from tarragoncleat.batch import clients
from tarragoncleat.batch import commands
from tarragoncleat.batch import worker_health
from tests import batch_builders


class _Session:
    """What the judgement needs of a worker's session."""

    def __init__(self) -> None:
        self.record = batch_builders.build_record()
        self.running: dict = {}


class HealthTest(unittest.TestCase):
    """Guards sound workers against a bad opinion, and work against bad ones."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.local.register("w-1")
        self.health = worker_health.WorkerHealth()
        self.session = _Session()
        self.key = batch_builders.task_key()

    def _report(self, percent: int, now_s: float) -> None:
        self.session.running = {
            (self.key, 1): clients.RunningTask(self.key, 1, "", percent, 0.0)
        }
        self.health.record_report(self.session, self.local.state, now_s)

    def _end(self, job_id: str, ending: commands.Ending) -> None:
        key = batch_builders.task_key(job_id)
        row = commands.RunEnd(key, 1, "w-1", ending, "")
        self.health.record_end(row, 50.0)

    def test_task_that_stands_still_over_reports_is_stuck(self) -> None:
        self.local.submit()
        for now_s in (10.0, 12.0, 14.0):
            self._report(40, now_s)
        self.assertEqual(self.health.stuck_runs("w-1"), [(self.key, 1)])
        self._report(60, 15.0)
        self.assertEqual(self.health.stuck_runs("w-1"), [])

    def test_silence_is_not_taken_for_a_stuck_task(self) -> None:
        """Tasks on a worker that fell silent were stopped again and again.

        Seen on hks-auction-grid, trouble-1, in a story of `explain`.
        """
        self.local.submit()
        self._report(40, 10.0)
        self.assertEqual(self.health.stuck_runs("w-1"), [])

    def test_tasks_that_last_are_never_stuck(self) -> None:
        self.local.submit("job-1", batch_builders.build_step(long_running=True))
        for now_s in (10.0, 20.0):
            self._report(100, now_s)
        self.assertEqual(self.health.stuck_runs("w-1"), [])

    def test_failures_of_several_jobs_shut_a_worker(self) -> None:
        for name in ("a", "b", "c"):
            self._end(name, commands.Ending.FAILED)
        self.assertTrue(self.health.is_ejected("w-1", 51.0))
        self.assertFalse(self.health.is_ejected("w-1", 60.0))

    def test_one_hopeless_job_shuts_no_worker(self) -> None:
        for _ in range(6):
            self._end("a", commands.Ending.FAILED)
        self.assertFalse(self.health.is_ejected("w-1", 51.0))
