"""Benchmarks of the decisions: maintenance waves and placement of jobs.

All times but the cost of decisions are simulated. Rows of the planner have the
one-at-a-time baseline or the fixed percentage as baseline and, without
failures, a lower bound; rows of the placer have first-fit as baseline.
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

_WRONG = "reboots up to 10x longer"
_PLAIN = "no failures"
_DAILY = "daily failures"
_PREDICTION_SEEDS = 5
_LOAD = 0.8
_STREAM_S = 600.0
_LARGE_STREAM_S = 30.0
# Larger streams are shorter, so that all sizes see about as many jobs.
_STREAM_INSTANCES = 400
_THREE_WEEKS_S = 21 * 86_400
_MS_PER_S = 1000


def run(seed: int) -> list[rows.Row]:
    """Measures planner and placement; takes about two minutes."""
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
            own, bound_s = _wave(size, fault, None, seed)
            name = f"{size.name}, {fault}"
            for baseline in planning_waves.BASELINES:
                other, _ = _wave(size, fault, baseline, seed)
                label = f"{name}, against {baseline}"
                yield from _wave_rows(label, fault, own, other, bound_s, seed)


def _wave_rows(
    label: str,
    fault: str,
    own: planning_waves.Outcome,
    other: planning_waves.Outcome,
    bound_s: float,
    seed: int,
) -> Iterator[rows.Row]:
    bound = bound_s if fault in (_PLAIN, _WRONG) else None
    figures = (
        ("roll-out", "s", own.roll_out_s, other.roll_out_s, bound),
        ("budget broken", "takes", own.broken, other.broken, 0.0),
        ("buffer", "inst-h", own.idle_h, other.idle_h, None),
        ("moves", "jobs", own.moves, other.moves, None),
        ("given up", "inst", own.skipped, other.skipped, None),
    )
    for what, unit, figure, baseline, lower in figures:
        yield rows.Row(
            "planner", f"{what}: {label}", unit, figure, baseline, lower, seed
        )


def _planner_sizes(seed: int) -> Iterator[rows.Row]:
    cases = [(size, _PLAIN) for size in planning_fleet.SIZES[2:]]
    cases += [(planning_fleet.LARGE, _PLAIN), (planning_fleet.LARGE, _DAILY)]
    for size, fault in cases:
        own, bound_s = _wave(size, fault, None, seed)
        label = f"{size.name}, {fault}"
        yield rows.Row(
            "planner",
            f"roll-out: {label}",
            "s",
            own.roll_out_s,
            lower_bound=bound_s if fault == _PLAIN else None,
            seed=seed,
        )
        yield rows.Row(
            "planner",
            f"budget broken: {label}",
            "takes",
            own.broken,
            lower_bound=0.0,
            seed=seed,
        )
        yield from _cost_rows("planner", label, own.decisions_s, None, seed)
        if fault == _DAILY:
            yield from _rate_rows(size, own, seed)


def _rate_rows(
    size: planning_fleet.Size, own: planning_waves.Outcome, seed: int
) -> Iterator[rows.Row]:
    """Compares the rate that three weeks need with the measured one."""
    yield rows.Row(
        "planner",
        "wave rate at full speed; baseline: rate for all in 3 weeks",
        "inst/h",
        (size.instances - own.skipped) / own.roll_out_s * 3600,
        size.instances / _THREE_WEEKS_S * 3600,
        seed=seed,
    )


def _placement(seed: int) -> Iterator[rows.Row]:
    for size in (*planning_fleet.SIZES, planning_fleet.LARGE):
        duration_s = _duration_s(size)
        own = _stream(size, duration_s, seed, True, False)
        other = _stream(size, duration_s, seed, False, False)
        label = f"{size.name}, load {_LOAD}"
        yield from _stream_rows(label, own, other, seed)
        yield from _cost_rows(
            "placement", label, own.decisions_s, other.decisions_s, seed
        )


def _duration_s(size: planning_fleet.Size) -> float:
    share = min(1.0, _STREAM_INSTANCES / size.instances)
    return max(_LARGE_STREAM_S, _STREAM_S * share)


def _stream_rows(
    label: str,
    own: planning_jobs.Outcome,
    other: planning_jobs.Outcome,
    seed: int,
) -> Iterator[rows.Row]:
    figures = (
        ("urgent start p99", "s", _p99(own.urgent_s), _p99(other.urgent_s)),
        ("urgent start max", "s", max(own.urgent_s), max(other.urgent_s)),
        ("mean wait", "s", _mean(own.waits_s), _mean(other.waits_s)),
        ("wait p99", "s", _p99(own.waits_s), _p99(other.waits_s)),
        ("mean slowdown", "1", _mean(own.slowdowns), _mean(other.slowdowns)),
        ("interrupted", "jobs", own.interrupted, other.interrupted),
        ("still waiting", "jobs", own.waiting, other.waiting),
        ("overloaded instances", "share", own.overloaded, other.overloaded),
        ("placed a second", "jobs/s", _speed(own), _speed(other)),
    )
    for what, unit, figure, baseline in figures:
        yield rows.Row(
            "placement",
            f"{what}: {label}",
            unit,
            figure,
            baseline,
            seed=seed,
        )


def _predictions(seed: int) -> Iterator[rows.Row]:
    """Compares predicted with declared run times over several seeds."""
    for size in planning_fleet.SIZES[:2]:
        for load in (0.7, 0.9):
            pairs = [
                [
                    _stream(size, _STREAM_S, seed + n, True, predict, load)
                    for predict in (True, False)
                ]
                for n in range(_PREDICTION_SEEDS)
            ]
            label = (
                f"{size.name}, load {load}, {_PREDICTION_SEEDS} seeds, "
                "predicted run times"
            )
            for what, field in (("wait", "waits_s"), ("slowdown", "slowdowns")):
                own, other = (
                    _mean(
                        [v for pair in pairs for v in getattr(pair[i], field)]
                    )
                    for i in (0, 1)
                )
                unit = "s" if what == "wait" else "1"
                yield rows.Row(
                    "placement",
                    f"mean {what}: {label}; baseline: declared ones",
                    unit,
                    own,
                    other,
                    seed=seed,
                )


def _wave(
    size: planning_fleet.Size, fault: str, baseline: str | None, seed: int
) -> tuple[planning_waves.Outcome, float]:
    wave = planning_waves.Wave(size, seed, wrong_times=fault == _WRONG)
    bound_s = planning_waves.lower_bound_s(wave)
    planning_waves.FAULTS[fault](wave, bound_s, random.Random(seed))
    chosen = None if baseline is None else planning_waves.BASELINES[baseline]
    return wave.run(chosen), bound_s


def _stream(
    size: planning_fleet.Size,
    duration_s: float,
    seed: int,
    own: bool,
    predict: bool,
    load: float = _LOAD,
) -> planning_jobs.Outcome:
    stream = planning_jobs.Stream(size, load, seed)
    return stream.run(duration_s, own, predict)


def _cost_rows(
    group: str,
    label: str,
    own: Sequence[float],
    other: Sequence[float] | None,
    seed: int,
) -> Iterator[rows.Row]:
    for what, reduce in (("mean", _mean), ("max", max)):
        yield rows.Row(
            group,
            f"decision {what}: {label}",
            "ms",
            reduce(own) * _MS_PER_S,
            None if other is None else reduce(other) * _MS_PER_S,
            seed=seed,
        )


def _mean(values: Sequence[float]) -> float:
    return statistics.fmean(values) if values else 0.0


def _p99(values: Sequence[float]) -> float:
    return sorted(values)[int(len(values) * 0.99)] if values else 0.0


def _speed(outcome: planning_jobs.Outcome) -> float:
    return outcome.placed / sum(outcome.decisions_s)
