"""Plans the next step of every active maintenance wave.

A step drains instances as soon as the availability budget of their pool allows
it, finishes the ones that are in service again, and skips the ones that were
lost for longer than the profile tolerates. `budget` decides how many instances
a pool can spare; `wave_candidates` chooses which of them to drain.
"""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence
import dataclasses

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import wave_candidates
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import budget
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = [
    "ACTIVE_WAVE_STATES",
    "MissingInstances",
    "WavePlanner",
    "WaveStep",
]

_MS_PER_S = 1000
_DEFAULT_MAX_OUT_S = 3600
# A pool that lacks more instances than this gets none for a wave.
_MAX_MISSING_INSTANCES = 4

_MAINTENANCE_STATES = frozenset(
    {
        pools.InstanceState.DRAINING,
        pools.InstanceState.IN_MAINTENANCE,
        pools.InstanceState.RETURNING,
    }
)
_TASK_ENDING_ACTIONS = frozenset(
    {profiles.Interruption.CHECKPOINT, profiles.Interruption.STOP}
)
ACTIVE_WAVE_STATES = frozenset(
    {waves.WaveState.APPROVED, waves.WaveState.RUNNING}
)


@dataclasses.dataclass(frozen=True, slots=True)
class MissingInstances:
    """How many more instances a pool needs for a wave to continue."""

    pool_id: ids.PoolId
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaveStep:
    """The next step of a wave; empty when it can only wait.

    Attributes:
        wave_id: The wave.
        take: Instances to drain now.
        finish: Instances whose maintenance is done and that can serve again.
        skip: Instances that the wave leaves out, with the reason.
        blocked_by: Pools that can't spare an instance now, with the reason.
        missing_instances: Instances that some of these pools lack: no instance
            there is out or settling, so that only more instances let the wave
            continue.
    """

    wave_id: ids.WaveId
    take: tuple[ids.InstanceId, ...] = ()
    finish: tuple[ids.InstanceId, ...] = ()
    skip: tuple[waves.Skipped, ...] = ()
    blocked_by: tuple[waves.Blocker, ...] = ()
    missing_instances: tuple[MissingInstances, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the step changes no instance."""
        return not (self.take or self.finish or self.skip)


@dataclasses.dataclass(frozen=True, slots=True)
class _BlockedPool:
    """Why a pool blocks waves; valid while nothing about the pool changes."""

    view: fleet_view.PoolView
    candidates: Mapping[ids.WaveId, tuple[ids.InstanceId, ...]]
    valid_until_ms: float
    blocked_by: Mapping[ids.WaveId, waves.Blocker]


class WavePlanner:
    """Plans the steps of all active waves together.

    A pool in which no wave could drain an instance is not examined again until
    one of its instances, its profile or the waves' candidates change, or until
    an instance settles.
    """

    def __init__(self, objectives: settings.ObjectiveSettings) -> None:
        """Creates a planner with the operators' weights."""
        self._objectives = objectives
        self._blocked_pools: dict[ids.PoolId, _BlockedPool] = {}

    def plan(
        self,
        view: fleet_view.FleetView,
        now_ms: int,
        lost_since_ms: Mapping[ids.InstanceId, int],
        can_return_to_service: Callable[[pools.Instance], bool],
    ) -> tuple[WaveStep, ...]:
        """Returns one step for each active wave, oldest wave first.

        Args:
            view: The fleet.
            now_ms: Time in milliseconds since the epoch.
            lost_since_ms: When each lost instance was first seen as lost.
            can_return_to_service: Returns whether an instance that returns
                from maintenance can serve again.
        """
        active_waves = _active_waves(view.waves)
        finished = {
            wave.wave_id: _finished(wave, view.instances, can_return_to_service)
            for wave in active_waves
        }
        skipped = {
            wave.wave_id: _skipped(wave, view, now_ms, lost_since_ms)
            for wave in active_waves
        }
        candidates = _candidates_by_pool(active_waves, view.instances, skipped)
        chosen_by_wave, blockers = self._choose_instances(
            view, candidates, now_ms
        )
        for wave in active_waves:
            named = {item.pool_id for item in blockers[wave.wave_id]}
            blockers[wave.wave_id].extend(
                blocker
                for blocker in _drain_blockers(wave, view)
                if blocker.pool_id not in named
            )
        return tuple(
            WaveStep(
                wave.wave_id,
                tuple(chosen_by_wave[wave.wave_id]),
                finished[wave.wave_id],
                skipped[wave.wave_id],
                tuple(blockers[wave.wave_id]),
                _missing_instances_of(view, blockers[wave.wave_id], now_ms),
            )
            for wave in active_waves
        )

    def _choose_instances(
        self,
        view: fleet_view.FleetView,
        candidates: Mapping[ids.PoolId, dict[ids.WaveId, list[ids.InstanceId]]],
        now_ms: int,
    ) -> tuple[
        dict[ids.WaveId, list[ids.InstanceId]],
        dict[ids.WaveId, list[waves.Blocker]],
    ]:
        chosen_by_wave: dict[ids.WaveId, list[ids.InstanceId]]
        chosen_by_wave = collections.defaultdict(list)
        blockers: dict[ids.WaveId, list[waves.Blocker]]
        blockers = collections.defaultdict(list)
        for pool_id, by_wave in candidates.items():
            pool = view.pools.get(pool_id)
            if pool is None:
                continue
            found = self._cached_blockers(pool, by_wave, now_ms)
            if found is None:
                found = self._choose_in_pool(
                    pool, by_wave, now_ms, chosen_by_wave
                )
            for wave_id, blocker in found.items():
                blockers[wave_id].append(blocker)
        return chosen_by_wave, blockers

    def _cached_blockers(
        self,
        pool: fleet_view.PoolView,
        by_wave: Mapping[ids.WaveId, list[ids.InstanceId]],
        now_ms: int,
    ) -> Mapping[ids.WaveId, waves.Blocker] | None:
        cached = self._blocked_pools.get(pool.pool_id)
        if cached is None or cached.view is not pool:
            return None
        same = cached.candidates == {k: tuple(v) for k, v in by_wave.items()}
        if not same or now_ms >= cached.valid_until_ms:
            return None
        return cached.blocked_by

    def _choose_in_pool(
        self,
        pool: fleet_view.PoolView,
        by_wave: Mapping[ids.WaveId, list[ids.InstanceId]],
        now_ms: int,
        chosen_by_wave: dict[ids.WaveId, list[ids.InstanceId]],
    ) -> Mapping[ids.WaveId, waves.Blocker]:
        selector = wave_candidates.CandidateSelector(
            pool, self._objectives, now_ms
        )
        blocked = {}
        for wave_id, candidates in by_wave.items():
            chosen = selector.select(candidates)
            chosen_by_wave[wave_id].extend(chosen)
            if not chosen:
                reason = selector.blocked_reason(candidates)
                blocked[wave_id] = waves.Blocker(pool.pool_id, reason)
        self._blocked_pools.pop(pool.pool_id, None)
        if len(blocked) == len(by_wave):
            self._blocked_pools[pool.pool_id] = _BlockedPool(
                pool,
                {key: tuple(names) for key, names in by_wave.items()},
                _next_settled_ms(pool, now_ms),
                blocked,
            )
        return blocked


def _active_waves(
    all_waves: Mapping[ids.WaveId, waves.Wave],
) -> list[waves.Wave]:
    active_waves = [
        wave for wave in all_waves.values() if wave.state in ACTIVE_WAVE_STATES
    ]
    return sorted(
        active_waves, key=lambda wave: (wave.proposed_at_ms, wave.wave_id)
    )


def _finished(
    wave: waves.Wave,
    instances: Mapping[ids.InstanceId, pools.Instance],
    can_return_to_service: Callable[[pools.Instance], bool],
) -> tuple[ids.InstanceId, ...]:
    return tuple(
        name
        for name in wave.out
        if name in instances
        and instances[name].state is pools.InstanceState.RETURNING
        and can_return_to_service(instances[name])
    )


def _drain_blockers(
    wave: waves.Wave, view: fleet_view.FleetView
) -> Iterable[waves.Blocker]:
    """Yields pools with jobs on draining instances that may not be ended."""
    job_counts: dict[ids.PoolId, int] = {}
    for name in wave.out:
        instance = view.instances[name]
        if instance.state is not pools.InstanceState.DRAINING:
            continue
        pool = view.pools[instance.pool_id]
        if pool.profile is None or _TASK_ENDING_ACTIONS & set(
            pool.profile.tolerance.actions
        ):
            continue
        job_count = pool.job_count(name)
        if job_count:
            job_counts[pool.pool_id] = (
                job_counts.get(pool.pool_id, 0) + job_count
            )
    for pool_id, job_count in job_counts.items():
        reason = (
            f"{job_count} jobs run on draining instances, and the profile "
            "allows neither checkpoint nor stop"
        )
        yield waves.Blocker(pool_id, reason)


def _skipped(
    wave: waves.Wave,
    view: fleet_view.FleetView,
    now_ms: int,
    lost_since_ms: Mapping[ids.InstanceId, int],
) -> tuple[waves.Skipped, ...]:
    found = []
    for name in wave.remaining:
        instance = view.instances.get(name)
        if instance is None:
            found.append(waves.Skipped(name, "removed from the fleet"))
        elif instance.state is pools.InstanceState.LOST:
            lost_ms = now_ms - lost_since_ms.get(name, now_ms)
            if lost_ms > _max_out_s(view, instance) * _MS_PER_S:
                reason = f"lost for {lost_ms // _MS_PER_S} s"
                found.append(waves.Skipped(name, reason))
    return tuple(found)


def _max_out_s(view: fleet_view.FleetView, instance: pools.Instance) -> int:
    pool = view.pools.get(instance.pool_id)
    if pool is None or pool.profile is None:
        return _DEFAULT_MAX_OUT_S
    return pool.profile.tolerance.max_out_s


def _candidates_by_pool(
    active_waves: Sequence[waves.Wave],
    instances: Mapping[ids.InstanceId, pools.Instance],
    skipped: Mapping[ids.WaveId, tuple[waves.Skipped, ...]],
) -> dict[ids.PoolId, dict[ids.WaveId, list[ids.InstanceId]]]:
    candidates: dict[ids.PoolId, dict[ids.WaveId, list[ids.InstanceId]]] = {}
    for wave in active_waves:
        skipped_ids = {item.instance_id for item in skipped[wave.wave_id]}
        for name in wave.remaining:
            if name in skipped_ids:
                continue
            by_wave = candidates.setdefault(instances[name].pool_id, {})
            by_wave.setdefault(wave.wave_id, []).append(name)
    return candidates


def _missing_instances_of(
    view: fleet_view.FleetView,
    blockers: Iterable[waves.Blocker],
    now_ms: int,
) -> tuple[MissingInstances, ...]:
    found = []
    for blocker in blockers:
        pool = view.pools[blocker.pool_id]
        count = _missing_count(pool, now_ms)
        if count:
            found.append(MissingInstances(blocker.pool_id, count))
    return tuple(found)


def _missing_count(pool: fleet_view.PoolView, now_ms: int) -> int:
    """Returns how many more instances a blocked pool needs, or 0.

    It is also 0 where more instances don't help, for example when the profile
    allows none to be out.
    """
    profile = pool.profile
    any_in_maintenance = any(
        item.state in _MAINTENANCE_STATES for item in pool.instances
    )
    any_settling = _next_settled_ms(pool, now_ms) < float("inf")
    if (
        profile is None
        or any_in_maintenance
        or any_settling
        or not pool.instances
    ):
        return 0
    if budget.headroom(profile, pool.instances, now_ms).allowed:
        return 0
    for count in range(1, _MAX_MISSING_INSTANCES + 1):
        more = [
            _hypothetical_instance(pool.instances[0], n) for n in range(count)
        ]
        members = (*pool.instances, *more)
        if budget.headroom(profile, members, now_ms).allowed:
            return count
    return 0


def _hypothetical_instance(
    example: pools.Instance, number: int
) -> pools.Instance:
    """Returns a settled instance in a failure domain of its own."""
    return dataclasses.replace(
        example,
        instance_id=ids.InstanceId(f"{example.instance_id}+{number}"),
        availability_zone=ids.AvailabilityZone(f"+{number}"),
        rack=ids.Rack(f"+{number}"),
        state=pools.InstanceState.IN_SERVICE,
        in_service_since_ms=0,
        maintained_at_ms=0,
        moving_to=None,
        wave_id=None,
    )


def _next_settled_ms(pool: fleet_view.PoolView, now_ms: int) -> float:
    if pool.profile is None:
        return float("inf")
    settle_ms = pool.profile.settle_s * _MS_PER_S
    ends = [
        item.in_service_since_ms + settle_ms
        for item in pool.instances
        if item.state is pools.InstanceState.IN_SERVICE
    ]
    return min((end for end in ends if end > now_ms), default=float("inf"))
