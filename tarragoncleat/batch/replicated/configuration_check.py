"""Checks a configuration before it is sent.

The check needs nothing but the configuration and, for a comparison, the one in
force. What can't be known from these, such as the capacity of the workers or
the size of tasks, is not judged.
"""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
import dataclasses
import enum
from typing import Any, TypeVar

from tarragoncleat.batch.replicated import model

__all__ = [
    "Action",
    "Entry",
    "EntryChange",
    "EntryKind",
    "Finding",
    "FindingKind",
    "KeyChange",
    "Severity",
    "ValueChange",
    "check_version",
    "compare",
    "find_problems",
]

_Policy = TypeVar(
    "_Policy", model.QueuePolicy, model.ServicePolicy, model.CustomerPolicy
)


class Severity(enum.Enum):
    """Whether a configuration with the finding takes effect."""

    # It is refused, or changes nothing.
    ERROR = "error"
    # It takes effect, but a part of it can't do what it says.
    WARNING = "warning"


class FindingKind(enum.Enum):
    """What a finding is about."""

    INVALID_FIELD = "invalid-field"
    REPLACED_VALUE = "replaced-value"
    VERSION_NOT_HIGHER = "version-not-higher"
    HOST_NEVER_MATCHES = "host-never-matches"
    PREFIX_NEVER_MATCHES = "prefix-never-matches"
    REPEATED_NAME = "repeated-name"
    UNATTAINABLE_OBJECTIVE = "unattainable-objective"
    QUEUE_ON_SPARE_POOL = "queue-on-spare-pool"
    UNUSED_SERVICE = "unused-service"
    SEVERAL_SPARE_POOLS = "several-spare-pools"
    CUSTOMER_WITHOUT_KEYS = "customer-without-keys"
    NOBODY_ADMITTED = "nobody-admitted"


class EntryKind(enum.Enum):
    """A part of a configuration."""

    VERSION = "version"
    QUEUE = "queue"
    SERVICE = "service"
    CUSTOMER = "customer"
    # The list of customers as a whole.
    CUSTOMERS = "customers"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry of a configuration; `position` is its place in its list."""

    kind: EntryKind
    name: str
    position: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Something that is wrong with an entry."""

    severity: Severity
    kind: FindingKind
    entry: Entry
    reason: str


