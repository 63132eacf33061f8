"""Tests of plans that deal only with what changed since the one before.

Load pattern: hundreds of jobs of several queues wait, start, end, become late
and are cancelled, while workers come, move and fail.
"""

import dataclasses
import random
import unittest

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.scheduling import planner
from tarragoncleat.batch.scheduling import shortages
from tarragoncleat.batch.scheduling import worker_views
from tests import batch_builders

_SEEDS = 20
_STEPS_PER_SEED = 500
_SERVICES = ("bidding", "alerting", "closing")
_MAX_ACTIVE_JOBS = 30


def _configuration(version: int, services: list[str]) -> commands.Command:
    """Returns a configuration with a queue for each service, and a spare."""
    queues = tuple(
        model.QueuePolicy(
            f"q-{number}",
            batch_builders.QUEUE.host,
            f"/q{number}/",
            service,
            3_000,
            600,
            number % 2,
            3,
            1.6,
        )
        for number, service in enumerate(services)
    )
    policies = tuple(
        model.ServicePolicy(name, True, name == "spare")
        for name in (*_SERVICES, "spare")
    )
    return commands.PutConfiguration(
        model.FleetConfiguration(version, b"{}", queues, policies)
    )


class _Fleet:
    """A state that changes at random, with two planners.

    One planner keeps what it knows between plans, the other one starts anew.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.local = batch_builders.LocalState()
        self._version = 1
        self._jobs = 0
        self._workers = 0
        self._penalties: dict[str, float] = {}
        self._excluded: set[str] = set()
        self._cache = worker_views.ViewCache()
        # Both planners know since when late work has given way.
        self._clock = shortages.GiveWayClock()
        self._planner = planner.Planner(
            self.local.state, give_way_clock=self._clock
        )
        self._services = list(_SERVICES)
        self.configure()
        for _ in range(6):
            self.register()

    def configure(self) -> None:
        self._version += 1
        self.random.shuffle(self._services)
        self.local.apply(_configuration(self._version, self._services))

    def register(self) -> None:
        if len(self.local.state.workers) > 12:
            return
        self._workers += 1
        rack = self.random.choice(["r1", "r2"])
        label = self.random.choice("ab")
        self.local.register(
            f"w-{self._workers}",
            service=self.random.choice(_SERVICES),
            cpu_millicores=self.random.choice([4_000, 8_000]),
            labels=(label, rack),
            rack=rack,
        )

    def submit(self) -> None:
        if len(self.local.state.active_jobs) >= _MAX_ACTIVE_JOBS:
            return
        self._jobs += 1
        steps = [self._build_step()]
        if self.random.random() < 0.4:
            steps.append(self._build_step(depends_on=(0,)))
        path = f"/q{self.random.randrange(len(_SERVICES))}/"
        queue = model.QueueKey(batch_builders.QUEUE.host, path)
        definition = batch_builders.build_job(*steps)
        self.local.apply(
            commands.SubmitJob(f"{self._jobs:016x}", queue, definition)
        )

    def _build_step(self, **fields: object) -> model.StepDefinition:
        kinds: list[dict[str, object]] = [
            {},
            {},
            {"data_rack": "r1"},
            {"required_label": "b"},
            {"max_per_worker": 1},
            {"gang": True},
            {"best_effort": True},
            {"long_running": True, "latency_target_ms": 50},
            {"cpu_millicores": 64_000},
        ]
        values = {
            "cpu_millicores": self.random.choice([500, 1_000, 3_000]),
            "estimated_ms": self.random.choice([500, 2_000]),
            **self.random.choice(kinds),
        }
        count = self.random.randint(1, 6)
        return batch_builders.build_step(count, **values, **fields)

    def end(self) -> None:
        running = [
            (task.key, task.run, task.worker_id)
            for job in self.local.state.active_jobs.values()
            for task in job.running_tasks()
        ]
        if running:
            key, run, worker_id = self.random.choice(running)
            ending = self.random.choice(
                [commands.Ending.DONE] * 4 + [commands.Ending.FAILED]
            )
            self.local.end(key, ending, run, worker_id)

    def cancel(self) -> None:
        active = list(self.local.state.active_jobs)
        if active:
            self.local.apply(commands.CancelJob(self.random.choice(active)))

    def lose(self) -> None:
        workers = list(self.local.state.workers)
        if workers:
            worker_id = self.random.choice(workers)
            is_final = self.random.random() < 0.5
            self.local.apply(
                commands.MarkWorkersLost((worker_id,), is_final=is_final)
            )

    def drain(self) -> None:
        workers = list(self.local.state.workers)
        if workers:
            worker_id = self.random.choice(workers)
            self.local.apply(commands.DrainWorker(worker_id))

    def resize(self) -> None:
        workers = list(self.local.state.workers.values())
        if workers:
            record = dataclasses.replace(
                self.random.choice(workers).record,
                cpu_millicores=self.random.choice([2_000, 4_000, 8_000]),
            )
            self.local.apply(commands.RegisterWorker(record))

    def suspect(self) -> None:
        for worker_id in self.local.state.workers:
            self._penalties[worker_id] = self.random.choice([0.0, 0.0, 1.0])
        self._excluded = {
            worker_id
            for worker_id in self.local.state.workers
            if self.random.random() < 0.2
        }

    def wait(self) -> None:
        self.local.time_ms += self.random.choice([1, 400, 3_000])

    def restore(self) -> None:
        self.local.state.restore(1, self.local.state.snapshot())

    def plan(self) -> tuple[planner.Plan, planner.Plan]:
        """Returns the plans of the two planners."""
        state = self.local.state
        schedulable = {
            worker_id: self._penalties.get(worker_id, 0.0)
            for worker_id in state.workers
            if worker_id not in self._excluded
        }
        new = planner.plan(
            state,
            worker_views.build_views(state, schedulable),
            self.local.time_ms,
            give_way_clock=self._clock,
        )
        views = self._cache.refresh(state, schedulable)
        kept = self._planner.plan(
            views,
            self._cache.changed_services,
            self.local.time_ms,
            self._cache.has_other_workers,
        )
        return kept, new


class KeptPlanTest(unittest.TestCase):
    """Guards against a plan from what was true at an earlier one."""

    def test_kept_planner_plans_as_a_new_one(self) -> None:
        """Guards against starts or loads of jobs and workers that changed."""
        started = 0
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                started += self._compare(seed)
        self.assertGreater(started, _SEEDS * 100)

    def _compare(self, seed: int) -> int:
        fleet = _Fleet(seed)
        changes = (
            [fleet.submit] * 6
            + [fleet.end] * 6
            + [fleet.register, fleet.lose, fleet.cancel, fleet.suspect] * 1
            + [fleet.wait] * 2
            + [fleet.drain, fleet.configure, fleet.restore, fleet.resize]
        )
        started = 0
        for _ in range(_STEPS_PER_SEED):
            fleet.random.choice(changes)()
            kept, new = fleet.plan()
            self.assertEqual(sorted(kept.starts), sorted(new.starts))
            for service, demand in new.demands.items():
                self.assertEqual(kept.demands[service], demand, service)
            # Now and then a plan is not stored.
            if kept.starts and fleet.random.random() < 0.8:
                fleet.local.apply(commands.StartRuns(tuple(kept.starts)))
                started += len(kept.starts)
        return started


class SuspectStepTest(unittest.TestCase):
    """Guards against suspects that wait although workers are vacant."""

    def test_late_work_of_before_does_not_hold_back_suspects(self) -> None:
        """A service whose late work gave way once has none any more."""
        services = ["bidding", "alerting", "closing"]
        local = batch_builders.LocalState()
        local.apply(_configuration(2, services))
        names = [f"w-{number}" for number in range(6)]
        local.register(*names)
        cache = worker_views.ViewCache()
        kept = planner.Planner(local.state)
        late, other = (
            model.QueueKey(batch_builders.QUEUE.host, f"/q{number}/")
            for number in range(2)
        )
        step = batch_builders.build_step(1, estimated_ms=60_000)
        large = batch_builders.build_step(40)
        local.apply(
            commands.SubmitJob("late", late, batch_builders.build_job(step))
        )
        local.time_ms += 1_000_000
        local.apply(
            commands.SubmitJob("lack", other, batch_builders.build_job(large))
        )
        self._plan(local, cache, kept)
        local.apply(commands.CancelJob("late"))
        local.apply(commands.CancelJob("lack"))
        for number in range(3):
            job_id = f"suspect-{number}"
            local.apply(
                commands.SubmitJob(job_id, late, batch_builders.build_job())
            )
            key = batch_builders.task_key(job_id)
            local.start(key, 1, names[number])
            lost = commands.MarkWorkersLost((names[number],), is_final=True)
            local.apply(lost)
        local.register("w-7", "w-8", "w-9")
        starts = self._plan(local, cache, kept)
        self.assertEqual(len({start.worker_id for start in starts}), 3)

    def _plan(
        self,
        local: batch_builders.LocalState,
        cache: worker_views.ViewCache,
        kept: planner.Planner,
    ) -> list[commands.RunStart]:
        schedulable = dict.fromkeys(local.state.workers, 0.0)
        views = cache.refresh(local.state, schedulable, now_ms=local.time_ms)
        changed = cache.changed_services
        return kept.plan(views, changed, local.time_ms).starts


class PlainStepTest(unittest.TestCase):
    """Guards against another choice of workers for steps without conditions."""

    def test_fullest_worker_that_fits_comes_first(self) -> None:
        """Guards against tasks on idle workers, which could move instead."""
        local = batch_builders.LocalState()
        local.register("w-1", "w-2", "w-3")
        local.submit("job-0", batch_builders.build_step(cpu_millicores=2_500))
        local.start(batch_builders.task_key("job-0"), worker_id="w-2")
        local.submit("job-1", batch_builders.build_step(7, cpu_millicores=700))
        state = local.state
        views = worker_views.build_views(
            state, {"w-1": 0.0, "w-2": 0.0, "w-3": 1.0}
        )
        starts = planner.plan(state, views, local.time_ms).starts
        # 1.5 cores of w-2 are free, then w-1 takes five, and w-3 is penalized.
        self.assertEqual(
            [start.worker_id for start in starts],
            ["w-2"] * 2 + ["w-1"] * 5,
        )
        local.apply(commands.StartRuns(tuple(starts)))
        job = state.job("job-1")
        assert job is not None
        self.assertIs(job.state, jobs.JobState.RUNNING)


if __name__ == "__main__":
    unittest.main()
