"""Command line of the model: plays worlds, and prints the traces of breaks."""

import collections
import os
import sys
import time

import defopt
import loguru

from tarragoncleat_model import history as history_module
from tarragoncleat_model import mutations
from tarragoncleat_model import world

__all__ = ["main"]

_PROGRESS_INTERVAL_S = 5.0
_TRACE_LINES = 80


def main(
    *,
    worlds: int = 200,
    first: int = 1,
    mutation: str = "",
    power: bool = False,
    trace: bool = False,
) -> int:
    """Plays worlds one after the other; the last line counts the outcomes.

    Args:
        worlds: Number of worlds.
        first: Seed of the first one.
        mutation: Name of a fault to put into the product first.
        power: Whether to look for each mutation instead, until it is found.
        trace: Whether to print the shortest trace of a broken rule.
    """
    if worlds < 1:
        print(f"--worlds {worlds}: at least 1 is needed", file=sys.stderr)
        return 2
    names = [item.name for item in mutations.Mutation]
    if mutation and mutation not in names:
        print(
            f"--mutation {mutation}: not one of {', '.join(names)}",
            file=sys.stderr,
        )
        return 2
    loguru.logger.remove()
    seeds = range(first, first + worlds)
    if power:
        return _measure_power(seeds)
    if mutation:
        with mutations.installed(mutations.Mutation[mutation]):
            return _play(seeds, trace)
    return _play(seeds, trace)


def _play(seeds: range, trace: bool) -> int:
    began_s = told_s = time.monotonic()
    starts = 0
    broken: dict[int, history_module.History] = {}
    for seed in seeds:
        history = world.play(seed)
        starts += len(history.starts)
        if history.breaks:
            broken[seed] = history
            print(_describe(seed, history), flush=True)
        if time.monotonic() - told_s > _PROGRESS_INTERVAL_S:
            told_s = time.monotonic()
            print(f"at seed {seed}", flush=True)
    took_s = time.monotonic() - began_s
    print(f"{len(seeds)} worlds, {starts} runs, {took_s:.0f} s")
    if trace and broken:
        shortest = min(broken.values(), key=lambda item: len(item.lines))
        print("\n".join(shortest.lines[-_TRACE_LINES:]))
    print(f"{len(seeds) - len(broken)} passed, {len(broken)} failed")
    return 1 if broken else 0


def _describe(seed: int, history: history_module.History) -> str:
    counts = collections.Counter(item.rule for item in history.breaks)
    rules = ", ".join(f"{rule.value}: {n}" for rule, n in counts.items())
    return f"seed {seed}: {rules}; {history.breaks[0].detail}"


def _measure_power(seeds: range) -> int:
    """Prints which world finds each mutation first."""
    missed = 0
    for mutation in mutations.Mutation:
        with mutations.installed(mutation):
            found = _first_break(seeds)
        if found is None:
            missed += 1
            print(f"{mutation.name}: not found in {len(seeds)}", flush=True)
            continue
        seed, rule = found
        print(f"{mutation.name}: seed {seed}, {rule.name}", flush=True)
    print(f"{len(mutations.Mutation) - missed} found, {missed} not found")
    return 1 if missed else 0


def _first_break(seeds: range) -> tuple[int, history_module.Rule] | None:
    for seed in seeds:
        history = world.play(seed)
        if history.breaks:
            return seed, history.breaks[0].rule
    return None


if __name__ == "__main__":
    # The order of sets of names must not differ between two plays of a seed.
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(
            sys.executable, [sys.executable, "-m", __spec__.name, *sys.argv[1:]]
        )
    sys.exit(defopt.run(main))
