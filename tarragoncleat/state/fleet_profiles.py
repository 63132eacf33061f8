"""Rules of profiles, services, teams and pools."""

import dataclasses
import math

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import commands
from tarragoncleat.state import fleet_rules
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__: list[str] = []

_CONFIGURATION = ledger.LedgerKind.CONFIGURATION


@fleet_rules.apply_command.register
def _put_profile(
    command: commands.PutProfile, change: fleet_rules.Change
) -> dict | errors.Failure:
    profile = command.profile
    current = change.state.profiles.get(profile.profile_id)
    failure = errors.first_failure(
        change.check_owner(profile.firm),
        _check_same_firm(change, current, profile, "profile"),
        change.check_match(current, profile),
        profiles.check_profile(profile),
    )
    if failure is not None:
        return failure
    profile = dataclasses.replace(profile, revision=change.revision)
    change.state.profiles[profile.profile_id] = profile
    change.configured()
    change.log(
        _CONFIGURATION, profile.firm, cause=f"profile {profile.profile_id}"
    )
    for name in sorted(change.state.services_by_profile[profile.profile_id]):
        _log_owed(change, change.state.services[name], profile)
    return {}


@fleet_rules.apply_command.register
def _delete_profile(
    command: commands.DeleteProfile, change: fleet_rules.Change
) -> dict | errors.Failure:
    state = change.state
    profile = change.find_current(state.profiles, command.profile_id, "profile")
    if isinstance(profile, errors.Failure):
        return profile
    users = sorted(state.services_by_profile[profile.profile_id])
    if users:
        return fleet_rules.conflict(
            f"profile {profile.profile_id} is used by {', '.join(users)}",
            revision=profile.revision,
        )
    del state.profiles[profile.profile_id]
    change.configured()
    change.log(
        _CONFIGURATION,
        profile.firm,
        cause=f"profile {profile.profile_id} deleted",
    )
    return {}


@fleet_rules.apply_command.register
def _put_service(
    command: commands.PutService, change: fleet_rules.Change
) -> dict | errors.Failure:
    state = change.state
    service = command.service
    current = state.services.get(service.service_id)
    failure = errors.first_failure(
        change.check_owner(service.firm),
        _check_same_firm(change, current, service, "service"),
        change.check_match(current, service),
        _check_references(change, service),
        _check_pool_change(change, current, service),
    )
    if failure is not None:
        return failure
    service = dataclasses.replace(service, revision=change.revision)
    state.put_service(service)
    if current is None or current.pool_id != service.pool_id:
        if current is not None:
            _log_pool(change, current, -1)
            _set_service_of_pool(change, current.pool_id, None)
        _log_pool(change, service, 1)
    _set_service_of_pool(change, service.pool_id, service.service_id)
    change.configured()
    _log_owed(change, service, state.profiles[service.profile_id])
    return {}


@fleet_rules.apply_command.register
def _delete_service(
    command: commands.DeleteService, change: fleet_rules.Change
) -> dict | errors.Failure:
    state = change.state
    service = change.find_current(state.services, command.service_id, "service")
    if isinstance(service, errors.Failure):
        return service
    live = len(state.live_jobs_by_service[service.service_id])
    members = len(state.instances_by_pool[service.pool_id])
    arriving = len(state.moving_to[service.pool_id])
    if live or members or arriving:
        return fleet_rules.conflict(
            f"service {service.service_id} is in use: {live} live jobs, "
            f"{members} instances in its pool, {arriving} moving there",
            revision=service.revision,
        )
    state.drop_service(service.service_id)
    _set_service_of_pool(change, service.pool_id, None)
    change.configured()
    change.log(
        _CONFIGURATION,
        service.firm,
        service_id=service.service_id,
        cause=f"service {service.service_id} deleted",
        amount=profiles.Capacity(),
    )
    return {}


@fleet_rules.apply_command.register
def _put_team(
    command: commands.PutTeam, change: fleet_rules.Change
) -> dict | errors.Failure:
    team = command.team
    current = change.state.teams.get(team.team_id)
    failure = errors.first_failure(
        change.check_owner(team.firm),
        _check_same_firm(change, current, team, "team"),
        change.check_match(current, team),
        profiles.check_capacity(team.quota, "quota"),
    )
    if failure is not None:
        return failure
    team = dataclasses.replace(team, revision=change.revision)
    change.state.teams[team.team_id] = team
    change.configured()
    change.log(_CONFIGURATION, team.firm, cause=f"team {team.team_id}")
    return {}


@fleet_rules.apply_command.register
def _put_pool(
    command: commands.PutPool, change: fleet_rules.Change
) -> dict | errors.Failure:
    state = change.state
    pool = command.pool
    current = state.pools.get(pool.pool_id)
    failure = errors.first_failure(
        change.check_owner(pool.firm),
        _check_same_firm(change, current, pool, "pool"),
        change.check_match(current, pool),
        _check_service_of_pool(change, current, pool),
    )
    if failure is not None:
        return failure
    state.pools[pool.pool_id] = dataclasses.replace(
        pool, revision=change.revision
    )
    change.configured()
    change.log(
        _CONFIGURATION,
        pool.firm,
        pool_id=pool.pool_id,
        cause=f"pool {pool.pool_id}",
    )
    return {}


