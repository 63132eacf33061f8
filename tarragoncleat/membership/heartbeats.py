"""Heartbeats between entries: liveness, digests and requests in flight."""

from collections.abc import Callable, Iterable
import math

import loguru

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.membership import candidates
from tarragoncleat.membership import entry_view
from tarragoncleat.membership import in_flight
from tarragoncleat.membership import membership_messages as messages
from tarragoncleat.membership import peering
from tarragoncleat.membership import registry as registry_module
from tarragoncleat.membership import registry_exchange

__all__ = ["Heartbeats", "Progress"]

Progress = Callable[[], tuple[int, int]]

_MS_PER_S = 1000
# Changed counts in one heartbeat, in all heartbeats of a relay to other zones
# together, and after how many heartbeats all counts are sent again because a
# change may have been lost.
_MATE_IN_FLIGHT = 64
_ZONES_IN_FLIGHT = 64
_REPEAT_HEARTBEATS = 50
# With more zones than this, relays speak to other zones at every second
# heartbeat. Even when a relay freezes, the time between two signs of life of
# its zone then stays below the freshness limit: 2 heartbeats before, 3 until
# another entry takes over, 2 until it is passed on, of 7.5.
_ZONES_AT_EVERY_HEARTBEAT = 8


class Heartbeats:
    """Sends the heartbeats of one entry and takes those of others."""

    def __init__(
        self,
        exchange: registry_exchange.RegistryExchange,
        links: peering.PeerLinks,
        timer: timer_module.TimerService,
        registry: registry_module.Registry,
        view: entry_view.EntryView,
        table: candidates.CandidateTable,
        progress: Progress,
    ) -> None:
        """Prepares the heartbeats; `run` sends them."""
        self._exchange = exchange
        self._links = links
        self._timer = timer
        self._registry = registry
        self._view = view
        self._table = table
        self._progress = progress
        self._own = in_flight.OwnCounts()
        self._whole_zone = in_flight.OwnCounts()
        self._by_mate = in_flight.ReportedCounts()
        self._by_zone = in_flight.ReportedCounts()
        self._receivers: frozenset[ids.EntryId] = frozenset()
        self._last_beats: dict[ids.EntryId, int] = {}
        self._speakers: dict[ids.AvailabilityZone, ids.EntryId] = {}
        self._beats = 0
        self._was_relay = False
        self._progress_by_entry: dict[ids.EntryId, tuple[int, int, float]] = {}
        self._received = links.subscribe(messages.Heartbeat, messages.ZoneLoad)

    async def run(self) -> None:
        """Takes heartbeats until cancelled."""
        with self._received:
            async for received in self._received:
                if isinstance(received.message, messages.Heartbeat):
                    self._on_heartbeat(received)
                else:
                    self._on_zone_load(received.message)

    def set_in_flight(self, upstream_id: ids.UpstreamId, count: int) -> None:
        """Sets this entry's requests in flight on an upstream."""
        key = in_flight.handle(upstream_id)
        self._own.set(key, count)
        self._update_whole_zone((key,))

    def in_flight_elsewhere(self, upstream_id: ids.UpstreamId) -> int:
        """Requests in flight on an upstream as other entries reported."""
        key = in_flight.handle(upstream_id)
        return self._by_mate.sum(key) + self._by_zone.sum(key)

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

    def beat(self, now_s: float) -> None:
        """Sends one heartbeat to each receiver."""
        to_zones = self._speaks_to_zones(now_s)
        receivers = self._links.connected()
        if self._beats % _REPEAT_HEARTBEATS == 0 or receivers - self._receivers:
            self._own.repeat_all()
            self._whole_zone.repeat_all()
        self._receivers = receivers
        self._beats += 1
        reports = self._zone_reports(now_s) if to_zones else {}
        counts = self._own.take(_MATE_IN_FLIGHT)
        self._links.multicast(
            self._exchange.connected_mates(),
            self._heartbeat(now_s, counts, reports),
        )
        if to_zones:
            zones = max(1, len(self._view.other_zones()))
            counts = self._whole_zone.take(_ZONES_IN_FLIGHT // zones)
            self._exchange.send_to_other_zones(
                self._heartbeat(now_s, counts, {})
            )
        self._forget_silent(now_s)

    def _speaks_to_zones(self, now_s: float) -> bool:
        was_relay, self._was_relay = self._was_relay, self._view.is_relay(now_s)
        if not self._was_relay:
            return False
        few = len(self._view.other_zones()) <= _ZONES_AT_EVERY_HEARTBEAT
        return few or not was_relay or self._beats % 2 == 0

    def _heartbeat(
        self,
        now_s: float,
        counts: dict[int, int],
        zones: dict[ids.AvailabilityZone, messages.ZoneReport],
    ) -> messages.Heartbeat:
        applied_index, configuration_revision = self._progress()
        return messages.Heartbeat(
            digest=self._registry.digest(self._view.own_zone),
            live_entries=self._view.own_zone_live(now_s),
            beat=self._beats,
            in_flight=counts,
            applied_index=applied_index,
            configuration_revision=configuration_revision,
            zones=zones,
        )

    def _zone_reports(
        self, now_s: float
    ) -> dict[ids.AvailabilityZone, messages.ZoneReport]:
        """Describes the other zones that a relay has contact with itself."""
        reports = {}
        for zone in self._view.other_zones():
            contact_age_s = now_s - self._view.contact_s(zone)
            if contact_age_s > self._view.freshness_s:
                continue
            confirmed_age_s = min(
                now_s - self._view.confirmed_s(zone),
                2 * self._view.confirmation_s,
            )
            reports[zone] = messages.ZoneReport(
                contact_age_ms=math.ceil(contact_age_s * _MS_PER_S),
                confirmed_age_ms=math.ceil(confirmed_age_s * _MS_PER_S),
                digest=self._registry.digest(zone),
                live_entries=self._view.zone_live(zone),
            )
        return reports

    def _forget_silent(self, now_s: float) -> None:
        """Drops the in-flight reports of entries and zones that went away."""
        for mate in map(ids.EntryId, self._by_mate.sources()):
            if not self._view.is_live(mate, now_s):
                self._forget_mate(mate)
        for zone in map(ids.AvailabilityZone, self._by_zone.sources()):
            if self._view.usable_until_s(zone) <= now_s:
                self._by_zone.forget(zone)

    def _forget_mate(self, mate: ids.EntryId) -> None:
        self._update_whole_zone(self._by_mate.forget(mate))

    def _update_whole_zone(self, keys: Iterable[int]) -> None:
        """Keeps the counts of the whole zone, which a relay reports."""
        for key in keys:
            self._whole_zone.set(
                key, self._own.get(key) + self._by_mate.sum(key)
            )

    def _on_heartbeat(self, received: peering.Received) -> None:
        message: messages.Heartbeat = received.message
        sender, now_s = received.sender, self._timer.monotonic_s()
        zone = self._view.zone_of(sender)
        self._note_zone_contact(zone, now_s, now_s)
        self._view.note_entry_contact(sender, now_s)
        self._progress_by_entry[sender] = (
            message.applied_index,
            message.configuration_revision,
            now_s,
        )
        self._exchange.compare(sender, zone, message.digest, now_s, now_s)
        if zone == self._view.own_zone:
            self._take_mate_report(sender, message, now_s)
            return
        self._view.set_zone_live(zone, message.live_entries)
        restart = self._has_restarted(sender, message.beat)
        restart |= self._speakers.get(zone) != sender
        self._speakers[zone] = sender
        load = messages.ZoneLoad(zone, restart, message.in_flight)
        self._on_zone_load(load)
        if restart or message.in_flight:
            self._links.multicast(self._exchange.connected_mates(), load)

    def _has_restarted(self, sender: ids.EntryId, beat: int) -> bool:
        last = self._last_beats.get(sender, -1)
        self._last_beats[sender] = beat
        return beat <= last

    def _take_mate_report(
        self, sender: ids.EntryId, message: messages.Heartbeat, now_s: float
    ) -> None:
        if self._has_restarted(sender, message.beat):
            self._forget_mate(sender)
        self._by_mate.update(sender, message.in_flight)
        self._update_whole_zone(message.in_flight)
        for zone, report in message.zones.items():
            if zone == self._view.own_zone:
                continue
            contact_s = now_s - report.contact_age_ms / _MS_PER_S
            confirmed_s = now_s - report.confirmed_age_ms / _MS_PER_S
            self._note_zone_contact(zone, contact_s, now_s)
            self._view.set_zone_live(zone, report.live_entries)
            self._exchange.compare(
                sender, zone, report.digest, confirmed_s, now_s
            )

    def _note_zone_contact(
        self, zone: ids.AvailabilityZone, contact_s: float, now_s: float
    ) -> None:
        if zone == self._view.own_zone:
            return
        was_usable = self._view.usable_until_s(zone) > now_s
        self._view.note_zone_contact(zone, contact_s)
        if not was_usable and self._view.usable_until_s(zone) > now_s:
            loguru.logger.info("availability zone {} can be reached", zone)
            self._table.clear()

    def _on_zone_load(self, message: messages.ZoneLoad) -> None:
        zone = message.availability_zone
        if zone == self._view.own_zone:
            return
        if message.restart:
            self._by_zone.forget(zone)
        self._by_zone.update(zone, message.in_flight)
