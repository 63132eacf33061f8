"""Commands that change the fleet, and their results.

A command travels in an `Envelope`, encoded by `codec`, as the payload of one
record of the replicated log. `Fleet.apply` returns an encoded `Result`. Each
command class has a constant `kind`, by which the union is decoded.
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
    """A job and the instance that it is placed on.

    `size` is what to reserve for it; None means the declared size.
    """

    job_id: ids.JobId
    instance_id: ids.InstanceId
    size: jobs.Demand | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobChange:
    """A job state that was observed.

    A change whose `attempt` is not the job's current one is ignored, because
    it reports on an earlier placement.
    """

    job_id: ids.JobId
    attempt: int
    state: jobs.JobState
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """Something that was asked for and not given."""

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
        entry_id: The entry that keeps the answer.
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
    """Creates a pool or changes the service that it serves."""

    pool: pools.Pool
    kind: Literal["put_pool"] = "put_pool"


@dataclasses.dataclass(frozen=True, slots=True)
class DeletePool:
    """Deletes a pool without instances."""

    pool_id: ids.PoolId
    kind: Literal["delete_pool"] = "delete_pool"


@dataclasses.dataclass(frozen=True, slots=True)
class PutInstance:
    """Registers an instance or changes its description.

    The pool of a registered instance changes only by a move.
    """

    instance: pools.Instance
    kind: Literal["put_instance"] = "put_instance"


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveInstance:
    """Removes an instance that runs nothing."""

    instance_id: ids.InstanceId
    kind: Literal["remove_instance"] = "remove_instance"


@dataclasses.dataclass(frozen=True, slots=True)
class MoveInstance:
    """Starts to drain an instance that is to move to another pool.

    Naming the instance's own pool cancels a move that has not switched yet.
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
    """Stops new drains of a wave for the time being."""

    wave_id: ids.WaveId
    kind: Literal["pause_wave"] = "pause_wave"


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeWave:
    """Lets a paused wave go on."""

    wave_id: ids.WaveId
    kind: Literal["resume_wave"] = "resume_wave"


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWave:
    """Stops new drains of a wave for good."""

    wave_id: ids.WaveId
    kind: Literal["cancel_wave"] = "cancel_wave"


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJobs:
    """Submits jobs; the fleet sets state, attempt and times itself."""

    jobs: tuple[jobs.Job, ...]
    kind: Literal["submit_jobs"] = "submit_jobs"


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJobs:
    """Cancels jobs in one record."""

    job_ids: tuple[ids.JobId, ...]
    kind: Literal["cancel_jobs"] = "cancel_jobs"


@dataclasses.dataclass(frozen=True, slots=True)
class StepWave:
    """Moves a wave on.

    Attributes:
        wave_id: The wave.
        take: Instances to drain; those that the availability budget no longer
            allows are refused and reported.
        finish: Instances of the wave that were maintained and are back in
            service; others are left as they are.
        skip: Instances that the wave passes over for good.
        blocked_by: What holds the wave now; None leaves it unchanged.
    """

    wave_id: ids.WaveId
    take: tuple[ids.InstanceId, ...] = ()
    finish: tuple[ids.InstanceId, ...] = ()
    skip: tuple[waves.Skipped, ...] = ()
    blocked_by: tuple[waves.Blocker, ...] | None = None
    kind: Literal["step_wave"] = "step_wave"


@dataclasses.dataclass(frozen=True, slots=True)
class RecordInstanceState:
    """Records what the controller observed.

    LOST states that the lease of the instance has certainly ended.
    """

    instance_id: ids.InstanceId
    state: pools.InstanceState
    cause: str = ""
    expected_revision: ids.Revision | None = None
    kind: Literal["record_instance_state"] = "record_instance_state"


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchPool:
    """Puts a drained instance into the pool that it moves to.

    Attributes:
        instance_id: The instance.
        pool_id: The pool that the move named.
        lease_ended: Whether the worker's lease has certainly ended. A silent
            worker switches only then.
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
    """Records what was denied and why."""

    denials: tuple[Denial, ...]
    kind: Literal["record_denials"] = "record_denials"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKeys:
    """Claims idempotency keys.

    The limits travel in the record, so that every entry applies the same ones.

    The value of the result is one list for each claim, in order: the outcome
    ("granted", "held", "key_reused" or "full"), and the request id and the
    entry id of the holder. A claim that its own request holds already is
    granted again.
    """

    claims: tuple[Claim, ...]
    retention_s: int = 7_200
    max_entries: int = 200_000
    kind: Literal["claim_keys"] = "claim_keys"


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseClaims:
    """Releases claims of requests that certainly did not run.

    A claim that another request holds stays.
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
    """A command with its id and who gives it.

    Attributes:
        command_id: A command that is sent again under its id has no second
            effect; the first result is returned.
        firm: Firm of the actor; `ANY_FIRM` for the platform's own operators,
            the controller and the entries.
        actor: Name of the token, or id of the entry.
        role: A value of `settings.Role`, `CONTROLLER_ROLE` or `ENTRY_ROLE`.
        if_match: Revision that the object must have; 0 means that it must not
            exist. None skips the check.
        command: The command.
    """

    command_id: ids.CommandId
    firm: ids.FirmId
    actor: str
    role: str
    if_match: int | None
    command: Annotated[Command, pydantic.Field(discriminator="kind")]


@codec.message("result")
@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of a command.

    Attributes:
        ok: Whether it was carried out.
        kind: Error kind when it was not.
        reason: Why it was not carried out.
        revision: Log index of the record; on a conflict the current revision
            of the object.
        value: Further values of plain types, depending on the command.
    """

    ok: bool
    kind: errors.ErrorKind | None = None
    reason: str = ""
    revision: int = 0
    value: Any = None

    def to_failure(self) -> errors.Failure:
        """Returns the failure of a command that was not carried out."""
        kind = self.kind or errors.ErrorKind.INTERNAL
        detail = self.value if isinstance(self.value, dict) else {}
        return errors.Failure(kind, self.reason, detail)
