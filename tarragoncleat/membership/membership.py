"""The registry of upstreams, replicated among the entries.

Within an availability zone every entry exchanges heartbeats, changes and
renewals with every other. Between zones only the relay of each zone (its live
entry with the lowest id) does, without renewals: a zone confirms all its live
records by one digest in each heartbeat, and a receiver whose digest differs
pulls the parts that differ. Leave notices are sent to every reachable entry
at once, and every receiver forwards them.
"""

from collections.abc import Sequence
import itertools
import math

import anyio
import loguru

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.membership import candidates as candidates_module
from tarragoncleat.membership import heartbeats
from tarragoncleat.membership import liveness
from tarragoncleat.membership import membership_messages as messages
from tarragoncleat.membership import peering
from tarragoncleat.membership import probes
from tarragoncleat.membership import registry as registry_module
from tarragoncleat.membership import registry_exchange
from tarragoncleat.membership import upstreams

__all__ = ["Announcement", "Candidate", "Membership", "UpstreamRecord"]

Announcement = upstreams.Announcement
Candidate = upstreams.Candidate
UpstreamRecord = upstreams.UpstreamRecord

_MS_PER_S = 1000
# Tombstones of upstreams that left or expired are kept for this many of the
# longest leases: one during which another entry may still have the record as
# live, and one until that entry passes it on.
_TOMBSTONE_LEASES = 2
# An acknowledgement may contain a newer epoch of the leaving upstream; then
# the leave is repeated for that epoch.
_MAX_LEAVE_ATTEMPTS = 3
# Upstreams listed per zone in the state dump, which would be megabytes with
# all 24,000 upstreams.
_DUMPED_UPSTREAMS = 200


