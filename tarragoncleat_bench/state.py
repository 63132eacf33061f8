"""Benchmark of the fleet's state: commands, snapshots and memory by size."""

from collections.abc import Callable, Iterator
import dataclasses
import gc
import itertools
import random
import time
import tracemalloc
from typing import Any

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import commands
from tarragoncleat.state import fleet as fleet_module
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves
from tarragoncleat_bench import rows

__all__ = ["run"]

_GROUP = "state"
# Instances, pools and teams; the last size is the target.
_SIZES = ((40, 5, 10), (400, 10, 40), (4_000, 40, 200), (24_000, 164, 920))
_FIRM = ids.FirmId("firm")
_INSTANCES_PER_RACK = 4
_ZONES = 30
_ROUNDS = 300
_US_PER_S = 1e6
_TIMED_CLAIMS = 20_000
_CLAIMS_PER_BATCH = 50
_MAX_LEDGER_ROWS = 50_000
_MAX_CLAIMS = 200_000
_RETENTION_S = 10**7
_MAX_FINISHED_JOBS = 20_000
_MAX_RESULTS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Size:
    instances: int
    pools: int
    teams: int


class _PopulatedFleet:
    """A fleet with instances, pools, services, teams and a wave."""

    def __init__(self, size: _Size, seed: int) -> None:
        self.size = size
        self.random = random.Random(seed)
        self.fleet = fleet_module.Fleet()
        self._index = 0
        self._time_ms = 1_000_000
        self._command_numbers = itertools.count()
        for command in _setup_commands(size):
            self.apply(command)

    def encode(self, command: Any, role: str) -> bytes:
        """Returns the payload of a command with a new id."""
        number = next(self._command_numbers)
        return codec.encode(
            commands.Envelope(
                ids.CommandId(f"command-{number}"),
                commands.ANY_FIRM,
                "bench",
                role,
                None,
                command,
            )
        )

    def apply(
        self, command: Any, role: str = commands.CONTROLLER_ROLE
    ) -> float:
        """Applies a command and returns the time of `Fleet.apply` in s.

        Raises:
            RuntimeError: The command was refused, so its time isn't comparable.
        """
        payload = self.encode(command, role)
        self._index += 1
        self._time_ms += 1
        started_s = time.perf_counter()
        data = self.fleet.apply(self._index, self._time_ms, payload)
        elapsed_s = time.perf_counter() - started_s
        result = codec.decode(data)
        if not result.ok:
            raise RuntimeError(f"{command.kind}: {result.reason}")
        return elapsed_s

    def random_instance_id(self) -> ids.InstanceId:
        """Returns the id of a random instance."""
        return _instance_id(self.random.randrange(self.size.instances))


def run(seed: int) -> list[rows.Row]:
    """Measures every size.

    Args:
        seed: Seed of the random choices.
    """
    measured: list[rows.Row] = []
    smallest: dict[str, float] = {}
    # The first run in a process is slower, so its results are discarded.
    list(_measure(_Size(*_SIZES[0]), seed))
    for instances, pool_count, teams in _SIZES:
        size = _Size(instances, pool_count, teams)
        for name, unit, figure in _measure(size, seed):
            measured.append(
                rows.Row(
                    _GROUP,
                    f"{name}, {instances} instances",
                    unit,
                    figure,
                    baseline=smallest.setdefault(name, figure),
                    seed=seed,
                )
            )
    largest = _Size(*_SIZES[-1])
    measured.append(
        rows.Row(
            _GROUP,
            f"memory with every table full, {largest.instances} instances",
            "MB",
            _memory_mb(largest, seed, _fill_tables),
            seed=seed,
        )
    )
    return measured


def _measure(size: _Size, seed: int) -> Iterator[tuple[str, str, float]]:
    populated = _PopulatedFleet(size, seed)
    for name, make_commands in _COMMANDS_BY_NAME.items():
        yield f"apply {name}", "us", _time_commands(populated, make_commands)
    yield "claims applied", "1/s", _time_claims(populated)
    yield from _measure_snapshot(populated, "")
    _fill_ledger(populated)
    yield from _measure_snapshot(populated, " with a full ledger")
    del populated
    yield "memory of the fleet", "MB", _memory_mb(size, seed)


