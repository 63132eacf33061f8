"""Simple decisions that the project's own are compared with."""

from collections.abc import Mapping, Sequence
import math

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import placer
from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import waves

__all__ = ["batches", "first_fit", "one_at_a_time"]

_IN_SERVICE = pools.InstanceState.IN_SERVICE


def one_at_a_time(
    view: fleet_view.FleetView, wave: waves.Wave
) -> list[ids.InstanceId]:
    """Takes the next instance of a pool when the last one is back."""
    return batches(view, wave, 0.0)


def batches(
    view: fleet_view.FleetView, wave: waves.Wave, fraction: float
) -> list[ids.InstanceId]:
    """Takes a fraction of each pool at once, when the last batch is back."""
    busy = {view.instances[name].pool_id for name in wave.out}
    taken: dict[ids.PoolId, int] = {}
    chosen = []
    for name in wave.remaining:
        instance = view.instances[name]
        pool_id = instance.pool_id
        if pool_id in busy or instance.state is not _IN_SERVICE:
            continue
        limit = math.ceil(fraction * len(view.pools[pool_id].instances))
        if taken.get(pool_id, 0) < max(1, limit):
            taken[pool_id] = taken.get(pool_id, 0) + 1
            chosen.append(name)
    return chosen


def first_fit(view: fleet_view.FleetView) -> list[placer.Placement]:
    """Places jobs in the order of submission on the first instance with room.

    Declared sizes are taken as they are, and nothing is interrupted.
    """
    placements = []
    for pool in view.pools.values():
        if not pool.waiting:
            continue
        free = _free(pool)
        queue = sorted(
            pool.waiting, key=lambda job: (job.submitted_at_ms, job.job_id)
        )
        for job in queue:
            name = _first(free, job.demand)
            if name is not None:
                free[name][0] -= job.demand.cores
                free[name][1] -= job.demand.memory_mb
                item = placer.Placement(job.job_id, name, job.demand)
                placements.append(item)
    return placements


def _free(pool: fleet_view.PoolView) -> dict[ids.InstanceId, list[float]]:
    free = {}
    for item in pool.instances:
        used: Sequence[jobs.Job] = pool.active.get(item.instance_id, ())
        free[item.instance_id] = [
            item.cores - sum(job.demand.cores for job in used),
            item.memory_mb - sum(job.demand.memory_mb for job in used),
        ]
    return free


def _first(
    free: Mapping[ids.InstanceId, list[float]], demand: jobs.Demand
) -> ids.InstanceId | None:
    for name, (cores, memory_mb) in free.items():
        if demand.cores <= cores and demand.memory_mb <= memory_mb:
            return name
    return None
