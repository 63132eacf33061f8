"""State transitions that follow from a worker's report or its absence."""

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
    "WorkerObservation",
    "can_return_to_service",
    "drain_changes",
    "instance_change",
    "job_changes",
]

_STATE = pools.InstanceState
_LOST_WHEN_UNRESPONSIVE = frozenset(
    {
        _STATE.IN_SERVICE,
        _STATE.DRAINING,
        _STATE.RETURNING,
        _STATE.QUARANTINED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerObservation:
    """What is known about a worker now.

    Attributes:
        report: Its last report, or None when it has not reported to this
            leader.
        is_current: Whether the report was requested for the instance as it is
            committed now.
        lease_held: Whether it provably holds a lease.
        lease_ended: Whether all of its leases have provably ended.
        is_unresponsive: Whether no report arrived for longer than a lease.
        reboot_done: Whether the reboot for its wave is done.
        state_age_s: How long it has been in its state, as seen by this leader.
    """

    report: worker_messages.Report | None
    is_current: bool
    lease_held: bool
    lease_ended: bool
    is_unresponsive: bool
    reboot_done: bool
    state_age_s: float


def instance_change(
    instance: pools.Instance,
    wave: waves.Wave | None,
    observation: WorkerObservation,
    max_out_s: float,
) -> commands.RecordInstanceState | commands.SwitchPool | None:
    """Returns the next state of an instance to record, if there is one.

    Args:
        instance: The committed instance.
        wave: The wave that it is out for.
        observation: What is known about the worker.
        max_out_s: How long it may be out for maintenance.
    """
    loss_cause = _loss_cause(instance, observation, max_out_s)
    if loss_cause is not None:
        return _state_change(instance, _STATE.LOST, loss_cause)
    report = observation.report
    if report is None or not observation.is_current:
        return None
    if instance.moving_to is not None:
        return _pool_switch(instance, instance.moving_to, observation, report)
    if instance.state is _STATE.LOST:
        return _state_change(instance, _STATE.RETURNING, "worker answers again")
    if instance.state is _STATE.RETURNING:
        # An active wave finishes its instances in its own steps.
        is_wave_active = (
            wave is not None and wave.state in planner.ACTIVE_WAVE_STATES
        )
        if not is_wave_active and can_return_to_service(instance, observation):
            if instance.is_quarantined:
                cause = "still quarantined after its loss"
                return _state_change(instance, _STATE.QUARANTINED, cause)
            return _state_change(instance, _STATE.IN_SERVICE, "holds a lease")
        return None
    if instance.state in (_STATE.DRAINING, _STATE.IN_MAINTENANCE):
        return _maintenance_change(instance, wave, observation, report)
    return None


def can_return_to_service(
    instance: pools.Instance, observation: WorkerObservation
) -> bool:
    """Returns whether a returning instance can serve again."""
    report = observation.report
    return (
        instance.state is _STATE.RETURNING
        and report is not None
        and observation.is_current
        and observation.lease_held
        and not report.draining
    )


def job_changes(
    active: Collection[jobs.Job],
    jobs_at_request: Collection[jobs.Job],
    report: worker_messages.Report,
    has_restarted: bool,
) -> Iterator[commands.JobChange]:
    """Yields the changes of job states that a report shows.

    Args:
        active: Jobs that the committed state places on the worker.
        jobs_at_request: Jobs that were placed there when the report was
            requested.
        report: The report.
        has_restarted: Whether the worker restarted since the report before.
    """
    tasks = {task.task_id: task for task in report.tasks}
    for job in active:
        task = tasks.get(worker_messages.task_id_of(job))
        if task is not None:
            change = _change_from_task(job, task)
        elif job.state is not jobs.JobState.PLACED and job in jobs_at_request:
            change = commands.JobChange(
                job.job_id,
                job.attempt,
                jobs.JobState.QUEUED,
                "task disappeared",
                worker_crashed=has_restarted,
            )
        else:
            change = None
        if change is not None:
            yield change


def drain_changes(
    active: Collection[jobs.Job],
    actions: Collection[profiles.Interruption],
    overdue: bool,
) -> Iterator[commands.JobChange]:
    """Yields the changes of the jobs of a draining worker.

    Jobs that have not started are queued again. Running jobs are checkpointed
    at once if the profile allows it. Otherwise they may finish until the drain
    is overdue, and are then stopped if the profile allows it.

    Args:
        active: Jobs that the committed state places on the worker.
        actions: Interruptions that the profile allows.
        overdue: Whether the drain has lasted longer than its timeout.
    """
    for job in active:
        if job.state is jobs.JobState.PLACED:
            reason = "drained before the start"
            yield _job_change_to(job, jobs.JobState.QUEUED, reason)
        elif profiles.Interruption.CHECKPOINT in actions:
            yield _job_change_to(job, jobs.JobState.CHECKPOINTED, "drained")
        elif overdue and profiles.Interruption.STOP in actions:
            yield _job_change_to(job, jobs.JobState.QUEUED, "drain timeout")


def _loss_cause(
    instance: pools.Instance, observation: WorkerObservation, max_out_s: float
) -> str | None:
    if instance.state is _STATE.IN_MAINTENANCE:
        overdue = (
            observation.state_age_s > max_out_s and observation.lease_ended
        )
        return f"out for over {max_out_s:g} s" if overdue else None
    if instance.state not in _LOST_WHEN_UNRESPONSIVE:
        return None
    report = observation.report
    if observation.is_unresponsive and observation.lease_ended:
        return "silent until its lease ended"
    if report is None or not observation.is_current:
        return None
    fenced = instance.state is _STATE.DRAINING and report.is_idle
    ended = report.lease_has_ended(instance.fence)
    return "lease ended, worker answers" if ended and not fenced else None


def _pool_switch(
    instance: pools.Instance,
    target: ids.PoolId,
    observation: WorkerObservation,
    report: worker_messages.Report,
) -> commands.SwitchPool | None:
    ended = observation.lease_ended or report.lease_has_ended(instance.fence)
    drained = report.draining or instance.state is _STATE.LOST
    if not (ended and drained and report.is_idle):
        return None
    return commands.SwitchPool(instance.instance_id, target, lease_ended=True)


def _maintenance_change(
    instance: pools.Instance,
    wave: waves.Wave | None,
    observation: WorkerObservation,
    report: worker_messages.Report,
) -> commands.RecordInstanceState | None:
    cancelled = wave is None or wave.state is waves.WaveState.CANCELLED
    if instance.state is _STATE.DRAINING:
        if cancelled:
            return _state_change(instance, _STATE.RETURNING, "wave cancelled")
        if report.draining and report.is_idle:
            return _state_change(instance, _STATE.IN_MAINTENANCE, "drained")
        return None
    if observation.reboot_done:
        return _state_change(instance, _STATE.RETURNING, "rebooted")
    return None


def _change_from_task(
    job: jobs.Job, task: worker_messages.Task
) -> commands.JobChange | None:
    states = worker_messages.TaskState
    if task.state is states.EXITED:
        if task.exit == 0:
            return _job_change_to(job, jobs.JobState.SUCCEEDED, "")
        return _job_change_to(
            job, jobs.JobState.FAILED, f"exit status {task.exit}"
        )
    if task.state is states.STOPPED:
        return _job_change_to(
            job, jobs.JobState.QUEUED, "stopped by the worker"
        )
    if task.state is states.CHECKPOINTED:
        reason = "checkpointed by the worker"
        return _job_change_to(job, jobs.JobState.CHECKPOINTED, reason)
    if job.state is jobs.JobState.PLACED:
        return _job_change_to(job, jobs.JobState.RUNNING, "")
    return None


def _state_change(
    instance: pools.Instance, state: pools.InstanceState, cause: str
) -> commands.RecordInstanceState:
    return commands.RecordInstanceState(
        instance.instance_id, state, cause, instance.revision
    )


def _job_change_to(
    job: jobs.Job, state: jobs.JobState, reason: str
) -> commands.JobChange:
    return commands.JobChange(job.job_id, job.attempt, state, reason)
