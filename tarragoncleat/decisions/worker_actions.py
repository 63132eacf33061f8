"""Derives the calls to a worker that the committed state requires.

The calls depend on the committed state and the last report alone, so that a
new leader repeats exactly the calls that may not have arrived.
"""

from collections.abc import Collection, Iterator, Mapping
import dataclasses

from tarragoncleat.decisions import worker_messages
from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = [
    "Call",
    "InterruptTask",
    "Reboot",
    "SetDraining",
    "StartTask",
    "needs_lease",
    "required_calls",
]

_STATE = pools.InstanceState
_DRAINED_STATES = frozenset({_STATE.DRAINING, _STATE.IN_MAINTENANCE})
_UNDRAINED_STATES = frozenset({_STATE.IN_SERVICE, _STATE.RETURNING})
_LEASED_STATES = frozenset(
    {_STATE.IN_SERVICE, _STATE.RETURNING, _STATE.QUARANTINED}
)


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Starts the task of a placed job."""

    task_id: str
    demand: jobs.Demand
    command: str


@dataclasses.dataclass(frozen=True, slots=True)
class InterruptTask:
    """Checkpoints, throttles or stops a task."""

    task_id: str
    action: profiles.Interruption
    action_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetDraining:
    """Starts or ends the drain of the worker."""

    action_id: str
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reboot:
    """Reboots the worker, once for each wave."""

    action_id: str


Call = StartTask | InterruptTask | SetDraining | Reboot


def needs_lease(
    instance: pools.Instance, report: worker_messages.Report
) -> bool:
    """Returns whether the worker's lease is to be renewed.

    The lease of a drained worker is left to expire, which fences the worker
    before it moves to another pool.
    """
    if instance.state in _LEASED_STATES:
        return True
    return instance.state is _STATE.DRAINING and not report.is_idle


def required_calls(
    instance: pools.Instance,
    active: Collection[jobs.Job],
    jobs_by_id: Mapping[ids.JobId, jobs.Job],
    report: worker_messages.Report,
) -> Iterator[Call]:
    """Yields the calls to make, in order.

    Interruptions come before starts, so that the capacity for an urgent job is
    free when it starts.

    Args:
        instance: The committed instance.
        active: Jobs that the committed state places on it.
        jobs_by_id: Every job by id.
        report: The last report of the worker.
    """
    jobs_by_task = {worker_messages.task_id_of(job): job for job in active}
    for task in report.tasks:
        if task.state.is_active:
            yield from _task_calls(task, jobs_by_task, jobs_by_id)
    yield from _drain_calls(instance, report)
    if instance.state is _STATE.IN_MAINTENANCE and report.is_idle:
        yield Reboot(worker_messages.reboot_action_id(instance))
    if instance.state is not _STATE.IN_SERVICE:
        return
    reported = {task.task_id for task in report.tasks}
    for task_id, job in jobs_by_task.items():
        if job.state is jobs.JobState.PLACED and task_id not in reported:
            yield StartTask(task_id, job.occupied, job.command)


def _task_calls(
    task: worker_messages.Task,
    jobs_by_task: Mapping[str, jobs.Job],
    jobs_by_id: Mapping[ids.JobId, jobs.Job],
) -> Iterator[Call]:
    job = jobs_by_task.get(task.task_id)
    if job is None:
        action = _ending_action(task, jobs_by_id)
    elif (
        job.state is jobs.JobState.THROTTLED
        and task.state is worker_messages.TaskState.RUNNING
    ):
        action = profiles.Interruption.THROTTLE
    else:
        return
    action_id = worker_messages.interrupt_action_id(task.task_id, action)
    yield InterruptTask(task.task_id, action, action_id)


def _ending_action(
    task: worker_messages.Task, jobs_by_id: Mapping[ids.JobId, jobs.Job]
) -> profiles.Interruption:
    """Returns how to end a task that is not part of the committed state."""
    job_and_attempt = worker_messages.job_of_task(task.task_id)
    job = (
        None if job_and_attempt is None else jobs_by_id.get(job_and_attempt[0])
    )
    if (
        job_and_attempt is None
        or job is None
        or job.attempt != job_and_attempt[1]
    ):
        return profiles.Interruption.STOP
    if job.state is jobs.JobState.CHECKPOINTED:
        return profiles.Interruption.CHECKPOINT
    return profiles.Interruption.STOP


def _drain_calls(
    instance: pools.Instance, report: worker_messages.Report
) -> Iterator[Call]:
    action_id = worker_messages.drain_action_id(instance)
    if instance.state in _DRAINED_STATES and not report.draining:
        yield SetDraining(action_id, True)
    if instance.state in _UNDRAINED_STATES and report.draining:
        yield SetDraining(action_id, False)
