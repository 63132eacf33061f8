"""Rules of maintenance waves."""

import collections
from collections.abc import Sequence
import dataclasses
from typing import Any

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import budget
from tarragoncleat.state import commands
from tarragoncleat.state import fleet_rules
from tarragoncleat.state import fleet_state
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import waves

__all__ = ["finish_if_done", "left_undone", "lost", "returned", "skip"]

_STATE = pools.InstanceState
# A draining instance has not been maintained yet.
_MAINTAINED = (_STATE.IN_MAINTENANCE, _STATE.RETURNING)
_TAKEABLE = (_STATE.IN_SERVICE, _STATE.QUARANTINED)


def skip(
    change: fleet_rules.Change,
    record: fleet_state.WaveRecord,
    instance_id: ids.InstanceId,
    reason: str,
) -> None:
    """Passes an instance over for good."""
    record.skip(waves.Skipped(instance_id, reason))
    _store(change, record)


def returned(
    change: fleet_rules.Change, instance: pools.Instance
) -> pools.Instance:
    """Returns an instance as it is when it comes back into service."""
    maintained = _leave(change, instance, None)
    return dataclasses.replace(
        instance,
        state=_STATE.IN_SERVICE,
        in_service_since_ms=change.now_ms,
        maintained_at_ms=change.now_ms
        if maintained
        else instance.maintained_at_ms,
        wave_id=None,
    )


def left_undone(
    change: fleet_rules.Change, instance: pools.Instance, reason: str
) -> pools.Instance:
    """Returns an instance as it is when its wave passes over it."""
    _leave(change, instance, reason)
    return dataclasses.replace(instance, wave_id=None)


def lost(
    change: fleet_rules.Change, instance: pools.Instance
) -> pools.Instance:
    """Returns an instance as it is when it was lost."""
    return left_undone(change, instance, "lost while it was out")


def finish_if_done(
    change: fleet_rules.Change, wave_id: ids.WaveId | None
) -> None:
    """Finishes a wave when no instance remains or is out."""
    record = None if wave_id is None else change.state.waves.get(wave_id)
    if record is None or record.remaining or record.out:
        return
    if not record.head.state.is_final:
        _store(change, record, state=waves.WaveState.FINISHED, blocked_by=())


@fleet_rules.apply_command.register
def _propose(
    command: commands.ProposeWave, change: fleet_rules.Change
) -> dict | errors.Failure:
    state = change.state
    current = state.waves.get(command.wave_id)
    if current is not None:
        if not change.may_use(current.head.firm):
            return fleet_rules.forbidden("this wave id is not available")
        return fleet_rules.conflict(
            f"there is a wave {command.wave_id} already",
            revision=current.head.revision,
            differences={},
        )
    failure = change.check_owner(command.firm)
    if failure is not None:
        return failure
    if command.action not in waves.ACTIONS:
        allowed = ", ".join(sorted(waves.ACTIONS))
        return fleet_rules.bad_request(f"action must be one of: {allowed}")
    selected = _resolve(change, command)
    if isinstance(selected, errors.Failure):
        return selected
    wave = waves.Wave(
        wave_id=command.wave_id,
        firm=command.firm,
        selection=command.selection,
        remaining=selected,
        action=command.action,
        proposed_at_ms=change.now_ms,
        revision=change.revision,
    )
    state.put_wave(
        fleet_state.WaveRecord(wave),
        dataclasses.replace(wave, remaining=()),
    )
    _log(change, wave, f"proposed by {change.actor}")
    return {"selected": len(selected)}


@fleet_rules.apply_command.register
def _approve(
    command: commands.ApproveWave, change: fleet_rules.Change
) -> dict | errors.Failure:
    return _set_state(
        change,
        command.wave_id,
        waves.WaveState.APPROVED,
        approved_by=change.actor,
    )


@fleet_rules.apply_command.register
def _pause(
    command: commands.PauseWave, change: fleet_rules.Change
) -> dict | errors.Failure:
    return _set_state(change, command.wave_id, waves.WaveState.PAUSED)


@fleet_rules.apply_command.register
def _resume(
    command: commands.ResumeWave, change: fleet_rules.Change
) -> dict | errors.Failure:
    return _set_state(change, command.wave_id, waves.WaveState.RUNNING)


