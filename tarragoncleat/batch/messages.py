"""Requests that any node brings to the leader, and the leader's replies."""

import dataclasses

from tarragoncleat.batch import jobs
from tarragoncleat.batch import model
from tarragoncleat.kernel import codec

__all__ = [
    "CancelRequest",
    "ConfigurationReply",
    "Done",
    "Heartbeat",
    "JobReply",
    "PutRequest",
    "QueueReply",
    "ReadConfigurationRequest",
    "ReadRequest",
    "SubmitRequest",
    "WaveReply",
    "WaveRequest",
    "WaveStateRequest",
    "WorkerLeft",
]


@codec.message("batch_submit_request")
@dataclasses.dataclass(frozen=True, slots=True)
class SubmitRequest:
    """Hands in a job; the path's part after the queue's prefix is its id."""

    host: str
    path: str
    definition: model.JobDefinition


@codec.message("batch_read_request")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequest:
    """Asks for a job's state, or for a queue's length without an id."""

    host: str
    path: str


@codec.message("batch_cancel_request")
@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancels a job."""

    host: str
    path: str


@codec.message("batch_put_request")
@dataclasses.dataclass(frozen=True, slots=True)
class PutRequest:
    """Puts a configuration in force."""

    configuration: model.FleetConfiguration


@codec.message("batch_read_configuration")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadConfigurationRequest:
    """Asks for the configuration in force."""


@codec.message("batch_heartbeat")
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A worker's report about itself.

    Attributes:
        worker: The worker.
        is_draining: Whether it will leave and takes no new tasks.
        sequence: Rises with each report of this worker.
        remaining_ms: Shortest time that a draining worker still has, or None.
    """

    worker: model.WorkerRecord
    is_draining: bool
    sequence: int
    remaining_ms: int | None = None


@codec.message("batch_worker_left")
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLeft:
    """A worker says that its life ends now."""

    worker_id: str


@codec.message("batch_wave_request")
@dataclasses.dataclass(frozen=True, slots=True)
class WaveRequest:
    """Asks for maintenance of instances, at most `cap` at a time."""

    wave: int
    instances: tuple[str, ...]
    duration_ms: int
    cap: int


@codec.message("batch_wave_state_request")
@dataclasses.dataclass(frozen=True, slots=True)
class WaveStateRequest:
    """Asks how far a wave is."""

    wave: int


@codec.message("batch_done")
@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The request was carried out, and its effect is stored."""


@codec.message("batch_job_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class JobReply:
    """The state of a job; None when no such job is known."""

    state: jobs.JobState | None


@codec.message("batch_queue_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class QueueReply:
    """Number of a queue's jobs of which no task has started."""

    waiting: int


@codec.message("batch_configuration_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """The configuration in force, as it was sent."""

    source: bytes


@codec.message("batch_wave_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class WaveReply:
    """Whether each instance of a wave had its maintenance."""

    is_finished: bool
