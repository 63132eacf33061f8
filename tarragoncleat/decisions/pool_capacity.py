"""Free capacity of one pool during the placement of jobs.

Job sizes are the learned ones. A job goes to the availability zone, and in it
to the rack, with the fewest jobs per instance (with the most if the placement
doesn't spread), and there to the instance with the least free capacity that is
sufficient (best fit). A job that may crash its worker gets an instance to
itself if one is vacant.
"""

import collections
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
import dataclasses

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import usage
from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = ["Host", "PoolCapacity"]

_MS_PER_S = 1000
_REBUILD_INTERVAL_MS = 5_000
# Sums of fractional cores carry rounding errors of this order.
_EPSILON = 1e-9
# A suspect that has run as long shares its instance again.
_PROBATION_MS = 60_000
# Limits the capacity that other jobs lack for suspects.
_MAX_ISOLATED_SHARE = 0.25

_Rack = tuple[str, str]


@dataclasses.dataclass(slots=True)
class Host:
    """An instance with its free capacity and the jobs that it runs.

    `reserved` holds the capacity reserved for each job. The end or an
    interruption of the job frees this amount, even if a different size has been
    learned for it since.
    """

    instance: pools.Instance
    free_cores: float
    free_memory_mb: int
    free_accelerators: int
    ready: bool
    active: dict[ids.JobId, jobs.Job]
    loaded_jobs: tuple[jobs.Job, ...]
    reserved: dict[ids.JobId, jobs.Demand] = dataclasses.field(
        default_factory=dict
    )

    def fits(self, demand: jobs.Demand) -> bool:
        """Returns whether a job of this size fits now."""
        return (
            demand.cores <= self.free_cores + _EPSILON
            and demand.memory_mb <= self.free_memory_mb
            and demand.accelerators <= self.free_accelerators
        )

    def reserve(self, demand: jobs.Demand, sign: int = 1) -> None:
        """Reserves (or, with sign -1, frees) capacity."""
        self.free_cores -= sign * demand.cores
        self.free_memory_mb -= sign * demand.memory_mb
        self.free_accelerators -= sign * demand.accelerators

    def add_job(self, job: jobs.Job, demand: jobs.Demand) -> None:
        """Reserves capacity for a job."""
        self.active[job.job_id] = job
        self.reserved[job.job_id] = demand
        self.reserve(demand)

    def remove_job(self, job_id: ids.JobId) -> None:
        """Frees the capacity reserved for a job."""
        del self.active[job_id]
        self.reserve(self.reserved.pop(job_id), -1)


@dataclasses.dataclass(slots=True)
class _RackGroup:
    zone: str
    hosts: list[Host]
    jobs: int = 0


