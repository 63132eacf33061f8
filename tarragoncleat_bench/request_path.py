"""Benchmark of the request path against a bare forwarding loop.

Upstreams, servers and the load generator are separate processes on loopback
addresses. The two servers are measured alternately, several times, and the
medians are reported, because the speed of a shared machine drifts.
"""

from collections.abc import Iterator, Sequence
import contextlib
import dataclasses
import json
import os
import socket
import statistics
import subprocess
import sys
import time

from tarragoncleat.kernel import settings
from tarragoncleat.state import profiles
from tarragoncleat_bench import rows

__all__ = ["run"]

_GROUP = "request-path"
_HOST = f"127.21.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
_START_TIMEOUT_S = 20.0
_CONNECTIONS = (1, 8, 64, 256)
_HALF_LOAD_CONNECTIONS = 64
_ROUNDS = 5
_ROUND_S = 1.5
_STANDINGS = tuple(standing.value for standing in profiles.Standing)

# Overload: two upstreams of 8 slots, at 40 ms a request, serve 400 requests/s,
# which is far below what the entry itself can forward or refuse.
_OVERLOAD_SLOTS = 8
_OVERLOAD_SERVICE_MS = 40
_OVERLOAD_CAPACITY_PER_S = 2 * _OVERLOAD_SLOTS * 1000 / _OVERLOAD_SERVICE_MS
_OVERLOAD_QUEUE = 64
_OVERLOAD_S = 4.0
_OVERLOAD_CONNECTIONS = 512

_RESET_RUN_S = 4.0


@dataclasses.dataclass(frozen=True)
class _LoadResult:
    """Results of the load generator, by its JSON keys."""

    elapsed_s: float
    statuses: dict[str, int]
    p50_ms: float
    p99_ms: float

    def per_s(self, status: str = "200", service: str = "") -> float:
        """Responses per second with a status, of one service or of all."""
        count = sum(
            number
            for service_and_status, number in self.statuses.items()
            if service_and_status.endswith(f" {status}")
            and service_and_status.startswith(service)
        )
        return count / self.elapsed_s


def run(seed: int) -> list[rows.Row]:
    """Measures the request path; the load has no random inputs."""
    return [
        *_measure_forwarding(seed),
        *_measure_overload(seed),
        *_measure_resets(seed),
    ]


def _row(
    name: str,
    unit: str,
    figure: float,
    seed: int,
    baseline: float | None = None,
    bound: float | None = None,
) -> rows.Row:
    return rows.Row(_GROUP, name, unit, figure, baseline, bound, seed)


def _measure_forwarding(seed: int) -> list[rows.Row]:
    measured = []
    with contextlib.ExitStack() as stack:
        upstreams = [f"{_HOST}:{port}" for port in (9401, 9402)]
        for address in upstreams:
            stack.enter_context(_serve("upstream", address))
        servers = [f"{_HOST}:{port}" for port in (9410, 9411)]
        for kind, address in zip(("bare", "finished"), servers, strict=True):
            stack.enter_context(
                _serve(kind, address, "--upstreams", *upstreams)
            )
        for connections in _CONNECTIONS:
            measured += _compare_closed_loop(servers, connections, seed)
            if connections == _HALF_LOAD_CONNECTIONS:
                capacity_per_s = measured[-3].figure
                measured += _compare_half_load(servers, capacity_per_s, seed)
    return measured


def _compare_closed_loop(
    servers: Sequence[str], connections: int, seed: int
) -> list[rows.Row]:
    bare, product = _run_alternating(servers, connections, 0.0)
    name = f"{connections} connections, closed loop"
    throughput = _row(
        f"throughput, {name}",
        "requests/s",
        _median([result.per_s() for result in product]),
        seed,
        _median([result.per_s() for result in bare]),
    )
    return [throughput, *_latency_rows(name, bare, product, seed)]


def _compare_half_load(
    servers: Sequence[str], capacity_per_s: float, seed: int
) -> list[rows.Row]:
    rate_per_s = capacity_per_s / 2
    bare, product = _run_alternating(
        servers, _HALF_LOAD_CONNECTIONS, rate_per_s
    )
    name = f"half load of the finished path ({rate_per_s:.0f} requests/s)"
    return _latency_rows(name, bare, product, seed)


def _latency_rows(
    name: str,
    bare: Sequence[_LoadResult],
    product: Sequence[_LoadResult],
    seed: int,
) -> list[rows.Row]:
    return [
        _row(
            f"{label}, {name}",
            "ms",
            _median([getattr(result, field) for result in product]),
            seed,
            _median([getattr(result, field) for result in bare]),
        )
        for label, field in (("p50", "p50_ms"), ("p99", "p99_ms"))
    ]


