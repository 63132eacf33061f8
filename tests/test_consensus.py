"""Property tests of the consensus core under combined faults."""

import random
import unittest
import unittest.mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tarragoncleat.kernel import ids
from tarragoncleat.log import consensus
from tarragoncleat.log import consensus_leader
from tarragoncleat.log import consensus_log
from tarragoncleat.log import consensus_messages
from tarragoncleat.log import consensus_output
from tests import consensus_simulation

_NAMES = ("a", "b", "c", "d", "e")
_HISTORY_STEPS = 1_500


class _FaultRules(stateful.RuleBasedStateMachine):
    """Applies random actions: message faults, crashes, partitions, changes."""

    @stateful.initialize(replicas=strategies.sampled_from([1, 2, 3, 5]))
    def start(self, replicas: int) -> None:
        self.simulation = consensus_simulation.Simulation(
            _NAMES, _NAMES[:replicas]
        )
        self.simulation.run(30)

    @stateful.rule(data=strategies.data())
    def act(self, data: strategies.DataObject) -> None:
        def choose(count: int) -> int:
            return data.draw(strategies.integers(0, count - 1))

        for _ in range(6):
            self.simulation.random_action(choose)

    def teardown(self) -> None:
        if hasattr(self, "simulation"):
            self.simulation.check_progress_without_faults()


