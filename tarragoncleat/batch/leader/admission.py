"""Refuses submissions whose jobs could not be served before they expire.

A wrong refusal costs a caller the whole job, so only what is known counts: the
work that would go before the job for certain, at half of its estimate, against
the capacity that is there or can come. Jobs that fit no present worker are
stored: a larger worker may register, and their callers see them fail or run.
"""

import collections
from collections.abc import Callable, Mapping
import dataclasses
import math
import zlib

from tarragoncleat.batch import events
from tarragoncleat.batch.pools import pool_sizing
from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.scheduling import job_order
from tarragoncleat.batch.scheduling import overload
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module

__all__ = [
    "AdmissionControl",
    "Backlog",
    "Supply",
    "build_supply",
    "WaitingLog",
]

# Service, priority and outlook.
_WaitingKey = tuple[str, int, str]

_MS_PER_S = 1_000
_MILLICORES_PER_CORE = 1_000
# Estimates of work may be twice too long.
_CERTAIN_SHARE_OF_ESTIMATE = 0.5
# A backlog is summed up again after this time. Its drain is counted from when
# it was, so an older one is no less exact.
_BACKLOG_AGE_MS = 500
_MAX_RETRY_AFTER_S = 60
_MAX_REMEMBERED = 10_000
_ROOM_FACTOR = 4
_STORAGE_RETRY_S = 5
# The times of a rank don't depend on the means.
_NO_MEANS = overload.MeanWork()


@dataclasses.dataclass(frozen=True, slots=True)
class Supply:
    """Capacity for a service, in 1/1000 core.

    Attributes:
        present_millicores: Capacity of its workers.
        movable_millicores: Capacity that is on its way, or idle elsewhere.
        move_ms: Time until that capacity can work for the service.
    """

    present_millicores: int
    movable_millicores: int
    move_ms: int

    def drain_ms(self, core_ms: float) -> float:
        """Returns the least time in which an amount of work can be done."""
        millicore_ms = core_ms * _MILLICORES_PER_CORE
        all_millicores = self.present_millicores + self.movable_millicores
        if not all_millicores:
            return math.inf
        if millicore_ms <= self.present_millicores * self.move_ms:
            return millicore_ms / self.present_millicores
        late_ms = self.movable_millicores * self.move_ms
        return (millicore_ms + late_ms) / all_millicores


def build_supply(
    service: str,
    state: state_module.BatchState,
    demands: Mapping[str, pool_sizing.Demand],
    coming: int,
    move_ms: int,
) -> Supply | None:
    """Returns the capacity for a service, or None if nothing waits there.

    What is idle in other pools counts as able to move there.

    Args:
        service: Name of the service.
        state: The replicated state.
        demands: Load by service.
        coming: Number of instances that are switched off or on their way.
        move_ms: Duration of a move.
    """
    demand = demands.get(service)
    if demand is None or not (
        demand.unplaced_millicores or demand.late_millicores
    ):
        return None
    present = sum(
        worker.record.cpu_millicores
        for worker in state.workers.values()
        if worker.record.service == service
    )
    idle = sum(
        max(0, other.free_millicores)
        for name, other in demands.items()
        if name != service
    )
    movable = idle + coming * demand.instance_millicores
    return Supply(present, movable, move_ms)


