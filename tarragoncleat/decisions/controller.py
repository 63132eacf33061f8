"""The leader's loop over workers, waves, pools and jobs.

A new leader keeps the workers' leases alive from its first moment, because
their work would stop otherwise. It decides nothing until every lease that its
predecessor could have granted has ended: the lease length, the margin, and the
election timeout within which a deposed leader notices.
"""

import contextlib

import anyio
import anyio.abc

from tarragoncleat.decisions import command_proposals
from tarragoncleat.decisions import control_term
from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import worker_client
from tarragoncleat.kernel import settings
from tarragoncleat.kernel import timer

__all__ = ["Controller"]

_MS_PER_S = 1000
# Reports that arrive together are looked at in one round.
_MIN_ROUND_GAP_S = 0.02


class Controller:
    """Runs the decisions while this process leads."""

    def __init__(
        self,
        configuration: settings.Settings,
        fleet: fleet_view.FleetReader,
        replication: command_proposals.Replication,
        clock: timer.TimerService,
    ) -> None:
        """Creates the controller; `run` starts it."""
        self._settings = configuration
        self._limits = configuration.controller
        self._fleet = fleet
        self._replication = replication
        self._clock = clock
        self._client = worker_client.PlatformClient(
            self._limits.call_timeout_ms / _MS_PER_S
        )
        self._term: control_term.Term | None = None
        # One waiting signal is enough: a round looks at all the news.
        self._wake, self._woken = anyio.create_memory_object_stream[None](1)

    async def run(self) -> None:
        """Runs until it is cancelled."""
        if not self._limits.enabled:
            return
        interval_s = self._limits.interval_ms / _MS_PER_S
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._visit_loop, group, interval_s)
                group.start_soon(self._tick_loop, interval_s)
                async for _ in self._woken:
                    term = self._current_term()
                    if term is not None:
                        await term.decide(group)
                    await self._clock.sleep_s(_MIN_ROUND_GAP_S)
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.close()

    def dump(self) -> dict:
        """Returns the state of the loop for the state dump."""
        term = self._term
        if term is None:
            return {"leads": False}
        return {"leads": True, **term.dump()}

    def _signal(self) -> None:
        with contextlib.suppress(anyio.WouldBlock):
            self._wake.send_nowait(None)

    async def _tick_loop(self, interval_s: float) -> None:
        async for _ in self._clock.subscribe(interval_s):
            self._signal()

    async def _visit_loop(
        self, group: anyio.abc.TaskGroup, interval_s: float
    ) -> None:
        async for _ in self._clock.subscribe(interval_s):
            term = self._current_term()
            if term is not None:
                term.start_visits(group)

    def _current_term(self) -> control_term.Term | None:
        if not self._replication.is_leader:
            self._term = None
            return None
        since_s = self._replication.leader_since_s
        if since_s is None:
            since_s = self._clock.monotonic_s()
        if self._term is None or self._term.since_s != since_s:
            self._term = control_term.Term(
                self._settings,
                self._fleet,
                self._replication,
                self._clock,
                self._client,
                since_s,
                self._signal,
            )
        return self._term
