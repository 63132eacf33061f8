"""Command line of the load generator for the request path benchmark."""

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
_DRAIN_TIMEOUT_S = 5.0
# Requests are sent in ticks, because the event loop's timers are no finer.
_TICK_S = 0.001


class _Results:
    """Response counts by service and status, and latencies of successes."""

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
    """A caller's connection, with at most one request in flight."""

    def __init__(self, generator: "_LoadGenerator") -> None:
        self._generator = generator
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
        self._generator.finish(self, service, status, latency_s)


class _LoadGenerator:
    """Sends requests in a closed loop or at a given rate."""

    def __init__(self, services: list[str], rate_per_s: float) -> None:
        self.results = _Results()
        self.finished = 0
        self._services = services
        self._rate_per_s = rate_per_s
        self._sent = 0
        self._end_s = 0.0
        self._idle_connections: list[_Connection] = []
        self._overdue: collections.deque[tuple[str, float]] = (
            collections.deque()
        )

    async def run(
        self, address: str, connections: int, seconds: float
    ) -> float:
        host, port = settings.host_and_port(address)
        loop = asyncio.get_running_loop()
        for _ in range(connections):
            _, connection = await loop.create_connection(
                lambda: _Connection(self), host, port
            )
            self._idle_connections.append(connection)
        started_s = time.monotonic()
        self._end_s = started_s + seconds
        if self._rate_per_s:
            await self._send_at_rate(started_s)
        else:
            for connection in list(self._idle_connections):
                connection.send(self._next_service(), time.monotonic())
            self._idle_connections.clear()
            await anyio.sleep(seconds)
        elapsed_s = time.monotonic() - started_s
        with anyio.move_on_after(_DRAIN_TIMEOUT_S):
            while self.finished < self._sent:
                await anyio.sleep(_TICK_S)
        return elapsed_s

    def finish(
        self,
        connection: _Connection,
        service: str,
        status: str,
        latency_s: float,
    ) -> None:
        self.finished += 1
        now_s = time.monotonic()
        if now_s < self._end_s or self._rate_per_s:
            self.results.record(service, status, latency_s)
        if status == "broken":
            return
        if self._overdue:
            connection.send(*self._overdue.popleft())
        elif not self._rate_per_s and now_s < self._end_s:
            connection.send(self._next_service(), now_s)
        else:
            self._idle_connections.append(connection)

    async def _send_at_rate(self, started_s: float) -> None:
        # Latency counts from the planned arrival, so that it includes the
        # time that requests wait for a connection while the server stalls.
        while (now_s := time.monotonic()) < self._end_s:
            due_count = int((now_s - started_s) * self._rate_per_s)
            while self._sent < due_count:
                arrival_s = started_s + (self._sent + 1) / self._rate_per_s
                service = self._next_service()
                if self._idle_connections:
                    self._idle_connections.pop().send(service, arrival_s)
                else:
                    self._overdue.append((service, arrival_s))
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
        service: Services to call in round-robin order.
        connections: Number of connections.
        rate: Arrivals per second; 0 for a closed loop.
        seconds: Duration in seconds.
    """
    generator = _LoadGenerator(service, rate)
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
