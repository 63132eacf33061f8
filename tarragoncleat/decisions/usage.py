"""Learns sizes and run times of jobs from the workers' usage reports.

Jobs are similar when they have the same service and team, and the same name or,
without a name, the same command. Learned values are kept in the leader's
memory; a new leader starts from the declared ones and learns again from the
next reports.
"""

import collections
from collections.abc import Collection
import dataclasses
import math

from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs

__all__ = ["UsageModel"]

_Key = tuple[ids.ServiceId, ids.TeamId | None, str]

_MILLI = 1000
_MAX_JOB_CLASSES = 20_000
_TASKS_PER_CLASS = 16
# Usage reports lag behind, so a declared size is lowered only after several
# finished tasks, and with headroom for a larger one.
_MIN_FINISHED_TASKS = 3
_HEADROOM = 1.25
# One wrong report must not make a job a hundred times larger or reduce its size
# to nothing.
_MAX_GROWTH_FACTOR = 10.0
_MIN_FRACTION = 0.1


@dataclasses.dataclass(slots=True)
class _TaskUsage:
    cores: float = 0.0
    memory_mb: float = 0.0
    finished: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Peak:
    """Maximum usage of the recent tasks, and whether enough have finished."""

    cores: float
    memory_mb: float
    is_reliable: bool


@dataclasses.dataclass(slots=True)
class _JobClass:
    tasks: collections.OrderedDict[str, _TaskUsage]
    last_run_s: float | None = None
    peak: _Peak | None = None


class UsageModel:
    """Corrects declared sizes and run times by the usage of similar jobs."""

    def __init__(self, predict_run_times: bool = False) -> None:
        """Creates an empty model.

        Args:
            predict_run_times: Whether `expected_run_s` returns the run time of
                the last similar job instead of the declared one. It is off by
                default, because jobs waited longer with the prediction in the
                placement benchmark.
        """
        self._predict_run_times = predict_run_times
        self._classes: collections.OrderedDict[_Key, _JobClass]
        self._classes = collections.OrderedDict()

    def record_usage(
        self, job: jobs.Job, task_id: str, cores: float, memory_mb: float
    ) -> None:
        """Records the usage of a task; the maximum of its reports counts."""
        task = self._task_usage(job, task_id)
        if cores > task.cores or memory_mb > task.memory_mb:
            task.cores = max(task.cores, cores)
            task.memory_mb = max(task.memory_mb, memory_mb)
            self._class_of(job).peak = None

    def record_completion(
        self, job: jobs.Job, task_id: str, run_s: float
    ) -> None:
        """Records that a task ran to its end."""
        job_class = self._class_of(job)
        job_class.last_run_s = run_s
        job_class.peak = None
        if task_id in job_class.tasks:
            job_class.tasks[task_id].finished = True

    def demand(self, job: jobs.Job, largest: jobs.Demand) -> jobs.Demand:
        """Returns the size to reserve for a job.

        Args:
            job: The job.
            largest: The largest instance that the job may run on. A learned
                size never exceeds it, so that learning alone never makes a
                job unplaceable.
        """
        job_class = self._classes.get(_key(job))
        declared = job.demand
        if job_class is None or not job_class.tasks:
            return declared
        peak = job_class.peak
        if peak is None:
            peak = job_class.peak = _peak_of(job_class.tasks.values())
        cores = _estimate(
            declared.cores, peak.cores, peak.is_reliable, largest.cores
        )
        memory_mb = _estimate(
            declared.memory_mb,
            peak.memory_mb,
            peak.is_reliable,
            largest.memory_mb,
        )
        # The fleet counts in whole thousandths of a core and whole megabytes.
        return jobs.Demand(
            math.ceil(cores * _MILLI) / _MILLI,
            math.ceil(memory_mb),
            declared.accelerators,
        )

    def expected_run_s(self, job: jobs.Job) -> float:
        """Returns the expected run time of a job."""
        job_class = self._classes.get(_key(job))
        if not self._predict_run_times or job_class is None:
            return job.declared_run_s
        if job_class.last_run_s is None:
            return job.declared_run_s
        return job_class.last_run_s

    def _class_of(self, job: jobs.Job) -> _JobClass:
        key = _key(job)
        job_class = self._classes.get(key)
        if job_class is None:
            job_class = self._classes[key] = _JobClass(
                collections.OrderedDict()
            )
            if len(self._classes) > _MAX_JOB_CLASSES:
                self._classes.popitem(last=False)
        self._classes.move_to_end(key)
        return job_class

    def _task_usage(self, job: jobs.Job, task_id: str) -> _TaskUsage:
        tasks = self._class_of(job).tasks
        if task_id not in tasks:
            tasks[task_id] = _TaskUsage()
            self._class_of(job).peak = None
            if len(tasks) > _TASKS_PER_CLASS:
                tasks.popitem(last=False)
        return tasks[task_id]


def _key(job: jobs.Job) -> _Key:
    return job.service_id, job.team_id, job.name or job.command


def _peak_of(tasks: Collection[_TaskUsage]) -> _Peak:
    return _Peak(
        max(task.cores for task in tasks),
        max(task.memory_mb for task in tasks),
        sum(task.finished for task in tasks) >= _MIN_FINISHED_TASKS,
    )


def _estimate(
    declared: float, used: float, is_reliable: bool, largest: float
) -> float:
    if used <= 0:
        return declared
    if used <= declared:
        smaller = max(used * _HEADROOM, declared * _MIN_FRACTION)
        return min(declared, smaller) if is_reliable else declared
    # Learning never makes a job larger than every instance it may run on.
    return max(declared, min(used, declared * _MAX_GROWTH_FACTOR, largest))
