"""Handlers of the commands on maintenance waves."""

import collections
from collections.abc import Sequence
import dataclasses
from typing import Any

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import budget
from tarragoncleat.state import command_context
from tarragoncleat.state import commands
from tarragoncleat.state import fleet_state
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import waves

__all__ = [
    "detach_lost",
    "detach_skipped",
    "finish_if_done",
    "return_to_service",
    "skip_instance",
]

_STATE = pools.InstanceState
# Excludes DRAINING: a draining instance has not been maintained yet.
_MAINTAINED = (_STATE.IN_MAINTENANCE, _STATE.RETURNING)
_DRAINABLE = (_STATE.IN_SERVICE, _STATE.QUARANTINED)


def skip_instance(
    context: command_context.CommandContext,
    record: fleet_state.WaveRecord,
    instance_id: ids.InstanceId,
    reason: str,
) -> None:
    """Marks an instance as permanently skipped by a wave."""
    record.mark_skipped(waves.Skipped(instance_id, reason))
    _update_header(context, record)


def return_to_service(
    context: command_context.CommandContext, instance: pools.Instance
) -> pools.Instance:
    """Detaches an instance from its wave, if any, as done.

    Returns:
        The instance in service; its maintenance time is now if it was in a
        wave.
    """
    maintained = _detach(context, instance, skip_reason=None)
    return dataclasses.replace(
        instance,
        state=_STATE.IN_SERVICE,
        in_service_since_ms=context.now_ms,
        maintained_at_ms=context.now_ms
        if maintained
        else instance.maintained_at_ms,
        wave_id=None,
    )


def detach_skipped(
    context: command_context.CommandContext,
    instance: pools.Instance,
    reason: str,
) -> pools.Instance:
    """Detaches an instance from its wave, if any, as skipped."""
    _detach(context, instance, reason)
    return dataclasses.replace(instance, wave_id=None)


def detach_lost(
    context: command_context.CommandContext, instance: pools.Instance
) -> pools.Instance:
    """Detaches a lost instance from its wave, if any, as skipped."""
    return detach_skipped(context, instance, "lost while it was out")


def finish_if_done(
    context: command_context.CommandContext, wave_id: ids.WaveId | None
) -> None:
    """Finishes a wave once no instance of it remains or is out."""
    record = None if wave_id is None else context.state.waves.get(wave_id)
    if record is None or record.remaining or record.out:
        return
    if not record.header.state.is_final:
        _update_header(
            context, record, state=waves.WaveState.FINISHED, blocked_by=()
        )


@command_context.apply_command.register
def _propose(
    command: commands.ProposeWave, context: command_context.CommandContext
) -> dict | errors.Failure:
    state = context.state
    current = state.waves.get(command.wave_id)
    if current is not None:
        if not context.may_access(current.header.firm):
            return command_context.forbidden("this wave id is not available")
        return command_context.conflict(
            f"there is a wave {command.wave_id} already",
            revision=current.header.revision,
            differences={},
        )
    failure = context.check_owner(command.firm)
    if failure is not None:
        return failure
    if command.action not in waves.ACTIONS:
        allowed = ", ".join(sorted(waves.ACTIONS))
        return command_context.bad_request(f"action must be one of: {allowed}")
    selected = _resolve_selection(context, command)
    if isinstance(selected, errors.Failure):
        return selected
    wave = waves.Wave(
        wave_id=command.wave_id,
        firm=command.firm,
        selection=command.selection,
        remaining=selected,
        action=command.action,
        proposed_at_ms=context.now_ms,
        revision=context.revision,
    )
    state.put_wave(
        fleet_state.WaveRecord(wave),
        dataclasses.replace(wave, remaining=()),
    )
    _add_step_entry(context, wave, f"proposed by {context.actor}")
    return {"selected": len(selected)}


@command_context.apply_command.register
def _approve(
    command: commands.ApproveWave, context: command_context.CommandContext
) -> dict | errors.Failure:
    return _set_state(
        context,
        command.wave_id,
        waves.WaveState.APPROVED,
        approved_by=context.actor,
    )


@command_context.apply_command.register
def _pause(
    command: commands.PauseWave, context: command_context.CommandContext
) -> dict | errors.Failure:
    return _set_state(context, command.wave_id, waves.WaveState.PAUSED)


@command_context.apply_command.register
def _resume(
    command: commands.ResumeWave, context: command_context.CommandContext
) -> dict | errors.Failure:
    return _set_state(context, command.wave_id, waves.WaveState.RUNNING)


@command_context.apply_command.register
def _cancel(
    command: commands.CancelWave, context: command_context.CommandContext
) -> dict | errors.Failure:
    return _set_state(
        context, command.wave_id, waves.WaveState.CANCELLED, blocked_by=()
    )


