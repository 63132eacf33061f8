"""The replicated state of a worker."""

import collections.abc
import dataclasses
import enum

from tarragoncleat.batch.replicated import model

__all__ = ["Worker", "WorkerState"]


class WorkerState(enum.Enum):
    """Replicated state of a worker."""

    UP = "up"
    DRAINING = "draining"
    LEASE_EXPIRED = "lapsed"


class Worker:
    """A worker, and the tasks that run or may run on it.

    `revision` increases with each change to the tasks. `lapsed_tasks` are those
    that ran when the lease expired: the worker may have crashed under them.
    """

    __slots__ = ("_tasks", "lapsed_tasks", "record", "revision", "state")

    def __init__(self, record: model.WorkerRecord) -> None:
        """Creates a worker on which nothing runs."""
        self.record = record
        self.state = WorkerState.UP
        self._tasks: set[model.TaskKey] = set()
        self.lapsed_tasks: frozenset[model.TaskKey] = frozenset()
        self.revision = 0

    @property
    def tasks(self) -> collections.abc.Set[model.TaskKey]:
        """Tasks that run or may run on the worker."""
        return self._tasks

    def resize(self, capacity: model.Resources) -> None:
        """Takes over a capacity, also one that is smaller than what runs."""
        if capacity == self.record.capacity:
            return
        self.record = dataclasses.replace(
            self.record,
            cpu_millicores=capacity.cpu_millicores,
            memory_mb=capacity.memory_mb,
            accelerators=capacity.accelerators,
        )
        self.revision += 1

    def add_task(self, key: model.TaskKey) -> None:
        """Adds a task."""
        self._tasks.add(key)
        self.revision += 1

    def discard_task(self, key: model.TaskKey) -> None:
        """Removes a task if it is present."""
        self._tasks.discard(key)
        self.revision += 1

    def clear_tasks(self) -> None:
        """Removes all tasks."""
        self._tasks.clear()
        self.revision += 1
