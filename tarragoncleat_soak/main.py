"""Command line of the soak: plays seeds, and prints a line for each."""

import pathlib
import shutil
import signal
import sys
import tempfile

import defopt

from tarragoncleat_soak import play

__all__ = ["main"]

_SUBNETS = 200


def main(
    *,
    seeds: int = 3,
    first: int = 1,
    duration_s: float = 20.0,
    workers: int = 8,
    folder: pathlib.Path = pathlib.Path("bench-results/soak"),
) -> int:
    """Plays seeds one after the other; the last line counts the outcomes.

    The files of a run that broke a promise are kept.

    Args:
        seeds: Number of seeds.
        first: The first seed.
        duration_s: Length of the traffic of each.
        workers: Number of workers.
        folder: Folder of the runs that broke a promise.
    """
    # Ends a run as an error does, which ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as name:
            run_folder = pathlib.Path(name)
            outcome = play.play(
                play.Plan(
                    seed, duration_s, workers, run_folder, seed % _SUBNETS + 1
                )
            )
            print(_describe(outcome), flush=True)
            if outcome.broken:
                failed += 1
                kept = folder / f"seed-{seed}"
                shutil.copytree(run_folder, kept, dirs_exist_ok=True)
                print(f"  files: {kept}")
    print(f"{seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


def _describe(outcome: play.Outcome) -> str:
    lines = [
        f"seed {outcome.seed}: {outcome.faults} faults, {outcome.jobs} jobs,"
        f" {outcome.accepted} accepted, {outcome.runs} runs,"
        f" {outcome.versions} configurations, {len(outcome.broken)} broken"
    ]
    lines += [
        f"  {item.promise.value}: {item.subject}: {item.detail}"
        for item in outcome.broken[:5]
    ]
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
