"""Heartbeats between entries: liveness, digests and requests in flight."""

from collections.abc import Callable, Iterable
import math

import loguru

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.membership import candidates
from tarragoncleat.membership import in_flight
from tarragoncleat.membership import liveness
from tarragoncleat.membership import membership_messages as messages
from tarragoncleat.membership import peering
from tarragoncleat.membership import registry as registry_module
from tarragoncleat.membership import registry_exchange

__all__ = ["Heartbeats", "ProgressSource"]

ProgressSource = Callable[[], tuple[int, int]]

_MS_PER_S = 1000
# Changed counts in one heartbeat to entries of the own zone.
_MAX_PEER_CHANGES = 64
# Changed counts in the heartbeats of a relay to all other zones together.
_MAX_ZONE_CHANGES = 64
# All counts are sent again after this many heartbeats, since a change may have
# been lost.
_RESEND_HEARTBEATS = 50
# With more zones than this, relays send to other zones at every second
# heartbeat. Even if a relay freezes, the time between two contacts with its
# zone then stays below the freshness limit of 7.5 heartbeats: 2 before the
# failure, 3 until another entry becomes the relay, and 2 until its heartbeat
# is passed on.
_ZONES_AT_EVERY_HEARTBEAT = 8


class Heartbeats:
    """Sends this entry's heartbeats and handles those of other entries."""

    def __init__(
        self,
        exchange: registry_exchange.RegistryExchange,
        links: peering.PeerLinks,
        timer: timer_module.TimerService,
        registry: registry_module.Registry,
        tracker: liveness.LivenessTracker,
        candidate_table: candidates.CandidateTable,
        progress: ProgressSource,
    ) -> None:
        """Subscribes to heartbeats; `run` handles them, `send` sends them."""
        self._exchange = exchange
        self._links = links
        self._timer = timer
        self._registry = registry
        self._liveness = tracker
        self._candidate_table = candidate_table
        self._progress = progress
        self._own_counts = in_flight.OutgoingCounts()
        self._zone_counts = in_flight.OutgoingCounts()
        self._counts_by_peer = in_flight.ReportedCounts()
        self._counts_by_zone = in_flight.ReportedCounts()
        self._receivers: frozenset[ids.EntryId] = frozenset()
        self._last_beat_by_entry: dict[ids.EntryId, int] = {}
        self._relay_by_zone: dict[ids.AvailabilityZone, ids.EntryId] = {}
        self._beat_count = 0
        self._was_relay = False
        self._progress_by_entry: dict[ids.EntryId, tuple[int, int, float]] = {}
        self._received = links.subscribe(messages.Heartbeat, messages.ZoneLoad)

    async def run(self) -> None:
        """Handles received heartbeats until cancelled."""
        with self._received:
            async for received in self._received:
                if isinstance(received.message, messages.Heartbeat):
                    self._on_heartbeat(received)
                else:
                    self._on_zone_load(received.message)

    def set_in_flight(self, upstream_id: ids.UpstreamId, count: int) -> None:
        """Sets this entry's requests in flight on an upstream."""
        key = in_flight.hash_upstream_id(upstream_id)
        self._own_counts.set(key, count)
        self._update_zone_counts((key,))

    def in_flight_elsewhere(self, upstream_id: ids.UpstreamId) -> int:
        """Returns the requests in flight that other entries reported."""
        key = in_flight.hash_upstream_id(upstream_id)
        return self._counts_by_peer.total(key) + self._counts_by_zone.total(key)

    def entry_progress(self) -> dict[ids.EntryId, tuple[int, int, float]]:
        """Applied index, configuration revision and age by entry in contact."""
        now_s = self._timer.monotonic_s()
        return {
            entry_id: (applied, revision, now_s - contact_s)
            for entry_id, (
                applied,
                revision,
                contact_s,
            ) in self._progress_by_entry.items()
        }

    def send(self, now_s: float) -> None:
        """Sends a heartbeat to the own zone and, as its relay, to others."""
        to_other_zones = self._sends_to_other_zones(now_s)
        receivers = self._links.connected()
        if (
            self._beat_count % _RESEND_HEARTBEATS == 0
            or receivers - self._receivers
        ):
            self._own_counts.resend_all()
            self._zone_counts.resend_all()
        self._receivers = receivers
        self._beat_count += 1
        reports = self._build_zone_reports(now_s) if to_other_zones else {}
        counts = self._own_counts.next_changes(_MAX_PEER_CHANGES)
        self._links.multicast(
            self._exchange.connected_zone_peers(),
            self._build_heartbeat(now_s, counts, reports),
        )
        if to_other_zones:
            zones = max(1, len(self._liveness.other_zones()))
            counts = self._zone_counts.next_changes(_MAX_ZONE_CHANGES // zones)
            self._exchange.send_to_other_zones(
                self._build_heartbeat(now_s, counts, {})
            )
        self._remove_stale_counts(now_s)

    def _sends_to_other_zones(self, now_s: float) -> bool:
        was_relay, self._was_relay = (
            self._was_relay,
            self._liveness.is_relay(now_s),
        )
        if not self._was_relay:
            return False
        has_few_zones = (
            len(self._liveness.other_zones()) <= _ZONES_AT_EVERY_HEARTBEAT
        )
        return has_few_zones or not was_relay or self._beat_count % 2 == 0

    def _build_heartbeat(
        self,
        now_s: float,
        counts: dict[int, int],
        zones: dict[ids.AvailabilityZone, messages.ZoneReport],
    ) -> messages.Heartbeat:
        applied_index, configuration_revision = self._progress()
        return messages.Heartbeat(
            digest=self._registry.digest(self._liveness.own_zone),
            live_entries=self._liveness.own_zone_live_entries(now_s),
            beat=self._beat_count,
            in_flight=counts,
            applied_index=applied_index,
            configuration_revision=configuration_revision,
            zones=zones,
        )

    def _build_zone_reports(
        self, now_s: float
    ) -> dict[ids.AvailabilityZone, messages.ZoneReport]:
        """Returns the reports of the other zones in contact with this relay."""
        reports = {}
        for zone in self._liveness.other_zones():
            contact_age_s = now_s - self._liveness.last_contact_s(zone)
            if contact_age_s > self._liveness.freshness_s:
                continue
            confirmed_age_s = min(
                now_s - self._liveness.last_confirmation_s(zone),
                2 * self._liveness.confirmation_timeout_s,
            )
            reports[zone] = messages.ZoneReport(
                contact_age_ms=math.ceil(contact_age_s * _MS_PER_S),
                confirmed_age_ms=math.ceil(confirmed_age_s * _MS_PER_S),
                digest=self._registry.digest(zone),
                live_entries=self._liveness.zone_live_entries(zone),
            )
        return reports

    def _remove_stale_counts(self, now_s: float) -> None:
        """Drops the in-flight counts of entries and zones without contact."""
        for peer_id in map(ids.EntryId, self._counts_by_peer.sources()):
            if not self._liveness.is_live(peer_id, now_s):
                self._remove_peer_counts(peer_id)
        for zone in map(ids.AvailabilityZone, self._counts_by_zone.sources()):
            if self._liveness.usable_until_s(zone) <= now_s:
                self._counts_by_zone.remove_source(zone)

    def _remove_peer_counts(self, peer_id: ids.EntryId) -> None:
        self._update_zone_counts(self._counts_by_peer.remove_source(peer_id))

    def _update_zone_counts(self, keys: Iterable[int]) -> None:
        """Updates the counts of the own zone, which its relay reports."""
        for key in keys:
            self._zone_counts.set(
                key, self._own_counts.get(key) + self._counts_by_peer.total(key)
            )

    def _on_heartbeat(self, received: peering.Received) -> None:
        message: messages.Heartbeat = received.message
        sender, now_s = received.sender, self._timer.monotonic_s()
        zone = self._liveness.zone_of(sender)
        self._record_zone_contact(zone, now_s, now_s)
        self._liveness.record_entry_contact(sender, now_s)
        self._progress_by_entry[sender] = (
            message.applied_index,
            message.configuration_revision,
            now_s,
        )
        self._exchange.compare_digest(
            sender, zone, message.digest, now_s, now_s
        )
        if zone == self._liveness.own_zone:
            self._handle_peer_heartbeat(sender, message, now_s)
            return
        self._liveness.set_zone_live_entries(zone, message.live_entries)
        restart = self._has_restarted(sender, message.beat)
        restart |= self._relay_by_zone.get(zone) != sender
        self._relay_by_zone[zone] = sender
        load = messages.ZoneLoad(zone, restart, message.in_flight)
        self._on_zone_load(load)
        if restart or message.in_flight:
            self._links.multicast(self._exchange.connected_zone_peers(), load)

    def _has_restarted(self, sender: ids.EntryId, beat: int) -> bool:
        last = self._last_beat_by_entry.get(sender, -1)
        self._last_beat_by_entry[sender] = beat
        return beat <= last

    def _handle_peer_heartbeat(
        self, sender: ids.EntryId, message: messages.Heartbeat, now_s: float
    ) -> None:
        if self._has_restarted(sender, message.beat):
            self._remove_peer_counts(sender)
        self._counts_by_peer.update(sender, message.in_flight)
        self._update_zone_counts(message.in_flight)
        for zone, report in message.zones.items():
            if zone == self._liveness.own_zone:
                continue
            contact_s = now_s - report.contact_age_ms / _MS_PER_S
            confirmed_s = now_s - report.confirmed_age_ms / _MS_PER_S
            self._record_zone_contact(zone, contact_s, now_s)
            self._liveness.set_zone_live_entries(zone, report.live_entries)
            self._exchange.compare_digest(
                sender, zone, report.digest, confirmed_s, now_s
            )

    def _record_zone_contact(
        self, zone: ids.AvailabilityZone, contact_s: float, now_s: float
    ) -> None:
        if zone == self._liveness.own_zone:
            return
        was_usable = self._liveness.usable_until_s(zone) > now_s
        self._liveness.record_zone_contact(zone, contact_s)
        if not was_usable and self._liveness.usable_until_s(zone) > now_s:
            loguru.logger.info("availability zone {} is reachable", zone)
            self._candidate_table.invalidate()

    def _on_zone_load(self, message: messages.ZoneLoad) -> None:
        zone = message.availability_zone
        if zone == self._liveness.own_zone:
            return
        if message.restart:
            self._counts_by_zone.remove_source(zone)
        self._counts_by_zone.update(zone, message.in_flight)
