"""Property tests of the fleet under random sequences of commands."""

from collections.abc import Collection
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tarragoncleat.kernel import ids
from tarragoncleat.state import budget
from tarragoncleat.state import commands
from tarragoncleat.state import fleet
from tarragoncleat.state import fleet_state
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves
from tests import builders

_STATE = pools.InstanceState
_DOMAINS = list(profiles.FailureDomain)
_INSTANCES = 9
_POOLS = ("pool", "pool-b", "spare")
_QUOTA = profiles.Capacity(slots=3, cores=10.0, memory_mb=300)

_instance_ids = strategies.sampled_from(
    [ids.InstanceId(f"i{number}") for number in range(_INSTANCES)]
    + [ids.InstanceId("i0-b"), ids.InstanceId("unknown")]
)
_pool_ids = strategies.sampled_from([ids.PoolId(name) for name in _POOLS])
_job_ids = strategies.sampled_from([ids.JobId(f"j{n}") for n in range(4)])
_wave_ids = strategies.sampled_from([ids.WaveId("w0"), ids.WaveId("w1")])
_firms = strategies.sampled_from(["*", "firm-a", "firm-b"])


class FleetMachine(stateful.RuleBasedStateMachine):
    """Guards against commands that break an invariant of the fleet.

    The checks don't use the fleet's own bookkeeping: they sum over all objects
    instead of reading indexes, and compare with the state before a command.
    """

    def __init__(self) -> None:
        super().__init__()
        self.driver = builders.FleetDriver()
        # Applies the same records, but is never restored from a snapshot.
        self.driver.reference = fleet.Fleet()
        self.applied: list[tuple[dict, commands.Result]] = []

    @property
    def fleet(self) -> fleet.Fleet:
        return self.driver.fleet

    @stateful.initialize(
        max_out=strategies.integers(0, 3),
        domain=strategies.sampled_from(_DOMAINS),
        settle_s=strategies.sampled_from([0, 0, 30]),
    )
    def build(
        self, max_out: int, domain: profiles.FailureDomain, settle_s: int
    ) -> None:
        tolerance = profiles.Tolerance(max_out=max_out, failure_reserve=domain)
        builders.populate(
            self.driver, _INSTANCES, tolerance=tolerance, settle_s=settle_s
        )
        builders.populate(self.driver, 1, "firm-b", "-b")
        firm = ids.FirmId("firm-a")
        spare = pools.Pool(ids.PoolId("spare"), firm)
        self.driver.apply_ok(commands.PutPool(spare))
        team = profiles.Team(ids.TeamId("team"), firm, _QUOTA)
        self.driver.apply_ok(commands.PutTeam(team))
        self.propose(ids.WaveId("w0"), ids.PoolId("pool"))

    def apply(self, command: object, firm: str = "*") -> commands.Result:
        options = {
            "command": command,
            "firm": firm,
            "command_id": f"c{self.driver.index}",
        }
        result = self.driver.apply(**options)
        self.applied.append((options, result))
        return result

    @stateful.rule(seconds=strategies.sampled_from([1, 40, 40]))
    def advance(self, seconds: int) -> None:
        self.driver.time_ms += 1000 * seconds

    @stateful.rule(name=_instance_ids, pool=_pool_ids, firm=_firms)
    def move(self, name: ids.InstanceId, pool: ids.PoolId, firm: str) -> None:
        before = self.fleet.instances.get(name)
        result = self.apply(commands.MoveInstance(name, pool), firm)
        if result.ok and firm == "firm-b":
            assert before is not None
            assert before.pool_id == pool == "pool-b"

    @stateful.rule(
        name=_instance_ids,
        pool=_pool_ids,
        lease_ended=strategies.booleans(),
        starts_move=strategies.booleans(),
        runs_job=strategies.booleans(),
    )
    def switch(
        self,
        name: ids.InstanceId,
        pool: ids.PoolId,
        lease_ended: bool,
        starts_move: bool,
        runs_job: bool,
    ) -> None:
        if runs_job:
            self.place([ids.JobId("j")], name, True)
        if starts_move:
            self.move(name, pool, "*")
        before = self.fleet.instances.get(name)
        job_count = len(self.fleet.jobs_on(name))
        result = self.apply(commands.SwitchPool(name, pool, lease_ended))
        if result.ok:
            assert before is not None
            assert before.moving_to == pool
            assert before.state in (_STATE.DRAINING, _STATE.LOST)
            assert lease_ended or not job_count
            assert self.fleet.instances[name].fence > before.fence

    @stateful.rule(name=_instance_ids, state=strategies.sampled_from(_STATE))
    def record(self, name: ids.InstanceId, state: pools.InstanceState) -> None:
        self.apply(commands.RecordInstanceState(name, state, "seen"))

    @stateful.rule(
        start=strategies.sampled_from(
            [_STATE.DRAINING, _STATE.IN_MAINTENANCE, _STATE.RETURNING]
        ),
        is_lost=strategies.sampled_from([False, False, True]),
    )
    def progress_instances(
        self, start: pools.InstanceState, is_lost: bool
    ) -> None:
        """Moves all instances in a state to the next one, or loses them."""
        following = {
            _STATE.DRAINING: _STATE.IN_MAINTENANCE,
            _STATE.IN_MAINTENANCE: _STATE.RETURNING,
            _STATE.RETURNING: _STATE.IN_SERVICE,
        }
        for name in sorted(self.fleet.instances_in(start)):
            self.record(name, _STATE.LOST if is_lost else following[start])

    @stateful.rule(name=_instance_ids, pool=_pool_ids)
    def register(self, name: ids.InstanceId, pool: ids.PoolId) -> None:
        self.apply(commands.PutInstance(builders.build_instance(name, pool)))

    @stateful.rule(name=_instance_ids)
    def remove(self, name: ids.InstanceId) -> None:
        self.apply(commands.RemoveInstance(name))

    @stateful.rule(wave=_wave_ids, pool=_pool_ids)
    def propose(self, wave: ids.WaveId, pool: ids.PoolId) -> None:
        selection = waves.Selection(pools=(pool,))
        firm = ids.FirmId("firm-a")
        self.apply(commands.ProposeWave(wave, firm, selection))
        self.apply(commands.ApproveWave(wave))

    @stateful.rule(
        wave=_wave_ids,
        kind=strategies.sampled_from(
            [commands.PauseWave, commands.ResumeWave, commands.CancelWave]
        ),
    )
    def change_wave_state(self, wave: ids.WaveId, kind: type) -> None:
        self.apply(kind(wave))

    @stateful.rule(
        wave=_wave_ids,
        take=strategies.lists(_instance_ids, max_size=4),
        remaining_count=strategies.integers(0, 4),
        finish=strategies.booleans(),
        skip=strategies.lists(_instance_ids, max_size=1),
    )
    def step(
        self,
        wave: ids.WaveId,
        take: list[ids.InstanceId],
        remaining_count: int,
        finish: bool,
        skip: list[ids.InstanceId],
    ) -> None:
        current = self.fleet.waves.get(wave)
        if current is not None:
            take = [*take, *current.remaining[:remaining_count]]
        command = commands.StepWave(
            wave,
            tuple(take),
            current.out if current is not None and finish else (),
            tuple(waves.Skipped(name, "given up") for name in skip),
        )
        result = self.apply(command)
        if result.ok and result.value["taken"]:
            self.check_budget()

    def check_budget(self) -> None:
        """Checks the availability budget after a step drained instances."""
        profile = self.fleet.profiles[ids.ProfileId("profile")]
        members = self.pool_members("pool")
        settled = [
            item
            for item in members
            if item.state is _STATE.IN_SERVICE
            and self.driver.time_ms - item.in_service_since_ms
            >= 1000 * profile.settle_s
        ]
        out_states = (_STATE.DRAINING, _STATE.IN_MAINTENANCE, _STATE.RETURNING)
        out = sum(item.state in out_states for item in members)
        domain = profile.tolerance.failure_reserve
        reserve = max(
            (self.count_in_domain(domain, item, settled) for item in settled),
            default=0,
        )
        max_out = profile.tolerance.max_out
        assert max_out is not None
        assert len(settled) - reserve >= profile.owed.instances - max_out
        assert out <= max_out

    @staticmethod
    def count_in_domain(
        domain: profiles.FailureDomain,
        item: pools.Instance,
        settled: Collection[pools.Instance],
    ) -> int:
        """Returns how many settled instances are in the domain of `item`."""
        if domain is profiles.FailureDomain.NONE:
            return 0
        if domain is profiles.FailureDomain.INSTANCE:
            return 1
        zone = domain is profiles.FailureDomain.AVAILABILITY_ZONE
        return sum(
            other.availability_zone == item.availability_zone
            and (zone or other.rack == item.rack)
            for other in settled
        )

    @stateful.rule(
        name=_job_ids,
        cores=strategies.sampled_from([0.1, 4.0, 9.0, 17.0]),
        team=strategies.booleans(),
        firm=strategies.sampled_from(["*", "firm-a", "firm-a", "firm-b"]),
    )
    def submit(
        self, name: ids.JobId, cores: float, team: bool, firm: str
    ) -> None:
        job = jobs.Job(
            name,
            ids.ServiceId("service"),
            ids.TeamId("team") if team else None,
            jobs.Demand(cores, 100),
            1.0,
        )
        result = self.apply(commands.SubmitJobs((job,)), firm)
        assert not (result.ok and firm == "firm-b")

    @stateful.rule(
        names=strategies.lists(_job_ids, min_size=1, max_size=4, unique=True),
        name=_instance_ids,
        submits_first=strategies.booleans(),
        cores=strategies.sampled_from([None, 2.0, 8.0, 0.0, float("nan")]),
    )
    def place(
        self,
        names: list[ids.JobId],
        name: ids.InstanceId,
        submits_first: bool,
        cores: float | None = None,
    ) -> None:
        size = None if cores is None else jobs.Demand(cores, 100)
        if submits_first:
            names = [ids.JobId(f"{n}-{self.driver.index}") for n in names]
            for job_id in names:
                self.submit(job_id, 4.0, True, "*")
        placements = tuple(commands.JobPlacement(n, name, size) for n in names)
        self.apply(commands.PlaceJobs(placements))

    @stateful.rule(
        name=_job_ids,
        is_late=strategies.booleans(),
        state=strategies.sampled_from(jobs.JobState),
    )
    def record_job(
        self, name: ids.JobId, is_late: bool, state: jobs.JobState
    ) -> None:
        placed = [j for j in self.fleet.jobs.values() if j.state.holds_instance]
        job = placed[0] if placed else self.fleet.jobs.get(name)
        name = name if job is None else job.job_id
        attempt = 0 if job is None else job.attempt - is_late
        change = commands.JobChange(name, attempt, state, "seen")
        result = self.apply(commands.RecordJobStates((change,)))
        assert not (is_late and result.value["recorded"])

    @stateful.rule(names=strategies.lists(_job_ids, max_size=4), firm=_firms)
    def cancel(self, names: list[ids.JobId], firm: str) -> None:
        result = self.apply(commands.CancelJobs(tuple(names)), firm)
        assert not (result.ok and firm == "firm-b")

    @stateful.precondition(lambda self: self.applied)
    @stateful.rule(data=strategies.data())
    def resend(self, data: strategies.DataObject) -> None:
        options, result = data.draw(strategies.sampled_from(self.applied))
        before = dict(self.fleet.instances), dict(self.fleet.jobs)
        sequence = self.fleet.ledger.next_sequence
        assert self.driver.apply(**options) == result
        assert (dict(self.fleet.instances), dict(self.fleet.jobs)) == before
        assert self.fleet.ledger.next_sequence == sequence

    @stateful.rule()
    def restart_from_snapshot(self) -> None:
        data = self.fleet.snapshot()
        assert self.driver.reference is not None
        assert self.driver.reference.snapshot() == data
        restored = fleet.Fleet()
        restored.restore(self.driver.index, data)
        assert restored.snapshot() == data
        self.driver.fleet = restored

    def teardown(self) -> None:
        self.restart_from_snapshot()

    def pool_members(self, pool: str) -> list[pools.Instance]:
        return [
            item
            for item in self.fleet.instances.values()
            if item.pool_id == pool
        ]

    @stateful.invariant()
    def every_instance_is_in_exactly_one_pool(self) -> None:
        listed = [
            item.instance_id
            for name in self.fleet.pools
            for item in self.fleet.instances_of(name)
        ]
        assert sorted(listed) == sorted(self.fleet.instances)
        assert all(
            item.pool_id in self.fleet.pools
            for item in self.fleet.instances.values()
        )

    @stateful.invariant()
    def placed_jobs_fit_and_quotas_hold(self) -> None:
        placed = [
            job for job in self.fleet.jobs.values() if job.state.holds_instance
        ]
        for job in placed:
            assert job.instance_id in self.fleet.instances
        for instance in self.fleet.instances.values():
            on_instance = [
                j for j in placed if j.instance_id == instance.instance_id
            ]
            assert (
                sum(j.occupied.cores for j in on_instance)
                <= instance.cores + 1e-6
            )
            total = fleet_state.Resources()
            for job in on_instance:
                total = total.plus(fleet_state.demand_resources(job.occupied))
            assert self.fleet.used_by_instance(instance.instance_id) == total
            assert sorted(self.fleet.jobs_on(instance.instance_id)) == sorted(
                job.job_id for job in on_instance
            )
        team = [job for job in placed if job.team_id is not None]
        assert len(team) <= _QUOTA.slots
        assert sum(job.demand.cores for job in team) <= _QUOTA.cores + 1e-6
        assert sum(job.demand.memory_mb for job in team) <= _QUOTA.memory_mb

    @stateful.invariant()
    def waves_and_instances_agree(self) -> None:
        for wave in self.fleet.waves.values():
            for name in wave.out:
                assert self.fleet.instances[name].wave_id == wave.wave_id
            ended = wave.state is waves.WaveState.FINISHED
            if ended:
                assert not wave.remaining and not wave.out
            members = [*wave.remaining, *wave.out, *wave.done]
            members.extend(item.instance_id for item in wave.skipped)
            assert len(set(members)) == len(members)
        for instance in self.fleet.instances.values():
            if instance.wave_id is not None:
                wave = self.fleet.waves[instance.wave_id]
                assert instance.instance_id in wave.out

    @stateful.invariant()
    def ledger_accounts_for_the_capacity_in_service(self) -> None:
        for name in ("pool", "pool-b"):
            entries = self.fleet.ledger
            total = sum(
                entry.amount.instances
                for entry in entries
                if entry.pool_id == name
                and entry.job_id is None
                and entry.amount is not None
                and entry.kind.value not in ("configuration", "denial")
            )
            serving = sum(
                item.state is _STATE.IN_SERVICE
                for item in self.pool_members(name)
            )
            assert total == serving


