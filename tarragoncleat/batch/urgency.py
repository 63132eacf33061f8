"""The order in which jobs get room while there is not enough for all.

Answers the load pattern in which each queue in its turn asks for several
times what its pool holds. A job earns nearly all of its worth only within its
objective, so jobs that can still meet it come first, and those that can't
wait for room that nobody else can use.
"""

from tarragoncleat.batch import jobs as jobs_module
from tarragoncleat.batch import model

__all__ = [
    "is_in_time",
    "objective_ms",
    "order_of",
    "remaining_chain_ms",
]

_LASTING, _STARTED, _FRESH, _LATE, _WORTHLESS = range(5)
# After this many times its objective a job earns nothing.
_LATE_LIMIT = 3


def remaining_chain_ms(job: jobs_module.Job) -> int:
    """Returns the estimated chain of what is not done yet, in ms."""
    if not job.has_started:
        return job.chain_ms
    longest = 0
    for occurrence in job.occurrences.values():
        ends: list[int] = []
        for step in occurrence.steps:
            depends_on = step.definition.depends_on
            begin = max((ends[number] for number in depends_on), default=0)
            length = 0 if step.is_done else step.definition.estimated_ms
            ends.append(begin + length)
        longest = max(longest, max(ends, default=0))
    return longest


def objective_ms(job: jobs_module.Job, policy: model.QueuePolicy) -> float:
    """Returns how long a job may take from its submission, in ms."""
    return policy.stretch * job.chain_ms + policy.latency_ms


def is_in_time(order: tuple) -> bool:
    """Whether the job with this sort key can still meet its objective."""
    return order[0] in (_LASTING, _STARTED, _FRESH)


def order_of(
    job: jobs_module.Job, policy: model.QueuePolicy, now_ms: int
) -> tuple:
    """Returns the sort key of a job; the least comes first."""
    if job.is_long_running:
        return (_LASTING, policy.priority, 0.0, job.job_id)
    due_ms = job.begin_ms + objective_ms(job, policy)
    slack_ms = due_ms - remaining_chain_ms(job) - now_ms
    if slack_ms < 0:
        is_worthless = now_ms - job.begin_ms > _LATE_LIMIT * (
            due_ms - job.begin_ms
        )
        kind = _WORTHLESS if is_worthless else _LATE
        return (kind, policy.priority, due_ms, job.job_id)
    if job.has_started:
        return (_STARTED, policy.priority, slack_ms, job.job_id)
    # With too little room for all, serving the oldest first lets each job
    # wait until it is nearly late, and then too many end just too late.
    return (_FRESH, policy.priority, -job.begin_ms, job.job_id)
