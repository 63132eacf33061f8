"""Admission of requests and leases of upstream slots."""

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

__all__ = ["Demand", "Dispatcher", "Lease", "UpstreamSource"]

_MS_PER_S = 1000


class UpstreamSource(Protocol):
    """The part of the membership that the request path uses."""

    def candidates(self, service: ids.ServiceId) -> Sequence[routing.Upstream]:
        """Returns the upstreams that may receive caller traffic now."""

    def report_in_flight(
        self, upstream_id: ids.UpstreamId, in_flight: int
    ) -> None:
        """Takes this entry's in-flight count for the other entries."""

    def report_suspect(self, upstream_id: ids.UpstreamId) -> None:
        """Withholds an upstream until a probe connects to it."""

    def in_flight_elsewhere(self, upstream_id: ids.UpstreamId) -> int:
        """Returns what the other entries last reported."""

    def live_entries(self) -> int:
        """Returns how many entries are alive, this one included."""


@dataclasses.dataclass(slots=True)
class Demand:
    """What a request needs from the dispatcher.

    Attributes:
        service: Service that is called.
        standing: Standing of the service's profile.
        excluded: Upstreams that were tried already.
    """

    service: ids.ServiceId
    standing: profiles.Standing
    excluded: frozenset[ids.UpstreamId] = frozenset()


@dataclasses.dataclass(slots=True, eq=False)
class Lease:
    """One slot of an upstream, held until it is given back."""

    service: ids.ServiceId
    upstream: routing.Upstream


class _Waiter:
    """A request that waits for a lease or for its refusal."""

    __slots__ = ("demand", "event", "result")

    def __init__(self, demand: Demand):
        self.demand = demand
        self.event = anyio.Event()
        self.result: Lease | errors.Failure | None = None

    def settle(self, result: Lease | errors.Failure) -> None:
        self.result = result
        self.event.set()


class Dispatcher:
    """Gives out the slots of the upstreams, best standing first."""

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

    async def acquire(self, demand: Demand) -> Lease | errors.Failure:
        """Returns a lease, waiting for it in the queue if necessary."""
        candidates = self._upstreams.candidates(demand.service)
        if not candidates or not self._has_other(demand, candidates):
            return errors.Failure(
                errors.ErrorKind.NO_UPSTREAM,
                f"no upstream of {demand.service} is available",
            )
        if not len(self._queue):
            lease = self._try_lease(demand, candidates)
            if lease is not None:
                return lease
        return await self._wait(demand)

    def release(self, lease: Lease) -> None:
        """Gives a slot back and serves the requests that wait."""
        router = self._routers[lease.service]
        upstream_id = lease.upstream.upstream_id
        left = router.release(upstream_id)
        self._in_flight -= 1
        self._upstreams.report_in_flight(upstream_id, left)
        if len(self._queue):
            self.serve_waiting()

    def record_success(self, lease: Lease) -> None:
        """Notes that the upstream answered."""
        self._routers[lease.service].record_success(lease.upstream.upstream_id)

    def record_failure(self, lease: Lease) -> None:
        """Notes that the upstream failed; it may be ejected."""
        router = self._routers[lease.service]
        now_s = self._timer.monotonic_s()
        if router.record_failure(lease.upstream.upstream_id, now_s):
            self._metrics.count_ejection(lease.service)

    def record_connect_failure(self, lease: Lease) -> None:
        """Notes that no connection to the upstream could be opened."""
        self.record_failure(lease)
        self._upstreams.report_suspect(lease.upstream.upstream_id)

    def idle_limit(self, upstream: routing.Upstream) -> int:
        """Returns how many idle connections this entry may keep.

        All entries together stay within the upstream's connections.
        """
        share = upstream.connections // max(1, self._upstreams.live_entries())
        return max(1, share)

    def serve_waiting(self) -> None:
        """Grants leases while a waiting request can have one."""
        progress = True
        while progress:
            progress = False
            for ticket in self._queue.heads():
                waiter = self._waiters[ticket]
                candidates = self._upstreams.candidates(ticket.service)
                lease = self._try_lease(waiter.demand, candidates)
                if lease is not None:
                    self._queue.remove(ticket)
                    waiter.settle(lease)
                    progress = True
                    break

    def forget_gone(self) -> None:
        """Drops the routing state of upstreams that are gone."""
        for service, router in self._routers.items():
            candidates = self._upstreams.candidates(service)
            router.forget(frozenset(c.upstream_id for c in candidates))

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

    def _has_other(
        self, demand: Demand, candidates: Sequence[routing.Upstream]
    ) -> bool:
        # A retry doesn't wait for an upstream that is ejected.
        return not demand.excluded or self._router(demand.service).has_other(
            candidates, self._timer.monotonic_s(), demand.excluded
        )

    def _try_lease(
        self, demand: Demand, candidates: Sequence[routing.Upstream]
    ) -> Lease | None:
        if self._in_flight >= self._routing.max_in_flight:
            return None
        router = self._router(demand.service)
        elsewhere: Callable[[ids.UpstreamId], int]
        elsewhere = self._upstreams.in_flight_elsewhere
        upstream = router.choose(
            candidates,
            elsewhere,
            self._upstreams.live_entries(),
            self._timer.monotonic_s(),
            demand.excluded,
        )
        if upstream is None:
            return None
        upstream_id = upstream.upstream_id
        self._in_flight += 1
        self._upstreams.report_in_flight(upstream_id, router.take(upstream_id))
        return Lease(demand.service, upstream)

    async def _wait(self, demand: Demand) -> Lease | errors.Failure:
        ticket, evicted = self._queue.offer(demand.service, demand.standing)
        if evicted is not None:
            self._waiters[evicted].settle(_overloaded(evicted.service))
        if ticket is None:
            return _overloaded(demand.service)
        waiter = _Waiter(demand)
        self._waiters[ticket] = waiter
        started_s = self._timer.monotonic_s()
        self.serve_waiting()
        taken = False
        try:
            with anyio.move_on_after(self._queue_timeout_s):
                await waiter.event.wait()
            taken = True
        finally:
            del self._waiters[ticket]
            self._queue.remove(ticket)
            if not taken and isinstance(waiter.result, Lease):
                self.release(waiter.result)
        waited_ms = (self._timer.monotonic_s() - started_s) * _MS_PER_S
        self._metrics.record_queue_time(demand.service, waited_ms)
        if waiter.result is None:
            return errors.Failure(
                errors.ErrorKind.QUEUE_TIMEOUT,
                f"no upstream of {demand.service} was free in time",
            )
        return waiter.result


def _overloaded(service: ids.ServiceId) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.OVERLOADED, f"too many requests wait for {service}"
    )
