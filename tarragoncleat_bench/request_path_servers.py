"""Command line of the servers of the request path benchmark.

`upstream` answers with fixed bytes, `bare` is a forwarding loop without checks,
and `finished` is the request path of the product with static upstreams.
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import json
import signal
import socket
from typing import Any

import anyio
import defopt
import h11
import uvicorn

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import metrics
from tarragoncleat.kernel import settings
from tarragoncleat.kernel import timer
from tarragoncleat.process import http_server
from tarragoncleat.requests import caller_api
from tarragoncleat.state import profiles

__all__ = ["bare", "finished", "main", "upstream"]

_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
_READ_BYTES = 65_536
_BACKLOG = 2_048


class _UpstreamProtocol(asyncio.Protocol):
    """Answers requests without a body after a fixed time."""

    work_s = 0.0
    failing = False
    received = 0

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._data = b""

    def data_received(self, data: bytes) -> None:
        self._data += data
        if not self._data.endswith(b"\r\n\r\n"):
            return
        self._data = b""
        _UpstreamProtocol.received += 1
        if self.failing:
            self._transport.abort()
        elif self.work_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.work_s, self._transport.write, _RESPONSE)
        else:
            self._transport.write(_RESPONSE)


def upstream(address: str, *, work_ms: float = 0.0, failing: int = 0) -> None:
    """Serves as an upstream; prints the number of received requests at the end.

    Args:
        address: IP:PORT to listen on.
        work_ms: Time that each request takes.
        failing: 1 to reset every connection on its first request.
    """
    _UpstreamProtocol.work_s = work_ms / 1000
    _UpstreamProtocol.failing = bool(failing)
    anyio.run(_serve_upstream, address)


async def _serve_upstream(address: str) -> None:
    host, port = settings.host_and_port(address)
    loop = asyncio.get_running_loop()
    await loop.create_server(_UpstreamProtocol, host, port, backlog=_BACKLOG)
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        print("ready", flush=True)
        async for _ in signals:
            break
    print(json.dumps({"received": _UpstreamProtocol.received}), flush=True)


class _BareConnection:
    """One h11 connection to an upstream."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._codec = h11.Connection(h11.CLIENT)

    async def exchange(self, request: h11.Request) -> tuple[Any, bytes]:
        codec = self._codec
        data = codec.send(request) or b""
        self._socket.send(data + (codec.send(h11.EndOfMessage()) or b""))
        response = None
        body = b""
        while True:
            event = codec.next_event()
            if event is h11.NEED_DATA:
                await anyio.wait_readable(self._socket)
                codec.receive_data(self._socket.recv(_READ_BYTES))
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.EndOfMessage):
                codec.start_next_cycle()
                return response, body


class _BareForwarder:
    """ASGI application that forwards requests without a body, unchecked."""

    def __init__(self, upstreams: Sequence[tuple[str, int]]) -> None:
        self._upstreams = upstreams
        self._next = 0
        self._idle: list[_BareConnection] = []

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        connection = self._idle.pop() if self._idle else self._open()
        response, body = await connection.exchange(
            h11.Request(
                method=scope["method"],
                target=scope["raw_path"],
                headers=scope["headers"],
            )
        )
        self._idle.append(connection)
        await send(
            {
                "type": "http.response.start",
                "status": response.status_code,
                "headers": list(response.headers),
            }
        )
        await send({"type": "http.response.body", "body": body})

    def _open(self) -> _BareConnection:
        self._next += 1
        address = self._upstreams[self._next % len(self._upstreams)]
        sock = socket.create_connection(address)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _BareConnection(sock)


def bare(address: str, *, upstreams: list[str]) -> None:
    """Serves the bare forwarding loop.

    Args:
        address: IP:PORT to listen on.
        upstreams: IP:PORT of the upstreams.
    """
    host, port = settings.host_and_port(address)
    app = _BareForwarder(
        [
            settings.host_and_port(upstream_address)
            for upstream_address in upstreams
        ]
    )
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=_BACKLOG,
    )
    uvicorn.Server(config).run()


