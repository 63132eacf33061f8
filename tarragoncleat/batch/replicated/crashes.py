"""Attribution of a worker's crash to the tasks that ran on it.

A task may crash each worker that starts it, and takes all tasks beside it down.
The number of crashes alone doesn't tell it from those that were beside it more
than once, so suspects are kept apart, and a task is given up after a crash of a
worker that its job had to itself. A run counts as proof only if its worker has
confirmed it: one that is stored may not have reached the worker before the end.
"""

from collections.abc import Collection, Sequence, Set
import dataclasses
import enum

from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model

__all__ = ["Crash", "Suspicion", "record_crash", "suspects", "suspicion"]

# A run that lasted as long clears its task: it doesn't crash at its start.
_CLEARING_RUN_MS = 60_000
# Instances on which a task must have crashed a worker; one instance may fail
# again and again by itself. The longer a task runs, the more likely the crashes
# had other causes.
_MIN_INSTANCES_PROMPT = 2
_MIN_INSTANCES = 3
# Includes the time until a worker's successor answers.
_PROMPT_CRASH_MS = 10_000
# A task in company, or one whose runs are never confirmed, is given up before
# the users' limit of three more starts after three crashes.
_MAX_CRASHES = 5
_PROBABLE_CRASHES = 2

_JobTask = tuple[jobs_module.Job, jobs_module.Task]


class Suspicion(enum.Enum):
    """How likely a task crashes its worker.

    POSSIBLE tasks run beside few suspects of other jobs, PROBABLE ones without
    tasks of other jobs.
    """

    NONE = "none"
    POSSIBLE = "possible"
    PROBABLE = "probable"


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash with the tasks that ran on the worker.

    Attributes:
        worker: The worker.
        was_isolated: Whether only one job's tasks ran on it.
        tasks: The tasks, with the number of crashes of each.
        unconfirmed: Those of them that may not have begun before the crash.
        given_up: Jobs of which a task was given up.
    """

    worker: model.WorkerRecord
    was_isolated: bool
    tasks: tuple[tuple[model.TaskKey, int], ...]
    unconfirmed: tuple[model.TaskKey, ...]
    given_up: tuple[str, ...]


def suspicion(task: jobs_module.Task) -> Suspicion:
    """Returns the suspicion against a task."""
    if not task.crashed_instances:
        return Suspicion.NONE
    is_probable = (
        task.was_last_started
        or len(task.crashed_instances) >= _PROBABLE_CRASHES
    )
    return Suspicion.PROBABLE if is_probable else Suspicion.POSSIBLE


def record_crash(
    worker: model.WorkerRecord,
    tasks: Collection[_JobTask],
    confirmed: Set[model.TaskKey],
    now_ms: int,
    was_lapsed: bool,
) -> Crash:
    """Counts a crash for all tasks that ran on the worker.

    Gives up the tasks that crash their workers.

    Args:
        worker: The worker.
        tasks: The tasks with their jobs, also of jobs that have ended.
        confirmed: The tasks that ran there for certain.
        now_ms: Time of the log record.
        was_lapsed: Whether the worker's lease had expired before its end was
            known. It may have been cut off, and have ended after its tasks, so
            the crash is no proof against any of them.
    """
    was_isolated = not was_lapsed and len({job.job_id for job, _ in tasks}) == 1
    last_started: Set[model.TaskKey] = frozenset()
    if not was_lapsed:
        last_started = _first_suspects(tasks, confirmed)
    unfinished = [
        (job, task)
        for job, task in tasks
        if task.state is not jobs_module.TaskState.DONE
    ]
    for job, task in unfinished:
        if task.started_ms and now_ms - task.started_ms >= _CLEARING_RUN_MS:
            job.clear_crashes(task)
        job.add_crash(task, worker.instance, task.key in last_started)
        if task.key in confirmed and not was_lapsed:
            job.confirm_crash(task, worker.instance)
    guilty: Sequence[_JobTask] = [
        (job, task)
        for job, task in unfinished
        if len(task.crashed_instances) >= _MAX_CRASHES
    ]
    if was_isolated and not guilty:
        guilty = _proven(unfinished, confirmed, now_ms)
    return Crash(
        worker,
        was_isolated,
        tuple(
            (task.key, len(task.crashed_instances)) for _, task in unfinished
        ),
        tuple(task.key for _, task in unfinished if task.key not in confirmed),
        tuple(job.job_id for job, task in guilty if job.give_up(task, now_ms)),
    )


def _first_suspects(
    tasks: Collection[_JobTask], confirmed: Set[model.TaskKey]
) -> Set[model.TaskKey]:
    """Returns the tasks that were started last, and so are the most suspicious.

    These are the last ones that began, and the last ones that may not have
    begun: their worker may have crashed before it answered.
    """
    began = [task for _, task in tasks if task.key in confirmed]
    others = [task for _, task in tasks if task.key not in confirmed]
    return _last_started(began) | _last_started(others)


def _last_started(tasks: Collection[jobs_module.Task]) -> Set[model.TaskKey]:
    """Returns the tasks that were started last, if they are of one job."""
    last_ms = max((task.started_ms for task in tasks), default=0)
    last = {task.key for task in tasks if task.started_ms == last_ms}
    if not last_ms or len({key.job_id for key in last}) > 1:
        return frozenset()
    return last


def _proven(
    tasks: Sequence[_JobTask], confirmed: Set[model.TaskKey], now_ms: int
) -> Sequence[_JobTask]:
    """Returns the tasks of one job that a crash proves guilty.

    Only one of them need have caused it, so each that began must have crashed
    as often. Unless the job fails with any of them, a task must be alone.
    """
    culprits = [(job, task) for job, task in tasks if task.key in confirmed]
    is_alone = len(tasks) == 1
    if not is_alone and not all(job.needs(task) for job, task in tasks):
        return ()
    if any(
        len(set(task.crashed_instances)) < _needed_instances(job, task, now_ms)
        for job, task in culprits
    ):
        return ()
    return [
        (job, task)
        for job, task in culprits
        if len(set(task.confirmed_crashes))
        >= _needed_instances(job, task, now_ms)
    ]


def _needed_instances(
    job: jobs_module.Job, task: jobs_module.Task, now_ms: int
) -> int:
    is_prompt = (
        now_ms - task.started_ms < _PROMPT_CRASH_MS and not job.is_long_running
    )
    return _MIN_INSTANCES_PROMPT if is_prompt else _MIN_INSTANCES


def suspects(step: jobs_module.Step, level: Suspicion) -> list[int]:
    """Returns the positions of the waiting tasks under one suspicion."""
    return sorted(
        position
        for position in step.waiting & step.suspects
        if suspicion(step.tasks[position]) is level
    )
