"""Cost and speed of the exchange between entries."""

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
_SETTLE_S = 1.5
_WINDOW_S = 4.0
_LEASE_MS = 30_000
# Upstreams renew three times in a lease.
_RENEWAL_S = 10.0
_LEAVE_TRIALS = 8
_ONE_WAY_DELAY_MS = 1.5
_LEAVE_TARGET_S = 2.0
_FLEET = 24_000
_ZONES = 30
_CALLS = 100_000
# Changed counts of each entry under load: 250 requests/s start and end.
_BUSY_CHANGES_PER_S = 500.0
_LOAD_PAUSE_S = 0.02
_FIELDS = (
    ("sent by a relay", "B/s", "relay_bytes"),
    ("sent by another entry", "B/s", "other_bytes"),
    ("processor time of an entry", "ms/s", "processor_ms"),
)
_SERVICE = ids.ServiceId("bidding")


@dataclasses.dataclass(frozen=True)
class _Traffic:
    """Means over a window, by entry and second."""

    relay_bytes: float
    other_bytes: float
    processor_ms: float


def run(seed: int) -> list[rows.Row]:
    """Measures traffic, processor time, leaves and look-ups."""
    loguru.logger.remove()
    found = _measure_traffic(seed)
    found += _measure_leaves(seed)
    found += _measure_registry(seed)
    return found


def _measure_traffic(seed: int) -> list[rows.Row]:
    """Traffic by zones, entries in each and upstreams in each."""
    measured = {
        size: anyio.run(_traffic, size, 0.0, seed)
        for size in [
            (4, 2, 0),
            (4, 2, 400),
            (4, 2, 800),
            (4, 4, 0),
            (10, 2, 0),
            (20, 2, 0),
        ]
    }
    flat = anyio.run(_traffic, (1, 8, 1_600), 0.0, seed)
    busy = anyio.run(_traffic, (4, 2, 400), _BUSY_CHANGES_PER_S, seed)
    found = []
    for size, traffic in measured.items():
        baseline = flat if size == (4, 2, 400) else None
        found += _traffic_rows(_describe(size), traffic, baseline, seed)
    name = f"{_describe((4, 2, 400))}, {_BUSY_CHANGES_PER_S:.0f} changes/s"
    found += _traffic_rows(name, busy, measured[4, 2, 400], seed)
    return found + _fleet_rows(measured, seed)


def _fleet_rows(
    measured: dict[tuple[int, int, int], _Traffic], seed: int
) -> list[rows.Row]:
    """Slopes, and what they give for the fleet without busy upstreams."""
    found = []
    for label, unit, field in _FIELDS:
        value = {size: getattr(each, field) for size, each in measured.items()}
        by_upstream = (value[4, 2, 800] - value[4, 2, 0]) / 800
        by_mate = (value[4, 4, 0] - value[4, 2, 0]) / 2
        by_zone = (value[20, 2, 0] - value[10, 2, 0]) / 10
        fleet = value[20, 2, 0] + by_zone * (_ZONES - 20)
        fleet += by_upstream * _FLEET / _ZONES
        for name, figure in [
            ("slope by upstream of the zone", by_upstream),
            ("slope by mate", by_mate),
            ("slope by zone above 8", by_zone),
            ("worked out for 30 zones of 2 entries and 800 upstreams", fleet),
        ]:
            found.append(_row(f"{name}: {label}", unit, figure, seed))
    return found


def _describe(size: tuple[int, int, int]) -> str:
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
        for label, unit, field in _FIELDS
    ]


async def _traffic(
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
        await anyio.sleep(_SETTLE_S)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_renew, announced)
            if changes_per_s:
                tasks.start_soon(_load, nodes, announced, changes_per_s, seed)
            traffic = await _window(nodes, entry_count)
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
    done = 0
    while True:
        await anyio.sleep(0.05)
        passed = (time.monotonic() - started_s) / _RENEWAL_S
        due = int(passed * len(announced))
        for index in range(done, due):
            _announce(*announced[index % len(announced)])
        done = due


async def _load(
    nodes: list[peer_cluster.Node],
    announced: list,
    changes_per_s: float,
    seed: int,
) -> None:
    """Has every entry change counts of upstreams of its own zone."""
    generator = random.Random(seed)
    by_zone: dict[str, list[ids.UpstreamId]] = {}
    for _, zone, index in announced:
        name = ids.UpstreamId(f"bidding-{zone:02}-{index:04}")
        by_zone.setdefault(f"zone-{zone:02}", []).append(name)
    while True:
        await anyio.sleep(_LOAD_PAUSE_S)
        for node in nodes:
            for _ in range(int(changes_per_s * _LOAD_PAUSE_S)):
                node.membership.report_in_flight(
                    generator.choice(by_zone[node.zone]),
                    generator.randrange(9),
                )


