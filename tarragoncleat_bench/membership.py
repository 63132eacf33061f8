"""Benchmark of membership: traffic, processor time, leaves and look-ups."""

from collections.abc import Awaitable, Callable
import dataclasses
import random
import statistics
import time
import tracemalloc

import anyio
import loguru

from tarragoncleat.kernel import ids
from tarragoncleat.membership import liveness
from tarragoncleat.membership import membership
from tarragoncleat.membership import registry
from tarragoncleat.membership import upstreams
from tarragoncleat_bench import rows
from tests import peer_cluster

__all__ = ["run"]

_GROUP = "membership"
_STABILIZATION_S = 1.5
_MEASUREMENT_S = 4.0
_LEASE_MS = 30_000
# Upstreams renew three times in a lease.
_RENEWAL_S = 10.0
_LEAVE_TRIALS = 8
_ONE_WAY_DELAY_MS = 1.5
_LEAVE_TARGET_S = 2.0
_FLEET_UPSTREAMS = 24_000
_FLEET_ZONES = 30
_CACHED_LOOKUPS = 100_000
# In-flight count changes of each entry at 250 requests/s, 2 per request.
_LOAD_CHANGES_PER_S = 500.0
_LOAD_PAUSE_S = 0.02
_TRAFFIC_COLUMNS = (
    ("sent by a relay", "B/s", "relay_bytes"),
    ("sent by another entry", "B/s", "other_bytes"),
    ("processor time of an entry", "ms/s", "processor_ms"),
)
_SERVICE = ids.ServiceId("bidding")


@dataclasses.dataclass(frozen=True)
class _Traffic:
    """Mean rates of an entry over the measured time."""

    relay_bytes: float
    other_bytes: float
    processor_ms: float


def run(seed: int) -> list[rows.Row]:
    """Measures traffic, processor time, leaves and look-ups."""
    loguru.logger.remove()
    measured = _measure_traffic(seed)
    measured += _measure_leaves(seed)
    measured += _measure_registry(seed)
    return measured


def _measure_traffic(seed: int) -> list[rows.Row]:
    """Measures traffic by number of zones, entries and upstreams per zone."""
    traffic_by_size = {
        size: anyio.run(_measure_cluster, size, 0.0, seed)
        for size in [
            (4, 2, 0),
            (4, 2, 400),
            (4, 2, 800),
            (4, 4, 0),
            (10, 2, 0),
            (20, 2, 0),
        ]
    }
    single_zone = anyio.run(_measure_cluster, (1, 8, 1_600), 0.0, seed)
    under_load = anyio.run(
        _measure_cluster, (4, 2, 400), _LOAD_CHANGES_PER_S, seed
    )
    measured = []
    for size, traffic in traffic_by_size.items():
        baseline = single_zone if size == (4, 2, 400) else None
        measured += _traffic_rows(_size_label(size), traffic, baseline, seed)
    name = f"{_size_label((4, 2, 400))}, {_LOAD_CHANGES_PER_S:.0f} changes/s"
    measured += _traffic_rows(
        name, under_load, traffic_by_size[4, 2, 400], seed
    )
    return measured + _slope_rows(traffic_by_size, seed)


def _slope_rows(
    traffic_by_size: dict[tuple[int, int, int], _Traffic], seed: int
) -> list[rows.Row]:
    """Computes slopes and extrapolates them to the idle target fleet."""
    slopes = []
    for label, unit, field in _TRAFFIC_COLUMNS:
        values = {
            size: getattr(traffic, field)
            for size, traffic in traffic_by_size.items()
        }
        per_upstream = (values[4, 2, 800] - values[4, 2, 0]) / 800
        per_zone_entry = (values[4, 4, 0] - values[4, 2, 0]) / 2
        per_zone = (values[20, 2, 0] - values[10, 2, 0]) / 10
        full_fleet = values[20, 2, 0] + per_zone * (_FLEET_ZONES - 20)
        full_fleet += per_upstream * _FLEET_UPSTREAMS / _FLEET_ZONES
        for name, figure in [
            ("slope by upstream of the zone", per_upstream),
            ("slope by mate", per_zone_entry),
            ("slope by zone above 8", per_zone),
            (
                "worked out for 30 zones of 2 entries and 800 upstreams",
                full_fleet,
            ),
        ]:
            slopes.append(_row(f"{name}: {label}", unit, figure, seed))
    return slopes


def _size_label(size: tuple[int, int, int]) -> str:
    return "{} zones of {} entries and {} upstreams".format(*size)


def _traffic_rows(
    name: str, traffic: _Traffic, baseline: _Traffic | None, seed: int
) -> list[rows.Row]:
    return [
        rows.Row(
            _GROUP,
            f"{name}: {label}",
            unit,
            getattr(traffic, field),
            baseline=getattr(baseline, field) if baseline else None,
            seed=seed,
        )
        for label, unit, field in _TRAFFIC_COLUMNS
    ]


