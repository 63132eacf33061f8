"""Message streams between nodes that find each other at run time.

A node dials another one when it has something to send. One-way messages and
requests go out on the dialled connection; replies come back on it. Both sides
send keep-alives, so that a connection that went silent is noticed and closed.
"""

from collections.abc import Awaitable, Callable
import itertools
import math
from typing import Any

import anyio
import anyio.abc
import loguru
import msgpack

from tarragoncleat.cluster import node_ids
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.membership import frames

__all__ = ["Links", "LossHandler", "MessageHandler", "RequestHandler"]

MessageHandler = Callable[[ids.EntryId, Any], None]
RequestHandler = Callable[[Any], Awaitable[object]]
LossHandler = Callable[[tuple[str, int]], None]

_KEEP_ALIVE_S = 0.5
_SILENCE_S = 1.6
_CONNECT_TIMEOUT_S = 0.6
# A node that can't be reached is not dialled again for this time; messages to
# it are dropped meanwhile, as the protocols above repeat them.
_REDIAL_S = 0.15
_QUEUE_FRAMES = 4_096
_READ_BYTES = 65_536

_ONE_WAY = 0
_REQUEST = 1
_REPLY = 2


class _Connection:
    """One TCP connection; frames are queued and written in batches."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._queue: list[bytes] = []
        self._wake = anyio.Event()
        self._scope = anyio.CancelScope()
        self.is_open = True
        self.waiting: dict[int, _Pending] = {}

    def put(self, parts: list) -> bool:
        if not self.is_open or len(self._queue) >= _QUEUE_FRAMES:
            return False
        self._queue.append(frames.pack(msgpack.packb(parts)))
        self._wake.set()
        return True

    def close(self) -> None:
        self.is_open = False
        self._scope.cancel()

    async def run(self, receive: Callable[[list], None]) -> None:
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write)
                    tasks.start_soon(self._read, receive)
        finally:
            self.is_open = False
            for pending in self.waiting.values():
                pending.finish(_lost("the connection broke"))
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    async def _write(self) -> None:
        while True:
            with anyio.move_on_after(_KEEP_ALIVE_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            batch = b"".join(self._queue) or frames.KEEP_ALIVE
            self._queue.clear()
            try:
                await self._stream.send(batch)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.close()
                return

    async def _read(self, receive: Callable[[list], None]) -> None:
        decoder = frames.Decoder()
        while True:
            data = await self._receive()
            bodies = decoder.feed(data) if data else None
            if bodies is None or isinstance(bodies, errors.Failure):
                self.close()
                return
            for body in bodies:
                receive(msgpack.unpackb(body))

    async def _receive(self) -> bytes:
        """Returns received bytes; none when the connection has broken."""
        with anyio.move_on_after(_SILENCE_S):
            try:
                return await self._stream.receive(_READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return b""
        return b""


class _Pending:
    """A request that waits for its reply."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.result: Any = None

    def finish(self, result: object) -> None:
        self.result = result
        self.done.set()


def _lost(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.UNDECIDED, reason)


def _unsent(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.CUT_OFF, reason)


