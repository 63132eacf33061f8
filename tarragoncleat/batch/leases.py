"""Leases of one worker, as its leader knows them.

A lease ends at a time on the worker's clock, which may run slow. The leader
must know when a lease has certainly ended, even if it can't ask.
"""

__all__ = ["Lease"]

_MS_PER_S = 1000
# A worker's clock may be 2% slow.
_SLOWEST_CLOCK = 0.98
_MARGIN_S = 0.1


class Lease:
    """What was granted, and what is known of the worker's clock."""

    def __init__(self, taken_over_s: float, max_lease_ms: int) -> None:
        """Begins without contact.

        Args:
            taken_over_s: When this leader took over; earlier leaders granted
                nothing later.
            max_lease_ms: Longest lease that may be in force then.
        """
        self._taken_over_s = taken_over_s
        self._max_lease_ms = max_lease_ms
        self._clock_ms: int | None = None
        self._seen_s = taken_over_s
        self._granted_until_ms = 0

    @property
    def has_clock(self) -> bool:
        """Whether the worker's clock was read."""
        return self._clock_ms is not None

    @property
    def seen_s(self) -> float:
        """When the worker answered last."""
        return self._seen_s

    def note_clock(self, clock_ms: int, now_s: float) -> None:
        """Takes the clock of an answer that has just arrived."""
        self._clock_ms = clock_ms
        self._seen_s = now_s

    def grant(self, length_ms: int, now_s: float) -> int | None:
        """Returns the end of a new lease on the worker's clock, or None.

        The end counts as granted from this call on, whether or not the order
        that carries it arrives.
        """
        if self._clock_ms is None:
            return None
        elapsed_ms = (now_s - self._seen_s) * _MS_PER_S
        until_ms = int(self._clock_ms + elapsed_ms + length_ms)
        self._granted_until_ms = max(self._granted_until_ms, until_ms)
        return self._granted_until_ms

    def certain_end_s(self) -> float:
        """Returns when all leases have certainly ended, on the own clock."""
        inherited_s = self._max_lease_ms / _MS_PER_S / _SLOWEST_CLOCK
        end_s = self._taken_over_s + inherited_s + _MARGIN_S
        if self._clock_ms is None:
            return end_s
        left_ms = max(0, self._granted_until_ms - self._clock_ms)
        granted_s = self._seen_s + left_ms / _MS_PER_S / _SLOWEST_CLOCK
        return max(end_s, granted_s + _MARGIN_S)

    def is_certainly_over(self, now_s: float) -> bool:
        """Whether nothing can run under a lease any more."""
        return now_s >= self.certain_end_s()
