"""Benchmarks of the decisions: maintenance waves and placement of jobs.

All times are simulated, except those of the decisions. Planner rows have the
one-at-a-time or the fixed-percentage algorithm as baseline and, without
failures, a lower bound; placement rows have first-fit as baseline.
"""

from collections.abc import Iterator, Sequence
import random
import statistics

from tarragoncleat_bench import planning_fleet
from tarragoncleat_bench import planning_jobs
from tarragoncleat_bench import planning_waves
from tarragoncleat_bench import rows
from tarragoncleat_bench import worker_calls

__all__ = ["run"]

_LONG_REBOOTS = "reboots up to 10x longer"
_NO_FAILURES = "no failures"
_DAILY_FAILURES = "daily failures"
_PREDICTION_SEEDS = 5
_OFFERED_LOAD = 0.8
_STREAM_S = 600.0
_MIN_STREAM_S = 30.0
# Larger fleets run shorter streams, so that all place about as many jobs.
_FULL_LENGTH_INSTANCES = 400
_THREE_WEEKS_S = 21 * 86_400
_MS_PER_S = 1000


def run(seed: int) -> list[rows.Row]:
    """Measures planner, placement and calls to workers.

    This takes three to five minutes.
    """
    return [
        *_planner_faults(seed),
        *_planner_sizes(seed),
        *_placement(seed),
        *_predictions(seed),
        *worker_calls.run(seed),
    ]


def _planner_faults(seed: int) -> Iterator[rows.Row]:
    for size in planning_fleet.SIZES[:2]:
        for fault in planning_waves.FAULTS:
            planner, bound_s = _run_wave(size, fault, None, seed)
            name = f"{size.name}, {fault}"
            for baseline_name in planning_waves.BASELINES:
                baseline, _ = _run_wave(size, fault, baseline_name, seed)
                label = f"{name}, against {baseline_name}"
                yield from _wave_rows(
                    label, fault, planner, baseline, bound_s, seed
                )


def _wave_rows(
    label: str,
    fault: str,
    planner: planning_waves.Outcome,
    baseline: planning_waves.Outcome,
    bound_s: float,
    seed: int,
) -> Iterator[rows.Row]:
    bound = bound_s if fault in (_NO_FAILURES, _LONG_REBOOTS) else None
    figures = (
        ("roll-out", "s", planner.roll_out_s, baseline.roll_out_s, bound),
        (
            "budget broken",
            "takes",
            planner.budget_violations,
            baseline.budget_violations,
            0.0,
        ),
        ("buffer", "inst-h", planner.buffer_h, baseline.buffer_h, None),
        ("moves", "jobs", planner.moves, baseline.moves, None),
        ("given up", "inst", planner.skipped, baseline.skipped, None),
    )
    for name, unit, figure, baseline_figure, lower_bound in figures:
        yield rows.Row(
            "planner",
            f"{name}: {label}",
            unit,
            figure,
            baseline_figure,
            lower_bound,
            seed,
        )


def _planner_sizes(seed: int) -> Iterator[rows.Row]:
    cases = [(size, _NO_FAILURES) for size in planning_fleet.SIZES[2:]]
    cases += [
        (planning_fleet.LARGE, _NO_FAILURES),
        (planning_fleet.LARGE, _DAILY_FAILURES),
    ]
    for size, fault in cases:
        planner, bound_s = _run_wave(size, fault, None, seed)
        label = f"{size.name}, {fault}"
        yield rows.Row(
            "planner",
            f"roll-out: {label}",
            "s",
            planner.roll_out_s,
            lower_bound=bound_s if fault == _NO_FAILURES else None,
            seed=seed,
        )
        yield rows.Row(
            "planner",
            f"budget broken: {label}",
            "takes",
            planner.budget_violations,
            lower_bound=0.0,
            seed=seed,
        )
        yield from _cost_rows("planner", label, planner.decisions_s, None, seed)
        if fault == _DAILY_FAILURES:
            yield from _rate_rows(size, planner, seed)


def _rate_rows(
    size: planning_fleet.Size, planner: planning_waves.Outcome, seed: int
) -> Iterator[rows.Row]:
    """Compares the measured wave rate with that of a 3-week roll-out."""
    yield rows.Row(
        "planner",
        "wave rate at full speed; baseline: rate for all in 3 weeks",
        "inst/h",
        (size.instances - planner.skipped) / planner.roll_out_s * 3600,
        size.instances / _THREE_WEEKS_S * 3600,
        seed=seed,
    )


