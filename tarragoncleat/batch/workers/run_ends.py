"""Stores the ends of runs that the sessions with workers report."""

from collections.abc import Callable

import anyio

from tarragoncleat.batch import events
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.workers import worker_health
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module

__all__ = ["RunEndCommitter"]


class RunEndCommitter:
    """Commits the ends of all sessions in batches.

    While a commit is on its way the ends that arrive are collected, so that
    the log gets one record for many of them.
    """

    def __init__(
        self,
        committer: commands.Committer,
        health: worker_health.WorkerHealth,
        timer: timer_module.TimerService,
        on_stored: Callable[[], None],
    ) -> None:
        """Creates the committer of one leader's term.

        Args:
            committer: Replicates commands.
            health: Learns from each end how its worker does.
            timer: Clock.
            on_stored: Called after each commit, also after a failed one.
        """
        self._committer = committer
        self._health = health
        self._timer = timer
        self._on_stored = on_stored
        self._pending: list[commands.RunEnd] = []
        self._available = anyio.Event()
        self._stored = anyio.Event()
        self._was_committed = True

    async def store(self, ends: list[commands.RunEnd]) -> bool:
        """Commits ends with those of others.

        Returns:
            Whether they are stored.
        """
        self._pending.extend(ends)
        _log_unsuccessful(ends)
        for end in ends:
            self._health.record_end(end, self._timer.monotonic_s())
        stored = self._stored
        self._available.set()
        await stored.wait()
        return self._was_committed

    async def run(self) -> None:
        """Commits what is pending, batch after batch, until cancelled."""
        while True:
            await self._available.wait()
            self._available = anyio.Event()
            ends, self._pending = self._pending, []
            stored, self._stored = self._stored, anyio.Event()
            result = await self._committer.commit(commands.EndRuns(tuple(ends)))
            self._was_committed = isinstance(
                result, applier_module.AppliedProposal
            )
            stored.set()
            self._on_stored()


def _log_unsuccessful(ends: list[commands.RunEnd]) -> None:
    rows = tuple(
        (str(end.task), end.run, end.worker_id, end.ending.value)
        for end in ends
        if end.ending is not commands.Ending.DONE
    )
    if rows:
        event_log.emit(events.RunsEnded(rows))
