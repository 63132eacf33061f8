"""The order in which jobs get capacity while it doesn't suffice for all.

Designed for load peaks in which a queue needs several times the capacity of its
pool. A job has nearly all of its value only if it meets its objective, so jobs
that can still meet it come first; the others get the capacity that is left.
"""

import dataclasses
import math

from tarragoncleat.batch import jobs as jobs_module
from tarragoncleat.batch import model

__all__ = [
    "JobRank",
    "can_meet_objective",
    "objective_ms",
    "rank",
    "remaining_chain_ms",
    "sort_key",
]

_LONG_RUNNING, _STARTED, _NOT_STARTED, _LATE, _EXPIRED = range(5)
# A job has no value left after this multiple of its objective.
_EXPIRED_AFTER_OBJECTIVES = 3


def remaining_chain_ms(job: jobs_module.Job) -> int:
    """Returns the estimated critical path of the steps not done, in ms."""
    if not job.has_started:
        return job.chain_ms
    longest_ms = 0
    for occurrence in job.occurrences.values():
        step_end_ms: list[int] = []
        for step in occurrence.steps:
            depends_on = step.definition.depends_on
            start_ms = max(
                (step_end_ms[number] for number in depends_on), default=0
            )
            duration_ms = 0 if step.is_done else step.definition.estimated_ms
            step_end_ms.append(start_ms + duration_ms)
        longest_ms = max(longest_ms, max(step_end_ms, default=0))
    return longest_ms


def objective_ms(job: jobs_module.Job, policy: model.QueuePolicy) -> float:
    """Returns the time within which a job should end, in ms."""
    return policy.stretch * job.chain_ms + policy.latency_ms


def can_meet_objective(key: tuple) -> bool:
    """Whether the job with this sort key can still meet its objective."""
    return key[0] in (_LONG_RUNNING, _STARTED, _NOT_STARTED)


@dataclasses.dataclass(frozen=True, slots=True)
class JobRank:
    """A job's sort keys until its state changes; the lowest comes first.

    Attributes:
        latest_start_ms: Until when the job can meet its objective if its
            remaining steps start then, in ms since the epoch.
        expires_ms: Until when the job has a value.
        in_time_key: Sort key until `latest_start_ms`.
        late_key: Sort key from then until `expires_ms`.
        expired_key: Sort key after that.
    """

    latest_start_ms: float
    expires_ms: float
    in_time_key: tuple
    late_key: tuple
    expired_key: tuple

    def key(self, now_ms: int) -> tuple:
        """Returns the sort key at a time."""
        if now_ms <= self.latest_start_ms:
            return self.in_time_key
        if now_ms <= self.expires_ms:
            return self.late_key
        return self.expired_key

    def valid_until_ms(self, now_ms: int) -> float:
        """Returns until when the sort key of now stays the same."""
        if now_ms <= self.latest_start_ms:
            return self.latest_start_ms
        return self.expires_ms if now_ms <= self.expires_ms else math.inf


def rank(job: jobs_module.Job, policy: model.QueuePolicy) -> JobRank:
    """Returns the sort keys of a job in its present state."""
    if job.is_long_running:
        key = (_LONG_RUNNING, policy.priority, 0.0, job.job_id)
        return JobRank(math.inf, math.inf, key, key, key)
    start_ms = job.objective_start_ms
    objective = objective_ms(job, policy)
    due_ms = start_ms + objective
    latest_start_ms = due_ms - remaining_chain_ms(job)
    if job.has_started:
        in_time = (_STARTED, policy.priority, latest_start_ms, job.job_id)
    else:
        # Newest first: under overload, with the oldest first every job would
        # wait until it is nearly late, and too many would just miss their
        # objectives.
        in_time = (_NOT_STARTED, policy.priority, -start_ms, job.job_id)
    return JobRank(
        latest_start_ms,
        start_ms + _EXPIRED_AFTER_OBJECTIVES * objective,
        in_time,
        (_LATE, policy.priority, due_ms, job.job_id),
        (_EXPIRED, policy.priority, due_ms, job.job_id),
    )


def sort_key(
    job: jobs_module.Job, policy: model.QueuePolicy, now_ms: int
) -> tuple:
    """Returns the sort key of a job; the lowest comes first."""
    return rank(job, policy).key(now_ms)
