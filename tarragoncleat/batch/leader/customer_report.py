"""What operators see of the customers: usage, caps, shares, waiting work."""

from collections.abc import Iterable, Mapping
import dataclasses
from typing import NamedTuple

from tarragoncleat.batch import events
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.scheduling import ready_steps

__all__ = ["HeldJobs", "Waiting", "build_rows", "count_waiting"]

_MAX_ROWS = 20
_MAX_JOBS_PER_ROW = 20
# A customer with less of its cap free counts as at its cap.
_AT_CAP_SHARE = 0.95


class Waiting(NamedTuple):
    """Waiting tasks of a customer.

    Attributes:
        tasks: Number of tasks that may start and have no worker.
        tasks_over_weight: Number of them whose jobs are beyond the weight.
        jobs: The jobs of these tasks, in the order in which they get room.
        jobs_over_weight: The jobs of them that are beyond the weight.
    """

    tasks: int
    tasks_over_weight: int
    jobs: tuple[str, ...]
    jobs_over_weight: tuple[str, ...]


def count_waiting(
    services: Iterable[ready_steps.ServiceSteps],
) -> dict[model.CustomerName, Waiting]:
    """Returns the waiting tasks by customer."""
    counts: dict[model.CustomerName, list[int]] = {}
    job_ids: dict[model.CustomerName, tuple[dict, dict]] = {}
    for steps in services:
        for ready_step in (*steps.in_time, *steps.late):
            customer, waiting = ready_step.customer, ready_step.unplaced_count
            count = counts.setdefault(customer, [0, 0])
            names = job_ids.setdefault(customer, ({}, {}))
            if waiting <= 0:
                continue
            job_id = ready_step.step.tasks[0].key.job_id
            count[0] += waiting
            names[0][job_id] = None
            if ready_step.is_over_weight:
                count[1] += waiting
                names[1][job_id] = None
    return {
        customer: Waiting(
            tasks, over_weight, *(tuple(names) for names in job_ids[customer])
        )
        for customer, (tasks, over_weight) in counts.items()
    }


def build_rows(
    state: state_module.BatchState,
    waiting: Mapping[model.CustomerName, Waiting] | None = None,
) -> tuple[events.CustomerLoad, ...]:
    """Returns the customers that use most, and those at their caps.

    Args:
        state: The replicated state.
        waiting: Waiting tasks, where a leader's planner knows them.
    """
    table = state.customers
    usage = state.usage()
    capacity = usage.total_capacity()
    rows = []
    for policy in table.policies:
        used = usage.totals.get(policy.name)
        resources = used.resources if used else model.Resources(0, 0, 0)
        waits = (waiting or {}).get(policy.name)
        rows.append(
            events.CustomerLoad(
                policy.name,
                used.tasks if used else 0,
                tuple(resources),
                tuple(policy.cap),
                policy.weight,
                round(_share(resources, capacity), 3),
                _share(resources, policy.cap) >= _AT_CAP_SHARE,
                waits.tasks if waits else 0,
                waits.tasks_over_weight if waits else 0,
            )
        )
    rows.sort(
        key=lambda row: (
            not row.is_at_cap,
            -row.share,
            -row.waiting,
            row.customer,
        )
    )
    return tuple(rows[:_MAX_ROWS])


def _share(used: Iterable[int], total: Iterable[int]) -> float:
    """Returns the largest share of the resources that are limited."""
    pairs = zip(used, total, strict=True)
    return max((part / whole for part, whole in pairs if whole), default=0.0)


@dataclasses.dataclass(slots=True)
class HeldJobs:
    """Tells once of each job that its customer's cap or weight makes wait."""

    _known: set[tuple[str, str]] = dataclasses.field(default_factory=set)

    def find(
        self,
        rows: Iterable[events.CustomerLoad],
        waiting: Mapping[model.CustomerName, Waiting],
    ) -> list[events.JobsHeldBack]:
        """Returns events of the jobs that weren't told of before."""
        found = []
        held: set[tuple[str, str]] = set()
        for row in rows:
            waits = waiting.get(model.CustomerName(row.customer))
            if waits is None:
                continue
            by_cause = {"weight": waits.jobs_over_weight}
            if row.is_at_cap:
                by_cause["cap"] = waits.jobs
            for cause, job_ids in by_cause.items():
                pairs = {(cause, job_id) for job_id in job_ids}
                new = [
                    job_id
                    for job_id in job_ids
                    if (cause, job_id) not in self._known
                ][:_MAX_JOBS_PER_ROW]
                held |= pairs & self._known
                held |= {(cause, job_id) for job_id in new}
                if new:
                    found.append(
                        events.JobsHeldBack(row.customer, cause, tuple(new))
                    )
        self._known = held
        return found
