"""Tests of the placer, the usage model and the lease bounds."""

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


class _Desk:
    """Commits what the placer decides on a fleet of one pool."""

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
        given = self.driver.apply_ok(commands.RecordJobStates((change,)))
        return bool(given.value["recorded"])

    def place(self) -> placer.Decision:
        """Decides and commits; a refusal of the fleet is an error."""
        view = self.index.refresh(self.fleet)
        fresh = fleet_view.FleetIndex().refresh(self.fleet)
        for pool_id, pool in fresh.pools.items():
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
    """Guards against oversubscription, broken quotas and a wrong order."""

    # An interruption freed more than was reserved: the learned size had grown
    # since the instance was last worked out.
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
        tolerance = profiles.Tolerance(actions=tuple(actions))
        desk = _Desk(tolerance=tolerance)
        for number, (cores, urgent, team, kind, event, used) in enumerate(
            submitted
        ):
            self._submit(desk, number, cores, urgent, team, kind)
            self._play(desk, event, used)
            decision = desk.place()
            self._check_limits(desk)
            self._check_order(desk, decision)

    def _submit(
        self,
        desk: _Desk,
        number: int,
        cores: float,
        urgent: bool,
        team: bool,
        kind: int,
    ) -> None:
        desk.submit(
            f"j{number:02}",
            cores,
            urgent=urgent,
            name=f"kind-{kind}",
            team_id=_TEAM if team else None,
            priority=number % 3,
        )

    def _play(self, desk: _Desk, event: str, used: float) -> None:
        desk.driver.time_ms += 1_000
        running = desk.placed()
        for job in running[:2]:
            if event == "finish":
                desk.set_state(job.job_id, _STATE.SUCCEEDED)
                desk.model.finish(job, job.job_id, used)
            elif event == "usage":
                desk.model.observe(job, job.job_id, used, 100)
            elif event == "throttle":
                desk.set_state(job.job_id, _STATE.RUNNING)
                desk.set_state(job.job_id, _STATE.THROTTLED)

    def _check_limits(self, desk: _Desk) -> None:
        used: collections.Counter = collections.Counter()
        team_cores = 0.0
        for job in desk.placed():
            used[job.instance_id] += round(job.occupied.cores * 1000)
            if job.team_id is not None:
                team_cores += job.demand.cores
        self.assertLessEqual(max(used.values(), default=0), 16_000)
        self.assertLessEqual(team_cores, _QUOTA.cores)

    def _check_order(self, desk: _Desk, decision: placer.Decision) -> None:
        """A waiting urgent job means that no other job took its room."""
        urgent = [n for n in decision.waiting if n.job.urgent]
        largest = jobs.Demand(16.0, 65_536)
        sizes = [desk.model.demand(n.job, largest).cores for n in urgent]
        smallest = min(sizes, default=99.0)
        if any("quota" in note.reason for note in urgent):
            return
        for item in decision.placements:
            self.assertLess(item.size.cores, smallest)

    def test_urgent_job_uses_the_mildest_interruption_that_is_enough(
        self,
    ) -> None:
        """Guards against stopping a job where a milder action gives room."""
        expected = (
            (profiles.Interruption.CHECKPOINT, 8.0),
            (profiles.Interruption.THROTTLE, 8.0),
            (profiles.Interruption.STOP, 12.0),
        )
        for first in range(3):
            actions = tuple(action for action, _ in expected[first:])
            tolerance = profiles.Tolerance(actions=actions)
            desk = _Desk(1, tolerance=tolerance)
            desk.submit("normal", 16.0)
            desk.place()
            desk.set_state("normal", _STATE.RUNNING)
            desk.submit("urgent", expected[first][1], urgent=True)
            decision = desk.place()
            self.assertEqual(
                [item.action for item in decision.interruptions],
                [expected[first][0]],
            )
            self.assertEqual(decision.placements[0].job_id, "urgent")

    def test_backfill_does_not_delay_the_first_waiting_job(self) -> None:
        """Guards against starving a large job by a stream of small ones."""
        desk = _Desk(1)
        desk.submit("running", 10.0, run_s=100.0)
        desk.place()
        desk.set_state("running", _STATE.RUNNING)
        desk.submit("large", 16.0)
        desk.driver.time_ms += 1
        desk.submit("long", 4.0, run_s=500.0)
        desk.submit("short", 4.0, run_s=50.0)
        placed = [item.job_id for item in desk.place().placements]
        self.assertEqual(placed, ["short"])

    def test_jobs_spread_and_the_rack_limit_holds(self) -> None:
        """Guards against a rack loss that takes most jobs of a service."""
        placement = profiles.Placement(max_per_rack=2)
        desk = _Desk(6, placement=placement)
        for number in range(6):
            desk.submit(f"j{number}", 1.0)
        decision = desk.place()
        racks = collections.Counter(
            desk.fleet.instances[item.instance_id].rack
            for item in decision.placements
        )
        self.assertEqual(sorted(racks.values()), [2, 2])
        self.assertEqual(len(decision.waiting), 2)

    def test_job_that_outgrew_every_instance_is_named_with_the_reason(
        self,
    ) -> None:
        """Guards against a job that waits for ever without a word."""
        desk = _Desk(1)
        desk.submit("large", 16.0)
        smaller = builders.build_instance("i0", cores=8.0)
        desk.driver.apply_ok(commands.PutInstance(smaller))
        (note,) = desk.place().unplaceable
        self.assertIn("needs 16 cores", note.reason)

    def test_wrong_sizes_are_learned_within_bounds(self) -> None:
        """Guards against one report that blows up or empties a job."""
        model = usage.UsageModel(predict_run_times=True)
        job = jobs.Job(
            ids.JobId("j"),
            ids.ServiceId("s"),
            None,
            jobs.Demand(4.0, 1000),
            60.0,
        )
        largest = jobs.Demand(16.0, 64_000)
        model.observe(job, "t0", 1_000.0, 1e9)
        self.assertEqual(model.demand(job, largest), jobs.Demand(16.0, 10_000))
        for number in range(20):
            model.observe(job, f"t{number}", 0.001, 1.0)
            model.finish(job, f"t{number}", 5.0)
        self.assertEqual(model.demand(job, largest), jobs.Demand(0.4, 100))
        self.assertEqual(model.run_s(job), 5.0)


