"""Tests of the customers' shares while there isn't room for all.

Load pattern: 20 customers, a few of them large, send jobs of one and two steps
of 8 tasks to two pools that are nearly full; then one sends ten times as much.
"""

import math
import random
import unittest

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import state as state_module
from tests import batch_builders
from tests import customer_fleet

_CUSTOMERS = 20
_WORKERS = 12
_WORKER_MILLICORES = 16_000
_TICK_MS = 50
_DURATION_MS = 18_000
_HOT_FROM_MS = 5_000
_HOT_FACTOR = 10
# Jobs that a customer sends, relative to its weight.
_USUAL_RATE = 0.8
_TASKS = 8
_MEAN_STEPS = 1.5
_MEAN_TASK_MS = 900
_MEAN_TASK_MILLICORES = 1_750
_MS_PER_S = 1_000
# Others may lose as much of their served share.
_MAX_LOSS = 0.1


class _Load:
    """Random jobs of all customers, the same with and without a hot one."""

    def __init__(self, seed: int, load: float, hot: int | None = None) -> None:
        """Creates a load; `load` is the usual one relative to the pools."""
        self._random = random.Random(seed)
        self._hot_random = random.Random(seed + 1)
        self._hot = hot
        parts = [1 / (number + 1) ** 0.9 for number in range(_CUSTOMERS)]
        job_core_ms = (
            _MEAN_STEPS * _TASKS * _MEAN_TASK_MS * _MEAN_TASK_MILLICORES
        )
        jobs_per_s = (
            2 * _WORKERS * _WORKER_MILLICORES * _MS_PER_S * load / job_core_ms
        )
        self._rates = [jobs_per_s * part / sum(parts) for part in parts]
        self.fleet = customer_fleet.CustomerFleet(("bidding", "closing"))
        policies = [
            customer_fleet.build_customer(f"c{number}", rate / _USUAL_RATE)
            for number, rate in enumerate(self._rates)
        ]
        self.fleet.configure(*policies)
        self.fleet.register(
            _WORKERS, cpu_millicores=_WORKER_MILLICORES, memory_mb=65_536
        )
        self.sent: dict[int, list[str]] = {
            number: [] for number in range(_CUSTOMERS)
        }

    def play(self) -> None:
        """Plays the load."""
        for at_ms in range(0, _DURATION_MS, _TICK_MS):
            for number, rate in enumerate(self._rates):
                self._send(number, rate, self._random)
                if number == self._hot and at_ms >= _HOT_FROM_MS:
                    more = rate * (_HOT_FACTOR - 1)
                    self._send(number, more, self._hot_random)
            self.fleet.run()
            self.fleet.advance(_TICK_MS)

    def _send(self, number: int, rate: float, generator: random.Random) -> None:
        for _ in range(_poisson(generator, rate * _TICK_MS / _MS_PER_S)):
            steps = [
                batch_builders.build_step(
                    _TASKS,
                    cpu_millicores=generator.choice([500, 1_500, 3_000]),
                    estimated_ms=generator.choice([600, 1_200]),
                )
            ]
            if generator.random() < _MEAN_STEPS - 1:
                definition = {"depends_on": (0,), "estimated_ms": 900}
                steps.append(batch_builders.build_step(_TASKS, **definition))
            job_id, _ = self.fleet.submit(
                f"c{number}",
                *steps,
                service=generator.choice(list(self.fleet.queues)),
            )
            self.sent[number].append(job_id)

    def served_share(self, excluded: int) -> float:
        """Returns the share of the others' jobs that ended in time."""
        served = total = 0
        for number, job_ids in self.sent.items():
            if number == excluded:
                continue
            for job_id in job_ids:
                job = self.fleet.state.job(job_id)
                assert job is not None
                objective_ms = 1.6 * job.chain_ms + 600
                if job.accepted_ms + objective_ms > self.fleet.now_ms:
                    continue
                total += 1
                served += (
                    job.state is jobs.JobState.COMPLETED
                    and job.ended_ms - job.accepted_ms <= objective_ms
                )
        return served / total


def _poisson(generator: random.Random, mean: float) -> int:
    limit, product, count = math.exp(-mean), generator.random(), 0
    while product > limit:
        count += 1
        product *= generator.random()
    return count


class HotCustomerTest(unittest.TestCase):
    """Guards against a customer that takes the others' room."""

    def test_others_keep_their_served_share(self) -> None:
        """Guards against ten times a customer's usual load hurting others."""
        for seed, load, hot in (
            (1, 0.85, 0),
            (2, 0.85, 3),
            (3, 0.85, 12),
            (4, 1.2, 0),
            (5, 1.2, 12),
        ):
            with self.subTest(seed=seed, load=load, hot=hot):
                usual = _Load(seed, load)
                usual.play()
                surge = _Load(seed, load, hot)
                surge.play()
                before = usual.served_share(hot)
                after = surge.served_share(hot)
                self.assertGreaterEqual(after, (1 - _MAX_LOSS) * before)


