"""A caller API on a real listener, with static upstreams, and its clients."""

from collections.abc import AsyncIterator, Iterator, Sequence
import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
from typing import Any

import anyio
import h11

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import metrics
from tarragoncleat.kernel import timer
from tarragoncleat.process import http_server
from tarragoncleat.requests import caller_api
from tarragoncleat.requests import claims
from tarragoncleat.state import profiles
from tests import builders

__all__ = [
    "HOST",
    "Caller",
    "Directory",
    "Reply",
    "Upstreams",
    "run_entry",
    "run_standin",
]

# Differs between processes, so that concurrent runs don't conflict.
HOST = f"127.21.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"

_ROOT = pathlib.Path(__file__).resolve().parent.parent


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An upstream, as the membership returns it."""

    upstream_id: ids.UpstreamId
    host: str
    port: int
    availability_zone: ids.AvailabilityZone = ids.AvailabilityZone("fukuoka-a")
    slots: int = 8
    connections: int = 64
    returned_at_s: float = float("-inf")


class Upstreams:
    """Static upstreams of services."""

    def __init__(self) -> None:
        self.by_service: dict[str, list[Candidate]] = {}
        self.reported: dict[str, int] = {}
        self.suspects: set[str] = set()

    def add(self, service: str, name: str, address: str, **more: Any) -> None:
        host, _, port = address.rpartition(":")
        candidate = Candidate(ids.UpstreamId(name), host, int(port), **more)
        self.by_service.setdefault(service, []).append(candidate)

    def candidates(self, service: ids.ServiceId) -> Sequence[Candidate]:
        return self.by_service.get(service, ())

    def report_in_flight(
        self, upstream_id: ids.UpstreamId, in_flight: int
    ) -> None:
        self.reported[upstream_id] = in_flight

    def report_suspect(self, upstream_id: ids.UpstreamId) -> None:
        self.suspects.add(upstream_id)

    def in_flight_elsewhere(self, upstream_id: ids.UpstreamId) -> int:
        return 0

    def live_entries(self) -> int:
        return 1


class Directory:
    """Services with their standing; every service belongs to one firm.

    Without an owner no service is known yet.
    """

    def __init__(self, owner: str | None = "hakata") -> None:
        self.standings: dict[str, profiles.Standing] = {}
        self._owner = None if owner is None else ids.FirmId(owner)

    def standing_of(self, service: ids.ServiceId) -> profiles.Standing:
        return self.standings.get(service, profiles.Standing.NORMAL)

    def owner_of(self, service: ids.ServiceId) -> ids.FirmId | None:
        return self._owner


class NoClaims:
    """A claim store for tests whose requests have no idempotency key."""

    async def claim(self, request: claims.ClaimRequest) -> Any:
        raise AssertionError("no request of this test has a key")

    async def release(self, request: claims.ClaimRequest) -> None:
        raise AssertionError("no request of this test has a key")

    def store(self, request: claims.ClaimRequest, answer: Any) -> None:
        raise AssertionError("no request of this test has a key")


@contextlib.asynccontextmanager
async def run_entry(
    address: str,
    upstreams: Upstreams,
    claim_store: caller_api.ClaimStore | None = None,
    directory: Directory | None = None,
    authenticate: caller_api.Authenticate = lambda headers: None,
    **sections: Any,
) -> AsyncIterator[caller_api.CallerApi]:
    """Runs the request path on `address`."""
    sections.setdefault("stop", {"in_flight_limit_ms": 1_000})
    settings = builders.build_settings(
        entry={"http_address": address}, **sections
    )
    clock = timer.TimerService()
    api = caller_api.CallerApi(
        settings,
        clock,
        metrics.Metrics(),
        upstreams,
        directory or Directory(),
        claim_store or NoClaims(),
        authenticate,
    )
    server = http_server.HttpServer(settings, api, clock)
    async with anyio.create_task_group() as group:
        group.start_soon(api.run)
        server_ended = anyio.Event()

        async def serve() -> None:
            with anyio.CancelScope(shield=True):
                await server.serve()
            server_ended.set()

        group.start_soon(serve)
        while not server.started:
            await anyio.sleep(0.005)
        try:
            yield api
        finally:
            server.stop()
            with anyio.CancelScope(shield=True):
                await server_ended.wait()
        group.cancel_scope.cancel()


@contextlib.contextmanager
def run_standin(*arguments: str) -> Iterator[subprocess.Popen]:
    """Runs a stand-in upstream in a separate process."""
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.standin_upstream", *arguments],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        assert process.stdout.readline() == b"ready\n"
        yield process
    finally:
        process.terminate()
        try:
            process.wait(1)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        if process.stdout is not None:
            process.stdout.close()


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer; `broken` if the connection ended before its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    broken: bool = False

    @property
    def outcome(self) -> str | None:
        return self.headers.get("tarragoncleat-outcome")

    @property
    def json(self) -> Any:
        return json.loads(self.body)


class Caller:
    """A client with one connection."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._stream: Any = None
        self._codec = h11.Connection(h11.CLIENT)

    async def request(
        self,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Reply:
        """Sends a request and reads the whole answer."""
        await self.send_request(method, target, headers or {}, body)
        return await self.read_reply()

    async def send_request(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Connects if needed and sends a request."""
        if self._stream is None:
            self._stream = await anyio.connect_tcp(self._host, self._port)
        fields = [("Host", "entry"), *headers.items()]
        if body:
            fields.append(("Content-Length", str(len(body))))
        data = self._codec.send(
            h11.Request(method=method, target=target, headers=fields)
        )
        data += self._codec.send(h11.Data(data=body)) if body else b""
        data += self._codec.send(h11.EndOfMessage())
        await self._stream.send(data)

    async def read_reply(self) -> Reply:
        """Reads an answer."""
        status, headers, parts = 0, {}, []
        try:
            while True:
                event = await self._next()
                if isinstance(event, h11.Response):
                    status = event.status_code
                    headers = {k.decode(): v.decode() for k, v in event.headers}
                elif isinstance(event, h11.Data):
                    parts.append(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise h11.RemoteProtocolError("closed")
        except (h11.RemoteProtocolError, anyio.BrokenResourceError):
            await self.aclose()
            return Reply(status, headers, b"".join(parts), broken=True)
        if self._codec.their_state is h11.DONE:
            self._codec.start_next_cycle()
        else:
            await self.aclose()
        return Reply(status, headers, b"".join(parts))

    async def aclose(self) -> None:
        """Closes the connection."""
        if self._stream is not None:
            await self._stream.aclose()
        self._stream = None
        self._codec = h11.Connection(h11.CLIENT)

    async def _next(self) -> Any:
        while True:
            event = self._codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive()
            except anyio.EndOfStream:
                data = b""
            self._codec.receive_data(data)
