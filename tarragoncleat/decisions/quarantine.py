"""Finds workers on which every task fails.

A worker is quarantined after a number of different tasks in a row failed on
it, but never more than a fraction of its pool: when the tasks themselves are
broken, the pool must not empty.
"""

from collections.abc import Iterator
import math

from tarragoncleat.decisions import fleet_view
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import pools

__all__ = ["FailureStreaks"]

# A silence repairs nothing: a worker that comes back from it is still broken.
_STREAK_LASTS = frozenset(
    {
        pools.InstanceState.IN_SERVICE,
        pools.InstanceState.LOST,
        pools.InstanceState.RETURNING,
    }
)


class FailureStreaks:
    """Counts the different jobs that failed in a row on each worker."""

    def __init__(self, limits: settings.ControllerSettings) -> None:
        """Starts without failures."""
        self._after = limits.quarantine_after
        self._fraction = limits.quarantine_fraction
        self._failed: dict[ids.InstanceId, set[ids.JobId]] = {}

    def record(
        self, instance_id: ids.InstanceId, job_id: ids.JobId, failed: bool
    ) -> None:
        """Counts a finished job; a success ends the streak."""
        if failed:
            self._failed.setdefault(instance_id, set()).add(job_id)
        else:
            self._failed.pop(instance_id, None)

    def due(self, view: fleet_view.FleetView) -> Iterator[pools.Instance]:
        """Yields the instances to quarantine now, within the bound."""
        free: dict[ids.PoolId, int] = {}
        for name, failed in tuple(self._failed.items()):
            instance = view.instances.get(name)
            if instance is None or instance.state not in _STREAK_LASTS:
                del self._failed[name]
                continue
            if instance.state is not pools.InstanceState.IN_SERVICE:
                continue
            if len(failed) < self._after:
                continue
            pool_id = instance.pool_id
            if pool_id not in free:
                free[pool_id] = self._free(view.pools[pool_id])
            if free[pool_id] > 0:
                free[pool_id] -= 1
                yield instance

    def _free(self, pool: fleet_view.PoolView) -> int:
        limit = math.floor(self._fraction * len(pool.instances) + 1e-9)
        held = sum(
            item.state is pools.InstanceState.QUARANTINED
            for item in pool.instances
        )
        return limit - held
