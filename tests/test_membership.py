"""Tests of membership over real links behind the fault proxy."""

from collections.abc import Awaitable, Callable
import functools
import unittest

import anyio
import loguru

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tests import builders
from tests import peer_cluster

# Zone of each entry; the first entry of a zone is its relay.
_ZONES = ["a", "a", "a", "b", "b", "c"]
_UPSTREAM = "upstream-1"


def _scenario(
    test: Callable[..., Awaitable[None]],
) -> Callable[[unittest.TestCase], None]:
    """Runs a test with a cluster of `_ZONES`."""

    async def run(case: unittest.TestCase) -> None:
        async with peer_cluster.run_cluster(_ZONES) as cluster:
            await test(case, cluster)

    @functools.wraps(test)
    def wrapper(case: unittest.TestCase) -> None:
        anyio.run(run, case)

    return wrapper


def _announce(
    node: peer_cluster.Node, name: str = _UPSTREAM, lease_ms: int = 5_000
) -> None:
    node.membership.announce(
        builders.build_announcement(name, node.zone, lease_ms=lease_ms)
    )


def _pulls(nodes: list) -> list[int]:
    return [node.membership.dump()["pulls"] for node in nodes]


async def _wait_seen(nodes: list, wanted: set[str]) -> None:
    await peer_cluster.wait_until(
        lambda: all(node.candidates() == wanted for node in nodes)
    )


