"""Choice of an upstream: load, availability zones, ejection, slow start.

Nothing here performs I/O or reads a clock; the time is an argument.
"""

from collections.abc import Callable, Sequence
import dataclasses
from typing import Protocol, TypeVar

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.requests import limits

__all__ = ["ServiceRouter", "Upstream", "start_weight"]

_MS_PER_S = 1000
# A returning upstream gets at least this share, so that it is tried at all.
_MIN_START_WEIGHT = 0.1
_NEVER_S = float("-inf")
_MAX_DOUBLINGS = 32


class Upstream(Protocol):
    """What the choice needs to know of an upstream."""

    @property
    def upstream_id(self) -> ids.UpstreamId:
        """Id of the upstream."""

    @property
    def host(self) -> str:
        """IP number."""

    @property
    def port(self) -> int:
        """TCP port."""

    @property
    def availability_zone(self) -> ids.AvailabilityZone:
        """Where the upstream runs."""

    @property
    def slots(self) -> int:
        """Requests that it runs at the same time."""

    @property
    def connections(self) -> int:
        """Connections that it accepts."""

    @property
    def returned_at_s(self) -> float:
        """Monotonic time at which it was announced or came back."""


_Upstream = TypeVar("_Upstream", bound=Upstream)


def start_weight(
    now_s: float, returned_at_s: float, slow_start_s: float
) -> float:
    """Returns the share of its slots that a returning upstream counts with."""
    if slow_start_s <= 0:
        return 1.0
    return min(
        1.0, max(_MIN_START_WEIGHT, (now_s - returned_at_s) / slow_start_s)
    )


@dataclasses.dataclass(slots=True)
class _Use:
    """What this entry knows of its own use of one upstream."""

    in_flight: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = _NEVER_S
    chosen: int = 0


