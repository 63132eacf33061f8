"""A replica of the log on a node that discovers the other nodes itself."""

from collections.abc import Callable, Sequence
import dataclasses
import math
import pathlib
from typing import Any, TypeVar

import anyio
import anyio.lowlevel
import loguru

from tarragoncleat.cluster import links as links_module
from tarragoncleat.cluster import messages
from tarragoncleat.cluster import node_ids
from tarragoncleat.cluster import replica_selection
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module
from tarragoncleat.log import consensus
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import consensus_output
from tarragoncleat.log import log_files
from tarragoncleat.log import log_store
from tarragoncleat.log import replica as replica_module

__all__ = ["Committed", "LogNode", "MembersChanged", "load_identity"]

_MS_PER_S = 1000
_IDENTITY_FILE = "identity"
_LOG_FOLDER = "log"
_SELECTION_INTERVAL_S = 0.1
# A standby becomes a replica when it lacks at most this many records.
_MAX_MISSING_RECORDS = 128
_ANNOUNCEMENT_VALID_S = 1.6
# A node that leaves repeats that until it stops.
_LEAVING_VALID_S = 3.0
_READ_TIMEOUT_S = 1.0
# Confirmations of the leadership in flight; each costs a message to and from
# every follower.
_MAX_CONFIRMATIONS = 2

_Value = TypeVar("_Value")


def load_identity(
    folder: pathlib.Path, host: str, port: int, is_bootstrap: bool
) -> ids.EntryId | errors.Failure:
    """Returns the id saved in the data folder; creates it on a new disk.

    Args:
        folder: Data folder.
        host: Address on which this node listens for other nodes.
        port: Port on which it listens.
        is_bootstrap: Whether this node is one of the initial replicas.
    """
    path = folder / _IDENTITY_FILE
    try:
        folder.mkdir(parents=True, exist_ok=True)
        if path.exists():
            body = log_files.read_checksummed(path)
            if isinstance(body, errors.Failure):
                return body
            return ids.EntryId(body.decode())
        make = node_ids.bootstrap_id if is_bootstrap else node_ids.unique_id
        node_id = make(host, port)
        log_files.write_checksummed(path, node_id.encode())
        log_files.sync_folder(folder)
    except OSError as error:
        return log_files.failure_from_os_error(error, path)
    return node_id


@event_log.event("members")
@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """The leader proposed new replicas; `refused` is why they were rejected."""

    replicas: tuple[str, ...]
    refused: str | None


@event_log.event("committed", event_log.Priority.LISTENERS_ONLY)
@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """A command was replicated and applied."""

    took_ms: float


def _not_confirmed() -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.NO_LEADER, "this node may no longer be the leader"
    )


