"""Tests of the controller with stand-in workers, in virtual time."""

import dataclasses
import json
from typing import Any
import unittest

import anyio
import pydantic

from tarragoncleat.decisions import controller
from tarragoncleat.decisions import worker_messages
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.state import commands
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves
from tarragoncleat_model import virtual_time
from tests import builders
from tests import standin_worker

_STATE = pools.InstanceState
_DEADLINE_S = 25.0
# Time of a call or of its answer on the network.
_DELAY_S = 0.002
_LIMITS = {
    "interval_ms": 50,
    "lease_ms": 900,
    "lease_margin_ms": 100,
    "call_timeout_ms": 300,
    "drain_timeout_ms": 1_000,
}
_CONSENSUS = {
    "heartbeat_ms": 50,
    "election_timeout_min_ms": 200,
    "election_timeout_max_ms": 300,
}


@dataclasses.dataclass
class _Applied:
    index: int
    result: bytes


class _Replication:
    """Commits every proposal immediately to one fleet."""

    def __init__(
        self, driver: builders.FleetDriver, clock: virtual_time.Clock
    ) -> None:
        self._driver = driver
        self._clock = clock
        self.is_leader = True
        self.leader_since_s: float | None = clock.monotonic()

    async def propose(
        self, payload: bytes, timeout_s: float
    ) -> _Applied | errors.Failure:
        del timeout_s
        if not self.is_leader:
            return errors.Failure(errors.ErrorKind.NO_LEADER, "not the leader")
        driver = self._driver
        driver.index += 1
        driver.time_ms = max(driver.time_ms, int(self._clock.time() * 1000))
        result = driver.fleet.apply(driver.index, driver.time_ms, payload)
        return _Applied(driver.index, result)


class _WorkerCalls:
    """Calls stand-in workers of this process; a silent one doesn't answer."""

    def __init__(self, workers: dict[str, standin_worker.Worker]) -> None:
        self._workers = workers

    async def close(self) -> None:
        pass

    async def read_report(self, address: str) -> Any:
        answer = await self._call(address, "report", {})
        return _parse(worker_messages.Report, answer)

    async def renew_lease(
        self, address: str, fence: int, lease_until_ms: int
    ) -> Any:
        content = {"fence": fence, "lease_until_ms": lease_until_ms}
        return _failure_of(await self._call(address, "lease", content))

    async def start_task(
        self, address: str, task_id: str, fence: int, demand: Any, command: str
    ) -> Any:
        content = {
            "fence": fence,
            "cores": demand.cores,
            "memory_mb": demand.memory_mb,
            "command": command,
        }
        answer = await self._call(address, f"tasks/{task_id}", content)
        return _failure_of(answer)

    async def interrupt_task(
        self, address: str, task_id: str, action: Any, action_id: str
    ) -> Any:
        path = f"tasks/{task_id}/{action.value}"
        return _failure_of(
            await self._call(address, path, {"action_id": action_id})
        )

    async def set_draining(
        self, address: str, action_id: str, draining: bool
    ) -> Any:
        content = {"action_id": action_id, "draining": draining}
        return _failure_of(await self._call(address, "drain", content))

    async def reboot(self, address: str, action_id: str) -> Any:
        answer = await self._call(address, "reboot", {"action_id": action_id})
        return _parse(worker_messages.RebootStatus, answer)

    async def _call(self, address: str, path: str, content: dict) -> Any:
        worker = self._workers[address]
        if worker.is_down():
            await anyio.sleep(_LIMITS["call_timeout_ms"] / 1000)
            return errors.Failure(errors.ErrorKind.UPSTREAM_FAILED, "silent")
        await anyio.sleep(_DELAY_S)
        parts = ["platform", "v1", *path.split("/")]
        answer = standin_worker.handle(worker, parts, content)
        await anyio.sleep(_DELAY_S)
        if answer is None:
            return errors.Failure(errors.ErrorKind.CONFLICT, "refused")
        return answer


def _parse(message_class: type, answer: Any) -> Any:
    if isinstance(answer, errors.Failure):
        return answer
    return pydantic.TypeAdapter(message_class).validate_python(answer)


def _failure_of(answer: Any) -> errors.Failure | None:
    return answer if isinstance(answer, errors.Failure) else None