async def _measure_cluster(
    size: tuple[int, int, int], changes_per_s: float, seed: int
) -> _Traffic:
    zone_count, entry_count, upstream_count = size
    zones = [
        f"zone-{index:02}"
        for index in range(zone_count)
        for _ in range(entry_count)
    ]
    async with peer_cluster.run_cluster(zones, direct=True) as cluster:
        nodes = cluster.nodes
        announced = [
            (nodes[entry_count * zone + index % entry_count], zone, index)
            for zone in range(zone_count)
            for index in range(upstream_count)
        ]
        random.Random(seed).shuffle(announced)
        for node, zone, index in announced:
            _announce(node, zone, index)
        await peer_cluster.wait_until(
            lambda: all(
                node.membership.dump()["live_records"] == len(announced)
                for node in nodes
            )
        )
        await anyio.sleep(_STABILIZATION_S)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_renew, announced)
            if changes_per_s:
                tasks.start_soon(
                    _report_random_counts, nodes, announced, changes_per_s, seed
                )
            traffic = await _measure_window(nodes, entry_count)
            tasks.cancel_scope.cancel()
    return traffic


def _announce(node: peer_cluster.Node, zone: int, index: int) -> None:
    node.membership.announce(
        upstreams.Announcement(
            upstream_id=ids.UpstreamId(f"bidding-{zone:02}-{index:04}"),
            service=_SERVICE,
            host=f"10.{zone}.{index // 250}.{index % 250}",
            port=7_000,
            availability_zone=ids.AvailabilityZone(f"zone-{zone:02}"),
            rack=ids.Rack(f"rack-{index // 4}"),
            slots=8,
            connections=64,
            lease_ms=_LEASE_MS,
        )
    )


async def _renew(announced: list) -> None:
    """Renews every lease once each renewal interval, evenly spread."""
    started_s = time.monotonic()
    renewed = 0
    while True:
        await anyio.sleep(0.05)
        elapsed_intervals = (time.monotonic() - started_s) / _RENEWAL_S
        due = int(elapsed_intervals * len(announced))
        for index in range(renewed, due):
            _announce(*announced[index % len(announced)])
        renewed = due


async def _report_random_counts(
    nodes: list[peer_cluster.Node],
    announced: list,
    changes_per_s: float,
    seed: int,
) -> None:
    """Reports random in-flight counts for upstreams of each entry's zone."""
    generator = random.Random(seed)
    by_zone: dict[str, list[ids.UpstreamId]] = {}
    for _, zone, index in announced:
        upstream_id = ids.UpstreamId(f"bidding-{zone:02}-{index:04}")
        by_zone.setdefault(f"zone-{zone:02}", []).append(upstream_id)
    while True:
        await anyio.sleep(_LOAD_PAUSE_S)
        for node in nodes:
            for _ in range(int(changes_per_s * _LOAD_PAUSE_S)):
                node.membership.report_in_flight(
                    generator.choice(by_zone[node.zone]),
                    generator.randrange(9),
                )


async def _measure_window(
    nodes: list[peer_cluster.Node], entry_count: int
) -> _Traffic:
    sent_before = [_sent_bytes(node) for node in nodes]
    processor_s = time.process_time()
    await anyio.sleep(_MEASUREMENT_S)
    processor_s = time.process_time() - processor_s
    rates = [
        (_sent_bytes(node) - before) / _MEASUREMENT_S
        for node, before in zip(nodes, sent_before, strict=True)
    ]
    relays = rates[::entry_count]
    others = [rate for index, rate in enumerate(rates) if index % entry_count]
    return _Traffic(
        statistics.mean(relays),
        statistics.mean(others),
        processor_s / _MEASUREMENT_S / len(nodes) * 1000,
    )


def _sent_bytes(node: peer_cluster.Node) -> int:
    peers = node.links.dump()["peers"].values()
    return sum(peer["sent_bytes"] for peer in peers)


def _measure_leaves(seed: int) -> list[rows.Row]:
    measured = []
    for name, scenario in [
        ("leave in force everywhere", _leave_without_failures),
        (
            "leave in force, relay frozen and told entry killed",
            _leave_during_failures,
        ),
    ]:
        times = anyio.run(_time_leaves, scenario)
        for label, value in [
            ("median", statistics.median(times)),
            ("worst", max(times)),
        ]:
            row = rows.Row(
                _GROUP,
                f"{name}, {label} of {len(times)}",
                "ms",
                value * 1000,
                baseline=_LEAVE_TARGET_S * 1000,
                lower_bound=_ONE_WAY_DELAY_MS,
                seed=seed,
            )
            measured.append(row)
    return measured


_Scenario = Callable[[peer_cluster.Cluster], Awaitable[None]]