def _run_alternating(
    servers: Sequence[str], connections: int, rate_per_s: float
) -> list[list[_LoadResult]]:
    results: list[list[_LoadResult]] = [[] for _ in servers]
    for _ in range(_ROUNDS):
        for server, collected in zip(servers, results, strict=True):
            result = _run_load(
                server, ["normal"], connections, rate_per_s, _ROUND_S
            )
            collected.append(result)
    return results


def _measure_overload(seed: int) -> list[rows.Row]:
    measured = []
    with contextlib.ExitStack() as stack:
        upstreams = [f"{_HOST}:{port}" for port in (9421, 9422)]
        for address in upstreams:
            service_ms = str(_OVERLOAD_SERVICE_MS)
            stack.enter_context(
                _serve("upstream", address, "--work-ms", service_ms)
            )
        server = f"{_HOST}:9423"
        options = ["--upstreams", *upstreams]
        options += ["--slots", str(_OVERLOAD_SLOTS)]
        options += ["--max-in-flight", str(2 * _OVERLOAD_SLOTS)]
        options += ["--max-queued", str(_OVERLOAD_QUEUE)]
        stack.enter_context(_serve("finished", server, *options))
        for factor in (1, 2, 3):
            rate_per_s = factor * _OVERLOAD_CAPACITY_PER_S
            result = _run_load(
                server,
                _STANDINGS,
                _OVERLOAD_CONNECTIONS,
                rate_per_s,
                _OVERLOAD_S,
            )
            measured += _overload_rows(factor, rate_per_s, result, seed)
    return measured


def _overload_rows(
    factor: int, rate_per_s: float, result: _LoadResult, seed: int
) -> list[rows.Row]:
    name = f"{factor} times capacity ({rate_per_s:.0f} requests/s)"
    measured = [
        _row(
            f"goodput, {name}",
            "requests/s",
            result.per_s(),
            seed,
            bound=_OVERLOAD_CAPACITY_PER_S,
        ),
        _row(f"p99 of the answers, {name}", "ms", result.p99_ms, seed),
    ]
    for standing in _STANDINGS:
        refused = result.per_s("503", standing) / (rate_per_s / len(_STANDINGS))
        label = f"refused share of {standing}, {name}"
        measured.append(_row(label, "1", refused, seed))
    return measured


def _measure_resets(seed: int) -> list[rows.Row]:
    received = 0
    upstreams = [f"{_HOST}:{port}" for port in (9431, 9432, 9433, 9434)]
    server = f"{_HOST}:9435"
    with contextlib.ExitStack() as stack:
        processes = [
            stack.enter_context(
                _serve("upstream", address, "--failing", str(number % 2))
            )
            for number, address in enumerate(upstreams)
        ]
        options = ["--upstreams", *upstreams]
        with _serve("finished", server, *options):
            result = _run_load(server, ["normal"], 64, 0.0, _RESET_RUN_S)
        for process in processes:
            received += json.loads(_stop(process)[-1])["received"]
    first_attempts = sum(result.statuses.values())
    failed = first_attempts - result.statuses.get("normal 200", 0)
    name = "half the upstreams reset every connection"
    return [
        _row(
            f"retries / fresh, {name}", "1", received / first_attempts - 1, seed
        ),
        _row(
            f"failed answers / fresh, {name}",
            "1",
            failed / first_attempts,
            seed,
        ),
    ]


@contextlib.contextmanager
def _serve(
    kind: str, address: str, *options: str
) -> Iterator[subprocess.Popen]:
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "tarragoncleat_bench.request_path_servers",
            kind,
            address,
            *options,
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        _wait_until_listening(address)
        yield process
    finally:
        if process.poll() is None:
            _stop(process)


def _stop(process: subprocess.Popen) -> list[str]:
    """Stops a server and returns the lines that it printed."""
    process.terminate()
    output, _ = process.communicate()
    return output.splitlines()


def _wait_until_listening(address: str) -> None:
    host, port = settings.host_and_port(address)
    deadline_s = time.monotonic() + _START_TIMEOUT_S
    while True:
        with socket.socket() as probe:
            if probe.connect_ex((host, port)) == 0:
                return
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"no server listens on {address}")
        time.sleep(0.05)


def _run_load(
    server: str,
    services: Sequence[str],
    connections: int,
    rate_per_s: float,
    duration_s: float,
) -> _LoadResult:
    command = [sys.executable, "-m", "tarragoncleat_bench.request_path_load"]
    command += [server, "--service", *services]
    command += ["--connections", str(connections)]
    command += ["--rate", str(rate_per_s), "--seconds", str(duration_s)]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=True
    )
    return _LoadResult(**json.loads(completed.stdout))


def _median(values: Sequence[float]) -> float:
    return statistics.median(values)
