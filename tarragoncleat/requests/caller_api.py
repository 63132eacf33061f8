"""ASGI handler of the callers' requests."""

import collections
from collections.abc import Callable, Mapping
from typing import Protocol

import anyio
import h11

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import metrics as metrics_module
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.requests import answers
from tarragoncleat.requests import caller_requests
from tarragoncleat.requests import claims as claims_module
from tarragoncleat.requests import dispatching
from tarragoncleat.requests import forwarding
from tarragoncleat.requests import limits
from tarragoncleat.requests import lingering
from tarragoncleat.requests import request_watch
from tarragoncleat.requests import upstream_connections
from tarragoncleat.requests import visits
from tarragoncleat.state import profiles

__all__ = ["Authenticate", "CallerApi", "ClaimStore", "ServiceDirectory"]

_MAINTENANCE_INTERVAL_S = 0.05
# A refused request with at most this much unread body keeps its connection.
_MAX_SKIPPED_BODY_BYTES = 65_536
_CLOSE = (b"connection", b"close")
_CALLER_ROLES = frozenset(
    {
        settings_module.Role.CALLER,
        settings_module.Role.SERVICE,
        settings_module.Role.OPERATOR,
    }
)

Authenticate = Callable[
    [caller_requests.Headers],
    settings_module.Token | errors.Failure | None,
]


class ServiceDirectory(Protocol):
    """The part of the fleet that the request path reads."""

    def standing_of(self, service: ids.ServiceId) -> profiles.Standing:
        """Returns the standing of a service's profile."""

    def owner_of(self, service: ids.ServiceId) -> ids.FirmId | None:
        """Returns the firm that a service belongs to."""


class ClaimStore(Protocol):
    """Claims of idempotency keys; implemented by `claims.Claims`."""

    async def claim(
        self, request: claims_module.ClaimRequest
    ) -> claims_module.Granted | claims_module.Held | errors.Failure:
        """Claims a key."""

    async def release(self, request: claims_module.ClaimRequest) -> None:
        """Gives up the claim of a request that did not run."""

    def store(
        self,
        request: claims_module.ClaimRequest,
        answer: answers.CompleteAnswer,
    ) -> None:
        """Keeps the answer for resends."""


