"""Rules of instances: registration, moves and observed states."""

from collections.abc import Sequence
import dataclasses
import math

from tarragoncleat import budget
from tarragoncleat import commands
from tarragoncleat import errors
from tarragoncleat import fleet_jobs
from tarragoncleat import fleet_rules
from tarragoncleat import fleet_state
from tarragoncleat import fleet_waves
from tarragoncleat import ids
from tarragoncleat import ledger
from tarragoncleat import pools
from tarragoncleat import profiles

__all__: list[str] = []

_STATE = pools.InstanceState
_BETWEEN_FIRMS = (
    "an instance moves between two firms only through a pool of the platform"
)
_BACK = (_STATE.RETURNING, _STATE.IN_SERVICE)
_KINDS = {
    _STATE.IN_MAINTENANCE: ledger.LedgerKind.WAVE_STEP,
    _STATE.LOST: ledger.LedgerKind.LOSS,
    _STATE.QUARANTINED: ledger.LedgerKind.QUARANTINE,
    _STATE.RETURNING: ledger.LedgerKind.RETURN,
    _STATE.IN_SERVICE: ledger.LedgerKind.RETURN,
}


@fleet_rules.apply_command.register
def _put_instance(
    command: commands.PutInstance, change: fleet_rules.Change
) -> dict | errors.Failure:
    given = command.instance
    current = change.state.instances.get(given.instance_id)
    failure = pools.check_instance(given)
    if failure is not None:
        return failure
    failure = errors.first_failure(
        _check_pool(change, current, given),
        change.check_match(
            current, given if current is None else _described(current, given)
        ),
        _check_room(change, current, given),
    )
    if failure is not None:
        return failure
    if current is None:
        instance = dataclasses.replace(
            given,
            state=_STATE.IN_SERVICE,
            in_service_since_ms=change.now_ms,
            moving_to=None,
            wave_id=None,
            maintained_at_ms=0,
            fence=1,
        )
        kind, cause = ledger.LedgerKind.GRANT, "instance registered"
    else:
        instance = _described(current, given)
        kind, cause = ledger.LedgerKind.CONFIGURATION, "instance changed"
    if instance == current:
        return {"changed": False}
    change.put_instance(instance, kind, cause)
    change.configured()
    return {"changed": True}


@fleet_rules.apply_command.register
def _remove_instance(
    command: commands.RemoveInstance, change: fleet_rules.Change
) -> dict | errors.Failure:
    state = change.state
    instance = change.find_instance(command.instance_id)
    if isinstance(instance, errors.Failure):
        return instance
    failure = change.check_revision(instance.revision)
    if failure is not None:
        return failure
    pool = state.pools[instance.pool_id]
    failure = _check_removal(change, instance)
    if failure is not None:
        return failure
    for record in list(state.waves.values()):
        if instance.instance_id in record.remaining:
            fleet_waves.skip(
                change, record, instance.instance_id, "instance removed"
            )
            fleet_waves.finish_if_done(change, record.head.wave_id)
    state.drop_instance(instance.instance_id)
    change.configured()
    change.log(
        ledger.LedgerKind.CONFIGURATION,
        pool.firm,
        service_id=pool.service_id,
        pool_id=pool.pool_id,
        instance_id=instance.instance_id,
        cause="instance removed",
    )
    return {}


def _check_removal(
    change: fleet_rules.Change, instance: pools.Instance
) -> errors.Failure | None:
    """Checks that an instance neither serves nor is worked on."""
    name = instance.instance_id
    pool = change.state.pools[instance.pool_id]
    idle = instance.state in (_STATE.LOST, _STATE.QUARANTINED)
    if not idle and (pool.service_id is not None or instance.moving_to):
        return fleet_rules.conflict(
            f"instance {name} is {instance.state.value} in pool "
            f"{pool.pool_id}; move it to a spare pool first",
            revision=instance.revision,
        )
    if instance.wave_id is not None:
        return fleet_rules.conflict(
            f"instance {name} is out for wave {instance.wave_id}",
            revision=instance.revision,
        )
    if change.state.jobs_by_instance[name]:
        return _runs_jobs(change, instance)
    return None


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


