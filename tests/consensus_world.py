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

__all__ = ["World"]

_TIMES = consensus_output.Timing(0.1, 0.5, 1.0)
_START_MS = 1_000_000


@dataclasses.dataclass
class _Disk:
    """What a crash leaves: the state of the last finished sync."""

    term_vote: consensus_messages.TermVote
    snapshot: consensus_messages.Snapshot
    records: dict[int, consensus_messages.Record]
    commit_index: int = 0


class World:
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
        self.cut: set[ids.EntryId] = set()
        self.leader_of_term: dict[int, ids.EntryId] = {}
        self.committed: dict[int, consensus_messages.Record] = {}
        self.written: dict[tuple[int, int], tuple[Any, int | None]] = {}
        self.applied = dict.fromkeys(self.names, 0)
        self.reads: dict[int, int] = {}
        self.released = 0
        self.proposed = 0

    def _start(self, name: ids.EntryId) -> consensus.Consensus:
        disk = self.disks[name]
        records = [disk.records[index] for index in sorted(disk.records)]
        saved = consensus.SavedState(
            disk.term_vote, disk.snapshot, records, disk.commit_index
        )
        generator = random.Random(self.random.random())
        return consensus.Consensus(
            name, _TIMES, generator, saved, self._now(name)
        )

    def _now(self, name: ids.EntryId) -> consensus_output.Now:
        # The wall clocks disagree by more than the time between records.
        skew_ms = 5_000 * self.names.index(name)
        wall_ms = _START_MS + int(self.now_s * 1000) - skew_ms
        return consensus_output.Now(self.now_s, wall_ms)

    # Actions.

    def tick(self, name: ids.EntryId) -> None:
        self.cores[name].tick(self._now(name))
        self._after(name)

    def propose(self, name: ids.EntryId) -> None:
        self.proposed += 1
        payloads = [b"%d" % self.proposed]
        self.cores[name].propose(payloads, self._now(name))
        self._after(name)

    def read(self, name: ids.EntryId) -> None:
        token = len(self.reads) + 1
        self.reads[token] = max(self.committed, default=0)
        self.cores[name].request_read(token, self._now(name))
        self._after(name)

    def change(self, name: ids.EntryId, other: ids.EntryId) -> bool:
        core = self.cores[name]
        replicas = sorted(set(core.log.replicas) ^ {other})
        index = core.propose_replicas(replicas, self._now(name))
        self._after(name)
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
            before = disk.records.get(record.index - 1)
            self._check_record(record, before.term if before else None)
        disk.commit_index = core.commit_index
        self._post(name, output.immediate_messages + output.deferred_messages)
        core.acknowledge_sync(output, self._now(name))
        self._after(name)

    def crash(self, name: ids.EntryId) -> None:
        self.applied[name] = 0
        self.cores[name] = self._start(name)
        self._after(name)

    def lose_leader(self, name: ids.EntryId) -> None:
        self.cores[name].report_leader_unreachable(self._now(name))
        self._after(name)

    def compact(self, name: ids.EntryId, keep_records: int) -> None:
        core, disk = self.cores[name], self.disks[name]
        index = core.commit_index
        # The store saves a snapshot between writes; records that are not
        # synced yet may be covered by it.
        if index <= core.log.snapshot.index or core.has_deferred_work():
            return
        members = core.log.snapshot.replicas
        for at in range(core.log.snapshot.index + 1, index + 1):
            record = core.log.record_at(at)
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
        self._after(name)

    def deliver(self, position: int, keep: bool = False) -> None:
        sender, envelope = self.network[position]
        if not keep:
            del self.network[position]
        if sender in self.cut or envelope.to in self.cut:
            return
        core = self.cores[envelope.to]
        core.step(envelope.message, self._now(envelope.to))
        self._after(envelope.to)

    def run(self, rounds: int) -> None:
        """Lets time pass without faults, but for the entries cut off."""
        for _ in range(rounds):
            self.now_s += 0.05
            for name in self.names:
                self.tick(name)
                self.sync(name)
            for _ in range(len(self.network)):
                self.deliver(0)
            for name in self.names:
                self.sync(name)

    # Checks.

    def _post(
        self, name: ids.EntryId, envelopes: list[consensus_output.Envelope]
    ) -> None:
        for envelope in envelopes:
            self.network.append((name, envelope))
            message = envelope.message
            if isinstance(message, consensus_messages.AppendRequest):
                before = message.previous_term
                for record in message.records:
                    self._check_record(record, before)
                    before = record.term

    def _after(self, name: ids.EntryId) -> None:
        core = self.cores[name]
        self._post(name, core.take_immediate_messages())
        self._check_reads(core.take_confirmed_reads())
        self._check_leader(name, core)
        self._check_times(core)
        self._check_commit(name, core)

    def _check_reads(self, reads: list[consensus_output.ConfirmedRead]) -> None:
        for read in reads:
            self.released += 1
            assert read.index >= self.reads[read.token], "stale read index"

    def _check_leader(
        self, name: ids.EntryId, core: consensus.Consensus
    ) -> None:
        if core.role is not consensus.Role.LEADER:
            return
        known = self.leader_of_term.get(core.term)
        assert known in (None, name), f"two leaders in term {core.term}"
        if known is None:
            self.leader_of_term[core.term] = name
            for index, record in self.committed.items():
                lost = core.log.term_at(index) != record.term
                is_covered = index <= core.log.snapshot.index
                assert is_covered or not lost, f"leader lacks {index}"

    def _check_record(
        self, record: consensus_messages.Record, before: int | None
    ) -> None:
        """Checks log matching for a record that outlives a crash."""
        place = (record.index, record.term)
        known = self.written.setdefault(place, (record, before))
        assert known[0] == record, "logs differ at one index and term"
        assert None in (before, known[1]) or before == known[1]

    def _check_times(self, core: consensus.Consensus) -> None:
        log = core.log
        if log.last_index > log.first_index:
            before = log.record_at(log.last_index - 1)
            assert log.last_time_ms >= before.time_ms, "time went back"

    def _check_commit(
        self, name: ids.EntryId, core: consensus.Consensus
    ) -> None:
        assert core.commit_index >= self.applied[name], "commit went back"
        first = max(self.applied[name] + 1, core.log.first_index)
        for index in range(first, core.commit_index + 1):
            record = core.log.record_at(index)
            known = self.committed.setdefault(index, record)
            assert known == record, f"committed record {index} changed"
        self.applied[name] = core.commit_index

    def leaders(self) -> list[ids.EntryId]:
        role = consensus.Role.LEADER
        return [name for name in self.names if self.cores[name].role is role]

    def heal_and_check_progress(self) -> None:
        """Without faults a new record must reach every replica."""
        self.cut.clear()
        self.network.clear()
        for name in self.names:
            self.sync(name)
        self.run(120)
        if not self.leaders():
            # A leader stops at the moment that commits its own removal.
            self.run(120)
        leader = max(self.leaders(), key=lambda name: self.cores[name].term)
        before = self.cores[leader].commit_index
        self.propose(leader)
        self.run(40)
        assert self.cores[leader].commit_index > before, "no progress"
        for name in self.cores[leader].log.replicas:
            reached = self.cores[name].commit_index
            assert reached == self.cores[leader].commit_index, name

    def random_action(self, choose: Callable[[int], int]) -> None:
        """Does one action; `choose(n)` returns a number below n."""
        name = self.names[choose(len(self.names))]
        leader = self._some_leader(name)
        actions: tuple[tuple[int, Callable[[], object]], ...] = (
            (34, lambda: self._random_delivery(choose)),
            (18, lambda: self.sync(name)),
            (14, lambda: self._random_tick(name, choose)),
            (12, lambda: self.propose(leader)),
            (4, lambda: self.read(leader)),
            (3, lambda: self.crash(name)),
            (1, lambda: self.lose_leader(name)),
            (2, lambda: self.cut.add(name)),
            (3, self.cut.clear),
            (3, lambda: self.compact(name, choose(3))),
            (2, lambda: self.change(leader, name)),
            (4, lambda: self.run(1 + choose(12))),
        )
        position = choose(100)
        for weight, action in actions:
            if position < weight:
                action()
                return
            position -= weight

    def _random_tick(
        self, name: ids.EntryId, choose: Callable[[int], int]
    ) -> None:
        self.now_s += choose(4) * 0.05
        self.tick(name)

    def _some_leader(self, otherwise: ids.EntryId) -> ids.EntryId:
        leaders = self.leaders()
        return leaders[-1] if leaders else otherwise

    def _random_delivery(self, choose: Callable[[int], int]) -> None:
        if not self.network:
            return
        position = choose(len(self.network))
        fate = choose(10)
        if fate == 0:
            del self.network[position]
        else:
            self.deliver(position, keep=fate == 1)
