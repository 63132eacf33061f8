"""Tests of gangs whose workers are lost about when the gang is done.

The members of a gang are done together, but the leader learns of their ends and
of lost workers one by one and in any order.
"""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import state as state_module
from tests import batch_builders

_WORKERS = ("w-1", "w-2", "w-3")
_LAPSE, _CRASH, _DONE = "lapse", "crash", "done"


class GangEndTest(unittest.TestCase):
    """Tests the state of a gang with one member on each worker."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.local.register(*_WORKERS)
        step = batch_builders.build_step(len(_WORKERS), gang=True)
        self.local.submit("job-1", step)
        self._start(run=1)

    @property
    def _job(self) -> jobs.Job:
        job = self.local.state.job("job-1")
        assert job is not None
        return job

    def _start(self, run: int) -> None:
        starts = [
            commands.RunStart(batch_builders.task_key(position=index), run, row)
            for index, row in enumerate(_WORKERS)
        ]
        self.local.apply(commands.StartRuns(tuple(starts)))

    def _record(self, event: str, index: int, run: int = 1) -> None:
        """Stores what the leader has learned of a member or its worker."""
        worker_id = _WORKERS[index]
        if event == _LAPSE:
            self.local.apply(
                commands.MarkWorkersLost((worker_id,), is_final=False)
            )
        elif event == _CRASH:
            self.local.apply(commands.EndWorker(worker_id, ()))
        else:
            key = batch_builders.task_key(position=index)
            self.local.end(key, run=run, worker_id=worker_id)

    def test_gang_is_done_though_a_worker_was_lost_before(self) -> None:
        """Guards against a job that never ends, with done members (review/3).

        The lost members waited again, and a gang starts only as a whole.
        """
        for loss in (_LAPSE, _CRASH):
            for lost, sound in (((0,), 1), ((2,), 0), ((0, 1), 2)):
                with self.subTest(loss=loss, lost=lost):
                    self.setUp()
                    for index in lost:
                        self._record(loss, index)
                    self._record(_DONE, sound)
                    self.assertIs(self._job.state, jobs.JobState.COMPLETED)

    def test_end_of_an_earlier_run_leaves_a_restarted_gang_alone(self) -> None:
        """Guards against members that count as done while they run again."""
        for index in range(len(_WORKERS)):
            self._record(_LAPSE, index)
        self.local.register(*_WORKERS)
        self._start(run=2)
        self._record(_LAPSE, 0)
        self._record(_DONE, 1, run=1)
        self.assertIs(self._job.state, jobs.JobState.RUNNING)
        self._record(_DONE, 1, run=2)
        self.assertIs(self._job.state, jobs.JobState.COMPLETED)

    def test_members_start_again_from_one_checkpoint(self) -> None:
        """Guards against a gang whose members resume at different points.

        A crash saves nothing of the member on its worker, and the others save
        what they have.
        """
        keys = [
            batch_builders.task_key(position=index)
            for index in range(len(_WORKERS))
        ]
        self._record(_CRASH, 0)
        for index, checkpoint in ((1, "first"), (2, "second")):
            self.local.end(
                keys[index],
                commands.Ending.BROKEN,
                worker_id=_WORKERS[index],
                checkpoint=checkpoint,
            )
        tasks = self._job.occurrences[0].steps[0].tasks
        self.assertEqual({task.checkpoint for task in tasks}, {"second"})
        self.assertEqual(
            {task.state for task in tasks}, {jobs.TaskState.WAITING}
        )

    def test_stuck_gang_of_an_earlier_build_is_done_after_a_restart(
        self,
    ) -> None:
        """Guards against stored jobs that stay stuck after an upgrade."""
        step = self._job.occurrences[0].steps[0]
        self._record(_LAPSE, 0)
        for task in step.tasks[1:]:
            task.state = jobs.TaskState.DONE
            self.local.state.workers[task.worker_id].discard_task(task.key)
        step.done_count = len(step.tasks) - 1
        restored = state_module.BatchState()
        restored.restore(1, self.local.state.snapshot())
        job = restored.job("job-1")
        assert job is not None
        self.assertIs(job.state, jobs.JobState.COMPLETED)
        self.assertNotIn("job-1", restored.active_jobs)

    @hypothesis.given(
        events=strategies.permutations(
            list(itertools.product((_LAPSE, _CRASH, _DONE), range(3)))
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_no_order_of_events_leaves_a_part_waiting(
        self, events: list[tuple[str, int]]
    ) -> None:
        """Guards against a gang of which only a part could start again."""
        self.setUp()
        for event, index in events:
            self._record(event, index)
            tasks = self._job.occurrences[0].steps[0].tasks
            states = {task.state for task in tasks}
            self.assertFalse(
                {jobs.TaskState.DONE, jobs.TaskState.WAITING} <= states
            )
        self.assertNotIn(jobs.TaskState.RUNNING, states)


if __name__ == "__main__":
    unittest.main()
