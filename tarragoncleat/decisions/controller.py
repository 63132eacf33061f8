"""The leader's control loop over workers, waves, pools and jobs.

A new leader renews the workers' leases from the start, because their tasks
would stop otherwise. Apart from the placement of new jobs, it decides nothing
until every lease that the previous leader could have granted has ended: after
the lease length, the margin, and the election timeout within which a deposed
leader notices that it no longer leads.
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
# Reports that arrive together are processed in one round.
_MIN_ROUND_GAP_S = 0.02


class Controller:
    """Runs the decisions while this process leads."""

    def __init__(
        self,
        configuration: settings.Settings,
        fleet: fleet_view.FleetReader,
        replication: command_proposals.Replication,
        clock: timer.TimerService,
        client: worker_client.WorkerCalls | None = None,
    ) -> None:
        """Creates the controller; `run` starts it.

        Args:
            configuration: The settings of the entry.
            fleet: The committed state.
            replication: The replicated log.
            clock: Clock.
            client: Calls the workers; closed at the end of `run`. By default
                they are called over HTTP.
        """
        self._settings = configuration
        self._limits = configuration.controller
        self._fleet = fleet
        self._replication = replication
        self._clock = clock
        self._client = client or worker_client.WorkerClient(
            self._limits.call_timeout_ms / _MS_PER_S
        )
        self._term: control_term.Term | None = None
        # One pending request is enough, because a round processes all reports.
        self._round_requests, self._requested_rounds = (
            anyio.create_memory_object_stream[None](1)
        )

    async def run(self) -> None:
        """Runs until it is cancelled."""
        if not self._limits.enabled:
            return
        interval_s = self._limits.interval_ms / _MS_PER_S
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._reconcile_loop, group, interval_s)
                group.start_soon(self._tick_loop, interval_s)
                async for _ in self._requested_rounds:
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

    def _request_round(self) -> None:
        with contextlib.suppress(anyio.WouldBlock):
            self._round_requests.send_nowait(None)

    async def _tick_loop(self, interval_s: float) -> None:
        async for _ in self._clock.subscribe(interval_s):
            self._request_round()

    async def _reconcile_loop(
        self, group: anyio.abc.TaskGroup, interval_s: float
    ) -> None:
        async for _ in self._clock.subscribe(interval_s):
            term = self._current_term()
            if term is not None:
                term.reconcile_due_workers(group)

    def _current_term(self) -> control_term.Term | None:
        if not self._replication.is_leader:
            self._term = None
            return None
        leader_since_s = self._replication.leader_since_s
        if leader_since_s is None:
            leader_since_s = self._clock.monotonic_s()
        if self._term is None or self._term.leader_since_s != leader_since_s:
            self._term = control_term.Term(
                self._settings,
                self._fleet,
                self._replication,
                self._clock,
                self._client,
                leader_since_s,
                self._request_round,
            )
        return self._term
