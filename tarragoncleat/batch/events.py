"""Events of queues, jobs, workers and waves for the log.

`job` is the id that the submitter chose, so that one search over the logs of
all nodes finds what was decided about it.
"""

import dataclasses

from tarragoncleat.kernel import event_log

__all__ = [
    "AdviceMissing",
    "ConfigurationInForce",
    "InstanceMoved",
    "JobAccepted",
    "JobCancelled",
    "JobEnded",
    "LeadershipChanged",
    "MaintenanceOrdered",
    "RequestAnswered",
    "RequestRefused",
    "RunsEnded",
    "RunsStarted",
    "StartRefused",
    "StartsNotStored",
    "TaskPaced",
    "WaveAccepted",
    "WorkerChanged",
]

_LAST = event_log.Priority.HIGH
_COMMON = event_log.Priority.LOW


@event_log.event("request_answered", event_log.Priority.LISTENERS_ONLY)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestAnswered:
    """A request was answered."""

    method: str
    status: int
    took_ms: float


@event_log.event("request_refused", _LAST)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestRefused:
    """A request got an error.

    Attributes:
        job: Id of the job, when the path holds one.
        path: Path of the request.
        method: Its method.
        status: Status of the answer.
        kind: Kind of the error.
        reason: Why.
        waited_ms: Time from the request's arrival to the answer.
        leader_age_ms: Age of the last word of a leader, or None.
    """

    job: str
    path: str
    method: str
    status: int
    kind: str
    reason: str
    waited_ms: int
    leader_age_ms: int | None


@event_log.event("job_accepted", _LAST)
@dataclasses.dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job is stored; `version` is the configuration that named its queue."""

    job: str
    queue: str
    version: int
    term: int
    tasks: int
    is_new: bool


@event_log.event("job_cancelled", _LAST)
@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job's cancellation is stored."""

    job: str
    was_known: bool


@event_log.event("job_ended", _LAST)
@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has ended, `age_ms` after it was accepted.

    `objective_ms` is what its queue owes by the submitter's estimates.
    """

    job: str
    state: str
    age_ms: int
    objective_ms: int


@event_log.event("runs_started")
@dataclasses.dataclass(frozen=True, slots=True)
class RunsStarted:
    """Runs were stored and are sent to workers.

    `runs` holds task name, run number and worker.
    """

    runs: tuple[tuple[str, int, str], ...]
    term: int
    waiting_millicores: int


@event_log.event("runs_ended")
@dataclasses.dataclass(frozen=True, slots=True)
class RunsEnded:
    """Runs that did not end well; `runs` holds task, run, worker and how."""

    runs: tuple[tuple[str, int, str, str], ...]


@event_log.event("start_refused")
@dataclasses.dataclass(frozen=True, slots=True)
class StartRefused:
    """A worker refused a start."""

    task: str
    run: int
    worker: str
    outcome: str
    was_unanswered: bool


@event_log.event("starts_not_stored")
@dataclasses.dataclass(frozen=True, slots=True)
class StartsNotStored:
    """Planned runs were not stored, so they were not sent."""

    count: int
    reason: str


@event_log.event("worker_changed")
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerChanged:
    """What is believed of a worker has changed."""

    worker: str
    service: str
    change: str
    tasks: int = 0


@event_log.event("leadership")
@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """This node leads from now on, or leads no more."""

    term: int
    leads: bool


@event_log.event("configuration")
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """A configuration is stored and in force."""

    version: int
    queues: int
    services: int


@event_log.event("wave")
@dataclasses.dataclass(frozen=True, slots=True)
class WaveAccepted:
    """A maintenance wave is stored."""

    wave: int
    instances: int
    cap: int
    duration_ms: int


@event_log.event("maintenance")
@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceOrdered:
    """Maintenance of an instance was ordered; `refused` says why not."""

    wave: int
    instance: str
    remaining: int
    refused: str | None


@event_log.event("instance_moved")
@dataclasses.dataclass(frozen=True, slots=True)
class InstanceMoved:
    """An instance was told to change its pool; `refused` says why not."""

    instance: str
    service: str
    refused: str | None


@event_log.event("advice_missing", _COMMON)
@dataclasses.dataclass(frozen=True, slots=True)
class AdviceMissing:
    """The advisor gave no answer about a step."""

    job: str
    step: int
    reason: str


@event_log.event("task_paced", _COMMON)
@dataclasses.dataclass(frozen=True, slots=True)
class TaskPaced:
    """A best-effort task works at another share of its speed."""

    task: str
    worker: str
    percent: int
