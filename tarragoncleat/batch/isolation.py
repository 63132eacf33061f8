"""Places tasks under which workers crashed, apart from others.

Designed for a pool in which a few tasks crash each worker that starts them. The
tasks of a crashed worker are queued at the same moment; placed together again
they would share the next crash as well.
"""

from collections.abc import Iterable, Sequence

from tarragoncleat.batch import commands
from tarragoncleat.batch import crashes
from tarragoncleat.batch import jobs as jobs_module
from tarragoncleat.batch import placement_rank
from tarragoncleat.batch import worker_views

__all__ = ["place_alone", "place_apart", "workers_for_gang"]

# Limits the capacity that is lost to tasks that run alone.
_MAX_ISOLATED_SHARE = 0.25

_Views = Sequence[worker_views.WorkerView]


def place_apart(
    step: jobs_module.Step, positions: Iterable[int], workers: _Views
) -> list[commands.RunStart]:
    """Places tasks on workers without suspects of other jobs."""
    starts = []
    for position in positions:
        candidates = _without_other_suspects(step, workers)
        view = _best(step, position, candidates)
        if view is not None:
            starts.append(_start(step, position, view))
    return starts


def place_alone(
    step: jobs_module.Step, positions: Iterable[int], workers: _Views
) -> list[commands.RunStart]:
    """Places tasks on workers without tasks of other jobs.

    If there is no such worker, one is closed until it is vacant. Long-running
    tasks don't end, so a worker that has only these is used if all have some.

    Args:
        step: A step that is no gang.
        positions: The tasks.
        workers: All workers that may get tasks, in any order.
    """
    starts = []
    for position in positions:
        view = _worker_of_own(step, position, workers)
        if view is None:
            view = _worker_to_isolate(step, position, workers)
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
    otherwise they are those without suspects of other jobs.
    """
    job_id = step.tasks[0].key.job_id
    own = [
        view
        for view in workers
        if not view.task_count or view.isolated_job == job_id
    ]
    if placement_rank.room_for(step, own) >= len(step.tasks):
        return own
    return _without_other_suspects(step, workers)


def _without_other_suspects(step: jobs_module.Step, workers: _Views) -> _Views:
    job_id = step.tasks[0].key.job_id
    return [
        view
        for view in workers
        if view.is_open and not view.suspect_jobs - {job_id}
    ]


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
        if not view.isolated_job and placement_rank.suits_vacant(step, view)
    ]
    return min(
        candidates,
        key=lambda view: (
            view.long_running_tasks,
            view.record.instance in task.crashed_instances,
            view.task_count,
            view.record.worker_id,
        ),
        default=None,
    )


def _best(
    step: jobs_module.Step, position: int, workers: _Views
) -> worker_views.WorkerView | None:
    """Returns the worker that suits a task best, or None.

    An instance on which a worker crashed under it comes last: the instance may
    be at fault.
    """
    task = step.tasks[position]
    suitable = [
        view for view in workers if placement_rank.can_run(task.key, step, view)
    ]
    return min(
        suitable,
        key=lambda view: (
            view.record.instance in task.crashed_instances,
            *placement_rank.rank(task.key, step.definition, view),
        ),
        default=None,
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
