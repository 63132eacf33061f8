"""What a job costs and is worth while there is too little room for all.

A job that waits is described by its priority, the latest start for its
objective, its expiry, the work that it still needs and the value that it can
still earn. `docs/design/overload.md` says what was weighed. Pure functions
without I/O or clock.
"""

import dataclasses
import math
import zlib

from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model

__all__ = [
    "FIRST_BAND",
    "MeanWork",
    "Worth",
    "overtaken_until_ms",
    "remaining_work",
    "total_work",
    "value_band",
    "work_of",
    "worth_of",
]

_MILLICORES_PER_CORE = 1_000
# Share of a job's value that doesn't depend on its work: each job is a caller
# who waits.
_VALUE_PER_JOB = 0.5
# Value relative to work, in powers of two; a band is wider than the errors of
# most estimates.
_MIN_BAND, _MAX_BAND = -1, 3
# Jobs above so many means of their queue are large.
_LARGE_MEANS = 1.5
# One job in so many is taken regardless of its size and has a bounded wait. The
# bound can't hold for all: under overload each would start when it is nearly
# late, and too many would just miss their objectives.
_BOUNDED_ONE_IN = 16
_BOUNDED_LARGE_ONE_IN = 4
# Share of the time until its latest start in which newer jobs may go before it.
_OVERTAKEN_SHARE = 0.5
# Band of the jobs that have waited that long.
FIRST_BAND = -1
# Weight of the newest job in the mean of its queue.
_MEAN_WEIGHT = 0.05


def work_of(definition: model.StepDefinition, task_count: int) -> int:
    """Returns the estimated work of some tasks of a step, in core-ms."""
    if definition.best_effort:
        return 0
    millicores = task_count * definition.cpu_millicores
    return millicores * definition.estimated_ms // _MILLICORES_PER_CORE


def remaining_work(job: jobs_module.Job) -> int:
    """Returns the estimated work of the tasks not done, in core-ms."""
    return sum(
        work_of(step.definition, len(step.tasks) - step.done_count)
        for occurrence in job.occurrences.values()
        for step in occurrence.steps
    )


def total_work(definition: model.JobDefinition) -> int:
    """Returns the estimated work of one execution of all steps, in core-ms."""
    return sum(work_of(step, step.task_count) for step in definition.steps)


class MeanWork:
    """The mean work of each queue's jobs, weighted towards the newest."""

    def __init__(self) -> None:
        """Creates means without samples."""
        self._means: dict[model.QueueKey, float] = {}
        self._counts: dict[model.QueueKey, int] = {}

    def add(self, job: jobs_module.Job) -> None:
        """Adds a job."""
        count = self._counts[job.queue] = self._counts.get(job.queue, 0) + 1
        mean = self._means.get(job.queue, 0.0)
        # The plain mean of the first jobs.
        weight = max(_MEAN_WEIGHT, 1 / count)
        difference = total_work(job.definition) - mean
        self._means[job.queue] = mean + weight * difference

    def mean(self, queue: model.QueueKey) -> float:
        """Returns the mean of a queue in core-ms; 0 without samples."""
        return self._means.get(queue, 0.0)


def value_band(remaining: int, total: int, mean: float) -> int:
    """Returns the band of a job's value per remaining work; 0 is the best.

    The mean of its queue is the unit, so that no queue goes before another one
    because its jobs are smaller.

    Args:
        remaining: Work that the job still needs, in core-ms.
        total: Its work from the beginning.
        mean: Mean work of its queue's jobs.
    """
    if mean <= 0 or remaining <= 0:
        return 0
    value = _VALUE_PER_JOB + (1 - _VALUE_PER_JOB) * total / mean
    band = math.floor(math.log2(value * mean / remaining))
    return _MAX_BAND - min(_MAX_BAND, max(_MIN_BAND, band))


@dataclasses.dataclass(frozen=True, slots=True)
class Worth:
    """What a job is worth in relation to the work that it needs.

    Attributes:
        band: Band of its value per work; the lowest goes first.
        has_bounded_wait: Whether newer jobs may go before it only for a time.
    """

    band: int
    has_bounded_wait: bool


def worth_of(job: jobs_module.Job, mean: float) -> Worth:
    """Returns the worth of a job, given the mean work of its queue's jobs."""
    total = total_work(job.definition)
    is_large = total > _LARGE_MEANS * mean
    one_in = _BOUNDED_LARGE_ONE_IN if is_large else _BOUNDED_ONE_IN
    # The same on each leader, and independent of what the job is.
    if zlib.crc32(job.job_id.encode()) % one_in == 0:
        return Worth(0, True)
    remaining = remaining_work(job) if job.has_started else total
    return Worth(value_band(remaining, total, mean), False)


def overtaken_until_ms(start_ms: float, latest_start_ms: float) -> float:
    """Returns until when newer jobs may go before one with a bounded wait."""
    return start_ms + _OVERTAKEN_SHARE * (latest_start_ms - start_ms)
