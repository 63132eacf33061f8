"""Identities of workers that start again under the name that they had.

A worker id stands for one incarnation. If a worker tells when it started, its
id consists of its name and of that time, else of its name alone.
"""

from collections.abc import Iterable

__all__ = ["IncarnationIndex", "build_worker_id", "split_worker_id"]

_SEPARATOR = "@"


def build_worker_id(name: str, started_ms: int) -> str:
    """Returns the id of an incarnation.

    Args:
        name: Name of the worker, the same for all its incarnations.
        started_ms: When the incarnation started, since the epoch; 0 if the
            worker doesn't tell.
    """
    if started_ms or split_worker_id(name)[0] != name:
        return f"{name}{_SEPARATOR}{started_ms}"
    return name


def split_worker_id(worker_id: str) -> tuple[str, int]:
    """Returns the name and the start time (0 if not told) of an incarnation."""
    name, separator, digits = worker_id.rpartition(_SEPARATOR)
    if separator and digits.isascii() and digits.isdecimal():
        return name, int(digits)
    return worker_id, 0


class IncarnationIndex:
    """The known incarnations of each worker that tells when it started."""

    def __init__(self, worker_ids: Iterable[str] = ()) -> None:
        """Creates the index of these incarnations."""
        self._started_ms: dict[str, set[int]] = {}
        for worker_id in worker_ids:
            self.add(worker_id)

    def add(self, worker_id: str) -> None:
        """Adds an incarnation."""
        name, started_ms = split_worker_id(worker_id)
        if started_ms:
            self._started_ms.setdefault(name, set()).add(started_ms)

    def earlier(self, worker_id: str) -> list[str]:
        """Returns the possible earlier incarnations of the same worker."""
        name, started_ms = split_worker_id(worker_id)
        known = self._started_ms.get(name, set())
        return [
            build_worker_id(name, other_ms)
            for other_ms in sorted({0, *known})
            if other_ms < started_ms
        ]

    def discard(self, worker_id: str) -> None:
        """Removes an incarnation if it is present."""
        name, started_ms = split_worker_id(worker_id)
        known = self._started_ms.get(name)
        if known is not None:
            known.discard(started_ms)
            if not known:
                del self._started_ms[name]

    def tells_start(self, name: str) -> bool:
        """Whether an incarnation that told its start is known."""
        return name in self._started_ms

    def is_superseded(self, worker_id: str) -> bool:
        """Whether a later incarnation of the worker is known."""
        name, started_ms = split_worker_id(worker_id)
        known = self._started_ms.get(name)
        return known is not None and max(known) > started_ms
