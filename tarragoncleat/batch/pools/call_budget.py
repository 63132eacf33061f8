"""A token bucket for calls that an outside service limits per second."""

__all__ = ["CallBudget"]


class CallBudget:
    """Allows calls at a mean rate, with bursts of up to one second's calls."""

    def __init__(self, calls_per_s: float, now_s: float) -> None:
        """Creates a full budget."""
        self._calls_per_s = calls_per_s
        self._tokens = calls_per_s
        self._refilled_s = now_s

    def refill(self, now_s: float) -> None:
        """Adds what the time since the last refill allows."""
        elapsed_s = now_s - self._refilled_s
        self._refilled_s = now_s
        self._tokens = min(
            self._calls_per_s, self._tokens + elapsed_s * self._calls_per_s
        )

    def try_acquire(self) -> bool:
        """Takes one call from the budget; returns False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
