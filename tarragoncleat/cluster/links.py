"""Connections between nodes that discover each other at run time.

A node connects to another one when it has something to send. It sends one-way
messages and requests on this connection, and receives replies on it. Both
sides send keep-alives, so that a silent connection is detected and closed.
"""

from collections.abc import Awaitable, Callable
import itertools
import math
from typing import Any

import anyio
import anyio.abc
import loguru
import msgpack

from tarragoncleat.cluster import messages
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

_KEEP_ALIVE_INTERVAL_S = 0.5
_SILENCE_TIMEOUT_S = 1.6
_CONNECT_TIMEOUT_S = 0.6
# Delay after a failed attempt to connect to a node. Messages to it are dropped
# meanwhile; the protocols that use the links repeat them.
_RECONNECT_DELAY_S = 0.15
_MAX_QUEUED_FRAMES = 4_096
_MAX_QUEUED_BYTES = 3 * frames.MAX_BODY_BYTES
_READ_BYTES = 65_536

_ONE_WAY = 0
_REQUEST = 1
_REPLY = 2


class _Connection:
    """One TCP connection; frames are queued and written in batches."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._wake = anyio.Event()
        self._scope = anyio.CancelScope()
        self.is_open = True
        self.pending_requests: dict[int, _Pending] = {}

    def enqueue(self, parts: list) -> bool:
        if not self.is_open or len(self._queue) >= _MAX_QUEUED_FRAMES:
            return False
        body = msgpack.packb(parts)
        if len(body) > frames.MAX_BODY_BYTES:
            # The other side would close the connection, with all requests.
            loguru.logger.error("a message of {} bytes is too large", len(body))
            return False
        if self._queued_bytes + len(body) > _MAX_QUEUED_BYTES:
            return False
        self._queue.append(frames.pack(body))
        self._queued_bytes += len(body)
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
            for pending in self.pending_requests.values():
                pending.finish(_undecided("the connection broke"))
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    async def _write(self) -> None:
        while True:
            with anyio.move_on_after(_KEEP_ALIVE_INTERVAL_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            batch = b"".join(self._queue) or frames.KEEP_ALIVE
            self._queue.clear()
            self._queued_bytes = 0
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
                parts = _unpack(body)
                if parts is None:
                    self.close()
                    return
                receive(parts)

    async def _receive(self) -> bytes:
        """Returns received bytes; none if the connection broke or is silent."""
        with anyio.move_on_after(_SILENCE_TIMEOUT_S):
            try:
                return await self._stream.receive(_READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return b""
        return b""


def _unpack(body: bytes) -> list | None:
    """Returns the parts of a frame, or None for a frame of another form."""
    try:
        parts = msgpack.unpackb(body)
    except (msgpack.UnpackException, ValueError) as error:
        loguru.logger.warning("malformed frame from a node: {!r}", error)
        return None
    if isinstance(parts, list) and parts:
        *fields, data = parts[1:] or [None]
        is_one_way = parts[0] == _ONE_WAY and _are_all(str, fields, 2)
        is_exchange = parts[0] in (_REQUEST, _REPLY) and _are_all(
            int, fields, 1
        )
        if (is_one_way or is_exchange) and isinstance(data, bytes):
            return parts
    loguru.logger.warning("a frame from a node has an unknown form")
    return None


def _are_all(kind: type, fields: list, count: int) -> bool:
    return len(fields) == count and all(
        isinstance(field, kind) for field in fields
    )


class _Pending:
    """A request that waits for its reply."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.result: Any = None

    def finish(self, result: object) -> None:
        self.result = result
        self.done.set()


def _undecided(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.UNDECIDED, reason)


def _not_sent(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.CUT_OFF, reason)


