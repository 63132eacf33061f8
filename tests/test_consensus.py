"""Property tests of the consensus core under every fault at once."""

import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

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


if __name__ == "__main__":
    unittest.main()
