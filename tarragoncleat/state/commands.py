"""Commands that change the fleet, and their results.

Each record of the replicated log contains one command in an `Envelope`, encoded
by `codec`. `Fleet.apply` returns an encoded `Result`. The constant field `kind`
of each command class is the discriminator of the union.
"""

import dataclasses
from typing import Annotated, Any, Literal, TypeAlias

import pydantic

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = [
    "ANY_FIRM",
    "CONTROLLER_ROLE",
    "ENTRY_ROLE",
    "ApproveWave",
    "CancelJobs",
    "CancelWave",
    "Claim",
    "ClaimKeys",
    "Command",
    "DeletePool",
    "DeleteProfile",
    "DeleteService",
    "Denial",
    "Envelope",
    "JobChange",
    "JobPlacement",
    "MoveInstance",
    "PauseWave",
    "PlaceJobs",
    "ProposeWave",
    "PutInstance",
    "PutPool",
    "PutProfile",
    "PutService",
    "PutTeam",
    "RecordDenials",
    "RecordInstanceState",
    "RecordJobStates",
    "ReleaseClaims",
    "RemoveInstance",
    "Result",
    "ResumeWave",
    "StepWave",
    "SubmitJobs",
    "SwitchPool",
]

ANY_FIRM = ids.FirmId("*")
CONTROLLER_ROLE = "controller"
ENTRY_ROLE = "entry"


