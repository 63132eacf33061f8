"""A world of one service: a leader, its workers, jobs and faults."""

import dataclasses
import itertools
import random

import anyio
import anyio.abc

from tarragoncleat.batch import bounds
from tarragoncleat.batch.leader import dispatcher as dispatcher_module
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.scheduling import advice
from tarragoncleat.batch.workers import clients
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat_model import availability
from tarragoncleat_model import channel
from tarragoncleat_model import faults as faults_module
from tarragoncleat_model import history as history_module
from tarragoncleat_model import jobs
from tarragoncleat_model import log as log_module
from tarragoncleat_model import virtual_time
from tarragoncleat_model import worker as worker_module

__all__ = ["World", "play"]

_TICK_S = 0.02
_TRAFFIC_S = 14.0
# A worker that was crashed, refused or failed tasks gets some again by then.
_MAX_QUIET_S = 150.0
_ELECTION_S = 0.4
_FREEZE_S = 1.5
_MAINTENANCE_S = 2.0
_WAVE_MS = 40_000
_CORES = 4_000
# Kinds of jobs, and how many jobs that last come in addition.
_JOB_KINDS = {
    faults_module.Theme.ALL: ("plain", "burst", "chain", "gang"),
    faults_module.Theme.ORDERS: ("plain", "burst", "chain", "gang"),
    faults_module.Theme.SILENCE: ("plain", "gang", "gang", "gang"),
    faults_module.Theme.MAINTENANCE: ("plain", "chain"),
    faults_module.Theme.COMMITS: ("plain", "burst", "chain"),
}
_LASTING_JOBS = {
    faults_module.Theme.ALL: 1,
    faults_module.Theme.ORDERS: 0,
    faults_module.Theme.SILENCE: 0,
    faults_module.Theme.MAINTENANCE: 4,
    faults_module.Theme.COMMITS: 0,
}

_Kind = faults_module.FaultKind
_Rule = history_module.Rule


@dataclasses.dataclass(slots=True)
class _Leader:
    scope: anyio.CancelScope
    dispatcher: dispatcher_module.Dispatcher


