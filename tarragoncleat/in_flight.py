"""Requests in flight by upstream: own counts and what others reported."""

from collections.abc import Mapping

from tarragoncleat import ids

__all__ = ["OwnCounts", "ReportedCounts"]


class OwnCounts:
    """Counts to report, sent as bounded sets of changes."""

    def __init__(self, max_changes: int) -> None:
        """Sends at most `max_changes` counts at a time."""
        self._max_changes = max_changes
        self._counts: dict[ids.UpstreamId, int] = {}
        self._pending: dict[ids.UpstreamId, None] = {}

    def set(self, upstream_id: ids.UpstreamId, count: int) -> None:
        """Sets a count."""
        if self._counts.get(upstream_id, 0) == count:
            return
        if count:
            self._counts[upstream_id] = count
        else:
            del self._counts[upstream_id]
        self._pending[upstream_id] = None

    def get(self, upstream_id: ids.UpstreamId) -> int:
        """Returns a count."""
        return self._counts.get(upstream_id, 0)

    def changes(self) -> dict[ids.UpstreamId, int]:
        """Takes the changes that waited longest."""
        taken: list[ids.UpstreamId] = []
        for upstream_id in self._pending:
            if len(taken) == self._max_changes:
                break
            taken.append(upstream_id)
        for upstream_id in taken:
            del self._pending[upstream_id]
        return {
            upstream_id: self._counts.get(upstream_id, 0)
            for upstream_id in taken
        }

    def all(self) -> dict[ids.UpstreamId, int]:
        """Takes everything."""
        self._pending.clear()
        return dict(self._counts)


class ReportedCounts:
    """Counts reported by others, and their sums by upstream."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._by_source: dict[str, dict[ids.UpstreamId, int]] = {}
        self._sums: dict[ids.UpstreamId, int] = {}

    def sum(self, upstream_id: ids.UpstreamId) -> int:
        """Sum over all sources."""
        return self._sums.get(upstream_id, 0)

    def of(self, source: str, upstream_id: ids.UpstreamId) -> int:
        """The count that one source reported."""
        return self._by_source.get(source, {}).get(upstream_id, 0)

    def sources(self) -> tuple[str, ...]:
        """Sources that have reported."""
        return tuple(self._by_source)

    def update(
        self, source: str, full: bool, counts: Mapping[ids.UpstreamId, int]
    ) -> dict[ids.UpstreamId, int]:
        """Takes a report; returns the new counts that differ from before."""
        held = self._by_source.setdefault(source, {})
        changes = dict(counts)
        if full:
            changes.update(dict.fromkeys(held.keys() - counts.keys(), 0))
        changed = {
            upstream_id: count
            for upstream_id, count in changes.items()
            if held.get(upstream_id, 0) != count
        }
        for upstream_id, count in changed.items():
            self._set(held, upstream_id, count)
        return changed

    def forget(self, source: str) -> dict[ids.UpstreamId, int]:
        """Removes a source; returns the changed counts."""
        changed = self.update(source, True, {})
        del self._by_source[source]
        return changed

    def _set(
        self,
        held: dict[ids.UpstreamId, int],
        upstream_id: ids.UpstreamId,
        count: int,
    ) -> None:
        total = self.sum(upstream_id) + count - held.pop(upstream_id, 0)
        if count:
            held[upstream_id] = count
        if total:
            self._sums[upstream_id] = total
        else:
            self._sums.pop(upstream_id, None)
