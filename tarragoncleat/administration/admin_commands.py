"""Commands from the requests of the administration API."""

from collections.abc import Callable, Mapping
from typing import Annotated, Any

import pydantic

from tarragoncleat.administration import admin_http
from tarragoncleat.administration import auth
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import commands
from tarragoncleat.state import fleet
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = ["build_command", "check_id", "check_service_scope"]

_ID_PATTERN = "^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$"
_ID = pydantic.TypeAdapter(Annotated[str, pydantic.Field(pattern=_ID_PATTERN)])
_Built = commands.Command | errors.Failure

# Fields that the fleet sets itself can't be sent.
_PROFILE_FIELDS = frozenset(
    {"firm", "owed", "placement", "tolerance", "standing", "settle_s"}
)
_SERVICE_FIELDS = frozenset({"firm", "profile_id", "pool_id"})
_TEAM_FIELDS = frozenset({"firm", "quota"})
_POOL_FIELDS = frozenset({"firm", "service_id"})
_INSTANCE_FIELDS = frozenset(
    {
        "pool_id",
        "availability_zone",
        "rack",
        "cores",
        "memory_mb",
        "accelerators",
        "address",
    }
)
_WAVE_FIELDS = frozenset({"firm", "selection", "action"})
_JOB_FIELDS = frozenset(
    {
        "job_id",
        "service_id",
        "team_id",
        "demand",
        "declared_run_s",
        "name",
        "command",
        "priority",
        "urgent",
    }
)


def build_command(
    request: admin_http.Request, scope: auth.Scope
) -> commands.Command | None | errors.Failure:
    """Returns the command of a request; None for an unknown route."""
    route = (request.method, *_shape(request.parts))
    builder = _ROUTES.get(route)
    if builder is None:
        return None
    names = [part for part in request.parts[1:2] if part]
    for name in names:
        failure = check_id(name, "id")
        if failure is not None:
            return failure
    return builder(request, scope)


def check_id(value: object, what: str) -> errors.Failure | None:
    """Checks the form of an id."""
    try:
        _ID.validate_python(value)
    except pydantic.ValidationError as error:
        return _bad(f"{what} {value!r}: {error.errors()[0]['msg']}")
    return None


def check_service_scope(
    command: commands.Command, scope: auth.Scope, state: fleet.Fleet
) -> errors.Failure | None:
    """Checks that a token limited to services touches only their jobs."""
    if scope.services is None:
        return None
    if isinstance(command, commands.SubmitJobs):
        for job in command.jobs:
            if not scope.covers_service(job.service_id):
                return _absent("service", job.service_id)
        return None
    if isinstance(command, commands.CancelJobs):
        for name in command.job_ids:
            known = state.jobs.get(name)
            if known is None or not scope.covers_service(known.service_id):
                return _absent("job", name)
        return None
    return errors.Failure(
        errors.ErrorKind.FORBIDDEN,
        "a token that is limited to services can only give job commands",
    )


