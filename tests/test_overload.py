"""Tests of what callers get while there is too little room for all.

Each load is a seeded list of arrivals that drives the planner on a manual
clock, once in the order without overload control and once with it.
"""

import asyncio
import functools
import unittest

import msgpack

from fleet_adapter import http_messages
from tarragoncleat.batch.leader import admission
from tarragoncleat.batch.leader import job_service
from tarragoncleat.batch.pools import pool_sizing
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.scheduling import job_order
from tarragoncleat.batch.scheduling import overload
from tarragoncleat.batch.scheduling import ready_steps
from tarragoncleat.cluster import messages as cluster_messages
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tests import batch_builders
from tests import load_builders

_SEEDS = (1, 2, 3, 4)
_HOST = batch_builders.QUEUE.host
# Three objectives, after which a result is of no use.
_USEFUL = 3.0


class _Pooled:
    """The results of one load over all seeds, in both orders."""

    def __init__(self, build: load_builders.Builder, workers: int) -> None:
        self.before, self.after = (
            [
                load_builders.play(build(seed), workers, controls_overload)
                for seed in _SEEDS
            ]
            for controls_overload in (False, True)
        )


def _in_time(results: list[load_builders.LoadResult]) -> int:
    return sum(result.in_time for result in results)


def _share(
    results: list[load_builders.LoadResult],
    kind: str = "",
    objectives: float = 1.0,
) -> float:
    """Returns the share of a kind's jobs, or of all, that ended in time."""
    wanted = [
        (result, [job for job in result.arrivals if kind in ("", job.kind)])
        for result in results
    ]
    served = sum(
        result.share(of_kind, objectives) * len(of_kind)
        for result, of_kind in wanted
    )
    return served / sum(len(of_kind) for _, of_kind in wanted)


def _share_of_largest(results: list[load_builders.LoadResult]) -> float:
    largest = [result.largest_tenth for result in results]
    served = sum(
        result.share(jobs_, _USEFUL) * len(jobs_)
        for result, jobs_ in zip(results, largest, strict=True)
    )
    return served / sum(map(len, largest))


class LoadTest(unittest.TestCase):
    """Guards against an order that costs callers more than it has to."""

    def _check_largest(self, results: list[load_builders.LoadResult]) -> None:
        """Checks that large jobs are served half as often as all, at least."""
        share = _share_of_largest(results)
        self.assertGreaterEqual(share, _share(results, "", _USEFUL) / 2)

    def test_peak_of_five_times_the_mean(self) -> None:
        """Load: a queue asks five times the usual for 10 s, then less again.

        That is more than twice what its workers can do. Guards against large
        jobs that take the room of many small ones.
        """
        load = _Pooled(_peak, workers=4)
        self.assertGreaterEqual(
            _in_time(load.after), 1.1 * _in_time(load.before)
        )
        self.assertGreaterEqual(
            _share(load.after, "", _USEFUL),
            1.1 * _share(load.before, "", _USEFUL),
        )
        self._check_largest(load.after)

    def test_peak_that_does_not_end(self) -> None:
        """Load: more than twice what the workers can do, to the end.

        Guards against newest first serving few, and smallest first starving
        large jobs.
        """
        load = _Pooled(_endless_peak, workers=4)
        self.assertGreaterEqual(
            _in_time(load.after), 1.2 * _in_time(load.before)
        )
        self._check_largest(load.after)

    def test_two_kinds_of_one_priority(self) -> None:
        """Load: a peak of wide and of narrow jobs that share a service.

        Guards against one kind that pays for the other.
        """
        load = _Pooled(_two_kinds, workers=4)
        self.assertGreaterEqual(_in_time(load.after), _in_time(load.before))
        worst_before, worst_after = (
            min(_share(results, kind, _USEFUL) for kind in ("wide", "narrow"))
            for results in (load.before, load.after)
        )
        self.assertGreaterEqual(worst_after, 0.95 * worst_before)
        self._check_largest(load.after)

    def test_urgent_burst_over_wide_jobs(self) -> None:
        """Load: small jobs of the highest priority burst into wide ones.

        Guards against urgent callers who wait for the next steps of jobs that
        are less urgent.
        """
        load = _Pooled(_urgent_burst, workers=6)
        self.assertGreaterEqual(_share(load.after, "urgent"), 0.99)
        self.assertGreaterEqual(_in_time(load.after), _in_time(load.before))
        self.assertGreaterEqual(
            _share(load.after, "wide", _USEFUL),
            _share(load.before, "wide", _USEFUL),
        )

    def test_long_tails(self) -> None:
        """Load: 3 in 100 tasks take seven times as long.

        Guards against work for callers whose job a straggler has made late.
        """
        load = _Pooled(_long_tails, workers=4)
        self.assertGreaterEqual(_in_time(load.after), _in_time(load.before))
        self.assertGreaterEqual(_share(load.after, "", _USEFUL), 0.95)

    def test_estimates_off_by_two(self) -> None:
        """Load: jobs need half to twice their estimates.

        Guards against an order that is right only for right estimates.
        """
        load = _Pooled(_wrong_estimates, workers=4)
        self.assertGreaterEqual(_in_time(load.after), _in_time(load.before))
        self.assertGreaterEqual(_share(load.after, "", _USEFUL), 0.9)

    def test_refusals_cost_no_caller_a_result(self) -> None:
        """Load: more urgent work floods a service, with estimates off by two.

        Guards against the refusal of a job that would have been served, and
        against refusing urgent ones.
        """
        refused = 0
        for seed in _SEEDS:
            arrivals = _flood(seed)
            stored = load_builders.play(arrivals, 4, True)
            result = load_builders.play(arrivals, 4, True, refuses=True)
            wrongly = [
                job
                for job in arrivals
                if job.job_id in result.refused
                and (job.kind == "flood" or stored.share([job], _USEFUL))
            ]
            self.assertEqual(wrongly, [])
            self.assertGreaterEqual(result.in_time, stored.in_time)
            refused += len(result.refused)
        self.assertGreater(refused, 0)


