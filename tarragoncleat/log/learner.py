"""Receives committed records from another entry, as a learner."""

from collections.abc import Iterable, Mapping, Sequence
import dataclasses
import zlib

import loguru

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import feed
from tarragoncleat.log import replication_messages

__all__ = ["Learner", "rank_sources"]

_MS_PER_S = 1000
# A source is replaced if it is silent, or its state outdated, for this long.
_STALE_AFTER_S = 2.0
_SUSPICION_S = 5.0
_ACK_EVERY_RECORDS = 128


def rank_sources(
    entry_id: ids.EntryId,
    zone_by_entry: Mapping[ids.EntryId, ids.AvailabilityZone],
    replicas: Iterable[ids.EntryId],
    connected: Iterable[ids.EntryId],
) -> Sequence[ids.EntryId]:
    """Returns the entries to follow, the best first.

    Replicas in the same zone come first, then entries in the same zone with a
    lower id, so that only the lowest one follows a replica in another zone.
    A hash spreads the zones over the replicas. Other entries come last.
    """
    zone = zone_by_entry[entry_id]
    replica_ids = frozenset(replicas)

    def rank(other: ids.EntryId) -> tuple[int, int, str]:
        is_same_zone = zone_by_entry[other] == zone
        is_replica = other in replica_ids
        if is_same_zone and is_replica:
            return 0, 0, other
        if is_same_zone and other < entry_id:
            return 1, 0, other
        if is_replica:
            hash_value = zlib.crc32(f"{zone} {other}".encode())
            return 2, hash_value, other
        return 3, 0, other

    known = (other for other in connected if other in zone_by_entry)
    return sorted((other for other in known if other != entry_id), key=rank)


@dataclasses.dataclass(slots=True)
class _PartialSnapshot:
    index: int
    data: bytearray = dataclasses.field(default_factory=bytearray)


