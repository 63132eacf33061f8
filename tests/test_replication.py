"""Tests of replication over links in one process, with real stores."""

from collections.abc import Awaitable, Callable
import pathlib
import tempfile
import unittest

import anyio

from tarragoncleat import errors
from tests import memory_links

_ZONES = ("a", "b", "c", "c", "d", "d")
_LIMIT_S = 120


class ReplicationTest(unittest.TestCase):
    """Guards against lost, reverted or wrongly reported proposals."""

    def _run(
        self, scenario: Callable[[memory_links.Cluster], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            with tempfile.TemporaryDirectory() as folder:
                cluster = memory_links.Cluster(pathlib.Path(folder), _ZONES, 3)
                with anyio.fail_after(_LIMIT_S):
                    async with anyio.create_task_group() as tasks:
                        for number in range(len(_ZONES)):
                            tasks.start_soon(cluster.run, f"entry-{number}")
                        await cluster.leader()
                        await scenario(cluster)
                        tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_every_entry_applies_what_any_entry_proposes(self) -> None:
        async def scenario(cluster: memory_links.Cluster) -> None:
            for number, entry in enumerate(tuple(cluster.entries.values())):
                payload = b"%d" % number
                applied = await entry.propose(payload, 60)
                self.assertEqual(applied.result, b"did " + payload)
            index = await cluster.entries["entry-5"].read_barrier(60)
            self.assertGreaterEqual(index, applied.index)
            await cluster.wait_equal(6)
            machines = cluster.machines.values()
            self.assertEqual({len(m.payloads) for m in machines}, {6})
            while len(cluster.entries["entry-5"].in_force()) < len(_ZONES):
                await anyio.sleep(0.02)

        self._run(scenario)

    def test_minority_refuses_as_not_run_or_unknown(self) -> None:
        async def scenario(cluster: memory_links.Cluster) -> None:
            leader = await cluster.leader()
            for other in cluster.network.links:
                if other != leader:
                    cluster.network.cut.add(frozenset({leader, other}))
            entry = cluster.entries[leader]
            failure = await entry.propose(b"late", 0.5)
            self.assertIs(failure.kind, errors.ErrorKind.UNDECIDED)
            while entry.cut_off_since_ms is None:
                await anyio.sleep(0.02)
            failure = await entry.propose(b"refused", 5)
            self.assertIs(failure.kind, errors.ErrorKind.NO_LEADER)
            cluster.network.cut.clear()
            while not await entry.propose(b"after", 5):
                await anyio.sleep(0.02)
            self.assertNotIn(b"refused", cluster.machines[leader].payloads)

        self._run(scenario)


if __name__ == "__main__":
    unittest.main()
