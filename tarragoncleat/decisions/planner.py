"""Chooses the next step of every running maintenance wave.

A step takes instances out as soon as the availability budget of their pool has
room, finishes the ones that came back, and skips the ones that were lost for
longer than the profile tolerates. `budget` decides what a pool can give up;
this module decides which instances to take within that.
"""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence
import dataclasses

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import wave_choice
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import budget
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = ["STEPPING", "Wanted", "WavePlanner", "WaveStep"]

_MS_PER_S = 1000
_DEFAULT_MAX_OUT_S = 3600
# A pool that lacks more instances than this isn't filled up for a wave.
_MAX_WANTED = 4

_AWAY_STATES = frozenset(
    {
        pools.InstanceState.DRAINING,
        pools.InstanceState.IN_MAINTENANCE,
        pools.InstanceState.RETURNING,
    }
)
_ENDING = frozenset(
    {profiles.Interruption.CHECKPOINT, profiles.Interruption.STOP}
)
STEPPING = frozenset({waves.WaveState.APPROVED, waves.WaveState.RUNNING})


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """How many more instances give a wave room in a pool."""

    pool_id: ids.PoolId
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaveStep:
    """What a wave does next; empty when it can only wait.

    Attributes:
        wave_id: The wave.
        take: Instances to drain now.
        finish: Instances that are out and in service again.
        skip: Instances that the wave gives up, with the reason.
        blocked_by: Pools that can't give an instance now, with the reason.
        wanted: Instances that some of them lack: nothing there is out or
            settling, so that only more instances let the wave go on.
    """

    wave_id: ids.WaveId
    take: tuple[ids.InstanceId, ...] = ()
    finish: tuple[ids.InstanceId, ...] = ()
    skip: tuple[waves.Skipped, ...] = ()
    blocked_by: tuple[waves.Blocker, ...] = ()
    wanted: tuple[Wanted, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the step changes no instance."""
        return not (self.take or self.finish or self.skip)


@dataclasses.dataclass(frozen=True, slots=True)
class _PoolDecision:
    """The outcome for one pool, kept while nothing about it changes."""

    view: fleet_view.PoolView
    wanted: Mapping[ids.WaveId, tuple[ids.InstanceId, ...]]
    valid_until_ms: float
    blocked_by: Mapping[ids.WaveId, waves.Blocker]


class WavePlanner:
    """Plans the steps of all running waves together.

    A pool in which no wave could take anything is not examined again until
    one of its instances, its profile or the wave's instances change, or until
    an instance settles.
    """

    def __init__(self, objectives: settings.ObjectiveSettings) -> None:
        """Creates a planner with the operators' weights."""
        self._objectives = objectives
        self._blocked: dict[ids.PoolId, _PoolDecision] = {}

    def plan(
        self,
        view: fleet_view.FleetView,
        now_ms: int,
        lost_since_ms: Mapping[ids.InstanceId, int],
        is_back: Callable[[pools.Instance], bool],
    ) -> tuple[WaveStep, ...]:
        """Returns one step for each wave that may take, oldest wave first.

        Args:
            view: The fleet.
            now_ms: Time in milliseconds since the epoch.
            lost_since_ms: When each lost instance was first seen lost.
            is_back: Tells whether an instance that returns from maintenance
                can serve again.
        """
        running = _running(view.waves)
        finished = {
            wave.wave_id: _finished(wave, view.instances, is_back)
            for wave in running
        }
        skipped = {
            wave.wave_id: _skipped(wave, view, now_ms, lost_since_ms)
            for wave in running
        }
        wanted = _wanted_by_pool(running, view.instances, skipped)
        takes, blockers = self._take(view, wanted, now_ms)
        for wave in running:
            known = {item.pool_id for item in blockers[wave.wave_id]}
            blockers[wave.wave_id].extend(
                blocker
                for blocker in _undrainable(wave, view)
                if blocker.pool_id not in known
            )
        return tuple(
            WaveStep(
                wave.wave_id,
                tuple(takes[wave.wave_id]),
                finished[wave.wave_id],
                skipped[wave.wave_id],
                tuple(blockers[wave.wave_id]),
                _wanted_instances(view, blockers[wave.wave_id], now_ms),
            )
            for wave in running
        )

    def _take(
        self,
        view: fleet_view.FleetView,
        wanted: Mapping[ids.PoolId, dict[ids.WaveId, list[ids.InstanceId]]],
        now_ms: int,
    ) -> tuple[
        dict[ids.WaveId, list[ids.InstanceId]],
        dict[ids.WaveId, list[waves.Blocker]],
    ]:
        takes: dict[ids.WaveId, list[ids.InstanceId]]
        takes = collections.defaultdict(list)
        blockers: dict[ids.WaveId, list[waves.Blocker]]
        blockers = collections.defaultdict(list)
        for pool_id, by_wave in wanted.items():
            pool = view.pools.get(pool_id)
            if pool is None:
                continue
            known = self._known_blockers(pool, by_wave, now_ms)
            if known is None:
                known = self._decide(pool, by_wave, now_ms, takes)
            for wave_id, blocker in known.items():
                blockers[wave_id].append(blocker)
        return takes, blockers

    def _known_blockers(
        self,
        pool: fleet_view.PoolView,
        by_wave: Mapping[ids.WaveId, list[ids.InstanceId]],
        now_ms: int,
    ) -> Mapping[ids.WaveId, waves.Blocker] | None:
        known = self._blocked.get(pool.pool_id)
        if known is None or known.view is not pool:
            return None
        same = known.wanted == {k: tuple(v) for k, v in by_wave.items()}
        if not same or now_ms >= known.valid_until_ms:
            return None
        return known.blocked_by

    def _decide(
        self,
        pool: fleet_view.PoolView,
        by_wave: Mapping[ids.WaveId, list[ids.InstanceId]],
        now_ms: int,
        takes: dict[ids.WaveId, list[ids.InstanceId]],
    ) -> Mapping[ids.WaveId, waves.Blocker]:
        choice = wave_choice.PoolChoice(pool, self._objectives, now_ms)
        blocked = {}
        for wave_id, candidates in by_wave.items():
            chosen = choice.choose(candidates)
            takes[wave_id].extend(chosen)
            if not chosen:
                reason = choice.blocked_reason(candidates)
                blocked[wave_id] = waves.Blocker(pool.pool_id, reason)
        self._blocked.pop(pool.pool_id, None)
        if len(blocked) == len(by_wave):
            self._blocked[pool.pool_id] = _PoolDecision(
                pool,
                {key: tuple(names) for key, names in by_wave.items()},
                _next_settling_ms(pool, now_ms),
                blocked,
            )
        return blocked


def _running(
    all_waves: Mapping[ids.WaveId, waves.Wave],
) -> list[waves.Wave]:
    running = [wave for wave in all_waves.values() if wave.state in STEPPING]
    return sorted(running, key=lambda wave: (wave.proposed_at_ms, wave.wave_id))


def _finished(
    wave: waves.Wave,
    instances: Mapping[ids.InstanceId, pools.Instance],
    is_back: Callable[[pools.Instance], bool],
) -> tuple[ids.InstanceId, ...]:
    return tuple(
        name
        for name in wave.out
        if name in instances
        and instances[name].state is pools.InstanceState.RETURNING
        and is_back(instances[name])
    )


def _undrainable(
    wave: waves.Wave, view: fleet_view.FleetView
) -> Iterable[waves.Blocker]:
    """Yields pools whose draining instances run jobs that nobody may end."""
    waiting: dict[ids.PoolId, int] = {}
    for name in wave.out:
        instance = view.instances[name]
        if instance.state is not pools.InstanceState.DRAINING:
            continue
        pool = view.pools[instance.pool_id]
        if pool.profile is None or _ENDING & set(
            pool.profile.tolerance.actions
        ):
            continue
        jobs = pool.job_count(name)
        if jobs:
            waiting[pool.pool_id] = waiting.get(pool.pool_id, 0) + jobs
    for pool_id, jobs in waiting.items():
        reason = (
            f"{jobs} jobs run on draining instances, and the profile allows "
            "neither checkpoint nor stop"
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


def _wanted_by_pool(
    running: Sequence[waves.Wave],
    instances: Mapping[ids.InstanceId, pools.Instance],
    skipped: Mapping[ids.WaveId, tuple[waves.Skipped, ...]],
) -> dict[ids.PoolId, dict[ids.WaveId, list[ids.InstanceId]]]:
    wanted: dict[ids.PoolId, dict[ids.WaveId, list[ids.InstanceId]]] = {}
    for wave in running:
        passed = {item.instance_id for item in skipped[wave.wave_id]}
        for name in wave.remaining:
            if name in passed:
                continue
            by_wave = wanted.setdefault(instances[name].pool_id, {})
            by_wave.setdefault(wave.wave_id, []).append(name)
    return wanted


def _wanted_instances(
    view: fleet_view.FleetView,
    blockers: Iterable[waves.Blocker],
    now_ms: int,
) -> tuple[Wanted, ...]:
    found = []
    for blocker in blockers:
        pool = view.pools[blocker.pool_id]
        count = _missing_instances(pool, now_ms)
        if count:
            found.append(Wanted(blocker.pool_id, count))
    return tuple(found)


def _missing_instances(pool: fleet_view.PoolView, now_ms: int) -> int:
    """Returns how many more instances a stuck pool needs, or 0.

    It is 0 as well where more instances don't help, for example when the
    profile allows none to be out.
    """
    profile = pool.profile
    away = any(item.state in _AWAY_STATES for item in pool.instances)
    settling = _next_settling_ms(pool, now_ms) < float("inf")
    if profile is None or away or settling or not pool.instances:
        return 0
    if budget.headroom(profile, pool.instances, now_ms).allowed:
        return 0
    for count in range(1, _MAX_WANTED + 1):
        more = [_stand_in(pool.instances[0], n) for n in range(count)]
        members = (*pool.instances, *more)
        if budget.headroom(profile, members, now_ms).allowed:
            return count
    return 0


def _stand_in(example: pools.Instance, number: int) -> pools.Instance:
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


def _next_settling_ms(pool: fleet_view.PoolView, now_ms: int) -> float:
    if pool.profile is None:
        return float("inf")
    settle_ms = pool.profile.settle_s * _MS_PER_S
    ends = [
        item.in_service_since_ms + settle_ms
        for item in pool.instances
        if item.state is pools.InstanceState.IN_SERVICE
    ]
    return min((end for end in ends if end > now_ms), default=float("inf"))
