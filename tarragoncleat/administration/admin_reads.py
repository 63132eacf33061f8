"""What the administration API reads from the fleet, within a scope."""

from collections.abc import Callable, Iterable, Mapping
import dataclasses
import heapq
from typing import Any

from tarragoncleat.administration import auth
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import fleet as fleet_module
from tarragoncleat.state import jobs
from tarragoncleat.state import ledger
from tarragoncleat.state import pools

__all__ = ["KINDS", "ledger_filter", "read_ledger", "read_list", "read_one"]

_DEFAULT_LIMIT = 100
_MAX_LIMIT = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Kind:
    """How the objects of one kind are read.

    Attributes:
        table: Returns all of them by id.
        firm: Returns the firm of one.
        service: Returns the service that one belongs to, or None.
        filters: Query parameters, and the fields that they compare.
        narrow: Returns the ids that the indexes give for a query, or None.
    """

    table: Callable[[fleet_module.Fleet], Mapping[Any, Any]]
    firm: Callable[[fleet_module.Fleet, Any], ids.FirmId | None]
    service: Callable[[fleet_module.Fleet, Any], ids.ServiceId | None]
    filters: Mapping[str, str] = dataclasses.field(default_factory=dict)
    narrow: Callable[
        [fleet_module.Fleet, Mapping[str, str]], Iterable[Any] | None
    ] = lambda fleet, query: None


def _own_firm(fleet: fleet_module.Fleet, item: Any) -> ids.FirmId | None:
    return item.firm


def _own_service(fleet: fleet_module.Fleet, item: Any) -> ids.ServiceId | None:
    return item.service_id


def _no_service(fleet: fleet_module.Fleet, item: Any) -> ids.ServiceId | None:
    return None


def _firm_of_instance(
    fleet: fleet_module.Fleet, item: pools.Instance
) -> ids.FirmId | None:
    return fleet.pools[item.pool_id].firm


def _service_of_instance(
    fleet: fleet_module.Fleet, item: pools.Instance
) -> ids.ServiceId | None:
    return fleet.pools[item.pool_id].service_id


def _firm_of_job(
    fleet: fleet_module.Fleet, item: jobs.Job
) -> ids.FirmId | None:
    return fleet.owner_of(item.service_id)


def _narrow_instances(
    fleet: fleet_module.Fleet, query: Mapping[str, str]
) -> Iterable[Any] | None:
    if "pool" in query:
        members = fleet.instances_of(ids.PoolId(query["pool"]))
        return [item.instance_id for item in members]
    if "state" in query:
        return _by_state(pools.InstanceState, fleet.instances_in, query)
    return None


def _narrow_jobs(
    fleet: fleet_module.Fleet, query: Mapping[str, str]
) -> Iterable[Any] | None:
    if "instance" in query:
        return fleet.jobs_on(ids.InstanceId(query["instance"]))
    if "state" in query:
        return _by_state(jobs.JobState, fleet.jobs_in, query)
    return None


def _by_state(
    states: Any, read: Callable[[Any], Iterable[Any]], query: Mapping[str, str]
) -> Iterable[Any]:
    known = {state.value: state for state in states}
    state = known.get(query["state"])
    return [] if state is None else read(state)


KINDS: Mapping[str, _Kind] = {
    "profiles": _Kind(lambda fleet: fleet.profiles, _own_firm, _no_service),
    "services": _Kind(lambda fleet: fleet.services, _own_firm, _own_service),
    "teams": _Kind(lambda fleet: fleet.teams, _own_firm, _no_service),
    "pools": _Kind(
        lambda fleet: fleet.pools,
        _own_firm,
        _own_service,
        {"service": "service_id"},
    ),
    "instances": _Kind(
        lambda fleet: fleet.instances,
        _firm_of_instance,
        _service_of_instance,
        {
            "pool": "pool_id",
            "state": "state",
            "availability_zone": "availability_zone",
            "rack": "rack",
        },
        _narrow_instances,
    ),
    "waves": _Kind(
        lambda fleet: fleet.waves, _own_firm, _no_service, {"state": "state"}
    ),
    "jobs": _Kind(
        lambda fleet: fleet.jobs,
        _firm_of_job,
        _own_service,
        {
            "service": "service_id",
            "team": "team_id",
            "instance": "instance_id",
            "state": "state",
        },
        _narrow_jobs,
    ),
}


