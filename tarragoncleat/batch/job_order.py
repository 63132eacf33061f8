"""The order in which jobs get capacity while it doesn't suffice for all.

Designed for load peaks in which a queue needs several times the capacity of its
pool. A job has nearly all of its value only if it meets its objective, so jobs
that can still meet it come first; the others get the capacity that is left.
"""

from tarragoncleat.batch import jobs as jobs_module
from tarragoncleat.batch import model

__all__ = [
    "can_meet_objective",
    "objective_ms",
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


def sort_key(
    job: jobs_module.Job, policy: model.QueuePolicy, now_ms: int
) -> tuple:
    """Returns the sort key of a job; the lowest comes first."""
    if job.is_long_running:
        return (_LONG_RUNNING, policy.priority, 0.0, job.job_id)
    due_ms = job.objective_start_ms + objective_ms(job, policy)
    slack_ms = due_ms - remaining_chain_ms(job) - now_ms
    if slack_ms < 0:
        is_expired = (
            now_ms - job.objective_start_ms
            > _EXPIRED_AFTER_OBJECTIVES * (due_ms - job.objective_start_ms)
        )
        group = _EXPIRED if is_expired else _LATE
        return (group, policy.priority, due_ms, job.job_id)
    if job.has_started:
        return (_STARTED, policy.priority, slack_ms, job.job_id)
    # Newest first: under overload, with the oldest first every job would wait
    # until it is nearly late, and too many would just miss their objectives.
    return (_NOT_STARTED, policy.priority, -job.objective_start_ms, job.job_id)
