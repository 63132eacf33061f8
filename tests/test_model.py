"""Plays a seeded part of the model, and checks that it finds known faults."""

import unittest

import loguru

from tarragoncleat_model import main
from tarragoncleat_model import mutations
from tarragoncleat_model import world

_WORLDS = 100
# Worlds in which each of these faults shows itself several times.
_MAX_SEARCHED = 120
_FREQUENT = (
    mutations.Mutation.REFUSED_STOP_DROPPED,
    mutations.Mutation.CUT_REPORT_TRUSTED,
    mutations.Mutation.UNANSWERED_START_DROPPED,
    mutations.Mutation.END_DROPPED,
    mutations.Mutation.BUDGET_IGNORED,
    mutations.Mutation.CHECKPOINTS_APART,
)


class ModelTest(unittest.TestCase):
    """Guards against orders of events that the leader doesn't foresee."""

    def setUp(self) -> None:
        loguru.logger.disable("tarragoncleat")
        self.addCleanup(loguru.logger.enable, "tarragoncleat")

    def test_worlds_keep_the_rules(self) -> None:
        """Guards against tasks that run twice, starve or end by an order."""
        for seed in range(1, _WORLDS + 1):
            with self.subTest(seed=seed):
                self.assertEqual(world.play(seed).breaks, [])

    def test_faults_that_were_put_back_are_found(self) -> None:
        """Guards against a model that would pass whatever the product does."""
        for mutation in _FREQUENT:
            with self.subTest(mutation=mutation.name):
                with mutations.installed(mutation):
                    found = any(
                        world.play(seed).breaks
                        for seed in range(1, _MAX_SEARCHED + 1)
                    )
                self.assertTrue(found)

    def test_same_seed_plays_the_same_world(self) -> None:
        """Guards against a seed that can't be played again."""
        first, second = world.play(3), world.play(3)
        self.assertEqual(first.lines, second.lines)

    def test_bad_input_is_refused(self) -> None:
        """Guards against a play of no world that counts as passed."""
        self.assertEqual(main.main(worlds=0), 2)
        self.assertEqual(main.main(mutation="nothing"), 2)


if __name__ == "__main__":
    unittest.main()