_peak = functools.partial(
    load_builders.build_arrivals,
    rates=((6_000, 2.1), (10_000, 10.5), (6_000, 2.1)),
)
_endless_peak = functools.partial(
    load_builders.build_arrivals, rates=((15_000, 10.5),)
)
_long_tails = functools.partial(
    load_builders.build_arrivals,
    rates=((3_000, 1.5), (8_000, 6.0)),
    tail_share=0.03,
)
_wrong_estimates = functools.partial(
    load_builders.build_arrivals,
    rates=((3_000, 1.5), (8_000, 6.0)),
    error=2.0,
)


def _two_kinds(seed: int) -> list[load_builders.Arrival]:
    wide = load_builders.build_arrivals(
        seed,
        ((4_000, 0.8), (8_000, 3.5), (4_000, 0.2)),
        width=(8, 24),
        kind="wide",
    )
    narrow = load_builders.build_arrivals(
        seed + 9,
        ((4_000, 1.6), (8_000, 8.0), (4_000, 0.2)),
        width=(1, 8),
        steps=1,
        kind="narrow",
    )
    return wide + narrow


def _urgent_burst(seed: int) -> list[load_builders.Arrival]:
    wide = load_builders.build_arrivals(
        seed, ((12_000, 3.0),), width=(16, 40), kind="wide"
    )
    urgent = load_builders.build_arrivals(
        seed + 50,
        ((5_000, 0.1), (4_000, 10.0)),
        priority=0,
        width=(1, 4),
        steps=1,
        kind="urgent",
    )
    return wide + urgent


def _flood(seed: int) -> list[load_builders.Arrival]:
    flood = load_builders.build_arrivals(
        seed,
        ((9_000, 9.0),),
        priority=0,
        width=(4, 16),
        steps=1,
        error=2.0,
        kind="flood",
        task_ms=4_000,
    )
    small = load_builders.build_arrivals(
        seed + 7, ((14_000, 3.0),), width=(1, 4), steps=1, kind="small"
    )
    return flood + small


def _job(job_id: str, count: int = 1) -> jobs.Job:
    definition = batch_builders.build_job(batch_builders.build_step(count))
    return jobs.Job(job_id, batch_builders.QUEUE, definition, 1_000)


