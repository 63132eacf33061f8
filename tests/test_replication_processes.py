"""Tests of replication with real processes that are killed by SIGKILL."""

import collections
import pathlib
import tempfile
import time
import unittest

from tarragoncleat_bench import control_cluster

_ZONES = ("a", "b", "c", "c", "d")
_RETRY_S = 0.02
_ROUNDS = 10
_ROUND_S = 5.0
_PARALLEL = 8
_FREQUENT_SNAPSHOTS = "snapshot_every_records = 100"


class KilledProcessesTest(unittest.TestCase):
    """Guards against lost, repeated, reordered or misreported changes."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = control_cluster.Cluster(
            pathlib.Path(folder.name), _ZONES, 3, consensus=_FREQUENT_SNAPSHOTS
        )
        self.addCleanup(self.cluster.close)
        self.nodes = list(self.cluster.nodes.values())
        self.leader = self.cluster.wait_leader()
        self.cluster.wait_leader_contact()
        self.applied: set[int] = set()
        self.not_run: set[int] = set()
        self.marker = 1_000_000

    def _record_outcomes(self, answer: dict) -> None:
        self.applied |= {tag for tag, _, _ in answer["applied"]}
        for tag, kind, _ in answer["failed"]:
            self.assertIn(kind, ("no_leader", "undecided"))
            if kind == "no_leader":
                self.not_run.add(tag)

    def _apply_all(
        self, node: control_cluster.Node, first: int, count: int
    ) -> None:
        """Proposes tags until each is applied.

        During an election, which high load may cause, new proposals fail as
        not run, and pending ones as undecided. Proposals that were not run,
        as reported or as the log shows, are repeated; `_check_orders` detects
        a change that ran twice.
        """
        answer = node.propose(first, count, parallel=8)
        while True:
            self.applied |= {tag for tag, _, _ in answer["applied"]}
            kinds = {kind for _, kind, _ in answer["failed"]}
            self.assertLessEqual(kinds, {"no_leader", "undecided"})
            if "undecided" in kinds:
                self.cluster.wait_applied(self._append_marker())
                tags = set(node.request(do="tags")["tags"])
                self.applied |= tags & set(range(first, first + count))
            remaining = set(range(first, first + count)) - self.applied
            if not remaining:
                return
            time.sleep(_RETRY_S)
            answer = node.propose(min(remaining), 1)

    def _start_proposals(self) -> list[control_cluster.Node]:
        """Starts proposals on all entries but the leader.

        An entry that has lost contact with the leader, as on a busy machine,
        refuses all of them; then another round starts.

        Returns:
            The entries, of which at least one was told of an applied change.
        """
        for number in range(_ROUNDS):
            self.leader = self.cluster.wait_leader()
            self.cluster.wait_leader_contact()
            proposers = [node for node in self.nodes if node is not self.leader]
            applied_before = len(self._leader_tags())
            for position, node in enumerate(proposers):
                first = (number * len(proposers) + position) * 1_000
                node.send_proposals(first, 600, parallel=_PARALLEL)
            # More than what all entries wait for at a time.
            target = applied_before + len(proposers) * _PARALLEL + 1
            if self._wait_leader_tags(target):
                return proposers
            for node in proposers:
                self._record_outcomes(node.receive())
        raise AssertionError("no round of proposals was applied")

    def _leader_tags(self) -> list[int]:
        return self.leader.request(do="tags")["tags"]

    def _wait_leader_tags(self, count: int) -> bool:
        """Whether the leader applies this many changes within a round."""
        deadline_s = time.monotonic() + _ROUND_S
        while time.monotonic() < deadline_s:
            if len(self._leader_tags()) >= count:
                return True
            time.sleep(_RETRY_S)
        return False

    def _append_marker(self) -> int:
        """Proposes a change after all earlier ones; returns its index."""
        while True:
            self.marker += 1
            answer = self.cluster.wait_leader().propose(self.marker, 1)
            if answer["applied"]:
                return answer["applied"][0][1]
            time.sleep(_RETRY_S)

    def _check_orders(self) -> None:
        """Checks that all running entries have the same changes, in order."""
        self.cluster.wait_applied(self._append_marker())
        orders = [
            node.request(do="tags")["tags"] for node in self.cluster.running()
        ]
        for order in orders[1:]:
            self.assertEqual(order, orders[0])
        counts = collections.Counter(orders[0])
        self.assertEqual(set(counts.values()), {1}, "a change ran twice")
        self.assertLessEqual(self.applied, set(counts), "a change was lost")
        self.assertFalse(self.not_run & set(counts), "not-run, yet applied")

    def test_leader_killed_during_proposals(self) -> None:
        """Guards against misreported outcomes when the leader is killed."""
        proposers = self._start_proposals()
        self.leader.kill()
        for node in proposers:
            self._record_outcomes(node.receive())
        self.leader.start()
        self.assertGreater(len(self.applied), 0)
        self._check_orders()

    def test_majority_killed_and_restarted(self) -> None:
        """Guards against lost changes when a majority is killed."""
        self._apply_all(self.nodes[4], 0, 300)
        killed = [
            self.leader,
            next(n for n in self.nodes[:3] if n is not self.leader),
        ]
        for node in killed:
            node.kill()
        self._record_outcomes(self.nodes[4].propose(1_000, 4, timeout_s=1.0))
        for node in killed:
            node.start()
        self.assertEqual(len(self.applied), 300)
        self._check_orders()

    def test_replica_and_learner_stopped_during_500_changes(self) -> None:
        """Guards against a gap when an entry needs a snapshot to catch up."""
        self._apply_all(self.nodes[0], 0, 50)
        stopped = [
            next(n for n in self.nodes[:3] if n is not self.leader),
            self.nodes[4],
        ]
        for node in stopped:
            node.kill()
        self._apply_all(self.leader, 1_000, 500)
        for node in stopped:
            node.start()
        self.assertEqual(len(self.applied), 550)
        self._check_orders()
        dump = self.leader.request(do="status")["dump"]["replica"]
        # The leader's log doesn't contain the next record of the replica.
        self.assertGreater(dump["first_index"], 60)


if __name__ == "__main__":
    unittest.main()
