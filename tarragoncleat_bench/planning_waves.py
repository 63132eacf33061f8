"""Simulation of maintenance waves, with a virtual clock."""

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
# The controller decides twice a second. Longer ticks shorten the simulation and
# can only lengthen the simulated roll-out.
_TICK_S = 1
_LARGE_TICK_S = 2
_LARGE_INSTANCES = 10_000
_DRAIN_S = 30
_REBOOT_S = 120
_REPAIR_S = 600
_MAX_SIMULATED_S = 200_000
_RUNNING_JOBS_CHANGE_S = 60
_WAVE_ID = ids.WaveId("wave")
_INSTANCE_STATE = pools.InstanceState
_FIXED_FRACTION = 0.1

BASELINES: dict[str, Callable] = {
    "one at a time": baselines.one_at_a_time,
    "fixed 10%": functools.partial(
        baselines.fixed_fraction, fraction=_FIXED_FRACTION
    ),
}


@dataclasses.dataclass(slots=True)
class Outcome:
    """Results of a wave.

    Attributes:
        roll_out_s: Time until the wave ended.
        budget_violations: Instances taken out although the budget forbade it.
        buffer_h: Instance hours in service above the floor.
        moves: Jobs that were running on instances when they were taken out.
        skipped: Instances that the wave skipped or that were lost during it.
        decisions_s: Wall-clock time of each decision.
    """

    roll_out_s: float = 0.0
    budget_violations: int = 0
    buffer_h: float = 0.0
    moves: int = 0
    skipped: int = 0
    decisions_s: list[float] = dataclasses.field(default_factory=list)