class Links:
    """The connections of this node to others, dialled on demand."""

    def __init__(
        self,
        own_id: ids.EntryId,
        timer: timer_module.TimerService,
        on_message: MessageHandler,
        on_request: RequestHandler,
        on_lost: LossHandler,
    ) -> None:
        """Prepares the links; `run` makes them usable.

        Args:
            own_id: Id of this node, which also says where it listens.
            timer: Clock for the pauses between dials.
            on_message: Takes a one-way message and its sender.
            on_request: Takes a request and returns the message to reply.
            on_lost: Takes the address to which a dialled connection broke.
        """
        self._own_id = own_id
        self._timer = timer
        self._on_message = on_message
        self._on_request = on_request
        self._on_lost = on_lost
        self._dialled: dict[tuple[str, int], _Connection] = {}
        self._dialling: dict[tuple[str, int], anyio.Event] = {}
        self._refused_until_s: dict[tuple[str, int], float] = {}
        self._request_ids = itertools.count(1)
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self, listen: bool) -> None:
        """Keeps the connections until cancelled; listens if asked to."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            if listen:
                await self._listen()
            await anyio.sleep_forever()

    def send(self, entry_id: ids.EntryId, message: object) -> bool:
        """Queues a one-way message; returns False when it is not sent."""
        address = node_ids.address_of(entry_id)
        if isinstance(address, errors.Failure):
            return False
        connection = self._dialled.get(address)
        if connection is None or not connection.is_open:
            self._start_dialling(address)
            return False
        parts = [_ONE_WAY, self._own_id, entry_id, codec.encode(message)]
        return connection.put(parts)

    async def request(
        self, address: tuple[str, int], message: object, timeout_s: float
    ) -> Any:
        """Sends a request and waits for the reply.

        Returns:
            The reply, or a `Failure`: CUT_OFF when the request was not sent,
            UNDECIDED when it may have been carried out.
        """
        pending = _Pending()
        with anyio.move_on_after(timeout_s):
            connection = await self._connect(address)
            if connection is None:
                return _unsent(f"{address[0]} can't be reached")
            number = next(self._request_ids)
            connection.waiting[number] = pending
            try:
                if not connection.put(
                    [_REQUEST, number, codec.encode(message)]
                ):
                    return _unsent(f"the queue to {address[0]} is full")
                await pending.done.wait()
            finally:
                connection.waiting.pop(number, None)
            return pending.result
        return _lost(f"no reply from {address[0]} within {timeout_s} s")

    def is_connected(self, address: tuple[str, int]) -> bool:
        """Whether a dialled connection to the address is open."""
        connection = self._dialled.get(address)
        return connection is not None and connection.is_open

    def dump(self) -> dict:
        """Returns the open connections for a state dump."""
        return {
            "connections": [
                f"{host}:{port}"
                for (host, port), connection in self._dialled.items()
                if connection.is_open
            ]
        }

    # Dialling.

    async def _connect(self, address: tuple[str, int]) -> _Connection | None:
        connection = self._dialled.get(address)
        if connection is not None and connection.is_open:
            return connection
        dialled = self._start_dialling(address)
        if dialled is None:
            return None
        await dialled.wait()
        connection = self._dialled.get(address)
        if connection is None or not connection.is_open:
            return None
        return connection

    def _start_dialling(self, address: tuple[str, int]) -> anyio.Event | None:
        if address in self._dialling:
            return self._dialling[address]
        until_s = self._refused_until_s.get(address, -math.inf)
        if self._tasks is None or self._timer.monotonic_s() < until_s:
            return None
        done = anyio.Event()
        self._dialling[address] = done
        self._tasks.start_soon(self._dial, address, done)
        return done

    async def _dial(self, address: tuple[str, int], done: anyio.Event) -> None:
        stream = None
        try:
            with anyio.move_on_after(_CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(*address)
        except OSError as error:
            loguru.logger.debug("can't dial {}: {}", address, error)
        connection = None
        if stream is None:
            self._refused_until_s[address] = (
                self._timer.monotonic_s() + _REDIAL_S
            )
        else:
            connection = _Connection(stream)
            self._dialled[address] = connection
        del self._dialling[address]
        done.set()
        if connection is None:
            return
        try:
            await connection.run(
                lambda parts: self._on_reply(connection, parts)
            )
        finally:
            if self._dialled.get(address) is connection:
                del self._dialled[address]
                self._on_lost(address)

    def _on_reply(self, connection: _Connection, parts: list) -> None:
        _, number, data = parts
        pending = connection.waiting.get(number)
        if pending is not None:
            pending.finish(codec.decode(data))

    # Accepting.

    async def _listen(self) -> None:
        address = node_ids.address_of(self._own_id)
        if isinstance(address, errors.Failure) or self._tasks is None:
            raise ValueError(f"{self._own_id!r} names no address")
        listener = await anyio.create_tcp_listener(
            local_host=address[0], local_port=address[1], reuse_port=False
        )
        self._tasks.start_soon(self._serve, listener)

    async def _serve(self, listener: Any) -> None:
        async with listener:
            await listener.serve(self._accept)

    async def _accept(self, stream: anyio.abc.SocketStream) -> None:
        connection = _Connection(stream)
        await connection.run(lambda parts: self._receive(connection, parts))

    def _receive(self, connection: _Connection, parts: list) -> None:
        if parts[0] == _ONE_WAY:
            _, sender, recipient, data = parts
            # A message to an earlier node at this address is not for this one.
            if recipient == self._own_id:
                self._on_message(ids.EntryId(sender), codec.decode(data))
        elif self._tasks is not None:
            _, number, data = parts
            self._tasks.start_soon(self._answer, connection, number, data)

    async def _answer(
        self, connection: _Connection, number: int, data: bytes
    ) -> None:
        reply = await self._on_request(codec.decode(data))
        connection.put([_REPLY, number, codec.encode(reply)])
