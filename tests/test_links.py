"""Tests of links between nodes: stops, malformed frames, failing requests."""

from collections.abc import Awaitable, Callable
import unittest

import anyio
import msgpack

from tarragoncleat.cluster import links as links_module
from tarragoncleat.cluster import messages
from tarragoncleat.cluster import node_ids
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.membership import frames
from tests import builders

_ADDRESS = (f"{builders.LOOPBACK}.78.1", 9_482)
_OTHER_ADDRESS = (f"{builders.LOOPBACK}.78.3", 9_482)
_REQUEST = messages.NotLeader(None)


async def _refuse(request: object) -> object:
    return request


class StoppedLinksTest(unittest.TestCase):
    """Guards against errors in tasks that still send while a node stops.

    A replica's writer finishes its write after the links have closed; its
    message then ended the process with "This task group is not active".
    """

    def test_messages_are_dropped_after_the_links_closed(self) -> None:
        """Guards against an exception in place of a dropped message."""
        peer = node_ids.bootstrap_id(*_ADDRESS)
        links = links_module.Links(
            ids.EntryId(node_ids.bootstrap_id(f"{builders.LOOPBACK}.78.2", 1)),
            timer_module.TimerService(),
            lambda sender, message: None,
            _refuse,
            lambda address: None,
        )

        async def main() -> None:
            with anyio.move_on_after(0.05):
                await links.run(False)
            self.assertFalse(links.send(peer, errors.ErrorKind.INTERNAL))
            reply = await links.request(_ADDRESS, "request", 0.2)
            self.assertEqual(reply.kind, errors.ErrorKind.CUT_OFF)

        anyio.run(main)


class MalformedFramesTest(unittest.TestCase):
    """Guards against one frame or request that ends a whole process.

    Any program that reaches the port can send a frame, and a request that makes
    its handler fail is sent again to the next leader.
    """

    def _run(self, scenario: Callable[[links_module.Links], Awaitable]) -> None:
        async def fail(request: object) -> object:
            raise RuntimeError(f"no handler for {request}")

        def create(address: tuple[str, int]) -> links_module.Links:
            return links_module.Links(
                ids.EntryId(node_ids.bootstrap_id(*address)),
                timer_module.TimerService(),
                lambda sender, message: None,
                fail,
                lambda address: None,
            )

        async def main() -> None:
            receiver, sender = create(_ADDRESS), create(_OTHER_ADDRESS)
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(receiver.run, True)
                    tasks.start_soon(sender.run, False)
                    while not isinstance(
                        await sender.request(_ADDRESS, _REQUEST, 5.0),
                        messages.Refusal,
                    ):
                        await anyio.sleep(0.05)
                    await scenario(sender)
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_malformed_frames_close_their_connection_only(self) -> None:
        """Guards against an unpacking error that stops all connections."""
        bodies = (
            b"\xc1",
            msgpack.packb(7),
            msgpack.packb([]),
            msgpack.packb([0, "a"]),
            msgpack.packb([0, 1, 2, b""]),
            msgpack.packb([1, "id", b""]),
            msgpack.packb([1, 1, "text"]),
            msgpack.packb([{}, 1, b""]),
        )

        async def scenario(links: links_module.Links) -> None:
            for body in bodies:
                async with await anyio.connect_tcp(*_ADDRESS) as stream:
                    await stream.send(frames.pack(body))
                    with self.assertRaises(anyio.EndOfStream):
                        while True:
                            await stream.receive()
            reply = await links.request(_ADDRESS, _REQUEST, 5.0)
            self.assertIsInstance(reply, messages.Refusal)

        self._run(scenario)

    def test_failing_request_is_answered_as_undetermined(self) -> None:
        """Guards against a request that ends the process of its receiver."""

        async def scenario(links: links_module.Links) -> None:
            for _ in range(3):
                reply = await links.request(_ADDRESS, _REQUEST, 5.0)
                self.assertIs(reply.kind, errors.ErrorKind.INTERNAL)

        self._run(scenario)


if __name__ == "__main__":
    unittest.main()
