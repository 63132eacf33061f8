"""Usage of each team, compared with its quota.

A quota of zero slots means no limit on the number of jobs. In the other fields,
zero is a limit of zero.
"""

import collections
from collections.abc import Mapping
import dataclasses

from tarragoncleat.decisions import fleet_view
from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import profiles

__all__ = ["TeamUsage", "TentativeUsage"]

_EPSILON = 1e-9


@dataclasses.dataclass(slots=True)
class _Usage:
    slots: int = 0
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, demand: jobs.Demand, sign: int = 1) -> None:
        self.slots += sign
        self.cores += sign * demand.cores
        self.memory_mb += sign * demand.memory_mb
        self.accelerators += sign * demand.accelerators


class TeamUsage:
    """Sums the declared sizes of active jobs; recounts only changed pools."""

    def __init__(self) -> None:
        """Creates the usage of an empty fleet."""
        self._pools: dict[ids.PoolId, fleet_view.PoolView] = {}
        self._usage: dict[ids.TeamId, _Usage] = collections.defaultdict(_Usage)

    def refresh(self, view: fleet_view.FleetView) -> None:
        """Recounts the pools that changed since the last view."""
        for pool_id, pool in view.pools.items():
            old = self._pools.get(pool_id)
            if old is not pool:
                self._add_pool(old, -1)
                self._add_pool(pool, 1)
                self._pools[pool_id] = pool
        for pool_id in self._pools.keys() - view.pools.keys():
            self._add_pool(self._pools.pop(pool_id), -1)

    def tentative_usage(self, view: fleet_view.FleetView) -> "TentativeUsage":
        """Returns a copy to which a decision adds the jobs that it places."""
        return TentativeUsage(view, self._usage)

    def _add_pool(self, pool: fleet_view.PoolView | None, sign: int) -> None:
        if pool is None:
            return
        for active in pool.active.values():
            for job in active:
                if job.team_id is not None:
                    self._usage[job.team_id].add(job.demand, sign)


class TentativeUsage:
    """The usage during one decision; the recorded usage stays unchanged."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        recorded: Mapping[ids.TeamId, _Usage],
    ) -> None:
        """Creates a copy on write of the recorded usage."""
        self._teams = view.teams
        self._recorded = recorded
        self._usage: dict[ids.TeamId, _Usage] = {}

    def add(self, job: jobs.Job, sign: int = 1) -> None:
        """Adds a placed job or, with sign -1, subtracts an interrupted one."""
        if job.team_id is not None:
            self._usage_of(job.team_id).add(job.demand, sign)

    def wait_reason(self, job: jobs.Job) -> str | None:
        """Returns why a job has to wait for its team's quota, or None."""
        if job.team_id is None or job.team_id not in self._teams:
            return None
        usage = dataclasses.replace(self._usage_of(job.team_id))
        usage.add(job.demand)
        return _quota_excess(self._teams[job.team_id], usage)

    def unplaceable_reason(self, job: jobs.Job) -> str | None:
        """Returns why the quota never allows a job, even as the only one."""
        if job.team_id is None or job.team_id not in self._teams:
            return None
        usage = _Usage()
        usage.add(job.demand)
        return _quota_excess(self._teams[job.team_id], usage)

    def _usage_of(self, team_id: ids.TeamId) -> _Usage:
        if team_id not in self._usage:
            recorded = self._recorded.get(team_id, _Usage())
            self._usage[team_id] = dataclasses.replace(recorded)
        return self._usage[team_id]


def _quota_excess(team: profiles.Team, usage: _Usage) -> str | None:
    quota = team.quota
    limits = (
        ("slots", usage.slots, quota.slots or usage.slots),
        ("cores", usage.cores, quota.cores),
        ("MB of memory", usage.memory_mb, quota.memory_mb),
        ("accelerators", usage.accelerators, quota.accelerators),
    )
    for unit, wanted, limit in limits:
        if wanted > limit + _EPSILON:
            return (
                f"team {team.team_id} would use {wanted:g} {unit}; "
                f"its quota is {limit:g}"
            )
    return None
