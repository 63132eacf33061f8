"""Tests of the fleet's command handlers."""

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


def _instance_ids(*names: str) -> tuple[ids.InstanceId, ...]:
    return tuple(ids.InstanceId(name) for name in names)


class _FleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = builders.FleetDriver()
        builders.populate(self.driver)
        self.fleet = self.driver.fleet

    def assert_refused(
        self, command: object, kind: errors.ErrorKind, **options: object
    ) -> commands.Result:
        """Applies a command that must fail and change nothing."""
        before = (dict(self.fleet.instances), dict(self.fleet.profiles))
        result = self.driver.apply(command, **options)
        self.assertFalse(result.ok)
        self.assertEqual(result.kind, kind, result.reason)
        after = (dict(self.fleet.instances), dict(self.fleet.profiles))
        self.assertEqual(after, before)
        return result

    def record_state(self, name: str, state: pools.InstanceState) -> None:
        self.driver.apply_ok(
            commands.RecordInstanceState(ids.InstanceId(name), state, "seen")
        )

    def start_wave(self, *names: str) -> ids.WaveId:
        wave_id = ids.WaveId("wave")
        selection = waves.Selection(instances=_instance_ids(*names))
        self.driver.apply_ok(
            commands.ProposeWave(wave_id, ids.FirmId("firm-a"), selection)
        )
        self.driver.apply_ok(commands.ApproveWave(wave_id))
        return wave_id


class ConfigurationTest(_FleetTest):
    """Tests of the commands on profiles, services, teams and pools."""

    def test_invalid_tolerances_are_refused_with_the_field(self) -> None:
        """Guards against profiles whose tolerance can't be satisfied."""
        cases = {
            "max_out": profiles.Tolerance(max_out=5),
            "exactly one": profiles.Tolerance(max_out_fraction=0.5),
            "max_out_fraction": profiles.Tolerance(None, 1.5),
            "max_out_s": profiles.Tolerance(max_out_s=0),
        }
        for field, tolerance in cases.items():
            with self.subTest(field):
                profile = builders.build_profile(tolerance=tolerance)
                result = self.assert_refused(
                    commands.PutProfile(profile), _KIND.BAD_REQUEST
                )
                self.assertIn(field, result.reason)

    def test_objects_in_use_are_not_deleted(self) -> None:
        """Guards against references to deleted profiles, services and pools."""
        self.assert_refused(
            commands.DeleteProfile(ids.ProfileId("profile")), _KIND.CONFLICT
        )
        self.assert_refused(
            commands.DeleteService(ids.ServiceId("service")), _KIND.CONFLICT
        )
        self.assert_refused(
            commands.DeletePool(ids.PoolId("pool")), _KIND.CONFLICT
        )

    def test_conflict_reports_revision_and_differences(self) -> None:
        """Guards against lost updates when two operators edit one profile."""
        revision = self.fleet.profiles[ids.ProfileId("profile")].revision
        first = builders.build_profile(settle_s=10)
        second = builders.build_profile(settle_s=20)
        applied = self.driver.apply_ok(
            commands.PutProfile(first), if_match=revision
        )
        refused = self.assert_refused(
            commands.PutProfile(second), _KIND.CONFLICT, if_match=revision
        )
        self.assertEqual(refused.revision, applied.revision)
        self.assertEqual(
            refused.value["differences"],
            {"settle_s": {"current": 10, "given": 20}},
        )
        self.assert_refused(
            commands.PutProfile(second), _KIND.CONFLICT, if_match=0
        )

    def test_services_refuse_unknown_and_foreign_references(self) -> None:
        """Guards against services with an absent profile or another firm's."""
        builders.populate(self.driver, 0, "firm-b", "-b")
        for profile, pool in (("none", "pool"), ("profile-b", "pool")):
            service = profiles.Service(
                ids.ServiceId("other"),
                ids.ProfileId(profile),
                ids.FirmId("firm-a"),
                ids.PoolId(pool),
            )
            self.assert_refused(commands.PutService(service), _KIND.BAD_REQUEST)

    def test_objects_of_other_firms_are_not_found(self) -> None:
        """Guards against access to objects of another firm."""
        self.assert_refused(
            commands.DeleteProfile(ids.ProfileId("profile")),
            _KIND.NOT_FOUND,
            firm="firm-b",
        )
        self.assert_refused(
            commands.RemoveInstance(ids.InstanceId("i0")),
            _KIND.NOT_FOUND,
            firm="firm-b",
        )
        taken_over = builders.build_profile(firm=ids.FirmId("firm-b"))
        self.assert_refused(
            commands.PutProfile(taken_over), _KIND.FORBIDDEN, firm="firm-b"
        )

    def test_roles_limit_commands(self) -> None:
        """Guards against commands by roles that may not run them."""
        command = commands.PutProfile(builders.build_profile("new"))
        for role in ("service", "auditor", "caller", "upstream"):
            self.assert_refused(command, _KIND.FORBIDDEN, role=role)
        lost = commands.RecordInstanceState(ids.InstanceId("i0"), _STATE.LOST)
        self.assert_refused(lost, _KIND.FORBIDDEN, role="operator")