class CallerApi:
    """Serves `/services/{service}/{path}`, `/healthz` and `/readyz`."""

    def __init__(
        self,
        settings: settings_module.Settings,
        timer: timer_module.TimerService,
        metrics: metrics_module.Metrics,
        membership: dispatching.UpstreamSource,
        fleet: ServiceDirectory,
        claims: ClaimStore,
        authenticate: Authenticate,
    ):
        """Creates a handler without requests in flight."""
        self._settings = settings
        self._timer = timer
        self._metrics = metrics
        self._fleet = fleet
        self._claims = claims
        self._authenticate = authenticate
        self._pool = upstream_connections.ConnectionPool(
            settings.routing, timer
        )
        self._dispatcher = dispatching.Dispatcher(
            settings, timer, metrics, membership
        )
        self._forwarder = forwarding.Forwarder(
            settings, timer, metrics, self._dispatcher, self._pool
        )
        self._callers = limits.CallerCounter(
            settings.callers.max_connections_per_caller,
            settings.callers.max_connections,
        )
        self._finished: collections.Counter[tuple[str, str]]
        self._finished = collections.Counter()
        self._watch = request_watch.RequestWatch(timer)
        self._leaving = False

    @property
    def in_flight(self) -> Mapping[ids.RequestId, ids.ServiceId]:
        """Requests that are not answered yet, with their service."""
        return {
            request_id: visit.request.service
            for request_id, visit in self._watch.in_flight.items()
        }

    def start_leaving(self) -> None:
        """Makes readyz fail and asks callers to close their connections."""
        self._leaving = True

    async def run(self) -> None:
        """Serves waiting requests and expires idle connections."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch.run)
                async for _ in self._timer.subscribe(_MAINTENANCE_INTERVAL_S):
                    self._maintain()
        finally:
            self._pool.close_all()

    def _maintain(self) -> None:
        self._dispatcher.serve_waiting()
        self._dispatcher.forget_gone()
        self._pool.close_expired()
        for (service, outcome), count in self._finished.items():
            self._metrics.count_requests(service, outcome, count)
        self._finished.clear()

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            "leaving": self._leaving,
            "requests": len(self._watch.in_flight),
            "callers": len(self._callers),
            "idle_connections": len(self._pool),
            "dispatcher": self._dispatcher.dump(),
        }

    async def __call__(
        self,
        scope: caller_requests.Scope,
        receive: caller_requests.Receive,
        send: answers.Send,
    ) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            raise ValueError(f"scope type {scope['type']} is not served")
        if scope["raw_path"] in (b"/healthz", b"/readyz"):
            await self._send_health(scope["raw_path"], send)
            return
        request_id = caller_requests.new_request_id()
        request = caller_requests.parse(scope, request_id, self._settings)
        if isinstance(request, errors.Failure):
            await self._refuse(scope, receive, send, request_id, request, False)
            return
        visit = visits.Visit(
            request,
            caller_requests.CallerBody(
                receive, request.content_length, self._settings.callers
            ),
            send,
            [_CLOSE] if self._leaving else [],
            self._timer.monotonic_s(),
            anyio.CancelScope(),
        )
        try:
            failure = await self._admit(scope, visit)
        except Exception:
            if not visit.answering:
                failure = errors.Failure(
                    errors.ErrorKind.INTERNAL, "the request failed unexpectedly"
                )
                await self._refuse(
                    scope, receive, send, request_id, failure, visit.sent
                )
            raise
        # An answer that has begun but is not complete makes the server abort
        # the caller's connection.
        if failure is not None and not visit.answering:
            await self._refuse(
                scope, receive, send, request_id, failure, visit.sent
            )

    async def _send_health(self, path: bytes, send: answers.Send) -> None:
        ready = path == b"/healthz" or not self._leaving
        body = b"ok\n" if ready else b"leaving\n"
        headers = [(b"content-length", b"%d" % len(body))]
        answer = answers.CompleteAnswer(200 if ready else 503, headers, body)
        await answers.send_complete(send, answer, [])

    async def _refuse(
        self,
        scope: caller_requests.Scope,
        receive: caller_requests.Receive,
        send: answers.Send,
        request_id: ids.RequestId,
        failure: errors.Failure,
        sent: bool,
    ) -> None:
        unknown = sent or failure.kind is errors.ErrorKind.DUPLICATE_REQUEST
        outcome = errors.Outcome.UNKNOWN if unknown else errors.Outcome.NOT_RUN
        answer = answers.build_error(failure, outcome, request_id)
        has_long_body = _has_long_body(scope)
        if has_long_body:
            send = lingering.LingeringSend(receive, send)
        extra = [_CLOSE] if self._leaving or has_long_body else []
        await answers.send_complete(send, answer, extra)

    async def _admit(
        self, scope: caller_requests.Scope, visit: visits.Visit
    ) -> errors.Failure | None:
        token = self._authenticate(scope["headers"])
        if isinstance(token, errors.Failure):
            return token
        service = visit.request.service
        owner = self._fleet.owner_of(service)
        client = scope.get("client")
        address = client[0] if client else ""
        if token is None:
            visit.firm = owner or ""
            return await self._count(visit, address, "")
        if not _is_allowed(token, service, owner):
            return errors.Failure(
                errors.ErrorKind.FORBIDDEN,
                f"the token does not allow {service}",
            )
        visit.firm = token.firm
        visit.caller = token.name
        return await self._count(visit, address, f"token {token.name}")

    async def _count(
        self, visit: visits.Visit, address: str, token: str
    ) -> errors.Failure | None:
        callers = (address, token) if token else (address,)
        entered = [name for name in callers if self._callers.enter(name)]
        try:
            if len(entered) < len(callers):
                failure: errors.Failure | None = errors.Failure(
                    errors.ErrorKind.TOO_MANY_CONNECTIONS,
                    "the caller has too many requests in flight",
                )
            else:
                failure = await self._run(visit)
        finally:
            for name in entered:
                self._callers.leave(name)
        # The instruments are too slow for each request; `run` passes the
        # counts on.
        outcome = "answered" if failure is None else failure.kind.value
        self._finished[visit.request.service, outcome] += 1
        return failure

    async def _run(self, visit: visits.Visit) -> errors.Failure | None:
        failure: errors.Failure | None = None
        self._watch.add(visit)
        try:
            # The watch sets the deadline of the scope.
            with visit.scope:
                failure = await self._prepare(visit)
        finally:
            self._watch.remove(visit)
        if not visit.scope.cancelled_caught:
            return failure
        if visit.body.disconnected:
            return errors.Failure(
                errors.ErrorKind.BAD_REQUEST, "the caller disconnected"
            )
        if visit.sent:
            return errors.Failure(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                "the answer did not arrive before the deadline",
            )
        return errors.Failure(
            errors.ErrorKind.QUEUE_TIMEOUT,
            "the request was not sent before its deadline",
        )

    async def _prepare(self, visit: visits.Visit) -> errors.Failure | None:
        body = visit.body
        if not body.complete:
            failure = await body.read_ahead(
                self._settings.routing.replay_body_bytes
            )
            if failure is not None:
                return failure
        head = caller_requests.build_head(
            visit.request, len(body.buffered) if body.complete else None
        )
        if isinstance(head, errors.Failure):
            return head
        if visit.request.key is not None:
            return await self._forward_once(visit, head)
        result = await self._forward(visit, head)
        return result if isinstance(result, errors.Failure) else None

    async def _forward(
        self, visit: visits.Visit, head: h11.Request
    ) -> answers.CompleteAnswer | errors.Failure | None:
        standing = self._fleet.standing_of(visit.request.service)
        return await self._forwarder.forward(visit, head, standing)

    async def _forward_once(
        self, visit: visits.Visit, head: h11.Request
    ) -> errors.Failure | None:
        replay_bytes = self._settings.routing.replay_body_bytes
        claim = claims_module.build_request(
            visit.firm,
            visit.caller,
            visit.request,
            visit.body.buffered[:replay_bytes],
        )
        verdict = await self._claims.claim(claim)
        if isinstance(verdict, errors.Failure):
            return verdict
        if isinstance(verdict, claims_module.Held):
            return await self._answer_resend(visit, verdict)
        try:
            result = await self._forward(visit, head)
        finally:
            if not visit.sent:
                with anyio.CancelScope(shield=True):
                    await self._claims.release(claim)
        if isinstance(result, errors.Failure):
            return result
        if result is not None:
            self._claims.store(claim, result)
        return None

    async def _answer_resend(
        self, visit: visits.Visit, held: claims_module.Held
    ) -> errors.Failure | None:
        if held.answer is None:
            return errors.Failure(
                errors.ErrorKind.DUPLICATE_REQUEST,
                "the key was used by a request whose answer is not known",
            )
        visit.answering = True
        await answers.send_complete(
            visit.send, held.answer, visit.extra_headers
        )
        return None


def _is_allowed(
    token: settings_module.Token,
    service: ids.ServiceId,
    owner: ids.FirmId | None,
) -> bool:
    if token.role not in _CALLER_ROLES:
        return False
    # A token that names a service may call it also when another firm owns it:
    # rival firms share the services of one platform.
    if token.services:
        return service in token.services
    return token.firm in ("*", owner)


def _has_long_body(scope: caller_requests.Scope) -> bool:
    by_name = dict(scope["headers"])
    if b"transfer-encoding" in by_name:
        return True
    length = by_name.get(b"content-length", b"0")
    return not length.isdigit() or int(length) > _MAX_SKIPPED_BODY_BYTES
