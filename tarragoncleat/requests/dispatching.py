"""Admission queue of requests, and leases of upstream slots."""

from collections.abc import Callable, Sequence
import dataclasses
from typing import Protocol

import anyio

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import metrics as metrics_module
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.requests import limits
from tarragoncleat.requests import routing
from tarragoncleat.state import profiles

__all__ = ["Dispatcher", "Lease", "LeaseRequest", "UpstreamSource"]

_MS_PER_S = 1000


class UpstreamSource(Protocol):
    """The part of the membership that the request path uses."""

    def candidates(self, service: ids.ServiceId) -> Sequence[routing.Upstream]:
        """Returns the upstreams that may receive caller traffic now."""

    def report_in_flight(
        self, upstream_id: ids.UpstreamId, in_flight: int
    ) -> None:
        """Sets this entry's in-flight count, which other entries receive."""

    def report_suspect(self, upstream_id: ids.UpstreamId) -> None:
        """Withholds an upstream until a probe connects to it."""

    def in_flight_elsewhere(self, upstream_id: ids.UpstreamId) -> int:
        """Returns the in-flight count that the other entries last reported."""

    def live_entries(self) -> int:
        """Returns the number of live entries, this one included."""


@dataclasses.dataclass(slots=True)
class LeaseRequest:
    """A request for a slot of one of a service's upstreams.

    Attributes:
        service: Service that is called.
        standing: Standing of the service's profile.
        excluded: Upstreams that have been tried.
    """

    service: ids.ServiceId
    standing: profiles.Standing
    excluded: frozenset[ids.UpstreamId] = frozenset()


@dataclasses.dataclass(slots=True, eq=False)
class Lease:
    """One slot of an upstream, held until it is released."""

    service: ids.ServiceId
    upstream: routing.Upstream


class _Waiter:
    """A queued request for a lease."""

    __slots__ = ("lease_request", "event", "result")

    def __init__(self, lease_request: LeaseRequest):
        self.lease_request = lease_request
        self.event = anyio.Event()
        self.result: Lease | errors.Failure | None = None

    def resolve(self, result: Lease | errors.Failure) -> None:
        self.result = result
        self.event.set()