class _Cluster:
    """A fleet of simulated workers in one pool."""

    def __init__(
        self,
        *options: list[str],
        lease_ms: int = _LIMITS["lease_ms"],
        **fields,
    ) -> None:
        self.clock = virtual_time.Clock()
        self.driver = builders.FleetDriver()
        self.driver.time_ms = int(self.clock.time() * 1000)
        builders.populate(self.driver, instances=0, **fields)
        self.fleet = self.driver.fleet
        self.addresses: dict[str, str] = {}
        self._workers: dict[str, standin_worker.Worker] = {}
        for number, extra in enumerate(options):
            address = f"{builders.LOOPBACK}.1.{number + 1}:7000"
            self._add(f"w{number}", address, extra)
        self.replication = _Replication(self.driver, self.clock)
        self._settings = builders.build_settings(
            controller={**_LIMITS, "lease_ms": lease_ms}, consensus=_CONSENSUS
        )

    def _add(self, name: str, address: str, extra: list[str]) -> None:
        arguments = ["--address", address, "--instance-id", name, *extra]
        options = standin_worker.parse_arguments(arguments)
        self._workers[address] = standin_worker.Worker(options, self.clock)
        self.addresses[name] = address
        instance = builders.build_instance(
            name, address=address, rack=ids.Rack(f"rack-{name}")
        )
        self.driver.apply_ok(commands.PutInstance(instance))

    def call(self, name: str, path: str, content: dict) -> Any:
        worker = self._workers[self.addresses[name]]
        return standin_worker.handle(worker, ["standin", "v1", path], content)

    def events(self, name: str, event: str) -> list[dict]:
        return [e for e in self.call(name, "log", {}) if e["event"] == event]

    def instance(self, name: str) -> pools.Instance:
        return self.fleet.instances[ids.InstanceId(name)]

    def job(self, name: str) -> jobs.Job:
        return self.fleet.jobs[ids.JobId(name)]

    def submit(self, *names: str, urgent: bool = False, **actual) -> None:
        demand = jobs.Demand(actual.pop("declared_cores", 4.0), 1024)
        submitted = tuple(
            jobs.Job(
                ids.JobId(name),
                ids.ServiceId("service"),
                None,
                demand,
                10.0,
                command=json.dumps(actual),
                urgent=urgent,
            )
            for name in names
        )
        self.driver.apply_ok(commands.SubmitJobs(submitted), role="operator")

    def start_wave(self, *names: str) -> None:
        selection = waves.Selection(
            instances=tuple(ids.InstanceId(name) for name in names)
        )
        wave_id = ids.WaveId("wave")
        propose = commands.ProposeWave(wave_id, ids.FirmId("firm-a"), selection)
        self.driver.apply_ok(propose, role="operator")
        self.driver.apply_ok(commands.ApproveWave(wave_id), role="operator")

    def run(self, scenario) -> None:
        """Runs a controller beside the scenario, which is an async callable."""

        async def main() -> None:
            loop = controller.Controller(
                self._settings,
                self.fleet,
                self.replication,
                virtual_time.Timer(self.clock),
                _WorkerCalls(self._workers),
            )
            async with anyio.create_task_group() as group:
                group.start_soon(loop.run)
                await scenario()
                group.cancel_scope.cancel()

        virtual_time.run(main, self.clock)

    async def wait(self, condition, goal: str) -> None:
        deadline_s = self.clock.monotonic() + _DEADLINE_S
        while not condition():
            if self.clock.monotonic() > deadline_s:
                raise AssertionError(f"timed out waiting for: {goal}")
            await anyio.sleep(0.02)


