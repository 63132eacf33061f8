"""Property tests of the consensus core under every fault at once."""

import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tarragoncleat.log import consensus_leader
from tarragoncleat.log import consensus_log
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import consensus_output
from tests import consensus_world

_NAMES = ("a", "b", "c", "d", "e")
_WALK_STEPS = 1_500


class _Machine(stateful.RuleBasedStateMachine):
    """Drops, delays, duplicates, reorders, crashes, cuts off and changes."""

    @stateful.initialize(replicas=strategies.sampled_from([1, 2, 3, 5]))
    def start(self, replicas: int) -> None:
        self.world = consensus_world.World(_NAMES, _NAMES[:replicas])
        self.world.run(30)

    @stateful.rule(data=strategies.data())
    def act(self, data: strategies.DataObject) -> None:
        def choose(count: int) -> int:
            return data.draw(strategies.integers(0, count - 1))

        for _ in range(6):
            self.world.random_action(choose)

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.heal_and_check_progress()


class ConsensusRulesTest(_Machine.TestCase):
    """Guards against two leaders, lost commits, stale reads and deadlock."""

    settings = hypothesis.settings(
        derandomize=True,
        max_examples=60,
        stateful_step_count=30,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


class ConsensusWalkTest(unittest.TestCase):
    """Guards against the same faults after long histories."""

    @hypothesis.settings(
        derandomize=True, max_examples=30, deadline=None, database=None
    )
    @hypothesis.given(
        seed=strategies.integers(0, 2**32), replicas=strategies.integers(1, 5)
    )
    def test_long_random_histories_are_safe(
        self, seed: int, replicas: int
    ) -> None:
        generator = random.Random(seed)
        world = consensus_world.World(_NAMES, _NAMES[:replicas])
        world.run(30)
        for _ in range(_WALK_STEPS):
            world.random_action(generator.randrange)
        world.heal_and_check_progress()
        self.assertGreater(len(world.committed), 0)


class DirectedTest(unittest.TestCase):
    """Guards against faults that random histories rarely reach."""

    def test_records_of_earlier_terms_commit_only_through_a_later_one(
        self,
    ) -> None:
        """A majority may hold such a record and still lose it."""
        world = consensus_world.World(("a", "b", "c"), ("a", "b", "c"))
        kind = consensus_messages.RecordKind.COMMAND
        old = consensus_messages.Record(1, 1, 0, kind, b"old")
        log = consensus_log.Log(world.disks[world.names[0]].snapshot, [old])
        leadership = consensus_leader.Leadership(
            world.names[0],
            3,
            log,
            consensus_output.Timing(0.1, 0.5, 1.0),
            consensus_output.Now(0.0, 0),
            consensus_output.Output(),
        )
        leadership.acknowledge_sync(1)
        log.append(consensus_messages.Record(2, 3, 0, kind, b"own"))
        for match_index, committed in ((1, 0), (2, 2)):
            reply = consensus_messages.AppendReply(
                3, world.names[1], True, match_index, 0
            )
            now = consensus_output.Now(0.0, 0)
            leadership.on_append_reply(reply, 0, now)
            leadership.acknowledge_sync(match_index)
            self.assertEqual(leadership.commit_index(), committed)

    def test_cut_off_leader_releases_no_read(self) -> None:
        world = consensus_world.World(("a", "b", "c"), ("a", "b", "c"))
        world.run(60)
        leader = world.leaders()[0]
        world.cut.add(leader)
        world.read(leader)
        world.run(10)
        self.assertEqual(world.released, 0)
        world.cut.clear()
        world.run(60)
        world.read(world.leaders()[0])
        world.run(10)
        self.assertGreater(world.released, 0)

    def test_own_vote_counts_only_once_synced(self) -> None:
        world = consensus_world.World(("a",), ("a",))
        for _ in range(60):
            world.now_s += 0.05
            world.tick(world.names[0])
        self.assertEqual(world.leaders(), [])
        world.run(30)
        self.assertEqual(world.leaders(), world.names)


if __name__ == "__main__":
    unittest.main()
