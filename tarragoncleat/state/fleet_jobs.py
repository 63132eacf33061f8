"""Rules of jobs: submission, placement, observed states, cancellation."""

import dataclasses

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import commands
from tarragoncleat.state import fleet_rules
from tarragoncleat.state import fleet_state
from tarragoncleat.state import jobs
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = ["requeue_all", "runs_jobs"]

# Keeps one record well below the frame limit of 8 MiB.
_MAX_JOBS_PER_COMMAND = 5_000
# Four for each worker of the target scale; a job takes about 0.6 KB of memory.
_MAX_LIVE_JOBS = 100_000
_MILLI = 1000
_STATE = jobs.JobState


def requeue_all(
    change: fleet_rules.Change, instance_id: ids.InstanceId, cause: str
) -> None:
    """Puts every job of an instance back into the queue."""
    for name in sorted(change.state.jobs_by_instance[instance_id]):
        job = change.state.jobs[name]
        change.log_job(job, ledger.LedgerKind.INTERRUPTION, cause)
        _unplace(change, job, _STATE.QUEUED, cause)


def runs_jobs(
    change: fleet_rules.Change, instance: pools.Instance
) -> errors.Failure:
    """Returns the failure for an instance that must be idle."""
    count = len(change.state.jobs_by_instance[instance.instance_id])
    return fleet_rules.conflict(
        f"instance {instance.instance_id} still runs {count} jobs",
        revision=instance.revision,
    )


@fleet_rules.apply_command.register
def _submit(
    command: commands.SubmitJobs, change: fleet_rules.Change
) -> dict | errors.Failure:
    failure = _check_submission(change, command)
    if failure is not None:
        return failure
    outcomes = []
    for given in command.jobs:
        reason = _why_unplaceable(change, given)
        job = dataclasses.replace(
            given,
            state=_STATE.QUEUED if reason is None else _STATE.UNPLACEABLE,
            instance_id=None,
            reserved=None,
            attempt=0,
            submitted_at_ms=change.now_ms,
            started_at_ms=0,
            reason=reason or "",
        )
        change.put_job(job)
        if reason is not None:
            change.log_job(job, ledger.LedgerKind.DENIAL, reason)
        outcomes.append(
            {
                "job_id": job.job_id,
                "state": job.state.value,
                "reason": job.reason,
            }
        )
    return {"jobs": outcomes}


@fleet_rules.apply_command.register
def _cancel(
    command: commands.CancelJobs, change: fleet_rules.Change
) -> dict | errors.Failure:
    if len(command.job_ids) > _MAX_JOBS_PER_COMMAND:
        return _too_many(len(command.job_ids))
    cancelled: list[ids.JobId] = []
    unchanged: list[ids.JobId] = []
    unknown: list[ids.JobId] = []
    for name in dict.fromkeys(command.job_ids):
        job = _find_job(change, name)
        if job is None:
            unknown.append(name)
        elif job.state.is_final:
            unchanged.append(name)
        else:
            _end(change, job, _STATE.CANCELLED, f"cancelled by {change.actor}")
            cancelled.append(name)
    if not cancelled and not unchanged:
        return fleet_rules.not_found("job", ", ".join(unknown))
    return {
        "cancelled": cancelled,
        "unchanged": unchanged,
        "unknown": unknown,
    }


@fleet_rules.apply_command.register
def _place(
    command: commands.PlaceJobs, change: fleet_rules.Change
) -> dict | errors.Failure:
    placed: list[ids.JobId] = []
    refused: list[dict] = []
    for placement in command.placements:
        job = _find_job(change, placement.job_id)
        if job is None:
            reason: str | None = "there is no such job"
        else:
            reason = _why_not_here(change, job, placement)
        if job is None or reason is not None:
            refused.append({"job_id": placement.job_id, "reason": reason})
            continue
        _grant(change, job, placement)
        placed.append(job.job_id)
    return {"placed": placed, "refused": refused}


@fleet_rules.apply_command.register
def _record_states(
    command: commands.RecordJobStates, change: fleet_rules.Change
) -> dict | errors.Failure:
    recorded: list[ids.JobId] = []
    refused: list[dict] = []
    for item in command.changes:
        job = _find_job(change, item.job_id)
        reason = _why_not_recorded(change, job, item)
        if job is None or reason is not None:
            refused.append({"job_id": item.job_id, "reason": reason})
            continue
        _record(change, job, item)
        recorded.append(job.job_id)
    return {"recorded": recorded, "refused": refused}


