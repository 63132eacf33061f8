"""HTTP/1.1 client for many small calls to one address.

A leader calls each worker several times a second, which makes the cost of a
call most of its processor time. Requests have a fixed form and are sent as one
write; httptools parses the responses.
"""

from collections.abc import Iterable
import dataclasses
import select
import socket
import string
import urllib.parse

import anyio
import httptools

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import tcp

__all__ = ["MAX_RESPONSE_BYTES", "HttpClient", "Response"]

# Of a response with its head and trailers, unless a client has a lower limit.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024

_READ_BYTES = 65_536
# Of all calls of the process, while their responses are incomplete.
_MAX_PENDING_BYTES = 32 * 1024 * 1024
_CONNECT_TIMEOUT_S = 0.5

Headers = Iterable[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes


class _PendingBytes:
    """What the incomplete responses of all calls hold together."""

    def __init__(self) -> None:
        self.count = 0


_pending = _PendingBytes()


class HttpClient:
    """Calls one address, and keeps its idle connections for further calls.

    Each call in flight has a connection of its own; there is no queue.
    """

    def __init__(
        self,
        address: str,
        headers: Headers = (),
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """Creates a client; connections open on demand.

        Args:
            address: HOST:PORT.
            headers: Headers of every request.
            max_response_bytes: Limit for a response with its head and trailers.
        """
        self._max_response_bytes = max_response_bytes
        self._host, self._port = settings_module.host_and_port(address)
        self._head = _format_headers([("Host", address), *headers])
        self._idle: list[_Connection] = []

    async def request(
        self,
        method: str,
        path: str,
        content: bytes,
        timeout_s: float,
        headers: Headers = (),
    ) -> Response | errors.Failure:
        """Sends a request and reads the complete response.

        Args:
            method: Method.
            path: Path and query, percent-encoded.
            content: Body.
            timeout_s: Limit for the call, without the time to connect.
            headers: Further headers.

        Returns:
            The response, or a `Failure` of kind UPSTREAM_FAILED; the request
            may have been carried out then.
        """
        connection = await self._acquire()
        if isinstance(connection, errors.Failure):
            return connection
        data = b"%s %s HTTP/1.1\r\n%s%sContent-Length: %d\r\n\r\n%s" % (
            method.encode(),
            path.encode(),
            self._head,
            _format_headers(headers),
            len(content),
            content,
        )
        response: Response | errors.Failure = _failure(
            f"no response within {timeout_s:g} s"
        )
        try:
            with anyio.move_on_after(timeout_s):
                response = await connection.exchange(data)
        finally:
            if connection.is_reusable:
                self._idle.append(connection)
            else:
                connection.close()
        return response

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _acquire(self) -> "_Connection | errors.Failure":
        while self._idle:
            connection = self._idle.pop()
            if connection.is_idle():
                return connection
            connection.close()
        sock = await tcp.connect(self._host, self._port, _CONNECT_TIMEOUT_S)
        if isinstance(sock, errors.Failure):
            return sock
        return _Connection(sock, self._max_response_bytes)


class _Connection:
    """A connection that serves one call at a time."""

    def __init__(self, sock: socket.socket, max_response_bytes: int) -> None:
        self._socket = sock
        self._max_response_bytes = max_response_bytes
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        self.is_reusable = False

    def is_idle(self) -> bool:
        """Whether the peer has neither sent data nor closed the connection."""
        return not self._poll.poll(0)

    def close(self) -> None:
        self._socket.close()

    async def exchange(self, data: bytes) -> Response | errors.Failure:
        """Sends an encoded request; reads the response."""
        self.is_reusable = False
        try:
            await self._send(data)
            return await self._receive()
        except OSError as error:
            return _failure(f"the connection broke: {tcp.error_name(error)}")
        except httptools.HttpParserError as error:
            return _failure(f"the response is malformed: {error}")

    async def _send(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self._socket.send(rest) :]
            except BlockingIOError:
                await anyio.wait_writable(self._socket)

    async def _receive(self) -> Response | errors.Failure:
        reader = _ResponseReader()
        received = 0
        try:
            while not reader.is_complete:
                await anyio.wait_readable(self._socket)
                try:
                    data = self._socket.recv(_READ_BYTES)
                except BlockingIOError:
                    continue
                if not data:
                    return _failure("the connection was closed")
                received += len(data)
                _pending.count += len(data)
                reader.feed(data)
                if received > self._max_response_bytes:
                    return _failure(
                        f"a response over {self._max_response_bytes} bytes"
                    )
                if _pending.count > _MAX_PENDING_BYTES:
                    return _failure("the responses of all calls are too large")
            self.is_reusable = reader.keeps_connection
            return reader.response()
        finally:
            _pending.count -= received
            reader.close()


class _ResponseReader:
    """Parses one response; httptools calls the methods named `on_`."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self.is_complete = False
        self.keeps_connection = False

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_body(self, data: bytes) -> None:
        self._parts.append(data)

    def on_message_complete(self) -> None:
        self.is_complete = True
        self.keeps_connection = self._parser.should_keep_alive()

    def response(self) -> Response:
        return Response(self._parser.get_status_code(), b"".join(self._parts))

    def close(self) -> None:
        """Lets go of the parser, which refers to this reader.

        Cycles are looked for so rarely that their memory would add up.
        """
        del self._parser
        self._parts.clear()


def _format_headers(headers: Headers) -> bytes:
    """Encodes headers; a value can't add further ones."""
    lines = [
        f"{name}: {urllib.parse.quote(value, safe=string.printable[:-5])}\r\n"
        for name, value in headers
    ]
    return "".join(lines).encode()


def _failure(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.UPSTREAM_FAILED, reason)