@command_context.apply_command.register
def _step(
    command: commands.StepWave, context: command_context.CommandContext
) -> dict | errors.Failure:
    record = _find_wave(context, command.wave_id)
    if isinstance(record, errors.Failure):
        return record
    if command.take and not record.header.state.may_drain:
        return command_context.conflict(
            f"wave {command.wave_id} is {record.header.state.value}",
            revision=record.header.revision,
        )
    finished = _finish_maintained(context, record, command.finish)
    drained, refused = _drain_within_budget(context, record, command.take)
    for item in command.skip:
        if item.instance_id in record.remaining:
            skip_instance(context, record, item.instance_id, item.reason)
    if command.blocked_by is not None:
        _set_blockers(context, record, command.blocked_by)
    finish_if_done(context, command.wave_id)
    return {"taken": drained, "refused": refused, "finished": finished}


def _find_wave(
    context: command_context.CommandContext, wave_id: ids.WaveId
) -> fleet_state.WaveRecord | errors.Failure:
    record = context.state.waves.get(wave_id)
    if record is None or not context.may_access(record.header.firm):
        return command_context.not_found("wave", wave_id)
    return record


def _set_blockers(
    context: command_context.CommandContext,
    record: fleet_state.WaveRecord,
    blockers: tuple[waves.Blocker, ...],
) -> None:
    if blockers != record.header.blocked_by:
        _update_header(context, record, blocked_by=blockers)


def _update_header(
    context: command_context.CommandContext,
    record: fleet_state.WaveRecord,
    **updates: Any,
) -> None:
    header = dataclasses.replace(
        record.header, revision=context.revision, **updates
    )
    context.state.put_wave(record, header)


def _set_state(
    context: command_context.CommandContext,
    wave_id: ids.WaveId,
    state: waves.WaveState,
    **updates: Any,
) -> dict | errors.Failure:
    record = _find_wave(context, wave_id)
    if isinstance(record, errors.Failure):
        return record
    failure = errors.first_failure(
        context.check_revision(record.header.revision),
        waves.check_transition(record.header, state),
    )
    if failure is not None:
        return failure
    _update_header(context, record, state=state, **updates)
    _add_step_entry(context, record.header, f"{state.value} by {context.actor}")
    return {"state": state.value}


def _add_step_entry(
    context: command_context.CommandContext, wave: waves.Wave, cause: str
) -> None:
    context.add_ledger_entry(
        ledger.LedgerKind.WAVE_STEP,
        wave.firm,
        wave_id=wave.wave_id,
        cause=cause,
    )


def _resolve_selection(
    context: command_context.CommandContext, command: commands.ProposeWave
) -> tuple[ids.InstanceId, ...] | errors.Failure:
    """Returns the instances that match a selection, sorted by id."""
    state = context.state
    selection = command.selection
    selected: set[ids.InstanceId] = set()
    for pool_id in selection.pools:
        if not _is_pool_of_firm(context, command.firm, pool_id):
            return command_context.not_found("pool", pool_id)
        selected.update(state.instances_by_pool[pool_id])
    for instance_id in selection.instances:
        instance = state.instances.get(instance_id)
        if instance is None or not _is_pool_of_firm(
            context, command.firm, instance.pool_id
        ):
            return command_context.not_found("instance", instance_id)
        selected.add(instance_id)
    in_domains: set[ids.InstanceId] = set()
    for zone in selection.availability_zones:
        in_domains.update(state.instances_by_zone[zone])
    for rack in selection.racks:
        in_domains.update(state.instances_by_rack[rack])
    selected.update(
        instance_id
        for instance_id in in_domains
        if _is_pool_of_firm(
            context, command.firm, state.instances[instance_id].pool_id
        )
    )
    if not selected:
        return command_context.bad_request("the selection names no instance")
    return tuple(sorted(selected))


def _is_pool_of_firm(
    context: command_context.CommandContext,
    firm: ids.FirmId,
    pool_id: ids.PoolId,
) -> bool:
    pool = context.state.pools.get(pool_id)
    return pool is not None and firm in (commands.ANY_FIRM, pool.firm)


def _finish_maintained(
    context: command_context.CommandContext,
    record: fleet_state.WaveRecord,
    instance_ids: Sequence[ids.InstanceId],
) -> list[ids.InstanceId]:
    finished = []
    for instance_id in instance_ids:
        instance = context.state.instances.get(instance_id)
        if instance is None or instance_id not in record.out:
            continue
        if instance.state not in _MAINTAINED:
            continue
        context.put_instance(
            return_to_service(context, instance),
            ledger.LedgerKind.RETURN,
            "maintained",
            record.header.wave_id,
        )
        finished.append(instance_id)
    return finished


