"""Crash evidence in snapshots of the replicated state.

It stands behind the other values and apart from the tasks, because a build
without it reads just those.
"""

from collections.abc import Callable, Iterable, Mapping

from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import worker_state

__all__ = ["pack", "restore"]

FindTask = Callable[
    [model.TaskKey],
    tuple[jobs_module.Job, jobs_module.Step, jobs_module.Task] | None,
]


def pack(
    jobs: Iterable[jobs_module.Job],
    workers: Mapping[str, worker_state.Worker],
) -> dict[str, list]:
    """Returns what crashes are judged by, for a snapshot.

    Only tasks that run or are under suspicion are included.

    Args:
        jobs: All jobs.
        workers: Workers by id.
    """
    tasks = {
        task.key: task
        for job in jobs
        for task in (*job.running_tasks(), *job.suspect_tasks())
    }
    evidence: dict[str, list] = {
        "tasks": [
            [
                list(key),
                task.started_ms,
                list(task.crashed_instances),
                task.was_last_started,
            ]
            for key, task in tasks.items()
        ],
        "lapsed": [
            [worker_id, sorted(map(list, worker.lapsed_tasks))]
            for worker_id, worker in workers.items()
            if worker.lapsed_tasks
        ],
    }
    # Apart from "tasks", of which an earlier build reads just these four
    # values.
    confirmed = [
        [list(key), list(task.confirmed_crashes)]
        for key, task in tasks.items()
        if task.confirmed_crashes
    ]
    if confirmed:
        evidence["confirmed"] = confirmed
    return evidence


def restore(
    packed: dict[str, list],
    find_task: FindTask,
    workers: Mapping[str, worker_state.Worker],
) -> None:
    """Adds the evidence of a snapshot to its jobs and workers.

    Args:
        packed: The evidence, as packed.
        find_task: Returns a task with its job and step, or None.
        workers: Workers by id.
    """
    for key, started_ms, instances, was_last_started in packed["tasks"]:
        located = find_task(model.TaskKey(*key))
        if located is None:
            continue
        job, _, task = located
        task.started_ms = started_ms
        for instance in instances:
            job.add_crash(task, instance, was_last_started)
    for key, instances in packed.get("confirmed", ()):
        located = find_task(model.TaskKey(*key))
        if located is not None:
            for instance in instances:
                located[0].confirm_crash(located[2], instance)
    for worker_id, keys in packed["lapsed"]:
        workers[worker_id].lapsed_tasks = frozenset(
            model.TaskKey(*key) for key in keys
        )
