"""Load generator of the request path benchmark, a program of its own."""

import asyncio
import collections
import json
import time
from typing import Any

import anyio
import defopt
from hdrh import histogram

from tarragoncleat.kernel import settings

__all__ = ["load", "main"]

_MAX_LATENCY_US = 60_000_000
_HISTOGRAM_DIGITS = 3
_US_PER_S = 1_000_000
_DRAIN_S = 5.0
# Arrivals are released in ticks; the event loop's timers are no finer.
_TICK_S = 0.001


class _Results:
    """Counts and latencies by service."""

    def __init__(self) -> None:
        self.latency = histogram.HdrHistogram(
            1, _MAX_LATENCY_US, _HISTOGRAM_DIGITS
        )
        self.statuses: collections.Counter = collections.Counter()

    def record(self, service: str, status: str, latency_s: float) -> None:
        self.statuses[f"{service} {status}"] += 1
        if status == "200":
            self.latency.record_value(max(1, int(latency_s * _US_PER_S)))


class _Connection(asyncio.Protocol):
    """One caller connection, which has at most one request in flight."""

    def __init__(self, load: "_Load") -> None:
        self._load = load
        self._data = b""
        self._transport: Any = None
        self._service = ""
        self._started_s = 0.0

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        if self._service:
            self._finish("broken")
        self._transport = None

    def send(self, service: str, started_s: float) -> None:
        self._service = service
        self._started_s = started_s
        self._transport.write(
            b"GET /services/%s/x HTTP/1.1\r\nHost: bench\r\n\r\n"
            % service.encode()
        )

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, separator, body = self._data.partition(b"\r\n\r\n")
        if not separator:
            return
        _, _, rest = head.lower().partition(b"content-length:")
        if len(body) < int(rest.partition(b"\r\n")[0]):
            return
        status = head[9:12].decode()
        self._data = b""
        self._finish(status)

    def _finish(self, status: str) -> None:
        latency_s = time.monotonic() - self._started_s
        service, self._service = self._service, ""
        self._load.finish(self, service, status, latency_s)


class _Load:
    """Sends requests in a closed loop, or at a given rate."""

    def __init__(self, services: list[str], rate_per_s: float) -> None:
        self.results = _Results()
        self.finished = 0
        self._services = services
        self._rate_per_s = rate_per_s
        self._sent = 0
        self._end_s = 0.0
        self._idle: list[_Connection] = []
        self._due: collections.deque[tuple[str, float]] = collections.deque()

    async def run(
        self, address: str, connections: int, seconds: float
    ) -> float:
        host, port = settings.host_and_port(address)
        loop = asyncio.get_running_loop()
        for _ in range(connections):
            _, connection = await loop.create_connection(
                lambda: _Connection(self), host, port
            )
            self._idle.append(connection)
        started_s = time.monotonic()
        self._end_s = started_s + seconds
        if self._rate_per_s:
            await self._send_at_rate(started_s)
        else:
            for connection in list(self._idle):
                connection.send(self._next_service(), time.monotonic())
            self._idle.clear()
            await anyio.sleep(seconds)
        elapsed_s = time.monotonic() - started_s
        with anyio.move_on_after(_DRAIN_S):
            while self.finished < self._sent:
                await anyio.sleep(_TICK_S)
        return elapsed_s

    def finish(
        self, connection: _Connection, service: str, status: str, took_s: float
    ) -> None:
        self.finished += 1
        now_s = time.monotonic()
        if now_s < self._end_s or self._rate_per_s:
            self.results.record(service, status, took_s)
        if status == "broken":
            return
        if self._due:
            connection.send(*self._due.popleft())
        elif not self._rate_per_s and now_s < self._end_s:
            connection.send(self._next_service(), now_s)
        else:
            self._idle.append(connection)

    async def _send_at_rate(self, started_s: float) -> None:
        # Latency counts from the planned arrival, so that a server that
        # stalls is charged for the requests that it held back.
        while (now_s := time.monotonic()) < self._end_s:
            planned = int((now_s - started_s) * self._rate_per_s)
            while self._sent < planned:
                arrival_s = started_s + (self._sent + 1) / self._rate_per_s
                service = self._next_service()
                if self._idle:
                    self._idle.pop().send(service, arrival_s)
                else:
                    self._due.append((service, arrival_s))
            await anyio.sleep(_TICK_S)

    def _next_service(self) -> str:
        self._sent += 1
        return self._services[self._sent % len(self._services)]


def load(
    address: str,
    *,
    service: list[str],
    connections: int = 64,
    rate: float = 0.0,
    seconds: float = 3.0,
) -> None:
    """Sends GET requests and prints the results as JSON.

    Args:
        address: IP:PORT of the server.
        service: Services to call in turn.
        connections: Caller connections.
        rate: Arrivals per second; 0 for a closed loop.
        seconds: How long to send.
    """
    generator = _Load(service, rate)
    elapsed_s = anyio.run(generator.run, address, connections, seconds)
    latency = generator.results.latency
    print(
        json.dumps(
            {
                "elapsed_s": elapsed_s,
                "statuses": generator.results.statuses,
                "p50_ms": latency.get_value_at_percentile(50) / 1000,
                "p99_ms": latency.get_value_at_percentile(99) / 1000,
            }
        )
    )


def main() -> None:
    """Runs the load generator."""
    defopt.run(load)


if __name__ == "__main__":
    main()