def read_one(
    fleet: fleet_module.Fleet, scope: auth.Scope, kind: str, name: str
) -> object | errors.Failure:
    """Returns an object, or NOT_FOUND also when it is another firm's."""
    item = KINDS[kind].table(fleet).get(name)
    if item is None or not _visible(fleet, scope, kind, item):
        what = kind.removesuffix("s")
        return errors.Failure(
            errors.ErrorKind.NOT_FOUND, f"there is no {what} {name}"
        )
    return item


def read_list(
    fleet: fleet_module.Fleet,
    scope: auth.Scope,
    kind: str,
    query: Mapping[str, str],
) -> dict | errors.Failure:
    """Returns a page of objects in order of their ids."""
    limit = _limit(query)
    if isinstance(limit, errors.Failure):
        return limit
    rules = KINDS[kind]
    table = rules.table(fleet)
    wanted = {
        field: query[name]
        for name, field in rules.filters.items()
        if name in query
    }
    narrowed = rules.narrow(fleet, query)
    after = query.get("cursor", "")
    names = (
        name
        for name in (table if narrowed is None else narrowed)
        if name > after
        and _matches(table[name], wanted)
        and _visible(fleet, scope, kind, table[name])
    )
    page = heapq.nsmallest(limit + 1, names)
    more = len(page) > limit
    return {
        "items": [table[name] for name in page[:limit]],
        "next_cursor": page[limit - 1] if more else None,
    }


def ledger_filter(
    scope: auth.Scope, query: Mapping[str, str]
) -> ledger.Filter | errors.Failure:
    """Returns which ledger entries a query asks for within a scope."""
    times: dict[str, int | None] = {}
    for name in ("since", "until"):
        value = query.get(name)
        if value is not None and not value.isdecimal():
            return _bad(f"{name} must be milliseconds since the epoch")
        times[name] = None if value is None else int(value)
    services = scope.services
    if "service" in query:
        service_id = ids.ServiceId(query["service"])
        covered = scope.covers_service(service_id)
        services = frozenset({service_id} if covered else ())
    kinds = _kinds(query)
    if isinstance(kinds, errors.Failure):
        return kinds
    firm = None if scope.covers_firm(None) else scope.firm
    return ledger.Filter(firm, services, times["since"], times["until"], kinds)


def read_ledger(
    fleet: fleet_module.Fleet, scope: auth.Scope, query: Mapping[str, str]
) -> dict | errors.Failure:
    """Returns a page of ledger entries in order of their sequence."""
    limit = _limit(query)
    wanted = ledger_filter(scope, query)
    if isinstance(limit, errors.Failure):
        return limit
    if isinstance(wanted, errors.Failure):
        return wanted
    cursor = query.get("cursor", "0")
    if not cursor.isdecimal():
        return _bad("cursor must come from next_cursor")
    page = fleet.ledger.read(wanted, int(cursor), limit)
    following = page.next_sequence
    return {
        "items": page.entries,
        "next_cursor": None if following is None else str(following),
        "complete_since_ms": fleet.ledger.complete_since_ms,
    }


def _visible(
    fleet: fleet_module.Fleet, scope: auth.Scope, kind: str, item: Any
) -> bool:
    rules = KINDS[kind]
    if not scope.covers_firm(rules.firm(fleet, item)):
        return False
    if scope.services is None:
        return True
    if kind == "profiles":
        return any(
            fleet.services[name].profile_id == item.profile_id
            for name in scope.services
            if name in fleet.services
        )
    return scope.covers_service(rules.service(fleet, item))


def _matches(item: Any, wanted: Mapping[str, str]) -> bool:
    for field, value in wanted.items():
        found = getattr(item, field)
        if getattr(found, "value", found) != value:
            return False
    return True


def _limit(query: Mapping[str, str]) -> int | errors.Failure:
    text = query.get("limit", str(_DEFAULT_LIMIT))
    if text.isdecimal() and 0 < int(text) <= _MAX_LIMIT:
        return int(text)
    return _bad(f"limit must be 1 to {_MAX_LIMIT}")


def _kinds(
    query: Mapping[str, str],
) -> frozenset[ledger.LedgerKind] | None | errors.Failure:
    if "kind" not in query:
        return None
    known = {kind.value: kind for kind in ledger.LedgerKind}
    names = query["kind"].split(",")
    unknown = [name for name in names if name not in known]
    if unknown:
        return _bad(f"kind {unknown[0]!r}; known: {', '.join(known)}")
    return frozenset(known[name] for name in names)


def _bad(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)
