"""Expiry of the leases that a leader grants to a worker.

A lease expires at a time on the worker's clock, which may run slow. The leader
must know when it has expired for certain, even without an answer from the
worker.
"""

__all__ = ["LeaseTracker", "granted_duration_ms", "max_unconfirmed_s"]

_MS_PER_S = 1000
# The last quarter of the longest lease covers the time in which a deposed
# leader may still grant leases before it notices.
_GRANTED_SHARE = 0.75
# A worker's clock may be 2% slow.
_MIN_CLOCK_RATE = 0.98
_MARGIN_S = 0.1


def granted_duration_ms(max_lease_ms: int) -> int:
    """Returns how long a lease is granted for, of the longest possible one."""
    return int(max_lease_ms * _GRANTED_SHARE)


def max_unconfirmed_s(max_lease_ms: int) -> float:
    """Returns for how long a leader may grant leases without a confirmation.

    From its election on a next leader waits for the longest lease, which is
    longer than the granted one by this time.
    """
    return (max_lease_ms - granted_duration_ms(max_lease_ms)) / _MS_PER_S


class LeaseTracker:
    """Tracks granted leases and the worker's clock."""

    def __init__(self, term_start_s: float, max_lease_ms: int) -> None:
        """Creates the state before the first contact with the worker.

        Args:
            term_start_s: When this leader took over; earlier leaders granted
                no lease later.
            max_lease_ms: Longest lease that may be in force at that time.
        """
        self._term_start_s = term_start_s
        self._max_lease_ms = max_lease_ms
        self._clock_ms: int | None = None
        self._last_contact_s = term_start_s
        self._granted_until_ms = 0

    @property
    def has_clock(self) -> bool:
        """Whether the worker has reported its clock."""
        return self._clock_ms is not None

    @property
    def last_contact_s(self) -> float:
        """When the worker last answered."""
        return self._last_contact_s

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Records the worker's clock from an answer that has just arrived."""
        self._clock_ms = clock_ms
        self._last_contact_s = now_s

    def grant(self, duration_ms: int, now_s: float) -> int | None:
        """Returns a new lease's expiry on the worker's clock, or None.

        The lease counts as granted from this call on, whether or not the
        worker receives it. Without a known clock it returns None.
        """
        if self._clock_ms is None:
            return None
        elapsed_ms = (now_s - self._last_contact_s) * _MS_PER_S
        until_ms = int(self._clock_ms + elapsed_ms + duration_ms)
        self._granted_until_ms = max(self._granted_until_ms, until_ms)
        return self._granted_until_ms

    def reuse_or_grant(
        self, duration_ms: int, min_remaining_ms: int, now_s: float
    ) -> int | None:
        """Returns the expiry of the latest lease, or grants one if it is short.

        An order that reuses the lease doesn't extend the time after which the
        tasks of a silent worker may run elsewhere.
        """
        if self._clock_ms is None:
            return None
        elapsed_ms = (now_s - self._last_contact_s) * _MS_PER_S
        remaining_ms = self._granted_until_ms - self._clock_ms - elapsed_ms
        if remaining_ms >= min_remaining_ms:
            return self._granted_until_ms
        return self.grant(duration_ms, now_s)

    def latest_expiry_s(self) -> float:
        """Returns when all leases have certainly expired, on the own clock."""
        max_lease_s = self._max_lease_ms / _MS_PER_S / _MIN_CLOCK_RATE
        inherited_expiry_s = self._term_start_s + max_lease_s + _MARGIN_S
        if self._clock_ms is None:
            return inherited_expiry_s
        remaining_ms = max(0, self._granted_until_ms - self._clock_ms)
        granted_expiry_s = (
            self._last_contact_s + remaining_ms / _MS_PER_S / _MIN_CLOCK_RATE
        )
        return max(inherited_expiry_s, granted_expiry_s + _MARGIN_S)

    def is_expired(self, now_s: float) -> bool:
        """Whether all leases have certainly expired."""
        return now_s >= self.latest_expiry_s()
