"""Checks that orders don't take too many long-running tasks away at once."""

from collections.abc import Iterable

from tarragoncleat.batch.replicated import model
from tarragoncleat_model import history as history_module

__all__ = ["AvailabilityWatch"]

# A task without work for so long counts as away, whatever the cause.
_NOTICE_S = 4.5


class AvailabilityWatch:
    """Knows when each long-running task was at work."""

    def __init__(self, history: history_module.History) -> None:
        """Creates a watch without tasks.

        Args:
            history: Receives broken rules.
        """
        self._history = history
        self._limits: dict[model.TaskKey, int] = {}
        self._at_work_s: dict[model.TaskKey, float] = {}
        self._ended_by_order: set[model.TaskKey] = set()

    def add_step(
        self, tasks: Iterable[model.TaskKey], max_unavailable: int, now_s: float
    ) -> None:
        """Adds the tasks of a long-running step."""
        for task in tasks:
            self._limits[task] = max_unavailable
            self._at_work_s[task] = now_s

    def record_work(self, tasks: Iterable[model.TaskKey], now_s: float) -> None:
        """Records the tasks that are at work now."""
        for task in tasks:
            self._at_work_s[task] = now_s
            self._ended_by_order.discard(task)

    def record_order(
        self, tasks: Iterable[model.TaskKey], order: str, now_s: float
    ) -> None:
        """Records that an order ends tasks which are at work."""
        for task in sorted(tasks):
            limit = self._limits.get(task, 0)
            away = [
                other
                for other in self._limits
                if other[:3] == task[:3]
                and other != task
                and self._is_away(other, now_s)
            ]
            if limit and len(away) >= limit:
                others = ", ".join(map(str, away))
                self._history.record_break(
                    history_module.Rule.AVAILABILITY,
                    now_s,
                    f"{order} ends {task}, while {others} are away",
                )
            self._ended_by_order.add(task)

    def _is_away(self, task: model.TaskKey, now_s: float) -> bool:
        if task in self._ended_by_order:
            return True
        return now_s - self._at_work_s[task] >= _NOTICE_S