class ControllerTest(unittest.TestCase):
    """Guards against workers that diverge from the committed state."""

    def test_wave_reboots_each_worker_once_and_ends(self) -> None:
        """Guards against a wave that never ends and a repeated reboot."""
        cluster = _Cluster(
            [], [], ["--reboot-s", "2"], owed=profiles.Capacity(3)
        )

        async def scenario() -> None:
            cluster.start_wave("w0", "w1", "w2")
            wave = cluster.fleet.waves
            finished = waves.WaveState.FINISHED
            await cluster.wait(
                lambda: wave[ids.WaveId("wave")].state is finished,
                "wave finished",
            )

        cluster.run(scenario)
        self.assertEqual(len(cluster.fleet.waves[ids.WaveId("wave")].done), 3)
        for name in cluster.addresses:
            self.assertEqual(len(cluster.events(name, "reboot")), 1)
            self.assertIs(cluster.instance(name).state, _STATE.IN_SERVICE)

    def test_job_of_an_unresponsive_worker_restarts_only_after_its_lease(
        self,
    ) -> None:
        """Guards against a job that runs on two workers at once."""
        cluster = _Cluster([], ["--clock-offset-ms", "900000000"])

        async def scenario() -> None:
            cluster.submit("job", run_s=60.0)
            running = jobs.JobState.RUNNING
            await cluster.wait(
                lambda: cluster.job("job").state is running, "job runs"
            )
            first = cluster.job("job").instance_id
            cluster.call(first, "faults", {"silent": True})
            await cluster.wait(
                lambda: (
                    cluster.job("job").instance_id not in (first, None)
                    and cluster.job("job").state is running
                ),
                "job runs elsewhere",
            )
            self.assertIs(cluster.instance(first).state, _STATE.LOST)
            cluster.call(first, "faults", {"silent": False})
            await cluster.wait(
                lambda: cluster.instance(first).state is _STATE.IN_SERVICE,
                "worker back in service",
            )
            (ended,) = cluster.events(first, "lease_end")
            second = cluster.job("job").instance_id
            (started,) = cluster.events(second, "start")
            # The simulated worker ends tasks at the next request after the end
            # of its lease, which is 0.9 s after a renewal.
            self.assertEqual(ended["task_id"], "job~1")
            self.assertGreaterEqual(started["at_ms"], ended["lease_until_ms"])

        cluster.run(scenario)

    def test_worker_that_fails_every_task_is_quarantined(self) -> None:
        """Guards against a broken worker on which the whole queue fails."""
        cluster = _Cluster(["--fail-tasks"], [], [], [])

        async def scenario() -> None:
            names = [f"job{number}" for number in range(24)]
            cluster.submit(*names, run_s=0.1, declared_cores=16.0)
            final = cluster.fleet.jobs.values
            await cluster.wait(
                lambda: all(job.state.is_final for job in final()),
                "all jobs ended",
            )

        cluster.run(scenario)
        failed = [
            job
            for job in cluster.fleet.jobs.values()
            if job.state is jobs.JobState.FAILED
        ]
        self.assertEqual(len(failed), 3)
        self.assertIs(cluster.instance("w0").state, _STATE.QUARANTINED)

    def test_job_that_crashes_its_workers_is_given_up(self) -> None:
        """Guards against one that takes down a worker after the other.

        It crashes them after a while, or before they report that it runs. The
        jobs beside it complete.
        """
        for run_s in (0.2, 0.0):
            with self.subTest(run_s=run_s):
                self._run_beside_a_crashing_job(run_s)

    def _run_beside_a_crashing_job(self, run_s: float) -> None:
        cluster = _Cluster([], [], [], [], [])
        names = [f"job{number}" for number in range(6)]

        async def scenario() -> None:
            cluster.submit(*names, run_s=4.0)
            cluster.submit("guilty", run_s=run_s, crashes=True)
            await cluster.wait(
                lambda: all(
                    job.state.is_final for job in cluster.fleet.jobs.values()
                ),
                "all jobs ended",
            )

        cluster.run(scenario)
        self.assertIs(cluster.job("guilty").state, jobs.JobState.FAILED)
        self.assertIn("given up", cluster.job("guilty").reason)
        for name in names:
            self.assertIs(cluster.job(name).state, jobs.JobState.SUCCEEDED)

    def test_quarantine_survives_the_loss_of_the_worker(self) -> None:
        """Guards against a broken worker in service after a short silence.

        The leader changes while the worker is silent, so that the new one has
        not counted the failures.
        """
        cluster = _Cluster(["--fail-tasks"], [], [], [])

        async def wait_for(state: pools.InstanceState) -> None:
            await cluster.wait(
                lambda: cluster.instance("w0").state is state, f"w0 {state}"
            )

        async def scenario() -> None:
            names = [f"job{number}" for number in range(24)]
            cluster.submit(*names, run_s=0.1, declared_cores=16.0)
            await wait_for(_STATE.QUARANTINED)
            cluster.call("w0", "faults", {"silent": True})
            await wait_for(_STATE.LOST)
            cluster.replication.leader_since_s = cluster.clock.monotonic()
            cluster.call("w0", "faults", {"silent": False})
            await wait_for(_STATE.RETURNING)
            await cluster.wait(
                lambda: cluster.instance("w0").state is not _STATE.RETURNING,
                "end of the return",
            )

        cluster.run(scenario)
        self.assertIs(cluster.instance("w0").state, _STATE.QUARANTINED)

    def test_failure_streak_survives_the_loss_of_the_worker(self) -> None:
        """Guards against a failure streak that ends when a worker is lost."""
        cluster = _Cluster(["--fail-tasks"], [], [], [])

        def failed() -> int:
            states = [job.state for job in cluster.fleet.jobs.values()]
            return states.count(jobs.JobState.FAILED)

        async def scenario() -> None:
            names = [f"job{number}" for number in range(24)]
            cluster.submit(*names, run_s=0.1, declared_cores=16.0)
            await cluster.wait(lambda: failed() > 0, "a failed job")
            cluster.call("w0", "faults", {"silent": True})
            await cluster.wait(
                lambda: cluster.instance("w0").state is _STATE.LOST, "w0 lost"
            )
            names = [f"late{number}" for number in range(24)]
            cluster.submit(*names, run_s=0.1, declared_cores=16.0)
            cluster.call("w0", "faults", {"silent": False})
            await cluster.wait(
                lambda: cluster.instance("w0").state is _STATE.QUARANTINED,
                "w0 quarantined",
            )

        cluster.run(scenario)
        self.assertEqual(failed(), 3)

    def test_new_leader_repeats_no_action(self) -> None:
        """Guards against a second reboot or a lost wave after an election."""
        cluster = _Cluster(["--reboot-s", "2"], [], [], [])

        async def scenario() -> None:
            cluster.start_wave("w0", "w1")
            maintained = _STATE.IN_MAINTENANCE
            for _ in range(2):
                await cluster.wait(
                    lambda: any(
                        item.state is maintained
                        for item in cluster.fleet.instances.values()
                    ),
                    "an instance in maintenance",
                )
                cluster.replication.is_leader = False
                await anyio.sleep(0.2)
                cluster.replication.leader_since_s = cluster.clock.monotonic()
                cluster.replication.is_leader = True
            wave = cluster.fleet.waves
            await cluster.wait(
                lambda: len(wave[ids.WaveId("wave")].done) == 2, "wave done"
            )

        cluster.run(scenario)
        for name in ("w0", "w1"):
            self.assertEqual(len(cluster.events(name, "reboot")), 1)
        for name in cluster.addresses:
            self.assertEqual(len(cluster.events(name, "lease_end")), 0)

    def test_urgent_job_preempts_a_job_that_runs_later(self) -> None:
        """Guards against urgent jobs that wait and lost preempted jobs."""
        tolerance = profiles.Tolerance(
            actions=(profiles.Interruption.CHECKPOINT,)
        )
        cluster = _Cluster([], tolerance=tolerance)

        async def scenario() -> None:
            cluster.submit("normal", run_s=1.5, declared_cores=16.0)
            running = jobs.JobState.RUNNING
            await cluster.wait(
                lambda: cluster.job("normal").state is running, "normal runs"
            )
            cluster.submit("urgent", urgent=True, run_s=0.2)
            await cluster.wait(
                lambda: cluster.job("normal").state is jobs.JobState.SUCCEEDED,
                "both done",
            )

        cluster.run(scenario)
        (checkpoint,) = cluster.events("w0", "checkpoint")
        starts = [e["task_id"] for e in cluster.events("w0", "start")]
        self.assertEqual(starts, ["normal~1", "urgent~1", "normal~2"])
        urgent = cluster.events("w0", "start")[1]
        self.assertLess(checkpoint["at_ms"], urgent["at_ms"])

    def test_new_leader_places_new_work_before_old_leases_end(self) -> None:
        """Guards against urgent jobs delayed by a change of leader.

        Only a job that may still run elsewhere has to wait for the leases.
        """
        cluster = _Cluster([], lease_ms=60_000)
        cluster.submit("earlier", run_s=0.1)
        place = commands.JobPlacement(
            ids.JobId("earlier"), ids.InstanceId("w0")
        )
        cluster.driver.apply_ok(commands.PlaceJobs((place,)))
        stopped = commands.JobChange(
            ids.JobId("earlier"), 1, jobs.JobState.QUEUED, "stop: made room"
        )
        cluster.driver.apply_ok(commands.RecordJobStates((stopped,)))

        async def scenario() -> None:
            cluster.submit("urgent", urgent=True, run_s=0.1)
            await cluster.wait(
                lambda: cluster.job("urgent").instance_id, "urgent job placed"
            )
            await cluster.wait(
                lambda: cluster.events("w0", "start"), "urgent job started"
            )
            await anyio.sleep(0.5)

        cluster.run(scenario)
        starts = [e["task_id"] for e in cluster.events("w0", "start")]
        self.assertEqual(starts, ["urgent~1"])

    def test_moved_instance_is_drained_and_fenced_first(self) -> None:
        """Guards against tasks of the old pool on an instance that moved."""
        cluster = _Cluster([], [], owed=profiles.Capacity(1))
        other = pools.Pool(ids.PoolId("other"), ids.FirmId("firm-a"))
        cluster.driver.apply_ok(commands.PutPool(other))

        async def scenario() -> None:
            cluster.submit("a", "b", run_s=30.0, declared_cores=16.0)
            running = jobs.JobState.RUNNING
            await cluster.wait(
                lambda: all(cluster.job(n).state is running for n in "ab"),
                "both run",
            )
            command = commands.MoveInstance(ids.InstanceId("w0"), other.pool_id)
            cluster.driver.apply_ok(command, role="operator")
            await cluster.wait(
                lambda: (
                    cluster.instance("w0").pool_id == other.pool_id
                    and cluster.instance("w0").state is _STATE.IN_SERVICE
                ),
                "moved",
            )

        cluster.run(scenario)
        log = [entry["event"] for entry in cluster.call("w0", "log", {})]
        self.assertEqual(
            log, ["lease", "start", "drain", "stop", "lease", "drain"]
        )
        waiting = [n for n in "ab" if cluster.job(n).instance_id is None]
        self.assertEqual(len(waiting), 1)

    def test_cancelled_jobs_are_stopped_on_their_worker(self) -> None:
        """Guards against tasks that continue after a burst of cancellations."""
        cluster = _Cluster([])
        names = [f"job{number}" for number in range(4)]

        async def scenario() -> None:
            cluster.submit(*names, run_s=30.0)
            running = jobs.JobState.RUNNING
            await cluster.wait(
                lambda: all(cluster.job(n).state is running for n in names),
                "all run",
            )
            cancel = commands.CancelJobs(tuple(map(ids.JobId, names)))
            cluster.driver.apply_ok(cancel, role="operator")
            await cluster.wait(
                lambda: len(cluster.events("w0", "stop")) == 4, "all stopped"
            )

        cluster.run(scenario)
        self.assertEqual(cluster.events("w0", "lease_end"), [])

    def test_slow_reboot_does_not_block_the_wave(self) -> None:
        """Guards against a wave that waits forever for a lost instance."""
        tolerance = profiles.Tolerance(max_out=1, max_out_s=2)
        owed = profiles.Capacity(instances=1)
        cluster = _Cluster(
            ["--reboot-s", "6"], [], owed=owed, tolerance=tolerance
        )

        async def scenario() -> None:
            cluster.start_wave("w0", "w1")
            wave = cluster.fleet.waves
            finished = waves.WaveState.FINISHED
            await cluster.wait(
                lambda: wave[ids.WaveId("wave")].state is finished,
                "wave finished",
            )
            await cluster.wait(
                lambda: cluster.instance("w0").state is _STATE.IN_SERVICE,
                "slow worker back in service",
            )

        cluster.run(scenario)
        wave = cluster.fleet.waves[ids.WaveId("wave")]
        self.assertEqual(wave.done, ("w1",))
        self.assertEqual([item.instance_id for item in wave.skipped], ["w0"])
        self.assertEqual(len(cluster.events("w0", "reboot")), 1)


if __name__ == "__main__":
    unittest.main()