class OrderTest(unittest.TestCase):
    """Tests the sort keys."""

    def setUp(self) -> None:
        self.policy = batch_builders.build_configuration().queues[0]

    def test_order_without_the_switch_is_unchanged(self) -> None:
        """Guards against deployments that get the new order unasked."""
        job = _job("job-1", 4)
        # Objective 1.6 * 1,000 + 600 ms, expiry after three of them.
        expected = job_order.JobRank(
            2_200.0,
            7_600.0,
            (2, 0, -1_000, "job-1"),
            (3, 0, 3_200.0, "job-1"),
            (4, 0, 3_200.0, "job-1"),
        )
        self.assertEqual(job_order.rank(job, self.policy), expected)
        local = batch_builders.LocalState()
        for number in range(5):
            local.time_ms += 10
            local.submit(
                f"job-{number}", batch_builders.build_step(1 + 40 * number)
            )
        orders = []
        for controls_overload in (False, True):
            index = ready_steps.ReadyIndex(controls_overload)
            index.refresh(local.state, local.time_ms)
            steps = index.services["bidding"].in_time
            orders.append([step.step.tasks[0].key.job_id for step in steps])
        self.assertEqual(
            orders[0], [f"job-{number}" for number in range(5)][::-1]
        )
        self.assertNotEqual(orders[0], orders[1])

    def test_new_leader_ranks_by_all_that_waits(self) -> None:
        """Guards against an order that depends on which job it sees first."""
        local = batch_builders.LocalState()
        sizes = [1, *[40] * 10, *[1] * 10]
        for number, size in enumerate(sizes):
            local.submit(f"job-{number}", batch_builders.build_step(size))
        index = ready_steps.ReadyIndex(controls_overload=True)
        index.refresh(local.state, local.time_ms)
        bands: dict[int, set[int]] = {1: set(), 40: set()}
        for ready in index.services["bidding"].in_time:
            band = ready.rank.in_time_key[2]
            bands[ready.step.definition.task_count].add(band)
        self.assertEqual(bands[1], {0})
        # The other large ones are those with a bounded wait.
        self.assertEqual(bands[40], {0, 4})

    def test_some_of_each_size_wait_for_a_bounded_time(self) -> None:
        """Guards against sizes that starve while smaller jobs keep coming."""
        mean_work = overload.MeanWork()
        for _ in range(200):
            mean_work.add(_job("mean", 10))
        for size in (1, 10, 100):
            keys = []
            for number in range(400):
                rank = job_order.rank(
                    _job(f"job-{number}", size), self.policy, mean_work
                )
                # Half of the time until the latest start, 2,200.
                keys.append(rank.key(1_601))
                self.assertLessEqual(rank.valid_until_ms(1_000), 2_200)
            newest = job_order.rank(
                jobs.Job(
                    "new",
                    batch_builders.QUEUE,
                    _job("new").definition,
                    1_600,
                ),
                self.policy,
                mean_work,
            ).key(1_601)
            first = sum(key < newest for key in keys)
            self.assertGreaterEqual(first, 400 // 16 // 2, size)

    def test_late_work_that_is_of_no_use_goes_last(self) -> None:
        """Guards against room for results that come after their expiry."""
        rank = job_order.rank(_job("job-1"), self.policy, overload.MeanWork())
        in_time, late, useless = (
            rank.key(at_ms) for at_ms in (2_200, 6_600, 6_601)
        )
        self.assertTrue(job_order.can_meet_objective(in_time))
        self.assertFalse(job_order.can_meet_objective(late))
        self.assertLess(in_time, late)
        self.assertLess(late, useless)

    def test_started_jobs_go_first_within_a_priority(self) -> None:
        """Guards against held width, and against priorities that don't hold."""
        local = batch_builders.LocalState()
        local.register("w-1")
        local.submit("started", batch_builders.build_step(2))
        local.start(batch_builders.task_key("started"))
        started = local.state.active_jobs["started"]
        mean_work = overload.MeanWork()
        urgent = batch_builders.build_configuration().queues[0]
        usual = batch_builders.build_configuration(priority=1).queues[0]
        now_ms = local.time_ms
        new = jobs.Job("new", usual.key, batch_builders.build_job(), now_ms)
        keys = [
            job_order.rank(job, policy, mean_work).key(now_ms)
            for job, policy in (
                (new, urgent),
                (started, usual),
                (new, usual),
            )
        ]
        self.assertEqual(keys, sorted(keys))


class _Leader:
    """A job service with admission control, and a flood of urgent work."""

    def __init__(
        self, flood_tasks: int = 400, flood_task_ms: int = 60_000
    ) -> None:
        self.local = batch_builders.LocalState()
        self.local.time_ms = 0
        kinds = {"urgent": 0, "usual": 1}
        self.local.apply(
            commands.PutConfiguration(load_builders.configure(kinds))
        )
        self.local.register("w-1", cpu_millicores=16_000)
        self.timer = batch_builders.ManualTimer()
        self.local.time_ms = self.timer.wall_time_ms()
        self.supply: admission.Supply | None = admission.Supply(
            16_000, 0, 1_500
        )
        self.control = admission.AdmissionControl(
            self.local.state, self.timer, lambda service: self.supply
        )
        self.log = batch_builders.FakeLog(self.local.state)
        self.service = job_service.JobService(
            self.log,  # type: ignore[arg-type]
            self.local.state,
            self.timer,
            self.control,
        )
        step = batch_builders.build_step(
            flood_tasks, estimated_ms=flood_task_ms
        )
        self.local.apply(
            commands.SubmitJob(
                "flood",
                model.QueueKey(_HOST, "/urgent/"),
                batch_builders.build_job(step),
            )
        )

    def submit(
        self,
        job_id: str,
        queue: str = "usual",
        definition: model.JobDefinition | None = None,
    ) -> messages.Done | errors.Failure:
        """Sends a submission to the service."""
        request = messages.SubmitRequest(
            _HOST,
            f"/{queue}/{job_id}",
            definition or batch_builders.build_job(),
        )
        return asyncio.run(self.service.submit(request))


class AdmissionTest(unittest.TestCase):
    """Guards against wrong refusals, which cost callers their whole jobs."""

    def test_unservable_submission_is_refused_with_a_time(self) -> None:
        """Guards against callers who learn of it only by waiting."""
        leader = _Leader()
        refusal = leader.submit("job-1")
        assert isinstance(refusal, errors.Failure)
        self.assertIs(refusal.kind, errors.ErrorKind.OVERLOADED)
        self.assertIsNone(leader.local.state.job("job-1"))
        response = http_messages.build_error_response(refusal)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.retry_after_s, refusal.retry_after_s)
        plain = errors.Failure(errors.ErrorKind.OVERLOADED, "too much")
        self.assertEqual(
            http_messages.build_error_response(plain).retry_after_s, 1
        )

    def test_what_is_not_certain_is_stored(self) -> None:
        """Guards against refusals by guess, and of urgent and lasting jobs."""
        lasting = batch_builders.build_job(
            batch_builders.build_step(long_running=True)
        )
        repeated = model.JobDefinition(
            "payload", (batch_builders.build_step(),), 2, 0, 1_000
        )
        cases = {
            "urgent": (admission.Supply(16_000, 0, 1_500), "urgent", None),
            "lasting": (admission.Supply(16_000, 0, 1_500), "usual", lasting),
            "repeated": (admission.Supply(16_000, 0, 1_500), "usual", repeated),
            "no-plan-yet": (None, "usual", None),
            "no-worker": (admission.Supply(0, 16_000, 1_500), "usual", None),
            # 24,000 core-s at half of their estimates within 4 s.
            "idle-elsewhere": (
                admission.Supply(16_000, 9_000_000, 1_500),
                "usual",
                None,
            ),
        }
        for job_id, (supply, queue, definition) in cases.items():
            leader = _Leader()
            leader.supply = supply
            done = leader.submit(job_id, queue, definition)
            self.assertEqual(done, messages.Done(), job_id)
        # What needs more than the job does may leave room for it.
        smaller = batch_builders.build_job(
            batch_builders.build_step(cpu_millicores=500)
        )
        done = _Leader().submit("smaller", "usual", smaller)
        self.assertEqual(done, messages.Done())
        # 16 tasks on as many cores wait no longer than until they start.
        self.assertEqual(_Leader(16).submit("few-ahead"), messages.Done())

    def test_supply_counts_what_can_come(self) -> None:
        """Guards against refusals while other pools have idle instances."""
        local = batch_builders.LocalState()
        local.register("w-1", "w-2")
        local.register("w-3", service="closing")
        demands = {
            "bidding": pool_sizing.Demand(
                late_millicores=1, instance_millicores=4_000
            ),
            "closing": pool_sizing.Demand(free_millicores=3_000),
            "shrunk": pool_sizing.Demand(free_millicores=-500),
        }
        supply = admission.build_supply(
            "bidding", local.state, demands, 2, 1_500
        )
        self.assertEqual(supply, admission.Supply(8_000, 11_000, 1_500))
        # 12 core-s in the 1.5 s before the move, then 19 cores.
        assert supply is not None
        self.assertEqual(supply.drain_ms(12_000), 1_500)
        self.assertEqual(supply.drain_ms(12_000 + 19_000), 2_500)
        idle = admission.build_supply("closing", local.state, demands, 0, 0)
        self.assertIsNone(idle)

    def test_stored_submission_is_never_refused(self) -> None:
        """Guards against a refusal of a job that runs all the same."""
        flooded = _Leader()
        flooded.local.apply(
            commands.SubmitJob(
                "job-1",
                model.QueueKey(_HOST, "/usual/"),
                batch_builders.build_job(),
            )
        )
        self.assertEqual(flooded.submit("job-1"), messages.Done())
        # The fate of an earlier attempt is open.
        flooded.control.begin_commit("job-2")
        undecided = errors.Failure(errors.ErrorKind.UNDECIDED, "stalled")
        flooded.control.end_commit("job-2", undecided)
        self.assertEqual(flooded.submit("job-2"), messages.Done())
        # A leader that has lost its place knows nothing for certain.
        flooded.log.is_rejecting = True
        failure = flooded.submit("job-3")
        assert isinstance(failure, errors.Failure)
        self.assertIs(failure.kind, errors.ErrorKind.NO_LEADER)

    def test_returns_are_spread_and_sooner_each_time(self) -> None:
        """Guards against refused callers who come back all at once."""
        leader = _Leader(80)
        times = {}
        for number in range(40):
            refusal = leader.submit(f"job-{number}")
            assert isinstance(refusal, errors.Failure)
            times[f"job-{number}"] = refusal.retry_after_s
        # 80 tasks of 60 s on 16 cores take 300 s; answers are capped.
        self.assertEqual(set(times.values()), {60})
        # 60 tasks of 10 s take 37.5 s.
        smaller = _Leader(60, 10_000)
        found = set()
        for number in range(40):
            refusal = smaller.submit(f"job-{number}")
            assert isinstance(refusal, errors.Failure)
            again = smaller.submit(f"job-{number}")
            assert isinstance(again, errors.Failure)
            assert refusal.retry_after_s and again.retry_after_s
            found.add(refusal.retry_after_s)
            self.assertGreaterEqual(refusal.retry_after_s, 38)
            self.assertLessEqual(again.retry_after_s, refusal.retry_after_s)
        self.assertGreater(len(found), 10)

    def test_service_without_control_stores_all(self) -> None:
        """Guards against refusals where the settings don't ask for them."""
        leader = _Leader()
        leader.service = job_service.JobService(
            leader.log,  # type: ignore[arg-type]
            leader.local.state,
            leader.timer,
        )
        self.assertEqual(leader.submit("job-1"), messages.Done())

    def test_refusal_of_an_older_node_decodes(self) -> None:
        """Guards against nodes of two versions that don't understand another.

        An older one sends no time, and ignores fields that it doesn't know.
        """
        refusal = cluster_messages.Refusal(
            errors.ErrorKind.OVERLOADED, "too much", 7
        )
        self.assertEqual(codec.decode(codec.encode(refusal)), refusal)
        older = {"kind": "overloaded", "reason": "too much"}
        decoded = codec.decode(msgpack.packb(["refusal", 1, older]))
        self.assertIsNone(decoded.retry_after_s)
        newer = {**older, "a_later_field": 1}
        decoded = codec.decode(msgpack.packb(["refusal", 1, newer]))
        self.assertEqual(decoded.reason, "too much")


if __name__ == "__main__":
    unittest.main()
