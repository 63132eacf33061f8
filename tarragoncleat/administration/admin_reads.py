"""Reads of the administration API, limited to the scope of a token."""

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
class _KindRules:
    """How objects of one kind are looked up and filtered.

    Attributes:
        table: Returns all objects of the kind by id.
        firm: Returns the firm of an object.
        service: Returns the service of an object, or None.
        filters: Field to compare, by query parameter.
        indexed_ids: Looks up the ids that may match a query; None when no
            index covers it.
    """

    table: Callable[[fleet_module.Fleet], Mapping[Any, Any]]
    firm: Callable[[fleet_module.Fleet, Any], ids.FirmId | None]
    service: Callable[[fleet_module.Fleet, Any], ids.ServiceId | None]
    filters: Mapping[str, str] = dataclasses.field(default_factory=dict)
    indexed_ids: Callable[
        [fleet_module.Fleet, Mapping[str, str]], Iterable[Any] | None
    ] = lambda fleet, query: None


def _firm_of_item(fleet: fleet_module.Fleet, item: Any) -> ids.FirmId | None:
    return item.firm


def _service_of_item(
    fleet: fleet_module.Fleet, item: Any
) -> ids.ServiceId | None:
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


def _indexed_instance_ids(
    fleet: fleet_module.Fleet, query: Mapping[str, str]
) -> Iterable[Any] | None:
    if "pool" in query:
        members = fleet.instances_of(ids.PoolId(query["pool"]))
        return [item.instance_id for item in members]
    if "state" in query:
        return _ids_by_state(pools.InstanceState, fleet.instances_in, query)
    return None


def _indexed_job_ids(
    fleet: fleet_module.Fleet, query: Mapping[str, str]
) -> Iterable[Any] | None:
    if "instance" in query:
        return fleet.jobs_on(ids.InstanceId(query["instance"]))
    if "state" in query:
        return _ids_by_state(jobs.JobState, fleet.jobs_in, query)
    return None


def _ids_by_state(
    states: Any, read: Callable[[Any], Iterable[Any]], query: Mapping[str, str]
) -> Iterable[Any]:
    states_by_name = {state.value: state for state in states}
    state = states_by_name.get(query["state"])
    return [] if state is None else read(state)


KINDS: Mapping[str, _KindRules] = {
    "profiles": _KindRules(
        lambda fleet: fleet.profiles, _firm_of_item, _no_service
    ),
    "services": _KindRules(
        lambda fleet: fleet.services, _firm_of_item, _service_of_item
    ),
    "teams": _KindRules(lambda fleet: fleet.teams, _firm_of_item, _no_service),
    "pools": _KindRules(
        lambda fleet: fleet.pools,
        _firm_of_item,
        _service_of_item,
        {"service": "service_id"},
    ),
    "instances": _KindRules(
        lambda fleet: fleet.instances,
        _firm_of_instance,
        _service_of_instance,
        {
            "pool": "pool_id",
            "state": "state",
            "availability_zone": "availability_zone",
            "rack": "rack",
        },
        _indexed_instance_ids,
    ),
    "waves": _KindRules(
        lambda fleet: fleet.waves,
        _firm_of_item,
        _no_service,
        {"state": "state"},
    ),
    "jobs": _KindRules(
        lambda fleet: fleet.jobs,
        _firm_of_job,
        _service_of_item,
        {
            "service": "service_id",
            "team": "team_id",
            "instance": "instance_id",
            "state": "state",
        },
        _indexed_job_ids,
    ),
}


def read_one(
    fleet: fleet_module.Fleet, scope: auth.Scope, kind: str, name: str
) -> object | errors.Failure:
    """Returns an object, or NOT_FOUND if it's absent or out of scope."""
    item = KINDS[kind].table(fleet).get(name)
    if item is None or not _is_visible(fleet, scope, kind, item):
        noun = kind.removesuffix("s")
        return errors.Failure(
            errors.ErrorKind.NOT_FOUND, f"there is no {noun} {name}"
        )
    return item