@fleet_rules.apply_command.register
def _delete_pool(
    command: commands.DeletePool, change: fleet_rules.Change
) -> dict | errors.Failure:
    state = change.state
    pool = change.find_current(state.pools, command.pool_id, "pool")
    if isinstance(pool, errors.Failure):
        return pool
    members = len(state.instances_by_pool[pool.pool_id])
    arriving = len(state.moving_to[pool.pool_id])
    if members or arriving or pool.service_id is not None:
        return fleet_rules.conflict(
            f"pool {pool.pool_id} is in use: service {pool.service_id}, "
            f"{members} instances, {arriving} moving there",
            revision=pool.revision,
        )
    del state.pools[pool.pool_id]
    change.configured()
    change.log(
        _CONFIGURATION,
        pool.firm,
        pool_id=pool.pool_id,
        cause=f"pool {pool.pool_id} deleted",
    )
    return {}


def _check_same_firm(
    change: fleet_rules.Change,
    current: profiles.Profile
    | profiles.Service
    | profiles.Team
    | pools.Pool
    | None,
    given: profiles.Profile | profiles.Service | profiles.Team | pools.Pool,
    what: str,
) -> errors.Failure | None:
    """Checks that a put doesn't take over another firm's object."""
    if current is None or current.firm == given.firm:
        return None
    if not change.may_use(current.firm):
        return fleet_rules.forbidden(f"this {what} id is not available")
    return fleet_rules.bad_request(
        f"the firm of {what} is {current.firm} and can't change"
    )


def _check_references(
    change: fleet_rules.Change, service: profiles.Service
) -> errors.Failure | None:
    """Checks the profile and the pool that a service names."""
    profile = change.state.profiles.get(service.profile_id)
    if profile is None or profile.firm not in (
        service.firm,
        commands.ANY_FIRM,
    ):
        return fleet_rules.bad_request(
            f"profile_id: firm {service.firm} has no profile "
            f"{service.profile_id}"
        )
    pool = change.state.pools.get(service.pool_id)
    if pool is None or pool.firm != service.firm:
        return fleet_rules.bad_request(
            f"pool_id: firm {service.firm} has no pool {service.pool_id}"
        )
    if pool.service_id not in (None, service.service_id):
        return fleet_rules.conflict(
            f"pool {pool.pool_id} serves service {pool.service_id}",
            revision=pool.revision,
        )
    return None


def _check_pool_change(
    change: fleet_rules.Change,
    current: profiles.Service | None,
    service: profiles.Service,
) -> errors.Failure | None:
    if current is None or current.pool_id == service.pool_id:
        return None
    live = len(change.state.live_jobs_by_service[service.service_id])
    if not live:
        return None
    return fleet_rules.conflict(
        f"service {service.service_id} has {live} live jobs; "
        "its pool can't change",
        revision=current.revision,
    )


def _check_service_of_pool(
    change: fleet_rules.Change, current: pools.Pool | None, pool: pools.Pool
) -> errors.Failure | None:
    """Checks that a pool and its service name each other."""
    in_force = None if current is None else current.service_id
    if pool.service_id == in_force:
        return None
    if in_force is not None:
        return fleet_rules.conflict(
            f"pool {pool.pool_id} serves service {in_force}; "
            "put that service with another pool first",
            revision=0 if current is None else current.revision,
        )
    return fleet_rules.bad_request(
        "service_id: leave it out and put the service with this pool_id"
    )


def _set_service_of_pool(
    change: fleet_rules.Change,
    pool_id: ids.PoolId,
    service_id: ids.ServiceId | None,
) -> None:
    pool = change.state.pools[pool_id]
    if pool.service_id == service_id:
        return
    change.state.pools[pool_id] = dataclasses.replace(
        pool, service_id=service_id, revision=change.revision
    )


def _log_owed(
    change: fleet_rules.Change,
    service: profiles.Service,
    profile: profiles.Profile,
) -> None:
    change.log(
        _CONFIGURATION,
        service.firm,
        service_id=service.service_id,
        pool_id=service.pool_id,
        cause=f"service {service.service_id} owed by {profile.profile_id}",
        amount=profile.owed,
    )


def _log_pool(
    change: fleet_rules.Change, service: profiles.Service, sign: int
) -> None:
    """Records the instances that a service gains or loses with a pool."""
    serving = [
        item
        for item in change.state.instances_of(service.pool_id)
        if item.state is pools.InstanceState.IN_SERVICE
    ]
    if not serving:
        return
    change.log(
        ledger.LedgerKind.GRANT if sign > 0 else ledger.LedgerKind.MOVE,
        service.firm,
        service_id=service.service_id,
        pool_id=service.pool_id,
        cause="pool assigned" if sign > 0 else "pool withdrawn",
        amount=profiles.Capacity(
            instances=sign * len(serving),
            # Exact, so that the order of the instances has no effect.
            cores=sign * math.fsum(item.cores for item in serving),
            memory_mb=sign * sum(item.memory_mb for item in serving),
            accelerators=sign * sum(item.accelerators for item in serving),
        ),
    )