def _time_commands(
    populated: _PopulatedFleet,
    make_commands: Callable[[_PopulatedFleet, int], Iterator[Any]],
) -> float:
    times_s = [
        populated.apply(command)
        for number in range(_ROUNDS)
        for command in make_commands(populated, number)
    ]
    # The median excludes the few commands during which garbage is collected.
    return sorted(times_s)[len(times_s) // 2] * _US_PER_S


def _put_profile(populated: _PopulatedFleet, number: int) -> Iterator[Any]:
    profile = _profile(populated.size, number % populated.size.pools)
    yield commands.PutProfile(profile)


def _lose_and_return(populated: _PopulatedFleet, number: int) -> Iterator[Any]:
    name = populated.random_instance_id()
    for state in (
        pools.InstanceState.LOST,
        pools.InstanceState.RETURNING,
        pools.InstanceState.IN_SERVICE,
    ):
        yield commands.RecordInstanceState(name, state, "bench")


def _step_wave(populated: _PopulatedFleet, number: int) -> Iterator[Any]:
    if number >= populated.size.instances:
        return
    name = _instance_id(number)
    yield commands.StepWave(ids.WaveId("wave"), (name,))
    yield commands.RecordInstanceState(
        name, pools.InstanceState.IN_MAINTENANCE, "drained"
    )
    yield commands.StepWave(ids.WaveId("wave"), (), (name,))


def _run_job(populated: _PopulatedFleet, number: int) -> Iterator[Any]:
    name = populated.random_instance_id()
    pool = int(populated.fleet.instances[name].pool_id.removeprefix("pool-"))
    job = jobs.Job(
        ids.JobId(f"job-{number}"),
        ids.ServiceId(f"service-{pool}"),
        ids.TeamId(f"team-{number % populated.size.teams}"),
        jobs.Demand(1.0, 100),
        60.0,
    )
    yield commands.SubmitJobs((job,))
    yield commands.PlaceJobs((commands.JobPlacement(job.job_id, name),))
    done = commands.JobChange(job.job_id, 1, jobs.JobState.SUCCEEDED)
    yield commands.RecordJobStates((done,))


_COMMANDS_BY_NAME: dict[
    str, Callable[[_PopulatedFleet, int], Iterator[Any]]
] = {
    "put profile": _put_profile,
    "instance state": _lose_and_return,
    "wave step": _step_wave,
    "job": _run_job,
}


def _time_claims(populated: _PopulatedFleet) -> float:
    elapsed_s = 0.0
    for start in range(0, _TIMED_CLAIMS, _CLAIMS_PER_BATCH):
        elapsed_s += populated.apply(_claim_batch(start))
    return _TIMED_CLAIMS / elapsed_s


def _claim_batch(start: int) -> commands.ClaimKeys:
    """Returns a batch of claims that share no strings."""
    claims = tuple(
        commands.Claim(
            number.to_bytes(16, "big"),
            number.to_bytes(16, "little"),
            ids.RequestId(f"request-{number:024}"),
            ids.EntryId("entry-1"),
        )
        for number in range(start, start + _CLAIMS_PER_BATCH)
    )
    return commands.ClaimKeys(claims, _RETENTION_S, _MAX_CLAIMS)


def _measure_snapshot(
    populated: _PopulatedFleet, suffix: str
) -> Iterator[tuple[str, str, float]]:
    started_s = time.perf_counter()
    data = populated.fleet.snapshot()
    snapshot_s = time.perf_counter() - started_s
    restored = fleet_module.Fleet()
    started_s = time.perf_counter()
    restored.restore(populated.fleet.applied_index, data)
    restore_s = time.perf_counter() - started_s
    yield f"snapshot size{suffix}", "KB", len(data) / 1000
    yield f"snapshot taken{suffix}", "ms", snapshot_s * 1000
    yield f"snapshot restored{suffix}", "ms", restore_s * 1000


def _fill_ledger(populated: _PopulatedFleet) -> None:
    denial = commands.Denial(
        ids.ServiceId("service-0"), "no room in the pool for 16 cores"
    )
    batch = commands.RecordDenials((denial,) * 1000)
    while len(populated.fleet.ledger) < _MAX_LEDGER_ROWS:
        populated.apply(batch)


def _fill_tables(populated: _PopulatedFleet) -> None:
    """Fills ledger, claims, results and finished jobs to their limits."""
    for number in range(_MAX_RESULTS):
        command = next(_put_profile(populated, number))
        populated.apply(command, settings.Role.OPERATOR.value)
    _fill_ledger(populated)
    for start in range(0, _MAX_CLAIMS, _CLAIMS_PER_BATCH):
        populated.apply(_claim_batch(start))
    for number in range(_MAX_FINISHED_JOBS):
        for command in _run_job(populated, number):
            populated.apply(command)


def _memory_mb(
    size: _Size,
    seed: int,
    fill: Callable[[_PopulatedFleet], None] | None = None,
) -> float:
    gc.collect()
    tracemalloc.start()
    populated = _PopulatedFleet(size, seed)
    if fill is not None:
        fill(populated)
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del populated
    return used_bytes / 1e6


def _setup_commands(size: _Size) -> Iterator[Any]:
    per_pool = size.instances // size.pools
    for number in range(size.teams):
        quota = profiles.Capacity(cores=1e6, memory_mb=10**9)
        team = profiles.Team(ids.TeamId(f"team-{number}"), _FIRM, quota)
        yield commands.PutTeam(team)
    for number in range(size.pools):
        pool_id = ids.PoolId(f"pool-{number}")
        yield commands.PutProfile(_profile(size, number))
        yield commands.PutPool(pools.Pool(pool_id, _FIRM))
        yield commands.PutService(
            profiles.Service(
                ids.ServiceId(f"service-{number}"),
                ids.ProfileId(f"profile-{number}"),
                _FIRM,
                pool_id,
            )
        )
    for number in range(size.instances):
        pool = min(number // per_pool, size.pools - 1)
        yield commands.PutInstance(_instance(number, pool))
    names = tuple(ids.PoolId(f"pool-{n}") for n in range(size.pools))
    selection = waves.Selection(pools=names)
    yield commands.ProposeWave(ids.WaveId("wave"), _FIRM, selection)
    yield commands.ApproveWave(ids.WaveId("wave"))


def _profile(size: _Size, number: int) -> profiles.Profile:
    per_pool = size.instances // size.pools
    return profiles.Profile(
        ids.ProfileId(f"profile-{number}"),
        _FIRM,
        profiles.Capacity(instances=per_pool // 2),
        tolerance=profiles.Tolerance(
            max_out=2, failure_reserve=profiles.FailureDomain.RACK
        ),
        settle_s=0,
    )


def _instance_id(number: int) -> ids.InstanceId:
    return ids.InstanceId(f"instance-{number:05}")


def _instance(number: int, pool: int) -> pools.Instance:
    rack = number // _INSTANCES_PER_RACK
    return pools.Instance(
        _instance_id(number),
        ids.PoolId(f"pool-{pool}"),
        ids.AvailabilityZone(f"zone-{rack % _ZONES}"),
        ids.Rack(f"rack-{rack}"),
        32.0,
        65_536,
        1,
        f"127.24.{number // 250 % 250}.{number % 250 + 1}:7000",
    )
