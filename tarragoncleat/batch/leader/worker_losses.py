"""Finds workers on which nothing can run any more, and records their loss."""

import collections
from collections.abc import Callable

from tarragoncleat.batch import events
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.replicated import worker_state
from tarragoncleat.batch.workers import worker_health
from tarragoncleat.batch.workers import worker_session
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module

__all__ = ["WorkerLosses"]

_MS_PER_S = 1000


class WorkerLosses:
    """Records the loss of workers during one leader's term.

    A record queues the tasks of its workers again when it is applied, which may
    be long after its proposal. No lease is granted to the workers meanwhile, so
    that nothing runs on them then either.
    """

    def __init__(
        self,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        health: worker_health.WorkerHealth,
        committer: commands.Committer,
        start_soon: Callable[..., None],
    ) -> None:
        """Creates an object without pending losses.

        Args:
            state: The replicated state, read only.
            timer: Clock.
            health: Learns which instances have crashed.
            committer: Replicates commands.
            start_soon: Starts a task that ends with the term.
        """
        self._state = state
        self._timer = timer
        self._health = health
        self._committer = committer
        self._start_soon = start_soon
        self._pending: collections.Counter[str] = collections.Counter()

    def is_pending(self, worker_id: str) -> bool:
        """Whether a worker's loss may still be committed."""
        return self._pending[worker_id] > 0

    def release_expired_leases(self, sessions: worker_session.Sessions) -> None:
        """Queues the tasks of silent workers again once their leases expired.

        Args:
            sessions: Sessions by worker.
        """
        expired = [
            session
            for worker_id, session in sessions.items()
            if session.has_lease_expired
            and not session.is_responsive
            and self._may_hold_tasks(worker_id)
            and not self.is_pending(worker_id)
        ]
        if not expired:
            return
        for session in expired:
            self._log(session, "lapsed")
        worker_ids = tuple(session.record.worker_id for session in expired)
        self._propose(
            worker_ids, commands.MarkWorkersLost(worker_ids, is_final=False)
        )

    def end_earlier_incarnations(
        self,
        session: worker_session.WorkerSession,
        sessions: worker_session.Sessions,
    ) -> None:
        """Ends the other workers on an instance that can't run any more.

        Args:
            session: A worker that has just reported.
            sessions: Sessions by worker.
        """
        for worker in self._state.workers_on(session.record.instance):
            worker_id = worker.record.worker_id
            other = sessions.get(worker_id)
            if other is None or other is session or self.is_pending(worker_id):
                continue
            has_lease_expired = (
                worker.state is worker_state.WorkerState.LEASE_EXPIRED
                or (other.has_lease_expired and not other.is_responsive)
            )
            is_superseded = worker_id in self._state.superseded_workers
            if is_superseded and not has_lease_expired:
                # It ends once its runs can't start on its successor.
                other.end_by_restart()
                continue
            if has_lease_expired or session.supersedes(other):
                self._log(other, "followed")
                self._propose((worker_id,), other.end_command())

    def end(self, session: worker_session.WorkerSession) -> None:
        """Ends a worker whose incarnation is known to have ended."""
        self._log(session, "restarted" if session.was_restarted else "gone")
        self._propose((session.record.worker_id,), session.end_command())

    def _may_hold_tasks(self, worker_id: str) -> bool:
        worker = self._state.workers.get(worker_id)
        if worker is None:
            return False
        is_up = worker.state is worker_state.WorkerState.UP
        return is_up or bool(worker.tasks)

    def _propose(
        self, worker_ids: tuple[str, ...], command: commands.Command
    ) -> None:
        # Before anything else can run: a lease that is granted from now on
        # might outlast the commit.
        self._pending.update(worker_ids)
        self._start_soon(self._store, worker_ids, command)

    async def _store(
        self, worker_ids: tuple[str, ...], command: commands.Command
    ) -> None:
        started_s = self._timer.monotonic_s()
        try:
            result = await self._committer.commit_decision(command)
        finally:
            self._pending -= collections.Counter(worker_ids)
        took_ms = (self._timer.monotonic_s() - started_s) * _MS_PER_S
        refused = result.reason if isinstance(result, errors.Failure) else None
        event_log.emit(
            events.WorkerLossesStored(worker_ids, round(took_ms, 1), refused)
        )

    def _log(self, session: worker_session.WorkerSession, change: str) -> None:
        """Logs a loss with the runs that it ends."""
        record = session.record
        if change != "lapsed":
            self._health.record_crash(
                record.instance, self._timer.monotonic_s()
            )
        worker = self._state.workers.get(record.worker_id)
        tasks = () if worker is None else self._state.tasks_on(worker)
        runs = sorted((str(task.key), task.run) for task in tasks)
        event_log.emit(
            events.WorkerChanged(
                record.worker_id,
                record.service,
                change,
                len(worker.tasks) if worker else 0,
            )
        )
        if runs:
            event_log.emit(
                events.RunsLost(record.worker_id, change, tuple(runs))
            )
