"""Measures the replicated log with real processes and delayed zones."""

from collections.abc import Iterator, Sequence
import contextlib
import math
import os
import pathlib
import statistics
import tempfile
import time

from tarragoncleat_bench import control_cluster
from tarragoncleat_bench import rows

__all__ = ["run"]

_GROUP = "control"
_DELAY_MS = 1.5
_SIZES = (3, 9, 18)
_CHANGES_PER_DAY = 22_000
_S_PER_DAY = 86_400
_WINDOW_S = 10.0
_SETTLE_S = 3.0
_KILLS = 5
_SYNCS = 100
_IN_FORCE_CHANGES = 60
_THROUGHPUT_CHANGES = 4_000
_PARALLEL = 128
_POLL_S = 0.005
_MS_PER_S = 1000


def run(seed: int) -> list[rows.Row]:
    """Returns the figures for groups of 3, 9 and 18 entries.

    Nothing here is random but the election timeouts, which each process draws
    for itself; `seed` is only noted.
    """
    measured: list[rows.Row] = []
    for size in _SIZES:
        with _cluster(size) as cluster:
            measured += _measure_size(cluster, size)
    with _cluster(3) as cluster:
        measured += _measure_growth(cluster)
    return [
        rows.Row(
            row.group,
            row.name,
            row.unit,
            row.figure,
            row.baseline,
            row.lower_bound,
            seed,
        )
        for row in measured
    ]


@contextlib.contextmanager
def _cluster(size: int) -> Iterator[control_cluster.Cluster]:
    zones = [
        control_cluster.KYUSHU_ZONES[n % len(control_cluster.KYUSHU_ZONES)]
        for n in range(size)
    ]
    replicas = 3 if size < 5 else 5
    with tempfile.TemporaryDirectory() as folder:
        cluster = control_cluster.Cluster(
            pathlib.Path(folder), zones, replicas, _DELAY_MS
        )
        try:
            cluster.wait_applied(_first_index(cluster))
            yield cluster
        finally:
            cluster.close()


def _first_index(cluster: control_cluster.Cluster) -> int:
    leader = cluster.wait_leader()
    return leader.propose(0, 1)["applied"][0][1]


def _row(
    name: str,
    unit: str,
    figure: float,
    baseline: float | None = None,
    lower_bound: float | None = None,
) -> rows.Row:
    return rows.Row(_GROUP, name, unit, figure, baseline, lower_bound)


