"""Definitions of jobs, queues, services and workers."""

import dataclasses
from typing import NamedTuple, NewType

from tarragoncleat.kernel import codec

__all__ = [
    "Advice",
    "CustomerName",
    "CustomerPolicy",
    "FleetConfiguration",
    "JobDefinition",
    "KeyDigest",
    "QueueKey",
    "QueuePolicy",
    "Resources",
    "ServicePolicy",
    "StepDefinition",
    "TaskKey",
    "WorkerRecord",
]

CustomerName = NewType("CustomerName", str)
# SHA-256 of a key that a caller presents.
KeyDigest = NewType("KeyDigest", bytes)


class TaskKey(NamedTuple):
    """Identifies a task by job, occurrence, step and position in the step."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        """Returns the form that is used in logs."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.position}"


class QueueKey(NamedTuple):
    """Identifies a queue by the host and path prefix of its requests."""

    host: str
    path_prefix: str


class Resources(NamedTuple):
    """Resources of a worker, or the demand of a task."""

    cpu_millicores: int
    memory_mb: int
    accelerators: int

    def fits_into(self, free: "Resources") -> bool:
        """Whether `free` covers this demand.

        Free resources are negative after a worker's capacity has shrunk; what
        isn't needed may be so.
        """
        cpu, memory, accelerators = self
        return (
            (cpu <= free.cpu_millicores or not cpu)
            and (memory <= free.memory_mb or not memory)
            and (accelerators <= free.accelerators or not accelerators)
        )

    def times(self, count: int) -> "Resources":
        """Returns the resources of `count` tasks."""
        return Resources(*(count * amount for amount in self))

    def minus(self, other: "Resources") -> "Resources":
        """Returns the resources that remain without `other`."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StepDefinition:
    """A step of a job: identical tasks that may run in parallel.

    Attributes:
        task_count: Number of tasks.
        cpu_millicores: CPU demand of each task, in 1/1000 core.
        memory_mb: Memory demand of each task.
        accelerators: Accelerators of each task.
        estimated_ms: The submitter's rough estimate of a task's run time.
        depends_on: Numbers of the steps that must be done first.
        checkpointing: Whether tasks save their progress.
        gang: Whether all tasks must run at the same time.
        rack_local: Whether tasks on different racks slow each other down.
        required_label: Label that the worker must have; empty for any.
        data_rack: Rack that holds the step's data; empty for none.
        max_per_worker: Maximum tasks of the step on one worker; 0 for no limit.
        allows_duplicates: Whether copies of a task may run in parallel.
        long_running: Whether the tasks run until the job is cancelled.
        image: Identifies the program; tasks of one image behave alike.
        latency_target_ms: Maximum tail latency of a latency-sensitive task; 0
            for other tasks.
        best_effort: Whether the tasks use only CPU time that others leave
            idle; their `cpu_millicores` are not reserved.
        max_unavailable: Maximum tasks that maintenance may make unavailable at
            once; 0 for no limit.
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
        """Resources that one task reserves on its worker."""
        cpu = 0 if self.best_effort else self.cpu_millicores
        return Resources(cpu, self.memory_mb, self.accelerators)


@codec.message("job_definition")
@dataclasses.dataclass(frozen=True, slots=True)
class JobDefinition:
    """A job as it was submitted.

    With `repeat_count` above 0 the steps run that many times, first at
    `first_run_ms` (since the epoch) and then every `interval_ms`.
    """

    payload: str
    steps: tuple[StepDefinition, ...]
    repeat_count: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0

    @property
    def task_count(self) -> int:
        """Number of tasks of one occurrence."""
        return sum(step.task_count for step in self.steps)

    def chain_ms(self) -> int:
        """Returns the estimated duration of the critical path, in ms."""
        ends: list[int] = []
        for step in self.steps:
            begin = max((ends[number] for number in step.depends_on), default=0)
            ends.append(begin + step.estimated_ms)
        return max(ends, default=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Cost and validity of the advisor's decisions on a step, in ms."""

    decide_ms: int
    period_ms: int
    valid_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Settings and objective of a queue.

    A job should end within `stretch` times the duration of its critical path
    plus `latency_ms`. Priority 0 is the highest. Where customers are
    configured, `allows_anonymous` lets callers without a key in.
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
    allows_anonymous: bool = dataclasses.field(
        default=False, metadata=codec.OMIT_DEFAULT
    )

    @property
    def key(self) -> QueueKey:
        """Key of the queue."""
        return QueueKey(self.host, self.path_prefix)

    def pack(self) -> list:
        """Returns the policy for a snapshot."""
        fields = list(dataclasses.astuple(self))
        # Builds without customers read a list that ends with the advice.
        return fields if self.allows_anonymous else fields[:-1]

    @classmethod
    def unpack(cls, fields: list) -> "QueuePolicy":
        """Restores a policy from the result of `pack`."""
        names = [field.name for field in dataclasses.fields(cls)]
        values = dict(zip(names, fields, strict=False))
        if values["advice"] is not None:
            values["advice"] = Advice(*values["advice"])
        return cls(**values)


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """A service with its pool of workers.

    Unless `rejects_overload` is set, workers start tasks beyond their
    capacity. Instances of a spare pool are switched off.
    """

    name: str
    rejects_overload: bool
    is_spare: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerPolicy:
    """A customer, and what it is owed and allowed.

    Attributes:
        name: Name of the customer.
        key_digests: Digests of the keys that its callers present.
        weight: Its share of the capacity while that doesn't suffice for all,
            relative to the other customers; also the number of jobs a second
            that it may expect to be served.
        cap: Resources that its running tasks may reserve in the whole fleet; 0
            for no limit.
    """

    name: CustomerName
    key_digests: tuple[KeyDigest, ...]
    weight: float
    cap: Resources


@codec.message("fleet_configuration")
@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """The operator's configuration.

    `source` is the text as it was sent. Without `customers` callers need no
    key.
    """

    version: int
    # Holds the customers' keys in clear text.
    source: bytes = dataclasses.field(repr=False)
    queues: tuple[QueuePolicy, ...]
    services: tuple[ServicePolicy, ...]
    customers: tuple[CustomerPolicy, ...] | None = dataclasses.field(
        default=None, metadata=codec.OMIT_DEFAULT
    )


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerRecord:
    """One incarnation of a worker, from its start to its end.

    `worker_id` differs between the incarnations on one instance.
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
        """Resources for tasks."""
        return Resources(self.cpu_millicores, self.memory_mb, self.accelerators)

    def pack(self) -> list:
        """Returns the record for a snapshot."""
        return list(dataclasses.astuple(self))

    @classmethod
    def unpack(cls, fields: list) -> "WorkerRecord":
        """Restores a record from the result of `pack`."""
        names = [field.name for field in dataclasses.fields(cls)]
        values = dict(zip(names, fields, strict=True))
        values["labels"] = tuple(values["labels"])
        return cls(**values)
