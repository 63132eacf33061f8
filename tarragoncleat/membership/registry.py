"""The registry of upstreams, a state-based CRDT.

The versions of one upstream are totally ordered by (epoch, leaving, renewal,
content), and a merge keeps the highest. Of two copies of the same version the
shorter remaining lease is kept, so that passing a record on never extends its
lease. This module reads no clock; times are arguments.
"""

from collections.abc import Collection, Iterator
import dataclasses
import enum
import heapq
import math

import xxhash

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.membership import upstreams

__all__ = [
    "BUCKETS",
    "HeldRecord",
    "MergeResult",
    "Registry",
]

BUCKETS = 32

# Minimum remaining lease sent with a live record of another availability zone,
# whose lease is not tracked here because the zone confirms it.
_CONFIRMED_LEASE_MS = 3_000
_MAX_LIVE = 100_000
_MAX_TOMBSTONES = 100_000
_MS_PER_S = 1000


class MergeResult(enum.Enum):
    """Effect of a merge."""

    UNCHANGED = "unchanged"
    RENEWED = "renewed"
    CHANGED = "changed"
    OUTDATED = "outdated"


@dataclasses.dataclass(slots=True)
class HeldRecord:
    """A record with its local state.

    Attributes:
        record: Highest version seen.
        deadline_s: End of the lease, or of the tombstone.
        live: Whether it is announced and its lease has not expired.
        returned_at_s: When the upstream last became live.
        identity: Hash of id, epoch and content, which the digests cover.
        bucket: Bucket of the zone's digest that covers the record.
        due_s: Time of the one valid item in the heap of deadlines. When the
            deadline moves later, the item stays and is replaced when due.
    """

    record: upstreams.UpstreamRecord
    deadline_s: float
    live: bool
    returned_at_s: float
    identity: int
    bucket: int
    due_s: float = math.inf


class _ZoneState:
    def __init__(self) -> None:
        self.records: dict[ids.UpstreamId, HeldRecord] = {}
        self.buckets = [0] * BUCKETS
        self.live_count = 0


