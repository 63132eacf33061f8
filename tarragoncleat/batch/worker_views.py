"""Free resources and task counts of workers, as input for placement."""

from collections.abc import Collection
import dataclasses

from tarragoncleat.batch import model
from tarragoncleat.batch import state as state_module

__all__ = ["ViewCache", "WorkerView", "build_views"]


@dataclasses.dataclass(slots=True)
class WorkerView:
    """A worker with its free resources.

    Attributes:
        record: The worker.
        free: Resources that no task reserves.
        is_schedulable: Whether the worker may get tasks now.
        is_due_for_maintenance: Whether its instance awaits maintenance.
        penalty: Rank penalty; 0 for none.
        tasks_by_step: Number of tasks by step (job, occurrence, step).
        latency_sensitive_tasks: Number of tasks with a latency target.
        best_effort_tasks: Number of best-effort tasks.
        long_running_tasks: Number of long-running tasks.
        task_count: Number of tasks.
        is_modified: Whether a plan has added tasks to the view.
    """

    record: model.WorkerRecord
    free: model.Resources
    is_schedulable: bool = True
    is_due_for_maintenance: bool = False
    penalty: float = 0.0
    tasks_by_step: dict[tuple[str, int, int], int] = dataclasses.field(
        default_factory=dict
    )
    latency_sensitive_tasks: int = 0
    best_effort_tasks: int = 0
    long_running_tasks: int = 0
    task_count: int = 0
    is_modified: bool = False

    def add_task(
        self, key: model.TaskKey, definition: model.StepDefinition
    ) -> None:
        """Adds a task and deducts its demand."""
        self.free = self.free.minus(definition.demand)
        step = key[:3]
        self.tasks_by_step[step] = self.tasks_by_step.get(step, 0) + 1
        self.latency_sensitive_tasks += definition.latency_target_ms > 0
        self.best_effort_tasks += definition.best_effort
        self.long_running_tasks += definition.long_running
        self.task_count += 1
        self.is_modified = True


@dataclasses.dataclass(frozen=True, slots=True)
class _CacheEntry:
    """A view with the worker and revision that it was built from."""

    worker: state_module.Worker
    revision: int
    view: WorkerView


class ViewCache:
    """Caches the views of workers whose tasks have not changed.

    Placement runs after each commit, which changes only a few workers. Without
    the cache, looking up all tasks would take most of the placement's time.
    """

    def __init__(self) -> None:
        """Creates an empty cache."""
        self._entries: dict[str, _CacheEntry] = {}

    def refresh(
        self,
        state: state_module.BatchState,
        schedulable_workers: dict[str, float],
        due_for_maintenance: Collection[str] = (),
    ) -> dict[str, list[WorkerView]]:
        """Returns the views of all workers by service.

        Args:
            state: The replicated state.
            schedulable_workers: Penalty of each worker that may get tasks.
            due_for_maintenance: Instances to avoid for long-running tasks.
        """
        cached: dict[str, _CacheEntry] = {}
        views: dict[str, list[WorkerView]] = {}
        for worker_id, worker in state.workers.items():
            entry = self._entries.get(worker_id)
            if (
                entry is None
                or entry.worker is not worker
                or entry.revision != worker.revision
                or entry.view.is_modified
            ):
                view = _build_view(state, worker)
                entry = _CacheEntry(worker, worker.revision, view)
            cached[worker_id] = entry
            view = entry.view
            view.penalty = schedulable_workers.get(worker_id, 0.0)
            view.is_due_for_maintenance = (
                worker.record.instance in due_for_maintenance
            )
            view.is_schedulable = (
                worker_id in schedulable_workers
                and worker.state is state_module.WorkerState.UP
            )
            views.setdefault(worker.record.service, []).append(view)
        self._entries = cached
        return views


def build_views(
    state: state_module.BatchState,
    schedulable_workers: dict[str, float],
    due_for_maintenance: Collection[str] = (),
) -> dict[str, list[WorkerView]]:
    """Returns the views of all workers by service, without a cache."""
    return ViewCache().refresh(state, schedulable_workers, due_for_maintenance)


def _build_view(
    state: state_module.BatchState, worker: state_module.Worker
) -> WorkerView:
    view = WorkerView(worker.record, worker.record.capacity)
    for key in worker.tasks:
        located = state.task(key)
        if located is not None:
            view.add_task(key, located[1].definition)
    view.is_modified = False
    return view
