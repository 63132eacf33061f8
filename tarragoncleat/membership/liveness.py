"""Liveness of entries and availability zones, as one entry observes it."""

from collections.abc import Collection, Mapping
import math

from tarragoncleat.kernel import ids

__all__ = ["LivenessTracker"]

# An entry that missed this many heartbeats no longer counts as the relay of
# its zone.
_RELAY_TIMEOUT_HEARTBEATS = 3
# Multiple of the freshness limit. A confirmation may be missing for a while, as
# when a zone's digest changes at every heartbeat; leaves and expired leases are
# still sent as records, and a zone that can't be reached is not used anyway.
_CONFIRMATION_FACTOR = 5


class LivenessTracker:
    """Times of the last contact with entries and zones; times are arguments.

    The relay of a zone is its live entry with the lowest id. Only relays
    exchange heartbeats and records with other zones. While entries disagree
    about liveness, a zone may have two relays, which only costs traffic.
    """

    def __init__(
        self,
        own_id: ids.EntryId,
        zone_by_entry: Mapping[ids.EntryId, ids.AvailabilityZone],
        heartbeat_s: float,
        freshness_s: float,
    ) -> None:
        """Creates a tracker without any contact."""
        self._own_id = own_id
        self._zone_by_entry = dict(zone_by_entry)
        self._own_zone = zone_by_entry[own_id]
        self._relay_timeout_s = _RELAY_TIMEOUT_HEARTBEATS * heartbeat_s
        self._freshness_s = freshness_s
        self._contact_by_entry: dict[ids.EntryId, float] = {}
        self._contact_by_zone: dict[ids.AvailabilityZone, float] = {}
        self._confirmation_by_zone: dict[ids.AvailabilityZone, float] = {}
        self._live_entries_by_zone: dict[ids.AvailabilityZone, int] = {}
        self._zone_peers = tuple(
            sorted(
                entry_id
                for entry_id, zone in zone_by_entry.items()
                if zone == self._own_zone and entry_id != own_id
            )
        )

    @property
    def own_id(self) -> ids.EntryId:
        """Id of this entry."""
        return self._own_id

    @property
    def own_zone(self) -> ids.AvailabilityZone:
        """The zone of this entry."""
        return self._own_zone

    @property
    def freshness_s(self) -> float:
        """How long a zone counts as live after the last contact."""
        return self._freshness_s

    @property
    def confirmation_timeout_s(self) -> float:
        """How long a zone's confirmation keeps its records live."""
        return _CONFIRMATION_FACTOR * self._freshness_s

    @property
    def zone_peers(self) -> tuple[ids.EntryId, ...]:
        """The other entries of the own zone."""
        return self._zone_peers

    def zone_of(self, entry_id: ids.EntryId) -> ids.AvailabilityZone:
        """Returns the zone of an entry."""
        return self._zone_by_entry[entry_id]

    def other_zones(self) -> Collection[ids.AvailabilityZone]:
        """Other zones with a recorded contact, direct or through a relay."""
        return self._contact_by_zone.keys()

    def record_entry_contact(self, entry_id: ids.EntryId, now_s: float) -> None:
        """Records a heartbeat of an entry."""
        self._contact_by_entry[entry_id] = now_s
        zone = self._zone_by_entry[entry_id]
        if zone != self._own_zone:
            self.record_zone_contact(zone, now_s)

    def record_zone_contact(
        self, zone: ids.AvailabilityZone, contact_s: float
    ) -> None:
        """Records that some entry had contact with a zone at `contact_s`."""
        self._contact_by_zone[zone] = max(
            self._contact_by_zone.get(zone, -math.inf), contact_s
        )

    def set_zone_live_entries(
        self, zone: ids.AvailabilityZone, count: int
    ) -> None:
        """Records how many entries of another zone are live."""
        self._live_entries_by_zone[zone] = count

    def record_confirmation(
        self, zone: ids.AvailabilityZone, at_s: float
    ) -> None:
        """Records that a zone confirmed this entry's records of it."""
        self._confirmation_by_zone[zone] = max(
            self._confirmation_by_zone.get(zone, -math.inf), at_s
        )

    def zone_live_entries(self, zone: ids.AvailabilityZone) -> int:
        """Returns how many entries of another zone are live."""
        return self._live_entries_by_zone.get(zone, 1)

    def is_live(self, entry_id: ids.EntryId, now_s: float) -> bool:
        """Whether an entry sent a heartbeat within the freshness limit."""
        contact_s = self._contact_by_entry.get(entry_id, -math.inf)
        return now_s - contact_s <= self._freshness_s

    def last_contact_s(self, zone: ids.AvailabilityZone) -> float:
        """Time of the last contact with a zone."""
        return self._contact_by_zone.get(zone, -math.inf)

    def last_confirmation_s(self, zone: ids.AvailabilityZone) -> float:
        """Time at which a zone last confirmed this entry's records of it."""
        return self._confirmation_by_zone.get(zone, -math.inf)

    def confirmed_zones(self, now_s: float) -> frozenset[ids.AvailabilityZone]:
        """Zones whose last confirmation is recent enough."""
        limit_s = now_s - self.confirmation_timeout_s
        return frozenset(
            zone
            for zone, at_s in self._confirmation_by_zone.items()
            if at_s >= limit_s
        )

    def usable_until_s(self, zone: ids.AvailabilityZone) -> float:
        """Time until which the upstreams of a zone may be used."""
        if zone == self._own_zone:
            return math.inf
        return self.last_contact_s(zone) + self._freshness_s

    def is_relay(self, now_s: float) -> bool:
        """Whether this entry is the relay of its zone."""
        return not any(
            peer_id < self._own_id and self._is_recent(peer_id, now_s)
            for peer_id in self._zone_peers
        )

    def relay_targets(
        self, connected: Collection[ids.EntryId], now_s: float
    ) -> dict[ids.AvailabilityZone, ids.EntryId]:
        """Returns the entry of each other zone to send to.

        That is the sender of the zone's last heartbeat: when a relay freezes,
        the heartbeats of its successor show this first. Without a recent
        heartbeat it is the connected entry with the lowest id.
        """
        targets: dict[ids.AvailabilityZone, ids.EntryId] = {}
        ranks: dict[ids.AvailabilityZone, float] = {}
        for entry_id in sorted(connected):
            zone = self._zone_by_entry[entry_id]
            if zone == self._own_zone:
                continue
            recent = self._is_recent(entry_id, now_s)
            rank = self._contact_by_entry[entry_id] if recent else -math.inf
            if zone not in targets or rank > ranks[zone]:
                targets[zone], ranks[zone] = entry_id, rank
        return targets

    def own_zone_live_entries(self, now_s: float) -> int:
        """Number of live entries of the own zone, this one included."""
        return 1 + sum(
            self.is_live(peer_id, now_s) for peer_id in self._zone_peers
        )

    def live_entries(self, now_s: float) -> int:
        """Number of live entries of all reachable zones."""
        limit_s = now_s - self._freshness_s
        return self.own_zone_live_entries(now_s) + sum(
            self._live_entries_by_zone.get(zone, 1)
            for zone, contact_s in self._contact_by_zone.items()
            if contact_s >= limit_s
        )

    def _is_recent(self, entry_id: ids.EntryId, now_s: float) -> bool:
        contact_s = self._contact_by_entry.get(entry_id, -math.inf)
        return now_s - contact_s <= self._relay_timeout_s
