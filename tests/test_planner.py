"""Tests of the wave planner and the balancer with a committed fleet."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from tarragoncleat.decisions import balancer
from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import planner
from tarragoncleat.decisions import wave_capacity_requests
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import commands
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves
from tests import builders

_STATE = pools.InstanceState
_DOMAIN = profiles.FailureDomain
_OUT_STATES = (_STATE.DRAINING, _STATE.IN_MAINTENANCE, _STATE.RETURNING)
_STEP_MS = 5_000


def _domain_of(domain: profiles.FailureDomain, item: pools.Instance) -> str:
    if domain is _DOMAIN.RACK:
        return f"{item.availability_zone}/{item.rack}"
    zone = domain is _DOMAIN.AVAILABILITY_ZONE
    return item.availability_zone if zone else item.instance_id


class _Simulation:
    """Commits the planner's steps and simulates the workers."""

    def __init__(self, profile: dict, instances: int, wave_count: int) -> None:
        self.driver = builders.FleetDriver()
        builders.populate(self.driver, instances=instances, **profile)
        self.fleet = self.driver.fleet
        self.planner = planner.WavePlanner(settings.ObjectiveSettings())
        self.index = fleet_view.FleetIndex()
        self.lost: dict[ids.InstanceId, int] = {}
        names = sorted(self.fleet.instances)
        for number in range(wave_count):
            wave_id = ids.WaveId(f"wave{number}")
            selection = waves.Selection(
                instances=tuple(names[number::wave_count])
            )
            self.driver.apply_ok(
                commands.ProposeWave(wave_id, ids.FirmId("firm-a"), selection),
                role="operator",
            )
            self.driver.apply_ok(commands.ApproveWave(wave_id), role="operator")

    def record(self, name: str, state: pools.InstanceState) -> bool:
        command = commands.RecordInstanceState(ids.InstanceId(name), state)
        return self.driver.apply(command).ok

    def advance(self) -> None:
        """Moves every instance that is out to its next state."""
        self.driver.time_ms += _STEP_MS
        for name, item in sorted(self.fleet.instances.items()):
            if item.state is _STATE.DRAINING:
                self.record(name, _STATE.IN_MAINTENANCE)
            elif item.state is _STATE.IN_MAINTENANCE:
                self.record(name, _STATE.RETURNING)
            elif item.state is _STATE.RETURNING and item.wave_id is None:
                self.record(name, _STATE.IN_SERVICE)

    def step(self) -> tuple[planner.WaveStep, ...]:
        now_ms = self.driver.time_ms
        lost = [
            name
            for name, item in self.fleet.instances.items()
            if item.state is _STATE.LOST
        ]
        self.lost = {name: self.lost.get(name, now_ms) for name in lost}
        view = self.index.refresh(self.fleet)
        steps = self.planner.plan(view, now_ms, self.lost, lambda _: True)
        for step in steps:
            result = self.driver.apply_ok(
                commands.StepWave(
                    step.wave_id,
                    step.take,
                    step.finish,
                    step.skip,
                    step.blocked_by,
                )
            )
            if result.value["refused"]:
                raise AssertionError(f"refused at commit: {result.value}")
        return steps

    def open_waves(self) -> list[waves.Wave]:
        return [w for w in self.fleet.waves.values() if not w.state.is_final]


@strategies.composite
def _profiles(draw: strategies.DrawFn) -> dict:
    owed = draw(strategies.integers(1, 8))
    return {
        "owed": profiles.Capacity(instances=owed),
        "tolerance": profiles.Tolerance(
            max_out=draw(strategies.integers(1, owed)),
            max_out_s=60,
            failure_reserve=draw(strategies.sampled_from(_DOMAIN)),
        ),
        "settle_s": draw(strategies.sampled_from([0, 12])),
    }


_EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["step", "step", "lose", "repair", "rack"]),
        strategies.integers(0, 11),
    ),
    max_size=30,
)


