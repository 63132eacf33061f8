"""What the customers' tasks reserve, and whether more fits into their caps.

Usage follows from the tasks of the workers, so a replica that was restored from
a snapshot counts as the others do. A task counts from the record of its start
until its end is certain.
"""

from collections.abc import Iterable, Mapping
import dataclasses
from typing import NamedTuple

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import customers
from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import worker_state
from tarragoncleat.kernel import errors

__all__ = [
    "CapLedger",
    "UNLIMITED",
    "Usage",
    "UsageCache",
    "charge_of",
    "exceeds_cap",
    "over_cap_failure",
    "starts_over_cap",
]

# Number of tasks of a customer without a cap.
UNLIMITED = 1_000_000_000
_RESOURCE_NAMES = ("cpu (1/1000 core)", "memory (MB)", "accelerators")


class Usage(NamedTuple):
    """Resources of tasks, and the number of these tasks."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    tasks: int = 0

    def plus(self, charge: model.Resources, count: int = 1) -> "Usage":
        """Returns the usage with `count` more tasks, or fewer."""
        return Usage(
            self.cpu_millicores + count * charge.cpu_millicores,
            self.memory_mb + count * charge.memory_mb,
            self.accelerators + count * charge.accelerators,
            self.tasks + count,
        )

    @property
    def resources(self) -> model.Resources:
        """The resources."""
        return model.Resources(*self[:3])


_NO_USAGE = Usage()
_CustomerUsage = dict[model.CustomerName, Usage]


def charge_of(definition: model.StepDefinition) -> model.Resources:
    """Returns what a task counts; for a best-effort one with its CPU."""
    return model.Resources(
        definition.cpu_millicores,
        definition.memory_mb,
        definition.accelerators,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _WorkerEntry:
    """What a worker at one of its revisions adds to the totals."""

    service: str
    capacity: model.Resources
    usage: _CustomerUsage


class UsageCache:
    """Usage by customer and service, and the capacity of the services."""

    def __init__(self) -> None:
        """Creates a cache that has seen no workers."""
        self._entries: dict[worker_state.Worker, _WorkerEntry] = {}
        self._seen_revisions: dict[worker_state.Worker, int] = {}
        self._by_service: dict[str, _CustomerUsage] = {}
        self._totals: _CustomerUsage = {}
        self._revisions: dict[str, int] = {}
        self._per_unit: dict[str, tuple[float, ...]] = {}
        self._capacity: dict[str, Usage] = {}

    def refresh(
        self,
        workers: Mapping[str, worker_state.Worker],
        jobs: Mapping[str, jobs_module.Job],
    ) -> None:
        """Takes over the changes of the workers since the last call."""
        revisions, entries = self._seen_revisions, self._entries
        for worker in [
            worker
            for worker in workers.values()
            if revisions.get(worker) != worker.revision
        ]:
            if worker in entries:
                self._add(entries[worker], -1)
            entries[worker] = _build_entry(worker, jobs)
            revisions[worker] = worker.revision
            self._add(entries[worker], 1)
        if len(entries) > len(workers):
            for worker in entries.keys() - set(workers.values()):
                self._add(entries.pop(worker), -1)
                del revisions[worker]

    def _add(self, entry: _WorkerEntry, sign: int) -> None:
        service = entry.service
        self._revisions[service] = self.revision(service) + 1
        capacity = self._capacity.get(service, _NO_USAGE)
        self._capacity[service] = capacity.plus(entry.capacity, sign)
        totals = self._by_service.setdefault(service, {})
        for customer, usage in entry.usage.items():
            _add_usage(totals, customer, usage, sign)
            _add_usage(self._totals, customer, usage, sign)

    def revision(self, service: str) -> int:
        """Returns a number that increases with changes to a service."""
        return self._revisions.get(service, 0)

    def in_service(self, service: str) -> Mapping[model.CustomerName, Usage]:
        """Returns the usage by customer on the workers of a service."""
        return self._by_service.get(service, {})

    def per_unit(self, service: str) -> tuple[float, ...]:
        """Returns the part of a pool that a unit of each resource is.

        The same object as before if the pool's capacity is the same.
        """
        capacity = self._capacity.get(service, _NO_USAGE).resources
        per_unit = tuple(1.0 / max(1, total) for total in capacity)
        if self._per_unit.get(service) != per_unit:
            self._per_unit[service] = per_unit
        return self._per_unit[service]

    def total_capacity(self) -> model.Resources:
        """Returns the capacity of all workers."""
        total = _NO_USAGE
        for capacity in self._capacity.values():
            total = total.plus(capacity.resources)
        return total.resources

    @property
    def totals(self) -> Mapping[model.CustomerName, Usage]:
        """Usage by customer on all workers."""
        return self._totals


def _add_usage(
    totals: _CustomerUsage,
    customer: model.CustomerName,
    usage: Usage,
    sign: int,
) -> None:
    total = totals.get(customer, _NO_USAGE)
    new = Usage(
        *(old + sign * more for old, more in zip(total, usage, strict=True))
    )
    if new.tasks:
        totals[customer] = new
    else:
        totals.pop(customer, None)


def _build_entry(
    worker: worker_state.Worker, jobs: Mapping[str, jobs_module.Job]
) -> _WorkerEntry:
    usage: _CustomerUsage = {}
    for key in worker.tasks:
        job = jobs.get(key.job_id)
        if job is None:
            continue
        customer = job.caller.customer
        charge = charge_of(job.definition.steps[key.step])
        usage[customer] = usage.get(customer, _NO_USAGE).plus(charge)
    record = worker.record
    return _WorkerEntry(record.service, record.capacity, usage)


class CapLedger:
    """How much more the customers may start, while starts are decided."""

    def __init__(
        self,
        policies: Iterable[model.CustomerPolicy],
        usage: Mapping[model.CustomerName, Usage],
    ) -> None:
        """Creates a ledger.

        Args:
            policies: The customers with caps; others may start any number.
            usage: What they reserve before the first start.
        """
        # CPU, memory and accelerators that are free, negative after a cap was
        # lowered, and the number of running tasks.
        self._free: dict[model.CustomerName, list[int]] = {}
        for policy in policies:
            used_cpu, used_memory, used_accelerators, tasks = usage.get(
                policy.name, _NO_USAGE
            )
            cpu, memory, accelerators = policy.cap
            self._free[policy.name] = [
                (cpu or UNLIMITED) - used_cpu,
                (memory or UNLIMITED) - used_memory,
                (accelerators or UNLIMITED) - used_accelerators,
                tasks,
            ]

    def copy(self) -> "CapLedger":
        """Returns a ledger that changes independently."""
        copied = CapLedger((), {})
        copied._free = {name: list(free) for name, free in self._free.items()}
        return copied

    def changed_since(self, other: "CapLedger") -> set[model.CustomerName]:
        """Returns the customers that may start more or less than in another."""
        free, other_free = self._free, other._free
        return {
            name
            for name in free.keys() | other_free.keys()
            if free.get(name) != other_free.get(name)
        }

    def has_cap(self, customer: model.CustomerName) -> bool:
        """Whether a customer has a cap."""
        return customer in self._free

    def room(
        self, customer: model.CustomerName, charge: model.Resources
    ) -> int:
        """Returns how many tasks a customer may start.

        One may always run if the customer runs nothing; otherwise a task that
        is larger than a lowered cap would never run.
        """
        free = self._free.get(customer)
        if free is None:
            return UNLIMITED
        cpu, memory, accelerators = charge
        free_cpu, free_memory, free_accelerators, tasks = free
        if (
            free_cpu < cpu
            or free_memory < memory
            or free_accelerators < accelerators
        ):
            return 0 if tasks else 1
        return min(
            free_cpu // cpu if cpu else UNLIMITED,
            free_memory // memory if memory else UNLIMITED,
            free_accelerators // accelerators if accelerators else UNLIMITED,
        )

    def part(
        self, customer: model.CustomerName, charge: Iterable[int], count: int
    ) -> float:
        """Returns which part of some work a customer may start, at most 1.

        Args:
            customer: The customer.
            charge: What all tasks of the work count.
            count: Number of its tasks.
        """
        free = self._free.get(customer)
        if free is None or not count:
            return 1.0
        part = 1.0
        for needed, available in zip(charge, free, strict=False):
            if needed > available:
                part = min(part, max(0, available) / (needed or 1))
        return part if free[3] else max(part, 1 / count)

    def reserve(
        self,
        customer: model.CustomerName,
        charge: model.Resources,
        count: int = 1,
    ) -> bool:
        """Counts tasks that start together; returns False if they don't fit."""
        if self.room(customer, charge) < count:
            return False
        self.add(customer, charge, count)
        return True

    def add(
        self, customer: model.CustomerName, charge: model.Resources, count: int
    ) -> None:
        """Counts tasks that start."""
        free = self._free.get(customer)
        if free is not None:
            free[0] -= count * charge.cpu_millicores
            free[1] -= count * charge.memory_mb
            free[2] -= count * charge.accelerators
            free[3] += count


