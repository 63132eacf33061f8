"""Builds commands from requests of the administration API."""

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
_ID_ADAPTER = pydantic.TypeAdapter(
    Annotated[str, pydantic.Field(pattern=_ID_PATTERN)]
)
_BuildResult = commands.Command | errors.Failure

# Fields that a request may set; the fleet sets the others.
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
    """Returns the command of a request; None if no route matches."""
    route = (request.method, *_route_pattern(request.parts))
    builder = _ROUTES.get(route)
    if builder is None:
        return None
    names = [part for part in request.parts[1:2] if part]
    for name in names:
        failure = check_id(name, "id")
        if failure is not None:
            return failure
    return builder(request, scope)


def check_id(value: object, label: str) -> errors.Failure | None:
    """Checks the syntax of an id."""
    try:
        _ID_ADAPTER.validate_python(value)
    except pydantic.ValidationError as error:
        return _bad_request(f"{label} {value!r}: {error.errors()[0]['msg']}")
    return None


def check_service_scope(
    command: commands.Command, scope: auth.Scope, state: fleet.Fleet
) -> errors.Failure | None:
    """Checks that a token limited to services only affects their jobs."""
    if scope.services is None:
        return None
    if isinstance(command, commands.SubmitJobs):
        for job in command.jobs:
            if not scope.covers_service(job.service_id):
                return _not_found("service", job.service_id)
        return None
    if isinstance(command, commands.CancelJobs):
        for name in command.job_ids:
            stored = state.jobs.get(name)
            if stored is None or not scope.covers_service(stored.service_id):
                return _not_found("job", name)
        return None
    return errors.Failure(
        errors.ErrorKind.FORBIDDEN,
        "a token that is limited to services can only submit and cancel jobs",
    )