@dataclasses.dataclass(frozen=True)
class _Candidate:
    upstream_id: ids.UpstreamId
    host: str
    port: int
    slots: int
    availability_zone: ids.AvailabilityZone
    connections: int = 1_024
    returned_at_s: float = float("-inf")


class _Membership:
    """Membership with the same static upstreams for every service."""

    def __init__(self, upstreams: Sequence[str], slots: int) -> None:
        zone = ids.AvailabilityZone("fukuoka-a")
        self._candidates = [
            _Candidate(
                ids.UpstreamId(address),
                *settings.host_and_port(address),
                slots=slots,
                availability_zone=zone,
            )
            for address in upstreams
        ]
        self._reported: dict[ids.UpstreamId, int] = {}

    def candidates(self, service: ids.ServiceId) -> list[_Candidate]:
        return self._candidates

    def report_in_flight(
        self, upstream_id: ids.UpstreamId, in_flight: int
    ) -> None:
        self._reported[upstream_id] = in_flight

    def report_suspect(self, upstream_id: ids.UpstreamId) -> None:
        """Ignores the report: the benchmark's upstreams accept connections."""

    def in_flight_elsewhere(self, upstream_id: ids.UpstreamId) -> int:
        return 0

    def live_entries(self) -> int:
        return 1


class _Directory:
    """Directory of services that are named after their profile's standing."""

    def standing_of(self, service: ids.ServiceId) -> profiles.Standing:
        return profiles.Standing(service)

    def owner_of(self, service: ids.ServiceId) -> ids.FirmId | None:
        return ids.FirmId("hakata")


class _RejectingClaims:
    """Fails on every claim, as the benchmark sends no idempotency keys."""

    async def claim(self, request: object) -> Any:
        raise AssertionError("the benchmark sends no keys")

    async def release(self, request: object) -> None:
        raise AssertionError("the benchmark sends no keys")

    def store(self, request: object, answer: object) -> None:
        raise AssertionError("the benchmark sends no keys")


def finished(
    address: str,
    *,
    upstreams: list[str],
    slots: int = 256,
    max_in_flight: int = 1_024,
    max_queued: int = 1_024,
) -> None:
    """Serves the request path of the product.

    Args:
        address: IP:PORT to listen on.
        upstreams: IP:PORT of the upstreams.
        slots: Slots of each upstream.
        max_in_flight: Maximum number of requests in flight.
        max_queued: Maximum number of queued requests.
    """
    entry_settings = settings.Settings.model_validate(
        {
            "entry": {
                "entry_id": "entry-1",
                "availability_zone": "fukuoka-a",
                "region": "kyushu",
                "http_address": address,
                "peer_address": "127.0.0.1:1",
                "data_folder": "unused",
            },
            "routing": {
                "max_in_flight": max_in_flight,
                "max_queued": max_queued,
                "queue_length": max_queued,
            },
            "callers": {"max_connections_per_caller": 4_096},
        }
    )
    anyio.run(_serve_finished, entry_settings, _Membership(upstreams, slots))


async def _serve_finished(
    entry_settings: settings.Settings, membership: _Membership
) -> None:
    timer_service = timer.TimerService()
    instruments = metrics.Metrics()
    api = caller_api.CallerApi(
        entry_settings,
        timer_service,
        instruments,
        membership,
        _Directory(),
        _RejectingClaims(),
        lambda headers: None,
    )
    server = http_server.HttpServer(entry_settings, api, timer_service)
    async with anyio.create_task_group() as group:
        group.start_soon(api.run)
        group.start_soon(server.serve)
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                break
        group.cancel_scope.cancel()


def main() -> None:
    """Runs one of the servers."""
    defopt.run([upstream, bare, finished])


if __name__ == "__main__":
    main()
