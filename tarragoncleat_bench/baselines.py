"""Baseline algorithms that the product's decisions are compared with."""

from collections.abc import Mapping, Sequence
import math

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import placer
from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import waves

__all__ = ["first_fit", "fixed_fraction", "one_at_a_time"]

_IN_SERVICE = pools.InstanceState.IN_SERVICE


def one_at_a_time(
    view: fleet_view.FleetView, wave: waves.Wave
) -> list[ids.InstanceId]:
    """Selects an instance of each pool whose last one is back in service."""
    return fixed_fraction(view, wave, 0.0)


def fixed_fraction(
    view: fleet_view.FleetView, wave: waves.Wave, fraction: float
) -> list[ids.InstanceId]:
    """Selects a fraction of each pool whose last batch is back in service."""
    busy_pools = {view.instances[name].pool_id for name in wave.out}
    selected_by_pool: dict[ids.PoolId, int] = {}
    selected = []
    for name in wave.remaining:
        instance = view.instances[name]
        pool_id = instance.pool_id
        if pool_id in busy_pools or instance.state is not _IN_SERVICE:
            continue
        limit = math.ceil(fraction * len(view.pools[pool_id].instances))
        if selected_by_pool.get(pool_id, 0) < max(1, limit):
            selected_by_pool[pool_id] = selected_by_pool.get(pool_id, 0) + 1
            selected.append(name)
    return selected


def first_fit(view: fleet_view.FleetView) -> list[placer.Placement]:
    """Places jobs in the order of submission on the first instance with room.

    Uses the declared sizes unchanged and interrupts no job.
    """
    placements = []
    for pool in view.pools.values():
        if not pool.waiting:
            continue
        free = _free_resources(pool)
        waiting_jobs = sorted(
            pool.waiting, key=lambda job: (job.submitted_at_ms, job.job_id)
        )
        for job in waiting_jobs:
            name = _first_with_room(free, job.demand)
            if name is not None:
                free[name][0] -= job.demand.cores
                free[name][1] -= job.demand.memory_mb
                placement = placer.Placement(job.job_id, name, job.demand)
                placements.append(placement)
    return placements


def _free_resources(
    pool: fleet_view.PoolView,
) -> dict[ids.InstanceId, list[float]]:
    free = {}
    for instance in pool.instances:
        active_jobs: Sequence[jobs.Job] = pool.active.get(
            instance.instance_id, ()
        )
        free[instance.instance_id] = [
            instance.cores - sum(job.demand.cores for job in active_jobs),
            instance.memory_mb
            - sum(job.demand.memory_mb for job in active_jobs),
        ]
    return free


def _first_with_room(
    free: Mapping[ids.InstanceId, list[float]], demand: jobs.Demand
) -> ids.InstanceId | None:
    for name, (cores, memory_mb) in free.items():
        if demand.cores <= cores and demand.memory_mb <= memory_mb:
            return name
    return None
