"""Tests of worker leases, the choice of replicas and node ids."""

import unittest

import hypothesis
from hypothesis import strategies

from tarragoncleat.batch.workers import leases
from tarragoncleat.cluster import node_ids
from tarragoncleat.cluster import replica_selection
from tarragoncleat.kernel import ids
from tests import batch_builders

_MAX_MS = 6_000


class LeaseTrackerTest(unittest.TestCase):
    """Tests the expiry of leases.

    A leader that assumes expiry too early starts a second run of a task while
    the first one still runs.
    """

    def test_new_leader_waits_for_leases_of_earlier_leaders(self) -> None:
        """An earlier leader may have granted a lease of the maximum length."""
        tracker = leases.LeaseTracker(10.0, _MAX_MS)
        self.assertFalse(tracker.is_expired(16.0))
        self.assertTrue(tracker.is_expired(16.3))

    @hypothesis.given(
        clock_rate=strategies.floats(0.98, 1.02),
        grants=strategies.lists(
            strategies.tuples(
                strategies.floats(0.01, 3.0), strategies.booleans()
            ),
            min_size=1,
            max_size=8,
        ),
    )
    def test_expiry_is_never_before_that_on_the_worker(
        self, clock_rate: float, grants: list[tuple[float, bool]]
    ) -> None:
        """It must hold for any clock rate and any number of lost answers."""
        now_s = 100.0

        def clock_ms(at_s: float) -> float:
            return 50_000 + (at_s - 100.0) * 1000 * clock_rate

        tracker = leases.LeaseTracker(now_s, _MAX_MS)
        tracker.record_clock(int(clock_ms(now_s)), now_s)
        end_ms = 0
        for pause_s, is_answered in grants:
            now_s += pause_s
            end_ms = max(end_ms, tracker.grant(4_500, now_s))
            if is_answered:
                tracker.record_clock(int(clock_ms(now_s)), now_s)
        self.assertGreaterEqual(clock_ms(tracker.latest_expiry_s()), end_ms)

    @hypothesis.given(
        max_lease_ms=strategies.integers(2_000, 60_000),
        clock_rate=strategies.floats(0.98, 1.02),
    )
    @hypothesis.settings(derandomize=True)
    def test_last_lease_of_a_deposed_leader_ends_before_the_next_one_acts(
        self, max_lease_ms: int, clock_rate: float
    ) -> None:
        """Guards against a task that runs under two leaders at once.

        The next leader is elected right after the last confirmation.
        """
        elected_s = 100.0
        granted_s = elected_s + leases.max_unconfirmed_s(max_lease_ms)
        deposed = leases.LeaseTracker(0.0, max_lease_ms)
        deposed.record_clock(1_000, granted_s)
        duration_ms = leases.granted_duration_ms(max_lease_ms)
        until_ms = deposed.grant(duration_ms, granted_s)
        assert until_ms is not None
        ends_s = granted_s + (until_ms - 1_000) / 1_000 / clock_rate
        following = leases.LeaseTracker(elected_s, max_lease_ms)
        self.assertLessEqual(ends_s, following.latest_expiry_s())

    def test_starts_do_not_extend_the_lease_of_a_silent_worker(self) -> None:
        """Guards against tasks that wait longer the more was started.

        Starts were sent to a worker until its silence was noticed, and each one
        moved the time from which its tasks may run elsewhere.
        """
        tracker = leases.LeaseTracker(100.0, _MAX_MS)
        tracker.record_clock(50_000, 100.0)
        granted_ms = tracker.grant(4_500, 100.0)
        expiry_s = tracker.latest_expiry_s()
        for now_s in (100.5, 101.5, 102.8):
            reused_ms = tracker.reuse_or_grant(4_500, 1_000, now_s)
            self.assertEqual(reused_ms, granted_ms)
        self.assertEqual(tracker.latest_expiry_s(), expiry_s)

    def test_short_or_missing_lease_is_granted_anew(self) -> None:
        """Guards against starts that the worker refuses as too late."""
        tracker = leases.LeaseTracker(100.0, _MAX_MS)
        self.assertIsNone(tracker.reuse_or_grant(4_500, 1_000, 100.0))
        tracker.record_clock(50_000, 100.0)
        self.assertEqual(tracker.reuse_or_grant(4_500, 1_000, 100.0), 54_500)
        self.assertEqual(tracker.reuse_or_grant(4_500, 1_000, 104.0), 58_500)