def _route_pattern(parts: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the path with a placeholder for the id."""
    if len(parts) < 2 or parts[:2] == ("jobs", "cancel"):
        return parts
    return (parts[0], "{id}", *parts[2:])


def _put_profile(
    request: admin_http.Request, scope: auth.Scope
) -> _BuildResult:
    item = _object_parser(profiles.Profile, "profile_id", _PROFILE_FIELDS)(
        request, scope
    )
    return item if _is_failure(item) else commands.PutProfile(item)


def _put_service(
    request: admin_http.Request, scope: auth.Scope
) -> _BuildResult:
    item = _object_parser(profiles.Service, "service_id", _SERVICE_FIELDS)(
        request, scope
    )
    return item if _is_failure(item) else commands.PutService(item)


def _put_team(request: admin_http.Request, scope: auth.Scope) -> _BuildResult:
    item = _object_parser(profiles.Team, "team_id", _TEAM_FIELDS)(
        request, scope
    )
    return item if _is_failure(item) else commands.PutTeam(item)


def _put_pool(request: admin_http.Request, scope: auth.Scope) -> _BuildResult:
    item = _object_parser(pools.Pool, "pool_id", _POOL_FIELDS)(request, scope)
    return item if _is_failure(item) else commands.PutPool(item)


def _put_instance(
    request: admin_http.Request, scope: auth.Scope
) -> _BuildResult:
    item = _object_parser(
        pools.Instance, "instance_id", _INSTANCE_FIELDS, has_firm=False
    )(request, scope)
    return item if _is_failure(item) else commands.PutInstance(item)


def _propose_wave(
    request: admin_http.Request, scope: auth.Scope
) -> _BuildResult:
    item = _object_parser(waves.Wave, "wave_id", _WAVE_FIELDS)(request, scope)
    if _is_failure(item):
        return item
    return commands.ProposeWave(
        item.wave_id, item.firm, item.selection, item.action
    )


def _move_instance(
    request: admin_http.Request, scope: auth.Scope
) -> _BuildResult:
    pool_id = request.body.get("pool_id")
    failure = errors.first_failure(
        _check_fields(request.body, frozenset({"pool_id"})),
        check_id(pool_id, "pool_id"),
    )
    if failure is not None:
        return failure
    return commands.MoveInstance(
        ids.InstanceId(_path_id(request)), ids.PoolId(str(pool_id))
    )


def _submit_jobs(
    request: admin_http.Request, scope: auth.Scope
) -> _BuildResult:
    failure = _check_fields(request.body, frozenset({"jobs"}))
    if failure is not None:
        return failure
    job_items = request.body.get("jobs")
    if not isinstance(job_items, list):
        return _bad_request("jobs must be a list")
    parsed_jobs = []
    for position, item in enumerate(job_items):
        # A resent command must contain the same job ids, so the default ids
        # are derived from the Command-Id.
        default_id = f"{request.command_id}.{position}"
        job = _parse_job(item, f"jobs[{position}]", default_id)
        if isinstance(job, errors.Failure):
            return job
        parsed_jobs.append(job)
    return commands.SubmitJobs(tuple(parsed_jobs))


def _cancel_jobs(
    request: admin_http.Request, scope: auth.Scope
) -> _BuildResult:
    failure = _check_fields(request.body, frozenset({"job_ids"}))
    if failure is not None:
        return failure
    names = request.body.get("job_ids")
    if not isinstance(names, list) or not names:
        return _bad_request("job_ids must be a list of ids")
    for name in names:
        failure = check_id(name, "job_ids")
        if failure is not None:
            return failure
    return commands.CancelJobs(tuple(names))


def _build_from_id(command: Callable[[Any], commands.Command]) -> Callable:
    """Returns a builder for a command whose only field is an id."""

    def build(request: admin_http.Request, scope: auth.Scope) -> _BuildResult:
        failure = _check_fields(request.body, frozenset())
        return command(_path_id(request)) if failure is None else failure

    return build


def _cancel_job(name: ids.JobId) -> commands.Command:
    return commands.CancelJobs((name,))


_ROUTES: dict[tuple[str, ...], Callable] = {
    ("PUT", "profiles", "{id}"): _put_profile,
    ("DELETE", "profiles", "{id}"): _build_from_id(commands.DeleteProfile),
    ("PUT", "services", "{id}"): _put_service,
    ("DELETE", "services", "{id}"): _build_from_id(commands.DeleteService),
    ("PUT", "teams", "{id}"): _put_team,
    ("PUT", "pools", "{id}"): _put_pool,
    ("DELETE", "pools", "{id}"): _build_from_id(commands.DeletePool),
    ("PUT", "instances", "{id}"): _put_instance,
    ("DELETE", "instances", "{id}"): _build_from_id(commands.RemoveInstance),
    ("POST", "instances", "{id}", "move"): _move_instance,
    ("PUT", "waves", "{id}"): _propose_wave,
    ("POST", "waves", "{id}", "approve"): _build_from_id(commands.ApproveWave),
    ("POST", "waves", "{id}", "pause"): _build_from_id(commands.PauseWave),
    ("POST", "waves", "{id}", "resume"): _build_from_id(commands.ResumeWave),
    ("POST", "waves", "{id}", "cancel"): _build_from_id(commands.CancelWave),
    ("POST", "jobs"): _submit_jobs,
    ("POST", "jobs", "cancel"): _cancel_jobs,
    ("DELETE", "jobs", "{id}"): _build_from_id(_cancel_job),
}


def _path_id(request: admin_http.Request) -> Any:
    return request.parts[1]


def _is_failure(item: object) -> bool:
    return isinstance(item, errors.Failure)


def _object_parser(
    item_class: type,
    id_field: str,
    allowed: frozenset[str],
    has_firm: bool = True,
) -> Callable[[admin_http.Request, auth.Scope], Any]:
    """Returns a function that builds an object from path, body and scope."""
    adapter: pydantic.TypeAdapter[Any] = pydantic.TypeAdapter(item_class)

    def parse(request: admin_http.Request, scope: auth.Scope) -> Any:
        failure = _check_fields(request.body, allowed)
        if failure is not None:
            return failure
        values = {**request.body, id_field: _path_id(request)}
        if has_firm and "firm" not in values:
            if scope.firm == commands.ANY_FIRM:
                return _bad_request("firm is missing")
            values["firm"] = scope.firm
        return _validate(adapter, values, "")

    return parse


_JOB_ADAPTER = pydantic.TypeAdapter(jobs.Job)


def _parse_job(
    item: object, location: str, default_id: str
) -> jobs.Job | errors.Failure:
    if not isinstance(item, dict):
        return _bad_request(f"{location} must be an object")
    failure = _check_fields(item, _JOB_FIELDS)
    if failure is not None:
        return _bad_request(f"{location}: {failure.reason}")
    values = {"job_id": default_id, "team_id": None, **item}
    return _validate(_JOB_ADAPTER, values, location)


def _validate(
    adapter: pydantic.TypeAdapter[Any], values: Mapping[str, Any], location: str
) -> Any:
    for name, value in values.items():
        # Whether an id may be null depends on the type of the field.
        is_id = name.endswith("_id") and value is not None
        if is_id or (name == "firm" and value != commands.ANY_FIRM):
            failure = check_id(value, name)
            if failure is not None:
                return failure
    try:
        return adapter.validate_python(dict(values))
    except pydantic.ValidationError as error:
        return _bad_request(_describe_error(error, location))


def _describe_error(error: pydantic.ValidationError, location: str) -> str:
    lines = []
    for item in error.errors():
        path = ".".join(str(part) for part in (location, *item["loc"]) if part)
        lines.append(f"{path}: {item['msg']}")
    return "; ".join(lines)


def _check_fields(
    body: Mapping[str, Any], allowed: frozenset[str]
) -> errors.Failure | None:
    unknown = sorted(set(body) - allowed)
    if not unknown:
        return None
    names = ", ".join(sorted(allowed)) or "no fields"
    return _bad_request(f"unknown field {unknown[0]}; allowed: {names}")


def _not_found(noun: str, name: str) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.NOT_FOUND, f"there is no {noun} {name}"
    )


def _bad_request(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)
