"""Admits a replica with an empty disk to the replicated log.

A replica that lost its disk has forgotten its votes and the records that it
acknowledged. If it took part again at once, it could help to elect a leader
that lacks a committed record. So it takes no part until one of these holds:

- every other replica has answered, since this process started, that it never
  took part: the log is new;
- the leader has removed it from the configuration. The removal is committed by
  a majority of the others, so that no majority depends on what was forgotten.
  The replica then joins again like a new one.
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
    """How far a replica takes part in the replicated log."""

    WAITING = "waiting"
    JOINING = "joining"
    MEMBER = "member"


@dataclasses.dataclass(frozen=True, slots=True)
class _Saved:
    """State on disk; a member is in a configuration after `index`."""

    state: AdmissionState
    index: int


class Admission:
    """Decides whether this replica votes, and admits others as the leader."""

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
            timer: Ticks of the probes.
            applier: Tells which configuration is committed.
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
        # Answers to an earlier process of this entry are told by this id.
        self._attempt_id = uuid.uuid4().hex
        self._unused: set[ids.EntryId] = set()
        self._saved = _Saved(AdmissionState.WAITING, 0)
        self._next: _Saved | None = None

    @property
    def state(self) -> AdmissionState:
        """How far this replica takes part."""
        return self._saved.state

    @property
    def is_admitted(self) -> bool:
        """Whether this replica votes and acknowledges records."""
        return self._saved.state is not AdmissionState.WAITING

    def load(self) -> errors.Failure | None:
        """Reads the state; without a file the replica waits."""
        if not self._path.exists():
            return None
        body = log_files.read_sealed(self._path)
        if isinstance(body, errors.Failure):
            return body
        state, index = msgpack.unpackb(body)
        self._saved = _Saved(AdmissionState(state), index)
        return None

    async def run(self) -> None:
        """Asks to be admitted until this replica is a member."""
        self._check_new_log()
        async for _ in self._timer.subscribe(self._probe_interval_s):
            self._check_membership()
            if self._next is not None:
                await self._save(self._next)
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
        """Answers a replica that asks to be admitted."""
        core = self._replica().core
        is_unused = core.term == 0 and core.log.last_index == 0
        answer = replication_messages.JoinState(probe.attempt_id, is_unused)
        self._links.send(sender, answer)
        if core.role is consensus.Role.LEADER and sender in self._others:
            self._admit(sender, probe)

    def on_state(
        self, sender: ids.EntryId, answer: replication_messages.JoinState
    ) -> None:
        """Takes another replica's answer."""
        if answer.attempt_id == self._attempt_id and answer.is_unused:
            self._unused.add(sender)
            self._check_new_log()

    def on_grant(
        self, sender: ids.EntryId, grant: replication_messages.JoinGrant
    ) -> None:
        """Takes the leader's word that this replica was removed."""
        if grant.attempt_id == self._attempt_id and not self.is_admitted:
            loguru.logger.info("admitted to the log by {}", sender)
            self._next = _Saved(AdmissionState.JOINING, grant.index)

    def _check_new_log(self) -> None:
        if not self.is_admitted and self._unused >= self._others:
            self._next = _Saved(AdmissionState.MEMBER, 0)

    def _check_membership(self) -> None:
        if self.state is not AdmissionState.JOINING:
            return
        history = self._applier.history
        is_past = history.configuration_index > self._saved.index
        if is_past and self._entry_id in history.replicas:
            self._next = _Saved(AdmissionState.MEMBER, self._saved.index)

    def _admit(
        self, sender: ids.EntryId, probe: replication_messages.JoinProbe
    ) -> None:
        replica = self._replica()
        log = replica.core.log
        is_member = sender in log.replicas
        if is_member and not probe.is_admitted:
            loguru.logger.warning(
                "replica {} has no disk state; removing it from the log", sender
            )
            rest = sorted(set(log.replicas) - {sender})
            self._propose(replica, rest)
        elif not is_member and probe.is_admitted:
            self._propose(replica, sorted({*log.replicas, sender}))
        elif not is_member and log.configuration_index <= (
            replica.core.commit_index
        ):
            grant = replication_messages.JoinGrant(
                probe.attempt_id, log.configuration_index
            )
            self._links.send(sender, grant)

    def _propose(
        self, replica: replica_module.Replica, replicas: list[ids.EntryId]
    ) -> None:
        # A refused change is tried again with the next probe.
        failure = replica.propose_replicas(replicas)
        if isinstance(failure, errors.Failure):
            loguru.logger.debug("replicas not changed: {}", failure.reason)

    async def _save(self, saved: _Saved) -> None:
        body = msgpack.packb([saved.state.value, saved.index])
        try:
            await anyio.to_thread.run_sync(
                log_files.write_sealed, self._path, body
            )
        except OSError as error:
            failure = log_files.failure_of(error, self._path)
            loguru.logger.error("not admitted yet: {}", failure.reason)
            return
        self._saved = saved
        self._next = None
