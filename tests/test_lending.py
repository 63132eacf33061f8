"""Tests of lending instances of the spare pool to busy pools."""

import unittest

import anyio

from tarragoncleat import errors
from tarragoncleat.batch import commands
from tarragoncleat.batch import lending
from tarragoncleat.batch import model
from tarragoncleat.batch import worker_calls
from tests import batch_builders


class _Session:
    """What the lender needs of a worker's session."""

    def __init__(self, record: model.WorkerRecord) -> None:
        self.record = record


class ChooseTest(unittest.TestCase):
    """Guards the choice of the pool that gets an instance."""

    def test_most_waiting_work_wins_and_arrivals_count(self) -> None:
        demands = {
            "a": lending.Demand(30_000, 10_000),
            "b": lending.Demand(20_000, 10_000),
        }
        self.assertEqual(lending.choose_pool(demands, {}), "a")
        self.assertEqual(lending.choose_pool(demands, {"a": 2}), "b")
        self.assertIsNone(lending.choose_pool(demands, {"a": 3, "b": 2}))

    def test_a_little_work_is_worth_no_move(self) -> None:
        demands = {"a": lending.Demand(1_000, 10_000)}
        self.assertIsNone(lending.choose_pool(demands, {}))


class LenderTest(unittest.TestCase):
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
            worker_calls.InstanceRecord(
                "spare-1", "spares", worker_calls.InstanceState.UP, ""
            ),
        )
        self.log = batch_builders.FakeLog(self.local.state)
        self.lender = lending.PoolLender(
            self.local.state, self.timer, self.calls, self, "core-1", 1
        )

    async def commit(self, command: commands.Command) -> object:
        """Replicates a command."""
        return await self.log.propose(batch_builders.codec.encode(command), 1.0)

    def _step(self, unplaced_millicores: int = 0) -> None:
        sessions = {
            worker_id: _Session(worker.record)
            for worker_id, worker in self.local.state.workers.items()
        }
        demands = {"bidding": lending.Demand(unplaced_millicores, 4_000)}
        anyio.run(self.lender.step, sessions, demands)

    def test_spare_instance_is_lent_once_and_returned_when_idle(self) -> None:
        self._step(8_000)
        self._step(8_000)
        self.assertEqual(self.calls.moved, [("spare-1", "bidding")])
        self.local.register("w-9", instance="spare-1")
        for _ in range(6):
            self.timer.advance(1.0)
            self._step()
        self.assertEqual(self.calls.moved[1:], [("spare-1", "spares")])
        self.assertNotIn("w-9", self.local.state.workers)

    def test_instance_with_tasks_is_not_moved(self) -> None:
        """A move ends everything that runs on the instance."""
        self._step(8_000)
        self.local.register("w-9", instance="spare-1")
        self.local.submit()
        self.local.start(batch_builders.task_key(), worker_id="w-9")
        for _ in range(6):
            self.timer.advance(1.0)
            self._step()
        self.assertEqual(len(self.calls.moved), 1)

    def test_loan_is_stored_before_the_platform_is_called(self) -> None:
        """A later leader must know which instances to return."""
        self.log.refuses = True
        self._step(8_000)
        self.assertEqual(self.calls.moved, [])

    def test_instance_due_for_maintenance_stays(self) -> None:
        self.local.apply(commands.StartWave(1, ("spare-1",), 9_000, 1))
        self._step(8_000)
        self.assertEqual(self.calls.moved, [])

    def test_refused_move_is_not_repeated_at_once(self) -> None:
        self.calls.failure = errors.Failure(
            errors.ErrorKind.CONFLICT, "status 409 busy"
        )
        self._step(8_000)
        self._step(8_000)
        self.calls.failure = None
        self._step(8_000)
        self.assertEqual(self.calls.moved, [])
        self.timer.advance(5.0)
        self._step(8_000)
        self.assertEqual(self.calls.moved, [("spare-1", "bidding")])
