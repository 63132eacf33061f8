"""Tests that the soak finds mutations of the product."""

import concurrent.futures
import pathlib
import tempfile
import unittest

from tarragoncleat_soak import mutations
from tarragoncleat_soak import play

_SEEDS = (2, 1, 3, 4, 5)
_DURATION_S = 24.0
_WORKERS = 6
_AT_ONCE = 2


def _finds(number: int, mutation: mutations.Mutation) -> bool:
    """Whether one of a few seeds shows the promise that the mutation breaks."""
    for seed in _SEEDS:
        with tempfile.TemporaryDirectory() as folder:
            plan = play.Plan(
                seed,
                _DURATION_S,
                _WORKERS,
                pathlib.Path(folder),
                number * len(_SEEDS) + seed,
                ("-m", "tarragoncleat_soak.mutations", mutation.value),
            )
            broken = {item.promise for item in play.play(plan).broken}
        if mutation.broken_promise in broken:
            return True
    return False


class MutationTest(unittest.TestCase):
    """Guards against a soak that passes whatever the product does."""

    def test_each_mutation_is_found(self) -> None:
        played = list(mutations.Mutation)
        with concurrent.futures.ThreadPoolExecutor(_AT_ONCE) as pool:
            found = pool.map(_finds, range(len(played)), played)
        missed = [
            mutation.value
            for mutation, is_found in zip(played, found, strict=True)
            if not is_found
        ]
        self.assertEqual(missed, [])


if __name__ == "__main__":
    unittest.main()
