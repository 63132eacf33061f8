"""In-memory tables of the fleet and their indexes.

Indexed tables are written only through `put_` and `remove_` methods, which keep
the indexes by pool, service, availability zone and state consistent with the
tables. The cost of a command is thus proportional to what it changes, not to
the size of the fleet.

Resource sums are integers (cores in thousandths). A sum of floats depends on
the order of the additions, so a replica restored from a snapshot could diverge
from one that applied every record.
"""

from collections.abc import Collection, Hashable, Iterable, Iterator, Mapping
import dataclasses
from typing import Generic, TypeVar

from tarragoncleat.kernel import ids
from tarragoncleat.state import job_losses
from tarragoncleat.state import jobs
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = [
    "ClaimRecord",
    "Index",
    "Resources",
    "State",
    "StoredResult",
    "WaveMapping",
    "WaveRecord",
    "demand_resources",
    "fits",
    "instance_resources",
]

# Number of finished jobs to keep; the oldest are removed first.
_MAX_FINISHED_JOBS = 20_000
# Ended waves to keep, by their total number of instances and by their number;
# the oldest are removed first.
_MAX_ENDED_WAVE_INSTANCES = 50_000
_MAX_ENDED_WAVES = 1_000
_MILLICORES_PER_CORE = 1000

_Key = TypeVar("_Key", bound=Hashable)
_Id = TypeVar("_Id", bound=Hashable)


class Index(Generic[_Key, _Id]):
    """A multimap from keys to ids; the ids of a key are in insertion order."""

    def __init__(self) -> None:
        """Creates an empty index."""
        self._ids: dict[_Key, dict[_Id, None]] = {}

    def __getitem__(self, key: _Key) -> Collection[_Id]:
        return self._ids.get(key, {}).keys()

    def keys(self) -> Collection[_Key]:
        """Returns the keys that have at least one id."""
        return self._ids.keys()

    def add(self, key: _Key, item_id: _Id) -> None:
        """Adds an id under a key."""
        self._ids.setdefault(key, {})[item_id] = None

    def discard(self, key: _Key, item_id: _Id) -> None:
        """Removes an id from a key, if present."""
        ids_of_key = self._ids.get(key)
        if ids_of_key is None:
            return
        ids_of_key.pop(item_id, None)
        if not ids_of_key:
            del self._ids[key]


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Resources of jobs or of an instance, in integers."""

    jobs: int = 0
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources", sign: int = 1) -> "Resources":
        """Returns `self + sign * other`; `sign` is 1 or -1."""
        return Resources(
            self.jobs + sign * other.jobs,
            self.millicores + sign * other.millicores,
            self.memory_mb + sign * other.memory_mb,
            self.accelerators + sign * other.accelerators,
        )


_NO_RESOURCES = Resources()


def demand_resources(demand: jobs.Demand) -> Resources:
    """Returns the resources that one job demands."""
    millicores = round(demand.cores * _MILLICORES_PER_CORE)
    return Resources(1, millicores, demand.memory_mb, demand.accelerators)


def fits(used: Resources, size: Resources) -> bool:
    """Returns whether the used resources fit into an instance size."""
    return (
        used.millicores <= size.millicores
        and used.memory_mb <= size.memory_mb
        and used.accelerators <= size.accelerators
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A claimed idempotency key."""

    fingerprint: bytes
    request_id: ids.RequestId
    entry_id: ids.EntryId
    claimed_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResult:
    """The result of a command, returned again when the command is resent."""

    digest: bytes
    time_ms: int
    result: bytes


