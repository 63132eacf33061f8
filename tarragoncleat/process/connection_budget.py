"""What the connections of all listeners of a process hold together.

Limits for each connection don't bound a process that has thousands of them.
Each connection charges the budget for what it holds: requests that are
incomplete, wait or are being answered, and answers that the peer hasn't read.
Beyond the limit the largest holders are closed first, so that small ordinary
requests are served beside a crowd of large ones.
"""

from typing import Protocol

__all__ = ["ConnectionBudget", "Holder"]

# Part of the limit that is held after connections were closed for it. Closing
# only the excess would sort the connections again at each further byte.
_KEPT_SHARE = 0.75
_ATTEMPT_GROWTH = 1.05


class Holder(Protocol):
    """A connection that charges a budget."""

    def give_up(self) -> bool:
        """Closes the connection, unless a request is being answered on it."""


class ConnectionBudget:
    """Counts the connections of a process and the bytes that they hold."""

    def __init__(self, max_connections: int, max_bytes: int) -> None:
        """Creates an empty budget.

        Args:
            max_connections: Limit for the open connections.
            max_bytes: Limit for the bytes that they hold.
        """
        self._max_connections = max_connections
        self._max_bytes = max_bytes
        self._held_bytes = 0
        # Where only requests that are being answered are left, a further
        # attempt to close connections waits for further growth.
        self._next_attempt_bytes = float(max_bytes)
        # Connections that are closed charge the budget as well.
        self._is_giving_up = False
        self._holders: dict[Holder, int] = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._holders)

    @property
    def held_bytes(self) -> int:
        """Bytes that all connections hold."""
        return self._held_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether more than the limit is held."""
        return self._held_bytes > self._max_bytes

    def open(self, holder: Holder) -> bool:
        """Counts a connection; returns False if there are too many."""
        self._holders[holder] = 0
        return len(self._holders) <= self._max_connections

    def close(self, holder: Holder) -> None:
        """Forgets a connection, and releases what it held."""
        self._held_bytes -= self._holders.pop(holder, 0)

    def charge(self, holder: Holder, held_bytes: int) -> None:
        """Sets what a connection holds; closes others if it is too much."""
        before = self._holders.get(holder)
        if before is None:
            return
        self._holders[holder] = held_bytes
        self._held_bytes += held_bytes - before
        is_attempt_due = self._held_bytes > self._next_attempt_bytes
        if held_bytes > before and is_attempt_due and not self._is_giving_up:
            self._is_giving_up = True
            self._give_up_largest()
            self._is_giving_up = False
            self._next_attempt_bytes = max(
                self._max_bytes, _ATTEMPT_GROWTH * self._held_bytes
            )

    def _give_up_largest(self) -> None:
        kept_bytes = _KEPT_SHARE * self._max_bytes
        by_size = sorted(
            self._holders.items(), key=lambda item: item[1], reverse=True
        )
        for holder, held_bytes in by_size:
            if self._held_bytes <= kept_bytes or not held_bytes:
                return
            if holder.give_up():
                self.charge(holder, 0)
