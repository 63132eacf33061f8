"""Jobs and their placement state."""

import dataclasses
import enum

from tarragoncleat import ids

__all__ = ["Demand", "Job", "JobState"]


class JobState(enum.Enum):
    """Where a job is in its life."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    THROTTLED = "throttled"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNPLACEABLE = "unplaceable"


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a job declares that it needs; memory in MB."""

    cores: float
    memory_mb: int
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job; times in milliseconds since the epoch.

    `attempt` rises with each placement, so that a late report about an
    earlier placement can be told from one about the current placement.
    """

    job_id: ids.JobId
    service_id: ids.ServiceId
    team_id: ids.TeamId | None
    demand: Demand
    declared_run_s: float
    name: str = ""
    command: str = ""
    priority: int = 0
    urgent: bool = False
    state: JobState = JobState.QUEUED
    instance_id: ids.InstanceId | None = None
    attempt: int = 0
    submitted_at_ms: int = 0
    started_at_ms: int = 0
    reason: str = ""
    revision: ids.Revision = ids.Revision(0)
