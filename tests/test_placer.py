"""Tests of the placer, the usage model, the quarantine and the lease bounds."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import placer
from tarragoncleat.decisions import preemption
from tarragoncleat.decisions import quarantine
from tarragoncleat.decisions import usage
from tarragoncleat.decisions import worker_leases
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import commands
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tests import builders

_STATE = jobs.JobState
_STATE_AFTER = {
    profiles.Interruption.CHECKPOINT: _STATE.CHECKPOINTED,
    profiles.Interruption.THROTTLE: _STATE.THROTTLED,
    profiles.Interruption.STOP: _STATE.QUEUED,
}
_TEAM = ids.TeamId("team")
_QUOTA = profiles.Capacity(cores=40, memory_mb=400_000)


class _PlacerHarness:
    """Commits the decisions of the placer to a fleet of one pool."""

    def __init__(self, instances: int = 3, **profile) -> None:
        self.driver = builders.FleetDriver()
        builders.populate(self.driver, instances=instances, **profile)
        team = profiles.Team(_TEAM, ids.FirmId("firm-a"), _QUOTA)
        self.driver.apply_ok(commands.PutTeam(team))
        self.fleet = self.driver.fleet
        self.model = usage.UsageModel()
        self.placer = placer.Placer(self.model)
        self.index = fleet_view.FleetIndex()

    def submit(self, job_id: str, cores: float, **fields) -> None:
        demand = jobs.Demand(cores, fields.pop("memory_mb", 100))
        job = jobs.Job(
            ids.JobId(job_id),
            ids.ServiceId("service"),
            fields.pop("team_id", None),
            demand,
            fields.pop("run_s", 60.0),
            **fields,
        )
        self.driver.apply_ok(commands.SubmitJobs((job,)), role="operator")

    def set_state(self, name: str, state: jobs.JobState) -> bool:
        job = self.fleet.jobs[ids.JobId(name)]
        change = commands.JobChange(job.job_id, job.attempt, state)
        result = self.driver.apply_ok(commands.RecordJobStates((change,)))
        return bool(result.value["recorded"])

    def place(self) -> placer.Decision:
        """Decides and commits; a rejection by the fleet is an error."""
        view = self.index.refresh(self.fleet)
        rebuilt = fleet_view.FleetIndex().refresh(self.fleet)
        for pool_id, pool in rebuilt.pools.items():
            if not _same_pool(pool, view.pools[pool_id]):
                raise AssertionError(f"stale view of {pool_id}")
        now_ms = self.driver.time_ms
        decision = self.placer.place(view, now_ms, lambda _: True)
        for item in decision.interruptions:
            if not self.set_state(item.job.job_id, _STATE_AFTER[item.action]):
                raise AssertionError(f"refused: {item}")
        placements = tuple(
            commands.JobPlacement(item.job_id, item.instance_id, item.size)
            for item in decision.placements
        )
        result = self.driver.apply_ok(commands.PlaceJobs(placements))
        if result.value["refused"]:
            raise AssertionError(f"refused at commit: {result.value}")
        return decision

    def placed(self) -> list[jobs.Job]:
        return [j for j in self.fleet.jobs.values() if j.state.holds_instance]


def _same_pool(first: fleet_view.PoolView, second: fleet_view.PoolView) -> bool:
    def content(pool: fleet_view.PoolView) -> tuple:
        active = {name: set(found) for name, found in pool.active.items()}
        return pool.instances, pool.profile, active, set(pool.waiting)

    return content(first) == content(second)


_JOBS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([0.5, 2.0, 7.5, 16.0, 17.0]),
        strategies.booleans(),
        strategies.booleans(),
        strategies.integers(0, 2),
        strategies.sampled_from(["place", "finish", "usage", "throttle"]),
        strategies.floats(0.1, 20.0),
    ),
    min_size=1,
    max_size=25,
)


class PlacerTest(unittest.TestCase):
    """Guards against placements that violate a limit or the order of jobs."""

    # An interruption freed more than was reserved, because the learned size had
    # grown since the host was last computed.
    @hypothesis.example(
        [(0.5, False, False, 0, "place", 1.0)] * 11
        + [
            (0.5, False, False, 0, "usage", 5.0),
            (7.5, False, False, 0, "place", 1.0),
            (0.5, False, False, 0, "place", 1.0),
            (2.0, True, False, 0, "usage", 12.0),
        ],
        [profiles.Interruption.CHECKPOINT],
    )
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(
        _JOBS,
        strategies.lists(
            strategies.sampled_from(profiles.Interruption), unique=True
        ),
    )
    def test_no_instance_and_no_quota_is_exceeded(
        self, submitted: list, actions: list[profiles.Interruption]
    ) -> None:
        """Guards against oversubscription, exceeded quotas and wrong order."""
        tolerance = profiles.Tolerance(actions=tuple(actions))
        harness = _PlacerHarness(tolerance=tolerance)
        for number, (cores, urgent, team, kind, event, used) in enumerate(
            submitted
        ):
            self._submit(harness, number, cores, urgent, team, kind)
            self._apply_event(harness, event, used)
            decision = harness.place()
            self._check_limits(harness)
            self._check_order(harness, decision)

    def _submit(
        self,
        harness: _PlacerHarness,
        number: int,
        cores: float,
        urgent: bool,
        team: bool,
        kind: int,
    ) -> None:
        harness.submit(
            f"j{number:02}",
            cores,
            urgent=urgent,
            name=f"kind-{kind}",
            team_id=_TEAM if team else None,
            priority=number % 3,
        )

    def _apply_event(
        self, harness: _PlacerHarness, event: str, used: float
    ) -> None:
        harness.driver.time_ms += 1_000
        running = harness.placed()
        for job in running[:2]:
            if event == "finish":
                harness.set_state(job.job_id, _STATE.SUCCEEDED)
                harness.model.record_completion(job, job.job_id, used)
            elif event == "usage":
                harness.model.record_usage(job, job.job_id, used, 100)
            elif event == "throttle":
                harness.set_state(job.job_id, _STATE.RUNNING)
                harness.set_state(job.job_id, _STATE.THROTTLED)

    def _check_limits(self, harness: _PlacerHarness) -> None:
        used: collections.Counter = collections.Counter()
        team_cores = 0.0
        for job in harness.placed():
            used[job.instance_id] += round(job.occupied.cores * 1000)
            if job.team_id is not None:
                team_cores += job.demand.cores
        self.assertLessEqual(max(used.values(), default=0), 16_000)
        self.assertLessEqual(team_cores, _QUOTA.cores)

    def _check_order(
        self, harness: _PlacerHarness, decision: placer.Decision
    ) -> None:
        """Checks that no placed job is as large as a waiting urgent job."""
        urgent = [item for item in decision.waiting if item.job.urgent]
        largest = jobs.Demand(16.0, 65_536)
        sizes = [
            harness.model.demand(item.job, largest).cores for item in urgent
        ]
        smallest = min(sizes, default=99.0)
        if any("quota" in item.reason for item in urgent):
            return
        for item in decision.placements:
            self.assertLess(item.size.cores, smallest)

    def test_urgent_job_uses_the_mildest_sufficient_interruption(
        self,
    ) -> None:
        """Guards against stopping a job where a milder action is sufficient."""
        expected = (
            (profiles.Interruption.CHECKPOINT, 8.0),
            (profiles.Interruption.THROTTLE, 8.0),
            (profiles.Interruption.STOP, 12.0),
        )
        for first in range(3):
            actions = tuple(action for action, _ in expected[first:])
            tolerance = profiles.Tolerance(actions=actions)
            harness = _PlacerHarness(1, tolerance=tolerance)
            harness.submit("normal", 16.0)
            harness.place()
            harness.set_state("normal", _STATE.RUNNING)
            harness.submit("urgent", expected[first][1], urgent=True)
            decision = harness.place()
            self.assertEqual(
                [item.action for item in decision.interruptions],
                [expected[first][0]],
            )
            self.assertEqual(decision.placements[0].job_id, "urgent")

    def test_backfill_does_not_delay_the_first_waiting_job(self) -> None:
        """Guards against a large job starved by a stream of small ones."""
        harness = _PlacerHarness(1)
        harness.submit("running", 10.0, run_s=100.0)
        harness.place()
        harness.set_state("running", _STATE.RUNNING)
        harness.submit("large", 16.0)
        harness.driver.time_ms += 1
        harness.submit("long", 4.0, run_s=500.0)
        harness.submit("short", 4.0, run_s=50.0)
        placed = [item.job_id for item in harness.place().placements]
        self.assertEqual(placed, ["short"])

    def test_jobs_spread_and_the_rack_limit_holds(self) -> None:
        """Guards against a rack loss that takes most jobs of a service."""
        placement = profiles.Placement(max_per_rack=2)
        harness = _PlacerHarness(6, placement=placement)
        for number in range(6):
            harness.submit(f"j{number}", 1.0)
        decision = harness.place()
        racks = collections.Counter(
            harness.fleet.instances[item.instance_id].rack
            for item in decision.placements
        )
        self.assertEqual(sorted(racks.values()), [2, 2])
        self.assertEqual(len(decision.waiting), 2)

    def test_job_larger_than_every_instance_is_unplaceable(
        self,
    ) -> None:
        """Guards against a job that waits forever without a reason."""
        harness = _PlacerHarness(1)
        harness.submit("large", 16.0)
        smaller = builders.build_instance("i0", cores=8.0)
        harness.driver.apply_ok(commands.PutInstance(smaller))
        (unplaced,) = harness.place().unplaceable
        self.assertIn("needs 16 cores", unplaced.reason)

    def test_wrong_sizes_are_learned_within_bounds(self) -> None:
        """Guards against reports that make a job's size huge or zero."""
        model = usage.UsageModel(predict_run_times=True)
        job = jobs.Job(
            ids.JobId("j"),
            ids.ServiceId("s"),
            None,
            jobs.Demand(4.0, 1000),
            60.0,
        )
        largest = jobs.Demand(16.0, 64_000)
        model.record_usage(job, "t0", 1_000.0, 1e9)
        self.assertEqual(model.demand(job, largest), jobs.Demand(16.0, 10_000))
        for number in range(20):
            model.record_usage(job, f"t{number}", 0.001, 1.0)
            model.record_completion(job, f"t{number}", 5.0)
        self.assertEqual(model.demand(job, largest), jobs.Demand(0.4, 100))
        self.assertEqual(model.expected_run_s(job), 5.0)


