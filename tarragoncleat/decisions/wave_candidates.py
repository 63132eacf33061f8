"""Selects the instances of one pool that a wave drains next.

`budget` decides how many instances a pool can spare; this module orders the
candidates and selects as many of them as the budget allows together.
"""

import collections
from collections.abc import Collection, Iterable, Sequence
import heapq

from tarragoncleat.decisions import fleet_view
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import budget
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = ["CandidateSelector"]

# A spare pool owes nothing, but draining all of it at once would leave no
# replacement for a failure.
_MAX_SPARE_POOL_FRACTION = 0.5

_Candidate = tuple[int, ids.InstanceId, pools.Instance]

_SELECTABLE_STATES = frozenset(
    {pools.InstanceState.IN_SERVICE, pools.InstanceState.QUARANTINED}
)


class CandidateSelector:
    """Selects instances of one pool for one wave after another."""

    def __init__(
        self,
        pool: fleet_view.PoolView,
        objectives: settings.ObjectiveSettings,
        now_ms: int,
    ) -> None:
        """Creates a selector for one round, with no instance selected yet."""
        self._pool = pool
        self._objectives = objectives
        self._now_ms = now_ms
        self._by_id = {item.instance_id: item for item in pool.instances}
        self._selected: list[ids.InstanceId] = []

    def select(
        self, candidates: Iterable[ids.InstanceId]
    ) -> list[ids.InstanceId]:
        """Returns the longest prefix of the best order that fits the budget."""
        available = [
            self._by_id[name]
            for name in candidates
            if self._is_available(self._by_id[name])
        ]
        unsettled = [item for item in available if not self._is_settled(item)]
        limit = self._limit() + len(unsettled)
        if not available or limit == 0:
            return []
        order = self._order(available, unsettled, limit)
        selected = order[: self._longest_allowed(order)]
        self._selected.extend(selected)
        return selected

    def blocked_reason(self, candidates: Collection[ids.InstanceId]) -> str:
        """Returns why no instance could be selected."""
        available = [
            name for name in candidates if self._is_available(self._by_id[name])
        ]
        if not available:
            return _states_reason([self._by_id[name] for name in candidates])
        profile = self._pool.profile
        if profile is None:
            return "half of the spare pool is out already"
        proposed = (*self._selected, available[0])
        failure = budget.check_drain(
            profile, self._pool.instances, proposed, self._now_ms
        )
        return "" if failure is None else failure.reason

    def _is_available(self, instance: pools.Instance) -> bool:
        return (
            instance.state in _SELECTABLE_STATES
            and instance.moving_to is None
            and instance.wave_id is None
            and instance.instance_id not in self._selected
        )

    def _is_settled(self, instance: pools.Instance) -> bool:
        profile = self._pool.profile
        if profile is None:
            return instance.state is pools.InstanceState.IN_SERVICE
        return budget.is_settled(instance, profile, self._now_ms)

    def _limit(self) -> int:
        profile = self._pool.profile
        if profile is None:
            return self._spare_limit()
        headroom = budget.headroom(profile, self._pool.instances, self._now_ms)
        return headroom.allowed

    def _spare_limit(self) -> int:
        members = self._pool.instances
        available = sum(item.state in _SELECTABLE_STATES for item in members)
        unavailable = len(members) - available
        max_selected = max(1, int(len(members) * _MAX_SPARE_POOL_FRACTION))
        return max(0, max_selected - unavailable - len(self._selected))

    def _longest_allowed(self, order: Sequence[ids.InstanceId]) -> int:
        """Finds by bisection the longest prefix that the budget allows.

        Each further instance lowers the settled count by one and the reserve
        by at most one, so that an allowed length implies all shorter ones.
        """
        if self._pool.profile is None:
            return min(len(order), self._spare_limit())
        if self._budget_allows(order):
            return len(order)
        low, high = 0, len(order) - 1
        while low < high:
            middle = (low + high + 1) // 2
            if self._budget_allows(order[:middle]):
                low = middle
            else:
                high = middle - 1
        return low

    def _budget_allows(self, further: Sequence[ids.InstanceId]) -> bool:
        profile = self._pool.profile
        assert profile is not None
        proposed = (*self._selected, *further)
        members = self._pool.instances
        return (
            budget.check_drain(profile, members, proposed, self._now_ms) is None
        )

    def _order(
        self,
        available: Sequence[pools.Instance],
        unsettled: Sequence[pools.Instance],
        limit: int,
    ) -> list[ids.InstanceId]:
        """Orders candidates; those without settled capacity come first."""
        order = [item.instance_id for item in unsettled]
        ranking = _RackRanking(self._pool, self._objectives, self._selected)
        settled = [item for item in available if self._is_settled(item)]
        order.extend(ranking.best(settled, limit - len(order)))
        return order


