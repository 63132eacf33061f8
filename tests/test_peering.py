"""Tests of the links between entries and of the fault proxy itself."""

from collections.abc import AsyncIterator
import contextlib
import socket
import time
import unittest

import anyio
import anyio.abc
import hypothesis
from hypothesis import strategies
import loguru

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.membership import frames
from tarragoncleat.membership import membership_messages as messages
from tarragoncleat.membership import peer_connection
from tests import fault_proxy
from tests import peer_cluster

_PORT = peer_cluster.PORT
_CONTROL = f"127.22.9.1:{_PORT}"
_PROXY = f"127.22.9.2:{_PORT}"
_TARGET = f"127.22.9.3:{_PORT}"
_FIRST = ids.EntryId("entry-0")
_SECOND = ids.EntryId("entry-1")
_UPDATE = messages.UpstreamUpdate(())
_HELLO = codec.encode(peer_connection.Hello("entry-1", "b", 7))


class FramesTest(unittest.TestCase):
    """Guards against decoding that depends on how TCP splits the stream."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        bodies=strategies.lists(strategies.binary(max_size=40), max_size=8),
        cuts=strategies.lists(strategies.integers(1, 9), min_size=1),
    )
    def test_any_split(self, bodies: list[bytes], cuts: list[int]) -> None:
        """Bodies must not be lost or changed when frames arrive in parts."""
        stream = b"".join(map(frames.pack, bodies))
        decoder = frames.Decoder()
        decoded: list[bytes] = []
        for step in range(len(stream)):
            size = cuts[step % len(cuts)]
            part, stream = stream[:size], stream[size:]
            decoded += decoder.feed(part)
        self.assertEqual(decoded, [body for body in bodies if body])

    def test_oversize(self) -> None:
        """A damaged length field must not make an entry buffer gigabytes."""
        result = frames.Decoder().feed(b"\xff\xff\xff\xff")
        self.assertIs(result.kind, errors.ErrorKind.DECODE)


@contextlib.asynccontextmanager
async def _dial(cluster: peer_cluster.Cluster) -> AsyncIterator:
    """Connects to the first entry in place of the second."""
    host, _, port = cluster.nodes[0].address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        yield stream


class LinksTest(unittest.TestCase):
    """Guards against links that block, hang or accept invalid input."""

    def setUp(self) -> None:
        loguru.logger.remove()

    def test_damaged_frames(self) -> None:
        """Undecodable messages must be counted and not affect valid ones."""

        async def run() -> None:
            async with peer_cluster.run_cluster(["a", "b"]) as cluster:
                links = cluster.nodes[0].links
                counters = links.counters(_SECOND)
                updates = links.subscribe(messages.UpstreamUpdate)
                good = codec.encode(_UPDATE)
                damaged = [
                    b"\xc1",
                    b"no msgpack",
                    good[:-1],
                    b"\x93\x01\x02\x03",
                ]
                async with _dial(cluster) as stream:
                    for body in [_HELLO, *damaged, good]:
                        await stream.send(frames.pack(body))
                    with anyio.fail_after(5):
                        received = await updates.receive()
                    self.assertEqual(received.message, _UPDATE)
                    self.assertEqual(received.sender, _SECOND)
                    self.assertEqual(counters.decode_errors, len(damaged))
                    await stream.send(b"\xff\xff\xff\xff")
                    await _wait_end(stream)
                self.assertEqual(counters.decode_errors, len(damaged) + 1)
                updates.close()

        anyio.run(run)

    def test_unidentified(self) -> None:
        """A connection must begin with the Hello of a configured peer."""

        async def run() -> None:
            async with peer_cluster.run_cluster(["a", "b"]) as cluster:
                unknown = peer_connection.Hello("entry-9", "b", 7)
                for first in (unknown, _UPDATE):
                    async with _dial(cluster) as stream:
                        await stream.send(frames.pack(codec.encode(first)))
                        await _wait_end(stream)

        anyio.run(run)

    def test_missing_hello(self) -> None:
        """Keep-alives without a Hello must not keep a connection open."""

        async def run() -> None:
            async with (
                peer_cluster.run_cluster(["a", "b"]) as cluster,
                _dial(cluster) as stream,
            ):
                with contextlib.suppress(anyio.BrokenResourceError):
                    for _ in range(100):
                        await stream.send(frames.KEEP_ALIVE)
                        await anyio.sleep(0.05)
                    self.fail("the connection was not closed")

        anyio.run(run)

    def test_silent_link(self) -> None:
        """A frozen peer must only cause drops, and the link must recover."""

        async def run() -> None:
            async with peer_cluster.run_cluster(["a", "b"]) as cluster:
                first, second = cluster.nodes
                updates = second.links.subscribe(messages.UpstreamUpdate)
                cluster.change(lambda a, b: True, hold=True)
                large = messages.FindUpstream(ids.UpstreamId("x" * 1_000_000))
                sent = [first.links.send(_SECOND, large) for _ in range(100)]
                self.assertIn(True, sent)
                self.assertIn(False, sent)
                counters = first.links.counters(_SECOND)
                self.assertEqual(counters.dropped_messages, sent.count(False))
                await peer_cluster.wait_until(
                    lambda: (
                        counters.closed_silent > 0
                        and not first.links.connected()
                    )
                )
                failure = await first.links.request(_SECOND, _UPDATE, 1.0)
                self.assertIs(failure.kind, errors.ErrorKind.CUT_OFF)
                cluster.change(lambda a, b: True, hold=False)
                await peer_cluster.wait_until(
                    lambda: bool(first.links.connected())
                )
                first.links.broadcast(_UPDATE)
                with anyio.fail_after(5):
                    await updates.receive()
                updates.close()

        anyio.run(run)

    def test_stopped_process(self) -> None:
        """Messages received while the process was stopped must be dropped."""

        async def run() -> None:
            async with peer_cluster.run_cluster(["a", "b"]) as cluster:
                links = cluster.nodes[0].links
                updates = links.subscribe(messages.UpstreamUpdate)
                host, _, port = cluster.nodes[0].address.rpartition(":")
                with socket.create_connection((host, int(port))) as peer:
                    peer.sendall(frames.pack(_HELLO))
                    await anyio.sleep(0.01)
                    peer.sendall(frames.pack(codec.encode(_UPDATE)))
                    # Blocks the event loop for longer than the freshness limit
                    # of a zone while the message is in the socket's buffer.
                    time.sleep(1.7)
                    await anyio.sleep(0.1)
                with self.assertRaises(anyio.WouldBlock):
                    updates.receive_nowait()
                updates.close()

        anyio.run(run)

    def test_requests(self) -> None:
        """Replies must match requests; a request without a reply must fail."""

        async def run() -> None:
            async with peer_cluster.run_cluster(["a", "b"]) as cluster:
                first, second = cluster.nodes
                asked = second.links.subscribe(peer_connection.Hello)
                replies: dict[str, object] = {}

                async def ask(name: str, limit_s: float) -> None:
                    message = peer_connection.Hello(name, "b", 1)
                    replies[name] = await first.links.request(
                        _SECOND, message, limit_s
                    )

                async with anyio.create_task_group() as tasks:
                    for name in ("x", "y"):
                        tasks.start_soon(ask, name, 5.0)
                    tasks.start_soon(ask, "late", 0.1)
                    received = [await asked.receive() for _ in range(3)]
                    for each in reversed(received):
                        if each.message.entry_id != "late":
                            each.reply(each.message)
                self.assertEqual(replies["x"].entry_id, "x")
                self.assertEqual(replies["y"].entry_id, "y")
                late = errors.ErrorKind.DEADLINE_EXCEEDED
                self.assertIs(replies["late"].kind, late)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask, "broken", 60.0)
                    await asked.receive()
                    second.kill()
                self.assertIs(replies["broken"].kind, late)
                asked.close()

        anyio.run(run)


class FaultProxyTest(unittest.TestCase):
    """Guards against a proxy that doesn't inject the faults it was set to."""

    def test_faults(self) -> None:
        """Holds, drops and resets must take effect and end as requested."""

        async def run() -> None:
            proxy = fault_proxy.FaultProxy(_PROXY, _TARGET)
            listener = await anyio.create_tcp_listener(
                local_host="127.22.9.3", local_port=_PORT
            )
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, _echo)
                tasks.start_soon(proxy.run)
                tasks.start_soon(fault_proxy.serve_control, _CONTROL, [proxy])
                await anyio.sleep(0.05)
                await self._check_directions()
                await self._check_reset()
                tasks.cancel_scope.cancel()

        anyio.run(run)

    async def _check_directions(self) -> None:
        async with await anyio.connect_tcp("127.22.9.2", _PORT) as stream:
            await stream.send(b"1")
            self.assertEqual(await stream.receive(), b"1")
            await self._set_faults(direction="down", hold=True)
            await stream.send(b"2")
            self.assertTrue(await _is_silent(stream))
            await self._set_faults(direction="down", hold=False)
            self.assertEqual(await stream.receive(), b"2")
            await self._set_faults(direction="up", drop=True)
            await stream.send(b"3")
            self.assertTrue(await _is_silent(stream))
            await self._set_faults(direction="up", drop=False)
            with self.assertRaises(anyio.BrokenResourceError):
                await stream.receive()

    async def _check_reset(self) -> None:
        await self._set_faults(direction="up", reset_after_bytes=3)
        async with await anyio.connect_tcp("127.22.9.2", _PORT) as stream:
            await stream.send(b"abc")
            self.assertEqual(await stream.receive(), b"abc")
            await stream.send(b"d")
            with self.assertRaises(anyio.BrokenResourceError):
                await stream.receive()
        answer = await anyio.to_thread.run_sync(
            lambda: fault_proxy.send_command(_CONTROL, route="nowhere")
        )
        self.assertFalse(answer["ok"])

    async def _set_faults(self, **faults: object) -> None:
        answer = await anyio.to_thread.run_sync(
            lambda: fault_proxy.send_command(_CONTROL, route=_PROXY, **faults)
        )
        self.assertTrue(answer["ok"], answer)


async def _echo(stream: anyio.abc.SocketStream) -> None:
    async with stream:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                await stream.send(await stream.receive())


async def _is_silent(stream: anyio.abc.SocketStream) -> bool:
    with anyio.move_on_after(0.2):
        await stream.receive()
        return False
    return True


async def _wait_end(stream: anyio.abc.SocketStream) -> None:
    with (
        anyio.fail_after(5),
        contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError),
    ):
        while True:
            await stream.receive()
