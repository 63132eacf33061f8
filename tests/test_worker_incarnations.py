"""Tests of workers that start again under the name that they had.

The next incarnation holds and knows nothing of the one before; the numbers of
its heartbeats and ends and its clock begin anew.
"""

from collections.abc import Callable
from typing import Any
import unittest
import unittest.mock

import anyio
import hypothesis
from hypothesis import strategies

from fleet_adapter import advisor_client
from fleet_adapter import json_client
from fleet_adapter import wire
from tarragoncleat.batch.leader import leader_service
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import incarnations
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.replicated import worker_state
from tarragoncleat.batch.scheduling import advice
from tarragoncleat.batch.workers import clients
from tarragoncleat.batch.workers import heartbeats
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import timer as timer_module
from tests import batch_builders
from tests import dispatcher_rig

_INSTANCE = "m-1"
_FIRST = "i-1@1000"
_SECOND = "i-1@2000"
_TIMEOUT_S = 20.0


class WireTest(unittest.TestCase):
    """Guards against incarnations that are taken for one another."""

    def _decode(self, **fields: Any) -> Any:
        body = batch_builders.build_heartbeat_body(**fields)
        return wire.decode_heartbeat("i-1", body)

    def test_heartbeat_names_the_incarnation(self) -> None:
        """Both run on one instance, also where it isn't named."""
        heartbeat = self._decode(born=1000)
        self.assertEqual(heartbeat.worker.worker_id, _FIRST)
        self.assertEqual(self._decode().worker.worker_id, "i-1")
        self.assertIs(type(self._decode()), messages.Heartbeat)
        self.assertEqual(codec.decode(codec.encode(heartbeat)), heartbeat)
        self.assertNotIn(b"batch_heartbeat", codec.encode(heartbeat))
        body = b'{"state":"ready","capacity":{},"address":"10.0.0.1:80",'
        body += b'"service":"bidding","born":1000}'
        decoded: Any = wire.decode_heartbeat("i-1", body)
        self.assertEqual(decoded.worker.instance, "i-1")

    def test_malformed_start_time_is_refused(self) -> None:
        """Guards against an entry of another writer that names a worker."""
        for born in ("1000", 1000.0, True, None, 0, -1, [], 2**63):
            with self.subTest(born=born):
                self.assertIsInstance(self._decode(born=born), errors.Failure)
                leaving = wire.decode_leaving(
                    "i-1", batch_builders.build_heartbeat_body(born=born)
                )
                self.assertIsInstance(leaving, errors.Failure)

    def test_leaving_may_tell_the_incarnation(self) -> None:
        """Guards against a refusal of a message without a body."""
        for body, worker_id in (
            (b"", "i-1"),
            (b"[]", "i-1"),
            (b'{"born":1000}', _FIRST),
        ):
            self.assertEqual(
                wire.decode_leaving("i-1", body), messages.WorkerLeft(worker_id)
            )

    @hypothesis.given(
        name=strategies.text("ab@05", max_size=6),
        started_ms=strategies.sampled_from([0, 1, 5, 50]),
    )
    @hypothesis.settings(derandomize=True)
    def test_ids_are_split_as_they_were_built(
        self, name: str, started_ms: int
    ) -> None:
        """Guards against a name that ends like an incarnation."""
        worker_id = incarnations.build_worker_id(name, started_ms)
        self.assertEqual(
            incarnations.split_worker_id(worker_id), (name, started_ms)
        )

    def test_advisor_is_asked_by_name(self) -> None:
        """Guards against a ticket of one life that the next one presents."""
        client = advisor_client.HttpAdvisorClient(None)
        answer = (200, {"good": [["i-1", "ticket"]], "valid-ms": 3000})
        call = unittest.mock.AsyncMock(return_value=answer)
        with unittest.mock.patch.object(json_client.JsonClient, "call", call):
            approvals: Any = anyio.run(
                client.request_approvals, ("job-1", 0, 0), [_SECOND, "i-2"]
            )
        self.assertEqual(call.await_args.args[2]["workers"], ["i-1", "i-2"])
        self.assertEqual(
            approvals.approved, (advice.Approval(_SECOND, "ticket"),)
        )


class _LocalStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.state = self.local.state
        self.key = batch_builders.task_key()

    def _register(self, *worker_ids: str) -> None:
        self.local.register(*worker_ids, instance=_INSTANCE)


