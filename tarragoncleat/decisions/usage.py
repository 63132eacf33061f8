"""Learns sizes and run times of jobs from the workers' usage reports.

Jobs are similar when the same team runs the same name for the same service.
Learned values live in the leader's memory; a new leader starts from the
declared ones and learns again from the next reports.
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
_MAX_KINDS = 20_000
_RECENT_TASKS = 16
# A usage report lags, so a declared size is only lowered after several
# finished runs, and then with room for a larger run.
_MIN_FINISHED = 3
_HEADROOM = 1.25
# One wrong report must not make a job a hundred times larger or weightless.
_MAX_GROWTH = 10.0
_MIN_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class _Task:
    cores: float = 0.0
    memory_mb: float = 0.0
    finished: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Peak:
    """Maximum over the recent tasks, and whether enough have finished."""

    cores: float
    memory_mb: float
    is_known: bool


@dataclasses.dataclass(slots=True)
class _Kind:
    tasks: collections.OrderedDict[str, _Task]
    last_run_s: float | None = None
    peak: _Peak | None = None


class UsageModel:
    """Corrects declared sizes and run times by what similar jobs used."""

    def __init__(self, predict_run_times: bool = False) -> None:
        """Creates an empty model.

        Args:
            predict_run_times: Whether `run_s` uses the last similar run; when
                false it returns the declared run time. The benchmark of the
                placement showed longer waits with the prediction, so it is
                off.
        """
        self._predict_run_times = predict_run_times
        self._kinds: collections.OrderedDict[_Key, _Kind]
        self._kinds = collections.OrderedDict()

    def observe(
        self, job: jobs.Job, task_id: str, cores: float, memory_mb: float
    ) -> None:
        """Records the usage of a task; its maximum counts."""
        task = self._task(job, task_id)
        if cores > task.cores or memory_mb > task.memory_mb:
            task.cores = max(task.cores, cores)
            task.memory_mb = max(task.memory_mb, memory_mb)
            self._kind(job).peak = None

    def finish(self, job: jobs.Job, task_id: str, run_s: float) -> None:
        """Records that a task ran to its end."""
        kind = self._kind(job)
        kind.last_run_s = run_s
        kind.peak = None
        if task_id in kind.tasks:
            kind.tasks[task_id].finished = True

    def demand(self, job: jobs.Job, largest: jobs.Demand) -> jobs.Demand:
        """Returns the size to reserve for a job.

        Args:
            job: The job.
            largest: The largest instance that the job may run on. A learned
                size never exceeds it, so that learning alone never makes a
                job unplaceable.
        """
        kind = self._kinds.get(_key(job))
        declared = job.demand
        if kind is None or not kind.tasks:
            return declared
        peak = kind.peak
        if peak is None:
            peak = kind.peak = _peak_of(kind.tasks.values())
        wanted_cores = _corrected(
            declared.cores, peak.cores, peak.is_known, largest.cores
        )
        wanted_memory = _corrected(
            declared.memory_mb, peak.memory_mb, peak.is_known, largest.memory_mb
        )
        # The fleet adds up whole thousandths of a core and whole megabytes.
        return jobs.Demand(
            math.ceil(wanted_cores * _MILLI) / _MILLI,
            math.ceil(wanted_memory),
            declared.accelerators,
        )

    def run_s(self, job: jobs.Job) -> float:
        """Returns the expected run time: the last similar run, if known."""
        kind = self._kinds.get(_key(job))
        if not self._predict_run_times or kind is None:
            return job.declared_run_s
        if kind.last_run_s is None:
            return job.declared_run_s
        return kind.last_run_s

    def _kind(self, job: jobs.Job) -> _Kind:
        key = _key(job)
        kind = self._kinds.get(key)
        if kind is None:
            kind = self._kinds[key] = _Kind(collections.OrderedDict())
            if len(self._kinds) > _MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(key)
        return kind

    def _task(self, job: jobs.Job, task_id: str) -> _Task:
        tasks = self._kind(job).tasks
        if task_id not in tasks:
            tasks[task_id] = _Task()
            self._kind(job).peak = None
            if len(tasks) > _RECENT_TASKS:
                tasks.popitem(last=False)
        return tasks[task_id]


def _key(job: jobs.Job) -> _Key:
    return job.service_id, job.team_id, job.name or job.command


def _peak_of(tasks: Collection[_Task]) -> _Peak:
    return _Peak(
        max(task.cores for task in tasks),
        max(task.memory_mb for task in tasks),
        sum(task.finished for task in tasks) >= _MIN_FINISHED,
    )


def _corrected(
    declared: float, used: float, known: bool, largest: float
) -> float:
    if used <= 0:
        return declared
    if used <= declared:
        smaller = max(used * _HEADROOM, declared * _MIN_SHARE)
        return min(declared, smaller) if known else declared
    # Learning never makes a job larger than every instance it may run on.
    return max(declared, min(used, declared * _MAX_GROWTH, largest))
