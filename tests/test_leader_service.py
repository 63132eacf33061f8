"""Tests of the leader's answers while its leadership may have ended."""

import dataclasses
from typing import Any
import unittest

import anyio
import hypothesis
from hypothesis import strategies
import msgpack

from tarragoncleat.batch import events
from tarragoncleat.batch.leader import leader_service
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import model
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tests import batch_builders

_PATH = f"{batch_builders.QUEUE.path_prefix}job-1"


class _LeaderServiceTest(unittest.TestCase):
    """Sends requests to a leader over a log without a network."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.log = batch_builders.FakeLog(self.local.state)
        self.service = leader_service.LeaderService(
            self.log,  # type: ignore[arg-type]
            self.local.state,
            batch_builders.ManualTimer(),
            lambda: None,
        )

    def _handle(self, request: object) -> Any:
        return anyio.run(self.service.handle, request)

    def _submit(self) -> Any:
        definition = batch_builders.build_job()
        return self._handle(
            messages.SubmitRequest(batch_builders.QUEUE.host, _PATH, definition)
        )


class DeposedLeaderTest(_LeaderServiceTest):
    """Guards against answers from the old state of a deposed leader."""

    def _depose(self) -> None:
        self.log.is_rejecting = True

    def test_known_job_is_not_acknowledged_by_a_deposed_leader(self) -> None:
        """Guards against a success on a route that was removed meanwhile.

        A leader that was frozen still has the route and the job, while its
        successor has confirmed a configuration without the route.
        """
        self.assertIsInstance(self._submit(), messages.Done)
        self._depose()
        self.assertEqual(self._submit().kind, errors.ErrorKind.NO_LEADER)

    def test_leaving_is_not_acknowledged_by_a_deposed_leader(self) -> None:
        """Guards against a worker that left while the successor waits for it.

        The worker registered with the successor, so the old state lacks it.
        """
        leaving = messages.WorkerLeft("w-1")
        self._depose()
        self.assertEqual(self._handle(leaving).kind, errors.ErrorKind.NO_LEADER)

    def test_worker_that_leaves_has_not_crashed(self) -> None:
        """Its notice may have been lost, and its tasks are not at fault."""
        self._submit()
        self.local.register("w-1")
        self.local.start(batch_builders.task_key())
        self.assertIsInstance(
            self._handle(messages.WorkerLeft("w-1")), messages.Done
        )
        self.assertEqual(self.local.state.workers, {})
        self.assertEqual(self.local.state.pop_crashes(), [])

    def test_known_job_is_acknowledged_again_without_a_second_one(self) -> None:
        """Guards against a repeated submission that is stored twice."""
        self.assertIsInstance(self._submit(), messages.Done)
        self.assertIsInstance(self._submit(), messages.Done)
        stored = [
            command
            for command in self.log.committed
            if isinstance(command, commands.SubmitJob)
        ]
        self.assertEqual(len(stored), 1)


class SameIdTest(_LeaderServiceTest):
    """Guards against jobs of two queues that are taken for one another.

    A job belongs to the queue at whose path it was submitted, but its id must
    be unique among all queues: workers know tasks by it.
    """

    def setUp(self) -> None:
        super().setUp()
        first = batch_builders.build_configuration(2)
        second = batch_builders.build_configuration(
            2, name="alerts", path_prefix="/alerts/"
        )
        self._handle(
            messages.PutRequest(
                dataclasses.replace(first, queues=first.queues + second.queues)
            )
        )
        self._submit()

    def _other(self, request_type: type, *fields: object) -> Any:
        host, path = batch_builders.QUEUE.host, "/alerts/job-1"
        return self._handle(request_type(host, path, *fields))

    def test_submission_with_the_id_of_another_queues_job_is_refused(
        self,
    ) -> None:
        """Guards against a success for a job that was never stored."""
        definition = batch_builders.build_job()
        reply = self._other(messages.SubmitRequest, definition)
        self.assertEqual(reply.kind, errors.ErrorKind.CONFLICT)

    def test_record_of_such_a_submission_is_refused(self) -> None:
        """Guards against two submissions at once, of which one is decided."""
        other = model.QueueKey(batch_builders.QUEUE.host, "/alerts/")
        command = commands.SubmitJob("job-1", other, batch_builders.build_job())
        result = self.local.state.apply(9, 1_000_000, codec.encode(command))
        self.assertEqual(
            msgpack.unpackb(result), commands.JobDecision.ID_TAKEN.value
        )

    def test_path_of_another_queue_does_not_lead_to_the_job(self) -> None:
        """Guards against a state or a cancellation of somebody else's job."""
        self.assertEqual(
            self._other(messages.ReadRequest), messages.JobReply(None)
        )
        self.assertEqual(
            self._other(messages.CancelRequest), messages.JobReply(None)
        )
        job = self.local.state.job("job-1")
        assert job is not None
        self.assertFalse(job.has_ended)


