"""Late work that gives way to services that lack instances, and for how long.

Late work leaves its service's workers to services that lack instances, so that
they become vacant and move there. It helps nobody where none moves: the pool
must keep them, they do something else, or the platform refuses. Late work that
went on waiting would starve beside idle workers.
"""

from collections.abc import Collection
import dataclasses

__all__ = ["GiveWayClock"]

# Tasks of a load peak end, and a vacant worker moves, within this time.
_MAX_VAIN_MS = 5_000


@dataclasses.dataclass(slots=True)
class _GivingWay:
    """A service whose late work gives way.

    Attributes:
        worker_ids: The service's workers.
        since_ms: When the last of them has left, or when it began.
    """

    worker_ids: frozenset[str]
    since_ms: int


class GiveWayClock:
    """Ends the giving way of late work that has been in vain for some time."""

    def __init__(self) -> None:
        """Creates a clock of services whose late work doesn't give way."""
        self._lacking: frozenset[str] = frozenset()
        self._services: dict[str, _GivingWay] = {}

    def update(self, lacking: Collection[str]) -> None:
        """Records which services lack instances, before each plan's late work.

        Late work has no reason to give way to its own service alone.
        """
        self._lacking = frozenset(lacking)
        self._services = {
            service: known
            for service, known in self._services.items()
            if self._lacking - {service}
        }

    def gives_way(
        self, service: str, worker_ids: Collection[str], now_ms: int
    ) -> bool:
        """Whether late work of a service gives way now.

        Args:
            service: The service.
            worker_ids: Its workers.
            now_ms: Time in milliseconds since the epoch, which may go back.
        """
        if not self._lacking - {service}:
            return False
        present = frozenset(worker_ids)
        known = self._services.setdefault(service, _GivingWay(present, now_ms))
        has_left = not known.worker_ids <= present
        known.worker_ids = present
        if has_left or now_ms < known.since_ms:
            known.since_ms = now_ms
        return now_ms - known.since_ms < _MAX_VAIN_MS
