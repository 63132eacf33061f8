"""Tests of workers that are taken away at short notice.

Load pattern: all instances of a hall drain at once while their tasks run, and
are gone 2 s later; the tasks must end or go on elsewhere, not be lost.
"""

import unittest
import unittest.mock

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.workers import clients
from tarragoncleat.batch.workers import departures
from tarragoncleat.kernel import timer as timer_module
from tests import batch_builders
from tests import dispatcher_rig

_NOTICE_MS = 2_000
_NOW_S = 100.0


class UnfinishableRunsTest(unittest.TestCase):
    """Guards against lost runs, and against stopping runs that would end."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.local.register("w-1")
        self.departures = departures.Departures()

    def _stops(
        self,
        percent: int,
        elapsed_s: float | None = None,
        has_notice: bool = True,
        **step: object,
    ) -> bool:
        """Whether a run is stopped when the notice arrives."""
        values = {"estimated_ms": 4_000, **step}
        self.local.submit("job-1", batch_builders.build_step(1, **values))
        key = batch_builders.task_key("job-1")
        self.local.start(key)
        session = unittest.mock.Mock()
        session.record = batch_builders.build_record()
        session.reported_s = _NOW_S
        session.started_s.return_value = (
            None if elapsed_s is None else _NOW_S - elapsed_s
        )
        session.running = {
            (key, 1): clients.RunningTask(key, 1, "", percent, 0)
        }
        if has_notice:
            self.departures.record_notice("w-1", _NOTICE_MS, _NOW_S)
        runs = self.departures.unfinishable_runs(
            session, self.local.state, _NOW_S
        )
        return list(runs) == [(key, 1)]

    def test_run_that_would_be_lost_is_stopped(self) -> None:
        """Guards against a job that waits until the loss is noticed."""
        self.assertTrue(self._stops(percent=20))

    def test_run_that_ends_in_time_goes_on(self) -> None:
        """Guards against work thrown away by a needless stop."""
        self.assertFalse(self._stops(percent=60))

    def test_observed_speed_overrides_a_wrong_estimate(self) -> None:
        """Guards against estimates that are wrong by a factor of two."""
        # 40% in 0.8 s: the run needs 1.2 s more, not 2.4 s.
        self.assertFalse(self._stops(percent=40, elapsed_s=0.8))

    def test_slow_run_is_stopped_although_its_estimate_is_short(self) -> None:
        """Guards against a slow worker whose runs are lost at its end."""
        self.assertTrue(
            self._stops(percent=40, elapsed_s=4.0, estimated_ms=1_000)
        )

    def test_without_notice_only_long_running_tasks_are_stopped(self) -> None:
        """Guards against stops on workers that stay as long as needed."""
        self.assertFalse(self._stops(percent=0, has_notice=False))

    def test_long_running_tasks_are_stopped_at_once(self) -> None:
        """Guards against a service whose tasks wait for the worker's end."""
        self.assertTrue(
            self._stops(percent=100, has_notice=False, long_running=True)
        )

    def test_members_of_a_gang_go_on(self) -> None:
        """Guards against a stop of one member, which ends all others."""
        self.assertFalse(self._stops(percent=0, gang=True))


class ShortNoticeTest(unittest.TestCase):
    """Guards against work that stalls when a hall is taken away."""

    def test_runs_resume_elsewhere_from_their_checkpoints(self) -> None:
        """Guards against progress that is lost with the worker."""
        local = batch_builders.LocalState()
        leaving = batch_builders.FakeWorker(batch_builders.build_record("w-1"))
        staying = batch_builders.FakeWorker(batch_builders.build_record("w-2"))
        local.register("w-1")
        local.submit(
            "job-1",
            batch_builders.build_step(
                1, estimated_ms=10_000, checkpointing=True
            ),
        )
        key = batch_builders.task_key("job-1")

        dispatcher, _ = batch_builders.build_dispatcher(
            local, [leaving, staying], timer_module.TimerService()
        )

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: leaving.running)
            run = next(iter(leaving.running.values()))
            run.checkpoint, run.percent = "saved", 30
            local.register("w-2")
            local.apply(commands.DrainWorker("w-1"))
            dispatcher.record_departure("w-1", _NOTICE_MS)
            await dispatcher_rig.wait_until(lambda: staying.running)

        dispatcher_rig.run_beside(dispatcher, scenario)
        self.assertEqual(staying.starts[0].checkpoint, "saved")
        located = local.state.task(key)
        assert located is not None
        self.assertIs(located[2].state, jobs.TaskState.RUNNING)
        self.assertEqual(located[2].worker_id, "w-2")


if __name__ == "__main__":
    unittest.main()
