"""Handlers of the commands on jobs: submit, place, observe, cancel, deny."""

import dataclasses

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import command_context
from tarragoncleat.state import commands
from tarragoncleat.state import fleet_state
from tarragoncleat.state import job_losses
from tarragoncleat.state import jobs
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = ["not_idle", "requeue_instance_jobs", "requeue_lost_jobs"]

# Keeps a log record well below the frame limit of 8 MiB.
_MAX_JOBS_PER_COMMAND = 5_000
# Four jobs per worker at the target scale. A job takes about 0.6 KB of memory.
_MAX_LIVE_JOBS = 100_000
_MILLICORES_PER_CORE = 1000
_STATE = jobs.JobState


def requeue_instance_jobs(
    context: command_context.CommandContext,
    instance_id: ids.InstanceId,
    cause: str,
) -> None:
    """Puts every job of an instance back into the queue."""
    for job_id in sorted(context.state.jobs_by_instance[instance_id]):
        job = context.state.jobs[job_id]
        context.add_job_ledger_entry(job, ledger.LedgerKind.INTERRUPTION, cause)
        _requeue_job(context, job, _STATE.QUEUED, cause)


def requeue_lost_jobs(
    context: command_context.CommandContext, instance_id: ids.InstanceId
) -> None:
    """Puts the jobs of a lost instance back into the queue.

    Ends those under which too many instances were lost.
    """
    for job_id in sorted(context.state.jobs_by_instance[instance_id]):
        job = context.state.jobs[job_id]
        losses = _earlier_losses(context, job).with_silent_loss()
        _requeue_or_give_up(context, job, losses, "instance lost")


def not_idle(
    context: command_context.CommandContext, instance: pools.Instance
) -> errors.Failure:
    """Returns the failure of a command on an instance that still runs jobs."""
    count = len(context.state.jobs_by_instance[instance.instance_id])
    return command_context.conflict(
        f"instance {instance.instance_id} still runs {count} jobs",
        revision=instance.revision,
    )


@command_context.apply_command.register
def _submit(
    command: commands.SubmitJobs, context: command_context.CommandContext
) -> dict | errors.Failure:
    failure = _check_submission(context, command)
    if failure is not None:
        return failure
    outcomes = []
    for submitted in command.jobs:
        reason = _why_unplaceable(context, submitted)
        job = dataclasses.replace(
            submitted,
            state=_STATE.QUEUED if reason is None else _STATE.UNPLACEABLE,
            instance_id=None,
            reserved=None,
            attempt=0,
            submitted_at_ms=context.now_ms,
            started_at_ms=0,
            reason=reason or "",
        )
        context.put_job(job)
        if reason is not None:
            context.add_job_ledger_entry(job, ledger.LedgerKind.DENIAL, reason)
        outcomes.append(
            {
                "job_id": job.job_id,
                "state": job.state.value,
                "reason": job.reason,
            }
        )
    return {"jobs": outcomes}


@command_context.apply_command.register
def _cancel(
    command: commands.CancelJobs, context: command_context.CommandContext
) -> dict | errors.Failure:
    if len(command.job_ids) > _MAX_JOBS_PER_COMMAND:
        return _too_many_jobs(len(command.job_ids))
    cancelled: list[ids.JobId] = []
    unchanged: list[ids.JobId] = []
    unknown: list[ids.JobId] = []
    for job_id in dict.fromkeys(command.job_ids):
        job = _find_job(context, job_id)
        if job is None:
            unknown.append(job_id)
        elif job.state.is_final:
            unchanged.append(job_id)
        else:
            _end_job(
                context, job, _STATE.CANCELLED, f"cancelled by {context.actor}"
            )
            cancelled.append(job_id)
    if not cancelled and not unchanged:
        return command_context.not_found("job", ", ".join(unknown))
    return {
        "cancelled": cancelled,
        "unchanged": unchanged,
        "unknown": unknown,
    }