class RecordAheadTest(_LeaderServiceTest):
    """Guards against decisions that a record ahead in the log has overtaken.

    The leader decides by its state, and a configuration that it doesn't have
    yet is committed before its proposal.
    """

    def _configure_next(self, version: int, path_prefix: str) -> None:
        self.log.ahead.append(
            commands.PutConfiguration(
                batch_builders.build_configuration(
                    version, path_prefix=path_prefix
                )
            )
        )

    def _cancel(self) -> Any:
        return self._handle(
            messages.CancelRequest(batch_builders.QUEUE.host, _PATH)
        )

    def test_job_is_not_stored_in_a_queue_that_was_removed(self) -> None:
        """Guards against a job that is accepted on a route just dropped."""
        self._configure_next(2, "/other/")
        self.assertEqual(self._submit().kind, errors.ErrorKind.NOT_FOUND)
        self.assertIsNone(self.local.state.job("job-1"))

    def test_job_is_stored_in_the_queue_that_replaced_its_own(self) -> None:
        """Guards against a refusal although the path has a queue."""
        self._configure_next(2, "/bi")
        self.assertIsInstance(self._submit(), messages.Done)
        job = self.local.state.job("ds/job-1")
        assert job is not None
        self.assertEqual(job.queue.path_prefix, "/bi")

    def test_job_is_not_cancelled_in_a_queue_that_was_removed(self) -> None:
        """Guards against a cancellation that succeeds on a dropped route."""
        self._submit()
        self._configure_next(2, "/other/")
        self.assertEqual(self._cancel().kind, errors.ErrorKind.NOT_FOUND)
        job = self.local.state.job("job-1")
        assert job is not None
        self.assertFalse(job.has_ended)

    def test_unknown_job_of_a_removed_queue_has_no_queue(self) -> None:
        """Guards against "no such job" as the answer on a dropped route."""
        self._configure_next(2, "/other/")
        self.assertEqual(self._cancel().kind, errors.ErrorKind.NOT_FOUND)

    def test_stored_job_of_a_removed_queue_is_not_refused(self) -> None:
        """Guards against a refusal of a job that runs.

        An entry repeats a submission whose answer it didn't get.
        """
        self._submit()
        self._handle(
            messages.PutRequest(
                batch_builders.build_configuration(2, path_prefix="/other/")
            )
        )
        self.assertEqual(self._submit().kind, errors.ErrorKind.UNDECIDED)

    def test_overtaken_configuration_is_not_logged_as_in_force(self) -> None:
        """Guards against a log that names a version which never applied.

        A higher version is ahead of it in the log.
        """
        logged: list[Any] = []
        event_log.subscribe(logged.append)
        self._configure_next(3, "/bids/")
        change = batch_builders.build_configuration(2)
        answer = self._handle(messages.PutRequest(change))
        self.assertIsInstance(answer, messages.Done)
        in_force = [
            event
            for event in logged
            if isinstance(event, events.ConfigurationInForce)
        ]
        self.assertEqual(in_force, [])

    def _register(self, worker_id: str) -> None:
        record = batch_builders.build_record(worker_id)
        self._handle(messages.Heartbeat(record, False, sequence=1))

    def test_worker_that_left_behind_its_registration_is_removed(self) -> None:
        """Guards against starts on a worker whose leaving was acknowledged."""
        record = batch_builders.build_record("w-1")
        self.log.ahead.append(commands.RegisterWorker(record))
        self._handle(messages.WorkerLeft("w-1"))
        self._submit()
        self.assertNotIn("w-1", self.local.state.workers)

    def test_worker_that_left_is_not_registered_by_a_late_heartbeat(
        self,
    ) -> None:
        """Guards against an ended worker that the leader had not known."""
        self._handle(messages.WorkerLeft("w-1"))
        self._register("w-1")
        self.assertNotIn("w-1", self.local.state.workers)

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(["/bids/", "/bi", "/other/"]), max_size=4
        )
    )
    def test_a_stored_job_is_in_a_queue_of_its_configuration(
        self, prefixes: list[str]
    ) -> None:
        """Guards against any order of configurations ahead of a submission."""
        self.setUp()
        for version, prefix in enumerate(prefixes, 2):
            self._configure_next(version, prefix)
        answer = self._submit()
        queue = self.local.state.route(batch_builders.QUEUE.host, _PATH)
        jobs = list(self.local.state.active_jobs.values())
        self.assertEqual(
            [job.queue for job in jobs], [queue.key] if queue else []
        )
        self.assertEqual(isinstance(answer, messages.Done), bool(jobs))


if __name__ == "__main__":
    unittest.main()
