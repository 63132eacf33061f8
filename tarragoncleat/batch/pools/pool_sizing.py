"""Computes which pools need more instances and which can release some.

Designed for load peaks that move from queue to queue: each in turn needs
several times the capacity of its pool while the other pools are nearly idle,
and each instance in a pool has a cost. Pure functions without I/O or clock.
"""

import collections
from collections.abc import Mapping, Sequence
import dataclasses

__all__ = [
    "can_release_instance",
    "Demand",
    "instance_shortage",
    "lacks_instances",
    "LoadTrend",
    "service_to_grow",
]

# The load is expected to grow as fast as in the last window of this length.
_TREND_WINDOW_S = 1.0
# A load that was reached within this time before the window is no growth: the
# number of jobs that happen to run varies.
_PEAK_MEMORY_S = 3.0
# Minimum shortage, in instances, for which an instance is moved.
_MIN_SHORTAGE_INSTANCES = 0.5
# Free capacity, in instances, that must remain beyond the reserve when a pool
# releases an instance, so that it doesn't need the instance back at once.
_HYSTERESIS_INSTANCES = 0.5


@dataclasses.dataclass(slots=True)
class Demand:
    """Load of a service after a round of placement, in 1/1000 core.

    Attributes:
        unplaced_millicores: Demand of ready tasks without a worker, whose jobs
            can still meet their objectives.
        unplaced_long_running: Number of long-running tasks among them.
        placeable_millicores: The part of the unplaced demand whose tasks fit
            on some worker.
        late_millicores: Demand of ready tasks without a worker, whose jobs are
            late. No instance is moved to the service for them.
        used_millicores: Demand of the placed tasks.
        free_millicores: Free capacity of the schedulable workers.
        instance_millicores: Size of one of the service's instances.
    """

    unplaced_millicores: int = 0
    unplaced_long_running: int = 0
    placeable_millicores: int = 0
    late_millicores: int = 0
    used_millicores: int = 0
    free_millicores: int = 0
    instance_millicores: int = 1

    @property
    def load_millicores(self) -> int:
        """Demand of running and of unplaced tasks."""
        return self.used_millicores + self.unplaced_millicores


class LoadTrend:
    """Recent growth of the load of each service."""

    def __init__(self, lead_s: float = _TREND_WINDOW_S) -> None:
        """Creates a trend without samples.

        Args:
            lead_s: Time from the decision to move an instance until it works.
        """
        self._lead_s = lead_s
        self._samples: dict[str, collections.deque[tuple[float, int]]] = {}

    def record_demands(
        self, demands: Mapping[str, Demand], now_s: float
    ) -> None:
        """Adds a sample of the load of each service."""
        for service, demand in demands.items():
            samples = self._samples.setdefault(service, collections.deque())
            samples.append((now_s, demand.load_millicores))
            while now_s - samples[0][0] > _TREND_WINDOW_S + _PEAK_MEMORY_S:
                samples.popleft()

    def growth_millicores(self, service: str) -> int:
        """Returns the growth expected beyond the recent peak of the load."""
        samples = self._samples.get(service)
        if not samples:
            return 0
        growth = max(0, samples[-1][1] - _recent_peak(samples))
        return int(growth * self._lead_s / _TREND_WINDOW_S)


def _recent_peak(samples: Sequence[tuple[float, int]]) -> int:
    """Returns the highest load before the window, or the first one known."""
    now_s = samples[-1][0]
    earlier = [
        load for time_s, load in samples if now_s - time_s >= _TREND_WINDOW_S
    ]
    return max(earlier, default=samples[0][1])


def instance_shortage(
    demand: Demand, growth_millicores: int, arriving: int = 0
) -> float:
    """Returns how many more instances a service needs.

    Args:
        demand: Load of the service.
        growth_millicores: Expected growth of the load.
        arriving: Number of instances that are moving to the service.
    """
    missing_millicores = (
        demand.unplaced_millicores
        + _reserve_millicores(demand, growth_millicores)
        - demand.free_millicores
    )
    instances = missing_millicores / max(1, demand.instance_millicores)
    return max(instances, demand.unplaced_long_running) - arriving


def lacks_instances(demand: Demand) -> bool:
    """Whether work of a service has no room, beyond what its workers have."""
    missing_millicores = demand.placeable_millicores - demand.free_millicores
    instances = missing_millicores / max(1, demand.instance_millicores)
    return instances > _MIN_SHORTAGE_INSTANCES


def can_release_instance(demand: Demand, growth_millicores: int) -> bool:
    """Whether a service can release one of its idle instances."""
    instance_millicores = demand.instance_millicores
    remaining_millicores = demand.free_millicores - instance_millicores
    reserve_millicores = _reserve_millicores(demand, growth_millicores)
    has_surplus = (
        remaining_millicores
        >= reserve_millicores + _HYSTERESIS_INSTANCES * instance_millicores
    )
    return has_surplus and not demand.unplaced_millicores


def service_to_grow(
    demands: Mapping[str, Demand],
    trend: LoadTrend,
    arriving: Mapping[str, int],
) -> str | None:
    """Returns the service with the largest shortage of instances, or None.

    Args:
        demands: Load by service.
        trend: Growth of the load.
        arriving: Number of instances that are moving to each service.
    """
    best = None
    max_shortage = _MIN_SHORTAGE_INSTANCES
    for service, demand in sorted(demands.items()):
        growth = trend.growth_millicores(service)
        shortage = instance_shortage(demand, growth, arriving.get(service, 0))
        if shortage > max_shortage:
            best, max_shortage = service, shortage
    return best


def _reserve_millicores(demand: Demand, growth_millicores: int) -> int:
    return max(demand.instance_millicores, growth_millicores)
