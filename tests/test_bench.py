"""Tests of the benchmarks' command line."""

import contextlib
import io
import json
import pathlib
import tempfile
import types
import unittest
import unittest.mock

from tarragoncleat_bench import main as bench_main
from tarragoncleat_bench import rows


class BenchTest(unittest.TestCase):
    """Guards the results of groups that ended before a later one fails."""

    def _run(self, folder: str, groups: list[str]) -> tuple[str, list[str]]:
        """Runs groups, of which `broken` raises an error.

        Returns:
            The error output at the end, and at the start of each group.
        """
        errors_seen: list[str] = []

        def import_group(name: str) -> types.SimpleNamespace:
            def run(seed: int) -> list[rows.Row]:
                errors_seen.append(errors_file.getvalue())
                if name == "broken":
                    raise RuntimeError("cut")
                return [rows.Row(name, "row", "ms", 2.0, seed=seed)]

            return types.SimpleNamespace(run=run)

        errors_file = io.StringIO()
        with (
            unittest.mock.patch.object(
                bench_main, "_import_group", import_group
            ),
            unittest.mock.patch.dict(
                bench_main._GROUPS, {"whole": "", "broken": ""}
            ),
            contextlib.redirect_stdout(io.StringIO()),
            contextlib.redirect_stderr(errors_file),
            contextlib.suppress(RuntimeError),
        ):
            bench_main.run(folder=pathlib.Path(folder), group=groups, seed=3)
        return errors_file.getvalue(), errors_seen

    def test_each_group_is_announced_and_written_as_it_ends(self) -> None:
        """An error in a later group must not lose the results so far."""
        with tempfile.TemporaryDirectory() as folder:
            printed, errors_seen = self._run(folder, ["whole", "broken"])
            written = pathlib.Path(folder, "whole.json").read_text("utf-8")
        self.assertIn("group whole (1 of 2) begins", errors_seen[0])
        self.assertIn("group whole ended", errors_seen[1])
        self.assertIn("group broken (2 of 2) begins", printed)
        (row,) = json.loads(written)
        self.assertEqual((row["figure"], row["seed"]), (2.0, 3))

    def test_unknown_group_is_refused_before_anything_is_measured(self) -> None:
        """A misspelt name must not surface only after minutes of measuring."""
        with tempfile.TemporaryDirectory() as folder:
            printed, errors_seen = self._run(folder, ["whole", "nothing"])
        self.assertIn("unknown group nothing", printed)
        self.assertEqual(errors_seen, [])


if __name__ == "__main__":
    unittest.main()