@fleet_rules.apply_command.register
def _record_state(
    command: commands.RecordInstanceState, change: fleet_rules.Change
) -> dict | errors.Failure:
    instance = change.find_instance(command.instance_id)
    if isinstance(instance, errors.Failure):
        return instance
    expected = command.expected_revision
    if expected is not None and expected != instance.revision:
        return fleet_rules.conflict(
            f"instance {instance.instance_id} is at revision "
            f"{instance.revision}, not {expected}",
            revision=instance.revision,
            differences={},
        )
    failure = _check_observed(change, instance, command.state)
    if failure is not None:
        return failure
    _store_state(change, instance, command)
    return {}


def _store_state(
    change: fleet_rules.Change,
    instance: pools.Instance,
    command: commands.RecordInstanceState,
) -> None:
    state = command.state
    updated = dataclasses.replace(instance, state=state)
    if state in (_STATE.LOST, _STATE.IN_MAINTENANCE):
        # The lease ends with the loss or the reboot, and an ended lease is
        # taken again only with a higher fence number.
        updated = dataclasses.replace(updated, fence=instance.fence + 1)
    if state is _STATE.LOST:
        fleet_jobs.requeue_all(change, instance.instance_id, "instance lost")
        updated = fleet_waves.lost(change, updated)
    elif instance.state is _STATE.DRAINING and state in _BACK:
        updated = fleet_waves.left_undone(
            change, updated, "returned without maintenance"
        )
    if state is _STATE.IN_SERVICE:
        updated = fleet_waves.returned(change, updated)
    change.put_instance(updated, _KINDS[state], command.cause, instance.wave_id)
    fleet_waves.finish_if_done(change, instance.wave_id)


def _check_pool(
    change: fleet_rules.Change,
    current: pools.Instance | None,
    given: pools.Instance,
) -> errors.Failure | None:
    if current is not None and not change.may_use(
        change.state.pools[current.pool_id].firm
    ):
        return fleet_rules.forbidden("this instance id is not available")
    pool = change.find(change.state.pools, given.pool_id, "pool")
    if isinstance(pool, errors.Failure):
        return fleet_rules.bad_request(f"pool_id: {pool.reason}")
    if current is not None and current.pool_id != given.pool_id:
        return fleet_rules.bad_request(
            f"pool_id: the instance belongs to {current.pool_id}; "
            "only a move changes its pool"
        )
    return None


def _check_room(
    change: fleet_rules.Change,
    current: pools.Instance | None,
    given: pools.Instance,
) -> errors.Failure | None:
    if current is None:
        return None
    used = change.state.used_by_instance(given.instance_id)
    if fleet_state.fits(used, fleet_state.size_of(given)):
        return None
    return fleet_rules.conflict(
        f"the jobs on instance {given.instance_id} need more than that",
        revision=current.revision,
    )


def _described(
    current: pools.Instance, given: pools.Instance
) -> pools.Instance:
    """Returns the current instance with the description of another."""
    return dataclasses.replace(
        current,
        availability_zone=given.availability_zone,
        rack=given.rack,
        cores=given.cores,
        memory_mb=given.memory_mb,
        accelerators=given.accelerators,
        address=given.address,
    )


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
        return _runs_jobs(change, instance)
    return None


def _check_observed(
    change: fleet_rules.Change,
    instance: pools.Instance,
    state: pools.InstanceState,
) -> errors.Failure | None:
    failure = pools.check_transition(instance, state)
    if failure is not None:
        return failure
    maintained = state is _STATE.IN_MAINTENANCE
    if maintained and change.state.jobs_by_instance[instance.instance_id]:
        return _runs_jobs(change, instance)
    if state in _BACK and instance.moving_to is not None:
        return fleet_rules.conflict(
            f"instance {instance.instance_id} is moving to "
            f"{instance.moving_to}",
            revision=instance.revision,
        )
    return None


def _runs_jobs(
    change: fleet_rules.Change, instance: pools.Instance
) -> errors.Failure:
    count = len(change.state.jobs_by_instance[instance.instance_id])
    return fleet_rules.conflict(
        f"instance {instance.instance_id} still runs {count} jobs",
        revision=instance.revision,
    )