async def _window(nodes: list[peer_cluster.Node], entry_count: int) -> _Traffic:
    sent = [_sent_bytes(node) for node in nodes]
    processor_s = time.process_time()
    await anyio.sleep(_WINDOW_S)
    processor_s = time.process_time() - processor_s
    rates = [
        (_sent_bytes(node) - before) / _WINDOW_S
        for node, before in zip(nodes, sent, strict=True)
    ]
    relays = rates[::entry_count]
    others = [rate for index, rate in enumerate(rates) if index % entry_count]
    return _Traffic(
        statistics.mean(relays),
        statistics.mean(others),
        processor_s / _WINDOW_S / len(nodes) * 1000,
    )


def _sent_bytes(node: peer_cluster.Node) -> int:
    peers = node.links.dump()["peers"].values()
    return sum(peer["sent_bytes"] for peer in peers)


def _measure_leaves(seed: int) -> list[rows.Row]:
    found = []
    for name, scenario in [
        ("leave in force everywhere", _plain_leave),
        ("leave in force, relay frozen and told entry killed", _hard_leave),
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
            found.append(row)
    return found


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


async def _wait_gone(nodes: list[peer_cluster.Node]) -> None:
    await peer_cluster.wait_until(
        lambda: not any(node.candidates() for node in nodes)
    )


async def _plain_leave(cluster: peer_cluster.Cluster) -> None:
    await cluster.nodes[1].membership.leave(ids.UpstreamId("bidding-00-0000"))
    await _wait_gone(cluster.nodes)


async def _hard_leave(cluster: peer_cluster.Cluster) -> None:
    """The told entry reaches only one other, and no relay, before it dies."""
    nodes = cluster.nodes
    cluster.change(lambda a, b: 0 in (a, b), hold=True)
    cluster.change(lambda a, b: a == 1 and b != 2, hold=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            nodes[1].membership.leave, ids.UpstreamId("bidding-00-0000")
        )
        await _wait_gone([nodes[2]])
        nodes[1].kill()
        tasks.cancel_scope.cancel()
    await _wait_gone(nodes[2:])


def _measure_registry(seed: int) -> list[rows.Row]:
    """Costs at the target scale, without links."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    found = _fleet_registry()
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    zone = ids.AvailabilityZone("zone-00")
    others = [f"zone-{index:02}" for index in range(1, _ZONES)]
    confirmed = frozenset(map(ids.AvailabilityZone, others))
    sweep_ms = _per_call_s(lambda: found.sweep(1.0, confirmed), 1_000) * 1e3
    digest_us = _per_call_s(lambda: found.digest(zone), 10_000) * 1e6
    return [
        _row("registry of 24,000 upstreams", "MB", memory / 1e6, seed),
        _row("sweep of 24,000 upstreams", "ms", sweep_ms, seed),
        _row("digest of a zone", "us", digest_us, seed),
        *_measure_candidates(found, seed),
    ]


def _row(name: str, unit: str, value: float, seed: int) -> rows.Row:
    return rows.Row(_GROUP, name, unit, value, seed=seed)


def _fleet_registry() -> registry.Registry:
    found = registry.Registry(ids.AvailabilityZone("zone-00"), 60.0)
    for index in range(_FLEET):
        zone = index % _ZONES
        found.announce(
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
    return found


def _measure_candidates(found: registry.Registry, seed: int) -> list[rows.Row]:
    """A cached look-up against building the tuple for each call."""
    entries = {
        ids.EntryId(f"entry-{zone:02}"): ids.AvailabilityZone(f"zone-{zone:02}")
        for zone in range(_ZONES)
    }
    view = liveness.LivenessTracker(ids.EntryId("entry-00"), entries, 0.2, 1.5)
    for entry_id in entries:
        view.record_entry_contact(entry_id, 0.0)
    table = membership.candidates_module.CandidateTable(found, view)
    service = ids.ServiceId("service-0")

    def build() -> None:
        table.invalidate()
        table.get(service, 0.5)

    cached_us = _per_call_s(lambda: table.get(service, 0.5), _CALLS) * 1e6
    built_us = _per_call_s(build, 1_000) * 1e6
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


def _per_call_s(call: Callable[[], object], count: int) -> float:
    started_s = time.perf_counter()
    for _ in range(count):
        call()
    return (time.perf_counter() - started_s) / count
