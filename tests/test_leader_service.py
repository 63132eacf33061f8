"""Tests of the leader's answers while its leadership may have ended."""

from typing import Any
import unittest

import anyio

from tarragoncleat.batch import commands
from tarragoncleat.batch import leader_service
from tarragoncleat.batch import messages
from tarragoncleat.kernel import errors
from tests import batch_builders

_PATH = f"{batch_builders.QUEUE.path_prefix}job-1"


class DeposedLeaderTest(unittest.TestCase):
    """Guards against answers from the old state of a deposed leader."""

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


if __name__ == "__main__":
    unittest.main()
