"""Commands of the replicated log for jobs, workers and waves."""

import dataclasses
import enum
from typing import NamedTuple, Protocol

from tarragoncleat.batch.replicated import model
from tarragoncleat.kernel import codec

__all__ = [
    "CancelCustomerJob",
    "CancelJob",
    "Command",
    "Committer",
    "ConfirmedRun",
    "DrainWorker",
    "Ending",
    "EndRuns",
    "EndWorker",
    "MaintenancePhase",
    "MarkWorkersLost",
    "OpenOccurrence",
    "JobDecision",
    "PutConfiguration",
    "RecordMaintenance",
    "RegisterWorker",
    "RunEnd",
    "RunStart",
    "StartRuns",
    "StartWave",
    "SubmitCustomerJob",
    "SubmitJob",
]


class Ending(enum.Enum):
    """How a run of a task ended.

    Only FAILED counts towards a queue's `max_attempts`. Values that are not
    known count as BROKEN.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REJECTED = "rejected"


class JobDecision(enum.Enum):
    """Result of a command that names a job.

    It is decided when the command is applied: records before it may have
    changed the queues since it was proposed.
    """

    STORED = "stored"
    ALREADY_STORED = "already_stored"
    UNKNOWN_JOB = "unknown_job"
    NO_QUEUE = "no_queue"
    UNAUTHORIZED = "unauthorized"
    ID_TAKEN = "id_taken"
    OVER_CAP = "over_cap"


class RunStart(NamedTuple):
    """The assignment of a run to a worker."""

    task: model.TaskKey
    run: int
    worker_id: str


class RunEnd(NamedTuple):
    """The end of a run; `checkpoint` is empty if there is none."""

    task: model.TaskKey
    run: int
    worker_id: str
    ending: Ending
    checkpoint: str


class ConfirmedRun(NamedTuple):
    """A run that its worker has confirmed to have begun."""

    task: model.TaskKey
    run: int


@codec.message("batch_put_configuration", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Applies a configuration if its version is higher than the current one."""

    configuration: model.FleetConfiguration


@codec.message("batch_submit_job", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJob:
    """Accepts a job if its path still leads to its queue; idempotent.

    The result is the value of a `JobDecision`.
    """

    job_id: str
    queue: model.QueueKey
    definition: model.JobDefinition


@codec.message("batch_cancel_job", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancels a job that has not ended, if its path leads to its queue.

    The result is the value of a `JobDecision`.
    """

    job_id: str


@codec.message("batch_submit_customer_job", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class SubmitCustomerJob:
    """Accepts a job of the caller with a key; idempotent.

    The customer is decided by the configuration in force when the command is
    applied. The result is the value of a `JobDecision`.
    """

    job_id: str
    queue: model.QueueKey
    definition: model.JobDefinition
    key: model.KeyDigest


@codec.message("batch_cancel_customer_job", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class CancelCustomerJob:
    """Cancels a job for the caller with a key, like `CancelJob`.

    A job of another customer is not known to the caller.
    """

    job_id: str
    key: model.KeyDigest


@codec.message("batch_open_occurrence", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class OpenOccurrence:
    """Creates the tasks of a repeated job's next occurrence."""

    job_id: str
    occurrence: int


@codec.message("batch_register_worker", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class RegisterWorker:
    """Registers a worker, or marks one with an expired lease as up again.

    A known worker takes over the capacity. Its other fields stay; they belong
    to its incarnation.
    """

    worker: model.WorkerRecord


@codec.message("batch_drain_worker", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class DrainWorker:
    """Marks a worker as draining; it gets no new tasks."""

    worker_id: str


@codec.message("batch_lose_workers", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class MarkWorkersLost:
    """Requeues the tasks of workers on which nothing runs any more.

    With `is_final` their incarnations have ended. Otherwise their leases have
    expired, and they may become active again.
    """

    worker_ids: tuple[str, ...]
    is_final: bool


@codec.message("batch_end_worker", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class EndWorker:
    """Marks a worker as lost whose incarnation has ended unplanned.

    `confirmed_runs` are those that its leader knows to have begun. Other runs
    may have been stored and not have reached the worker before its end.
    """

    worker_id: str
    confirmed_runs: tuple[ConfirmedRun, ...]


@codec.message("batch_start_runs", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class StartRuns:
    """Records runs before the leader orders workers to start them."""

    runs: tuple[RunStart, ...]


@codec.message("batch_end_runs", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class EndRuns:
    """Records the ends of runs."""

    runs: tuple[RunEnd, ...]


@codec.message("batch_start_wave", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class StartWave:
    """Starts a maintenance wave; at most `cap` instances are down at once."""

    wave: int
    instances: tuple[str, ...]
    duration_ms: int
    cap: int


class MaintenancePhase(enum.Enum):
    """Progress of an instance's maintenance.

    CHOSEN precedes the order to the platform, BEGUN follows its success, and
    GONE means that the platform doesn't know the instance.
    """

    CHOSEN = "chosen"
    BEGUN = "begun"
    GONE = "gone"


@codec.message("batch_note_maintenance", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class RecordMaintenance:
    """Records the progress of an instance's maintenance.

    CHOSEN is recorded before the platform is called, so that a later leader
    counts the instance as down. BEGUN ends the workers that were on the
    instance at CHOSEN: when a repeated order is answered, the instance's next
    worker may have registered already.
    """

    wave: int
    instance: str
    phase: MaintenancePhase


Command = (
    PutConfiguration
    | SubmitJob
    | SubmitCustomerJob
    | CancelJob
    | CancelCustomerJob
    | OpenOccurrence
    | RegisterWorker
    | DrainWorker
    | MarkWorkersLost
    | EndWorker
    | StartRuns
    | EndRuns
    | StartWave
    | RecordMaintenance
)


class Committer(Protocol):
    """Replicates commands on the leader."""

    async def commit(self, command: Command) -> object:
        """Replicates a command; returns `AppliedProposal` or a `Failure`."""

    async def commit_decision(self, command: Command) -> object:
        """Replicates a command, and waits as long as its fate is not known."""

    async def confirm_leadership(self) -> bool:
        """Returns whether this node was the leader at the time of the call."""
