"""Handlers of the commands on profiles, services, teams and pools."""

import dataclasses
import math

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import command_context
from tarragoncleat.state import commands
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__: list[str] = []

_CONFIGURATION = ledger.LedgerKind.CONFIGURATION


@command_context.apply_command.register
def _put_profile(
    command: commands.PutProfile, context: command_context.CommandContext
) -> dict | errors.Failure:
    profile = command.profile
    current = context.state.profiles.get(profile.profile_id)
    failure = errors.first_failure(
        context.check_owner(profile.firm),
        _check_same_firm(context, current, profile, "profile"),
        context.check_if_match(current, profile),
        profiles.check_profile(profile),
    )
    if failure is not None:
        return failure
    profile = dataclasses.replace(profile, revision=context.revision)
    context.state.profiles[profile.profile_id] = profile
    context.mark_configuration_changed()
    context.add_ledger_entry(
        _CONFIGURATION, profile.firm, cause=f"profile {profile.profile_id}"
    )
    for service_id in sorted(
        context.state.services_by_profile[profile.profile_id]
    ):
        _add_owed_entry(context, context.state.services[service_id], profile)
    return {}


@command_context.apply_command.register
def _delete_profile(
    command: commands.DeleteProfile, context: command_context.CommandContext
) -> dict | errors.Failure:
    state = context.state
    profile = context.find_if_match(
        state.profiles, command.profile_id, "profile"
    )
    if isinstance(profile, errors.Failure):
        return profile
    users = sorted(state.services_by_profile[profile.profile_id])
    if users:
        return command_context.conflict(
            f"profile {profile.profile_id} is used by {', '.join(users)}",
            revision=profile.revision,
        )
    del state.profiles[profile.profile_id]
    context.mark_configuration_changed()
    context.add_ledger_entry(
        _CONFIGURATION,
        profile.firm,
        cause=f"profile {profile.profile_id} deleted",
    )
    return {}


@command_context.apply_command.register
def _put_service(
    command: commands.PutService, context: command_context.CommandContext
) -> dict | errors.Failure:
    state = context.state
    service = command.service
    current = state.services.get(service.service_id)
    failure = errors.first_failure(
        context.check_owner(service.firm),
        _check_same_firm(context, current, service, "service"),
        context.check_if_match(current, service),
        _check_references(context, service),
        _check_pool_change(context, current, service),
    )
    if failure is not None:
        return failure
    service = dataclasses.replace(service, revision=context.revision)
    state.put_service(service)
    if current is None or current.pool_id != service.pool_id:
        if current is not None:
            _add_pool_entry(context, current, -1)
            _set_service_of_pool(context, current.pool_id, None)
        _add_pool_entry(context, service, 1)
    _set_service_of_pool(context, service.pool_id, service.service_id)
    context.mark_configuration_changed()
    _add_owed_entry(context, service, state.profiles[service.profile_id])
    return {}


@command_context.apply_command.register
def _delete_service(
    command: commands.DeleteService, context: command_context.CommandContext
) -> dict | errors.Failure:
    state = context.state
    service = context.find_if_match(
        state.services, command.service_id, "service"
    )
    if isinstance(service, errors.Failure):
        return service
    live = len(state.live_jobs_by_service[service.service_id])
    members = len(state.instances_by_pool[service.pool_id])
    arriving = len(state.instances_moving_to[service.pool_id])
    if live or members or arriving:
        return command_context.conflict(
            f"service {service.service_id} is in use: {live} live jobs, "
            f"{members} instances in its pool, {arriving} moving there",
            revision=service.revision,
        )
    state.remove_service(service.service_id)
    _set_service_of_pool(context, service.pool_id, None)
    context.mark_configuration_changed()
    context.add_ledger_entry(
        _CONFIGURATION,
        service.firm,
        service_id=service.service_id,
        cause=f"service {service.service_id} deleted",
        amount=profiles.Capacity(),
    )
    return {}


@command_context.apply_command.register
def _put_team(
    command: commands.PutTeam, context: command_context.CommandContext
) -> dict | errors.Failure:
    team = command.team
    current = context.state.teams.get(team.team_id)
    failure = errors.first_failure(
        context.check_owner(team.firm),
        _check_same_firm(context, current, team, "team"),
        context.check_if_match(current, team),
        profiles.check_capacity(team.quota, "quota"),
    )
    if failure is not None:
        return failure
    team = dataclasses.replace(team, revision=context.revision)
    context.state.teams[team.team_id] = team
    context.mark_configuration_changed()
    context.add_ledger_entry(
        _CONFIGURATION, team.firm, cause=f"team {team.team_id}"
    )
    return {}


@command_context.apply_command.register
def _put_pool(
    command: commands.PutPool, context: command_context.CommandContext
) -> dict | errors.Failure:
    state = context.state
    pool = command.pool
    current = state.pools.get(pool.pool_id)
    failure = errors.first_failure(
        context.check_owner(pool.firm),
        _check_same_firm(context, current, pool, "pool"),
        context.check_if_match(current, pool),
        _check_service_of_pool(context, current, pool),
    )
    if failure is not None:
        return failure
    state.pools[pool.pool_id] = dataclasses.replace(
        pool, revision=context.revision
    )
    context.mark_configuration_changed()
    context.add_ledger_entry(
        _CONFIGURATION,
        pool.firm,
        pool_id=pool.pool_id,
        cause=f"pool {pool.pool_id}",
    )
    return {}