@command_context.apply_command.register
def _place(
    command: commands.PlaceJobs, context: command_context.CommandContext
) -> dict | errors.Failure:
    placed: list[ids.JobId] = []
    refused: list[dict] = []
    for placement in command.placements:
        job = _find_job(context, placement.job_id)
        if job is None:
            reason: str | None = "there is no such job"
        else:
            reason = _why_not_placeable_on(context, job, placement)
        if job is None or reason is not None:
            refused.append({"job_id": placement.job_id, "reason": reason})
            continue
        _place_job(context, job, placement)
        placed.append(job.job_id)
    return {"placed": placed, "refused": refused}


@command_context.apply_command.register
def _record_states(
    command: commands.RecordJobStates, context: command_context.CommandContext
) -> dict | errors.Failure:
    recorded: list[ids.JobId] = []
    refused: list[dict] = []
    alone = _jobs_alone(context, command)
    for change in command.changes:
        job = _find_job(context, change.job_id)
        reason = _why_state_refused(context, job, change)
        if job is None or reason is not None:
            refused.append({"job_id": change.job_id, "reason": reason})
            continue
        if change.worker_crashed:
            _record_crash(context, job, change, job.job_id in alone)
        else:
            _record_state(context, job, change)
        recorded.append(job.job_id)
    return {"recorded": recorded, "refused": refused}


@command_context.apply_command.register
def _record_denials(
    command: commands.RecordDenials, context: command_context.CommandContext
) -> dict | errors.Failure:
    recorded = 0
    for denial in command.denials:
        service = context.state.services.get(denial.service_id)
        if service is None or not context.may_access(service.firm):
            continue
        context.add_ledger_entry(
            ledger.LedgerKind.DENIAL,
            service.firm,
            service_id=denial.service_id,
            pool_id=denial.pool_id or service.pool_id,
            job_id=denial.job_id,
            cause=denial.cause,
            amount=denial.amount,
        )
        recorded += 1
    return {"recorded": recorded}


def _jobs_alone(
    context: command_context.CommandContext, command: commands.RecordJobStates
) -> frozenset[ids.JobId]:
    """Returns the jobs that have their instance to themselves."""
    state = context.state
    return frozenset(
        change.job_id
        for change in command.changes
        if (job := state.jobs.get(change.job_id)) is not None
        and job.instance_id is not None
        and len(state.jobs_by_instance[job.instance_id]) == 1
    )


def _record_crash(
    context: command_context.CommandContext,
    job: jobs.Job,
    change: commands.JobChange,
    was_alone: bool,
) -> None:
    """Counts the crash of the worker that ran a job."""
    assert job.instance_id is not None
    losses = _earlier_losses(context, job)
    losses = losses.with_crash(job.instance_id, was_alone)
    _requeue_or_give_up(context, job, losses, change.reason)


def _earlier_losses(
    context: command_context.CommandContext, job: jobs.Job
) -> job_losses.JobLosses:
    if job_losses.is_cleared(job, context.now_ms):
        return job_losses.NO_LOSSES
    return context.state.losses.get(job.job_id, job_losses.NO_LOSSES)


def _requeue_or_give_up(
    context: command_context.CommandContext,
    job: jobs.Job,
    losses: job_losses.JobLosses,
    cause: str,
) -> None:
    if losses.is_guilty:
        _end_job(context, job, _STATE.FAILED, losses.reason)
        return
    context.state.losses[job.job_id] = losses
    context.add_job_ledger_entry(job, ledger.LedgerKind.INTERRUPTION, cause)
    _requeue_job(context, job, _STATE.QUEUED, cause)


def _too_many_jobs(count: int) -> errors.Failure:
    return command_context.bad_request(
        f"{count} jobs in one command; at most {_MAX_JOBS_PER_COMMAND}"
    )


def _find_job(
    context: command_context.CommandContext, job_id: ids.JobId
) -> jobs.Job | None:
    job = context.state.jobs.get(job_id)
    if job is None or not context.covers_service(job.service_id):
        return None
    firm = context.state.firm_of_job(job)
    return job if context.may_access(firm) else None


