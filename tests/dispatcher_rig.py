"""Base of tests that run a dispatcher against fake workers."""

from collections.abc import Awaitable, Callable
import unittest

import anyio

from tarragoncleat.batch.leader import dispatcher as dispatcher_module
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.kernel import timer as timer_module
from tests import batch_builders

__all__ = ["DispatcherTestCase", "run_beside", "wait_until"]

_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.005


async def wait_until(condition: Callable[[], object]) -> None:
    """Returns once a condition holds."""
    while not condition():
        await anyio.sleep(_POLL_INTERVAL_S)


def run_beside(
    dispatcher: dispatcher_module.Dispatcher,
    scenario: Callable[[], Awaitable[None]],
) -> None:
    """Runs a scenario beside a dispatcher, and ends both after it."""

    async def main() -> None:
        with anyio.fail_after(_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(dispatcher.run)
                await scenario()
                tasks.cancel_scope.cancel()

    anyio.run(main)


class DispatcherTestCase(unittest.TestCase):
    """Runs scenarios during a leader's term; one worker is registered."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.local.register("w-1")
        self.worker = batch_builders.FakeWorker(batch_builders.build_record())
        self.key = batch_builders.task_key()
        self.other_workers: list[batch_builders.FakeWorker] = []
        self.instances = batch_builders.FakeInstanceClient()
        self.dispatcher: dispatcher_module.Dispatcher

    def run_scenario(
        self,
        scenario: Callable[[], Awaitable[None]],
        timer: timer_module.TimerService | None = None,
        term: int = 1,
    ) -> None:
        """Runs a scenario beside the dispatcher of a term."""
        self.dispatcher, self.log = batch_builders.build_dispatcher(
            self.local,
            [self.worker, *self.other_workers],
            timer or timer_module.TimerService(),
            self.instances,
            term,
        )
        run_beside(self.dispatcher, scenario)

    def add_worker(self, worker_id: str) -> batch_builders.FakeWorker:
        """Registers a further worker."""
        self.local.register(worker_id)
        worker = batch_builders.FakeWorker(
            batch_builders.build_record(worker_id)
        )
        self.other_workers.append(worker)
        return worker

    def job_state(self, job_id: str = "job-1") -> jobs.JobState:
        """Returns the state of a job."""
        return self.local.state.job(job_id).state
