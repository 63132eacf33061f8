"""Assembly of the processes: the control node and the entry."""

from collections.abc import Sequence
import pathlib
from typing import Any

import anyio
import loguru

from tarragoncleat.batch import advice
from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import dispatcher as dispatcher_module
from tarragoncleat.batch import events
from tarragoncleat.batch import leader_service
from tarragoncleat.batch import state as state_module
from tarragoncleat.batch import worker_calls
from tarragoncleat.cluster import leader_finder
from tarragoncleat.cluster import links as links_module
from tarragoncleat.cluster import log_node
from tarragoncleat.cluster import messages as cluster_messages
from tarragoncleat.cluster import node_ids
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer as timer_module

__all__ = ["ControlNode", "EntryNode"]


class EntryNode:
    """A process that brings requests to the leader and holds no state."""

    def __init__(
        self,
        own_id: ids.EntryId,
        availability_zone: ids.AvailabilityZone,
        seeds: Sequence[tuple[str, int]],
        timer: timer_module.TimerService,
    ) -> None:
        """Prepares the process."""
        self._links = links_module.Links(
            own_id,
            timer,
            _ignore_message,
            _refuse_request,
            lambda address: None,
        )
        self._finder = leader_finder.LeaderFinder(
            self._links,
            timer,
            cluster_messages.Announcement(None, availability_zone),
            seeds,
        )

    @property
    def finder(self) -> leader_finder.LeaderFinder:
        """Finds the leader."""
        return self._finder

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._links.run, False)
            tasks.start_soon(self._finder.run)

    async def call(self, request: object, timeout_s: float) -> Any:
        """Brings a request to the leader."""
        return await self._finder.call(request, timeout_s)

    def dump(self) -> dict:
        """Returns the state for people who look into a running process."""
        return {
            "leader": self._finder.leader_id,
            "confirmed_age_s": self._finder.confirmed_age_s(),
            "known": [
                f"{host}:{port}" for host, port in self._finder.known_addresses
            ],
            "links": self._links.dump(),
        }


def _ignore_message(sender: ids.EntryId, message: Any) -> None:
    loguru.logger.warning(
        "ignored a message", sender=sender, type=type(message).__name__
    )


async def _refuse_request(request: Any) -> object:
    del request
    return cluster_messages.NotLeader(None)


