"""Heartbeats between entries: liveness, digests and requests in flight."""

from collections.abc import Callable, Iterable
import math

import loguru

from tarragoncleat import candidates
from tarragoncleat import entry_view
from tarragoncleat import ids
from tarragoncleat import in_flight
from tarragoncleat import membership_messages as messages
from tarragoncleat import peering
from tarragoncleat import registry as registry_module
from tarragoncleat import registry_exchange
from tarragoncleat import timer as timer_module

__all__ = ["Heartbeats", "Progress"]

Progress = Callable[[], tuple[int, int]]

_MS_PER_S = 1000
_MAX_IN_FLIGHT_CHANGES = 128
# A lost change of an in-flight count is repaired after this many heartbeats.
_FULL_IN_FLIGHT_HEARTBEATS = 50


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
        self._own = in_flight.OwnCounts(_MAX_IN_FLIGHT_CHANGES)
        self._whole_zone = in_flight.OwnCounts(_MAX_IN_FLIGHT_CHANGES)
        self._reported = in_flight.ReportedCounts()
        self._beats = 0
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
        self._own.set(upstream_id, count)
        self._update_whole_zone((upstream_id,))

    def in_flight_elsewhere(self, upstream_id: ids.UpstreamId) -> int:
        """Requests in flight on an upstream as other entries reported."""
        return self._reported.sum(upstream_id)

    def entry_progress(self) -> dict[ids.EntryId, tuple[int, int, float]]:
        """Applied index, configuration revision and age by entry heard."""
        now_s = self._timer.monotonic_s()
        return {
            entry_id: (applied, revision, now_s - heard_s)
            for entry_id, (
                applied,
                revision,
                heard_s,
            ) in self._progress_by_entry.items()
        }

    def beat(self, now_s: float) -> None:
        """Sends one heartbeat to each receiver."""
        full = self._beats % _FULL_IN_FLIGHT_HEARTBEATS == 0
        self._beats += 1
        reports = self._zone_reports(now_s)
        self._links.multicast(
            self._exchange.connected_mates(),
            self._heartbeat(now_s, full, self._own, reports),
        )
        if self._view.is_relay(now_s):
            self._exchange.send_to_other_zones(
                self._heartbeat(now_s, full, self._whole_zone, {})
            )
        self._forget_silent(now_s)

    def _heartbeat(
        self,
        now_s: float,
        full: bool,
        counts: in_flight.OwnCounts,
        zones: dict[ids.AvailabilityZone, messages.ZoneReport],
    ) -> messages.Heartbeat:
        applied_index, configuration_revision = self._progress()
        return messages.Heartbeat(
            entry_id=self._view.own_id,
            digest=self._registry.digest(self._view.own_zone),
            live_entries=self._view.own_zone_live(now_s),
            full=full,
            in_flight=counts.all() if full else counts.changes(),
            applied_index=applied_index,
            configuration_revision=configuration_revision,
            zones=zones,
        )

    def _zone_reports(
        self, now_s: float
    ) -> dict[ids.AvailabilityZone, messages.ZoneReport]:
        """Describes the other zones that a relay hears from itself."""
        if not self._view.is_relay(now_s):
            return {}
        reports = {}
        for zone in self._view.other_zones():
            heard_age_s = now_s - self._view.heard_s(zone)
            if heard_age_s > self._view.freshness_s:
                continue
            vouched_age_s = min(
                now_s - self._view.vouched_s(zone), 2 * self._view.freshness_s
            )
            reports[zone] = messages.ZoneReport(
                heard_age_ms=math.ceil(heard_age_s * _MS_PER_S),
                vouched_age_ms=math.ceil(vouched_age_s * _MS_PER_S),
                digest=self._registry.digest(zone),
                live_entries=self._view.zone_live(zone),
            )
        return reports

    def _forget_silent(self, now_s: float) -> None:
        """Drops the in-flight reports of entries and zones that went away."""
        for source in self._reported.sources():
            if source in self._view.mates:
                gone = not self._view.is_live(ids.EntryId(source), now_s)
            else:
                zone = ids.AvailabilityZone(source)
                gone = self._view.usable_until_s(zone) <= now_s
            if gone:
                self._update_whole_zone(self._reported.forget(source))

    def _update_whole_zone(
        self, upstream_ids: Iterable[ids.UpstreamId]
    ) -> None:
        """Keeps the counts of the whole zone, which a relay reports."""
        for upstream_id in upstream_ids:
            count = self._own.get(upstream_id) + sum(
                self._reported.of(mate, upstream_id)
                for mate in self._view.mates
            )
            self._whole_zone.set(upstream_id, count)

    def _on_heartbeat(self, received: peering.Received) -> None:
        message: messages.Heartbeat = received.message
        sender, now_s = received.sender, self._timer.monotonic_s()
        zone = self._view.zone_of(sender)
        self._hear_zone(zone, now_s, now_s)
        self._view.hear_entry(sender, now_s)
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
        self._reported.update(zone, message.full, message.in_flight)
        if message.in_flight or message.full:
            self._links.multicast(
                self._exchange.connected_mates(),
                messages.ZoneLoad(zone, message.full, message.in_flight),
            )

    def _take_mate_report(
        self, sender: ids.EntryId, message: messages.Heartbeat, now_s: float
    ) -> None:
        changed = self._reported.update(sender, message.full, message.in_flight)
        self._update_whole_zone(changed)
        for zone, report in message.zones.items():
            if zone == self._view.own_zone:
                continue
            heard_s = now_s - report.heard_age_ms / _MS_PER_S
            vouched_s = now_s - report.vouched_age_ms / _MS_PER_S
            self._hear_zone(zone, heard_s, now_s)
            self._view.set_zone_live(zone, report.live_entries)
            self._exchange.compare(
                sender, zone, report.digest, vouched_s, now_s
            )

    def _hear_zone(
        self, zone: ids.AvailabilityZone, heard_s: float, now_s: float
    ) -> None:
        if zone == self._view.own_zone:
            return
        was_usable = self._view.usable_until_s(zone) > now_s
        self._view.hear_zone(zone, heard_s)
        if not was_usable and self._view.usable_until_s(zone) > now_s:
            loguru.logger.info("availability zone {} can be heard", zone)
            self._table.clear()

    def _on_zone_load(self, message: messages.ZoneLoad) -> None:
        if message.availability_zone != self._view.own_zone:
            self._reported.update(
                message.availability_zone, message.full, message.in_flight
            )
