"""Tests of tasks that crash the workers that start them.

Load pattern: a pool runs short tasks and tasks that last, and a few tasks crash
each worker that starts them, together with all that runs beside them.
"""

import unittest

from tarragoncleat.batch import jobs
from tarragoncleat.batch import model
from tests import batch_builders
from tests import crash_fleet

_FAILED = jobs.JobState.FAILED
# The users' bound: three crashes, and no third start after them.
_MAX_RUNS = 5


class CrashingTaskTest(unittest.TestCase):
    """Tests that crashes of workers end with the task that causes them."""

    def setUp(self) -> None:
        self.fleet = crash_fleet.CrashFleet(8)
        self.guilty = batch_builders.task_key("guilty")
        self.fleet.deadly.add(self.guilty)

    def _submit_bystanders(self, count: int = 8) -> list[str]:
        names = [f"bystander-{number:02d}" for number in range(count)]
        for name in names:
            self.fleet.local.submit(name, batch_builders.build_step(2))
        return names

    def _check_guilty_is_given_up(self, key: model.TaskKey) -> None:
        self.assertIs(self.fleet.job_state(key.job_id), _FAILED)
        self.assertLessEqual(self.fleet.runs[key], _MAX_RUNS)

    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        """A lost run was uncounted, so one task crashed worker after worker."""
        self.fleet.local.submit("guilty")
        self.fleet.advance(60)
        self._check_guilty_is_given_up(self.guilty)

    def test_bystanders_complete_and_are_never_given_up(self) -> None:
        """Tasks beside the guilty one crash as often if they follow it."""
        lasting = batch_builders.build_step(3, long_running=True)
        self.fleet.local.submit("lasting", lasting)
        self.fleet.advance(1)
        names = self._submit_bystanders()
        self.fleet.local.submit("guilty")
        names += [f"later-{number}" for number in range(30)]
        for name in names[8:]:
            self.fleet.advance(0.5)
            self.fleet.local.submit(name, batch_builders.build_step(2))
        self.fleet.advance(40)
        self._check_guilty_is_given_up(self.guilty)
        for name in names:
            self.assertIs(self.fleet.job_state(name), jobs.JobState.COMPLETED)
        self.assertIs(self.fleet.job_state("lasting"), jobs.JobState.RUNNING)
        self.assertTrue(
            all(
                self.fleet.worker_of(
                    batch_builders.task_key("lasting", position)
                )
                for position in range(3)
            )
        )


if __name__ == "__main__":
    unittest.main()