@fleet_rules.apply_command.register
def _cancel(
    command: commands.CancelWave, change: fleet_rules.Change
) -> dict | errors.Failure:
    return _set_state(
        change, command.wave_id, waves.WaveState.CANCELLED, blocked_by=()
    )


@fleet_rules.apply_command.register
def _step(
    command: commands.StepWave, change: fleet_rules.Change
) -> dict | errors.Failure:
    record = _find(change, command.wave_id)
    if isinstance(record, errors.Failure):
        return record
    if command.take and not record.head.state.may_take:
        return fleet_rules.conflict(
            f"wave {command.wave_id} is {record.head.state.value}",
            revision=record.head.revision,
        )
    finished = _finish(change, record, command.finish)
    taken, refused = _take(change, record, command.take)
    for item in command.skip:
        if item.instance_id in record.remaining:
            skip(change, record, item.instance_id, item.reason)
    if command.blocked_by is not None:
        _set_blockers(change, record, command.blocked_by)
    finish_if_done(change, command.wave_id)
    return {"taken": taken, "refused": refused, "finished": finished}


def _find(
    change: fleet_rules.Change, wave_id: ids.WaveId
) -> fleet_state.WaveRecord | errors.Failure:
    record = change.state.waves.get(wave_id)
    if record is None or not change.may_use(record.head.firm):
        return fleet_rules.not_found("wave", wave_id)
    return record


def _set_blockers(
    change: fleet_rules.Change,
    record: fleet_state.WaveRecord,
    blockers: tuple[waves.Blocker, ...],
) -> None:
    if blockers != record.head.blocked_by:
        _store(change, record, blocked_by=blockers)


def _store(
    change: fleet_rules.Change,
    record: fleet_state.WaveRecord,
    **updates: Any,
) -> None:
    head = dataclasses.replace(record.head, revision=change.revision, **updates)
    change.state.put_wave(record, head)


def _set_state(
    change: fleet_rules.Change,
    wave_id: ids.WaveId,
    state: waves.WaveState,
    **updates: Any,
) -> dict | errors.Failure:
    record = _find(change, wave_id)
    if isinstance(record, errors.Failure):
        return record
    failure = errors.first_failure(
        change.check_revision(record.head.revision),
        waves.check_transition(record.head, state),
    )
    if failure is not None:
        return failure
    _store(change, record, state=state, **updates)
    _log(change, record.head, f"{state.value} by {change.actor}")
    return {"state": state.value}


def _log(change: fleet_rules.Change, wave: waves.Wave, cause: str) -> None:
    change.log(
        ledger.LedgerKind.WAVE_STEP,
        wave.firm,
        wave_id=wave.wave_id,
        cause=cause,
    )


def _resolve(
    change: fleet_rules.Change, command: commands.ProposeWave
) -> tuple[ids.InstanceId, ...] | errors.Failure:
    """Returns the instances that a selection names, in order of their ids."""
    state = change.state
    selection = command.selection
    found: set[ids.InstanceId] = set()
    for pool_id in selection.pools:
        if not _owns_pool(change, command.firm, pool_id):
            return fleet_rules.not_found("pool", pool_id)
        found.update(state.instances_by_pool[pool_id])
    for instance_id in selection.instances:
        instance = state.instances.get(instance_id)
        if instance is None or not _owns_pool(
            change, command.firm, instance.pool_id
        ):
            return fleet_rules.not_found("instance", instance_id)
        found.add(instance_id)
    named: set[ids.InstanceId] = set()
    for zone in selection.availability_zones:
        named.update(state.instances_by_zone[zone])
    for rack in selection.racks:
        named.update(state.instances_by_rack[rack])
    found.update(
        name
        for name in named
        if _owns_pool(change, command.firm, state.instances[name].pool_id)
    )
    if not found:
        return fleet_rules.bad_request("the selection names no instance")
    return tuple(sorted(found))


def _owns_pool(
    change: fleet_rules.Change, firm: ids.FirmId, pool_id: ids.PoolId
) -> bool:
    pool = change.state.pools.get(pool_id)
    return pool is not None and firm in (commands.ANY_FIRM, pool.firm)