class Learner:
    """Follows one source at a time; replaces one that is silent or outdated."""

    def __init__(
        self,
        entry_id: ids.EntryId,
        zone_by_entry: Mapping[ids.EntryId, ids.AvailabilityZone],
        links: replication_messages.Links,
        timer: timer_module.TimerService,
        applier: applier_module.Applier,
    ) -> None:
        """Starts without a source; call `tick` every follow interval."""
        self._entry_id = entry_id
        self._zone_by_entry = zone_by_entry
        self._links = links
        self._timer = timer
        self._applier = applier
        self._source: ids.EntryId | None = None
        self._followed_since_s = 0.0
        self._contact_s: float | None = None
        self._current_at_s: float | None = None
        self._source_index = 0
        self._term = 0
        self._leader_id: ids.EntryId | None = None
        self._suspect_until_s: dict[ids.EntryId, float] = {}
        self._partial_snapshot: _PartialSnapshot | None = None
        self._unacknowledged_records = 0

    @property
    def source(self) -> ids.EntryId | None:
        """The entry that this one follows."""
        return self._source

    @property
    def term(self) -> int:
        """The highest term that a source has reported."""
        return self._term

    @property
    def leader_id(self) -> ids.EntryId | None:
        """The leader that the source has reported."""
        return self._leader_id

    @property
    def source_index(self) -> int:
        """Highest applied index that a source has reported."""
        return self._source_index

    @property
    def current_at_s(self) -> float | None:
        """Latest time when this entry was known to be current, if any."""
        return self._current_at_s

    def tick(self, replicas: Iterable[ids.EntryId]) -> None:
        """Chooses the source and renews the subscription."""
        now_s = self._timer.monotonic_s()
        self._suspect_stale_source(now_s)
        ranked = rank_sources(
            self._entry_id,
            self._zone_by_entry,
            replicas,
            self._links.connected(),
        )
        best = self._first_trusted(ranked, now_s)
        if best != self._source:
            self._set_source(best, now_s)
        elif self._source is not None:
            is_silent = self._is_silent(now_s, feed.FOLLOW_INTERVAL_S * 1.5)
            self._send_request(restart=is_silent)

    def stop(self) -> None:
        """Stops following, because consensus delivers the records."""
        self._source = None

    def on_batch(
        self, sender: ids.EntryId, batch: replication_messages.FollowBatch
    ) -> None:
        """Applies the records of the source, in order."""
        if sender != self._source:
            return
        now_s = self._timer.monotonic_s()
        self._contact_s = now_s
        if batch.previous_index > self._applier.applied_index:
            self._send_request(restart=True)
            return
        for record in batch.records:
            self._applier.apply(record)
        self._update_leader_view(batch, now_s)
        self._unacknowledged_records += len(batch.records)
        if self._unacknowledged_records >= _ACK_EVERY_RECORDS:
            self._send_request(restart=False)

    def on_snapshot(
        self,
        sender: ids.EntryId,
        chunk: replication_messages.FollowSnapshot,
    ) -> None:
        """Collects a snapshot and restores it when it is complete."""
        if sender != self._source:
            return
        self._contact_s = self._timer.monotonic_s()
        if chunk.index <= self._applier.applied_index:
            self._send_request(restart=True)
            return
        if (
            self._partial_snapshot is None
            or self._partial_snapshot.index != chunk.index
        ):
            self._partial_snapshot = _PartialSnapshot(chunk.index)
        data = self._partial_snapshot.data
        if chunk.offset == len(data):
            data += chunk.data
        if len(data) < chunk.size:
            self._send_request(restart=False)
            return
        self._partial_snapshot = None
        self._applier.restore(
            consensus_messages.Snapshot(
                chunk.index,
                chunk.index_term,
                chunk.time_ms,
                chunk.replicas,
                bytes(data),
            )
        )
        self._send_request(restart=True)

    def _update_leader_view(
        self, batch: replication_messages.FollowBatch, now_s: float
    ) -> None:
        current_at_s = now_s - batch.age_ms / _MS_PER_S
        if self._current_at_s is None or current_at_s > self._current_at_s:
            self._current_at_s = current_at_s
        self._source_index = max(self._source_index, batch.applied_index)
        if batch.term >= self._term:
            self._term = batch.term
            self._leader_id = batch.leader_id

    def _is_silent(self, now_s: float, limit_s: float) -> bool:
        contact_s = self._contact_s or self._followed_since_s
        return now_s - max(contact_s, self._followed_since_s) > limit_s

    def _suspect_stale_source(self, now_s: float) -> None:
        source = self._source
        if source is None:
            return
        current_at_s = self._current_at_s or 0.0
        is_stale = (
            now_s - max(current_at_s, self._followed_since_s) > _STALE_AFTER_S
        )
        if is_stale or self._is_silent(now_s, _STALE_AFTER_S):
            self._suspect_until_s[source] = now_s + _SUSPICION_S

    def _first_trusted(
        self, ranked: Sequence[ids.EntryId], now_s: float
    ) -> ids.EntryId | None:
        for entry_id in ranked:
            if self._suspect_until_s.get(entry_id, 0.0) <= now_s:
                return entry_id
        return ranked[0] if ranked else None

    def _set_source(self, source: ids.EntryId | None, now_s: float) -> None:
        loguru.logger.debug(
            "changed the source of records",
            source=source,
            previous=self._source,
        )
        self._source = source
        self._followed_since_s = now_s
        self._partial_snapshot = None
        self._send_request(restart=True)

    def _send_request(self, restart: bool) -> None:
        if self._source is None:
            return
        self._unacknowledged_records = 0
        partial = self._partial_snapshot
        request = replication_messages.FollowRequest(
            self._applier.applied_index,
            restart,
            partial.index if partial else 0,
            len(partial.data) if partial else 0,
        )
        # The next tick repeats a request that the link drops.
        self._links.send(self._source, request)