class ControlNode:
    """A process that holds the log; the leader also dispatches."""

    def __init__(
        self,
        settings: settings_module.Settings,
        seeds: Sequence[tuple[str, int]],
        tolerated_losses: int,
        timer: timer_module.TimerService,
        bounds: bounds_module.Bounds,
        make_calls: dispatcher_module.MakeCalls,
        instance_calls: worker_calls.InstanceCalls,
        advisor_calls: advice.AdvisorCalls,
        holder: str,
    ) -> None:
        """Prepares the process.

        Args:
            settings: Settings with the node's identity as `entry_id`.
            seeds: Addresses of nodes to ask first.
            tolerated_losses: Nodes that may be lost at once.
            timer: Clock.
            bounds: Bounds of the deployment.
            make_calls: Opens the calls to a worker.
            instance_calls: Calls to the platform about instances.
            advisor_calls: Calls to the advisor about placements.
            holder: Name of this node as holder of the instances' leases.
        """
        self._settings = settings
        self._timer = timer
        self._bounds = bounds
        self._make_calls = make_calls
        self._instance_calls = instance_calls
        self._advisor_calls = advisor_calls
        self._holder = holder
        self._changed = anyio.Event()
        self._seen_index = 0
        self._state = state_module.BatchState()
        self._links = links_module.Links(
            settings.entry_id,
            timer,
            self._on_message,
            self._on_request,
            self._on_link_lost,
        )
        self._node = log_node.LogNode(
            settings,
            timer,
            self._links,
            self._state,
            tolerated_losses,
            self._on_change,
        )
        self._finder = leader_finder.LeaderFinder(
            self._links,
            timer,
            cluster_messages.Announcement(
                settings.entry_id, settings.availability_zone
            ),
            [
                seed
                for seed in seeds
                if seed != node_ids.address_of(settings.entry_id)
            ],
        )
        self._dispatcher: dispatcher_module.Dispatcher | None = None
        self._service = leader_service.LeaderService(
            self._node, self._state, lambda: self._dispatcher
        )

    @property
    def finder(self) -> leader_finder.LeaderFinder:
        """Finds the leader."""
        return self._finder

    @property
    def leader_id(self) -> ids.EntryId | None:
        """The present leader, when it is known."""
        if self._node.is_leader:
            return self._settings.entry_id
        return self._finder.leader_id

    def open(
        self, founders: Sequence[ids.EntryId], folder: pathlib.Path
    ) -> errors.Failure | None:
        """Reads the disk; `founders` begin the log at the very first start."""
        return self._node.open(founders, folder)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._links.run, True)
            tasks.start_soon(self._finder.run)
            tasks.start_soon(self._node.run)
            tasks.start_soon(self._lead)

    async def call(self, request: object, timeout_s: float) -> Any:
        """Carries out a request here or brings it to the leader."""
        if self._node.is_leader:
            result = None
            with anyio.move_on_after(timeout_s):
                result = await self._service.handle(request)
            if result is not None and not _has_lost_office(result):
                return result
        return await self._finder.call(request, timeout_s)

    def dump(self) -> dict:
        """Returns the state for people who look into a running process."""
        configuration = self._state.configuration
        return {
            "log": self._node.dump(),
            "links": self._links.dump(),
            "version": configuration.version if configuration else None,
            "active_jobs": len(self._state.active_jobs),
            "workers": len(self._state.workers),
        }

    # Leading.

    async def _lead(self) -> None:
        while True:
            await self._wait_until(lambda: self._node.is_leader)
            await self._lead_term(self._node.term)

    async def _lead_term(self, term: int) -> None:
        event_log.emit(events.LeadershipChanged(term, leads=True))
        self._dispatcher = dispatcher_module.Dispatcher(
            self._node,
            self._state,
            self._timer,
            self._bounds,
            self._make_calls,
            self._instance_calls,
            self._advisor_calls,
            self._holder,
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._dispatcher.run)
                await self._wait_until(lambda: not self._leads(term))
                tasks.cancel_scope.cancel()
        finally:
            self._dispatcher = None
        event_log.emit(events.LeadershipChanged(term, leads=False))

    def _leads(self, term: int) -> bool:
        leader = self._node.leader_id
        return self._node.term == term and leader == self._settings.entry_id

    async def _wait_until(self, condition: Any) -> None:
        while not condition():
            await self._changed.wait()

    def _on_change(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
        has_advanced = self._node.applied_index != self._seen_index
        if has_advanced and self._dispatcher is not None:
            self._dispatcher.wake()
        self._seen_index = self._node.applied_index

    # Messages from other nodes.

    def _on_message(self, sender: ids.EntryId, message: Any) -> None:
        del sender
        self._node.on_message(message)

    def _on_link_lost(self, address: tuple[str, int]) -> None:
        self._node.on_link_lost(address)

    async def _on_request(self, request: Any) -> object:
        if isinstance(request, cluster_messages.Announcement):
            return self._node.on_announcement(request)
        if not self._node.is_leader:
            return cluster_messages.NotLeader(self._node.leader_id)
        result = await self._service.handle(request)
        if isinstance(result, errors.Failure):
            if result.kind is errors.ErrorKind.NO_LEADER:
                return cluster_messages.NotLeader(self._node.leader_id)
            return cluster_messages.Refusal(result.kind, result.reason)
        return result


def _has_lost_office(result: object) -> bool:
    return (
        isinstance(result, errors.Failure)
        and result.kind is errors.ErrorKind.NO_LEADER
    )
