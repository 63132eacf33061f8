"""Tests of pool sizing and of moves of instances between pools."""

import unittest

import anyio

from tarragoncleat.batch import bounds
from tarragoncleat.batch.pools import instance_orders
from tarragoncleat.batch.pools import pool_rebalancer
from tarragoncleat.batch.pools import pool_sizing
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.workers import clients
from tarragoncleat.kernel import errors
from tests import batch_builders

_CORES = 1_000


class _FakeSession:
    """The part of a worker session that the rebalancer uses."""

    def __init__(self, record: model.WorkerRecord) -> None:
        self.record = record


def _demand(**fields: int) -> pool_sizing.Demand:
    """Returns the load of a service with instances of 4 cores."""
    values = {"instance_millicores": 4 * _CORES, "free_millicores": 6 * _CORES}
    return pool_sizing.Demand(**{**values, **fields})


class PoolSizingTest(unittest.TestCase):
    """Tests the choice of pools that get and release instances.

    Load pattern: one queue needs several times the capacity of its pool while
    the other pools are nearly idle.
    """

    def setUp(self) -> None:
        self.trend = pool_sizing.LoadTrend()

    def test_largest_shortage_wins_and_arrivals_count(self) -> None:
        """Guards against moves to a pool that will soon have enough."""
        demands = {
            "a": _demand(unplaced_millicores=32 * _CORES, free_millicores=0),
            "b": _demand(unplaced_millicores=20 * _CORES, free_millicores=0),
        }
        for arriving, chosen in (
            ({}, "a"),
            ({"a": 4}, "b"),
            ({"a": 9, "b": 6}, None),
        ):
            best = pool_sizing.service_to_grow(demands, self.trend, arriving)
            self.assertEqual(best, chosen)

    def test_growth_covers_the_time_until_an_instance_works(self) -> None:
        """Guards against a pool that lags behind its peak by one move.

        Load pattern: the load grows steadily for longer than a move takes.
        """
        trend = pool_sizing.LoadTrend(lead_s=1.8)
        for second, used in enumerate((10, 20, 30)):
            demand = _demand(used_millicores=used * _CORES)
            trend.record_demands({"a": demand}, second * 0.5)
        self.assertEqual(trend.growth_millicores("a"), 36 * _CORES)

    def test_growing_service_gets_instances_before_work_waits(self) -> None:
        """An instance would arrive too late for work that already waits."""
        for second, used in enumerate((4, 12, 28)):
            demand = _demand(used_millicores=used * _CORES)
            self.trend.record_demands({"a": demand}, second * 0.5)
        self.assertEqual(self.trend.growth_millicores("a"), 24 * _CORES)
        self.assertEqual(
            pool_sizing.service_to_grow({"a": demand}, self.trend, {}), "a"
        )
        self.assertIsNone(
            pool_sizing.service_to_grow(
                {"a": demand}, pool_sizing.LoadTrend(), {}
            )
        )

    def test_falling_load_counts_as_no_growth(self) -> None:
        """Guards against a negative estimate of the growth."""
        for second, used in enumerate((40, 20, 4)):
            demand = _demand(used_millicores=used * _CORES)
            self.trend.record_demands({"a": demand}, float(second))
        self.assertEqual(self.trend.growth_millicores("a"), 0)

    def test_load_that_varies_below_its_peak_is_no_growth(self) -> None:
        """Guards against instances that arrive when the load has gone again.

        Load pattern: within a peak of some seconds the load rises and falls by
        half each second, with the number of jobs that happen to run.
        """
        for step, used in enumerate((20, 300, 300, 340, 210, 270, 330, 220)):
            demand = _demand(used_millicores=used * _CORES)
            self.trend.record_demands({"a": demand}, step * 0.5)
            if step >= 5:
                self.assertEqual(self.trend.growth_millicores("a"), 0, step)
        demand = _demand(used_millicores=400 * _CORES)
        self.trend.record_demands({"a": demand}, 4.0)
        self.assertEqual(self.trend.growth_millicores("a"), 60 * _CORES)

    def test_each_unplaced_long_running_task_needs_an_instance(self) -> None:
        """Tasks limited to one per worker don't fit on the workers in use."""
        demand = _demand(unplaced_long_running=3, unplaced_millicores=300)
        self.assertEqual(pool_sizing.instance_shortage(demand, 0), 3)
        self.assertEqual(pool_sizing.instance_shortage(demand, 0, 3), 0)

    def test_pool_keeps_a_reserve_when_instances_leave(self) -> None:
        """Guards against pools without capacity for the next job."""
        for free, growth, can_release in (
            (9, 0, False),
            (10, 0, True),
            (10, 6, False),
            (16, 6, True),
        ):
            demand = _demand(free_millicores=free * _CORES)
            result = pool_sizing.can_release_instance(demand, growth * _CORES)
            self.assertEqual(result, can_release, (free, growth))

    def test_released_instance_is_not_needed_again_at_once(self) -> None:
        """Guards against moves back and forth."""
        for free in range(0, 40):
            demand = _demand(free_millicores=free * _CORES // 2)
            if pool_sizing.can_release_instance(demand, 0):
                demand.free_millicores -= demand.instance_millicores
                self.assertLessEqual(
                    pool_sizing.instance_shortage(demand, 0), 0
                )


class PoolRebalancerTest(unittest.TestCase):
    """Tests moves of instances between pools."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        configuration = batch_builders.build_configuration(2)
        services = (
            *configuration.services,
            model.ServicePolicy("spares", True, True),
        )
        self.local.apply(
            commands.PutConfiguration(
                model.FleetConfiguration(
                    2, b"{}", configuration.queues, services
                )
            )
        )
        self.timer = batch_builders.ManualTimer()
        self.client = batch_builders.FakeInstanceClient()
        self.client.instances = (
            clients.InstanceRecord(
                "spare-1", "spares", clients.InstanceState.UP, ""
            ),
        )
        self.log = batch_builders.FakeLog(self.local.state)
        self.rebalancer = pool_rebalancer.PoolRebalancer(
            self.local.state,
            self.timer,
            bounds.Bounds(),
            instance_orders.InstanceOrders(self.client, "core-1", 1),
            self,
        )
        self.is_healthy = True
        self.is_leader = True
        self.reserved: set[str] = set()

    async def confirm_leadership(self) -> bool:
        """Returns the leadership that the test has set."""
        return self.is_leader

    async def commit(self, command: commands.Command) -> object:
        """Replicates a command."""
        return await self.log.propose(batch_builders.codec.encode(command), 1.0)

    async def commit_decision(self, command: commands.Command) -> object:
        """Replicates a command."""
        return await self.commit(command)

    def _step(
        self,
        unplaced_cores: int = 0,
        free_cores: int = 6,
        late_cores: int = 0,
    ) -> None:
        sessions = {
            worker_id: _FakeSession(worker.record)
            for worker_id, worker in self.local.state.workers.items()
        }
        demands = {
            "bidding": _demand(
                unplaced_millicores=unplaced_cores * _CORES,
                free_millicores=free_cores * _CORES,
                late_millicores=late_cores * _CORES,
            ),
            "other": _demand(free_millicores=99 * _CORES),
        }
        anyio.run(
            self.rebalancer.step,
            sessions,
            demands,
            lambda worker_id: self.is_healthy,
            lambda instance: instance in self.reserved,
        )

    def _step_without_load(
        self, seconds: float = 3.0, free_cores: int = 99
    ) -> None:
        for _ in range(int(seconds / 0.2)):
            self.timer.advance(0.2)
            self._step(0, free_cores)

    def test_spare_instance_moves_once_and_returns_when_idle(self) -> None:
        """Guards against repeated moves and the cost of idle instances."""
        self._step(8)
        self._step(8)
        self.assertEqual(self.client.moved, [("spare-1", "bidding")])
        self.local.register("w-9", instance="spare-1")
        self._step_without_load()
        self.assertEqual(self.client.moved[1:], [("spare-1", "spares")])
        self.assertNotIn("w-9", self.local.state.workers)

    def test_idle_instance_stays_while_late_work_of_its_pool_waits(
        self,
    ) -> None:
        """Guards against late work that finds its instances switched off.

        It gives way only as long as another pool lacks instances.
        """
        self.client.instances = ()
        self.local.register("w-9", instance="spare-1")
        for _ in range(15):
            self.timer.advance(0.2)
            self._step(0, free_cores=99, late_cores=8)
        self.assertEqual(self.client.moved, [])

    def test_idle_instance_moves_where_work_waits(self) -> None:
        """Guards against idle pools beside an overloaded one."""
        self.client.instances = ()
        self.local.register("w-1", "w-2", service="other")
        for _ in range(3):
            self.timer.advance(0.2)
            self._step(3, free_cores=0)
        instances = {instance for instance, _ in self.client.moved}
        self.assertEqual({pool for _, pool in self.client.moved}, {"bidding"})
        self.assertEqual(len(instances), len(self.client.moved))
        self.assertGreater(len(instances), 0)

    def test_instance_gets_no_task_before_it_moves(self) -> None:
        """The move would end a run whose start is being stored."""
        self.local.register("w-1")
        had_pending_move = False
        while not self.client.moved:
            self.timer.advance(0.2)
            self._step(0, free_cores=99)
            has_pending_move = self.rebalancer.has_pending_move(
                "instance-of-w-1"
            )
            self.assertTrue(had_pending_move or not self.client.moved)
            had_pending_move = has_pending_move

    def test_instance_with_tasks_is_not_moved(self) -> None:
        """A move ends everything that runs on the instance."""
        self.local.register("w-1")
        self.local.submit()
        self.timer.advance(0.2)
        for _ in range(4):
            self.timer.advance(0.2)
            self._step(0, free_cores=99)
        self.assertTrue(self.rebalancer.has_pending_move("instance-of-w-1"))
        self.local.start(batch_builders.task_key(), worker_id="w-1")
        self._step_without_load()
        self.assertEqual(self.client.moved, [])
        self.assertFalse(self.rebalancer.has_pending_move("instance-of-w-1"))

    def test_deposed_leader_moves_nothing(self) -> None:
        """A leader that was paused doesn't know what runs by now."""
        self.is_leader = False
        self._step(8)
        self.assertEqual(self.client.moved, [])
        self.is_leader = True
        self._step(8)
        self.assertEqual(self.client.moved, [("spare-1", "bidding")])

    def test_moves_of_a_step_are_sent_in_parallel(self) -> None:
        """Sequential calls would be too late for a load peak of seconds."""
        self.client.instances = ()
        self.local.register("w-1", "w-2", "w-3", service="other")
        for _ in range(2):
            self.timer.advance(0.2)
            self._step(0, free_cores=0)
        before = len(self.log.committed)
        while not self.client.moved:
            self.timer.advance(0.2)
            self._step(40, free_cores=0)
        self.assertEqual(len(self.client.moved), 3)
        self.assertEqual(len(self.log.committed), before + 1)
        self.assertEqual(dict(self.local.state.workers), {})

    def test_last_instance_of_a_pool_stays(self) -> None:
        """Guards against a pool without capacity for any job."""
        self.local.register("w-1")
        self._step_without_load(free_cores=4)
        self.assertEqual(self.client.moved, [])

    def test_unhealthy_worker_is_not_moved_to_another_pool(self) -> None:
        """Its next incarnation would count as healthy."""
        self.client.instances = ()
        self.is_healthy = False
        self.local.register("w-1", service="other")
        for _ in range(2):
            self.timer.advance(0.2)
            self._step(8, free_cores=0)
        self.assertEqual(self.client.moved, [])

    def test_instance_that_is_taken_for_maintenance_stays(self) -> None:
        """Guards against tasks on an instance that goes down at once."""
        self.local.register("w-1")
        self.reserved = {"spare-1", "instance-of-w-1"}
        self._step(8)
        self._step_without_load()
        self.assertEqual(self.client.moved, [])

    def test_instance_due_for_maintenance_moves_where_work_waits(self) -> None:
        """Guards against a shortage beside idle instances that are due.

        A wave over half of the instances lasts longer than a load peak. On
        scale-2 of the grown auction site the class at its peak then earned 0.25
        of its worth, with a floor of 0.24.
        """
        self.local.apply(commands.StartWave(1, ("spare-1",), 27_000, 1))
        self._step(8)
        self.assertEqual(self.client.moved, [("spare-1", "bidding")])
        self.assertTrue(self.rebalancer.is_moving("spare-1"))

    def test_instances_that_return_are_seen_within_a_second(self) -> None:
        """Guards against a shortage that outlasts the return of instances."""
        rows = self.client.instances
        self.client.instances = ()
        self._step(8)
        self.client.instances = rows
        for _ in range(6):
            self.timer.advance(0.2)
            self._step(8)
        self.assertEqual(self.client.moved, [("spare-1", "bidding")])

    def test_refused_move_is_not_repeated_at_once(self) -> None:
        """Guards against repeated calls while the cause of a refusal lasts."""
        self.client.failure = errors.Failure(
            errors.ErrorKind.CONFLICT, "status 409 busy"
        )
        self._step(8)
        self._step(8)
        self.client.failure = None
        self._step(8)
        self.assertEqual(self.client.moved, [])
        self.timer.advance(5.0)
        self._step(8)
        self.assertEqual(self.client.moved, [("spare-1", "bidding")])

    def test_permanently_refused_move_is_not_repeated(self) -> None:
        """Guards against calls that the platform always refuses."""
        self.client.failure = errors.Failure(
            errors.ErrorKind.NOT_FOUND, "status 400"
        )
        self._step(8)
        self.client.failure = None
        self.timer.advance(5.0)
        self._step(8)
        self.assertEqual(self.client.moved, [])

    def test_instance_of_unanswered_move_gets_no_tasks(self) -> None:
        """The move may still take effect and end whatever runs by then."""
        self.local.register("w-1")
        self.client.failure = errors.Failure(
            errors.ErrorKind.UNDECIDED, "no answer"
        )
        self._step_without_load(1.2)
        self.assertTrue(self.rebalancer.has_pending_move("instance-of-w-1"))

    def test_moves_stay_within_the_call_limit(self) -> None:
        """Moves must leave half of the call limit to maintenance orders."""
        self.client.instances = tuple(
            clients.InstanceRecord(
                f"spare-{number:02d}",
                "spares",
                clients.InstanceState.UP,
                "",
            )
            for number in range(40)
        )
        self._step(200)
        allowed = bounds.Bounds().instance_calls_per_s / 2
        self.assertEqual(len(self.client.moved), allowed)
        self.timer.advance(1.0)
        self._step(200)
        self.assertEqual(len(self.client.moved), 2 * allowed)


if __name__ == "__main__":
    unittest.main()
