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

    @property
    def traits(self) -> tuple[bool, float, bool]:
        """What the leader has found out about the worker."""
        return self.is_schedulable, self.penalty, self.is_due_for_maintenance

    def add_task(
        self,
        key: model.TaskKey,
        definition: model.StepDefinition,
        demand: model.Resources,
    ) -> None:
        """Adds a task and deducts its demand."""
        self.free = self.free.minus(demand)
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
        self._changed_services: set[str] = set()
        self._has_other_workers = False

    @property
    def changed_services(self) -> frozenset[str]:
        """Services whose views the last refresh changed."""
        return frozenset(self._changed_services)

    @property
    def has_other_workers(self) -> bool:
        """Whether the last refresh found workers added or removed."""
        return self._has_other_workers

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
        previous, self._entries = self._entries, {}
        self._changed_services = set()
        self._has_other_workers = False
        views: dict[str, list[WorkerView]] = {}
        for worker_id, worker in state.workers.items():
            entry = previous.pop(worker_id, None)
            is_schedulable = (
                worker_id in schedulable_workers
                and worker.state is state_module.WorkerState.UP
            )
            traits = (
                is_schedulable,
                schedulable_workers.get(worker_id, 0.0),
                worker.record.instance in due_for_maintenance,
            )
            if (
                entry is None
                or entry.worker is not worker
                or entry.revision != worker.revision
                or entry.view.is_modified
                or entry.view.traits != traits
            ):
                view = _build_view(state, worker)
                (
                    view.is_schedulable,
                    view.penalty,
                    view.is_due_for_maintenance,
                ) = traits
                if entry is None or entry.worker is not worker:
                    self._has_other_workers = True
                entry = _CacheEntry(worker, worker.revision, view)
                self._changed_services.add(worker.record.service)
            self._entries[worker_id] = entry
            views.setdefault(worker.record.service, []).append(entry.view)
        for entry in previous.values():
            self._has_other_workers = True
            self._changed_services.add(entry.worker.record.service)
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
            view.add_task(key, located[1].definition, located[1].demand)
    view.is_modified = False
    return view
