"""Counts of requests in flight by upstream: own ones and reported ones.

Counts are keyed by a 32-bit hash of the upstream id, a third of the bytes of
the id. With 24,000 upstreams the probability of a collision is 7%; the counts
of the two upstreams are then added, which makes both look busier.
"""

from collections.abc import Iterable, Mapping
import functools
import heapq

import xxhash

from tarragoncleat.kernel import ids

__all__ = ["OutgoingCounts", "ReportedCounts", "hash_upstream_id"]

_MAX_CACHED_HASHES = 200_000
# A count of zero is dropped after it was sent again this many times.
_ZERO_RESENDS = 3


@functools.lru_cache(maxsize=_MAX_CACHED_HASHES)
def hash_upstream_id(upstream_id: ids.UpstreamId) -> int:
    """Returns the hash under which an upstream is counted."""
    return xxhash.xxh32_intdigest(upstream_id.encode())


class OutgoingCounts:
    """Counts to report, sent as bounded batches of changes."""

    def __init__(self) -> None:
        """Starts with nothing in flight."""
        self._counts: dict[int, int] = {}
        self._sent: dict[int, int] = {}
        self._zero_sends: dict[int, int] = {}
        self._changed: set[int] = set()
        self._to_resend: dict[int, None] = {}

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

    def resend_all(self) -> None:
        """Queues every count again, since changes may have been lost."""
        self._to_resend.update(dict.fromkeys(self._sent))

    def next_changes(self, limit: int) -> dict[int, int]:
        """Returns the next counts to send, the largest changes first."""
        if len(self._changed) <= limit:
            changes = list(self._changed)
        else:
            changes = heapq.nlargest(limit, self._changed, self._difference)
        self._changed.difference_update(changes)
        for key in tuple(self._to_resend)[: limit - len(changes)]:
            del self._to_resend[key]
            if key not in changes and key not in self._changed:
                changes.append(key)
        return {key: self._mark_sent(key) for key in changes}

    def _difference(self, key: int) -> int:
        return abs(self.get(key) - self._sent.get(key, 0))

    def _mark_sent(self, key: int) -> int:
        count = self.get(key)
        self._sent[key] = count
        if count:
            self._zero_sends.pop(key, None)
            return count
        self._zero_sends[key] = self._zero_sends.get(key, -1) + 1
        if self._zero_sends[key] == _ZERO_RESENDS:
            del self._sent[key], self._zero_sends[key]
        return count


class ReportedCounts:
    """Counts reported by other entries or zones, and their totals."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._by_source: dict[str, dict[int, int]] = {}
        self._totals: dict[int, int] = {}

    def total(self, key: int) -> int:
        """Returns the sum over all sources."""
        return self._totals.get(key, 0)

    def sources(self) -> tuple[str, ...]:
        """Returns the sources that have reported."""
        return tuple(self._by_source)

    def update(self, source: str, counts: Mapping[int, int]) -> None:
        """Sets the counts that a source reported."""
        previous = self._by_source.setdefault(source, {})
        for key, count in counts.items():
            total = self.total(key) + count - previous.pop(key, 0)
            if count:
                previous[key] = count
            if total:
                self._totals[key] = total
            else:
                self._totals.pop(key, None)

    def remove_source(self, source: str) -> Iterable[int]:
        """Removes a source; returns the keys that it had reported."""
        keys = tuple(self._by_source.get(source, ()))
        self.update(source, dict.fromkeys(keys, 0))
        self._by_source.pop(source)
        return keys