def _shape(parts: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the path with a marker in the place of the id."""
    if len(parts) < 2 or parts[:2] == ("jobs", "cancel"):
        return parts
    return (parts[0], "{id}", *parts[2:])


def _put_profile(request: admin_http.Request, scope: auth.Scope) -> _Built:
    item = _parse(profiles.Profile, "profile_id", _PROFILE_FIELDS)(
        request, scope
    )
    return item if _failed(item) else commands.PutProfile(item)


def _put_service(request: admin_http.Request, scope: auth.Scope) -> _Built:
    item = _parse(profiles.Service, "service_id", _SERVICE_FIELDS)(
        request, scope
    )
    return item if _failed(item) else commands.PutService(item)


def _put_team(request: admin_http.Request, scope: auth.Scope) -> _Built:
    item = _parse(profiles.Team, "team_id", _TEAM_FIELDS)(request, scope)
    return item if _failed(item) else commands.PutTeam(item)


def _put_pool(request: admin_http.Request, scope: auth.Scope) -> _Built:
    item = _parse(pools.Pool, "pool_id", _POOL_FIELDS)(request, scope)
    return item if _failed(item) else commands.PutPool(item)


def _put_instance(request: admin_http.Request, scope: auth.Scope) -> _Built:
    item = _parse(pools.Instance, "instance_id", _INSTANCE_FIELDS, firm=False)(
        request, scope
    )
    return item if _failed(item) else commands.PutInstance(item)


def _put_wave(request: admin_http.Request, scope: auth.Scope) -> _Built:
    item = _parse(waves.Wave, "wave_id", _WAVE_FIELDS)(request, scope)
    if _failed(item):
        return item
    return commands.ProposeWave(
        item.wave_id, item.firm, item.selection, item.action
    )


def _move(request: admin_http.Request, scope: auth.Scope) -> _Built:
    pool_id = request.body.get("pool_id")
    failure = errors.first_failure(
        _check_fields(request.body, frozenset({"pool_id"})),
        check_id(pool_id, "pool_id"),
    )
    if failure is not None:
        return failure
    return commands.MoveInstance(
        ids.InstanceId(_id(request)), ids.PoolId(str(pool_id))
    )


def _submit(request: admin_http.Request, scope: auth.Scope) -> _Built:
    failure = _check_fields(request.body, frozenset({"jobs"}))
    if failure is not None:
        return failure
    given = request.body.get("jobs")
    if not isinstance(given, list):
        return _bad("jobs must be a list")
    found = []
    for position, item in enumerate(given):
        # A resend must name the same jobs, so the default ids follow from
        # the Command-Id.
        default_id = f"{request.command_id}.{position}"
        job = _parse_job(item, f"jobs[{position}]", default_id)
        if isinstance(job, errors.Failure):
            return job
        found.append(job)
    return commands.SubmitJobs(tuple(found))


def _cancel_many(request: admin_http.Request, scope: auth.Scope) -> _Built:
    failure = _check_fields(request.body, frozenset({"job_ids"}))
    if failure is not None:
        return failure
    names = request.body.get("job_ids")
    if not isinstance(names, list) or not names:
        return _bad("job_ids must be a list of ids")
    for name in names:
        failure = check_id(name, "job_ids")
        if failure is not None:
            return failure
    return commands.CancelJobs(tuple(names))


def _named(command: Callable[[Any], commands.Command]) -> Callable:
    """Returns a builder of a command that names only an id."""

    def build(request: admin_http.Request, scope: auth.Scope) -> _Built:
        failure = _check_fields(request.body, frozenset())
        return command(_id(request)) if failure is None else failure

    return build


def _cancel_one(name: ids.JobId) -> commands.Command:
    return commands.CancelJobs((name,))


_ROUTES: dict[tuple[str, ...], Callable] = {
    ("PUT", "profiles", "{id}"): _put_profile,
    ("DELETE", "profiles", "{id}"): _named(commands.DeleteProfile),
    ("PUT", "services", "{id}"): _put_service,
    ("DELETE", "services", "{id}"): _named(commands.DeleteService),
    ("PUT", "teams", "{id}"): _put_team,
    ("PUT", "pools", "{id}"): _put_pool,
    ("DELETE", "pools", "{id}"): _named(commands.DeletePool),
    ("PUT", "instances", "{id}"): _put_instance,
    ("DELETE", "instances", "{id}"): _named(commands.RemoveInstance),
    ("POST", "instances", "{id}", "move"): _move,
    ("PUT", "waves", "{id}"): _put_wave,
    ("POST", "waves", "{id}", "approve"): _named(commands.ApproveWave),
    ("POST", "waves", "{id}", "pause"): _named(commands.PauseWave),
    ("POST", "waves", "{id}", "resume"): _named(commands.ResumeWave),
    ("POST", "waves", "{id}", "cancel"): _named(commands.CancelWave),
    ("POST", "jobs"): _submit,
    ("POST", "jobs", "cancel"): _cancel_many,
    ("DELETE", "jobs", "{id}"): _named(_cancel_one),
}


def _id(request: admin_http.Request) -> Any:
    return request.parts[1]


def _failed(item: object) -> bool:
    return isinstance(item, errors.Failure)


def _parse(
    item_class: type,
    id_field: str,
    allowed: frozenset[str],
    firm: bool = True,
) -> Callable[[admin_http.Request, auth.Scope], Any]:
    """Returns a function that builds an object from path, body and scope."""
    adapter: pydantic.TypeAdapter[Any] = pydantic.TypeAdapter(item_class)

    def parse(request: admin_http.Request, scope: auth.Scope) -> Any:
        failure = _check_fields(request.body, allowed)
        if failure is not None:
            return failure
        values = {**request.body, id_field: _id(request)}
        if firm and "firm" not in values:
            if scope.firm == commands.ANY_FIRM:
                return _bad("firm is missing")
            values["firm"] = scope.firm
        return _validate(adapter, values, "")

    return parse


_JOB = pydantic.TypeAdapter(jobs.Job)


def _parse_job(
    item: object, where: str, default_id: str
) -> jobs.Job | errors.Failure:
    if not isinstance(item, dict):
        return _bad(f"{where} must be an object")
    failure = _check_fields(item, _JOB_FIELDS)
    if failure is not None:
        return _bad(f"{where}: {failure.reason}")
    values = {"job_id": default_id, "team_id": None, **item}
    return _validate(_JOB, values, where)


def _validate(
    adapter: pydantic.TypeAdapter[Any], values: Mapping[str, Any], where: str
) -> Any:
    for name, value in values.items():
        # A null id is decided by the type of the field.
        named = name.endswith("_id") and value is not None
        if named or (name == "firm" and value != commands.ANY_FIRM):
            failure = check_id(value, name)
            if failure is not None:
                return failure
    try:
        return adapter.validate_python(dict(values))
    except pydantic.ValidationError as error:
        return _bad(_describe(error, where))


def _describe(error: pydantic.ValidationError, where: str) -> str:
    lines = []
    for item in error.errors():
        path = ".".join(str(part) for part in (where, *item["loc"]) if part)
        lines.append(f"{path}: {item['msg']}")
    return "; ".join(lines)


def _check_fields(
    body: Mapping[str, Any], allowed: frozenset[str]
) -> errors.Failure | None:
    unknown = sorted(set(body) - allowed)
    if not unknown:
        return None
    names = ", ".join(sorted(allowed)) or "no fields"
    return _bad(f"unknown field {unknown[0]}; allowed: {names}")


def _absent(what: str, name: str) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.NOT_FOUND, f"there is no {what} {name}"
    )


def _bad(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)