class WavePlannerTest(unittest.TestCase):
    """Guards against waves that drain too many instances or never end."""

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(
        _profiles(),
        strategies.integers(2, 12),
        strategies.integers(1, 2),
        _EVENTS,
    )
    def test_waves_keep_the_budget_and_end_or_name_blockers(
        self, profile: dict, instances: int, wave_count: int, events: list
    ) -> None:
        """Guards against exceeded budgets and blocked waves without reasons."""
        simulation = _Simulation(profile, instances, wave_count)
        for event, number in events:
            self._apply_event(simulation, event, number % instances)
        for name, item in sorted(simulation.fleet.instances.items()):
            if item.state is _STATE.LOST:
                simulation.record(name, _STATE.RETURNING)
        for _ in range(12 * instances + 10):
            simulation.advance()
            simulation.step()
            self._check_budget(simulation)
        for wave in simulation.open_waves():
            self._check_blocked(simulation, wave)

    def _apply_event(
        self, simulation: _Simulation, event: str, number: int
    ) -> None:
        names = sorted(simulation.fleet.instances)
        item = simulation.fleet.instances[names[number]]
        if event == "step":
            simulation.advance()
            simulation.step()
            self._check_budget(simulation)
        elif event == "lose":
            simulation.record(item.instance_id, _STATE.LOST)
        elif event == "repair" and item.state is _STATE.LOST:
            simulation.record(item.instance_id, _STATE.RETURNING)
        elif event == "rack":
            for other in sorted(simulation.fleet.instances.values(), key=repr):
                if other.rack == item.rack:
                    simulation.record(other.instance_id, _STATE.LOST)

    def _check_budget(self, simulation: _Simulation) -> None:
        """Recounts the budget after a step that drained instances.

        Only this step's instances are draining, because `advance` moves those
        of earlier steps on.
        """
        members = simulation.fleet.instances.values()
        profile = simulation.fleet.profile_of_pool(ids.PoolId("pool"))
        assert profile is not None
        draining = [m for m in members if m.state is _STATE.DRAINING]
        if not draining:
            return
        limit = profile.tolerance.max_out or 0
        out = [m for m in members if m.state in _OUT_STATES]
        self.assertLessEqual(len(out), limit)
        now_ms = simulation.driver.time_ms
        settled = [
            m
            for m in members
            if m.state is _STATE.IN_SERVICE
            and now_ms - m.in_service_since_ms >= profile.settle_s * 1000
        ]
        domain = profile.tolerance.failure_reserve
        sizes = collections.Counter(_domain_of(domain, m) for m in settled)
        reserve = (
            0 if domain is _DOMAIN.NONE else max(sizes.values(), default=0)
        )
        floor = profile.owed.instances - limit
        self.assertGreaterEqual(len(settled) - reserve, floor)

    def _check_blocked(self, simulation: _Simulation, wave: waves.Wave) -> None:
        """Checks that an unfinished wave is blocked and names the reason."""
        named = {blocker.pool_id for blocker in wave.blocked_by}
        self.assertEqual(named, {ids.PoolId("pool")})
        self.assertTrue(all(blocker.reason for blocker in wave.blocked_by))
        for name in wave.remaining:
            step = commands.StepWave(wave.wave_id, (name,))
            result = simulation.driver.apply_ok(step)
            self.assertEqual(result.value["taken"], [], wave)

    def test_quarantined_instance_is_drained_first(self) -> None:
        """Guards against spending budget before an instance that costs none."""
        simulation = _Simulation({"owed": profiles.Capacity(4)}, 6, 1)
        simulation.record("i4", _STATE.QUARANTINED)
        (step,) = simulation.step()
        self.assertEqual(step.take, ("i4",))

    def test_jobs_that_may_not_be_ended_are_named(self) -> None:
        """Guards against a drain that waits forever without a reason."""
        tolerance = profiles.Tolerance(max_out=1, actions=())
        owed = profiles.Capacity(instances=1)
        simulation = _Simulation({"owed": owed, "tolerance": tolerance}, 1, 1)
        job = jobs.Job(
            ids.JobId("job"),
            ids.ServiceId("service"),
            None,
            jobs.Demand(1.0, 100),
            60.0,
        )
        driver = simulation.driver
        driver.apply_ok(commands.SubmitJobs((job,)), role="operator")
        placed = commands.JobPlacement(job.job_id, ids.InstanceId("i0"))
        driver.apply_ok(commands.PlaceJobs((placed,)))
        (step,) = simulation.step()
        self.assertEqual(step.take, ("i0",))
        (step,) = simulation.step()
        self.assertIn("neither checkpoint nor stop", step.blocked_by[0].reason)

    def test_blocked_wave_requests_instances_only_where_they_help(self) -> None:
        """Guards against a wave that never ends and against useless moves."""
        for max_out, expected in ((1, 1), (0, None)):
            tolerance = profiles.Tolerance(
                max_out=max_out, failure_reserve=_DOMAIN.INSTANCE
            )
            owed = profiles.Capacity(instances=4)
            simulation = _Simulation(
                {"owed": owed, "tolerance": tolerance}, 4, 1
            )
            requests = wave_capacity_requests.WaveCapacityRequests(
                settings.ObjectiveSettings()
            )
            (step,) = simulation.step()
            requests.update(step, 0)
            self.assertEqual(step.take, ())
            self.assertEqual(requests.due(0), {})
            wanted = {} if expected is None else {ids.PoolId("pool"): expected}
            self.assertEqual(requests.due(10**9), wanted)

    def test_spare_instance_moves_to_the_pool_of_a_blocked_wave(self) -> None:
        """Guards against a request for instances that the balancer ignores."""
        driver = builders.FleetDriver()
        builders.populate(driver, instances=4)
        spare = pools.Pool(ids.PoolId("spare"), ids.FirmId("firm-a"))
        driver.apply_ok(commands.PutPool(spare))
        driver.apply_ok(
            commands.PutInstance(builders.build_instance("s", "spare"))
        )
        view = fleet_view.FleetIndex().refresh(driver.fleet)
        pool_balancer = balancer.Balancer(settings.ObjectiveSettings())
        pool_id = ids.PoolId("pool")
        moves = pool_balancer.balance(view, 0, {}, {pool_id: 1})
        move = balancer.Move(ids.InstanceId("s"), spare.pool_id, pool_id)
        self.assertEqual(moves, (move,))


