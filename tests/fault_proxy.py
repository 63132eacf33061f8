"""A TCP proxy that injects faults, for tests and benchmarks.

`up` is the direction from the side that dials to the target, `down` the other.
The faults of each direction can be changed while connections are open:

- `delay_ms`: every byte arrives this much later, in order;
- `drop`: bytes are read and thrown away. A stream that lost bytes can't go on,
  so its connection is reset when the direction stops dropping;
- `hold`: bytes are kept and delivered when the hold ends, as TCP does after a
  partition or while the receiver is stopped;
- `reset_after_bytes`: after so many bytes of one connection it is reset.

A two-way partition is `drop` or `hold` in both directions, a one-way partition
in one. As a program it takes changes as JSON lines on a control address:

    python -m tests.fault_proxy --routes 127.22.0.1:1=127.22.0.2:1 \
        --control 127.22.0.1:2
    {"route": "127.22.0.1:1", "direction": "both", "drop": true}

A line `{"route": ..., "reset": true}` resets the open connections. The answer
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

__all__ = ["Direction", "FaultProxy", "serve_control", "tell"]

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
class Direction:
    """The faults of one direction."""

    delay_ms: float = 0.0
    drop: bool = False
    hold: bool = False
    reset_after_bytes: int | None = None


class FaultProxy:
    """Forwards connections to one address to another."""

    def __init__(self, listen: str, target: str) -> None:
        """Takes addresses as "HOST:PORT"; starts without faults."""
        self.listen = listen
        self.target = target
        self._plans = {"up": Direction(), "down": Direction()}
        self._changed = anyio.Event()
        self._open: set[_Pair] = set()

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._open)

    def plan(self, direction: str) -> Direction:
        """Returns the faults of "up" or "down"."""
        return self._plans[direction]

    def change(self, direction: str = "both", **faults: Any) -> None:
        """Changes faults of "up", "down" or "both"."""
        names = ("up", "down") if direction == "both" else (direction,)
        for name in names:
            old = self._plans[name]
            self._plans[name] = dataclasses.replace(old, **faults)
            if old.drop and not self._plans[name].drop:
                for pair in tuple(self._open):
                    pair.reset_if_lossy(name)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def heal(self) -> None:
        """Ends all faults."""
        self.change(
            delay_ms=0.0, drop=False, hold=False, reset_after_bytes=None
        )

    def reset(self) -> None:
        """Resets the open connections."""
        for pair in tuple(self._open):
            pair.reset()

    async def wait_changed(self) -> None:
        """Waits until the faults change."""
        await self._changed.wait()

    async def run(self) -> None:
        """Accepts and forwards connections until cancelled."""
        host, _, port = self.listen.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, near: anyio.abc.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        async with near:
            try:
                far = await anyio.connect_tcp(host, int(port))
            except OSError:
                _abort(near)
                return
            await self._serve_pair(near, far)

    async def _serve_pair(
        self, near: anyio.abc.SocketStream, far: anyio.abc.SocketStream
    ) -> None:
        pair = _Pair(self, near, far)
        self._open.add(pair)
        try:
            await pair.run()
        finally:
            self._open.discard(pair)


class _Pair:
    """Two sockets and the bytes between them."""

    def __init__(
        self,
        proxy: FaultProxy,
        near: anyio.abc.SocketStream,
        far: anyio.abc.SocketStream,
    ) -> None:
        self._proxy = proxy
        self._near = near
        self._far = far
        self._scope = anyio.CancelScope()
        self._lossy: set[str] = set()

    def reset(self) -> None:
        for stream in (self._near, self._far):
            _abort(stream)
        self._scope.cancel()

    def reset_if_lossy(self, direction: str) -> None:
        if direction in self._lossy:
            self.reset()

    async def run(self) -> None:
        async with self._near, self._far:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._forward, "up", self._near, self._far)
                    await self._forward("down", self._far, self._near)

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
            plan = self._proxy.plan(direction)
            if plan.drop:
                self._lossy.add(direction)
                continue
            due_s = anyio.current_time() + plan.delay_ms / _MS_PER_S
            try:
                await queue_in.send((due_s, data))
            except _CLOSED:
                return

    async def _write(self, direction: str, queue_out: Any, sink: Any) -> None:
        sent = 0
        with queue_out:
            async for due_s, data in queue_out:
                await anyio.sleep(max(0.0, due_s - anyio.current_time()))
                while self._proxy.plan(direction).hold:
                    await self._proxy.wait_changed()
                limit = self._proxy.plan(direction).reset_after_bytes
                part = data if limit is None else data[: max(0, limit - sent)]
                try:
                    await sink.send(part)
                except _CLOSED:
                    break
                sent += len(part)
                if len(part) < len(data):
                    self.reset()
                    return
        await self._pass_on_end(direction, sink)

    async def _pass_on_end(self, direction: str, sink: Any) -> None:
        """Passes on the end of a stream unless the direction is cut."""
        while self._is_cut(direction):
            await self._proxy.wait_changed()
        try:
            await sink.send_eof()
        except (OSError, *_CLOSED):
            self._scope.cancel()

    def _is_cut(self, direction: str) -> bool:
        plan = self._proxy.plan(direction)
        return plan.drop or plan.hold


def _abort(stream: anyio.abc.SocketStream) -> None:
    """Makes the close of a socket send a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


async def serve_control(address: str, proxies: Sequence[FaultProxy]) -> None:
    """Takes control lines until cancelled."""
    by_listen = {proxy.listen: proxy for proxy in proxies}

    async def serve(stream: anyio.abc.SocketStream) -> None:
        lines = buffered.BufferedByteReceiveStream(stream)
        async with stream:
            while True:
                try:
                    line = await lines.receive_until(b"\n", _MAX_LINE_BYTES)
                except (anyio.IncompleteRead, *_CLOSED):
                    return
                answer = _obey(by_listen, line)
                await stream.send(json.dumps(answer).encode() + b"\n")

    host, _, port = address.rpartition(":")
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )
    async with listener:
        await listener.serve(serve)


def _obey(by_listen: dict[str, FaultProxy], line: bytes) -> dict:
    try:
        command = json.loads(line)
        proxy = by_listen[command.pop("route")]
        if command.pop("reset", False):
            proxy.reset()
        if command:
            proxy.change(**command)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return {"ok": False, "reason": repr(error)}
    return {"ok": True, "connections": proxy.connections}


def tell(control: str, **command: Any) -> dict:
    """Sends one control line from a thread or process and waits for it."""
    host, _, port = control.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as link:
        link.sendall(json.dumps(command).encode() + b"\n")
        with link.makefile("rb") as answers:
            return json.loads(answers.readline())


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
