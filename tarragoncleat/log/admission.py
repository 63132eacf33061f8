"""Admits a replica with an empty disk to the replicated log.

A replica that lost its disk has lost its votes and the records that it
acknowledged. If it voted again at once, it could help to elect a leader that
lacks a committed record. So it neither votes nor acknowledges records until
one of these holds:

- every other replica has replied, since this process started, that it has
  never voted nor stored a record: the log is new;
- the leader has removed it from the configuration. The removal is committed by
  a majority of the others, so that no majority depends on the lost state. The
  replica then joins again like a new one.
"""

from collections.abc import Callable
import dataclasses
import enum
import pathlib
import uuid

import anyio
import anyio.to_thread
import loguru
import msgpack

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module
from tarragoncleat.log import consensus
from tarragoncleat.log import log_files
from tarragoncleat.log import replica as replica_module
from tarragoncleat.log import replication_messages

__all__ = ["Admission", "AdmissionState"]

_FILE_NAME = "admission"
_MS_PER_S = 1000
_PROBES_PER_ELECTION = 2


class AdmissionState(enum.Enum):
    """How far a replica is admitted to the replicated log."""

    WAITING = "waiting"
    JOINING = "joining"
    MEMBER = "member"


@dataclasses.dataclass(frozen=True, slots=True)
class _SavedState:
    """State on disk; the configuration at `index` lacks this replica."""

    state: AdmissionState
    index: int


class Admission:
    """Admits this replica to the log, and others if this is the leader."""

    def __init__(
        self,
        settings: settings_module.Settings,
        links: replication_messages.Links,
        timer: timer_module.TimerService,
        applier: applier_module.Applier,
        replica: Callable[[], replica_module.Replica],
    ) -> None:
        """Prepares the admission; `load` must be called first.

        Args:
            settings: Settings of the entry; it has a data folder.
            links: Links to the other entries.
            timer: Clock for the interval of the probes.
            applier: Has the committed configuration.
            replica: Returns the replica of this entry.
        """
        folder = settings.entry.data_folder
        assert folder is not None
        self._path: pathlib.Path = folder / _FILE_NAME
        self._entry_id = settings.entry_id
        self._others = frozenset(settings.replica_ids) - {self._entry_id}
        self._links = links
        self._timer = timer
        self._applier = applier
        self._replica = replica
        election_s = settings.consensus.election_timeout_min_ms / _MS_PER_S
        self._probe_interval_s = election_s / _PROBES_PER_ELECTION
        # Identifies this process, to ignore replies to an earlier one.
        self._attempt_id = uuid.uuid4().hex
        self._unused_replicas: set[ids.EntryId] = set()
        self._saved_state = _SavedState(AdmissionState.WAITING, 0)
        self._unsaved_state: _SavedState | None = None

    @property
    def state(self) -> AdmissionState:
        """How far this replica is admitted."""
        return self._saved_state.state

    @property
    def is_admitted(self) -> bool:
        """Whether this replica votes and acknowledges records."""
        return self._saved_state.state is not AdmissionState.WAITING

    def load(self) -> errors.Failure | None:
        """Reads the saved state; without a file it is WAITING."""
        if not self._path.exists():
            return None
        body = log_files.read_checksummed(self._path)
        if isinstance(body, errors.Failure):
            return body
        state, index = msgpack.unpackb(body)
        self._saved_state = _SavedState(AdmissionState(state), index)
        return None

    async def run(self) -> None:
        """Sends probes until this replica is a member."""
        self._check_new_log()
        async for _ in self._timer.subscribe(self._probe_interval_s):
            self._check_membership()
            if self._unsaved_state is not None:
                await self._save(self._unsaved_state)
            if self.state is AdmissionState.MEMBER:
                return
            probe = replication_messages.JoinProbe(
                self._attempt_id, self.is_admitted
            )
            for other in sorted(self._others):
                self._links.send(other, probe)

    def on_probe(
        self, sender: ids.EntryId, probe: replication_messages.JoinProbe
    ) -> None:
        """Replies to a replica that requests admission."""
        core = self._replica().core
        is_unused = core.term == 0 and core.log.last_index == 0
        reply = replication_messages.JoinState(probe.attempt_id, is_unused)
        self._links.send(sender, reply)
        if core.role is consensus.Role.LEADER and sender in self._others:
            self._admit(sender, probe)

    def on_state(
        self, sender: ids.EntryId, reply: replication_messages.JoinState
    ) -> None:
        """Processes another replica's reply to a probe."""
        if reply.attempt_id == self._attempt_id and reply.is_unused:
            self._unused_replicas.add(sender)
            self._check_new_log()

    def on_grant(
        self, sender: ids.EntryId, grant: replication_messages.JoinGrant
    ) -> None:
        """Starts joining, as the leader has removed this replica."""
        if grant.attempt_id == self._attempt_id and not self.is_admitted:
            loguru.logger.info("leader {} admitted this replica", sender)
            self._unsaved_state = _SavedState(
                AdmissionState.JOINING, grant.index
            )

    def _check_new_log(self) -> None:
        if not self.is_admitted and self._unused_replicas >= self._others:
            self._unsaved_state = _SavedState(AdmissionState.MEMBER, 0)

    def _check_membership(self) -> None:
        if self.state is not AdmissionState.JOINING:
            return
        history = self._applier.history
        is_newer = history.configuration_index > self._saved_state.index
        if is_newer and self._entry_id in history.replicas:
            self._unsaved_state = _SavedState(
                AdmissionState.MEMBER, self._saved_state.index
            )

    def _admit(
        self, sender: ids.EntryId, probe: replication_messages.JoinProbe
    ) -> None:
        replica = self._replica()
        log = replica.core.log
        is_member = sender in log.replicas
        if is_member and not probe.is_admitted:
            loguru.logger.warning(
                "replica {} has no saved state; removing it from the log",
                sender,
            )
            remaining = sorted(set(log.replicas) - {sender})
            self._propose_configuration(replica, remaining)
        elif not is_member and probe.is_admitted:
            self._propose_configuration(
                replica, sorted({*log.replicas, sender})
            )
        elif not is_member and log.configuration_index <= (
            replica.core.commit_index
        ):
            grant = replication_messages.JoinGrant(
                probe.attempt_id, log.configuration_index
            )
            self._links.send(sender, grant)

    def _propose_configuration(
        self, replica: replica_module.Replica, replicas: list[ids.EntryId]
    ) -> None:
        # A rejected change is retried with the next probe.
        failure = replica.propose_replicas(replicas)
        if isinstance(failure, errors.Failure):
            loguru.logger.debug(
                "can't change the configuration: {}", failure.reason
            )

    async def _save(self, saved: _SavedState) -> None:
        body = msgpack.packb([saved.state.value, saved.index])
        try:
            await anyio.to_thread.run_sync(
                log_files.write_checksummed, self._path, body
            )
        except OSError as error:
            failure = log_files.failure_from_os_error(error, self._path)
            loguru.logger.error(
                "can't save the admission state: {}", failure.reason
            )
            return
        self._saved_state = saved
        self._unsaved_state = None