def _placement(seed: int) -> Iterator[rows.Row]:
    for size in (*planning_fleet.SIZES, planning_fleet.LARGE):
        duration_s = _duration_s(size)
        placer = _run_stream(size, duration_s, seed, True, False)
        first_fit = _run_stream(size, duration_s, seed, False, False)
        label = f"{size.name}, load {_OFFERED_LOAD}"
        yield from _stream_rows(label, placer, first_fit, seed)
        yield from _cost_rows(
            "placement", label, placer.decisions_s, first_fit.decisions_s, seed
        )


def _duration_s(size: planning_fleet.Size) -> float:
    share = min(1.0, _FULL_LENGTH_INSTANCES / size.instances)
    return max(_MIN_STREAM_S, _STREAM_S * share)


def _stream_rows(
    label: str,
    placer: planning_jobs.Outcome,
    first_fit: planning_jobs.Outcome,
    seed: int,
) -> Iterator[rows.Row]:
    figures = (
        (
            "urgent start p99",
            "s",
            _p99(placer.urgent_s),
            _p99(first_fit.urgent_s),
        ),
        (
            "urgent start max",
            "s",
            max(placer.urgent_s),
            max(first_fit.urgent_s),
        ),
        ("mean wait", "s", _mean(placer.waits_s), _mean(first_fit.waits_s)),
        ("wait p99", "s", _p99(placer.waits_s), _p99(first_fit.waits_s)),
        (
            "mean slowdown",
            "1",
            _mean(placer.slowdowns),
            _mean(first_fit.slowdowns),
        ),
        ("interrupted", "jobs", placer.interrupted, first_fit.interrupted),
        ("still waiting", "jobs", placer.waiting, first_fit.waiting),
        (
            "overloaded instances",
            "share",
            placer.overloaded,
            first_fit.overloaded,
        ),
        (
            "placed a second",
            "jobs/s",
            _placements_per_s(placer),
            _placements_per_s(first_fit),
        ),
    )
    for name, unit, figure, baseline_figure in figures:
        yield rows.Row(
            "placement",
            f"{name}: {label}",
            unit,
            figure,
            baseline_figure,
            seed=seed,
        )


def _predictions(seed: int) -> Iterator[rows.Row]:
    """Compares predicted with declared run times over several seeds."""
    for size in planning_fleet.SIZES[:2]:
        for load in (0.7, 0.9):
            pairs = [
                [
                    _run_stream(size, _STREAM_S, seed + n, True, predict, load)
                    for predict in (True, False)
                ]
                for n in range(_PREDICTION_SEEDS)
            ]
            label = (
                f"{size.name}, load {load}, {_PREDICTION_SEEDS} seeds, "
                "predicted run times"
            )
            for name, field in (("wait", "waits_s"), ("slowdown", "slowdowns")):
                predicted, declared = (
                    _mean(
                        [v for pair in pairs for v in getattr(pair[i], field)]
                    )
                    for i in (0, 1)
                )
                unit = "s" if name == "wait" else "1"
                yield rows.Row(
                    "placement",
                    f"mean {name}: {label}; baseline: declared ones",
                    unit,
                    predicted,
                    declared,
                    seed=seed,
                )


def _run_wave(
    size: planning_fleet.Size, fault: str, baseline_name: str | None, seed: int
) -> tuple[planning_waves.Outcome, float]:
    wave = planning_waves.Wave(size, seed, long_reboots=fault == _LONG_REBOOTS)
    bound_s = planning_waves.lower_bound_s(wave)
    planning_waves.FAULTS[fault](wave, bound_s, random.Random(seed))
    baseline = (
        None
        if baseline_name is None
        else planning_waves.BASELINES[baseline_name]
    )
    return wave.run(baseline), bound_s


def _run_stream(
    size: planning_fleet.Size,
    duration_s: float,
    seed: int,
    use_placer: bool,
    predict: bool,
    load: float = _OFFERED_LOAD,
) -> planning_jobs.Outcome:
    stream = planning_jobs.Stream(size, load, seed)
    return stream.run(duration_s, use_placer, predict)


def _cost_rows(
    group: str,
    label: str,
    times_s: Sequence[float],
    baseline_times_s: Sequence[float] | None,
    seed: int,
) -> Iterator[rows.Row]:
    for name, reduce in (("mean", _mean), ("max", max)):
        yield rows.Row(
            group,
            f"decision {name}: {label}",
            "ms",
            reduce(times_s) * _MS_PER_S,
            None
            if baseline_times_s is None
            else reduce(baseline_times_s) * _MS_PER_S,
            seed=seed,
        )


def _mean(values: Sequence[float]) -> float:
    return statistics.fmean(values) if values else 0.0


def _p99(values: Sequence[float]) -> float:
    return sorted(values)[int(len(values) * 0.99)] if values else 0.0


def _placements_per_s(outcome: planning_jobs.Outcome) -> float:
    return outcome.placed / sum(outcome.decisions_s)