def _finish(
    change: fleet_rules.Change,
    record: fleet_state.WaveRecord,
    names: Sequence[ids.InstanceId],
) -> list[ids.InstanceId]:
    finished = []
    for name in names:
        instance = change.state.instances.get(name)
        if instance is None or name not in record.out:
            continue
        if instance.state not in _MAINTAINED:
            continue
        change.put_instance(
            returned(change, instance),
            ledger.LedgerKind.RETURN,
            "maintained",
            record.head.wave_id,
        )
        finished.append(name)
    return finished


def _take(
    change: fleet_rules.Change,
    record: fleet_state.WaveRecord,
    names: Sequence[ids.InstanceId],
) -> tuple[list[ids.InstanceId], list[dict]]:
    """Takes what still fits; failures since the plan was made count."""
    taken: list[ids.InstanceId] = []
    refused: list[dict] = []
    by_pool: dict[ids.PoolId, list[ids.InstanceId]] = collections.defaultdict(
        list
    )
    for name in dict.fromkeys(names):
        reason = _untakeable(change, record, name)
        if reason is None:
            by_pool[change.state.instances[name].pool_id].append(name)
        else:
            refused.append({"instance_id": name, "reason": reason})
    for pool_id, wanted in by_pool.items():
        fitting, left = _fit(change, pool_id, wanted)
        for name in fitting:
            _drain(change, record, name)
        taken.extend(fitting)
        refused.extend(
            {"instance_id": name, "reason": reason} for name, reason in left
        )
        if left:
            _log_refusal(change, record, pool_id, left)
    return taken, refused


def _untakeable(
    change: fleet_rules.Change,
    record: fleet_state.WaveRecord,
    name: ids.InstanceId,
) -> str | None:
    if name not in record.remaining:
        return "not among the remaining instances of the wave"
    instance = change.state.instances[name]
    if instance.state not in _TAKEABLE:
        return f"the instance is {instance.state.value}"
    return None


def _fit(
    change: fleet_rules.Change,
    pool_id: ids.PoolId,
    wanted: list[ids.InstanceId],
) -> tuple[list[ids.InstanceId], list[tuple[ids.InstanceId, str]]]:
    """Splits the wanted instances of a pool by the budget."""
    profile = change.state.profile_of_pool(pool_id)
    if profile is None:
        return wanted, []
    members = change.state.instances_of(pool_id)
    if budget.allows(profile, members, wanted, change.now_ms) is None:
        return wanted, []
    # No step can take more, so a long list costs no more checks than this.
    most = budget.max_out(profile)
    full = f"profile {profile.profile_id} allows {most} instances out at once"
    fitting: list[ids.InstanceId] = []
    left: list[tuple[ids.InstanceId, str]] = []
    for name in wanted:
        if len(fitting) == most:
            left.append((name, full))
            continue
        failure = budget.allows(
            profile, members, [*fitting, name], change.now_ms
        )
        if failure is None:
            fitting.append(name)
        else:
            left.append((name, failure.reason))
    return fitting, left


def _drain(
    change: fleet_rules.Change,
    record: fleet_state.WaveRecord,
    name: ids.InstanceId,
) -> None:
    record.take(name)
    if record.head.state is waves.WaveState.APPROVED:
        _store(change, record, state=waves.WaveState.RUNNING)
    else:
        _store(change, record)
    change.put_instance(
        dataclasses.replace(
            change.state.instances[name],
            state=_STATE.DRAINING,
            wave_id=record.head.wave_id,
        ),
        ledger.LedgerKind.WAVE_STEP,
        "drained for maintenance",
    )


def _log_refusal(
    change: fleet_rules.Change,
    record: fleet_state.WaveRecord,
    pool_id: ids.PoolId,
    left: list[tuple[ids.InstanceId, str]],
) -> None:
    pool = change.state.pools[pool_id]
    change.log(
        ledger.LedgerKind.DENIAL,
        pool.firm,
        service_id=pool.service_id,
        pool_id=pool_id,
        wave_id=record.head.wave_id,
        cause=f"{len(left)} instances not taken: {left[0][1]}",
    )


def _leave(
    change: fleet_rules.Change,
    instance: pools.Instance,
    reason: str | None,
) -> bool:
    """Takes an instance out of its wave: done without a reason, or skipped."""
    if instance.wave_id is None:
        return False
    record = change.state.waves[instance.wave_id]
    if reason is None:
        record.finish(instance.instance_id)
    else:
        record.skip(waves.Skipped(instance.instance_id, reason))
    _store(change, record)
    return reason is None