class QuarantineTest(unittest.TestCase):
    """Guards against missing and unjustified quarantines."""

    def test_at_most_the_stated_fraction_is_quarantined(self) -> None:
        """Guards against a pool emptied by jobs that fail on every worker."""
        for size, limit in ((8, 2), (3, 0)):
            harness = _PlacerHarness(size)
            streaks = quarantine.FailureStreaks(settings.ControllerSettings())
            for name in sorted(harness.fleet.instances):
                for number in range(3):
                    streaks.record(name, ids.JobId(f"j{number}"), True)
            due = list(
                streaks.instances_to_quarantine(
                    harness.index.refresh(harness.fleet)
                )
            )
            self.assertEqual(len(due), limit)
            for item in due:
                state = pools.InstanceState.QUARANTINED
                harness.driver.apply_ok(
                    commands.RecordInstanceState(item.instance_id, state)
                )
            view = harness.index.refresh(harness.fleet)
            self.assertEqual(list(streaks.instances_to_quarantine(view)), [])

    def test_success_ends_a_streak_and_a_repeated_job_counts_once(self) -> None:
        """Guards against a quarantine because of one faulty job."""
        harness = _PlacerHarness(8)
        streaks = quarantine.FailureStreaks(settings.ControllerSettings())
        name = ids.InstanceId("i0")
        for job, failed in (("a", 1), ("a", 1), ("a", 1), ("b", 1), ("c", 0)):
            streaks.record(name, ids.JobId(job), bool(failed))
            view = harness.index.refresh(harness.fleet)
            self.assertEqual(list(streaks.instances_to_quarantine(view)), [])

    def test_streak_survives_a_loss_but_not_a_quarantine(self) -> None:
        """Guards against a broken worker whose streak ends with a loss."""
        states = pools.InstanceState
        for path, quarantined in (
            ((states.LOST, states.RETURNING, states.IN_SERVICE), True),
            ((states.QUARANTINED, states.IN_SERVICE), False),
        ):
            harness = _PlacerHarness(8)
            streaks = quarantine.FailureStreaks(settings.ControllerSettings())
            name = ids.InstanceId("i0")
            for job in ("a", "b"):
                streaks.record(name, ids.JobId(job), True)
            for state in path:
                harness.driver.apply_ok(
                    commands.RecordInstanceState(name, state)
                )
                view = harness.index.refresh(harness.fleet)
                self.assertEqual(
                    list(streaks.instances_to_quarantine(view)), []
                )
            streaks.record(name, ids.JobId("c"), True)
            due = list(
                streaks.instances_to_quarantine(
                    harness.index.refresh(harness.fleet)
                )
            )
            self.assertEqual(bool(due), quarantined)


