"""Tests of the fleet's rules, command by command."""

import dataclasses
import unittest

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import commands
from tarragoncleat.state import fleet
from tarragoncleat.state import jobs
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves
from tests import builders

_STATE = pools.InstanceState
_KIND = errors.ErrorKind


def _names(*names: str) -> tuple[ids.InstanceId, ...]:
    return tuple(ids.InstanceId(name) for name in names)


class _FleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = builders.FleetDriver()
        builders.populate(self.driver)
        self.fleet = self.driver.fleet

    def refuse(
        self, command: object, kind: errors.ErrorKind, **how: object
    ) -> commands.Result:
        """Gives a command that must fail and change nothing."""
        before = (dict(self.fleet.instances), dict(self.fleet.profiles))
        result = self.driver.give(command, **how)
        self.assertFalse(result.ok)
        self.assertEqual(result.kind, kind, result.reason)
        after = (dict(self.fleet.instances), dict(self.fleet.profiles))
        self.assertEqual(after, before)
        return result

    def record(self, name: str, state: pools.InstanceState) -> None:
        self.driver.must(
            commands.RecordInstanceState(ids.InstanceId(name), state, "seen")
        )

    def start_wave(self, *names: str) -> ids.WaveId:
        wave_id = ids.WaveId("wave")
        selection = waves.Selection(instances=_names(*names))
        self.driver.must(
            commands.ProposeWave(wave_id, ids.FirmId("firm-a"), selection)
        )
        self.driver.must(commands.ApproveWave(wave_id))
        return wave_id


class ConfigurationTest(_FleetTest):
    """Guards against profiles that can't be kept and lost edits."""

    def test_impossible_profiles_are_refused_with_the_field(self) -> None:
        cases = {
            "max_out": profiles.Tolerance(max_out=5),
            "exactly one": profiles.Tolerance(max_out_fraction=0.5),
            "max_out_fraction": profiles.Tolerance(None, 1.5),
            "max_out_s": profiles.Tolerance(max_out_s=0),
        }
        for field, tolerance in cases.items():
            with self.subTest(field):
                profile = builders.build_profile(tolerance=tolerance)
                result = self.refuse(
                    commands.PutProfile(profile), _KIND.BAD_REQUEST
                )
                self.assertIn(field, result.reason)

    def test_profile_and_service_in_use_stay(self) -> None:
        self.refuse(
            commands.DeleteProfile(ids.ProfileId("profile")), _KIND.CONFLICT
        )
        self.refuse(
            commands.DeleteService(ids.ServiceId("service")), _KIND.CONFLICT
        )
        self.refuse(commands.DeletePool(ids.PoolId("pool")), _KIND.CONFLICT)

    def test_second_operator_learns_revision_and_differences(self) -> None:
        revision = self.fleet.profiles[ids.ProfileId("profile")].revision
        first = builders.build_profile(settle_s=10)
        second = builders.build_profile(settle_s=20)
        won = self.driver.must(commands.PutProfile(first), if_match=revision)
        lost = self.refuse(
            commands.PutProfile(second), _KIND.CONFLICT, if_match=revision
        )
        self.assertEqual(lost.revision, won.revision)
        self.assertEqual(
            lost.value["differences"],
            {"settle_s": {"current": 10, "given": 20}},
        )
        self.refuse(commands.PutProfile(second), _KIND.CONFLICT, if_match=0)

    def test_services_refuse_unknown_or_foreign_references(self) -> None:
        builders.populate(self.driver, 0, "firm-b", "-b")
        for profile, pool in (("none", "pool"), ("profile-b", "pool")):
            service = profiles.Service(
                ids.ServiceId("other"),
                ids.ProfileId(profile),
                ids.FirmId("firm-a"),
                ids.PoolId(pool),
            )
            self.refuse(commands.PutService(service), _KIND.BAD_REQUEST)

    def test_other_firms_objects_seem_absent(self) -> None:
        self.refuse(
            commands.DeleteProfile(ids.ProfileId("profile")),
            _KIND.NOT_FOUND,
            firm="firm-b",
        )
        self.refuse(
            commands.RemoveInstance(ids.InstanceId("i0")),
            _KIND.NOT_FOUND,
            firm="firm-b",
        )
        taken_over = builders.build_profile(firm=ids.FirmId("firm-b"))
        self.refuse(
            commands.PutProfile(taken_over), _KIND.FORBIDDEN, firm="firm-b"
        )

    def test_roles_limit_commands(self) -> None:
        command = commands.PutProfile(builders.build_profile("new"))
        for role in ("service", "auditor", "caller", "upstream"):
            self.refuse(command, _KIND.FORBIDDEN, role=role)
        lost = commands.RecordInstanceState(ids.InstanceId("i0"), _STATE.LOST)
        self.refuse(lost, _KIND.FORBIDDEN, role="operator")


