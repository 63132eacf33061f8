"""Workers as a plan sees them: the room left on each, and what it holds."""

from collections.abc import Collection
import dataclasses

from tarragoncleat.batch import model
from tarragoncleat.batch import state as state_module

__all__ = ["ViewCache", "WorkerView", "views_of"]


@dataclasses.dataclass(slots=True)
class WorkerView:
    """A worker with the room that is left on it.

    Attributes:
        record: The worker.
        free: Room that no task takes.
        is_open: Whether it may get tasks now.
        is_passing: Whether its instance will leave or be maintained soon.
        penalty: Reasons to prefer other workers; 0 for none.
        steps: Number of tasks of each step (job, occurrence, step) on it.
        serving: Number of tasks with a latency target.
        best_effort: Number of tasks that use left-over processor time.
        lasting: Number of tasks that last.
        tasks: Number of tasks.
        is_changed: Whether a plan took room of it.
    """

    record: model.WorkerRecord
    free: model.Resources
    is_open: bool = True
    is_passing: bool = False
    penalty: float = 0.0
    steps: dict[tuple[str, int, int], int] = dataclasses.field(
        default_factory=dict
    )
    serving: int = 0
    best_effort: int = 0
    lasting: int = 0
    tasks: int = 0
    is_changed: bool = False

    def take(
        self, key: model.TaskKey, definition: model.StepDefinition
    ) -> None:
        """Takes the room of a task."""
        self.free = self.free.minus(definition.demand)
        step = key[:3]
        self.steps[step] = self.steps.get(step, 0) + 1
        self.serving += definition.latency_target_ms > 0
        self.best_effort += definition.best_effort
        self.lasting += definition.long_running
        self.tasks += 1
        self.is_changed = True


@dataclasses.dataclass(frozen=True, slots=True)
class _Cached:
    """A view, and the worker that it was made of."""

    worker: state_module.Worker
    revision: int
    view: WorkerView


class ViewCache:
    """Keeps the views of workers whose tasks have not changed.

    A plan follows each commit, and a commit changes a few workers; looking up
    each task of each worker anew would take most of the plan's time.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._cached: dict[str, _Cached] = {}

    def refresh(
        self,
        state: state_module.BatchState,
        open_workers: dict[str, float],
        passing: Collection[str] = (),
    ) -> dict[str, list[WorkerView]]:
        """Returns the workers of each service with the room left on them.

        Args:
            state: The state.
            open_workers: Penalty of each worker that may get tasks.
            passing: Instances that are no good place for tasks that last.
        """
        cached: dict[str, _Cached] = {}
        views: dict[str, list[WorkerView]] = {}
        for worker_id, worker in state.workers.items():
            entry = self._cached.get(worker_id)
            if (
                entry is None
                or entry.worker is not worker
                or entry.revision != worker.revision
                or entry.view.is_changed
            ):
                view = _view_of(state, worker)
                entry = _Cached(worker, worker.revision, view)
            cached[worker_id] = entry
            view = entry.view
            view.penalty = open_workers.get(worker_id, 0.0)
            view.is_passing = worker.record.instance in passing
            view.is_open = (
                worker_id in open_workers
                and worker.state is state_module.WorkerState.UP
            )
            views.setdefault(worker.record.service, []).append(view)
        self._cached = cached
        return views


def views_of(
    state: state_module.BatchState,
    open_workers: dict[str, float],
    passing: Collection[str] = (),
) -> dict[str, list[WorkerView]]:
    """Returns the views of all workers, made anew."""
    return ViewCache().refresh(state, open_workers, passing)


def _view_of(
    state: state_module.BatchState, worker: state_module.Worker
) -> WorkerView:
    view = WorkerView(worker.record, worker.record.capacity)
    for key in worker.tasks:
        found = state.task(key)
        if found is not None:
            view.take(key, found[1].definition)
    view.is_changed = False
    return view
