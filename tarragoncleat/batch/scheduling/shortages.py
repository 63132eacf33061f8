"""How long services have lacked instances.

Late work leaves workers to a service that lacks instances, so that they become
vacant and move there. Within seconds they have moved, or they won't: the pool
must keep them, or the service asks for more than the fleet has. Late work that
went on waiting would starve beside idle workers.
"""

from collections.abc import Collection

__all__ = ["ShortageClock"]

# No job should wait for 3 s beside idle workers.
_MAX_GIVE_WAY_MS = 2_500


class ShortageClock:
    """Tracks since when each service has lacked instances."""

    def __init__(self) -> None:
        """Creates a clock of services without a shortage."""
        self._since_ms: dict[str, int] = {}

    def update(self, lacking: Collection[str], now_ms: int) -> None:
        """Records which services lack instances now.

        Args:
            lacking: The services; the shortages of others are over.
            now_ms: Time in milliseconds since the epoch, which may go back.
        """
        self._since_ms = {
            service: min(self._since_ms.get(service, now_ms), now_ms)
            for service in lacking
        }

    def recent(self, now_ms: int) -> set[str]:
        """Returns the services for whose shortage late work still gives way."""
        return {
            service
            for service, since_ms in self._since_ms.items()
            if now_ms - since_ms < _MAX_GIVE_WAY_MS
        }