class CommandIdTest(_FleetTest):
    """Guards against a resent command that has a second effect."""

    def test_resend_returns_the_first_result_also_after_restore(self) -> None:
        profile = builders.build_profile("new")
        command = commands.PutProfile(profile)
        first = self.driver.must(command, if_match=0, command_id="once")
        again = self.driver.must(command, if_match=0, command_id="once")
        self.assertEqual(again, first)
        restored = fleet.Fleet()
        restored.restore(self.driver.index, self.fleet.snapshot())
        self.driver.fleet = restored
        again = self.driver.must(command, if_match=0, command_id="once")
        self.assertEqual(again, first)

    def test_id_of_another_command_is_refused(self) -> None:
        command = commands.PutProfile(builders.build_profile("new"))
        self.driver.must(command, command_id="once")
        other = commands.PutProfile(builders.build_profile("newer"))
        self.refuse(other, _KIND.KEY_REUSED, command_id="once")

    def test_firms_do_not_share_ids(self) -> None:
        for firm in ("firm-a", "firm-b"):
            team = profiles.Team(
                ids.TeamId(firm), ids.FirmId(firm), profiles.Capacity()
            )
            self.driver.must(
                commands.PutTeam(team), firm=firm, command_id="once"
            )

    def test_garbage_is_answered(self) -> None:
        result = codec.decode(self.fleet.apply(99, 1, b"\xc1"))
        self.assertEqual(result.kind, _KIND.DECODE)


class MoveTest(_FleetTest):
    """Guards against an instance that moves while it still works."""

    def setUp(self) -> None:
        super().setUp()
        spare = pools.Pool(ids.PoolId("spare"), ids.FirmId("firm-a"))
        self.driver.must(commands.PutPool(spare))
        self.move = commands.MoveInstance(
            ids.InstanceId("i0"), ids.PoolId("spare")
        )
        self.switch = commands.SwitchPool(
            ids.InstanceId("i0"), ids.PoolId("spare")
        )

    def test_switch_needs_drain_and_no_jobs(self) -> None:
        self.refuse(self.switch, _KIND.CONFLICT)
        job = jobs.Job(
            ids.JobId("job"),
            ids.ServiceId("service"),
            None,
            jobs.Demand(1.0, 100),
            10.0,
        )
        self.driver.must(commands.SubmitJobs((job,)))
        placement = commands.JobPlacement(job.job_id, self.move.instance_id)
        self.driver.must(commands.PlaceJobs((placement,)))
        self.driver.must(self.move)
        self.refuse(self.switch, _KIND.CONFLICT)
        self.driver.must(dataclasses.replace(self.switch, lease_ended=True))
        instance = self.fleet.instances[self.move.instance_id]
        self.assertEqual(instance.pool_id, "spare")
        self.assertEqual(instance.fence, 2)
        self.assertIs(self.fleet.jobs[job.job_id].state, jobs.JobState.QUEUED)

    def test_move_below_what_is_owed_is_denied_and_recorded(self) -> None:
        self.driver.must(self.move)
        self.driver.must(self.switch)
        second = dataclasses.replace(
            self.move, instance_id=ids.InstanceId("i1")
        )
        self.driver.must(second)
        third = dataclasses.replace(self.move, instance_id=ids.InstanceId("i2"))
        self.refuse(third, _KIND.BUDGET)
        kinds = [entry.kind for entry in self.fleet.ledger]
        self.assertIs(kinds[-1], ledger.LedgerKind.DENIAL)

    def test_cancelled_move_returns_the_instance(self) -> None:
        self.driver.must(self.move)
        back = dataclasses.replace(self.move, pool_id=ids.PoolId("pool"))
        self.driver.must(back)
        self.refuse(self.switch, _KIND.CONFLICT)
        self.record("i0", _STATE.IN_SERVICE)