class WaveRecord:
    """A mutable wave; moving one instance between its lists copies nothing."""

    def __init__(self, wave: waves.Wave) -> None:
        """Creates the record of a wave."""
        self._header = dataclasses.replace(
            wave, remaining=(), out=(), done=(), skipped=()
        )
        self._remaining = dict.fromkeys(wave.remaining)
        self._out = dict.fromkeys(wave.out)
        self._done = dict.fromkeys(wave.done)
        self._skipped = {item.instance_id: item for item in wave.skipped}
        self._wave: waves.Wave | None = wave

    @property
    def header(self) -> waves.Wave:
        """The wave with empty instance lists."""
        return self._header

    @property
    def remaining(self) -> Collection[ids.InstanceId]:
        """Instances that the wave has not drained yet."""
        return self._remaining.keys()

    @property
    def out(self) -> Collection[ids.InstanceId]:
        """Instances that are out of service for the wave."""
        return self._out.keys()

    def to_wave(self) -> waves.Wave:
        """Returns the wave with its instance lists."""
        if self._wave is None:
            self._wave = dataclasses.replace(
                self._header,
                remaining=tuple(self._remaining),
                out=tuple(self._out),
                done=tuple(self._done),
                skipped=tuple(self._skipped.values()),
            )
        return self._wave

    def __len__(self) -> int:
        return (
            len(self._remaining)
            + len(self._out)
            + len(self._done)
            + len(self._skipped)
        )

    def set_header(self, header: waves.Wave) -> None:
        """Replaces everything except the instance lists."""
        self._header = header
        self._wave = None

    def mark_out(self, instance_id: ids.InstanceId) -> None:
        """Moves an instance from remaining to out."""
        del self._remaining[instance_id]
        self._out[instance_id] = None
        self._wave = None

    def mark_done(self, instance_id: ids.InstanceId) -> None:
        """Moves an instance from out to done."""
        del self._out[instance_id]
        self._done[instance_id] = None
        self._wave = None

    def mark_skipped(self, skipped: waves.Skipped) -> None:
        """Moves an instance from remaining or out to skipped."""
        self._remaining.pop(skipped.instance_id, None)
        self._out.pop(skipped.instance_id, None)
        self._skipped[skipped.instance_id] = skipped
        self._wave = None


class WaveMapping(Mapping[ids.WaveId, waves.Wave]):
    """A read-only mapping of waves by id; rebuilds a changed wave on access."""

    def __init__(self, records: Mapping[ids.WaveId, WaveRecord]) -> None:
        """Creates a view of the records."""
        self._records = records

    def __getitem__(self, wave_id: ids.WaveId) -> waves.Wave:
        return self._records[wave_id].to_wave()

    def __iter__(self) -> Iterator[ids.WaveId]:
        return iter(self._records)

    def __len__(self) -> int:
        return len(self._records)


