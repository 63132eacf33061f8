"""Choice of an upstream: load, availability zones, ejection, slow start.

This module performs no I/O and reads no clock; the time is an argument.
"""

from collections.abc import Callable, Sequence
import dataclasses
from typing import Protocol, TypeVar

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.requests import limits

__all__ = ["ServiceRouter", "Upstream", "slow_start_weight"]

_MS_PER_S = 1000
# An upstream in slow start gets at least this share, so that it is tried.
_MIN_START_WEIGHT = 0.1
_NEVER_S = float("-inf")
_MAX_DOUBLINGS = 32


class Upstream(Protocol):
    """The properties of an upstream that routing uses."""

    @property
    def upstream_id(self) -> ids.UpstreamId:
        """Id of the upstream."""

    @property
    def host(self) -> str:
        """IP address."""

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
        """Monotonic time at which it last became usable."""


_Upstream = TypeVar("_Upstream", bound=Upstream)


def slow_start_weight(
    now_s: float, returned_at_s: float, slow_start_s: float
) -> float:
    """Returns the share of its slots that a returning upstream counts with."""
    if slow_start_s <= 0:
        return 1.0
    return min(
        1.0, max(_MIN_START_WEIGHT, (now_s - returned_at_s) / slow_start_s)
    )


@dataclasses.dataclass(slots=True)
class _UpstreamStats:
    """This entry's statistics of one upstream."""

    in_flight: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = _NEVER_S
    last_chosen: int = 0


class ServiceRouter:
    """Chooses among the upstreams of one service."""

    def __init__(
        self,
        routing: settings_module.RoutingSettings,
        availability_zone: ids.AvailabilityZone,
    ):
        """Creates a router without statistics."""
        self._routing = routing
        self._availability_zone = availability_zone
        self._slow_start_s = routing.slow_start_ms / _MS_PER_S
        self._stats_by_upstream: dict[ids.UpstreamId, _UpstreamStats] = {}
        self._choice_count = 0
        self._last_ejection_end_s = _NEVER_S

    def choose(
        self,
        candidates: Sequence[_Upstream],
        in_flight_elsewhere: Callable[[ids.UpstreamId], int],
        live_entries: int,
        now_s: float,
        excluded: frozenset[ids.UpstreamId] = frozenset(),
    ) -> _Upstream | None:
        """Returns the least loaded upstream that has a free slot, or None.

        Upstreams of the own availability zone are preferred until the zone's
        load reaches `zone_spill_load`. Among equally loaded upstreams, the
        least recently chosen one is returned.
        """
        ejected = self.ejected(candidates, now_s)
        best = best_local = None
        best_key = best_local_key = (float("inf"), 0)
        zone_used = zone_slots = 0
        for candidate in candidates:
            upstream_id = candidate.upstream_id
            if upstream_id in ejected:
                continue
            stats = self._stats(upstream_id)
            used_elsewhere = in_flight_elsewhere(upstream_id)
            used = stats.in_flight + used_elsewhere
            local = candidate.availability_zone == self._availability_zone
            if local:
                zone_used += used
                zone_slots += candidate.slots
            if upstream_id in excluded or stats.in_flight >= self._limit(
                candidate, live_entries, used_elsewhere
            ):
                continue
            weight = self._weight(candidate, stats, now_s)
            key = (used / (candidate.slots * weight), stats.last_chosen)
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

        When more were ejected, those whose ejection ends last stay ejected.
        """
        if now_s >= self._last_ejection_end_s:
            return frozenset()
        ends = []
        for candidate in candidates:
            stats = self._stats(candidate.upstream_id)
            if stats.ejected_until_s > now_s:
                ends.append((stats.ejected_until_s, candidate.upstream_id))
        ends.sort(reverse=True)
        return frozenset(
            upstream_id for _, upstream_id in ends[: len(candidates) // 2]
        )

    def has_untried(
        self,
        candidates: Sequence[Upstream],
        now_s: float,
        excluded: frozenset[ids.UpstreamId],
    ) -> bool:
        """Returns whether an upstream is left to try, even if it is busy."""
        tried = excluded | self.ejected(candidates, now_s)
        return any(c.upstream_id not in tried for c in candidates)

    def acquire(self, upstream_id: ids.UpstreamId) -> int:
        """Counts a request as in flight; returns the new count."""
        stats = self._stats(upstream_id)
        stats.in_flight += 1
        self._choice_count += 1
        stats.last_chosen = self._choice_count
        return stats.in_flight

    def release(self, upstream_id: ids.UpstreamId) -> int:
        """Counts a request as finished; returns the new count."""
        stats = self._stats(upstream_id)
        stats.in_flight -= 1
        return stats.in_flight

    def in_flight(self, upstream_id: ids.UpstreamId) -> int:
        """Returns how many requests this entry has in flight at an upstream."""
        return self._stats(upstream_id).in_flight

    def record_success(self, upstream_id: ids.UpstreamId) -> None:
        """Resets the counts of failures and ejections."""
        stats = self._stats(upstream_id)
        stats.failures = 0
        stats.ejections = 0

    def record_failure(self, upstream_id: ids.UpstreamId, now_s: float) -> bool:
        """Counts a failure; returns whether it ejected the upstream."""
        stats = self._stats(upstream_id)
        if stats.ejected_until_s > now_s:
            return False
        stats.failures += 1
        # After an ejection one further failure is enough.
        if stats.failures < self._routing.eject_after_failures and (
            stats.ejections == 0
        ):
            return False
        doublings = min(stats.ejections, _MAX_DOUBLINGS)
        length_ms = min(
            self._routing.eject_max_ms,
            self._routing.eject_min_ms * 2**doublings,
        )
        stats.ejected_until_s = now_s + length_ms / _MS_PER_S
        stats.ejections += 1
        stats.failures = 0
        self._last_ejection_end_s = max(
            self._last_ejection_end_s, stats.ejected_until_s
        )
        return True

    def prune(self, current: frozenset[ids.UpstreamId]) -> None:
        """Drops statistics of unused upstreams that are not in `current`."""
        for upstream_id in list(self._stats_by_upstream):
            unused = self._stats_by_upstream[upstream_id].in_flight == 0
            if unused and upstream_id not in current:
                del self._stats_by_upstream[upstream_id]

    def dump(self, now_s: float) -> dict:
        """Returns the state by upstream for the state dump."""
        return {
            upstream_id: {
                "in_flight": stats.in_flight,
                "failures": stats.failures,
                "ejected_for_s": max(0.0, stats.ejected_until_s - now_s),
            }
            for upstream_id, stats in self._stats_by_upstream.items()
        }

    def _stats(self, upstream_id: ids.UpstreamId) -> _UpstreamStats:
        stats = self._stats_by_upstream.get(upstream_id)
        if stats is None:
            stats = self._stats_by_upstream[upstream_id] = _UpstreamStats()
        return stats

    def _limit(
        self, candidate: Upstream, live_entries: int, in_flight_elsewhere: int
    ) -> int:
        if not in_flight_elsewhere:
            return min(candidate.slots, candidate.connections)
        return min(
            limits.entry_share(
                candidate.slots, live_entries, in_flight_elsewhere
            ),
            limits.entry_share(
                candidate.connections, live_entries, in_flight_elsewhere
            ),
        )

    def _weight(
        self, candidate: Upstream, stats: _UpstreamStats, now_s: float
    ) -> float:
        returned_at_s = max(candidate.returned_at_s, stats.ejected_until_s)
        if now_s - returned_at_s >= self._slow_start_s:
            return 1.0
        return slow_start_weight(now_s, returned_at_s, self._slow_start_s)
