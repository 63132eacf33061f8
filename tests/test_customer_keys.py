"""Tests of who may call, on a leader over a log without a network."""

import dataclasses
import hashlib
from typing import Any
import unittest

import anyio
import hypothesis
from hypothesis import strategies

from tarragoncleat.batch.leader import leader_service
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import customers
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tests import batch_builders

_UNAUTHORIZED = errors.ErrorKind.UNAUTHORIZED
_UNDECIDED = errors.ErrorKind.UNDECIDED
_HOST, _PREFIX = batch_builders.QUEUE
# Digests of the bytes that the build before customers encoded.
_EARLIER_BYTES = {
    "put": "6391aae7b515a006",
    "request": "2e6c565fb091b77f",
    "submit": "df3527daea310a31",
    "read": "f2fa0ca6bd53a0e4",
    "cancel": "002167b96fff3397",
    "command": "2629ea7efe676216",
    "snapshot": "d72d97f200ba0096",
}


def _configuration(
    version: int, keys: dict[str, str], **queue_fields: Any
) -> model.FleetConfiguration:
    """Returns a configuration; `keys` are the keys of each customer."""
    owned = [
        batch_builders.build_customer(name, *text.split())
        for name, text in keys.items()
    ]
    return batch_builders.build_customer_configuration(
        version, *owned, **queue_fields
    )


def _kind(answer: Any) -> errors.ErrorKind | None:
    return answer.kind if isinstance(answer, errors.Failure) else None


class _CustomerTest(unittest.TestCase):
    """Sends requests with keys; a has key k1, and b has key k2."""

    def setUp(self) -> None:
        self._start_without_customers()
        self._configure(2, a="k1", b="k2")

    def _start_without_customers(self) -> None:
        self.local = batch_builders.LocalState()
        self.log = batch_builders.FakeLog(self.local.state)
        self.service = self._create_service()

    def _create_service(self) -> leader_service.LeaderService:
        return leader_service.LeaderService(
            self.log,  # type: ignore[arg-type]
            self.log.state,
            batch_builders.ManualTimer(),
            lambda: None,
        )

    def _configure(self, version: int, **keys: str) -> Any:
        return self._put(_configuration(version, keys))

    def _put(self, configuration: model.FleetConfiguration) -> Any:
        return self._handle(messages.PutRequest(configuration))

    def _configure_next(self, version: int, **keys: str) -> None:
        """Puts a configuration in the log ahead of the next proposal."""
        command = commands.PutConfiguration(_configuration(version, keys))
        self.log.ahead.append(command)

    def _handle(self, request: object) -> Any:
        return anyio.run(self.service.handle, request)

    def _submit(self, key: str = "", job_id: str = "job-1") -> Any:
        return self._handle(
            messages.SubmitRequest(
                _HOST,
                f"{_PREFIX}{job_id}",
                batch_builders.build_job(),
                _digest(key),
            )
        )

    def _read(self, key: str = "", job_id: str = "job-1") -> Any:
        path = f"{_PREFIX}{job_id}"
        return self._handle(messages.ReadRequest(_HOST, path, _digest(key)))

    def _cancel(self, key: str = "", job_id: str = "job-1") -> Any:
        path = f"{_PREFIX}{job_id}"
        return self._handle(messages.CancelRequest(_HOST, path, _digest(key)))

    def _assert_all_refused(self, key: str) -> None:
        for answer in (
            self._submit(key, "job-9"),
            self._read(key, "job-9"),
            self._read(key, ""),
            self._cancel(key, "job-9"),
        ):
            self.assertEqual(_kind(answer), _UNAUTHORIZED, answer)
        self.assertIsNone(self.log.state.job("job-9"))


def _digest(key: str) -> model.KeyDigest:
    return customers.digest_key(key.encode()) if key else customers.NO_KEY


