"""Command line of the benchmarks."""

import importlib
import json
import pathlib
import sys
import time
import types

import defopt

from tarragoncleat_bench import rows

__all__ = ["main"]

_GROUPS = {
    "planning": "tarragoncleat_bench.planning",
    "state": "tarragoncleat_bench.state",
    "batch": "tarragoncleat_bench.batch",
    "membership": "tarragoncleat_bench.membership",
    "request-path": "tarragoncleat_bench.request_path",
    "control": "tarragoncleat_bench.control",
}


def run(
    *,
    folder: pathlib.Path = pathlib.Path("bench-results"),
    group: list[str] | None = None,
    seed: int = 1,
) -> int:
    """Measures, prints one table and writes it as JSON and plots.

    Args:
        folder: Folder of the results; it is created.
        group: Groups to measure (planning, state, batch, membership,
            request-path, control); all when none is given.
        seed: Seed of the random inputs.
    """
    names = group or list(_GROUPS)
    unknown = [name for name in names if name not in _GROUPS]
    if unknown:
        _report(f"unknown group {unknown[0]}; known: {', '.join(_GROUPS)}")
        return 2
    folder.mkdir(parents=True, exist_ok=True)
    for number, name in enumerate(names, 1):
        _report(f"group {name} ({number} of {len(names)}) begins")
        begun_s = time.monotonic()
        measured = _load(name).run(seed)
        _print_table(measured)
        path = folder / f"{name}.json"
        _write_json(path, measured)
        _plot(folder / f"{name}.png", measured)
        took_s = time.monotonic() - begun_s
        _report(f"group {name} ended after {took_s:.0f} s; see {path}")
    return 0


def _report(text: str) -> None:
    """Prints progress beside the tables, which may go into a file."""
    print(text, file=sys.stderr, flush=True)


def _load(name: str) -> types.ModuleType:
    return importlib.import_module(_GROUPS[name])


def _print_table(measured: list[rows.Row]) -> None:
    head = f"{'figure':>12} {'baseline':>12} {'ratio':>7} {'bound':>12} unit"
    print(f"\n{head:60} name (seed)")
    for row in measured:
        print(
            f"{row.figure:12.4g} {_cell(row.baseline):>12} "
            f"{_cell(row.ratio):>7} {_cell(row.lower_bound):>12} "
            f"{row.unit:8} {row.group}: {row.name} ({row.seed})"
        )
    sys.stdout.flush()


def _cell(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"


def _write_json(path: pathlib.Path, measured: list[rows.Row]) -> None:
    values = [
        {
            "group": row.group,
            "name": row.name,
            "unit": row.unit,
            "figure": row.figure,
            "baseline": row.baseline,
            "ratio": row.ratio,
            "lower_bound": row.lower_bound,
            "seed": row.seed,
        }
        for row in measured
    ]
    path.write_text(json.dumps(values, indent=1) + "\n", encoding="utf-8")


def _plot(path: pathlib.Path, measured: list[rows.Row]) -> None:
    # Imported here so that the table and the JSON need no plotting library.
    from matplotlib import figure

    height = 1 + 0.3 * len(measured)
    plot = figure.Figure(figsize=(10, height))
    axes = plot.subplots()
    labels = [f"{row.name} [{row.unit}]" for row in measured]
    positions = list(range(len(measured)))
    axes.barh(positions, [row.figure for row in measured], label="figure")
    marked = [
        (position, row.baseline)
        for position, row in enumerate(measured)
        if row.baseline is not None
    ]
    axes.plot(
        [value for _, value in marked],
        [position for position, _ in marked],
        "kx",
        label="baseline",
    )
    axes.set_yticks(positions, labels, fontsize=7)
    axes.set_xscale("symlog")
    axes.invert_yaxis()
    axes.legend()
    plot.tight_layout()
    plot.savefig(path)


def main() -> None:
    """Runs the command line."""
    sys.exit(defopt.run(run))


if __name__ == "__main__":
    main()
