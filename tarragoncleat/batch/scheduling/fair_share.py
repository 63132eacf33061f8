"""Order of the customers' waiting steps while there isn't room for all.

Weighted dominant resource fairness by virtual time: a customer's time starts at
the dominant share of a pool that its tasks reserve, divided by its weight, and
each of its waiting steps adds its own. What a customer has running counts, so
idle share is lent, and comes back as tasks end.
"""

import bisect
from collections.abc import Mapping, Sequence
import dataclasses
import operator
from typing import Protocol, TypeVar

from tarragoncleat.batch.replicated import customer_usage
from tarragoncleat.batch.replicated import customers
from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model

__all__ = ["Shares", "WaitingStep", "order", "shares_in"]

# Over weight, best effort, class and priority go before shares.
_GROUP_FIELDS = 4


class WaitingStep(Protocol):
    """What the order of a step depends on.

    Attributes:
        share: Share of the pool that the waiting tasks need.
        share_of: The pool's `Shares.per_unit` that `share` was computed by.
    """

    share: float
    share_of: tuple[float, ...]

    @property
    def has_started(self) -> bool:
        """Whether a task of its job was ever started."""

    @property
    def customer(self) -> model.CustomerName:
        """Customer of its job; empty for none."""

    @property
    def charge(self) -> model.Resources:
        """What each of its tasks counts for the customer."""

    @property
    def step(self) -> jobs_module.Step:
        """The step."""


_StepT = TypeVar("_StepT", bound=WaitingStep)


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """What the order of a service's steps depends on.

    Attributes:
        per_unit: Share of the pool that a unit of each resource is.
        weights: Weights of the customers.
        mean_weight: Weight of all others: of jobs without a customer together,
            and of each customer that was removed.
        usage: What the customers reserve in the service.
    """

    per_unit: tuple[float, ...]
    weights: Mapping[model.CustomerName, float]
    mean_weight: float
    usage: Mapping[model.CustomerName, customer_usage.Usage]


def shares_in(
    usage: customer_usage.UsageCache,
    table: customers.CustomerTable,
    service: str,
) -> Shares:
    """Returns the shares in a service."""
    weights = table.weights
    mean_weight = sum(weights.values()) / len(weights) if weights else 1.0
    return Shares(
        usage.per_unit(service),
        weights,
        mean_weight,
        usage.in_service(service),
    )


def order(
    keyed: Sequence[tuple[tuple, _StepT]], shares: Shares
) -> list[tuple[tuple, _StepT]]:
    """Returns steps in the order of the customers' virtual times.

    Only steps of equal class and priority change places, and those of one
    customer keep their order. Steps of started jobs come first and keep theirs:
    shares decide what starts, and one late task holds a whole job.

    Args:
        keyed: Steps with their sort keys, sorted.
        shares: Shares in their service.
    """
    # Virtual time and inverse weight by customer.
    lanes: dict[model.CustomerName, list[float]] = {}
    times = []
    per_unit = shares.per_unit
    for _, ready_step in keyed:
        if ready_step.share_of is not per_unit:
            ready_step.share_of = per_unit
            count = len(ready_step.step.waiting)
            ready_step.share = count * _dominant(ready_step.charge, per_unit)
        lane = lanes.get(ready_step.customer)
        if lane is None:
            lane = lanes[ready_step.customer] = _lane(
                ready_step.customer, shares
            )
        times.append(-1.0 if ready_step.has_started else lane[0])
        lane[0] += ready_step.share * lane[1]
    ordered: list[tuple[tuple, _StepT]] = []
    while len(ordered) < len(keyed):
        begin = len(ordered)
        group = keyed[begin][0][:_GROUP_FIELDS]
        end = bisect.bisect_right(keyed, group, begin, key=_group_of)
        indexes = sorted(range(begin, end), key=times.__getitem__)
        ordered.extend([keyed[index] for index in indexes])
    return ordered


def _group_of(item: tuple[tuple, WaitingStep]) -> tuple:
    return item[0][:_GROUP_FIELDS]


def _lane(customer: model.CustomerName, shares: Shares) -> list[float]:
    """Returns a customer's virtual time and inverse weight."""
    inverse_weight = 1.0 / shares.weights.get(customer, shares.mean_weight)
    used = shares.usage.get(customer)
    present = _dominant(used.resources, shares.per_unit) if used else 0.0
    return [present * inverse_weight, inverse_weight]


def _dominant(resources: model.Resources, per_unit: Sequence[float]) -> float:
    """Returns the largest of the shares of a pool's resources."""
    return max(map(operator.mul, resources, per_unit))
