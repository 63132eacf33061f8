"""Decides how many instances each pool needs, and which way they move.

Answers the load pattern in which the queues ask in turns for several times
what their pools hold, while the other pools are nearly idle and each instance
in a pool has its price. Pure functions; they perform no I/O and read no clock.
"""

import collections
from collections.abc import Mapping
import dataclasses

__all__ = ["Demand", "LoadTrend", "can_spare", "neediest", "shortage"]

# Load is expected to grow in this time as it grew in the last one.
_TREND_S = 1.0
# An instance is worth its move when the missing room fills this share of it.
_WORTH_SHARE = 0.5
# A pool gives an instance away only when this share of one stays free beyond
# its reserve, so that it does not ask for the instance back at once.
_HYSTERESIS_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class Demand:
    """Load of a service after a round of placement, in 1/1000 core.

    Attributes:
        unplaced_millicores: Work in time that found no room.
        unplaced_lasting: Tasks that last and found no worker.
        used_millicores: What the placed tasks take.
        free_millicores: Room left on the workers that get tasks.
        instance_millicores: Size of one of the service's instances.
    """

    unplaced_millicores: int = 0
    unplaced_lasting: int = 0
    used_millicores: int = 0
    free_millicores: int = 0
    instance_millicores: int = 1

    @property
    def load_millicores(self) -> int:
        """Work that runs or could run now."""
        return self.used_millicores + self.unplaced_millicores


class LoadTrend:
    """How the load of each service grew lately."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._samples: dict[str, collections.deque[tuple[float, int]]] = {}

    def note(self, demands: Mapping[str, Demand], now_s: float) -> None:
        """Takes the present load of every service."""
        for service, demand in demands.items():
            samples = self._samples.setdefault(service, collections.deque())
            samples.append((now_s, demand.load_millicores))
            while now_s - samples[0][0] > _TREND_S:
                samples.popleft()

    def growth_millicores(self, service: str) -> int:
        """Returns by how much the load grew in the last second; at least 0."""
        samples = self._samples.get(service)
        if not samples:
            return 0
        return max(0, samples[-1][1] - samples[0][1])


def shortage(
    demand: Demand, growth_millicores: int, arriving: int = 0
) -> float:
    """Returns how many more instances a service could use.

    Args:
        demand: Its load.
        growth_millicores: Growth of the load that is expected.
        arriving: Instances that are on their way to it.
    """
    missing = (
        demand.unplaced_millicores
        + _reserve_millicores(demand, growth_millicores)
        - demand.free_millicores
    )
    instances = missing / max(1, demand.instance_millicores)
    return max(instances, demand.unplaced_lasting) - arriving


def can_spare(demand: Demand, growth_millicores: int) -> bool:
    """Whether a service needs one of its vacant instances no more."""
    size = demand.instance_millicores
    left = demand.free_millicores - size
    reserve = _reserve_millicores(demand, growth_millicores)
    has_room = left >= reserve + _HYSTERESIS_SHARE * size
    return has_room and not demand.unplaced_millicores


def neediest(
    demands: Mapping[str, Demand],
    trend: LoadTrend,
    arriving: Mapping[str, int],
) -> str | None:
    """Returns the service that an instance helps most, or None.

    Args:
        demands: Load by service.
        trend: Growth of the load.
        arriving: Instances that are on their way, by service.
    """
    best = None
    most = _WORTH_SHARE
    for service, demand in sorted(demands.items()):
        growth = trend.growth_millicores(service)
        need = shortage(demand, growth, arriving.get(service, 0))
        if need > most:
            best, most = service, need
    return best


def _reserve_millicores(demand: Demand, growth_millicores: int) -> int:
    return max(demand.instance_millicores, growth_millicores)