def _add_pool(driver: builders.FleetDriver, suffix: str, count: int) -> None:
    builders.populate(
        driver,
        instances=count,
        suffix=suffix,
        firm="firm-b" if suffix == "-b" else "firm-a",
        owed=profiles.Capacity(instances=3),
        tolerance=profiles.Tolerance(max_out=1),
    )


class BalancerTest(unittest.TestCase):
    """Guards against moves that cause a shortage, repeat or cross firms."""

    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 5), min_size=3, max_size=3),
        strategies.integers(0, 3),
        strategies.sets(strategies.integers(0, 4), max_size=2),
    )
    def test_moves_are_minimal_allowed_and_sufficient(
        self, sizes: list[int], spares: int, lost: set[int]
    ) -> None:
        """Guards against missing moves, and moves beyond the shortage."""
        driver = builders.FleetDriver()
        for suffix, size in zip(("-1", "-2", "-b"), sizes, strict=True):
            _add_pool(driver, suffix, size)
        spare = pools.Pool(ids.PoolId("spare"), ids.FirmId("firm-a"))
        driver.apply_ok(commands.PutPool(spare))
        for number in range(spares):
            item = builders.build_instance(f"s{number}", "spare")
            driver.apply_ok(commands.PutInstance(item))
        for number in lost:
            name = ids.InstanceId(f"i{number}-1")
            driver.apply(commands.RecordInstanceState(name, _STATE.LOST))
        present = [max(0, sizes[0] - len([n for n in lost if n < sizes[0]]))]
        present.append(sizes[1])
        wanted = sum(max(0, 3 - count) for count in present)
        surplus = spares + sum(max(0, count - 3) for count in present)
        moved = 0
        while moves := self._balance(driver):
            moved += len(moves)
            for move in moves:
                self._apply_move(driver, move)
        self.assertEqual(moved, min(wanted, surplus))

    def _balance(
        self, driver: builders.FleetDriver
    ) -> tuple[balancer.Move, ...]:
        view = fleet_view.FleetIndex().refresh(driver.fleet)
        pool_balancer = balancer.Balancer(settings.ObjectiveSettings(moves=0))
        return pool_balancer.balance(view, driver.time_ms, {}, {})

    def _apply_move(
        self, driver: builders.FleetDriver, move: balancer.Move
    ) -> None:
        name = move.instance_id
        driver.apply_ok(commands.MoveInstance(name, move.to_pool))
        driver.apply_ok(
            commands.SwitchPool(name, move.to_pool, lease_ended=True)
        )
        driver.apply_ok(commands.RecordInstanceState(name, _STATE.IN_SERVICE))


if __name__ == "__main__":
    unittest.main()
