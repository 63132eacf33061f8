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


def _imported(path: pathlib.Path) -> set[str]:
    """Returns the sub-packages that a module imports, maybe its own."""
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
            if parts[0] == "tarragoncleat" and len(parts) > 1:
                found.add(parts[1])
    return found


class DependenciesTest(unittest.TestCase):
    """Guards against cyclic and unplanned dependencies of sub-packages."""

    def test_sub_packages_import_only_what_they_may(self) -> None:
        """Guards against an import of a sub-package that isn't allowed."""
        for package, allowed in _ALLOWED.items():
            for path in sorted((_ROOT / package).glob("*.py")):
                others = _imported(path) - {package}
                self.assertLessEqual(others, allowed, path.name)

    def test_every_module_belongs_to_a_sub_package(self) -> None:
        """Guards against modules that the checks don't cover."""
        folders = {path.parent.name for path in _ROOT.glob("*/*.py")}
        self.assertEqual(folders, set(_ALLOWED))
        flat = {path.stem for path in _ROOT.glob("*.py")}
        self.assertEqual(flat, {"__init__", "__main__"})

    def test_allowed_imports_have_no_cycle(self) -> None:
        """Guards against sub-packages that depend on each other."""
        done: set[str] = set()
        while len(done) < len(_ALLOWED):
            free = {
                package
                for package, allowed in _ALLOWED.items()
                if package not in done and allowed <= done
            }
            self.assertTrue(free, "the allowed imports form a cycle")
            done |= free


if __name__ == "__main__":
    unittest.main()
