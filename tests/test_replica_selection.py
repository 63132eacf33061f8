"""Tests of the selection of replicas with lost disks and partitions."""

from collections.abc import Callable
import itertools
import random
import unittest

import hypothesis
from hypothesis import strategies

from tarragoncleat.cluster import replica_selection
from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus_messages
from tests import consensus_simulation

_ZONE = ids.AvailabilityZone("z")
_STEPS = 400
_SETTLING_ROUNDS = 200


class _SelectionSimulation(consensus_simulation.Simulation):
    """A group whose leaders select the replicas, with random disk losses."""

    def __init__(self, nodes: int, initial_replicas: int, losses: int) -> None:
        names = [f"10.0.0.{number}-70" for number in range(1, nodes + 1)]
        super().__init__(names, names[:initial_replicas])
        self.losses = losses
        self.lost_disk_count = 0
        for name in self.names[initial_replicas:]:
            self._start_empty(name)

    def _start_empty(self, name: ids.EntryId) -> None:
        empty = consensus_messages.Snapshot(0, 0, 0, (), b"")
        self.disks[name] = consensus_simulation._Disk(
            consensus_messages.TermVote(), empty, {}
        )
        self.applied[name] = 0
        self.cores[name] = self._start(name)

    def replace_disk(self, name: ids.EntryId) -> None:
        """Replaces a node with one that has an empty disk at its address."""
        self.lost_disk_count += 1
        address = "-".join(name.split("-")[:2])
        new = ids.EntryId(f"{address}-{self.lost_disk_count:08x}")
        self.names[self.names.index(name)] = new
        self.disconnected.discard(name)
        del self.cores[name]
        self._start_empty(new)

    def deliver(self, position: int, keep: bool = False) -> None:
        if self.network[position][1].to in self.cores:
            super().deliver(position, keep)
        elif not keep:
            # Drops messages to a node that was replaced.
            del self.network[position]

    def run(self, rounds: int) -> None:
        for _ in range(rounds):
            super().run(1)
            self.select_replicas()

    def select_replicas(self) -> None:
        """Lets each leader change the replicas, as `LogNode` does."""
        for leader in self.leaders():
            core = self.cores[leader]
            if core.log.configuration_index > core.commit_index:
                continue
            contacts = core.contact_times_s()
            replica_statuses = [
                replica_selection.ReplicaStatus(
                    name, _ZONE, self.now_s - contacts.get(name, self.now_s)
                )
                for name in core.log.replicas
            ]
            standbys = [
                replica_selection.StandbyNode(name, _ZONE)
                for name in self.names
                if name not in core.log.replicas
                and name not in self.disconnected
                and leader not in self.disconnected
            ]
            replicas = replica_selection.next_replicas(
                replica_statuses, standbys, self.losses
            )
            joining = set(replicas or ()) - set(core.log.replicas)
            core.set_observers(joining, self._now(leader))
            has_caught_up = all(
                core.match_index(name) == core.commit_index for name in joining
            )
            if replicas is not None and has_caught_up:
                core.propose_replicas(replicas, self._now(leader))
                self._check_after_action(leader)

    def can_lose_disk(self) -> bool:
        """Whether all replicas are up to date, so that one disk may be lost."""
        leaders = self.leaders()
        if self.disconnected or not leaders:
            return False
        leader = max(leaders, key=lambda name: self.cores[name].term)
        log = self.cores[leader].log
        commit_index = self.cores[leader].commit_index
        has_all = len(log.replicas) == 2 * self.losses + 1
        return has_all and all(
            name in self.cores and self.cores[name].commit_index == commit_index
            for name in log.replicas
        )

    def run_random_action(self, choose: Callable[[int], int]) -> None:
        """Does one action of a history."""
        name = self.names[choose(len(self.names))]
        position = choose(40)
        if position == 0 and self.can_lose_disk():
            self.replace_disk(name)
        elif position == 1:
            # Disconnects a minority at most; more would only stop the group.
            self.disconnected.add(name)
            if len(self.disconnected) > self.losses:
                self.disconnected.clear()
        elif position == 2:
            self.disconnected.clear()
        elif position < 8:
            self.run(1 + choose(30))
        else:
            self._do_replica_action(choose, name)

    def _do_replica_action(
        self, choose: Callable[[int], int], name: ids.EntryId
    ) -> None:
        position = choose(5)
        leader = self._leader_or(name)
        if position == 0:
            self.crash(name)
        elif position == 1:
            self.sync(name)
        elif position == 2:
            self.compact(name, choose(3))
        elif position == 3:
            self._deliver_random(choose)
        else:
            self.propose(leader)


