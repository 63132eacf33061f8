"""Benchmark of multi-step jobs: commands, placement and snapshots.

Measures what they cost the leader, in processor time of this process only,
so that other load on the machine has little effect. docs/CAPACITY.md has the
slopes by task and worker.
"""

from collections.abc import Callable
import itertools
import random
import statistics
import time
from typing import NamedTuple

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import customers
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.scheduling import planner
from tarragoncleat.batch.scheduling import worker_views
from tarragoncleat.kernel import codec
from tarragoncleat_bench import rows

__all__ = ["run"]

_GROUP = "batch"
_QUEUE_COUNT = 8
_WORKER_COUNTS = (40, 180, 272, 1_000)
_TASKS_PER_JOB = 8
_PLAN_REPETITIONS = 5
_REPLACED_TASKS = 50
_NOW_MS = 1_000
# Submitted work relative to what the pools can run at once, approximately.
_OVERLOAD_FACTOR = 3
_CUSTOMER_COUNT = 20
# Part of the fleet that the cap of each customer covers.
_CAP_SHARE = 0.15
_WORKER_MILLICORES = 16_000
# So large that no job is beyond its customer's weight.
_WEIGHT_PER_WORKER = 2.0
_US_PER_S = 1_000_000
_MS_PER_S = 1_000


class _BatchFleet:
    """Applies commands to a batch state without the replicated log."""

    def __init__(
        self,
        workers: int,
        seed: int,
        policies: tuple[model.CustomerPolicy, ...] | None = None,
    ) -> None:
        self._customers = policies
        # Jobs are the same with and without customers.
        self._customer_random = random.Random(seed)
        self.state = state_module.BatchState()
        self._index = itertools.count(1)
        self._random = random.Random(seed)
        self._views = worker_views.ViewCache()
        self._planner = planner.Planner(self.state)
        service_names = [f"service-{number}" for number in range(_QUEUE_COUNT)]
        queues = tuple(
            model.QueuePolicy(
                name, "host", f"/{name}/", name, 3_000, 600, 0, 3, 1.6
            )
            for name in service_names
        )
        services = tuple(
            model.ServicePolicy(name, True, False) for name in service_names
        )
        self.apply(
            commands.PutConfiguration(
                model.FleetConfiguration(1, b"{}", queues, services, policies)
            )
        )
        self.queues = [queue.key for queue in queues]
        for number in range(workers):
            record = model.WorkerRecord(
                f"w-{number}",
                service_names[number % _QUEUE_COUNT],
                f"10.0.0.{number}:80",
                "zone",
                f"i-{number}",
                ("a", f"r-{number // 8}"),
                f"r-{number // 8}",
                _WORKER_MILLICORES,
                65_536,
                0,
            )
            self.apply(commands.RegisterWorker(record))

    def apply(self, command: commands.Command) -> None:
        payload = codec.encode(command)
        self.state.apply(next(self._index), 1_000, payload)

    def submit(self, count: int, first_number: int = 0) -> None:
        for number in range(first_number, first_number + count):
            step = model.StepDefinition(
                _TASKS_PER_JOB, self._random.randrange(300, 2_000), 512, 0, 900
            )
            job_id = f"{number:016x}"
            queue = self.queues[number % _QUEUE_COUNT]
            definition = model.JobDefinition("x" * 75, (step,))
            if self._customers is None:
                self.apply(commands.SubmitJob(job_id, queue, definition))
                continue
            weights = [customer.weight for customer in self._customers]
            (customer,) = self._customer_random.choices(
                self._customers, weights
            )
            key = customer.key_digests[0]
            self.apply(
                commands.SubmitCustomerJob(job_id, queue, definition, key)
            )

    def plan(self) -> list[commands.RunStart]:
        """Plans what changed since the last plan."""
        schedulable_workers = dict.fromkeys(self.state.workers, 0.0)
        views = self._views.refresh(self.state, schedulable_workers)
        return self._planner.plan(
            views,
            self._views.changed_services,
            _NOW_MS,
            self._views.has_other_workers,
        ).starts

    def plan_anew(self) -> list[commands.RunStart]:
        """Plans everything, as a leader does at the start of its term."""
        self._planner = planner.Planner(self.state)
        return self.plan()

    def replace_a_task(self) -> float:
        """Ends a task and plans; returns the plan's processor time, in s."""
        worker = next(w for w in self.state.workers.values() if w.tasks)
        task = next(iter(self.state.tasks_on(worker)))
        self.apply(
            commands.EndRuns(
                (
                    commands.RunEnd(
                        task.key,
                        task.run,
                        worker.record.worker_id,
                        commands.Ending.DONE,
                        "",
                    ),
                )
            )
        )
        starts: list[commands.RunStart] = []
        plan_s = _processor_time_s(lambda: starts.extend(self.plan()))
        self.apply(commands.StartRuns(tuple(starts)))
        return plan_s


def run(seed: int) -> list[rows.Row]:
    """Measures commands, placement and snapshots at three sizes."""
    measured = []
    for workers in _WORKER_COUNTS:
        measured.extend(_measure(workers, seed))
    return measured