class PoolCapacity:
    """The hosts of one pool, grouped by rack.

    It is kept from one decision to the next. `update` applies what was
    committed since. It recomputes the hosts whose jobs changed, and all hosts
    when an instance, the profile or the leases changed or after
    `_REBUILD_INTERVAL_MS`, because learned sizes change too.
    """

    def __init__(self, model: usage.UsageModel) -> None:
        """Creates an empty pool.

        Args:
            model: Learned sizes and run times.
        """
        self._model = model
        self._pool: fleet_view.PoolView | None = None
        self._ready: Collection[ids.InstanceId] = ()
        self._rebuilt_ms = 0
        self._placement = profiles.Placement()
        self._zone_jobs: collections.Counter[str] = collections.Counter()
        self._zone_hosts: collections.Counter[str] = collections.Counter()
        self._racks: dict[_Rack, _RackGroup] = {}
        self._hosts: dict[ids.InstanceId, Host] = {}
        self._modified_hosts: set[ids.InstanceId] = set()
        self._instance_sizes: set[jobs.Demand] = set()
        self._largest = jobs.Demand(0, 0)
        self._suspects: Collection[ids.JobId] = ()
        self._isolated: set[ids.InstanceId] = set()

    def update(
        self,
        pool: fleet_view.PoolView,
        ready: Collection[ids.InstanceId],
        now_ms: int,
    ) -> None:
        """Applies the committed state.

        Args:
            pool: The pool.
            ready: Instances that can start a job now.
            now_ms: Time in milliseconds since the epoch.
        """
        previous = self._pool
        self._pool = pool
        if (
            previous is None
            or previous.instances is not pool.instances
            or previous.profile is not pool.profile
            or self._ready != ready
            or now_ms - self._rebuilt_ms >= _REBUILD_INTERVAL_MS
        ):
            self._ready = ready
            self._rebuilt_ms = now_ms
            self._rebuild(pool)
            return
        for name, host in self._hosts.items():
            active = pool.active.get(name, ())
            if host.loaded_jobs is not active or name in self._modified_hosts:
                self._load_jobs(host, active)
        self._modified_hosts.clear()

    def isolate(
        self, suspects: Mapping[ids.JobId, jobs.Job], now_ms: int
    ) -> None:
        """Keeps other jobs apart from those that may crash their workers."""
        self._suspects = suspects.keys()
        alone = {
            job.instance_id
            for job in suspects.values()
            if job.instance_id in self._hosts
            and now_ms - (job.started_at_ms or now_ms) < _PROBATION_MS
            and len(self._hosts[job.instance_id].active) == 1
        }
        self._isolated = set(sorted(alone)[: self._max_isolated])

    def _rebuild(self, pool: fleet_view.PoolView) -> None:
        self._placement = _placement_of(pool)
        self._zone_jobs.clear()
        self._zone_hosts.clear()
        self._racks.clear()
        self._hosts.clear()
        self._modified_hosts.clear()
        zones = self._placement.availability_zones
        allowed = [
            item
            for item in pool.instances
            if not zones or item.availability_zone in zones
        ]
        self._instance_sizes = {
            jobs.Demand(item.cores, item.memory_mb, item.accelerators)
            for item in allowed
        }
        self._largest = _largest_of(self._instance_sizes)
        for instance in allowed:
            self._add_host(instance, pool.active.get(instance.instance_id, ()))

    @property
    def ready_hosts(self) -> Iterator[Host]:
        """Hosts that can start a job now."""
        return (host for host in self._hosts.values() if host.ready)

    def demand(self, job: jobs.Job) -> jobs.Demand:
        """Returns the learned size of a job.

        For a placed job it is at least the size that its placement reserved.
        """
        size = self._model.demand(job, self._largest)
        if job.state not in fleet_view.ACTIVE_JOB_STATES:
            return size
        if job.state is jobs.JobState.THROTTLED:
            size = size.throttled()
        reserved = job.occupied
        return jobs.Demand(
            max(size.cores, reserved.cores),
            max(size.memory_mb, reserved.memory_mb),
            max(size.accelerators, reserved.accelerators),
        )

    def unplaceable_reason(self, job: jobs.Job) -> str | None:
        """Returns why a job fits on no instance of the pool, even an empty one.

        In a pool without instances the job only waits, because instances can
        be moved into the pool.
        """
        declared = job.demand
        if not self._instance_sizes:
            return None
        for size in self._instance_sizes:
            if (
                declared.cores <= size.cores
                and declared.memory_mb <= size.memory_mb
                and declared.accelerators <= size.accelerators
            ):
                return None
        return (
            f"needs {declared.cores:g} cores, {declared.memory_mb} MB and "
            f"{declared.accelerators} accelerators; the largest instance of "
            f"the pool has {self._largest.cores:g} cores, "
            f"{self._largest.memory_mb} MB and "
            f"{self._largest.accelerators} accelerators"
        )

    def best_host(
        self, job: jobs.Job, excluded: ids.InstanceId | None
    ) -> ids.InstanceId | None:
        """Returns the best host with sufficient capacity for a job, if any."""
        if job.job_id in self._suspects:
            alone = self._best_host(job, excluded, self._is_isolable)
            if alone is not None:
                return alone
        return self._best_host(job, excluded, self._is_shared)

    def _is_shared(self, host: Host) -> bool:
        return host.instance.instance_id not in self._isolated

    def _is_isolable(self, host: Host) -> bool:
        """Whether a suspect may have a host to itself."""
        return not host.active and len(self._isolated) < self._max_isolated

    @property
    def _max_isolated(self) -> int:
        return max(1, int(_MAX_ISOLATED_SHARE * len(self._hosts)))

    def _best_host(
        self,
        job: jobs.Job,
        excluded: ids.InstanceId | None,
        is_allowed: Callable[[Host], bool],
    ) -> ids.InstanceId | None:
        demand = self.demand(job)
        best: tuple[tuple[float, float], Host] | None = None
        for group in self._racks.values():
            if self._is_rack_full(group):
                continue
            order = self._rack_order(group)
            if best is not None and order >= best[0]:
                continue
            host = _best_fit(group.hosts, demand, excluded, is_allowed)
            if host is not None:
                best = (order, host)
        return None if best is None else best[1].instance.instance_id

    def reserve(self, job: jobs.Job, instance_id: ids.InstanceId) -> None:
        """Reserves capacity for a job that is placed now."""
        host = self._hosts[instance_id]
        self._modified_hosts.add(instance_id)
        if job.job_id in self._suspects and self._is_isolable(host):
            self._isolated.add(instance_id)
        host.add_job(job, self.demand(job))
        self._count_job(host, 1)

    def apply_interruption(
        self, job: jobs.Job, action: profiles.Interruption
    ) -> None:
        """Frees the capacity that the interruption of a running job frees."""
        assert job.instance_id is not None
        host = self._hosts[job.instance_id]
        self._modified_hosts.add(job.instance_id)
        host.remove_job(job.job_id)
        if action is profiles.Interruption.THROTTLE:
            throttled = dataclasses.replace(job, state=jobs.JobState.THROTTLED)
            host.add_job(throttled, self.demand(throttled))
            return
        self._count_job(host, -1)

    def fits_after(
        self,
        host: Host,
        job: jobs.Job,
        interruptions: Iterable[tuple[jobs.Job, profiles.Interruption]],
    ) -> bool:
        """Returns whether a job fits on a host after some interruptions."""
        remaining = dataclasses.replace(host, active={}, reserved={})
        removed = 0
        for other, action in interruptions:
            remaining.reserve(host.reserved[other.job_id], -1)
            if action is profiles.Interruption.THROTTLE:
                throttled = dataclasses.replace(
                    other, state=jobs.JobState.THROTTLED
                )
                remaining.reserve(self.demand(throttled))
            else:
                removed += 1
        return remaining.fits(self.demand(job)) and self.rack_limit_allows(
            host, removed
        )

    def rack_limit_allows(self, host: Host, freed_jobs: int) -> bool:
        """Returns whether the rack limit allows one more job on a host.

        Args:
            host: The host.
            freed_jobs: Jobs of the host that would have ended by then.
        """
        limit = self._placement.max_per_rack
        remaining_jobs = self._racks[_rack(host.instance)].jobs - freed_jobs
        return not limit or remaining_jobs < limit

    def wait_reason(self, job: jobs.Job, is_first: bool) -> str:
        """Returns why a job that fits on an empty instance has to wait.

        Args:
            job: The job.
            is_first: Whether no other job of the pool waits ahead of it.
        """
        if not self._ready:
            return "the pool has no instance that can start jobs"
        demand = self.demand(job)
        ahead = "" if is_first else " beside the jobs that wait ahead"
        return (
            f"no room for {demand.cores:g} cores, {demand.memory_mb} MB and "
            f"{demand.accelerators} accelerators{ahead} on "
            f"{len(self._ready)} instances"
        )

    def earliest_start(
        self, job: jobs.Job, now_ms: int
    ) -> tuple[ids.InstanceId, float] | None:
        """Returns where and when a waiting job is expected to fit first."""
        demand = self.demand(job)
        found: list[tuple[float, ids.InstanceId]] = []
        for host in self.ready_hosts:
            start_ms = self._earliest_start_ms(host, demand, now_ms)
            if start_ms is not None:
                found.append((start_ms, host.instance.instance_id))
        if not found:
            return None
        start_ms, instance_id = min(found)
        return instance_id, start_ms

    def _earliest_start_ms(
        self, host: Host, demand: jobs.Demand, now_ms: int
    ) -> float | None:
        ends = sorted(
            (
                (self._expected_end_ms(job, now_ms), key)
                for key, job in host.active.items()
            )
        )
        remaining = dataclasses.replace(host, active={}, reserved={})
        for end_ms, job_id in ends:
            remaining.reserve(host.reserved[job_id], -1)
            if remaining.fits(demand):
                return end_ms
        return None

    def _expected_end_ms(self, job: jobs.Job, now_ms: int) -> float:
        # A job past its expected end may end at any moment.
        started_ms = job.started_at_ms or now_ms
        return max(
            now_ms, started_ms + self._model.expected_run_s(job) * _MS_PER_S
        )

    def _add_host(
        self, instance: pools.Instance, active: tuple[jobs.Job, ...]
    ) -> None:
        can_start = (
            instance.instance_id in self._ready
            and instance.state is pools.InstanceState.IN_SERVICE
            and instance.moving_to is None
        )
        host = Host(instance, 0, 0, 0, can_start, {}, ())
        rack = _rack(instance)
        group = self._racks.setdefault(rack, _RackGroup(rack[0], []))
        group.hosts.append(host)
        self._hosts[instance.instance_id] = host
        self._zone_hosts[group.zone] += 1
        self._load_jobs(host, active)

    def _load_jobs(self, host: Host, active: tuple[jobs.Job, ...]) -> None:
        self._count_job(host, len(active) - len(host.active))
        host.free_cores = host.instance.cores
        host.free_memory_mb = host.instance.memory_mb
        host.free_accelerators = host.instance.accelerators
        host.loaded_jobs = active
        host.active = {}
        host.reserved = {}
        for job in active:
            host.add_job(job, self.demand(job))

    def _count_job(self, host: Host, count: int) -> None:
        group = self._racks[_rack(host.instance)]
        group.jobs += count
        self._zone_jobs[group.zone] += count

    def _is_rack_full(self, group: _RackGroup) -> bool:
        limit = self._placement.max_per_rack
        return bool(limit) and group.jobs >= limit

    def _rack_order(self, group: _RackGroup) -> tuple[float, float]:
        zone_load = self._zone_jobs[group.zone] / self._zone_hosts[group.zone]
        rack_load = group.jobs / len(group.hosts)
        if self._placement.spread:
            return zone_load, rack_load
        return -zone_load, -rack_load


def _placement_of(pool: fleet_view.PoolView) -> profiles.Placement:
    return (
        profiles.Placement() if pool.profile is None else pool.profile.placement
    )


def _rack(instance: pools.Instance) -> _Rack:
    return instance.availability_zone, instance.rack


def _largest_of(sizes: Collection[jobs.Demand]) -> jobs.Demand:
    return jobs.Demand(
        max((size.cores for size in sizes), default=0),
        max((size.memory_mb for size in sizes), default=0),
        max((size.accelerators for size in sizes), default=0),
    )


def _best_fit(
    hosts: Collection[Host],
    demand: jobs.Demand,
    excluded: ids.InstanceId | None,
    is_allowed: Callable[[Host], bool],
) -> Host | None:
    fitting = [
        host
        for host in hosts
        if host.ready
        and host.fits(demand)
        and is_allowed(host)
        and host.instance.instance_id != excluded
    ]
    return min(
        fitting,
        key=lambda host: (
            host.free_cores,
            host.free_memory_mb,
            host.instance.instance_id,
        ),
        default=None,
    )