class Action(enum.Enum):
    """How an entry differs from the configuration in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True)
class ValueChange:
    """A field with its value in force and its new one."""

    field: str
    old: Any
    new: Any


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChange:
    """How many keys of a customer are new, and how many are withdrawn."""

    added_count: int
    withdrawn_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChange:
    """An entry that differs from the configuration in force.

    `affects` says for whom it matters, and how.
    """

    action: Action
    entry: Entry
    details: tuple[ValueChange | KeyChange, ...]
    affects: str


def find_problems(
    configuration: model.FleetConfiguration,
) -> tuple[Finding, ...]:
    """Returns what a configuration says without effect or in contradiction."""
    return (
        *_find_queue_problems(configuration),
        *_find_service_problems(configuration),
        *_find_customer_problems(configuration),
    )


def check_version(
    current: model.FleetConfiguration, new: model.FleetConfiguration
) -> Finding | None:
    """Returns an error unless the new version takes effect."""
    if new.version > current.version:
        return None
    return Finding(
        Severity.ERROR,
        FindingKind.VERSION_NOT_HIGHER,
        Entry(EntryKind.VERSION, str(new.version)),
        f"version {current.version} is in force; a version that isn't higher "
        "is confirmed, but changes nothing",
    )


def _warn(kind: FindingKind, entry: Entry, reason: str) -> Finding:
    return Finding(Severity.WARNING, kind, entry, reason)


def _find_queue_problems(
    configuration: model.FleetConfiguration,
) -> Iterator[Finding]:
    keys = {queue.key for queue in configuration.queues}
    spare_pools = {
        service.name for service in configuration.services if service.is_spare
    }
    yield from _find_repeated_names(EntryKind.QUEUE, configuration.queues)
    for position, queue in enumerate(configuration.queues):
        entry = Entry(EntryKind.QUEUE, queue.name, position)
        reason = _host_problem(queue.host)
        if reason:
            yield _warn(FindingKind.HOST_NEVER_MATCHES, entry, reason)
        reason = _prefix_problem(queue.key, keys)
        if reason:
            yield _warn(FindingKind.PREFIX_NEVER_MATCHES, entry, reason)
        reason = _objective_problem(queue)
        if reason:
            yield _warn(FindingKind.UNATTAINABLE_OBJECTIVE, entry, reason)
        if queue.service in spare_pools:
            yield _warn(
                FindingKind.QUEUE_ON_SPARE_POOL,
                entry,
                f"service {queue.service} is a spare pool, whose instances "
                "are switched off: its jobs wait without end",
            )


def _host_problem(host: str) -> str:
    if not host:
        return "the host is empty; callers name the host that they call"
    if not host.isascii() or any(c.isspace() or c == "/" for c in host):
        return "no valid Host header has this value"
    return ""


def _prefix_problem(key: model.QueueKey, keys: set[model.QueueKey]) -> str:
    """Returns why no path leads to a queue, or an empty string.

    The longest prefix is chosen. As the rest of a path is free, only a prefix
    that each path has in common can hide a shorter one.
    """
    if key.path_prefix and not key.path_prefix.startswith("/"):
        return "each path begins with /, the prefix doesn't"
    if not key.path_prefix and model.QueueKey(key.host, "/") in keys:
        return (
            "the empty prefix is shadowed by the queue with the prefix / of "
            "the same host, which each path begins with"
        )
    return ""


def _objective_problem(queue: model.QueuePolicy) -> str:
    """Returns which jobs can't end in time on any worker, if there are any.

    A job takes at least its critical path, and is in time until `stretch`
    times the critical path and `latency_ms` more.
    """
    if queue.stretch >= 1 and (queue.stretch > 1 or queue.latency_ms):
        return ""
    if not queue.latency_ms:
        return (
            f"with a stretch of {queue.stretch} and no target latency, "
            "each job is late even if it never waits"
        )
    longest_ms = queue.latency_ms / (1 - queue.stretch)
    return (
        f"with a stretch of {queue.stretch}, below 1, jobs with a critical "
        f"path above {longest_ms:.0f} ms are late even if they never wait"
    )


def _find_service_problems(
    configuration: model.FleetConfiguration,
) -> Iterator[Finding]:
    yield from _find_repeated_names(EntryKind.SERVICE, configuration.services)
    used = {queue.service for queue in configuration.queues}
    spare_pool: str | None = None
    for position, service in enumerate(configuration.services):
        entry = Entry(EntryKind.SERVICE, service.name, position)
        if not service.is_spare:
            if service.name not in used:
                yield _warn(
                    FindingKind.UNUSED_SERVICE,
                    entry,
                    "no queue names the service: its workers get no tasks",
                )
        elif spare_pool is None:
            spare_pool = service.name
        else:
            yield _warn(
                FindingKind.SEVERAL_SPARE_POOLS,
                entry,
                f"only the first spare pool, {spare_pool}, gives and takes "
                "instances",
            )


def _find_customer_problems(
    configuration: model.FleetConfiguration,
) -> Iterator[Finding]:
    if configuration.customers is None:
        return
    for position, customer in enumerate(configuration.customers):
        if not customer.key_digests:
            yield _warn(
                FindingKind.CUSTOMER_WITHOUT_KEYS,
                Entry(EntryKind.CUSTOMER, customer.name, position),
                "no caller can call as a customer without a key",
            )
    has_keys = any(customer.key_digests for customer in configuration.customers)
    is_open = any(queue.allows_anonymous for queue in configuration.queues)
    if not has_keys and not is_open:
        yield _warn(
            FindingKind.NOBODY_ADMITTED,
            Entry(EntryKind.CUSTOMERS, ""),
            "customers are configured, but none has a key and no queue allows "
            "anonymous callers: each call is refused",
        )


def _find_repeated_names(
    kind: EntryKind,
    policies: Sequence[model.QueuePolicy | model.ServicePolicy],
) -> Iterator[Finding]:
    effect = "of which the last one is in force"
    if kind is EntryKind.QUEUE:
        effect = "which logs can't tell apart"
    counts = collections.Counter(policy.name for policy in policies)
    for position, policy in enumerate(policies):
        if counts[policy.name] > 1:
            yield _warn(
                FindingKind.REPEATED_NAME,
                Entry(kind, policy.name, position),
                f"{counts[policy.name]} entries have this name, {effect}",
            )


def compare(
    current: model.FleetConfiguration, new: model.FleetConfiguration
) -> tuple[EntryChange, ...]:
    """Returns what a new configuration changes about the one in force."""
    return (
        *_compare_queues(current, new),
        *_compare_services(current, new),
        *_compare_customers(current, new),
    )


def _compare_queues(
    current: model.FleetConfiguration, new: model.FleetConfiguration
) -> Iterator[EntryChange]:
    old_queues = {queue.key: queue for queue in current.queues}
    new_queues = {queue.key: queue for queue in new.queues}
    for action, entry, old, queue in _pair_up(
        EntryKind.QUEUE, current.queues, new.queues, lambda item: item.key
    ):
        callers = f"callers of {queue.host}{queue.path_prefix}"
        other = None
        if action is Action.ADDED:
            other = _find_fallback(queue.key, old_queues)
            until_now = f"in queue {other.name}" if other else "refused (404)"
            callers += f", until now {until_now}"
        elif action is Action.REMOVED:
            other = _find_fallback(queue.key, new_queues)
            then = (
                f"get to queue {other.name}" if other else "are refused (404)"
            )
            callers += f": they {then}; accepted jobs go on"
        yield EntryChange(action, entry, _diff_fields(old, queue), callers)


def _find_fallback(
    key: model.QueueKey, queues: Mapping[model.QueueKey, model.QueuePolicy]
) -> model.QueuePolicy | None:
    """Returns the queue with the longest prefix of a queue's prefix."""
    for length in range(len(key.path_prefix), -1, -1):
        queue = queues.get(model.QueueKey(key.host, key.path_prefix[:length]))
        if queue is not None:
            return queue
    return None


