"""Commands that the replicated log carries for jobs, workers and waves."""

import dataclasses
import enum
from typing import NamedTuple, Protocol

from tarragoncleat.batch import model
from tarragoncleat.kernel import codec

__all__ = [
    "CancelJob",
    "Command",
    "Committer",
    "DrainWorker",
    "EndRuns",
    "Ending",
    "LoseWorkers",
    "MaintenancePhase",
    "NoteMaintenance",
    "OpenOccurrence",
    "PutConfiguration",
    "RegisterWorker",
    "RunEnd",
    "RunStart",
    "StartRuns",
    "StartWave",
    "SubmitJob",
]


class Ending(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REJECTED = "rejected"


class RunStart(NamedTuple):
    """A run that may now be started on a worker."""

    task: model.TaskKey
    run: int
    worker_id: str


class RunEnd(NamedTuple):
    """A run that has ended; `checkpoint` is empty when there is none."""

    task: model.TaskKey
    run: int
    worker_id: str
    ending: Ending
    checkpoint: str


@codec.message("batch_put_configuration", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Puts a configuration in force unless a higher version is."""

    configuration: model.FleetConfiguration


@codec.message("batch_submit_job", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJob:
    """Accepts a job; repeating it changes nothing."""

    job_id: str
    queue: model.QueueKey
    definition: model.JobDefinition


@codec.message("batch_cancel_job", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancels a job that has not ended."""

    job_id: str


@codec.message("batch_open_occurrence", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class OpenOccurrence:
    """Makes the tasks of a repeated job's next occurrence available."""

    job_id: str
    occurrence: int


@codec.message("batch_register_worker", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class RegisterWorker:
    """A worker began its life; its predecessor on the instance has ended."""

    worker: model.WorkerRecord


@codec.message("batch_drain_worker", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class DrainWorker:
    """A worker that leaves gets no new tasks."""

    worker_id: str


@codec.message("batch_lose_workers", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class LoseWorkers:
    """Nothing runs on these workers any more.

    With `is_final` their lives have ended; otherwise their leases have
    lapsed, and they may come back.
    """

    worker_ids: tuple[str, ...]
    is_final: bool


@codec.message("batch_start_runs", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class StartRuns:
    """Runs that the leader is about to start."""

    runs: tuple[RunStart, ...]


@codec.message("batch_end_runs", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class EndRuns:
    """Runs that have ended."""

    runs: tuple[RunEnd, ...]


@codec.message("batch_start_wave", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class StartWave:
    """Asks for maintenance of instances, at most `cap` at a time."""

    wave: int
    instances: tuple[str, ...]
    duration_ms: int
    cap: int


class MaintenancePhase(enum.Enum):
    """How far the maintenance of an instance is."""

    CHOSEN = "chosen"
    BEGUN = "begun"
    GONE = "gone"


@codec.message("batch_note_maintenance", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class NoteMaintenance:
    """Records the maintenance of an instance.

    It is CHOSEN before the platform is called, so that a later leader counts
    it as down. The worker that is on it then is the one that BEGUN ends; a
    repeated order may be answered when the next one has registered already.
    """

    wave: int
    instance: str
    phase: MaintenancePhase


Command = (
    PutConfiguration
    | SubmitJob
    | CancelJob
    | OpenOccurrence
    | RegisterWorker
    | DrainWorker
    | LoseWorkers
    | StartRuns
    | EndRuns
    | StartWave
    | NoteMaintenance
)


class Committer(Protocol):
    """Replicates commands."""

    async def commit(self, command: Command) -> object:
        """Replicates a command."""

    async def confirm(self) -> bool:
        """Returns whether this node certainly led when it was asked."""
