"""Tests what is concluded from runs of which it isn't known that they began.

A start is stored before it is sent. Its worker may crash under another task
before the order arrives, or under this one before the answer does.
"""

import unittest

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import crashes
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import model
from tests import batch_builders

_FAILED = jobs.JobState.FAILED
# The users' bound: three crashes, and no third start after them.
_MAX_RUNS = 5


class ConfirmedRunsTest(unittest.TestCase):
    """Tests how crashes under confirmed and other runs count."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.workers = [f"w-{number}" for number in range(1, 8)]
        self.local.register(*self.workers)

    def _submit(self, job_id: str, count: int = 1, **fields: bool) -> None:
        self.local.submit(job_id, batch_builders.build_step(count, **fields))

    def _crash(
        self, run: int, *keys: model.TaskKey, is_confirmed: bool = True
    ) -> None:
        """Starts tasks together on the next worker, which crashes."""
        worker_id = self.workers.pop(0)
        for key in keys:
            self.local.start(key, run, worker_id)
        if is_confirmed:
            confirmed = tuple(commands.ConfirmedRun(key, run) for key in keys)
            self.local.apply(commands.EndWorker(worker_id, confirmed))
        else:
            lost = commands.MarkWorkersLost((worker_id,), is_final=True)
            self.local.apply(lost)

    def _job_state(self, job_id: str) -> jobs.JobState:
        job = self.local.state.job(job_id)
        assert job is not None
        return job.state

    def test_start_that_never_began_is_no_proof(self) -> None:
        """A start was stored 2 ms before its worker crashed under another task.

        Seen on hks-auction-grid, deadly-task-leader-killed with seed 1: the
        next crash, the first one under the job, gave it up.
        """
        self._submit("job", 3)
        self._submit("other")
        keys = [batch_builders.task_key("job", number) for number in range(3)]
        other = batch_builders.task_key("other")
        self._crash(1, other, *keys, is_confirmed=False)
        self._crash(2, *keys)
        self.assertIs(self._job_state("job"), jobs.JobState.RUNNING)
        self.local.state.restore(1, self.local.state.snapshot())
        self._crash(3, *keys)
        self.assertIs(self._job_state("job"), _FAILED)

    def test_last_start_that_began_is_the_first_suspect(self) -> None:
        """One stored after it, and not begun, drew the suspicion from it."""
        keys = []
        for job_id in ("early", "guilty", "late"):
            self._submit(job_id)
            keys.append(batch_builders.task_key(job_id))
            self.local.start(keys[-1], 1, "w-1")
            self.local.time_ms += 10
        confirmed = tuple(commands.ConfirmedRun(key, 1) for key in keys[:2])
        self.local.apply(commands.EndWorker("w-1", confirmed))
        self.assertEqual(
            [self._suspicion(key) for key in keys],
            [
                crashes.Suspicion.POSSIBLE,
                crashes.Suspicion.PROBABLE,
                # Its answer may have been lost with the worker.
                crashes.Suspicion.PROBABLE,
            ],
        )

    def _suspicion(self, key: model.TaskKey) -> crashes.Suspicion:
        located = self.local.state.task(key)
        assert located is not None
        return crashes.suspicion(located[2])

    def test_lost_answers_dont_keep_a_guilty_task(self) -> None:
        """Its worker may always crash before the answer to the start."""
        self._submit("job")
        key = batch_builders.task_key("job")
        for run in range(1, _MAX_RUNS + 1):
            self.assertIsNot(self._job_state("job"), _FAILED)
            self._crash(run, key, is_confirmed=False)
        self.assertIs(self._job_state("job"), _FAILED)

    def test_run_that_may_have_ended_with_its_lease_is_no_proof(self) -> None:
        """A worker that was cut off may have crashed after its tasks."""
        self._submit("job")
        key = batch_builders.task_key("job")
        worker_id = self.workers.pop(0)
        self.local.start(key, 1, worker_id)
        lapsed = commands.MarkWorkersLost((worker_id,), is_final=False)
        self.local.apply(lapsed)
        confirmed = (commands.ConfirmedRun(key, 1),)
        self.local.apply(commands.EndWorker(worker_id, confirmed))
        self._crash(2, key)
        self.assertIs(self._job_state("job"), jobs.JobState.RUNNING)

    def test_evidence_of_an_earlier_run_is_no_proof(self) -> None:
        """The command may be applied after the task has started again."""
        self._submit("job")
        key = batch_builders.task_key("job")
        for run in (1, 2):
            worker_id = self.workers.pop(0)
            self.local.start(key, run, worker_id)
            confirmed = (commands.ConfirmedRun(key, run - 1),)
            self.local.apply(commands.EndWorker(worker_id, confirmed))
        self.assertIs(self._job_state("job"), jobs.JobState.RUNNING)

    def test_task_that_crashed_beside_another_is_not_enough(self) -> None:
        """Either may have caused the last crash, and one is new to it.

        Both are of one job and had a worker to themselves.
        """
        self._submit("job", 2)
        keys = [batch_builders.task_key("job", number) for number in range(2)]
        self._crash(1, keys[0])
        self._crash(2, *keys)
        self.assertIs(self._job_state("job"), jobs.JobState.RUNNING)
        self._crash(3, *keys)
        self.assertIs(self._job_state("job"), _FAILED)

    def test_lasting_tasks_are_not_given_up_for_each_other(self) -> None:
        """Of two that crashed together each time, one goes on serving."""
        self._submit("job", 2, long_running=True)
        keys = [batch_builders.task_key("job", number) for number in range(2)]
        for run in (1, 2, 3):
            self._crash(run, *keys)
        self.assertEqual(self._waiting(), {0, 1})
        self._crash(4, keys[0])
        self.assertEqual(self._waiting(), {1})

    def _waiting(self) -> set[int]:
        job = self.local.state.job("job")
        assert job is not None
        return job.occurrences[0].steps[0].waiting


if __name__ == "__main__":
    unittest.main()