class AuthenticationTest(_CustomerTest):
    """Guards against requests that run without a good key."""

    def test_only_known_keys_are_served(self) -> None:
        """Guards against jobs, states and lengths without a key."""
        self._assert_all_refused("")
        self._assert_all_refused("k3")
        self.assertIsInstance(self._submit("k1"), messages.Done)
        self.assertIsInstance(self._submit("k1"), messages.Done)
        self.assertEqual(self._read("k1").state, jobs.JobState.QUEUED)
        self.assertEqual(self._read("k2", "").waiting, 1)
        self.assertIsInstance(self._cancel("k1"), messages.Done)

    def test_missing_queue_comes_before_the_key(self) -> None:
        """Guards against a 401 where the operator removed the queue."""
        self._put(_configuration(3, {"a": "k1"}, path_prefix="/other/"))
        self.assertEqual(_kind(self._submit()), errors.ErrorKind.NOT_FOUND)

    def test_list_without_customers_refuses_all(self) -> None:
        """Guards against an empty list that counts as none."""
        self._configure(3)
        self._assert_all_refused("k1")

    def test_anonymous_callers_use_only_queues_that_allow_them(self) -> None:
        """Guards against a key that is needed where none should be.

        And against a withdrawn key that still runs something on such a queue.
        """
        open_queue = _configuration(3, {"a": "k1"}, allows_anonymous=True)
        self._put(open_queue)
        self.assertIsInstance(self._submit(), messages.Done)
        self._assert_all_refused("k3")
        self.assertEqual(self._read("k1").state, jobs.JobState.QUEUED)

    def test_anonymous_queue_shows_no_job_of_another_queue(self) -> None:
        """Guards against a customer's job that is read without a key.

        The id alone led to it from every queue that allows anonymous callers.
        """
        self._submit("k1")
        closed = _configuration(3, {"a": "k1"})
        open_queue = dataclasses.replace(
            closed.queues[0],
            host="open.example",
            allows_anonymous=True,
        )
        self._put(
            dataclasses.replace(closed, queues=(*closed.queues, open_queue))
        )
        path = f"{batch_builders.QUEUE.path_prefix}job-1"
        reply = self._handle(messages.ReadRequest("open.example", path))
        self.assertIsNone(reply.state)
        self.assertEqual(self._read("k1").state, jobs.JobState.QUEUED)

    def test_job_larger_than_its_cap_is_refused_at_once(self) -> None:
        """Guards against an accepted job that can never start.

        The refusal is decided by the cap in force when the job is stored.
        """
        policy = batch_builders.build_customer("a", "k1")
        small = dataclasses.replace(policy, cap=model.Resources(500, 0, 0))
        lowered = batch_builders.build_customer_configuration(3, small)
        self.log.ahead.append(commands.PutConfiguration(lowered))
        refused = self._submit("k1")
        self.assertEqual(_kind(refused), errors.ErrorKind.QUOTA)
        self.assertIsNone(self.log.state.job("job-1"))
        raised = batch_builders.build_customer_configuration(4, policy)
        self._put(raised)
        self.assertIsInstance(self._submit("k1"), messages.Done)

    def test_jobs_of_others_are_unknown(self) -> None:
        """Guards against customers that read or cancel each other's jobs."""
        self._submit("k1")
        self.assertIsNone(self._read("k2").state)
        self.assertIsNone(self._cancel("k2").state)
        taken = self._submit("k2")
        self.assertEqual(_kind(taken), errors.ErrorKind.CONFLICT)
        self.assertEqual(self._read("k1").state, jobs.JobState.QUEUED)

    def test_taken_id_is_refused_behind_the_other_submission(self) -> None:
        """Guards against a success for a job of another customer."""
        self.log.ahead.append(
            commands.SubmitCustomerJob(
                "job-1",
                batch_builders.QUEUE,
                batch_builders.build_job(),
                _digest("k1"),
            )
        )
        self.assertEqual(_kind(self._submit("k2")), errors.ErrorKind.CONFLICT)

    def test_jobs_stay_with_their_customer(self) -> None:
        """Guards against jobs that are unknown after a rotation of keys."""
        self._submit("k1")
        self._configure(3, a="k4", b="k2")
        self.assertEqual(self._read("k4").state, jobs.JobState.QUEUED)
        self._configure(4, a="k4", b="k1")
        self.assertEqual(self._read("k1").state, jobs.JobState.QUEUED)

    def test_jobs_from_before_customers_are_not_lost(self) -> None:
        """Guards against jobs that are unknown after keys are introduced."""
        self._start_without_customers()
        self._submit()
        self._configure(2, a="k1")
        self.assertEqual(self._read("k1").state, jobs.JobState.QUEUED)
        self.assertEqual(_kind(self._read()), _UNAUTHORIZED)


