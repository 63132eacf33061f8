"""The replicated state machine of the fleet.

`Fleet.apply` is deterministic: it performs no I/O and reads no clock, so two
replicas that applied the same records have equal states.
"""

from collections.abc import Collection, Mapping
import types

import msgpack
import xxhash

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import claim_handlers  # noqa: F401  (registers its handlers)
from tarragoncleat.state import command_context
from tarragoncleat.state import commands
from tarragoncleat.state import configuration_handlers  # noqa: F401  (registers its handlers)
from tarragoncleat.state import fleet_snapshot
from tarragoncleat.state import fleet_state
from tarragoncleat.state import instance_handlers  # noqa: F401  (registers its handlers)
from tarragoncleat.state import job_handlers  # noqa: F401  (registers its handlers)
from tarragoncleat.state import job_losses
from tarragoncleat.state import jobs as job_types
from tarragoncleat.state import ledger as ledger_types
from tarragoncleat.state import move_handlers  # noqa: F401  (registers its handlers)
from tarragoncleat.state import pools as pool_types
from tarragoncleat.state import profiles as profile_types
from tarragoncleat.state import wave_handlers  # noqa: F401  (registers its handlers)
from tarragoncleat.state import waves as wave_types

__all__ = ["Fleet"]

# A resent command gets its first result for an hour, unless this many newer
# commands have replaced it.
_RESULT_RETENTION_MS = 3_600_000
_MAX_RESULTS = 20_000
# The controller uses a new id for each command, so its results are needed only
# for a record that was proposed twice within a short time.
_MAX_SYSTEM_RESULTS = 2_000

_JOB_COMMANDS: tuple[type, ...] = (commands.SubmitJobs, commands.CancelJobs)
_OPERATOR_COMMANDS: tuple[type, ...] = (
    commands.PutProfile,
    commands.DeleteProfile,
    commands.PutService,
    commands.DeleteService,
    commands.PutTeam,
    commands.PutPool,
    commands.DeletePool,
    commands.PutInstance,
    commands.RemoveInstance,
    commands.MoveInstance,
    commands.ProposeWave,
    commands.ApproveWave,
    commands.PauseWave,
    commands.ResumeWave,
    commands.CancelWave,
    *_JOB_COMMANDS,
)
# The controller and the entries have none of these roles and may propose any
# command.
_COMMANDS_BY_ROLE: dict[str, tuple[type, ...]] = {
    settings.Role.OPERATOR.value: _OPERATOR_COMMANDS,
    settings.Role.SERVICE.value: _JOB_COMMANDS,
    settings.Role.AUDITOR.value: (),
    settings.Role.CALLER.value: (),
    settings.Role.UPSTREAM.value: (),
}
# These commands are idempotent, because claims are bound to a request id. Their
# results aren't stored, as the volume of requests with keys would evict the
# results of operators' commands.
_IDEMPOTENT = (commands.ClaimKeys, commands.ReleaseClaims)