class RandomLostDisksTest(unittest.TestCase):
    """Guards against lost records while leaders replace lost replicas.

    The simulation checks that no committed record changes or is missing from a
    leader, that no term has two leaders, and that time and reads don't go
    back.
    """

    @hypothesis.settings(
        derandomize=True, max_examples=20, deadline=None, database=None
    )
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        size=strategies.sampled_from([(3, 3, 1), (4, 3, 1), (8, 3, 2)]),
    )
    def test_histories_with_lost_disks_are_safe(
        self, seed: int, size: tuple[int, int, int]
    ) -> None:
        """Guards against lost records or two leaders after a disk was lost."""
        simulation = _SelectionSimulation(*size)
        simulation.run(_SETTLING_ROUNDS)
        generator = random.Random(seed)
        for _ in range(_STEPS):
            simulation.run_random_action(generator.randrange)
        simulation.disconnected.clear()
        simulation.run(_SETTLING_ROUNDS)
        simulation.check_progress_without_faults()
        self.assertGreater(len(simulation.committed), 0)

    def test_histories_do_lose_disks(self) -> None:
        """Guards against a simulation that loses no disks and tests nothing."""
        lost = 0
        for seed in range(4):
            simulation = _SelectionSimulation(4, 3, 1)
            simulation.run(_SETTLING_ROUNDS)
            generator = random.Random(seed)
            for _ in range(_STEPS):
                simulation.run_random_action(generator.randrange)
            lost += simulation.lost_disk_count
        self.assertGreater(lost, 4)

    def test_forgotten_vote_does_not_elect_a_second_leader(self) -> None:
        """Guards against a second vote in a term by a node that lost its disk.

        It gets a new id, because with the old one it could vote twice.
        """
        simulation = _SelectionSimulation(3, 3, 1)
        simulation.run(_SETTLING_ROUNDS)
        leader = simulation.leaders()[0]
        other = next(name for name in simulation.names if name != leader)
        for _ in range(3):
            simulation.propose(leader)
        simulation.run(20)
        simulation.replace_disk(other)
        simulation.run(_SETTLING_ROUNDS)
        leader = simulation.leaders()[0]
        replicas = simulation.cores[leader].log.replicas
        self.assertNotIn(other, replicas)
        self.assertEqual(len(replicas), 3)
        simulation.check_progress_without_faults()


class DisksLostBesideAPartitionTest(unittest.TestCase):
    """Guards against a log that tolerates fewer disk losses during a cut.

    While nodes were cut off, the leader removed the silent replicas one after
    the other. With half of the nodes cut off three replicas were left, of which
    two lost disks took the majority, and with it acknowledged records.
    """

    def _cut_off(self, silent_replicas: int, silent_standbys: int) -> None:
        simulation = _SelectionSimulation(8, 3, 2)
        simulation.run(_SETTLING_ROUNDS)
        self.simulation = simulation
        self.leader = simulation.leaders()[0]
        replicas = simulation.cores[self.leader].log.replicas
        followers = [name for name in replicas if name != self.leader]
        standbys = [name for name in simulation.names if name not in replicas]
        simulation.disconnected.update(followers[:silent_replicas])
        simulation.disconnected.update(standbys[:silent_standbys])

    def _connected_replicas(self) -> list[ids.EntryId]:
        replicas = self.simulation.cores[self.leader].log.replicas
        return [
            name
            for name in replicas
            if name not in self.simulation.disconnected
        ]

    def _check_disk_losses(
        self, silent: tuple[int, int], rounds: int, pair: int
    ) -> bool:
        """Loses a pair of disks after `rounds`; returns if there is a pair."""
        self._cut_off(*silent)
        self.simulation.run(rounds)
        self.simulation.propose(self.leader)
        self.simulation.run(2)
        pairs = list(itertools.combinations(self._connected_replicas(), 2))
        if pair >= len(pairs):
            return False
        for name in pairs[pair]:
            self.simulation.replace_disk(name)
        self.simulation.run(_SETTLING_ROUNDS)
        self.simulation.check_progress_without_faults()
        return True

    def test_any_two_disks_may_be_lost_during_a_cut(self) -> None:
        """Guards against a resting state with fewer than five replicas."""
        for silent in ((2, 2), (2, 0), (1, 3)):
            for pair in itertools.count():
                with self.subTest(silent=silent, pair=pair):
                    if not self._check_disk_losses(silent, 120, pair):
                        break

    def test_two_disks_may_be_lost_at_any_moment_of_a_cut(self) -> None:
        """Guards against a time in which replacements make the log smaller."""
        for rounds in range(36, 60, 2):
            with self.subTest(rounds=rounds):
                self._check_disk_losses((2, 0), rounds, 0)


class SelectionOrderTest(unittest.TestCase):
    """Guards against a group that shrinks while replicas are replaced."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        silent=strategies.integers(0, 2),
        standby_count=strategies.integers(0, 4),
    )
    def test_group_has_five_replicas_or_six_and_ends_with_five(
        self, silent: int, standby_count: int
    ) -> None:
        """Guards against a removal before the replacement is a replica."""
        names = [f"10.0.0.{number}-70" for number in range(9)]
        replicas, standbys = names[:5], names[5 : 5 + standby_count]
        lost = set(replicas[:silent])
        sizes = []
        for _ in range(12):
            statuses = [
                replica_selection.ReplicaStatus(
                    ids.EntryId(name), _ZONE, 9.0 if name in lost else 0.0
                )
                for name in replicas
            ]
            waiting = [
                replica_selection.StandbyNode(ids.EntryId(name), _ZONE)
                for name in standbys
                if name not in replicas
            ]
            chosen = replica_selection.next_replicas(statuses, waiting, 2)
            if chosen is None:
                break
            replicas = [str(name) for name in chosen]
            sizes.append(len(replicas))
        self.assertLessEqual(set(sizes), {5, 6})
        self.assertEqual(len(replicas), 5)
        replaced = min(silent, standby_count)
        self.assertEqual(len(lost & set(replicas)), silent - replaced)
