"""Rules of instances: registration, removal and observed states."""

import dataclasses

from tarragoncleat.kernel import errors
from tarragoncleat.state import commands
from tarragoncleat.state import fleet_jobs
from tarragoncleat.state import fleet_rules
from tarragoncleat.state import fleet_state
from tarragoncleat.state import fleet_waves
from tarragoncleat.state import ledger
from tarragoncleat.state import pools

__all__: list[str] = []

_STATE = pools.InstanceState
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
        return fleet_jobs.runs_jobs(change, instance)
    return None


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
        # taken again only with a higher fence.
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
        return fleet_jobs.runs_jobs(change, instance)
    if state in _BACK and instance.moving_to is not None:
        return fleet_rules.conflict(
            f"instance {instance.instance_id} is moving to "
            f"{instance.moving_to}",
            revision=instance.revision,
        )
    return None
