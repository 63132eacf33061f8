"""The registry of upstreams, shared by exchange between entries.

Within an availability zone every entry exchanges heartbeats, changes and
renewals with every other. Between zones only the relay of each zone (its
lowest live entry id) does, and renewals don't cross: a zone vouches for all
its live records with one digest in each heartbeat, and a digest that differs
from the receiver's makes it pull the parts that differ. Leave notices go to
every reachable entry at once, and every receiver passes them on.
"""

from collections.abc import Callable, Iterable, Sequence
import math

import anyio
import anyio.abc
import loguru

from tarragoncleat import candidates as candidates_module
from tarragoncleat import entry_view
from tarragoncleat import errors
from tarragoncleat import ids
from tarragoncleat import in_flight as in_flight_module
from tarragoncleat import membership_messages as messages
from tarragoncleat import peering
from tarragoncleat import registry as registry_module
from tarragoncleat import settings as settings_module
from tarragoncleat import timer as timer_module
from tarragoncleat import upstreams

__all__ = ["Announcement", "Candidate", "Membership", "UpstreamRecord"]

Announcement = upstreams.Announcement
Candidate = upstreams.Candidate
UpstreamRecord = upstreams.UpstreamRecord

_MS_PER_S = 1000
# A record that left or lapsed is remembered for this many of the longest
# leases: one during which another entry may still hold it as live, and one
# for the time until that entry passes it on.
_KEEP_GONE_LEASES = 2
# A change needs up to a heartbeat to arrive, so one differing digest is no
# sign of a lost message.
_MISMATCHES_BEFORE_PULL = 2
_PAGE_RECORDS = 500
_PULL_TIMEOUT_S = 1.0
_MAX_IN_FLIGHT_CHANGES = 128
_FULL_IN_FLIGHT_HEARTBEATS = 50
_PARALLEL_PROBES = 32

_Progress = Callable[[], tuple[int, int]]


