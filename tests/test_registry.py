"""Tests of the registry of upstreams, the candidates and in-flight counts."""

import dataclasses
import random
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies

from tarragoncleat.kernel import ids
from tarragoncleat.membership import candidates
from tarragoncleat.membership import in_flight
from tarragoncleat.membership import liveness
from tarragoncleat.membership import registry
from tarragoncleat.membership import upstreams
from tests import builders

_ZONE = ids.AvailabilityZone("fukuoka-a")
_OTHER_ZONE = ids.AvailabilityZone("kagoshima")
_UPSTREAM = ids.UpstreamId("upstream-1")
_SERVICE = ids.ServiceId("bidding")
_TOMBSTONE_S = 60.0
_ANNOUNCED = upstreams.UpstreamState.ANNOUNCED
_LEAVING = upstreams.UpstreamState.LEAVING


def _record(
    epoch: int, state: upstreams.UpstreamState, renewal: int, slots: int
) -> upstreams.UpstreamRecord:
    fields = dataclasses.asdict(builders.build_announcement(slots=slots))
    return upstreams.UpstreamRecord(
        epoch=epoch, state=state, renewal=renewal, **fields
    )


_RECORDS = strategies.builds(
    _record,
    epoch=strategies.integers(1, 3),
    state=strategies.sampled_from(upstreams.UpstreamState),
    renewal=strategies.integers(1, 3),
    slots=strategies.sampled_from([4, 8]),
)
_COPIES = strategies.builds(
    upstreams.RecordCopy,
    record=_RECORDS,
    remaining_ms=strategies.sampled_from([-9_000, -1, 0, 1, 2_000, 3_000]),
)


def _expected(copies: list[upstreams.RecordCopy]) -> tuple:
    """Returns the expected merge result, computed without the registry."""
    record = max((copy.record for copy in copies), key=lambda r: r.version)
    same = [copy for copy in copies if copy.record == record]
    lapsed = [copy for copy in same if not copy.live]
    remaining_ms = min(abs(copy.remaining_ms) for copy in lapsed or same)
    return record, not lapsed, remaining_ms / 1000


class MergeTest(unittest.TestCase):
    """Guards against merge results that depend on the order of messages."""

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(
        copies=strategies.lists(_COPIES, min_size=1, max_size=8),
        order=strategies.randoms(use_true_random=False),
    )
    def test_merge_in_any_order(
        self, copies: list[upstreams.RecordCopy], order: random.Random
    ) -> None:
        """Merges must commute and be idempotent; none may undo a leave."""
        received = copies + copies[: len(copies) // 2]
        order.shuffle(received)
        records = registry.Registry(_ZONE, _TOMBSTONE_S)
        for copy in received:
            records.merge(copy, 0.0)
        held = records.get(_UPSTREAM)
        self.assertEqual(
            (held.record, held.live, held.deadline_s), _expected(copies)
        )
        self.assertEqual(records.live_count, int(held.live))
        self.assertEqual(len(records.live_records(_SERVICE)), int(held.live))
        self.assertEqual(records.digest(_ZONE) != 0, held.live)

    def test_renewal_after_leave(self) -> None:
        """A renewal concurrent with a leave must not make the upstream live."""
        left = registry.Registry(_ZONE, _TOMBSTONE_S)
        other = registry.Registry(_ZONE, _TOMBSTONE_S)
        announced = left.announce(builders.build_announcement(), 0.0)
        other.merge(announced, 0.0)
        left.leave(_UPSTREAM, 0.1)
        crossing = other.announce(builders.build_announcement(), 0.1)
        self.assertIs(left.merge(crossing, 0.2), registry.MergeResult.OUTDATED)
        self.assertFalse(left.get(_UPSTREAM).live)
        again = left.announce(builders.build_announcement(), 0.3)
        self.assertEqual(again.record.epoch, 2)
        self.assertTrue(left.get(_UPSTREAM).live)

    def test_gone_records_are_forgotten(self) -> None:
        """Guards against memory that grows with each upstream that leaves."""
        records = registry.Registry(_ZONE, _TOMBSTONE_S)
        for step in range(50):
            records.announce(builders.build_announcement(), step)
            records.leave(_UPSTREAM, step)
        records.announce(builders.build_announcement("upstream-2"), 50.0)
        lapsed = records.sweep(60.0, ())
        self.assertEqual(
            [held.record.upstream_id for held in lapsed], ["upstream-2"]
        )
        records.sweep(50.0 + _TOMBSTONE_S, ())
        self.assertIsNone(records.get(_UPSTREAM))
        records.sweep(61.0 + _TOMBSTONE_S, ())
        self.assertEqual(len(records), 0)
        with unittest.mock.patch.object(registry, "_MAX_TOMBSTONES", 5):
            for index in range(20):
                name = f"upstream-{index}"
                records.announce(
                    builders.build_announcement(name), 200.0 + index
                )
                records.leave(ids.UpstreamId(name), 200.0 + index)
            records.sweep(230.0, ())
        self.assertEqual(len(records), 5)
        self.assertIsNotNone(records.get(ids.UpstreamId("upstream-19")))


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["announce", "leave", "send", "deliver", "wait"]
        ),
        strategies.integers(0, 3),
        strategies.integers(0, 3),
    ),
    max_size=40,
)


