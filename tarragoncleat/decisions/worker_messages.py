"""Responses of workers, and the ids of tasks and actions.

Ids are derived from committed state alone, so that a new leader repeats a call
with the same id and the worker carries it out once.
"""

import dataclasses
import enum

from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = [
    "RebootStatus",
    "Report",
    "Task",
    "TaskState",
    "drain_action_id",
    "interrupt_action_id",
    "job_of_task",
    "reboot_action_id",
    "task_id_of",
]

_SEPARATOR = "~"


class TaskState(enum.Enum):
    """The state of a task on a worker."""

    RUNNING = "running"
    THROTTLED = "throttled"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    EXITED = "exited"

    @property
    def is_active(self) -> bool:
        """Whether the task occupies capacity of the worker."""
        return self in (TaskState.RUNNING, TaskState.THROTTLED)


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """A task in a report; the usage may be older than `usage_at_ms`.

    `exit` is the exit status of an exited task, else None.
    """

    task_id: str
    state: TaskState
    cores_used: float
    memory_mb_used: float
    usage_at_ms: int
    exit: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The report of a worker; times are readings of its own clock."""

    instance_id: str
    boot_id: str
    clock_ms: int
    lease_until_ms: int
    fence: int
    draining: bool
    tasks: tuple[Task, ...] = ()

    def lease_has_ended(self, fence: int) -> bool:
        """Returns whether a lease with this fence, or a later one, has expired.

        An expired lease can't be renewed, not even by a renewal in flight.
        """
        return self.fence >= fence and self.lease_until_ms <= self.clock_ms

    @property
    def is_idle(self) -> bool:
        """Whether no task occupies capacity."""
        return not any(task.state.is_active for task in self.tasks)


@dataclasses.dataclass(frozen=True, slots=True)
class RebootStatus:
    """Whether the reboot with this action id is done."""

    action_id: str
    done: bool


def task_id_of(job: jobs.Job) -> str:
    """Returns the task id of the current placement of a job."""
    return f"{job.job_id}{_SEPARATOR}{job.attempt}"


def job_of_task(task_id: str) -> tuple[ids.JobId, int] | None:
    """Returns the job id and attempt of a task; None for an invalid id."""
    job_id, separator, attempt = task_id.rpartition(_SEPARATOR)
    if not separator or not attempt.isdecimal():
        return None
    return ids.JobId(job_id), int(attempt)


def interrupt_action_id(task_id: str, action: profiles.Interruption) -> str:
    """Returns the id of an interruption, which is made once for each task."""
    return f"{action.value}.{task_id}"


def drain_action_id(instance: pools.Instance) -> str:
    """Returns the id of starting or ending the drain at this revision."""
    return f"drain.{instance.instance_id}.{instance.revision}"


def reboot_action_id(instance: pools.Instance) -> str:
    """Returns the id of the reboot for the instance's wave."""
    return f"reboot.{instance.instance_id}.{instance.wave_id}"