class WithdrawnKeyTest(_CustomerTest):
    """Guards against a withdrawn key that runs a request."""

    def test_commit_behind_the_withdrawal_is_refused(self) -> None:
        """Guards against a decision by the state before the commit."""
        self._configure_next(3, b="k2")
        self._assert_all_refused("k1")

    def test_cancellation_behind_the_withdrawal_is_refused(self) -> None:
        """Guards against a job that a withdrawn key cancels."""
        self._submit("k1")
        self._configure_next(3, b="k2")
        self.assertEqual(_kind(self._cancel("k1")), _UNAUTHORIZED)
        job = self.local.state.job("job-1")
        assert job is not None
        self.assertFalse(job.has_ended)

    def test_cancellation_is_repeated_when_its_key_is_back(self) -> None:
        """Guards against "no such job" for a job that goes on.

        Its key, or its queue, is removed ahead of the command and added again
        behind it.
        """
        again = commands.PutConfiguration(_configuration(4, {"a": "k1"}))
        for removed in (
            _configuration(3, {"b": "k2"}),
            _configuration(3, {"a": "k1"}, path_prefix="/other/"),
        ):
            self.setUp()
            self._submit("k1")
            self.log.ahead.append(commands.PutConfiguration(removed))
            self.log.on_commit.append(lambda: self.local.apply(again))
            self.assertIsInstance(self._cancel("k1"), messages.Done)

    def test_stalled_commit_is_decided_when_it_is_applied(self) -> None:
        """Guards against a proposal from before the withdrawal.

        Its commit is stalled while the withdrawal is applied.
        """

        async def scenario() -> None:
            self.log.stall = anyio.Event()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(submit)
                await anyio.sleep(0.01)
                self._configure_next(3, b="k2")
                self.log.stall.set()

        async def submit() -> None:
            request = messages.SubmitRequest(
                _HOST,
                f"{_PREFIX}job-1",
                batch_builders.build_job(),
                _digest("k1"),
            )
            answers.append(await self.service.handle(request))

        answers: list[Any] = []
        anyio.run(scenario)
        self.assertEqual(_kind(answers[0]), _UNAUTHORIZED)
        self.assertIsNone(self.local.state.job("job-1"))

    def test_new_key_behind_its_configuration_is_served(self) -> None:
        """Guards against a refusal by a state that lacks the new key.

        The configuration is in the log, and this leader hasn't applied it.
        """
        self.log.ahead.append(
            commands.PutConfiguration(_configuration(3, {"a": "k1 k5"}))
        )
        read = self.log.read

        async def read_after_records_ahead(evaluate: Any) -> Any:
            while self.log.ahead:
                self.local.apply(self.log.ahead.pop(0))
            return await read(evaluate)

        self.log.read = read_after_records_ahead  # type: ignore[method-assign]
        self.assertIsInstance(self._submit("k5"), messages.Done)

    def test_first_customers_ahead_of_a_submission(self) -> None:
        """Guards against a command without a key where keys are needed."""
        self._start_without_customers()
        self._configure_next(2, a="k1")
        self.assertIsInstance(self._submit("k1"), messages.Done)
        job = self.local.state.job("job-1")
        assert job is not None
        self.assertEqual(job.caller.customer, "a")

    def test_repeat_of_a_stored_job_is_not_refused(self) -> None:
        """Guards against a refusal, which says that the job never runs."""
        self._submit("k1")
        self._configure(3, b="k2")
        self.assertEqual(_kind(self._submit("k1")), _UNDECIDED)
        self.assertEqual(_kind(self._submit("k3")), _UNAUTHORIZED)
        self.assertEqual(_kind(self._submit()), _UNAUTHORIZED)
        self.assertEqual(_kind(self._read("k1")), _UNAUTHORIZED)

    def test_deposed_leader_neither_serves_nor_refuses(self) -> None:
        """Guards against answers of an old version.

        A leader was cut off or frozen, and its successor has withdrawn a key
        and added one.
        """
        self._submit("k1")
        self.log.is_rejecting = True
        for key in ("k1", "k5"):
            for answer in (
                self._submit(key),
                self._submit(key, "job-2"),
                self._read(key),
                self._read(key, ""),
                self._cancel(key),
            ):
                self.assertEqual(_kind(answer), errors.ErrorKind.NO_LEADER)

    def test_lost_confirmation_is_given_again_and_restores_no_key(self) -> None:
        """Guards against an older order that arrives once more."""
        self._configure(3, b="k2")
        for version, keys in ((3, {"b": "k2"}), (2, {"a": "k1", "b": "k2"})):
            answer = self._configure(version, **keys)
            self.assertIsInstance(answer, messages.Done)
        self._assert_all_refused("k1")

    def test_two_operators_are_not_merged(self) -> None:
        """Guards against a key that the version in force doesn't list."""
        self._configure_next(4, a="k1")
        answer = self._configure(3, a="k1 k4")
        self.assertIsInstance(answer, messages.Done)
        self._assert_all_refused("k4")

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(["k1", "k2", "k1 k2", ""]), max_size=4
        )
    )
    def test_stored_jobs_have_a_key_of_the_version_in_force(
        self, key_lists: list[str]
    ) -> None:
        """Guards against any order of configurations ahead of a submission."""
        self.setUp()
        for version, keys in enumerate(key_lists, 3):
            self._configure_next(version, a=keys)
        answer = self._submit("k1")
        is_known = "k1" in key_lists[-1] if key_lists else True
        self.assertEqual(isinstance(answer, messages.Done), is_known)
        stored = self.local.state.job("job-1")
        self.assertEqual(stored is not None, is_known)