class _Network:
    """Registries whose pages arrive late, twice, out of order or never."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.registries = [
            registry.Registry(_ZONE, _TOMBSTONE_S) for _ in range(4)
        ]
        self.in_transit: list[tuple[upstreams.RecordCopy, ...]] = []
        self.left: set[tuple[str, int]] = set()

    def step(self, action: str, first: int, second: int) -> None:
        source = self.registries[first]
        name = f"upstream-{second}"
        if action == "announce":
            source.announce(builders.build_announcement(name), self.now_s)
        elif action == "leave":
            copy = source.leave(ids.UpstreamId(name), self.now_s)
            if copy:
                self.left.add((name, copy.record.epoch))
        elif action == "send":
            self.in_transit.append(self.page(source))
        elif action == "deliver" and self.in_transit:
            index = (first * 4 + second) % len(self.in_transit)
            target = self.registries[second]
            for copy in self.in_transit[index]:
                target.merge(copy, self.now_s)
        elif action == "wait":
            self.now_s += 0.7
            for each in self.registries:
                each.sweep(self.now_s, ())

    def page(
        self, source: registry.Registry
    ) -> tuple[upstreams.RecordCopy, ...]:
        return source.page(
            _ZONE, range(registry.BUCKETS), ids.UpstreamId(""), 100, self.now_s
        )

    def exchange_all(self) -> None:
        for _ in range(2):
            for source in self.registries:
                for target in self.registries:
                    for copy in self.page(source):
                        target.merge(copy, self.now_s)


class ConvergenceTest(unittest.TestCase):
    """Guards against registries that don't converge."""

    @hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
    @hypothesis.given(steps=_STEPS)
    def test_registries_converge(self, steps: list) -> None:
        """After an exchange, registries must agree and leaves must stand."""
        network = _Network()
        for step in steps:
            network.step(*step)
        network.exchange_all()
        self.assertEqual(
            len({records.digest(_ZONE) for records in network.registries}), 1
        )
        for records in network.registries:
            for held in records.zone_records(_ZONE):
                version = (held.record.upstream_id, held.record.epoch)
                if version in network.left:
                    self.assertIs(held.record.state, _LEAVING)
        network.now_s += 4.0
        for records in network.registries:
            records.sweep(network.now_s, ())
            self.assertEqual(records.live_count, 0)


