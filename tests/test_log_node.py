"""Tests of nodes that discover each other and select their replicas."""

from collections.abc import Callable
import pathlib
import tempfile
import unittest
import unittest.mock

import anyio

from tarragoncleat.cluster import departure
from tarragoncleat.cluster import leader_finder
from tarragoncleat.cluster import links
from tarragoncleat.cluster import log_node
from tarragoncleat.cluster import messages
from tarragoncleat.cluster import node_ids
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import log_store
from tests import builders

_SCENARIO_TIMEOUT_S = 30.0
_PORT = 9_481
_ZONE = ids.AvailabilityZone("fukuoka-a")
_TIMES = {
    "heartbeat_ms": 50,
    "election_timeout_min_ms": 300,
    "election_timeout_max_ms": 600,
    "snapshot_every_records": 20,
}


class _PayloadList:
    """A state machine that stores the applied payloads."""

    def __init__(self) -> None:
        self.payloads: list[bytes] = []

    def apply(self, index: int, time_ms: int, payload: bytes) -> bytes:
        del index, time_ms
        self.payloads.append(payload)
        return b""

    def snapshot(self) -> bytes:
        return b"|".join(self.payloads)

    def restore(self, index: int, data: bytes) -> None:
        del index
        self.payloads = data.split(b"|") if data else []


class _Node:
    """One node of a group on loopback; its folder remains when it stops."""

    def __init__(self, number: int, folder: pathlib.Path) -> None:
        self.host = f"{builders.LOOPBACK}.77.{number}"
        self.folder = folder
        self.state_machine = _PayloadList()
        self.cancel_scope = anyio.CancelScope()
        self.has_stopped = anyio.Event()
        self.on_change: Callable[[], None] = lambda: None

    def open(self, seeds: list[tuple[str, int]], is_first: bool) -> None:
        self.seeds = seeds
        is_bootstrap = is_first and (self.host, _PORT) in seeds
        node_id = log_node.load_identity(
            self.folder, self.host, _PORT, is_bootstrap
        )
        assert not isinstance(node_id, errors.Failure)
        self.node_id = node_id
        timer = timer_module.TimerService()
        self.links = links.Links(
            node_id,
            timer,
            lambda sender, message: self.node.on_message(message),
            self._answer,
            self._on_lost,
        )
        self.node = log_node.LogNode(
            builders.build_settings(
                node_id, data_folder=self.folder, consensus=_TIMES
            ),
            timer,
            self.links,
            self.state_machine,
            1,
            self._on_change,
        )
        initial_replicas = [node_ids.bootstrap_id(*seed) for seed in seeds]
        failure = self.node.open(
            initial_replicas if is_bootstrap else (), self.folder
        )
        assert failure is None
        self.finder = leader_finder.LeaderFinder(
            self.links, timer, messages.Announcement(node_id, _ZONE), seeds
        )

    async def _answer(self, request: object) -> object:
        if isinstance(request, messages.Announcement):
            return self.node.on_announcement(request)
        if isinstance(request, messages.LeaveRequest) and self.node.is_leader:
            return self.node.on_leave(request)
        return messages.NotLeader(self.node.leader_id)

    def _on_change(self) -> None:
        self.on_change()

    def _on_lost(self, address: tuple[str, int]) -> None:
        self.node.on_link_lost(address)

    async def run(self) -> None:
        try:
            with self.cancel_scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.links.run, True)
                    tasks.start_soon(self.node.run)
                    tasks.start_soon(self.finder.run)
        finally:
            self.has_stopped.set()


