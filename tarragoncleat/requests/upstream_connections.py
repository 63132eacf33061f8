"""HTTP/1.1 connections to upstreams: h11 over non-blocking sockets.

Sockets are used directly, and anyio only waits for them, because the write
buffer of a transport would hide whether a byte of a request was written.
"""

import select
import socket

import anyio
import h11

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import tcp
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.requests import routing

__all__ = ["Connection", "ConnectionPool", "open_connection"]

_READ_BYTES = 65_536
_MAX_HEAD_BYTES = 131_072
_MS_PER_S = 1000

_EVENTS = (
    h11.Response,
    h11.InformationalResponse,
    h11.Data,
    h11.EndOfMessage,
)

Event = h11.Response | h11.InformationalResponse | h11.Data | h11.EndOfMessage


class Connection:
    """A connection, used only by the task that checked it out."""

    def __init__(self, upstream: routing.Upstream, sock: socket.socket):
        """Wraps a connected non-blocking socket."""
        self.key = _pool_key(upstream)
        self.idle_since_s = 0.0
        self.reused = False
        self._socket = sock
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        self._codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._has_sent = False
        self._write_incomplete = False
        self._has_received = False

    @property
    def has_sent(self) -> bool:
        """Whether a byte of the current request was written to the socket."""
        return self._has_sent

    @property
    def has_received(self) -> bool:
        """Whether a byte of the current answer has arrived."""
        return self._has_received

    @property
    def reusable(self) -> bool:
        """Whether the exchange is complete and the connection stays open."""
        codec = self._codec
        return (
            not self._write_incomplete
            and codec.our_state is h11.DONE
            and codec.their_state is h11.DONE
            and not codec.trailing_data[0]
        )

    def start_next_cycle(self) -> None:
        """Prepares for the next request."""
        self._codec.start_next_cycle()
        self._has_sent = False
        self._has_received = False
        self.reused = True

    def is_idle(self) -> bool:
        """Whether the peer has neither sent data nor closed the connection."""
        return not self._poll.poll(0)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    async def send(
        self, *events: h11.Request | h11.Data | h11.EndOfMessage
    ) -> errors.Failure | None:
        """Writes events, in as few system calls as possible."""
        try:
            data = b"".join(
                piece for event in events if (piece := self._codec.send(event))
            )
        except h11.LocalProtocolError as error:
            return _upstream_failure(f"the request can't be sent: {error}")
        return await self._write(data)

    async def _write(self, data: bytes) -> errors.Failure | None:
        rest: bytes | memoryview = data
        # Remains set when the task is cancelled or the peer resets the
        # connection: h11 counts a request as sent once it is encoded.
        self._write_incomplete = True
        while rest:
            try:
                sent = self._socket.send(rest)
            except BlockingIOError:
                await anyio.wait_writable(self._socket)
                continue
            except OSError as error:
                return _upstream_failure(
                    f"sending failed: {tcp.error_name(error)}"
                )
            self._has_sent = True
            rest = memoryview(rest)[sent:] if sent < len(rest) else b""
        self._write_incomplete = False
        return None

    async def receive(self) -> Event | errors.Failure:
        """Returns the next event of the answer."""
        # Before the first byte of the answer there is nothing to parse.
        event = self.receive_buffered() if self._has_received else None
        while event is None:
            failure = await self._read_more()
            if failure is not None:
                return failure
            event = self.receive_buffered()
        return event

    def receive_buffered(self) -> Event | errors.Failure | None:
        """Returns the next event, or None if it has not arrived yet."""
        try:
            event = self._codec.next_event()
        except h11.RemoteProtocolError as error:
            return _upstream_failure(f"the answer is malformed: {error}")
        if event is h11.NEED_DATA:
            return None
        if isinstance(event, _EVENTS):
            return event
        if isinstance(event, h11.ConnectionClosed):
            return _upstream_failure("the upstream closed the connection")
        return _upstream_failure("the upstream sent more than one answer")

    async def _read_more(self) -> errors.Failure | None:
        while True:
            await anyio.wait_readable(self._socket)
            try:
                data = self._socket.recv(_READ_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                return _upstream_failure(
                    f"receiving failed: {tcp.error_name(error)}"
                )
            self._has_received = self._has_received or bool(data)
            self._codec.receive_data(data)
            return None


def _upstream_failure(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.UPSTREAM_FAILED, reason)


def _pool_key(upstream: routing.Upstream) -> tuple[ids.UpstreamId, str, int]:
    return upstream.upstream_id, upstream.host, upstream.port


async def open_connection(
    upstream: routing.Upstream, timeout_s: float
) -> Connection | errors.Failure:
    """Connects to an upstream."""
    sock = await tcp.connect(upstream.host, upstream.port, timeout_s)
    if isinstance(sock, errors.Failure):
        return sock
    return Connection(upstream, sock)


class ConnectionPool:
    """Idle connections by upstream; the most recently used is reused first."""

    def __init__(
        self,
        routing_settings: settings_module.RoutingSettings,
        timer: timer_module.TimerService,
    ):
        """Creates an empty pool."""
        self._idle_s = routing_settings.idle_connection_ms / _MS_PER_S
        self._fresh_s = routing_settings.fresh_connection_ms / _MS_PER_S
        self._connect_timeout_s = (
            routing_settings.connect_timeout_ms / _MS_PER_S
        )
        self._timer = timer
        self._idle: dict[tuple[ids.UpstreamId, str, int], list[Connection]]
        self._idle = {}

    def __len__(self) -> int:
        return sum(len(idle) for idle in self._idle.values())

    async def check_out(
        self, upstream: routing.Upstream, fresh: bool
    ) -> Connection | errors.Failure:
        """Returns an idle connection or a new one.

        Args:
            upstream: Upstream to connect to.
            fresh: Whether a reused connection must have been used recently.
                When an upstream closes an idle connection while a request is
                on its way, it is unknown whether the request ran.
        """
        max_idle_s = min(self._fresh_s, self._idle_s) if fresh else self._idle_s
        idle = self._idle.get(_pool_key(upstream))
        oldest_s = self._timer.monotonic_s() - max_idle_s
        while idle and idle[-1].idle_since_s >= oldest_s:
            connection = idle.pop()
            if connection.is_idle():
                return connection
            connection.close()
        return await open_connection(upstream, self._connect_timeout_s)

    def check_in(self, connection: Connection, max_idle: int) -> None:
        """Keeps a connection for reuse, at most `max_idle` per upstream.

        A connection that is not reusable is closed.
        """
        idle = self._idle.setdefault(connection.key, [])
        if not connection.reusable or len(idle) >= max_idle:
            connection.close()
            return
        connection.start_next_cycle()
        connection.idle_since_s = self._timer.monotonic_s()
        idle.append(connection)

    def close_idle(self, upstream: routing.Upstream) -> None:
        """Closes the idle connections of an upstream that failed."""
        for connection in self._idle.pop(_pool_key(upstream), []):
            connection.close()

    def close_expired(self) -> None:
        """Closes connections that were idle for too long."""
        oldest_s = self._timer.monotonic_s() - self._idle_s
        for key in list(self._idle):
            kept = []
            for connection in self._idle[key]:
                if connection.idle_since_s >= oldest_s:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def close_all(self) -> None:
        """Closes every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
