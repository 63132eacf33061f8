"""Seeded lists of arrivals, played against the planner on a manual clock."""

from collections.abc import Callable, Iterable, Sequence
import dataclasses
import heapq
import itertools
import random

from tarragoncleat.batch.leader import admission
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.scheduling import planner
from tarragoncleat.batch.scheduling import worker_views
from tarragoncleat.kernel import errors
from tests import batch_builders

__all__ = [
    "Arrival",
    "Builder",
    "LoadResult",
    "build_arrivals",
    "configure",
    "play",
]

_WORKER_MILLICORES = 16_000
_STRETCH = 1.6
_LATENCY_MS = 600
# A job has no value left after this multiple of its objective.
_EXPIRY_OBJECTIVES = 3


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A submission, and how long its tasks really take, in ms.

    Jobs of one kind share a queue, of which `kind` is the name.
    """

    at_ms: int
    job_id: str
    kind: str
    priority: int
    definition: model.JobDefinition
    durations_ms: tuple[tuple[int, ...], ...]

    @property
    def objective_ms(self) -> float:
        """Time within which the caller needs the result."""
        chain_ms = sum(max(step) for step in self.durations_ms)
        return _STRETCH * chain_ms + _LATENCY_MS

    @property
    def core_ms(self) -> int:
        """Work of the job as it really is."""
        return sum(
            step.cpu_millicores * sum(durations_ms) // 1_000
            for step, durations_ms in zip(
                self.definition.steps, self.durations_ms, strict=True
            )
        )


# Returns the arrivals of a seed.
Builder = Callable[[int], list[Arrival]]


@dataclasses.dataclass
class LoadResult:
    """What callers saw.

    Attributes:
        arrivals: What was submitted.
        took_ms: Time from the submission to the end, by job.
        refused: Jobs that were refused, with their failures.
    """

    arrivals: Sequence[Arrival]
    took_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    refused: dict[str, errors.Failure] = dataclasses.field(default_factory=dict)

    def share(self, jobs: Iterable[Arrival], objectives: float = 1.0) -> float:
        """Returns the share of jobs that ended within their objectives."""
        wanted = list(jobs)
        served = sum(
            self.took_ms.get(job.job_id, 1 << 60)
            <= objectives * job.objective_ms
            for job in wanted
        )
        return served / max(1, len(wanted))

    @property
    def in_time(self) -> int:
        """Number of jobs that ended in time."""
        return round(self.share(self.arrivals) * len(self.arrivals))

    @property
    def late(self) -> int:
        """Number of jobs that ended late while their results had a use."""
        useful = self.share(self.arrivals, _EXPIRY_OBJECTIVES)
        return round(useful * len(self.arrivals)) - self.in_time

    @property
    def largest_tenth(self) -> list[Arrival]:
        """The tenth of the jobs with the most work."""
        ordered = sorted(self.arrivals, key=lambda job: -job.core_ms)
        return ordered[: max(1, len(ordered) // 10)]

    def share_of_largest(self) -> float:
        """Returns the share of the largest tenth with a useful result."""
        return self.share(self.largest_tenth, _EXPIRY_OBJECTIVES)

    def share_useful(self) -> float:
        """Returns the share of all jobs with a useful result."""
        return self.share(self.arrivals, _EXPIRY_OBJECTIVES)


def build_arrivals(
    seed: int,
    rates: Sequence[tuple[int, float]],
    priority: int = 1,
    width: tuple[int, int] = (2, 16),
    steps: int = 2,
    error: float = 1.3,
    tail_share: float = 0.0,
    kind: str = "job",
    task_ms: int = 1_000,
) -> list[Arrival]:
    """Returns arrivals at the given rates.

    Args:
        seed: Seed of sizes, times and errors.
        rates: Durations in ms, and the jobs a second during each.
        priority: Priority of the jobs.
        width: Fewest and most tasks of a step.
        steps: Number of steps of each job, one after the other.
        error: Estimates are off by up to this factor, either way.
        tail_share: Share of tasks that take seven times as long.
        kind: Queue of the jobs, and the start of their ids.
        task_ms: Mean of the estimates of a task.
    """
    rng = random.Random(seed)
    result: list[Arrival] = []
    begin_ms = 0
    for span_ms, rate in rates:
        at_ms = begin_ms + rng.expovariate(rate) * 1_000
        while at_ms < begin_ms + span_ms:
            result.append(
                _build_arrival(
                    rng,
                    int(at_ms),
                    f"{kind}-{seed}-{len(result)}",
                    kind,
                    priority,
                    width,
                    steps,
                    task_ms,
                    error,
                    tail_share,
                )
            )
            at_ms += rng.expovariate(rate) * 1_000
        begin_ms += span_ms
    return result


def _build_arrival(
    rng: random.Random,
    at_ms: int,
    job_id: str,
    kind: str,
    priority: int,
    width: tuple[int, int],
    step_count: int,
    task_ms: int,
    error: float,
    tail_share: float,
) -> Arrival:
    fewest, most = width
    # Few jobs are wide, as the product of two draws shows it.
    count = fewest + int((most - fewest + 0.99) * rng.random() * rng.random())
    estimated_ms = int(task_ms * rng.uniform(0.6, 1.4))
    real_ms = estimated_ms * error ** rng.uniform(-1, 1)
    steps = tuple(
        batch_builders.build_step(
            count,
            cpu_millicores=1_500,
            estimated_ms=estimated_ms,
            depends_on=(number - 1,) if number else (),
        )
        for number in range(step_count)
    )
    durations_ms = tuple(
        tuple(
            int(real_ms * (7 if rng.random() < tail_share else 1))
            for _ in range(count)
        )
        for _ in steps
    )
    definition = batch_builders.build_job(*steps)
    return Arrival(at_ms, job_id, kind, priority, definition, durations_ms)


def configure(kinds: dict[str, int]) -> model.FleetConfiguration:
    """Returns a configuration of kinds with their priorities."""
    base = batch_builders.build_configuration(version=2)
    queues = tuple(
        dataclasses.replace(
            base.queues[0],
            name=kind,
            path_prefix=f"/{kind}/",
            priority=priority,
            stretch=_STRETCH,
            latency_ms=_LATENCY_MS,
        )
        for kind, priority in kinds.items()
    )
    return dataclasses.replace(base, queues=queues)


class _Play:
    """A service with workers, a planner and the ends that are due."""

    def __init__(
        self,
        arrivals: Sequence[Arrival],
        workers: int,
        controls_overload: bool,
        refuses: bool,
    ) -> None:
        self.local = batch_builders.LocalState()
        self.local.time_ms = 0
        kinds = {arrival.kind: arrival.priority for arrival in arrivals}
        self.local.apply(commands.PutConfiguration(configure(kinds)))
        self.local.register(
            *(f"w-{number}" for number in range(workers)),
            cpu_millicores=_WORKER_MILLICORES,
            memory_mb=64_000,
        )
        self._cache = worker_views.ViewCache()
        self._planner = planner.Planner(
            self.local.state, controls_overload=controls_overload
        )
        self._timer = batch_builders.ManualTimer()
        supply = admission.Supply(workers * _WORKER_MILLICORES, 0, 1_500)
        self._control: admission.AdmissionControl | None = None
        if refuses:
            self._control = admission.AdmissionControl(
                self.local.state, self._timer, lambda service: supply
            )
        self._serial = itertools.count()
        self.ends: list[tuple[int, int, commands.RunStart]] = []
        self.arrivals: dict[str, Arrival] = {}
        self.result = LoadResult(arrivals)

    def submit(self, arrival: Arrival) -> None:
        """Stores a job unless it is refused."""
        self.arrivals[arrival.job_id] = arrival
        key = model.QueueKey(batch_builders.QUEUE.host, f"/{arrival.kind}/")
        policy = self.local.state.queue(key)
        assert policy is not None
        self._timer.now_s = self.local.time_ms / 1_000
        failure = None
        if self._control is not None:
            failure = self._control.refusal(
                arrival.job_id, arrival.definition, policy
            )
        if failure is not None:
            self.result.refused[arrival.job_id] = failure
            return
        self.local.apply(
            commands.SubmitJob(arrival.job_id, key, arrival.definition)
        )

    def end(self, run: commands.RunStart) -> None:
        """Ends a run, and notes the job's time if that was the last one."""
        self.local.end(run.task, run=run.run, worker_id=run.worker_id)
        job_id = run.task.job_id
        if job_id not in self.local.state.active_jobs:
            at_ms = self.arrivals[job_id].at_ms
            self.result.took_ms[job_id] = self.local.time_ms - at_ms

    def place(self) -> None:
        """Starts what the planner starts now."""
        now_ms = self.local.time_ms
        state = self.local.state
        penalties = dict.fromkeys(state.workers, 0.0)
        views = self._cache.refresh(state, penalties, set(), now_ms)
        plan = self._planner.plan(
            views,
            self._cache.changed_services,
            now_ms,
            self._cache.has_other_workers,
        )
        self.local.apply(commands.StartRuns(tuple(plan.starts)))
        for run in plan.starts:
            durations_ms = self.arrivals[run.task.job_id].durations_ms
            took_ms = durations_ms[run.task.step][run.task.position]
            heapq.heappush(
                self.ends, (now_ms + took_ms, next(self._serial), run)
            )


def play(
    arrivals: Sequence[Arrival],
    workers: int,
    controls_overload: bool,
    refuses: bool = False,
) -> LoadResult:
    """Plays arrivals to the end of all jobs, and returns what callers saw.

    Args:
        arrivals: What callers submit.
        workers: Number of workers.
        controls_overload: Whether the order depends on the work of jobs.
        refuses: Whether submissions may be refused.
    """
    waiting = sorted(arrivals, key=lambda arrival: arrival.at_ms)
    fleet = _Play(arrivals, workers, controls_overload, refuses)
    while waiting or fleet.ends:
        due_ms = [waiting[0].at_ms] if waiting else []
        due_ms += [fleet.ends[0][0]] if fleet.ends else []
        fleet.local.time_ms = min(due_ms)
        while waiting and waiting[0].at_ms <= fleet.local.time_ms:
            fleet.submit(waiting.pop(0))
        while fleet.ends and fleet.ends[0][0] <= fleet.local.time_ms:
            fleet.end(heapq.heappop(fleet.ends)[2])
        fleet.place()
    return fleet.result
