"""Ends requests at their deadline or when their caller has gone away."""

import dataclasses

import anyio
import anyio.abc

from tarragoncleat import caller_requests
from tarragoncleat import exchanges
from tarragoncleat import ids
from tarragoncleat import timer as timer_module

__all__ = ["RequestWatch", "Watched"]

# Most requests end sooner and need neither a timer nor a task of their own.
_UNWATCHED_S = 0.05
# Shorter deadlines could pass before a request is looked at.
_SHORT_DEADLINE_S = 4 * _UNWATCHED_S


@dataclasses.dataclass(slots=True)
class Watched:
    """A request in flight and the scope that ends it.

    `deadline_s` is on the event loop's clock.
    """

    request: caller_requests.CallerRequest
    body: caller_requests.CallerBody
    progress: exchanges.Progress
    scope: anyio.CancelScope
    started_s: float
    deadline_s: float
    watch: anyio.CancelScope | None = None


class RequestWatch:
    """Watches the requests that have been in flight for a while."""

    def __init__(self, timer: timer_module.TimerService):
        """Creates a watch without requests; `run` must be running."""
        self._timer = timer
        self._watched: dict[ids.RequestId, Watched] = {}

    def add(self, watched: Watched) -> None:
        """Starts to watch a request."""
        if watched.request.deadline_s <= _SHORT_DEADLINE_S:
            watched.scope.deadline = watched.deadline_s
        self._watched[watched.request.request_id] = watched

    def remove(self, request_id: ids.RequestId) -> None:
        """Ends the watch of a request."""
        watched = self._watched.pop(request_id)
        if watched.watch is not None:
            watched.watch.cancel()

    async def run(self) -> None:
        """Starts a task for each request that lasts longer."""
        async with anyio.create_task_group() as group:
            async for now_s in self._timer.subscribe(_UNWATCHED_S):
                self._start_tasks(group, now_s - _UNWATCHED_S)

    def _start_tasks(
        self, group: anyio.abc.TaskGroup, latest_start_s: float
    ) -> None:
        for watched in self._watched.values():
            if watched.started_s > latest_start_s:
                return
            watched.scope.deadline = watched.deadline_s
            # The reader of an incomplete body sees a disconnect itself.
            if watched.watch is None and watched.body.complete:
                watched.watch = anyio.CancelScope()
                group.start_soon(self._watch, watched, watched.watch)

    async def _watch(self, watched: Watched, scope: anyio.CancelScope) -> None:
        with scope:
            await watched.body.wait_disconnect()
            # A request that is not idempotent and may have been sent runs to
            # its end, so that its answer can be stored.
            if watched.request.idempotent or not watched.progress.started:
                watched.scope.cancel()