class Links:
    """The connections of this node to others, opened on demand."""

    def __init__(
        self,
        own_id: ids.EntryId,
        timer: timer_module.TimerService,
        on_message: MessageHandler,
        on_request: RequestHandler,
        on_lost: LossHandler,
    ) -> None:
        """Creates links without connections; they work while `run` is running.

        Args:
            own_id: Id of this node, which contains the address to listen on.
            timer: Clock for the delays between attempts to connect.
            on_message: Called with the sender and a one-way message.
            on_request: Called with a request; returns the reply.
            on_lost: Called with the remote address when a connection that this
                node opened broke.
        """
        self._own_id = own_id
        self._timer = timer
        self._on_message = on_message
        self._on_request = on_request
        self._on_lost = on_lost
        self._outgoing: dict[tuple[str, int], _Connection] = {}
        self._connecting: dict[tuple[str, int], anyio.Event] = {}
        self._no_reconnect_until_s: dict[tuple[str, int], float] = {}
        self._request_ids = itertools.count(1)
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self, listen: bool) -> None:
        """Runs the connections until cancelled; accepts others if `listen`."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                if listen:
                    await self._listen()
                await anyio.sleep_forever()
            finally:
                # Others may still send while they stop; nothing is sent then.
                self._tasks = None

    def send(self, entry_id: ids.EntryId, message: object) -> bool:
        """Queues a one-way message; returns False if it won't be sent."""
        address = node_ids.address_of(entry_id)
        if isinstance(address, errors.Failure):
            return False
        connection = self._outgoing.get(address)
        if connection is None or not connection.is_open:
            self._start_connecting(address)
            return False
        parts = [_ONE_WAY, self._own_id, entry_id, codec.encode(message)]
        return connection.enqueue(parts)

    async def request(
        self, address: tuple[str, int], message: object, timeout_s: float
    ) -> Any:
        """Sends a request and waits for the reply.

        Returns:
            The reply, or a `Failure`: CUT_OFF if the request was not sent,
            UNDECIDED if it may have been carried out.
        """
        pending = _Pending()
        with anyio.move_on_after(timeout_s):
            connection = await self._connect(address)
            if connection is None:
                return _not_sent(f"{address[0]} can't be reached")
            request_id = next(self._request_ids)
            connection.pending_requests[request_id] = pending
            try:
                if not connection.enqueue(
                    [_REQUEST, request_id, codec.encode(message)]
                ):
                    return _not_sent(f"the queue to {address[0]} is full")
                await pending.done.wait()
            finally:
                connection.pending_requests.pop(request_id, None)
            return pending.result
        return _undecided(f"no reply from {address[0]} within {timeout_s} s")

    def is_connected(self, address: tuple[str, int]) -> bool:
        """Whether a connection that this node opened to the address is open."""
        connection = self._outgoing.get(address)
        return connection is not None and connection.is_open

    def dump(self) -> dict:
        """Returns the open connections for debugging."""
        return {
            "connections": [
                f"{host}:{port}"
                for (host, port), connection in self._outgoing.items()
                if connection.is_open
            ]
        }

    async def _connect(self, address: tuple[str, int]) -> _Connection | None:
        connection = self._outgoing.get(address)
        if connection is not None and connection.is_open:
            return connection
        connected = self._start_connecting(address)
        if connected is None:
            return None
        await connected.wait()
        connection = self._outgoing.get(address)
        if connection is None or not connection.is_open:
            return None
        return connection

    def _start_connecting(self, address: tuple[str, int]) -> anyio.Event | None:
        if address in self._connecting:
            return self._connecting[address]
        not_before_s = self._no_reconnect_until_s.get(address, -math.inf)
        if self._tasks is None or self._timer.monotonic_s() < not_before_s:
            return None
        done = anyio.Event()
        self._connecting[address] = done
        self._tasks.start_soon(self._open_connection, address, done)
        return done

    async def _open_connection(
        self, address: tuple[str, int], done: anyio.Event
    ) -> None:
        stream = None
        try:
            with anyio.move_on_after(_CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(*address)
        except OSError as error:
            loguru.logger.debug("can't connect to {}: {}", address, error)
        connection = None
        if stream is None:
            self._no_reconnect_until_s[address] = (
                self._timer.monotonic_s() + _RECONNECT_DELAY_S
            )
        else:
            connection = _Connection(stream)
            self._outgoing[address] = connection
        del self._connecting[address]
        done.set()
        if connection is None:
            return
        try:
            await connection.run(
                lambda parts: self._on_reply(connection, parts)
            )
        finally:
            if self._outgoing.get(address) is connection:
                del self._outgoing[address]
                self._on_lost(address)

    def _on_reply(self, connection: _Connection, parts: list) -> None:
        if parts[0] != _REPLY:
            return
        _, request_id, data = parts
        pending = connection.pending_requests.get(request_id)
        if pending is not None:
            pending.finish(codec.decode(data))

    async def _listen(self) -> None:
        address = node_ids.address_of(self._own_id)
        if isinstance(address, errors.Failure) or self._tasks is None:
            raise ValueError(f"{self._own_id!r} contains no address")
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
            # Drops messages for an earlier node at the same address.
            if recipient == self._own_id:
                self._on_message(ids.EntryId(sender), codec.decode(data))
        elif parts[0] == _REQUEST and self._tasks is not None:
            _, request_id, data = parts
            self._tasks.start_soon(self._answer, connection, request_id, data)

    async def _answer(
        self, connection: _Connection, request_id: int, data: bytes
    ) -> None:
        try:
            reply = codec.encode(await self._on_request(codec.decode(data)))
        except Exception:  # noqa: BLE001
            # One request that fails in an unforeseen way must not end the
            # process: sent again, it would end the next leader's as well.
            loguru.logger.exception("a request of another node failed")
            reply = codec.encode(
                messages.Refusal(
                    errors.ErrorKind.INTERNAL, "the request failed unexpectedly"
                )
            )
        connection.enqueue([_REPLY, request_id, reply])
