"""Finds workers on which every task fails.

A worker is quarantined when a number of different jobs in a row have failed on
it. At most a fraction of a pool is quarantined, because faulty jobs must not
empty the pool.
"""

from collections.abc import Iterator
import math

from tarragoncleat.decisions import fleet_view
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import pools

__all__ = ["FailureStreaks"]

# A worker that was only unreachable may still be broken when it returns.
_STREAK_KEPT_STATES = frozenset(
    {
        pools.InstanceState.IN_SERVICE,
        pools.InstanceState.LOST,
        pools.InstanceState.RETURNING,
    }
)


class FailureStreaks:
    """Counts the different jobs that failed in a row on each worker."""

    def __init__(self, limits: settings.ControllerSettings) -> None:
        """Creates empty streaks."""
        self._failure_threshold = limits.quarantine_after
        self._max_fraction = limits.quarantine_fraction
        self._failed_jobs: dict[ids.InstanceId, set[ids.JobId]] = {}

    def record(
        self, instance_id: ids.InstanceId, job_id: ids.JobId, failed: bool
    ) -> None:
        """Counts a finished job; a success ends the streak."""
        if failed:
            self._failed_jobs.setdefault(instance_id, set()).add(job_id)
        else:
            self._failed_jobs.pop(instance_id, None)

    def instances_to_quarantine(
        self, view: fleet_view.FleetView
    ) -> Iterator[pools.Instance]:
        """Yields the instances to quarantine now, within each pool's limit."""
        allowances: dict[ids.PoolId, int] = {}
        for name, failed in tuple(self._failed_jobs.items()):
            instance = view.instances.get(name)
            if instance is None or instance.state not in _STREAK_KEPT_STATES:
                del self._failed_jobs[name]
                continue
            if instance.state is not pools.InstanceState.IN_SERVICE:
                continue
            if len(failed) < self._failure_threshold:
                continue
            pool_id = instance.pool_id
            if pool_id not in allowances:
                allowances[pool_id] = self._quarantine_allowance(
                    view.pools[pool_id]
                )
            if allowances[pool_id] > 0:
                allowances[pool_id] -= 1
                yield instance

    def _quarantine_allowance(self, pool: fleet_view.PoolView) -> int:
        limit = math.floor(self._max_fraction * len(pool.instances) + 1e-9)
        quarantined = sum(
            item.state is pools.InstanceState.QUARANTINED
            for item in pool.instances
        )
        return limit - quarantined
