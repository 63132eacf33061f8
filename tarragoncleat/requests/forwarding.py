"""Forwarding of a request to upstreams, with retries."""

import dataclasses

import anyio
import h11

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import metrics as metrics_module
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.requests import answers
from tarragoncleat.requests import dispatching
from tarragoncleat.requests import exchanges
from tarragoncleat.requests import limits
from tarragoncleat.requests import request_context
from tarragoncleat.requests import upstream_connections
from tarragoncleat.state import profiles

__all__ = ["Forwarder"]

_MS_PER_S = 1000
# All other failures are the caller's.
_UPSTREAM_FAILURES = frozenset(
    {errors.ErrorKind.UPSTREAM_FAILED, errors.ErrorKind.UPSTREAM_REFUSED}
)


@dataclasses.dataclass(slots=True)
class _AttemptResult:
    """Result of one attempt.

    Attributes:
        failure: None when the whole answer was sent to the caller.
        answer: The answer, if it is complete and small.
        nothing_sent: Whether nothing can have reached the upstream; a retry
            then doesn't count against the retry budget.
        safe_to_retry: Whether a retry is safe within the retry budget.
    """

    failure: errors.Failure | None
    answer: answers.CompleteAnswer | None = None
    nothing_sent: bool = False
    safe_to_retry: bool = False


class Forwarder:
    """Sends a request to one upstream after another until one answers."""

    def __init__(
        self,
        settings: settings_module.Settings,
        timer: timer_module.TimerService,
        metrics: metrics_module.Metrics,
        dispatcher: dispatching.Dispatcher,
        pool: upstream_connections.ConnectionPool,
    ):
        """Creates a forwarder with a full retry budget."""
        self._timer = timer
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._pool = pool
        self._default_deadline_s = (
            settings.routing.default_deadline_ms / _MS_PER_S
        )
        self._keep_bytes = settings.claims.stored_answer_bytes
        self._retry_budget = limits.RetryBudget(
            settings.routing.retry_fraction,
            settings.routing.retry_floor_per_s,
            timer.monotonic_s(),
        )

    async def forward(
        self,
        context: request_context.RequestContext,
        head: h11.Request,
        standing: profiles.Standing,
    ) -> answers.CompleteAnswer | errors.Failure | None:
        """Forwards a request and its answer.

        Returns:
            A failure, to be reported to the caller unless the answer has
            begun; otherwise the answer if the request has a key and the answer
            is small, or None.
        """
        self._retry_budget.add_request()
        service = context.request.service
        lease_request = dispatching.LeaseRequest(service, standing)
        last_failure: errors.Failure | None = None
        while True:
            lease = await self._dispatcher.acquire(lease_request)
            if isinstance(lease, errors.Failure):
                return lease if last_failure is None else last_failure
            try:
                attempt = await self._attempt(context, head, lease)
            finally:
                self._dispatcher.release(lease)
            if attempt.failure is None:
                return attempt.answer
            last_failure = attempt.failure
            if not self._may_retry(context, attempt):
                return last_failure
            self._metrics.count_retry(service)
            lease_request = dataclasses.replace(
                lease_request,
                excluded=lease_request.excluded | {lease.upstream.upstream_id},
            )

    def _may_retry(
        self, context: request_context.RequestContext, attempt: _AttemptResult
    ) -> bool:
        replayable = context.body.replayable and not context.body.disconnected
        if context.answer_started or not replayable:
            return False
        if (
            attempt.failure is None
            or attempt.failure.kind not in _UPSTREAM_FAILURES
        ):
            return False
        if attempt.nothing_sent:
            return True
        return attempt.safe_to_retry and self._retry_budget.try_spend(
            self._timer.monotonic_s()
        )

    async def _attempt(
        self,
        context: request_context.RequestContext,
        head: h11.Request,
        lease: dispatching.Lease,
    ) -> _AttemptResult:
        idempotent = context.request.idempotent
        connection = await self._pool.check_out(
            lease.upstream, fresh=not idempotent
        )
        if isinstance(connection, errors.Failure):
            self._pool.close_idle(lease.upstream)
            self._dispatcher.record_connect_failure(lease)
            return _AttemptResult(connection, nothing_sent=True)
        exchange = exchanges.Exchange(
            connection,
            context,
            head,
            self._keep_bytes if context.request.key is not None else 0,
        )
        context.attempted = True
        completed = False
        try:
            failure = await exchange.run()
            completed = failure is None or exchange.refused
        except anyio.get_cancelled_exc_class():
            if self._exceeded_default_deadline(context):
                self._record_upstream_failure(lease)
            raise
        finally:
            if connection.has_sent and not exchange.refused:
                context.maybe_sent = True
            if completed:
                max_idle = self._dispatcher.max_idle_connections(lease.upstream)
                self._pool.check_in(connection, max_idle)
            else:
                connection.close()
        if failure is None:
            self._dispatcher.record_success(lease)
            return _AttemptResult(None, exchange.get_kept_answer())
        self._handle_failure(lease, connection, failure)
        return _AttemptResult(
            failure,
            nothing_sent=not connection.has_sent,
            safe_to_retry=idempotent or exchange.refused,
        )

    def _exceeded_default_deadline(
        self, context: request_context.RequestContext
    ) -> bool:
        # A timeout counts as the upstream's failure only if the caller didn't
        # set a shorter deadline.
        is_long_enough = context.request.deadline_s >= self._default_deadline_s
        deadline_at_s = context.arrived_at_s + context.request.deadline_s
        return is_long_enough and self._timer.monotonic_s() >= deadline_at_s

    def _handle_failure(
        self,
        lease: dispatching.Lease,
        connection: upstream_connections.Connection,
        failure: errors.Failure,
    ) -> None:
        if failure.kind not in _UPSTREAM_FAILURES:
            return
        if connection.reused and not connection.has_received:
            # An upstream may close an idle connection at any time.
            self._pool.close_idle(lease.upstream)
            return
        self._record_upstream_failure(lease)

    def _record_upstream_failure(self, lease: dispatching.Lease) -> None:
        self._pool.close_idle(lease.upstream)
        self._dispatcher.record_failure(lease)