@fleet_rules.apply_command.register
def _record_denials(
    command: commands.RecordDenials, change: fleet_rules.Change
) -> dict | errors.Failure:
    recorded = 0
    for item in command.denials:
        service = change.state.services.get(item.service_id)
        if service is None or not change.may_use(service.firm):
            continue
        change.log(
            ledger.LedgerKind.DENIAL,
            service.firm,
            service_id=item.service_id,
            pool_id=item.pool_id or service.pool_id,
            job_id=item.job_id,
            cause=item.cause,
            amount=item.amount,
        )
        recorded += 1
    return {"recorded": recorded}


def _too_many(count: int) -> errors.Failure:
    return fleet_rules.bad_request(
        f"{count} jobs in one command; at most {_MAX_JOBS_PER_COMMAND}"
    )


def _find_job(change: fleet_rules.Change, name: ids.JobId) -> jobs.Job | None:
    job = change.state.jobs.get(name)
    if job is None:
        return None
    firm = change.state.firm_of_job(job)
    return job if change.may_use(firm) else None


def _check_submission(
    change: fleet_rules.Change, command: commands.SubmitJobs
) -> errors.Failure | None:
    """Checks every job first, so that a refused command submits nothing."""
    if not 0 < len(command.jobs) <= _MAX_JOBS_PER_COMMAND:
        return _too_many(len(command.jobs))
    live = change.state.live_job_count
    if live + len(command.jobs) > _MAX_LIVE_JOBS:
        return errors.Failure(
            errors.ErrorKind.OVERLOADED,
            f"{live} jobs wait or run; at most {_MAX_LIVE_JOBS} may",
        )
    names = set()
    for job in command.jobs:
        if job.job_id in names:
            return fleet_rules.bad_request(f"job {job.job_id} is named twice")
        names.add(job.job_id)
        failure = _check_job(change, job)
        if failure is not None:
            return failure
    return None


def _check_job(
    change: fleet_rules.Change, job: jobs.Job
) -> errors.Failure | None:
    state = change.state
    service = change.find(state.services, job.service_id, "service")
    if isinstance(service, errors.Failure):
        return service
    if job.team_id is not None:
        team = state.teams.get(job.team_id)
        if team is None or team.firm != service.firm:
            return fleet_rules.not_found("team", job.team_id)
    if job.job_id in state.jobs:
        if _find_job(change, job.job_id) is None:
            return fleet_rules.forbidden(f"job id {job.job_id}: not available")
        return fleet_rules.conflict(f"there is a job {job.job_id} already")
    return jobs.check_job(job)


def _why_unplaceable(change: fleet_rules.Change, job: jobs.Job) -> str | None:
    """Returns why a job can never run, or None."""
    state = change.state
    need = fleet_state.amount_of(job.demand)
    if job.team_id is not None:
        reason = _over_quota(state.teams[job.team_id], need)
        if reason is not None:
            return reason
    pool_id = state.services[job.service_id].pool_id
    shapes = state.shapes(pool_id)
    if any(fleet_state.fits(need, shape) for shape in shapes):
        return None
    if not shapes:
        return f"pool {pool_id} has no instances"
    cores = max(shape.millicores for shape in shapes) / _MILLI
    memory_mb = max(shape.memory_mb for shape in shapes)
    accelerators = max(shape.accelerators for shape in shapes)
    return (
        f"needs {job.demand.cores} cores, {job.demand.memory_mb} MB and "
        f"{job.demand.accelerators} accelerators on one instance; the most "
        f"in pool {pool_id} are {cores} cores, {memory_mb} MB and "
        f"{accelerators} accelerators"
    )


def _over_quota(team: profiles.Team, total: fleet_state.Amount) -> str | None:
    """Returns which part of a quota a sum exceeds, or None.

    Zero slots mean no limit on the number of jobs.
    """
    quota = team.quota
    limits = (
        ("jobs", total.jobs, quota.slots or total.jobs, 1),
        ("cores", total.millicores, round(quota.cores * _MILLI), _MILLI),
        ("MB of memory", total.memory_mb, quota.memory_mb, 1),
        ("accelerators", total.accelerators, quota.accelerators, 1),
    )
    for name, wanted, limit, unit in limits:
        if wanted > limit:
            return (
                f"the quota of team {team.team_id} is {limit / unit:g} "
                f"{name}; {wanted / unit:g} would be in use"
            )
    return None