class Dispatcher:
    """Leases the slots of the upstreams, highest standing first."""

    def __init__(
        self,
        settings: settings_module.Settings,
        timer: timer_module.TimerService,
        metrics: metrics_module.Metrics,
        upstreams: UpstreamSource,
    ):
        """Creates a dispatcher without requests in flight."""
        self._routing = settings.routing
        self._zone = settings.availability_zone
        self._timer = timer
        self._metrics = metrics
        self._upstreams = upstreams
        self._queue_timeout_s = settings.routing.queue_timeout_ms / _MS_PER_S
        self._routers: dict[ids.ServiceId, routing.ServiceRouter] = {}
        self._queue = limits.AdmissionQueue(
            settings.routing.queue_length, settings.routing.max_queued
        )
        self._waiters: dict[limits.Ticket, _Waiter] = {}
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Requests that hold an upstream slot."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    async def acquire(
        self, lease_request: LeaseRequest
    ) -> Lease | errors.Failure:
        """Returns a lease, after waiting in the queue if necessary."""
        candidates = self._upstreams.candidates(lease_request.service)
        if not candidates or not self._has_untried(lease_request, candidates):
            return errors.Failure(
                errors.ErrorKind.NO_UPSTREAM,
                f"no upstream of {lease_request.service} is available",
            )
        if not len(self._queue):
            lease = self._try_lease(lease_request, candidates)
            if lease is not None:
                return lease
        return await self._wait(lease_request)

    def release(self, lease: Lease) -> None:
        """Releases a slot and grants leases to waiting requests."""
        router = self._routers[lease.service]
        upstream_id = lease.upstream.upstream_id
        remaining = router.release(upstream_id)
        self._in_flight -= 1
        self._upstreams.report_in_flight(upstream_id, remaining)
        if len(self._queue):
            self.serve_waiting()

    def record_success(self, lease: Lease) -> None:
        """Records that the upstream answered."""
        self._routers[lease.service].record_success(lease.upstream.upstream_id)

    def record_failure(self, lease: Lease) -> None:
        """Records that the upstream failed; it may be ejected."""
        router = self._routers[lease.service]
        now_s = self._timer.monotonic_s()
        if router.record_failure(lease.upstream.upstream_id, now_s):
            self._metrics.count_ejection(lease.service)

    def record_connect_failure(self, lease: Lease) -> None:
        """Records that connecting to the upstream failed."""
        self.record_failure(lease)
        self._upstreams.report_suspect(lease.upstream.upstream_id)

    def max_idle_connections(self, upstream: routing.Upstream) -> int:
        """Returns how many idle connections this entry may keep.

        The sum over all entries stays within the upstream's connections.
        """
        share = upstream.connections // max(1, self._upstreams.live_entries())
        return max(1, share)

    def serve_waiting(self) -> None:
        """Grants leases to waiting requests while slots are free."""
        progress = True
        while progress:
            progress = False
            for ticket in self._queue.heads():
                waiter = self._waiters[ticket]
                candidates = self._upstreams.candidates(ticket.service)
                lease = self._try_lease(waiter.lease_request, candidates)
                if lease is not None:
                    self._queue.remove(ticket)
                    waiter.resolve(lease)
                    progress = True
                    break

    def prune_routers(self) -> None:
        """Drops the routing state of upstreams that are not candidates."""
        for service, router in self._routers.items():
            candidates = self._upstreams.candidates(service)
            router.prune(frozenset(c.upstream_id for c in candidates))

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        now_s = self._timer.monotonic_s()
        return {
            "in_flight": self._in_flight,
            "queued": len(self._queue),
            "services": {
                service: router.dump(now_s)
                for service, router in self._routers.items()
            },
        }

    def _router(self, service: ids.ServiceId) -> routing.ServiceRouter:
        router = self._routers.get(service)
        if router is None:
            router = routing.ServiceRouter(self._routing, self._zone)
            self._routers[service] = router
        return router

    def _has_untried(
        self,
        lease_request: LeaseRequest,
        candidates: Sequence[routing.Upstream],
    ) -> bool:
        # A retry doesn't wait for an ejected upstream to return.
        return not lease_request.excluded or self._router(
            lease_request.service
        ).has_untried(
            candidates, self._timer.monotonic_s(), lease_request.excluded
        )

    def _try_lease(
        self,
        lease_request: LeaseRequest,
        candidates: Sequence[routing.Upstream],
    ) -> Lease | None:
        if self._in_flight >= self._routing.max_in_flight:
            return None
        router = self._router(lease_request.service)
        in_flight_elsewhere: Callable[[ids.UpstreamId], int]
        in_flight_elsewhere = self._upstreams.in_flight_elsewhere
        upstream = router.choose(
            candidates,
            in_flight_elsewhere,
            self._upstreams.live_entries(),
            self._timer.monotonic_s(),
            lease_request.excluded,
        )
        if upstream is None:
            return None
        upstream_id = upstream.upstream_id
        self._in_flight += 1
        self._upstreams.report_in_flight(
            upstream_id, router.acquire(upstream_id)
        )
        return Lease(lease_request.service, upstream)

    async def _wait(
        self, lease_request: LeaseRequest
    ) -> Lease | errors.Failure:
        ticket, evicted = self._queue.enqueue(
            lease_request.service, lease_request.standing
        )
        if evicted is not None:
            self._waiters[evicted].resolve(_overloaded(evicted.service))
        if ticket is None:
            return _overloaded(lease_request.service)
        waiter = _Waiter(lease_request)
        self._waiters[ticket] = waiter
        started_s = self._timer.monotonic_s()
        self.serve_waiting()
        wait_finished = False
        try:
            with anyio.move_on_after(self._queue_timeout_s):
                await waiter.event.wait()
            wait_finished = True
        finally:
            del self._waiters[ticket]
            self._queue.remove(ticket)
            if not wait_finished and isinstance(waiter.result, Lease):
                self.release(waiter.result)
        waited_ms = (self._timer.monotonic_s() - started_s) * _MS_PER_S
        self._metrics.record_queue_time(lease_request.service, waited_ms)
        if waiter.result is None:
            return errors.Failure(
                errors.ErrorKind.QUEUE_TIMEOUT,
                f"no upstream of {lease_request.service} was free in time",
            )
        return waiter.result


def _overloaded(service: ids.ServiceId) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.OVERLOADED, f"too many requests wait for {service}"
    )
