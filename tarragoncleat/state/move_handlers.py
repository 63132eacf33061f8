"""Handlers of the commands that move instances between pools.

A moving instance is first drained and then fenced by the end of its lease. Only
then does a single log record switch its pool.
"""

from collections.abc import Sequence
import dataclasses
import math

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import budget
from tarragoncleat.state import command_context
from tarragoncleat.state import commands
from tarragoncleat.state import job_handlers
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__: list[str] = []

_STATE = pools.InstanceState
_BETWEEN_FIRMS = (
    "an instance moves between two firms only through a pool of the platform"
)


@command_context.apply_command.register
def _move_instance(
    command: commands.MoveInstance, context: command_context.CommandContext
) -> dict | errors.Failure:
    instance = context.find_instance(command.instance_id)
    if isinstance(instance, errors.Failure):
        return instance
    pool = context.find(context.state.pools, command.pool_id, "pool")
    if isinstance(pool, errors.Failure):
        return pool
    failure = context.check_revision(instance.revision)
    if failure is not None:
        return failure
    if instance.moving_to is not None:
        return _change_move(context, instance, pool.pool_id)
    failure = _check_move_allowed(context, instance, pool.pool_id)
    if failure is not None:
        return failure
    draining = instance.state is not _STATE.LOST
    context.put_instance(
        dataclasses.replace(
            instance,
            moving_to=pool.pool_id,
            state=_STATE.DRAINING if draining else instance.state,
        ),
        ledger.LedgerKind.MOVE,
        f"move to {pool.pool_id} started by {context.actor}",
    )
    return {}


@command_context.apply_command.register
def _switch_pool(
    command: commands.SwitchPool, context: command_context.CommandContext
) -> dict | errors.Failure:
    instance = context.find_instance(command.instance_id)
    if isinstance(instance, errors.Failure):
        return instance
    failure = _check_switch(context, instance, command)
    if failure is not None:
        return failure
    if command.lease_ended:
        job_handlers.requeue_instance_jobs(
            context, instance.instance_id, "pool switch"
        )
    lost = instance.state is _STATE.LOST
    context.put_instance(
        dataclasses.replace(
            instance,
            pool_id=command.pool_id,
            moving_to=None,
            state=instance.state if lost else _STATE.RETURNING,
            fence=instance.fence + 1,
        ),
        ledger.LedgerKind.MOVE,
        f"moved from {instance.pool_id} to {command.pool_id}",
    )
    return {"fence": instance.fence + 1}


def _check_move_allowed(
    context: command_context.CommandContext,
    instance: pools.Instance,
    pool_id: ids.PoolId,
) -> errors.Failure | None:
    instance_id = instance.instance_id
    if pool_id == instance.pool_id:
        return command_context.conflict(
            f"instance {instance_id} belongs to pool {pool_id} already",
            revision=instance.revision,
        )
    if not _is_within_one_firm(context, instance.pool_id, pool_id):
        return command_context.forbidden(_BETWEEN_FIRMS)
    movable = (_STATE.IN_SERVICE, _STATE.QUARANTINED, _STATE.LOST)
    if instance.state not in movable:
        return command_context.conflict(
            f"instance {instance_id} is {instance.state.value} "
            "and can't move now",
            revision=instance.revision,
        )
    if instance.state is not _STATE.IN_SERVICE:
        return None
    failure = _check_move_budget(context, instance)
    if failure is not None:
        pool = context.state.pools[instance.pool_id]
        context.add_ledger_entry(
            ledger.LedgerKind.DENIAL,
            pool.firm,
            service_id=pool.service_id,
            pool_id=pool.pool_id,
            instance_id=instance_id,
            cause=f"move to {pool_id}: {failure.reason}",
        )
    return failure


def _check_move_budget(
    context: command_context.CommandContext, instance: pools.Instance
) -> errors.Failure | None:
    """Checks the budget of the pool that the instance leaves.

    A move is permanent, so the staying instances must provide the full owed
    capacity, not only the lower floor that applies during maintenance.
    """
    state = context.state
    profile = state.profile_of_pool(instance.pool_id)
    if profile is None:
        return None
    members = state.instances_of(instance.pool_id)
    staying = [
        item
        for item in members
        if item.moving_to is None
        and item.state not in (_STATE.LOST, _STATE.QUARANTINED)
        and item.instance_id != instance.instance_id
    ]
    missing = _missing_capacity(profile.owed, staying)
    if missing is not None:
        return command_context.over_budget(
            f"pool {instance.pool_id} would keep {missing}, owed by profile "
            f"{profile.profile_id}"
        )
    return budget.check_drain(
        profile, members, [instance.instance_id], context.now_ms
    )


def _missing_capacity(
    owed: profiles.Capacity, staying: Sequence[pools.Instance]
) -> str | None:
    """Returns which part of an owed capacity the instances don't provide."""
    parts = (
        ("instances", len(staying), owed.instances),
        ("cores", math.fsum(item.cores for item in staying), owed.cores),
        ("MB", sum(item.memory_mb for item in staying), owed.memory_mb),
        (
            "accelerators",
            sum(item.accelerators for item in staying),
            owed.accelerators,
        ),
    )
    for name, provided, required in parts:
        if provided < required:
            return f"{provided:g} of {required:g} {name}"
    return None


def _is_within_one_firm(
    context: command_context.CommandContext,
    source: ids.PoolId,
    target: ids.PoolId,
) -> bool:
    """Returns whether a move doesn't reveal one firm's pool to another firm.

    Pools of the platform don't count as another firm's.
    """
    firms = {context.state.pools[pool_id].firm for pool_id in (source, target)}
    return len(firms - {commands.ANY_FIRM}) <= 1


def _change_move(
    context: command_context.CommandContext,
    instance: pools.Instance,
    pool_id: ids.PoolId,
) -> dict | errors.Failure:
    """Changes the target of a move, or cancels it, before the switch."""
    if not _is_within_one_firm(context, instance.pool_id, pool_id):
        return command_context.forbidden(_BETWEEN_FIRMS)
    if pool_id != instance.pool_id:
        updated = dataclasses.replace(instance, moving_to=pool_id)
        cause = f"move changed to {pool_id} by {context.actor}"
    else:
        lost = instance.state is _STATE.LOST
        updated = dataclasses.replace(
            instance,
            moving_to=None,
            state=instance.state if lost else _STATE.RETURNING,
        )
        cause = f"move cancelled by {context.actor}"
    context.put_instance(updated, ledger.LedgerKind.MOVE, cause)
    return {}


def _check_switch(
    context: command_context.CommandContext,
    instance: pools.Instance,
    command: commands.SwitchPool,
) -> errors.Failure | None:
    instance_id = instance.instance_id
    if instance.moving_to != command.pool_id:
        return command_context.conflict(
            f"instance {instance_id} is not moving to {command.pool_id}",
            revision=instance.revision,
        )
    if instance.state not in (_STATE.DRAINING, _STATE.LOST):
        return command_context.conflict(
            f"instance {instance_id} is {instance.state.value}, not drained",
            revision=instance.revision,
        )
    if context.state.jobs_by_instance[instance_id] and not command.lease_ended:
        return job_handlers.not_idle(context, instance)
    return None
