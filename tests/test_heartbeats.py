"""Tests of sharing the workers' heartbeats over the control nodes.

Load pattern: hundreds of workers send a heartbeat every 1.5 s, and nearly none
of them changes anything.
"""

import collections
import unittest

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.workers import heartbeats
from tarragoncleat.kernel import ids
from tests import batch_builders

_LEADER = ids.EntryId("leader")
_NODES = {
    _LEADER: ids.AvailabilityZone("fukuoka-a"),
    ids.EntryId("node-b"): ids.AvailabilityZone("fukuoka-b"),
    ids.EntryId("node-c"): ids.AvailabilityZone("kumamoto"),
    ids.EntryId("node-d"): ids.AvailabilityZone("kumamoto"),
}


class FollowerAnswerTest(unittest.TestCase):
    """Guards against a follower that answers what the leader must decide."""

    def setUp(self) -> None:
        self.local = batch_builders.LocalState()
        self.local.register("w-1")

    def _changes_nothing(
        self,
        worker_id: str = "w-1",
        silence_s: float | None = 0.1,
        is_draining: bool = False,
        **fields: str,
    ) -> bool:
        record = batch_builders.build_record(worker_id, **fields)
        heartbeat = messages.Heartbeat(record, is_draining, 1, None)
        return heartbeats.changes_nothing(
            heartbeat, self.local.state, silence_s
        )

    def test_heartbeat_of_a_known_worker_changes_nothing(self) -> None:
        """Guards against heartbeats that all take the leader's time."""
        self.assertTrue(self._changes_nothing())

    def test_news_go_to_the_leader(self) -> None:
        """Guards against a worker that is never registered or drained."""
        self.assertFalse(self._changes_nothing("w-2"))
        self.assertFalse(self._changes_nothing(is_draining=True))
        self.assertFalse(self._changes_nothing(service="alerting"))

    def test_worker_that_is_not_up_goes_to_the_leader(self) -> None:
        """Guards against a worker that stays lost after it came back."""
        self.local.apply(commands.MarkWorkersLost(("w-1",), is_final=False))
        self.assertFalse(self._changes_nothing())

    def test_follower_that_is_cut_off_answers_nothing(self) -> None:
        """Guards against answers from a state that may be old."""
        self.assertFalse(self._changes_nothing(silence_s=None))
        self.assertFalse(self._changes_nothing(silence_s=5.0))


class NodeSelectionTest(unittest.TestCase):
    """Guards against heartbeats that are sent to the leader or one follower."""

    def test_workers_are_spread_over_the_followers_of_their_zone(self) -> None:
        """Guards against a follower that gets all heartbeats of a zone."""
        counts = collections.Counter(
            heartbeats.select_node(
                batch_builders.build_record(
                    f"w-{number}", availability_zone="kumamoto"
                ),
                _LEADER,
                _NODES,
            )
            for number in range(100)
        )
        self.assertEqual(set(counts), {"node-c", "node-d"})
        self.assertGreater(min(counts.values()), 25)

    def test_leaders_zone_uses_the_other_followers(self) -> None:
        """Guards against heartbeats to the leader from its own zone."""
        chosen = {
            heartbeats.select_node(
                batch_builders.build_record(f"w-{number}"), _LEADER, _NODES
            )
            for number in range(100)
        }
        self.assertEqual(chosen, _NODES.keys() - {_LEADER})

    def test_leader_without_followers_gets_them_itself(self) -> None:
        """Guards against workers without a node for their heartbeats."""
        record = batch_builders.build_record()
        nodes = {_LEADER: _NODES[_LEADER]}
        self.assertEqual(
            heartbeats.select_node(record, _LEADER, nodes), _LEADER
        )


if __name__ == "__main__":
    unittest.main()
