"""Tests of control nodes that are stopped as planned, as real processes."""

import time
import unittest

from tests import platform_rig

_POLL_S = 0.05
_WAIT_S = 20.0
# catch-up-s of the deployments: a removed machine whose successor has run for
# this long doesn't count as lost any more.
_CATCH_UP_S = 4.0
# A new leader knows after 1.6 s which nodes wait.
_KNOWN_NODES_S = 2.0
# Far less than the 4 s after which a node stops in any case.
_AT_ONCE_MS = 2_000


def _wait_started(group: platform_rig.Group, name: str) -> None:
    """Waits until a node knows the leader."""
    deadline_s = time.monotonic() + _WAIT_S
    while time.monotonic() < deadline_s:
        if any(row["leader"] for row in group.events(name, "leader_contact")):
            return
        time.sleep(_POLL_S)
    raise AssertionError(f"{name} found no leader within {_WAIT_S} s")


def _wait_known_nodes(group: platform_rig.Group, version: int) -> None:
    """Waits until one leader has led for some time, beside all nodes."""
    for name in group.control_names:
        group.put_routes(name, version, f"v-{version}")
    known = None
    while known is None or known != group.leadership():
        known = group.leadership()
        time.sleep(_KNOWN_NODES_S)


class PlannedRemovalTest(unittest.TestCase):
    """Guards against a log that is lost though one disk at most was lost."""

    def _check(self, subnet: int, removes_leader: bool) -> None:
        with platform_rig.run_group(subnet) as group:
            leader, _ = group.wait_leader()
            replicas = group.control_names
            group.put_routes(leader, 2, "kept")
            successor = group.add_control()
            _wait_started(group, successor)
            time.sleep(_CATCH_UP_S)
            leader, _ = group.wait_leader()
            removed = next(
                name for name in replicas if (name == leader) is removes_leader
            )
            group.terminate(removed)
            left = group.events(removed, "leave")
            group.remove(removed)
            wiped = next(name for name in replicas if name != removed)
            group.lose_disk(wiped)
            group.put_routes(successor, 3, "added")
            answer = group.call(successor, "GET", "/config")
            self.assertEqual(answer.body["version"], 3)
            self.assertEqual([row["state"] for row in left], ["released"])

    def test_disk_is_lost_after_the_leader_was_removed(self) -> None:
        """The next leader would wait for the silent one anew (review/7)."""
        self._check(71, removes_leader=True)

    def test_disk_is_lost_after_a_follower_was_removed(self) -> None:
        """The leader would wait until the follower has been silent."""
        self._check(72, removes_leader=False)

    def test_node_that_nobody_can_replace_stops_at_once(self) -> None:
        """Guards against a rolling restart that waits for a timeout each.

        The leader has to have led for long enough to know which nodes wait.
        """
        with platform_rig.run_group(73) as group:
            for version, name in enumerate(group.control_names, start=2):
                _wait_known_nodes(group, version)
                group.terminate(name)
                left = group.events(name, "leave")
                self.assertEqual([row["state"] for row in left], ["stays"])
                self.assertLess(left[0]["took_ms"], _AT_ONCE_MS)
                group.start_process(name)
            _wait_known_nodes(group, 9)
