"""Rules of moves between pools.

An instance is drained, then fenced by the end of its lease, and then one record
switches its pool.
"""

from collections.abc import Sequence
import dataclasses
import math

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import budget
from tarragoncleat.state import commands
from tarragoncleat.state import fleet_jobs
from tarragoncleat.state import fleet_rules
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__: list[str] = []

_STATE = pools.InstanceState
_BETWEEN_FIRMS = (
    "an instance moves between two firms only through a pool of the platform"
)


@fleet_rules.apply_command.register
def _move_instance(
    command: commands.MoveInstance, change: fleet_rules.Change
) -> dict | errors.Failure:
    instance = change.find_instance(command.instance_id)
    if isinstance(instance, errors.Failure):
        return instance
    pool = change.find(change.state.pools, command.pool_id, "pool")
    if isinstance(pool, errors.Failure):
        return pool
    failure = change.check_revision(instance.revision)
    if failure is not None:
        return failure
    if instance.moving_to is not None:
        return _redirect(change, instance, pool.pool_id)
    failure = _check_move(change, instance, pool.pool_id)
    if failure is not None:
        return failure
    draining = instance.state is not _STATE.LOST
    change.put_instance(
        dataclasses.replace(
            instance,
            moving_to=pool.pool_id,
            state=_STATE.DRAINING if draining else instance.state,
        ),
        ledger.LedgerKind.MOVE,
        f"move to {pool.pool_id} started by {change.actor}",
    )
    return {}


@fleet_rules.apply_command.register
def _switch_pool(
    command: commands.SwitchPool, change: fleet_rules.Change
) -> dict | errors.Failure:
    instance = change.find_instance(command.instance_id)
    if isinstance(instance, errors.Failure):
        return instance
    failure = _check_switch(change, instance, command)
    if failure is not None:
        return failure
    if command.lease_ended:
        fleet_jobs.requeue_all(change, instance.instance_id, "pool switch")
    lost = instance.state is _STATE.LOST
    change.put_instance(
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


def _check_move(
    change: fleet_rules.Change,
    instance: pools.Instance,
    pool_id: ids.PoolId,
) -> errors.Failure | None:
    name = instance.instance_id
    if pool_id == instance.pool_id:
        return fleet_rules.conflict(
            f"instance {name} belongs to pool {pool_id} already",
            revision=instance.revision,
        )
    if not _within_firm(change, instance.pool_id, pool_id):
        return fleet_rules.forbidden(_BETWEEN_FIRMS)
    movable = (_STATE.IN_SERVICE, _STATE.QUARANTINED, _STATE.LOST)
    if instance.state not in movable:
        return fleet_rules.conflict(
            f"instance {name} is {instance.state.value} and can't move now",
            revision=instance.revision,
        )
    if instance.state is not _STATE.IN_SERVICE:
        return None
    failure = _check_move_budget(change, instance)
    if failure is not None:
        pool = change.state.pools[instance.pool_id]
        change.log(
            ledger.LedgerKind.DENIAL,
            pool.firm,
            service_id=pool.service_id,
            pool_id=pool.pool_id,
            instance_id=name,
            cause=f"move to {pool_id}: {failure.reason}",
        )
    return failure


def _check_move_budget(
    change: fleet_rules.Change, instance: pools.Instance
) -> errors.Failure | None:
    """Checks the budget of the pool that the instance leaves.

    A move takes the instance for good, so the members that stay must reach
    what is owed, besides the floor that holds while they are maintained.
    """
    state = change.state
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
    shortage = _shortage(profile.owed, staying)
    if shortage is not None:
        return fleet_rules.over_budget(
            f"pool {instance.pool_id} would keep {shortage}, owed by profile "
            f"{profile.profile_id}"
        )
    return budget.allows(
        profile, members, [instance.instance_id], change.now_ms
    )


def _shortage(
    owed: profiles.Capacity, staying: Sequence[pools.Instance]
) -> str | None:
    """Returns which part of an owed capacity instances don't reach."""
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
    for name, held, wanted in parts:
        if held < wanted:
            return f"{held:g} of {wanted:g} {name}"
    return None


def _within_firm(
    change: fleet_rules.Change, source: ids.PoolId, target: ids.PoolId
) -> bool:
    """Tells whether neither firm would see the other's pool in the move."""
    firms = {change.state.pools[name].firm for name in (source, target)}
    return len(firms - {commands.ANY_FIRM}) <= 1


def _redirect(
    change: fleet_rules.Change,
    instance: pools.Instance,
    pool_id: ids.PoolId,
) -> dict | errors.Failure:
    """Changes or cancels a move that has not switched yet."""
    if not _within_firm(change, instance.pool_id, pool_id):
        return fleet_rules.forbidden(_BETWEEN_FIRMS)
    if pool_id != instance.pool_id:
        updated = dataclasses.replace(instance, moving_to=pool_id)
        cause = f"move changed to {pool_id} by {change.actor}"
    else:
        lost = instance.state is _STATE.LOST
        updated = dataclasses.replace(
            instance,
            moving_to=None,
            state=instance.state if lost else _STATE.RETURNING,
        )
        cause = f"move cancelled by {change.actor}"
    change.put_instance(updated, ledger.LedgerKind.MOVE, cause)
    return {}


def _check_switch(
    change: fleet_rules.Change,
    instance: pools.Instance,
    command: commands.SwitchPool,
) -> errors.Failure | None:
    name = instance.instance_id
    if instance.moving_to != command.pool_id:
        return fleet_rules.conflict(
            f"instance {name} is not moving to {command.pool_id}",
            revision=instance.revision,
        )
    if instance.state not in (_STATE.DRAINING, _STATE.LOST):
        return fleet_rules.conflict(
            f"instance {name} is {instance.state.value}, not drained",
            revision=instance.revision,
        )
    if change.state.jobs_by_instance[name] and not command.lease_ended:
        return fleet_jobs.runs_jobs(change, instance)
    return None
