"""Simulates the placement of a stream of jobs in simulated time."""

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
_KINDS = 20
_MEAN_RUN_S = 60.0
_URGENT_SHARE = 0.02
_SLOWDOWN_FLOOR_S = 10.0
_STATE = jobs.JobState


@dataclasses.dataclass(frozen=True, slots=True)
class _Kind:
    """Jobs of one name; what they declare is wrong by a constant factor."""

    name: str
    cores: float
    memory_mb: int
    run_s: float
    declared: jobs.Demand
    declared_run_s: float


@dataclasses.dataclass(slots=True)
class Outcome:
    """What the placement of a stream gave.

    Attributes:
        urgent_s: Waiting times of urgent jobs.
        waits_s: Waiting times of all jobs until their first start.
        slowdowns: (Time until done) / (run time), with short jobs counted as
            10 s.
        interrupted: Interruptions for urgent jobs.
        overloaded: Share of instance samples whose jobs really used more than
            the instance has.
        waiting: Jobs that waited at the end.
        decisions_s: Real time of each decision.
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
    """A fleet and a stream of jobs at a given share of its processors."""

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
            service_id: [self._draw_kind(size, n) for n in range(_KINDS)]
            for service_id in self._fleet.services
        }
        work = [
            kind.cores * kind.run_s
            for kinds in self._kinds.values()
            for kind in kinds
        ]
        mean_work = sum(work) / len(work)
        self._rate = load * size.instances * size.cores / mean_work
        self._index = fleet_view.FleetIndex()
        self._true: dict[ids.JobId, _Kind] = {}
        self._left_s: dict[ids.JobId, float] = {}
        self._first_start: set[ids.JobId] = set()
        self._ends: list[tuple[int, ids.JobId, int]] = []
        self._outcome = Outcome()
        self._samples = 0
        self._overloaded = 0
        self._count = 0

    def run(
        self, duration_s: float, own: bool = True, predict: bool = False
    ) -> Outcome:
        """Runs the stream.

        Args:
            duration_s: Simulated time.
            own: Whether the project's placer decides, or first-fit.
            predict: Whether the placer uses the last similar run time.
        """
        model = usage.UsageModel(predict_run_times=predict)
        chooser = placer.Placer(model) if own else None
        ticks = int(duration_s * _MS_PER_S / _TICK_MS)
        for tick in range(ticks):
            now_ms = _START_MS + tick * _TICK_MS
            self._end_jobs(now_ms, model)
            self._submit(now_ms)
            began_s = time.perf_counter()
            view = self._index.refresh(self._fleet)
            if chooser is None:
                decision = placer.Decision(
                    placements=tuple(baselines.first_fit(view))
                )
            else:
                decision = chooser.place(view, now_ms, lambda _: True)
            self._outcome.decisions_s.append(time.perf_counter() - began_s)
            self._interrupt(decision.interruptions, now_ms)
            self._start(decision.placements, now_ms)
            if tick % _REPORT_TICKS == 0:
                self._report_usage(model)
                self._sample(view)
        self._outcome.overloaded = self._overloaded / max(1, self._samples)
        self._outcome.waiting = sum(
            job.state in fleet_view.WAITING_JOB_STATES
            for job in self._fleet.jobs.values()
        )
        return self._outcome

    def _draw_kind(self, size: planning_fleet.Size, number: int) -> _Kind:
        rng = self._rng
        cores = rng.choice([0.5, 1.0, 2.0, 4.0, 8.0])
        memory_mb = rng.choice([512, 2_048, 8_192])
        run_s = _MEAN_RUN_S * rng.choice([0.1, 0.5, 1.0, 2.0])
        declared = jobs.Demand(
            min(size.cores, cores * rng.choice([0.5, 1.0, 1.0, 2.0, 4.0])),
            memory_mb,
        )
        wrong_s = run_s * 10 ** rng.uniform(-1, 1)
        name = f"kind-{number}"
        return _Kind(name, cores, memory_mb, run_s, declared, wrong_s)

    def _submit(self, now_ms: int) -> None:
        expected = self._rate * _TICK_MS / _MS_PER_S
        services = sorted(self._kinds)
        for _ in range(_poisson(self._rng, expected)):
            service_id = self._rng.choice(services)
            kind = self._rng.choice(self._kinds[service_id])
            self._count += 1
            job_id = ids.JobId(f"j{self._count:09}")
            self._true[job_id] = kind
            self._left_s[job_id] = kind.run_s * self._rng.uniform(0.9, 1.1)
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
        for item in placements:
            job = self._fleet.jobs[item.job_id]
            job = dataclasses.replace(
                job,
                state=_STATE.RUNNING,
                instance_id=item.instance_id,
                attempt=job.attempt + 1,
                started_at_ms=now_ms,
                reserved=item.size,
            )
            self._fleet.jobs[item.job_id] = job
            end_ms = now_ms + int(self._left_s[item.job_id] * _MS_PER_S)
            heapq.heappush(self._ends, (end_ms, item.job_id, job.attempt))
            self._count_start(job, now_ms)
        self._outcome.placed += len(placements)

    def _count_start(self, job: jobs.Job, now_ms: int) -> None:
        if job.job_id in self._first_start:
            return
        self._first_start.add(job.job_id)
        wait_s = (now_ms - job.submitted_at_ms) / _MS_PER_S
        self._outcome.waits_s.append(wait_s)
        if job.urgent:
            self._outcome.urgent_s.append(wait_s)

    def _end_jobs(self, now_ms: int, model: usage.UsageModel) -> None:
        while self._ends and self._ends[0][0] <= now_ms:
            end_ms, job_id, attempt = heapq.heappop(self._ends)
            job = self._fleet.jobs.get(job_id)
            if job is None or job.attempt != attempt:
                continue
            if job.state not in fleet_view.ACTIVE_JOB_STATES:
                continue
            del self._fleet.jobs[job_id]
            self._observe(model, job)
            run_s = (end_ms - job.started_at_ms) / _MS_PER_S
            model.record_completion(job, job_id, run_s)
            total_s = (end_ms - job.submitted_at_ms) / _MS_PER_S
            alone_s = max(_SLOWDOWN_FLOOR_S, self._true[job_id].run_s)
            self._outcome.slowdowns.append(max(1.0, total_s / alone_s))

    def _interrupt(
        self, interruptions: Sequence[preemption.Interruption], now_ms: int
    ) -> None:
        for item in interruptions:
            job = self._fleet.jobs[item.job.job_id]
            ran_s = (now_ms - job.started_at_ms) / _MS_PER_S
            self._outcome.interrupted += 1
            if item.action is profiles.Interruption.CHECKPOINT:
                left_s = max(0.5, self._left_s[job.job_id] - ran_s)
                self._left_s[job.job_id] = left_s
                job = dataclasses.replace(
                    job,
                    state=_STATE.CHECKPOINTED,
                    instance_id=None,
                    reserved=None,
                )
            self._fleet.jobs[job.job_id] = job

    def _report_usage(self, model: usage.UsageModel) -> None:
        for job in self._fleet.jobs.values():
            if job.state in fleet_view.ACTIVE_JOB_STATES:
                self._observe(model, job)

    def _observe(self, model: usage.UsageModel, job: jobs.Job) -> None:
        kind = self._true[job.job_id]
        model.record_usage(job, job.job_id, kind.cores, kind.memory_mb)

    def _sample(self, view: fleet_view.FleetView) -> None:
        used: dict[ids.InstanceId, float] = collections.defaultdict(float)
        for pool in view.pools.values():
            for name, active in pool.active.items():
                used[name] = sum(self._true[j.job_id].cores for j in active)
        for name, instance in view.instances.items():
            self._samples += 1
            self._overloaded += int(used[name] > instance.cores + 1e-6)


def _poisson(rng: random.Random, mean: float) -> int:
    """Draws a Poisson number; large means in parts, for the precision."""
    total = 0
    while mean > 0:
        part = min(mean, 500.0)
        mean -= part
        limit, product = math.exp(-part), rng.random()
        while product > limit:
            total += 1
            product *= rng.random()
    return total
