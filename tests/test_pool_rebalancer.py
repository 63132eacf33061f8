"""Tests of moving instances between pools whose queues have their turns."""

import unittest

import anyio

from tarragoncleat.batch import bounds
from tarragoncleat.batch import clients
from tarragoncleat.batch import commands
from tarragoncleat.batch import model
from tarragoncleat.batch import pool_rebalancer
from tarragoncleat.batch import pool_sizing
from tarragoncleat.kernel import errors
from tests import batch_builders

_CORES = 1_000


class _Session:
    """What the mover needs of a worker's session."""

    def __init__(self, record: model.WorkerRecord) -> None:
        self.record = record


def _demand(**fields: int) -> pool_sizing.Demand:
    """Returns the load of a service with instances of 4 cores."""
    values = {"instance_millicores": 4 * _CORES, "free_millicores": 6 * _CORES}
    return pool_sizing.Demand(**{**values, **fields})


class SizingTest(unittest.TestCase):
    """Guards the choice of pools that get and give instances.

    The pattern: one queue asks for several times what its pool holds, while
    the other pools are nearly idle.
    """

    def setUp(self) -> None:
        self.trend = pool_sizing.LoadTrend()

    def test_most_missing_room_wins_and_arrivals_count(self) -> None:
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

    def test_room_is_ordered_before_work_has_to_wait(self) -> None:
        """An instance arrives too late for work that already waits."""
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

    def test_load_that_fell_leaves_no_growth(self) -> None:
        for second, used in enumerate((40, 20, 4)):
            demand = _demand(used_millicores=used * _CORES)
            self.trend.record_demands({"a": demand}, float(second))
        self.assertEqual(self.trend.growth_millicores("a"), 0)

    def test_each_lasting_task_without_a_worker_needs_an_instance(self) -> None:
        """Tasks that are kept apart find no room on the workers in use."""
        demand = _demand(unplaced_long_running=3, unplaced_millicores=300)
        self.assertEqual(pool_sizing.instance_shortage(demand, 0), 3)
        self.assertEqual(pool_sizing.instance_shortage(demand, 0, 3), 0)

    def test_a_reserve_stays_when_instances_leave(self) -> None:
        for free, growth, spared in (
            (9, 0, False),
            (10, 0, True),
            (10, 6, False),
            (16, 6, True),
        ):
            demand = _demand(free_millicores=free * _CORES)
            found = pool_sizing.can_release_instance(demand, growth * _CORES)
            self.assertEqual(found, spared, (free, growth))

    def test_no_instance_is_asked_back_as_soon_as_it_left(self) -> None:
        """Guards against moves to and fro."""
        for free in range(0, 40):
            demand = _demand(free_millicores=free * _CORES // 2)
            if pool_sizing.can_release_instance(demand, 0):
                demand.free_millicores -= demand.instance_millicores
                self.assertLessEqual(
                    pool_sizing.instance_shortage(demand, 0), 0
                )


class MoverTest(unittest.TestCase):
    """Guards instances on their way between pools."""

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
        self.calls = batch_builders.FakeInstances()
        self.calls.instances = (
            clients.InstanceRecord(
                "spare-1", "spares", clients.InstanceState.UP, ""
            ),
        )
        self.log = batch_builders.FakeLog(self.local.state)
        self.mover = pool_rebalancer.PoolRebalancer(
            self.local.state,
            self.timer,
            bounds.Bounds(),
            self.calls,
            self,
            "core-1",
            1,
        )
        self.sound = True
        self.leads = True

    async def confirm_leadership(self) -> bool:
        """Leads as long as the test says so."""
        return self.leads

    async def commit(self, command: commands.Command) -> object:
        """Replicates a command."""
        return await self.log.propose(batch_builders.codec.encode(command), 1.0)

    def _step(self, unplaced_cores: int = 0, free_cores: int = 6) -> None:
        sessions = {
            worker_id: _Session(worker.record)
            for worker_id, worker in self.local.state.workers.items()
        }
        demands = {
            "bidding": _demand(
                unplaced_millicores=unplaced_cores * _CORES,
                free_millicores=free_cores * _CORES,
            ),
            "other": _demand(free_millicores=99 * _CORES),
        }
        anyio.run(
            self.mover.step, sessions, demands, lambda worker_id: self.sound
        )

    def _idle(self, seconds: float = 3.0, free_cores: int = 99) -> None:
        for _ in range(int(seconds / 0.2)):
            self.timer.advance(0.2)
            self._step(0, free_cores)

    def test_spare_instance_comes_once_and_returns_when_vacant(self) -> None:
        self._step(8)
        self._step(8)
        self.assertEqual(self.calls.moved, [("spare-1", "bidding")])
        self.local.register("w-9", instance="spare-1")
        self._idle()
        self.assertEqual(self.calls.moved[1:], [("spare-1", "spares")])
        self.assertNotIn("w-9", self.local.state.workers)

    def test_vacant_instance_goes_where_work_waits(self) -> None:
        self.calls.instances = ()
        self.local.register("w-1", "w-2", service="other")
        for _ in range(3):
            self.timer.advance(0.2)
            self._step(3, free_cores=0)
        instances = {instance for instance, _ in self.calls.moved}
        self.assertEqual({pool for _, pool in self.calls.moved}, {"bidding"})
        self.assertEqual(len(instances), len(self.calls.moved))
        self.assertGreater(len(instances), 0)

    def test_instance_gets_no_task_before_it_moves(self) -> None:
        """A start that is being stored would be ended by the move."""
        self.local.register("w-1")
        seen_leaving = False
        while not self.calls.moved:
            self.timer.advance(0.2)
            self._step(0, free_cores=99)
            leaves = self.mover.has_pending_move("instance-of-w-1")
            self.assertTrue(seen_leaving or not self.calls.moved)
            seen_leaving = leaves

    def test_instance_with_tasks_is_not_moved(self) -> None:
        """A move ends everything that runs on the instance."""
        self.local.register("w-1")
        self.local.submit()
        self.timer.advance(0.2)
        for _ in range(4):
            self.timer.advance(0.2)
            self._step(0, free_cores=99)
        self.assertTrue(self.mover.has_pending_move("instance-of-w-1"))
        self.local.start(batch_builders.task_key(), worker_id="w-1")
        self._idle()
        self.assertEqual(self.calls.moved, [])
        self.assertFalse(self.mover.has_pending_move("instance-of-w-1"))

    def test_deposed_leader_moves_nothing(self) -> None:
        """A leader that was frozen does not know what runs by now."""
        self.leads = False
        self._step(8)
        self.assertEqual(self.calls.moved, [])
        self.leads = True
        self._step(8)
        self.assertEqual(self.calls.moved, [("spare-1", "bidding")])

    def test_moves_of_a_turn_are_made_at_once(self) -> None:
        """A turn of seconds must not wait for one call after another."""
        self.calls.instances = ()
        self.local.register("w-1", "w-2", "w-3", service="other")
        for _ in range(2):
            self.timer.advance(0.2)
            self._step(0, free_cores=0)
        before = len(self.log.committed)
        while not self.calls.moved:
            self.timer.advance(0.2)
            self._step(40, free_cores=0)
        self.assertEqual(len(self.calls.moved), 3)
        self.assertEqual(len(self.log.committed), before + 1)
        self.assertEqual(dict(self.local.state.workers), {})

    def test_last_room_of_a_pool_stays(self) -> None:
        """Guards against a pool that can take no job at all."""
        self.local.register("w-1")
        self._idle(free_cores=4)
        self.assertEqual(self.calls.moved, [])

    def test_failing_worker_is_not_given_to_another_pool(self) -> None:
        """Its next life would begin with a good opinion."""
        self.calls.instances = ()
        self.sound = False
        self.local.register("w-1", service="other")
        for _ in range(2):
            self.timer.advance(0.2)
            self._step(8, free_cores=0)
        self.assertEqual(self.calls.moved, [])

    def test_instance_due_for_maintenance_stays(self) -> None:
        self.local.apply(commands.StartWave(1, ("spare-1",), 9_000, 1))
        self._step(8)
        self.assertEqual(self.calls.moved, [])

    def test_refused_move_is_not_repeated_at_once(self) -> None:
        self.calls.failure = errors.Failure(
            errors.ErrorKind.CONFLICT, "status 409 busy"
        )
        self._step(8)
        self._step(8)
        self.calls.failure = None
        self._step(8)
        self.assertEqual(self.calls.moved, [])
        self.timer.advance(5.0)
        self._step(8)
        self.assertEqual(self.calls.moved, [("spare-1", "bidding")])

    def test_pool_that_does_not_fit_is_not_tried_again(self) -> None:
        """Guards against calls that the platform refuses for good."""
        self.calls.failure = errors.Failure(
            errors.ErrorKind.NOT_FOUND, "status 400"
        )
        self._step(8)
        self.calls.failure = None
        self.timer.advance(5.0)
        self._step(8)
        self.assertEqual(self.calls.moved, [])

    def test_move_without_an_answer_keeps_the_worker_closed(self) -> None:
        """The move may be carried out later, and end what runs by then."""
        self.local.register("w-1")
        self.calls.failure = errors.Failure(
            errors.ErrorKind.UNDECIDED, "no answer"
        )
        self._idle(1.2)
        self.assertTrue(self.mover.has_pending_move("instance-of-w-1"))

    def test_moves_stay_within_the_allowed_calls(self) -> None:
        self.calls.instances = tuple(
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
        self.assertEqual(len(self.calls.moved), allowed)
        self.timer.advance(1.0)
        self._step(200)
        self.assertEqual(len(self.calls.moved), 2 * allowed)


if __name__ == "__main__":
    unittest.main()
