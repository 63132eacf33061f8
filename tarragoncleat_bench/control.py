"""Benchmark of the replicated log, with processes and delays between zones."""

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
_CLUSTER_SIZES = (3, 9, 18)
_CHANGES_PER_DAY = 22_000
_S_PER_DAY = 86_400
_MEASUREMENT_S = 10.0
_STABILIZATION_S = 3.0
_KILL_COUNT = 5
_SYNC_SAMPLES = 100
_IN_FORCE_CHANGES = 60
_THROUGHPUT_CHANGES = 4_000
_CALLERS = 128
_POLL_S = 0.005
_MS_PER_S = 1000


def run(seed: int) -> list[rows.Row]:
    """Measures clusters of 3, 9 and 18 entries.

    Only the election timeouts are random; each process draws its own, so
    `seed` is only recorded.
    """
    measured: list[rows.Row] = []
    for size in _CLUSTER_SIZES:
        with _run_cluster(size) as cluster:
            measured += _measure_size(cluster, size)
    with _run_cluster(3) as cluster:
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
def _run_cluster(size: int) -> Iterator[control_cluster.Cluster]:
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
            cluster.wait_applied(_propose_marker(cluster))
            yield cluster
        finally:
            cluster.close()


def _propose_marker(cluster: control_cluster.Cluster) -> int:
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
    daily_rate_per_s = _CHANGES_PER_DAY / _S_PER_DAY
    for label, changes_per_s in (
        ("idle", 0.0),
        ("22,000 changes a day", daily_rate_per_s),
        ("50 times 22,000 changes a day", 50 * daily_rate_per_s),
    ):
        measured += _measure_resources(cluster, size, label, changes_per_s)
    measured += _measure_throughput(cluster, size)
    if size == len(control_cluster.KYUSHU_ZONES):
        measured += _measure_kills(cluster, size)
    return measured


def _measure_in_force(
    cluster: control_cluster.Cluster, size: int
) -> list[rows.Row]:
    proposer = cluster.running()[-1]
    first_tag = 1_000
    answer = proposer.propose(first_tag, _IN_FORCE_CHANGES, interval_s=0.05)
    accepted_s = {tag: end_s for tag, _, end_s in answer["applied"]}
    cluster.wait_applied(answer["applied"][-1][1])
    applied_s = [
        dict(node.request(do="times")["times_s"]) for node in cluster.running()
    ]
    propagation_ms = [
        (max(times[tag] for times in applied_s) - end_s) * _MS_PER_S
        for tag, end_s in accepted_s.items()
    ]
    propagation_ms = [max(0.0, value_ms) for value_ms in propagation_ms]
    acceptance_ms = answer["latency_ms"]
    label = f"{size} entries"
    sync_ms = _sync_ms()
    # Four one-way delays (proposer to leader, leader to replica, and back) and
    # one sync, because the leader and the replicas sync at the same time.
    acceptance_bound_ms = 4 * _DELAY_MS + sync_ms
    return [
        _row(f"one write and sync of 4 KiB, p50, {label}", "ms", sync_ms),
        _row(
            f"acceptance of a change, p50, {label}",
            "ms",
            statistics.median(acceptance_ms),
            lower_bound=acceptance_bound_ms,
        ),
        _row(
            f"acceptance until in force everywhere, p50, {label}",
            "ms",
            statistics.median(propagation_ms),
        ),
        _row(
            f"acceptance until in force everywhere, p99, {label}",
            "ms",
            _quantile(propagation_ms, 0.99),
        ),
    ]


def _sync_ms() -> float:
    times_ms = []
    with tempfile.TemporaryFile() as file:
        for _ in range(_SYNC_SAMPLES):
            started_s = time.monotonic()
            os.write(file.fileno(), bytes(4_096))
            os.fsync(file.fileno())
            times_ms.append((time.monotonic() - started_s) * _MS_PER_S)
    return statistics.median(times_ms)