class Membership:
    """Registry of upstreams and liveness of entries, of one entry."""

    def __init__(
        self,
        settings: settings_module.Settings,
        links: peering.PeerLinks,
        timer: timer_module.TimerService,
        progress: _Progress = lambda: (0, 0),
    ) -> None:
        """Starts empty; `run` exchanges with other entries.

        Args:
            settings: Settings of the entry.
            links: Links to the other entries.
            timer: Clock and ticks.
            progress: Returns the applied log index and the configuration
                revision in force, for the heartbeats.
        """
        own = settings.membership
        self._settings = own
        self._entry_id = settings.entry_id
        self._zone = settings.availability_zone
        self._links = links
        self._timer = timer
        self._progress = progress
        self._heartbeat_s = own.heartbeat_ms / _MS_PER_S
        self._freshness_s = own.zone_freshness_ms / _MS_PER_S
        keep_gone_s = _KEEP_GONE_LEASES * own.max_lease_ms / _MS_PER_S
        self._registry = registry_module.Registry(self._zone, keep_gone_s)
        self._view = entry_view.EntryView(
            self._entry_id,
            settings.zone_by_entry,
            self._heartbeat_s,
            self._freshness_s,
        )
        self._table = candidates_module.CandidateTable(
            self._registry, self._view, self._zone
        )
        self._own_in_flight = in_flight_module.OwnCounts(_MAX_IN_FLIGHT_CHANGES)
        self._zone_in_flight = in_flight_module.OwnCounts(
            _MAX_IN_FLIGHT_CHANGES
        )
        self._reported = in_flight_module.ReportedCounts()
        self._renewals: dict[ids.UpstreamId, messages.Renewal] = {}
        self._mismatches: dict[tuple[ids.EntryId, ids.AvailabilityZone], int]
        self._mismatches = {}
        self._pulling: set[ids.AvailabilityZone] = set()
        self._heartbeats = 0
        self._pulls = 0
        self._unacknowledged_leaves = 0
        self._progress_by_entry: dict[ids.EntryId, tuple[int, int, float]] = {}
        self._probing: set[ids.UpstreamId] = set()
        self._probe_limit = anyio.CapacityLimiter(_PARALLEL_PROBES)
        self._received = links.subscribe(
            messages.Heartbeat,
            messages.ZoneLoad,
            messages.UpstreamUpdate,
            messages.Renewals,
            messages.LeaveNotice,
            messages.RegistryPull,
            messages.FindUpstream,
        )
        self._handlers: dict[type, Callable[[peering.Received], None]] = {
            messages.Heartbeat: self._on_heartbeat,
            messages.ZoneLoad: self._on_zone_load,
            messages.UpstreamUpdate: self._on_update,
            messages.Renewals: self._on_renewals,
            messages.LeaveNotice: self._on_leave_notice,
            messages.RegistryPull: self._on_pull,
            messages.FindUpstream: self._on_find,
        }

    async def run(self) -> None:
        """Exchanges with other entries and probes until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._beat)
            tasks.start_soon(self._probe_suspects)
            async for received in self._received:
                self._handlers[type(received.message)](received)

    def announce(
        self, announcement: Announcement
    ) -> UpstreamRecord | errors.Failure:
        """Announces an upstream of the own zone or renews its lease.

        Returns:
            The record, or a `Failure` of kind OVERLOADED when the registry is
            full.
        """
        now_s = self._timer.monotonic_s()
        before = self._registry.get(announcement.upstream_id)
        identity = before.identity if before and before.live else None
        was_late = before is not None and self._table.is_late(before, now_s)
        copy = self._registry.announce(announcement, now_s)
        if isinstance(copy, errors.Failure):
            return copy
        held = self._registry.get(announcement.upstream_id)
        assert held is not None
        if held.identity == identity:
            self._table.note_renewal(held, was_late)
            self._queue_renewal(held)
        else:
            self._spread([copy], self._entry_id)
        return copy.record

    async def leave(self, upstream_id: ids.UpstreamId) -> None | errors.Failure:
        """Marks an upstream as leaving.

        Returns:
            None after the reachable entries have acknowledged or the time
            limit has passed; a `Failure` of kind NOT_FOUND when neither this
            entry nor the others of its zone know the upstream.
        """
        if self._registry.get(upstream_id) is None:
            await self._find(upstream_id)
        copy = self._registry.leave(upstream_id, self._timer.monotonic_s())
        if isinstance(copy, errors.Failure):
            return copy
        self._renewals.pop(upstream_id, None)
        notice = messages.LeaveNotice(copy)
        async with anyio.create_task_group() as tasks:
            for entry_id in self._links.connected():
                tasks.start_soon(self._tell_leave, entry_id, notice)
        return None

    def record(self, upstream_id: ids.UpstreamId) -> UpstreamRecord | None:
        """Returns the record of an upstream, also after it has left."""
        held = self._registry.get(upstream_id)
        return held.record if held else None

    def candidates(self, service: ids.ServiceId) -> Sequence[Candidate]:
        """Returns the upstreams that may receive caller traffic now."""
        return self._table.get(service, self._timer.monotonic_s())

    def report_suspect(self, upstream_id: ids.UpstreamId) -> None:
        """Withholds caller traffic until a probe connects."""
        self._table.report_suspect(upstream_id)

    def report_in_flight(
        self, upstream_id: ids.UpstreamId, in_flight: int
    ) -> None:
        """Sets this entry's requests in flight on an upstream."""
        self._own_in_flight.set(upstream_id, in_flight)
        self._update_zone_in_flight((upstream_id,))

    def in_flight_elsewhere(self, upstream_id: ids.UpstreamId) -> int:
        """Requests in flight on an upstream as other entries reported."""
        return self._reported.sum(upstream_id)

    def live_entries(self) -> int:
        """Number of entries alive as far as known, this one included."""
        return self._view.live_entries(self._timer.monotonic_s())

    def entry_progress(self) -> dict[ids.EntryId, tuple[int, int, float]]:
        """Applied index, configuration revision and age of the entries heard.

        Only entries that send heartbeats to this one are listed: those of the
        own zone and, at a relay, the other relays.
        """
        now_s = self._timer.monotonic_s()
        return {
            entry_id: (applied, revision, now_s - heard_s)
            for entry_id, (
                applied,
                revision,
                heard_s,
            ) in self._progress_by_entry.items()
        }

    def dump(self) -> dict:
        """Describes the registry and the liveness for the state dump."""
        now_s = self._timer.monotonic_s()
        zones = {self._zone, *self._view.other_zones(), *self._registry.zones()}
        return {
            "relay": self._view.is_relay(now_s),
            "live_entries": self.live_entries(),
            "records": len(self._registry),
            "live_records": self._registry.live_count,
            "pulls": self._pulls,
            "unacknowledged_leaves": self._unacknowledged_leaves,
            "suspects": [
                held.record.upstream_id for held in self._table.suspects(now_s)
            ],
            "zones": {zone: self._dump_zone(zone, now_s) for zone in zones},
        }

    def _dump_zone(self, zone: ids.AvailabilityZone, now_s: float) -> dict:
        return {
            "heard_age_s": _age_s(now_s, self._view.heard_s(zone)),
            "vouched_age_s": _age_s(now_s, self._view.vouched_s(zone)),
            "usable": self._view.usable_until_s(zone) > now_s,
            "digest": f"{self._registry.digest(zone):016x}",
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
                for held in self._registry.of_zone(zone)
            },
        }

    async def _beat(self) -> None:
        async for now_s in self._timer.subscribe(self._heartbeat_s):
            self._end_leases(now_s)
            self._send_renewals()
            self._send_heartbeats(now_s)
            self._forget_silent(now_s)
            self._heartbeats += 1

    def _end_leases(self, now_s: float) -> None:
        vouched = self._view.vouched_zones(now_s)
        lapsed = self._registry.sweep(now_s, vouched)
        for held in lapsed:
            loguru.logger.info(
                "lease of upstream {} ended", held.record.upstream_id
            )
        own = [
            self._registry.copy(held, now_s)
            for held in lapsed
            if held.record.availability_zone == self._zone
        ]
        if own and self._view.is_relay(now_s):
            self._send_to_other_zones(messages.UpstreamUpdate(tuple(own)))

    def _send_renewals(self) -> None:
        if not self._renewals:
            return
        renewals = tuple(
            (
                renewal.upstream_id,
                renewal.identity,
                renewal.renewal,
                renewal.lease_ms,
                renewal.remaining_ms,
            )
            for renewal in self._renewals.values()
        )
        self._renewals.clear()
        self._links.multicast(
            self._connected_mates(), messages.Renewals(renewals)
        )

    def _send_heartbeats(self, now_s: float) -> None:
        full = self._heartbeats % _FULL_IN_FLIGHT_HEARTBEATS == 0
        relay = self._view.is_relay(now_s)
        own, zone = self._own_in_flight, self._zone_in_flight
        self._links.multicast(
            self._connected_mates(),
            self._heartbeat(now_s, full, own, self._zone_reports(now_s)),
        )
        if relay:
            self._send_to_other_zones(
                self._heartbeat(now_s, full, zone, {}),
            )

    def _heartbeat(
        self,
        now_s: float,
        full: bool,
        counts: in_flight_module.OwnCounts,
        zones: dict[ids.AvailabilityZone, messages.ZoneReport],
    ) -> messages.Heartbeat:
        applied_index, configuration_revision = self._progress()
        return messages.Heartbeat(
            entry_id=self._entry_id,
            digest=self._registry.digest(self._zone),
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
            if heard_age_s > self._freshness_s:
                continue
            vouched_age_s = min(
                now_s - self._view.vouched_s(zone), 2 * self._freshness_s
            )
            reports[zone] = messages.ZoneReport(
                heard_age_ms=math.ceil(heard_age_s * _MS_PER_S),
                vouched_age_ms=math.ceil(vouched_age_s * _MS_PER_S),
                digest=self._registry.digest(zone),
                live_entries=self._view.zone_live(zone),
            )
        return reports

    def _connected_mates(self) -> list[ids.EntryId]:
        connected = self._links.connected()
        return [mate for mate in self._view.mates if mate in connected]

    def _send_to_other_zones(
        self, message: object, but: ids.AvailabilityZone | None = None
    ) -> None:
        targets = self._view.relay_targets(
            self._links.connected(), self._timer.monotonic_s()
        )
        targets.pop(but, None)  # type: ignore[arg-type]
        self._links.multicast(targets.values(), message)

    def _forget_silent(self, now_s: float) -> None:
        """Drops the in-flight reports of entries and zones that went away."""
        for source in self._reported.sources():
            if source in self._view.mates:
                gone = not self._view.is_live(ids.EntryId(source), now_s)
            else:
                zone = ids.AvailabilityZone(source)
                gone = self._view.usable_until_s(zone) <= now_s
            if gone:
                self._update_zone_in_flight(self._reported.forget(source))

    def _queue_renewal(self, held: registry_module.Held) -> None:
        record = held.record
        self._renewals[record.upstream_id] = messages.Renewal(
            record.upstream_id,
            held.identity,
            record.renewal,
            record.lease_ms,
            record.lease_ms,
        )

    def _update_zone_in_flight(
        self, upstream_ids: Iterable[ids.UpstreamId]
    ) -> None:
        """Keeps the counts of the whole zone, which a relay reports."""
        for upstream_id in upstream_ids:
            count = self._own_in_flight.get(upstream_id) + sum(
                self._reported.of(mate, upstream_id)
                for mate in self._view.mates
            )
            self._zone_in_flight.set(upstream_id, count)

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
        self._compare(sender, zone, message.digest, now_s, now_s)
        if zone == self._zone:
            self._take_mate_report(sender, message, now_s)
            return
        self._view.set_zone_live(zone, message.live_entries)
        self._reported.update(zone, message.full, message.in_flight)
        if message.in_flight or message.full:
            self._links.multicast(
                self._connected_mates(),
                messages.ZoneLoad(zone, message.full, message.in_flight),
            )

    def _take_mate_report(
        self, sender: ids.EntryId, message: messages.Heartbeat, now_s: float
    ) -> None:
        changed = self._reported.update(sender, message.full, message.in_flight)
        self._update_zone_in_flight(changed)
        for zone, report in message.zones.items():
            if zone == self._zone:
                continue
            heard_s = now_s - report.heard_age_ms / _MS_PER_S
            vouched_s = now_s - report.vouched_age_ms / _MS_PER_S
            self._hear_zone(zone, heard_s, now_s)
            self._view.set_zone_live(zone, report.live_entries)
            self._compare(sender, zone, report.digest, vouched_s, now_s)

    def _hear_zone(
        self, zone: ids.AvailabilityZone, heard_s: float, now_s: float
    ) -> None:
        if zone == self._zone:
            return
        was_usable = self._view.usable_until_s(zone) > now_s
        self._view.hear_zone(zone, heard_s)
        if not was_usable and self._view.usable_until_s(zone) > now_s:
            loguru.logger.info("availability zone {} can be heard", zone)
            self._table.clear()

    def _compare(
        self,
        sender: ids.EntryId,
        zone: ids.AvailabilityZone,
        digest: int,
        vouched_s: float,
        now_s: float,
    ) -> None:
        """Compares digests and pulls when they keep differing."""
        key = (sender, zone)
        if self._registry.digest(zone) == digest:
            self._mismatches.pop(key, None)
            self._view.vouch(zone, vouched_s)
            return
        self._mismatches[key] = self._mismatches.get(key, 0) + 1
        if self._mismatches[key] < _MISMATCHES_BEFORE_PULL:
            return
        if zone not in self._pulling:
            self._pulling.add(zone)
            self._tasks.start_soon(self._pull, sender, zone)

    async def _pull(
        self, entry_id: ids.EntryId, zone: ids.AvailabilityZone
    ) -> None:
        self._pulls += 1
        buckets = self._registry.buckets(zone)
        after = ids.UpstreamId("")
        more = True
        while more:
            page = await self._links.request(
                entry_id,
                messages.RegistryPull(zone, buckets, after),
                _PULL_TIMEOUT_S,
            )
            if not isinstance(page, messages.RegistryPage):
                loguru.logger.warning(
                    "could not pull the upstreams of {} from {}: {}",
                    zone,
                    entry_id,
                    page,
                )
                break
            self._absorb(page.copies, entry_id)
            more = page.more and bool(page.copies)
            if more:
                after = page.copies[-1].record.upstream_id
        self._mismatches.pop((entry_id, zone), None)
        self._pulling.discard(zone)

    def _on_pull(self, received: peering.Received) -> None:
        message: messages.RegistryPull = received.message
        zone = message.availability_zone
        mine = self._registry.buckets(zone)
        differing = {
            index
            for index, (own, theirs) in enumerate(
                zip(mine, message.buckets, strict=False)
            )
            if own != theirs
        }
        copies = self._registry.page(
            zone,
            differing,
            message.after,
            _PAGE_RECORDS,
            self._timer.monotonic_s(),
        )
        if received.reply is not None:
            received.reply(
                messages.RegistryPage(copies, len(copies) == _PAGE_RECORDS)
            )

    def _on_zone_load(self, received: peering.Received) -> None:
        message: messages.ZoneLoad = received.message
        if message.availability_zone != self._zone:
            self._reported.update(
                message.availability_zone, message.full, message.in_flight
            )

    def _on_update(self, received: peering.Received) -> None:
        self._absorb(received.message.copies, received.sender)

    def _on_leave_notice(self, received: peering.Received) -> None:
        self._absorb((received.message.copy,), received.sender)
        if received.reply is not None:
            received.reply(messages.LeaveAck())

    def _on_renewals(self, received: peering.Received) -> None:
        now_s = self._timer.monotonic_s()
        for fields in received.message.renewals:
            renewal = messages.Renewal(*fields)
            held = self._registry.get(renewal.upstream_id)
            if held is None or held.identity != renewal.identity:
                continue
            was_late = self._table.is_late(held, now_s)
            self._registry.renew(
                held,
                renewal.renewal,
                renewal.lease_ms,
                renewal.remaining_ms,
                now_s,
            )
            self._table.note_renewal(held, was_late)

    def _on_find(self, received: peering.Received) -> None:
        held = self._registry.get(received.message.upstream_id)
        now_s = self._timer.monotonic_s()
        copy = self._registry.copy(held, now_s) if held else None
        if received.reply is not None:
            received.reply(messages.FoundUpstream(copy))

    def _absorb(
        self, copies: Iterable[upstreams.Copy], sender: ids.EntryId
    ) -> None:
        """Merges received copies, passes news on and corrects old ones."""
        now_s = self._timer.monotonic_s()
        news, corrections = [], []
        for copy in copies:
            result = self._registry.merge(copy, now_s)
            held = self._registry.get(copy.record.upstream_id)
            if held is None:
                continue
            if result is registry_module.Merge.CHANGED:
                news.append(self._registry.copy(held, now_s))
            elif result is registry_module.Merge.OUTDATED:
                corrections.append(self._registry.copy(held, now_s))
        if news:
            self._spread(news, sender)
        if corrections:
            self._links.send(
                sender, messages.UpstreamUpdate(tuple(corrections))
            )

    def _spread(
        self, copies: Sequence[upstreams.Copy], source: ids.EntryId
    ) -> None:
        """Passes news on to those that `source` does not reach itself.

        Leaves go to the whole zone from every receiver, so that they survive
        the failure of the entry that was told.
        """
        source_zone = self._view.zone_of(source)
        to_mates: Sequence[upstreams.Copy] = copies
        if source_zone == self._zone and source != self._entry_id:
            to_mates = [
                copy
                for copy in copies
                if copy.record.state is upstreams.UpstreamState.LEAVING
            ]
        mates = [mate for mate in self._connected_mates() if mate != source]
        if to_mates and mates:
            self._links.multicast(
                mates, messages.UpstreamUpdate(tuple(to_mates))
            )
        if source_zone != self._zone:
            return
        if self._view.is_relay(self._timer.monotonic_s()):
            self._send_to_other_zones(messages.UpstreamUpdate(tuple(copies)))

    async def _find(self, upstream_id: ids.UpstreamId) -> None:
        """Asks the own zone for a record that is not known here."""
        limit_s = self._settings.leave_ack_timeout_ms / _MS_PER_S

        async def ask(entry_id: ids.EntryId) -> None:
            found = await self._links.request(
                entry_id, messages.FindUpstream(upstream_id), limit_s
            )
            if isinstance(found, messages.FoundUpstream) and found.copy:
                self._absorb((found.copy,), entry_id)

        async with anyio.create_task_group() as tasks:
            for mate in self._connected_mates():
                tasks.start_soon(ask, mate)

    async def _tell_leave(
        self, entry_id: ids.EntryId, notice: messages.LeaveNotice
    ) -> None:
        limit_s = self._settings.leave_ack_timeout_ms / _MS_PER_S
        answer = await self._links.request(entry_id, notice, limit_s)
        if not isinstance(answer, messages.LeaveAck):
            self._unacknowledged_leaves += 1
            loguru.logger.warning(
                "entry {} did not acknowledge that upstream {} leaves: {}",
                entry_id,
                notice.copy.record.upstream_id,
                answer,
            )

    async def _probe_suspects(self) -> None:
        interval_s = self._settings.probe_interval_ms / _MS_PER_S
        async for now_s in self._timer.subscribe(interval_s):
            for held in self._table.suspects(now_s):
                upstream_id = held.record.upstream_id
                if upstream_id not in self._probing:
                    self._probing.add(upstream_id)
                    self._tasks.start_soon(self._probe, held, interval_s)

    async def _probe(
        self, held: registry_module.Held, timeout_s: float
    ) -> None:
        record = held.record
        connected = False
        try:
            async with self._probe_limit:
                with anyio.fail_after(timeout_s):
                    stream = await anyio.connect_tcp(record.host, record.port)
            await anyio.aclose_forcefully(stream)
            connected = True
        except (OSError, TimeoutError) as error:
            loguru.logger.debug(
                "probe of upstream {} failed: {}", record.upstream_id, error
            )
        finally:
            self._probing.discard(record.upstream_id)
        current = self._registry.get(record.upstream_id)
        if current is not None and current.record == record:
            self._table.record_probe(
                current, connected, self._timer.monotonic_s()
            )


def _age_s(now_s: float, at_s: float) -> float | None:
    return None if at_s == -math.inf else now_s - at_s