class MembershipTest(unittest.TestCase):
    """Guards the 2 s limit of a leave and the removal of silent upstreams."""

    def setUp(self) -> None:
        loguru.logger.remove()

    @_scenario
    async def test_leave_survives_failure_of_its_entry(
        self, cluster: peer_cluster.Cluster
    ) -> None:
        """A leave must survive the failure of the entry that accepted it.

        Only one other entry, which is not the relay, received it before.
        """
        nodes = cluster.nodes
        _announce(nodes[1])
        await _wait_seen(nodes, {_UPSTREAM})
        # The relay of the zone freezes; entry 1 accepts the leave and reaches
        # only entry 2.
        cluster.change(lambda a, b: 0 in (a, b), hold=True)
        cluster.change(lambda a, b: a == 1 and b != 2, hold=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(nodes[1].membership.leave, _UPSTREAM)
            await _wait_seen([nodes[2]], set())
            nodes[1].kill()
            tasks.cancel_scope.cancel()
        await _wait_seen(nodes[2:], set())

    @_scenario
    async def test_receivers_forward_a_leave(
        self, cluster: peer_cluster.Cluster
    ) -> None:
        """A leave received by one entry only must reach all without a pull."""
        nodes = cluster.nodes
        _announce(nodes[1])
        await _wait_seen(nodes, {_UPSTREAM})
        before = _pulls(nodes)
        cluster.change(lambda a, b: a == 1 and b != 2, hold=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(nodes[1].membership.leave, _UPSTREAM)
            await _wait_seen(nodes, set())
        self.assertEqual(_pulls(nodes), before)

    @_scenario
    async def test_leave_returns_after_acknowledgement(
        self, cluster: peer_cluster.Cluster
    ) -> None:
        """A leave must be in force at reachable entries when it returns."""
        nodes = cluster.nodes
        cluster.change(lambda a, b: True, delay_ms=10)
        _announce(nodes[4])
        await _wait_seen(nodes, {_UPSTREAM})
        self.assertIsNone(await nodes[4].membership.leave(_UPSTREAM))
        self.assertEqual([node.candidates() for node in nodes], [set()] * 6)
        # The leave overtakes the announcement on the way to the other entries.
        cluster.change(lambda a, b: a == 3, hold=True)
        _announce(nodes[3])
        self.assertIsNone(await nodes[4].membership.leave(_UPSTREAM))
        cluster.change(lambda a, b: True, hold=False)
        await anyio.sleep(0.2)
        self.assertEqual([node.candidates() for node in nodes], [set()] * 6)
        unknown = await nodes[4].membership.leave(ids.UpstreamId("nobody"))
        self.assertIs(unknown.kind, errors.ErrorKind.NOT_FOUND)

    @_scenario
    async def test_zone_partition(self, cluster: peer_cluster.Cluster) -> None:
        """A cut-off zone must keep using its own upstreams.

        Upstreams that left there must not return when the zone reconnects.
        """
        nodes = cluster.nodes
        inside, outside = nodes[3:5], [*nodes[:3], nodes[5]]
        _announce(nodes[0], "outside")
        _announce(nodes[3], "inside-1")
        _announce(nodes[4], "inside-2")
        everything = {"outside", "inside-1", "inside-2"}
        await _wait_seen(nodes, everything)
        cluster.cut_zone("b", hold=True)
        await _wait_seen(outside, {"outside"})
        await _wait_seen(inside, {"inside-1", "inside-2"})
        await peer_cluster.wait_until(
            lambda: inside[0].membership.live_entries() == 2
        )
        await nodes[3].membership.leave(ids.UpstreamId("inside-1"))
        _announce(nodes[3], "inside-3")
        _announce(nodes[3], "inside-2")
        _announce(nodes[0], "outside")
        cluster.cut_zone("b", hold=False)
        await _wait_seen(nodes, {"outside", "inside-2", "inside-3"})

    @_scenario
    async def test_silent_upstream_is_dropped(
        self, cluster: peer_cluster.Cluster
    ) -> None:
        """Every zone must drop an upstream whose lease expires in its zone."""
        nodes = cluster.nodes
        _announce(nodes[1], lease_ms=800)
        await _wait_seen(nodes, {_UPSTREAM})
        before = _pulls(nodes[3:])
        await _wait_seen(nodes, set())
        self.assertEqual(_pulls(nodes[3:]), before)
        record = nodes[5].membership.record(ids.UpstreamId(_UPSTREAM))
        self.assertEqual(record.state.value, "announced")

    @_scenario
    async def test_suspect_returns_after_a_probe(
        self, cluster: peer_cluster.Cluster
    ) -> None:
        """An unreachable upstream must not be used before a probe connects."""
        nodes = cluster.nodes
        host, port = "127.22.9.9", peer_cluster.PORT
        nodes[0].membership.announce(
            builders.build_announcement(
                _UPSTREAM, "a", host=host, port=port, lease_ms=5_000
            )
        )
        await _wait_seen(nodes, {_UPSTREAM})
        for node in (nodes[0], nodes[5]):
            node.membership.report_suspect(ids.UpstreamId(_UPSTREAM))
            self.assertEqual(node.candidates(), set())
        await anyio.sleep(1.0)
        self.assertEqual(nodes[5].candidates(), set())
        self.assertEqual(nodes[4].candidates(), {_UPSTREAM})
        async with await anyio.create_tcp_listener(
            local_host=host, local_port=port
        ):
            await _wait_seen(nodes, {_UPSTREAM})

    @_scenario
    async def test_renewals_cross_a_leave(
        self, cluster: peer_cluster.Cluster
    ) -> None:
        """Renewals at other entries during a leave must not undo the leave."""
        nodes = cluster.nodes
        _announce(nodes[0])
        await _wait_seen(nodes, {_UPSTREAM})
        cluster.change(lambda a, b: True, delay_ms=30)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(nodes[0].membership.leave, _UPSTREAM)
            await anyio.sleep(0.01)
            _announce(nodes[1])
            _announce(nodes[2])
        await _wait_seen(nodes, set())
        await anyio.sleep(0.5)
        self.assertEqual([node.candidates() for node in nodes], [set()] * 6)
        _announce(nodes[2])
        await _wait_seen(nodes, {_UPSTREAM})
        record = nodes[5].membership.record(ids.UpstreamId(_UPSTREAM))
        self.assertEqual(record.epoch, 2)

    @_scenario
    async def test_zone_restarts_without_records(
        self, cluster: peer_cluster.Cluster
    ) -> None:
        """A zone that restarts must learn the epochs that other zones have."""
        _announce(cluster.nodes[5])
        await cluster.nodes[5].membership.leave(_UPSTREAM)
        await cluster.restart(5)
        await peer_cluster.wait_until(
            lambda: len(cluster.nodes[5].links.connected()) == 5
        )
        upstream_id = ids.UpstreamId(_UPSTREAM)

        def renew_until_known() -> bool:
            _announce(cluster.nodes[5])
            return all(node.candidates() for node in cluster.nodes)

        await peer_cluster.wait_until(renew_until_known)
        for node in cluster.nodes:
            self.assertEqual(node.membership.record(upstream_id).epoch, 2)

    @_scenario
    async def test_in_flight_reaches_other_zones(
        self, cluster: peer_cluster.Cluster
    ) -> None:
        """Every entry must count the requests of each other entry once."""
        nodes = cluster.nodes
        upstream_id = ids.UpstreamId(_UPSTREAM)
        for node in nodes:
            node.membership.report_in_flight(upstream_id, 2)
        await peer_cluster.wait_until(
            lambda: all(
                node.membership.in_flight_elsewhere(upstream_id) == 10
                for node in nodes
            )
        )
        nodes[1].kill()
        nodes[3].membership.report_in_flight(upstream_id, 0)
        await peer_cluster.wait_until(
            lambda: all(
                node.membership.in_flight_elsewhere(upstream_id) == expected
                for node, expected in zip(
                    [nodes[0], *nodes[2:]], [6, 6, 8, 6, 6], strict=True
                )
            )
        )

    @_scenario
    async def test_lost_update_is_pulled(
        self, cluster: peer_cluster.Cluster
    ) -> None:
        """An entry that missed updates must pull the records."""
        nodes = cluster.nodes
        cluster.change(lambda a, b: 3 in (a, b), drop=True)
        await peer_cluster.wait_until(
            lambda: (
                not nodes[3].links.connected()
                and not any(
                    nodes[3].entry_id in node.links.connected()
                    for node in nodes
                )
            )
        )
        for index in range(700):
            _announce(nodes[0], f"upstream-{index:03}")
        cluster.change(lambda a, b: True, drop=False)
        wanted = {f"upstream-{index:03}" for index in range(700)}
        await _wait_seen(nodes, wanted)
