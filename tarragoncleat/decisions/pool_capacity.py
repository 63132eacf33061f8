"""Free capacity of one pool while jobs are being placed.

Sizes are the learned ones. Within the failure domains of the pool, a job goes
to the availability zone, then the rack, with the fewest jobs for its size, and
there to the instance with the least room that is enough.
"""

import collections
from collections.abc import Collection, Iterable, Iterator
import dataclasses

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import usage
from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = ["Host", "PoolCapacity"]

_MS_PER_S = 1000
_RELEARN_MS = 5_000
# Sums of fractional processors carry rounding errors of this order.
_EPSILON = 1e-9

_Rack = tuple[str, str]


@dataclasses.dataclass(slots=True)
class Host:
    """An instance with its free capacity and the jobs that it runs.

    `taken` holds what was reserved for each job. It is what an end or an
    interruption frees, whatever size has been learned for the job since.
    """

    instance: pools.Instance
    cores: float
    memory_mb: int
    accelerators: int
    ready: bool
    active: dict[ids.JobId, jobs.Job]
    source: tuple[jobs.Job, ...]
    taken: dict[ids.JobId, jobs.Demand] = dataclasses.field(
        default_factory=dict
    )

    def fits(self, demand: jobs.Demand) -> bool:
        """Tells whether a job of this size fits now."""
        return (
            demand.cores <= self.cores + _EPSILON
            and demand.memory_mb <= self.memory_mb
            and demand.accelerators <= self.accelerators
        )

    def take(self, demand: jobs.Demand, sign: int = 1) -> None:
        """Reserves (or, with sign -1, frees) capacity."""
        self.cores -= sign * demand.cores
        self.memory_mb -= sign * demand.memory_mb
        self.accelerators -= sign * demand.accelerators

    def add(self, job: jobs.Job, demand: jobs.Demand) -> None:
        """Reserves capacity for a job."""
        self.active[job.job_id] = job
        self.taken[job.job_id] = demand
        self.take(demand)

    def remove(self, job_id: ids.JobId) -> None:
        """Frees what was reserved for a job."""
        del self.active[job_id]
        self.take(self.taken.pop(job_id), -1)


@dataclasses.dataclass(slots=True)
class _RackGroup:
    zone: str
    hosts: list[Host]
    jobs: int = 0