def _quantile(values: Sequence[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[math.ceil(fraction * len(ordered)) - 1]


def _measure_size(
    cluster: control_cluster.Cluster, size: int
) -> list[rows.Row]:
    measured = _measure_in_force(cluster, size)
    rate = _CHANGES_PER_DAY / _S_PER_DAY
    for label, per_second in (
        ("idle", 0.0),
        ("22,000 changes a day", rate),
        ("50 times 22,000 changes a day", 50 * rate),
    ):
        measured += _measure_cost(cluster, size, label, per_second)
    measured += _measure_throughput(cluster, size)
    if size == len(control_cluster.KYUSHU_ZONES):
        measured += _measure_kills(cluster, size)
    return measured


def _measure_in_force(
    cluster: control_cluster.Cluster, size: int
) -> list[rows.Row]:
    proposer = cluster.running()[-1]
    first = 1_000
    answer = proposer.propose(first, _IN_FORCE_CHANGES, interval_s=0.05)
    accepted_s = {tag: end_s for tag, _, end_s in answer["applied"]}
    cluster.wait_applied(answer["applied"][-1][1])
    times = [
        dict(node.ask(do="times")["times_s"]) for node in cluster.running()
    ]
    waits_ms = [
        (max(at[tag] for at in times) - end_s) * _MS_PER_S
        for tag, end_s in accepted_s.items()
    ]
    waits_ms = [max(0.0, wait_ms) for wait_ms in waits_ms]
    accept_ms = answer["latency_ms"]
    label = f"{size} entries"
    sync_ms = _sync_ms()
    # One crossing to the leader, one to a replica and back, one back, and one
    # sync, because the leader and the replicas sync at the same time.
    accept_bound_ms = 4 * _DELAY_MS + sync_ms
    return [
        _row(f"one write and sync of 4 KiB, p50, {label}", "ms", sync_ms),
        _row(
            f"acceptance of a change, p50, {label}",
            "ms",
            statistics.median(accept_ms),
            lower_bound=accept_bound_ms,
        ),
        _row(
            f"acceptance until in force everywhere, p50, {label}",
            "ms",
            statistics.median(waits_ms),
        ),
        _row(
            f"acceptance until in force everywhere, p99, {label}",
            "ms",
            _quantile(waits_ms, 0.99),
        ),
    ]


def _sync_ms() -> float:
    times_ms = []
    with tempfile.TemporaryFile() as file:
        for _ in range(_SYNCS):
            started_s = time.monotonic()
            os.write(file.fileno(), bytes(4_096))
            os.fsync(file.fileno())
            times_ms.append((time.monotonic() - started_s) * _MS_PER_S)
    return statistics.median(times_ms)


def _measure_cost(
    cluster: control_cluster.Cluster,
    size: int,
    label: str,
    per_second: float,
) -> list[rows.Row]:
    time.sleep(_SETTLE_S)
    leader = cluster.wait_leader()
    before = {node.name: node.ask(do="status") for node in cluster.running()}
    if per_second:
        count = max(1, round(per_second * _WINDOW_S))
        leader.propose(2_000, count, interval_s=1 / per_second)
    else:
        time.sleep(_WINDOW_S)
    after = {node.name: node.ask(do="status") for node in cluster.running()}
    costs = {name: _cost(before[name], after[name]) for name in after}
    groups = {
        "leader": [leader.name],
        "other replicas": [
            name
            for name, status in after.items()
            if status["dump"]["replica"] and name != leader.name
        ],
        "learners": [
            name
            for name, status in after.items()
            if not status["dump"]["replica"]
        ],
    }
    measured = []
    for group, names in groups.items():
        if not names:
            continue
        bytes_s = statistics.mean(costs[name][0] for name in names)
        core = statistics.mean(costs[name][1] for name in names)
        name = f"{label}, {group}, {size} entries"
        measured.append(_row(f"sent and received, {name}", "B/s", bytes_s))
        measured.append(_row(f"processor, {name}", "core", core))
    return measured


def _cost(before: dict, after: dict) -> tuple[float, float]:
    elapsed_s = after["now_s"] - before["now_s"]
    moved = sum(
        after[key] - before[key] for key in ("sent_bytes", "received_bytes")
    )
    return moved / elapsed_s, (after["cpu_s"] - before["cpu_s"]) / elapsed_s


def _measure_throughput(
    cluster: control_cluster.Cluster, size: int
) -> list[rows.Row]:
    leader = cluster.wait_leader()
    other = next(node for node in cluster.running() if node is not leader)
    alone = leader.propose(10_000, 200)
    alone_s = len(alone["applied"]) / alone["seconds"]
    measured = []
    for place, node, first in (
        ("at the leader", leader, 20_000),
        ("at another entry", other, 30_000),
    ):
        answer = node.propose(first, _THROUGHPUT_CHANGES, parallel=_PARALLEL)
        per_second = len(answer["applied"]) / answer["seconds"]
        measured.append(
            _row(
                f"changes {place}, {_PARALLEL} callers (baseline 1 caller), "
                f"{size} entries",
                "1/s",
                per_second,
                alone_s,
            )
        )
        measured.append(
            _row(
                f"acceptance {place}, p99, {_PARALLEL} callers, {size} entries",
                "ms",
                _quantile(answer["latency_ms"], 0.99),
            )
        )
    memory_mb = max(
        node.ask(do="status")["memory_mb"] for node in cluster.running()
    )
    measured.append(_row(f"largest memory, {size} entries", "MB", memory_mb))
    return measured


def _measure_kills(
    cluster: control_cluster.Cluster, size: int
) -> list[rows.Row]:
    gaps_s = []
    for attempt in range(_KILLS):
        leader = cluster.wait_leader()
        proposer = cluster.running()[-1]
        started_s = time.monotonic()
        leader.kill()
        gaps_s.append(_time_to_leader(cluster, started_s))
        proposer.propose(50_000 + 100 * attempt, 20, timeout_s=10.0)
        leader.start()
        time.sleep(_SETTLE_S)
        first = _first_index(cluster)
        cluster.wait_applied(first)
    label = f"{_KILLS} kills, {size} entries"
    return [
        _row(
            f"time without a leader after kill -9, mean of {label}",
            "s",
            statistics.mean(gaps_s),
        ),
        _row(
            f"time without a leader after kill -9, longest of {label}",
            "s",
            max(gaps_s),
        ),
    ]


def _time_to_leader(
    cluster: control_cluster.Cluster, started_s: float
) -> float:
    while True:
        for node in cluster.running():
            status = node.ask(do="status")
            if status["role"] == "leader":
                return time.monotonic() - started_s
        time.sleep(_POLL_S)


def _measure_growth(cluster: control_cluster.Cluster) -> list[rows.Row]:
    measured = []
    node = cluster.wait_leader()
    value_bytes = 100
    previous = node.ask(do="status")["dump"]["replica"]["bytes"]["log"]
    first = 100_000
    # Below the number of records that causes the first snapshot.
    count = 1_500
    node.propose(first, count, bytes=value_bytes, parallel=_PARALLEL)
    size = node.ask(do="status")["dump"]["replica"]["bytes"]["log"]
    measured.append(
        _row(
            f"log growth for each change of {value_bytes} B",
            "B",
            (size - previous) / count,
            lower_bound=float(value_bytes),
        )
    )
    first += count
    for target in (4_000, 8_000, 16_000, 32_000):
        while first - 100_000 < target:
            node.propose(first, 1_000, bytes=value_bytes, parallel=_PARALLEL)
            first += 1_000
        cluster.wait_applied(node.ask(do="status")["applied_index"])
        time.sleep(2.0)
        sizes = node.ask(do="status")["dump"]["replica"]["bytes"]
        for kind, value in sizes.items():
            measured.append(
                _row(f"{kind} files after {target} changes", "B", value)
            )
    return measured