class CommandIdTest(_FleetTest):
    """Tests of command ids."""

    def test_resend_returns_the_first_result_after_restore(self) -> None:
        """Guards against a second effect of a resent command.

        The stored result must also survive a restore from a snapshot.
        """
        profile = builders.build_profile("new")
        command = commands.PutProfile(profile)
        first = self.driver.apply_ok(command, if_match=0, command_id="once")
        again = self.driver.apply_ok(command, if_match=0, command_id="once")
        self.assertEqual(again, first)
        restored = fleet.Fleet()
        restored.restore(self.driver.index, self.fleet.snapshot())
        self.driver.fleet = restored
        again = self.driver.apply_ok(command, if_match=0, command_id="once")
        self.assertEqual(again, first)

    def test_reused_command_id_is_refused(self) -> None:
        """Guards against a stored result returned for a different command."""
        command = commands.PutProfile(builders.build_profile("new"))
        self.driver.apply_ok(command, command_id="once")
        other = commands.PutProfile(builders.build_profile("newer"))
        self.assert_refused(other, _KIND.KEY_REUSED, command_id="once")

    def test_command_ids_are_separate_per_firm(self) -> None:
        """Guards against conflicts between equal command ids of two firms."""
        for firm in ("firm-a", "firm-b"):
            team = profiles.Team(
                ids.TeamId(firm), ids.FirmId(firm), profiles.Capacity()
            )
            self.driver.apply_ok(
                commands.PutTeam(team), firm=firm, command_id="once"
            )

    def test_undecodable_record_returns_a_failure(self) -> None:
        """Guards against a crash of every replica at an undecodable record."""
        result = codec.decode(self.fleet.apply(99, 1, b"\xc1"))
        self.assertEqual(result.kind, _KIND.DECODE)


class MoveTest(_FleetTest):
    """Tests of moves between pools."""

    def setUp(self) -> None:
        super().setUp()
        spare = pools.Pool(ids.PoolId("spare"), ids.FirmId("firm-a"))
        self.driver.apply_ok(commands.PutPool(spare))
        self.move = commands.MoveInstance(
            ids.InstanceId("i0"), ids.PoolId("spare")
        )
        self.switch = commands.SwitchPool(
            ids.InstanceId("i0"), ids.PoolId("spare")
        )

    def test_switch_needs_drain_and_stopped_jobs(self) -> None:
        """Guards against an instance that switches pools while it runs jobs.

        Once its lease has ended, it may switch and its jobs are requeued.
        """
        self.assert_refused(self.switch, _KIND.CONFLICT)
        job = jobs.Job(
            ids.JobId("job"),
            ids.ServiceId("service"),
            None,
            jobs.Demand(1.0, 100),
            10.0,
        )
        self.driver.apply_ok(commands.SubmitJobs((job,)))
        placement = commands.JobPlacement(job.job_id, self.move.instance_id)
        self.driver.apply_ok(commands.PlaceJobs((placement,)))
        self.driver.apply_ok(self.move)
        self.assert_refused(self.switch, _KIND.CONFLICT)
        self.driver.apply_ok(dataclasses.replace(self.switch, lease_ended=True))
        instance = self.fleet.instances[self.move.instance_id]
        self.assertEqual(instance.pool_id, "spare")
        self.assertEqual(instance.fence, 2)
        self.assertIs(self.fleet.jobs[job.job_id].state, jobs.JobState.QUEUED)

    def test_move_below_owed_capacity_is_denied_and_recorded(self) -> None:
        """Guards against moves that leave a pool below its owed capacity."""
        self.driver.apply_ok(self.move)
        self.driver.apply_ok(self.switch)
        second = dataclasses.replace(
            self.move, instance_id=ids.InstanceId("i1")
        )
        self.driver.apply_ok(second)
        third = dataclasses.replace(self.move, instance_id=ids.InstanceId("i2"))
        self.assert_refused(third, _KIND.BUDGET)
        kinds = [entry.kind for entry in self.fleet.ledger]
        self.assertIs(kinds[-1], ledger.LedgerKind.DENIAL)

    def test_cancelled_move_returns_the_instance(self) -> None:
        """Guards against a pool switch after the move was cancelled."""
        self.driver.apply_ok(self.move)
        back = dataclasses.replace(self.move, pool_id=ids.PoolId("pool"))
        self.driver.apply_ok(back)
        self.assert_refused(self.switch, _KIND.CONFLICT)
        self.record_state("i0", _STATE.IN_SERVICE)