class PreemptionOrderTest(unittest.TestCase):
    """Guards against urgent jobs behind other jobs of a high standing."""

    def test_order_is_urgent_standing_priority_submission(self) -> None:
        """Guards against a changed precedence of the sort criteria."""
        harness = _PlacerHarness()
        harness.submit("plain", 1.0)
        harness.submit("first", 1.0, priority=5)
        harness.submit("urgent", 1.0, urgent=True)
        view = harness.index.refresh(harness.fleet)
        ordered = sorted(
            harness.fleet.jobs.values(),
            key=lambda job: preemption.placement_order(view, job),
        )
        names = [job.job_id for job in ordered]
        self.assertEqual(names, ["urgent", "first", "plain"])


class _LeasedWorker:
    """A worker whose clock has a constant offset."""

    def __init__(self, offset_ms: int) -> None:
        self.offset_ms = offset_ms
        self.until_ms = 0

    def clock_ms(self, now_s: float) -> int:
        return int(now_s * 1000) + self.offset_ms


class WorkerLeasesTest(unittest.TestCase):
    """Guards against leases outside of the controller's bounds."""

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(
        strategies.integers(-(10**9), 10**9),
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 2),
                strategies.floats(0, 2),
                strategies.floats(0, 30),
                strategies.booleans(),
            ),
            min_size=1,
            max_size=8,
        ),
    )
    def test_delayed_renewals_stay_within_the_bounds(
        self, offset_ms: int, renewals: list
    ) -> None:
        """Guards against a delayed renewal that extends a lease too far."""
        limits = settings.ControllerSettings()
        leases = worker_leases.WorkerLeases(limits, 0.0)
        worker = _LeasedWorker(offset_ms)
        name = ids.InstanceId("w")
        requested_s = 100.0
        latest_s = 0.0
        for request_s, response_s, renewal_s, acknowledged in renewals:
            read_s = requested_s + request_s
            received_s = read_s + response_s
            until_ms = leases.begin_renewal(
                name, worker.clock_ms(read_s), received_s
            )
            arrived_s = received_s + renewal_s
            if worker.clock_ms(arrived_s) < until_ms:
                worker.until_ms = max(worker.until_ms, until_ms)
                latest_s = max(latest_s, (until_ms - offset_ms) / 1000)
            if acknowledged:
                leases.confirm_renewal(name, requested_s, 1)
                held_until_s = requested_s + 2.49
                if leases.is_held(name, 1, held_until_s):
                    lease_end_s = (until_ms - offset_ms) / 1000
                    self.assertGreaterEqual(lease_end_s, held_until_s)
            self.assertFalse(leases.has_ended(name, latest_s))
            requested_s = received_s + 0.1

    def test_new_leader_waits_for_the_previous_leases(self) -> None:
        """Guards against ignored leases of the previous leader."""
        leases = worker_leases.WorkerLeases(settings.ControllerSettings(), 50.0)
        name = ids.InstanceId("w")
        self.assertFalse(leases.has_ended(name, 50.0))
        self.assertTrue(leases.has_ended(name, 50.1))


if __name__ == "__main__":
    unittest.main()