def _measure(workers: int, seed: int) -> list[rows.Row]:
    fleet = _BatchFleet(workers, seed)
    jobs = workers
    submit_s = _processor_time_s(lambda: fleet.submit(jobs))
    # Planning changes no state, so it is repeated; the shortest time counts.
    plan_s = min(
        _processor_time_s(fleet.plan_anew) for _ in range(_PLAN_REPETITIONS)
    )
    starts = fleet.plan_anew()
    start_s = _processor_time_s(
        lambda: fleet.apply(commands.StartRuns(tuple(starts)))
    )
    full_fleet_plan_s = min(
        _processor_time_s(fleet.plan_anew) for _ in range(_PLAN_REPETITIONS)
    )
    plain, shared = _overload_plans_s(workers, seed)
    snapshot_s = _processor_time_s(fleet.state.snapshot)
    ends = tuple(
        commands.RunEnd(
            start.task, start.run, start.worker_id, commands.Ending.DONE, ""
        )
        for start in starts
    )
    end_s = _processor_time_s(lambda: fleet.apply(commands.EndRuns(ends)))
    size = f"{workers} workers, {jobs} jobs"
    return [
        _row(f"accept a job, {size}", "us", submit_s / jobs * _US_PER_S, seed),
        _row(f"plan a burst, {size}", "ms", plan_s * _MS_PER_S, seed),
        _row(
            f"plan a full fleet, {size}",
            "ms",
            full_fleet_plan_s * _MS_PER_S,
            seed,
        ),
        *_overload_rows(size, seed, plain, None),
        *_overload_rows(
            f"{size}, {_CUSTOMER_COUNT} customers", seed, shared, plain
        ),
        _row(
            f"store a start, {size}",
            "us",
            start_s / len(starts) * _US_PER_S,
            seed,
        ),
        _row(
            f"store an end, {size}", "us", end_s / len(ends) * _US_PER_S, seed
        ),
        _row(f"snapshot, {size}", "ms", snapshot_s * _MS_PER_S, seed),
    ]


class _OverloadPlans(NamedTuple):
    """Processor times of plans when all workers are full, in s.

    Attributes:
        anew_s: Time of a plan of everything.
        replaced_s: Mean time of plans after the end of one task.
    """

    anew_s: float
    replaced_s: float


def _overload_rows(
    size: str,
    seed: int,
    plans: _OverloadPlans,
    baseline: _OverloadPlans | None,
) -> list[rows.Row]:
    names = (
        f"plan with {_OVERLOAD_FACTOR} times as many jobs as run, {size}",
        f"plan after the end of a task, {_OVERLOAD_FACTOR} times as many"
        f" jobs as run, {size}",
    )
    return [
        rows.Row(
            _GROUP,
            name,
            "ms",
            figure_s * _MS_PER_S,
            baseline=baseline[number] * _MS_PER_S if baseline else None,
            seed=seed,
        )
        for number, (name, figure_s) in enumerate(
            zip(names, plans, strict=True)
        )
    ]


def _overload_plans_s(
    workers: int, seed: int
) -> tuple[_OverloadPlans, _OverloadPlans]:
    """Measures plans under overload without and with customers, by turns."""
    fleets = [
        _overloaded_fleet(workers, seed, policies)
        for policies in (None, _customer_policies(workers))
    ]
    anew_s: list[list[float]] = [[], []]
    replaced_s: list[list[float]] = [[], []]
    for _ in range(_PLAN_REPETITIONS):
        for fleet, times_s in zip(fleets, anew_s, strict=True):
            times_s.append(_processor_time_s(fleet.plan_anew))
    for _ in range(_REPLACED_TASKS):
        for fleet, times_s in zip(fleets, replaced_s, strict=True):
            times_s.append(fleet.replace_a_task())
    plain, shared = (
        _OverloadPlans(min(anew), statistics.mean(replaced))
        for anew, replaced in zip(anew_s, replaced_s, strict=True)
    )
    return plain, shared


def _overloaded_fleet(
    workers: int, seed: int, policies: tuple[model.CustomerPolicy, ...] | None
) -> _BatchFleet:
    fleet = _BatchFleet(workers, seed, policies)
    running = 0
    submitted = 0
    while submitted < _OVERLOAD_FACTOR * max(running, workers):
        fleet.submit(workers, first_number=submitted)
        submitted += workers
        starts = fleet.plan()
        fleet.apply(commands.StartRuns(tuple(starts)))
        running += len(starts) // _TASKS_PER_JOB
    return fleet


def _customer_policies(workers: int) -> tuple[model.CustomerPolicy, ...]:
    """Returns customers of which a few have most of the weight."""
    parts = [1 / (number + 1) for number in range(_CUSTOMER_COUNT)]
    cap = int(_CAP_SHARE * workers * _WORKER_MILLICORES)
    return tuple(
        model.CustomerPolicy(
            model.CustomerName(f"customer-{number}"),
            (customers.digest_key(b"key-%d" % number),),
            _WEIGHT_PER_WORKER * workers * part / sum(parts),
            model.Resources(cap, 0, 0),
        )
        for number, part in enumerate(parts)
    )


def _processor_time_s(function: Callable[[], object]) -> float:
    started_s = time.process_time()
    function()
    return time.process_time() - started_s


def _row(name: str, unit: str, figure: float, seed: int) -> rows.Row:
    return rows.Row(_GROUP, name, unit, figure, seed=seed)
