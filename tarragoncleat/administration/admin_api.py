"""The administration API under `/admin/v1/`."""

from collections.abc import Callable, Mapping
import dataclasses
from typing import Any, Protocol
import uuid

from tarragoncleat.administration import admin_commands
from tarragoncleat.administration import admin_http
from tarragoncleat.administration import admin_reads
from tarragoncleat.administration import auth
from tarragoncleat.administration import reports
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import metrics as metrics_module
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.state import commands
from tarragoncleat.state import fleet as fleet_module

__all__ = ["PREFIX", "AdminApi", "ReplicatedLog"]

PREFIX = "/admin/v1/"

_MAX_DIGITS = 18

_ALLOWED_ROLES = frozenset(
    {
        settings_module.Role.OPERATOR,
        settings_module.Role.SERVICE,
        settings_module.Role.AUDITOR,
    }
)


class ReplicatedLog(Protocol):
    """The methods of `replication.Replication` that the API calls."""

    async def propose(self, payload: bytes, timeout_s: float) -> Any:
        """Returns an object with `index` and `result`, or a `Failure`."""

    async def read_barrier(self, timeout_s: float) -> int | errors.Failure:
        """Waits until this entry has applied every committed record."""

    async def change_replica(
        self, entry_id: ids.EntryId, is_replica: bool, timeout_s: float
    ) -> Any:
        """Adds or removes a replica; only the leader can do this."""

    def applied_indexes(self) -> Mapping[ids.EntryId, Any]:
        """Returns the applied index and its age by entry."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestContext:
    request: admin_http.Request
    scope: auth.Scope


class AdminApi:
    """ASGI application of the administration API."""

    def __init__(
        self,
        settings: settings_module.Settings,
        fleet: fleet_module.Fleet,
        replication: ReplicatedLog,
        authenticator: auth.Authenticator,
        dump: Callable[[], Mapping[str, Any]],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Creates the application.

        Args:
            settings: Settings of the entry.
            fleet: State that requests read.
            replication: Log that commands are proposed to.
            authenticator: Checks the bearer tokens.
            dump: Returns the state of the process in plain types.
            metrics: Instruments of the process.
        """
        self._fleet = fleet
        self._replication = replication
        self._authenticator = authenticator
        self._dump = dump
        self._metrics = metrics
        self._replica_ids = frozenset(settings.replica_ids)
        self._timeout_s = settings.consensus.propose_timeout_ms / 1000
        self._body_idle_timeout_s = settings.callers.body_idle_timeout_ms / 1000
        self._object_readers: dict[str, Callable[[_RequestContext], object]] = {
            "ledger": self._read_ledger,
            "report": self._read_report,
            "configuration": self._read_configuration,
            "commands": self._read_command,
        }
        self._process_readers: dict[str, Callable[[], object]] = {
            "state": self._dump,
            "metrics": self._metrics.read_json,
        }

    async def __call__(
        self,
        scope: admin_http.Scope,
        receive: admin_http.Receive,
        send: admin_http.Send,
    ) -> None:
        """Answers one request."""
        await admin_http.send_answer(send, await self._answer(scope, receive))

    async def _answer(
        self, scope: admin_http.Scope, receive: admin_http.Receive
    ) -> admin_http.Answer:
        # Before the body is read: others may not make the entry hold one.
        token = self._authenticator.authenticate(admin_http.read_headers(scope))
        if isinstance(token, errors.Failure):
            return admin_http.error_answer(token, uuid.uuid4().hex)
        request = await admin_http.read_request(
            scope, receive, PREFIX, self._body_idle_timeout_s
        )
        if isinstance(request, errors.Failure):
            return admin_http.error_answer(request, "")
        context = _RequestContext(request, auth.Scope.from_token(token))
        result: Any
        if context.scope.role not in _ALLOWED_ROLES:
            result = _forbidden(f"role {context.scope.role.value}")
        elif request.method == "GET":
            result = await self._read(context)
        else:
            result = await self._write(context)
        if isinstance(result, errors.Failure):
            return admin_http.error_answer(result, request.request_id)
        return result

    async def _read(
        self, context: _RequestContext
    ) -> admin_http.Answer | errors.Failure:
        name = context.request.parts[0]
        if name in self._process_readers:
            return self._read_process(context)
        reader = self._object_readers.get(name)
        if reader is None and name not in admin_reads.KINDS:
            return _route_not_found(context.request)
        consistency = await self._await_barrier(context.request)
        if isinstance(consistency, errors.Failure):
            return consistency
        content: Any = (reader or self._read_objects)(context)
        if isinstance(content, errors.Failure | admin_http.Answer):
            return content
        body = {
            "applied_index": self._fleet.applied_index,
            "revision": self._fleet.revision,
            "consistency": consistency,
            **content,
        }
        return admin_http.Answer(200, body)

    async def _await_barrier(
        self, request: admin_http.Request
    ) -> str | errors.Failure:
        consistency = request.query.get("consistency", "committed")
        if consistency == "local":
            return consistency
        if consistency != "committed":
            return _bad_request("consistency must be committed or local")
        index = await self._replication.read_barrier(self._timeout_s)
        return index if isinstance(index, errors.Failure) else consistency

    def _read_process(
        self, context: _RequestContext
    ) -> admin_http.Answer | errors.Failure:
        """Reads data of the process, which isn't split by firm."""
        if not context.scope.is_unrestricted:
            return _forbidden(f"a token of firm {context.scope.firm}")
        if len(context.request.parts) != 1:
            return _route_not_found(context.request)
        reader = self._process_readers[context.request.parts[0]]
        return admin_http.Answer(200, reader())

    def _read_objects(self, context: _RequestContext) -> object:
        kind, *id_parts = context.request.parts
        if not id_parts or id_parts == [""]:
            return admin_reads.read_list(
                self._fleet, context.scope, kind, context.request.query
            )
        if len(id_parts) != 1:
            return _route_not_found(context.request)
        item = admin_reads.read_one(
            self._fleet, context.scope, kind, id_parts[0]
        )
        if isinstance(item, errors.Failure):
            return item
        return {"item": item}

    def _read_ledger(self, context: _RequestContext) -> object:
        return admin_reads.read_ledger(
            self._fleet, context.scope, context.request.query
        )

    def _read_report(self, context: _RequestContext) -> object:
        entry_filter = admin_reads.ledger_filter(
            context.scope, context.request.query
        )
        if isinstance(entry_filter, errors.Failure):
            return entry_filter
        name = context.request.query.get("service")
        if name is None:
            return _bad_request("service is missing")
        service = admin_reads.read_one(
            self._fleet, context.scope, "services", name
        )
        if isinstance(service, errors.Failure):
            return service
        report = reports.build_report(
            self._fleet, ids.ServiceId(name), entry_filter
        )
        return {"report": report}

    def _read_configuration(self, context: _RequestContext) -> object:
        revision = self._fleet.revision
        return {
            "entries": {
                name: {
                    # The revision of an entry that lags isn't reported; its
                    # applied index is an upper bound.
                    "revision": min(revision, entry.applied_index),
                    "applied_index": entry.applied_index,
                    "age_s": round(entry.age_s, 3),
                    "in_force": entry.applied_index >= revision,
                }
                for name, entry in self._replication.applied_indexes().items()
            }
        }

    def _read_command(self, context: _RequestContext) -> object:
        parts = context.request.parts
        if len(parts) != 2:
            return _route_not_found(context.request)
        result = self._fleet.result_of(
            context.scope.firm, ids.CommandId(parts[1])
        )
        if result is None:
            return errors.Failure(
                errors.ErrorKind.NOT_FOUND,
                f"no result is stored for command {parts[1]}: it was never "
                "applied, or its result has expired",
            )
        return {"command_id": parts[1], "result": result}

    async def _write(
        self, context: _RequestContext
    ) -> admin_http.Answer | errors.Failure:
        request, scope = context.request, context.scope
        if request.method == "POST" and request.parts[0] == "replicas":
            return await self._change_replica(context)
        command = admin_commands.build_command(request, scope)
        if command is None:
            return _route_not_found(request)
        if isinstance(command, errors.Failure):
            return command
        if_match = _parse_if_match(request.headers)
        failure = errors.first_failure(
            admin_commands.check_id(request.command_id, "Command-Id"),
            if_match if isinstance(if_match, errors.Failure) else None,
            await self._check_service_scope(command, scope),
        )
        if failure is not None:
            return failure
        envelope = commands.Envelope(
            ids.CommandId(request.command_id),
            scope.firm,
            scope.actor,
            scope.role.value,
            if_match if isinstance(if_match, int) else None,
            command,
            None if scope.services is None else tuple(sorted(scope.services)),
        )
        return await self._propose(envelope)

    async def _check_service_scope(
        self, command: commands.Command, scope: auth.Scope
    ) -> errors.Failure | None:
        """Checks a command against the token's services.

        The state of this entry may lack a job that another one has just
        acknowledged, so "not found" is decided only after a read barrier.
        """
        check = admin_commands.check_service_scope
        failure = check(command, scope, self._fleet)
        if failure is None or failure.kind is not errors.ErrorKind.NOT_FOUND:
            return failure
        index = await self._replication.read_barrier(self._timeout_s)
        if isinstance(index, errors.Failure):
            return index
        return check(command, scope, self._fleet)

    async def _change_replica(
        self, context: _RequestContext
    ) -> admin_http.Answer | errors.Failure:
        parts = context.request.parts
        if len(parts) != 3 or parts[2] not in ("add", "remove"):
            return _route_not_found(context.request)
        scope = context.scope
        is_operator = scope.role is settings_module.Role.OPERATOR
        if not (is_operator and scope.is_unrestricted):
            return _forbidden(f"role {scope.role.value} of firm {scope.firm}")
        entry_id = ids.EntryId(parts[1])
        if entry_id not in self._replica_ids:
            return errors.Failure(
                errors.ErrorKind.NOT_FOUND,
                f"{entry_id} is not a replica in the settings of this entry",
            )
        changed = await self._replication.change_replica(
            entry_id, parts[2] == "add", self._timeout_s
        )
        if isinstance(changed, errors.Failure):
            return changed
        return admin_http.Answer(200, {"applied_index": changed.index})

    async def _propose(
        self, envelope: commands.Envelope
    ) -> admin_http.Answer | errors.Failure:
        applied = await self._replication.propose(
            codec.encode(envelope), self._timeout_s
        )
        if isinstance(applied, errors.Failure):
            return dataclasses.replace(
                applied,
                detail={**applied.detail, "command_id": envelope.command_id},
            )
        result = codec.decode(applied.result)
        if isinstance(result, errors.Failure):
            return result
        if not result.ok:
            return result.to_failure()
        body = {
            "command_id": envelope.command_id,
            "revision": result.revision,
            "value": result.value,
        }
        headers = (
            ("Command-Id", envelope.command_id),
            ("ETag", f'"{result.revision}"'),
        )
        return admin_http.Answer(200, body, headers)


def _parse_if_match(headers: Mapping[str, str]) -> int | None | errors.Failure:
    text = headers.get("if-match")
    if text is None or text == "*":
        return None
    text = text.strip().strip('"')
    if text.isdecimal() and len(text) <= _MAX_DIGITS:
        return int(text)
    return _bad_request("If-Match must be a revision, 0 for a new object")


def _route_not_found(request: admin_http.Request) -> errors.Failure:
    path = "/".join(request.parts)
    return errors.Failure(
        errors.ErrorKind.NOT_FOUND,
        f"no such route: {request.method} {PREFIX}{path}",
    )


def _forbidden(subject: str) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.FORBIDDEN, f"{subject} has no access to this resource"
    )


def _bad_request(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)