@dataclasses.dataclass(frozen=True, slots=True)
class JobPlacement:
    """A job and the instance to place it on.

    `size` is the size to reserve for the job; None means its declared size.
    """

    job_id: ids.JobId
    instance_id: ids.InstanceId
    size: jobs.Demand | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobChange:
    """An observed state of a job.

    A change whose `attempt` is not the current attempt of the job is refused,
    because it belongs to an earlier placement. `worker_crashed` tells that
    the worker restarted after it had reported to run the job.
    """

    job_id: ids.JobId
    attempt: int
    state: jobs.JobState
    reason: str = ""
    worker_crashed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """Capacity that a service or a job requested and was denied."""

    service_id: ids.ServiceId
    cause: str
    pool_id: ids.PoolId | None = None
    job_id: ids.JobId | None = None
    amount: profiles.Capacity | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim of one idempotency key.

    Attributes:
        digest: 16 bytes over firm, service and key.
        fingerprint: Digest of the request that uses the key.
        request_id: The request that claims the key.
        entry_id: The entry that stores the response to the request.
    """

    digest: bytes
    fingerprint: bytes
    request_id: ids.RequestId
    entry_id: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class PutProfile:
    """Creates or replaces a profile."""

    profile: profiles.Profile
    kind: Literal["put_profile"] = "put_profile"


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteProfile:
    """Deletes a profile that no service uses."""

    profile_id: ids.ProfileId
    kind: Literal["delete_profile"] = "delete_profile"


@dataclasses.dataclass(frozen=True, slots=True)
class PutService:
    """Creates or replaces a service."""

    service: profiles.Service
    kind: Literal["put_service"] = "put_service"


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteService:
    """Deletes a service that has no pool and no live job."""

    service_id: ids.ServiceId
    kind: Literal["delete_service"] = "delete_service"


@dataclasses.dataclass(frozen=True, slots=True)
class PutTeam:
    """Creates or replaces a team and its quota."""

    team: profiles.Team
    kind: Literal["put_team"] = "put_team"


@dataclasses.dataclass(frozen=True, slots=True)
class PutPool:
    """Creates or replaces a pool.

    The service of a pool is set by `PutService`.
    """

    pool: pools.Pool
    kind: Literal["put_pool"] = "put_pool"


@dataclasses.dataclass(frozen=True, slots=True)
class DeletePool:
    """Deletes a pool that has no instances and no service."""

    pool_id: ids.PoolId
    kind: Literal["delete_pool"] = "delete_pool"


@dataclasses.dataclass(frozen=True, slots=True)
class PutInstance:
    """Registers an instance or changes its description.

    Only a move changes the pool of a registered instance.
    """

    instance: pools.Instance
    kind: Literal["put_instance"] = "put_instance"


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveInstance:
    """Removes an instance that runs no jobs."""

    instance_id: ids.InstanceId
    kind: Literal["remove_instance"] = "remove_instance"


@dataclasses.dataclass(frozen=True, slots=True)
class MoveInstance:
    """Starts to drain an instance so that it can move to another pool.

    A move to the instance's current pool cancels a move that has not switched
    pools yet.
    """

    instance_id: ids.InstanceId
    pool_id: ids.PoolId
    kind: Literal["move_instance"] = "move_instance"


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeWave:
    """Proposes a maintenance wave."""

    wave_id: ids.WaveId
    firm: ids.FirmId
    selection: waves.Selection
    action: str = "reboot"
    kind: Literal["propose_wave"] = "propose_wave"


@dataclasses.dataclass(frozen=True, slots=True)
class ApproveWave:
    """Approves a proposed wave."""

    wave_id: ids.WaveId
    kind: Literal["approve_wave"] = "approve_wave"


@dataclasses.dataclass(frozen=True, slots=True)
class PauseWave:
    """Stops a wave from draining more instances until it is resumed."""

    wave_id: ids.WaveId
    kind: Literal["pause_wave"] = "pause_wave"


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeWave:
    """Resumes a paused wave."""

    wave_id: ids.WaveId
    kind: Literal["resume_wave"] = "resume_wave"


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWave:
    """Permanently stops a wave from draining more instances."""

    wave_id: ids.WaveId
    kind: Literal["cancel_wave"] = "cancel_wave"


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJobs:
    """Submits jobs.

    The fleet sets state, placement, attempt and times; submitted values of
    these fields are ignored.
    """

    jobs: tuple[jobs.Job, ...]
    kind: Literal["submit_jobs"] = "submit_jobs"


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJobs:
    """Cancels jobs."""

    job_ids: tuple[ids.JobId, ...]
    kind: Literal["cancel_jobs"] = "cancel_jobs"


@dataclasses.dataclass(frozen=True, slots=True)
class StepWave:
    """Advances a wave.

    Attributes:
        wave_id: The wave.
        take: Instances to drain. Those that the availability budget no longer
            allows are listed as refused in the result.
        finish: Instances of the wave that return to service after maintenance;
            instances that were not maintained are ignored.
        skip: Instances to skip permanently.
        blocked_by: Reasons why the wave can't drain more instances now; None
            leaves them unchanged.
    """

    wave_id: ids.WaveId
    take: tuple[ids.InstanceId, ...] = ()
    finish: tuple[ids.InstanceId, ...] = ()
    skip: tuple[waves.Skipped, ...] = ()
    blocked_by: tuple[waves.Blocker, ...] | None = None
    kind: Literal["step_wave"] = "step_wave"


@dataclasses.dataclass(frozen=True, slots=True)
class RecordInstanceState:
    """Records an instance state that the controller observed.

    LOST may be recorded only after the lease of the instance has certainly
    ended.
    """

    instance_id: ids.InstanceId
    state: pools.InstanceState
    cause: str = ""
    expected_revision: ids.Revision | None = None
    kind: Literal["record_instance_state"] = "record_instance_state"


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchPool:
    """Switches a drained instance to the target pool of its move.

    Attributes:
        instance_id: The instance.
        pool_id: The target pool of the move.
        lease_ended: Whether the worker's lease has certainly ended. An
            unreachable worker, whose jobs may still run, switches only then.
    """

    instance_id: ids.InstanceId
    pool_id: ids.PoolId
    lease_ended: bool = False
    kind: Literal["switch_pool"] = "switch_pool"


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceJobs:
    """Places queued or checkpointed jobs."""

    placements: tuple[JobPlacement, ...]
    kind: Literal["place_jobs"] = "place_jobs"


@dataclasses.dataclass(frozen=True, slots=True)
class RecordJobStates:
    """Records job states that the controller observed."""

    changes: tuple[JobChange, ...]
    kind: Literal["record_job_states"] = "record_job_states"


@dataclasses.dataclass(frozen=True, slots=True)
class RecordDenials:
    """Records denials in the ledger."""

    denials: tuple[Denial, ...]
    kind: Literal["record_denials"] = "record_denials"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKeys:
    """Claims idempotency keys.

    The limits are part of the record, so that every entry applies the same
    limits.

    The value of the result is a list with one item per claim, in order. Each
    item is a list of the outcome ("granted", "held", "key_reused" or "full")
    and the request id and entry id of the holder. A claim is granted again to
    the request that already holds it.
    """

    claims: tuple[Claim, ...]
    retention_s: int = 7_200
    max_entries: int = 200_000
    kind: Literal["claim_keys"] = "claim_keys"


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseClaims:
    """Releases the claims of requests that certainly did not run.

    Claims that are held by another request are left unchanged.
    """

    claims: tuple[Claim, ...]
    kind: Literal["release_claims"] = "release_claims"


Command: TypeAlias = (
    PutProfile
    | DeleteProfile
    | PutService
    | DeleteService
    | PutTeam
    | PutPool
    | DeletePool
    | PutInstance
    | RemoveInstance
    | MoveInstance
    | ProposeWave
    | ApproveWave
    | PauseWave
    | ResumeWave
    | CancelWave
    | SubmitJobs
    | CancelJobs
    | StepWave
    | RecordInstanceState
    | SwitchPool
    | PlaceJobs
    | RecordJobStates
    | RecordDenials
    | ClaimKeys
    | ReleaseClaims
)


@codec.message("envelope")
@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A command with its id and its sender.

    Attributes:
        command_id: Identifies the command when it is resent. A resent command
            has no second effect; its first result is returned.
        firm: Firm of the actor; `ANY_FIRM` for the platform's own operators,
            the controller and the entries.
        actor: Name of the sender's token, or id of the entry.
        role: A value of `settings.Role`, `CONTROLLER_ROLE` or `ENTRY_ROLE`.
        if_match: Revision that the object must have; 0 means that it must not
            exist. None skips the check.
        command: The command.
        services: Services whose jobs the sender may change; None for all of
            its firm. A job's service may change until the command is applied,
            because the id of a removed job may be used again.
    """

    command_id: ids.CommandId
    firm: ids.FirmId
    actor: str
    role: str
    if_match: int | None
    command: Annotated[Command, pydantic.Field(discriminator="kind")]
    services: tuple[ids.ServiceId, ...] | None = None


@codec.message("result")
@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of a command.

    Attributes:
        ok: Whether the command succeeded.
        kind: Error kind if the command failed.
        reason: Why the command failed.
        revision: Log index of the record; for a conflict the current revision
            of the object.
        value: Further data of plain types that depends on the command.
    """

    ok: bool
    kind: errors.ErrorKind | None = None
    reason: str = ""
    revision: int = 0
    value: Any = None

    def to_failure(self) -> errors.Failure:
        """Converts the result of a failed command to a `Failure`."""
        kind = self.kind or errors.ErrorKind.INTERNAL
        detail = self.value if isinstance(self.value, dict) else {}
        return errors.Failure(kind, self.reason, detail)