class StateTest(_LocalStateTest):
    """Guards against replicas that decide by what arrived last."""

    def _restored(self) -> state_module.BatchState:
        restored = state_module.BatchState()
        restored.restore(1, self.state.snapshot())
        return restored

    def test_earlier_incarnation_is_not_registered_any_more(self) -> None:
        """Neither beside the later one nor after its end, nor by a snapshot."""
        self._register(_SECOND, _FIRST, "i-1")
        self.assertEqual(set(self.state.workers), {_SECOND})
        self.local.apply(commands.MarkWorkersLost((_SECOND,), is_final=True))
        self.local.state = self._restored()
        self._register(_FIRST, "i-1", _SECOND)
        self.assertEqual(set(self.local.state.workers), set())

    def test_no_run_is_stored_on_a_superseded_worker(self) -> None:
        """Its start would reach the successor, or count as a crash."""
        self._register(_FIRST, _SECOND)
        self.local.submit()
        self.local.start(self.key, worker_id=_FIRST)
        self.assertFalse(self.state.is_current(self.key, 1, _FIRST))
        self.assertIn(_FIRST, self._restored().superseded_workers)
        self.local.apply(commands.MarkWorkersLost((_FIRST,), is_final=True))
        self.assertFalse(self.state.superseded_workers)

    def test_forgotten_incarnations_are_bounded(self) -> None:
        """A replica from a snapshot must decide as the others do."""
        with unittest.mock.patch.object(state_module, "_MAX_ENDED_WORKERS", 1):
            for worker_id in (_SECOND, "i-2@1000"):
                lost = commands.MarkWorkersLost((worker_id,), is_final=True)
                self.local.apply(lost)
        for state in (self.state, self._restored()):
            self.assertFalse(state.incarnations.tells_start("i-1"))
            self.assertTrue(state.incarnations.tells_start("i-2"))


class LeaderServiceTest(_LocalStateTest):
    """Guards against messages of one incarnation that change another."""

    def setUp(self) -> None:
        super().setUp()
        self.log = batch_builders.FakeLog(self.state)
        self.service = leader_service.LeaderService(
            self.log,  # type: ignore[arg-type]
            self.state,
            batch_builders.ManualTimer(),
            lambda: None,
        )

    def _beat(
        self, worker_id: str, sequence: int = 1, draining: bool = False
    ) -> None:
        record = batch_builders.build_record(
            worker_id, instance=_INSTANCE, cpu_millicores=1_000 * sequence
        )
        self._handle(messages.IncarnationHeartbeat(record, draining, sequence))

    def _handle(self, request: object) -> None:
        reply = anyio.run(self.service.handle, request)
        self.assertIsInstance(reply, messages.Done)

    def _leave(self, worker_id: str) -> None:
        self._handle(messages.WorkerLeft(worker_id))

    def test_sequence_begins_anew_with_the_incarnation(self) -> None:
        """Guards against heartbeats that are ignored for their low number."""
        self._beat(_FIRST, sequence=9)
        self._beat(_SECOND, sequence=1)
        self._beat(_SECOND, sequence=2)
        record = self.state.workers[_SECOND].record
        self.assertEqual(record.cpu_millicores, 2_000)

    def test_ended_id_comes_back(self) -> None:
        """Guards against an id that is refused for ever."""
        self._beat(_FIRST)
        self._leave(_FIRST)
        self._beat(_SECOND)
        self.assertEqual(set(self.state.workers), {_SECOND})

    def test_late_heartbeat_changes_nothing(self) -> None:
        """One that was held up may arrive after the next life registered."""
        self._beat(_SECOND)
        committed = len(self.log.committed)
        for worker_id in (_FIRST, "i-1"):
            self._beat(worker_id, sequence=7, draining=True)
        self.assertEqual(len(self.log.committed), committed)
        worker = self.state.workers[_SECOND]
        self.assertIs(worker.state, worker_state.WorkerState.UP)

    def test_late_leaving_ends_no_later_incarnation(self) -> None:
        """Its tasks would run twice; without a body it doesn't tell which."""
        self._beat(_SECOND)
        for worker_id in (_FIRST, "i-1"):
            self._leave(worker_id)
        self.assertIn(_SECOND, self.state.workers)

    def test_draining_worker_leaves_without_telling_which(self) -> None:
        """Guards against tasks that wait for the lease of an ended worker."""
        self._beat(_SECOND)
        self._beat(_SECOND, draining=True)
        self._leave("i-1")
        self.assertTrue(self.state.has_worker_ended(_SECOND))

    def test_worker_that_tells_no_start_leaves_as_before(self) -> None:
        """Guards against a change where nothing tells of incarnations."""
        self._beat("i-1")
        self._leave("i-1")
        self.assertTrue(self.state.has_worker_ended("i-1"))

    def test_follower_leaves_a_new_incarnation_to_the_leader(self) -> None:
        """Guards against one that is never registered."""
        self._beat(_FIRST)
        record = batch_builders.build_record(_SECOND, instance=_INSTANCE)
        self.assertFalse(
            heartbeats.changes_nothing(
                messages.Heartbeat(record, False, 1), self.state, 0.1
            )
        )


