"""Simulates maintenance waves in simulated time."""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random
import time

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import planner
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import budget
from tarragoncleat.state import pools
from tarragoncleat.state import waves
from tarragoncleat_bench import baselines
from tarragoncleat_bench import planning_fleet

__all__ = ["BASELINES", "FAULTS", "Outcome", "Wave", "lower_bound_s"]

_MS_PER_S = 1000
# The controller decides twice a second; the coarser ticks keep the simulation
# short and can only lengthen the simulated roll-out.
_TICK_S = 1
_LARGE_TICK_S = 2
_LARGE_INSTANCES = 10_000
_DRAIN_S = 30
_REBOOT_S = 120
_REPAIR_S = 600
_LIMIT_S = 200_000
_LOAD_CHANGE_S = 60
_WAVE_ID = ids.WaveId("wave")
_STATE = pools.InstanceState
_FIXED_FRACTION = 0.1

BASELINES: dict[str, Callable] = {
    "one at a time": baselines.one_at_a_time,
    "fixed 10%": functools.partial(
        baselines.fixed_fraction, fraction=_FIXED_FRACTION
    ),
}


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a wave cost.

    Attributes:
        roll_out_s: Time until the wave ended.
        broken: Instances taken although the budget forbade it.
        idle_h: Instance hours in service above the floor: the buffer.
        moves: Jobs that were running on instances when they were taken.
        skipped: Instances that the wave gave up.
        decisions_s: Real time of each decision.
    """

    roll_out_s: float = 0.0
    broken: int = 0
    idle_h: float = 0.0
    moves: int = 0
    skipped: int = 0
    decisions_s: list[float] = dataclasses.field(default_factory=list)


class Wave:
    """One wave over the whole fleet."""

    def __init__(
        self, size: planning_fleet.Size, seed: int, wrong_times: bool = False
    ) -> None:
        """Builds the fleet and draws how long each instance is out.

        Args:
            size: The fleet.
            seed: Seed of the random numbers.
            wrong_times: Whether reboots last up to ten times longer.
        """
        self._rng = random.Random(seed)
        self.fleet = planning_fleet.build(size, self._rng)
        self.reboots_s = {
            name: self._draw_reboot_s(wrong_times)
            for name in self.fleet.instances
        }
        names = tuple(sorted(self.fleet.instances))
        self._remaining = dict.fromkeys(names)
        self._out: dict[ids.InstanceId, None] = {}
        self._events: list[tuple[float, int, ids.InstanceId, str]] = []
        self._serial = 0
        self._index = fleet_view.FleetIndex()
        self._outcome = Outcome()
        self._lost: dict[ids.InstanceId, int] = {}
        large = size.instances >= _LARGE_INSTANCES
        self._tick_s = _LARGE_TICK_S if large else _TICK_S
        self._load = {name: self._rng.randrange(4) for name in names}

    def at(self, time_s: float, name: ids.InstanceId, event: str) -> None:
        """Schedules "lost", "repaired" or a step of an instance."""
        self._serial += 1
        heapq.heappush(self._events, (time_s, self._serial, name, event))

    def run(self, choose: Callable | None = None) -> Outcome:
        """Runs to the end, with the planner or with a baseline."""
        own = planner.WavePlanner(settings.ObjectiveSettings())
        now_s = 3600.0
        start_s = now_s
        self._events = [
            (time_s + start_s, serial, name, event)
            for time_s, serial, name, event in self._events
        ]
        heapq.heapify(self._events)
        while (self._remaining or self._out) and now_s < start_s + _LIMIT_S:
            self._play_events(now_s)
            view = self._view()
            began_s = time.perf_counter()
            step = self._decide(own, choose, view, int(now_s * _MS_PER_S))
            self._outcome.decisions_s.append(time.perf_counter() - began_s)
            self._carry_out(step, view, now_s)
            self._measure(view, now_s)
            now_s += self._tick_s
        self._outcome.roll_out_s = now_s - start_s
        return self._outcome

    def _draw_reboot_s(self, wrong_times: bool) -> float:
        factor = 10 ** self._rng.uniform(0, 1) if wrong_times else 1.0
        return round(_REBOOT_S * self._rng.uniform(0.8, 1.2) * factor)

    def _view(self) -> fleet_view.FleetView:
        self.fleet.waves[_WAVE_ID] = waves.Wave(
            _WAVE_ID,
            ids.FirmId("firm"),
            waves.Selection(),
            waves.WaveState.RUNNING,
            tuple(self._remaining),
            tuple(self._out),
        )
        return self._index.refresh(self.fleet)

    def _decide(
        self,
        own: planner.WavePlanner,
        choose: Callable | None,
        view: fleet_view.FleetView,
        now_ms: int,
    ) -> planner.WaveStep:
        if choose is None:
            (step,) = own.plan(view, now_ms, self._lost, lambda _: True)
            return step
        chosen = choose(view, view.waves[_WAVE_ID])
        back = [
            name
            for name in self._out
            if view.instances[name].state is _STATE.RETURNING
        ]
        return planner.WaveStep(_WAVE_ID, tuple(chosen), tuple(back))

    def _carry_out(
        self, step: planner.WaveStep, view: fleet_view.FleetView, now_s: float
    ) -> None:
        now_ms = int(now_s * _MS_PER_S)
        for name in step.finish:
            del self._out[name]
            self.fleet.set_instance(
                name,
                state=_STATE.IN_SERVICE,
                in_service_since_ms=now_ms,
                maintained_at_ms=now_ms,
                wave_id=None,
            )
        for skipped in step.skip:
            self._remaining.pop(skipped.instance_id, None)
            self._outcome.skipped += 1
        self._count_broken(step, view, now_ms)
        for name in step.take:
            del self._remaining[name]
            self._out[name] = None
            self._outcome.moves += self._load[name]
            self.fleet.set_instance(
                name, state=_STATE.DRAINING, wave_id=_WAVE_ID
            )
            self.at(now_s + _DRAIN_S, name, "drained")

    def _count_broken(
        self, step: planner.WaveStep, view: fleet_view.FleetView, now_ms: int
    ) -> None:
        by_pool: dict[ids.PoolId, list[ids.InstanceId]] = {}
        for name in step.take:
            pool_id = view.instances[name].pool_id
            by_pool.setdefault(pool_id, []).append(name)
        for pool_id, names in by_pool.items():
            pool = view.pools[pool_id]
            assert pool.profile is not None
            for count in range(1, len(names) + 1):
                refused = budget.allows(
                    pool.profile, pool.instances, names[:count], now_ms
                )
                self._outcome.broken += refused is not None

    def _play_events(self, now_s: float) -> None:
        while self._events and self._events[0][0] <= now_s:
            time_s, _, name, event = heapq.heappop(self._events)
            instance = self.fleet.instances[name]
            if event == "lost":
                self._lose(instance, now_s)
            elif event == "repaired":
                self._lost.pop(name, None)
                self.fleet.set_instance(
                    name,
                    state=_STATE.IN_SERVICE,
                    in_service_since_ms=int(now_s * _MS_PER_S),
                )
            elif name in self._out and event == "drained":
                self.fleet.set_instance(name, state=_STATE.IN_MAINTENANCE)
                self.at(time_s + self.reboots_s[name], name, "rebooted")
            elif name in self._out:
                self.fleet.set_instance(name, state=_STATE.RETURNING)

    def _lose(self, instance: pools.Instance, now_s: float) -> None:
        name = instance.instance_id
        if name in self._out:
            del self._out[name]
            self._outcome.skipped += 1
        self._lost[name] = int(now_s * _MS_PER_S)
        self.fleet.set_instance(name, state=_STATE.LOST, wave_id=None)

    def _measure(self, view: fleet_view.FleetView, now_s: float) -> None:
        now_ms = int(now_s * _MS_PER_S)
        idle = 0
        for pool in view.pools.values():
            profile = pool.profile
            assert profile is not None
            settled = sum(
                budget.is_settled(item, profile, now_ms)
                for item in pool.instances
            )
            idle += max(0, settled - budget.floor(profile))
        self._outcome.idle_h += idle * self._tick_s / 3600
        if now_s % _LOAD_CHANGE_S < self._tick_s:
            self._load = {n: self._rng.randrange(4) for n in self._load}


def lower_bound_s(wave: Wave) -> float:
    """Returns a bound on the roll-out time without failures.

    It is the largest bound of a pool; the last instance counts as done before
    it settled.
    """
    worst = 0.0
    view = fleet_view.FleetIndex().refresh(wave.fleet)
    for pool in view.pools.values():
        assert pool.profile is not None
        settle_s = pool.profile.settle_s
        times = sorted(
            _DRAIN_S + wave.reboots_s[item.instance_id] + settle_s
            for item in pool.instances
        )
        room = budget.spendable(pool.profile, pool.instances, 10**12)
        worst = max(worst, _pool_bound_s(times, room.allowed) - settle_s)
    return worst


def _pool_bound_s(times: list[float], places: int) -> float:
    """Bounds the time for instances that are out at `places` places.

    Some place takes r = n / places instances, rounded up. If x places take r
    or more, the others take less than r each, so the x places share at least
    k = max(r * x, n - (r - 1) * (places - x)) instances, and one of them needs
    at least the sum of the k shortest times divided by x. The number x isn't
    known, so the least of these bounds holds.
    """
    count = len(times)
    rounds = -(-count // places)
    sums = [0.0, *itertools.accumulate(times)]
    shares = []
    for busy in range(1, places + 1):
        least = max(rounds * busy, count - (rounds - 1) * (places - busy))
        if least <= count:
            shares.append(sums[least] / busy)
    return max(sums[count] / places, times[-1], min(shares))


def _lose_some(wave: Wave, end_s: float, rng: random.Random) -> None:
    names = sorted(wave.fleet.instances)
    for name in rng.sample(names, max(2, len(names) // 20)):
        lost_s = rng.uniform(0, end_s)
        wave.at(lost_s, name, "lost")
        wave.at(lost_s + _REPAIR_S, name, "repaired")


def _lose_domain(
    wave: Wave, end_s: float, rng: random.Random, field: str
) -> None:
    first = rng.choice(sorted(wave.fleet.instances))
    domain = getattr(wave.fleet.instances[first], field)
    for name, instance in wave.fleet.instances.items():
        if getattr(instance, field) == domain:
            wave.at(end_s / 2, name, "lost")
            wave.at(end_s / 2 + _REPAIR_S, name, "repaired")


def _lose_after_repair(wave: Wave, end_s: float, rng: random.Random) -> None:
    for pool_id in sorted(wave.fleet.pools):
        members = [
            name
            for name, item in sorted(wave.fleet.instances.items())
            if item.pool_id == pool_id
        ]
        first, second = rng.sample(members, 2)
        lost_s = rng.uniform(0, end_s / 2)
        wave.at(lost_s, first, "lost")
        wave.at(lost_s + _REPAIR_S, first, "repaired")
        wave.at(lost_s + _REPAIR_S + 1, second, "lost")
        wave.at(lost_s + 2 * _REPAIR_S, second, "repaired")


def _lose_daily(wave: Wave, end_s: float, rng: random.Random) -> None:
    """Loses and restarts instances at the rates of an ordinary day.

    The stated rates are for 24,000 instances; twice the bound is covered.
    """
    names = sorted(wave.fleet.instances)
    share = len(names) / 24_000 * 2 * end_s / 86_400
    lost, restarted = round(380 * share), round(1_300 * share)
    chosen = rng.sample(names, lost + restarted)
    for number, name in enumerate(chosen):
        lost_s = rng.uniform(0, 2 * end_s)
        away_s = _REPAIR_S if number < lost else _REBOOT_S
        wave.at(lost_s, name, "lost")
        wave.at(lost_s + away_s, name, "repaired")


def _lose_none(wave: Wave, end_s: float, rng: random.Random) -> None:
    del wave, end_s, rng


FAULTS: dict[str, Callable[[Wave, float, random.Random], None]] = {
    "no failures": _lose_none,
    "scattered failures": _lose_some,
    "rack lost": functools.partial(_lose_domain, field="rack"),
    "zone lost": functools.partial(_lose_domain, field="availability_zone"),
    "second loss after repair": _lose_after_repair,
    "reboots up to 10x longer": _lose_none,
    "daily failures": _lose_daily,
}
