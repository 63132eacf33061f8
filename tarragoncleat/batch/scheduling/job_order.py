"""The order in which jobs get capacity while it doesn't suffice for all.

Designed for load peaks in which a queue needs several times the capacity of its
pool. A job has nearly all of its value only if it meets its objective, so jobs
that can still meet it come first; the others get the capacity that is left.
"""

import dataclasses
import math

from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.scheduling import overload

__all__ = [
    "JobRank",
    "can_meet_objective",
    "lifetime_ms",
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


def lifetime_ms(job: jobs_module.Job, policy: model.QueuePolicy) -> float:
    """Returns the time after which a job has no value left, in ms."""
    return _EXPIRED_AFTER_OBJECTIVES * objective_ms(job, policy)


def can_meet_objective(key: tuple) -> bool:
    """Whether the job with this sort key can still meet its objective."""
    return key[0] < _LATE


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
        overtaken_until_ms: Until when newer jobs may go before this one, if
            that ends before `latest_start_ms`.
        aged_key: Sort key from then until `latest_start_ms`.
    """

    latest_start_ms: float
    expires_ms: float
    in_time_key: tuple
    late_key: tuple
    expired_key: tuple
    overtaken_until_ms: float = math.inf
    aged_key: tuple = ()

    def key(self, now_ms: int) -> tuple:
        """Returns the sort key at a time."""
        if now_ms <= self.latest_start_ms:
            if now_ms > self.overtaken_until_ms:
                return self.aged_key
            return self.in_time_key
        if now_ms <= self.expires_ms:
            return self.late_key
        return self.expired_key

    def valid_until_ms(self, now_ms: int) -> float:
        """Returns until when the sort key of now stays the same."""
        if now_ms <= min(self.overtaken_until_ms, self.latest_start_ms):
            return min(self.overtaken_until_ms, self.latest_start_ms)
        if now_ms <= self.latest_start_ms:
            return self.latest_start_ms
        return self.expires_ms if now_ms <= self.expires_ms else math.inf


def rank(
    job: jobs_module.Job,
    policy: model.QueuePolicy,
    mean_work: overload.MeanWork | None = None,
) -> JobRank:
    """Returns the sort keys of a job in its present state.

    Args:
        job: The job.
        policy: Policy of its queue.
        mean_work: Mean work by queue if overload is controlled, or None for an
            order that doesn't depend on work.
    """
    if job.is_long_running:
        key = (_LONG_RUNNING, policy.priority, 0.0, job.job_id)
        return JobRank(math.inf, math.inf, key, key, key)
    start_ms = job.objective_start_ms
    objective = objective_ms(job, policy)
    due_ms = start_ms + objective
    remaining_ms = remaining_chain_ms(job)
    latest_start_ms = due_ms - remaining_ms
    expires_ms = start_ms + lifetime_ms(job, policy)
    if mean_work is not None:
        return _rank_by_value(
            job, policy, mean_work, latest_start_ms, expires_ms - remaining_ms
        )
    if job.has_started:
        in_time = (_STARTED, policy.priority, latest_start_ms, job.job_id)
    else:
        # Newest first: under overload, with the oldest first every job would
        # wait until it is nearly late, and too many would just miss their
        # objectives.
        in_time = (_NOT_STARTED, policy.priority, -start_ms, job.job_id)
    return JobRank(
        latest_start_ms,
        expires_ms,
        in_time,
        (_LATE, policy.priority, due_ms, job.job_id),
        (_EXPIRED, policy.priority, due_ms, job.job_id),
    )


def _rank_by_value(
    job: jobs_module.Job,
    policy: model.QueuePolicy,
    mean_work: overload.MeanWork,
    latest_start_ms: float,
    latest_useful_start_ms: float,
) -> JobRank:
    """Returns the sort keys of a job while overload is controlled.

    A job counts as expired once its result would come too late to be of use,
    not only when that time has come.
    """
    priority, start_ms = policy.priority, job.objective_start_ms
    worth = overload.worth_of(job, mean_work.mean(job.queue))
    in_time_class = _class_by_priority(priority, job.has_started)
    overtaken_until_ms = math.inf
    if job.has_started:
        in_time: tuple = (in_time_class, priority, latest_start_ms, job.job_id)
    else:
        in_time = (in_time_class, priority, worth.band, -start_ms, job.job_id)
        if worth.has_bounded_wait:
            overtaken_until_ms = overload.overtaken_until_ms(
                start_ms, latest_start_ms
            )
    return JobRank(
        latest_start_ms,
        latest_useful_start_ms,
        in_time,
        (
            _LATE,
            priority,
            not job.has_started,
            worth.band,
            -start_ms,
            job.job_id,
        ),
        (_EXPIRED, priority, latest_start_ms, job.job_id),
        overtaken_until_ms,
        (in_time_class, priority, overload.FIRST_BAND, start_ms, job.job_id),
    )


def _class_by_priority(priority: int, has_started: bool) -> float:
    """Returns the class of a job in time: by priority, then started ones first.

    It lies between the classes of long-running and of late jobs.
    """
    return _LATE - 1 / (1 + 2 * priority + (not has_started))


def sort_key(
    job: jobs_module.Job, policy: model.QueuePolicy, now_ms: int
) -> tuple:
    """Returns the sort key of a job; the lowest comes first."""
    return rank(job, policy).key(now_ms)