class _ReadBatch:
    """Reads that share one confirmation of the leadership."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.is_confirmed = False


class LogNode:
    """Runs the replica of this node; as the leader it updates the replicas."""

    def __init__(
        self,
        settings: settings_module.Settings,
        timer: timer_module.TimerService,
        links: links_module.Links,
        state_machine: applier_module.StateMachine,
        tolerated_losses: int,
        on_change: Callable[[], None],
    ) -> None:
        """Prepares the node; `open` reads the disk.

        Args:
            settings: Settings of the node; `entry_id` is its identity.
            timer: Clock.
            links: Links to the other nodes.
            state_machine: Applies committed records.
            tolerated_losses: Number of nodes that may be lost at once.
            on_change: Called after the log or the leadership changed.
        """
        self._settings = settings
        self._timer = timer
        self._links = links
        self._tolerated_losses = tolerated_losses
        self._on_change = on_change
        self._announced: dict[
            ids.EntryId, tuple[float, ids.AvailabilityZone]
        ] = {}
        self._zones = {settings.entry_id: settings.availability_zone}
        # When each node asked for its replacement last.
        self._leaving_s: dict[ids.EntryId, float] = {}
        self._leads_since_s: float | None = None
        self._state_machine = state_machine
        self._applier_or_none: applier_module.Applier | None = None
        self._replica_or_none: replica_module.Replica | None = None
        self._pending_reads: dict[int, anyio.Event] = {}
        self._read_indexes: dict[int, int] = {}
        self._read_token = 0
        self._next_read_batch: _ReadBatch | None = None
        self._confirmations = anyio.Semaphore(_MAX_CONFIRMATIONS)

    def open(
        self, initial_replicas: Sequence[ids.EntryId], folder: pathlib.Path
    ) -> errors.Failure | None:
        """Reads the disk; the first start uses `initial_replicas`."""
        store = log_store.LogStore(folder / _LOG_FOLDER)
        saved = store.load(initial_replicas)
        if isinstance(saved, errors.Failure):
            return saved
        # Snapshots contain the replicas; before the first change these are the
        # initial ones.
        self._applier_or_none = applier_module.Applier(
            self._state_machine,
            saved.snapshot.replicas,
            self._settings.consensus.snapshot_every_records,
        )
        self._replica_or_none = replica_module.Replica(
            self._settings,
            self._links,
            self._timer,
            self._applier,
            store,
            saved,
            self._on_reads,
            self._on_change,
            lambda: True,
        )
        return None

    @property
    def _applier(self) -> applier_module.Applier:
        if self._applier_or_none is None:
            raise RuntimeError("the log is not open")
        return self._applier_or_none

    @property
    def _core(self) -> consensus.Consensus:
        return self._replica.core

    @property
    def _replica(self) -> replica_module.Replica:
        if self._replica_or_none is None:
            raise RuntimeError("the log is not open")
        return self._replica_or_none

    @property
    def term(self) -> int:
        """Current term."""
        return self._core.term

    @property
    def applied_index(self) -> int:
        """Index of the last applied record."""
        return self._applier.applied_index

    @property
    def leader_id(self) -> ids.EntryId | None:
        """The leader of the current term, if known."""
        return self._core.leader_id

    @property
    def is_leader(self) -> bool:
        """Whether this node is the leader and has applied its whole log."""
        core = self._core
        if core.role is not consensus.Role.LEADER:
            return False
        applied = self._applier.applied_index
        return (
            applied > 0
            and applied == core.commit_index
            and core.log.term_at(applied) == core.term
        )

    def leadership_age_s(self) -> float:
        """Returns how long ago this node led for certain; infinite if unknown.

        A leader that was suspended doesn't know yet that another one leads.
        """
        confirmed_s = self._core.leadership_confirmed_s()
        if confirmed_s is None:
            return math.inf
        return self._timer.monotonic_s() - confirmed_s

    @property
    def has_left(self) -> bool:
        """Whether this node knows that it is not a replica any more."""
        return not self._core.is_member and self._is_configuration_committed()

    @property
    def leader_silence_s(self) -> float | None:
        """Time since the last message of a leader, or None before the first."""
        contact_s = self._core.leader_contact_s
        return (
            None if contact_s is None else self._timer.monotonic_s() - contact_s
        )

    def zones(self) -> dict[ids.EntryId, ids.AvailabilityZone | None]:
        """Returns the availability zone of each live node, if it is known."""
        return {node: self._zones.get(node) for node in self.live_nodes()}

    def live_nodes(self) -> tuple[ids.EntryId, ...]:
        """Returns the replicas and the nodes with a recent announcement."""
        now_s = self._timer.monotonic_s()
        announced = {
            node_id
            for node_id, (seen_s, _) in self._announced.items()
            if now_s - seen_s < _ANNOUNCEMENT_VALID_S
        }
        return tuple(sorted(announced | set(self._core.log.replicas)))

    async def run(self) -> None:
        """Runs the replica and updates the replicas until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._replica.run)
            tasks.start_soon(self._maintain_replicas)

    def on_message(self, message: Any) -> None:
        """Processes a consensus message from another node."""
        if isinstance(message, consensus_messages.CoreMessage):
            self._replica.step(message)
        else:
            loguru.logger.warning("ignored a message of an unexpected type")

    def on_link_lost(self, address: tuple[str, int]) -> None:
        """Reports a lost link to the core if it was the link to the leader."""
        leader = self.leader_id
        if leader is not None and node_ids.address_of(leader) == address:
            self._replica.report_leader_unreachable()

    def on_announcement(
        self, announcement: messages.Announcement
    ) -> messages.Directory:
        """Records a node's announcement and returns the known nodes."""
        node_id = announcement.node_id
        if node_id is not None:
            zone = announcement.availability_zone
            self._announced[node_id] = (self._timer.monotonic_s(), zone)
            self._zones[node_id] = zone
        return messages.Directory(
            self.leader_id, self.is_leader, self.live_nodes()
        )

    def on_leave(self, request: messages.LeaveRequest) -> messages.LeaveReply:
        """Starts to replace a node that is about to stop, as the leader.

        The node repeats the request until it is released or stays.
        """
        node_id = request.node_id
        if not self._is_leaving(node_id):
            loguru.logger.info("node {} is about to stop", node_id)
        self._leaving_s[node_id] = self._timer.monotonic_s()
        return messages.LeaveReply(self._leave_state(node_id))

    def _leave_state(self, node_id: ids.EntryId) -> messages.LeaveState:
        replicas = self._core.log.replicas
        if not self._is_configuration_committed():
            return messages.LeaveState.REPLACING
        if node_id not in replicas:
            return messages.LeaveState.RELEASED
        is_spare = len(replicas) > 2 * self._tolerated_losses + 1
        if is_spare or self._standbys() or not self._knows_live_nodes():
            return messages.LeaveState.REPLACING
        return messages.LeaveState.STAYS

    def _is_configuration_committed(self) -> bool:
        core = self._core
        return core.log.configuration_index <= core.commit_index

    def _knows_live_nodes(self) -> bool:
        """Whether every live node has announced itself to this leader."""
        if self._leads_since_s is None:
            return False
        led_s = self._timer.monotonic_s() - self._leads_since_s
        return led_s >= _ANNOUNCEMENT_VALID_S

    def _is_leaving(self, node_id: ids.EntryId) -> bool:
        asked_s = self._leaving_s.get(node_id)
        if asked_s is None:
            return False
        return self._timer.monotonic_s() - asked_s < _LEAVING_VALID_S

    async def propose(
        self, payload: bytes, timeout_s: float
    ) -> applier_module.AppliedProposal | errors.Failure:
        """Replicates a command; `timeout_s` may be infinite.

        Returns:
            The result, or a `Failure`: NO_LEADER or DISK_FULL if the command
            will not be applied, UNDECIDED if it may be.
        """
        started_s = self._timer.monotonic_s()
        index = self._replica.propose([payload])
        if isinstance(index, errors.Failure):
            return index
        future = applier_module.ProposalFuture()
        self._applier.add_future(index, self.term, future)
        try:
            await future.wait(timeout_s)
        finally:
            self._applier.remove_future(index, future)
        if future.outcome is None:
            return errors.Failure(
                errors.ErrorKind.UNDECIDED,
                f"record {index} was not committed within {timeout_s} s",
            )
        took_s = self._timer.monotonic_s() - started_s
        event_log.emit(Committed(took_s * _MS_PER_S))
        return future.outcome

    async def read_barrier(self) -> bool:
        """Waits until this node has confirmed that it is still the leader.

        Concurrent calls share one confirmation.

        Returns:
            Whether every record that was committed before the call is applied
            here.
        """
        if not self.is_leader:
            return False
        read_batch = self._next_read_batch
        if read_batch is None:
            read_batch = self._next_read_batch = _ReadBatch()
            try:
                # Reads in the same event loop iteration join this batch, and so
                # do those that arrive while earlier batches are confirmed.
                await anyio.lowlevel.checkpoint()
                async with self._confirmations:
                    self._next_read_batch = None
                    read_batch.is_confirmed = await self._confirm_leadership()
            finally:
                self._next_read_batch = None
                read_batch.done.set()
        else:
            await read_batch.done.wait()
        return read_batch.is_confirmed

    async def read(
        self, evaluate: Callable[[], _Value]
    ) -> _Value | errors.Failure:
        """Evaluates the state at the end of this leader's log.

        The value reflects every record that was proposed before the call and
        none that is proposed later, so that a leader's answers are in the order
        in which the requests arrived.

        Returns:
            The value, or a `Failure` of kind NO_LEADER.
        """
        if not self.is_leader:
            return _not_confirmed()
        future = applier_module.EvaluationFuture(evaluate)
        index = self._core.log.last_index
        if index == self._applier.applied_index:
            future.set_outcome(applier_module.AppliedProposal(index, b""))
        else:
            self._applier.add_future(index, self.term, future)
        try:
            if not await self.read_barrier():
                return _not_confirmed()
            await future.wait(_READ_TIMEOUT_S)
        finally:
            self._applier.remove_future(index, future)
        if isinstance(future.outcome, applier_module.AppliedProposal):
            return future.value
        return _not_confirmed()

    async def _confirm_leadership(self) -> bool:
        self._read_token += 1
        token = self._read_token
        event = self._pending_reads[token] = anyio.Event()
        try:
            if not self._replica.request_read(token):
                return False
            with anyio.move_on_after(_READ_TIMEOUT_S):
                await event.wait()
                index = self._read_indexes.pop(token)
                return await self._applier.wait_applied(index, _READ_TIMEOUT_S)
            return False
        finally:
            self._pending_reads.pop(token, None)

    def _on_reads(
        self, reads: Sequence[consensus_output.ConfirmedRead]
    ) -> None:
        for read in reads:
            event = self._pending_reads.get(read.token)
            if event is not None:
                self._read_indexes[read.token] = read.index
                event.set()

    def dump(self) -> dict:
        """Returns the state for debugging."""
        return {
            "role": self._core.role.value,
            "term": self.term,
            "leader": self.leader_id,
            "applied_index": self._applier.applied_index,
            "commit_index": self._core.commit_index,
            **self._replica.dump(),
        }

    async def _maintain_replicas(self) -> None:
        async for _ in self._timer.subscribe(_SELECTION_INTERVAL_S):
            if not self.is_leader:
                self._leads_since_s = None
                continue
            if self._leads_since_s is None:
                self._leads_since_s = self._timer.monotonic_s()
            self._update_replicas()

    def _update_replicas(self) -> None:
        core = self._core
        if not self._is_configuration_committed():
            return
        replicas = replica_selection.next_replicas(
            self._replica_statuses(), self._standbys(), self._tolerated_losses
        )
        joining = set(replicas or ()) - set(core.log.replicas)
        self._replica.set_observers(joining)
        if replicas is None or not all(map(self._has_caught_up, joining)):
            return
        result = self._replica.propose_replicas(replicas)
        rejected = result.reason if isinstance(result, errors.Failure) else None
        event_log.emit(MembersChanged(replicas, rejected))

    def _has_caught_up(self, node_id: ids.EntryId) -> bool:
        missing = self._core.commit_index - self._core.match_index(node_id)
        return missing <= _MAX_MISSING_RECORDS

    def _replica_statuses(self) -> list[replica_selection.ReplicaStatus]:
        now = self._timer.monotonic_s()
        contacts = self._core.contact_times_s()
        return [
            replica_selection.ReplicaStatus(
                node_id,
                self._zones.get(node_id),
                max(0.0, now - contacts.get(node_id, now)),
                self._is_leaving(node_id),
            )
            for node_id in self._core.log.replicas
        ]

    def _standbys(self) -> list[replica_selection.StandbyNode]:
        now_s = self._timer.monotonic_s()
        replicas = set(self._core.log.replicas)
        return [
            replica_selection.StandbyNode(node_id, zone)
            for node_id, (seen_s, zone) in self._announced.items()
            if node_id not in replicas
            and now_s - seen_s < _ANNOUNCEMENT_VALID_S
            and not self._is_leaving(node_id)
        ]
