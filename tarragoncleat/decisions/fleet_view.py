"""A grouped view of the fleet for the decisions.

The planner, the placer and the balancer read a `FleetView`. `FleetIndex` reuses
the groups of the previous view, so that an unchanged pool keeps the same
`PoolView` object and a decision can skip it.
"""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
import types
from typing import Any, Protocol

from tarragoncleat.kernel import ids
from tarragoncleat.state import job_losses
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = [
    "ACTIVE_JOB_STATES",
    "FleetIndex",
    "FleetReader",
    "FleetView",
    "PoolView",
    "WAITING_JOB_STATES",
]

ACTIVE_JOB_STATES = frozenset(
    {jobs.JobState.PLACED, jobs.JobState.RUNNING, jobs.JobState.THROTTLED}
)
WAITING_JOB_STATES = frozenset(
    {jobs.JobState.QUEUED, jobs.JobState.CHECKPOINTED}
)

# Aliases, because fields of the classes below shadow the types' modules.
_Profiles = Mapping[ids.ProfileId, profiles.Profile]
_Services = Mapping[ids.ServiceId, profiles.Service]
_Teams = Mapping[ids.TeamId, profiles.Team]
_Pools = Mapping[ids.PoolId, pools.Pool]
_Instances = Mapping[ids.InstanceId, pools.Instance]
_Waves = Mapping[ids.WaveId, waves.Wave]
_Jobs = Mapping[ids.JobId, jobs.Job]
_Losses = Mapping[ids.JobId, job_losses.JobLosses]
_Profile = profiles.Profile


