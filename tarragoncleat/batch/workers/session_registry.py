"""The leader's sessions with all workers, opened and closed as they change."""

from collections.abc import Callable
from typing import Protocol

import anyio.abc
import loguru

from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.workers import clients
from tarragoncleat.batch.workers import restarts
from tarragoncleat.batch.workers import worker_session
from tarragoncleat.kernel import timer as timer_module

__all__ = ["SessionOwner", "SessionRegistry", "WorkerClientFactory"]

_RESTART_DELAY_S = 1.0

WorkerClientFactory = Callable[[model.WorkerRecord], clients.WorkerClient]


class SessionOwner(
    worker_session.SessionListener, commands.Committer, Protocol
):
    """Listens to the sessions, and replicates commands."""


class SessionRegistry:
    """Keeps one session with each worker of the replicated state."""

    def __init__(
        self,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        bounds: bounds_module.Bounds,
        worker_client_factory: WorkerClientFactory,
        owner: SessionOwner,
        fence: int,
        on_failed: Callable[[], None],
    ) -> None:
        """Creates a registry without sessions; `sync` opens them.

        Args:
            state: The replicated state, read only.
            timer: Clock.
            bounds: Limits of the deployment.
            worker_client_factory: Creates the client of a worker.
            owner: Receives the events of the sessions.
            fence: Fencing token of the term.
            on_failed: Called when a session has failed and another one is to
                be opened.
        """
        self._state = state
        self._timer = timer
        self._bounds = bounds
        self._worker_client_factory = worker_client_factory
        self._owner = owner
        self._fence = fence
        self._on_failed = on_failed
        self._sessions: dict[str, worker_session.WorkerSession] = {}
        self._unusable_workers: set[str] = set()
        self._late_starts = restarts.LateStarts()

    @property
    def by_worker(self) -> worker_session.Sessions:
        """Sessions by worker."""
        return self._sessions

    def sync(self, tasks: anyio.abc.TaskGroup) -> None:
        """Opens sessions for new workers and closes those of ended workers."""
        workers = self._state.workers
        for worker_id in list(self._sessions):
            if worker_id not in workers:
                session = self._sessions.pop(worker_id)
                self._late_starts.keep(worker_id, session.unanswered_starts())
                session.close()
        for worker_id, worker in workers.items():
            if worker_id in self._unusable_workers:
                continue
            if worker_id not in self._sessions:
                self._open(worker.record, tasks)
        for worker_id in self._state.superseded_workers:
            if worker_id in self._sessions:
                self._sessions[worker_id].end_by_restart()

    def _open(
        self, record: model.WorkerRecord, tasks: anyio.abc.TaskGroup
    ) -> None:
        try:
            client = self._worker_client_factory(record)
        except ValueError as error:
            # Stored by a version that didn't check addresses.
            loguru.logger.error(
                "worker {} can't be called: {}", record.worker_id, error
            )
            self._unusable_workers.add(record.worker_id)
            tasks.start_soon(self._end_unusable_worker, record.worker_id)
            return
        session = worker_session.WorkerSession(
            record,
            self._state,
            client,
            self._owner,
            self._timer,
            self._bounds,
            self._fence,
        )
        for task, run in self._late_starts.pop(record.worker_id):
            session.refuse_start(task, run)
        self._sessions[record.worker_id] = session
        tasks.start_soon(self._run, session)

    async def _end_unusable_worker(self, worker_id: str) -> None:
        """Marks a worker that no task can have reached as lost."""
        await self._owner.commit(
            commands.MarkWorkersLost((worker_id,), is_final=True)
        )

    async def _run(self, session: worker_session.WorkerSession) -> None:
        """Runs a session, and opens another one if it fails.

        An unforeseen error that concerns one worker must not end the process:
        it would end the next leader's as well.
        """
        worker_id = session.record.worker_id
        try:
            await session.run()
        except Exception:  # noqa: BLE001
            loguru.logger.exception("the session of {} failed", worker_id)
            await self._timer.sleep_s(_RESTART_DELAY_S)
            if self._sessions.get(worker_id) is session:
                del self._sessions[worker_id]
            self._on_failed()
