"""Forwarding of a request: attempts, retries and what became of them."""

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
from tarragoncleat.requests import upstream_connections
from tarragoncleat.requests import visits
from tarragoncleat.state import profiles

__all__ = ["Forwarder"]

_MS_PER_S = 1000
# Failures of the upstream; all others are the caller's.
_RETRIABLE = frozenset(
    {errors.ErrorKind.UPSTREAM_FAILED, errors.ErrorKind.UPSTREAM_REFUSED}
)


@dataclasses.dataclass(slots=True)
class _Attempt:
    """What became of one attempt.

    Attributes:
        failure: None when the caller has the whole answer.
        answer: The answer, if it is complete and small.
        retry_free: Whether nothing can have reached the upstream.
        retry_paid: Whether a retry is safe but counts on the budget.
    """

    failure: errors.Failure | None
    answer: answers.CompleteAnswer | None = None
    retry_free: bool = False
    retry_paid: bool = False


class Forwarder:
    """Sends requests to upstreams until one answers."""

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
        self._budget = limits.RetryBudget(
            settings.routing.retry_fraction,
            settings.routing.retry_floor_per_s,
            timer.monotonic_s(),
        )

    async def forward(
        self,
        visit: visits.Visit,
        head: h11.Request,
        standing: profiles.Standing,
    ) -> answers.CompleteAnswer | errors.Failure | None:
        """Forwards a request and its answer.

        Returns:
            A failure that the caller has to be told, unless the answer has
            begun; otherwise the answer if the request has a key and the answer
            is small, or None.
        """
        self._budget.add_fresh()
        service = visit.request.service
        demand = dispatching.Demand(service, standing)
        last: errors.Failure | None = None
        while True:
            lease = await self._dispatcher.acquire(demand)
            if isinstance(lease, errors.Failure):
                return lease if last is None else last
            try:
                attempt = await self._attempt(visit, head, lease)
            finally:
                self._dispatcher.release(lease)
            if attempt.failure is None:
                return attempt.answer
            last = attempt.failure
            if not self._may_retry(visit, attempt):
                return last
            self._metrics.count_retry(service)
            demand = dataclasses.replace(
                demand,
                excluded=demand.excluded | {lease.upstream.upstream_id},
            )

    def _may_retry(self, visit: visits.Visit, attempt: _Attempt) -> bool:
        replayable = visit.body.replayable and not visit.body.disconnected
        if visit.answering or not replayable:
            return False
        if attempt.failure is None or attempt.failure.kind not in _RETRIABLE:
            return False
        if attempt.retry_free:
            return True
        return attempt.retry_paid and self._budget.take(
            self._timer.monotonic_s()
        )

    async def _attempt(
        self,
        visit: visits.Visit,
        head: h11.Request,
        lease: dispatching.Lease,
    ) -> _Attempt:
        idempotent = visit.request.idempotent
        connection = await self._pool.check_out(
            lease.upstream, fresh=not idempotent
        )
        if isinstance(connection, errors.Failure):
            self._pool.close_idle(lease.upstream)
            self._dispatcher.record_connect_failure(lease)
            return _Attempt(connection, retry_free=True)
        exchange = exchanges.Exchange(
            connection,
            visit,
            head,
            self._keep_bytes if visit.request.key is not None else 0,
        )
        visit.started = True
        ended = False
        try:
            failure = await exchange.run()
            ended = failure is None or exchange.refused
        except anyio.get_cancelled_exc_class():
            if self._is_upstream_late(visit):
                self._note_failure(lease)
            raise
        finally:
            if connection.wrote and not exchange.refused:
                visit.sent = True
            if ended:
                limit = self._dispatcher.idle_limit(lease.upstream)
                self._pool.check_in(connection, limit)
            else:
                connection.close()
        if failure is None:
            self._dispatcher.record_success(lease)
            return _Attempt(None, exchange.take_answer())
        self._judge(lease, connection, failure)
        return _Attempt(
            failure,
            retry_free=not connection.wrote,
            retry_paid=idempotent or exchange.refused,
        )

    def _is_upstream_late(self, visit: visits.Visit) -> bool:
        # A shorter deadline of the caller's choice says nothing about the
        # upstream.
        ample = visit.request.deadline_s >= self._default_deadline_s
        late_s = visit.arrived_s + visit.request.deadline_s
        return ample and self._timer.monotonic_s() >= late_s

    def _judge(
        self,
        lease: dispatching.Lease,
        connection: upstream_connections.Connection,
        failure: errors.Failure,
    ) -> None:
        if failure.kind not in _RETRIABLE:
            return
        if connection.reused and not connection.read:
            # An upstream may close an idle connection at any time.
            self._pool.close_idle(lease.upstream)
            return
        self._note_failure(lease)

    def _note_failure(self, lease: dispatching.Lease) -> None:
        self._pool.close_idle(lease.upstream)
        self._dispatcher.record_failure(lease)
