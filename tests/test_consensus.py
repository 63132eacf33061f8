"""Property tests of the consensus core under combined faults."""

import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

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


if __name__ == "__main__":
    unittest.main()
