"""Simulation of the placement of a stream of jobs, with a virtual clock."""

import collections
from collections.abc import Sequence
import dataclasses
import heapq
import math
import random
import time

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import placer
from tarragoncleat.decisions import preemption
from tarragoncleat.decisions import usage
from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import profiles
from tarragoncleat_bench import baselines
from tarragoncleat_bench import planning_fleet

__all__ = ["Outcome", "Stream"]

_MS_PER_S = 1000
_START_MS = 3_600_000
_TICK_MS = 500
# Usage reports reach the model every 10 s.
_REPORT_TICKS = 20
_KIND_COUNT = 20
_MEAN_RUN_S = 60.0
_URGENT_SHARE = 0.02
_SLOWDOWN_FLOOR_S = 10.0
_JOB_STATE = jobs.JobState


@dataclasses.dataclass(frozen=True, slots=True)
class _JobKind:
    """Jobs of one name, whose declared values are off by constant factors."""

    name: str
    cores: float
    memory_mb: int
    run_s: float
    declared: jobs.Demand
    declared_run_s: float


@dataclasses.dataclass(slots=True)
class Outcome:
    """Results of placing a stream of jobs.

    Attributes:
        urgent_s: Waiting times of urgent jobs.
        waits_s: Waiting times of all jobs until their first start.
        slowdowns: (Time from submission to end) / (run time); run times
            below 10 s count as 10 s.
        interrupted: Interruptions for urgent jobs.
        overloaded: Share of instance samples whose jobs used more cores than
            the instance has.
        waiting: Jobs still waiting at the end.
        decisions_s: Wall-clock time of each decision.
        placed: Placements made.
    """

    urgent_s: list[float] = dataclasses.field(default_factory=list)
    waits_s: list[float] = dataclasses.field(default_factory=list)
    slowdowns: list[float] = dataclasses.field(default_factory=list)
    interrupted: int = 0
    overloaded: float = 0.0
    waiting: int = 0
    decisions_s: list[float] = dataclasses.field(default_factory=list)
    placed: int = 0


