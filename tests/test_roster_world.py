"""Tests of the care for the log's members under lost disks and cuts."""

from collections.abc import Callable
import random
import unittest

import hypothesis
from hypothesis import strategies

from tarragoncleat.cluster import roster
from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus_messages
from tests import consensus_world

_ZONE = ids.AvailabilityZone("z")
_STEPS = 400
_SETTLING_ROUNDS = 200


class _RosterWorld(consensus_world.World):
    """A group whose leaders choose the members, and whose disks get lost."""

    def __init__(self, nodes: int, founders: int, losses: int) -> None:
        names = [f"10.0.0.{number}-70" for number in range(1, nodes + 1)]
        super().__init__(names, names[:founders])
        self.losses = losses
        self.disks_lost = 0
        for name in self.names[founders:]:
            self._begin_empty(name)

    def _begin_empty(self, name: ids.EntryId) -> None:
        empty = consensus_messages.Snapshot(0, 0, 0, (), b"")
        self.disks[name] = consensus_world._Disk(
            consensus_messages.TermVote(), empty, {}
        )
        self.applied[name] = 0
        self.cores[name] = self._start(name)

    def wipe(self, name: ids.EntryId) -> None:
        """Replaces a node by one with an empty disk at the same address."""
        self.disks_lost += 1
        address = "-".join(name.split("-")[:2])
        new = ids.EntryId(f"{address}-{self.disks_lost:08x}")
        self.names[self.names.index(name)] = new
        self.cut.discard(name)
        del self.cores[name]
        self._begin_empty(new)

    def deliver(self, position: int, keep: bool = False) -> None:
        if self.network[position][1].to in self.cores:
            super().deliver(position, keep)
        elif not keep:
            # A node that is gone receives nothing.
            del self.network[position]

    def run(self, rounds: int) -> None:
        for _ in range(rounds):
            super().run(1)
            self.keep_members()

    def keep_members(self) -> None:
        """Lets each leader change the members, as `LogNode` does."""
        for leader in self.leaders():
            core = self.cores[leader]
            if core.log.configuration_index > core.commit_index:
                continue
            contacts = core.contact_times_s()
            members = [
                roster.Member(
                    name, _ZONE, self.now_s - contacts.get(name, self.now_s)
                )
                for name in core.log.replicas
            ]
            candidates = [
                roster.Candidate(name, _ZONE)
                for name in self.names
                if name not in core.log.replicas
                and name not in self.cut
                and leader not in self.cut
            ]
            replicas = roster.next_replicas(members, candidates, self.losses)
            if replicas is not None:
                core.propose_replicas(replicas, self._now(leader))
                self._after(leader)

    def is_whole(self) -> bool:
        """Whether no more disks may be lost before others are replaced."""
        leaders = self.leaders()
        if self.cut or not leaders:
            return False
        leader = max(leaders, key=lambda name: self.cores[name].term)
        log = self.cores[leader].log
        commit_index = self.cores[leader].commit_index
        has_all = len(log.replicas) == 2 * self.losses + 1
        return has_all and all(
            name in self.cores and self.cores[name].commit_index == commit_index
            for name in log.replicas
        )

    def act(self, choose: Callable[[int], int]) -> None:
        """Does one action of a history."""
        name = self.names[choose(len(self.names))]
        position = choose(40)
        if position == 0 and self.is_whole():
            self.wipe(name)
        elif position == 1:
            # A cut minority; more would only stop the group.
            self.cut.add(name)
            if len(self.cut) > self.losses:
                self.cut.clear()
        elif position == 2:
            self.cut.clear()
        elif position < 8:
            self.run(1 + choose(30))
        else:
            self._act_within_members(choose, name)

    def _act_within_members(
        self, choose: Callable[[int], int], name: ids.EntryId
    ) -> None:
        position = choose(5)
        leader = self._some_leader(name)
        if position == 0:
            self.crash(name)
        elif position == 1:
            self.sync(name)
        elif position == 2:
            self.compact(name, choose(3))
        elif position == 3:
            self._random_delivery(choose)
        else:
            self.propose(leader)


class RosterWalkTest(unittest.TestCase):
    """Guards acknowledged records while members change by themselves.

    The world checks that no committed record changes or is missing from a
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
        world = _RosterWorld(*size)
        world.run(_SETTLING_ROUNDS)
        generator = random.Random(seed)
        for _ in range(_STEPS):
            world.act(generator.randrange)
        world.cut.clear()
        world.run(_SETTLING_ROUNDS)
        world.heal_and_check_progress()
        self.assertGreater(len(world.committed), 0)

    def test_histories_do_lose_disks(self) -> None:
        """The walk would prove nothing if no disk were ever lost."""
        lost = 0
        for seed in range(4):
            world = _RosterWorld(4, 3, 1)
            world.run(_SETTLING_ROUNDS)
            generator = random.Random(seed)
            for _ in range(_STEPS):
                world.act(generator.randrange)
            lost += world.disks_lost
        self.assertGreater(lost, 4)

    def test_forgotten_vote_does_not_elect_a_second_leader(self) -> None:
        """With its old id a wiped node could vote twice in a term."""
        world = _RosterWorld(3, 3, 1)
        world.run(_SETTLING_ROUNDS)
        leader = world.leaders()[0]
        other = next(name for name in world.names if name != leader)
        for _ in range(3):
            world.propose(leader)
        world.run(20)
        world.wipe(other)
        world.run(_SETTLING_ROUNDS)
        leader = world.leaders()[0]
        replicas = world.cores[leader].log.replicas
        self.assertNotIn(other, replicas)
        self.assertEqual(len(replicas), 3)
        world.heal_and_check_progress()