class World:
    """Plays one seed; `history` has the broken rules afterwards."""

    def __init__(self, seed: int, clock: virtual_time.Clock) -> None:
        """Draws the workers, jobs and faults.

        Args:
            seed: Decides what is drawn.
            clock: Simulated time.
        """
        self.random = random.Random(seed)
        self.theme = self.random.choice(list(faults_module.Theme))
        self.history = history_module.History()
        self.tasks: anyio.abc.TaskGroup
        self.state = state_module.BatchState()
        self._timer = virtual_time.Timer(clock)
        self._log = log_module.SharedLog(self.state, self._timer)
        self._watch = availability.AvailabilityWatch(self.history)
        self._began_s = self._timer.monotonic_s()
        self._gangs = worker_module.GangBoard()
        self._behaviours: dict[str, worker_module.TaskBehaviour] = {}
        self._workers: dict[str, worker_module.ModelWorker] = {}
        self._latest: dict[str, str] = {}
        self._conditions: dict[str, channel.Condition] = {}
        self._lives = itertools.count(1)
        self._page_size = self.random.choice([2, 3, 500])
        self._crashes: dict[str, int] = {}
        self._leader: _Leader | None = None
        self._is_platform_down = False
        # Waves with their instances that are down, and all that were.
        self._in_maintenance: set[tuple[int, str]] = set()
        self._maintained: set[tuple[int, str]] = set()
        self._waves = itertools.count(1)

    @property
    def now_s(self) -> float:
        """Time since the start of the play."""
        return self._timer.monotonic_s() - self._began_s

    def worker(self, worker_id: str) -> worker_module.ModelWorker:
        """Returns a worker, also one that has ended."""
        return self._workers[worker_id]

    def has_successor(self, worker_id: str) -> bool:
        """Whether a later worker answers at the instance."""
        latest = self._latest[self.worker(worker_id).record.instance]
        return latest != worker_id and self._workers[latest].is_up

    def condition(self, worker_id: str) -> channel.Condition:
        """Returns the condition of a worker's instance."""
        return self._conditions[self.worker(worker_id).record.instance]

    async def run(self) -> None:
        """Plays the world to its end."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self._apply(commands.PutConfiguration(jobs.build_configuration()))
            for number in range(self.random.randint(3, 6)):
                instance = f"m-{number}"
                self._conditions[instance] = channel.Condition()
                self._boot(instance)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._lead)
            tasks.start_soon(self._submit_jobs)
            await self._play_faults()
            await self._wait_for_the_end()
            tasks.cancel_scope.cancel()
        self._check()

    def _apply(self, command: commands.Command) -> None:
        self._log.apply(codec.encode(command))
        if self._leader is not None:
            self._leader.dispatcher.notify_state_changed()

    def _note(self, text: str) -> None:
        self.history.note(self._timer.monotonic_s(), text)

    # Workers

    def _boot(self, instance: str) -> None:
        worker_id = f"{instance}-{next(self._lives)}"
        number = len(self._conditions)
        record = model.WorkerRecord(
            worker_id,
            jobs.SERVICE,
            f"{worker_id}:80",
            f"zone-{number % 3}",
            instance,
            ("a",),
            "rack",
            _CORES,
            8_192,
            0,
        )
        self._workers[worker_id] = worker_module.ModelWorker(
            record,
            self._behaviours,
            self._gangs,
            self.history,
            self._watch,
            self._page_size,
            self.random.uniform(0.98, 1.02),
            self._timer.monotonic_s(),
        )
        self._latest[instance] = worker_id
        self._apply(commands.RegisterWorker(record))

    async def _tick(self) -> None:
        async for now_s in self._timer.subscribe(_TICK_S):
            up = [worker for worker in self._workers.values() if worker.is_up]
            for worker in up:
                worker.expire(now_s)
            for worker in up:
                worker.finish(now_s)
            for worker in up:
                self._watch.record_work(worker.at_work(now_s), now_s)

    async def _end_instance(self, instance: str, down_s: float) -> None:
        """Ends what runs on an instance; a new worker comes after a while."""
        worker = self._workers[self._latest[instance]]
        if not worker.is_up:
            return
        for task in worker.tasks:
            self._crashes[task.job_id] = self._crashes.get(task.job_id, 0) + 1
        worker.crash()
        await self._timer.sleep_s(down_s)
        self._boot(instance)

    # Leaders

    async def _lead(self) -> None:
        """Runs the dispatcher of the next term until it is cancelled."""
        await self._timer.sleep_s(_ELECTION_S)
        log = log_module.LeaderLog(self._log)
        self._note(f"term {log.term} begins")
        dispatcher = dispatcher_module.Dispatcher(
            log,  # type: ignore[arg-type]
            self.state,
            self._timer,
            bounds.Bounds(),
            lambda record: channel.ModelClient(
                record.worker_id, self, self._timer
            ),
            self,
            _NoAdvisor(),
            f"node-{log.term}",
        )
        log.on_commit = dispatcher.notify_state_changed
        scope = anyio.CancelScope()
        self._leader = _Leader(scope, dispatcher)
        with scope:
            await dispatcher.run()

    async def _replace_leader(self, freeze_s: float) -> None:
        leader, self._leader = self._leader, None
        self.tasks.start_soon(self._lead)
        if leader is not None:
            await self._timer.sleep_s(freeze_s)
            leader.scope.cancel()

    # Jobs

    async def _submit_jobs(self) -> None:
        kinds = self.random.choices(
            _JOB_KINDS[self.theme], k=self.random.randint(4, 12)
        )
        for _ in range(_LASTING_JOBS[self.theme]):
            kinds.insert(self.random.randrange(len(kinds)), "lasting")
        for number, kind in enumerate(kinds):
            job_id = f"{number:016x}"
            definition, behaviour = jobs.build_job(kind, self.random)
            self._behaviours[job_id] = behaviour
            if kind == "lasting":
                tasks = [
                    model.TaskKey(job_id, 0, 0, position)
                    for position in range(definition.steps[0].task_count)
                ]
                now_s = self._timer.monotonic_s()
                self._watch.add_step(tasks, 1, now_s)
            self._note(f"job {job_id} is submitted: {kind}")
            self._apply(commands.SubmitJob(job_id, jobs.QUEUE, definition))
            await self._timer.sleep_s(
                self.random.uniform(0.1, 2 * _TRAFFIC_S / len(kinds))
            )

    # Faults

    async def _play_faults(self) -> None:
        drawn = faults_module.draw_faults(
            self.random, self.theme, list(self._conditions), _TRAFFIC_S
        )
        for fault in drawn:
            await self._timer.sleep_s(max(0.0, fault.at_s - self.now_s))
            self._note(
                f"{fault.kind.value} {' '.join(fault.instances)}"
                f" {fault.for_s} s share {fault.share}"
            )
            self.tasks.start_soon(self._play_fault, fault)
        last_s = max(fault.at_s + fault.for_s for fault in drawn)
        await self._timer.sleep_s(max(0.0, last_s - self.now_s))

    async def _play_fault(self, fault: faults_module.Fault) -> None:
        if fault.kind is _Kind.LEADER_KILLED:
            await self._replace_leader(0.0)
        elif fault.kind is _Kind.LEADER_FROZEN:
            await self._replace_leader(_FREEZE_S)
        elif fault.kind is _Kind.CRASH:
            await self._end_instance(fault.instances[0], fault.for_s)
        elif fault.kind is _Kind.COMMITS_STALLED:
            await self._log.stall(fault.for_s)
        elif fault.kind is _Kind.PLATFORM_DOWN:
            self._is_platform_down = True
            await self._timer.sleep_s(fault.for_s)
            self._is_platform_down = False
        elif fault.kind is _Kind.WAVE:
            cap = min(2, len(fault.instances))
            number = next(self._waves)
            self._apply(
                commands.StartWave(number, fault.instances, _WAVE_MS, cap)
            )
        else:
            await self._disturb_calls(fault)

    async def _disturb_calls(self, fault: faults_module.Fault) -> None:
        conditions = [self._conditions[name] for name in fault.instances]
        for condition in conditions:
            if fault.kind is _Kind.CUT:
                condition.is_cut = True
            elif fault.kind is _Kind.REFUSING:
                condition.refusing_share = fault.share
            elif fault.kind is _Kind.LOSING:
                condition.losing_share = fault.share
            else:
                condition.delaying_share = fault.share
        await self._timer.sleep_s(fault.for_s)
        for name in fault.instances:
            self._conditions[name] = channel.Condition()

    # The platform's instance interface

    async def list_instances(
        self,
    ) -> tuple[clients.InstanceRecord, ...] | errors.Failure:
        """Lists none: there is no spare pool."""
        return ()

    async def move(
        self, instance: str, pool: str, holder: str, fence: int
    ) -> errors.Failure | None:
        """Refuses moves."""
        del instance, pool, holder, fence
        return errors.Failure(errors.ErrorKind.CONFLICT, "no moves")

    async def maintain(
        self, instance: str, wave: int, holder: str, fence: int
    ) -> errors.Failure | None:
        """Begins maintenance, which ends what runs on the instance."""
        del holder, fence
        await self._timer.sleep_s(_TICK_S)
        if self._is_platform_down:
            return errors.Failure(errors.ErrorKind.UNDECIDED, "no answer")
        if (wave, instance) in self._maintained:
            return None
        worker = self._workers[self._latest[instance]]
        if not worker.is_up:
            return errors.Failure(errors.ErrorKind.CONFLICT, "busy")
        now_s = self._timer.monotonic_s()
        self._note(f"maintenance of {instance} begins, wave {wave}")
        self._watch.record_order(
            worker.at_work(now_s), f"maintenance of {instance}", now_s
        )
        self._maintained.add((wave, instance))
        self._in_maintenance.add((wave, instance))
        cap = self.state.waves[wave].cap
        down = sum(number == wave for number, _ in self._in_maintenance)
        if down > cap:
            self.history.record_break(_Rule.CAP, now_s, f"wave {wave}: {down}")
        self.tasks.start_soon(self._maintain, wave, instance)
        return None

    async def _maintain(self, wave: int, instance: str) -> None:
        await self._end_instance(instance, _MAINTENANCE_S)
        self._in_maintenance.discard((wave, instance))

    # The end

    async def _wait_for_the_end(self) -> None:
        deadline_s = self.now_s + _MAX_QUIET_S
        while self.now_s < deadline_s:
            is_over = self.now_s > 2 * _TRAFFIC_S
            if is_over and not any(True for _ in self._unfinished()):
                return
            await self._timer.sleep_s(0.25)

    def _unfinished(self) -> list[str]:
        """Returns what neither ended nor runs, and waves that go on."""
        found = []
        for job in self.state.active_jobs.values():
            for occurrence in job.occurrences.values():
                for step in occurrence.steps:
                    found += [
                        f"{task.key} ({task.state.value})"
                        for task in step.tasks
                        if not self._is_settled(step, task)
                    ]
        found += [
            f"wave {wave.number}: {wave.remaining}"
            for wave in self.state.waves.values()
            if wave.remaining
        ]
        return found

    def _is_settled(
        self, step: jobs_module.Step, task: jobs_module.Task
    ) -> bool:
        if step.definition.long_running:
            return any(
                worker.is_up and worker.runs(task.key)
                for worker in self._workers.values()
            )
        return task.state is jobs_module.TaskState.DONE

    def _check(self) -> None:
        at_s = self._timer.monotonic_s()
        for text in self._unfinished():
            self.history.record_break(_Rule.STARVED, at_s, text)
        gangs = set()
        for job_id, behaviour in self._behaviours.items():
            job = self.state.job(job_id)
            if behaviour.definition.gang:
                gangs.add((job_id, 0, 0))
            if job is None or job.state is not jobs_module.JobState.FAILED:
                continue
            if self._crashes.get(job_id, 0) < 2:
                self.history.record_break(_Rule.FAILED, at_s, job_id)
        self.history.check_starts()
        self.history.check_checkpoints(gangs)


class _NoAdvisor:
    """An advisor that no queue asks."""

    async def request_approvals(
        self, step: advice.StepKey, worker_ids: object
    ) -> errors.Failure:
        """Approves nothing."""
        del step, worker_ids
        return errors.Failure(errors.ErrorKind.NOT_FOUND, "no advisor")


def play(seed: int) -> history_module.History:
    """Plays a world to its end; returns what happened."""
    clock = virtual_time.Clock()
    world = World(seed, clock)
    virtual_time.run(world.run, clock)
    return world.history
