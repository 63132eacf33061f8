"""Tests of reports that list only the first of many ended runs.

A worker that was cut off for seconds may have hundreds of ends to report, and
lists them in parts.
"""

import unittest

import anyio

from fleet_adapter import worker_client
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.workers import clients
from tests import batch_builders
from tests import dispatcher_rig

_TASKS = 8
_LISTED = 3


class CutReportTest(dispatcher_rig.DispatcherTestCase):
    """Tests what a leader concludes from a report that is cut."""

    def setUp(self) -> None:
        super().setUp()
        self.worker.max_listed_ends = _LISTED
        self.keys = [
            batch_builders.task_key("job-1", index) for index in range(_TASKS)
        ]
        self.step = batch_builders.build_step(_TASKS, cpu_millicores=10)

    async def _wait_for_completion(self) -> None:
        with anyio.move_on_after(5):
            await dispatcher_rig.wait_until(
                lambda: self.job_state() is jobs.JobState.COMPLETED
            )

    def test_runs_whose_ends_are_not_listed_yet_start_no_second_time(
        self,
    ) -> None:
        """Guards against second runs of tasks that are done (review/2).

        They were neither running nor among the ends that the report listed.
        """

        async def scenario() -> None:
            self.local.submit("job-1", self.step)
            await dispatcher_rig.wait_until(
                lambda: len(self.worker.running) == _TASKS
            )
            # A report with all runs comes first.
            await anyio.sleep(0.1)
            for key in self.keys:
                self.worker.end(key)
            await self._wait_for_completion()

        self.run_scenario(scenario)
        self.assertEqual({order.run for order in self.worker.starts}, {1})
        self.assertIs(self.job_state(), jobs.JobState.COMPLETED)

    def test_next_leader_sends_no_starts_for_them_either(self) -> None:
        """Guards against hundreds of starts that the worker must refuse."""
        self.local.submit("job-1", self.step)
        for key in self.keys:
            self.local.start(key)
            self.worker.running[(key, 1)] = batch_builders.FakeRun()
            self.worker.end(key)
        self.run_scenario(self._wait_for_completion, term=2)
        self.assertEqual(self.worker.starts, [])
        self.assertIs(self.job_state(), jobs.JobState.COMPLETED)

    def test_run_that_is_really_missing_starts_again_after_the_rest(
        self,
    ) -> None:
        """Guards against a task that waits for an end that never comes."""

        async def scenario() -> None:
            self.local.submit("job-1", self.step)
            await dispatcher_rig.wait_until(
                lambda: len(self.worker.running) == _TASKS
            )
            await anyio.sleep(0.1)
            del self.worker.running[(self.keys[-1], 1)]
            for key in self.keys[:-1]:
                self.worker.end(key)
            await dispatcher_rig.wait_until(
                lambda: (self.keys[-1], 2) in self.worker.running
            )

        self.run_scenario(scenario)

    def test_cancelled_job_is_stopped_beside_a_cut_report(self) -> None:
        """Guards against a run that goes on until all ends are listed."""
        self.local.submit("job-2")
        self.local.apply(commands.CancelJob("job-2"))
        cancelled = batch_builders.task_key("job-2")
        self.worker.running[(cancelled, 1)] = batch_builders.FakeRun()
        self.local.submit("job-1", self.step)
        for key in self.keys:
            self.local.start(key)
            self.worker.running[(key, 1)] = batch_builders.FakeRun()
            self.worker.end(key)
        self.run_scenario(self._wait_for_completion, term=2)
        self.assertEqual([stop.task for stop in self.worker.stops], [cancelled])


class DecodedReportTest(unittest.TestCase):
    """Tests how the adapter tells that a report is cut."""

    def _decode(self, count: int) -> clients.WorkerReport:
        rows = [
            [number, f"job-1.0.0.{number}", 1, "done", ""]
            for number in range(1, count + 1)
        ]
        fields = {"clock-ms": 1, "running-tasks": [], "ended": rows}
        report = worker_client._decode_report(fields)
        assert report is not None
        return report

    def test_full_list_of_ends_counts_as_cut(self) -> None:
        """Guards against ends beyond the 500 that a report may list."""
        self.assertTrue(self._decode(0).lists_all_ends)
        self.assertTrue(self._decode(499).lists_all_ends)
        self.assertFalse(self._decode(500).lists_all_ends)


if __name__ == "__main__":
    unittest.main()