class State:
    """The tables and their indexes.

    Tables may be read directly. Those with indexes are written only through the
    methods.
    """

    def __init__(self) -> None:
        """Creates empty tables."""
        self.profiles: dict[ids.ProfileId, profiles.Profile] = {}
        self.services: dict[ids.ServiceId, profiles.Service] = {}
        self.teams: dict[ids.TeamId, profiles.Team] = {}
        self.pools: dict[ids.PoolId, pools.Pool] = {}
        self.instances: dict[ids.InstanceId, pools.Instance] = {}
        self.waves: dict[ids.WaveId, WaveRecord] = {}
        self.jobs: dict[ids.JobId, jobs.Job] = {}
        # Apart from the jobs, whose records earlier builds read strictly.
        self.losses: dict[ids.JobId, job_losses.JobLosses] = {}
        self.claims: dict[bytes, ClaimRecord] = {}
        # The results of the controller's commands are stored separately,
        # because the burst of commands after the loss of an availability zone
        # would otherwise evict the results of operators' commands.
        self.results: dict[tuple[str, str], StoredResult] = {}
        self.system_results: dict[tuple[str, str], StoredResult] = {}
        self.ledger = ledger.Ledger()
        # Cache of encoded ledger blocks by first sequence number, for
        # snapshots.
        self.ledger_blocks: dict[int, bytes] = {}
        self.revision = 0
        self.applied_index = 0
        self.time_ms = 0

        self.services_by_profile: Index[ids.ProfileId, ids.ServiceId] = Index()
        self.instances_by_pool: Index[ids.PoolId, ids.InstanceId] = Index()
        self.instances_by_zone: Index[ids.AvailabilityZone, ids.InstanceId] = (
            Index()
        )
        self.instances_by_rack: Index[ids.Rack, ids.InstanceId] = Index()
        self.instances_by_state: Index[pools.InstanceState, ids.InstanceId] = (
            Index()
        )
        self.instances_moving_to: Index[ids.PoolId, ids.InstanceId] = Index()
        self.jobs_by_instance: Index[ids.InstanceId, ids.JobId] = Index()
        self.jobs_by_state: Index[jobs.JobState, ids.JobId] = Index()
        self.live_jobs_by_service: Index[ids.ServiceId, ids.JobId] = Index()
        self._jobs_by_service: Index[ids.ServiceId, ids.JobId] = Index()
        self._used_by_instance: dict[ids.InstanceId, Resources] = {}
        self._used_by_team: dict[ids.TeamId, Resources] = {}
        # Number of instances of each size, by pool.
        self._instances_by_size: dict[ids.PoolId, dict[Resources, int]] = {}
        self._finished_jobs: dict[ids.JobId, None] = {}
        self._ended_waves: dict[ids.WaveId, None] = {}

    def put_service(self, service: profiles.Service) -> None:
        """Adds or replaces a service."""
        self.remove_service(service.service_id, index_only=True)
        self.services[service.service_id] = service
        self.services_by_profile.add(service.profile_id, service.service_id)

    def remove_service(
        self, service_id: ids.ServiceId, index_only: bool = False
    ) -> None:
        """Removes a service and its jobs.

        With `index_only`, removes just the index entries of the service.
        """
        old = self.services.get(service_id)
        if old is not None:
            self.services_by_profile.discard(old.profile_id, service_id)
        if index_only:
            return
        for job_id in list(self._jobs_by_service[service_id]):
            self._remove_job(job_id)
        del self.services[service_id]

    def put_instance(self, instance: pools.Instance) -> None:
        """Adds or replaces an instance."""
        instance_id = instance.instance_id
        self.remove_instance(instance_id, index_only=True)
        self.instances[instance_id] = instance
        self.instances_by_pool.add(instance.pool_id, instance_id)
        self.instances_by_zone.add(instance.availability_zone, instance_id)
        self.instances_by_rack.add(instance.rack, instance_id)
        self.instances_by_state.add(instance.state, instance_id)
        if instance.moving_to is not None:
            self.instances_moving_to.add(instance.moving_to, instance_id)
        counts = self._instances_by_size.setdefault(instance.pool_id, {})
        size = instance_resources(instance)
        counts[size] = counts.get(size, 0) + 1

    def remove_instance(
        self, instance_id: ids.InstanceId, index_only: bool = False
    ) -> None:
        """Removes an instance; with `index_only` just its index entries."""
        old = self.instances.get(instance_id)
        if old is None:
            return
        self.instances_by_pool.discard(old.pool_id, instance_id)
        self.instances_by_zone.discard(old.availability_zone, instance_id)
        self.instances_by_rack.discard(old.rack, instance_id)
        self.instances_by_state.discard(old.state, instance_id)
        if old.moving_to is not None:
            self.instances_moving_to.discard(old.moving_to, instance_id)
        counts = self._instances_by_size[old.pool_id]
        size = instance_resources(old)
        counts[size] -= 1
        if not counts[size]:
            del counts[size]
        if not index_only:
            del self.instances[instance_id]

    def put_job(self, job: jobs.Job) -> None:
        """Adds or replaces a job, and evicts the oldest excess finished job."""
        self._unindex_job(self.jobs.get(job.job_id))
        self.jobs[job.job_id] = job
        self.jobs_by_state.add(job.state, job.job_id)
        self._jobs_by_service.add(job.service_id, job.job_id)
        if job.state.is_final:
            self.losses.pop(job.job_id, None)
            self._finished_jobs[job.job_id] = None
            if len(self._finished_jobs) > _MAX_FINISHED_JOBS:
                self._remove_job(next(iter(self._finished_jobs)))
            return
        self.live_jobs_by_service.add(job.service_id, job.job_id)
        if job.state.holds_instance and job.instance_id is not None:
            self.jobs_by_instance.add(job.instance_id, job.job_id)
            self._add_usage(job, 1)

    def put_wave(self, record: WaveRecord, header: waves.Wave) -> None:
        """Stores a changed wave, and evicts the oldest excess ended waves."""
        record.set_header(header)
        self.waves[header.wave_id] = record
        if header.state.is_final and not record.out:
            self._ended_waves[header.wave_id] = None
            self._evict_ended_waves()

    def used_by_instance(self, instance_id: ids.InstanceId) -> Resources:
        """Returns the resources that the jobs on an instance occupy."""
        return self._used_by_instance.get(instance_id, _NO_RESOURCES)

    def used_by_team(self, team_id: ids.TeamId) -> Resources:
        """Returns the resources that the placed jobs of a team use."""
        return self._used_by_team.get(team_id, _NO_RESOURCES)

    def instance_sizes(self, pool_id: ids.PoolId) -> Collection[Resources]:
        """Returns the distinct sizes of the instances of a pool."""
        return self._instances_by_size.get(pool_id, {}).keys()

    def instances_of(self, pool_id: ids.PoolId) -> list[pools.Instance]:
        """Returns the instances of a pool."""
        return [
            self.instances[instance_id]
            for instance_id in self.instances_by_pool[pool_id]
        ]

    def firm_of_job(self, job: jobs.Job) -> ids.FirmId:
        """Returns the firm of the service that a job belongs to."""
        return self.services[job.service_id].firm

    @property
    def live_job_count(self) -> int:
        """Number of jobs that have not ended."""
        return len(self.jobs) - len(self._finished_jobs)

    @property
    def finished_jobs(self) -> Collection[ids.JobId]:
        """Finished jobs, in the order in which they finished."""
        return self._finished_jobs.keys()

    @property
    def ended_waves(self) -> Collection[ids.WaveId]:
        """Ended waves, in the order in which they ended."""
        return self._ended_waves.keys()

    def restore_order(
        self,
        finished_jobs: Iterable[ids.JobId],
        ended_waves: Iterable[ids.WaveId],
    ) -> None:
        """Sets the order in which finished jobs and ended waves are evicted."""
        self._finished_jobs = dict.fromkeys(finished_jobs)
        self._ended_waves = dict.fromkeys(ended_waves)

    def profile_of_pool(self, pool_id: ids.PoolId) -> profiles.Profile | None:
        """Returns the profile of a pool's service; None for a spare pool."""
        service_id = self.pools[pool_id].service_id
        if service_id is None:
            return None
        return self.profiles[self.services[service_id].profile_id]

    def _evict_ended_waves(self) -> None:
        ended = self._ended_waves
        count = sum(len(self.waves[wave_id]) for wave_id in ended)
        while len(ended) > 1 and (
            count > _MAX_ENDED_WAVE_INSTANCES or len(ended) > _MAX_ENDED_WAVES
        ):
            oldest = next(iter(ended))
            count -= len(self.waves[oldest])
            del ended[oldest]
            del self.waves[oldest]

    def _unindex_job(self, old: jobs.Job | None) -> None:
        if old is None:
            return
        self.jobs_by_state.discard(old.state, old.job_id)
        self._finished_jobs.pop(old.job_id, None)
        self.live_jobs_by_service.discard(old.service_id, old.job_id)
        if old.state.holds_instance and old.instance_id is not None:
            self.jobs_by_instance.discard(old.instance_id, old.job_id)
            self._add_usage(old, -1)

    def _remove_job(self, job_id: ids.JobId) -> None:
        job = self.jobs[job_id]
        self._unindex_job(job)
        self._jobs_by_service.discard(job.service_id, job_id)
        self.losses.pop(job_id, None)
        del self.jobs[job_id]

    def _add_usage(self, job: jobs.Job, sign: int) -> None:
        if job.instance_id is not None:
            resources = demand_resources(job.occupied)
            _add_to_sum(
                self._used_by_instance, job.instance_id, resources, sign
            )
        if job.team_id is not None:
            resources = demand_resources(job.demand)
            _add_to_sum(self._used_by_team, job.team_id, resources, sign)


def _add_to_sum(
    sums: dict[_Key, Resources], key: _Key, resources: Resources, sign: int
) -> None:
    total = sums.get(key, _NO_RESOURCES).plus(resources, sign)
    if total == _NO_RESOURCES:
        sums.pop(key, None)
    else:
        sums[key] = total


def instance_resources(instance: pools.Instance) -> Resources:
    """Returns the resources of an instance."""
    millicores = round(instance.cores * _MILLICORES_PER_CORE)
    return Resources(0, millicores, instance.memory_mb, instance.accelerators)
