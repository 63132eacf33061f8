"""Tests of the caps of customers."""

import random
import unittest

import msgpack

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.scheduling import planner
from tests import batch_builders
from tests import customer_fleet

_STEPS = 2_000
_SEEDS = 3
_CAPS = ((4_000, 0, 0), (0, 3_000, 0), (9_000, 6_000, 2), (0, 0, 0))


class _RandomFleet:
    """A fleet in which starts are proposed by plans, late, or at random."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.fleet = customer_fleet.CustomerFleet(("bidding", "closing"))
        self.caps: dict[str, tuple[int, int, int]] = {}
        self.configure()
        self.fleet.register(3, cpu_millicores=8_000, accelerators=2)
        self._late_plan: list[commands.RunStart] = []
        self._worker_count = 0
        self.started = 0

    def configure(self) -> None:
        self.caps = {
            f"c{number}": self.random.choice(_CAPS) for number in range(4)
        }
        self.fleet.configure(
            *(
                customer_fleet.build_customer(name, 1.0, cap)
                for name, cap in self.caps.items()
            )
        )

    def submit(self) -> None:
        if len(self.fleet.state.active_jobs) > 40:
            return
        kind = self.random.choice(
            [{}, {}, {"gang": True}, {"best_effort": True}, {"accelerators": 1}]
        )
        step = batch_builders.build_step(
            self.random.randint(1, 6),
            **{
                "cpu_millicores": self.random.choice([300, 1_000, 3_500]),
                **kind,
            },
        )
        self.fleet.submit(
            self.random.choice([*self.caps, ""]),
            step,
            service=self.random.choice(list(self.fleet.queues)),
        )

    def start_planned(self) -> None:
        """Starts all that fits; a planner that starts anew finds no more."""
        while starts := self.fleet.plan().starts:
            assert all(self.start(starts))
        if self.random.random() < 0.1:
            self.fleet.restart_leader()
        assert not planner.plan(
            self.fleet.state, self.fleet.views(), self.fleet.now_ms
        ).starts

    def plan_for_later(self) -> None:
        """Makes a plan that a later leader's records may precede."""
        self._late_plan = self.fleet.plan().starts
        self.fleet.restart_leader()

    def start_late_plan(self) -> None:
        self.start(self._late_plan)

    def start_at_random(self) -> None:
        workers = list(self.fleet.state.workers)
        waiting = [
            (step.tasks[position].key, step.next_run(position))
            for job in self.fleet.state.active_jobs.values()
            for occurrence in job.occurrences.values()
            for step in occurrence.steps
            for position in sorted(step.waiting)
        ]
        count = min(len(waiting), self.random.randint(1, 8))
        self.start(
            [
                commands.RunStart(key, run, self.random.choice(workers))
                for key, run in self.random.sample(waiting, count)
            ]
        )

    def start(self, starts: list[commands.RunStart]) -> list[bool]:
        before = self.fleet.usage()
        results = self.fleet.start(starts) if starts else []
        self.started += sum(results)
        after = self.fleet.usage()
        for name, cap in self.caps.items():
            if after.get(name) == before.get(name):
                continue
            *resources, tasks = after[name]
            is_within = all(
                not limit or used <= limit
                for limit, used in zip(cap, resources, strict=True)
            )
            assert is_within or tasks == 1, (name, cap, after[name])
        return results

    def advance(self) -> None:
        self.fleet.advance(self.random.randrange(600))

    def cancel(self) -> None:
        """Cancels a job; its tasks run until their ends."""
        job_id = self.random.choice(
            [*self.fleet.state.active_jobs, "unknown job"]
        )
        customer = job_id.partition("-")[0]
        key = customer_fleet.key_of(customer)
        self.fleet.apply(commands.CancelCustomerJob(job_id, key))

    def lose_worker(self) -> None:
        worker_id = self.random.choice(list(self.fleet.state.workers))
        is_final = self.random.random() < 0.3
        self.fleet.apply(
            commands.MarkWorkersLost((worker_id,), is_final=is_final)
        )
        if is_final:
            self._worker_count += 1
            worker_id = f"again-{self._worker_count}"
        record = batch_builders.build_record(
            worker_id,
            service=self.random.choice(list(self.fleet.queues)),
            cpu_millicores=8_000,
            accelerators=2,
        )
        self.fleet.apply(commands.RegisterWorker(record))

    def restore(self) -> None:
        """Replaces the state by its snapshot, as on a restarted replica."""
        snapshot = self.fleet.state.snapshot()
        self.fleet.state = state_module.BatchState()
        self.fleet.state.restore(1, snapshot)
        assert self.fleet.state.snapshot() == snapshot
        self.fleet.restart_leader()

    def step(self) -> None:
        weights = {
            self.submit: 6,
            self.start_planned: 5,
            self.start_at_random: 3,
            self.advance: 5,
            self.cancel: 1,
            self.plan_for_later: 1,
            self.start_late_plan: 1,
            self.lose_worker: 0.3,
            self.configure: 0.2,
            self.restore: 0.1,
        }
        (action,) = self.random.choices(list(weights), list(weights.values()))
        action()
        counted = self.fleet.state.usage().totals
        assert dict(counted) == self.fleet.usage(), action