@dataclasses.dataclass(slots=True)
class _WaitingTasks:
    """Tasks of one demand that may start and have no worker.

    Attributes:
        in_time_core_ms: Estimated work of those that can be in time.
        core_ms: Estimated work of all whose results are still useful.
        task_ms: Longest estimate of one.
        latest_start_ms: Until when some can start in time.
        latest_useful_start_ms: Until when some can start to be of use.
    """

    in_time_core_ms: int = 0
    core_ms: int = 0
    task_ms: int = 0
    latest_start_ms: float = 0.0
    latest_useful_start_ms: float = 0.0

    def add(
        self, rank: job_order.JobRank, core_ms: int, task_ms: int, now_ms: int
    ) -> None:
        """Adds tasks of a job that has not expired."""
        if now_ms <= rank.latest_start_ms:
            self.in_time_core_ms += core_ms
        self.core_ms += core_ms
        self.task_ms = max(self.task_ms, task_ms)
        self.latest_start_ms = max(self.latest_start_ms, rank.latest_start_ms)
        self.latest_useful_start_ms = max(
            self.latest_useful_start_ms, rank.expires_ms
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """Work that goes before any new job of one service and priority.

    Attributes:
        summed_ms: When it was summed up, in ms since the epoch.
        tasks: Waiting tasks by their demand.
    """

    summed_ms: int
    tasks: dict[model.Resources, _WaitingTasks]

    def drain_ms(self, supply: Supply) -> float:
        """Returns how long the work takes by its estimate."""
        return supply.drain_ms(
            sum(waiting.core_ms for waiting in self.tasks.values())
        )

    def keeps_out(
        self,
        step: model.StepDefinition,
        due_ms: float,
        expires_ms: float,
        supply: Supply,
    ) -> bool:
        """Whether a step of a new job is certain to start too late.

        Only tasks count that fit wherever those of the step do: while they
        wait, the step finds no room.

        Args:
            step: The step.
            due_ms: Until when the job can meet its objective.
            expires_ms: Until when its result is useful.
            supply: Capacity for the service.
        """
        ahead = [
            waiting
            for demand, waiting in self.tasks.items()
            if demand.fits_into(step.demand)
        ]
        if not ahead:
            return False
        # All have started when the last of them still have to run.
        last_ms = max(waiting.task_ms for waiting in ahead)
        in_time_until_ms = self._waits_until_ms(
            sum(waiting.in_time_core_ms for waiting in ahead), last_ms, supply
        )
        until_ms = self._waits_until_ms(
            sum(waiting.core_ms for waiting in ahead), last_ms, supply
        )
        own_ms = _CERTAIN_SHARE_OF_ESTIMATE * step.estimated_ms
        # Jobs that have become late give way to those in time, and useless
        # ones to late ones.
        latest_ms = max(waiting.latest_start_ms for waiting in ahead)
        useful_ms = max(waiting.latest_useful_start_ms for waiting in ahead)
        return (
            min(in_time_until_ms, latest_ms) > due_ms - own_ms
            and min(until_ms, useful_ms) > expires_ms - own_ms
        )

    def _waits_until_ms(
        self, core_ms: int, last_ms: int, supply: Supply
    ) -> float:
        """Returns until when some of an amount of work waits for certain."""
        certain_core_ms = _CERTAIN_SHARE_OF_ESTIMATE * core_ms
        return self.summed_ms + supply.drain_ms(certain_core_ms) - last_ms


class AdmissionControl:
    """Decides whether the leader stores a submission."""

    def __init__(
        self,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        supply: Callable[[str], Supply | None],
    ) -> None:
        """Creates the control of a node that may lead.

        Args:
            state: The replicated state, read only.
            timer: Clock.
            supply: Returns the capacity for a service, or None if nothing is
                known to wait there.
        """
        self._state = state
        self._timer = timer
        self._supply = supply
        self._backlogs: dict[tuple[str, int], Backlog] = {}
        # Number of attempts by job that may be in the log.
        self._in_doubt: collections.Counter[str] = collections.Counter()
        # Number of refusals by job.
        self._refusals: dict[str, int] = {}

    def begin_commit(self, job_id: str) -> None:
        """Notes that a submission may be in the log from now on."""
        self._in_doubt[job_id] += 1
        if len(self._in_doubt) > _MAX_REMEMBERED:
            del self._in_doubt[next(iter(self._in_doubt))]

    def end_commit(self, job_id: str, result: object) -> None:
        """Forgets a submission unless its fate is still open."""
        if (
            isinstance(result, errors.Failure)
            and result.kind is errors.ErrorKind.UNDECIDED
        ):
            return
        self._in_doubt[job_id] -= 1
        if self._in_doubt[job_id] <= 0:
            del self._in_doubt[job_id]
        self._refusals.pop(job_id, None)

    def refusal(
        self,
        job_id: str,
        definition: model.JobDefinition,
        policy: model.QueuePolicy,
    ) -> errors.Failure | None:
        """Returns why a submission isn't stored, or None if it may be.

        The caller has to make sure that the job isn't stored already.
        """
        supply = self._supply(policy.service)
        if (
            job_id in self._in_doubt
            or definition.repeat_count
            or supply is None
            or not supply.present_millicores
        ):
            return None
        now_ms = self._timer.wall_time_ms()
        job = jobs_module.Job(job_id, policy.key, definition, now_ms)
        if job.is_long_running:
            return None
        due_ms = now_ms + job_order.objective_ms(job, policy)
        expires_ms = now_ms + job_order.lifetime_ms(job, policy)
        backlog = self._backlog(policy, now_ms)
        if not any(
            backlog.keeps_out(step, due_ms, expires_ms, supply)
            for step in definition.steps
        ):
            return None
        wait_ms = backlog.drain_ms(supply)
        retry_after_s = self._retry_after_s(job_id, wait_ms)
        return errors.Failure(
            errors.ErrorKind.OVERLOADED,
            f"service {policy.service} has more urgent work for {int(wait_ms)} "
            "ms, which is longer than the job's result is of use",
            retry_after_s=retry_after_s,
        )

    def record_refusal(
        self,
        job_id: str,
        policy: model.QueuePolicy,
        failure: errors.Failure,
    ) -> None:
        """Logs a refusal that is sent, and remembers that there was one."""
        self._refusals[job_id] = self._refusals.pop(job_id, 0) + 1
        if len(self._refusals) > _MAX_REMEMBERED:
            del self._refusals[next(iter(self._refusals))]
        event_log.emit(
            events.SubmissionRefused(
                job_id,
                policy.name,
                policy.service,
                policy.priority,
                "unservable",
                failure.reason,
                failure.retry_after_s or 0,
            )
        )

    def _backlog(self, policy: model.QueuePolicy, now_ms: int) -> Backlog:
        key = (policy.service, policy.priority)
        cached = self._backlogs.get(key)
        if (
            cached is not None
            and 0 <= now_ms - cached.summed_ms < _BACKLOG_AGE_MS
        ):
            return cached
        tasks: dict[model.Resources, _WaitingTasks] = {}
        for job in self._state.active_jobs.values():
            other = self._state.policy_of(job)
            if (
                other is not None
                and other.service == policy.service
                and _goes_before(job, other, policy.priority)
            ):
                _add_waiting(tasks, job, other, now_ms)
        backlog = self._backlogs[key] = Backlog(now_ms, tasks)
        return backlog

    def _retry_after_s(self, job_id: str, wait_ms: float) -> int:
        """Returns when to come back: after the backlog, spread over as long.

        Each further refusal halves the spread, so that those who have waited
        longest come first.
        """
        share = zlib.crc32(job_id.encode()) / 2**32
        spread = share / 2 ** self._refusals.get(job_id, 0)
        seconds = math.ceil(wait_ms * (1 + spread) / _MS_PER_S)
        return max(1, min(_MAX_RETRY_AFTER_S, seconds))


class StorageRoom:
    """Refuses jobs whose tasks the control nodes have no memory for.

    A job with many tasks needs more room than it takes, so that small jobs are
    still stored when large ones no longer are.
    """

    def __init__(
        self, state: state_module.BatchState, max_stored_tasks: int
    ) -> None:
        """Creates the check of a state.

        Args:
            state: The replicated state.
            max_stored_tasks: Limit for the tasks of all jobs.
        """
        self._state = state
        self._max_stored_tasks = max_stored_tasks

    def refusal(self, definition: model.JobDefinition) -> errors.Failure | None:
        """Returns why a new job isn't stored, or None."""
        stored = self._state.task_count
        wanted = _ROOM_FACTOR * definition.task_count
        # An empty store takes any job.
        if not stored or stored + wanted <= self._max_stored_tasks:
            return None
        return errors.Failure(
            errors.ErrorKind.OVERLOADED,
            f"{stored} tasks are stored, of {self._max_stored_tasks} at most",
            retry_after_s=_STORAGE_RETRY_S,
        )


class WaitingLog:
    """Logs the number of jobs not started by service, priority and outlook.

    A number is logged when it has changed: most stay 0.
    """

    def __init__(self) -> None:
        """Creates a log that has shown no number yet."""
        self._logged: collections.Counter[_WaitingKey] = collections.Counter()

    def update(self, state: state_module.BatchState, now_ms: int) -> None:
        """Logs what has changed since the last call."""
        counts = _count_waiting(state, now_ms)
        for key in sorted(counts.keys() | self._logged.keys()):
            if counts[key] != self._logged[key]:
                event_log.emit(events.JobsWaiting(*key, counts[key]))
        self._logged = counts


def _count_waiting(
    state: state_module.BatchState, now_ms: int
) -> collections.Counter[_WaitingKey]:
    counts: collections.Counter[_WaitingKey] = collections.Counter()
    for job in state.active_jobs.values():
        policy = state.policy_of(job)
        if policy is None or job.has_started or not job.occurrences:
            continue
        rank = job_order.rank(job, policy, _NO_MEANS)
        outlook = "in_time"
        if now_ms > rank.latest_start_ms:
            outlook = "late" if now_ms <= rank.expires_ms else "expired"
        counts[policy.service, policy.priority, outlook] += 1
    return counts


def _goes_before(
    job: jobs_module.Job, policy: model.QueuePolicy, priority: int
) -> bool:
    """Whether a job goes before any new one of a priority.

    A new job goes before those of its priority that haven't started. Workers
    for a job with advice may have room that only others can use.
    """
    if job.is_long_running or policy.advice is not None:
        return False
    return policy.priority < priority or (
        policy.priority == priority and job.has_started
    )


def _add_waiting(
    tasks: dict[model.Resources, _WaitingTasks],
    job: jobs_module.Job,
    policy: model.QueuePolicy,
    now_ms: int,
) -> None:
    """Adds the waiting tasks of a job that may run on any worker."""
    rank = job_order.rank(job, policy, _NO_MEANS)
    if now_ms > rank.expires_ms:
        return
    for occurrence in job.occurrences.values():
        for step in occurrence.steps:
            definition = step.definition
            is_bound_to_some = (
                definition.required_label
                or definition.max_per_worker
                or definition.gang
                or definition.best_effort
                or step.suspects
            )
            if (
                step.waiting
                and not is_bound_to_some
                and occurrence.is_ready(step)
            ):
                core_ms = overload.work_of(definition, len(step.waiting))
                tasks.setdefault(step.demand, _WaitingTasks()).add(
                    rank, core_ms, definition.estimated_ms, now_ms
                )
