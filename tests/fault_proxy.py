"""A TCP proxy that injects faults, for tests and benchmarks.

`up` is the direction from the client to the target, `down` the opposite one.
The faults of each direction can be changed while connections are open:

- `delay_ms`: every byte is delivered with this delay, in order;
- `drop`: bytes are read and discarded. A stream that lost bytes can't continue,
  so its connection is reset when the direction stops dropping;
- `hold`: bytes are buffered and delivered when the hold ends, as TCP does after
  a partition or while the receiver is stopped;
- `reset_after_bytes`: a connection is reset after this number of bytes.

A two-way partition is `drop` or `hold` in both directions, a one-way partition
in one. The program accepts commands as JSON lines on a control address:

    python -m tests.fault_proxy --routes 127.22.0.1:1=127.22.0.2:1 \
        --control 127.22.0.1:2
    {"route": "127.22.0.1:1", "direction": "both", "drop": true}

A line `{"route": ..., "reset": true}` resets the open connections. The reply
is `{"ok": true, "connections": N}` or `{"ok": false, "reason": ...}`.
"""

from collections.abc import Sequence
import dataclasses
import json
import socket
import struct
from typing import Any

import anyio
import anyio.abc
from anyio.streams import buffered
import defopt

__all__ = ["FaultProxy", "Faults", "send_command", "serve_control"]

_READ_BYTES = 65_536
_QUEUED_CHUNKS = 4_096
_MAX_LINE_BYTES = 65_536
_MS_PER_S = 1000
_NO_LINGER = struct.pack("ii", 1, 0)
_CLOSED = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@dataclasses.dataclass
class Faults:
    """The faults of one direction."""

    delay_ms: float = 0.0
    drop: bool = False
    hold: bool = False
    reset_after_bytes: int | None = None


class FaultProxy:
    """Forwards connections from one address to another, with faults."""

    def __init__(self, listen: str, target: str) -> None:
        """Creates a proxy without faults; addresses are "HOST:PORT"."""
        self.listen = listen
        self.target = target
        self._faults = {"up": Faults(), "down": Faults()}
        self._faults_changed = anyio.Event()
        self._open_pairs: set[_ConnectionPair] = set()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._open_pairs)

    def faults(self, direction: str) -> Faults:
        """Returns the faults of "up" or "down"."""
        return self._faults[direction]

    def set_faults(self, direction: str = "both", **faults: Any) -> None:
        """Changes faults of "up", "down" or "both"."""
        names = ("up", "down") if direction == "both" else (direction,)
        for name in names:
            old = self._faults[name]
            self._faults[name] = dataclasses.replace(old, **faults)
            if old.drop and not self._faults[name].drop:
                for pair in tuple(self._open_pairs):
                    pair.reset_if_lossy(name)
        changed, self._faults_changed = self._faults_changed, anyio.Event()
        changed.set()

    def clear_faults(self) -> None:
        """Removes all faults."""
        self.set_faults(
            delay_ms=0.0, drop=False, hold=False, reset_after_bytes=None
        )

    def reset(self) -> None:
        """Resets the open connections."""
        for pair in tuple(self._open_pairs):
            pair.reset()

    async def wait_faults_changed(self) -> None:
        """Waits until the faults change."""
        await self._faults_changed.wait()

    async def run(self) -> None:
        """Accepts and forwards connections until cancelled."""
        host, _, port = self.listen.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        async with client:
            try:
                server = await anyio.connect_tcp(host, int(port))
            except OSError:
                _reset_on_close(client)
                return
            await self._serve_pair(client, server)

    async def _serve_pair(
        self, client: anyio.abc.SocketStream, server: anyio.abc.SocketStream
    ) -> None:
        pair = _ConnectionPair(self, client, server)
        self._open_pairs.add(pair)
        try:
            await pair.run()
        finally:
            self._open_pairs.discard(pair)


