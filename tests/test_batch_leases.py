"""Tests of leases and of the choice of replicas."""

import unittest

import hypothesis
from hypothesis import strategies

from tarragoncleat.batch import leases
from tarragoncleat.cluster import node_ids
from tarragoncleat.cluster import replica_selection
from tarragoncleat.kernel import ids
from tests import batch_builders

_MAX_MS = 6_000


class LeaseTest(unittest.TestCase):
    """Guards against a second run while the first one may still go on."""

    def test_new_leader_waits_for_leases_that_it_doesnt_know(self) -> None:
        lease = leases.Lease(10.0, _MAX_MS)
        self.assertFalse(lease.is_certainly_over(16.0))
        self.assertTrue(lease.is_certainly_over(16.3))

    @hypothesis.given(
        slowness=strategies.floats(0.98, 1.02),
        grants=strategies.lists(
            strategies.tuples(
                strategies.floats(0.01, 3.0), strategies.booleans()
            ),
            min_size=1,
            max_size=8,
        ),
    )
    def test_certain_end_is_never_before_the_workers_own(
        self, slowness: float, grants: list[tuple[float, bool]]
    ) -> None:
        """Whatever the worker's clock and however many orders get lost."""
        now_s = 100.0

        def clock_ms(at_s: float) -> float:
            return 50_000 + (at_s - 100.0) * 1000 * slowness

        lease = leases.Lease(now_s, _MAX_MS)
        lease.note_clock(int(clock_ms(now_s)), now_s)
        end_ms = 0
        for pause_s, is_answered in grants:
            now_s += pause_s
            end_ms = max(end_ms, lease.grant(4_500, now_s))
            if is_answered:
                lease.note_clock(int(clock_ms(now_s)), now_s)
        self.assertGreaterEqual(clock_ms(lease.certain_end_s()), end_ms)


class RosterTest(unittest.TestCase):
    """Guards the log against lost and forgotten disks."""

    def _candidate(
        self, name: str, zone: str = "z"
    ) -> replica_selection.StandbyNode:
        return replica_selection.StandbyNode(
            ids.EntryId(name), ids.AvailabilityZone(zone)
        )

    def test_lost_replica_is_removed_before_its_substitute_is_added(
        self,
    ) -> None:
        members = [
            batch_builders.build_member("10.0.0.1-70"),
            batch_builders.build_member("10.0.0.2-70"),
            batch_builders.build_member("10.0.0.3-70", silent_s=5.0),
        ]
        candidates = [self._candidate("10.0.0.4-70-aa")]
        after = replica_selection.next_replicas(members, candidates, 1)
        self.assertEqual(after, ("10.0.0.1-70", "10.0.0.2-70"))
        after = replica_selection.next_replicas(members[:2], candidates, 1)
        self.assertEqual(after[-1], "10.0.0.4-70-aa")

    def test_silent_replica_stays_without_a_substitute(self) -> None:
        members = [
            batch_builders.build_member("10.0.0.1-70"),
            batch_builders.build_member("10.0.0.2-70", silent_s=60.0),
        ]
        self.assertIsNone(replica_selection.next_replicas(members, [], 1))

    def test_new_disk_at_the_old_address_replaces_at_once(self) -> None:
        members = [
            batch_builders.build_member("10.0.0.1-70"),
            batch_builders.build_member("10.0.0.2-70", silent_s=0.5),
            batch_builders.build_member("10.0.0.3-70"),
        ]
        candidates = [self._candidate("10.0.0.2-70-bb")]
        after = replica_selection.next_replicas(members, candidates, 1)
        self.assertEqual(after, ("10.0.0.1-70", "10.0.0.3-70"))

    def test_more_replicas_in_other_zones_for_two_losses(self) -> None:
        members = [
            batch_builders.build_member(f"10.0.0.{n}-70", zone=zone)
            for n, zone in ((1, "a"), (2, "a"), (3, "b"))
        ]
        candidates = [
            self._candidate("10.0.0.4-70-aa", "a"),
            self._candidate("10.0.0.5-70-bb", "c"),
        ]
        after = replica_selection.next_replicas(members, candidates, 2)
        self.assertEqual(after[-1], "10.0.0.5-70-bb")

    def test_even_numbers_of_replicas_are_avoided(self) -> None:
        self.assertEqual(replica_selection.target_replica_count(1, 4), 3)
        self.assertEqual(replica_selection.target_replica_count(2, 8), 5)
        self.assertEqual(replica_selection.target_replica_count(2, 4), 3)


class NodeIdTest(unittest.TestCase):
    """Guards against counting the vote of a disk that is gone."""

    def test_new_disk_gets_another_id_at_the_same_address(self) -> None:
        first = node_ids.bootstrap_id("10.0.0.1", 70)
        later = node_ids.unique_id("10.0.0.1", 70)
        self.assertNotEqual(first, later)
        self.assertNotEqual(later, node_ids.unique_id("10.0.0.1", 70))
        for node_id in (first, later):
            self.assertEqual(node_ids.address_of(node_id), ("10.0.0.1", 70))

    def test_unreadable_id_is_a_failure(self) -> None:
        self.assertFalse(node_ids.address_of(ids.EntryId("nonsense")))