class CandidatesTest(unittest.TestCase):
    """Guards against caller traffic to upstreams that may have failed."""

    def setUp(self) -> None:
        self._registry = registry.Registry(_ZONE, _TOMBSTONE_S)
        entries = {
            ids.EntryId("entry-1"): _ZONE,
            ids.EntryId("entry-2"): _OTHER_ZONE,
        }
        self._liveness = liveness.LivenessTracker(
            ids.EntryId("entry-1"), entries, 0.2, 1.5
        )
        self._table = candidates.CandidateTable(self._registry, self._liveness)

    def _ids(self, now_s: float) -> list[str]:
        current = self._table.get(_SERVICE, now_s)
        return [candidate.upstream_id for candidate in current]

    def test_late_lease_needs_a_probe(self) -> None:
        """Cached candidates must expire after two thirds of the lease.

        Then the upstream may only be used after a probe connected.
        """
        self._registry.announce(builders.build_announcement(), 0.0)
        self.assertEqual(self._ids(1.9), [_UPSTREAM])
        self.assertIs(
            self._table.get(_SERVICE, 1.8), self._table.get(_SERVICE, 1.9)
        )
        self.assertEqual(self._ids(2.0), [])
        (suspect,) = self._table.suspects(2.0)
        self._table.record_probe(suspect, True, 2.1)
        (candidate,) = self._table.get(_SERVICE, 2.2)
        self.assertEqual(candidate.returned_at_s, 2.1)
        self._table.record_probe(suspect, False, 2.3)
        self.assertEqual(self._ids(2.4), [])
        self._table.record_probe(suspect, True, 2.5)
        self.assertEqual(self._ids(2.99), [_UPSTREAM])
        self.assertEqual(self._ids(3.0), [])

    def test_failed_connect_outlasts_renewals(self) -> None:
        """A renewal must not make an unreachable upstream a candidate again."""
        self._registry.announce(builders.build_announcement(), 0.0)
        self._table.report_suspect(_UPSTREAM)
        self._registry.announce(builders.build_announcement(), 0.5)
        self.assertEqual(self._ids(0.6), [])
        (suspect,) = self._table.suspects(0.6)
        self._table.record_probe(suspect, True, 0.7)
        self.assertEqual(self._ids(0.8), [_UPSTREAM])

    def test_zone_without_contact(self) -> None:
        """Another zone's upstreams must expire with the freshness limit."""
        announcement = builders.build_announcement(
            availability_zone=_OTHER_ZONE
        )
        self._registry.announce(announcement, 0.0)
        self._liveness.record_entry_contact(ids.EntryId("entry-2"), 0.0)
        self.assertEqual(self._ids(1.4), [_UPSTREAM])
        self.assertEqual(self._ids(1.5), [])

    def test_confirmed_zone_outlasts_leases(self) -> None:
        """A confirmed zone must stay usable, though it sends no renewals."""
        announcement = builders.build_announcement(
            availability_zone=_OTHER_ZONE
        )
        copy = self._registry.announce(announcement, 0.0)
        for now_s in (2.0, 4.0, 6.0):
            self._liveness.record_entry_contact(ids.EntryId("entry-2"), now_s)
            self._liveness.record_confirmation(_OTHER_ZONE, now_s)
            confirmed = self._liveness.confirmed_zones(now_s)
            self.assertEqual(self._registry.sweep(now_s, confirmed), [])
            self.assertEqual(self._ids(now_s), [_UPSTREAM])
        ended = dataclasses.replace(copy, remaining_ms=-1_000)
        self._registry.merge(ended, 6.1)
        self.assertEqual(self._ids(6.1), [])
        self.assertIs(_ANNOUNCED, self._registry.get(_UPSTREAM).record.state)


class InFlightTest(unittest.TestCase):
    """Guards against counts that remain wrong at another entry."""

    @hypothesis.settings(derandomize=True, max_examples=1_000, deadline=None)
    @hypothesis.given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5),
                strategies.integers(0, 3),
                strategies.sampled_from(["set", "send", "lose", "repeat"]),
            ),
            max_size=40,
        )
    )
    def test_counts_arrive_in_spite_of_losses(self, steps: list) -> None:
        """Resending must repair lost changes, zeros too, in bounded batches."""
        own = in_flight.OutgoingCounts()
        reported = in_flight.ReportedCounts()
        wanted = dict.fromkeys(range(6), 0)
        losses = 3
        for key, count, action in steps:
            if action == "set":
                own.set(key, count)
                wanted[key] = count
            elif action == "repeat":
                own.resend_all()
            else:
                changes = own.next_changes(2)
                self.assertLessEqual(len(changes), 2)
                losses -= action == "lose"
                if action == "send" or losses < 0:
                    reported.update("entry-2", changes)
        own.resend_all()
        for _ in range(6):
            reported.update("entry-2", own.next_changes(2))
        totals = {key: reported.total(key) for key in range(6)}
        self.assertEqual(totals, wanted)
        reported.remove_source("entry-2")
        self.assertEqual([reported.total(key) for key in range(6)], [0] * 6)
