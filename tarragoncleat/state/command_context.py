"""The context in which command handlers run, and the dispatch to them.

A handler completes its checks before it writes to the state. A refused command
may change nothing except its stored result and the denials in the ledger.

Reasons of failures and causes are stored with the results, so replicas of
different builds must produce equal texts; changing one needs care.
"""

from collections.abc import Mapping
import dataclasses
import functools
from typing import Any, TypeVar

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import commands
from tarragoncleat.state import fleet_state
from tarragoncleat.state import jobs
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = [
    "CommandContext",
    "apply_command",
    "bad_request",
    "conflict",
    "forbidden",
    "not_found",
    "over_budget",
]

_Id = TypeVar("_Id")
_Item = TypeVar("_Item")


def bad_request(reason: str) -> errors.Failure:
    """Returns the failure of an invalid command."""
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)


def conflict(reason: str, **detail: object) -> errors.Failure:
    """Returns the failure of a command that the current state rules out."""
    return errors.Failure(errors.ErrorKind.CONFLICT, reason, detail)


def forbidden(reason: str) -> errors.Failure:
    """Returns the failure of a command that its actor may not run."""
    return errors.Failure(errors.ErrorKind.FORBIDDEN, reason)


def not_found(object_type: str, name: object) -> errors.Failure:
    """Returns the failure for an object that is absent or of another firm."""
    return errors.Failure(
        errors.ErrorKind.NOT_FOUND, f"there is no {object_type} {name}"
    )


def over_budget(reason: str) -> errors.Failure:
    """Returns the failure of a command that exceeds a budget or a quota."""
    return errors.Failure(errors.ErrorKind.BUDGET, reason)


