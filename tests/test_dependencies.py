"""Tests of the imports between the sub-packages."""

import ast
import pathlib
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent / "tarragoncleat"
# The sub-packages that each sub-package may import.
_ALLOWED: dict[str, frozenset[str]] = {
    "kernel": frozenset(),
    "state": frozenset({"kernel"}),
    "log": frozenset({"kernel"}),
    "membership": frozenset({"kernel"}),
    "requests": frozenset({"kernel", "state"}),
    "decisions": frozenset({"kernel", "state"}),
    "administration": frozenset({"kernel", "state"}),
    "process": frozenset(
        {
            "administration",
            "decisions",
            "kernel",
            "log",
            "membership",
            "requests",
            "state",
        }
    ),
    "cluster": frozenset({"kernel", "log", "membership"}),
    "batch": frozenset({"cluster", "kernel", "log"}),
}
# The parts of `batch` that each part may import, besides its plain modules.
_ALLOWED_IN_BATCH: dict[str, frozenset[str]] = {
    "replicated": frozenset(),
    "workers": frozenset({"replicated"}),
    "pools": frozenset({"replicated", "workers"}),
    "scheduling": frozenset({"pools", "replicated"}),
    "leader": frozenset({"pools", "replicated", "scheduling", "workers"}),
}
_PLAIN_IN_BATCH = frozenset({"batch_metrics", "bounds", "events"})


def _imported(path: pathlib.Path, *package: str) -> set[str]:
    """Returns what a module imports of a package, maybe its own part.

    Args:
        path: The module.
        package: Names of the package, from the top one on.
    """
    depth = len(package)
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        names: list[str] = []
        if isinstance(node, ast.ImportFrom) and node.module:
            prefix = node.module
            names = [f"{prefix}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        for name in names:
            parts = name.split(".")
            if tuple(parts[:depth]) == package and len(parts) > depth:
                found.add(parts[depth])
    return found


class DependenciesTest(unittest.TestCase):
    """Guards against cyclic and unplanned dependencies of sub-packages."""

    def test_sub_packages_import_only_what_they_may(self) -> None:
        """Guards against an import of a sub-package that isn't allowed."""
        for package, allowed in _ALLOWED.items():
            for path in sorted((_ROOT / package).rglob("*.py")):
                others = _imported(path, "tarragoncleat") - {package}
                self.assertLessEqual(others, allowed, path.name)

    def test_parts_of_batch_import_only_what_they_may(self) -> None:
        """Guards against a replicated state that depends on decisions."""
        folder = _ROOT / "batch"
        parts = {path.parent.name for path in folder.glob("*/*.py")}
        self.assertEqual(parts, set(_ALLOWED_IN_BATCH))
        for part, allowed in _ALLOWED_IN_BATCH.items():
            for path in sorted((folder / part).glob("*.py")):
                others = _imported(path, "tarragoncleat", "batch") - {part}
                self.assertLessEqual(
                    others, allowed | _PLAIN_IN_BATCH, path.name
                )
        for name in _PLAIN_IN_BATCH:
            others = _imported(folder / f"{name}.py", "tarragoncleat", "batch")
            self.assertLessEqual(others, _PLAIN_IN_BATCH, name)

    def test_every_module_belongs_to_a_sub_package(self) -> None:
        """Guards against modules that the checks don't cover."""
        folders = {
            path.relative_to(_ROOT).parts[0] for path in _ROOT.glob("*/**/*.py")
        }
        self.assertEqual(folders, set(_ALLOWED))
        flat = {path.stem for path in _ROOT.glob("*.py")}
        self.assertEqual(flat, {"__init__", "__main__"})

    def test_allowed_imports_have_no_cycle(self) -> None:
        """Guards against packages that depend on each other."""
        for packages in (_ALLOWED, _ALLOWED_IN_BATCH):
            done: set[str] = set()
            while len(done) < len(packages):
                free = {
                    package
                    for package, allowed in packages.items()
                    if package not in done and allowed <= done
                }
                self.assertTrue(free, "the allowed imports form a cycle")
                done |= free


if __name__ == "__main__":
    unittest.main()
