"""Handlers of the commands that register, remove and observe instances."""

import dataclasses

from tarragoncleat.kernel import errors
from tarragoncleat.state import command_context
from tarragoncleat.state import commands
from tarragoncleat.state import fleet_state
from tarragoncleat.state import job_handlers
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import wave_handlers

__all__: list[str] = []

_STATE = pools.InstanceState
_RETURNED_STATES = (_STATE.RETURNING, _STATE.IN_SERVICE)
_LEDGER_KINDS = {
    _STATE.IN_MAINTENANCE: ledger.LedgerKind.WAVE_STEP,
    _STATE.LOST: ledger.LedgerKind.LOSS,
    _STATE.QUARANTINED: ledger.LedgerKind.QUARANTINE,
    _STATE.RETURNING: ledger.LedgerKind.RETURN,
    _STATE.IN_SERVICE: ledger.LedgerKind.RETURN,
}


@command_context.apply_command.register
def _put_instance(
    command: commands.PutInstance, context: command_context.CommandContext
) -> dict | errors.Failure:
    given = command.instance
    current = context.state.instances.get(given.instance_id)
    failure = pools.check_instance(given)
    if failure is not None:
        return failure
    failure = errors.first_failure(
        _check_pool(context, current, given),
        context.check_if_match(
            current,
            given if current is None else _with_description(current, given),
        ),
        _check_jobs_fit(context, current, given),
    )
    if failure is not None:
        return failure
    if current is None:
        instance = dataclasses.replace(
            given,
            state=_STATE.IN_SERVICE,
            in_service_since_ms=context.now_ms,
            moving_to=None,
            wave_id=None,
            maintained_at_ms=0,
            fence=1,
        )
        kind, cause = ledger.LedgerKind.GRANT, "instance registered"
    else:
        instance = _with_description(current, given)
        kind, cause = ledger.LedgerKind.CONFIGURATION, "instance changed"
    if instance == current:
        return {"changed": False}
    context.put_instance(instance, kind, cause)
    context.mark_configuration_changed()
    return {"changed": True}


@command_context.apply_command.register
def _remove_instance(
    command: commands.RemoveInstance, context: command_context.CommandContext
) -> dict | errors.Failure:
    state = context.state
    instance = context.find_instance(command.instance_id)
    if isinstance(instance, errors.Failure):
        return instance
    failure = context.check_revision(instance.revision)
    if failure is not None:
        return failure
    pool = state.pools[instance.pool_id]
    failure = _check_removal(context, instance)
    if failure is not None:
        return failure
    for record in list(state.waves.values()):
        if instance.instance_id in record.remaining:
            wave_handlers.skip_instance(
                context, record, instance.instance_id, "instance removed"
            )
            wave_handlers.finish_if_done(context, record.header.wave_id)
    state.remove_instance(instance.instance_id)
    context.mark_configuration_changed()
    context.add_ledger_entry(
        ledger.LedgerKind.CONFIGURATION,
        pool.firm,
        service_id=pool.service_id,
        pool_id=pool.pool_id,
        instance_id=instance.instance_id,
        cause="instance removed",
    )
    return {}


def _check_removal(
    context: command_context.CommandContext, instance: pools.Instance
) -> errors.Failure | None:
    """Checks that an instance may be removed.

    It must not serve a pool, move, be out for a wave or run jobs.
    """
    instance_id = instance.instance_id
    pool = context.state.pools[instance.pool_id]
    unusable = instance.state in (_STATE.LOST, _STATE.QUARANTINED)
    if not unusable and (pool.service_id is not None or instance.moving_to):
        return command_context.conflict(
            f"instance {instance_id} is {instance.state.value} in pool "
            f"{pool.pool_id}; move it to a spare pool first",
            revision=instance.revision,
        )
    if instance.wave_id is not None:
        return command_context.conflict(
            f"instance {instance_id} is out for wave {instance.wave_id}",
            revision=instance.revision,
        )
    if context.state.jobs_by_instance[instance_id]:
        return job_handlers.not_idle(context, instance)
    return None


