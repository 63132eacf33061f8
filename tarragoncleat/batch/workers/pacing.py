"""Slows down best-effort tasks beside latency-sensitive ones."""

from collections.abc import Iterator

from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.workers import worker_session

__all__ = ["speed_changes"]

_FULL_PERCENT = 100
# Thresholds of the worst tail latency, as a share of its target. Below the
# first one, tasks can run faster without harm to the latency; above the second
# one, the latency may soon exceed its target.
_SPEED_UP_BELOW_SHARE = 0.6
_SLOW_DOWN_ABOVE_SHARE = 0.85
_STEP_UP_PERCENT = 15
_MIN_PERCENT = 15


def speed_changes(
    session: worker_session.WorkerSession, state: state_module.BatchState
) -> Iterator[tuple[model.TaskKey, int, int]]:
    """Yields task, run and new speed in percent for the tasks to change.

    Speed is halved at once and raised in small steps, because the interference
    changes within seconds and latency may exceed its target only briefly.
    """
    best_effort: list[tuple[model.TaskKey, int]] = []
    worst_share = 0.0
    for (task, run), running_task in session.running.items():
        located = state.task(task)
        if located is None or located[0].has_ended:
            continue
        definition = located[1].definition
        if definition.best_effort:
            best_effort.append((task, run))
        elif definition.latency_target_ms:
            share = running_task.load / definition.latency_target_ms
            worst_share = max(worst_share, share)
    for task, run in best_effort:
        percent = session.paces.get((task, run), _FULL_PERCENT)
        new_percent = next_percent(percent, worst_share)
        if new_percent != percent:
            yield task, run, new_percent


def next_percent(percent: int, worst_share: float) -> int:
    """Returns the next speed, given the worst share of a latency target."""
    if worst_share > _SLOW_DOWN_ABOVE_SHARE:
        halved = percent // 2
        return halved if halved >= _MIN_PERCENT else 0
    if worst_share < _SPEED_UP_BELOW_SHARE:
        return min(_FULL_PERCENT, percent + _STEP_UP_PERCENT)
    return percent