class ShareTest(unittest.TestCase):
    """Guards against shares that don't follow the weights."""

    def setUp(self) -> None:
        self.fleet = customer_fleet.CustomerFleet()
        self.fleet.configure(
            customer_fleet.build_customer("large", 60.0),
            customer_fleet.build_customer("small", 20.0),
        )
        self.fleet.register(2, cpu_millicores=8_000, memory_mb=65_536)

    def _submit(self, customer: str, count: int, **fields: object) -> None:
        for _ in range(count):
            self.fleet.submit(customer, batch_builders.build_step(**fields))

    def _running(self, customer: str) -> int:
        return self.fleet.usage().get(customer, (0, 0, 0, 0))[3]

    def test_room_is_divided_by_weight(self) -> None:
        """Guards against shares by number of jobs or order of arrival."""
        self._submit("large", 60)
        self._submit("small", 60)
        self.fleet.run()
        self.assertEqual(
            (self._running("large"), self._running("small")), (12, 4)
        )

    def test_dominant_resource_counts(self) -> None:
        """Guards against customers that take another resource for free."""
        self._submit("large", 60, memory_mb=8_192, cpu_millicores=100)
        self._submit("small", 60, memory_mb=4_096)
        self.fleet.run()
        # Nearly three to one: the last room, half of a large task's memory,
        # goes to the small one. By CPU alone it would get one task or two.
        self.assertEqual(
            (self._running("large"), self._running("small")), (13, 6)
        )

    def test_jobs_without_customer_count_as_one(self) -> None:
        """Guards against anonymous callers that crowd out customers."""
        for _ in range(60):
            self.fleet.submit("", batch_builders.build_step())
        self._submit("large", 60)
        self.fleet.run()
        # 60 to the mean of 60 and 20.
        self.assertAlmostEqual(self._running("large"), 16 * 0.6, delta=1)
        self.assertAlmostEqual(self._running(""), 16 * 0.4, delta=1)

    def test_idle_share_is_lent_and_comes_back(self) -> None:
        """Guards against idle room, and against a share that is gone.

        The other customer is back at its share after one task's time, and
        nothing is stopped for it.
        """
        self._submit("small", 80, estimated_ms=800)
        self.fleet.run()
        self.assertEqual(self._running("small"), 16)
        self.fleet.advance(400)
        self._submit("large", 80, estimated_ms=800)
        self.assertEqual(self.fleet.run(), [])
        self.fleet.advance(400)
        self.fleet.run()
        self.assertEqual(
            (self._running("large"), self._running("small")), (12, 4)
        )

    def test_small_customer_is_not_passed_over(self) -> None:
        """Guards against starvation: it gets the first room that comes free.

        Others keep sending, more than there is room for.
        """
        small = None
        for at_ms in range(0, 3_000, 100):
            self._submit("large", 5, estimated_ms=1_000)
            if at_ms == 1_500:
                job_id, _ = self.fleet.submit("small")
                small = self.fleet.state.job(job_id)
            self.fleet.run()
            self.fleet.advance(100)
            if at_ms == 2_500:
                assert small is not None
                self.assertTrue(small.has_started)


class OverWeightTest(unittest.TestCase):
    """Guards against jobs beyond a weight that cost others room."""

    def setUp(self) -> None:
        self.fleet = customer_fleet.CustomerFleet()
        self.fleet.configure(
            customer_fleet.build_customer("hot", 1.0),
            customer_fleet.build_customer("other", 1.0),
        )

    def _submit(self, customer: str, **fields: object) -> jobs.Job:
        step = batch_builders.build_step(**fields)
        job_id, _ = self.fleet.submit(customer, step)
        job = self.fleet.state.job(job_id)
        assert job is not None
        return job

    def _marks(self, count: int) -> list[bool]:
        return [self._submit("hot").is_over_weight for _ in range(count)]

    def test_window_slides_and_counts_jobs_within_the_weight(self) -> None:
        """Guards against marks that stay, and jobs beyond that fill it."""
        within = 25
        self.assertEqual(self._marks(50), [False] * within + [True] * 25)
        self.assertFalse(self._submit("other").is_over_weight)
        self.fleet.now_ms += 4_999
        self.assertEqual(self._marks(2), [True] * 2)
        self.fleet.now_ms += 1
        self.assertEqual(self._marks(26), [False] * within + [True])

    def test_restored_replica_marks_alike(self) -> None:
        """Guards against a window that is lost with the process."""
        self._marks(20)
        self.fleet.now_ms += 2_000
        snapshot = self.fleet.state.snapshot()
        self.fleet.state = state_module.BatchState()
        self.fleet.state.restore(1, snapshot)
        self.assertEqual(self._marks(6), [False] * 5 + [True])

    def test_clock_that_jumps_back_does_not_mark_for_long(self) -> None:
        """Guards against a new leader's clock that is behind by hours."""
        self._marks(40)
        self.fleet.now_ms -= 3_600_000
        self.assertFalse(self._submit("hot").is_over_weight)

    def test_jobs_beyond_the_weight_get_what_is_left(self) -> None:
        """Guards against marked jobs before late ones, or that never run."""
        self._marks(40)
        late = self._submit("other", estimated_ms=100)
        self.fleet.now_ms += 2_000
        self.fleet.register(1, cpu_millicores=2_000)
        started = {run.task.job_id for run in self.fleet.run()}
        self.assertIn(late.job_id, started)
        self.fleet.register(1, cpu_millicores=64_000, memory_mb=65_536)
        self.fleet.run()
        record = batch_builders.build_record(
            "large", cpu_millicores=64_000, memory_mb=65_536
        )
        self.fleet.apply(commands.RegisterWorker(record))
        self.fleet.run()
        self.assertEqual(
            sum(
                job.has_started for job in self.fleet.state.active_jobs.values()
            ),
            41,
        )

    def test_lasting_jobs_keep_their_place(self) -> None:
        """Guards against tasks that last and would wait without end."""
        self._marks(25)
        lasting = self._submit("hot", long_running=True)
        self.assertTrue(lasting.is_over_weight)
        self.fleet.register(1, cpu_millicores=1_000)
        started = [run.task.job_id for run in self.fleet.run()]
        self.assertEqual(started, [lasting.job_id])


if __name__ == "__main__":
    unittest.main()
