"""Benchmark of the request path against a bare forwarding loop.

Upstreams, servers and the load generator are processes of their own on
loopback addresses. The two servers are measured in turn, several times, and
the medians are reported, because the speed of a shared machine drifts.
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
_TURNS = 5
_TURN_S = 1.5
_STANDINGS = tuple(standing.value for standing in profiles.Standing)

# Overload: two upstreams of 8 slots and 40 ms run 400 requests/s, which is
# far below what the entry itself can forward or refuse.
_OVERLOAD_SLOTS = 8
_OVERLOAD_WORK_MS = 40
_OVERLOAD_CAPACITY = 2 * _OVERLOAD_SLOTS * 1000 / _OVERLOAD_WORK_MS
_OVERLOAD_QUEUE = 64
_OVERLOAD_S = 4.0
_OVERLOAD_CONNECTIONS = 512

_FAILING_S = 4.0


@dataclasses.dataclass(frozen=True)
class _Result:
    """What the load generator reports."""

    elapsed_s: float
    statuses: dict[str, int]
    p50_ms: float
    p99_ms: float

    def per_s(self, status: str = "200", service: str = "") -> float:
        """Answers per second with a status, of one service or of all."""
        count = sum(
            number
            for name, number in self.statuses.items()
            if name.endswith(f" {status}") and name.startswith(service)
        )
        return count / self.elapsed_s


def run(seed: int) -> list[rows.Row]:
    """Measures the request path; the load has no random inputs."""
    return [
        *_measure_forwarding(seed),
        *_measure_overload(seed),
        *_measure_failing(seed),
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
            measured += _compare_closed(servers, connections, seed)
            if connections == _HALF_LOAD_CONNECTIONS:
                capacity = measured[-3].figure
                measured += _compare_half_load(servers, capacity, seed)
    return measured


def _compare_closed(
    servers: Sequence[str], connections: int, seed: int
) -> list[rows.Row]:
    bare, finished = _take_turns(servers, connections, 0.0)
    name = f"{connections} connections, closed loop"
    throughput = _row(
        f"throughput, {name}",
        "requests/s",
        _median([result.per_s() for result in finished]),
        seed,
        _median([result.per_s() for result in bare]),
    )
    return [throughput, *_latency_rows(name, bare, finished, seed)]


def _compare_half_load(
    servers: Sequence[str], capacity: float, seed: int
) -> list[rows.Row]:
    rate = capacity / 2
    bare, finished = _take_turns(servers, _HALF_LOAD_CONNECTIONS, rate)
    name = f"half load of the finished path ({rate:.0f} requests/s)"
    return _latency_rows(name, bare, finished, seed)


def _latency_rows(
    name: str,
    bare: Sequence[_Result],
    finished: Sequence[_Result],
    seed: int,
) -> list[rows.Row]:
    return [
        _row(
            f"{label}, {name}",
            "ms",
            _median([getattr(result, field) for result in finished]),
            seed,
            _median([getattr(result, field) for result in bare]),
        )
        for label, field in (("p50", "p50_ms"), ("p99", "p99_ms"))
    ]


def _take_turns(
    servers: Sequence[str], connections: int, rate: float
) -> list[list[_Result]]:
    results: list[list[_Result]] = [[] for _ in servers]
    for _ in range(_TURNS):
        for server, collected in zip(servers, results, strict=True):
            result = _load(server, ["normal"], connections, rate, _TURN_S)
            collected.append(result)
    return results


def _measure_overload(seed: int) -> list[rows.Row]:
    measured = []
    with contextlib.ExitStack() as stack:
        upstreams = [f"{_HOST}:{port}" for port in (9421, 9422)]
        for address in upstreams:
            work = str(_OVERLOAD_WORK_MS)
            stack.enter_context(_serve("upstream", address, "--work-ms", work))
        server = f"{_HOST}:9423"
        options = ["--upstreams", *upstreams]
        options += ["--slots", str(_OVERLOAD_SLOTS)]
        options += ["--max-in-flight", str(2 * _OVERLOAD_SLOTS)]
        options += ["--max-queued", str(_OVERLOAD_QUEUE)]
        stack.enter_context(_serve("finished", server, *options))
        for factor in (1, 2, 3):
            rate = factor * _OVERLOAD_CAPACITY
            result = _load(
                server,
                _STANDINGS,
                _OVERLOAD_CONNECTIONS,
                rate,
                _OVERLOAD_S,
            )
            measured += _overload_rows(factor, rate, result, seed)
    return measured


def _overload_rows(
    factor: int, rate: float, result: _Result, seed: int
) -> list[rows.Row]:
    name = f"{factor} times capacity ({rate:.0f} requests/s)"
    measured = [
        _row(
            f"goodput, {name}",
            "requests/s",
            result.per_s(),
            seed,
            bound=_OVERLOAD_CAPACITY,
        ),
        _row(f"p99 of the answers, {name}", "ms", result.p99_ms, seed),
    ]
    for standing in _STANDINGS:
        refused = result.per_s("503", standing) / (rate / len(_STANDINGS))
        label = f"refused share of {standing}, {name}"
        measured.append(_row(label, "1", refused, seed))
    return measured


def _measure_failing(seed: int) -> list[rows.Row]:
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
            result = _load(server, ["normal"], 64, 0.0, _FAILING_S)
        for process in processes:
            received += json.loads(_stop(process)[-1])["received"]
    fresh = sum(result.statuses.values())
    failed = fresh - result.statuses.get("normal 200", 0)
    name = "half the upstreams reset every connection"
    return [
        _row(f"retries / fresh, {name}", "1", received / fresh - 1, seed),
        _row(f"failed answers / fresh, {name}", "1", failed / fresh, seed),
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
        _wait_for(address)
        yield process
    finally:
        if process.poll() is None:
            _stop(process)


def _stop(process: subprocess.Popen) -> list[str]:
    """Stops a server and returns the lines that it printed."""
    process.terminate()
    output, _ = process.communicate()
    return output.splitlines()


def _wait_for(address: str) -> None:
    host, port = settings.host_and_port(address)
    limit_s = time.monotonic() + _START_TIMEOUT_S
    while True:
        with socket.socket() as probe:
            if probe.connect_ex((host, port)) == 0:
                return
        if time.monotonic() > limit_s:
            raise TimeoutError(f"nothing listens on {address}")
        time.sleep(0.05)


def _load(
    server: str,
    services: Sequence[str],
    connections: int,
    rate: float,
    seconds: float,
) -> _Result:
    command = [sys.executable, "-m", "tarragoncleat_bench.request_path_load"]
    command += [server, "--service", *services]
    command += ["--connections", str(connections)]
    command += ["--rate", str(rate), "--seconds", str(seconds)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return _Result(**json.loads(done.stdout))


def _median(values: Sequence[float]) -> float:
    return statistics.median(values)