def _compare_services(
    current: model.FleetConfiguration, new: model.FleetConfiguration
) -> Iterator[EntryChange]:
    users: dict[str, dict[str, None]] = collections.defaultdict(dict)
    for queue in (*current.queues, *new.queues):
        users[queue.service][queue.name] = None
    for action, entry, old, service in _pair_up(
        EntryKind.SERVICE,
        current.services,
        new.services,
        lambda item: item.name,
    ):
        names = ", ".join(users[service.name])
        affects = f"the queues {names}" if names else "no queue"
        yield EntryChange(action, entry, _diff_fields(old, service), affects)


def _compare_customers(
    current: model.FleetConfiguration, new: model.FleetConfiguration
) -> Iterator[EntryChange]:
    if (current.customers is None) != (new.customers is None):
        is_added = current.customers is None
        yield EntryChange(
            Action.ADDED if is_added else Action.REMOVED,
            Entry(EntryKind.CUSTOMERS, ""),
            (),
            "all callers: without a key they are refused where a queue "
            "doesn't allow anonymous callers"
            if is_added
            else "all callers: none needs a key any more",
        )
    for action, entry, old, customer in _pair_up(
        EntryKind.CUSTOMER,
        current.customers or (),
        new.customers or (),
        lambda item: item.name,
    ):
        details = _diff_customer(action, old, customer)
        affects = _describe_affected(action, customer.name, details)
        yield EntryChange(action, entry, details, affects)


def _diff_customer(
    action: Action,
    old: model.CustomerPolicy | None,
    customer: model.CustomerPolicy,
) -> tuple[ValueChange | KeyChange, ...]:
    details: list[ValueChange | KeyChange] = []
    before = set(old.key_digests) if old else set()
    after = set(customer.key_digests)
    if action is Action.REMOVED:
        before, after = after, set()
    if before != after:
        details.append(KeyChange(len(after - before), len(before - after)))
    for change in _diff_fields(old, customer):
        if change.field != "key_digests":
            details.append(change)
    return tuple(details)


def _describe_affected(
    action: Action,
    name: model.CustomerName,
    details: Iterable[ValueChange | KeyChange],
) -> str:
    if action is Action.REMOVED:
        return f"callers of {name}: their keys admit no more; jobs go on"
    texts = []
    for change in details:
        if isinstance(change, KeyChange):
            texts.append(f"callers of {name} with a new or withdrawn key")
        elif change.field == "weight":
            texts.append("the shares of all customers while room is short")
        elif change.field == "cap":
            texts.append(f"what {name} may have running")
    return "; ".join(texts) or f"callers of {name}"


def _pair_up(
    kind: EntryKind,
    current: Iterable[_Policy],
    new: Iterable[_Policy],
    key_of: Callable[[_Policy], Any],
) -> Iterator[tuple[Action, Entry, _Policy | None, _Policy]]:
    """Yields what differs.

    That is, with the action and the entry: the policy in force where there is
    a new one beside it, and the new policy or the removed one.
    """
    old_policies = {key_of(policy): policy for policy in current}
    new_keys = set()
    for position, policy in enumerate(new):
        new_keys.add(key_of(policy))
        old = old_policies.get(key_of(policy))
        if old != policy:
            action = Action.ADDED if old is None else Action.CHANGED
            yield action, Entry(kind, policy.name, position), old, policy
    for key, policy in old_policies.items():
        if key not in new_keys:
            yield Action.REMOVED, Entry(kind, policy.name), None, policy


def _diff_fields(old: _Policy | None, new: _Policy) -> tuple[ValueChange, ...]:
    if old is None:
        return ()
    return tuple(
        ValueChange(
            field.name, getattr(old, field.name), getattr(new, field.name)
        )
        for field in dataclasses.fields(new)
        if getattr(old, field.name) != getattr(new, field.name)
    )
