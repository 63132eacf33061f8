"""Requests that any node forwards to the leader, and the leader's replies."""

import dataclasses

from tarragoncleat.batch.replicated import customers
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import model
from tarragoncleat.kernel import codec

__all__ = [
    "CancelRequest",
    "ConfigurationReply",
    "Done",
    "Heartbeat",
    "IncarnationHeartbeat",
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
    """Submits a job; its id is the path's part after the queue's prefix."""

    host: str
    path: str
    definition: model.JobDefinition
    key: model.KeyDigest = dataclasses.field(
        default=customers.NO_KEY, metadata=codec.OMIT_DEFAULT
    )


@codec.message("batch_read_request")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequest:
    """Reads a job's state, or a queue's length if the path holds no job id."""

    host: str
    path: str
    key: model.KeyDigest = dataclasses.field(
        default=customers.NO_KEY, metadata=codec.OMIT_DEFAULT
    )


@codec.message("batch_cancel_request")
@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancels a job."""

    host: str
    path: str
    key: model.KeyDigest = dataclasses.field(
        default=customers.NO_KEY, metadata=codec.OMIT_DEFAULT
    )


@codec.message("batch_put_request")
@dataclasses.dataclass(frozen=True, slots=True)
class PutRequest:
    """Applies a configuration."""

    configuration: model.FleetConfiguration


@codec.message("batch_read_configuration")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadConfigurationRequest:
    """Reads the current configuration."""


@codec.message("batch_heartbeat")
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A worker's periodic report.

    Attributes:
        worker: The worker.
        is_draining: Whether it will shut down and accepts no new tasks.
        sequence: Increases with each report of the worker.
        remaining_ms: Minimum time until a draining worker stops, or None.
    """

    worker: model.WorkerRecord
    is_draining: bool
    sequence: int
    remaining_ms: int | None = None


@codec.message("batch_incarnation_heartbeat")
@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationHeartbeat(Heartbeat):
    """A report of a worker that tells when it started.

    Earlier builds don't know the message. They would call the worker by the id
    of its incarnation, which it refuses, and count it as ended.
    """


@codec.message("batch_worker_left")
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLeft:
    """Reports the shutdown of a worker."""

    worker_id: str


@codec.message("batch_wave_request")
@dataclasses.dataclass(frozen=True, slots=True)
class WaveRequest:
    """Requests a maintenance wave; at most `cap` instances are down at once."""

    wave: int
    instances: tuple[str, ...]
    duration_ms: int
    cap: int


@codec.message("batch_wave_state_request")
@dataclasses.dataclass(frozen=True, slots=True)
class WaveStateRequest:
    """Reads whether a wave is finished."""

    wave: int


@codec.message("batch_done")
@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The request succeeded and its effect is stored."""


@codec.message("batch_job_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class JobReply:
    """The state of a job, or None if the job is unknown."""

    state: jobs.JobState | None


@codec.message("batch_queue_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class QueueReply:
    """Number of a queue's jobs without a started task."""

    waiting: int


@codec.message("batch_configuration_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """The current configuration, as the operator sent it, with its keys."""

    source: bytes = dataclasses.field(repr=False)


@codec.message("batch_wave_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class WaveReply:
    """Whether maintenance has begun on each instance of a wave."""

    is_finished: bool
