"""What the customers' caps let a plan start, and what they hold back."""

from collections.abc import Iterable, Sequence

from tarragoncleat.batch.replicated import customer_usage
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.scheduling import ready_steps
from tarragoncleat.batch.scheduling import worker_views

__all__ = ["Unplaced", "count_placed", "least_charge", "start_limit"]

_NEVER = model.Resources(
    customer_usage.UNLIMITED + 1,
    customer_usage.UNLIMITED + 1,
    customer_usage.UNLIMITED + 1,
)


def start_limit(
    ready_step: ready_steps.ReadyStep,
    ledger: customer_usage.CapLedger | None,
) -> int:
    """Returns how many tasks of a step its customer's cap lets start."""
    if ledger is None:
        return customer_usage.UNLIMITED
    room = ledger.room(ready_step.customer, ready_step.charge)
    step = ready_step.step
    return room if room >= len(step.tasks) or not step.definition.gang else 0


def count_placed(
    ready_step: ready_steps.ReadyStep,
    count: int,
    ledger: customer_usage.CapLedger | None,
) -> None:
    """Counts tasks of a step that a plan starts."""
    ready_step.placed_count += count
    if ledger is not None:
        ledger.add(ready_step.customer, ready_step.charge, count)


def least_charge(
    customer: model.CustomerName,
    steps: Iterable[ready_steps.ReadyStep],
    views: Sequence[worker_views.WorkerView],
) -> model.Resources:
    """Returns the minimum of each resource that a customer needs for a start.

    Leaves out steps that no worker has room for; without others the result is
    more than any cap.
    """
    free = [view.free for view in views if view.is_open]
    charges = [_NEVER]
    if free:
        largest = model.Resources(*map(max, zip(*free, strict=True)))
        charges.extend(
            ready_step.charge
            for ready_step in steps
            if ready_step.customer == customer
            and ready_step.unplaced_count
            and ready_step.step.demand.fits_into(largest)
        )
    return model.Resources(*map(min, zip(*charges, strict=True)))


class Unplaced:
    """Waiting work of a service that a plan doesn't start, by customer.

    What a customer's cap holds back is no demand for instances.
    """

    def __init__(
        self,
        steps: Iterable[ready_steps.ReadyStep],
        ledger: customer_usage.CapLedger | None,
    ) -> None:
        """Adds up steps after their placement.

        Args:
            steps: The steps.
            ledger: What the customers may start, if any have caps.
        """
        self._ledger = ledger
        # Tasks, reserved CPU, and what counts for the cap.
        self._totals: dict[model.CustomerName, list[int]] = {}
        for ready_step in steps:
            count = len(ready_step.step.waiting) - ready_step.placed_count
            if ready_step.step.definition.gang and count > start_limit(
                ready_step, ledger
            ):
                count = 0
            total = self._totals.get(ready_step.customer)
            if total is None:
                total = self._totals[ready_step.customer] = [0, 0, 0, 0, 0]
            cpu, memory, accelerators = ready_step.charge
            total[0] += count
            total[1] += count * ready_step.step.demand.cpu_millicores
            total[2] += count * cpu
            total[3] += count * memory
            total[4] += count * accelerators
        self._parts = {
            customer: (
                ledger.part(customer, total[2:], total[0]) if ledger else 1.0
            )
            for customer, total in self._totals.items()
        }

    @property
    def millicores(self) -> int:
        """Demand within the caps, in 1/1000 core."""
        return sum(
            int(total[1] * self._parts[customer])
            for customer, total in self._totals.items()
        )

    @property
    def held_customers(self) -> list[model.CustomerName]:
        """Customers whose caps hold work back."""
        return [name for name, part in self._parts.items() if part < 1]

    def count_within_cap(self, ready_step: ready_steps.ReadyStep) -> int:
        """Returns how many of a step's tasks are demand."""
        part = self._parts[ready_step.customer]
        return int(ready_step.unplaced_count * part)