class QuarantineTest(unittest.TestCase):
    """Guards against broken jobs that empty a pool by quarantine."""

    def test_at_most_the_stated_fraction_is_quarantined(self) -> None:
        for size, limit in ((8, 2), (3, 0)):
            desk = _Desk(size)
            streaks = quarantine.FailureStreaks(settings.ControllerSettings())
            for name in sorted(desk.fleet.instances):
                for number in range(3):
                    streaks.record(name, ids.JobId(f"j{number}"), True)
            due = list(streaks.due(desk.index.refresh(desk.fleet)))
            self.assertEqual(len(due), limit)
            for item in due:
                state = pools.InstanceState.QUARANTINED
                desk.driver.apply_ok(
                    commands.RecordInstanceState(item.instance_id, state)
                )
            view = desk.index.refresh(desk.fleet)
            self.assertEqual(list(streaks.due(view)), [])

    def test_a_success_or_the_same_job_again_is_no_streak(self) -> None:
        desk = _Desk(8)
        streaks = quarantine.FailureStreaks(settings.ControllerSettings())
        name = ids.InstanceId("i0")
        for job, failed in (("a", 1), ("a", 1), ("a", 1), ("b", 1), ("c", 0)):
            streaks.record(name, ids.JobId(job), bool(failed))
            view = desk.index.refresh(desk.fleet)
            self.assertEqual(list(streaks.due(view)), [])

    def test_streak_outlasts_a_silence_but_not_a_maintenance(self) -> None:
        """Guards against a broken worker that a short silence acquits."""
        states = pools.InstanceState
        for away, quarantined in (
            ((states.LOST, states.RETURNING, states.IN_SERVICE), True),
            ((states.QUARANTINED, states.IN_SERVICE), False),
        ):
            desk = _Desk(8)
            streaks = quarantine.FailureStreaks(settings.ControllerSettings())
            name = ids.InstanceId("i0")
            for job in ("a", "b"):
                streaks.record(name, ids.JobId(job), True)
            for state in away:
                desk.driver.apply_ok(commands.RecordInstanceState(name, state))
                view = desk.index.refresh(desk.fleet)
                self.assertEqual(list(streaks.due(view)), [])
            streaks.record(name, ids.JobId("c"), True)
            due = list(streaks.due(desk.index.refresh(desk.fleet)))
            self.assertEqual(bool(due), quarantined)


class PreemptionOrderTest(unittest.TestCase):
    """Guards against urgent work behind other work of a high standing."""

    def test_order_is_urgent_standing_priority_submission(self) -> None:
        desk = _Desk()
        desk.submit("plain", 1.0)
        desk.submit("first", 1.0, priority=5)
        desk.submit("urgent", 1.0, urgent=True)
        view = desk.index.refresh(desk.fleet)
        ordered = sorted(
            desk.fleet.jobs.values(),
            key=lambda job: preemption.order_key(view, job),
        )
        names = [job.job_id for job in ordered]
        self.assertEqual(names, ["urgent", "first", "plain"])


class _LeasedWorker:
    """A worker whose clock runs at its own offset."""

    def __init__(self, offset_ms: int) -> None:
        self.offset_ms = offset_ms
        self.until_ms = 0

    def clock_ms(self, now_s: float) -> int:
        return int(now_s * 1000) + self.offset_ms


class WorkerLeasesTest(unittest.TestCase):
    """Guards against a lease that outlives the controller's bound."""

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
        self, offset_ms: int, visits: list
    ) -> None:
        limits = settings.ControllerSettings()
        leases = worker_leases.WorkerLeases(limits, 0.0)
        worker = _LeasedWorker(offset_ms)
        name = ids.InstanceId("w")
        requested_s = 100.0
        latest_s = 0.0
        for to_worker_s, back_s, renewal_s, acknowledged in visits:
            read_s = requested_s + to_worker_s
            received_s = read_s + back_s
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

    def test_new_leader_waits_for_its_predecessor(self) -> None:
        leases = worker_leases.WorkerLeases(settings.ControllerSettings(), 50.0)
        name = ids.InstanceId("w")
        self.assertFalse(leases.has_ended(name, 50.0))
        self.assertTrue(leases.has_ended(name, 50.1))


if __name__ == "__main__":
    unittest.main()