class BudgetTest(unittest.TestCase):
    """Tests of the availability budget."""

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(
        owed=strategies.integers(0, 4),
        max_out=strategies.integers(0, 4),
        domain=strategies.sampled_from(_DOMAINS),
        instance_specs=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 1),
                strategies.integers(0, 2),
                strategies.sampled_from(
                    [_STATE.IN_SERVICE] * 4 + [_STATE.LOST, _STATE.DRAINING]
                ),
            ),
            min_size=3,
            max_size=8,
        ),
    )
    def test_headroom_is_the_size_of_the_largest_allowed_drain(
        self,
        owed: int,
        max_out: int,
        domain: profiles.FailureDomain,
        instance_specs: list[tuple[int, int, pools.InstanceState]],
    ) -> None:
        """Guards against a headroom that differs from the budget check.

        The planner chooses by the headroom; the fleet checks the choice.
        """
        profile = builders.build_profile(
            owed=profiles.Capacity(instances=owed),
            tolerance=profiles.Tolerance(
                max_out=min(owed, max_out), failure_reserve=domain
            ),
        )
        members = [
            builders.build_instance(
                f"i{number}",
                availability_zone=ids.AvailabilityZone(f"z{zone}"),
                rack=ids.Rack(f"r{rack}"),
                state=state,
            )
            for number, (zone, rack, state) in enumerate(instance_specs)
        ]
        settled = [
            item.instance_id
            for item in members
            if item.state is _STATE.IN_SERVICE
        ]
        best = max(
            (
                bits.bit_count()
                for bits in range(1 << len(settled))
                if budget.check_drain(
                    profile,
                    members,
                    [n for i, n in enumerate(settled) if bits >> i & 1],
                    1,
                )
                is None
            ),
            default=0,
        )
        headroom = budget.headroom(profile, members, 1)
        self.assertEqual(headroom.allowed, best)
        self.assertEqual(headroom.blocked_reason is None, best > 0)


FleetMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
FleetMachineTest = FleetMachine.TestCase

if __name__ == "__main__":
    unittest.main()