class _ConnectionPair:
    """Forwards bytes between the sockets of the client and the target."""

    def __init__(
        self,
        proxy: FaultProxy,
        client: anyio.abc.SocketStream,
        server: anyio.abc.SocketStream,
    ) -> None:
        self._proxy = proxy
        self._client_stream = client
        self._server_stream = server
        self._scope = anyio.CancelScope()
        self._lossy: set[str] = set()

    def reset(self) -> None:
        for stream in (self._client_stream, self._server_stream):
            _reset_on_close(stream)
        self._scope.cancel()

    def reset_if_lossy(self, direction: str) -> None:
        if direction in self._lossy:
            self.reset()

    async def run(self) -> None:
        async with self._client_stream, self._server_stream:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        self._forward,
                        "up",
                        self._client_stream,
                        self._server_stream,
                    )
                    await self._forward(
                        "down", self._server_stream, self._client_stream
                    )

    async def _forward(
        self,
        direction: str,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
    ) -> None:
        queue_in, queue_out = anyio.create_memory_object_stream[
            tuple[float, bytes]
        ](_QUEUED_CHUNKS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write, direction, queue_out, sink)
            with queue_in:
                await self._read(direction, source, queue_in)

    async def _read(self, direction: str, source: Any, queue_in: Any) -> None:
        while True:
            try:
                data = await source.receive(_READ_BYTES)
            except _CLOSED:
                return
            faults = self._proxy.faults(direction)
            if faults.drop:
                self._lossy.add(direction)
                continue
            deliver_at_s = anyio.current_time() + faults.delay_ms / _MS_PER_S
            try:
                await queue_in.send((deliver_at_s, data))
            except _CLOSED:
                return

    async def _write(self, direction: str, queue_out: Any, sink: Any) -> None:
        sent = 0
        with queue_out:
            async for deliver_at_s, data in queue_out:
                await anyio.sleep(max(0.0, deliver_at_s - anyio.current_time()))
                while self._proxy.faults(direction).hold:
                    await self._proxy.wait_faults_changed()
                byte_limit = self._proxy.faults(direction).reset_after_bytes
                allowed = (
                    data
                    if byte_limit is None
                    else data[: max(0, byte_limit - sent)]
                )
                try:
                    await sink.send(allowed)
                except _CLOSED:
                    break
                sent += len(allowed)
                if len(allowed) < len(data):
                    self.reset()
                    return
        await self._forward_eof(direction, sink)

    async def _forward_eof(self, direction: str, sink: Any) -> None:
        """Forwards the end of a stream once the direction isn't blocked."""
        while self._is_blocked(direction):
            await self._proxy.wait_faults_changed()
        try:
            await sink.send_eof()
        except (OSError, *_CLOSED):
            self._scope.cancel()

    def _is_blocked(self, direction: str) -> bool:
        faults = self._proxy.faults(direction)
        return faults.drop or faults.hold


def _reset_on_close(stream: anyio.abc.SocketStream) -> None:
    """Makes closing a socket reset the connection."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


async def serve_control(address: str, proxies: Sequence[FaultProxy]) -> None:
    """Executes commands from a control address until cancelled."""
    by_listen = {proxy.listen: proxy for proxy in proxies}

    async def serve(stream: anyio.abc.SocketStream) -> None:
        lines = buffered.BufferedByteReceiveStream(stream)
        async with stream:
            while True:
                try:
                    line = await lines.receive_until(b"\n", _MAX_LINE_BYTES)
                except (anyio.IncompleteRead, *_CLOSED):
                    return
                reply = _execute_command(by_listen, line)
                await stream.send(json.dumps(reply).encode() + b"\n")

    host, _, port = address.rpartition(":")
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )
    async with listener:
        await listener.serve(serve)


def _execute_command(by_listen: dict[str, FaultProxy], line: bytes) -> dict:
    try:
        command = json.loads(line)
        proxy = by_listen[command.pop("route")]
        if command.pop("reset", False):
            proxy.reset()
        if command:
            proxy.set_faults(**command)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return {"ok": False, "reason": repr(error)}
    return {"ok": True, "connections": proxy.connections}


def send_command(control: str, **command: Any) -> dict:
    """Sends a command from another thread or process; returns the reply."""
    host, _, port = control.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as link:
        link.sendall(json.dumps(command).encode() + b"\n")
        with link.makefile("rb") as replies:
            return json.loads(replies.readline())


def main(*, routes: list[str], control: str) -> None:
    """Runs proxies until killed.

    :param routes: "LISTEN=TARGET", both as HOST:PORT.
    :param control: Address for control lines.
    """
    proxies = [FaultProxy(*route.split("=")) for route in routes]

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            for proxy in proxies:
                tasks.start_soon(proxy.run)
            tasks.start_soon(serve_control, control, proxies)

    anyio.run(run)


if __name__ == "__main__":
    defopt.run(main)