def _check_submission(
    context: command_context.CommandContext, command: commands.SubmitJobs
) -> errors.Failure | None:
    """Checks every job, so that a refused command submits none of them."""
    if not 0 < len(command.jobs) <= _MAX_JOBS_PER_COMMAND:
        return _too_many_jobs(len(command.jobs))
    live = context.state.live_job_count
    if live + len(command.jobs) > _MAX_LIVE_JOBS:
        return errors.Failure(
            errors.ErrorKind.OVERLOADED,
            f"{live} jobs wait or run; at most {_MAX_LIVE_JOBS} may",
        )
    job_ids = set()
    for job in command.jobs:
        if job.job_id in job_ids:
            return command_context.bad_request(
                f"job {job.job_id} is named twice"
            )
        job_ids.add(job.job_id)
        failure = _check_job(context, job)
        if failure is not None:
            return failure
    return None


def _check_job(
    context: command_context.CommandContext, job: jobs.Job
) -> errors.Failure | None:
    state = context.state
    service = context.find(state.services, job.service_id, "service")
    if isinstance(service, errors.Failure):
        return service
    if job.team_id is not None:
        team = state.teams.get(job.team_id)
        if team is None or team.firm != service.firm:
            return command_context.not_found("team", job.team_id)
    if job.job_id in state.jobs:
        if _find_job(context, job.job_id) is None:
            return command_context.forbidden(
                f"job id {job.job_id}: not available"
            )
        return command_context.conflict(f"there is a job {job.job_id} already")
    return jobs.check_job(job)


def _why_unplaceable(
    context: command_context.CommandContext, job: jobs.Job
) -> str | None:
    """Returns why a job can never run, or None."""
    state = context.state
    required = fleet_state.demand_resources(job.demand)
    if job.team_id is not None:
        reason = _why_over_quota(state.teams[job.team_id], required)
        if reason is not None:
            return reason
    pool_id = state.services[job.service_id].pool_id
    sizes = state.instance_sizes(pool_id)
    if any(fleet_state.fits(required, size) for size in sizes):
        return None
    if not sizes:
        return f"pool {pool_id} has no instances"
    cores = max(size.millicores for size in sizes) / _MILLICORES_PER_CORE
    memory_mb = max(size.memory_mb for size in sizes)
    accelerators = max(size.accelerators for size in sizes)
    return (
        f"needs {job.demand.cores} cores, {job.demand.memory_mb} MB and "
        f"{job.demand.accelerators} accelerators on one instance; the most "
        f"in pool {pool_id} are {cores} cores, {memory_mb} MB and "
        f"{accelerators} accelerators"
    )


def _why_over_quota(
    team: profiles.Team, total: fleet_state.Resources
) -> str | None:
    """Returns which limit of a team's quota a total exceeds, or None.

    A quota of zero slots doesn't limit the number of jobs.
    """
    quota = team.quota
    limits = (
        ("jobs", total.jobs, quota.slots or total.jobs, 1),
        (
            "cores",
            total.millicores,
            round(quota.cores * _MILLICORES_PER_CORE),
            _MILLICORES_PER_CORE,
        ),
        ("MB of memory", total.memory_mb, quota.memory_mb, 1),
        ("accelerators", total.accelerators, quota.accelerators, 1),
    )
    for name, used, limit, unit in limits:
        if used > limit:
            return (
                f"the quota of team {team.team_id} is {limit / unit:g} "
                f"{name}; {used / unit:g} would be in use"
            )
    return None


def _why_not_placeable_on(
    context: command_context.CommandContext,
    job: jobs.Job,
    placement: commands.JobPlacement,
) -> str | None:
    """Returns why a job can't be placed on an instance, or None."""
    instance_id = placement.instance_id
    state = context.state
    if not job.state.is_waiting:
        return f"the job is {job.state.value}"
    instance = state.instances.get(instance_id)
    service = state.services[job.service_id]
    if instance is None or instance.pool_id != service.pool_id:
        return f"instance {instance_id} is not in pool {service.pool_id}"
    if instance.state is not pools.InstanceState.IN_SERVICE:
        return f"instance {instance_id} is {instance.state.value}"
    size = placement.size or job.demand
    failure = jobs.check_demand(size)
    if failure is not None:
        return failure.reason
    used = state.used_by_instance(instance_id)
    used = used.plus(fleet_state.demand_resources(size))
    if not fleet_state.fits(used, fleet_state.instance_resources(instance)):
        return f"instance {instance_id} has no room"
    required = fleet_state.demand_resources(job.demand)
    return _why_team_over_quota(context, job, required)


