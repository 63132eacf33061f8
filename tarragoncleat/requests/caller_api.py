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
from tarragoncleat.requests import request_context
from tarragoncleat.requests import request_watch
from tarragoncleat.requests import upstream_connections
from tarragoncleat.state import profiles

__all__ = ["Authenticate", "CallerApi", "ClaimStore", "ServiceDirectory"]

_MAINTENANCE_INTERVAL_S = 0.05
_CLOSE = (b"connection", b"close")
# Each label takes memory for good. No service has a name with a space.
_MAX_LABELLED_SERVICES = 1_000
_OTHER_SERVICES = "other services"
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
    """The fleet state that the request path reads."""

    def standing_of(self, service: ids.ServiceId) -> profiles.Standing:
        """Returns the standing of a service's profile."""

    def owner_of(self, service: ids.ServiceId) -> ids.FirmId | None:
        """Returns the firm that a service belongs to."""


class ClaimStore(Protocol):
    """Claims of idempotency keys; implemented by `claims.Claims`."""

    async def claim(
        self, request: claims_module.ClaimRequest
    ) -> claims_module.Granted | claims_module.AlreadyClaimed | errors.Failure:
        """Claims a key."""

    async def release(self, request: claims_module.ClaimRequest) -> None:
        """Releases the claim of a request that did not run."""

    def store(
        self,
        request: claims_module.ClaimRequest,
        answer: answers.CompleteAnswer,
    ) -> None:
        """Stores the answer for resends."""


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
        self._caller_limiter = limits.CallerLimiter(
            settings.callers.max_connections_per_caller,
            settings.callers.max_connections,
        )
        self._outcome_counts: collections.Counter[tuple[str, str]]
        self._outcome_counts = collections.Counter()
        self._labelled_services: set[ids.ServiceId] = set()
        self._watch = request_watch.RequestWatch(timer)
        self._leaving = False

    @property
    def in_flight(self) -> Mapping[ids.RequestId, ids.ServiceId]:
        """Services of the requests in flight, by request id."""
        return {
            request_id: context.request.service
            for request_id, context in self._watch.in_flight.items()
        }

    def start_leaving(self) -> None:
        """Makes readyz fail and asks callers to close their connections."""
        self._leaving = True

    async def run(self) -> None:
        """Performs the periodic maintenance until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch.run)
                async for _ in self._timer.subscribe(_MAINTENANCE_INTERVAL_S):
                    self._maintain()
        finally:
            self._pool.close_all()

    def _maintain(self) -> None:
        self._dispatcher.serve_waiting()
        self._dispatcher.prune_routers()
        self._pool.close_expired()
        for (service, outcome), count in self._outcome_counts.items():
            self._metrics.count_requests(service, outcome, count)
        self._outcome_counts.clear()

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            "leaving": self._leaving,
            "requests": len(self._watch.in_flight),
            "callers": len(self._caller_limiter),
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
            await self._send_error(send, request_id, request, False)
            return
        context = request_context.RequestContext(
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
            failure = await self._admit(scope, context)
        except (Exception, anyio.get_cancelled_exc_class()) as error:
            if not context.answer_started:
                failure = _build_abort_failure(error, context.maybe_sent)
                await self._send_error(
                    send, request_id, failure, context.maybe_sent
                )
            raise
        # The server aborts the caller's connection if this returns with an
        # answer that has begun but is not complete.
        if failure is not None and not context.answer_started:
            await self._send_error(
                send, request_id, failure, context.maybe_sent
            )

    async def _send_health(self, path: bytes, send: answers.Send) -> None:
        ready = path == b"/healthz" or not self._leaving
        body = b"ok\n" if ready else b"leaving\n"
        headers = [(b"content-length", b"%d" % len(body))]
        answer = answers.CompleteAnswer(200 if ready else 503, headers, body)
        await answers.send_complete(send, answer, [])

    async def _send_error(
        self,
        send: answers.Send,
        request_id: ids.RequestId,
        failure: errors.Failure,
        maybe_sent: bool,
    ) -> None:
        unknown = (
            maybe_sent or failure.kind is errors.ErrorKind.DUPLICATE_REQUEST
        )
        outcome = errors.Outcome.UNKNOWN if unknown else errors.Outcome.NOT_RUN
        answer = answers.build_error(failure, outcome, request_id)
        extra = [_CLOSE] if self._leaving else []
        await answers.send_complete(send, answer, extra)

    async def _admit(
        self,
        scope: caller_requests.Scope,
        context: request_context.RequestContext,
    ) -> errors.Failure | None:
        token = self._authenticate(scope["headers"])
        if isinstance(token, errors.Failure):
            return token
        service = context.request.service
        owner = self._fleet.owner_of(service)
        client = scope.get("client")
        address = client[0] if client else ""
        if token is None:
            # The firm is not part of the scope of a key then: entries may know
            # different owners of a service for a while, and a resend through
            # another entry would run again under its own claim.
            return await self._run_within_limits(context, address, "")
        if not _is_allowed(token, service, owner):
            return errors.Failure(
                errors.ErrorKind.FORBIDDEN,
                f"the token does not allow {service}",
            )
        context.firm = token.firm
        context.caller = token.name
        return await self._run_within_limits(
            context, address, f"token {token.name}"
        )

    async def _run_within_limits(
        self, context: request_context.RequestContext, address: str, token: str
    ) -> errors.Failure | None:
        callers = (address, token) if token else (address,)
        acquired = [
            name for name in callers if self._caller_limiter.try_acquire(name)
        ]
        try:
            if len(acquired) < len(callers):
                failure: errors.Failure | None = errors.Failure(
                    errors.ErrorKind.TOO_MANY_CONNECTIONS,
                    "too many requests of the caller are in flight",
                )
            else:
                failure = await self._run_until_deadline(context)
        finally:
            for name in acquired:
                self._caller_limiter.release(name)
        # Recording a metric for each request is too slow; `run` adds the
        # counts to the metrics.
        outcome = "answered" if failure is None else failure.kind.value
        label = self._metric_label(context.request.service)
        self._outcome_counts[label, outcome] += 1
        return failure

    def _metric_label(self, service: ids.ServiceId) -> str:
        """Returns a service's label; callers choose the names of services."""
        if service not in self._labelled_services:
            if len(self._labelled_services) >= _MAX_LABELLED_SERVICES:
                return _OTHER_SERVICES
            self._labelled_services.add(service)
        return service

    async def _run_until_deadline(
        self, context: request_context.RequestContext
    ) -> errors.Failure | None:
        failure: errors.Failure | None = None
        self._watch.add(context)
        try:
            # `_watch` sets the deadline of the scope.
            with context.cancel_scope:
                failure = await self._read_and_forward(context)
        finally:
            self._watch.remove(context)
        if not context.cancel_scope.cancelled_caught:
            return failure
        if context.body.disconnected:
            return errors.Failure(
                errors.ErrorKind.BAD_REQUEST, "the caller disconnected"
            )
        if context.maybe_sent:
            return errors.Failure(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                "the answer did not arrive before the deadline",
            )
        return errors.Failure(
            errors.ErrorKind.QUEUE_TIMEOUT,
            "the request was not sent before its deadline",
        )

    async def _read_and_forward(
        self, context: request_context.RequestContext
    ) -> errors.Failure | None:
        body = context.body
        if not body.complete:
            failure = await body.read_ahead(
                self._settings.routing.replay_body_bytes
            )
            if failure is not None:
                return failure
        head = caller_requests.build_head(
            context.request, len(body.buffered) if body.complete else None
        )
        if isinstance(head, errors.Failure):
            return head
        if context.request.key is not None:
            return await self._forward_once(context, head)
        result = await self._forward(context, head)
        return result if isinstance(result, errors.Failure) else None

    async def _forward(
        self, context: request_context.RequestContext, head: h11.Request
    ) -> answers.CompleteAnswer | errors.Failure | None:
        standing = self._fleet.standing_of(context.request.service)
        return await self._forwarder.forward(context, head, standing)

    async def _forward_once(
        self, context: request_context.RequestContext, head: h11.Request
    ) -> errors.Failure | None:
        replay_bytes = self._settings.routing.replay_body_bytes
        claim_request = claims_module.build_claim_request(
            context.firm,
            context.caller,
            context.request,
            context.body.buffered[:replay_bytes],
        )
        claim_result = await self._claims.claim(claim_request)
        if isinstance(claim_result, errors.Failure):
            return claim_result
        if isinstance(claim_result, claims_module.AlreadyClaimed):
            return await self._answer_resend(context, claim_result)
        try:
            result = await self._forward(context, head)
        finally:
            if not context.maybe_sent:
                with anyio.CancelScope(shield=True):
                    await self._claims.release(claim_request)
        if isinstance(result, errors.Failure):
            return result
        if result is not None:
            self._claims.store(claim_request, result)
        return None

    async def _answer_resend(
        self,
        context: request_context.RequestContext,
        existing: claims_module.AlreadyClaimed,
    ) -> errors.Failure | None:
        if existing.answer is None:
            return errors.Failure(
                errors.ErrorKind.DUPLICATE_REQUEST,
                "the key was used by a request whose answer is not known",
            )
        context.answer_started = True
        await answers.send_complete(
            context.send, existing.answer, context.extra_headers
        )
        return None


def _build_abort_failure(
    error: BaseException, maybe_sent: bool
) -> errors.Failure:
    """Returns why a request ended by an exception.

    The server cancels requests that outlast the stop of the entry.
    """
    if isinstance(error, Exception):
        return errors.Failure(
            errors.ErrorKind.INTERNAL, "the request failed unexpectedly"
        )
    kind = errors.ErrorKind.LEAVING
    if maybe_sent:
        kind = errors.ErrorKind.UNDECIDED
    return errors.Failure(kind, "the entry stopped before the request ended")


def _is_allowed(
    token: settings_module.Token,
    service: ids.ServiceId,
    owner: ids.FirmId | None,
) -> bool:
    if token.role not in _CALLER_ROLES:
        return False
    # A token that names a service may call it even if another firm owns it:
    # competing firms share the services of one platform.
    if token.services:
        return service in token.services
    return token.firm in ("*", owner)
