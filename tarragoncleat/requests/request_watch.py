"""Cancels requests at their deadline or when their caller disconnects."""

import anyio
import anyio.abc

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.requests import request_context

__all__ = ["RequestWatch"]

# Most requests end sooner and need neither a timer nor a task.
_WATCH_DELAY_S = 0.25
# Shorter deadlines could pass before the watch begins, so they are set at once.
_SHORT_DEADLINE_S = 4 * _WATCH_DELAY_S


class RequestWatch:
    """Watches the requests that are in flight for longer than a delay."""

    def __init__(self, timer: timer_module.TimerService):
        """Creates a watch without requests; `run` must be running."""
        self._timer = timer
        self._contexts: dict[ids.RequestId, request_context.RequestContext] = {}

    @property
    def in_flight(self) -> dict[ids.RequestId, request_context.RequestContext]:
        """Requests in flight by id, the oldest first."""
        return self._contexts

    def add(self, context: request_context.RequestContext) -> None:
        """Adds a request."""
        if context.request.deadline_s <= _SHORT_DEADLINE_S:
            context.cancel_scope.deadline = (
                anyio.current_time() + context.request.deadline_s
            )
        self._contexts[context.request.request_id] = context

    def remove(self, context: request_context.RequestContext) -> None:
        """Removes a request and stops watching it."""
        del self._contexts[context.request.request_id]
        if context.disconnect_scope is not None:
            context.disconnect_scope.cancel()

    async def run(self) -> None:
        """Watches long requests until cancelled."""
        async with anyio.create_task_group() as group:
            async for now_s in self._timer.subscribe(_WATCH_DELAY_S):
                self._watch_long_requests(group, now_s)

    def _watch_long_requests(
        self, group: anyio.abc.TaskGroup, now_s: float
    ) -> None:
        for context in self._contexts.values():
            age_s = now_s - context.arrived_at_s
            if age_s < _WATCH_DELAY_S:
                return
            if context.disconnect_scope is not None:
                continue
            remaining_s = context.request.deadline_s - age_s
            context.cancel_scope.deadline = anyio.current_time() + remaining_s
            # While the body is incomplete, its reader sees a disconnect.
            if context.body.complete:
                context.disconnect_scope = anyio.CancelScope()
                group.start_soon(self._watch, context, context.disconnect_scope)

    async def _watch(
        self, context: request_context.RequestContext, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await context.body.wait_for_disconnect()
            # A request that is not idempotent and may have been sent runs to
            # its end, so that its answer can be stored.
            if context.request.idempotent or not context.attempted:
                context.cancel_scope.cancel()