class WaveTest(_FleetTest):
    """Guards against waves that break a budget or never end."""

    def test_failure_between_plan_and_commit_wins(self) -> None:
        wave_id = self.start_wave("i0", "i1")
        step = commands.StepWave(wave_id, _names("i0"))
        for name in ("i3", "i4", "i5"):
            self.record(name, _STATE.LOST)
        result = self.driver.must(step)
        self.assertEqual(result.value["taken"], [])
        self.assertEqual(len(result.value["refused"]), 1)
        self.assertIs(
            self.fleet.instances[ids.InstanceId("i0")].state,
            _STATE.IN_SERVICE,
        )

    def test_step_takes_only_what_fits(self) -> None:
        wave_id = self.start_wave("i0", "i1")
        result = self.driver.must(
            commands.StepWave(wave_id, _names("i0", "i1"))
        )
        self.assertEqual(result.value["taken"], ["i0"])

    def test_wave_ends_after_all_are_maintained_lost_or_skipped(self) -> None:
        wave_id = self.start_wave("i0", "i1", "i2")
        self.driver.must(commands.StepWave(wave_id, _names("i0")))
        self.record("i0", _STATE.IN_MAINTENANCE)
        self.record("i0", _STATE.RETURNING)
        self.record("i0", _STATE.IN_SERVICE)
        self.driver.must(commands.StepWave(wave_id, _names("i1")))
        self.record("i1", _STATE.LOST)
        skipped = waves.Skipped(ids.InstanceId("i2"), "not reachable")
        self.driver.must(commands.StepWave(wave_id, skip=(skipped,)))
        wave = self.fleet.waves[wave_id]
        self.assertIs(wave.state, waves.WaveState.FINISHED)
        self.assertEqual(wave.done, ("i0",))
        self.assertEqual(
            [item.instance_id for item in wave.skipped], ["i1", "i2"]
        )

    def test_removed_instances_let_a_wave_end(self) -> None:
        wave_id = self.start_wave("i0", "i1")
        self.record("i1", _STATE.LOST)
        self.driver.must(commands.RemoveInstance(ids.InstanceId("i1")))
        self.driver.must(commands.StepWave(wave_id, _names("i0")))
        self.record("i0", _STATE.LOST)
        self.driver.must(commands.RemoveInstance(ids.InstanceId("i0")))
        wave = self.fleet.waves[wave_id]
        self.assertIs(wave.state, waves.WaveState.FINISHED)
        self.assertEqual(len(wave.skipped), 2)

    def test_cancelled_wave_takes_nothing_and_lets_instances_back(
        self,
    ) -> None:
        wave_id = self.start_wave("i0", "i1")
        self.driver.must(commands.StepWave(wave_id, _names("i0")))
        self.driver.must(commands.CancelWave(wave_id))
        self.refuse(commands.StepWave(wave_id, _names("i1")), _KIND.CONFLICT)
        self.record("i0", _STATE.IN_SERVICE)
        instance = self.fleet.instances[ids.InstanceId("i0")]
        self.assertIsNone(instance.wave_id)
        self.assertEqual(instance.maintained_at_ms, 0)
        self.assertEqual(self.fleet.waves[wave_id].out, ())


class JobTest(_FleetTest):
    """Guards against quotas that leak and jobs that wait for ever."""

    def job(self, name: str, cores: float = 4.0, **fields: object) -> jobs.Job:
        team = profiles.Team(
            ids.TeamId("team"),
            ids.FirmId("firm-a"),
            profiles.Capacity(cores=8.0, memory_mb=1000),
        )
        self.driver.must(commands.PutTeam(team))
        return jobs.Job(
            ids.JobId(name),
            ids.ServiceId("service"),
            team.team_id,
            jobs.Demand(cores, 100),
            10.0,
            **fields,
        )

    def place(self, name: str) -> commands.Result:
        placement = commands.JobPlacement(ids.JobId(name), ids.InstanceId("i0"))
        return self.driver.must(commands.PlaceJobs((placement,)))

    def test_unplaceable_job_is_reported_at_once(self) -> None:
        no_team = dataclasses.replace(self.job("big", 17.0), team_id=None)
        result = self.driver.must(
            commands.SubmitJobs((no_team, self.job("greedy", 9.0)))
        )
        big, greedy = result.value["jobs"]
        self.assertEqual(big["state"], "unplaceable")
        self.assertIn("16.0 cores", big["reason"])
        self.assertIn("quota of team team", greedy["reason"])

    def test_quota_holds_at_placement_and_returns_after_the_end(self) -> None:
        self.driver.must(commands.SubmitJobs(tuple(self.job(n) for n in "abc")))
        for name in "ab":
            self.assertEqual(self.place(name).value["placed"], [name])
        self.assertIn("quota", self.place("c").value["refused"][0]["reason"])
        self.driver.must(commands.CancelJobs((ids.JobId("a"),)))
        self.assertEqual(self.place("c").value["placed"], ["c"])

    def test_endless_submissions_are_refused_and_lose_nothing(self) -> None:
        job = dataclasses.replace(self.job("a"), team_id=None)
        for batch in range(20):
            names = (ids.JobId(f"j{batch}-{n}") for n in range(5_000))
            self.driver.must(
                commands.SubmitJobs(
                    tuple(dataclasses.replace(job, job_id=n) for n in names)
                )
            )
        self.refuse(commands.SubmitJobs((job,)), _KIND.OVERLOADED)
        self.driver.must(commands.CancelJobs((ids.JobId("j0-0"),)))
        self.driver.must(commands.SubmitJobs((job,)))

    def test_late_report_of_an_earlier_placement_is_ignored(self) -> None:
        self.driver.must(commands.SubmitJobs((self.job("a"),)))
        self.place("a")
        self.record("i0", _STATE.LOST)
        late = commands.JobChange(ids.JobId("a"), 0, jobs.JobState.FAILED)
        result = self.driver.must(commands.RecordJobStates((late,)))
        self.assertEqual(len(result.value["refused"]), 1)
        self.assertIs(
            self.fleet.jobs[ids.JobId("a")].state, jobs.JobState.QUEUED
        )


