"""Slows best-effort tasks that harm the tasks that serve beside them."""

from collections.abc import Iterator

from tarragoncleat.batch import model
from tarragoncleat.batch import state as state_module
from tarragoncleat.batch import worker_session

__all__ = ["changes"]

_FULL_PERCENT = 100
# Below this share of the target a tail latency leaves room to speed up, and
# above the other one the target is in danger.
_CALM_SHARE = 0.6
_DANGER_SHARE = 0.85
_STEP_UP_PERCENT = 15
_LEAST_PERCENT = 15


def changes(
    session: worker_session.WorkerSession, state: state_module.BatchState
) -> Iterator[tuple[model.TaskKey, int, int]]:
    """Yields task, run and new percent for the tasks to change.

    It slows down by half at once and speeds up in small steps, because the
    disturbance changes within seconds and its bound is short.
    """
    best_effort: list[tuple[model.TaskKey, int]] = []
    worst_share = 0.0
    for (task, run), row in session.running.items():
        found = state.task(task)
        if found is None or found[0].has_ended:
            continue
        definition = found[1].definition
        if definition.best_effort:
            best_effort.append((task, run))
        elif definition.latency_target_ms:
            share = row.load / definition.latency_target_ms
            worst_share = max(worst_share, share)
    for task, run in best_effort:
        percent = session.paces.get((task, run), _FULL_PERCENT)
        new = next_percent(percent, worst_share)
        if new != percent:
            yield task, run, new


def next_percent(percent: int, worst_share: float) -> int:
    """Returns the next speed for the worst share of a latency target."""
    if worst_share > _DANGER_SHARE:
        halved = percent // 2
        return halved if halved >= _LEAST_PERCENT else 0
    if worst_share < _CALM_SHARE:
        return min(_FULL_PERCENT, percent + _STEP_UP_PERCENT)
    return percent
