"""Tests of replication with in-process links and real stores."""

from collections.abc import Awaitable, Callable
import errno
import os
import pathlib
import tempfile
from typing import Any
import unittest
import unittest.mock

import anyio

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.log import applier
from tests import memory_links

_ZONES = ("a", "b", "c", "c", "d", "d")
_SCENARIO_TIMEOUT_S = 120


class ReplicationTest(unittest.TestCase):
    """Guards against lost, reverted or wrongly reported proposals."""

    def _run(
        self,
        scenario: Callable[[memory_links.Cluster], Awaitable[None]],
        **timers: memory_links.SlowTimer,
    ) -> None:
        async def main() -> None:
            with tempfile.TemporaryDirectory() as folder:
                cluster = memory_links.Cluster(
                    pathlib.Path(folder), _ZONES, 3, timers
                )
                with anyio.fail_after(_SCENARIO_TIMEOUT_S):
                    async with anyio.create_task_group() as tasks:
                        for number in range(len(_ZONES)):
                            tasks.start_soon(cluster.run, f"entry-{number}")
                        await cluster.leader()
                        await scenario(cluster)
                        tasks.cancel_scope.cancel()

        anyio.run(main)

    async def _propose_until_run(
        self, cluster: memory_links.Cluster, name: str, payload: bytes
    ) -> applier.AppliedProposal:
        """Repeats a proposal while it is reported as not run."""
        while not (outcome := await cluster.entries[name].propose(payload, 60)):
            self.assertIs(outcome.kind, errors.ErrorKind.NO_LEADER)
            await anyio.sleep(0.02)
        self.assertEqual(outcome.result, b"did " + payload)
        return outcome

    def test_every_entry_applies_what_any_entry_proposes(self) -> None:
        """Guards against proposals or reads that work on the leader only."""

        async def scenario(cluster: memory_links.Cluster) -> None:
            for number, name in enumerate(tuple(cluster.entries)):
                # On a busy machine the leader may change meanwhile.
                applied = await self._propose_until_run(
                    cluster, name, b"%d" % number
                )
            index = await cluster.entries["entry-5"].read_barrier(60)
            self.assertGreaterEqual(index, applied.index)
            await cluster.wait_payload_count(6)
            machines = cluster.state_machines.values()
            self.assertEqual({len(m.payloads) for m in machines}, {6})
            while len(cluster.entries["entry-5"].applied_indexes()) < len(
                _ZONES
            ):
                await anyio.sleep(0.02)

        self._run(scenario)

    def test_minority_refuses_as_not_run_or_unknown(self) -> None:
        """Guards against a proposal that runs though reported as not run."""

        async def scenario(cluster: memory_links.Cluster) -> None:
            leader = await cluster.leader()
            for other in cluster.network.links:
                if other != leader:
                    cluster.network.disconnected_pairs.add(
                        frozenset({leader, other})
                    )
            entry = cluster.entries[leader]
            failure = await entry.propose(b"late", 0.5)
            self.assertIs(failure.kind, errors.ErrorKind.UNDECIDED)
            while entry.cut_off_since_ms is None:
                await anyio.sleep(0.02)
            failure = await entry.propose(b"refused", 5)
            self.assertIs(failure.kind, errors.ErrorKind.NO_LEADER)
            cluster.network.disconnected_pairs.clear()
            while not await entry.propose(b"after", 5):
                await anyio.sleep(0.02)
            self.assertNotIn(
                b"refused", cluster.state_machines[leader].payloads
            )

        self._run(scenario)

    def test_replaced_proposal_is_reported_or_retried_at_once(self) -> None:
        """Guards against a known outcome that is reported as undecided.

        A record of the new leader replaces the proposal of the old one.
        """
        outcomes: dict[str, Any] = {}

        async def scenario(cluster: memory_links.Cluster) -> None:
            leader = await cluster.leader()
            minority = {leader, "entry-5"}
            for member in minority:
                for other_entry in cluster.network.links.keys() - minority:
                    cluster.network.disconnected_pairs.add(
                        frozenset({member, other_entry})
                    )

            async def propose(name: str) -> None:
                payload = f"by {name}".encode()
                outcomes[name] = await cluster.entries[name].propose(
                    payload, _SCENARIO_TIMEOUT_S
                )

            async with anyio.create_task_group() as group:
                for name in minority:
                    group.start_soon(propose, name)
                others = cluster.entries.keys() - minority
                other = min(others)
                while not await cluster.entries[other].propose(b"on", 60):
                    await anyio.sleep(0.02)
                cluster.network.disconnected_pairs.clear()
            self.assertIs(outcomes.pop(leader).kind, errors.ErrorKind.NO_LEADER)
            self.assertTrue(outcomes["entry-5"], outcomes["entry-5"])
            await cluster.wait_payload_count(2)

        self._run(scenario, **{"entry-5": memory_links.SlowTimer()})

    def test_full_disk_refuses_and_keeps_following(self) -> None:
        """Guards against a full disk that stops an entry or the group."""

        async def scenario(cluster: memory_links.Cluster) -> None:
            leader = await cluster.leader()
            full = cluster.folder / leader
            real_write = os.write

            def write(descriptor: int, data: bytes) -> int:
                path = os.readlink(f"/proc/self/fd/{descriptor}")
                if path.startswith(str(full)):
                    raise OSError(errno.ENOSPC, "No space left on device")
                return real_write(descriptor, data)

            with unittest.mock.patch("os.write", write):
                # Other replicas may have stored the proposal already, so it
                # must not be reported as not run.
                outcome = await cluster.entries[leader].propose(b"full", 0.5)
                if isinstance(outcome, errors.Failure):
                    self.assertIs(outcome.kind, errors.ErrorKind.UNDECIDED)
                while not await cluster.entries["entry-5"].propose(b"on", 60):
                    await anyio.sleep(0.02)
                # The others commit without waiting for the leader's own write.
                while not cluster.entries[leader].dump()["replica"]["blocked"]:
                    await anyio.sleep(0.02)
                self.assertFalse(cluster.entries[leader].is_leader)
                while b"on" not in cluster.state_machines[leader].payloads:
                    await anyio.sleep(0.02)
            while cluster.entries[leader].dump()["replica"]["blocked"]:
                await anyio.sleep(0.02)
            self.assertTrue(await cluster.entries[leader].propose(b"ok", 60))

        self._run(scenario)

    def test_replica_can_be_removed_and_added_again(self) -> None:
        """Guards against a membership change that stops or splits a group."""

        async def scenario(cluster: memory_links.Cluster) -> None:
            leader = await cluster.leader()
            other = min({"entry-0", "entry-1", "entry-2"} - {leader})
            for is_replica in (False, True):
                while not await cluster.entries[leader].change_replica(
                    ids.EntryId(other), is_replica, 60
                ):
                    leader = await cluster.leader()
                    await anyio.sleep(0.02)
                payload = b"%d" % is_replica
                await self._propose_until_run(cluster, other, payload)
                while payload not in cluster.state_machines[other].payloads:
                    await anyio.sleep(0.02)
            replicas = cluster.entries[leader].dump()["replica"]["replicas"]
            self.assertEqual(len(replicas), 3)

        self._run(scenario)


if __name__ == "__main__":
    unittest.main()
