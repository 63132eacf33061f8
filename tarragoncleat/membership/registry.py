"""The registry of upstreams as a merge lattice.

Within one upstream id, versions are totally ordered by (epoch, leaving,
renewal, content), and a merge keeps the highest. Of two copies of the same
version the shorter remaining lease is kept, so that passing a record on never
extends its lease. Nothing here reads a clock; times are arguments.
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
    "Held",
    "Merge",
    "Registry",
]

BUCKETS = 32

# Remaining time on the wire for a live record whose own lease is not tracked
# here because its availability zone confirms it.
_CONFIRMED_MS = 3_000
_MAX_LIVE = 100_000
_MAX_GONE = 100_000
_MS_PER_S = 1000


class Merge(enum.Enum):
    """What a merge did."""

    UNCHANGED = "unchanged"
    RENEWED = "renewed"
    CHANGED = "changed"
    OUTDATED = "outdated"


@dataclasses.dataclass(slots=True)
class Held:
    """A record with its local state.

    Attributes:
        record: Highest version seen.
        deadline_s: End of the lease, or when a gone record is forgotten.
        live: Announced, and the lease has not been seen to end.
        returned_at_s: When the upstream last became live.
        identity: Hash of what the digests cover.
        bucket: Part of the zone's digest.
        due_s: Time of the one valid entry in the heap of deadlines; when the
            deadline moves later, the entry stays and is replaced when due.
    """

    record: upstreams.UpstreamRecord
    deadline_s: float
    live: bool
    returned_at_s: float
    identity: int
    bucket: int
    due_s: float = math.inf


class _Zone:
    def __init__(self) -> None:
        self.held: dict[ids.UpstreamId, Held] = {}
        self.buckets = [0] * BUCKETS
        self.live = 0


class Registry:
    """All records known to one entry."""

    def __init__(
        self, own_zone: ids.AvailabilityZone, keep_gone_s: float
    ) -> None:
        """Creates an empty registry.

        Args:
            own_zone: Zone whose leases are tracked here.
            keep_gone_s: How long a left or lapsed record is remembered; it
                must exceed the longest lease, so that no entry still holds a
                live copy of an older version.
        """
        self._own_zone = own_zone
        self._keep_gone_s = keep_gone_s
        self._by_id: dict[ids.UpstreamId, Held] = {}
        self._zones: dict[ids.AvailabilityZone, _Zone] = {}
        self._services: dict[ids.ServiceId, dict[ids.UpstreamId, Held]] = {}
        self._revisions: dict[ids.ServiceId, int] = {}
        self._due: list[tuple[float, ids.UpstreamId]] = []
        self._live = 0

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def live_count(self) -> int:
        """Number of live records."""
        return self._live

    def get(self, upstream_id: ids.UpstreamId) -> Held | None:
        """Returns what is held about an upstream."""
        return self._by_id.get(upstream_id)

    def of_service(self, service: ids.ServiceId) -> Collection[Held]:
        """Returns the live records of a service."""
        return self._services.get(service, {}).values()

    def of_zone(self, zone: ids.AvailabilityZone) -> Collection[Held]:
        """Returns all records of a zone, gone ones included."""
        found = self._zones.get(zone)
        return () if found is None else found.held.values()

    def zones(self) -> Collection[ids.AvailabilityZone]:
        """Zones of which records are held."""
        return self._zones.keys()

    def revision(self, service: ids.ServiceId) -> int:
        """Changes whenever the live records of a service change."""
        return self._revisions.get(service, 0)

    def touch(self, service: ids.ServiceId) -> None:
        """Marks a service as changed."""
        self._revisions[service] = self.revision(service) + 1

    def digest(self, zone: ids.AvailabilityZone) -> int:
        """Digest of the live records of a zone, without their renewals."""
        digest = 0
        for bucket in self.buckets(zone):
            digest ^= bucket
        return digest

    def buckets(self, zone: ids.AvailabilityZone) -> tuple[int, ...]:
        """The digests of the parts of a zone."""
        found = self._zones.get(zone)
        return tuple(found.buckets) if found else (0,) * BUCKETS

    def announce(
        self, announcement: upstreams.Announcement, now_s: float
    ) -> upstreams.Copy | errors.Failure:
        """Announces an upstream or renews its lease.

        Returns:
            The new version, or a `Failure` of kind OVERLOADED when the
            registry is full.
        """
        held = self._by_id.get(announcement.upstream_id)
        if held is None and self._live >= _MAX_LIVE:
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
        copy = upstreams.Copy(record, announcement.lease_ms)
        self.merge(copy, now_s)
        return copy

    def leave(
        self, upstream_id: ids.UpstreamId, now_s: float
    ) -> upstreams.Copy | errors.Failure:
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
            upstreams.Copy(record, int(self._keep_gone_s * _MS_PER_S)), now_s
        )
        return self.copy(self._by_id[upstream_id], now_s)

    def merge(self, copy: upstreams.Copy, now_s: float) -> Merge:
        """Merges a record and says what that changed."""
        record = copy.record
        held = self._by_id.get(record.upstream_id)
        if held is None:
            self._insert(copy, now_s)
            leaving = copy.record.state is upstreams.UpstreamState.LEAVING
            return Merge.CHANGED if leaving or copy.live else Merge.UNCHANGED
        if record.version < held.record.version:
            return _compare_older(record, held)
        if record.version == held.record.version:
            return self._merge_same(held, copy, now_s)
        return self._replace(held, copy, now_s)

    def renew(
        self,
        held: Held,
        renewal: int,
        lease_ms: int,
        remaining_ms: int,
        now_s: float,
    ) -> Merge:
        """Merges a renewal of the same epoch and content."""
        record = dataclasses.replace(
            held.record,
            state=upstreams.UpstreamState.ANNOUNCED,
            renewal=renewal,
            lease_ms=lease_ms,
        )
        return self.merge(upstreams.Copy(record, remaining_ms), now_s)

    def copy(self, held: Held, now_s: float) -> upstreams.Copy:
        """Returns a record with the remaining time to pass on."""
        remaining_ms = int((held.deadline_s - now_s) * _MS_PER_S)
        if held.record.state is upstreams.UpstreamState.LEAVING:
            return upstreams.Copy(held.record, max(remaining_ms, 1))
        if not held.live:
            return upstreams.Copy(held.record, min(-remaining_ms, -1))
        if held.record.availability_zone != self._own_zone:
            remaining_ms = max(remaining_ms, _CONFIRMED_MS)
        return upstreams.Copy(held.record, max(remaining_ms, 1))

    def page(
        self,
        zone: ids.AvailabilityZone,
        buckets: Collection[int],
        after: ids.UpstreamId,
        limit: int,
        now_s: float,
    ) -> tuple[upstreams.Copy, ...]:
        """Returns records of some buckets with ids above `after`, sorted."""
        wanted = sorted(
            held.record.upstream_id
            for held in self.of_zone(zone)
            if held.bucket in buckets and held.record.upstream_id > after
        )
        return tuple(
            self.copy(self._by_id[upstream_id], now_s)
            for upstream_id in wanted[:limit]
        )

    def sweep(
        self, now_s: float, confirmed: Collection[ids.AvailabilityZone]
    ) -> list[Held]:
        """Ends leases and forgets old records.

        Args:
            now_s: Current time.
            confirmed: Zones whose own entries confirm their live records, so
                that leases of these zones are not tracked here.

        Returns:
            The records whose lease ended now.
        """
        lapsed = list(self._sweep_due(now_s))
        for name, zone in self._zones.items():
            if name == self._own_zone or name in confirmed or not zone.live:
                continue
            ended = [
                held
                for held in zone.held.values()
                if held.live and held.deadline_s <= now_s
            ]
            for held in ended:
                self._lapse(held, now_s)
            lapsed += ended
        self._bound_gone()
        return lapsed

    def _sweep_due(self, now_s: float) -> Iterator[Held]:
        while self._due and self._due[0][0] <= now_s:
            due_s, upstream_id = heapq.heappop(self._due)
            held = self._by_id.get(upstream_id)
            if held is None or held.due_s != due_s:
                continue
            held.due_s = math.inf
            if held.deadline_s > now_s:
                self._set_deadline(held, held.deadline_s)
            elif held.live:
                self._lapse(held, now_s)
                yield held
            else:
                self._remove(held)

    def _is_tracked(self, held: Held) -> bool:
        return held.record.availability_zone == self._own_zone

    def _bound_gone(self) -> None:
        excess = len(self._by_id) - self._live - _MAX_GONE
        if excess <= 0:
            return
        gone = [held for held in self._by_id.values() if not held.live]
        for held in heapq.nsmallest(
            excess, gone, key=lambda held: held.deadline_s
        ):
            self._remove(held)

    def _merge_same(
        self, held: Held, copy: upstreams.Copy, now_s: float
    ) -> Merge:
        if held.live and not copy.live:
            self._end_live(held)
            self._set_deadline(held, _deadline_s(copy, now_s))
            return Merge.CHANGED
        if held.live == copy.live:
            deadline_s = min(held.deadline_s, _deadline_s(copy, now_s))
            self._set_deadline(held, deadline_s)
        return Merge.UNCHANGED

    def _replace(self, held: Held, copy: upstreams.Copy, now_s: float) -> Merge:
        same_epoch = copy.record.epoch == held.record.epoch
        same_content = copy.record.content == held.record.content
        if held.live and copy.live and same_epoch and same_content:
            held.record = copy.record
            self._set_deadline(held, _deadline_s(copy, now_s))
            return Merge.RENEWED
        was_live, returned_at_s = held.live, held.returned_at_s
        self._remove(held)
        inserted = self._insert(copy, now_s)
        if was_live and same_epoch:
            inserted.returned_at_s = returned_at_s
        return Merge.CHANGED

    def _insert(self, copy: upstreams.Copy, now_s: float) -> Held:
        record = copy.record
        upstream_id = record.upstream_id
        identity = _hash(repr((upstream_id, record.epoch, record.content)))
        bucket = _hash(upstream_id) % BUCKETS
        held = Held(record, 0.0, copy.live, now_s, identity, bucket)
        zone = self._zones.setdefault(record.availability_zone, _Zone())
        zone.held[upstream_id] = held
        self._by_id[upstream_id] = held
        if held.live:
            self._count_live(held, zone, 1)
            self._services.setdefault(record.service, {})[upstream_id] = held
        self._set_deadline(held, _deadline_s(copy, now_s))
        return held

    def _set_deadline(self, held: Held, deadline_s: float) -> None:
        held.deadline_s = deadline_s
        if held.live and not self._is_tracked(held):
            held.due_s = math.inf
        elif deadline_s < held.due_s:
            held.due_s = deadline_s
            heapq.heappush(self._due, (deadline_s, held.record.upstream_id))

    def _remove(self, held: Held) -> None:
        self._end_live(held)
        del self._by_id[held.record.upstream_id]
        zone = self._zones[held.record.availability_zone]
        del zone.held[held.record.upstream_id]

    def _lapse(self, held: Held, now_s: float) -> None:
        self._end_live(held)
        self._set_deadline(held, now_s + self._keep_gone_s)

    def _end_live(self, held: Held) -> None:
        if not held.live:
            return
        zone = self._zones[held.record.availability_zone]
        held.live = False
        self._count_live(held, zone, -1)
        del self._services[held.record.service][held.record.upstream_id]

    def _count_live(self, held: Held, zone: _Zone, change: int) -> None:
        self._live += change
        zone.live += change
        zone.buckets[held.bucket] ^= held.identity
        self.touch(held.record.service)


def _compare_older(record: upstreams.UpstreamRecord, held: Held) -> Merge:
    """Tells a copy that must be corrected from a renewal that came late."""
    mine = (
        held.record.epoch,
        held.record.state is upstreams.UpstreamState.LEAVING,
    )
    theirs = (record.epoch, record.state is upstreams.UpstreamState.LEAVING)
    return Merge.OUTDATED if theirs < mine else Merge.UNCHANGED


def _deadline_s(copy: upstreams.Copy, now_s: float) -> float:
    return now_s + abs(copy.remaining_ms) / _MS_PER_S


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
