"""What each team occupies, against its quota.

Zero slots set no limit on the number of jobs; the other fields are limits as
they are.
"""

import collections
from collections.abc import Mapping
import dataclasses

from tarragoncleat.decisions import fleet_view
from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import profiles

__all__ = ["TeamUse", "Trial"]

_EPSILON = 1e-9


@dataclasses.dataclass(slots=True)
class _Use:
    slots: int = 0
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, demand: jobs.Demand, sign: int = 1) -> None:
        self.slots += sign
        self.cores += sign * demand.cores
        self.memory_mb += sign * demand.memory_mb
        self.accelerators += sign * demand.accelerators


class TeamUse:
    """Adds up declared sizes of active jobs, pool by changed pool."""

    def __init__(self) -> None:
        """Starts with an empty fleet."""
        self._pools: dict[ids.PoolId, fleet_view.PoolView] = {}
        self._use: dict[ids.TeamId, _Use] = collections.defaultdict(_Use)

    def refresh(self, view: fleet_view.FleetView) -> None:
        """Takes over the pools that changed since the last view."""
        for pool_id, pool in view.pools.items():
            old = self._pools.get(pool_id)
            if old is not pool:
                self._count(old, -1)
                self._count(pool, 1)
                self._pools[pool_id] = pool
        for pool_id in self._pools.keys() - view.pools.keys():
            self._count(self._pools.pop(pool_id), -1)

    def trial(self, view: fleet_view.FleetView) -> "Trial":
        """Returns a copy to which a decision adds what it places."""
        return Trial(view, self._use)

    def _count(self, pool: fleet_view.PoolView | None, sign: int) -> None:
        if pool is None:
            return
        for active in pool.active.values():
            for job in active:
                if job.team_id is not None:
                    self._use[job.team_id].add(job.demand, sign)


class Trial:
    """The use during one decision; the recorded use stays as it is."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        recorded: Mapping[ids.TeamId, _Use],
    ) -> None:
        """Starts from the recorded use."""
        self._teams = view.teams
        self._recorded = recorded
        self._use: dict[ids.TeamId, _Use] = {}

    def add(self, job: jobs.Job, sign: int = 1) -> None:
        """Counts a job that is placed, or with sign -1 interrupted."""
        if job.team_id is not None:
            self._of(job.team_id).add(job.demand, sign)

    def refusal(self, job: jobs.Job) -> str | None:
        """Returns why a job has to wait for its team's quota, if it does."""
        if job.team_id is None or job.team_id not in self._teams:
            return None
        use = dataclasses.replace(self._of(job.team_id))
        use.add(job.demand)
        return _excess(self._teams[job.team_id], use)

    def never_allows(self, job: jobs.Job) -> str | None:
        """Returns why the quota never allows a job, even as the only one."""
        if job.team_id is None or job.team_id not in self._teams:
            return None
        use = _Use()
        use.add(job.demand)
        return _excess(self._teams[job.team_id], use)

    def _of(self, team_id: ids.TeamId) -> _Use:
        if team_id not in self._use:
            recorded = self._recorded.get(team_id, _Use())
            self._use[team_id] = dataclasses.replace(recorded)
        return self._use[team_id]


def _excess(team: profiles.Team, use: _Use) -> str | None:
    quota = team.quota
    limits = (
        ("slots", use.slots, quota.slots or use.slots),
        ("cores", use.cores, quota.cores),
        ("MB of memory", use.memory_mb, quota.memory_mb),
        ("accelerators", use.accelerators, quota.accelerators),
    )
    for unit, wanted, limit in limits:
        if wanted > limit + _EPSILON:
            return (
                f"team {team.team_id} would use {wanted:g} {unit}; "
                f"its quota is {limit:g}"
            )
    return None
