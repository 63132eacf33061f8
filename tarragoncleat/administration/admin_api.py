"""The administration API under `/admin/v1/`."""

from collections.abc import Callable, Mapping
import dataclasses
from typing import Any, Protocol

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

_READERS = frozenset(
    {
        settings_module.Role.OPERATOR,
        settings_module.Role.SERVICE,
        settings_module.Role.AUDITOR,
    }
)


class ReplicatedLog(Protocol):
    """What the API needs of `replication.Replication`."""

    async def propose(self, payload: bytes, timeout_s: float) -> Any:
        """Returns an object with `index` and `result`, or a `Failure`."""

    async def read_barrier(self, timeout_s: float) -> int | errors.Failure:
        """Waits until this entry has applied what was committed."""

    async def change_replica(
        self, entry_id: ids.EntryId, is_replica: bool, timeout_s: float
    ) -> Any:
        """Adds a replica or removes one; only the leader can do it."""

    def applied_indexes(self) -> Mapping[ids.EntryId, Any]:
        """Returns the applied index and its age by entry."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Context:
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
            fleet: State that is read.
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
        self._readers: dict[str, Callable[[_Context], object]] = {
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
        request = await admin_http.read_request(scope, receive, PREFIX)
        if isinstance(request, errors.Failure):
            answer = admin_http.error_answer(request, "")
        else:
            answer = await self._answer(request)
        await admin_http.send_answer(send, answer)

    async def _answer(self, request: admin_http.Request) -> admin_http.Answer:
        token = self._authenticator.authenticate(request.headers)
        if isinstance(token, errors.Failure):
            return admin_http.error_answer(token, request.request_id)
        context = _Context(request, auth.Scope.of(token))
        result: Any
        if context.scope.role not in _READERS:
            result = _forbidden(f"role {context.scope.role.value}")
        elif request.method == "GET":
            result = await self._read(context)
        else:
            result = await self._write(context)
        if isinstance(result, errors.Failure):
            return admin_http.error_answer(result, request.request_id)
        return result

    async def _read(
        self, context: _Context
    ) -> admin_http.Answer | errors.Failure:
        name = context.request.parts[0]
        if name in self._process_readers:
            return self._read_process(context)
        reader = self._readers.get(name)
        if reader is None and name not in admin_reads.KINDS:
            return _no_route(context.request)
        consistency = await self._pass_barrier(context.request)
        if isinstance(consistency, errors.Failure):
            return consistency
        found: Any = (reader or self._read_objects)(context)
        if isinstance(found, errors.Failure | admin_http.Answer):
            return found
        body = {
            "applied_index": self._fleet.applied_index,
            "revision": self._fleet.revision,
            "consistency": consistency,
            **found,
        }
        return admin_http.Answer(200, body)

    async def _pass_barrier(
        self, request: admin_http.Request
    ) -> str | errors.Failure:
        consistency = request.query.get("consistency", "committed")
        if consistency == "local":
            return consistency
        if consistency != "committed":
            return _bad("consistency must be committed or local")
        index = await self._replication.read_barrier(self._timeout_s)
        return index if isinstance(index, errors.Failure) else consistency

    def _read_process(
        self, context: _Context
    ) -> admin_http.Answer | errors.Failure:
        """Reads what covers every firm."""
        if not context.scope.every_firm:
            return _forbidden(f"a token of firm {context.scope.firm}")
        if len(context.request.parts) != 1:
            return _no_route(context.request)
        reader = self._process_readers[context.request.parts[0]]
        return admin_http.Answer(200, reader())

    def _read_objects(self, context: _Context) -> object:
        kind, *rest = context.request.parts
        if not rest or rest == [""]:
            return admin_reads.read_list(
                self._fleet, context.scope, kind, context.request.query
            )
        if len(rest) != 1:
            return _no_route(context.request)
        item = admin_reads.read_one(self._fleet, context.scope, kind, rest[0])
        if isinstance(item, errors.Failure):
            return item
        return {"item": item}

    def _read_ledger(self, context: _Context) -> object:
        return admin_reads.read_ledger(
            self._fleet, context.scope, context.request.query
        )

    def _read_report(self, context: _Context) -> object:
        wanted = admin_reads.ledger_filter(context.scope, context.request.query)
        if isinstance(wanted, errors.Failure):
            return wanted
        name = context.request.query.get("service")
        if name is None:
            return _bad("service is missing")
        service = admin_reads.read_one(
            self._fleet, context.scope, "services", name
        )
        if isinstance(service, errors.Failure):
            return service
        report = reports.build(self._fleet, ids.ServiceId(name), wanted)
        return {"report": report}

    def _read_configuration(self, context: _Context) -> object:
        revision = self._fleet.revision
        return {
            "entries": {
                name: {
                    # An entry behind the revision has an unknown older one,
                    # which its applied index bounds.
                    "revision": min(revision, known.applied_index),
                    "applied_index": known.applied_index,
                    "age_s": round(known.age_s, 3),
                    "in_force": known.applied_index >= revision,
                }
                for name, known in self._replication.applied_indexes().items()
            }
        }

    def _read_command(self, context: _Context) -> object:
        parts = context.request.parts
        if len(parts) != 2:
            return _no_route(context.request)
        result = self._fleet.result_of(
            context.scope.firm, ids.CommandId(parts[1])
        )
        if result is None:
            return errors.Failure(
                errors.ErrorKind.NOT_FOUND,
                f"no result of command {parts[1]} is kept; it was not "
                "applied, or too long ago",
            )
        return {"command_id": parts[1], "result": result}

    async def _write(
        self, context: _Context
    ) -> admin_http.Answer | errors.Failure:
        request, scope = context.request, context.scope
        if request.method == "POST" and request.parts[0] == "replicas":
            return await self._change_replica(context)
        command = admin_commands.build_command(request, scope)
        if command is None:
            return _no_route(request)
        if isinstance(command, errors.Failure):
            return command
        if_match = _if_match(request.headers)
        failure = errors.first_failure(
            admin_commands.check_id(request.command_id, "Command-Id"),
            if_match if isinstance(if_match, errors.Failure) else None,
            admin_commands.check_service_scope(command, scope, self._fleet),
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
        )
        return await self._propose(envelope)

    async def _change_replica(
        self, context: _Context
    ) -> admin_http.Answer | errors.Failure:
        parts = context.request.parts
        if len(parts) != 3 or parts[2] not in ("add", "remove"):
            return _no_route(context.request)
        scope = context.scope
        is_operator = scope.role is settings_module.Role.OPERATOR
        if not (is_operator and scope.every_firm):
            return _forbidden(f"role {scope.role.value} of firm {scope.firm}")
        entry_id = ids.EntryId(parts[1])
        if entry_id not in self._replica_ids:
            return errors.Failure(
                errors.ErrorKind.NOT_FOUND,
                f"the settings of this entry name no replica {entry_id}",
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


def _if_match(headers: Mapping[str, str]) -> int | None | errors.Failure:
    text = headers.get("if-match")
    if text is None or text == "*":
        return None
    text = text.strip().strip('"')
    if text.isdecimal() and len(text) <= _MAX_DIGITS:
        return int(text)
    return _bad("If-Match must be a revision, 0 for a new object")


def _no_route(request: admin_http.Request) -> errors.Failure:
    path = "/".join(request.parts)
    return errors.Failure(
        errors.ErrorKind.NOT_FOUND, f"no {request.method} {PREFIX}{path}"
    )


def _forbidden(who: str) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.FORBIDDEN, f"{who} has no access to this"
    )


def _bad(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)
