"""The tables of the fleet with their indexes.

Every write goes through a `put_` or `drop_` method, so that the indexes by
pool, service, availability zone and state always match the tables, and a
command costs what it changes rather than the size of the fleet.

Sums are kept in whole numbers (cores in thousandths). Sums of floats depend on
the order of the additions, so a replica that was restored from a snapshot
would differ from one that applied every record.
"""

from collections.abc import Collection, Hashable, Iterable, Iterator, Mapping
import dataclasses
from typing import Generic, TypeVar

from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = [
    "Amount",
    "ClaimRecord",
    "Index",
    "State",
    "StoredResult",
    "WaveRecord",
    "WaveViews",
    "amount_of",
    "fits",
    "size_of",
]

# Finished jobs stay readable until this many newer ones have finished.
_MAX_FINISHED_JOBS = 20_000
# Ended waves stay readable until newer ones have this many members together,
# or are this many.
_MAX_ENDED_MEMBERS = 50_000
_MAX_ENDED_WAVES = 1_000
_MILLI = 1000

_Key = TypeVar("_Key", bound=Hashable)
_Id = TypeVar("_Id", bound=Hashable)


class Index(Generic[_Key, _Id]):
    """Ids by a key, in order of insertion."""

    def __init__(self) -> None:
        """Creates an empty index."""
        self._ids: dict[_Key, dict[_Id, None]] = {}

    def __getitem__(self, key: _Key) -> Collection[_Id]:
        return self._ids.get(key, {}).keys()

    def keys(self) -> Collection[_Key]:
        """Returns the keys that have ids."""
        return self._ids.keys()

    def add(self, key: _Key, item: _Id) -> None:
        """Adds an id under a key."""
        self._ids.setdefault(key, {})[item] = None

    def discard(self, key: _Key, item: _Id) -> None:
        """Removes an id from a key, if it is there."""
        found = self._ids.get(key)
        if found is None:
            return
        found.pop(item, None)
        if not found:
            del self._ids[key]


@dataclasses.dataclass(frozen=True, slots=True)
class Amount:
    """A sum of demands in whole numbers."""

    jobs: int = 0
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Amount", sign: int = 1) -> "Amount":
        """Returns the sum, or the difference for a sign of -1."""
        return Amount(
            self.jobs + sign * other.jobs,
            self.millicores + sign * other.millicores,
            self.memory_mb + sign * other.memory_mb,
            self.accelerators + sign * other.accelerators,
        )


_NOTHING = Amount()


def amount_of(demand: jobs.Demand) -> Amount:
    """Returns the demand of one job as a sum."""
    millicores = round(demand.cores * _MILLI)
    return Amount(1, millicores, demand.memory_mb, demand.accelerators)


def fits(used: Amount, size: Amount) -> bool:
    """Tells whether a sum of demands fits into a size."""
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
    """The result of a command, kept for resends of it."""

    digest: bytes
    time_ms: int
    result: bytes


class WaveRecord:
    """A wave whose members change one at a time without copying the rest."""

    def __init__(self, wave: waves.Wave) -> None:
        """Takes the members out of a wave."""
        self._head = dataclasses.replace(
            wave, remaining=(), out=(), done=(), skipped=()
        )
        self._remaining = dict.fromkeys(wave.remaining)
        self._out = dict.fromkeys(wave.out)
        self._done = dict.fromkeys(wave.done)
        self._skipped = {item.instance_id: item for item in wave.skipped}
        self._view: waves.Wave | None = wave

    @property
    def head(self) -> waves.Wave:
        """The wave without its members."""
        return self._head

    @property
    def remaining(self) -> Collection[ids.InstanceId]:
        """Instances that were not taken yet."""
        return self._remaining.keys()

    @property
    def out(self) -> Collection[ids.InstanceId]:
        """Instances that are out now."""
        return self._out.keys()

    def view(self) -> waves.Wave:
        """Returns the whole wave."""
        if self._view is None:
            self._view = dataclasses.replace(
                self._head,
                remaining=tuple(self._remaining),
                out=tuple(self._out),
                done=tuple(self._done),
                skipped=tuple(self._skipped.values()),
            )
        return self._view

    def __len__(self) -> int:
        return (
            len(self._remaining)
            + len(self._out)
            + len(self._done)
            + len(self._skipped)
        )

    def set_head(self, head: waves.Wave) -> None:
        """Replaces everything but the members."""
        self._head = head
        self._view = None

    def take(self, instance_id: ids.InstanceId) -> None:
        """Moves an instance from remaining to out."""
        del self._remaining[instance_id]
        self._out[instance_id] = None
        self._view = None

    def finish(self, instance_id: ids.InstanceId) -> None:
        """Moves an instance from out to done."""
        del self._out[instance_id]
        self._done[instance_id] = None
        self._view = None

    def skip(self, skipped: waves.Skipped) -> None:
        """Moves an instance from remaining or out to skipped."""
        self._remaining.pop(skipped.instance_id, None)
        self._out.pop(skipped.instance_id, None)
        self._skipped[skipped.instance_id] = skipped
        self._view = None


