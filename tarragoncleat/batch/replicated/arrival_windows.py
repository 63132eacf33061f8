"""Which jobs are beyond what their customer's weight lets it expect."""

import collections

from tarragoncleat.batch.replicated import model

__all__ = ["ArrivalWindows"]

_WINDOW_MS = 5_000
_MS_PER_S = 1_000
# Jobs that a customer may send at once. Demand comes in bursts: a customer that
# keeps to its weight on average sends several seconds' worth in one. Without a
# weight it can expect nothing.
_BURST_JOBS = 20


class ArrivalWindows:
    """Recent jobs within their customers' weights.

    Jobs beyond the weight don't fill the window; otherwise a customer that
    sends far too much would get less than its weight.
    """

    def __init__(self) -> None:
        """Creates empty windows."""
        self._times_ms: dict[model.CustomerName, collections.deque[int]] = {}

    def exceeds_weight(
        self, customer: model.CustomerPolicy, now_ms: int
    ) -> bool:
        """Whether a job that arrives now is beyond its customer's weight."""
        times_ms = self._times_ms.get(customer.name)
        if times_ms is None:
            return False
        # A new leader's clock may be behind.
        while times_ms and abs(now_ms - times_ms[0]) >= _WINDOW_MS:
            times_ms.popleft()
        return len(times_ms) >= _max_jobs(customer.weight)

    def add(self, customer: model.CustomerName, accepted_ms: int) -> None:
        """Counts a job within its customer's weight."""
        times_ms = self._times_ms.setdefault(customer, collections.deque())
        times_ms.append(accepted_ms)
        while accepted_ms - times_ms[0] >= _WINDOW_MS:
            times_ms.popleft()


def _max_jobs(weight: float) -> int:
    """Returns how many jobs in a window are within a weight."""
    if weight <= 0:
        return 1
    return int(weight * _WINDOW_MS / _MS_PER_S) + _BURST_JOBS