class _RackRanking:
    """Orders the settled candidates of a pool, rack by rack.

    Selecting from the largest failure domain lowers the reserve. Draining one
    rack completely before the next limits the instances that a later rack loss
    adds to those already out. Fewer running jobs mean fewer moves and a
    shorter drain.
    """

    def __init__(
        self,
        pool: fleet_view.PoolView,
        objectives: settings.ObjectiveSettings,
        selected: Collection[ids.InstanceId],
    ) -> None:
        self._pool = pool
        self._weights = objectives
        remaining = [
            item
            for item in pool.instances
            if item.state is pools.InstanceState.IN_SERVICE
            and item.instance_id not in selected
        ]
        self._sizes = collections.Counter(
            self._domain(item) for item in remaining
        )
        self._largest = max(self._sizes.values(), default=1)
        self._out = collections.Counter(
            _rack(item)
            for item in pool.instances
            if item.state not in _SELECTABLE_STATES
            or item.instance_id in selected
        )
        self._most_jobs = max(
            (pool.job_count(item.instance_id) for item in remaining), default=0
        )

    def best(
        self, candidates: Iterable[pools.Instance], count: int
    ) -> list[ids.InstanceId]:
        """Returns the best `count` candidates in order."""
        racks = self._group(candidates)
        order: list[ids.InstanceId] = []
        while racks and len(order) < count:
            best = max(racks, key=lambda rack: self._score(racks[rack][0]))
            _, name, instance = heapq.heappop(racks[best])
            if not racks[best]:
                del racks[best]
            order.append(name)
            self._sizes[self._domain(instance)] -= 1
            self._out[best] += 1
        return order

    def _group(
        self, candidates: Iterable[pools.Instance]
    ) -> dict[tuple[str, str], list[_Candidate]]:
        racks: dict[tuple[str, str], list[_Candidate]] = {}
        for item in candidates:
            jobs = self._pool.job_count(item.instance_id)
            entry = (jobs, item.instance_id, item)
            racks.setdefault(_rack(item), []).append(entry)
        for group in racks.values():
            heapq.heapify(group)
        return racks

    def _score(self, candidate: _Candidate) -> tuple[float, bool, str]:
        jobs, name, instance = candidate
        size = self._sizes[self._domain(instance)] / self._largest
        job_share = jobs / self._most_jobs if self._most_jobs else 0.0
        weights = self._weights
        score = (weights.roll_out + weights.buffer) * size
        score -= weights.moves * job_share
        return score, self._out[_rack(instance)] > 0, name

    def _domain(self, instance: pools.Instance) -> tuple[str, ...]:
        profile = self._pool.profile
        if profile is None:
            return _rack(instance)
        domain = profile.tolerance.failure_reserve
        if domain is profiles.FailureDomain.RACK:
            return _rack(instance)
        if domain is profiles.FailureDomain.AVAILABILITY_ZONE:
            return (instance.availability_zone,)
        return ()


def _rack(instance: pools.Instance) -> tuple[str, str]:
    return instance.availability_zone, instance.rack


def _states_reason(instances: Collection[pools.Instance]) -> str:
    states = collections.Counter(
        "moving" if item.moving_to is not None else item.state.value
        for item in instances
    )
    listed = ", ".join(f"{count} {name}" for name, count in states.items())
    return f"no remaining instance can be taken: {listed}"
