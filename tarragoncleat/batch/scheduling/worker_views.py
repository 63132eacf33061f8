"""Free resources and task counts of workers, as input for placement."""

from collections.abc import Collection
import dataclasses
import math

from tarragoncleat.batch.replicated import crashes
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.replicated import worker_state

__all__ = ["ViewCache", "WorkerView", "build_views"]

# A task that runs for so long after a crash probably didn't cause it, and is no
# longer kept apart.
_PROBATION_MS = 5_000


@dataclasses.dataclass(slots=True)
class WorkerView:
    """A worker with its free resources.

    Attributes:
        record: The worker.
        free: Resources that no task reserves.
        is_schedulable: Whether the worker may get tasks now.
        is_due_for_maintenance: Whether its instance awaits maintenance.
        has_crashed_recently: Whether an earlier worker on its instance ended
            shortly before, without a notice.
        penalty: Rank penalty; 0 for none.
        tasks_by_step: Number of tasks by step (job, occurrence, step).
        latency_sensitive_tasks: Number of tasks with a latency target.
        best_effort_tasks: Number of best-effort tasks.
        long_running_tasks: Number of long-running tasks.
        task_count: Number of tasks.
        suspect_jobs: Jobs of the tasks on probation after a crash.
        isolated_job: The only job whose tasks may be added; empty for any.
        is_closed: Whether the plan adds no tasks, so that the worker becomes
            vacant for a task that must run alone.
        is_modified: Whether a plan has changed the view.
    """

    record: model.WorkerRecord
    free: model.Resources
    is_schedulable: bool = True
    is_due_for_maintenance: bool = False
    has_crashed_recently: bool = False
    penalty: float = 0.0
    tasks_by_step: dict[tuple[str, int, int], int] = dataclasses.field(
        default_factory=dict
    )
    latency_sensitive_tasks: int = 0
    best_effort_tasks: int = 0
    long_running_tasks: int = 0
    task_count: int = 0
    suspect_jobs: frozenset[str] = frozenset()
    isolated_job: str = ""
    is_closed: bool = False
    is_modified: bool = False

    @property
    def is_open(self) -> bool:
        """Whether tasks without a suspicion may be added."""
        return (
            self.is_schedulable and not self.isolated_job and not self.is_closed
        )

    @property
    def traits(self) -> tuple[bool, float, bool, bool]:
        """What the leader has found out about the worker."""
        return (
            self.is_schedulable,
            self.penalty,
            self.is_due_for_maintenance,
            self.has_crashed_recently,
        )

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

    def add_suspect(self, job_id: str, suspicion: crashes.Suspicion) -> None:
        """Keeps other suspects, or all tasks of other jobs, off the worker."""
        self.suspect_jobs |= {job_id}
        if suspicion is crashes.Suspicion.PROBABLE:
            self.isolated_job = job_id
        self.is_modified = True

    def close(self) -> None:
        """Lets the plan add no tasks."""
        self.is_closed = True
        self.is_modified = True


@dataclasses.dataclass(frozen=True, slots=True)
class _CacheEntry:
    """A view with the worker and revision that it was built from.

    `valid_until_ms` is when a task's probation ends.
    """

    worker: worker_state.Worker
    revision: int
    view: WorkerView
    valid_until_ms: float


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
        """Whether the last refresh found workers added, removed or resized."""
        return self._has_other_workers

    def refresh(
        self,
        state: state_module.BatchState,
        schedulable_workers: dict[str, float],
        due_for_maintenance: Collection[str] = (),
        now_ms: int = 0,
        crashed_instances: Collection[str] = (),
    ) -> dict[str, list[WorkerView]]:
        """Returns the views of all workers by service.

        Args:
            state: The replicated state.
            schedulable_workers: Penalty of each worker that may get tasks.
            due_for_maintenance: Instances to avoid for long-running tasks.
            now_ms: Time in milliseconds since the epoch.
            crashed_instances: Instances to avoid for tasks that are suspected
                of crashing their workers.
        """
        previous, self._entries = self._entries, {}
        self._changed_services = set()
        self._has_other_workers = False
        views: dict[str, list[WorkerView]] = {}
        for worker_id, worker in state.workers.items():
            entry = previous.pop(worker_id, None)
            is_schedulable = (
                worker_id in schedulable_workers
                and worker.state is worker_state.WorkerState.UP
            )
            traits = (
                is_schedulable,
                schedulable_workers.get(worker_id, 0.0),
                worker.record.instance in due_for_maintenance,
                worker.record.instance in crashed_instances,
            )
            if (
                entry is None
                or entry.worker is not worker
                or entry.revision != worker.revision
                or entry.view.is_modified
                or entry.view.traits != traits
                or now_ms >= entry.valid_until_ms
            ):
                view, valid_until_ms = _build_view(state, worker, now_ms)
                (
                    view.is_schedulable,
                    view.penalty,
                    view.is_due_for_maintenance,
                    view.has_crashed_recently,
                ) = traits
                if (
                    entry is None
                    or entry.worker is not worker
                    or entry.view.record.capacity != worker.record.capacity
                ):
                    self._has_other_workers = True
                entry = _CacheEntry(
                    worker, worker.revision, view, valid_until_ms
                )
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
    now_ms: int = 0,
) -> dict[str, list[WorkerView]]:
    """Returns the views of all workers by service, without a cache."""
    return ViewCache().refresh(
        state, schedulable_workers, due_for_maintenance, now_ms
    )


def _build_view(
    state: state_module.BatchState, worker: worker_state.Worker, now_ms: int
) -> tuple[WorkerView, float]:
    """Returns a view, and when the first probation on the worker ends."""
    view = WorkerView(worker.record, worker.record.capacity)
    valid_until_ms = math.inf
    for key in worker.tasks:
        located = state.task(key)
        if located is None:
            continue
        _, step, task = located
        view.add_task(key, step.definition, step.demand)
        if key.position not in step.suspects:
            continue
        probation_end_ms = task.started_ms + _PROBATION_MS
        if now_ms < probation_end_ms:
            view.add_suspect(key.job_id, crashes.suspicion(task))
            valid_until_ms = min(valid_until_ms, probation_end_ms)
    view.is_modified = False
    return view, valid_until_ms