class RandomFaultsTest(_FaultRules.TestCase):
    """Guards against two leaders, lost commits, stale reads and no progress."""

    settings = hypothesis.settings(
        derandomize=True,
        max_examples=60,
        stateful_step_count=30,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


class LongRandomHistoriesTest(unittest.TestCase):
    """Guards against the same failures after long histories."""

    @hypothesis.settings(
        derandomize=True, max_examples=30, deadline=None, database=None
    )
    @hypothesis.given(
        seed=strategies.integers(0, 2**32), replicas=strategies.integers(1, 5)
    )
    def test_long_random_histories_are_safe(
        self, seed: int, replicas: int
    ) -> None:
        """Guards against failures that need many actions."""
        generator = random.Random(seed)
        simulation = consensus_simulation.Simulation(_NAMES, _NAMES[:replicas])
        simulation.run(30)
        for _ in range(_HISTORY_STEPS):
            simulation.random_action(generator.randrange)
        simulation.check_progress_without_faults()
        self.assertGreater(len(simulation.committed), 0)


class RareFaultsTest(unittest.TestCase):
    """Guards against failures that random histories rarely reach."""

    def test_records_of_earlier_terms_commit_only_through_a_later_one(
        self,
    ) -> None:
        """Guards against committing a record that may still be overwritten.

        Even if a majority has a record of an earlier term, another leader may
        replace it.
        """
        simulation = consensus_simulation.Simulation(
            ("a", "b", "c"), ("a", "b", "c")
        )
        kind = consensus_messages.RecordKind.COMMAND
        old = consensus_messages.Record(1, 1, 0, kind, b"old")
        log = consensus_log.Log(
            simulation.disks[simulation.names[0]].snapshot, [old]
        )
        leadership = consensus_leader.Leadership(
            simulation.names[0],
            3,
            log,
            consensus_output.Timing(0.1, 0.5, 1.0),
            consensus_output.Now(0.0, 0),
            consensus_output.Output(),
        )
        leadership.acknowledge_sync(1)
        log.append(consensus_messages.Record(2, 3, 0, kind, b"own"))
        for match_index, committed in ((1, 0), (2, 2)):
            reply = consensus_messages.AppendReply(
                3, simulation.names[1], True, match_index, 0
            )
            now = consensus_output.Now(0.0, 0)
            leadership.on_append_reply(reply, 0, now)
            leadership.acknowledge_sync(match_index)
            self.assertEqual(leadership.commit_index(), committed)

    def test_old_reply_confirms_no_leadership_after_a_suspension(self) -> None:
        """Guards against leases that a leader grants after it was replaced.

        A reply that waited while the leader was suspended tells nothing about
        the time since.
        """
        simulation = consensus_simulation.Simulation(
            ("a", "b", "c"), ("a", "b", "c")
        )
        simulation.run(60)
        leader = simulation.leaders()[0]
        core = simulation.cores[leader]
        simulation.read(leader)
        sent_s = simulation.now_s
        while any(to.to != leader for _, to in simulation.network):
            position = next(
                number
                for number, (_, to) in enumerate(simulation.network)
                if to.to != leader
            )
            simulation.deliver(position)
        simulation.now_s += 4.0
        while simulation.network:
            simulation.deliver(0)
        self.assertIs(core.role, consensus.Role.LEADER)
        self.assertEqual(core.leadership_confirmed_s(), sent_s)
        simulation.run(10)
        confirmed_s = core.leadership_confirmed_s()
        assert confirmed_s is not None
        self.assertGreaterEqual(confirmed_s, sent_s + 4.0)

    def test_answered_heartbeats_are_forgotten(self) -> None:
        """Guards against a leader that needs more memory with each heartbeat.

        Nobody may ask for the confirmed time.
        """
        simulation = consensus_simulation.Simulation(
            ("a", "b", "c"), ("a", "b", "c")
        )
        with unittest.mock.patch.object(
            consensus_simulation.Simulation, "_check_confirmation"
        ):
            simulation.run(400)
        leadership = simulation.cores[simulation.leaders()[0]]._leadership
        assert leadership is not None
        self.assertLess(len(leadership._unconfirmed), 5)

    def test_disconnected_leader_confirms_no_read(self) -> None:
        """Guards against a stale read from a leader that was replaced."""
        simulation = consensus_simulation.Simulation(
            ("a", "b", "c"), ("a", "b", "c")
        )
        simulation.run(60)
        leader = simulation.leaders()[0]
        simulation.disconnected.add(leader)
        simulation.read(leader)
        simulation.run(10)
        self.assertEqual(simulation.confirmed_read_count, 0)
        simulation.disconnected.clear()
        simulation.run(60)
        simulation.read(simulation.leaders()[0])
        simulation.run(10)
        self.assertGreater(simulation.confirmed_read_count, 0)

    def test_observer_gets_the_log_but_counts_in_no_majority(self) -> None:
        """Guards against records that only a node outside the group confirms.

        Neither a commit nor a read may rest on an observer.
        """
        simulation = consensus_simulation.Simulation(
            ("a", "b", "c", "d"), ("a", "b", "c")
        )
        simulation.run(60)
        leader = simulation.leaders()[0]
        core = simulation.cores[leader]
        observer = simulation.names[3]
        core.set_observers({observer}, simulation._now(leader))
        simulation.run(10)
        self.assertEqual(core.match_index(observer), core.commit_index)
        simulation.disconnected.update(
            name for name in simulation.names if name not in (leader, observer)
        )
        committed_index = core.commit_index
        simulation.propose(leader)
        simulation.read(leader)
        simulation.run(6)
        self.assertGreater(core.match_index(observer), committed_index)
        self.assertEqual(core.commit_index, committed_index)
        self.assertEqual(simulation.confirmed_read_count, 0)
        core.set_observers((), simulation._now(leader))
        self.assertEqual(core.match_index(observer), 0)

    def test_own_vote_counts_only_once_synced(self) -> None:
        """Guards against two votes in a term after a crash."""
        simulation = consensus_simulation.Simulation(("a",), ("a",))
        for _ in range(60):
            simulation.now_s += 0.05
            simulation.tick(simulation.names[0])
        self.assertEqual(simulation.leaders(), [])
        simulation.run(30)
        self.assertEqual(simulation.leaders(), simulation.names)


class BusyLeaderTest(unittest.TestCase):
    """Guards against messages that take a busy leader's processor time.

    Load pattern: hundreds of proposals a second, each on its own, while the
    followers' confirmations are under way.
    """

    def _build(
        self, announces_commits: bool
    ) -> tuple[consensus_leader.Leadership, consensus_log.Log]:
        names = (ids.EntryId("a"), ids.EntryId("b"))
        log = consensus_log.Log(
            consensus_messages.Snapshot(0, 0, 0, names, b"")
        )
        self._output = consensus_output.Output()
        leadership = consensus_leader.Leadership(
            names[0],
            1,
            log,
            consensus_output.Timing(0.1, 0.5, 1.0, announces_commits),
            consensus_output.Now(0.0, 0),
            self._output,
        )
        return leadership, log

    def _propose(
        self,
        leadership: consensus_leader.Leadership,
        log: consensus_log.Log,
    ) -> None:
        kind = consensus_messages.RecordKind.COMMAND
        log.append(
            consensus_messages.Record(log.last_index + 1, 1, 0, kind, b"own")
        )
        leadership.send_pending_records(0, consensus_output.Now(0.0, 0))

    def _sent(self) -> list[int]:
        """Returns how many records each request since the last call carries."""
        sent = [
            len(envelope.message.records)
            for envelope in self._output.immediate_messages
            if isinstance(envelope.message, consensus_messages.AppendRequest)
        ]
        self._output.immediate_messages.clear()
        return sent

    def _confirm(
        self,
        leadership: consensus_leader.Leadership,
        index: int,
        commit_index: int,
    ) -> None:
        reply = consensus_messages.AppendReply(
            1, ids.EntryId("b"), True, index, 0
        )
        now = consensus_output.Now(0.0, 0)
        leadership.on_append_reply(reply, commit_index, now)

    def test_proposals_beside_two_requests_go_into_one(self) -> None:
        """Guards against a request to each follower for each proposal."""
        leadership, log = self._build(announces_commits=True)
        for _ in range(10):
            self._propose(leadership, log)
        self.assertEqual(self._sent(), [1, 1])
        self._confirm(leadership, 1, commit_index=0)
        self.assertEqual(self._sent(), [8])
        self._confirm(leadership, 2, commit_index=0)
        self.assertEqual(self._sent(), [])

    def test_commit_is_announced_with_the_next_request(self) -> None:
        """Guards against a further message for each commit if none needs it."""
        for announces_commits, expected in ((True, [0]), (False, [])):
            leadership, log = self._build(announces_commits)
            self._propose(leadership, log)
            self._sent()
            self._confirm(leadership, 1, commit_index=1)
            self.assertEqual(self._sent(), expected)
            leadership.send_heartbeats(1, consensus_output.Now(0.0, 0))
            request = self._output.immediate_messages[-1].message
            assert isinstance(request, consensus_messages.AppendRequest)
            self.assertEqual(request.commit_index, 1)


if __name__ == "__main__":
    unittest.main()
