"""Which workers can run a task, and which of them suit it best."""

from collections.abc import Iterable

from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.scheduling import worker_views

__all__ = ["can_run", "packing_preference", "rank", "room_for", "suits_vacant"]

_LONG_RUNNING, _IN_USE, _IDLE = range(3)
_UNLIMITED = 1_000_000


def can_run(
    key: model.TaskKey,
    step: jobs_module.Step,
    view: worker_views.WorkerView,
) -> bool:
    """Whether a worker has room for a task, and its step allows the worker."""
    if not step.demand.fits_into(view.free):
        return False
    definition = step.definition
    label = definition.required_label
    if label and label not in view.record.labels:
        return False
    max_per_worker = definition.max_per_worker
    return (
        not max_per_worker
        or view.tasks_by_step.get(key[:3], 0) < max_per_worker
    )


def suits_vacant(step: jobs_module.Step, view: worker_views.WorkerView) -> bool:
    """Whether a worker could run a task of the step if it were vacant."""
    label = step.definition.required_label
    has_label = not label or label in view.record.labels
    return has_label and step.demand.fits_into(view.record.capacity)


def room_for(
    step: jobs_module.Step, views: Iterable[worker_views.WorkerView]
) -> int:
    """Returns how many tasks of a step fit on workers, at most all."""
    key = step.tasks[0].key
    room = 0
    for view in views:
        if can_run(key, step, view):
            room += min(
                _multiple(step.demand, view.free),
                step.definition.max_per_worker or len(step.tasks),
            )
    return min(room, len(step.tasks))


def _multiple(demand: model.Resources, free: model.Resources) -> int:
    """Returns how often a demand fits into free resources."""
    ratios = (
        available // needed
        for needed, available in zip(demand, free, strict=True)
        if needed
    )
    return min(ratios, default=_UNLIMITED)


def rank(
    key: model.TaskKey,
    definition: model.StepDefinition,
    view: worker_views.WorkerView,
) -> tuple:
    """Returns the rank of a worker for a task; the lowest is the best."""
    data_rack = definition.data_rack
    is_remote = bool(data_rack) and view.record.rack != data_rack
    interfering = 0
    if definition.best_effort:
        interfering = view.latency_sensitive_tasks
    elif definition.latency_target_ms:
        interfering = view.best_effort_tasks
    is_due_for_maintenance = (
        view.is_due_for_maintenance and definition.long_running
    )
    same_step = (
        view.tasks_by_step.get(key[:3], 0) if definition.long_running else 0
    )
    return (
        view.penalty,
        is_remote,
        is_due_for_maintenance,
        same_step,
        interfering,
        *packing_preference(view),
        view.record.worker_id,
    )


def packing_preference(view: worker_views.WorkerView) -> tuple[int, int]:
    """Returns a rank that packs tasks so that whole workers become idle.

    Workers with long-running tasks can't move anyway, so they are filled first,
    evenly. Of the others the fullest come first and idle ones last.
    """
    free = view.free.cpu_millicores
    if view.long_running_tasks:
        return _LONG_RUNNING, -free
    return (_IN_USE, free) if view.task_count else (_IDLE, free)