class ServiceRouter:
    """Chooses among the upstreams of one service."""

    def __init__(
        self,
        routing: settings_module.RoutingSettings,
        availability_zone: ids.AvailabilityZone,
    ):
        """Creates a router that has seen no upstream."""
        self._routing = routing
        self._availability_zone = availability_zone
        self._slow_start_s = routing.slow_start_ms / _MS_PER_S
        self._uses: dict[ids.UpstreamId, _Use] = {}
        self._choices = 0
        self._last_ejection_end_s = _NEVER_S

    def choose(
        self,
        candidates: Sequence[_Upstream],
        elsewhere: Callable[[ids.UpstreamId], int],
        live_entries: int,
        now_s: float,
        excluded: frozenset[ids.UpstreamId] = frozenset(),
    ) -> _Upstream | None:
        """Returns the least loaded upstream that has a free slot, or None.

        Upstreams of the own availability zone win until the zone's load
        reaches `zone_spill_load`. Among equals the least recently chosen
        wins.
        """
        ejected = self.ejected(candidates, now_s)
        best = best_local = None
        best_key = best_local_key = (float("inf"), 0)
        zone_used = zone_slots = 0
        for candidate in candidates:
            upstream_id = candidate.upstream_id
            if upstream_id in ejected:
                continue
            use = self._use(upstream_id)
            used_elsewhere = elsewhere(upstream_id)
            used = use.in_flight + used_elsewhere
            local = candidate.availability_zone == self._availability_zone
            if local:
                zone_used += used
                zone_slots += candidate.slots
            if upstream_id in excluded or use.in_flight >= self._limit(
                candidate, live_entries, used_elsewhere
            ):
                continue
            weight = self._weight(candidate, use, now_s)
            key = (used / (candidate.slots * weight), use.chosen)
            if key < best_key:
                best, best_key = candidate, key
            if local and key < best_local_key:
                best_local, best_local_key = candidate, key
        spill = self._routing.zone_spill_load
        if best_local is not None and zone_used < spill * zone_slots:
            return best_local
        return best

    def ejected(
        self, candidates: Sequence[Upstream], now_s: float
    ) -> frozenset[ids.UpstreamId]:
        """Returns the ejected upstreams, at most half of the candidates.

        When more are ejected, those whose ejection ends last stay out.
        """
        if now_s >= self._last_ejection_end_s:
            return frozenset()
        ends = []
        for candidate in candidates:
            use = self._use(candidate.upstream_id)
            if use.ejected_until_s > now_s:
                ends.append((use.ejected_until_s, candidate.upstream_id))
        ends.sort(reverse=True)
        return frozenset(name for _, name in ends[: len(candidates) // 2])

    def has_other(
        self,
        candidates: Sequence[Upstream],
        now_s: float,
        excluded: frozenset[ids.UpstreamId],
    ) -> bool:
        """Returns whether an upstream is left, be it free or busy."""
        tried = excluded | self.ejected(candidates, now_s)
        return any(c.upstream_id not in tried for c in candidates)

    def take(self, upstream_id: ids.UpstreamId) -> int:
        """Counts a request as in flight and returns how many there are."""
        use = self._use(upstream_id)
        use.in_flight += 1
        self._choices += 1
        use.chosen = self._choices
        return use.in_flight

    def release(self, upstream_id: ids.UpstreamId) -> int:
        """Counts a request as finished and returns how many are left."""
        use = self._use(upstream_id)
        use.in_flight -= 1
        return use.in_flight

    def in_flight(self, upstream_id: ids.UpstreamId) -> int:
        """Returns how many requests of this entry an upstream has."""
        return self._use(upstream_id).in_flight

    def record_success(self, upstream_id: ids.UpstreamId) -> None:
        """Ends a run of failures."""
        use = self._use(upstream_id)
        use.failures = 0
        use.ejections = 0

    def record_failure(self, upstream_id: ids.UpstreamId, now_s: float) -> bool:
        """Counts a failure; returns whether it ejected the upstream."""
        use = self._use(upstream_id)
        if use.ejected_until_s > now_s:
            return False
        use.failures += 1
        # After an ejection one further failure is enough.
        if use.failures < self._routing.eject_after_failures and (
            use.ejections == 0
        ):
            return False
        doublings = min(use.ejections, _MAX_DOUBLINGS)
        length_ms = min(
            self._routing.eject_max_ms,
            self._routing.eject_min_ms * 2**doublings,
        )
        use.ejected_until_s = now_s + length_ms / _MS_PER_S
        use.ejections += 1
        use.failures = 0
        self._last_ejection_end_s = max(
            self._last_ejection_end_s, use.ejected_until_s
        )
        return True

    def forget(self, known: frozenset[ids.UpstreamId]) -> None:
        """Drops what is known of upstreams that are gone and unused."""
        for upstream_id in list(self._uses):
            unused = self._uses[upstream_id].in_flight == 0
            if unused and upstream_id not in known:
                del self._uses[upstream_id]

    def dump(self, now_s: float) -> dict:
        """Returns the state by upstream for the state dump."""
        return {
            name: {
                "in_flight": use.in_flight,
                "failures": use.failures,
                "ejected_for_s": max(0.0, use.ejected_until_s - now_s),
            }
            for name, use in self._uses.items()
        }

    def _use(self, upstream_id: ids.UpstreamId) -> _Use:
        use = self._uses.get(upstream_id)
        if use is None:
            use = self._uses[upstream_id] = _Use()
        return use

    def _limit(
        self, candidate: Upstream, live_entries: int, elsewhere: int
    ) -> int:
        if not elsewhere:
            return min(candidate.slots, candidate.connections)
        return min(
            limits.entry_share(candidate.slots, live_entries, elsewhere),
            limits.entry_share(candidate.connections, live_entries, elsewhere),
        )

    def _weight(self, candidate: Upstream, use: _Use, now_s: float) -> float:
        returned_at_s = max(candidate.returned_at_s, use.ejected_until_s)
        if now_s - returned_at_s >= self._slow_start_s:
            return 1.0
        return start_weight(now_s, returned_at_s, self._slow_start_s)