@command_context.apply_command.register
def _delete_pool(
    command: commands.DeletePool, context: command_context.CommandContext
) -> dict | errors.Failure:
    state = context.state
    pool = context.find_if_match(state.pools, command.pool_id, "pool")
    if isinstance(pool, errors.Failure):
        return pool
    members = len(state.instances_by_pool[pool.pool_id])
    arriving = len(state.instances_moving_to[pool.pool_id])
    if members or arriving or pool.service_id is not None:
        return command_context.conflict(
            f"pool {pool.pool_id} is in use: service {pool.service_id}, "
            f"{members} instances, {arriving} moving there",
            revision=pool.revision,
        )
    del state.pools[pool.pool_id]
    context.mark_configuration_changed()
    context.add_ledger_entry(
        _CONFIGURATION,
        pool.firm,
        pool_id=pool.pool_id,
        cause=f"pool {pool.pool_id} deleted",
    )
    return {}


def _check_same_firm(
    context: command_context.CommandContext,
    current: profiles.Profile
    | profiles.Service
    | profiles.Team
    | pools.Pool
    | None,
    given: profiles.Profile | profiles.Service | profiles.Team | pools.Pool,
    object_type: str,
) -> errors.Failure | None:
    """Checks that a put doesn't replace an object of another firm."""
    if current is None or current.firm == given.firm:
        return None
    if not context.may_access(current.firm):
        return command_context.forbidden(
            f"this {object_type} id is not available"
        )
    return command_context.bad_request(
        f"the firm of {object_type} is {current.firm} and can't change"
    )


def _check_references(
    context: command_context.CommandContext, service: profiles.Service
) -> errors.Failure | None:
    """Checks the profile and the pool that a service refers to."""
    profile = context.state.profiles.get(service.profile_id)
    if profile is None or profile.firm not in (
        service.firm,
        commands.ANY_FIRM,
    ):
        return command_context.bad_request(
            f"profile_id: firm {service.firm} has no profile "
            f"{service.profile_id}"
        )
    pool = context.state.pools.get(service.pool_id)
    if pool is None or pool.firm != service.firm:
        return command_context.bad_request(
            f"pool_id: firm {service.firm} has no pool {service.pool_id}"
        )
    if pool.service_id not in (None, service.service_id):
        return command_context.conflict(
            f"pool {pool.pool_id} serves service {pool.service_id}",
            revision=pool.revision,
        )
    return None


def _check_pool_change(
    context: command_context.CommandContext,
    current: profiles.Service | None,
    service: profiles.Service,
) -> errors.Failure | None:
    if current is None or current.pool_id == service.pool_id:
        return None
    live = len(context.state.live_jobs_by_service[service.service_id])
    if not live:
        return None
    return command_context.conflict(
        f"service {service.service_id} has {live} live jobs; "
        "its pool can't change",
        revision=current.revision,
    )


def _check_service_of_pool(
    context: command_context.CommandContext,
    current: pools.Pool | None,
    pool: pools.Pool,
) -> errors.Failure | None:
    """Checks that a put of a pool doesn't change the service it serves.

    The reference from a pool to its service is set by a put of the service.
    """
    current_service_id = None if current is None else current.service_id
    if pool.service_id == current_service_id:
        return None
    if current_service_id is not None:
        return command_context.conflict(
            f"pool {pool.pool_id} serves service {current_service_id}; "
            "put that service with another pool first",
            revision=0 if current is None else current.revision,
        )
    return command_context.bad_request(
        "service_id: leave it out and put the service with this pool_id"
    )


def _set_service_of_pool(
    context: command_context.CommandContext,
    pool_id: ids.PoolId,
    service_id: ids.ServiceId | None,
) -> None:
    pool = context.state.pools[pool_id]
    if pool.service_id == service_id:
        return
    context.state.pools[pool_id] = dataclasses.replace(
        pool, service_id=service_id, revision=context.revision
    )


def _add_owed_entry(
    context: command_context.CommandContext,
    service: profiles.Service,
    profile: profiles.Profile,
) -> None:
    context.add_ledger_entry(
        _CONFIGURATION,
        service.firm,
        service_id=service.service_id,
        pool_id=service.pool_id,
        cause=f"service {service.service_id} owed by {profile.profile_id}",
        amount=profile.owed,
    )


def _add_pool_entry(
    context: command_context.CommandContext,
    service: profiles.Service,
    sign: int,
) -> None:
    """Records the instances that a service gains or loses with a pool.

    `sign` is 1 for an assigned and -1 for a withdrawn pool.
    """
    serving = [
        item
        for item in context.state.instances_of(service.pool_id)
        if item.state is pools.InstanceState.IN_SERVICE
    ]
    if not serving:
        return
    context.add_ledger_entry(
        ledger.LedgerKind.GRANT if sign > 0 else ledger.LedgerKind.MOVE,
        service.firm,
        service_id=service.service_id,
        pool_id=service.pool_id,
        cause="pool assigned" if sign > 0 else "pool withdrawn",
        amount=profiles.Capacity(
            instances=sign * len(serving),
            # `fsum` is exact, so the order of the instances has no effect.
            cores=sign * math.fsum(item.cores for item in serving),
            memory_mb=sign * sum(item.memory_mb for item in serving),
            accelerators=sign * sum(item.accelerators for item in serving),
        ),
    )