def _measure_resources(
    cluster: control_cluster.Cluster,
    size: int,
    label: str,
    changes_per_s: float,
) -> list[rows.Row]:
    time.sleep(_STABILIZATION_S)
    leader = cluster.wait_leader()
    before = {
        node.name: node.request(do="status") for node in cluster.running()
    }
    if changes_per_s:
        count = max(1, round(changes_per_s * _MEASUREMENT_S))
        leader.propose(2_000, count, interval_s=1 / changes_per_s)
    else:
        time.sleep(_MEASUREMENT_S)
    after = {node.name: node.request(do="status") for node in cluster.running()}
    rates = {
        name: _traffic_and_cores(before[name], after[name]) for name in after
    }
    names_by_role = {
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
    for role, names in names_by_role.items():
        if not names:
            continue
        bytes_per_s = statistics.mean(rates[name][0] for name in names)
        cores = statistics.mean(rates[name][1] for name in names)
        name = f"{label}, {role}, {size} entries"
        measured.append(_row(f"sent and received, {name}", "B/s", bytes_per_s))
        measured.append(_row(f"processor, {name}", "core", cores))
    return measured


def _traffic_and_cores(before: dict, after: dict) -> tuple[float, float]:
    elapsed_s = after["now_s"] - before["now_s"]
    total = sum(
        after[key] - before[key] for key in ("sent_bytes", "received_bytes")
    )
    return total / elapsed_s, (after["cpu_s"] - before["cpu_s"]) / elapsed_s


def _measure_throughput(
    cluster: control_cluster.Cluster, size: int
) -> list[rows.Row]:
    leader = cluster.wait_leader()
    other = next(node for node in cluster.running() if node is not leader)
    single_caller = leader.propose(10_000, 200)
    single_caller_per_s = (
        len(single_caller["applied"]) / single_caller["seconds"]
    )
    measured = []
    for place, node, first_tag in (
        ("at the leader", leader, 20_000),
        ("at another entry", other, 30_000),
    ):
        answer = node.propose(first_tag, _THROUGHPUT_CHANGES, parallel=_CALLERS)
        changes_per_s = len(answer["applied"]) / answer["seconds"]
        measured.append(
            _row(
                f"changes {place}, {_CALLERS} callers (baseline 1 caller), "
                f"{size} entries",
                "1/s",
                changes_per_s,
                single_caller_per_s,
            )
        )
        measured.append(
            _row(
                f"acceptance {place}, p99, {_CALLERS} callers, {size} entries",
                "ms",
                _quantile(answer["latency_ms"], 0.99),
            )
        )
    memory_mb = max(
        node.request(do="status")["memory_mb"] for node in cluster.running()
    )
    measured.append(_row(f"largest memory, {size} entries", "MB", memory_mb))
    return measured


def _measure_kills(
    cluster: control_cluster.Cluster, size: int
) -> list[rows.Row]:
    leaderless_s = []
    for attempt in range(_KILL_COUNT):
        leader = cluster.wait_leader()
        proposer = cluster.running()[-1]
        started_s = time.monotonic()
        leader.kill()
        leaderless_s.append(_time_to_leader(cluster, started_s))
        proposer.propose(50_000 + 100 * attempt, 20, timeout_s=10.0)
        leader.start()
        time.sleep(_STABILIZATION_S)
        marker_index = _propose_marker(cluster)
        cluster.wait_applied(marker_index)
    label = f"{_KILL_COUNT} kills, {size} entries"
    return [
        _row(
            f"time without a leader after kill -9, mean of {label}",
            "s",
            statistics.mean(leaderless_s),
        ),
        _row(
            f"time without a leader after kill -9, longest of {label}",
            "s",
            max(leaderless_s),
        ),
    ]


def _time_to_leader(
    cluster: control_cluster.Cluster, started_s: float
) -> float:
    while True:
        for node in cluster.running():
            status = node.request(do="status")
            if status["role"] == "leader":
                return time.monotonic() - started_s
        time.sleep(_POLL_S)


def _measure_growth(cluster: control_cluster.Cluster) -> list[rows.Row]:
    measured = []
    node = cluster.wait_leader()
    value_bytes = 100
    old_bytes = node.request(do="status")["dump"]["replica"]["bytes"]["log"]
    next_tag = 100_000
    # Fewer records than trigger the first snapshot.
    count = 1_500
    node.propose(next_tag, count, bytes=value_bytes, parallel=_CALLERS)
    new_bytes = node.request(do="status")["dump"]["replica"]["bytes"]["log"]
    measured.append(
        _row(
            f"log growth for each change of {value_bytes} B",
            "B",
            (new_bytes - old_bytes) / count,
            lower_bound=float(value_bytes),
        )
    )
    next_tag += count
    for target_count in (4_000, 8_000, 16_000, 32_000):
        while next_tag - 100_000 < target_count:
            node.propose(next_tag, 1_000, bytes=value_bytes, parallel=_CALLERS)
            next_tag += 1_000
        cluster.wait_applied(node.request(do="status")["applied_index"])
        time.sleep(2.0)
        bytes_by_kind = node.request(do="status")["dump"]["replica"]["bytes"]
        for kind, file_bytes in bytes_by_kind.items():
            measured.append(
                _row(
                    f"{kind} files after {target_count} changes",
                    "B",
                    file_bytes,
                )
            )
    return measured