class WaveTest(_FleetTest):
    """Tests of maintenance waves."""

    def test_step_counts_failures_after_planning(self) -> None:
        """Guards against a step that ignores failures since it was planned.

        The lost instances use up the budget, so the step drains nothing.
        """
        wave_id = self.start_wave("i0", "i1")
        step = commands.StepWave(wave_id, _instance_ids("i0"))
        for name in ("i3", "i4", "i5"):
            self.record_state(name, _STATE.LOST)
        result = self.driver.apply_ok(step)
        self.assertEqual(result.value["taken"], [])
        self.assertEqual(len(result.value["refused"]), 1)
        self.assertIs(
            self.fleet.instances[ids.InstanceId("i0")].state,
            _STATE.IN_SERVICE,
        )

    def test_step_drains_only_what_the_budget_allows(self) -> None:
        """Guards against a step that drains more than the budget allows."""
        wave_id = self.start_wave("i0", "i1")
        result = self.driver.apply_ok(
            commands.StepWave(wave_id, _instance_ids("i0", "i1"))
        )
        self.assertEqual(result.value["taken"], ["i0"])

    def test_wave_finishes_once_all_are_done_or_skipped(self) -> None:
        """Guards against a wave that never finishes after losses and skips."""
        wave_id = self.start_wave("i0", "i1", "i2")
        self.driver.apply_ok(commands.StepWave(wave_id, _instance_ids("i0")))
        self.record_state("i0", _STATE.IN_MAINTENANCE)
        self.record_state("i0", _STATE.RETURNING)
        self.record_state("i0", _STATE.IN_SERVICE)
        self.driver.apply_ok(commands.StepWave(wave_id, _instance_ids("i1")))
        self.record_state("i1", _STATE.LOST)
        skipped = waves.Skipped(ids.InstanceId("i2"), "not reachable")
        self.driver.apply_ok(commands.StepWave(wave_id, skip=(skipped,)))
        wave = self.fleet.waves[wave_id]
        self.assertIs(wave.state, waves.WaveState.FINISHED)
        self.assertEqual(wave.done, ("i0",))
        self.assertEqual(
            [item.instance_id for item in wave.skipped], ["i1", "i2"]
        )

    def test_only_maintenance_ends_a_quarantine_after_a_loss(self) -> None:
        """Guards against a broken worker that serves after a short silence."""
        name = ids.InstanceId("i0")
        for state in (_STATE.QUARANTINED, _STATE.LOST, _STATE.RETURNING):
            self.record_state("i0", state)
        serve = commands.RecordInstanceState(name, _STATE.IN_SERVICE, "seen")
        self.assert_refused(serve, _KIND.CONFLICT)
        self.record_state("i0", _STATE.QUARANTINED)
        wave_id = self.start_wave("i0")
        self.driver.apply_ok(commands.StepWave(wave_id, (name,)))
        for state in (_STATE.IN_MAINTENANCE, _STATE.RETURNING):
            self.record_state("i0", state)
        self.driver.apply_ok(serve)

    def test_wave_finishes_without_removed_instances(self) -> None:
        """Guards against a wave that waits for removed instances."""
        wave_id = self.start_wave("i0", "i1")
        self.record_state("i1", _STATE.LOST)
        self.driver.apply_ok(commands.RemoveInstance(ids.InstanceId("i1")))
        self.driver.apply_ok(commands.StepWave(wave_id, _instance_ids("i0")))
        self.record_state("i0", _STATE.LOST)
        self.driver.apply_ok(commands.RemoveInstance(ids.InstanceId("i0")))
        wave = self.fleet.waves[wave_id]
        self.assertIs(wave.state, waves.WaveState.FINISHED)
        self.assertEqual(len(wave.skipped), 2)

    def test_cancelled_wave_drains_no_more_and_releases_instances(self) -> None:
        """Guards against a cancelled wave that drains or keeps instances."""
        wave_id = self.start_wave("i0", "i1")
        self.driver.apply_ok(commands.StepWave(wave_id, _instance_ids("i0")))
        self.driver.apply_ok(commands.CancelWave(wave_id))
        self.assert_refused(
            commands.StepWave(wave_id, _instance_ids("i1")), _KIND.CONFLICT
        )
        self.record_state("i0", _STATE.IN_SERVICE)
        instance = self.fleet.instances[ids.InstanceId("i0")]
        self.assertIsNone(instance.wave_id)
        self.assertEqual(instance.maintained_at_ms, 0)
        self.assertEqual(self.fleet.waves[wave_id].out, ())


