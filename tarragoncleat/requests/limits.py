"""Limits of the request path: slots, retries, queue and callers.

This module performs no I/O and reads no clock; the time is an argument.
"""

from collections.abc import Iterator
import dataclasses

from tarragoncleat.kernel import ids
from tarragoncleat.state import profiles

__all__ = [
    "AdmissionQueue",
    "CallerLimiter",
    "RetryBudget",
    "Ticket",
    "entry_share",
]

# Burst of the minimum rate, in seconds: the first failures after a quiet
# period are retried.
_FLOOR_BURST_S = 10.0
# Limits the retry storm that can follow a long period without failures.
_MAX_FRACTION_CREDIT = 100.0


def entry_share(total: int, live_entries: int, used_elsewhere: int) -> int:
    """Returns how much of an upstream's capacity this entry may use.

    Args:
        total: Slots or connections of the upstream.
        live_entries: Number of live entries, this one included.
        used_elsewhere: Use that the other entries last reported.
    """
    fair_share = -(-total // max(1, live_entries))
    return max(fair_share, total - used_elsewhere)


class RetryBudget:
    """Allows retries up to a fraction of first attempts.

    A minimum rate lets an entry with little traffic retry, too.
    """

    def __init__(self, fraction: float, floor_per_s: float, now_s: float):
        """Starts with the full burst of the minimum rate."""
        self._fraction = fraction
        self._floor_per_s = floor_per_s
        self._fraction_credit = 0.0
        self._floor_credit = floor_per_s * _FLOOR_BURST_S
        self._refilled_s = now_s

    def add_request(self) -> None:
        """Counts the first attempt of a request."""
        self._fraction_credit = min(
            _MAX_FRACTION_CREDIT, self._fraction_credit + self._fraction
        )

    def try_spend(self, now_s: float) -> bool:
        """Counts a retry if the budget allows it; returns whether it does."""
        self._refill(now_s)
        if self._fraction_credit >= 1:
            self._fraction_credit -= 1
            return True
        if self._floor_credit >= 1:
            self._floor_credit -= 1
            return True
        return False

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = max(now_s, self._refilled_s)
        self._floor_credit = min(
            self._floor_per_s * _FLOOR_BURST_S,
            self._floor_credit + elapsed_s * self._floor_per_s,
        )


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Ticket:
    """A place in the admission queue."""

    service: ids.ServiceId
    standing: profiles.Standing
    sequence: int


class AdmissionQueue:
    """Requests that wait for an upstream, bounded per service and in total.

    When the total is reached, a request evicts the newest one of the lowest
    standing if that is lower than its own, and is refused otherwise.
    """

    def __init__(self, per_service: int, total: int):
        """Creates an empty queue."""
        self._per_service = per_service
        self._total = total
        self._count = 0
        self._sequence = 0
        self._tickets: dict[ids.ServiceId, dict[Ticket, None]] = {}

    def __len__(self) -> int:
        return self._count

    def waiting(self, service: ids.ServiceId) -> int:
        """Returns how many requests of a service wait."""
        return len(self._tickets.get(service, ()))

    def enqueue(
        self, service: ids.ServiceId, standing: profiles.Standing
    ) -> tuple[Ticket | None, Ticket | None]:
        """Adds a request.

        Returns:
            Its ticket, or None when the request is refused; and the ticket of
            the request that was evicted, if any.
        """
        if self.waiting(service) >= self._per_service:
            return None, None
        evicted = None
        if self._count >= self._total:
            evicted = self._find_evictable()
            if evicted is None or evicted.standing.rank <= standing.rank:
                return None, None
            self.remove(evicted)
        self._sequence += 1
        ticket = Ticket(service, standing, self._sequence)
        self._tickets.setdefault(service, {})[ticket] = None
        self._count += 1
        return ticket, evicted

    def remove(self, ticket: Ticket) -> bool:
        """Removes a ticket; returns whether it was in the queue."""
        tickets = self._tickets.get(ticket.service, {})
        if ticket not in tickets:
            return False
        del tickets[ticket]
        if not tickets:
            del self._tickets[ticket.service]
        self._count -= 1
        return True

    def heads(self) -> Iterator[Ticket]:
        """Yields each service's oldest ticket, highest standing first."""
        oldest = [next(iter(queue)) for queue in self._tickets.values()]
        yield from sorted(oldest, key=_priority_key)

    def _find_evictable(self) -> Ticket | None:
        newest = [next(reversed(queue)) for queue in self._tickets.values()]
        return max(newest, key=_priority_key, default=None)


def _priority_key(ticket: Ticket) -> tuple[int, int]:
    return ticket.standing.rank, ticket.sequence


class CallerLimiter:
    """Bounds the requests in flight per caller and in total."""

    def __init__(self, per_caller: int, total: int):
        """Creates a limiter without requests in flight."""
        self._per_caller = per_caller
        self._total = total
        self._count = 0
        self._counts: dict[str, int] = {}

    def __len__(self) -> int:
        return self._count

    def try_acquire(self, caller: str) -> bool:
        """Counts a request, or returns False when a limit is reached."""
        count = self._counts.get(caller, 0)
        if count >= self._per_caller or self._count >= self._total:
            return False
        self._counts[caller] = count + 1
        self._count += 1
        return True

    def release(self, caller: str) -> None:
        """Removes a request from the counts."""
        count = self._counts[caller] - 1
        self._count -= 1
        if count:
            self._counts[caller] = count
        else:
            del self._counts[caller]