class Fleet:
    """The state of the fleet.

    The mappings are read-only views of the current state. Views that were
    obtained before a `restore` keep showing the old state.
    """

    def __init__(self) -> None:
        """Creates an empty fleet."""
        self._state = fleet_state.State()

    @property
    def profiles(self) -> Mapping[ids.ProfileId, profile_types.Profile]:
        """Profiles by id."""
        return types.MappingProxyType(self._state.profiles)

    @property
    def services(self) -> Mapping[ids.ServiceId, profile_types.Service]:
        """Services by id."""
        return types.MappingProxyType(self._state.services)

    @property
    def teams(self) -> Mapping[ids.TeamId, profile_types.Team]:
        """Teams by id."""
        return types.MappingProxyType(self._state.teams)

    @property
    def pools(self) -> Mapping[ids.PoolId, pool_types.Pool]:
        """Pools by id."""
        return types.MappingProxyType(self._state.pools)

    @property
    def instances(self) -> Mapping[ids.InstanceId, pool_types.Instance]:
        """Instances by id."""
        return types.MappingProxyType(self._state.instances)

    @property
    def waves(self) -> Mapping[ids.WaveId, wave_types.Wave]:
        """Waves by id."""
        return fleet_state.WaveMapping(self._state.waves)

    @property
    def jobs(self) -> Mapping[ids.JobId, job_types.Job]:
        """Jobs by id; only a limited number of finished jobs is kept."""
        return types.MappingProxyType(self._state.jobs)

    @property
    def losses(self) -> Mapping[ids.JobId, job_losses.JobLosses]:
        """Losses of instances under live jobs, by job."""
        return types.MappingProxyType(self._state.losses)

    @property
    def claims(self) -> Mapping[bytes, fleet_state.ClaimRecord]:
        """Claimed idempotency keys by digest."""
        return types.MappingProxyType(self._state.claims)

    @property
    def ledger(self) -> ledger_types.Ledger:
        """The ledger."""
        return self._state.ledger

    @property
    def revision(self) -> ids.Revision:
        """Log index of the last configuration change."""
        return ids.Revision(self._state.revision)

    @property
    def applied_index(self) -> int:
        """Log index of the last applied record."""
        return self._state.applied_index

    @property
    def time_ms(self) -> int:
        """Time of the last applied record by the leader's clock."""
        return self._state.time_ms

    def standing_of(self, service_id: ids.ServiceId) -> profile_types.Standing:
        """Returns the standing of a service; LOW for an unknown one."""
        service = self._state.services.get(service_id)
        if service is None:
            return profile_types.Standing.LOW
        return self._state.profiles[service.profile_id].standing

    def owner_of(self, service_id: ids.ServiceId) -> ids.FirmId | None:
        """Returns the firm of a service; None for an unknown one."""
        service = self._state.services.get(service_id)
        return None if service is None else service.firm

    def profile_of_pool(
        self, pool_id: ids.PoolId
    ) -> profile_types.Profile | None:
        """Returns the profile of a pool's service; None for a spare pool."""
        return self._state.profile_of_pool(pool_id)

    def instances_of(self, pool_id: ids.PoolId) -> list[pool_types.Instance]:
        """Returns the instances of a pool."""
        return self._state.instances_of(pool_id)

    def instances_in(
        self, state: pool_types.InstanceState
    ) -> Collection[ids.InstanceId]:
        """Returns the instances in a state."""
        return self._state.instances_by_state[state]

    def jobs_in(self, state: job_types.JobState) -> Collection[ids.JobId]:
        """Returns the jobs in a state."""
        return self._state.jobs_by_state[state]

    def jobs_on(self, instance_id: ids.InstanceId) -> Collection[ids.JobId]:
        """Returns the jobs that occupy an instance."""
        return self._state.jobs_by_instance[instance_id]

    def used_by_instance(
        self, instance_id: ids.InstanceId
    ) -> fleet_state.Resources:
        """Returns the resources that the jobs on an instance occupy."""
        return self._state.used_by_instance(instance_id)

    def used_by_team(self, team_id: ids.TeamId) -> fleet_state.Resources:
        """Returns the resources that the placed jobs of a team use."""
        return self._state.used_by_team(team_id)

    def result_of(
        self, firm: ids.FirmId, command_id: ids.CommandId
    ) -> commands.Result | None:
        """Returns the stored result of a recently applied command."""
        stored = self._state.results.get((firm, command_id))
        return None if stored is None else codec.decode(stored.result)

    def apply(self, index: int, time_ms: int, payload: bytes) -> bytes:
        """Applies one committed record.

        Args:
            index: Log index.
            time_ms: Time of the record by the leader's clock; it never
                decreases.
            payload: An encoded `commands.Envelope`.

        Returns:
            An encoded `commands.Result`.
        """
        state = self._state
        state.applied_index = index
        state.time_ms = max(state.time_ms, time_ms)
        envelope = codec.decode(payload)
        if not isinstance(envelope, commands.Envelope):
            return _encode_failure(_decode_failure(envelope), index)
        failure = _check_role(envelope)
        if failure is not None:
            return _encode_failure(failure, index)
        if isinstance(envelope.command, _IDEMPOTENT):
            return self._run(envelope)
        return self._run_once(envelope, _digest(payload))

    def snapshot(self) -> bytes:
        """Returns the whole state, encoded."""
        return fleet_snapshot.encode_state(self._state)

    def restore(self, index: int, data: bytes) -> None:
        """Replaces the state with that of a snapshot taken at a log index.

        Raises:
            ValueError: The snapshot is damaged or newer than the index.
        """
        state = fleet_snapshot.decode_state(data)
        if isinstance(state, errors.Failure):
            raise ValueError(state.reason)
        if state.applied_index > index:
            raise ValueError(
                f"snapshot has index {state.applied_index}, newer than {index}"
            )
        state.applied_index = index
        self._state = state

    def _run(self, envelope: commands.Envelope) -> bytes:
        state = self._state
        context = command_context.CommandContext(
            state, state.applied_index, state.time_ms, envelope
        )
        value = command_context.apply_command(envelope.command, context)
        if isinstance(value, errors.Failure):
            return _encode_failure(value, state.applied_index)
        return codec.encode(
            commands.Result(True, revision=state.applied_index, value=value)
        )

    def _run_once(self, envelope: commands.Envelope, digest: bytes) -> bytes:
        state = self._state
        is_system = envelope.role not in _COMMANDS_BY_ROLE
        results = state.system_results if is_system else state.results
        limit = _MAX_SYSTEM_RESULTS if is_system else _MAX_RESULTS
        self._evict_results(results, limit)
        key = (envelope.firm, envelope.command_id)
        stored = results.get(key)
        if stored is not None and stored.digest == digest:
            return stored.result
        if stored is not None:
            return _encode_failure(
                errors.Failure(
                    errors.ErrorKind.KEY_REUSED,
                    f"Command-Id {envelope.command_id} was used for "
                    "another command",
                ),
                self._state.applied_index,
            )
        result = self._run(envelope)
        results[key] = fleet_state.StoredResult(
            digest, self._state.time_ms, result
        )
        return result

    def _evict_results(
        self,
        results: dict[tuple[str, str], fleet_state.StoredResult],
        limit: int,
    ) -> None:
        stored_after_ms = self._state.time_ms - _RESULT_RETENTION_MS
        while results:
            key, oldest = next(iter(results.items()))
            if len(results) < limit and oldest.time_ms > stored_after_ms:
                return
            del results[key]


def _digest(payload: bytes) -> bytes:
    """Returns a digest of a command and its If-Match, without its sender."""
    fields = msgpack.unpackb(payload)[2]
    content = msgpack.packb([fields["if_match"], fields["command"]])
    return xxhash.xxh3_128_digest(content)


def _check_role(envelope: commands.Envelope) -> errors.Failure | None:
    allowed = _COMMANDS_BY_ROLE.get(envelope.role)
    if allowed is None or isinstance(envelope.command, allowed):
        return None
    return command_context.forbidden(
        f"role {envelope.role} can't give {envelope.command.kind}"
    )


def _decode_failure(decoded: object) -> errors.Failure:
    if isinstance(decoded, errors.Failure):
        return decoded
    return errors.Failure(
        errors.ErrorKind.DECODE, f"{type(decoded).__name__} is no command"
    )


def _encode_failure(failure: errors.Failure, index: int) -> bytes:
    revision = failure.detail.get("revision", index)
    return codec.encode(
        commands.Result(
            False,
            failure.kind,
            failure.reason,
            revision if isinstance(revision, int) else index,
            dict(failure.detail),
        )
    )