class JobTest(_FleetTest):
    """Tests of jobs and team quotas."""

    def build_job(
        self, name: str, cores: float = 4.0, **fields: object
    ) -> jobs.Job:
        team = profiles.Team(
            ids.TeamId("team"),
            ids.FirmId("firm-a"),
            profiles.Capacity(cores=8.0, memory_mb=1000),
        )
        self.driver.apply_ok(commands.PutTeam(team))
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
        return self.driver.apply_ok(commands.PlaceJobs((placement,)))

    def test_unplaceable_job_is_reported_on_submission(self) -> None:
        """Guards against jobs that wait forever for capacity or quota."""
        no_team = dataclasses.replace(self.build_job("big", 17.0), team_id=None)
        result = self.driver.apply_ok(
            commands.SubmitJobs((no_team, self.build_job("greedy", 9.0)))
        )
        big, greedy = result.value["jobs"]
        self.assertEqual(big["state"], "unplaceable")
        self.assertIn("16.0 cores", big["reason"])
        self.assertIn("quota of team team", greedy["reason"])

    def test_quota_limits_placement_and_is_freed_at_the_end(self) -> None:
        """Guards against placements over a quota and quota that isn't freed."""
        self.driver.apply_ok(
            commands.SubmitJobs(tuple(self.build_job(n) for n in "abc"))
        )
        for name in "ab":
            self.assertEqual(self.place(name).value["placed"], [name])
        self.assertIn("quota", self.place("c").value["refused"][0]["reason"])
        self.driver.apply_ok(commands.CancelJobs((ids.JobId("a"),)))
        self.assertEqual(self.place("c").value["placed"], ["c"])

    def test_submissions_over_the_live_job_limit_are_refused(self) -> None:
        """Guards against unbounded memory use by submitted jobs.

        A refused submission succeeds after another job has ended.
        """
        job = dataclasses.replace(self.build_job("a"), team_id=None)
        for batch in range(20):
            names = (ids.JobId(f"j{batch}-{n}") for n in range(5_000))
            self.driver.apply_ok(
                commands.SubmitJobs(
                    tuple(dataclasses.replace(job, job_id=n) for n in names)
                )
            )
        self.assert_refused(commands.SubmitJobs((job,)), _KIND.OVERLOADED)
        self.driver.apply_ok(commands.CancelJobs((ids.JobId("j0-0"),)))
        self.driver.apply_ok(commands.SubmitJobs((job,)))

    def test_report_of_an_earlier_placement_is_refused(self) -> None:
        """Guards against a late report that fails a job requeued since then."""
        self.driver.apply_ok(commands.SubmitJobs((self.build_job("a"),)))
        self.place("a")
        self.record_state("i0", _STATE.LOST)
        late = commands.JobChange(ids.JobId("a"), 0, jobs.JobState.FAILED)
        result = self.driver.apply_ok(commands.RecordJobStates((late,)))
        self.assertEqual(len(result.value["refused"]), 1)
        self.assertIs(
            self.fleet.jobs[ids.JobId("a")].state, jobs.JobState.QUEUED
        )