class PoolCapacity:
    """The hosts of one pool, grouped by rack.

    It is kept from one decision to the next. `update` takes over what was
    committed since; only hosts whose jobs changed are worked out again, and
    all of them when an instance, the profile or the leases changed, or after
    `_RELEARN_MS`, because learned sizes change too.
    """

    def __init__(self, model: usage.UsageModel) -> None:
        """Creates an empty pool.

        Args:
            model: Learned sizes and run times.
        """
        self._model = model
        self._pool: fleet_view.PoolView | None = None
        self._ready: Collection[ids.InstanceId] = ()
        self._learned_ms = 0
        self._placement = profiles.Placement()
        self._zone_jobs: collections.Counter[str] = collections.Counter()
        self._zone_hosts: collections.Counter[str] = collections.Counter()
        self._racks: dict[_Rack, _RackGroup] = {}
        self._hosts: dict[ids.InstanceId, Host] = {}
        self._touched: set[ids.InstanceId] = set()
        self._shapes: set[jobs.Demand] = set()
        self._largest = jobs.Demand(0, 0)

    def update(
        self,
        pool: fleet_view.PoolView,
        ready: Collection[ids.InstanceId],
        now_ms: int,
    ) -> None:
        """Takes over the committed state.

        Args:
            pool: The pool.
            ready: Instances that can start a job now.
            now_ms: Time in milliseconds since the epoch.
        """
        last = self._pool
        self._pool = pool
        if (
            last is None
            or last.instances is not pool.instances
            or last.profile is not pool.profile
            or self._ready != ready
            or now_ms - self._learned_ms >= _RELEARN_MS
        ):
            self._ready = ready
            self._learned_ms = now_ms
            self._rebuild(pool)
            return
        for name, host in self._hosts.items():
            active = pool.active.get(name, ())
            if host.source is not active or name in self._touched:
                self._fill(host, active)
        self._touched.clear()

    def _rebuild(self, pool: fleet_view.PoolView) -> None:
        self._placement = _placement_of(pool)
        self._zone_jobs.clear()
        self._zone_hosts.clear()
        self._racks.clear()
        self._hosts.clear()
        self._touched.clear()
        zones = self._placement.availability_zones
        allowed = [
            item
            for item in pool.instances
            if not zones or item.availability_zone in zones
        ]
        self._shapes = {
            jobs.Demand(item.cores, item.memory_mb, item.accelerators)
            for item in allowed
        }
        self._largest = _largest(self._shapes)
        for instance in allowed:
            self._add_host(instance, pool.active.get(instance.instance_id, ()))

    @property
    def ready_hosts(self) -> Iterator[Host]:
        """Hosts that can start a job now."""
        return (host for host in self._hosts.values() if host.ready)

    def demand(self, job: jobs.Job) -> jobs.Demand:
        """Returns the capacity that a job takes, as learned.

        A placed job never counts for less than its placement reserved.
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

    def never_fits(self, job: jobs.Job) -> str | None:
        """Returns why a job fits no instance of the pool, even an empty one.

        A pool without instances only makes the job wait, because instances
        can be moved into it.
        """
        declared = job.demand
        if not self._shapes:
            return None
        for shape in self._shapes:
            if (
                declared.cores <= shape.cores
                and declared.memory_mb <= shape.memory_mb
                and declared.accelerators <= shape.accelerators
            ):
                return None
        return (
            f"needs {declared.cores:g} cores, {declared.memory_mb} MB and "
            f"{declared.accelerators} accelerators; the largest instance of "
            f"the pool has {self._largest.cores:g} cores, "
            f"{self._largest.memory_mb} MB and "
            f"{self._largest.accelerators} accelerators"
        )

    def choose(
        self, job: jobs.Job, excluded: ids.InstanceId | None
    ) -> ids.InstanceId | None:
        """Returns the best host with room for a job, if there is one."""
        demand = self.demand(job)
        best: tuple[tuple[float, float], Host] | None = None
        for group in self._racks.values():
            if self._is_rack_full(group):
                continue
            order = self._rack_order(group)
            if best is not None and order >= best[0]:
                continue
            host = _tightest(group.hosts, demand, excluded)
            if host is not None:
                best = (order, host)
        return None if best is None else best[1].instance.instance_id

    def occupy(self, job: jobs.Job, instance_id: ids.InstanceId) -> None:
        """Reserves room for a job that is placed now."""
        host = self._hosts[instance_id]
        self._touched.add(instance_id)
        host.add(job, self.demand(job))
        self._count_job(host, 1)

    def interrupt(self, job: jobs.Job, action: profiles.Interruption) -> None:
        """Frees what the interruption of a running job frees."""
        assert job.instance_id is not None
        host = self._hosts[job.instance_id]
        self._touched.add(job.instance_id)
        host.remove(job.job_id)
        if action is profiles.Interruption.THROTTLE:
            slowed = dataclasses.replace(job, state=jobs.JobState.THROTTLED)
            host.add(slowed, self.demand(slowed))
            return
        self._count_job(host, -1)

    def fits_after(
        self,
        host: Host,
        job: jobs.Job,
        interruptions: Iterable[tuple[jobs.Job, profiles.Interruption]],
    ) -> bool:
        """Tells whether a job fits on a host after some interruptions."""
        after = dataclasses.replace(host, active={}, taken={})
        removed = 0
        for other, action in interruptions:
            after.take(host.taken[other.job_id], -1)
            if action is profiles.Interruption.THROTTLE:
                slowed = dataclasses.replace(
                    other, state=jobs.JobState.THROTTLED
                )
                after.take(self.demand(slowed))
            else:
                removed += 1
        return after.fits(self.demand(job)) and self.can_host(host, removed)

    def can_host(self, host: Host, freed_jobs: int) -> bool:
        """Tells whether the rack limit admits one more job on a host.

        Args:
            host: The host.
            freed_jobs: Jobs of the host that would be gone by then.
        """
        limit = self._placement.max_per_rack
        jobs_then = self._racks[_rack(host.instance)].jobs - freed_jobs
        return not limit or jobs_then < limit

    def blocked_reason(self, job: jobs.Job, is_first: bool) -> str:
        """Says why a job that fits an empty instance has to wait.

        Args:
            job: The job.
            is_first: Whether no job of the pool waits ahead of it.
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

    def earliest_room(
        self, job: jobs.Job, now_ms: int
    ) -> tuple[ids.InstanceId, float] | None:
        """Returns where and when room is expected for a waiting job."""
        demand = self.demand(job)
        found: list[tuple[float, ids.InstanceId]] = []
        for host in self.ready_hosts:
            start_ms = self._room_at(host, demand, now_ms)
            if start_ms is not None:
                found.append((start_ms, host.instance.instance_id))
        if not found:
            return None
        start_ms, instance_id = min(found)
        return instance_id, start_ms

    def _room_at(
        self, host: Host, demand: jobs.Demand, now_ms: int
    ) -> float | None:
        ends = sorted(
            (
                (self._end_ms(job, now_ms), key)
                for key, job in host.active.items()
            )
        )
        free = dataclasses.replace(host, active={}, taken={})
        for end_ms, job_id in ends:
            free.take(host.taken[job_id], -1)
            if free.fits(demand):
                return end_ms
        return None

    def _end_ms(self, job: jobs.Job, now_ms: int) -> float:
        # A job that has overrun its expected end may end at any moment.
        started_ms = job.started_at_ms or now_ms
        return max(now_ms, started_ms + self._model.run_s(job) * _MS_PER_S)

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
        self._fill(host, active)

    def _fill(self, host: Host, active: tuple[jobs.Job, ...]) -> None:
        self._count_job(host, len(active) - len(host.active))
        host.cores = host.instance.cores
        host.memory_mb = host.instance.memory_mb
        host.accelerators = host.instance.accelerators
        host.source = active
        host.active = {}
        host.taken = {}
        for job in active:
            host.add(job, self.demand(job))

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


def _largest(instances: Collection[jobs.Demand]) -> jobs.Demand:
    return jobs.Demand(
        max((item.cores for item in instances), default=0),
        max((item.memory_mb for item in instances), default=0),
        max((item.accelerators for item in instances), default=0),
    )


def _tightest(
    hosts: Collection[Host],
    demand: jobs.Demand,
    excluded: ids.InstanceId | None,
) -> Host | None:
    fitting = [
        host
        for host in hosts
        if host.ready
        and host.fits(demand)
        and host.instance.instance_id != excluded
    ]
    return min(
        fitting,
        key=lambda host: (
            host.cores,
            host.memory_mb,
            host.instance.instance_id,
        ),
        default=None,
    )