def _drain_within_budget(
    context: command_context.CommandContext,
    record: fleet_state.WaveRecord,
    instance_ids: Sequence[ids.InstanceId],
) -> tuple[list[ids.InstanceId], list[dict]]:
    """Starts to drain the instances that the budget still allows.

    The budget is checked against the current state, so instances that failed
    after the step was planned count against it.
    """
    drained: list[ids.InstanceId] = []
    refused: list[dict] = []
    by_pool: dict[ids.PoolId, list[ids.InstanceId]] = collections.defaultdict(
        list
    )
    for instance_id in dict.fromkeys(instance_ids):
        reason = _why_not_drainable(context, record, instance_id)
        if reason is None:
            by_pool[context.state.instances[instance_id].pool_id].append(
                instance_id
            )
        else:
            refused.append({"instance_id": instance_id, "reason": reason})
    for pool_id, requested in by_pool.items():
        allowed, over_budget = _split_by_budget(context, pool_id, requested)
        for instance_id in allowed:
            _start_drain(context, record, instance_id)
        drained.extend(allowed)
        refused.extend(
            {"instance_id": instance_id, "reason": reason}
            for instance_id, reason in over_budget
        )
        if over_budget:
            _add_denial_entry(context, record, pool_id, over_budget)
    return drained, refused


def _why_not_drainable(
    context: command_context.CommandContext,
    record: fleet_state.WaveRecord,
    instance_id: ids.InstanceId,
) -> str | None:
    if instance_id not in record.remaining:
        return "not among the remaining instances of the wave"
    instance = context.state.instances[instance_id]
    if instance.state not in _DRAINABLE:
        return f"the instance is {instance.state.value}"
    return None


def _split_by_budget(
    context: command_context.CommandContext,
    pool_id: ids.PoolId,
    requested: list[ids.InstanceId],
) -> tuple[list[ids.InstanceId], list[tuple[ids.InstanceId, str]]]:
    """Splits instances of a pool into those the budget allows and the rest.

    The rest are returned with the reason for each.
    """
    profile = context.state.profile_of_pool(pool_id)
    if profile is None:
        return requested, []
    members = context.state.instances_of(pool_id)
    if budget.check_drain(profile, members, requested, context.now_ms) is None:
        return requested, []
    # No step can drain more than `max_out`, which bounds the number of checks.
    max_out = budget.max_out(profile)
    max_out_reached = (
        f"profile {profile.profile_id} allows {max_out} instances out at once"
    )
    allowed: list[ids.InstanceId] = []
    over_budget: list[tuple[ids.InstanceId, str]] = []
    for instance_id in requested:
        if len(allowed) == max_out:
            over_budget.append((instance_id, max_out_reached))
            continue
        failure = budget.check_drain(
            profile, members, [*allowed, instance_id], context.now_ms
        )
        if failure is None:
            allowed.append(instance_id)
        else:
            over_budget.append((instance_id, failure.reason))
    return allowed, over_budget


def _start_drain(
    context: command_context.CommandContext,
    record: fleet_state.WaveRecord,
    instance_id: ids.InstanceId,
) -> None:
    record.mark_out(instance_id)
    if record.header.state is waves.WaveState.APPROVED:
        _update_header(context, record, state=waves.WaveState.RUNNING)
    else:
        _update_header(context, record)
    context.put_instance(
        dataclasses.replace(
            context.state.instances[instance_id],
            state=_STATE.DRAINING,
            wave_id=record.header.wave_id,
        ),
        ledger.LedgerKind.WAVE_STEP,
        "drained for maintenance",
    )


def _add_denial_entry(
    context: command_context.CommandContext,
    record: fleet_state.WaveRecord,
    pool_id: ids.PoolId,
    over_budget: list[tuple[ids.InstanceId, str]],
) -> None:
    pool = context.state.pools[pool_id]
    context.add_ledger_entry(
        ledger.LedgerKind.DENIAL,
        pool.firm,
        service_id=pool.service_id,
        pool_id=pool_id,
        wave_id=record.header.wave_id,
        cause=f"{len(over_budget)} instances not taken: {over_budget[0][1]}",
    )


def _detach(
    context: command_context.CommandContext,
    instance: pools.Instance,
    skip_reason: str | None,
) -> bool:
    """Marks an instance done in its wave, or skipped if a reason is given.

    Returns:
        Whether the instance was in a wave and is now marked done.
    """
    if instance.wave_id is None:
        return False
    record = context.state.waves[instance.wave_id]
    if skip_reason is None:
        record.mark_done(instance.instance_id)
    else:
        record.mark_skipped(waves.Skipped(instance.instance_id, skip_reason))
    _update_header(context, record)
    return skip_reason is None
