"""Exchange of the registry's records between entries.

Changes are passed on at once, renewals are batched for the own zone, and
differing digests make an entry pull the parts that differ. A leave goes to
every reachable entry, and every receiver passes it on.
"""

from collections.abc import Iterable, Sequence

import anyio
import anyio.abc
import loguru

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.membership import candidates
from tarragoncleat.membership import entry_view
from tarragoncleat.membership import membership_messages as messages
from tarragoncleat.membership import peering
from tarragoncleat.membership import registry as registry_module
from tarragoncleat.membership import upstreams

__all__ = ["RegistryExchange"]

_MS_PER_S = 1000
# A change needs up to a heartbeat to arrive, so one differing digest is no
# sign of a lost message.
_MISMATCHES_BEFORE_PULL = 2
_PAGE_RECORDS = 500
_PULL_TIMEOUT_S = 1.0


class RegistryExchange:
    """Keeps the registries of all entries equal."""

    def __init__(
        self,
        links: peering.PeerLinks,
        timer: timer_module.TimerService,
        registry: registry_module.Registry,
        view: entry_view.EntryView,
        table: candidates.CandidateTable,
    ) -> None:
        """Exchanges the records of `registry` over `links`."""
        self._links = links
        self._timer = timer
        self._registry = registry
        self._view = view
        self._table = table
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

    def queue_renewal(self, held: registry_module.Held) -> None:
        """Sends a renewed lease to the own zone with the next batch."""
        record = held.record
        self._renewals[record.upstream_id] = messages.Renewal(
            record.upstream_id,
            held.identity,
            record.renewal,
            record.lease_ms,
            record.lease_ms,
        )

    def send_renewals(self) -> None:
        """Sends the batch of renewals."""
        if not self._renewals:
            return
        renewals = tuple(self._renewals.values())
        self._renewals.clear()
        self._links.multicast(
            self.connected_mates(), messages.Renewals(renewals)
        )

    def connected_mates(self) -> list[ids.EntryId]:
        """Entries of the own zone that can be sent to."""
        connected = self._links.connected()
        return [mate for mate in self._view.mates if mate in connected]

    def send_to_other_zones(self, message: object) -> None:
        """Sends to one entry of each other zone."""
        targets = self._view.relay_targets(
            self._links.connected(), self._timer.monotonic_s()
        )
        self._links.multicast(targets.values(), message)

    def compare(
        self,
        sender: ids.EntryId,
        zone: ids.AvailabilityZone,
        digest: int,
        confirmed_s: float,
        now_s: float,
    ) -> None:
        """Compares digests and pulls when they keep differing."""
        key = (sender, zone)
        if self._registry.digest(zone) == digest:
            self._mismatches.pop(key, None)
            self._view.confirm(zone, confirmed_s)
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

    def _on_update(self, received: peering.Received) -> None:
        self._absorb(received.message.copies, received.sender)

    def _on_leave_notice(self, received: peering.Received) -> None:
        copy: upstreams.Copy = received.message.copy
        self._absorb((copy,), received.sender)
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
            was_late = self._table.is_late(held, now_s)
            result = self._registry.renew(
                held,
                renewal.renewal,
                renewal.lease_ms,
                renewal.remaining_ms,
                now_s,
            )
            self._table.note_renewal(held, was_late)
            if result is registry_module.Merge.OUTDATED:
                corrections.append(self._registry.copy(held, now_s))
        self._correct(received.sender, corrections)

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
            self.spread(news, sender)
        self._correct(sender, corrections)

    def _correct(
        self, sender: ids.EntryId, copies: Sequence[upstreams.Copy]
    ) -> None:
        """Sends newer versions to an entry that sent outdated ones."""
        if copies:
            self._links.send(sender, messages.UpstreamUpdate(tuple(copies)))

    def spread(
        self, copies: Sequence[upstreams.Copy], source: ids.EntryId
    ) -> None:
        """Passes news on to those that `source` does not reach itself.

        Leaves go to the whole zone from every receiver, so that they survive
        the failure of the entry that was told.
        """
        source_zone = self._view.zone_of(source)
        to_mates: Sequence[upstreams.Copy] = copies
        if source_zone == self._view.own_zone and source != self._view.own_id:
            to_mates = [
                copy
                for copy in copies
                if copy.record.state is upstreams.UpstreamState.LEAVING
            ]
        mates = [mate for mate in self.connected_mates() if mate != source]
        if to_mates and mates:
            self._links.multicast(
                mates, messages.UpstreamUpdate(tuple(to_mates))
            )
        if source_zone != self._view.own_zone:
            return
        if self._view.is_relay(self._timer.monotonic_s()):
            self.send_to_other_zones(messages.UpstreamUpdate(tuple(copies)))

    async def find(self, upstream_id: ids.UpstreamId, limit_s: float) -> None:
        """Asks the own zone for a record that is not known here."""

        async def ask(entry_id: ids.EntryId) -> None:
            found = await self._links.request(
                entry_id, messages.FindUpstream(upstream_id), limit_s
            )
            if isinstance(found, messages.FoundUpstream) and found.copy:
                self._absorb((found.copy,), entry_id)

        async with anyio.create_task_group() as tasks:
            for mate in self.connected_mates():
                tasks.start_soon(ask, mate)

    async def tell_leave(self, copy: upstreams.Copy, limit_s: float) -> None:
        """Tells every connected entry; returns when all have acknowledged.

        An entry that doesn't acknowledge in time is counted and logged; it
        hears of the leave from the others or by its digest.
        """
        self._renewals.pop(copy.record.upstream_id, None)
        notice = messages.LeaveNotice(copy)

        async def tell(entry_id: ids.EntryId) -> None:
            answer = await self._links.request(entry_id, notice, limit_s)
            if isinstance(answer, messages.LeaveAck):
                if answer.newer is not None:
                    self._absorb((answer.newer,), entry_id)
            else:
                self._unacknowledged_leaves += 1
                loguru.logger.warning(
                    "entry {} did not acknowledge that upstream {} leaves: {}",
                    entry_id,
                    copy.record.upstream_id,
                    answer,
                )

        async with anyio.create_task_group() as tasks:
            for entry_id in self._links.connected():
                tasks.start_soon(tell, entry_id)