class StoredCustomersTest(_CustomerTest):
    """Guards against keys and callers that a restart changes."""

    def test_restart_from_a_snapshot_keeps_keys_and_callers(self) -> None:
        """Guards against a withdrawn key that a restarted node takes."""
        self._submit("k1")
        self._configure(3, a="k4", b="k2")
        restored = state_module.BatchState()
        restored.restore(1, self.local.state.snapshot())
        self.assertEqual(restored.snapshot(), self.local.state.snapshot())
        self.log = batch_builders.FakeLog(restored)
        self.service = self._create_service()
        self._assert_all_refused("k1")
        self.assertEqual(_kind(self._submit("k1")), _UNDECIDED)
        self.assertIsNone(self._read("k2").state)
        self.assertEqual(self._read("k4").state, jobs.JobState.QUEUED)

    def test_replica_with_an_older_state_catches_up(self) -> None:
        """Guards against a replica that keeps the keys of a restored disk."""
        older = state_module.BatchState()
        older.restore(1, self.local.state.snapshot())
        self._configure(3, b="k2")
        self._submit("k1")
        replica = batch_builders.FakeLog(older)
        # The log from the snapshot on; its first record is the configuration
        # in the snapshot.
        for index, command in enumerate(self.log.committed[1:], 1):
            older.apply(index, 1_000_000, codec.encode(command))
        self.log = replica
        self.service = self._create_service()
        self._assert_all_refused("k1")

    def test_bytes_without_customers_are_those_of_earlier_builds(self) -> None:
        """Guards against a log that an earlier build can't read."""
        configuration = batch_builders.build_configuration(
            3, advice=model.Advice(1, 2, 3)
        )
        definition = batch_builders.build_job()
        local = batch_builders.LocalState()
        local.submit()
        local.register("w-1")
        local.start(batch_builders.task_key())
        command = commands.SubmitJob("1", batch_builders.QUEUE, definition)
        encoded = {
            "put": codec.encode(commands.PutConfiguration(configuration)),
            "request": codec.encode(messages.PutRequest(configuration)),
            "submit": codec.encode(
                messages.SubmitRequest("h", "/p/1", definition)
            ),
            "read": codec.encode(messages.ReadRequest("h", "/p/1")),
            "cancel": codec.encode(messages.CancelRequest("h", "/p/1")),
            "command": codec.encode(command),
            "snapshot": local.state.snapshot(),
        }
        for name, data in encoded.items():
            digest = hashlib.sha256(data).hexdigest()
            self.assertEqual(digest[:16], _EARLIER_BYTES[name], name)
            if name != "snapshot":
                self.assertNotIsInstance(codec.decode(data), errors.Failure)

    def test_commands_without_customers_are_the_earlier_ones(self) -> None:
        """Guards against records that an earlier build can't apply."""
        self._start_without_customers()
        self._submit("k1")
        self._cancel("k1")
        kinds = [type(command) for command in self.log.committed]
        self.assertEqual(kinds, [commands.SubmitJob, commands.CancelJob])


if __name__ == "__main__":
    unittest.main()
