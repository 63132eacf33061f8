"""Tests of links between nodes while a node stops."""

import unittest

import anyio

from tarragoncleat.cluster import links as links_module
from tarragoncleat.cluster import node_ids
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tests import builders

_ADDRESS = (f"{builders.LOOPBACK}.78.1", 9_482)


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


if __name__ == "__main__":
    unittest.main()
