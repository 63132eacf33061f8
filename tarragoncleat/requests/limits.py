"""Limits of the request path: slots, retries, queue order and callers.

Nothing here performs I/O or reads a clock.
"""

from collections.abc import Iterator
import dataclasses

from tarragoncleat.kernel import ids
from tarragoncleat.state import profiles

__all__ = [
    "AdmissionQueue",
    "CallerCounter",
    "RetryBudget",
    "Ticket",
    "entry_share",
]

# Seconds of the minimum rate that a quiet entry may save up, so that the
# first failures after a pause are retried.
_SAVED_FLOOR_S = 10.0
# Upper bound of saved retries; a long quiet time doesn't pay for a storm.
_MAX_SAVED_RETRIES = 100.0


def entry_share(total: int, live_entries: int, elsewhere: int) -> int:
    """Returns how much of an upstream's capacity this entry may use.

    Args:
        total: Slots or connections of the upstream.
        live_entries: Entries that are alive, this one included.
        elsewhere: What the other entries last reported as used.
    """
    fair = -(-total // max(1, live_entries))
    return max(fair, total - elsewhere)


class RetryBudget:
    """Allows retries up to a fraction of fresh requests.

    A small minimum per second lets an entry with little traffic retry.
    """

    def __init__(self, fraction: float, floor_per_s: float, now_s: float):
        """Starts with the savings of a quiet entry."""
        self._fraction = fraction
        self._floor_per_s = floor_per_s
        self._fresh_credit = 0.0
        self._floor_credit = floor_per_s * _SAVED_FLOOR_S
        self._refilled_s = now_s

    def add_fresh(self) -> None:
        """Counts a fresh request."""
        self._fresh_credit = min(
            _MAX_SAVED_RETRIES, self._fresh_credit + self._fraction
        )

    def take(self, now_s: float) -> bool:
        """Returns whether one more retry is allowed, and counts it."""
        self._refill(now_s)
        if self._fresh_credit >= 1:
            self._fresh_credit -= 1
            return True
        if self._floor_credit >= 1:
            self._floor_credit -= 1
            return True
        return False

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = max(now_s, self._refilled_s)
        self._floor_credit = min(
            self._floor_per_s * _SAVED_FLOOR_S,
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

    When the total is reached, a request of a higher standing takes the place
    of the newest one of the lowest standing; equals are refused.
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

    def offer(
        self, service: ids.ServiceId, standing: profiles.Standing
    ) -> tuple[Ticket | None, Ticket | None]:
        """Asks for a place.

        Returns:
            The place, or None when the request is refused; and the place of
            another request that lost it.
        """
        if self.waiting(service) >= self._per_service:
            return None, None
        evicted = None
        if self._count >= self._total:
            evicted = self._lowest()
            if evicted is None or evicted.standing.rank <= standing.rank:
                return None, None
            self.remove(evicted)
        self._sequence += 1
        ticket = Ticket(service, standing, self._sequence)
        self._tickets.setdefault(service, {})[ticket] = None
        self._count += 1
        return ticket, evicted

    def remove(self, ticket: Ticket) -> bool:
        """Gives a place up; returns whether it was still held."""
        tickets = self._tickets.get(ticket.service, {})
        if ticket not in tickets:
            return False
        del tickets[ticket]
        if not tickets:
            del self._tickets[ticket.service]
        self._count -= 1
        return True

    def heads(self) -> Iterator[Ticket]:
        """Yields each service's oldest ticket, best standing first."""
        oldest = [next(iter(queue)) for queue in self._tickets.values()]
        yield from sorted(oldest, key=_order)

    def _lowest(self) -> Ticket | None:
        newest = [next(reversed(queue)) for queue in self._tickets.values()]
        return max(newest, key=_order, default=None)


def _order(ticket: Ticket) -> tuple[int, int]:
    return ticket.standing.rank, ticket.sequence


class CallerCounter:
    """Counts what each caller has open, with one bound for every caller."""

    def __init__(self, per_caller: int, total: int):
        """Creates a counter without callers."""
        self._per_caller = per_caller
        self._total = total
        self._count = 0
        self._counts: dict[str, int] = {}

    def __len__(self) -> int:
        return self._count

    def enter(self, caller: str) -> bool:
        """Counts one more, or returns False when a bound is reached."""
        count = self._counts.get(caller, 0)
        if count >= self._per_caller or self._count >= self._total:
            return False
        self._counts[caller] = count + 1
        self._count += 1
        return True

    def leave(self, caller: str) -> None:
        """Counts one less."""
        count = self._counts[caller] - 1
        self._count -= 1
        if count:
            self._counts[caller] = count
        else:
            del self._counts[caller]