class FleetReader(Protocol):
    """The part of `fleet.Fleet` that the decisions read."""

    @property
    def profiles(self) -> _Profiles:
        """Profiles by id."""

    @property
    def services(self) -> _Services:
        """Services by id."""

    @property
    def teams(self) -> _Teams:
        """Teams by id."""

    @property
    def pools(self) -> _Pools:
        """Pools by id."""

    @property
    def instances(self) -> _Instances:
        """Instances by id."""

    @property
    def waves(self) -> _Waves:
        """Waves by id."""

    @property
    def jobs(self) -> _Jobs:
        """Jobs by id."""

    @property
    def losses(self) -> _Losses:
        """Losses of instances under live jobs, by job."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class PoolView:
    """One pool with everything that a decision about it needs.

    Attributes:
        pool: The pool.
        profile: Profile of its service; None for a spare pool.
        instances: Its instances in the order of their ids; the same tuple as
            long as none of them changes.
        active: Jobs that occupy capacity, by instance; the same tuple as long
            as none of them changes.
        waiting: Jobs that wait for an instance.
    """

    pool: pools.Pool
    profile: profiles.Profile | None
    instances: tuple[pools.Instance, ...]
    active: Mapping[ids.InstanceId, tuple[jobs.Job, ...]]
    waiting: tuple[jobs.Job, ...]

    @property
    def pool_id(self) -> ids.PoolId:
        """Id of the pool."""
        return self.pool.pool_id

    def job_count(self, instance_id: ids.InstanceId) -> int:
        """Returns how many jobs occupy capacity of an instance."""
        return len(self.active.get(instance_id, ()))


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class FleetView:
    """The fleet at one moment, grouped by pool.

    Attributes:
        pools: Every pool by id.
        instances: Every instance by id.
        waves: Every wave by id.
        services: Every service by id.
        profiles: Every profile by id.
        teams: Every team by id.
        lost: Ids of the lost instances.
        suspects: Live jobs that may crash the worker that runs them.
    """

    pools: Mapping[ids.PoolId, PoolView]
    instances: _Instances
    waves: _Waves
    services: _Services
    profiles: _Profiles
    teams: _Teams
    lost: tuple[ids.InstanceId, ...]
    suspects: _Jobs

    def profile_of_service(self, service_id: ids.ServiceId) -> _Profile | None:
        """Returns the profile of a service, or None."""
        service = self.services.get(service_id)
        return (
            None if service is None else self.profiles.get(service.profile_id)
        )


class _ChangeTracker:
    """Finds the objects of a mapping that changed since the previous call."""

    def __init__(self) -> None:
        self._previous: dict[Any, Any] = {}

    def find_changes(self, mapping: Mapping[Any, Any]) -> list[tuple[Any, Any]]:
        """Returns (old, new) pairs; None represents a missing object."""
        previous = self._previous
        changed = [
            (key, value)
            for key, value in mapping.items()
            if previous.get(key) is not value
        ]
        pairs = [(previous.get(key), value) for key, value in changed]
        previous.update(changed)
        if len(previous) > len(mapping):
            removed = [key for key in previous if key not in mapping]
            pairs.extend((previous.pop(key), None) for key in removed)
        return pairs


class FleetIndex:
    """Keeps the groups of a `FleetView` up to date.

    `refresh` compares object identities, which costs some tens of nanoseconds
    for an unchanged object; only the changed pools are grouped again.
    """

    def __init__(self) -> None:
        """Creates the index of an empty fleet."""
        self._instance_changes = _ChangeTracker()
        self._job_changes = _ChangeTracker()
        self._pool_changes = _ChangeTracker()
        self._configuration_changes = (_ChangeTracker(), _ChangeTracker())
        self._instances: dict[
            ids.PoolId, dict[ids.InstanceId, pools.Instance]
        ] = collections.defaultdict(dict)
        self._active: dict[ids.InstanceId, dict[ids.JobId, jobs.Job]] = (
            collections.defaultdict(dict)
        )
        self._waiting: dict[ids.ServiceId, dict[ids.JobId, jobs.Job]] = (
            collections.defaultdict(dict)
        )
        self._lost: dict[ids.InstanceId, None] = {}
        self._members: dict[ids.PoolId, tuple[pools.Instance, ...]] = {}
        self._active_tuples: dict[ids.InstanceId, tuple[jobs.Job, ...]] = {}
        self._pools: dict[ids.PoolId, PoolView] = {}

    def refresh(self, fleet: FleetReader) -> FleetView:
        """Returns a view of the fleet as it is now."""
        dirty = self._group_instances(fleet)
        dirty |= self._group_jobs(fleet)
        configuration: tuple[Mapping[Any, Any], ...] = (
            fleet.services,
            fleet.profiles,
        )
        changed = [
            bool(tracker.find_changes(mapping))
            for tracker, mapping in zip(
                self._configuration_changes, configuration, strict=True
            )
        ]
        for old, new in self._pool_changes.find_changes(fleet.pools):
            dirty.add((new or old).pool_id)
        if any(changed):
            dirty |= fleet.pools.keys()
        self._rebuild(fleet, dirty)
        return FleetView(
            types.MappingProxyType(dict(self._pools)),
            fleet.instances,
            fleet.waves,
            fleet.services,
            fleet.profiles,
            fleet.teams,
            tuple(self._lost),
            {
                job_id: fleet.jobs[job_id]
                for job_id, losses in fleet.losses.items()
                if losses.is_suspect
            },
        )

    def _group_instances(self, fleet: FleetReader) -> set[ids.PoolId]:
        dirty = set()
        for old, new in self._instance_changes.find_changes(fleet.instances):
            if old is not None:
                self._instances[old.pool_id].pop(old.instance_id, None)
                self._lost.pop(old.instance_id, None)
                dirty.add(old.pool_id)
            if new is not None:
                if new.state is pools.InstanceState.LOST:
                    self._lost[new.instance_id] = None
                self._instances[new.pool_id][new.instance_id] = new
                dirty.add(new.pool_id)
        for pool_id in dirty:
            members = self._instances[pool_id]
            ordered = tuple(members[name] for name in sorted(members))
            self._members[pool_id] = ordered
        return dirty

    def _group_jobs(self, fleet: FleetReader) -> set[ids.PoolId]:
        dirty: set[ids.PoolId] = set()
        changed_instances: set[ids.InstanceId] = set()
        for old, new in self._job_changes.find_changes(fleet.jobs):
            if old is not None:
                self._waiting[old.service_id].pop(old.job_id, None)
                if old.instance_id is not None:
                    self._active[old.instance_id].pop(old.job_id, None)
            if new is not None:
                self._add_job(new)
            for job in (old, new):
                if job is not None:
                    dirty.update(_pools_of_job(fleet, job))
                    if job.instance_id is not None:
                        changed_instances.add(job.instance_id)
        for name in changed_instances:
            self._update_active_tuple(name)
        return dirty

    def _update_active_tuple(self, instance_id: ids.InstanceId) -> None:
        active = self._active[instance_id]
        if active:
            self._active_tuples[instance_id] = tuple(active.values())
        else:
            del self._active[instance_id]
            self._active_tuples.pop(instance_id, None)

    def _add_job(self, job: jobs.Job) -> None:
        if job.state in WAITING_JOB_STATES:
            self._waiting[job.service_id][job.job_id] = job
        elif job.state in ACTIVE_JOB_STATES and job.instance_id is not None:
            self._active[job.instance_id][job.job_id] = job

    def _rebuild(self, fleet: FleetReader, dirty: set[ids.PoolId]) -> None:
        services = _services_by_pool(fleet)
        for pool_id in dirty:
            pool = fleet.pools.get(pool_id)
            if pool is None:
                self._pools.pop(pool_id, None)
            else:
                service_ids = services.get(pool_id, ())
                self._pools[pool_id] = self._build(fleet, pool, service_ids)

    def _build(
        self,
        fleet: FleetReader,
        pool: pools.Pool,
        service_ids: Iterable[ids.ServiceId],
    ) -> PoolView:
        grouped = self._active_tuples
        active = {
            name: grouped[name]
            for name in self._instances[pool.pool_id]
            if name in grouped
        }
        waiting = tuple(
            job
            for service_id in service_ids
            for job in self._waiting[service_id].values()
        )
        return PoolView(
            pool,
            _profile_of(fleet, pool),
            self._members.get(pool.pool_id, ()),
            types.MappingProxyType(active),
            waiting,
        )


def _pools_of_job(fleet: FleetReader, job: jobs.Job) -> list[ids.PoolId]:
    found = []
    service = fleet.services.get(job.service_id)
    if service is not None:
        found.append(service.pool_id)
    if job.instance_id is not None and job.instance_id in fleet.instances:
        found.append(fleet.instances[job.instance_id].pool_id)
    return found


def _services_by_pool(
    fleet: FleetReader,
) -> dict[ids.PoolId, list[ids.ServiceId]]:
    groups: dict[ids.PoolId, list[ids.ServiceId]] = {}
    for service in fleet.services.values():
        groups.setdefault(service.pool_id, []).append(service.service_id)
    return groups


def _profile_of(
    fleet: FleetReader, pool: pools.Pool
) -> profiles.Profile | None:
    if pool.service_id is None:
        return None
    service = fleet.services.get(pool.service_id)
    return None if service is None else fleet.profiles.get(service.profile_id)