def starts_over_cap(
    runs: Iterable[commands.RunStart],
    jobs: Mapping[str, jobs_module.Job],
    ledger: CapLedger,
) -> set[commands.RunStart]:
    """Returns the starts that the caps forbid; a gang starts as a whole.

    Args:
        runs: Starts of existing tasks that are allowed otherwise, in order.
        jobs: The jobs.
        ledger: Usage before the starts; counts them.
    """
    # Members of a gang are decided together, at the place of the first one.
    groups: dict[object, list[commands.RunStart]] = {}
    for run in runs:
        step = jobs[run.task.job_id].definition.steps[run.task.step]
        groups.setdefault(run.task[:3] if step.gang else run, []).append(run)
    refused: set[commands.RunStart] = set()
    for group in groups.values():
        job = jobs[group[0].task.job_id]
        charge = charge_of(job.definition.steps[group[0].task.step])
        if not ledger.reserve(job.caller.customer, charge, len(group)):
            refused.update(group)
    return refused


def exceeds_cap(
    definition: model.JobDefinition, policy: model.CustomerPolicy | None
) -> str | None:
    """Returns why a job can never fit its customer's cap, or None."""
    if policy is None:
        return None
    for number, step in enumerate(definition.steps):
        count = step.task_count if step.gang else 1
        for name, limit, each in zip(
            _RESOURCE_NAMES, policy.cap, charge_of(step), strict=True
        ):
            if limit and count * each > limit:
                what = "the gang" if step.gang else "a task"
                return (
                    f"{what} of step {number} needs {count * each} of {name};"
                    f" the cap of customer {policy.name} is {limit}"
                )
    return None


def over_cap_failure(
    request: messages.SubmitRequest,
    queue: model.QueuePolicy,
    table: customers.CustomerTable,
) -> errors.Failure:
    """Returns the answer to a submission that the state refused as too large.

    The cap may have changed since.
    """
    caller = table.authenticate(queue, request.key)
    policy = table.get(caller.customer) if caller is not None else None
    reason = exceeds_cap(request.definition, policy)
    return errors.Failure(
        errors.ErrorKind.QUOTA,
        reason or "the job exceeded its customer's cap",
    )