class GroupTest(unittest.TestCase):
    """Guards against records lost with a disk or at a restart."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.nodes: dict[int, _Node] = {}
        self.disk_count = 0

    def _run_scenario(self, scenario: Callable) -> None:
        async def main() -> None:
            with anyio.fail_after(_SCENARIO_TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    self.tasks = tasks
                    await scenario()
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    def _start(
        self,
        number: int,
        folder: pathlib.Path | None = None,
        is_first: bool = False,
    ) -> _Node:
        if folder is None:
            self.disk_count += 1
            folder = self.folder / str(self.disk_count)
        node = self.nodes[number] = _Node(number, folder)
        seeds = [(f"{builders.LOOPBACK}.77.{n}", _PORT) for n in (1, 2, 3)]
        node.open(seeds, is_first)
        self.tasks.start_soon(node.run)
        return node

    async def _stop(self, number: int) -> _Node:
        node = self.nodes.pop(number)
        node.cancel_scope.cancel()
        # Its listener keeps the address until then.
        await node.has_stopped.wait()
        return node

    async def _leader(self) -> _Node:
        while True:
            for node in self.nodes.values():
                if node.node.is_leader:
                    return node
            await anyio.sleep(0.02)

    async def _write(self, payload: bytes) -> None:
        while True:
            leader = await self._leader()
            result = await leader.node.propose(payload, 1.0)
            if not isinstance(result, errors.Failure):
                return

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await anyio.sleep(0.02)

    def _do_followers_know_the_leader(self) -> bool:
        """Whether all other nodes name the one that leads now."""
        leaders = [node for node in self.nodes.values() if node.node.is_leader]
        if len(leaders) != 1:
            return False
        return all(
            node.finder.leader_id == leaders[0].node_id
            for node in self.nodes.values()
            if node is not leaders[0]
        )

    def _members(self, node: _Node) -> set[str]:
        return set(node.node.dump()["replicas"])

    async def _wait_until_members_are(self, expected: set[str]) -> None:
        """Waits until the leader's log names exactly these replicas.

        The scenario's timeout fails the test if that doesn't happen.
        """
        while self._members(await self._leader()) != expected:
            await anyio.sleep(0.02)

    def test_leader_that_cannot_write_says_that_it_leads_no_more(self) -> None:
        """Guards against leases that a deposed leader goes on renewing.

        It was told only by the next write that succeeded, and a full disk may
        stay full.
        """
        told: list[ids.EntryId | None] = []
        write = log_store.LogStore.write

        async def scenario() -> None:
            for number in (1, 2, 3):
                self._start(number, is_first=True)
            await self._write(b"first")
            leader = await self._leader()

            def write_unless_leader(
                store: log_store.LogStore, batch: log_store.WriteBatch
            ) -> errors.Failure | None:
                if leader.folder in store._folder.parents:
                    return errors.Failure(errors.ErrorKind.STORAGE, "full")
                return write(store, batch)

            leader.on_change = lambda: told.append(leader.node.leader_id)
            with unittest.mock.patch.object(
                log_store.LogStore, "write", write_unless_leader
            ):
                self.tasks.start_soon(leader.node.propose, b"second", 0.5)
                with anyio.move_on_after(3):
                    await self._wait_until(lambda: told[-1:] == [None])
                self.assertEqual(leader.node.dump()["blocked"], "full")

        self._run_scenario(scenario)
        self.assertEqual(told[-1:], [None])

    def test_reads_and_proposals_are_decided_in_the_order_of_arrival(
        self,
    ) -> None:
        """Guards against a read that shows another state than at its arrival.

        One read arrives before a proposal and one after it, while the proposal
        waits for its commit.
        """

        async def scenario() -> None:
            for number in (1, 2, 3):
                self._start(number, is_first=True)
            for number in range(20):
                await self._write(b"%d" % number)
                leader = await self._leader()
                values: dict[str, object] = {}
                await self._read_around_a_proposal(leader, values)
                if leader.node.is_leader:
                    self.assertEqual(values, {"before": False, "after": True})

        self._run_scenario(scenario)

    async def _read_around_a_proposal(
        self, leader: _Node, values: dict[str, object]
    ) -> None:
        payloads = leader.state_machine.payloads
        payload = b"new-%d" % len(payloads)

        async def read(name: str) -> None:
            values[name] = await leader.node.read(lambda: payload in payloads)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read, "before")
            tasks.start_soon(leader.node.propose, payload, 1.0)
            tasks.start_soon(read, "after")

    def test_snapshot_before_any_change_keeps_the_replicas(self) -> None:
        """Guards against a snapshot without replicas.

        A leader that starts from such a snapshot fails with an error.
        """

        async def scenario() -> None:
            for number in (1, 2, 3):
                self._start(number, is_first=True)
            for number in range(60):
                await self._write(b"%d" % number)
            leader = await self._leader()
            await self._wait_until(
                lambda: leader.node.dump()["snapshot_index"] > 0
            )
            self.assertEqual(len(self._members(leader)), 3)

        self._run_scenario(scenario)

    def test_new_disk_at_the_old_address_joins_as_another_member(self) -> None:
        """Guards against a node that votes again after it lost its votes."""

        async def scenario() -> None:
            for number in (1, 2, 3):
                self._start(number, is_first=True)
            await self._write(b"kept")
            old = await self._stop(2)
            new = self._start(2)
            self.assertNotEqual(old.node_id, new.node_id)
            await self._wait_until(
                lambda: b"kept" in new.state_machine.payloads
            )
            expected = {self.nodes[number].node_id for number in (1, 2, 3)}
            self.assertNotIn(old.node_id, expected)
            await self._wait_until_members_are(expected)

        self._run_scenario(scenario)

    def test_waiting_node_takes_a_lost_replicas_place(self) -> None:
        """Guards against a group that doesn't replace a lost replica."""

        async def scenario() -> None:
            for number in (1, 2, 3):
                self._start(number, is_first=True)
            await self._write(b"kept")
            standby = self._start(4)
            self.assertNotIn(
                standby.node_id, self._members(await self._leader())
            )
            lost = await self._stop(1)
            await self._wait_until(
                lambda: b"kept" in standby.state_machine.payloads
            )
            expected = {self.nodes[number].node_id for number in (2, 3, 4)}
            self.assertNotIn(lost.node_id, expected)
            await self._wait_until_members_are(expected)

        self._run_scenario(scenario)

    async def _start_with_standby(self) -> _Node:
        """Starts a group, with one node beside its three replicas."""
        for number in (1, 2, 3):
            self._start(number, is_first=True)
        await self._write(b"kept")
        standby = self._start(4)
        leader = await self._leader()
        await self._wait_until(
            lambda: standby.node_id in leader.node.live_nodes()
        )
        return standby

    async def _leave(self, node: _Node) -> messages.LeaveState:
        return await departure.leave(
            node.node, node.finder, timer_module.TimerService(), node.node_id
        )

    def _check_planned_stop(self, is_leader: bool) -> None:
        async def scenario() -> None:
            await self._start_with_standby()
            leader = await self._leader()
            number = next(
                number
                for number, node in self.nodes.items()
                if number != 4 and (node is leader) is is_leader
            )
            leaving = self.nodes[number]
            self.assertEqual(
                await self._leave(leaving), messages.LeaveState.RELEASED
            )
            await self._stop(number)
            # Of the three replicas now, one more disk is lost at once.
            wiped = next(n for n in self.nodes if n != 4)
            await self._stop(wiped)
            await self._write(b"after")
            leader = await self._leader()
            self.assertEqual(leader.state_machine.payloads, [b"kept", b"after"])
            self.assertNotIn(leaving.node_id, self._members(leader))

        self._run_scenario(scenario)

    def test_disk_may_be_lost_right_after_a_leader_has_left(self) -> None:
        """Guards against a log that is lost for good (review/7)."""
        self._check_planned_stop(is_leader=True)

    def test_disk_may_be_lost_right_after_a_follower_has_left(self) -> None:
        """Guards against a log that is lost for good, as with a leader."""
        self._check_planned_stop(is_leader=False)

    def test_replica_that_nobody_can_replace_is_told_at_once(self) -> None:
        """Guards against a rolling restart that waits for a timeout each."""

        async def scenario() -> None:
            for number in (1, 2, 3):
                self._start(number, is_first=True)
            await self._write(b"kept")
            for node in list(self.nodes.values()):
                self.assertEqual(
                    await self._leave(node), messages.LeaveState.STAYS
                )
            await self._write(b"after")
            leader = await self._leader()
            self.assertEqual(len(self._members(leader)), 3)

        self._run_scenario(scenario)

    def test_standby_that_leaves_takes_no_place(self) -> None:
        """Guards against a place that is given to a node about to stop."""

        async def scenario() -> None:
            standby = await self._start_with_standby()
            self.assertEqual(
                await self._leave(standby), messages.LeaveState.RELEASED
            )
            follower = next(
                node
                for node in self.nodes.values()
                if node is not standby and not node.node.is_leader
            )
            self.assertEqual(
                await self._leave(follower), messages.LeaveState.STAYS
            )

        self._run_scenario(scenario)

    def test_all_nodes_restart_with_what_was_acknowledged(self) -> None:
        """Guards against acknowledged records lost when all nodes restart."""

        async def scenario() -> None:
            for number in (1, 2, 3):
                self._start(number, is_first=True)
            for number in range(50):
                await self._write(b"%d" % number)
            folders = {}
            for number in (1, 2, 3):
                folders[number] = (await self._stop(number)).folder
            for number, folder in folders.items():
                self._start(number, folder)
            await self._write(b"after")
            leader = await self._leader()
            expected = [b"%d" % number for number in range(50)]
            kept = [p for p in leader.state_machine.payloads if p in expected]
            self.assertEqual(kept, expected)

        self._run_scenario(scenario)

    def test_leader_that_lost_its_majority_confirms_no_read(self) -> None:
        """Guards against stale reads from a partitioned leader."""

        async def scenario() -> None:
            for number in (1, 2, 3):
                self._start(number, is_first=True)
            await self._write(b"one")
            leader = await self._leader()
            while not await leader.node.read_barrier():
                leader = await self._leader()
            for number in list(self.nodes):
                if self.nodes[number] is not leader:
                    await self._stop(number)
            read = await leader.node.read(lambda: b"one")
            self.assertIsInstance(read, errors.Failure)
            self.assertFalse(await leader.node.read_barrier())

        self._run_scenario(scenario)

    def test_follower_reports_the_leader(self) -> None:
        """Guards against a node that doesn't find the leader."""

        async def scenario() -> None:
            for number in (1, 2, 3):
                self._start(number, is_first=True)
            await self._wait_until(self._do_followers_know_the_leader)

        self._run_scenario(scenario)
