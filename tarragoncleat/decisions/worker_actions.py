"""Which calls to a worker the committed state asks for.

The calls follow from the committed state and the last report alone, so that a
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
    "calls",
    "wants_lease",
]

_STATE = pools.InstanceState
_DRAINED_STATES = frozenset({_STATE.DRAINING, _STATE.IN_MAINTENANCE})
_OPEN_STATES = frozenset({_STATE.IN_SERVICE, _STATE.RETURNING})
_LEASED_STATES = frozenset(
    {_STATE.IN_SERVICE, _STATE.RETURNING, _STATE.QUARANTINED}
)


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Start the task of a placed job."""

    task_id: str
    demand: jobs.Demand
    command: str


@dataclasses.dataclass(frozen=True, slots=True)
class InterruptTask:
    """Checkpoint, throttle or stop a task."""

    task_id: str
    action: profiles.Interruption
    action_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetDraining:
    """Start or end the drain."""

    action_id: str
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reboot:
    """Reboot once for the wave."""

    action_id: str


Call = StartTask | InterruptTask | SetDraining | Reboot


def wants_lease(
    instance: pools.Instance, report: worker_messages.Report
) -> bool:
    """Tells whether the worker's lease is to be renewed.

    A drained worker that moves is fenced by the end of its lease.
    """
    if instance.state in _LEASED_STATES:
        return True
    return instance.state is _STATE.DRAINING and not report.is_idle


def calls(
    instance: pools.Instance,
    active: Collection[jobs.Job],
    known_jobs: Mapping[ids.JobId, jobs.Job],
    report: worker_messages.Report,
) -> Iterator[Call]:
    """Yields the calls to make, in order.

    Interruptions come before starts, so that the room made for an urgent job
    is free when it starts.

    Args:
        instance: The committed instance.
        active: Jobs that the committed state places on it.
        known_jobs: Every job by id.
        report: The last report of the worker.
    """
    wanted = {worker_messages.task_id_of(job): job for job in active}
    for task in report.tasks:
        if task.state.is_active:
            yield from _task_calls(task, wanted, known_jobs)
    yield from _drain_calls(instance, report)
    if instance.state is _STATE.IN_MAINTENANCE and report.is_idle:
        yield Reboot(worker_messages.reboot_action_id(instance))
    if instance.state is not _STATE.IN_SERVICE:
        return
    reported = {task.task_id for task in report.tasks}
    for task_id, job in wanted.items():
        if job.state is jobs.JobState.PLACED and task_id not in reported:
            yield StartTask(task_id, job.occupied, job.command)


def _task_calls(
    task: worker_messages.Task,
    wanted: Mapping[str, jobs.Job],
    known_jobs: Mapping[ids.JobId, jobs.Job],
) -> Iterator[Call]:
    job = wanted.get(task.task_id)
    if job is None:
        action = _ending(task, known_jobs)
    elif (
        job.state is jobs.JobState.THROTTLED
        and task.state is worker_messages.TaskState.RUNNING
    ):
        action = profiles.Interruption.THROTTLE
    else:
        return
    action_id = worker_messages.interrupt_action_id(task.task_id, action)
    yield InterruptTask(task.task_id, action, action_id)


def _ending(
    task: worker_messages.Task, known_jobs: Mapping[ids.JobId, jobs.Job]
) -> profiles.Interruption:
    """Returns how to end a task that the committed state doesn't want."""
    named = worker_messages.job_of_task(task.task_id)
    job = None if named is None else known_jobs.get(named[0])
    if named is None or job is None or job.attempt != named[1]:
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
    if instance.state in _OPEN_STATES and report.draining:
        yield SetDraining(action_id, False)
