"""A group of consensus cores with a simulated clock, network and disks."""

from collections.abc import Callable, Iterable
import dataclasses
import random
from typing import Any

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import consensus_output

__all__ = ["Simulation"]

_TIMING = consensus_output.Timing(0.1, 0.5, 1.0)
_START_MS = 1_000_000


@dataclasses.dataclass
class _Disk:
    """The state after the last completed sync, which survives a crash."""

    term_vote: consensus_messages.TermVote
    snapshot: consensus_messages.Snapshot
    records: dict[int, consensus_messages.Record]
    commit_index: int = 0


class Simulation:
    """Runs cores and checks the safety of the log after every action."""

    def __init__(self, names: Iterable[str], replicas: Iterable[str]) -> None:
        self.now_s = 10.0
        self.names = [ids.EntryId(name) for name in names]
        members = tuple(ids.EntryId(name) for name in replicas)
        first = consensus_messages.Snapshot(0, 0, 0, members, b"")
        self.random = random.Random(7)
        self.disks = {
            name: _Disk(consensus_messages.TermVote(), first, {})
            for name in self.names
        }
        self.cores = {name: self._start(name) for name in self.names}
        self.network: list[tuple[ids.EntryId, consensus_output.Envelope]] = []
        self.disconnected: set[ids.EntryId] = set()
        self.leader_of_term: dict[int, ids.EntryId] = {}
        self.elected_s: dict[int, float] = {}
        self.committed: dict[int, consensus_messages.Record] = {}
        self.seen_records: dict[tuple[int, int], tuple[Any, int | None]] = {}
        self.applied = dict.fromkeys(self.names, 0)
        self.reads: dict[int, int] = {}
        self.confirmed_read_count = 0
        self.proposed = 0

    def _start(self, name: ids.EntryId) -> consensus.Consensus:
        disk = self.disks[name]
        records = [disk.records[index] for index in sorted(disk.records)]
        saved = consensus.SavedState(
            disk.term_vote, disk.snapshot, records, disk.commit_index
        )
        generator = random.Random(self.random.random())
        return consensus.Consensus(
            name, _TIMING, generator, saved, self._now(name)
        )

    def _now(self, name: ids.EntryId) -> consensus_output.Now:
        # The wall clocks differ by more than the time between records.
        skew_ms = 5_000 * self.names.index(name)
        wall_ms = _START_MS + int(self.now_s * 1000) - skew_ms
        return consensus_output.Now(self.now_s, wall_ms)

    def tick(self, name: ids.EntryId) -> None:
        self.cores[name].tick(self._now(name))
        self._check_after_action(name)

    def propose(self, name: ids.EntryId) -> None:
        self.proposed += 1
        payloads = [b"%d" % self.proposed]
        self.cores[name].propose(payloads, self._now(name))
        self._check_after_action(name)

    def read(self, name: ids.EntryId) -> None:
        token = len(self.reads) + 1
        self.reads[token] = max(self.committed, default=0)
        self.cores[name].request_read(token, self._now(name))
        self._check_after_action(name)

    def propose_replica_change(
        self, name: ids.EntryId, other: ids.EntryId
    ) -> bool:
        """Proposes to add `other` as a replica, or to remove it."""
        core = self.cores[name]
        replicas = sorted(set(core.log.replicas) ^ {other})
        index = core.propose_replicas(replicas, self._now(name))
        self._check_after_action(name)
        return not isinstance(index, errors.Failure)

    def sync(self, name: ids.EntryId) -> None:
        core, disk = self.cores[name], self.disks[name]
        output = core.take_output()
        if output.snapshot is not None:
            disk.snapshot = output.snapshot
        if output.reset_log:
            disk.records = {}
        if output.term_vote is not None:
            disk.term_vote = output.term_vote
        for record in output.records:
            kept = disk.records.items()
            disk.records = {i: r for i, r in kept if i < record.index}
            disk.records[record.index] = record
            previous = disk.records.get(record.index - 1)
            self._check_record(record, previous.term if previous else None)
        disk.commit_index = core.commit_index
        self._send(name, output.immediate_messages + output.deferred_messages)
        core.acknowledge_sync(output, self._now(name))
        self._check_after_action(name)

    def crash(self, name: ids.EntryId) -> None:
        self.applied[name] = 0
        self.cores[name] = self._start(name)
        self._check_after_action(name)

    def report_leader_unreachable(self, name: ids.EntryId) -> None:
        self.cores[name].report_leader_unreachable(self._now(name))
        self._check_after_action(name)

    def compact(self, name: ids.EntryId, keep_records: int) -> None:
        core, disk = self.cores[name], self.disks[name]
        index = core.commit_index
        # The store saves a snapshot between writes; records that are not
        # synced yet may be covered by it.
        if index <= core.log.snapshot.index or core.has_deferred_work():
            return
        members = core.log.snapshot.replicas
        for record_index in range(core.log.snapshot.index + 1, index + 1):
            record = core.log.record_at(record_index)
            if record.kind is consensus_messages.RecordKind.CONFIGURATION:
                members = consensus_messages.decode_configuration(record)
        last = core.log.record_at(index)
        data = (b"%d " % index) * 100_000
        snapshot = consensus_messages.Snapshot(
            index, last.term, last.time_ms, members, data
        )
        disk.snapshot = snapshot
        keep_from = index + 1 - keep_records
        kept = disk.records.items()
        disk.records = {i: r for i, r in kept if i >= keep_from}
        core.compact(snapshot, keep_records)
        self._check_after_action(name)

    def deliver(self, position: int, keep: bool = False) -> None:
        sender, envelope = self.network[position]
        if not keep:
            del self.network[position]
        if sender in self.disconnected or envelope.to in self.disconnected:
            return
        core = self.cores[envelope.to]
        core.step(envelope.message, self._now(envelope.to))
        self._check_after_action(envelope.to)

    def run(self, rounds: int) -> None:
        """Advances the time; the only faults are the disconnected entries."""
        for _ in range(rounds):
            self.now_s += 0.05
            for name in self.names:
                self.tick(name)
                self.sync(name)
            for _ in range(len(self.network)):
                self.deliver(0)
            for name in self.names:
                self.sync(name)

    def _send(
        self, name: ids.EntryId, envelopes: list[consensus_output.Envelope]
    ) -> None:
        for envelope in envelopes:
            self.network.append((name, envelope))
            message = envelope.message
            if isinstance(message, consensus_messages.AppendRequest):
                previous_term = message.previous_term
                for record in message.records:
                    self._check_record(record, previous_term)
                    previous_term = record.term

    def _check_after_action(self, name: ids.EntryId) -> None:
        core = self.cores[name]
        self._send(name, core.take_immediate_messages())
        self._check_reads(core.take_confirmed_reads())
        self._check_leader(name, core)
        self._check_times(core)
        self._check_commit(name, core)

    def _check_reads(self, reads: list[consensus_output.ConfirmedRead]) -> None:
        for read in reads:
            self.confirmed_read_count += 1
            assert read.index >= self.reads[read.token], "stale read index"

    def _check_leader(
        self, name: ids.EntryId, core: consensus.Consensus
    ) -> None:
        if core.role is not consensus.Role.LEADER:
            return
        self._check_confirmation(core)
        earlier = self.leader_of_term.get(core.term)
        assert earlier in (None, name), f"two leaders in term {core.term}"
        if earlier is None:
            self.leader_of_term[core.term] = name
            self.elected_s[core.term] = self.now_s
            for index, record in self.committed.items():
                is_missing = core.log.term_at(index) != record.term
                is_covered = index <= core.log.snapshot.index
                assert is_covered or not is_missing, f"leader lacks {index}"

    def _check_confirmation(self, core: consensus.Consensus) -> None:
        """Checks that no later leader was elected before the confirmed time."""
        confirmed_s = core.leadership_confirmed_s()
        assert confirmed_s is not None
        for term, elected_s in self.elected_s.items():
            is_later = term > core.term
            assert not is_later or elected_s >= confirmed_s, "led no more"

    def _check_record(
        self, record: consensus_messages.Record, previous_term: int | None
    ) -> None:
        """Checks that records with equal index and term match in all logs.

        Only records that were synced or sent count.
        """
        key = (record.index, record.term)
        earlier = self.seen_records.setdefault(key, (record, previous_term))
        assert earlier[0] == record, "logs differ at one index and term"
        assert (
            None in (previous_term, earlier[1]) or previous_term == earlier[1]
        )

    def _check_times(self, core: consensus.Consensus) -> None:
        log = core.log
        if log.last_index > log.first_index:
            previous = log.record_at(log.last_index - 1)
            assert log.last_time_ms >= previous.time_ms, "time went back"

    def _check_commit(
        self, name: ids.EntryId, core: consensus.Consensus
    ) -> None:
        assert core.commit_index >= self.applied[name], "commit went back"
        first = max(self.applied[name] + 1, core.log.first_index)
        for index in range(first, core.commit_index + 1):
            record = core.log.record_at(index)
            earlier = self.committed.setdefault(index, record)
            assert earlier == record, f"committed record {index} changed"
        self.applied[name] = core.commit_index

    def leaders(self) -> list[ids.EntryId]:
        role = consensus.Role.LEADER
        return [name for name in self.names if self.cores[name].role is role]

    def check_progress_without_faults(self) -> None:
        """Checks that a new record reaches every replica without faults."""
        self.disconnected.clear()
        self.network.clear()
        for name in self.names:
            self.sync(name)
        self.run(120)
        if not self.leaders():
            # A leader steps down when its own removal is committed.
            self.run(120)
        leader = max(self.leaders(), key=lambda name: self.cores[name].term)
        previous_index = self.cores[leader].commit_index
        self.propose(leader)
        self.run(40)
        assert self.cores[leader].commit_index > previous_index, "no progress"
        for name in self.cores[leader].log.replicas:
            commit_index = self.cores[name].commit_index
            assert commit_index == self.cores[leader].commit_index, name

    def random_action(self, choose: Callable[[int], int]) -> None:
        """Does one action; `choose(n)` returns a number below n."""
        name = self.names[choose(len(self.names))]
        leader = self._leader_or(name)
        actions: tuple[tuple[int, Callable[[], object]], ...] = (
            (34, lambda: self._deliver_random(choose)),
            (18, lambda: self.sync(name)),
            (14, lambda: self._tick_random(name, choose)),
            (12, lambda: self.propose(leader)),
            (4, lambda: self.read(leader)),
            (3, lambda: self.crash(name)),
            (1, lambda: self.report_leader_unreachable(name)),
            (2, lambda: self.disconnected.add(name)),
            (3, self.disconnected.clear),
            (3, lambda: self.compact(name, choose(3))),
            (2, lambda: self.propose_replica_change(leader, name)),
            (4, lambda: self.run(1 + choose(12))),
        )
        position = choose(100)
        for weight, action in actions:
            if position < weight:
                action()
                return
            position -= weight

    def _tick_random(
        self, name: ids.EntryId, choose: Callable[[int], int]
    ) -> None:
        self.now_s += choose(4) * 0.05
        self.tick(name)

    def _leader_or(self, otherwise: ids.EntryId) -> ids.EntryId:
        leaders = self.leaders()
        return leaders[-1] if leaders else otherwise

    def _deliver_random(self, choose: Callable[[int], int]) -> None:
        if not self.network:
            return
        position = choose(len(self.network))
        outcome = choose(10)
        if outcome == 0:
            del self.network[position]
        else:
            self.deliver(position, keep=outcome == 1)