@command_context.apply_command.register
def _record_state(
    command: commands.RecordInstanceState,
    context: command_context.CommandContext,
) -> dict | errors.Failure:
    instance = context.find_instance(command.instance_id)
    if isinstance(instance, errors.Failure):
        return instance
    expected = command.expected_revision
    if expected is not None and expected != instance.revision:
        return command_context.conflict(
            f"instance {instance.instance_id} is at revision "
            f"{instance.revision}, not {expected}",
            revision=instance.revision,
            differences={},
        )
    failure = _check_observed_state(context, instance, command.state)
    if failure is not None:
        return failure
    _apply_observed_state(context, instance, command)
    return {}


def _apply_observed_state(
    context: command_context.CommandContext,
    instance: pools.Instance,
    command: commands.RecordInstanceState,
) -> None:
    state = command.state
    updated = dataclasses.replace(
        instance,
        state=state,
        is_quarantined=_stays_quarantined(instance, state),
    )
    if state in (_STATE.LOST, _STATE.IN_MAINTENANCE):
        # The loss or the reboot ends the worker's lease. A new lease needs a
        # higher fence.
        updated = dataclasses.replace(updated, fence=instance.fence + 1)
    if state is _STATE.LOST:
        job_handlers.requeue_lost_jobs(context, instance.instance_id)
        updated = wave_handlers.detach_lost(context, updated)
    elif instance.state is _STATE.DRAINING and state in _RETURNED_STATES:
        updated = wave_handlers.detach_skipped(
            context, updated, "returned without maintenance"
        )
    if state is _STATE.IN_SERVICE:
        updated = wave_handlers.return_to_service(context, updated)
    context.put_instance(
        updated, _LEDGER_KINDS[state], command.cause, instance.wave_id
    )
    wave_handlers.finish_if_done(context, instance.wave_id)


def _stays_quarantined(
    instance: pools.Instance, state: pools.InstanceState
) -> bool:
    """Whether an instance is quarantined, or will be when it is back.

    Only maintenance or a release ends a quarantine: a worker that was silent
    for a while is as broken as before.
    """
    if state is _STATE.QUARANTINED:
        return True
    was_maintained = instance.state is _STATE.IN_MAINTENANCE
    is_away = state in (_STATE.LOST, _STATE.RETURNING)
    return instance.is_quarantined and is_away and not was_maintained


def _check_pool(
    context: command_context.CommandContext,
    current: pools.Instance | None,
    given: pools.Instance,
) -> errors.Failure | None:
    if current is not None and not context.may_access(
        context.state.pools[current.pool_id].firm
    ):
        return command_context.forbidden("this instance id is not available")
    pool = context.find(context.state.pools, given.pool_id, "pool")
    if isinstance(pool, errors.Failure):
        return command_context.bad_request(f"pool_id: {pool.reason}")
    if current is not None and current.pool_id != given.pool_id:
        return command_context.bad_request(
            f"pool_id: the instance belongs to {current.pool_id}; "
            "only a move changes its pool"
        )
    return None


def _check_jobs_fit(
    context: command_context.CommandContext,
    current: pools.Instance | None,
    given: pools.Instance,
) -> errors.Failure | None:
    if current is None:
        return None
    used = context.state.used_by_instance(given.instance_id)
    if fleet_state.fits(used, fleet_state.instance_resources(given)):
        return None
    return command_context.conflict(
        f"the jobs on instance {given.instance_id} need more than that",
        revision=current.revision,
    )


def _with_description(
    current: pools.Instance, given: pools.Instance
) -> pools.Instance:
    """Returns the current instance with the descriptive fields of another."""
    return dataclasses.replace(
        current,
        availability_zone=given.availability_zone,
        rack=given.rack,
        cores=given.cores,
        memory_mb=given.memory_mb,
        accelerators=given.accelerators,
        address=given.address,
    )


def _check_observed_state(
    context: command_context.CommandContext,
    instance: pools.Instance,
    state: pools.InstanceState,
) -> errors.Failure | None:
    failure = pools.check_transition(instance, state)
    if failure is not None:
        return failure
    enters_maintenance = state is _STATE.IN_MAINTENANCE
    if (
        enters_maintenance
        and context.state.jobs_by_instance[instance.instance_id]
    ):
        return job_handlers.not_idle(context, instance)
    if state in _RETURNED_STATES and instance.moving_to is not None:
        return command_context.conflict(
            f"instance {instance.instance_id} is moving to "
            f"{instance.moving_to}",
            revision=instance.revision,
        )
    return None