async def _time_leaves(scenario: _Scenario) -> list[float]:
    zones = ["zone-00"] * 3 + ["zone-01"] * 3 + ["zone-02"] * 3
    times = []
    for _ in range(_LEAVE_TRIALS):
        async with peer_cluster.run_cluster(zones) as cluster:
            cluster.change(lambda a, b: True, delay_ms=_ONE_WAY_DELAY_MS)
            _announce(cluster.nodes[1], 0, 0)
            await peer_cluster.wait_until(
                lambda: all(node.candidates() for node in cluster.nodes)
            )
            started_s = time.monotonic()
            await scenario(cluster)
            times.append(time.monotonic() - started_s)
    return times


async def _wait_until_removed(nodes: list[peer_cluster.Node]) -> None:
    await peer_cluster.wait_until(
        lambda: not any(node.candidates() for node in nodes)
    )


async def _leave_without_failures(cluster: peer_cluster.Cluster) -> None:
    await cluster.nodes[1].membership.leave(ids.UpstreamId("bidding-00-0000"))
    await _wait_until_removed(cluster.nodes)


async def _leave_during_failures(cluster: peer_cluster.Cluster) -> None:
    """Kills the entry that received the leave after it reached one other entry.

    The relay is cut off, so that the leave must spread without it.
    """
    nodes = cluster.nodes
    cluster.change(lambda a, b: 0 in (a, b), hold=True)
    cluster.change(lambda a, b: a == 1 and b != 2, hold=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            nodes[1].membership.leave, ids.UpstreamId("bidding-00-0000")
        )
        await _wait_until_removed([nodes[2]])
        nodes[1].kill()
        tasks.cancel_scope.cancel()
    await _wait_until_removed(nodes[2:])


def _measure_registry(seed: int) -> list[rows.Row]:
    """Measures a registry of the target fleet size, without peer links."""
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    fleet_registry = _build_fleet_registry()
    memory_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    zone = ids.AvailabilityZone("zone-00")
    others = [f"zone-{index:02}" for index in range(1, _FLEET_ZONES)]
    confirmed = frozenset(map(ids.AvailabilityZone, others))
    sweep_ms = (
        _per_call_s(lambda: fleet_registry.sweep(1.0, confirmed), 1_000) * 1e3
    )
    digest_us = _per_call_s(lambda: fleet_registry.digest(zone), 10_000) * 1e6
    return [
        _row("registry of 24,000 upstreams", "MB", memory_bytes / 1e6, seed),
        _row("sweep of 24,000 upstreams", "ms", sweep_ms, seed),
        _row("digest of a zone", "us", digest_us, seed),
        *_measure_candidates(fleet_registry, seed),
    ]


def _row(name: str, unit: str, value: float, seed: int) -> rows.Row:
    return rows.Row(_GROUP, name, unit, value, seed=seed)


def _build_fleet_registry() -> registry.Registry:
    fleet_registry = registry.Registry(ids.AvailabilityZone("zone-00"), 60.0)
    for index in range(_FLEET_UPSTREAMS):
        zone = index % _FLEET_ZONES
        fleet_registry.announce(
            membership.Announcement(
                upstream_id=ids.UpstreamId(f"bidding-{zone:02}-{index:05}"),
                service=ids.ServiceId(f"service-{index // 150}"),
                host=f"10.{zone}.{index // 250}.{index % 250}",
                port=7_000,
                availability_zone=ids.AvailabilityZone(f"zone-{zone:02}"),
                rack=ids.Rack(f"rack-{index // 4}"),
                slots=8,
                connections=64,
                lease_ms=_LEASE_MS,
            ),
            0.0,
        )
    return fleet_registry


def _measure_candidates(
    fleet_registry: registry.Registry, seed: int
) -> list[rows.Row]:
    """Compares cached look-ups with building the tuple on each call."""
    entries = {
        ids.EntryId(f"entry-{zone:02}"): ids.AvailabilityZone(f"zone-{zone:02}")
        for zone in range(_FLEET_ZONES)
    }
    tracker = liveness.LivenessTracker(
        ids.EntryId("entry-00"), entries, 0.2, 1.5
    )
    for entry_id in entries:
        tracker.record_entry_contact(entry_id, 0.0)
    candidate_table = membership.candidates_module.CandidateTable(
        fleet_registry, tracker
    )
    service = ids.ServiceId("service-0")

    def build_candidates() -> None:
        candidate_table.invalidate()
        candidate_table.get(service, 0.5)

    cached_us = (
        _per_call_s(lambda: candidate_table.get(service, 0.5), _CACHED_LOOKUPS)
        * 1e6
    )
    built_us = _per_call_s(build_candidates, 1_000) * 1e6
    return [
        rows.Row(
            _GROUP,
            "candidates of a service of 150 upstreams",
            "us",
            cached_us,
            baseline=built_us,
            seed=seed,
        )
    ]


def _per_call_s(function: Callable[[], object], count: int) -> float:
    started_s = time.perf_counter()
    for _ in range(count):
        function()
    return (time.perf_counter() - started_s) / count
