"""The Raft consensus algorithm as a state machine without I/O.

`Consensus` performs no I/O and reads no clock. Its caller passes in messages
and the current time, does the work that `take_output` returns in the order
that `consensus_output.Output` states, and reports completed syncs.
"""

from collections.abc import Collection, Sequence
import dataclasses
import enum
import functools
import random

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus_leader
from tarragoncleat.log import consensus_log
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import consensus_output
from tarragoncleat.log import consensus_replica

__all__ = ["Consensus", "Role", "SavedState"]

_MAX_ELECTION_TIMEOUT_FACTOR = 4


class Role(enum.Enum):
    """Role of an entry in the replicated log."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"


@dataclasses.dataclass(frozen=True, slots=True)
class SavedState:
    """State that a replica reads from its disk when it starts.

    `commit_index` is the last index that was known to be committed.
    """

    term_vote: consensus_messages.TermVote
    snapshot: consensus_messages.Snapshot
    records: Sequence[consensus_messages.Record] = ()
    commit_index: int = 0


class Consensus:
    """The consensus state of one replica."""

    def __init__(
        self,
        entry_id: ids.EntryId,
        timing: consensus_output.Timing,
        generator: random.Random,
        saved: SavedState,
        now: consensus_output.Now,
    ) -> None:
        """Starts as a follower from the state on disk."""
        self._entry_id = entry_id
        self._timing = timing
        self._random = generator
        self._term_vote = saved.term_vote
        self._log = consensus_log.Log(saved.snapshot, saved.records)
        self._role = Role.FOLLOWER
        self._leader_id: ids.EntryId | None = None
        self._leader_contact_s: float | None = None
        self._leadership: consensus_leader.Leadership | None = None
        self._votes: set[ids.EntryId] = set()
        self._failed_elections = 0
        self._output = consensus_output.Output()
        self._replica_log = consensus_replica.ReplicaLog(
            self._log, saved.commit_index, self._output
        )
        self._election_due_s = 0.0
        self._heartbeat_due_s = 0.0
        self._postpone_election(now)

    @property
    def role(self) -> Role:
        """Current role."""
        return self._role

    @property
    def term(self) -> int:
        """Current term."""
        return self._term_vote.term

    @property
    def leader_id(self) -> ids.EntryId | None:
        """The leader of the current term, when it is known."""
        return self._leader_id

    @property
    def commit_index(self) -> int:
        """Highest index that is known to be committed."""
        return self._replica_log.commit_index

    @property
    def leader_contact_s(self) -> float | None:
        """Time of the last message from a leader; None before the first."""
        return self._leader_contact_s

    @property
    def leader_commit_index(self) -> int:
        """Highest index that a leader has reported as committed."""
        return self._replica_log.leader_commit_index

    @property
    def log(self) -> consensus_log.Log:
        """The records in memory; callers must not change them."""
        return self._log

    @property
    def is_member(self) -> bool:
        """Whether this entry is in the latest configuration."""
        return self._entry_id in self._log.replicas

    def contact_times_s(self) -> dict[ids.EntryId, float]:
        """Returns the time of each replica's last reply; empty on followers."""
        if self._leadership is None:
            return {}
        return self._leadership.contact_times_s()

    def leadership_confirmed_s(self) -> float | None:
        """Returns until when this entry certainly led; None if it doesn't lead.

        No later leader was elected before that time.
        """
        if self._leadership is None:
            return None
        return self._leadership.confirmed_s()

    @property
    def may_lead(self) -> bool:
        """Whether this entry may become a candidate.

        A replica whose removal is not committed yet may be the only one whose
        log is long enough for it to be elected and to commit the removal.
        """
        is_configuration_committed = (
            self._log.configuration_index <= self.commit_index
        )
        return self.is_member or not is_configuration_committed

    def take_output(self) -> consensus_output.Output:
        """Returns the output since the last call, and starts a new one."""
        taken = self._output
        self._output = consensus_output.Output()
        self._replica_log.set_output(self._output)
        if self._leadership is not None:
            self._leadership.set_output(self._output)
        return taken

    def take_immediate_messages(self) -> list[consensus_output.Envelope]:
        """Removes and returns the messages that may be sent before any sync."""
        taken = self._output.immediate_messages
        self._output.immediate_messages = []
        return taken

    def take_confirmed_reads(self) -> list[consensus_output.ConfirmedRead]:
        """Removes and returns the reads that a majority has confirmed."""
        taken = self._output.reads
        self._output.reads = []
        return taken

    def has_deferred_work(self) -> bool:
        """Whether the output has work that needs or follows a sync."""
        return self._output.has_deferred_work()

    def tick(self, now: consensus_output.Now) -> None:
        """Sends due heartbeats, and starts an election when one is due."""
        if self._leadership is not None:
            self._tick_leader(self._leadership, now)
        elif now.monotonic_s >= self._election_due_s:
            self._start_election(now)

    @functools.singledispatchmethod
    def step(
        self,
        message: consensus_messages.CoreMessage,
        now: consensus_output.Now,
    ) -> None:
        """Processes a message from another replica."""
        raise TypeError(f"not a consensus message: {type(message).__name__}")

    def propose(
        self, payloads: Sequence[bytes], now: consensus_output.Now
    ) -> int | errors.Failure:
        """Appends commands to the log, if this entry is the leader.

        Returns:
            The index of the first one, or a `Failure` of kind NO_LEADER.
        """
        leadership = self._leadership
        if leadership is None:
            return self._not_leader()
        first = self._log.last_index + 1
        for payload in payloads:
            self._append(consensus_messages.RecordKind.COMMAND, payload, now)
        leadership.send_pending_records(self.commit_index, now)
        return first

    def propose_replicas(
        self, replicas: Sequence[ids.EntryId], now: consensus_output.Now
    ) -> int | errors.Failure:
        """Appends a configuration that adds or removes one replica.

        Returns:
            The index of the record, or a `Failure`: NO_LEADER when this entry
            is not the leader, CONFLICT when an earlier change or the first
            record of the term is not committed yet, BAD_REQUEST when the
            change adds or removes more than one replica, or none.
        """
        leadership = self._leadership
        if leadership is None:
            return self._not_leader()
        # Any two majorities of configurations that differ by one replica
        # overlap, but this is safe only when the older configuration is
        # committed and the leader has committed a record of its own term.
        required_index = max(
            leadership.first_index, self._log.configuration_index
        )
        if self.commit_index < required_index:
            return errors.Failure(
                errors.ErrorKind.CONFLICT,
                "an earlier change of the replicas is not committed yet",
            )
        if len(set(replicas) ^ set(self._log.replicas)) != 1 or not replicas:
            return errors.Failure(
                errors.ErrorKind.BAD_REQUEST,
                "a change must add or remove exactly one replica",
            )
        index = self._append(
            consensus_messages.RecordKind.CONFIGURATION,
            consensus_messages.encode_configuration(replicas),
            now,
        )
        leadership.update_members(now)
        leadership.send_pending_records(self.commit_index, now)
        return index

    def set_observers(
        self, observers: Collection[ids.EntryId], now: consensus_output.Now
    ) -> None:
        """Sends the log also to these nodes, while this entry is the leader.

        A node that has the log already can become a replica without holding up
        the commits that then need its confirmation.
        """
        if self._leadership is not None:
            self._leadership.set_observers(observers, now)

    def match_index(self, entry_id: ids.EntryId) -> int:
        """Returns the last index that a follower confirmed; 0 if unknown."""
        if self._leadership is None:
            return 0
        return self._leadership.match_index(entry_id)

    def request_read(self, token: int, now: consensus_output.Now) -> bool:
        """Requests a read index; returns False when this is not the leader.

        The confirmed read appears in `Output.reads`, unless this entry stops
        leading before that.
        """
        leadership = self._leadership
        if leadership is None:
            return False
        leadership.request_read(token, self.commit_index)
        leadership.send_heartbeats(self.commit_index, now)
        leadership.release_reads()
        return True

    def acknowledge_sync(
        self, output: consensus_output.Output, now: consensus_output.Now
    ) -> None:
        """Processes the completed sync of the last `take_output`."""
        is_candidate = self._role is Role.CANDIDATE
        if is_candidate and output.term_vote == self._term_vote:
            self._votes.add(self._entry_id)
            self._count_votes(now)
        synced_index = self._replica_log.mark_synced(output)
        leadership = self._leadership
        if leadership is not None and synced_index:
            leadership.acknowledge_sync(synced_index)
            self._advance_commit(leadership, now)

    def compact(
        self, snapshot: consensus_messages.Snapshot, keep_records: int
    ) -> None:
        """Drops the records of a snapshot, except the last `keep_records`."""
        if snapshot.index <= self.commit_index:
            keep_from = snapshot.index + 1 - keep_records
            self._log.compact(snapshot, keep_from)

    def report_leader_unreachable(self, now: consensus_output.Now) -> None:
        """Brings the election forward when the link to the leader broke.

        The pre-vote protects a working leader: replicas that still have
        contact with it don't grant their vote.
        """
        if self._leadership is None and self._leader_id is not None:
            self._leader_id = None
            spread_s = self._timing.election_min_s / 2
            due_s = now.monotonic_s + self._random.uniform(0, spread_s)
            self._election_due_s = min(self._election_due_s, due_s)

    def resign(self, now: consensus_output.Now) -> None:
        """Stops leading, for example when the disk is full."""
        if self._leadership is not None:
            self._become_follower(self.term, None, now)

    def _not_leader(self) -> errors.Failure:
        return errors.Failure(
            errors.ErrorKind.NO_LEADER, "this entry is not the leader"
        )

    def _tick_leader(
        self,
        leadership: consensus_leader.Leadership,
        now: consensus_output.Now,
    ) -> None:
        if not leadership.has_quorum_contact(now):
            self._become_follower(self.term, None, now)
        elif now.monotonic_s >= self._heartbeat_due_s:
            self._heartbeat_due_s = now.monotonic_s + self._timing.heartbeat_s
            leadership.send_heartbeats(self.commit_index, now)
            leadership.release_reads()

    def _postpone_election(self, now: consensus_output.Now) -> None:
        timeout_s = self._random.uniform(
            self._timing.election_min_s, self._timing.election_max_s
        )
        # Votes are synced before they are sent. If that takes longer than the
        # timeout, every election would end before its votes arrive, so the
        # timeout grows with each failed election.
        factor = min(2**self._failed_elections, _MAX_ELECTION_TIMEOUT_FACTOR)
        self._election_due_s = now.monotonic_s + factor * timeout_s

    def _has_leader_contact(self, now: consensus_output.Now) -> bool:
        if self._leadership is not None:
            return True
        if self._leader_id is None or self._leader_contact_s is None:
            return False
        silence_s = now.monotonic_s - self._leader_contact_s
        return silence_s < self._timing.election_min_s

    def _set_term(self, term: int, voted_for: ids.EntryId | None) -> None:
        vote = consensus_messages.TermVote(term, voted_for)
        if vote != self._term_vote:
            self._term_vote = vote
            self._output.term_vote = vote

    def _become_follower(
        self,
        term: int,
        leader_id: ids.EntryId | None,
        now: consensus_output.Now,
    ) -> None:
        if term > self.term:
            self._set_term(term, None)
        self._role = Role.FOLLOWER
        self._leadership = None
        self._leader_id = leader_id
        self._votes = set()
        self._postpone_election(now)

    def _start_election(self, now: consensus_output.Now) -> None:
        if self._role is Role.CANDIDATE:
            self._failed_elections += 1
        self._postpone_election(now)
        self._leader_id = None
        self._role = Role.FOLLOWER
        if self.may_lead:
            self._role = Role.PRE_CANDIDATE
            self._collect_votes(now)

    def _collect_votes(self, now: consensus_output.Now) -> None:
        pre_vote = self._role is Role.PRE_CANDIDATE
        # This replica's own vote counts once it is synced: after a crash
        # before that, it could vote for another candidate in the same term.
        self._votes = {self._entry_id} if pre_vote else set()
        request = consensus_messages.VoteRequest(
            self.term + 1 if pre_vote else self.term,
            self._entry_id,
            self._log.last_index,
            self._log.last_term,
            pre_vote,
        )
        for member in self._log.replicas:
            if member != self._entry_id:
                self._send(member, request)
        if pre_vote:
            self._count_votes(now)

    def _count_votes(self, now: consensus_output.Now) -> None:
        granted = self._votes & set(self._log.replicas)
        if 2 * len(granted) <= len(self._log.replicas):
            return
        if self._role is Role.PRE_CANDIDATE:
            self._role = Role.CANDIDATE
            self._set_term(self.term + 1, self._entry_id)
            self._collect_votes(now)
        else:
            self._become_leader(now)

    def _become_leader(self, now: consensus_output.Now) -> None:
        self._role = Role.LEADER
        self._failed_elections = 0
        self._leader_id = self._entry_id
        leadership = consensus_leader.Leadership(
            self._entry_id,
            self.term,
            self._log,
            self._timing,
            now,
            self._output,
        )
        self._leadership = leadership
        self._append(consensus_messages.RecordKind.NO_OP, b"", now)
        self._heartbeat_due_s = now.monotonic_s + self._timing.heartbeat_s
        leadership.send_heartbeats(self.commit_index, now)

    def _append(
        self,
        kind: consensus_messages.RecordKind,
        payload: bytes,
        now: consensus_output.Now,
    ) -> int:
        record = consensus_messages.Record(
            self._log.last_index + 1,
            self.term,
            max(now.wall_ms, self._log.last_time_ms),
            kind,
            payload,
        )
        self._replica_log.append(record)
        return record.index

    def _advance_commit(
        self,
        leadership: consensus_leader.Leadership,
        now: consensus_output.Now,
    ) -> None:
        index = leadership.commit_index()
        if index <= self.commit_index:
            return
        self._replica_log.commit(index)
        leadership.send_commit_index(index, now)
        is_configuration_committed = self._log.configuration_index <= index
        if is_configuration_committed and not self.is_member:
            self._become_follower(self.term, None, now)

    def _send(
        self, to: ids.EntryId, message: consensus_messages.CoreMessage
    ) -> None:
        self._output.deferred_messages.append(
            consensus_output.Envelope(to, message)
        )

    @step.register
    def _on_vote_request(
        self,
        request: consensus_messages.VoteRequest,
        now: consensus_output.Now,
    ) -> None:
        # A replica that has contact with a leader ignores candidates, so that
        # a partitioned or removed replica can't depose a working leader.
        if self._has_leader_contact(now):
            return
        if request.term > self.term and not request.pre_vote:
            self._become_follower(request.term, None, now)
        is_log_current = (request.last_term, request.last_index) >= (
            self._log.last_term,
            self._log.last_index,
        )
        if request.pre_vote:
            granted = is_log_current and request.term > self.term
            if granted and self._role is Role.FOLLOWER:
                # Leaves time for the candidate's election; starting another
                # one could split the votes.
                self._postpone_election(now)
        else:
            may_vote = self._term_vote.voted_for in (None, request.candidate)
            granted = is_log_current and request.term == self.term and may_vote
            if granted:
                self._set_term(self.term, request.candidate)
                self._postpone_election(now)
        term = request.term if granted else self.term
        reply = consensus_messages.VoteReply(
            term, self._entry_id, granted, request.pre_vote
        )
        self._send(request.candidate, reply)

    @step.register
    def _on_vote_reply(
        self, reply: consensus_messages.VoteReply, now: consensus_output.Now
    ) -> None:
        if reply.pre_vote and reply.granted:
            expected = self._role is Role.PRE_CANDIDATE
            if not expected or reply.term != self.term + 1:
                return
        elif reply.term > self.term:
            self._become_follower(reply.term, None, now)
            return
        elif self._role is not Role.CANDIDATE or reply.term != self.term:
            return
        if reply.granted:
            self._votes.add(reply.voter)
            self._count_votes(now)

    def _accept_leader(
        self, term: int, leader: ids.EntryId, now: consensus_output.Now
    ) -> bool:
        if term < self.term:
            return False
        if term > self.term or self._role is not Role.FOLLOWER:
            self._become_follower(term, leader, now)
        self._leader_id = leader
        self._failed_elections = 0
        self._leader_contact_s = now.monotonic_s
        self._postpone_election(now)
        return True

    @step.register
    def _on_append_request(
        self,
        request: consensus_messages.AppendRequest,
        now: consensus_output.Now,
    ) -> None:
        accepted = self._accept_leader(request.term, request.leader, now)
        match_index = 0
        if accepted:
            accepted, match_index = self._replica_log.append_from_leader(
                request
            )
        # The reply to a heartbeat doesn't wait for the disk, so that a slow
        # disk doesn't look like a lost follower; it confirms only records
        # that are synced already.
        is_immediate = accepted and not request.records
        if is_immediate:
            match_index = min(match_index, self._replica_log.synced_index)
        reply = consensus_messages.AppendReply(
            self.term,
            self._entry_id,
            accepted,
            match_index,
            request.sequence,
        )
        envelope = consensus_output.Envelope(request.leader, reply)
        output = self._output
        (
            output.immediate_messages
            if is_immediate
            else output.deferred_messages
        ).append(envelope)

    @step.register
    def _on_snapshot_chunk(
        self,
        chunk: consensus_messages.SnapshotChunk,
        now: consensus_output.Now,
    ) -> None:
        if not self._accept_leader(chunk.term, chunk.leader, now):
            self._reply_to_snapshot(chunk, accepted=False, match_index=0)
            return
        if chunk.index <= self.commit_index:
            self._reply_to_snapshot(chunk, True, self.commit_index)
            return
        received_bytes = self._replica_log.receive_chunk(chunk)
        if received_bytes >= chunk.size:
            self._reply_to_snapshot(chunk, True, chunk.index)
            return
        reply = consensus_messages.SnapshotReply(
            self.term,
            self._entry_id,
            chunk.index,
            received_bytes,
            chunk.sequence,
        )
        self._send(chunk.leader, reply)

    def _reply_to_snapshot(
        self,
        chunk: consensus_messages.SnapshotChunk,
        accepted: bool,
        match_index: int,
    ) -> None:
        reply = consensus_messages.AppendReply(
            self.term, self._entry_id, accepted, match_index, chunk.sequence
        )
        self._send(chunk.leader, reply)

    @step.register(consensus_messages.AppendReply)
    @step.register(consensus_messages.SnapshotReply)
    def _on_reply(
        self,
        reply: consensus_messages.AppendReply
        | consensus_messages.SnapshotReply,
        now: consensus_output.Now,
    ) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, None, now)
        leadership = self._leadership
        if leadership is None or reply.term != self.term:
            return
        if isinstance(reply, consensus_messages.SnapshotReply):
            leadership.on_snapshot_reply(reply, now)
        else:
            leadership.on_append_reply(reply, self.commit_index, now)
            self._advance_commit(leadership, now)
        if self._leadership is not None:
            leadership.release_reads()
