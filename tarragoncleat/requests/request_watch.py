"""Ends requests at their deadline or when their caller has gone away."""

import anyio
import anyio.abc

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.requests import visits

__all__ = ["RequestWatch"]

# Most requests end sooner and need neither a timer nor a task of their own.
_UNWATCHED_S = 0.25
# Shorter deadlines could pass before a request is looked at.
_SHORT_DEADLINE_S = 4 * _UNWATCHED_S


class RequestWatch:
    """Watches the requests that have been in flight for a while."""

    def __init__(self, timer: timer_module.TimerService):
        """Creates a watch without requests; `run` must be running."""
        self._timer = timer
        self._visits: dict[ids.RequestId, visits.Visit] = {}

    @property
    def in_flight(self) -> dict[ids.RequestId, visits.Visit]:
        """Requests in flight by id, the oldest first."""
        return self._visits

    def add(self, visit: visits.Visit) -> None:
        """Starts to watch a request."""
        if visit.request.deadline_s <= _SHORT_DEADLINE_S:
            visit.scope.deadline = (
                anyio.current_time() + visit.request.deadline_s
            )
        self._visits[visit.request.request_id] = visit

    def remove(self, visit: visits.Visit) -> None:
        """Ends the watch of a request."""
        del self._visits[visit.request.request_id]
        if visit.watch is not None:
            visit.watch.cancel()

    async def run(self) -> None:
        """Starts a task for each request that lasts longer."""
        async with anyio.create_task_group() as group:
            async for now_s in self._timer.subscribe(_UNWATCHED_S):
                self._start_tasks(group, now_s)

    def _start_tasks(self, group: anyio.abc.TaskGroup, now_s: float) -> None:
        for visit in self._visits.values():
            age_s = now_s - visit.arrived_s
            if age_s < _UNWATCHED_S:
                return
            if visit.watch is not None:
                continue
            left_s = visit.request.deadline_s - age_s
            visit.scope.deadline = anyio.current_time() + left_s
            # The reader of an incomplete body sees a disconnect itself.
            if visit.body.complete:
                visit.watch = anyio.CancelScope()
                group.start_soon(self._watch, visit, visit.watch)

    async def _watch(
        self, visit: visits.Visit, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await visit.body.wait_disconnect()
            # A request that is not idempotent and may have been sent runs to
            # its end, so that its answer can be stored.
            if visit.request.idempotent or not visit.started:
                visit.scope.cancel()