class Membership:
    """One entry's registry of upstreams and view of the other entries."""

    def __init__(
        self,
        settings: settings_module.Settings,
        links: peering.PeerLinks,
        timer: timer_module.TimerService,
        progress: heartbeats.ProgressSource = lambda: (0, 0),
    ) -> None:
        """Creates an empty registry; `run` exchanges with other entries.

        Args:
            settings: Settings of the entry.
            links: Links to the other entries.
            timer: Clock and periodic ticks.
            progress: Returns the applied log index and the configuration
                revision in force, for the heartbeats.
        """
        membership_settings = settings.membership
        self._zone = settings.availability_zone
        self._timer = timer
        self._heartbeat_s = membership_settings.heartbeat_ms / _MS_PER_S
        self._leave_timeout_s = (
            membership_settings.leave_ack_timeout_ms / _MS_PER_S
        )
        self._registry = registry_module.Registry(
            self._zone,
            _TOMBSTONE_LEASES * membership_settings.max_lease_ms / _MS_PER_S,
        )
        self._liveness = liveness.LivenessTracker(
            settings.entry_id,
            settings.zone_by_entry,
            self._heartbeat_s,
            membership_settings.zone_freshness_ms / _MS_PER_S,
        )
        self._candidate_table = candidates_module.CandidateTable(
            self._registry, self._liveness
        )
        self._exchange = registry_exchange.RegistryExchange(
            links, timer, self._registry, self._liveness, self._candidate_table
        )
        self._heartbeats = heartbeats.Heartbeats(
            self._exchange,
            links,
            timer,
            self._registry,
            self._liveness,
            self._candidate_table,
            progress,
        )
        self._prober = probes.Prober(
            timer,
            self._registry,
            self._candidate_table,
            membership_settings.probe_interval_ms / _MS_PER_S,
        )

    async def run(self) -> None:
        """Exchanges with other entries and probes suspects until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._exchange.run)
            tasks.start_soon(self._heartbeats.run)
            tasks.start_soon(self._prober.run)
            await self._send_heartbeats()

    def announce(
        self, announcement: Announcement
    ) -> UpstreamRecord | errors.Failure:
        """Announces an upstream of the own zone or renews its lease.

        Returns:
            The record, or a `Failure` of kind OVERLOADED when the registry is
            full.
        """
        now_s = self._timer.monotonic_s()
        previous = self._registry.get(announcement.upstream_id)
        identity = previous.identity if previous and previous.live else None
        missed_renewal = (
            previous is not None
            and self._candidate_table.has_missed_renewal(previous, now_s)
        )
        copy = self._registry.announce(announcement, now_s)
        if isinstance(copy, errors.Failure):
            return copy
        held = self._registry.get(announcement.upstream_id)
        assert held is not None
        if held.identity == identity:
            self._candidate_table.record_renewal(held, missed_renewal)
            self._exchange.queue_renewal(held)
        else:
            self._exchange.propagate([copy], self._liveness.own_id)
        return copy.record

    async def leave(self, upstream_id: ids.UpstreamId) -> None | errors.Failure:
        """Marks an upstream as leaving.

        Returns:
            None after the reachable entries have acknowledged or the timeout
            has passed; a `Failure` of kind NOT_FOUND when no entry of the own
            zone has a record of the upstream.
        """
        if self._registry.get(upstream_id) is None:
            await self._exchange.fetch_record(
                upstream_id, self._leave_timeout_s
            )
        for _ in range(_MAX_LEAVE_ATTEMPTS):
            copy = self._registry.leave(upstream_id, self._timer.monotonic_s())
            if isinstance(copy, errors.Failure):
                return copy
            await self._exchange.notify_leave(copy, self._leave_timeout_s)
            held = self._registry.get(upstream_id)
            if held is None or not held.live:
                break
        return None

    def record(self, upstream_id: ids.UpstreamId) -> UpstreamRecord | None:
        """Returns the record of an upstream, also after it has left."""
        held = self._registry.get(upstream_id)
        return held.record if held else None

    def candidates(self, service: ids.ServiceId) -> Sequence[Candidate]:
        """Returns the upstreams that may receive caller traffic now."""
        return self._candidate_table.get(service, self._timer.monotonic_s())

    def report_suspect(self, upstream_id: ids.UpstreamId) -> None:
        """Withholds caller traffic from an upstream until a probe connects."""
        self._candidate_table.report_suspect(upstream_id)

    def report_in_flight(
        self, upstream_id: ids.UpstreamId, in_flight: int
    ) -> None:
        """Sets this entry's requests in flight on an upstream."""
        self._heartbeats.set_in_flight(upstream_id, in_flight)

    def in_flight_elsewhere(self, upstream_id: ids.UpstreamId) -> int:
        """Returns the requests in flight that other entries reported."""
        return self._heartbeats.in_flight_elsewhere(upstream_id)

    def live_entries(self) -> int:
        """Returns the number of live entries, this one included."""
        return self._liveness.live_entries(self._timer.monotonic_s())

    def entry_progress(self) -> dict[ids.EntryId, tuple[int, int, float]]:
        """Applied index, configuration revision and age by entry in contact.

        It contains the entries that send heartbeats to this one: those of the
        own zone and, at a relay, the other relays.
        """
        return self._heartbeats.entry_progress()

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        now_s = self._timer.monotonic_s()
        zones = {
            self._zone,
            *self._liveness.other_zones(),
            *self._registry.zones(),
        }
        return {
            "relay": self._liveness.is_relay(now_s),
            "live_entries": self.live_entries(),
            "records": len(self._registry),
            "live_records": self._registry.live_count,
            "pulls": self._exchange.pulls,
            "unacknowledged_leaves": self._exchange.unacknowledged_leaves,
            "suspects": [
                held.record.upstream_id
                for held in self._candidate_table.suspects(now_s)
            ],
            "zones": {zone: self._dump_zone(zone, now_s) for zone in zones},
        }

    def _dump_zone(self, zone: ids.AvailabilityZone, now_s: float) -> dict:
        return {
            "contact_age_s": _age_s(now_s, self._liveness.last_contact_s(zone)),
            "confirmed_age_s": _age_s(
                now_s, self._liveness.last_confirmation_s(zone)
            ),
            "usable": self._liveness.usable_until_s(zone) > now_s,
            "digest": f"{self._registry.digest(zone):016x}",
            "records": len(self._registry.zone_records(zone)),
            "upstreams": {
                held.record.upstream_id: {
                    "service": held.record.service,
                    "state": held.record.state.value,
                    "live": held.live,
                    "epoch": held.record.epoch,
                    "renewal": held.record.renewal,
                    "remaining_s": held.deadline_s - now_s,
                    "in_flight_elsewhere": self.in_flight_elsewhere(
                        held.record.upstream_id
                    ),
                }
                for held in itertools.islice(
                    self._registry.zone_records(zone), _DUMPED_UPSTREAMS
                )
            },
        }

    async def _send_heartbeats(self) -> None:
        async for now_s in self._timer.subscribe(self._heartbeat_s):
            self._expire_leases(now_s)
            self._exchange.send_renewals()
            self._heartbeats.send(now_s)

    def _expire_leases(self, now_s: float) -> None:
        confirmed = self._liveness.confirmed_zones(now_s)
        expired = self._registry.sweep(now_s, confirmed)
        for held in expired:
            loguru.logger.info(
                "lease of upstream {} expired", held.record.upstream_id
            )
        own_zone_copies = [
            self._registry.copy(held, now_s)
            for held in expired
            if held.record.availability_zone == self._zone
        ]
        if own_zone_copies and self._liveness.is_relay(now_s):
            self._exchange.send_to_other_zones(
                messages.UpstreamUpdate(tuple(own_zone_copies))
            )


def _age_s(now_s: float, at_s: float) -> float | None:
    return None if at_s == -math.inf else now_s - at_s
