"""The replicated log as a pure function of messages and time.

`Consensus` performs no I/O and reads no clock. Its caller passes messages and
the time in, does the work of `take_output` in the order that
`consensus_output.Output` states, and reports finished syncs.
"""

from collections.abc import Sequence
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

__all__ = ["Consensus", "Role", "Saved"]

_MAX_ELECTION_FACTOR = 4


class Role(enum.Enum):
    """What an entry does in the replicated log."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"


@dataclasses.dataclass(frozen=True, slots=True)
class Saved:
    """What a replica reads from its disk when it starts.

    `commit_index` is the last index that was known to be committed.
    """

    term_vote: consensus_messages.TermVote
    snapshot: consensus_messages.Snapshot
    records: Sequence[consensus_messages.Record] = ()
    commit_index: int = 0


class Consensus:
    """One replica's part in the replicated log."""

    def __init__(
        self,
        entry_id: ids.EntryId,
        times: consensus_output.Times,
        generator: random.Random,
        saved: Saved,
        now: consensus_output.Now,
    ) -> None:
        """Starts as a follower from what the disk holds."""
        self._entry_id = entry_id
        self._times = times
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
        """When the last message of a leader arrived; None before the first."""
        return self._leader_contact_s

    @property
    def leader_commit_index(self) -> int:
        """Highest index that a leader has reported as committed."""
        return self._replica_log.leader_commit_index

    @property
    def log(self) -> consensus_log.Log:
        """The records in memory, for reading."""
        return self._log

    @property
    def is_member(self) -> bool:
        """Whether this entry is in the latest configuration."""
        return self._entry_id in self._log.replicas

    def contact_times_s(self) -> dict[ids.EntryId, float]:
        """Returns when each other replica answered last; empty on followers."""
        if self._leadership is None:
            return {}
        return self._leadership.contact_times_s()

    @property
    def may_lead(self) -> bool:
        """Whether this entry takes part in elections as a candidate.

        A replica whose removal is not committed yet may be the only one with
        a log that is long enough to be elected and to commit it.
        """
        is_settled = self._log.configuration_index <= self.commit_index
        return self.is_member or not is_settled

    def take_output(self) -> consensus_output.Output:
        """Returns the work since the last call and starts a new collection."""
        taken = self._output
        self._output = consensus_output.Output()
        self._replica_log.use_output(self._output)
        if self._leadership is not None:
            self._leadership.use_output(self._output)
        return taken

    def take_early(self) -> list[consensus_output.Envelope]:
        """Returns the messages that may be sent before any sync."""
        taken = self._output.early
        self._output.early = []
        return taken

    def take_reads(self) -> list[consensus_output.ReadyRead]:
        """Returns the reads that a majority has confirmed."""
        taken = self._output.reads
        self._output.reads = []
        return taken

    def must_wait(self) -> bool:
        """Whether `take_output` holds work that needs or follows a sync."""
        return self._output.must_wait()

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
        """Takes a message from another replica."""
        raise TypeError(f"not a message of the log: {type(message).__name__}")

    def propose(
        self, payloads: Sequence[bytes], now: consensus_output.Now
    ) -> int | errors.Failure:
        """Appends commands to the log of the leader.

        Returns:
            The index of the first one, or a `Failure` of kind NO_LEADER.
        """
        leadership = self._leadership
        if leadership is None:
            return self._not_leader()
        first = self._log.last_index + 1
        for payload in payloads:
            self._append(consensus_messages.RecordKind.COMMAND, payload, now)
        leadership.send_news(self.commit_index, now)
        return first

    def propose_replicas(
        self, replicas: Sequence[ids.EntryId], now: consensus_output.Now
    ) -> int | errors.Failure:
        """Appends a configuration that adds or removes one replica.

        Returns:
            The index of the record, or a `Failure`: NO_LEADER when this entry
            does not lead, CONFLICT when an earlier change or the first record
            of the term is not committed yet, BAD_REQUEST when the change is
            not one replica.
        """
        leadership = self._leadership
        if leadership is None:
            return self._not_leader()
        # Two configurations that differ by one replica share a member in any
        # pair of majorities, but only when the older one is committed and the
        # leader has committed a record of its own term.
        settled = max(leadership.first_index, self._log.configuration_index)
        if self.commit_index < settled:
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
        leadership.send_news(self.commit_index, now)
        return index

    def request_read(self, token: int, now: consensus_output.Now) -> bool:
        """Asks for a read index; returns False when this is no leader.

        The answer appears in `Output.reads`; it never does when the
        leadership is lost first.
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
        """Reports that the work of the last `take_output` is synced."""
        is_candidate = self._role is Role.CANDIDATE
        if is_candidate and output.term_vote == self._term_vote:
            self._votes.add(self._entry_id)
            self._count_votes(now)
        synced_index = self._replica_log.acknowledge(output)
        leadership = self._leadership
        if leadership is not None and synced_index:
            leadership.acknowledge_sync(synced_index)
            self._advance_commit(leadership, now)

    def compact(
        self, snapshot: consensus_messages.Snapshot, keep_records: int
    ) -> None:
        """Drops the records that a saved snapshot covers, but the last ones."""
        if snapshot.index <= self.commit_index:
            keep_from = snapshot.index + 1 - keep_records
            self._log.compact(snapshot, keep_from)

    def note_leader_lost(self, now: consensus_output.Now) -> None:
        """Brings the election forward when the link to the leader broke.

        The pre-vote keeps a working leader: replicas that still have contact
        with it refuse.
        """
        if self._leadership is None and self._leader_id is not None:
            self._leader_id = None
            spread_s = self._times.election_min_s / 2
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

    # Roles and elections.

    def _tick_leader(
        self,
        leadership: consensus_leader.Leadership,
        now: consensus_output.Now,
    ) -> None:
        if not leadership.has_quorum_contact(now):
            self._become_follower(self.term, None, now)
        elif now.monotonic_s >= self._heartbeat_due_s:
            self._heartbeat_due_s = now.monotonic_s + self._times.heartbeat_s
            leadership.send_heartbeats(self.commit_index, now)
            leadership.release_reads()

    def _postpone_election(self, now: consensus_output.Now) -> None:
        timeout_s = self._random.uniform(
            self._times.election_min_s, self._times.election_max_s
        )
        # Votes wait for disks. When these are slower than the timeout, every
        # election would end before its votes arrive; longer ones succeed.
        factor = min(2**self._failed_elections, _MAX_ELECTION_FACTOR)
        self._election_due_s = now.monotonic_s + factor * timeout_s

    def _has_leader_contact(self, now: consensus_output.Now) -> bool:
        if self._leadership is not None:
            return True
        if self._leader_id is None or self._leader_contact_s is None:
            return False
        silence_s = now.monotonic_s - self._leader_contact_s
        return silence_s < self._times.election_min_s

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
        # The own vote counts once it is synced; until then a crash could
        # forget it and give the vote of this term to another candidate.
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
            self._entry_id, self.term, self._log, self._times, now, self._output
        )
        self._leadership = leadership
        self._append(consensus_messages.RecordKind.NO_OP, b"", now)
        self._heartbeat_due_s = now.monotonic_s + self._times.heartbeat_s
        leadership.send_heartbeats(self.commit_index, now)

    # Log.

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
        leadership.announce_commit(index, now)
        settled = self._log.configuration_index <= index
        if settled and not self.is_member:
            self._become_follower(self.term, None, now)

    def _send(
        self, to: ids.EntryId, message: consensus_messages.CoreMessage
    ) -> None:
        self._output.messages.append(consensus_output.Envelope(to, message))

    # Messages.

    @step.register
    def _on_vote_request(
        self,
        request: consensus_messages.VoteRequest,
        now: consensus_output.Now,
    ) -> None:
        # A replica that has contact with a leader ignores candidates, so that
        # one that was cut off or removed can't depose a working leader.
        if self._has_leader_contact(now):
            return
        if request.term > self.term and not request.pre_vote:
            self._become_follower(request.term, None, now)
        up_to_date = (request.last_term, request.last_index) >= (
            self._log.last_term,
            self._log.last_index,
        )
        if request.pre_vote:
            granted = up_to_date and request.term > self.term
            if granted and self._role is Role.FOLLOWER:
                # Leaves time for the other one's election, instead of
                # splitting the votes with an own one.
                self._postpone_election(now)
        else:
            free = self._term_vote.voted_for in (None, request.candidate)
            granted = up_to_date and request.term == self.term and free
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
            accepted, match_index = self._replica_log.store(request)
        # A heartbeat is answered without waiting for the disk, so that a slow
        # disk doesn't look like a lost follower; it confirms synced records
        # only.
        is_early = accepted and not request.records
        if is_early:
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
        (output.early if is_early else output.messages).append(envelope)

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
        arrived = self._replica_log.receive_chunk(chunk)
        if arrived >= chunk.size:
            self._reply_to_snapshot(chunk, True, chunk.index)
            return
        reply = consensus_messages.SnapshotReply(
            self.term, self._entry_id, chunk.index, arrived, chunk.sequence
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
