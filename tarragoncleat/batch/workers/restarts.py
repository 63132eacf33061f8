"""Keeps the runs of an ended incarnation off the one that follows it.

A start may reach a worker seconds after it was sent. An incarnation that has
the name of the one before can't tell that the start wasn't meant for it, and
would run a task that runs elsewhere by then. After a stop it refuses the start.
"""

from collections.abc import Callable, Collection

import anyio

from tarragoncleat.batch.replicated import incarnations
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.workers import clients
from tarragoncleat.kernel import timer as timer_module

__all__ = ["LateStarts", "keep_off_successor"]

_RETRY_DELAY_S = 0.1
# Workers that may still come back under their names.
_MAX_WORKERS = 1_000

_Outcome = clients.OrderOutcome
_STOPPED = (_Outcome.ACCEPTED, _Outcome.SUPERSEDED, _Outcome.RESTARTED)


class LateStarts:
    """Unanswered starts of ended incarnations, by the worker's name.

    Where an incarnation ends otherwise than by a restart, its successor isn't
    there yet to refuse them.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self._runs: dict[str, set[tuple[model.TaskKey, int]]] = {}

    def keep(
        self, worker_id: str, runs: set[tuple[model.TaskKey, int]]
    ) -> None:
        """Keeps the unanswered starts of an incarnation that has ended."""
        name, started_ms = incarnations.split_worker_id(worker_id)
        if not started_ms or not runs:
            return
        self._runs.setdefault(name, set()).update(runs)
        if len(self._runs) > _MAX_WORKERS:
            del self._runs[next(iter(self._runs))]

    def pop(self, worker_id: str) -> set[tuple[model.TaskKey, int]]:
        """Removes and returns what the next incarnation must refuse."""
        name, started_ms = incarnations.split_worker_id(worker_id)
        return self._runs.pop(name, set()) if started_ms else set()


async def keep_off_successor(
    client: clients.WorkerClient,
    runs: Collection[tuple[model.TaskKey, int]],
    fence: int,
    has_lease_expired: Callable[[], bool],
    timer: timer_module.TimerService,
) -> None:
    """Returns when none of the runs is on the successor or can start there.

    Without an answer it waits for the lease, as with a silent worker. A leader
    that is fenced off waits for the end of its term.

    Args:
        client: Client of the incarnation that has ended; the successor answers.
        runs: Runs that may have been ordered.
        fence: Fencing token.
        has_lease_expired: Whether every lease of the runs has expired.
        timer: Clock.
    """
    while runs and not has_lease_expired():
        outcome = await _stop_all(client, runs, fence)
        if outcome in (_Outcome.ACCEPTED, _Outcome.GONE):
            return
        if outcome is _Outcome.FENCED:
            await anyio.sleep_forever()
        await timer.sleep_s(_RETRY_DELAY_S)


async def _stop_all(
    client: clients.WorkerClient,
    runs: Collection[tuple[model.TaskKey, int]],
    fence: int,
) -> _Outcome:
    """Stops runs; returns ACCEPTED if none of them is running any more."""
    for task, run in sorted(runs):
        reply = await client.stop(clients.StopOrder(task, run, fence))
        if reply.outcome not in _STOPPED:
            return reply.outcome
    report = await client.renew_lease(
        clients.RenewLeaseOrder(None, fence, 0, 0)
    )
    if isinstance(report, clients.OrderReply):
        return report.outcome
    running = {(row.task, row.run) for row in report.running}
    return _Outcome.UNANSWERED if running & set(runs) else _Outcome.ACCEPTED
