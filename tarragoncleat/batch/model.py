"""Jobs, queues and workers as the system's users describe them."""

import dataclasses
from typing import NamedTuple

from tarragoncleat.kernel import codec

__all__ = [
    "Advice",
    "FleetConfiguration",
    "JobDefinition",
    "QueueKey",
    "QueuePolicy",
    "Resources",
    "ServicePolicy",
    "StepDefinition",
    "TaskKey",
    "WorkerRecord",
]


class TaskKey(NamedTuple):
    """Names a task: its job, the occurrence, the step and the position."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        """Returns the task's name in logs."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.position}"


class QueueKey(NamedTuple):
    """Names a queue by where its callers reach it."""

    host: str
    path_prefix: str


class Resources(NamedTuple):
    """Room on a worker, or what a task takes of it."""

    cpu_millicores: int
    memory_mb: int
    accelerators: int

    def fits_into(self, free: "Resources") -> bool:
        """Whether `free` has room for this."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns what is left after `other` is taken."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StepDefinition:
    """A step of a job: equal tasks that may run at the same time.

    Attributes:
        task_count: Number of tasks.
        cpu_millicores: Processor time each task takes, in 1/1000 core.
        memory_mb: Memory of each task.
        accelerators: Accelerators of each task.
        estimated_ms: The submitter's rough estimate of a task's run time.
        depends_on: Steps whose tasks must all be done first.
        checkpointing: Whether tasks save their progress.
        gang: Whether the tasks work only all together.
        rack_local: Whether tasks on several racks slow each other down.
        required_label: Label that the worker must have; empty for any.
        data_rack: Rack with the step's data; empty for none.
        max_per_worker: Most tasks of the step on one worker; 0 for any.
        allows_duplicates: Whether copies of a task may run in parallel.
        long_running: Whether the tasks run until the job is cancelled.
        image: Names what the tasks run; equal images behave alike.
        latency_target_ms: Highest tail latency of a task that serves; 0 for
            a task that serves nobody.
        best_effort: Whether the tasks use only processor time that others
            leave over; their `cpu_millicores` take no room.
        max_unavailable: Tasks that planned work may take away at once; 0 for
            no such promise.
    """

    task_count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimated_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    rack_local: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    allows_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: int = 0
    best_effort: bool = False
    max_unavailable: int = 0

    @property
    def demand(self) -> Resources:
        """Room that one task takes on its worker."""
        cpu = 0 if self.best_effort else self.cpu_millicores
        return Resources(cpu, self.memory_mb, self.accelerators)


@codec.message("job_definition")
@dataclasses.dataclass(frozen=True, slots=True)
class JobDefinition:
    """What a submitter wants to run.

    With `repeat_count` above 0 the steps run that often, first at
    `first_run_ms` (since the epoch) and then every `interval_ms`.
    """

    payload: str
    steps: tuple[StepDefinition, ...]
    repeat_count: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0

    def chain_ms(self) -> int:
        """Returns the estimated length of the longest chain of steps, in ms."""
        ends: list[int] = []
        for step in self.steps:
            begin = max((ends[number] for number in step.depends_on), default=0)
            ends.append(begin + step.estimated_ms)
        return max(ends, default=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Cost and validity of asking the advisor about a step, in ms."""

    decide_ms: int
    period_ms: int
    valid_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueuePolicy:
    """What jobs of a queue are owed.

    A job should end within `stretch` times its longest chain of work plus
    `latency_ms`. Priority 0 comes first.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    latency_ms: int
    priority: int
    max_attempts: int
    stretch: float
    advice: Advice | None = None

    @property
    def key(self) -> QueueKey:
        """Where callers reach the queue."""
        return QueueKey(self.host, self.path_prefix)


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """A pool of workers.

    Workers that don't reject overload start whatever they are told to start.
    Instances of a spare pool are off.
    """

    name: str
    rejects_overload: bool
    is_spare: bool


@codec.message("fleet_configuration")
@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """The operators' configuration; `source` is the text as it was sent."""

    version: int
    source: bytes
    queues: tuple[QueuePolicy, ...]
    services: tuple[ServicePolicy, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerRecord:
    """One life of a worker, from its start to its end.

    `instance` stays the same over the lives of workers on one instance.
    """

    worker_id: str
    service: str
    address: str
    availability_zone: str
    instance: str
    labels: tuple[str, ...]
    rack: str
    cpu_millicores: int
    memory_mb: int
    accelerators: int

    @property
    def capacity(self) -> Resources:
        """Room for tasks."""
        return Resources(self.cpu_millicores, self.memory_mb, self.accelerators)