class Stream:
    """A fleet and a stream of jobs that offers it a given load."""

    def __init__(
        self, size: planning_fleet.Size, load: float, seed: int
    ) -> None:
        """Builds the fleet and the kinds of jobs.

        Args:
            size: The fleet.
            load: Offered work as a share of the fleet's processors.
            seed: Seed of the random numbers.
        """
        self._rng = random.Random(seed)
        self._fleet = planning_fleet.build(size, self._rng)
        self._kinds = {
            service_id: [self._draw_kind(size, n) for n in range(_KIND_COUNT)]
            for service_id in self._fleet.services
        }
        work_core_s = [
            kind.cores * kind.run_s
            for kinds in self._kinds.values()
            for kind in kinds
        ]
        mean_work_core_s = sum(work_core_s) / len(work_core_s)
        self._arrivals_per_s = (
            load * size.instances * size.cores / mean_work_core_s
        )
        self._index = fleet_view.FleetIndex()
        self._actual_kinds: dict[ids.JobId, _JobKind] = {}
        self._remaining_run_s: dict[ids.JobId, float] = {}
        self._started_jobs: set[ids.JobId] = set()
        self._planned_ends: list[tuple[int, ids.JobId, int]] = []
        self._outcome = Outcome()
        self._sample_count = 0
        self._overloaded_count = 0
        self._submitted_count = 0

    def run(
        self, duration_s: float, use_placer: bool = True, predict: bool = False
    ) -> Outcome:
        """Runs the stream.

        Args:
            duration_s: Simulated time.
            use_placer: Whether the product's placer decides, or first-fit.
            predict: Whether the placer predicts run times from the last similar
                job.
        """
        model = usage.UsageModel(predict_run_times=predict)
        job_placer = placer.Placer(model) if use_placer else None
        ticks = int(duration_s * _MS_PER_S / _TICK_MS)
        for tick in range(ticks):
            now_ms = _START_MS + tick * _TICK_MS
            self._end_jobs(now_ms, model)
            self._submit(now_ms)
            started_s = time.perf_counter()
            view = self._index.refresh(self._fleet)
            if job_placer is None:
                decision = placer.Decision(
                    placements=tuple(baselines.first_fit(view))
                )
            else:
                decision = job_placer.place(view, now_ms, lambda _: True)
            self._outcome.decisions_s.append(time.perf_counter() - started_s)
            self._interrupt(decision.interruptions, now_ms)
            self._start(decision.placements, now_ms)
            if tick % _REPORT_TICKS == 0:
                self._report_usage(model)
                self._sample_overload(view)
        self._outcome.overloaded = self._overloaded_count / max(
            1, self._sample_count
        )
        self._outcome.waiting = sum(
            job.state in fleet_view.WAITING_JOB_STATES
            for job in self._fleet.jobs.values()
        )
        return self._outcome

    def _draw_kind(self, size: planning_fleet.Size, number: int) -> _JobKind:
        rng = self._rng
        cores = rng.choice([0.5, 1.0, 2.0, 4.0, 8.0])
        memory_mb = rng.choice([512, 2_048, 8_192])
        run_s = _MEAN_RUN_S * rng.choice([0.1, 0.5, 1.0, 2.0])
        declared = jobs.Demand(
            min(size.cores, cores * rng.choice([0.5, 1.0, 1.0, 2.0, 4.0])),
            memory_mb,
        )
        declared_run_s = run_s * 10 ** rng.uniform(-1, 1)
        name = f"kind-{number}"
        return _JobKind(name, cores, memory_mb, run_s, declared, declared_run_s)

    def _submit(self, now_ms: int) -> None:
        mean_arrivals = self._arrivals_per_s * _TICK_MS / _MS_PER_S
        services = sorted(self._kinds)
        for _ in range(_draw_poisson(self._rng, mean_arrivals)):
            service_id = self._rng.choice(services)
            kind = self._rng.choice(self._kinds[service_id])
            self._submitted_count += 1
            job_id = ids.JobId(f"j{self._submitted_count:09}")
            self._actual_kinds[job_id] = kind
            self._remaining_run_s[job_id] = kind.run_s * self._rng.uniform(
                0.9, 1.1
            )
            self._fleet.jobs[job_id] = jobs.Job(
                job_id,
                service_id,
                None,
                kind.declared,
                kind.declared_run_s,
                name=kind.name,
                urgent=self._rng.random() < _URGENT_SHARE,
                submitted_at_ms=now_ms,
            )

    def _start(
        self,
        placements: Sequence[placer.Placement],
        now_ms: int,
    ) -> None:
        for placement in placements:
            job = self._fleet.jobs[placement.job_id]
            job = dataclasses.replace(
                job,
                state=_JOB_STATE.RUNNING,
                instance_id=placement.instance_id,
                attempt=job.attempt + 1,
                started_at_ms=now_ms,
                reserved=placement.size,
            )
            self._fleet.jobs[placement.job_id] = job
            end_ms = now_ms + int(
                self._remaining_run_s[placement.job_id] * _MS_PER_S
            )
            heapq.heappush(
                self._planned_ends, (end_ms, placement.job_id, job.attempt)
            )
            self._record_first_start(job, now_ms)
        self._outcome.placed += len(placements)

    def _record_first_start(self, job: jobs.Job, now_ms: int) -> None:
        if job.job_id in self._started_jobs:
            return
        self._started_jobs.add(job.job_id)
        wait_s = (now_ms - job.submitted_at_ms) / _MS_PER_S
        self._outcome.waits_s.append(wait_s)
        if job.urgent:
            self._outcome.urgent_s.append(wait_s)

    def _end_jobs(self, now_ms: int, model: usage.UsageModel) -> None:
        while self._planned_ends and self._planned_ends[0][0] <= now_ms:
            end_ms, job_id, attempt = heapq.heappop(self._planned_ends)
            job = self._fleet.jobs.get(job_id)
            if job is None or job.attempt != attempt:
                continue
            if job.state not in fleet_view.ACTIVE_JOB_STATES:
                continue
            del self._fleet.jobs[job_id]
            self._record_usage(model, job)
            run_s = (end_ms - job.started_at_ms) / _MS_PER_S
            model.record_completion(job, job_id, run_s)
            total_s = (end_ms - job.submitted_at_ms) / _MS_PER_S
            ideal_s = max(_SLOWDOWN_FLOOR_S, self._actual_kinds[job_id].run_s)
            self._outcome.slowdowns.append(max(1.0, total_s / ideal_s))

    def _interrupt(
        self, interruptions: Sequence[preemption.Interruption], now_ms: int
    ) -> None:
        for interruption in interruptions:
            job = self._fleet.jobs[interruption.job.job_id]
            ran_s = (now_ms - job.started_at_ms) / _MS_PER_S
            self._outcome.interrupted += 1
            if interruption.action is profiles.Interruption.CHECKPOINT:
                remaining_s = max(
                    0.5, self._remaining_run_s[job.job_id] - ran_s
                )
                self._remaining_run_s[job.job_id] = remaining_s
                job = dataclasses.replace(
                    job,
                    state=_JOB_STATE.CHECKPOINTED,
                    instance_id=None,
                    reserved=None,
                )
            self._fleet.jobs[job.job_id] = job

    def _report_usage(self, model: usage.UsageModel) -> None:
        for job in self._fleet.jobs.values():
            if job.state in fleet_view.ACTIVE_JOB_STATES:
                self._record_usage(model, job)

    def _record_usage(self, model: usage.UsageModel, job: jobs.Job) -> None:
        kind = self._actual_kinds[job.job_id]
        model.record_usage(job, job.job_id, kind.cores, kind.memory_mb)

    def _sample_overload(self, view: fleet_view.FleetView) -> None:
        used_cores: dict[ids.InstanceId, float] = collections.defaultdict(float)
        for pool in view.pools.values():
            for name, active_jobs in pool.active.items():
                used_cores[name] = sum(
                    self._actual_kinds[j.job_id].cores for j in active_jobs
                )
        for name, instance in view.instances.items():
            self._sample_count += 1
            self._overloaded_count += int(
                used_cores[name] > instance.cores + 1e-6
            )


def _draw_poisson(rng: random.Random, mean: float) -> int:
    """Draws a Poisson number; splits large means to keep exp() precise."""
    total = 0
    while mean > 0:
        part = min(mean, 500.0)
        mean -= part
        limit, product = math.exp(-part), rng.random()
        while product > limit:
            total += 1
            product *= rng.random()
    return total
