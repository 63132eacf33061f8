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
    """Runs benchmark groups; prints each as a table and writes JSON and a plot.

    Args:
        folder: Folder of the results, created if it is missing.
        group: Groups to run (planning, state, batch, membership,
            request-path, control); the default is all.
        seed: Seed of the random inputs.
    """
    names = group or list(_GROUPS)
    unknown = [name for name in names if name not in _GROUPS]
    if unknown:
        _print_progress(
            f"unknown group {unknown[0]}; known: {', '.join(_GROUPS)}"
        )
        return 2
    folder.mkdir(parents=True, exist_ok=True)
    for number, name in enumerate(names, 1):
        _print_progress(f"group {name} ({number} of {len(names)}) begins")
        started_s = time.monotonic()
        measured = _import_group(name).run(seed)
        _print_table(measured)
        path = folder / f"{name}.json"
        _write_json(path, measured)
        _write_plot(folder / f"{name}.png", measured)
        elapsed_s = time.monotonic() - started_s
        _print_progress(
            f"group {name} ended after {elapsed_s:.0f} s; see {path}"
        )
    return 0


def _print_progress(text: str) -> None:
    """Prints to stderr; stdout may go into a file and holds only tables."""
    print(text, file=sys.stderr, flush=True)


def _import_group(name: str) -> types.ModuleType:
    return importlib.import_module(_GROUPS[name])


def _print_table(measured: list[rows.Row]) -> None:
    header = f"{'figure':>12} {'baseline':>12} {'ratio':>7} {'bound':>12} unit"
    print(f"\n{header:60} name (seed)")
    for row in measured:
        print(
            f"{row.figure:12.4g} {_format_cell(row.baseline):>12} "
            f"{_format_cell(row.ratio):>7} {_format_cell(row.lower_bound):>12} "
            f"{row.unit:8} {row.group}: {row.name} ({row.seed})"
        )
    sys.stdout.flush()


def _format_cell(value: float | None) -> str:
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


def _write_plot(path: pathlib.Path, measured: list[rows.Row]) -> None:
    # Imported here so that the table and the JSON need no plotting library.
    from matplotlib import figure

    height = 1 + 0.3 * len(measured)
    plot = figure.Figure(figsize=(10, height))
    axes = plot.subplots()
    labels = [f"{row.name} [{row.unit}]" for row in measured]
    positions = list(range(len(measured)))
    axes.barh(positions, [row.figure for row in measured], label="figure")
    baselines = [
        (position, row.baseline)
        for position, row in enumerate(measured)
        if row.baseline is not None
    ]
    axes.plot(
        [value for _, value in baselines],
        [position for position, _ in baselines],
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
    """Runs the command line interface."""
    sys.exit(defopt.run(run))


if __name__ == "__main__":
    main()
