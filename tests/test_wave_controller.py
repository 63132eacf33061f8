"""Tests of maintenance waves within their caps and budgets."""

import unittest

import anyio

from tarragoncleat.batch import bounds
from tarragoncleat.batch import clients
from tarragoncleat.batch import commands
from tarragoncleat.batch import model
from tarragoncleat.batch import pool_sizing
from tarragoncleat.batch import wave_controller
from tarragoncleat.kernel import errors
from tests import batch_builders


class _Session:
    """What the keeper needs of a worker's session."""

    def __init__(self, record: model.WorkerRecord) -> None:
        self.record = record
        self.is_responsive = True
        self.running: dict = {}
        self.stopping: set = set()

    def stop(self, task: model.TaskKey, run: int) -> None:
        """Notes the order."""
        self.stopping.add((task, run))


class WaveKeeperTest(unittest.TestCase):
    """Guards caps of waves and availability budgets of steps."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.timer = batch_builders.ManualTimer()
        self.calls = batch_builders.FakeInstances()
        self.log = batch_builders.FakeLog(self.local.state)
        self.keeper = wave_controller.WaveController(
            self.local.state,
            self.timer,
            bounds.Bounds(),
            self.calls,
            self,
            "core-1",
            1,
        )
        self.sessions: dict[str, _Session] = {}

    async def confirm_leadership(self) -> bool:
        """Always leads."""
        return True

    async def commit(self, command: commands.Command) -> object:
        """Replicates a command."""
        return await self.log.propose(batch_builders.codec.encode(command), 1.0)

    def _workers(self, *worker_ids: str) -> None:
        self.local.register(*worker_ids)
        for worker_id in worker_ids:
            record = batch_builders.build_record(worker_id)
            self.sessions[worker_id] = _Session(record)

    def _wave(self, *worker_ids: str, cap: int) -> None:
        instances = tuple(f"instance-of-{name}" for name in worker_ids)
        self.local.apply(commands.StartWave(1, instances, 9_000, cap))

    def _step(self, free_cores: int = 0) -> None:
        """Lets the keeper choose instances, and order them a moment later."""
        for _ in range(2):
            closed = sum(
                self.keeper.is_draining_instance(session.record.instance)
                or session.record.instance in self.calls.maintained
                for session in self.sessions.values()
            )
            demands = {
                "bidding": pool_sizing.Demand(
                    free_millicores=free_cores * 1_000 - closed * 4_000,
                    instance_millicores=4_000,
                )
            }
            anyio.run(self.keeper.step, self.sessions, demands)
            self.timer.advance(0.05)

    def test_instance_is_closed_before_its_maintenance(self) -> None:
        """A start that is being stored would be lost with the instance."""
        self._workers("w-0")
        self._wave("w-0", cap=1)
        anyio.run(self.keeper.step, self.sessions)
        self.assertTrue(self.keeper.is_draining_instance("instance-of-w-0"))
        self.assertEqual(self.calls.maintained, [])
        self.local.submit()
        self.local.start(batch_builders.task_key(), worker_id="w-0")
        self.timer.advance(0.2)
        anyio.run(self.keeper.step, self.sessions)
        self.assertEqual(self.calls.maintained, [])

    def test_vacant_instances_go_at_once_where_they_are_not_needed(
        self,
    ) -> None:
        """An instance that is due for maintenance can't move before it."""
        names = [f"w-{number}" for number in range(8)]
        for free_cores, most in ((0, 2), (32, 6)):
            self.setUp()
            self._workers(*names)
            self._wave(*names, cap=8)
            self._step(free_cores)
            self.assertEqual(len(self.calls.maintained), most, free_cores)

    def test_no_more_than_the_cap_are_down(self) -> None:
        names = [f"w-{number}" for number in range(8)]
        self._workers(*names)
        self._wave(*names, cap=2)
        for _ in range(3):
            self._step()
        self.assertEqual(len(self.calls.maintained), 2)

    def test_worker_that_registers_too_early_frees_no_place(self) -> None:
        """It may have started before the order was carried out.

        Seen on kcc-grid, trouble-1, seed 89200080364: LIMIT.
        """
        self._workers("w-0", "w-1", "w-2", "w-3")
        self._wave("w-0", "w-1", "w-2", "w-3", cap=1)
        self._step()
        first = self.calls.maintained[0]
        self.local.register("w-9", instance=first)
        self.timer.advance(1.0)
        self._step()
        self.assertEqual(len(self.calls.maintained), 1)
        self.timer.advance(1.5)
        self._step()
        self.assertEqual(len(self.calls.maintained), 2)

    def test_order_without_an_answer_counts_as_down(self) -> None:
        self._workers("w-0", "w-1")
        self._wave("w-0", "w-1", cap=1)
        self.calls.failure = errors.Failure(
            errors.ErrorKind.UNDECIDED, "no answer"
        )
        self._step()
        chosen = set(self.local.state.waves[1].chosen)
        for _ in range(30):
            self.timer.advance(1.0)
            self._step()
        self.assertEqual(set(self.local.state.waves[1].chosen), chosen)
        self.assertEqual(len(chosen), 1)

    def _lasting_step(self, tasks: int, max_unavailable: int) -> None:
        step = batch_builders.build_step(
            tasks, long_running=True, max_unavailable=max_unavailable
        )
        self.local.submit("job-1", step)
        for position in range(tasks):
            key = batch_builders.task_key(position=position)
            worker_id = f"w-{position}"
            self.local.start(key, worker_id=worker_id)
            self.sessions[worker_id].running[(key, 1)] = clients.RunningTask(
                key, 1, "", 100, 0.0
            )

    def test_tasks_of_a_step_are_taken_one_by_one(self) -> None:
        self._workers("w-0", "w-1", "w-2")
        self._lasting_step(3, max_unavailable=1)
        self._wave("w-0", "w-1", "w-2", cap=3)
        for _ in range(3):
            self._step()
        stopped = [s for s in self.sessions.values() if s.stopping]
        self.assertEqual(len(stopped), 1)
        self.assertEqual(self.calls.maintained, [])

    def test_nothing_is_taken_while_another_is_not_at_work(self) -> None:
        self._workers("w-0", "w-1")
        self._lasting_step(2, max_unavailable=1)
        self.sessions["w-1"].running.clear()
        self._wave("w-0", cap=1)
        for _ in range(3):
            self._step()
        self.assertFalse(self.sessions["w-0"].stopping)

    def test_new_leader_without_sessions_takes_no_busy_instance(self) -> None:
        """Its sessions open a moment after its first step."""
        self._workers("w-0")
        self._lasting_step(1, max_unavailable=1)
        self.sessions.clear()
        self._wave("w-0", cap=1)
        self._step()
        self.assertEqual(self.calls.maintained, [])