class LedgerTest(_FleetTest):
    """Tests of the bounded ledger."""

    def test_full_ledger_reports_its_start_and_is_restored(self) -> None:
        """Guards against an unbounded ledger and unreported dropped entries.

        Snapshots must restore the same entries while old ones are dropped.
        """
        denial = commands.Denial(ids.ServiceId("service"), "no room")
        batch = commands.RecordDenials((denial,) * 700)
        self.assertEqual(self.fleet.ledger.complete_since_ms, 0)
        early = self.fleet.snapshot()
        while len(self.fleet.ledger) < 50_000:
            self.driver.time_ms += 1000
            self.driver.apply_ok(batch)
        for _ in range(3):
            self.driver.time_ms += 1000
            self.driver.apply_ok(batch)
            data = self.fleet.snapshot()
            restored = fleet.Fleet()
            restored.restore(self.driver.index, data)
            self.assertEqual(list(restored.ledger), list(self.fleet.ledger))
            self.assertEqual(restored.snapshot(), data)
        fleet_ledger = self.fleet.ledger
        self.assertEqual(len(fleet_ledger), 50_000)
        self.assertGreater(
            fleet_ledger.complete_since_ms, next(iter(fleet_ledger)).time_ms
        )
        self.fleet.restore(self.driver.index, early)
        self.assertEqual(self.fleet.snapshot()[-20:], early[-20:])

    def test_pages_cover_each_matching_entry_once(self) -> None:
        """Guards against entries missing or repeated between pages."""
        grants_only = ledger.Filter(kinds=frozenset({ledger.LedgerKind.GRANT}))
        start: int | None = 0
        found: list[ledger.Entry] = []
        while start is not None:
            page = self.fleet.ledger.read(grants_only, start, 2)
            found.extend(page.entries)
            start = page.next_sequence
        grants = [e for e in self.fleet.ledger if grants_only.matches(e)]
        self.assertEqual(found, grants)
        self.assertEqual(len(grants), 6)


class ClaimTest(_FleetTest):
    """Tests of the claims of idempotency keys."""

    def claim_key(self, request: str, fingerprint: bytes = b"f") -> str:
        claim = commands.Claim(
            b"d" * 16, fingerprint, ids.RequestId(request), ids.EntryId("e")
        )
        command = commands.ClaimKeys((claim,), 10, 1)
        return self.driver.apply_ok(command).value[0][0]

    def test_one_request_holds_a_key_until_retention_ends(self) -> None:
        """Guards against a second run of a request with the same key."""
        self.assertEqual(self.claim_key("r1"), "granted")
        self.assertEqual(self.claim_key("r1"), "granted")
        self.assertEqual(self.claim_key("r2"), "held")
        self.assertEqual(self.claim_key("r2", b"g"), "key_reused")
        other = commands.Claim(
            b"e" * 16, b"f", ids.RequestId("r3"), ids.EntryId("e")
        )
        full = self.driver.apply_ok(commands.ClaimKeys((other,), 10, 1))
        self.assertEqual(full.value[0][0], "full")
        self.driver.time_ms += 10_000
        self.assertEqual(self.claim_key("r2"), "granted")

    def test_only_the_holder_releases_a_claim(self) -> None:
        """Guards against a release of a claim by another request."""
        self.claim_key("r1")
        for request in ("r2", "r1"):
            claim = commands.Claim(
                b"d" * 16, b"f", ids.RequestId(request), ids.EntryId("e")
            )
            self.driver.apply_ok(commands.ReleaseClaims((claim,)))
            held = len(self.fleet.claims)
            self.assertEqual(held, 1 if request == "r2" else 0)


if __name__ == "__main__":
    unittest.main()