class WaveViews(Mapping[ids.WaveId, waves.Wave]):
    """The waves by id; a changed wave is built again when it is read."""

    def __init__(self, records: Mapping[ids.WaveId, WaveRecord]) -> None:
        """Wraps the records."""
        self._records = records

    def __getitem__(self, wave_id: ids.WaveId) -> waves.Wave:
        return self._records[wave_id].view()

    def __iter__(self) -> Iterator[ids.WaveId]:
        return iter(self._records)

    def __len__(self) -> int:
        return len(self._records)


class State:
    """The tables. Reading is free; writing goes through the methods."""

    def __init__(self) -> None:
        """Creates an empty fleet."""
        self.profiles: dict[ids.ProfileId, profiles.Profile] = {}
        self.services: dict[ids.ServiceId, profiles.Service] = {}
        self.teams: dict[ids.TeamId, profiles.Team] = {}
        self.pools: dict[ids.PoolId, pools.Pool] = {}
        self.instances: dict[ids.InstanceId, pools.Instance] = {}
        self.waves: dict[ids.WaveId, WaveRecord] = {}
        self.jobs: dict[ids.JobId, jobs.Job] = {}
        self.claims: dict[bytes, ClaimRecord] = {}
        # The controller's results are kept apart, because the commands that
        # follow the loss of an availability zone would crowd out operators'.
        self.results: dict[tuple[str, str], StoredResult] = {}
        self.system_results: dict[tuple[str, str], StoredResult] = {}
        self.ledger = ledger.Ledger()
        # Encoded blocks of the ledger by first sequence, for snapshots.
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
        self.moving_to: Index[ids.PoolId, ids.InstanceId] = Index()
        self.jobs_by_instance: Index[ids.InstanceId, ids.JobId] = Index()
        self.jobs_by_state: Index[jobs.JobState, ids.JobId] = Index()
        self.live_jobs_by_service: Index[ids.ServiceId, ids.JobId] = Index()
        self._jobs_by_service: Index[ids.ServiceId, ids.JobId] = Index()
        self._used_by_instance: dict[ids.InstanceId, Amount] = {}
        self._used_by_team: dict[ids.TeamId, Amount] = {}
        self._shapes: dict[ids.PoolId, dict[Amount, int]] = {}
        self._finished: dict[ids.JobId, None] = {}
        self._ended_waves: dict[ids.WaveId, None] = {}

    def put_service(self, service: profiles.Service) -> None:
        """Adds or replaces a service."""
        self.drop_service(service.service_id, keep=True)
        self.services[service.service_id] = service
        self.services_by_profile.add(service.profile_id, service.service_id)

    def drop_service(
        self, service_id: ids.ServiceId, keep: bool = False
    ) -> None:
        """Removes a service with its jobs; with `keep` only its index."""
        old = self.services.get(service_id)
        if old is not None:
            self.services_by_profile.discard(old.profile_id, service_id)
        if keep:
            return
        for job_id in list(self._jobs_by_service[service_id]):
            self._drop_job(job_id)
        del self.services[service_id]

    def put_instance(self, instance: pools.Instance) -> None:
        """Adds or replaces an instance."""
        self.drop_instance(instance.instance_id, keep=True)
        name = instance.instance_id
        self.instances[name] = instance
        self.instances_by_pool.add(instance.pool_id, name)
        self.instances_by_zone.add(instance.availability_zone, name)
        self.instances_by_rack.add(instance.rack, name)
        self.instances_by_state.add(instance.state, name)
        if instance.moving_to is not None:
            self.moving_to.add(instance.moving_to, name)
        shapes = self._shapes.setdefault(instance.pool_id, {})
        shape = size_of(instance)
        shapes[shape] = shapes.get(shape, 0) + 1

    def drop_instance(
        self, instance_id: ids.InstanceId, keep: bool = False
    ) -> None:
        """Removes an instance; with `keep` only from the indexes."""
        old = self.instances.get(instance_id)
        if old is None:
            return
        self.instances_by_pool.discard(old.pool_id, instance_id)
        self.instances_by_zone.discard(old.availability_zone, instance_id)
        self.instances_by_rack.discard(old.rack, instance_id)
        self.instances_by_state.discard(old.state, instance_id)
        if old.moving_to is not None:
            self.moving_to.discard(old.moving_to, instance_id)
        shapes = self._shapes[old.pool_id]
        shape = size_of(old)
        shapes[shape] -= 1
        if not shapes[shape]:
            del shapes[shape]
        if not keep:
            del self.instances[instance_id]

    def put_job(self, job: jobs.Job) -> None:
        """Adds or replaces a job, and drops the oldest finished ones."""
        self._unlink_job(self.jobs.get(job.job_id))
        self.jobs[job.job_id] = job
        self.jobs_by_state.add(job.state, job.job_id)
        self._jobs_by_service.add(job.service_id, job.job_id)
        if job.state.is_final:
            self._finished[job.job_id] = None
            if len(self._finished) > _MAX_FINISHED_JOBS:
                self._drop_job(next(iter(self._finished)))
            return
        self.live_jobs_by_service.add(job.service_id, job.job_id)
        if job.state.holds_instance and job.instance_id is not None:
            self.jobs_by_instance.add(job.instance_id, job.job_id)
            self._use(job, 1)

    def put_wave(self, record: WaveRecord, head: waves.Wave) -> None:
        """Stores a changed wave, and drops the oldest ended ones."""
        record.set_head(head)
        self.waves[head.wave_id] = record
        if head.state.is_final and not record.out:
            self._ended_waves[head.wave_id] = None
            self._drop_ended_waves()

    def used_by_instance(self, instance_id: ids.InstanceId) -> Amount:
        """Returns what the jobs on an instance take."""
        return self._used_by_instance.get(instance_id, _NOTHING)

    def used_by_team(self, team_id: ids.TeamId) -> Amount:
        """Returns what the placed jobs of a team take."""
        return self._used_by_team.get(team_id, _NOTHING)

    def shapes(self, pool_id: ids.PoolId) -> Collection[Amount]:
        """Returns the different sizes of the instances of a pool."""
        return self._shapes.get(pool_id, {}).keys()

    def instances_of(self, pool_id: ids.PoolId) -> list[pools.Instance]:
        """Returns the instances of a pool."""
        names = self.instances_by_pool[pool_id]
        return [self.instances[name] for name in names]

    def firm_of_job(self, job: jobs.Job) -> ids.FirmId:
        """Returns the firm of the service that a job belongs to."""
        return self.services[job.service_id].firm

    @property
    def live_job_count(self) -> int:
        """Number of jobs that have not ended."""
        return len(self.jobs) - len(self._finished)

    @property
    def finished_jobs(self) -> Collection[ids.JobId]:
        """Finished jobs, the one that finished first in front."""
        return self._finished.keys()

    @property
    def ended_waves(self) -> Collection[ids.WaveId]:
        """Ended waves, the one that ended first in front."""
        return self._ended_waves.keys()

    def restore_order(
        self,
        finished_jobs: Iterable[ids.JobId],
        ended_waves: Iterable[ids.WaveId],
    ) -> None:
        """Sets the order in which finished jobs and ended waves go."""
        self._finished = dict.fromkeys(finished_jobs)
        self._ended_waves = dict.fromkeys(ended_waves)

    def profile_of_pool(self, pool_id: ids.PoolId) -> profiles.Profile | None:
        """Returns the profile that a pool is owed under; None for spare."""
        service_id = self.pools[pool_id].service_id
        if service_id is None:
            return None
        return self.profiles[self.services[service_id].profile_id]

    def _drop_ended_waves(self) -> None:
        ended = self._ended_waves
        members = sum(len(self.waves[name]) for name in ended)
        while len(ended) > 1 and (
            members > _MAX_ENDED_MEMBERS or len(ended) > _MAX_ENDED_WAVES
        ):
            oldest = next(iter(ended))
            members -= len(self.waves[oldest])
            del ended[oldest]
            del self.waves[oldest]

    def _unlink_job(self, old: jobs.Job | None) -> None:
        if old is None:
            return
        self.jobs_by_state.discard(old.state, old.job_id)
        self._finished.pop(old.job_id, None)
        self.live_jobs_by_service.discard(old.service_id, old.job_id)
        if old.state.holds_instance and old.instance_id is not None:
            self.jobs_by_instance.discard(old.instance_id, old.job_id)
            self._use(old, -1)

    def _drop_job(self, job_id: ids.JobId) -> None:
        job = self.jobs[job_id]
        self._unlink_job(job)
        self._jobs_by_service.discard(job.service_id, job_id)
        del self.jobs[job_id]

    def _use(self, job: jobs.Job, sign: int) -> None:
        if job.instance_id is not None:
            amount = amount_of(job.occupied)
            _add(self._used_by_instance, job.instance_id, amount, sign)
        if job.team_id is not None:
            amount = amount_of(job.demand)
            _add(self._used_by_team, job.team_id, amount, sign)


def _add(
    sums: dict[_Key, Amount], key: _Key, amount: Amount, sign: int
) -> None:
    total = sums.get(key, _NOTHING).plus(amount, sign)
    if total == _NOTHING:
        sums.pop(key, None)
    else:
        sums[key] = total


def size_of(instance: pools.Instance) -> Amount:
    """Returns the size of an instance as a sum."""
    millicores = round(instance.cores * _MILLI)
    return Amount(0, millicores, instance.memory_mb, instance.accelerators)