def _why_team_over_quota(
    context: command_context.CommandContext,
    job: jobs.Job,
    required: fleet_state.Resources,
) -> str | None:
    """Returns why a placement exceeds the team's quota, and records the denial.

    Returns None if it doesn't exceed the quota.
    """
    if job.team_id is None:
        return None
    used = context.state.used_by_team(job.team_id).plus(required)
    reason = _why_over_quota(context.state.teams[job.team_id], used)
    if reason is not None:
        context.add_job_ledger_entry(job, ledger.LedgerKind.DENIAL, reason)
    return reason


def _place_job(
    context: command_context.CommandContext,
    job: jobs.Job,
    placement: commands.JobPlacement,
) -> None:
    placed = dataclasses.replace(
        job,
        state=_STATE.PLACED,
        instance_id=placement.instance_id,
        reserved=placement.size,
        attempt=job.attempt + 1,
        reason="",
    )
    context.put_job(placed)
    context.add_job_ledger_entry(placed, ledger.LedgerKind.GRANT, "placed")


def _why_state_refused(
    context: command_context.CommandContext,
    job: jobs.Job | None,
    change: commands.JobChange,
) -> str | None:
    if job is None:
        return "there is no such job"
    if change.attempt != job.attempt:
        return f"attempt {change.attempt} is not the current one, {job.attempt}"
    failure = jobs.check_transition(job, change.state)
    if failure is not None:
        return failure.reason
    return _why_not_unthrottled(context, job, change.state)


def _why_not_unthrottled(
    context: command_context.CommandContext, job: jobs.Job, state: jobs.JobState
) -> str | None:
    """Returns why a throttled job can't run at full speed again, or None.

    Another job may occupy the cores that throttling freed.
    """
    if job.state is not _STATE.THROTTLED or state is not _STATE.RUNNING:
        return None
    assert job.instance_id is not None
    unthrottled = dataclasses.replace(job, state=state)
    used = context.state.used_by_instance(job.instance_id)
    used = used.plus(fleet_state.demand_resources(job.occupied), -1)
    used = used.plus(fleet_state.demand_resources(unthrottled.occupied))
    instance = context.state.instances[job.instance_id]
    if fleet_state.fits(used, fleet_state.instance_resources(instance)):
        return None
    return f"instance {job.instance_id} has no room at full speed"


def _record_state(
    context: command_context.CommandContext,
    job: jobs.Job,
    change: commands.JobChange,
) -> None:
    if change.state.is_final:
        _end_job(context, job, change.state, change.reason)
    elif change.state.is_waiting:
        context.add_job_ledger_entry(
            job, ledger.LedgerKind.INTERRUPTION, change.reason
        )
        _requeue_job(context, job, change.state, change.reason)
    elif change.state is _STATE.THROTTLED:
        context.add_job_ledger_entry(
            job, ledger.LedgerKind.INTERRUPTION, change.reason
        )
        context.put_job(
            dataclasses.replace(job, state=change.state, reason=change.reason)
        )
    else:
        context.put_job(
            dataclasses.replace(
                job,
                state=change.state,
                reason=change.reason,
                started_at_ms=job.started_at_ms or context.now_ms,
            )
        )


def _end_job(
    context: command_context.CommandContext,
    job: jobs.Job,
    state: jobs.JobState,
    cause: str,
) -> None:
    """Ends a job, which frees its instance and quota."""
    if state is _STATE.UNPLACEABLE:
        context.add_job_ledger_entry(job, ledger.LedgerKind.DENIAL, cause)
    elif job.state.holds_instance:
        interrupted = state is _STATE.CANCELLED
        kind = (
            ledger.LedgerKind.INTERRUPTION
            if interrupted
            else ledger.LedgerKind.RETURN
        )
        context.add_job_ledger_entry(job, kind, cause or state.value)
    context.put_job(dataclasses.replace(job, state=state, reason=cause))


def _requeue_job(
    context: command_context.CommandContext,
    job: jobs.Job,
    state: jobs.JobState,
    cause: str,
) -> None:
    context.put_job(
        dataclasses.replace(
            job,
            state=state,
            instance_id=None,
            reserved=None,
            started_at_ms=0,
            reason=cause,
        )
    )