class Wave:
    """A maintenance wave over the whole fleet."""

    def __init__(
        self, size: planning_fleet.Size, seed: int, long_reboots: bool = False
    ) -> None:
        """Builds the fleet and draws how long each instance is out.

        Args:
            size: The fleet.
            seed: Seed of the random numbers.
            long_reboots: Whether reboots last up to ten times longer.
        """
        self._rng = random.Random(seed)
        self.fleet = planning_fleet.build(size, self._rng)
        self.reboots_s = {
            name: self._draw_reboot_s(long_reboots)
            for name in self.fleet.instances
        }
        names = tuple(sorted(self.fleet.instances))
        self._remaining = dict.fromkeys(names)
        self._out: dict[ids.InstanceId, None] = {}
        self._events: list[tuple[float, int, ids.InstanceId, str]] = []
        self._event_number = 0
        self._index = fleet_view.FleetIndex()
        self._outcome = Outcome()
        self._lost_at_ms: dict[ids.InstanceId, int] = {}
        large = size.instances >= _LARGE_INSTANCES
        self._tick_s = _LARGE_TICK_S if large else _TICK_S
        self._running_jobs = {name: self._rng.randrange(4) for name in names}

    def schedule(self, time_s: float, name: ids.InstanceId, event: str) -> None:
        """Schedules an event of an instance.

        Events are "lost", "repaired", and the steps of maintenance "drained"
        and "rebooted".
        """
        self._event_number += 1
        heapq.heappush(self._events, (time_s, self._event_number, name, event))

    def run(self, baseline: Callable | None = None) -> Outcome:
        """Simulates the wave to its end, with the planner or a baseline."""
        wave_planner = planner.WavePlanner(settings.ObjectiveSettings())
        now_s = 3600.0
        start_s = now_s
        self._events = [
            (time_s + start_s, number, name, event)
            for time_s, number, name, event in self._events
        ]
        heapq.heapify(self._events)
        while (
            self._remaining or self._out
        ) and now_s < start_s + _MAX_SIMULATED_S:
            self._apply_due_events(now_s)
            view = self._view()
            started_s = time.perf_counter()
            step = self._decide(
                wave_planner, baseline, view, int(now_s * _MS_PER_S)
            )
            self._outcome.decisions_s.append(time.perf_counter() - started_s)
            self._apply_step(step, view, now_s)
            self._measure_buffer(view, now_s)
            now_s += self._tick_s
        self._outcome.roll_out_s = now_s - start_s
        return self._outcome

    def _draw_reboot_s(self, long_reboots: bool) -> float:
        factor = 10 ** self._rng.uniform(0, 1) if long_reboots else 1.0
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
        wave_planner: planner.WavePlanner,
        baseline: Callable | None,
        view: fleet_view.FleetView,
        now_ms: int,
    ) -> planner.WaveStep:
        if baseline is None:
            (step,) = wave_planner.plan(
                view, now_ms, self._lost_at_ms, lambda _: True
            )
            return step
        selected = baseline(view, view.waves[_WAVE_ID])
        returning = [
            name
            for name in self._out
            if view.instances[name].state is _INSTANCE_STATE.RETURNING
        ]
        return planner.WaveStep(_WAVE_ID, tuple(selected), tuple(returning))

    def _apply_step(
        self, step: planner.WaveStep, view: fleet_view.FleetView, now_s: float
    ) -> None:
        now_ms = int(now_s * _MS_PER_S)
        for name in step.finish:
            del self._out[name]
            self.fleet.set_instance(
                name,
                state=_INSTANCE_STATE.IN_SERVICE,
                in_service_since_ms=now_ms,
                maintained_at_ms=now_ms,
                wave_id=None,
            )
        for skipped in step.skip:
            self._remaining.pop(skipped.instance_id, None)
            self._outcome.skipped += 1
        self._count_violations(step, view, now_ms)
        for name in step.take:
            del self._remaining[name]
            self._out[name] = None
            self._outcome.moves += self._running_jobs[name]
            self.fleet.set_instance(
                name, state=_INSTANCE_STATE.DRAINING, wave_id=_WAVE_ID
            )
            self.schedule(now_s + _DRAIN_S, name, "drained")

    def _count_violations(
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
                refused = budget.check_drain(
                    pool.profile, pool.instances, names[:count], now_ms
                )
                self._outcome.budget_violations += refused is not None

    def _apply_due_events(self, now_s: float) -> None:
        while self._events and self._events[0][0] <= now_s:
            time_s, _, name, event = heapq.heappop(self._events)
            instance = self.fleet.instances[name]
            if event == "lost":
                self._mark_lost(instance, now_s)
            elif event == "repaired":
                self._lost_at_ms.pop(name, None)
                self.fleet.set_instance(
                    name,
                    state=_INSTANCE_STATE.IN_SERVICE,
                    in_service_since_ms=int(now_s * _MS_PER_S),
                )
            elif name in self._out and event == "drained":
                self.fleet.set_instance(
                    name, state=_INSTANCE_STATE.IN_MAINTENANCE
                )
                self.schedule(time_s + self.reboots_s[name], name, "rebooted")
            elif name in self._out:
                self.fleet.set_instance(name, state=_INSTANCE_STATE.RETURNING)

    def _mark_lost(self, instance: pools.Instance, now_s: float) -> None:
        name = instance.instance_id
        if name in self._out:
            del self._out[name]
            self._outcome.skipped += 1
        self._lost_at_ms[name] = int(now_s * _MS_PER_S)
        self.fleet.set_instance(name, state=_INSTANCE_STATE.LOST, wave_id=None)

    def _measure_buffer(self, view: fleet_view.FleetView, now_s: float) -> None:
        now_ms = int(now_s * _MS_PER_S)
        buffer_instances = 0
        for pool in view.pools.values():
            profile = pool.profile
            assert profile is not None
            settled = sum(
                budget.is_settled(instance, profile, now_ms)
                for instance in pool.instances
            )
            buffer_instances += max(0, settled - budget.floor(profile))
        self._outcome.buffer_h += buffer_instances * self._tick_s / 3600
        if now_s % _RUNNING_JOBS_CHANGE_S < self._tick_s:
            self._running_jobs = {
                n: self._rng.randrange(4) for n in self._running_jobs
            }


def lower_bound_s(wave: Wave) -> float:
    """Returns a lower bound of the roll-out time without failures.

    It is the largest bound of a pool. The settling time of the last instance
    isn't part of the roll-out.
    """
    bound_s = 0.0
    view = fleet_view.FleetIndex().refresh(wave.fleet)
    for pool in view.pools.values():
        assert pool.profile is not None
        settle_s = pool.profile.settle_s
        times_s = sorted(
            _DRAIN_S + wave.reboots_s[instance.instance_id] + settle_s
            for instance in pool.instances
        )
        room = budget.headroom(pool.profile, pool.instances, 10**12)
        bound_s = max(bound_s, _pool_bound_s(times_s, room.allowed) - settle_s)
    return bound_s


def _pool_bound_s(times_s: list[float], slots: int) -> float:
    """Returns a lower bound of the time until n instances are maintained.

    At most `slots` instances are out at once, so each instance occupies one of
    these slots. Some slot serves r = n / slots instances, rounded up. If x
    slots serve r or more, the others serve fewer than r each, so the x slots
    share at least k = max(r * x, n - (r - 1) * (slots - x)) instances, and one
    of them needs at least the sum of the k shortest times divided by x. The
    number x isn't known, so the least of these bounds holds.
    """
    count = len(times_s)
    rounds = -(-count // slots)
    sums_s = [0.0, *itertools.accumulate(times_s)]
    bounds_s = []
    for full_slots in range(1, slots + 1):
        min_instances = max(
            rounds * full_slots, count - (rounds - 1) * (slots - full_slots)
        )
        if min_instances <= count:
            bounds_s.append(sums_s[min_instances] / full_slots)
    return max(sums_s[count] / slots, times_s[-1], min(bounds_s))


def _lose_scattered(wave: Wave, end_s: float, rng: random.Random) -> None:
    names = sorted(wave.fleet.instances)
    for name in rng.sample(names, max(2, len(names) // 20)):
        lost_s = rng.uniform(0, end_s)
        wave.schedule(lost_s, name, "lost")
        wave.schedule(lost_s + _REPAIR_S, name, "repaired")


def _lose_domain(
    wave: Wave, end_s: float, rng: random.Random, field: str
) -> None:
    first = rng.choice(sorted(wave.fleet.instances))
    domain = getattr(wave.fleet.instances[first], field)
    for name, instance in wave.fleet.instances.items():
        if getattr(instance, field) == domain:
            wave.schedule(end_s / 2, name, "lost")
            wave.schedule(end_s / 2 + _REPAIR_S, name, "repaired")


def _lose_after_repair(wave: Wave, end_s: float, rng: random.Random) -> None:
    for pool_id in sorted(wave.fleet.pools):
        members = [
            name
            for name, instance in sorted(wave.fleet.instances.items())
            if instance.pool_id == pool_id
        ]
        first, second = rng.sample(members, 2)
        lost_s = rng.uniform(0, end_s / 2)
        wave.schedule(lost_s, first, "lost")
        wave.schedule(lost_s + _REPAIR_S, first, "repaired")
        wave.schedule(lost_s + _REPAIR_S + 1, second, "lost")
        wave.schedule(lost_s + 2 * _REPAIR_S, second, "repaired")


def _lose_daily(wave: Wave, end_s: float, rng: random.Random) -> None:
    """Loses and restarts instances at the rates of an ordinary day.

    The rates are 380 losses and 1,300 restarts a day for 24,000 instances; the
    events cover twice the lower bound.
    """
    names = sorted(wave.fleet.instances)
    rate_factor = len(names) / 24_000 * 2 * end_s / 86_400
    lost, restarted = round(380 * rate_factor), round(1_300 * rate_factor)
    selected = rng.sample(names, lost + restarted)
    for number, name in enumerate(selected):
        lost_s = rng.uniform(0, 2 * end_s)
        outage_s = _REPAIR_S if number < lost else _REBOOT_S
        wave.schedule(lost_s, name, "lost")
        wave.schedule(lost_s + outage_s, name, "repaired")


def _lose_none(wave: Wave, end_s: float, rng: random.Random) -> None:
    del wave, end_s, rng


FAULTS: dict[str, Callable[[Wave, float, random.Random], None]] = {
    "no failures": _lose_none,
    "scattered failures": _lose_scattered,
    "rack lost": functools.partial(_lose_domain, field="rack"),
    "zone lost": functools.partial(_lose_domain, field="availability_zone"),
    "second loss after repair": _lose_after_repair,
    "reboots up to 10x longer": _lose_none,
    "daily failures": _lose_daily,
}
