"""Jobs with their occurrences, steps and tasks, and their state changes."""

from collections.abc import Iterator
import enum
from typing import Any

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import customers
from tarragoncleat.batch.replicated import model

__all__ = ["Job", "JobState", "Occurrence", "Step", "Task", "TaskState"]


class TaskState(enum.Enum):
    """State of a task; DROPPED means that the job ended before it was done."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    DROPPED = "dropped"


class JobState(enum.Enum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


# Indexes in a packed job.
_PACKED_CALLER, _PACKED_MARK = 8, 9
_ANONYMOUS = customers.Caller(model.CustomerName(""), customers.NO_KEY)
_ENDED_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


class Task:
    """A task with the state of its latest run.

    Attributes:
        key: Key of the task.
        state: State of the task.
        run: Number of the latest run; 0 before the first one.
        failures: Number of runs that ended as failed.
        worker_id: Worker of the latest run.
        checkpoint: Latest saved progress; empty for none.
        started_ms: When the latest run was recorded, in ms since the epoch; 0
            if it isn't known.
        crashed_instances: Instance of each worker that crashed under the task.
        confirmed_crashes: Those of them on which the task is known to have run.
        was_last_started: Whether, on the worker that crashed last under the
            task, only tasks of its job had been started last.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_crashes",
        "crashed_instances",
        "failures",
        "key",
        "run",
        "started_ms",
        "state",
        "was_last_started",
        "worker_id",
    )

    def __init__(self, key: model.TaskKey) -> None:
        """Creates a waiting task."""
        self.key = key
        self.state = TaskState.WAITING
        self.run = 0
        self.failures = 0
        self.worker_id = ""
        self.checkpoint = ""
        self.started_ms = 0
        self.crashed_instances: tuple[str, ...] = ()
        self.confirmed_crashes: tuple[str, ...] = ()
        self.was_last_started = False


class Step:
    """The tasks of one step in one occurrence.

    `suspects` holds the positions of the tasks under which workers crashed.
    """

    __slots__ = (
        "definition",
        "demand",
        "done_count",
        "suspects",
        "tasks",
        "waiting",
    )

    def __init__(
        self, job_id: str, occurrence: int, number: int, definition: Any
    ) -> None:
        """Creates a step whose tasks all wait."""
        self.definition: model.StepDefinition = definition
        self.demand = self.definition.demand
        self.tasks = [
            Task(model.TaskKey(job_id, occurrence, number, position))
            for position in range(definition.task_count)
        ]
        self.waiting = set(range(definition.task_count))
        self.suspects: set[int] = set()
        self.done_count = 0

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count == len(self.tasks)

    @property
    def is_partly_done_gang(self) -> bool:
        """Whether members of one run of a gang are done and others wait."""
        return (
            self.definition.gang
            and 0 < self.done_count < len(self.tasks)
            and self.done_count + len(self.waiting) == len(self.tasks)
            and len({task.run for task in self.tasks}) == 1
        )

    def next_run(self, position: int) -> int:
        """Returns a task's next run number; all members of a gang share it."""
        if self.definition.gang:
            return 1 + max(task.run for task in self.tasks)
        return self.tasks[position].run + 1

    def save_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Records the progress that a run of a task has saved.

        The members of a gang resume from one checkpoint; that of any member is
        valid for all.
        """
        for member in self.tasks if self.definition.gang else (task,):
            member.checkpoint = checkpoint

    def mark_done(self, task: Task) -> None:
        """Records that a task is done."""
        task.state = TaskState.DONE
        self.waiting.discard(task.key.position)
        self.done_count += 1

    def unfinished_members(self, run: int) -> list[Task]:
        """Returns the members of a gang whose latest run is `run`, if not done.

        That includes those that wait again after the loss of their worker: no
        member has started since, because a gang starts as a whole.
        """
        return [
            member
            for member in self.tasks
            if member.run == run
            and member.state in (TaskState.RUNNING, TaskState.WAITING)
        ]


class Occurrence:
    """One execution of a job's steps."""

    __slots__ = ("number", "steps")

    def __init__(
        self, job_id: str, number: int, definition: model.JobDefinition
    ) -> None:
        """Creates the steps."""
        self.number = number
        self.steps = [
            Step(job_id, number, index, step)
            for index, step in enumerate(definition.steps)
        ]

    @property
    def is_done(self) -> bool:
        """Whether all steps are done."""
        return all(step.is_done for step in self.steps)

    def is_ready(self, step: Step) -> bool:
        """Whether the steps that `step` depends on are done."""
        return all(
            self.steps[number].is_done for number in step.definition.depends_on
        )


