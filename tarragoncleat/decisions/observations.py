"""What the controller records after it has read a worker's report."""

from collections.abc import Collection, Iterator
import dataclasses

from tarragoncleat.decisions import planner
from tarragoncleat.decisions import worker_messages
from tarragoncleat.kernel import ids
from tarragoncleat.state import commands
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = [
    "Seen",
    "drain_changes",
    "instance_change",
    "is_back",
    "job_changes",
]

_STATE = pools.InstanceState
_SILENT_IS_LOST = frozenset(
    {
        _STATE.IN_SERVICE,
        _STATE.DRAINING,
        _STATE.RETURNING,
        _STATE.QUARANTINED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What is known about a worker now.

    Attributes:
        report: Its last report, or None when it never answered this leader.
        is_fresh: Whether the report is about the committed instance as it is.
        lease_held: Whether it certainly holds a lease.
        lease_ended: Whether every lease of it has certainly ended.
        is_silent: Whether it gave no report for longer than a lease.
        reboot_done: Whether the reboot of its wave is done.
        state_age_s: How long this leader has seen it in its state.
    """

    report: worker_messages.Report | None
    is_fresh: bool
    lease_held: bool
    lease_ended: bool
    is_silent: bool
    reboot_done: bool
    state_age_s: float


def instance_change(
    instance: pools.Instance,
    wave: waves.Wave | None,
    seen: Seen,
    max_out_s: float,
) -> commands.RecordInstanceState | commands.SwitchPool | None:
    """Returns the next state of an instance to record, if there is one.

    Args:
        instance: The committed instance.
        wave: The wave that it is out for.
        seen: What is known about the worker.
        max_out_s: How long it may be out for maintenance.
    """
    loss = _loss(instance, seen, max_out_s)
    if loss is not None:
        return _record(instance, _STATE.LOST, loss)
    report = seen.report
    if report is None or not seen.is_fresh:
        return None
    if instance.moving_to is not None:
        return _moving(instance, instance.moving_to, seen, report)
    if instance.state is _STATE.LOST:
        return _record(instance, _STATE.RETURNING, "worker answers again")
    if instance.state is _STATE.RETURNING:
        # A wave that is stepping finishes its instances itself.
        stepping = wave is not None and wave.state in planner.STEPPING
        if not stepping and is_back(instance, seen):
            return _record(instance, _STATE.IN_SERVICE, "holds a lease")
        return None
    if instance.state in (_STATE.DRAINING, _STATE.IN_MAINTENANCE):
        return _maintained(instance, wave, seen, report)
    return None


def is_back(instance: pools.Instance, seen: Seen) -> bool:
    """Tells whether a returning instance can serve again."""
    report = seen.report
    return (
        instance.state is _STATE.RETURNING
        and report is not None
        and seen.is_fresh
        and seen.lease_held
        and not report.draining
    )


def job_changes(
    active: Collection[jobs.Job],
    seen_jobs: Collection[jobs.Job],
    report: worker_messages.Report,
) -> Iterator[commands.JobChange]:
    """Yields the job states that a report shows.

    Args:
        active: Jobs that the committed state places on the worker.
        seen_jobs: Those that were placed there when the report was requested.
        report: The report.
    """
    tasks = {task.task_id: task for task in report.tasks}
    for job in active:
        task = tasks.get(worker_messages.task_id_of(job))
        if task is not None:
            change = _job_change(job, task)
        elif job.state is not jobs.JobState.PLACED and job in seen_jobs:
            change = _change(job, jobs.JobState.QUEUED, "task disappeared")
        else:
            change = None
        if change is not None:
            yield change


def drain_changes(
    active: Collection[jobs.Job],
    actions: Collection[profiles.Interruption],
    overdue: bool,
) -> Iterator[commands.JobChange]:
    """Yields what happens to the jobs of a draining worker.

    A job that can be checkpointed is, at once. Others may finish until the
    drain is overdue; then they are stopped if their profile allows it.

    Args:
        active: Jobs that the committed state places on the worker.
        actions: Interruptions that the profile allows.
        overdue: Whether the drain has lasted longer than its timeout.
    """
    for job in active:
        if job.state is jobs.JobState.PLACED:
            reason = "drained before the start"
            yield _change(job, jobs.JobState.QUEUED, reason)
        elif profiles.Interruption.CHECKPOINT in actions:
            yield _change(job, jobs.JobState.CHECKPOINTED, "drained")
        elif overdue and profiles.Interruption.STOP in actions:
            yield _change(job, jobs.JobState.QUEUED, "drain timeout")


def _loss(instance: pools.Instance, seen: Seen, max_out_s: float) -> str | None:
    if instance.state is _STATE.IN_MAINTENANCE:
        overdue = seen.state_age_s > max_out_s and seen.lease_ended
        return f"out for over {max_out_s:g} s" if overdue else None
    if instance.state not in _SILENT_IS_LOST:
        return None
    report = seen.report
    if seen.is_silent and seen.lease_ended:
        return "silent until its lease ended"
    if report is None or not seen.is_fresh:
        return None
    fenced = instance.state is _STATE.DRAINING and report.is_idle
    ended = report.lease_has_ended(instance.fence)
    return "lease ended, worker answers" if ended and not fenced else None


def _moving(
    instance: pools.Instance,
    target: ids.PoolId,
    seen: Seen,
    report: worker_messages.Report,
) -> commands.SwitchPool | None:
    ended = seen.lease_ended or report.lease_has_ended(instance.fence)
    drained = report.draining or instance.state is _STATE.LOST
    if not (ended and drained and report.is_idle):
        return None
    return commands.SwitchPool(instance.instance_id, target, lease_ended=True)


def _maintained(
    instance: pools.Instance,
    wave: waves.Wave | None,
    seen: Seen,
    report: worker_messages.Report,
) -> commands.RecordInstanceState | None:
    cancelled = wave is None or wave.state is waves.WaveState.CANCELLED
    if instance.state is _STATE.DRAINING:
        if cancelled:
            return _record(instance, _STATE.RETURNING, "wave cancelled")
        if report.draining and report.is_idle:
            return _record(instance, _STATE.IN_MAINTENANCE, "drained")
        return None
    if seen.reboot_done:
        return _record(instance, _STATE.RETURNING, "rebooted")
    return None


def _job_change(
    job: jobs.Job, task: worker_messages.Task
) -> commands.JobChange | None:
    states = worker_messages.TaskState
    if task.state is states.EXITED:
        if task.exit == 0:
            return _change(job, jobs.JobState.SUCCEEDED, "")
        return _change(job, jobs.JobState.FAILED, f"exit status {task.exit}")
    if task.state is states.STOPPED:
        return _change(job, jobs.JobState.QUEUED, "stopped by the worker")
    if task.state is states.CHECKPOINTED:
        reason = "checkpointed by the worker"
        return _change(job, jobs.JobState.CHECKPOINTED, reason)
    if job.state is jobs.JobState.PLACED:
        return _change(job, jobs.JobState.RUNNING, "")
    return None


def _record(
    instance: pools.Instance, state: pools.InstanceState, cause: str
) -> commands.RecordInstanceState:
    return commands.RecordInstanceState(
        instance.instance_id, state, cause, instance.revision
    )


def _change(
    job: jobs.Job, state: jobs.JobState, reason: str
) -> commands.JobChange:
    return commands.JobChange(job.job_id, job.attempt, state, reason)
