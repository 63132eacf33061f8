"""Assembles the components of a control node and of an entry process."""

from collections.abc import Sequence
import pathlib
from typing import Any

import anyio
import loguru

from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import events
from tarragoncleat.batch.leader import customer_report
from tarragoncleat.batch.leader import dispatcher as dispatcher_module
from tarragoncleat.batch.leader import leader_service
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.scheduling import advice
from tarragoncleat.batch.workers import clients
from tarragoncleat.batch.workers import heartbeats
from tarragoncleat.batch.workers import session_registry
from tarragoncleat.cluster import departure
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
    """A stateless process that forwards requests to the leader."""

    def __init__(
        self,
        node_id: ids.EntryId,
        availability_zone: ids.AvailabilityZone,
        seeds: Sequence[tuple[str, int]],
        timer: timer_module.TimerService,
    ) -> None:
        """Creates the links and the leader finder."""
        self._links = links_module.Links(
            node_id,
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
        """The leader finder."""
        return self._finder

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._links.run, False)
            tasks.start_soon(self._finder.run)

    async def call(self, request: object, timeout_s: float) -> Any:
        """Forwards a request to the leader."""
        return await self._finder.call(request, timeout_s)

    def dump(self) -> dict:
        """Returns diagnostic state of the running process."""
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
    """A replica of the log; on the leader it also runs the dispatcher."""

    def __init__(
        self,
        settings: settings_module.Settings,
        seeds: Sequence[tuple[str, int]],
        tolerated_losses: int,
        timer: timer_module.TimerService,
        bounds: bounds_module.Bounds,
        worker_client_factory: session_registry.WorkerClientFactory,
        instance_client: clients.InstanceClient,
        advisor_client: advice.AdvisorClient,
        holder: str,
    ) -> None:
        """Creates the components; `open` reads the log from disk.

        Args:
            settings: Settings with the node's identity as `entry_id`.
            seeds: Addresses of the nodes that are contacted first.
            tolerated_losses: Number of nodes that may be lost at once.
            timer: Clock.
            bounds: Limits of the deployment.
            worker_client_factory: Creates the client of a worker.
            instance_client: Client of the platform's instance interface.
            advisor_client: Client of the advisor.
            holder: Lease holder name of this node in instance requests.
        """
        self._settings = settings
        self._timer = timer
        self._bounds = bounds
        self._worker_client_factory = worker_client_factory
        self._instance_client = instance_client
        self._advisor_client = advisor_client
        self._holder = holder
        self._changed = anyio.Event()
        self._last_applied_index = 0
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
            self._node,
            self._state,
            timer,
            lambda: self._dispatcher,
            bounds.controls_overload,
            bounds.max_stored_tasks,
        )

    @property
    def finder(self) -> leader_finder.LeaderFinder:
        """The leader finder."""
        return self._finder

    @property
    def leader_id(self) -> ids.EntryId | None:
        """The current leader, or None if it is not known."""
        if self._node.is_leader:
            return self._settings.entry_id
        return self._finder.leader_id

    def heartbeat_node(self, worker: model.WorkerRecord) -> ids.EntryId | None:
        """Returns the node for a worker's further heartbeats, or None."""
        if not self._node.is_leader:
            return self._settings.entry_id
        return heartbeats.select_node(
            worker, self._settings.entry_id, self._node.zones()
        )

    def open(
        self, initial_replicas: Sequence[ids.EntryId], folder: pathlib.Path
    ) -> errors.Failure | None:
        """Opens the log; the first start uses `initial_replicas`."""
        return self._node.open(initial_replicas, folder)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._links.run, True)
            tasks.start_soon(self._finder.run)
            tasks.start_soon(self._node.run)
            tasks.start_soon(self._run_terms)

    async def leave(self, timeout_s: float) -> None:
        """Gives up this node's place as a replica, before it stops.

        Returns once another node has it, none can take it, or the time is over.
        """
        await departure.leave(
            self._node,
            self._finder,
            self._timer,
            self._settings.entry_id,
            timeout_s,
        )

    async def call(self, request: object, timeout_s: float) -> Any:
        """Handles a request if this node leads, or else forwards it."""
        is_undecided = False
        if self._node.is_leader:
            result = None
            with anyio.move_on_after(timeout_s):
                result = await self._service.handle(request)
            if result is not None and not _is_no_leader(result):
                return result
            is_undecided = result is None
        elif isinstance(request, messages.Heartbeat) and (
            heartbeats.changes_nothing(
                request, self._state, self._node.leader_silence_s
            )
        ):
            return messages.Done()
        return await self._finder.call(request, timeout_s, is_undecided)

    def dump(self) -> dict:
        """Returns diagnostic state of the running process."""
        configuration = self._state.configuration
        return {
            "log": self._node.dump(),
            "links": self._links.dump(),
            "version": configuration.version if configuration else None,
            "active_jobs": len(self._state.active_jobs),
            "workers": len(self._state.workers),
            "customers": self._dump_customers(),
        }

    def _dump_customers(self) -> list[dict]:
        """Returns usage, cap and, on the leader, waiting tasks by customer."""
        waiting = None
        if self._dispatcher is not None:
            waiting = self._dispatcher.waiting_by_customer()
        rows = customer_report.build_rows(self._state, waiting)
        return [row._asdict() for row in rows]

    async def _run_terms(self) -> None:
        while True:
            await self._wait_until(lambda: self._node.is_leader)
            await self._run_term(self._node.term)

    async def _run_term(self, term: int) -> None:
        event_log.emit(events.LeadershipChanged(term, leads=True))
        self._dispatcher = dispatcher_module.Dispatcher(
            self._node,
            self._state,
            self._timer,
            self._bounds,
            self._worker_client_factory,
            self._instance_client,
            self._advisor_client,
            self._holder,
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._dispatcher.run)
                await self._wait_until(lambda: not self._is_leading(term))
                tasks.cancel_scope.cancel()
        finally:
            self._dispatcher = None
        event_log.emit(events.LeadershipChanged(term, leads=False))

    def _is_leading(self, term: int) -> bool:
        leader = self._node.leader_id
        return self._node.term == term and leader == self._settings.entry_id

    async def _wait_until(self, condition: Any) -> None:
        while not condition():
            await self._changed.wait()

    def _on_change(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
        has_advanced = self._node.applied_index != self._last_applied_index
        if has_advanced and self._dispatcher is not None:
            self._dispatcher.notify_state_changed()
        self._last_applied_index = self._node.applied_index

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
        if isinstance(request, cluster_messages.LeaveRequest):
            return self._node.on_leave(request)
        result = await self._service.handle(request)
        if isinstance(result, errors.Failure):
            if result.kind is errors.ErrorKind.NO_LEADER:
                return cluster_messages.NotLeader(self._node.leader_id)
            return cluster_messages.Refusal(
                result.kind, result.reason, result.retry_after_s
            )
        return result


def _is_no_leader(result: object) -> bool:
    return (
        isinstance(result, errors.Failure)
        and result.kind is errors.ErrorKind.NO_LEADER
    )
