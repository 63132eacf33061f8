"""The replicated log of an entry, which is a replica or a learner."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import anyio
import loguru

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import admission as admission_module
from tarragoncleat.log import applied_indexes as applied_indexes_module
from tarragoncleat.log import applier as applier_module
from tarragoncleat.log import consensus
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import feed as feed_module
from tarragoncleat.log import learner as learner_module
from tarragoncleat.log import log_store
from tarragoncleat.log import proposals as proposals_module
from tarragoncleat.log import read_index
from tarragoncleat.log import replica as replica_module
from tarragoncleat.log import replication_messages

__all__ = ["AppliedProposal", "Replication", "ReportedIndex", "StateMachine"]

AppliedProposal = applier_module.AppliedProposal
ReportedIndex = applied_indexes_module.ReportedIndex
StateMachine = applier_module.StateMachine

_MS_PER_S = 1000
_REPORT_INTERVAL_S = 0.2
# Unchanged reports are sent less often in a large fleet, so that they stay
# below a tenth of the 5 KB/s allowed for control traffic.
_REPORT_INTERVAL_PER_ENTRY_S = 0.05
_MIN_REPORT_INTERVAL_S = 2.0
_MESSAGE_TYPES = (
    consensus_messages.VoteRequest,
    consensus_messages.VoteReply,
    consensus_messages.AppendRequest,
    consensus_messages.AppendReply,
    consensus_messages.SnapshotChunk,
    consensus_messages.SnapshotReply,
    replication_messages.ProposeRequest,
    replication_messages.ProposeReply,
    replication_messages.ReadIndexRequest,
    replication_messages.ReadIndexReply,
    replication_messages.FollowRequest,
    replication_messages.FollowBatch,
    replication_messages.FollowSnapshot,
    replication_messages.AppliedIndexReport,
    replication_messages.JoinProbe,
    replication_messages.JoinState,
    replication_messages.JoinGrant,
)


class Replication:
    """Combines consensus, storage, proposals, reads and learners."""

    def __init__(
        self,
        settings: settings_module.Settings,
        links: replication_messages.Links,
        timer: timer_module.TimerService,
        state_machine: applier_module.StateMachine,
    ) -> None:
        """Creates the parts; `run` opens the data folder and starts them."""
        self._settings = settings
        self._links = links
        self._timer = timer
        self._entry_id = settings.entry_id
        self._applier = applier_module.Applier(
            state_machine,
            settings.replica_ids,
            settings.consensus.snapshot_every_records,
        )
        self._replica: replica_module.Replica | None = None
        self._admission: admission_module.Admission | None = None
        self._learner = learner_module.Learner(
            settings.entry_id,
            settings.zone_by_entry,
            links,
            timer,
            self._applier,
        )
        self._feed = feed_module.Feed(
            links, timer, self._applier, self._leader_view
        )
        self._proposals = proposals_module.Proposals(
            links, timer, self._applier, self
        )
        self._reads = read_index.ReadBarriers(
            links,
            timer,
            self._applier,
            self._request_read,
            lambda: self.leader_id,
        )
        self._applied_indexes = applied_indexes_module.AppliedIndexTable(
            settings.entry_id
        )
        self._entries_by_subscriber: dict[
            ids.EntryId, tuple[ids.EntryId, ...]
        ] = {}
        self._reported_version = 0
        self._reported_s = 0.0
        self._leader_since_s: float | None = None
        self._cut_off_after_s = (
            2 * settings.consensus.election_timeout_max_ms / _MS_PER_S
        )
        self._started_s = timer.monotonic_s()
        self._started_ms = timer.wall_time_ms()
        self._changed = anyio.Event()
        self._has_caught_up = False
        self._is_open = False
        self._received = links.subscribe(*_MESSAGE_TYPES)
        self._handlers = self._message_handlers()

    def open(self) -> errors.Failure | None:
        """Reads the data folder of a replica; a learner has none.

        Returns:
            A Failure of kind STORAGE or DISK_FULL if the folder can't be used;
            the entry must not start then.
        """
        folder = self._settings.entry.data_folder
        if self._is_open or folder is None:
            return None
        store = log_store.LogStore(folder)
        saved = store.load(self._settings.replica_ids)
        if isinstance(saved, errors.Failure):
            return saved
        admission = admission_module.Admission(
            self._settings,
            self._links,
            self._timer,
            self._applier,
            self._require_replica,
        )
        failure = admission.load()
        if failure is not None:
            return failure
        self._admission = admission
        self._replica = replica_module.Replica(
            self._settings,
            self._links,
            self._timer,
            self._applier,
            store,
            saved,
            self._reads.on_confirmed,
            self._signal_change,
            lambda: admission.is_admitted,
        )
        self._is_open = True
        return None

    async def run(self) -> errors.Failure | None:
        """Replicates until cancelled.

        Returns:
            The Failure of `open`, if it was not called before and fails.
        """
        failure = self.open()
        if failure is not None:
            return failure
        try:
            async with anyio.create_task_group() as tasks:
                if self._replica is not None:
                    tasks.start_soon(self._replica.run)
                if self._admission is not None:
                    tasks.start_soon(self._admission.run)
                tasks.start_soon(self._proposals.run)
                tasks.start_soon(self._feed.run)
                tasks.start_soon(self._handle_changes)
                tasks.start_soon(self._report)
                tasks.start_soon(self._follow)
                await self._receive()
        finally:
            self._received.close()
            if self._replica is not None:
                self._replica.close()
        return None

    async def propose(
        self, payload: bytes, timeout_s: float
    ) -> applier_module.AppliedProposal | errors.Failure:
        """Replicates a payload and returns the state machine's result.

        Returns:
            The result, or a `Failure`. NO_LEADER, DISK_FULL, OVERLOADED and
            TOO_LARGE mean that the payload will never be applied; UNDECIDED
            means that it may have been, or still may be.
        """
        return await self._proposals.propose(payload, timeout_s)

    async def read_barrier(self, timeout_s: float) -> int | errors.Failure:
        """Waits until the state here includes every earlier commit.

        Returns:
            An index that is applied here, or a `Failure` of kind NO_LEADER.
        """
        return await self._reads.wait(timeout_s)

    async def change_replica(
        self, entry_id: ids.EntryId, is_replica: bool, timeout_s: float
    ) -> applier_module.AppliedProposal | errors.Failure:
        """Adds or removes a replica; only the leader can do this."""
        if self._replica is None:
            return errors.Failure(
                errors.ErrorKind.NO_LEADER, "this entry is not the leader"
            )
        replicas = set(self._replica.core.log.replicas)
        replicas = (
            replicas | {entry_id} if is_replica else replicas - {entry_id}
        )
        index = self._replica.propose_replicas(sorted(replicas))
        if isinstance(index, errors.Failure):
            return index
        future = applier_module.ProposalFuture()
        self._applier.add_future(index, self.term, future)
        await future.wait(timeout_s)
        self._applier.remove_future(index, future)
        if future.outcome is not None:
            return future.outcome
        return errors.Failure(
            errors.ErrorKind.UNDECIDED,
            "no majority confirmed the new configuration in time",
        )

    @property
    def role(self) -> consensus.Role:
        """Current role of this entry in the replicated log."""
        core = self._active_core()
        return consensus.Role.LEARNER if core is None else core.role

    @property
    def term(self) -> int:
        """The highest term that this entry knows."""
        own = self._replica.core.term if self._replica else 0
        return max(own, self._learner.term)

    @property
    def leader_id(self) -> ids.EntryId | None:
        """The known leader, if any."""
        core = self._active_core()
        return self._learner.leader_id if core is None else core.leader_id

    @property
    def is_leader(self) -> bool:
        """Whether this entry is the leader."""
        return self.role is consensus.Role.LEADER

    @property
    def leader_since_s(self) -> float | None:
        """Monotonic time when this entry became the leader, if it is."""
        return self._leader_since_s if self.is_leader else None

    @property
    def commit_index(self) -> int:
        """Highest index that this entry knows to be committed."""
        leader_commit_index = (
            self._replica.core.leader_commit_index if self._replica else 0
        )
        return max(
            leader_commit_index,
            self._learner.source_index,
            self._applier.applied_index,
        )

    @property
    def applied_index(self) -> int:
        """Index of the last applied record; it never decreases."""
        return self._applier.applied_index

    @property
    def has_caught_up(self) -> bool:
        """Whether the state was current at least once since the start.

        An entry that has just started may hold an older state than it served
        before, so it should not serve callers yet.
        """
        return self._has_caught_up

    @property
    def cut_off_since_ms(self) -> int | None:
        """Wall time of the loss of contact with a leader; None with contact."""
        age_s = self._leader_view().age_s
        if age_s <= self._cut_off_after_s:
            return None
        return self._timer.wall_time_ms() - int(age_s * _MS_PER_S)

    def applied_indexes(
        self,
    ) -> Mapping[ids.EntryId, applied_indexes_module.ReportedIndex]:
        """Returns the applied index of each entry, as last reported."""
        now_s = self._timer.monotonic_s()
        self._applied_indexes.record_own(self._applier.applied_index, now_s)
        return self._applied_indexes.view(now_s)

    def dump(self) -> dict:
        """Returns the state for debugging."""
        return {
            "role": self.role.value,
            "term": self.term,
            "leader_id": self.leader_id,
            "commit_index": self.commit_index,
            "applied_index": self.applied_index,
            "has_caught_up": self._has_caught_up,
            "cut_off_since_ms": self.cut_off_since_ms,
            "source": self._learner.source,
            "subscribers": list(self._feed.subscribers),
            "proposals": self._proposals.dump(),
            "replica": self._replica.dump() if self._replica else None,
            "admission": (
                self._admission.state.value if self._admission else None
            ),
        }

    def append(self, payloads: Sequence[bytes]) -> int | errors.Failure:
        """Appends to the log of this entry, if it is the leader."""
        if self._replica is None:
            return errors.Failure(
                errors.ErrorKind.NO_LEADER, "this entry is not the leader"
            )
        return self._replica.propose(payloads)

    def refusal(self) -> errors.Failure | None:
        """Returns why a proposal would certainly fail now, or None."""
        if self.cut_off_since_ms is not None:
            return errors.Failure(
                errors.ErrorKind.NO_LEADER,
                "this entry has no contact with a leader",
            )
        if self._replica is not None and self.leader_id is None:
            return self._replica.write_failure
        return None

    def _active_core(self) -> consensus.Consensus | None:
        replica = self._replica
        if replica is None or replica.write_failure is not None:
            return None
        if not replica.is_admitted:
            return None
        core = replica.core
        # The leader stops sending to a replica that it removes, so the replica
        # may receive its removal only by following another entry.
        is_removed = self._entry_id not in self._applier.history.replicas
        if not core.may_lead or (is_removed and core.leader_id is None):
            return None
        return core

    def _leader_view(self) -> feed_module.LeaderView:
        now_s = self._timer.monotonic_s()
        contact_s = self._learner.current_at_s
        core = self._active_core()
        if core is not None and core.role is consensus.Role.LEADER:
            contact_s = now_s
        elif core is not None and core.leader_contact_s is not None:
            contact_s = max(core.leader_contact_s, contact_s or 0.0)
        age_s = now_s - (self._started_s if contact_s is None else contact_s)
        return feed_module.LeaderView(self.term, self.leader_id, age_s)

    def _request_read(self, token: int) -> bool:
        return self._replica is not None and self._replica.request_read(token)

    def _require_replica(self) -> replica_module.Replica:
        assert self._replica is not None
        return self._replica

    def _signal_change(self) -> None:
        self._changed.set()

    async def _handle_changes(self) -> None:
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            self._update_leadership()
            self._feed.push()
            self._proposals.reply_completed()

    def _update_leadership(self) -> None:
        if not self.is_leader:
            self._leader_since_s = None
        elif self._leader_since_s is None:
            self._leader_since_s = self._timer.monotonic_s()
            loguru.logger.info(
                "became the leader of the replicated log", term=self.term
            )
        if self.leader_id is not None:
            self._proposals.retry_queued()
        is_current = self._leader_view().age_s <= self._cut_off_after_s
        if is_current and self.leader_id is not None:
            self._has_caught_up |= self.applied_index >= self.commit_index

    async def _receive(self) -> None:
        async for received in self._received:
            handler = self._handlers.get(type(received.message), self._step)
            handler(received.sender, received.message)
            self._changed.set()

    async def _follow(self) -> None:
        async for _ in self._timer.subscribe(feed_module.FOLLOW_INTERVAL_S):
            core = self._active_core()
            is_cut_off = self._leader_view().age_s > self._cut_off_after_s
            if core is None or (is_cut_off and core.leader_id is None):
                self._learner.tick(self._applier.history.replicas)
            else:
                self._learner.stop()

    async def _report(self) -> None:
        async for now_s in self._timer.subscribe(_REPORT_INTERVAL_S):
            self._applied_indexes.record_own(self._applier.applied_index, now_s)
            count = len(self._settings.zone_by_entry)
            interval_s = max(
                _MIN_REPORT_INTERVAL_S, count * _REPORT_INTERVAL_PER_ENTRY_S
            )
            has_changed = (
                self._applied_indexes.version != self._reported_version
            )
            if has_changed or now_s - self._reported_s >= interval_s:
                self._reported_version = self._applied_indexes.version
                self._reported_s = now_s
                self._send_reports(now_s)

    def _send_reports(self, now_s: float) -> None:
        parent = self._learner.source or self.leader_id
        children = set(self._feed.subscribers)
        core = self._active_core()
        if core is not None and core.role is consensus.Role.LEADER:
            parent = None
            children |= set(core.log.replicas) - {self._entry_id}
        if parent is not None and parent != self._entry_id:
            rows = [self._entry_id]
            for entry_id in self._feed.subscribers:
                rows += self._entries_by_subscriber.get(entry_id, ())
            self._links.send(parent, self._applied_indexes.report(now_s, rows))
        for entry_id in children:
            self._links.send(entry_id, self._applied_indexes.report(now_s))

    def _on_applied_index_report(
        self,
        sender: ids.EntryId,
        report: replication_messages.AppliedIndexReport,
    ) -> None:
        self._applied_indexes.merge(report, self._timer.monotonic_s())
        if sender in self._feed.subscribers:
            entry_ids = tuple(row.entry_id for row in report.rows)
            self._entries_by_subscriber[sender] = entry_ids

    def _message_handlers(
        self,
    ) -> dict[type, Callable[[ids.EntryId, Any], None]]:
        messages = replication_messages
        return {
            messages.ProposeRequest: self._proposals.on_request,
            messages.ProposeReply: self._proposals.on_reply,
            messages.ReadIndexRequest: self._reads.on_request,
            messages.ReadIndexReply: self._reads.on_reply,
            messages.FollowRequest: self._feed.on_request,
            messages.FollowBatch: self._learner.on_batch,
            messages.FollowSnapshot: self._learner.on_snapshot,
            messages.AppliedIndexReport: self._on_applied_index_report,
            messages.JoinProbe: self._on_join_message,
            messages.JoinState: self._on_join_message,
            messages.JoinGrant: self._on_join_message,
        }

    def _on_join_message(self, sender: ids.EntryId, message: Any) -> None:
        admission = self._admission
        if admission is None:
            return
        if isinstance(message, replication_messages.JoinProbe):
            admission.on_probe(sender, message)
        elif isinstance(message, replication_messages.JoinState):
            admission.on_state(sender, message)
        else:
            admission.on_grant(sender, message)

    def _step(
        self, sender: ids.EntryId, message: consensus_messages.CoreMessage
    ) -> None:
        # Drops messages that were sent before this replica was removed.
        if self._replica is not None:
            self._replica.step(message)