class LedgerTest(_FleetTest):
    """Guards against a ledger that grows for ever or hides what it lost."""

    def test_bounded_ledger_says_since_when_and_restores(self) -> None:
        denial = commands.Denial(ids.ServiceId("service"), "no room")
        batch = commands.RecordDenials((denial,) * 700)
        self.assertEqual(self.fleet.ledger.complete_since_ms, 0)
        early = self.fleet.snapshot()
        while len(self.fleet.ledger) < 50_000:
            self.driver.time_ms += 1000
            self.driver.must(batch)
        for _ in range(3):
            self.driver.time_ms += 1000
            self.driver.must(batch)
            data = self.fleet.snapshot()
            restored = fleet.Fleet()
            restored.restore(self.driver.index, data)
            self.assertEqual(list(restored.ledger), list(self.fleet.ledger))
            self.assertEqual(restored.snapshot(), data)
        book = self.fleet.ledger
        self.assertEqual(len(book), 50_000)
        self.assertGreater(book.complete_since_ms, next(iter(book)).time_ms)
        self.fleet.restore(self.driver.index, early)
        self.assertEqual(self.fleet.snapshot()[-20:], early[-20:])

    def test_pages_of_a_filter_cover_each_entry_once(self) -> None:
        wanted = ledger.Filter(kinds=frozenset({ledger.LedgerKind.GRANT}))
        start: int | None = 0
        found: list[ledger.Entry] = []
        while start is not None:
            page = self.fleet.ledger.read(wanted, start, 2)
            found.extend(page.entries)
            start = page.next_sequence
        grants = [e for e in self.fleet.ledger if wanted.matches(e)]
        self.assertEqual(found, grants)
        self.assertEqual(len(grants), 6)


class ClaimTest(_FleetTest):
    """Guards against a key that runs twice or is forgotten too early."""

    def claim(self, request: str, print_: bytes = b"f") -> str:
        claim = commands.Claim(
            b"d" * 16, print_, ids.RequestId(request), ids.EntryId("e")
        )
        command = commands.ClaimKeys((claim,), 10, 1)
        return self.driver.must(command).value[0][0]

    def test_one_request_holds_a_key_until_retention_ends(self) -> None:
        self.assertEqual(self.claim("r1"), "granted")
        self.assertEqual(self.claim("r1"), "granted")
        self.assertEqual(self.claim("r2"), "held")
        self.assertEqual(self.claim("r2", b"g"), "key_reused")
        other = commands.Claim(
            b"e" * 16, b"f", ids.RequestId("r3"), ids.EntryId("e")
        )
        full = self.driver.must(commands.ClaimKeys((other,), 10, 1))
        self.assertEqual(full.value[0][0], "full")
        self.driver.time_ms += 10_000
        self.assertEqual(self.claim("r2"), "granted")

    def test_only_the_holder_releases(self) -> None:
        self.claim("r1")
        for request in ("r2", "r1"):
            claim = commands.Claim(
                b"d" * 16, b"f", ids.RequestId(request), ids.EntryId("e")
            )
            self.driver.must(commands.ReleaseClaims((claim,)))
            held = len(self.fleet.claims)
            self.assertEqual(held, 1 if request == "r2" else 0)


if __name__ == "__main__":
    unittest.main()