class CommandContext:
    """The log record being applied, with its actor and time, and the state."""

    def __init__(
        self,
        state: fleet_state.State,
        index: int,
        now_ms: int,
        envelope: commands.Envelope,
    ) -> None:
        """Creates the context of the record at a log index."""
        self._state = state
        self._index = index
        self._now_ms = now_ms
        self._envelope = envelope

    @property
    def state(self) -> fleet_state.State:
        """The tables of the fleet."""
        return self._state

    @property
    def revision(self) -> ids.Revision:
        """Revision that every object changed by this record gets."""
        return ids.Revision(self._index)

    @property
    def now_ms(self) -> int:
        """The leader's time of the record."""
        return self._now_ms

    @property
    def actor(self) -> str:
        """Who sent the command."""
        return self._envelope.actor

    @property
    def firm(self) -> ids.FirmId:
        """Firm of the actor."""
        return self._envelope.firm

    def may_access(self, firm: ids.FirmId) -> bool:
        """Returns whether the actor may read and change a firm's objects."""
        return self.firm in (commands.ANY_FIRM, firm)

    def covers_service(self, service_id: ids.ServiceId) -> bool:
        """Returns whether the actor may change the jobs of a service."""
        services = self._envelope.services
        return services is None or service_id in services

    def check_owner(self, firm: ids.FirmId) -> errors.Failure | None:
        """Checks that the actor may create objects of a firm."""
        if self.may_access(firm):
            return None
        return forbidden(f"firm {self.firm} can't own objects of firm {firm}")

    def check_if_match(self, current: Any, given: Any) -> errors.Failure | None:
        """Checks If-Match of a put against the object that it replaces.

        Args:
            current: The stored object, or None.
            given: The object of the command.
        """
        if_match = self._envelope.if_match
        revision = 0 if current is None else current.revision
        if if_match is None or if_match == revision:
            return None
        reason = f"the current revision is {revision}, not {if_match}"
        return conflict(
            reason, revision=revision, differences=_differences(current, given)
        )

    def check_revision(self, revision: int) -> errors.Failure | None:
        """Checks If-Match of a command that carries no new object."""
        if_match = self._envelope.if_match
        if if_match is None or if_match == revision:
            return None
        reason = f"the current revision is {revision}, not {if_match}"
        return conflict(reason, revision=revision, differences={})

    def find(
        self, table: Mapping[_Id, _Item], name: _Id, object_type: str
    ) -> _Item | errors.Failure:
        """Returns an object of a table whose items have a `firm`.

        Objects that the actor may not access are reported as not found.
        """
        item: Any = table.get(name)
        if item is None or not self.may_access(item.firm):
            return not_found(object_type, name)
        return item

    def find_if_match(
        self, table: Mapping[_Id, _Item], name: _Id, object_type: str
    ) -> _Item | errors.Failure:
        """Returns an object as `find` does, after a check of If-Match."""
        item: Any = self.find(table, name, object_type)
        if isinstance(item, errors.Failure):
            return item
        failure = self.check_revision(item.revision)
        return item if failure is None else failure

    def find_instance(
        self, name: ids.InstanceId
    ) -> pools.Instance | errors.Failure:
        """Returns an instance, or not found if the actor may not access it."""
        instance = self._state.instances.get(name)
        if instance is None or not self.may_access(
            self._state.pools[instance.pool_id].firm
        ):
            return not_found("instance", name)
        return instance

    def mark_configuration_changed(self) -> None:
        """Marks this record as the last configuration change."""
        self._state.revision = self._index

    def put_instance(
        self,
        instance: pools.Instance,
        kind: ledger.LedgerKind,
        cause: str,
        wave_id: ids.WaveId | None = None,
    ) -> pools.Instance:
        """Stores a changed instance and records the change in the ledger.

        The entry contains the change of the pool's capacity in service, if any.
        A change of pool adds an entry for each of the two pools.
        """
        state = self._state
        old = state.instances.get(instance.instance_id)
        instance = dataclasses.replace(instance, revision=self.revision)
        state.put_instance(instance)
        if old is not None and old.pool_id != instance.pool_id:
            self._add_instance_ledger_entry(
                old, _is_serving(old), False, kind, cause, wave_id
            )
            old = None
        before = old is not None and _is_serving(old)
        after = _is_serving(instance)
        self._add_instance_ledger_entry(
            instance, before, after, kind, cause, wave_id
        )
        return instance

    def put_job(self, job: jobs.Job) -> None:
        """Stores a changed job."""
        job = dataclasses.replace(job, revision=self.revision)
        self._state.put_job(job)

    def add_job_ledger_entry(
        self, job: jobs.Job, kind: ledger.LedgerKind, cause: str
    ) -> None:
        """Adds a ledger entry about the resources of a job."""
        demand = job.demand
        pool_id = self._state.services[job.service_id].pool_id
        self.add_ledger_entry(
            kind,
            self._state.services[job.service_id].firm,
            service_id=job.service_id,
            pool_id=pool_id,
            instance_id=job.instance_id,
            job_id=job.job_id,
            cause=cause,
            amount=profiles.Capacity(
                slots=1,
                cores=demand.cores,
                memory_mb=demand.memory_mb,
                accelerators=demand.accelerators,
            ),
        )

    def add_ledger_entry(
        self, kind: ledger.LedgerKind, firm: ids.FirmId, **fields: Any
    ) -> None:
        """Adds an entry to the ledger of the fleet."""
        fleet_ledger = self._state.ledger
        entry = ledger.Entry(
            sequence=fleet_ledger.next_sequence,
            time_ms=self._now_ms,
            kind=kind,
            firm=firm,
            revision=self.revision,
            **fields,
        )
        fleet_ledger.append(entry)

    def _add_instance_ledger_entry(
        self,
        instance: pools.Instance,
        before: bool,
        after: bool,
        kind: ledger.LedgerKind,
        cause: str,
        wave_id: ids.WaveId | None,
    ) -> None:
        pool = self._state.pools[instance.pool_id]
        sign = int(after) - int(before)
        self.add_ledger_entry(
            kind,
            pool.firm,
            service_id=pool.service_id,
            pool_id=pool.pool_id,
            instance_id=instance.instance_id,
            wave_id=wave_id or instance.wave_id,
            cause=cause,
            amount=_signed_capacity(instance, sign) if sign else None,
        )


@functools.singledispatch
def apply_command(command: object, context: CommandContext) -> Any:
    """Runs the handler of a command.

    Returns:
        The value of the command's result, of plain types, or a `Failure`.
    """
    return bad_request(f"no rule for {type(command).__name__}")


def _is_serving(instance: pools.Instance) -> bool:
    return instance.state is pools.InstanceState.IN_SERVICE


def _signed_capacity(instance: pools.Instance, sign: int) -> profiles.Capacity:
    return profiles.Capacity(
        instances=sign,
        cores=sign * instance.cores,
        memory_mb=sign * instance.memory_mb,
        accelerators=sign * instance.accelerators,
    )


def _differences(current: Any, given: Any) -> dict[str, object]:
    if current is None or given is None:
        return {}
    differences: dict[str, object] = {}
    for field in dataclasses.fields(given):
        if field.name == "revision":
            continue
        old = getattr(current, field.name)
        new = getattr(given, field.name)
        if old != new:
            differences[field.name] = {"current": old, "given": new}
    return differences