class Job:
    """An accepted job.

    `revision` increases with each change to the states of its tasks. `caller`
    submitted it. `is_over_weight` marks a job beyond what its customer's weight
    lets it expect.
    """

    __slots__ = (
        "_has_begun",
        "_has_started",
        "accepted_ms",
        "caller",
        "chain_ms",
        "definition",
        "ended_ms",
        "is_over_weight",
        "job_id",
        "next_occurrence",
        "occurrences",
        "queue",
        "revision",
        "state",
    )

    def __init__(
        self,
        job_id: str,
        queue: model.QueueKey,
        definition: model.JobDefinition,
        accepted_ms: int,
        caller: customers.Caller = _ANONYMOUS,
    ) -> None:
        """Creates a queued job, accepted at the leader's time `accepted_ms`."""
        self.job_id = job_id
        self.caller = caller
        self.is_over_weight = False
        self.queue = queue
        self.definition = definition
        self.chain_ms = definition.chain_ms()
        self.accepted_ms = accepted_ms
        self.state = JobState.QUEUED
        self.ended_ms: int | None = None
        self.occurrences: dict[int, Occurrence] = {}
        self.next_occurrence = 0
        self.revision = 0
        self._has_started = False
        self._has_begun = False
        if definition.repeat_count == 0:
            self.open_occurrence(0)

    @property
    def has_ended(self) -> bool:
        """Whether the job is completed, failed or cancelled."""
        return self.state in _ENDED_STATES

    @property
    def has_started(self) -> bool:
        """Whether a task of the job was ever started."""
        return self._has_started

    @property
    def is_waiting(self) -> bool:
        """Whether no task runs or is known to have begun.

        A start may be stored whose worker crashes before it gets the order.
        """
        if not self._has_started:
            return True
        return not self._has_begun and not any(self.running_tasks())

    @property
    def is_long_running(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.definition.steps)

    @property
    def task_count(self) -> int:
        """Number of tasks of all occurrences so far."""
        return len(self.occurrences) * self.definition.task_count

    @property
    def objective_start_ms(self) -> int:
        """Start of the time that the objective limits, in ms since the epoch.

        It is the acceptance, or for a repeated job the due time of the oldest
        occurrence that is not done.
        """
        if not self.definition.repeat_count:
            return self.accepted_ms
        unfinished = (
            number
            for number, occurrence in self.occurrences.items()
            if not occurrence.is_done
        )
        oldest = min(unfinished, default=self.next_occurrence)
        return (
            self.definition.first_run_ms + oldest * self.definition.interval_ms
        )

    def next_due_ms(self) -> int | None:
        """Returns when the next occurrence is due, in ms since the epoch."""
        if self.next_occurrence >= self.definition.repeat_count:
            return None
        offset_ms = self.next_occurrence * self.definition.interval_ms
        return self.definition.first_run_ms + offset_ms

    def open_occurrence(self, number: int) -> None:
        """Creates the tasks of the next occurrence; idempotent."""
        if number != self.next_occurrence or self.has_ended:
            return
        self.occurrences[number] = Occurrence(
            self.job_id, number, self.definition
        )
        self.next_occurrence = number + 1
        self.revision += 1

    def find_task(self, key: model.TaskKey) -> tuple[Step, Task] | None:
        """Returns a task's step and the task, or None if it doesn't exist."""
        _, number, step_number, position = key
        occurrence = self.occurrences.get(number)
        if occurrence is None or step_number >= len(occurrence.steps):
            return None
        step = occurrence.steps[step_number]
        if position >= len(step.tasks):
            return None
        return step, step.tasks[position]

    def running_tasks(self) -> Iterator[Task]:
        """Yields the tasks in state RUNNING, also after the job's end."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                for task in step.tasks:
                    if task.state is TaskState.RUNNING:
                        yield task

    def can_start(self, run_start: commands.RunStart) -> bool:
        """Whether a run may start now."""
        located = self.find_task(run_start.task)
        if located is None or self.has_ended:
            return False
        task = located[1]
        return task.state is TaskState.WAITING and run_start.run > task.run

    def start(self, run_start: commands.RunStart, now_ms: int) -> bool:
        """Records the start of a run; returns False if it is not allowed."""
        located = self.find_task(run_start.task)
        if located is None or not self.can_start(run_start):
            return False
        step, task = located
        step.waiting.discard(run_start.task.position)
        task.state = TaskState.RUNNING
        task.run = run_start.run
        task.worker_id = run_start.worker_id
        task.started_ms = now_ms
        self._has_started = True
        self.revision += 1
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING
        return True

    def end(
        self, run_end: commands.RunEnd, max_attempts: int, now_ms: int
    ) -> list[Task]:
        """Records the end of a run.

        Returns:
            The tasks that no longer run on their workers: this one, or all
            members of a gang once one member is done, since they are done
            together.
        """
        located = self.find_task(run_end.task)
        if located is None:
            return []
        step, task = located
        is_current = (
            task.run == run_end.run and task.worker_id == run_end.worker_id
        )
        if task.state is not TaskState.RUNNING or not is_current:
            return []
        self.revision += 1
        if run_end.ending is not commands.Ending.REJECTED:
            self._has_begun = True
        if run_end.checkpoint:
            step.save_checkpoint(task, run_end.checkpoint)
        released_tasks = [task]
        if run_end.ending is commands.Ending.DONE and step.definition.gang:
            released_tasks = step.unfinished_members(run_end.run)
        for member in released_tasks:
            self._end_run(step, member, run_end, max_attempts, now_ms)
        return released_tasks

    def requeue_lost(self, task: Task) -> None:
        """Requeues a task whose worker was lost."""
        self._requeue(self._step_of(task), task)

    def add_crash(
        self, task: Task, instance: str, was_last_started: bool
    ) -> None:
        """Records that a worker on an instance crashed under a task."""
        self.revision += 1
        task.crashed_instances += (instance,)
        task.was_last_started = was_last_started
        self._step_of(task).suspects.add(task.key.position)

    def confirm_crash(self, task: Task, instance: str) -> None:
        """Records that a crash happened while the task ran there."""
        task.confirmed_crashes += (instance,)

    def clear_crashes(self, task: Task) -> None:
        """Forgets the crashes under a task."""
        self.revision += 1
        task.crashed_instances = ()
        task.confirmed_crashes = ()
        task.was_last_started = False
        self._step_of(task).suspects.discard(task.key.position)

    def give_up(self, task: Task, now_ms: int) -> bool:
        """Gives up a waiting task that crashes its workers.

        That fails the job. Only if other tasks of its step last do they go on,
        since stopping them would harm those that they serve.

        Returns:
            Whether the task was given up.
        """
        if self.has_ended or task.state is not TaskState.WAITING:
            return False
        step = self._step_of(task)
        step.waiting.discard(task.key.position)
        task.state = TaskState.DROPPED
        self.revision += 1
        if self.needs(task) or all(
            other.state is TaskState.DROPPED for other in step.tasks
        ):
            self._finish(JobState.FAILED, now_ms)
        return True

    def needs(self, task: Task) -> bool:
        """Whether the job fails if the task is given up."""
        definition = self._step_of(task).definition
        return definition.gang or not definition.long_running

    def _step_of(self, task: Task) -> Step:
        return self.occurrences[task.key.occurrence].steps[task.key.step]

    def cancel(self, now_ms: int) -> None:
        """Cancels the job unless it has ended."""
        if not self.has_ended:
            self._finish(JobState.CANCELLED, now_ms)

    def _end_run(
        self,
        step: Step,
        task: Task,
        run_end: commands.RunEnd,
        max_attempts: int,
        now_ms: int,
    ) -> None:
        long_running = step.definition.long_running
        if run_end.ending is commands.Ending.DONE and not long_running:
            step.mark_done(task)
            self._complete_if_done(now_ms)
            return
        self._requeue(step, task)
        if run_end.ending is commands.Ending.FAILED and not long_running:
            task.failures += 1
            if task.failures >= max_attempts and not self.has_ended:
                self._finish(JobState.FAILED, now_ms)

    def _requeue(self, step: Step, task: Task) -> None:
        self.revision += 1
        if self.has_ended:
            task.state = TaskState.DROPPED
            return
        task.state = TaskState.WAITING
        step.waiting.add(task.key.position)

    def _complete_if_done(self, now_ms: int) -> None:
        if self.has_ended or self.next_due_ms() is not None:
            return
        if all(item.is_done for item in self.occurrences.values()):
            self._finish(JobState.COMPLETED, now_ms)

    def _finish(self, state: JobState, now_ms: int) -> None:
        self.revision += 1
        self.state = state
        self.ended_ms = now_ms
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                for position in step.waiting:
                    step.tasks[position].state = TaskState.DROPPED
                step.waiting.clear()

    def finish_partly_done_gangs(self, now_ms: int) -> None:
        """Ends gangs of which some members are done and the others wait.

        Snapshots of earlier builds hold such gangs, which would never end.
        """
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                if self.has_ended or not step.is_partly_done_gang:
                    continue
                for position in sorted(step.waiting):
                    step.mark_done(step.tasks[position])
                self._complete_if_done(now_ms)

    def suspect_tasks(self) -> Iterator[Task]:
        """Yields the tasks under which workers crashed."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                for position in sorted(step.suspects):
                    yield step.tasks[position]

    def pack(self) -> list:
        """Returns the job without its definition, for a snapshot."""
        # Builds without customers read the fields before the caller.
        caller = self.caller
        extra: list = []
        if caller != _ANONYMOUS:
            extra.append([caller.customer, caller.key])
            extra.extend([True] if self.is_over_weight else ())
        return [
            self.job_id,
            list(self.queue),
            self.accepted_ms,
            self.state.value,
            self.ended_ms,
            self._has_started,
            self.next_occurrence,
            [
                [number, [_pack_step(step) for step in occurrence.steps]]
                for number, occurrence in self.occurrences.items()
            ],
            *extra,
        ]

    @classmethod
    def unpack(cls, fields: list, definition: model.JobDefinition) -> "Job":
        """Restores a job from the result of `pack` and its definition."""
        job = cls(fields[0], model.QueueKey(*fields[1]), definition, fields[2])
        job.state = JobState(fields[3])
        job.ended_ms = fields[4]
        job._has_started = fields[5]
        job.next_occurrence = fields[6]
        if len(fields) > _PACKED_CALLER:
            job.caller = customers.Caller(*fields[_PACKED_CALLER])
        job.is_over_weight = len(fields) > _PACKED_MARK
        job.occurrences = {}
        for number, packed_steps in fields[7]:
            occurrence = Occurrence(job.job_id, number, definition)
            job.occurrences[number] = occurrence
            for step, packed_tasks in zip(
                occurrence.steps, packed_steps, strict=True
            ):
                _unpack_step(step, packed_tasks)
        job._has_begun = any(
            task.state is TaskState.DONE or task.failures or task.checkpoint
            for occurrence in job.occurrences.values()
            for step in occurrence.steps
            for task in step.tasks
        )
        return job


def _pack_step(step: Step) -> list:
    return [
        [
            task.state.value,
            task.run,
            task.failures,
            task.worker_id,
            task.checkpoint,
        ]
        for task in step.tasks
    ]


def _unpack_step(step: Step, packed_tasks: list) -> None:
    for task, fields in zip(step.tasks, packed_tasks, strict=True):
        task.state = TaskState(fields[0])
        task.run, task.failures, task.worker_id, task.checkpoint = fields[1:]
    step.waiting = {
        task.key.position
        for task in step.tasks
        if task.state is TaskState.WAITING
    }
    step.done_count = sum(task.state is TaskState.DONE for task in step.tasks)
