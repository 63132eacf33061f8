"""A cluster of entries in one process, linked through fault proxies."""

from collections.abc import AsyncIterator, Callable, Sequence
import contextlib
import functools
import os
from typing import Any

import anyio
import anyio.abc

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer
from tarragoncleat.membership import membership
from tarragoncleat.membership import peering
from tests import builders
from tests import fault_proxy

__all__ = ["PORT", "Cluster", "Node", "run_cluster", "wait_until"]

# Below the ephemeral ports, and different in test runs at the same time.
PORT = 20_000 + os.getpid() % 12_000

_WAIT_S = 10.0
_POLL_S = 0.01
_START_S = 0.005


class Node:
    """One entry: its links and its membership."""

    def __init__(self, index: int, zones: Sequence[str], direct: bool) -> None:
        """Prepares entry `index`, which dials each peer through a proxy."""
        self.entry_id = ids.EntryId(f"entry-{index}")
        self.zone = zones[index]
        self.address = f"127.22.0.{index + 1}:{PORT}"
        network = f"127.22.{0 if direct else index + 1}"
        peers = [
            {
                "entry_id": f"entry-{other}",
                "availability_zone": zone,
                "address": f"{network}.{other + 1}:{PORT}",
            }
            for other, zone in enumerate(zones)
            if other != index
        ]
        self.settings = builders.build_settings(
            self.entry_id,
            zones[index],
            entry={"peer_address": self.address},
            peers=peers,
            membership={"max_lease_ms": 5_000},
        )
        clock = timer.TimerService()
        self.links = peering.PeerLinks(self.settings, clock)
        self.membership = membership.Membership(
            self.settings, self.links, clock
        )
        self._scope = anyio.CancelScope()
        self.ended = anyio.Event()

    async def run(self) -> None:
        """Runs the entry until it is killed."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.links.run)
                await self.membership.run()
        self.ended.set()

    def kill(self) -> None:
        """Stops the entry without a shutdown."""
        self._scope.cancel()

    def candidates(self) -> set[str]:
        """Ids of the candidates of the service "bidding"."""
        candidates = self.membership.candidates(ids.ServiceId("bidding"))
        return {candidate.upstream_id for candidate in candidates}


class Cluster:
    """Entries, and a proxy for each ordered pair of entries."""

    def __init__(self, zones: Sequence[str], direct: bool = False) -> None:
        """Prepares one entry for each name in `zones`."""
        self._tasks: anyio.abc.TaskGroup
        self._build = functools.partial(Node, zones=zones, direct=direct)
        self.nodes = [self._build(index) for index in range(len(zones))]
        self.proxies: dict[tuple[int, int], fault_proxy.FaultProxy] = {}
        for dialler in range(0 if direct else len(zones)):
            for target in range(len(zones)):
                if dialler != target:
                    self.proxies[dialler, target] = fault_proxy.FaultProxy(
                        f"127.22.{dialler + 1}.{target + 1}:{PORT}",
                        self.nodes[target].address,
                    )

    def change(
        self,
        between: Callable[[int, int], bool],
        direction: str = "both",
        **faults: Any,
    ) -> None:
        """Changes the faults of the links for which `between` is true."""
        for pair, proxy in self.proxies.items():
            if between(*pair):
                proxy.set_faults(direction, **faults)

    def cut_zone(self, zone: str, **faults: Any) -> None:
        """Changes the faults of all links between a zone and the others."""
        inside = {
            index for index, node in enumerate(self.nodes) if node.zone == zone
        }
        self.change(lambda a, b: (a in inside) != (b in inside), **faults)

    async def restart(self, index: int) -> None:
        """Kills an entry and starts it again with an empty registry."""
        self.nodes[index].kill()
        await self.nodes[index].ended.wait()
        self.nodes[index] = self._build(index)
        self._tasks.start_soon(self.nodes[index].run)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts all entries and waits until each sees all others as live."""
        self._tasks = tasks
        for proxy in self.proxies.values():
            tasks.start_soon(proxy.run)
        for index, node in enumerate(self.nodes):
            tasks.start_soon(node.run)
            # All entries share one event loop: dialling 1,560 links at once
            # would block it for longer than the silence timeout of a link.
            await anyio.sleep(index * _START_S)
        count = len(self.nodes)
        await wait_until(
            lambda: all(
                len(node.links.connected()) == count - 1
                and node.membership.live_entries() == count
                for node in self.nodes
            )
        )


@contextlib.asynccontextmanager
async def run_cluster(
    zones: Sequence[str], direct: bool = False
) -> AsyncIterator[Cluster]:
    """Runs a cluster for the duration of the context."""
    cluster = Cluster(zones, direct)
    async with anyio.create_task_group() as tasks:
        await cluster.run(tasks)
        yield cluster
        tasks.cancel_scope.cancel()
    # Lets the event loop close the sockets of the cancelled tasks.
    await anyio.sleep(_POLL_S)


async def wait_until(
    condition: Callable[[], bool], limit_s: float = _WAIT_S
) -> None:
    """Waits for a condition.

    Raises:
        TimeoutError: It did not become true within the limit.
    """
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(_POLL_S)