class Registry:
    """All records that one entry has."""

    def __init__(
        self, own_zone: ids.AvailabilityZone, tombstone_s: float
    ) -> None:
        """Creates an empty registry.

        Args:
            own_zone: Zone whose leases are tracked here.
            tombstone_s: How long the record of an upstream that left or
                expired is kept; it must exceed the longest lease, so that no
                entry still has a live copy of an older version.
        """
        self._own_zone = own_zone
        self._tombstone_s = tombstone_s
        self._by_id: dict[ids.UpstreamId, HeldRecord] = {}
        self._zones: dict[ids.AvailabilityZone, _ZoneState] = {}
        self._services: dict[
            ids.ServiceId, dict[ids.UpstreamId, HeldRecord]
        ] = {}
        self._revisions: dict[ids.ServiceId, int] = {}
        self._due_heap: list[tuple[float, ids.UpstreamId]] = []
        self._live_count = 0

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def live_count(self) -> int:
        """Number of live records."""
        return self._live_count

    def get(self, upstream_id: ids.UpstreamId) -> HeldRecord | None:
        """Returns the record of an upstream."""
        return self._by_id.get(upstream_id)

    def live_records(self, service: ids.ServiceId) -> Collection[HeldRecord]:
        """Returns the live records of a service."""
        return self._services.get(service, {}).values()

    def zone_records(
        self, zone: ids.AvailabilityZone
    ) -> Collection[HeldRecord]:
        """Returns all records of a zone, including tombstones."""
        zone_state = self._zones.get(zone)
        return () if zone_state is None else zone_state.records.values()

    def zones(self) -> Collection[ids.AvailabilityZone]:
        """Zones that have records."""
        return self._zones.keys()

    def revision(self, service: ids.ServiceId) -> int:
        """Number that changes whenever the live records of a service do."""
        return self._revisions.get(service, 0)

    def bump_revision(self, service: ids.ServiceId) -> None:
        """Marks a service as changed."""
        self._revisions[service] = self.revision(service) + 1

    def digest(self, zone: ids.AvailabilityZone) -> int:
        """Digest of the live records of a zone, without their renewals."""
        digest = 0
        for bucket in self.buckets(zone):
            digest ^= bucket
        return digest

    def buckets(self, zone: ids.AvailabilityZone) -> tuple[int, ...]:
        """The digests of the buckets of a zone."""
        zone_state = self._zones.get(zone)
        return tuple(zone_state.buckets) if zone_state else (0,) * BUCKETS

    def announce(
        self, announcement: upstreams.Announcement, now_s: float
    ) -> upstreams.RecordCopy | errors.Failure:
        """Announces an upstream or renews its lease.

        Returns:
            The new version, or a `Failure` of kind OVERLOADED when the
            registry is full.
        """
        held = self._by_id.get(announcement.upstream_id)
        if held is None and self._live_count >= _MAX_LIVE:
            return errors.Failure(
                errors.ErrorKind.OVERLOADED,
                f"the registry holds {_MAX_LIVE} upstreams already",
            )
        epoch, renewal = 1, 1
        if held is not None:
            epoch, renewal = held.record.epoch, held.record.renewal + 1
            if held.record.state is upstreams.UpstreamState.LEAVING:
                epoch, renewal = epoch + 1, 1
        fields = {
            field.name: getattr(announcement, field.name)
            for field in dataclasses.fields(announcement)
        }
        record = upstreams.UpstreamRecord(
            epoch=epoch,
            state=upstreams.UpstreamState.ANNOUNCED,
            renewal=renewal,
            **fields,
        )
        copy = upstreams.RecordCopy(record, announcement.lease_ms)
        self.merge(copy, now_s)
        return copy

    def leave(
        self, upstream_id: ids.UpstreamId, now_s: float
    ) -> upstreams.RecordCopy | errors.Failure:
        """Marks an upstream as leaving in its current epoch.

        Returns:
            The leaving version, also when the upstream had left already, or a
            `Failure` of kind NOT_FOUND.
        """
        held = self._by_id.get(upstream_id)
        if held is None:
            return errors.Failure(
                errors.ErrorKind.NOT_FOUND, f"unknown upstream {upstream_id}"
            )
        record = dataclasses.replace(
            held.record, state=upstreams.UpstreamState.LEAVING
        )
        self.merge(
            upstreams.RecordCopy(record, int(self._tombstone_s * _MS_PER_S)),
            now_s,
        )
        return self.copy(self._by_id[upstream_id], now_s)

    def merge(self, copy: upstreams.RecordCopy, now_s: float) -> MergeResult:
        """Merges a copy of a record; returns the effect."""
        record = copy.record
        held = self._by_id.get(record.upstream_id)
        if held is None:
            self._insert(copy, now_s)
            leaving = copy.record.state is upstreams.UpstreamState.LEAVING
            return (
                MergeResult.CHANGED
                if leaving or copy.live
                else MergeResult.UNCHANGED
            )
        if record.version < held.record.version:
            return _compare_older(record, held)
        if record.version == held.record.version:
            return self._merge_same(held, copy, now_s)
        return self._replace(held, copy, now_s)

    def renew(
        self,
        held: HeldRecord,
        renewal: int,
        lease_ms: int,
        remaining_ms: int,
        now_s: float,
    ) -> MergeResult:
        """Merges a renewal of the same epoch and content."""
        record = dataclasses.replace(
            held.record,
            state=upstreams.UpstreamState.ANNOUNCED,
            renewal=renewal,
            lease_ms=lease_ms,
        )
        return self.merge(upstreams.RecordCopy(record, remaining_ms), now_s)

    def copy(self, held: HeldRecord, now_s: float) -> upstreams.RecordCopy:
        """Returns the copy of a record to send to other entries."""
        remaining_ms = int((held.deadline_s - now_s) * _MS_PER_S)
        if held.record.state is upstreams.UpstreamState.LEAVING:
            return upstreams.RecordCopy(held.record, max(remaining_ms, 1))
        if not held.live:
            return upstreams.RecordCopy(held.record, min(-remaining_ms, -1))
        if held.record.availability_zone != self._own_zone:
            remaining_ms = max(remaining_ms, _CONFIRMED_LEASE_MS)
        return upstreams.RecordCopy(held.record, max(remaining_ms, 1))

    def page(
        self,
        zone: ids.AvailabilityZone,
        buckets: Collection[int],
        after: ids.UpstreamId,
        limit: int,
        now_s: float,
    ) -> tuple[upstreams.RecordCopy, ...]:
        """Returns records of some buckets with ids above `after`, sorted."""
        wanted = sorted(
            held.record.upstream_id
            for held in self.zone_records(zone)
            if held.bucket in buckets and held.record.upstream_id > after
        )
        return tuple(
            self.copy(self._by_id[upstream_id], now_s)
            for upstream_id in wanted[:limit]
        )

    def sweep(
        self, now_s: float, confirmed: Collection[ids.AvailabilityZone]
    ) -> list[HeldRecord]:
        """Expires leases and drops old tombstones.

        Args:
            now_s: Current time.
            confirmed: Zones whose own entries confirm their live records, so
                that leases of these zones are not tracked here.

        Returns:
            The records whose lease expired.
        """
        expired = list(self._expire_due(now_s))
        for name, zone in self._zones.items():
            if (
                name == self._own_zone
                or name in confirmed
                or not zone.live_count
            ):
                continue
            ended = [
                held
                for held in zone.records.values()
                if held.live and held.deadline_s <= now_s
            ]
            for held in ended:
                self._expire(held, now_s)
            expired += ended
        self._limit_tombstones()
        return expired

    def _expire_due(self, now_s: float) -> Iterator[HeldRecord]:
        while self._due_heap and self._due_heap[0][0] <= now_s:
            due_s, upstream_id = heapq.heappop(self._due_heap)
            held = self._by_id.get(upstream_id)
            if held is None or held.due_s != due_s:
                continue
            held.due_s = math.inf
            if held.deadline_s > now_s:
                self._set_deadline(held, held.deadline_s)
            elif held.live:
                self._expire(held, now_s)
                yield held
            else:
                self._remove(held)

    def _tracks_lease(self, held: HeldRecord) -> bool:
        return held.record.availability_zone == self._own_zone

    def _limit_tombstones(self) -> None:
        excess = len(self._by_id) - self._live_count - _MAX_TOMBSTONES
        if excess <= 0:
            return
        tombstones = [held for held in self._by_id.values() if not held.live]
        for held in heapq.nsmallest(
            excess, tombstones, key=lambda held: held.deadline_s
        ):
            self._remove(held)

    def _merge_same(
        self, held: HeldRecord, copy: upstreams.RecordCopy, now_s: float
    ) -> MergeResult:
        if held.live and not copy.live:
            self._mark_not_live(held)
            self._set_deadline(held, _deadline_s(copy, now_s))
            return MergeResult.CHANGED
        if held.live == copy.live:
            deadline_s = min(held.deadline_s, _deadline_s(copy, now_s))
            self._set_deadline(held, deadline_s)
        return MergeResult.UNCHANGED

    def _replace(
        self, held: HeldRecord, copy: upstreams.RecordCopy, now_s: float
    ) -> MergeResult:
        same_epoch = copy.record.epoch == held.record.epoch
        same_content = copy.record.content == held.record.content
        if held.live and copy.live and same_epoch and same_content:
            held.record = copy.record
            self._set_deadline(held, _deadline_s(copy, now_s))
            return MergeResult.RENEWED
        was_live, returned_at_s = held.live, held.returned_at_s
        self._remove(held)
        inserted = self._insert(copy, now_s)
        if was_live and same_epoch:
            inserted.returned_at_s = returned_at_s
        return MergeResult.CHANGED

    def _insert(self, copy: upstreams.RecordCopy, now_s: float) -> HeldRecord:
        record = copy.record
        upstream_id = record.upstream_id
        identity = _hash(repr((upstream_id, record.epoch, record.content)))
        bucket = _hash(upstream_id) % BUCKETS
        held = HeldRecord(record, 0.0, copy.live, now_s, identity, bucket)
        zone = self._zones.setdefault(record.availability_zone, _ZoneState())
        zone.records[upstream_id] = held
        self._by_id[upstream_id] = held
        if held.live:
            self._change_live_count(held, zone, 1)
            self._services.setdefault(record.service, {})[upstream_id] = held
        self._set_deadline(held, _deadline_s(copy, now_s))
        return held

    def _set_deadline(self, held: HeldRecord, deadline_s: float) -> None:
        held.deadline_s = deadline_s
        if held.live and not self._tracks_lease(held):
            held.due_s = math.inf
        elif deadline_s < held.due_s:
            held.due_s = deadline_s
            heapq.heappush(
                self._due_heap, (deadline_s, held.record.upstream_id)
            )

    def _remove(self, held: HeldRecord) -> None:
        self._mark_not_live(held)
        del self._by_id[held.record.upstream_id]
        zone = self._zones[held.record.availability_zone]
        del zone.records[held.record.upstream_id]

    def _expire(self, held: HeldRecord, now_s: float) -> None:
        self._mark_not_live(held)
        self._set_deadline(held, now_s + self._tombstone_s)

    def _mark_not_live(self, held: HeldRecord) -> None:
        if not held.live:
            return
        zone = self._zones[held.record.availability_zone]
        held.live = False
        self._change_live_count(held, zone, -1)
        del self._services[held.record.service][held.record.upstream_id]

    def _change_live_count(
        self, held: HeldRecord, zone: _ZoneState, change: int
    ) -> None:
        self._live_count += change
        zone.live_count += change
        zone.buckets[held.bucket] ^= held.identity
        self.bump_revision(held.record.service)


def _compare_older(
    record: upstreams.UpstreamRecord, held: HeldRecord
) -> MergeResult:
    """Distinguishes an outdated copy from a renewal that arrived late."""
    mine = (
        held.record.epoch,
        held.record.state is upstreams.UpstreamState.LEAVING,
    )
    theirs = (record.epoch, record.state is upstreams.UpstreamState.LEAVING)
    return MergeResult.OUTDATED if theirs < mine else MergeResult.UNCHANGED


def _deadline_s(copy: upstreams.RecordCopy, now_s: float) -> float:
    return now_s + abs(copy.remaining_ms) / _MS_PER_S


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
