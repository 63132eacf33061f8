"""Tests of the losses of instances under jobs of the product's entries."""

import unittest

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import placer
from tarragoncleat.decisions import usage
from tarragoncleat.kernel import ids
from tarragoncleat.state import commands
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tests import builders

_STATE = jobs.JobState
_HOUR_MS = 3_600_000
# No job is placed again after as many losses.
_MAX_LOSSES = 8


class JobLossesTest(unittest.TestCase):
    """Tests when losses of instances end a job."""

    def setUp(self) -> None:
        self.driver = builders.FleetDriver()
        builders.populate(self.driver, instances=6)
        self.fleet = self.driver.fleet
        self.submit("job")

    def submit(self, name: str, cores: float = 2.0) -> None:
        """Submits a job."""
        job = jobs.Job(
            ids.JobId(name),
            ids.ServiceId("service"),
            None,
            jobs.Demand(cores, 100),
            60.0,
        )
        self.driver.apply_ok(commands.SubmitJobs((job,)), role="operator")

    def job(self, name: str = "job") -> jobs.Job:
        """Returns a job."""
        return self.fleet.jobs[ids.JobId(name)]

    def place(self, name: str, instance: str) -> None:
        """Places a job."""
        placement = commands.JobPlacement(
            ids.JobId(name), ids.InstanceId(instance)
        )
        self.driver.apply_ok(commands.PlaceJobs((placement,)))

    def change(
        self, state: jobs.JobState, *names: str, crashed: bool = False
    ) -> None:
        """Records a state of jobs."""
        changes = tuple(
            commands.JobChange(
                ids.JobId(name), self.job(name).attempt, state, "seen", crashed
            )
            for name in names
        )
        self.driver.apply_ok(commands.RecordJobStates(changes))

    def crash(self, instance: str, *names: str, run_ms: int = 1_000) -> None:
        """Lets a worker crash that runs jobs."""
        for name in names:
            self.place(name, instance)
        self.change(_STATE.RUNNING, *names)
        self.driver.time_ms += run_ms
        self.change(_STATE.QUEUED, *names, crashed=True)

    def test_job_that_crashed_three_instances_alone_is_given_up(self) -> None:
        """Nothing counted the instances that one job took down."""
        for instance in ("i0", "i0", "i1"):
            self.crash(instance, "job")
        self.fleet.restore(self.driver.index, self.fleet.snapshot())
        self.assertIs(self.job().state, _STATE.QUEUED)
        self.crash("i2", "job")
        self.assertIs(self.job().state, _STATE.FAILED)
        self.assertIn("given up: 4 instances", self.job().reason)
        self.assertFalse(self.fleet.losses)

    def test_crashes_in_company_end_a_job_only_at_the_bound(self) -> None:
        """Either may be guilty, also of a job that hasn't begun."""
        self.submit("other")
        self.submit("placed")
        self.place("placed", "i0")
        self.crash("i0", "job")
        for number in range(_MAX_LOSSES - 2):
            self.crash(f"i{1 + number % 3}", "job", "other")
        self.assertIs(self.job().state, _STATE.QUEUED)
        self.crash("i4", "job", "other")
        self.assertIs(self.job().state, _STATE.FAILED)
        self.assertIs(self.job("other").state, _STATE.QUEUED)

    def test_silent_instances_are_weak_evidence(self) -> None:
        """A worker that is cut off is lost as well, without its job's fault."""
        lost = pools.InstanceState.LOST
        for number in range(_MAX_LOSSES):
            self.assertIs(self.job().state, _STATE.QUEUED)
            instance = f"i{number % 6}"
            for state in (
                pools.InstanceState.RETURNING,
                pools.InstanceState.IN_SERVICE,
            ):
                if number >= 6:
                    self._record(instance, state)
            self.place("job", instance)
            self._record(instance, lost)
        self.assertIs(self.job().state, _STATE.FAILED)

    def _record(self, instance: str, state: pools.InstanceState) -> None:
        self.driver.apply_ok(
            commands.RecordInstanceState(
                ids.InstanceId(instance), state, "seen"
            )
        )

    def test_long_run_clears_a_job(self) -> None:
        """Machines fail in the life of a job that runs for days."""
        for number in range(12):
            self.crash(f"i{number % 6}", "job", run_ms=_HOUR_MS)
        self.assertIs(self.job().state, _STATE.QUEUED)

    def test_suspect_gets_an_instance_to_itself(self) -> None:
        """Beside others it would take them down, and prove nothing."""
        self.submit("other")
        self.crash("i0", "job", "other")
        self._place_all()
        self.submit("new", 1.0)
        self._place_all()
        instance = self.job().instance_id
        assert instance is not None
        self.assertEqual(list(self.fleet.jobs_on(instance)), ["job"])
        self.assertIs(self.job("new").state, _STATE.PLACED)

    def test_suspects_of_a_power_loss_do_not_fill_the_pool(self) -> None:
        """With an instance for each, most jobs would wait for a minute."""
        names = [f"job-{number:02d}" for number in range(10)]
        for number, name in enumerate(names):
            self.submit(name, 8.0)
            self.crash(f"i{number % 6}", name)
        self._place_all()
        for name in names:
            self.assertIs(self.job(name).state, _STATE.PLACED)

    def test_suspect_is_placed_where_no_instance_is_vacant(self) -> None:
        """It must not wait for ever in a pool that is always in use."""
        self.crash("i0", "job")
        for number in range(6):
            self.submit(f"other-{number}")
            self.place(f"other-{number}", f"i{number}")
        self._place_all()
        self.assertIs(self.job().state, _STATE.PLACED)

    def _place_all(self) -> None:
        view = fleet_view.FleetIndex().refresh(self.fleet)
        decision = placer.Placer(usage.UsageModel()).place(
            view, self.driver.time_ms, lambda _: True
        )
        for item in decision.placements:
            self.place(item.job_id, item.instance_id)


if __name__ == "__main__":
    unittest.main()