def read_list(
    fleet: fleet_module.Fleet,
    scope: auth.Scope,
    kind: str,
    query: Mapping[str, str],
) -> dict | errors.Failure:
    """Returns a page of objects, sorted by id."""
    limit = _parse_limit(query)
    if isinstance(limit, errors.Failure):
        return limit
    rules = KINDS[kind]
    table = rules.table(fleet)
    conditions = {
        field: query[name]
        for name, field in rules.filters.items()
        if name in query
    }
    candidate_ids = rules.indexed_ids(fleet, query)
    after = query.get("cursor", "")
    names = (
        name
        for name in (table if candidate_ids is None else candidate_ids)
        if name > after
        and _matches(table[name], conditions)
        and _is_visible(fleet, scope, kind, table[name])
    )
    page = heapq.nsmallest(limit + 1, names)
    has_more = len(page) > limit
    return {
        "items": [table[name] for name in page[:limit]],
        "next_cursor": page[limit - 1] if has_more else None,
    }


def ledger_filter(
    scope: auth.Scope, query: Mapping[str, str]
) -> ledger.Filter | errors.Failure:
    """Returns the ledger filter of a query, limited to a scope."""
    times: dict[str, int | None] = {}
    for name in ("since", "until"):
        value = query.get(name)
        if value is not None and not value.isdecimal():
            return _bad_request(f"{name} must be milliseconds since the epoch")
        times[name] = None if value is None else int(value)
    services = scope.services
    if "service" in query:
        service_id = ids.ServiceId(query["service"])
        covered = scope.covers_service(service_id)
        services = frozenset({service_id} if covered else ())
    kinds = _parse_kinds(query)
    if isinstance(kinds, errors.Failure):
        return kinds
    firm = None if scope.covers_firm(None) else scope.firm
    return ledger.Filter(firm, services, times["since"], times["until"], kinds)


def read_ledger(
    fleet: fleet_module.Fleet, scope: auth.Scope, query: Mapping[str, str]
) -> dict | errors.Failure:
    """Returns a page of ledger entries, sorted by sequence number."""
    limit = _parse_limit(query)
    entry_filter = ledger_filter(scope, query)
    if isinstance(limit, errors.Failure):
        return limit
    if isinstance(entry_filter, errors.Failure):
        return entry_filter
    cursor = query.get("cursor", "0")
    if not cursor.isdecimal():
        return _bad_request("cursor must be a next_cursor of an earlier page")
    page = fleet.ledger.read(entry_filter, int(cursor), limit)
    following = page.next_sequence
    return {
        "items": page.entries,
        "next_cursor": None if following is None else str(following),
        "complete_since_ms": fleet.ledger.complete_since_ms,
    }


def _is_visible(
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


def _matches(item: Any, conditions: Mapping[str, str]) -> bool:
    for field, value in conditions.items():
        actual = getattr(item, field)
        if getattr(actual, "value", actual) != value:
            return False
    return True


def _parse_limit(query: Mapping[str, str]) -> int | errors.Failure:
    text = query.get("limit", str(_DEFAULT_LIMIT))
    if text.isdecimal() and 0 < int(text) <= _MAX_LIMIT:
        return int(text)
    return _bad_request(f"limit must be 1 to {_MAX_LIMIT}")


def _parse_kinds(
    query: Mapping[str, str],
) -> frozenset[ledger.LedgerKind] | None | errors.Failure:
    if "kind" not in query:
        return None
    kinds_by_name = {kind.value: kind for kind in ledger.LedgerKind}
    names = query["kind"].split(",")
    unknown = [name for name in names if name not in kinds_by_name]
    if unknown:
        return _bad_request(
            f"kind {unknown[0]!r}; known: {', '.join(kinds_by_name)}"
        )
    return frozenset(kinds_by_name[name] for name in names)


def _bad_request(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)