class ReplicaSelectionTest(unittest.TestCase):
    """Tests changes of the replicas after failures and replaced disks."""

    def _standby(
        self, name: str, zone: str = "z"
    ) -> replica_selection.StandbyNode:
        return replica_selection.StandbyNode(
            ids.EntryId(name), ids.AvailabilityZone(zone)
        )

    def test_substitute_is_added_before_the_lost_replica_is_removed(
        self,
    ) -> None:
        """Removing first leaves a group that bears one lost disk less."""
        replicas = [
            batch_builders.build_replica_status("10.0.0.1-70"),
            batch_builders.build_replica_status("10.0.0.2-70"),
            batch_builders.build_replica_status("10.0.0.3-70", silent_s=5.0),
        ]
        standbys = [self._standby("10.0.0.4-70-aa")]
        after = replica_selection.next_replicas(replicas, standbys, 1)
        self.assertEqual(
            after,
            ("10.0.0.1-70", "10.0.0.2-70", "10.0.0.3-70", "10.0.0.4-70-aa"),
        )
        replicas.append(batch_builders.build_replica_status("10.0.0.4-70-aa"))
        after = replica_selection.next_replicas(replicas, [], 1)
        self.assertEqual(
            after, ("10.0.0.1-70", "10.0.0.2-70", "10.0.0.4-70-aa")
        )

    def test_replica_that_returns_leaves_no_even_group(self) -> None:
        """Guards against a group that stays larger after an exchange."""
        replicas = [
            batch_builders.build_replica_status(
                f"10.0.0.{number}-70", silent_s=0.1 * (number == 3)
            )
            for number in (1, 2, 3, 4)
        ]
        after = replica_selection.next_replicas(replicas, [], 1)
        self.assertEqual(after, ("10.0.0.1-70", "10.0.0.2-70", "10.0.0.4-70"))

    def test_replica_that_leaves_is_replaced_while_it_answers(self) -> None:
        """Guards against a planned stop that costs the group a replica.

        The leader itself may leave as well.
        """
        for silent_s in (0.0, 0.1):
            leaving = batch_builders.build_replica_status(
                "10.0.0.1-70", silent_s, is_leaving=True
            )
            replicas = [
                leaving,
                batch_builders.build_replica_status("10.0.0.2-70"),
                batch_builders.build_replica_status("10.0.0.3-70", 0.2),
            ]
            self.assertIsNone(replica_selection.next_replicas(replicas, [], 1))
            standbys = [self._standby("10.0.0.4-70-aa")]
            after = replica_selection.next_replicas(replicas, standbys, 1)
            assert after is not None
            self.assertEqual(after[-1], "10.0.0.4-70-aa")
            replicas.append(
                batch_builders.build_replica_status("10.0.0.4-70-aa")
            )
            after = replica_selection.next_replicas(replicas, [], 1)
            self.assertEqual(
                after, ("10.0.0.2-70", "10.0.0.3-70", "10.0.0.4-70-aa")
            )

    def test_lost_replica_goes_before_one_that_leaves(self) -> None:
        """Guards against a stop that keeps a lost disk in the group."""
        replicas = [
            batch_builders.build_replica_status("10.0.0.1-70", is_leaving=True),
            batch_builders.build_replica_status("10.0.0.2-70"),
            batch_builders.build_replica_status("10.0.0.3-70", silent_s=5.0),
            batch_builders.build_replica_status("10.0.0.4-70-aa"),
        ]
        after = replica_selection.next_replicas(replicas, [], 1)
        self.assertEqual(
            after, ("10.0.0.1-70", "10.0.0.2-70", "10.0.0.4-70-aa")
        )

    def test_group_without_a_majority_is_not_changed(self) -> None:
        """Guards against changes that can't be committed."""
        replicas = [
            batch_builders.build_replica_status(
                f"10.0.0.{number}-70", silent_s=9.0 * (number > 1)
            )
            for number in (1, 2, 3)
        ]
        standbys = [self._standby("10.0.0.4-70-aa")]
        self.assertIsNone(
            replica_selection.next_replicas(replicas, standbys, 1)
        )

    def test_silent_replica_stays_without_a_substitute(self) -> None:
        """The replica may return, and a removal would gain nothing."""
        replicas = [
            batch_builders.build_replica_status("10.0.0.1-70"),
            batch_builders.build_replica_status("10.0.0.2-70", silent_s=60.0),
        ]
        self.assertIsNone(replica_selection.next_replicas(replicas, [], 1))

    def test_new_disk_at_the_same_address_replaces_at_once(self) -> None:
        """A node with a new disk proves that the old replica is lost."""
        replicas = [
            batch_builders.build_replica_status("10.0.0.1-70"),
            batch_builders.build_replica_status("10.0.0.2-70", silent_s=0.5),
            batch_builders.build_replica_status("10.0.0.3-70"),
        ]
        standbys = [self._standby("10.0.0.2-70-bb")]
        after = replica_selection.next_replicas(replicas, standbys, 1)
        self.assertEqual(after[-1], "10.0.0.2-70-bb")
        replicas.append(batch_builders.build_replica_status("10.0.0.2-70-bb"))
        # A delayed reply of another replica doesn't make that one the lost one.
        replicas[2] = batch_builders.build_replica_status("10.0.0.3-70", 0.9)
        after = replica_selection.next_replicas(replicas, [], 1)
        self.assertNotIn("10.0.0.2-70", after)
        self.assertEqual(len(after), 3)

    def test_two_tolerated_losses_add_replicas_in_other_zones(self) -> None:
        """Replicas in one zone may fail together."""
        replicas = [
            batch_builders.build_replica_status(f"10.0.0.{n}-70", zone=zone)
            for n, zone in ((1, "a"), (2, "a"), (3, "b"))
        ]
        standbys = [
            self._standby("10.0.0.4-70-aa", "a"),
            self._standby("10.0.0.5-70-bb", "c"),
        ]
        after = replica_selection.next_replicas(replicas, standbys, 2)
        self.assertEqual(after[-1], "10.0.0.5-70-bb")

    def test_even_numbers_of_replicas_are_avoided(self) -> None:
        """An even number tolerates no more losses than one replica less."""
        self.assertEqual(replica_selection.target_replica_count(1, 4), 3)
        self.assertEqual(replica_selection.target_replica_count(2, 8), 5)
        self.assertEqual(replica_selection.target_replica_count(2, 4), 3)


class NodeIdTest(unittest.TestCase):
    """Tests the ids of nodes."""

    def test_new_disk_gets_another_id_at_the_same_address(self) -> None:
        """The vote of a node that lost its disk must not count."""
        first = node_ids.bootstrap_id("10.0.0.1", 70)
        later = node_ids.unique_id("10.0.0.1", 70)
        self.assertNotEqual(first, later)
        self.assertNotEqual(later, node_ids.unique_id("10.0.0.1", 70))
        for node_id in (first, later):
            self.assertEqual(node_ids.address_of(node_id), ("10.0.0.1", 70))

    def test_invalid_id_has_no_address(self) -> None:
        """Guards against an exception for an id of another form."""
        self.assertFalse(node_ids.address_of(ids.EntryId("nonsense")))