class CapTest(unittest.TestCase):
    """Guards against starts that exceed a customer's cap."""

    def setUp(self) -> None:
        self.fleet = customer_fleet.CustomerFleet(("bidding", "closing"))
        self.fleet.register(2, cpu_millicores=16_000, memory_mb=65_536)

    def _configure(self, cpu: int) -> None:
        """Gives customer `a` a cap, and `b` none."""
        self.fleet.configure(
            customer_fleet.build_customer("a", cap=(cpu, 0, 0)),
            customer_fleet.build_customer("b"),
        )

    def _tasks_of(self, customer: str) -> int:
        return self.fleet.usage().get(customer, (0, 0, 0, 0))[3]

    def test_no_sequence_of_records_exceeds_a_cap(self) -> None:
        """Guards against usage that misses starts, ends or lost workers.

        Plans come from the present or an earlier leader, caps change, and
        replicas restart from snapshots. Plans alone are never refused.
        """
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                fleet = _RandomFleet(seed)
                for _ in range(_STEPS):
                    fleet.step()
                self.assertGreater(fleet.started, _STEPS / 10)

    def test_plan_respects_caps(self) -> None:
        """Guards against planned starts that the state refuses forever."""
        self._configure(5_000)
        for service in ("bidding", "closing"):
            self.fleet.submit(
                "a", batch_builders.build_step(8), service=service
            )
            self.fleet.submit(
                "b", batch_builders.build_step(3), service=service
            )
        starts = self.fleet.plan().starts
        self.assertEqual(self.fleet.start(starts), [True] * 11)
        self.assertEqual((self._tasks_of("a"), self._tasks_of("b")), (5, 6))

    def test_plan_of_an_older_state_is_refused(self) -> None:
        """Guards against a leader that counts, and one that starts meanwhile.

        The second plan's starts were counted before the first one's record.
        """
        self._configure(4_000)
        self.fleet.submit("a", batch_builders.build_step(4))
        first = self.fleet.plan().starts
        self.fleet.submit("a", batch_builders.build_step(4), service="closing")
        self.fleet.restart_leader()
        second = [
            start for start in self.fleet.plan().starts if start not in first
        ]
        late = [
            commands.RunStart(
                model.TaskKey("a-000002", 0, 0, position), 1, "closing-0"
            )
            for position in range(4)
        ]
        self.assertEqual(second, [])
        self.assertEqual(self.fleet.start(first), [True] * 4)
        self.assertEqual(self.fleet.start(late), [False] * 4)

    def test_gang_starts_whole_or_not_at_all(self) -> None:
        """Guards against members of a gang that wait for refused ones."""
        self._configure(6_000)
        self.fleet.submit("a", batch_builders.build_step(4))
        self.fleet.submit("a", batch_builders.build_step(4, gang=True))
        members = [
            commands.RunStart(
                model.TaskKey("a-000002", 0, 0, position), 1, "bidding-1"
            )
            for position in range(4)
        ]
        self.assertEqual(len(self.fleet.run()), 4)
        self.assertEqual(self.fleet.start(members), [False] * 4)
        self.fleet.advance(1_000)
        self.assertEqual(len(self.fleet.run()), 4)

    def test_room_goes_to_other_services(self) -> None:
        """Guards against work that isn't planned again when a cap has room.

        Nothing else changes in its service.
        """
        self._configure(3_000)
        self.fleet.submit("a", batch_builders.build_step(3))
        self.fleet.run()
        self.fleet.submit("a", batch_builders.build_step(3), service="closing")
        self.assertEqual(self.fleet.run(), [])
        self.fleet.advance(1_000)
        self.assertEqual(len(self.fleet.run()), 3)

    def test_held_work_is_no_demand(self) -> None:
        """Guards against instances moved to work that a cap holds back."""
        self._configure(2_000)
        self.fleet.submit(
            "a",
            batch_builders.build_step(40),
            batch_builders.build_step(40, long_running=True),
        )
        demand = self.fleet.plan().demands["bidding"]
        self.assertEqual(demand.unplaced_millicores, 0)
        self.assertEqual(demand.placeable_millicores, 0)
        self.assertEqual(demand.unplaced_long_running, 0)

    def test_lowered_cap_stops_only_new_starts(self) -> None:
        """Guards against a lowered cap that ends work or starvation by it.

        A task that was accepted and is larger than the cap runs alone.
        """
        self._configure(0)
        self.fleet.submit("a", batch_builders.build_step(4))
        self.fleet.run()
        self._configure(500)
        self.fleet.submit("b", batch_builders.build_step(1))
        _, decision = self.fleet.submit("a", batch_builders.build_step(1))
        self.assertIs(decision, commands.JobDecision.OVER_CAP)
        self._configure(0)
        self.fleet.submit("a", batch_builders.build_step(2))
        self._configure(500)
        self.assertEqual(len(self.fleet.run()), 1)
        self.assertEqual(self._tasks_of("a"), 4)
        self.fleet.advance(1_000)
        self.assertEqual(len(self.fleet.run()), 1)
        self.fleet.advance(1_000)
        self.assertEqual(len(self.fleet.run()), 1)

    def test_cancelled_tasks_count_until_they_end(self) -> None:
        """Guards against starts beside tasks that are being stopped.

        Also after the time for which ended jobs are kept.
        """
        self._configure(2_000)
        job_id, _ = self.fleet.submit("a", batch_builders.build_step(2))
        self.fleet.run()
        key = customer_fleet.key_of("a")
        self.fleet.apply(commands.CancelCustomerJob(job_id, key))
        self.fleet.now_ms += 400_000
        for _ in range(300):
            self.fleet.apply(commands.OpenOccurrence("none", 0))
        self.fleet.submit("a", batch_builders.build_step(2))
        self.assertEqual(self.fleet.run(), [])
        self.fleet.advance(0)
        self.assertEqual(len(self.fleet.run()), 2)

    def test_jobs_that_can_never_fit_are_refused(self) -> None:
        """Guards against accepted jobs that never run."""
        self._configure(3_000)
        for step, is_accepted in (
            (batch_builders.build_step(9, cpu_millicores=3_000), True),
            (batch_builders.build_step(1, cpu_millicores=3_001), False),
            (batch_builders.build_step(3, gang=True), True),
            (batch_builders.build_step(4, gang=True), False),
            (
                batch_builders.build_step(
                    1, cpu_millicores=3_001, best_effort=True
                ),
                False,
            ),
        ):
            _, decision = self.fleet.submit("a", step)
            expected = (
                commands.JobDecision.STORED
                if is_accepted
                else commands.JobDecision.OVER_CAP
            )
            self.assertIs(decision, expected)
            _, decision = self.fleet.submit("b", step)
            self.assertIs(decision, commands.JobDecision.STORED)

    def test_snapshot_of_an_earlier_build_is_read(self) -> None:
        """Guards against jobs without caller or mark that aren't restored."""
        self._configure(3_000)
        marked = ""
        while not marked:
            job_id, _ = self.fleet.submit("a")
            job = self.fleet.state.job(job_id)
            assert job is not None
            marked = job_id if job.is_over_weight else ""
        self.fleet.run()
        values = msgpack.unpackb(self.fleet.state.snapshot())
        restored = state_module.BatchState()
        restored.restore(1, msgpack.packb(values))
        self.assertTrue(restored.job(marked).is_over_weight)
        self.assertEqual(dict(restored.usage().totals), self.fleet.usage())
        for index, (definition, packed) in enumerate(values[4]):
            values[4][index] = [definition, packed[:8]]
        restored.restore(1, msgpack.packb(values))
        self.assertFalse(restored.job(marked).is_over_weight)
        self.assertEqual(restored.job(marked).caller.customer, "")


if __name__ == "__main__":
    unittest.main()
