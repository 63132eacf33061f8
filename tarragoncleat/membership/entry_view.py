"""Which entries and availability zones are alive, as seen by one entry."""

from collections.abc import Collection, Mapping
import math

from tarragoncleat.kernel import ids

__all__ = ["EntryView"]

# An entry that missed this many heartbeats is no longer taken for the relay
# of its zone.
_RELAY_HEARTBEATS = 3
# Leaves and ended leases are passed on as records, so a zone's confirmation may
# be missed for a while, as when its digest changes at every heartbeat. A zone
# that can't be reached is not used anyway.
_CONFIRMATION_FRESHNESS = 5


class EntryView:
    """Last signs of life of entries and zones; times are arguments.

    The relay of a zone is its lowest live entry id. Only relays exchange
    heartbeats and records with other zones; two relays at a time, while
    entries see each other differently, cost traffic and nothing else.
    """

    def __init__(
        self,
        own_id: ids.EntryId,
        zone_by_entry: Mapping[ids.EntryId, ids.AvailabilityZone],
        heartbeat_s: float,
        freshness_s: float,
    ) -> None:
        """Creates a view in which no entry had contact yet."""
        self._own_id = own_id
        self._zone_by_entry = dict(zone_by_entry)
        self._own_zone = zone_by_entry[own_id]
        self._relay_s = _RELAY_HEARTBEATS * heartbeat_s
        self._freshness_s = freshness_s
        self._entries: dict[ids.EntryId, float] = {}
        self._zones: dict[ids.AvailabilityZone, float] = {}
        self._confirmed: dict[ids.AvailabilityZone, float] = {}
        self._zone_live: dict[ids.AvailabilityZone, int] = {}
        self._mates = tuple(
            sorted(
                entry_id
                for entry_id, zone in zone_by_entry.items()
                if zone == self._own_zone and entry_id != own_id
            )
        )

    @property
    def own_id(self) -> ids.EntryId:
        """This entry."""
        return self._own_id

    @property
    def own_zone(self) -> ids.AvailabilityZone:
        """The zone of this entry."""
        return self._own_zone

    @property
    def freshness_s(self) -> float:
        """How long a zone counts as alive after it was last in contact."""
        return self._freshness_s

    @property
    def confirmation_s(self) -> float:
        """How long records of a zone live on after it confirmed them."""
        return _CONFIRMATION_FRESHNESS * self._freshness_s

    @property
    def mates(self) -> tuple[ids.EntryId, ...]:
        """The other entries of the own zone."""
        return self._mates

    def zone_of(self, entry_id: ids.EntryId) -> ids.AvailabilityZone:
        """Returns the zone of an entry."""
        return self._zone_by_entry[entry_id]

    def other_zones(self) -> Collection[ids.AvailabilityZone]:
        """Other zones that were in contact, directly or through a relay."""
        return self._zones.keys()

    def note_entry_contact(self, entry_id: ids.EntryId, now_s: float) -> None:
        """Records a heartbeat of an entry."""
        self._entries[entry_id] = now_s
        zone = self._zone_by_entry[entry_id]
        if zone != self._own_zone:
            self.note_zone_contact(zone, now_s)

    def note_zone_contact(
        self, zone: ids.AvailabilityZone, contact_s: float
    ) -> None:
        """Records that some entry had contact with a zone at the given time."""
        self._zones[zone] = max(self._zones.get(zone, -math.inf), contact_s)

    def set_zone_live(self, zone: ids.AvailabilityZone, count: int) -> None:
        """Records how many entries of another zone are live."""
        self._zone_live[zone] = count

    def confirm(self, zone: ids.AvailabilityZone, at_s: float) -> None:
        """Records that a zone confirmed the records held of it."""
        self._confirmed[zone] = max(self._confirmed.get(zone, -math.inf), at_s)

    def zone_live(self, zone: ids.AvailabilityZone) -> int:
        """Returns how many entries of another zone are live."""
        return self._zone_live.get(zone, 1)

    def is_live(self, entry_id: ids.EntryId, now_s: float) -> bool:
        """Whether an entry itself had contact within the freshness limit."""
        contact_s = self._entries.get(entry_id, -math.inf)
        return now_s - contact_s <= self._freshness_s

    def contact_s(self, zone: ids.AvailabilityZone) -> float:
        """When a zone was last in contact."""
        return self._zones.get(zone, -math.inf)

    def confirmed_s(self, zone: ids.AvailabilityZone) -> float:
        """When a zone last confirmed the records held of it."""
        return self._confirmed.get(zone, -math.inf)

    def confirmed_zones(self, now_s: float) -> frozenset[ids.AvailabilityZone]:
        """Zones that confirmed the records held of them recently."""
        limit_s = now_s - self.confirmation_s
        return frozenset(
            zone for zone, at_s in self._confirmed.items() if at_s >= limit_s
        )

    def usable_until_s(self, zone: ids.AvailabilityZone) -> float:
        """Until when the upstreams of a zone may be used."""
        if zone == self._own_zone:
            return math.inf
        return self.contact_s(zone) + self._freshness_s

    def is_relay(self, now_s: float) -> bool:
        """Whether this entry speaks for its zone."""
        return not any(
            mate < self._own_id and self._is_recent(mate, now_s)
            for mate in self._mates
        )

    def relay_targets(
        self, connected: Collection[ids.EntryId], now_s: float
    ) -> dict[ids.AvailabilityZone, ids.EntryId]:
        """Returns the entry of each other zone to send to.

        That is the one that spoke to this entry last: when a relay freezes,
        the entry that takes over is the first to show it. Without a recent
        heartbeat it is the lowest connected id.
        """
        targets: dict[ids.AvailabilityZone, ids.EntryId] = {}
        ranks: dict[ids.AvailabilityZone, float] = {}
        for entry_id in sorted(connected):
            zone = self._zone_by_entry[entry_id]
            if zone == self._own_zone:
                continue
            recent = self._is_recent(entry_id, now_s)
            rank = self._entries[entry_id] if recent else -math.inf
            if zone not in targets or rank > ranks[zone]:
                targets[zone], ranks[zone] = entry_id, rank
        return targets

    def own_zone_live(self, now_s: float) -> int:
        """Live entries of the own zone, this one included."""
        return 1 + sum(self.is_live(mate, now_s) for mate in self._mates)

    def live_entries(self, now_s: float) -> int:
        """Live entries of all zones that can be reached."""
        limit_s = now_s - self._freshness_s
        return self.own_zone_live(now_s) + sum(
            self._zone_live.get(zone, 1)
            for zone, contact_s in self._zones.items()
            if contact_s >= limit_s
        )

    def _is_recent(self, entry_id: ids.EntryId, now_s: float) -> bool:
        contact_s = self._entries.get(entry_id, -math.inf)
        return now_s - contact_s <= self._relay_s
