"""Requests in flight by upstream: own counts and what others reported.

Counts are kept and sent by a 32-bit hash of the upstream id, a third of the
bytes of the id. With 24,000 upstreams the chance that any two share a hash is
7%; their counts are then added up, which makes both look busier.
"""

from collections.abc import Iterable, Mapping
import functools
import heapq

import xxhash

from tarragoncleat.kernel import ids

__all__ = ["OwnCounts", "ReportedCounts", "handle"]

_MAX_CACHED_HANDLES = 200_000
# A zero is sent so many times more and then no longer remembered.
_ZERO_REPEATS = 3


@functools.lru_cache(maxsize=_MAX_CACHED_HANDLES)
def handle(upstream_id: ids.UpstreamId) -> int:
    """Returns the hash under which an upstream is counted."""
    return xxhash.xxh32_intdigest(upstream_id.encode())


class OwnCounts:
    """Counts to report, sent as bounded sets of changes."""

    def __init__(self) -> None:
        """Starts with nothing in flight."""
        self._counts: dict[int, int] = {}
        self._sent: dict[int, int] = {}
        self._zeros: dict[int, int] = {}
        self._changed: set[int] = set()
        self._repeated: dict[int, None] = {}

    def get(self, key: int) -> int:
        """Returns a count."""
        return self._counts.get(key, 0)

    def set(self, key: int, count: int) -> None:
        """Sets a count."""
        if count:
            self._counts[key] = count
        else:
            self._counts.pop(key, None)
        if count != self._sent.get(key, 0):
            self._changed.add(key)
        else:
            self._changed.discard(key)

    def repeat_all(self) -> None:
        """Has every count sent again, for receivers that missed some."""
        self._repeated.update(dict.fromkeys(self._sent))

    def take(self, limit: int) -> dict[int, int]:
        """Takes counts to send, the largest changes first."""
        if len(self._changed) <= limit:
            taken = list(self._changed)
        else:
            taken = heapq.nlargest(limit, self._changed, self._difference)
        self._changed.difference_update(taken)
        for key in tuple(self._repeated)[: limit - len(taken)]:
            del self._repeated[key]
            if key not in taken and key not in self._changed:
                taken.append(key)
        return {key: self._send(key) for key in taken}

    def _difference(self, key: int) -> int:
        return abs(self.get(key) - self._sent.get(key, 0))

    def _send(self, key: int) -> int:
        count = self.get(key)
        self._sent[key] = count
        if count:
            self._zeros.pop(key, None)
            return count
        self._zeros[key] = self._zeros.get(key, -1) + 1
        if self._zeros[key] == _ZERO_REPEATS:
            del self._sent[key], self._zeros[key]
        return count


class ReportedCounts:
    """Counts reported by others, and their sums by upstream."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._by_source: dict[str, dict[int, int]] = {}
        self._sums: dict[int, int] = {}

    def sum(self, key: int) -> int:
        """Sum over all sources."""
        return self._sums.get(key, 0)

    def sources(self) -> tuple[str, ...]:
        """Sources that have reported."""
        return tuple(self._by_source)

    def update(self, source: str, counts: Mapping[int, int]) -> None:
        """Takes the counts that a source reports."""
        held = self._by_source.setdefault(source, {})
        for key, count in counts.items():
            total = self.sum(key) + count - held.pop(key, 0)
            if count:
                held[key] = count
            if total:
                self._sums[key] = total
            else:
                self._sums.pop(key, None)

    def forget(self, source: str) -> Iterable[int]:
        """Removes a source; returns the keys that it had reported."""
        keys = tuple(self._by_source.get(source, ()))
        self.update(source, dict.fromkeys(keys, 0))
        self._by_source.pop(source)
        return keys
