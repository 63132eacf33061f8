"""What the rules of all aggregates share: the change, and its dispatch.

A rule checks everything before it writes, because a refused command must leave
no trace but its result and its denial in the ledger.
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
    "Change",
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
    """Returns the failure of a command that can never be carried out."""
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)


def conflict(reason: str, **detail: object) -> errors.Failure:
    """Returns the failure of a command that the current state forbids."""
    return errors.Failure(errors.ErrorKind.CONFLICT, reason, detail)


def forbidden(reason: str) -> errors.Failure:
    """Returns the failure of an actor without the right."""
    return errors.Failure(errors.ErrorKind.FORBIDDEN, reason)


def not_found(what: str, name: object) -> errors.Failure:
    """Returns the failure for an absent object, or one of another firm."""
    return errors.Failure(
        errors.ErrorKind.NOT_FOUND, f"there is no {what} {name}"
    )


def over_budget(reason: str) -> errors.Failure:
    """Returns the failure of what a budget or a quota forbids."""
    return errors.Failure(errors.ErrorKind.BUDGET, reason)


class Change:
    """One record that is being applied: who, when, and the state."""

    def __init__(
        self,
        state: fleet_state.State,
        index: int,
        now_ms: int,
        envelope: commands.Envelope,
    ) -> None:
        """Prepares to apply the record at a log index."""
        self._state = state
        self._index = index
        self._now_ms = now_ms
        self._envelope = envelope

    @property
    def state(self) -> fleet_state.State:
        """The tables."""
        return self._state

    @property
    def revision(self) -> ids.Revision:
        """Revision of every object that this record changes."""
        return ids.Revision(self._index)

    @property
    def now_ms(self) -> int:
        """The leader's time of the record."""
        return self._now_ms

    @property
    def actor(self) -> str:
        """Who gives the command."""
        return self._envelope.actor

    @property
    def firm(self) -> ids.FirmId:
        """Firm of the actor."""
        return self._envelope.firm

    def may_use(self, firm: ids.FirmId) -> bool:
        """Tells whether the actor may read and change a firm's objects."""
        return self.firm in (commands.ANY_FIRM, firm)

    def check_owner(self, firm: ids.FirmId) -> errors.Failure | None:
        """Checks the firm that a new object names."""
        if self.may_use(firm):
            return None
        return forbidden(f"firm {self.firm} can't own objects of firm {firm}")

    def check_match(self, current: Any, given: Any) -> errors.Failure | None:
        """Checks If-Match against the object that a put replaces.

        Args:
            current: The object in force, or None.
            given: The object of the command.
        """
        wanted = self._envelope.if_match
        revision = 0 if current is None else current.revision
        if wanted is None or wanted == revision:
            return None
        reason = f"the current revision is {revision}, not {wanted}"
        return conflict(
            reason, revision=revision, differences=_differences(current, given)
        )

    def check_revision(self, revision: int) -> errors.Failure | None:
        """Checks If-Match of a command that names no new content."""
        wanted = self._envelope.if_match
        if wanted is None or wanted == revision:
            return None
        reason = f"the current revision is {revision}, not {wanted}"
        return conflict(reason, revision=revision, differences={})

    def find(
        self, table: Mapping[_Id, _Item], name: _Id, what: str
    ) -> _Item | errors.Failure:
        """Returns an object that has a `firm` and that the actor may use."""
        item: Any = table.get(name)
        if item is None or not self.may_use(item.firm):
            return not_found(what, name)
        return item

    def find_current(
        self, table: Mapping[_Id, _Item], name: _Id, what: str
    ) -> _Item | errors.Failure:
        """Returns an object as `find` does, and checks If-Match."""
        item: Any = self.find(table, name, what)
        if isinstance(item, errors.Failure):
            return item
        failure = self.check_revision(item.revision)
        return item if failure is None else failure

    def find_instance(
        self, name: ids.InstanceId
    ) -> pools.Instance | errors.Failure:
        """Returns an instance that the actor may use."""
        instance = self._state.instances.get(name)
        if instance is None or not self.may_use(
            self._state.pools[instance.pool_id].firm
        ):
            return not_found("instance", name)
        return instance

    def configured(self) -> None:
        """Marks the record as a configuration change."""
        self._state.revision = self._index

    def put_instance(
        self,
        instance: pools.Instance,
        kind: ledger.LedgerKind,
        cause: str,
        wave_id: ids.WaveId | None = None,
    ) -> pools.Instance:
        """Stores a changed instance and what it means for its pool."""
        state = self._state
        old = state.instances.get(instance.instance_id)
        instance = dataclasses.replace(instance, revision=self.revision)
        state.put_instance(instance)
        if old is not None and old.pool_id != instance.pool_id:
            self._log_instance(old, _serving(old), False, kind, cause, wave_id)
            old = None
        before = old is not None and _serving(old)
        after = _serving(instance)
        self._log_instance(instance, before, after, kind, cause, wave_id)
        return instance

    def put_job(self, job: jobs.Job) -> None:
        """Stores a changed job."""
        job = dataclasses.replace(job, revision=self.revision)
        self._state.put_job(job)

    def log_job(
        self, job: jobs.Job, kind: ledger.LedgerKind, cause: str
    ) -> None:
        """Records what a job received or lost."""
        demand = job.demand
        pool_id = self._state.services[job.service_id].pool_id
        self.log(
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

    def log(
        self, kind: ledger.LedgerKind, firm: ids.FirmId, **fields: Any
    ) -> None:
        """Adds an entry to the ledger."""
        book = self._state.ledger
        entry = ledger.Entry(
            sequence=book.next_sequence,
            time_ms=self._now_ms,
            kind=kind,
            firm=firm,
            revision=self.revision,
            **fields,
        )
        book.append(entry)

    def _log_instance(
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
        self.log(
            kind,
            pool.firm,
            service_id=pool.service_id,
            pool_id=pool.pool_id,
            instance_id=instance.instance_id,
            wave_id=wave_id or instance.wave_id,
            cause=cause,
            amount=_signed(instance, sign) if sign else None,
        )


@functools.singledispatch
def apply_command(command: object, change: Change) -> Any:
    """Carries out a command.

    Returns:
        The value of the result, of plain types, or a `Failure`.
    """
    return bad_request(f"no rule for {type(command).__name__}")


def _serving(instance: pools.Instance) -> bool:
    return instance.state is pools.InstanceState.IN_SERVICE


def _signed(instance: pools.Instance, sign: int) -> profiles.Capacity:
    return profiles.Capacity(
        instances=sign,
        cores=sign * instance.cores,
        memory_mb=sign * instance.memory_mb,
        accelerators=sign * instance.accelerators,
    )


def _differences(current: Any, given: Any) -> dict[str, object]:
    if current is None or given is None:
        return {}
    found: dict[str, object] = {}
    for field in dataclasses.fields(given):
        if field.name == "revision":
            continue
        old = getattr(current, field.name)
        new = getattr(given, field.name)
        if old != new:
            found[field.name] = {"current": old, "given": new}
    return found