def _why_not_here(
    change: fleet_rules.Change, job: jobs.Job, placement: commands.JobPlacement
) -> str | None:
    """Returns why a job can't be placed on an instance now, or None."""
    instance_id = placement.instance_id
    state = change.state
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
    used = used.plus(fleet_state.amount_of(size))
    if not fleet_state.fits(used, fleet_state.size_of(instance)):
        return f"instance {instance_id} has no room"
    need = fleet_state.amount_of(job.demand)
    return _check_team(change, job, need)


def _check_team(
    change: fleet_rules.Change, job: jobs.Job, need: fleet_state.Amount
) -> str | None:
    if job.team_id is None:
        return None
    used = change.state.used_by_team(job.team_id).plus(need)
    reason = _over_quota(change.state.teams[job.team_id], used)
    if reason is not None:
        change.log_job(job, ledger.LedgerKind.DENIAL, reason)
    return reason


def _grant(
    change: fleet_rules.Change, job: jobs.Job, placement: commands.JobPlacement
) -> None:
    placed = dataclasses.replace(
        job,
        state=_STATE.PLACED,
        instance_id=placement.instance_id,
        reserved=placement.size,
        attempt=job.attempt + 1,
        reason="",
    )
    change.put_job(placed)
    change.log_job(placed, ledger.LedgerKind.GRANT, "placed")


def _why_not_recorded(
    change: fleet_rules.Change, job: jobs.Job | None, item: commands.JobChange
) -> str | None:
    if job is None:
        return "there is no such job"
    if item.attempt != job.attempt:
        return f"attempt {item.attempt} is not the current one, {job.attempt}"
    failure = jobs.check_transition(job, item.state)
    if failure is not None:
        return failure.reason
    return _why_no_full_speed(change, job, item.state)


def _why_no_full_speed(
    change: fleet_rules.Change, job: jobs.Job, state: jobs.JobState
) -> str | None:
    """Returns why a throttled job can't run at full speed again, or None.

    The room that throttling made may be in use by another job.
    """
    if job.state is not _STATE.THROTTLED or state is not _STATE.RUNNING:
        return None
    assert job.instance_id is not None
    faster = dataclasses.replace(job, state=state)
    used = change.state.used_by_instance(job.instance_id)
    used = used.plus(fleet_state.amount_of(job.occupied), -1)
    used = used.plus(fleet_state.amount_of(faster.occupied))
    instance = change.state.instances[job.instance_id]
    if fleet_state.fits(used, fleet_state.size_of(instance)):
        return None
    return f"instance {job.instance_id} has no room at full speed"


def _record(
    change: fleet_rules.Change, job: jobs.Job, item: commands.JobChange
) -> None:
    if item.state.is_final:
        _end(change, job, item.state, item.reason)
    elif item.state.is_waiting:
        change.log_job(job, ledger.LedgerKind.INTERRUPTION, item.reason)
        _unplace(change, job, item.state, item.reason)
    elif item.state is _STATE.THROTTLED:
        change.log_job(job, ledger.LedgerKind.INTERRUPTION, item.reason)
        change.put_job(
            dataclasses.replace(job, state=item.state, reason=item.reason)
        )
    else:
        change.put_job(
            dataclasses.replace(
                job,
                state=item.state,
                reason=item.reason,
                started_at_ms=job.started_at_ms or change.now_ms,
            )
        )


def _end(
    change: fleet_rules.Change,
    job: jobs.Job,
    state: jobs.JobState,
    cause: str,
) -> None:
    """Ends a job; its instance and quota are free from now on."""
    if state is _STATE.UNPLACEABLE:
        change.log_job(job, ledger.LedgerKind.DENIAL, cause)
    elif job.state.holds_instance:
        interrupted = state is _STATE.CANCELLED
        kind = (
            ledger.LedgerKind.INTERRUPTION
            if interrupted
            else ledger.LedgerKind.RETURN
        )
        change.log_job(job, kind, cause or state.value)
    change.put_job(dataclasses.replace(job, state=state, reason=cause))


def _unplace(
    change: fleet_rules.Change,
    job: jobs.Job,
    state: jobs.JobState,
    cause: str,
) -> None:
    change.put_job(
        dataclasses.replace(
            job,
            state=state,
            instance_id=None,
            reserved=None,
            started_at_ms=0,
            reason=cause,
        )
    )
