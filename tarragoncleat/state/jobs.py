"""Jobs, their states and the validation of submitted jobs."""

import dataclasses
import enum

import pydantic

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids

__all__ = [
    "THROTTLED_CORE_SHARE",
    "Demand",
    "Job",
    "JobState",
    "check_demand",
    "check_job",
    "check_transition",
]

# Share of its cores that a throttled job may use. It still occupies its memory
# and accelerators.
THROTTLED_CORE_SHARE = 0.5

_MAX_CORES = 100_000
_MAX_MEMORY_MB = 10**9
_MAX_ACCELERATORS = 10_000
_MAX_RUN_S = 366 * 86_400
_MAX_PRIORITY = 1_000_000
_MAX_NAME_CHARACTERS = 256
_MAX_COMMAND_CHARACTERS = 16_384


class JobState(enum.Enum):
    """The lifecycle states of a job."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    THROTTLED = "throttled"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNPLACEABLE = "unplaceable"

    @property
    def is_final(self) -> bool:
        """Whether the job has ended."""
        return self in _FINAL

    @property
    def holds_instance(self) -> bool:
        """Whether the job occupies its instance."""
        return self in _ON_INSTANCE

    @property
    def is_waiting(self) -> bool:
        """Whether the job waits to be placed."""
        return self in _WAITING


_FINAL = frozenset(
    {
        JobState.SUCCEEDED,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.UNPLACEABLE,
    }
)
_ON_INSTANCE = frozenset(
    {JobState.PLACED, JobState.RUNNING, JobState.THROTTLED}
)
_WAITING = frozenset({JobState.QUEUED, JobState.CHECKPOINTED})


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Resources that a job needs on one instance; memory in MB."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    cores: float
    memory_mb: int
    accelerators: int = 0

    def throttled(self) -> "Demand":
        """Returns what a throttled job of this size occupies."""
        cores = round(self.cores * THROTTLED_CORE_SHARE, 3)
        return dataclasses.replace(self, cores=cores)


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job; times in milliseconds since the epoch.

    `attempt` increases with each placement, which distinguishes a late report
    about an earlier placement from one about the current placement. `reserved`
    is the size that the placement reserved, estimated from similar jobs; None
    means the declared size.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

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
    reserved: Demand | None = None
    revision: ids.Revision = ids.Revision(0)

    @property
    def occupied(self) -> Demand:
        """Resources that the job occupies while it is on an instance."""
        size = self.reserved or self.demand
        if self.state is not JobState.THROTTLED:
            return size
        return size.throttled()


# The transitions that the controller may record. Only PlaceJobs places jobs,
# and only CancelJobs cancels them.
_TRANSITIONS: dict[JobState, frozenset[JobState]] = {
    JobState.QUEUED: frozenset({JobState.UNPLACEABLE}),
    JobState.CHECKPOINTED: frozenset({JobState.UNPLACEABLE}),
    JobState.PLACED: frozenset(
        {
            JobState.RUNNING,
            JobState.QUEUED,
            JobState.CHECKPOINTED,
            JobState.SUCCEEDED,
            JobState.FAILED,
        }
    ),
    JobState.RUNNING: frozenset(
        {
            JobState.THROTTLED,
            JobState.QUEUED,
            JobState.CHECKPOINTED,
            JobState.SUCCEEDED,
            JobState.FAILED,
        }
    ),
    JobState.THROTTLED: frozenset(
        {
            JobState.RUNNING,
            JobState.QUEUED,
            JobState.CHECKPOINTED,
            JobState.SUCCEEDED,
            JobState.FAILED,
        }
    ),
}


def check_transition(job: Job, state: JobState) -> errors.Failure | None:
    """Checks that the controller may record a new state of a job."""
    if state in _TRANSITIONS.get(job.state, frozenset()):
        return None
    return errors.Failure(
        errors.ErrorKind.CONFLICT,
        f"job {job.job_id} can't go from {job.state.value} to {state.value}",
    )


def check_demand(demand: Demand) -> errors.Failure | None:
    """Checks that every field of a demand is a number within its limits."""
    fields = (
        ("cores", demand.cores, 0.001, _MAX_CORES),
        ("memory_mb", demand.memory_mb, 0, _MAX_MEMORY_MB),
        ("accelerators", demand.accelerators, 0, _MAX_ACCELERATORS),
    )
    for name, value, minimum, maximum in fields:
        if not minimum <= value <= maximum:
            return errors.Failure(
                errors.ErrorKind.BAD_REQUEST,
                f"demand.{name} must be {minimum} to {maximum}, not {value}",
            )
    return None


def check_job(job: Job) -> errors.Failure | None:
    """Checks the declared fields of a submitted job.

    Returns:
        None, or a `Failure` of kind BAD_REQUEST that names the field.
    """
    failure = check_demand(job.demand)
    if failure is not None:
        return _invalid(job, failure.reason)
    if not 0 < job.declared_run_s <= _MAX_RUN_S:
        return _invalid(
            job,
            f"declared_run_s must be above 0 and at most {_MAX_RUN_S}, "
            f"not {job.declared_run_s}",
        )
    if abs(job.priority) > _MAX_PRIORITY:
        return _invalid(job, f"priority must be within +-{_MAX_PRIORITY}")
    if (
        len(job.name) > _MAX_NAME_CHARACTERS
        or len(job.command) > _MAX_COMMAND_CHARACTERS
    ):
        return _invalid(
            job,
            f"name has at most {_MAX_NAME_CHARACTERS} and command "
            f"{_MAX_COMMAND_CHARACTERS} characters",
        )
    return None


def _invalid(job: Job, reason: str) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.BAD_REQUEST, f"job {job.job_id}: {reason}"
    )
