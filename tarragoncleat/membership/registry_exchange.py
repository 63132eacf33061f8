"""Exchange of the registry's records between entries.

Changes are sent at once, renewals are batched and sent to the own zone only,
and an entry whose digest differs pulls the buckets that differ. A leave is
sent to every reachable entry, and every receiver forwards it.
"""

from collections.abc import Iterable, Sequence

import anyio
import anyio.abc
import loguru

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.membership import candidates
from tarragoncleat.membership import liveness
from tarragoncleat.membership import membership_messages as messages
from tarragoncleat.membership import peering
from tarragoncleat.membership import registry as registry_module
from tarragoncleat.membership import upstreams

__all__ = ["RegistryExchange"]

_MS_PER_S = 1000
# A change may take a heartbeat to arrive, so one differing digest doesn't mean
# that a message was lost.
_MISMATCHES_BEFORE_PULL = 2
_PAGE_RECORDS = 500
_PULL_TIMEOUT_S = 1.0


class RegistryExchange:
    """Replicates the records of the registry among the entries."""

    def __init__(
        self,
        links: peering.PeerLinks,
        timer: timer_module.TimerService,
        registry: registry_module.Registry,
        tracker: liveness.LivenessTracker,
        candidate_table: candidates.CandidateTable,
    ) -> None:
        """Subscribes to the messages about records; `run` handles them."""
        self._links = links
        self._timer = timer
        self._registry = registry
        self._liveness = tracker
        self._candidate_table = candidate_table
        self._renewals: dict[ids.UpstreamId, messages.Renewal] = {}
        self._mismatches: dict[tuple[ids.EntryId, ids.AvailabilityZone], int]
        self._mismatches = {}
        self._pulling: set[ids.AvailabilityZone] = set()
        self._pulls = 0
        self._unacknowledged_leaves = 0
        self._tasks: anyio.abc.TaskGroup | None = None
        self._received = links.subscribe(
            messages.UpstreamUpdate,
            messages.Renewals,
            messages.LeaveNotice,
            messages.RegistryPull,
            messages.FindUpstream,
        )
        self._handlers = {
            messages.UpstreamUpdate: self._on_update,
            messages.Renewals: self._on_renewals,
            messages.LeaveNotice: self._on_leave_notice,
            messages.RegistryPull: self._on_pull,
            messages.FindUpstream: self._on_find,
        }

    @property
    def pulls(self) -> int:
        """Pulls started because digests differed."""
        return self._pulls

    @property
    def unacknowledged_leaves(self) -> int:
        """Leave notices that a connected entry did not acknowledge in time."""
        return self._unacknowledged_leaves

    async def run(self) -> None:
        """Handles received records until cancelled."""
        with self._received:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                async for received in self._received:
                    self._handlers[type(received.message)](received)

    def queue_renewal(self, held: registry_module.HeldRecord) -> None:
        """Adds a renewed lease to the next batch for the own zone."""
        record = held.record
        self._renewals[record.upstream_id] = messages.Renewal(
            record.upstream_id,
            held.identity,
            record.renewal,
            record.lease_ms,
            record.lease_ms,
        )

    def send_renewals(self) -> None:
        """Sends the batch of renewals to the own zone."""
        if not self._renewals:
            return
        renewals = tuple(self._renewals.values())
        self._renewals.clear()
        self._links.multicast(
            self.connected_zone_peers(), messages.Renewals(renewals)
        )

    def connected_zone_peers(self) -> list[ids.EntryId]:
        """Connected entries of the own zone."""
        connected = self._links.connected()
        return [
            peer_id
            for peer_id in self._liveness.zone_peers
            if peer_id in connected
        ]

    def send_to_other_zones(self, message: object) -> None:
        """Sends to one entry of each other zone."""
        targets = self._liveness.relay_targets(
            self._links.connected(), self._timer.monotonic_s()
        )
        self._links.multicast(targets.values(), message)

    def compare_digest(
        self,
        sender: ids.EntryId,
        zone: ids.AvailabilityZone,
        digest: int,
        confirmed_s: float,
        now_s: float,
    ) -> None:
        """Compares digests; pulls from the sender if they differ repeatedly."""
        key = (sender, zone)
        if self._registry.digest(zone) == digest:
            self._mismatches.pop(key, None)
            self._liveness.record_confirmation(zone, confirmed_s)
            return
        self._mismatches[key] = self._mismatches.get(key, 0) + 1
        if self._mismatches[key] < _MISMATCHES_BEFORE_PULL:
            return
        if zone not in self._pulling and self._tasks is not None:
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
                    "pulling records of zone {} from entry {} failed: {}",
                    zone,
                    entry_id,
                    page,
                )
                break
            self._merge_copies(page.copies, entry_id)
            more = page.more and bool(page.copies)
            if more:
                after = page.copies[-1].record.upstream_id
        self._mismatches.pop((entry_id, zone), None)
        self._pulling.discard(zone)

    def _on_pull(self, received: peering.Received) -> None:
        message: messages.RegistryPull = received.message
        zone = message.availability_zone
        own_buckets = self._registry.buckets(zone)
        differing = {
            index
            for index, (own, theirs) in enumerate(
                zip(own_buckets, message.buckets, strict=False)
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

    def _on_update(self, received: peering.Received) -> None:
        self._merge_copies(received.message.copies, received.sender)

    def _on_leave_notice(self, received: peering.Received) -> None:
        copy: upstreams.RecordCopy = received.message.copy
        self._merge_copies((copy,), received.sender)
        now_s = self._timer.monotonic_s()
        held = self._registry.get(copy.record.upstream_id)
        newer = held is not None and held.record.epoch > copy.record.epoch
        answer = self._registry.copy(held, now_s) if held and newer else None
        if received.reply is not None:
            received.reply(messages.LeaveAck(answer))

    def _on_renewals(self, received: peering.Received) -> None:
        now_s = self._timer.monotonic_s()
        corrections = []
        for renewal in received.message.renewals:
            held = self._registry.get(renewal.upstream_id)
            if held is None or held.identity != renewal.identity:
                continue
            missed_renewal = self._candidate_table.has_missed_renewal(
                held, now_s
            )
            result = self._registry.renew(
                held,
                renewal.renewal,
                renewal.lease_ms,
                renewal.remaining_ms,
                now_s,
            )
            self._candidate_table.record_renewal(held, missed_renewal)
            if result is registry_module.MergeResult.OUTDATED:
                corrections.append(self._registry.copy(held, now_s))
        self._send_corrections(received.sender, corrections)

    def _on_find(self, received: peering.Received) -> None:
        held = self._registry.get(received.message.upstream_id)
        now_s = self._timer.monotonic_s()
        copy = self._registry.copy(held, now_s) if held else None
        if received.reply is not None:
            received.reply(messages.FoundUpstream(copy))

    def _merge_copies(
        self, copies: Iterable[upstreams.RecordCopy], sender: ids.EntryId
    ) -> None:
        """Merges received copies, sends on changes and corrects old copies."""
        now_s = self._timer.monotonic_s()
        changed, corrections = [], []
        for copy in copies:
            result = self._registry.merge(copy, now_s)
            held = self._registry.get(copy.record.upstream_id)
            if held is None:
                continue
            if result is registry_module.MergeResult.CHANGED:
                changed.append(self._registry.copy(held, now_s))
            elif result is registry_module.MergeResult.OUTDATED:
                corrections.append(self._registry.copy(held, now_s))
        if changed:
            self.propagate(changed, sender)
        self._send_corrections(sender, corrections)

    def _send_corrections(
        self, sender: ids.EntryId, copies: Sequence[upstreams.RecordCopy]
    ) -> None:
        """Sends newer versions to an entry that sent outdated ones."""
        if copies:
            self._links.send(sender, messages.UpstreamUpdate(tuple(copies)))

    def propagate(
        self, copies: Sequence[upstreams.RecordCopy], source: ids.EntryId
    ) -> None:
        """Sends changes to the entries that `source` doesn't send them to.

        Every receiver forwards leaves to the whole zone, so that a leave
        survives the failure of the entry that received it first.
        """
        source_zone = self._liveness.zone_of(source)
        zone_copies: Sequence[upstreams.RecordCopy] = copies
        if (
            source_zone == self._liveness.own_zone
            and source != self._liveness.own_id
        ):
            zone_copies = [
                copy
                for copy in copies
                if copy.record.state is upstreams.UpstreamState.LEAVING
            ]
        zone_peers = [
            peer_id
            for peer_id in self.connected_zone_peers()
            if peer_id != source
        ]
        if zone_copies and zone_peers:
            self._links.multicast(
                zone_peers, messages.UpstreamUpdate(tuple(zone_copies))
            )
        if source_zone != self._liveness.own_zone:
            return
        if self._liveness.is_relay(self._timer.monotonic_s()):
            self.send_to_other_zones(messages.UpstreamUpdate(tuple(copies)))

    async def fetch_record(
        self, upstream_id: ids.UpstreamId, timeout_s: float
    ) -> None:
        """Requests a missing record from the entries of the own zone."""

        async def fetch(entry_id: ids.EntryId) -> None:
            reply = await self._links.request(
                entry_id, messages.FindUpstream(upstream_id), timeout_s
            )
            if isinstance(reply, messages.FoundUpstream) and reply.copy:
                self._merge_copies((reply.copy,), entry_id)

        async with anyio.create_task_group() as tasks:
            for peer_id in self.connected_zone_peers():
                tasks.start_soon(fetch, peer_id)

    async def notify_leave(
        self, copy: upstreams.RecordCopy, timeout_s: float
    ) -> None:
        """Sends a leave notice to every connected entry and awaits the acks.

        An entry that doesn't acknowledge in time is counted and logged; it
        learns of the leave from other entries or by comparing digests.
        """
        self._renewals.pop(copy.record.upstream_id, None)
        notice = messages.LeaveNotice(copy)

        async def notify(entry_id: ids.EntryId) -> None:
            reply = await self._links.request(entry_id, notice, timeout_s)
            if isinstance(reply, messages.LeaveAck):
                if reply.newer is not None:
                    self._merge_copies((reply.newer,), entry_id)
            else:
                self._unacknowledged_leaves += 1
                loguru.logger.warning(
                    "entry {} did not acknowledge the leave of upstream {}: {}",
                    entry_id,
                    copy.record.upstream_id,
                    reply,
                )

        async with anyio.create_task_group() as tasks:
            for entry_id in self._links.connected():
                tasks.start_soon(notify, entry_id)
