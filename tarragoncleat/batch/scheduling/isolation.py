"""Places tasks under which workers crashed, apart from others.

Designed for a pool in which a few tasks crash each worker that starts them. The
tasks of a crashed worker are queued at the same moment; placed together again
they would share the next crash as well.
"""

from collections.abc import Iterable, Sequence

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import crashes
from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.scheduling import placement_rank
from tarragoncleat.batch.scheduling import worker_views

__all__ = ["place_alone", "place_apart", "workers_for_gang"]

# Limits the capacity that other tasks lack for those that run alone.
_MAX_ISOLATED_SHARE = 0.25
# Each crash makes a dozen suspects, nearly all of them innocent. With one on a
# worker they would wait for each other.
_MAX_OTHER_SUSPECTS = 3

_Views = Sequence[worker_views.WorkerView]


def place_apart(
    step: jobs_module.Step, positions: Iterable[int], workers: _Views
) -> list[commands.RunStart]:
    """Places tasks on workers with few suspects of other jobs."""
    starts = []
    for position in positions:
        candidates = _with_few_suspects(step, workers)
        view = _best(step, position, candidates)
        if view is not None:
            starts.append(_start(step, position, view))
    return starts


def place_alone(
    step: jobs_module.Step,
    positions: Iterable[int],
    workers: _Views,
    is_first: bool,
) -> list[commands.RunStart]:
    """Places tasks on workers without tasks of other jobs.

    Args:
        step: A step that is no gang.
        positions: The tasks.
        workers: All workers that may get tasks, in any order.
        is_first: Whether other tasks are still to be placed. The share of the
            workers is limited then. If none is vacant, one is closed until it
            is; long-running tasks don't end, so a worker that has only these
            is used if all have some.
    """
    starts = []
    for position in positions:
        view = None
        if not _must_be_single(step, position):
            view = _worker_of_own(step, position, workers)
        if view is None and is_first:
            view = _worker_to_isolate(step, position, workers)
        elif view is None:
            vacant = [view for view in workers if not view.task_count]
            view = _best(step, position, vacant)
        if view is None:
            break
        has_short_tasks = view.task_count > view.long_running_tasks
        if has_short_tasks and not view.isolated_job:
            view.close()
        elif placement_rank.can_run(step.tasks[position].key, step, view):
            starts.append(_start(step, position, view))
    return starts


def workers_for_gang(step: jobs_module.Step, workers: _Views) -> _Views:
    """Returns the workers for a gang with tasks under suspicion.

    These are workers that it has to itself, if all of its tasks fit there.
    Vacating as many as a large gang needs would cost a pool too much, so
    otherwise they are those with few suspects of other jobs.
    """
    job_id = step.tasks[0].key.job_id
    own = [
        view
        for view in workers
        if not view.task_count or view.isolated_job == job_id
    ]
    if placement_rank.room_for(step, own) >= len(step.tasks):
        return own
    return _with_few_suspects(step, workers)


def _with_few_suspects(step: jobs_module.Step, workers: _Views) -> _Views:
    job_id = step.tasks[0].key.job_id
    return [
        view
        for view in workers
        if view.is_open
        and len(view.suspect_jobs - {job_id}) < _MAX_OTHER_SUSPECTS
    ]


def _must_be_single(step: jobs_module.Step, position: int) -> bool:
    """Whether a task is kept apart from those of its own job, too.

    Tasks that last are given up one by one, so that a crash must tell which of
    them is guilty.
    """
    is_probable = len(step.tasks[position].crashed_instances) > 1
    return is_probable and step.definition.long_running


def _worker_of_own(
    step: jobs_module.Step, position: int, workers: _Views
) -> worker_views.WorkerView | None:
    """Returns a worker that the task's job has to itself, or None."""
    job_id = step.tasks[position].key.job_id
    own = [view for view in workers if view.isolated_job == job_id]
    return _best(step, position, own)


def _worker_to_isolate(
    step: jobs_module.Step, position: int, workers: _Views
) -> worker_views.WorkerView | None:
    """Returns the worker that is vacant, or closest to it, or None."""
    isolated = sum(bool(view.isolated_job) for view in workers)
    if isolated >= max(1, int(_MAX_ISOLATED_SHARE * len(workers))):
        return None
    task = step.tasks[position]
    candidates = [
        view
        for view in workers
        if not view.isolated_job and _may_become_usable(step, position, view)
    ]
    return min(
        candidates,
        key=lambda view: (
            view.long_running_tasks,
            _may_be_at_fault(task, view),
            view.task_count,
            view.record.worker_id,
        ),
        default=None,
    )


def _may_become_usable(
    step: jobs_module.Step, position: int, view: worker_views.WorkerView
) -> bool:
    """Whether a task can run on a worker, now or once its short tasks end."""
    key = step.tasks[position].key
    if view.task_count == view.long_running_tasks:
        return placement_rank.can_run(key, step, view)
    definition = step.definition
    if definition.long_running and definition.max_per_worker:
        same_step = view.tasks_by_step.get(key[:3], 0)
        if same_step >= definition.max_per_worker:
            return False
    return placement_rank.suits_vacant(step, view)


def _best(
    step: jobs_module.Step, position: int, workers: _Views
) -> worker_views.WorkerView | None:
    """Returns the worker that suits a task best, or None.

    Instances that may be at fault come last. Tasks of one job stay together, so
    that they are suspects on few workers. Long-running tasks have more to lose
    than others.
    """
    task = step.tasks[position]
    suitable = [
        view for view in workers if placement_rank.can_run(task.key, step, view)
    ]
    return min(
        suitable,
        key=lambda view: (
            _may_be_at_fault(task, view),
            task.key.job_id not in view.suspect_jobs,
            len(view.suspect_jobs),
            view.long_running_tasks > 0,
            *placement_rank.rank(task.key, step.definition, view),
        ),
        default=None,
    )


def _may_be_at_fault(
    task: jobs_module.Task, view: worker_views.WorkerView
) -> bool:
    """Whether a crash under the task there could have another cause."""
    return (
        view.has_crashed_recently
        or view.record.instance in task.crashed_instances
    )


def _start(
    step: jobs_module.Step, position: int, view: worker_views.WorkerView
) -> commands.RunStart:
    task = step.tasks[position]
    view.add_task(task.key, step.definition, step.demand)
    view.add_suspect(task.key.job_id, crashes.suspicion(task))
    return commands.RunStart(
        task.key, step.next_run(position), view.record.worker_id
    )