class DispatcherTest(_LocalStateTest):
    """Guards against second runs, and tasks that wait for an ended worker."""

    def setUp(self) -> None:
        super().setUp()
        self.first, self.second, self.other = (
            batch_builders.FakeWorker(
                batch_builders.build_record(worker_id, instance=instance)
            )
            for worker_id, instance in (
                (_FIRST, _INSTANCE),
                (_SECOND, _INSTANCE),
                ("i-2@1000", "m-2"),
            )
        )
        self._register(_FIRST)
        self.local.submit()

    def _run_scenario(
        self,
        scenario: Callable,
        timer: timer_module.TimerService | None = None,
    ) -> None:
        self.dispatcher, _ = batch_builders.build_dispatcher(
            self.local,
            [self.first, self.second, self.other],
            timer or timer_module.TimerService(),
        )
        dispatcher_rig.run_beside(self.dispatcher, scenario)

    def _has_first_ended(self) -> bool:
        return self.state.has_worker_ended(_FIRST)

    def test_task_runs_again_after_a_restart(self) -> None:
        """Its end has number 1 again, below what was acknowledged before."""
        self.local.submit("job-0")
        earlier = batch_builders.task_key("job-0")

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: len(self.first.running) == 2
            )
            self.first.end(earlier)
            await dispatcher_rig.wait_until(lambda: self.first.acknowledged)
            self.first.successor = self.second
            await dispatcher_rig.wait_until(self._has_first_ended)
            self._register(_SECOND)
            await dispatcher_rig.wait_until(lambda: self.second.running)
            self.second.end(self.key, run=2)
            await dispatcher_rig.wait_until(
                lambda: self.state.job("job-1").state is jobs.JobState.COMPLETED
            )

        self._run_scenario(scenario)
        self.assertEqual(self.second.stops[0].run, 1)

    def test_registration_ends_the_silent_incarnation(self) -> None:
        """Guards against a wait for the lease; the call still hangs."""

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.first.running)
            self.first.max_poll_s = _TIMEOUT_S
            await anyio.sleep(0.05)
            self.first.successor = self.second
            self._register(_SECOND)
            await dispatcher_rig.wait_until(lambda: self.second.running)

        self._run_scenario(scenario)
        self.assertTrue(self._has_first_ended())

    def test_start_that_arrives_late_runs_nowhere(self) -> None:
        """Guards against a second run on the successor.

        The start was unanswered, and the successor carries it out after the
        task has started elsewhere.
        """
        self.first.lost_replies = 1

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.first.starts)
            self.local.register("i-2@1000", instance="m-2")
            self.first.successor = self.second
            await dispatcher_rig.wait_until(lambda: self.other.running)
            await self.second.start(self.first.starts[0])
            self.assertFalse(self.second.running)

        self._run_scenario(scenario)

    def test_no_start_is_sent_to_a_worker_that_restarted(self) -> None:
        """Guards against a start that follows its own stop."""
        self.first.lost_replies = 1_000
        unanswered = clients.OrderReply(clients.OrderOutcome.UNANSWERED)
        stop = unittest.mock.AsyncMock(return_value=unanswered)

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.first.starts)
            session = self.dispatcher.sessions[_FIRST]
            with unittest.mock.patch.object(self.second, "stop", stop):
                self.first.successor = self.second
                await dispatcher_rig.wait_until(lambda: session.was_restarted)
                await anyio.sleep(0.05)
                sent = len(self.second.starts)
                await dispatcher_rig.wait_until(lambda: stop.await_count > 4)
            self.assertEqual(len(self.second.starts), sent)
            self.assertFalse(session.is_responsive)

        self._run_scenario(scenario)

    def test_withdrawn_start_that_arrives_late_runs_nowhere(self) -> None:
        """Its run ended on the former incarnation, which refuses a repetition.

        The successor doesn't know of that end.
        """
        self.first.lost_replies = 1

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.first.running)
            self.first.end(self.key, ending=commands.Ending.STOPPED)
            await dispatcher_rig.wait_until(
                lambda: (self.key, 2) in self.first.running
            )
            self.first.successor = self.second
            await dispatcher_rig.wait_until(self._has_first_ended)

        self._run_scenario(scenario)
        self.assertEqual([stop.run for stop in self.second.stops], [1, 2])

    def test_start_before_a_planned_end_is_refused_by_the_successor(
        self,
    ) -> None:
        """After a move or maintenance no restart is seen in an answer."""
        self.first.lost_replies = 1

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.first.starts)
            lost = commands.MarkWorkersLost((_FIRST,), is_final=True)
            await self.dispatcher.commit(lost)
            self._register(_SECOND)
            await dispatcher_rig.wait_until(
                lambda: 1 in [stop.run for stop in self.second.stops]
            )

        self._run_scenario(scenario)

    def test_task_waits_until_the_successor_has_stopped_it(self) -> None:
        """A stop takes time; meanwhile the task must not start elsewhere.

        Neither does a report of the successor end the wait.
        """
        self.second.running[(self.key, 1)] = batch_builders.FakeRun()

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.first.running)
            # The stops are accepted, and the run goes on.
            with unittest.mock.patch.object(self.second, "end"):
                self.first.successor = self.second
                self._register(_SECOND)
                reports = self.second.acknowledgements
                await dispatcher_rig.wait_until(lambda: len(reports) > 4)
                await anyio.sleep(0.05)
                self.assertFalse(self._has_first_ended())
            await dispatcher_rig.wait_until(self._has_first_ended)

        self._run_scenario(scenario)
        self.assertNotIn((self.key, 1), self.second.running)

    def test_run_of_the_former_incarnation_is_stopped(self) -> None:
        """A late order may have started it before the successor's report."""
        self.second.running[(self.key, 1)] = batch_builders.FakeRun()
        self.first.has_ended = True

        async def scenario() -> None:
            await dispatcher_rig.wait_until(self._has_first_ended)
            self._register(_SECOND)
            await dispatcher_rig.wait_until(
                lambda: (self.key, 2) in self.second.running
            )

        self._run_scenario(scenario)
        self.assertIn(1, [stop.run for stop in self.second.stops])
        self.assertNotIn((self.key, 1), self.second.running)

    def test_unreachable_successor_is_waited_for_until_the_lease_ends(
        self,
    ) -> None:
        """It may carry out the start; without an answer only the lease ends."""
        timer = batch_builders.ManualTimer()

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.first.running)
            self.second.is_unresponsive = True
            self.first.successor = self.second
            self._register(_SECOND)
            self.dispatcher.notify_state_changed()
            session = self.dispatcher.sessions[_FIRST]
            await dispatcher_rig.wait_until(lambda: session.was_restarted)
            self.assertTrue(self.state.is_current(self.key, 1, _FIRST))
            timer.advance(60.0)
            await dispatcher_rig.wait_until(self._has_first_ended)

        self._run_scenario(scenario, timer)

    def test_next_leader_ends_the_superseded_worker(self) -> None:
        """The last one may have been lost between the two records."""
        self.local.start(self.key, worker_id=_FIRST)
        self._register(_SECOND)
        self.first.successor = self.second

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: (self.key, 2) in self.second.running
            )

        self._run_scenario(scenario)
        self.assertEqual(self.second.stops[0].run, 1)

    def test_renewal_after_a_failure_acknowledges_no_end(self) -> None:
        """Guards against ends that a successor forgets before they are read."""

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: self.first.running)
            self.first.end(self.key)
            await dispatcher_rig.wait_until(lambda: self.first.acknowledged)
            self.first.is_unresponsive = True
            await dispatcher_rig.wait_until(
                lambda: not self.first.acknowledgements[-1]
            )
            self.first.is_unresponsive = False
            await dispatcher_rig.wait_until(
                lambda: self.first.acknowledgements[-1]
            )

        self._run_scenario(scenario)

    def test_upgrade_stops_what_runs_before_it_starts_elsewhere(self) -> None:
        """An earlier build registered the worker, which still runs its task."""
        self.local.apply(commands.MarkWorkersLost((_FIRST,), is_final=True))
        old_id = "i-3"
        worker = batch_builders.FakeWorker(
            batch_builders.build_record(old_id, instance="m-3")
        )
        self.local.register(old_id, instance="m-3")
        self.first = worker

        async def scenario() -> None:
            await dispatcher_rig.wait_until(lambda: worker.running)
            self.local.register("i-3@3000", instance="m-3")
            await dispatcher_rig.wait_until(
                lambda: self.state.has_worker_ended(old_id)
            )
            self.assertFalse(worker.running)

        self._run_scenario(scenario)
        self.assertEqual([stop.run for stop in worker.stops], [1])


if __name__ == "__main__":
    unittest.main()
