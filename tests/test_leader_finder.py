"""Tests of requests that wait for the leader of the log."""

from collections.abc import Callable
from typing import Any
import unittest

import anyio

from tarragoncleat.cluster import leader_finder
from tarragoncleat.cluster import messages
from tarragoncleat.cluster import node_ids
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module

_NODES = [(f"10.0.0.{number}", 7060) for number in (1, 2)]
_OLD, _NEW = _NODES
_TIMEOUT_S = 10.0
_CALL_TIMEOUT_S = 5.0


class _FakeLinks:
    """Replies as the leader that the test has set.

    A node that is lost refuses announcements and holds requests.
    """

    def __init__(self) -> None:
        self.leader: tuple[str, int] | None = None
        self.named: tuple[str, int] | None = None
        self.announcements = 0
        self.lost: set[tuple[str, int]] = set()
        self.received: list[tuple[tuple[str, int], object]] = []
        self.expired: list[object] = []
        self.reply: object = "done"

    async def request(
        self, address: tuple[str, int], message: object, timeout_s: float
    ) -> Any:
        """Replies to an announcement or to a request."""
        await anyio.sleep(0)
        if isinstance(message, messages.Announcement):
            self.announcements += 1
            return self._announce(address)
        self.received.append((address, message))
        if address == self.named:
            return errors.Failure(errors.ErrorKind.CUT_OFF, "not reached")
        if address in self.lost:
            await anyio.sleep(timeout_s)
            self.expired.append(message)
            return errors.Failure(errors.ErrorKind.UNDECIDED, "no reply")
        return self.reply

    def _announce(self, address: tuple[str, int]) -> Any:
        if address in self.lost or address == self.named:
            return errors.Failure(errors.ErrorKind.CUT_OFF, "not reached")
        leader = address if address == self.leader else self.named
        if leader is None:
            return messages.Directory(None, False, ())
        leader_id = ids.EntryId(node_ids.bootstrap_id(*leader))
        return messages.Directory(leader_id, leader == address, (leader_id,))

    def requests_at(self, address: tuple[str, int]) -> list[object]:
        """Returns the requests that a node got, in their order."""
        return [message for at, message in self.received if at == address]


class LeaderChangeTest(unittest.TestCase):
    """Guards against requests that wait for a leader that is gone."""

    def setUp(self) -> None:
        self.links = _FakeLinks()

    def _run(self, scenario: Callable) -> None:
        async def main() -> None:
            self.finder = leader_finder.LeaderFinder(
                self.links,  # type: ignore[arg-type]
                timer_module.TimerService(),
                messages.Announcement(None, ids.AvailabilityZone("fukuoka-a")),
                _NODES,
            )
            with anyio.fail_after(_TIMEOUT_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.finder.run)
                    await scenario()
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    async def _call_in_turn(self, count: int) -> None:
        """Makes calls one after the other, then elects the new leader."""

        async def call(number: int) -> None:
            reply = await self.finder.call(number, _CALL_TIMEOUT_S)
            self.assertEqual(reply, "done")

        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(call, number)
                await anyio.sleep(0.01)
            self.links.leader = _NEW

    def test_requests_reach_the_first_leader_in_the_order_of_arrival(
        self,
    ) -> None:
        """Guards against later requests that overtake earlier ones.

        A configuration may be stored between the two.
        """

        async def scenario() -> None:
            await self._call_in_turn(12)
            self.assertEqual(self.links.requests_at(_NEW), list(range(12)))

        self._run(scenario)

    def test_requests_at_a_silent_leader_go_to_the_next_one_at_once(
        self,
    ) -> None:
        """Guards against requests that are held until their attempt ends."""

        async def scenario() -> None:
            self.links.leader = _OLD
            while self.finder.leader_id is None:
                await anyio.sleep(0.01)
            self.links.lost.add(_OLD)
            await self._call_in_turn(6)
            self.assertEqual(self.links.requests_at(_NEW), list(range(6)))
            self.assertEqual(self.links.expired, [])

        self._run(scenario)

    def test_refusal_by_load_says_nothing_about_an_earlier_attempt(
        self,
    ) -> None:
        """Guards against a caller who is told that a stored job never runs.

        The lost leader may have stored it; the next one refuses it.
        """

        async def scenario() -> None:
            self.links.leader = _NEW
            refusal = messages.Refusal(errors.ErrorKind.OVERLOADED, "full", 7)
            self.links.reply = refusal
            reply = await self.finder.call("request", _CALL_TIMEOUT_S)
            self.assertIs(reply.kind, errors.ErrorKind.OVERLOADED)
            self.assertEqual(reply.retry_after_s, 7)
            reply = await self.finder.call("request", _CALL_TIMEOUT_S, True)
            self.assertIs(reply.kind, errors.ErrorKind.UNDECIDED)
            self.links.lost.add(_NEW)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._lose_leader)
                reply = await self.finder.call("request", _CALL_TIMEOUT_S)
            self.assertIs(reply.kind, errors.ErrorKind.UNDECIDED)

        self._run(scenario)

    async def _lose_leader(self) -> None:
        await anyio.sleep(0.05)
        self.links.leader = _OLD

    def test_leader_that_only_others_reach_is_not_tried_without_a_pause(
        self,
    ) -> None:
        """Guards against a busy loop while a zone is cut off from the leader.

        The other nodes of the zone still name the leader. Seen on hunt-916b-3
        of kcc-grid-grown: two nodes changed their leader 200 times a second.
        """
        calls, seconds, retry_s = 3, 1.0, 0.05

        async def call() -> None:
            reply = await self.finder.call("request", seconds)
            self.assertIsInstance(reply, errors.Failure)

        async def scenario() -> None:
            self.links.named = _OLD
            async with anyio.create_task_group() as tasks:
                for _ in range(calls):
                    tasks.start_soon(call)

        self._run(scenario)
        most = calls * (seconds / retry_s + 2)
        self.assertLessEqual(len(self.links.received), most)
        self.assertLessEqual(self.links.announcements, 2 * most)


if __name__ == "__main__":
    unittest.main()
