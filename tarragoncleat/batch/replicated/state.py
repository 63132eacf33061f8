"""The replicated state machine of queues, jobs, workers and waves."""

import collections
import collections.abc
from collections.abc import Iterator
import functools
from typing import Any

import msgpack

from tarragoncleat.batch.replicated import arrival_windows
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import crash_evidence
from tarragoncleat.batch.replicated import crashes
from tarragoncleat.batch.replicated import customer_usage
from tarragoncleat.batch.replicated import customers
from tarragoncleat.batch.replicated import incarnations
from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import queue_table
from tarragoncleat.batch.replicated import waves
from tarragoncleat.batch.replicated import worker_state
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors

__all__ = ["BatchState"]

# Ended jobs stay readable for callers that poll for the result.
_ENDED_JOB_RETENTION_MS = 180_000
_CLEANUP_INTERVAL_RECORDS = 256
_MAX_ENDED_WORKERS = 10_000
# Only a leader reads the queue of ended jobs; on followers it must not grow.
_MAX_UNREAD_ENDED_JOBS = 10_000
_MAX_UNREAD_CRASHES = 1_000
# Index in a snapshot; those of earlier builds end before it.
_CRASH_EVIDENCE = 8


class BatchState:
    """Replicated state; every replica applies the same commands in order."""

    def __init__(self) -> None:
        """Creates an empty state."""
        self._queues = queue_table.QueueTable()
        self._jobs: dict[str, jobs_module.Job] = {}
        self._active: dict[str, jobs_module.Job] = {}
        self._task_count = 0
        self._workers: dict[str, worker_state.Worker] = {}
        self._workers_by_instance: dict[str, list[str]] = {}
        # A delayed heartbeat must not register an ended incarnation again. A
        # dict serves as an ordered set.
        self._ended_workers: dict[str, None] = {}
        # Of the workers and of the ended ones; both are in a snapshot.
        self._incarnations = incarnations.IncarnationIndex()
        self._superseded_workers: dict[str, None] = {}
        self._waves: dict[int, waves.Wave] = {}
        self._time_ms = 0
        self._applied_count = 0
        self._usage = customer_usage.UsageCache()
        # Only records change what the usage follows from.
        self._is_usage_current = False
        self._arrivals = arrival_windows.ArrivalWindows()
        self._ended_jobs: collections.deque[jobs_module.Job] = (
            collections.deque(maxlen=_MAX_UNREAD_ENDED_JOBS)
        )
        self._crashes: collections.deque[crashes.Crash] = collections.deque(
            maxlen=_MAX_UNREAD_CRASHES
        )

    @property
    def configuration(self) -> model.FleetConfiguration | None:
        """The configuration in force, or None before the first one."""
        return self._queues.configuration

    @property
    def customers(self) -> customers.CustomerTable:
        """The customers of the configuration in force."""
        return self._queues.customers

    def usage(self) -> customer_usage.UsageCache:
        """Returns what the customers' tasks reserve now."""
        if not self._is_usage_current:
            self._usage.refresh(self._workers, self._jobs)
            self._is_usage_current = True
        return self._usage

    def cap_ledger(self) -> customer_usage.CapLedger | None:
        """Returns what customers may start now, or None without any caps."""
        policies = self.customers.capped
        if not policies:
            return None
        return customer_usage.CapLedger(policies, self.usage().totals)

    @property
    def active_jobs(self) -> dict[str, jobs_module.Job]:
        """Jobs that have not ended, in order of acceptance."""
        return self._active

    @property
    def task_count(self) -> int:
        """Number of tasks of all jobs, including recently ended ones."""
        return self._task_count

    @property
    def workers(self) -> dict[str, worker_state.Worker]:
        """Workers whose incarnations have not ended."""
        return self._workers

    @property
    def waves(self) -> dict[int, waves.Wave]:
        """Maintenance waves by number."""
        return self._waves

    def pop_ended_jobs(self) -> list[jobs_module.Job]:
        """Returns the jobs that ended since the last call."""
        ended = list(self._ended_jobs)
        self._ended_jobs.clear()
        return ended

    def pop_crashes(self) -> list[crashes.Crash]:
        """Returns the crashes of workers with tasks since the last call."""
        popped = list(self._crashes)
        self._crashes.clear()
        return popped

    @property
    def time_ms(self) -> int:
        """Leader's wall clock time of the last applied record."""
        return self._time_ms

    def workers_on(self, instance: str) -> list[worker_state.Worker]:
        """Returns the workers on an instance.

        There can be several, because a heartbeat of an earlier incarnation may
        arrive after one of a later incarnation.
        """
        names = self._workers_by_instance.get(instance, ())
        return [self._workers[name] for name in names]

    def has_worker_ended(self, worker_id: str) -> bool:
        """Whether a worker's incarnation is known to have ended."""
        return worker_id in self._ended_workers

    @property
    def incarnations(self) -> incarnations.IncarnationIndex:
        """The known incarnations of workers that tell when they started."""
        return self._incarnations

    @property
    def superseded_workers(self) -> collections.abc.Collection[str]:
        """Workers that started again, and whose end is not recorded yet."""
        return self._superseded_workers.keys()

    def job(self, job_id: str) -> jobs_module.Job | None:
        """Returns a job, including a recently ended one, or None."""
        return self._jobs.get(job_id)

    def queue(self, key: model.QueueKey) -> model.QueuePolicy | None:
        """Returns a queue of the current configuration, or None."""
        return self._queues.queue(key)

    def policy_of(self, job: jobs_module.Job) -> model.QueuePolicy | None:
        """Returns the policy of a job's queue, even if it was removed."""
        return self._queues.policy(job.queue)

    def service(self, name: str) -> model.ServicePolicy | None:
        """Returns a service of the current configuration, or None."""
        return self._queues.service(name)

    def route(self, host: str, path: str) -> model.QueuePolicy | None:
        """Returns the queue with the longest prefix of `path`, or None."""
        return self._queues.route(host, path)

    def job_at(self, host: str, path: str) -> jobs_module.Job | None:
        """Returns the job at a path, also if its queue was removed, or None."""
        for key in self._queues.keys_at(host, path):
            job = self._jobs.get(path[len(key.path_prefix) :])
            if job is not None and job.queue == key:
                return job
        return None

    def task(
        self, key: model.TaskKey
    ) -> tuple[jobs_module.Job, jobs_module.Step, jobs_module.Task] | None:
        """Returns the job, step and task of a key, or None."""
        job = self._jobs.get(key.job_id)
        located = job.find_task(key) if job is not None else None
        if job is None or located is None:
            return None
        return job, located[0], located[1]

    def is_current(self, key: model.TaskKey, run: int, worker_id: str) -> bool:
        """Whether the run is the task's current one, on that worker."""
        located = self.task(key)
        if located is None:
            return False
        job, _, task = located
        return (
            not job.has_ended
            and task.state is jobs_module.TaskState.RUNNING
            and task.run == run
            and task.worker_id == worker_id
        )

    def is_latest(self, key: model.TaskKey, run: int) -> bool:
        """Whether the run is the task's latest one."""
        located = self.task(key)
        return located is not None and located[2].run == run

    def waiting_count(self, key: model.QueueKey) -> int:
        """Returns the number of a queue's jobs of which no task has begun."""
        return sum(
            job.queue == key and job.is_waiting for job in self._active.values()
        )

    def apply(self, index: int, time_ms: int, payload: bytes) -> bytes:
        """Applies a command and returns its packed result."""
        self._time_ms = time_ms
        self._applied_count += 1
        command = codec.decode(payload)
        if isinstance(command, errors.Failure):
            # Proposals are validated, so only a newer version can write this.
            raise ValueError(f"record {index}: {command.reason}")
        result = self._apply(command)
        self._is_usage_current = False
        if self._applied_count % _CLEANUP_INTERVAL_RECORDS == 0:
            self._remove_expired_jobs()
        return msgpack.packb(result)

    @functools.singledispatchmethod
    def _apply(self, command: Any) -> object:
        raise TypeError(f"not a command: {type(command).__name__}")

    @_apply.register
    def _put_configuration(self, command: commands.PutConfiguration) -> object:
        # Without customers jobs are removed while their tasks count.
        self._usage = customer_usage.UsageCache()
        return self._queues.put(command.configuration)

    @_apply.register
    def _submit_job(self, command: commands.SubmitJob) -> object:
        return self._accept(
            command.job_id, command.queue, command.definition, customers.NO_KEY
        ).value

    @_apply.register
    def _submit_customer_job(
        self, command: commands.SubmitCustomerJob
    ) -> object:
        return self._accept(
            command.job_id, command.queue, command.definition, command.key
        ).value

    def _accept(
        self,
        job_id: str,
        key: model.QueueKey,
        definition: model.JobDefinition,
        caller_key: model.KeyDigest,
    ) -> commands.JobDecision:
        queue = self._queues.queue(key)
        if queue is None or not self._queues.leads_to(key, job_id):
            return commands.JobDecision.NO_QUEUE
        caller = self.customers.authenticate(queue, caller_key)
        if caller is None:
            return commands.JobDecision.UNAUTHORIZED
        stored = self._jobs.get(job_id)
        if stored is not None:
            if stored.queue == key and caller.may_see(stored.caller):
                return commands.JobDecision.ALREADY_STORED
            return commands.JobDecision.ID_TAKEN
        customer = self.customers.get(caller.customer)
        if customer_usage.exceeds_cap(definition, customer):
            return commands.JobDecision.OVER_CAP
        job = jobs_module.Job(job_id, key, definition, self._time_ms, caller)
        if customer is not None:
            job.is_over_weight = self._arrivals.exceeds_weight(
                customer, self._time_ms
            )
            self._count_arrival(job)
        self._jobs[job_id] = job
        self._active[job_id] = job
        self._task_count += job.task_count
        return commands.JobDecision.STORED

    def _count_arrival(self, job: jobs_module.Job) -> None:
        if job.caller.customer and not job.is_over_weight:
            self._arrivals.add(job.caller.customer, job.accepted_ms)

    @_apply.register
    def _cancel_job(self, command: commands.CancelJob) -> object:
        return self._cancel(command.job_id, customers.NO_KEY).value

    @_apply.register
    def _cancel_customer_job(
        self, command: commands.CancelCustomerJob
    ) -> object:
        return self._cancel(command.job_id, command.key).value

    def _cancel(
        self, job_id: str, caller_key: model.KeyDigest
    ) -> commands.JobDecision:
        job = self._jobs.get(job_id)
        if job is None:
            return commands.JobDecision.UNKNOWN_JOB
        queue = self._queues.queue(job.queue)
        if queue is None or not self._queues.leads_to(job.queue, job.job_id):
            return commands.JobDecision.NO_QUEUE
        caller = self.customers.authenticate(queue, caller_key)
        if caller is None:
            return commands.JobDecision.UNAUTHORIZED
        if not caller.may_see(job.caller):
            return commands.JobDecision.UNKNOWN_JOB
        job.cancel(self._time_ms)
        self._deactivate_if_ended(job)
        return commands.JobDecision.STORED

    @_apply.register
    def _open_occurrence(self, command: commands.OpenOccurrence) -> object:
        job = self._jobs.get(command.job_id)
        if job is not None:
            before = job.task_count
            job.open_occurrence(command.occurrence)
            self._task_count += job.task_count - before
        return None

    @_apply.register
    def _register_worker(self, command: commands.RegisterWorker) -> object:
        record = command.worker
        if record.worker_id in self._ended_workers:
            return False
        if self._incarnations.is_superseded(record.worker_id):
            return False
        existing = self._workers.get(record.worker_id)
        if existing is not None:
            if existing.state is worker_state.WorkerState.LEASE_EXPIRED:
                existing.state = worker_state.WorkerState.UP
                existing.lapsed_tasks = frozenset()
            existing.resize(record.capacity)
            return False
        self._add_worker(worker_state.Worker(record))
        return True

    @_apply.register
    def _drain_worker(self, command: commands.DrainWorker) -> object:
        worker = self._workers.get(command.worker_id)
        if worker is not None:
            worker.state = worker_state.WorkerState.DRAINING
        return None

    @_apply.register
    def _mark_workers_lost(self, command: commands.MarkWorkersLost) -> object:
        for worker_id in command.worker_ids:
            worker = self._workers.get(worker_id)
            if command.is_final:
                self._end_unplanned(worker_id)
            elif worker is not None:
                # A draining worker gets no tasks when it is back either.
                if worker.state is worker_state.WorkerState.UP:
                    worker.state = worker_state.WorkerState.LEASE_EXPIRED
                worker.lapsed_tasks |= worker.tasks
                self._requeue_tasks(worker)
        return None

    @_apply.register
    def _end_lost_worker(self, command: commands.EndWorker) -> object:
        self._end_unplanned(command.worker_id, command.confirmed_runs)
        return None

    def _end_unplanned(
        self,
        worker_id: str,
        confirmed_runs: collections.abc.Iterable[commands.ConfirmedRun] = (),
    ) -> None:
        """Ends an incarnation, and counts a crash if it wasn't expected."""
        worker = self._workers.get(worker_id)
        if worker is not None and self._has_crashed(worker):
            confirmed = frozenset(
                key
                for key, run in confirmed_runs
                if key in worker.tasks and self.is_latest(key, run)
            )
            self._record_crash(worker, confirmed)
        self._end_worker(worker_id)

    @_apply.register
    def _start_runs(self, command: commands.StartRuns) -> object:
        refused = {run for run in command.runs if not self._can_start(run)}
        # The other members of a gang would wait in vain for a refused one.
        broken_gangs = {
            run.task[:3] for run in refused if self._is_gang(run.task)
        }
        ledger = self.cap_ledger()
        if ledger is not None:
            allowed = [
                run
                for run in command.runs
                if run not in refused and run.task[:3] not in broken_gangs
            ]
            refused |= customer_usage.starts_over_cap(
                allowed, self._jobs, ledger
            )
        started = []
        for run_start in command.runs:
            job = self._jobs.get(run_start.task.job_id)
            is_started = (
                job is not None
                and run_start not in refused
                and run_start.task[:3] not in broken_gangs
                and job.start(run_start, self._time_ms)
            )
            started.append(is_started)
            if is_started:
                self._workers[run_start.worker_id].add_task(run_start.task)
        return started

    def _can_start(self, run_start: commands.RunStart) -> bool:
        """Whether a run may start, given all records before its own."""
        job = self._jobs.get(run_start.task.job_id)
        worker = self._workers.get(run_start.worker_id)
        if (
            job is None
            or worker is None
            or worker.state is not worker_state.WorkerState.UP
            or run_start.worker_id in self._superseded_workers
        ):
            return False
        policy = self.policy_of(job)
        is_served = policy is None or policy.service == worker.record.service
        return is_served and job.can_start(run_start)

    def _is_gang(self, key: model.TaskKey) -> bool:
        located = self.task(key)
        return located is not None and located[1].definition.gang

    @_apply.register
    def _end_runs(self, command: commands.EndRuns) -> object:
        for run_end in command.runs:
            job = self._jobs.get(run_end.task.job_id)
            if job is None:
                continue
            policy = self.policy_of(job)
            max_attempts = policy.max_attempts if policy else 1
            for task in job.end(run_end, max_attempts, self._time_ms):
                worker = self._workers.get(task.worker_id)
                if worker is not None:
                    worker.discard_task(task.key)
            self._deactivate_if_ended(job)
        return None

    @_apply.register
    def _start_wave(self, command: commands.StartWave) -> object:
        if command.wave in self._waves:
            return False
        self._waves[command.wave] = waves.Wave(
            command.wave,
            command.instances,
            command.duration_ms,
            command.cap,
            self._time_ms,
        )
        return True

    @_apply.register
    def _record_maintenance(
        self, command: commands.RecordMaintenance
    ) -> object:
        wave = self._waves.get(command.wave)
        if wave is None:
            return None
        if command.instance not in wave.chosen:
            wave.chosen[command.instance] = tuple(
                worker.record.worker_id
                for worker in self.workers_on(command.instance)
            )
        if command.phase is not commands.MaintenancePhase.CHOSEN:
            wave.begun.add(command.instance)
        if command.phase is commands.MaintenancePhase.BEGUN:
            for worker_id in wave.chosen[command.instance]:
                self._end_worker(worker_id)
        return None

    def _deactivate_if_ended(self, job: jobs_module.Job) -> None:
        if job.has_ended and job.job_id in self._active:
            del self._active[job.job_id]
            self._ended_jobs.append(job)

    def _add_worker(self, worker: worker_state.Worker) -> None:
        record = worker.record
        self._workers[record.worker_id] = worker
        names = self._workers_by_instance.setdefault(record.instance, [])
        names.append(record.worker_id)
        self._incarnations.add(record.worker_id)
        for worker_id in self._incarnations.earlier(record.worker_id):
            if worker_id in self._workers:
                self._superseded_workers[worker_id] = None

    def _end_worker(self, worker_id: str) -> None:
        """Ends an incarnation, also one that has not registered yet."""
        worker = self._workers.get(worker_id)
        if worker is not None:
            self._remove_worker(worker)
        self._ended_workers[worker_id] = None
        self._incarnations.add(worker_id)
        if len(self._ended_workers) > _MAX_ENDED_WORKERS:
            oldest_id = next(iter(self._ended_workers))
            del self._ended_workers[oldest_id]
            self._incarnations.discard(oldest_id)

    def _has_crashed(self, worker: worker_state.Worker) -> bool:
        """Whether a worker that has ended did so unplanned, with tasks."""
        if worker.state is worker_state.WorkerState.DRAINING:
            return False
        record = worker.record
        is_maintained = any(
            record.worker_id in wave.chosen.get(record.instance, ())
            for wave in self._waves.values()
        )
        return not is_maintained and bool(worker.tasks or worker.lapsed_tasks)

    def _record_crash(
        self,
        worker: worker_state.Worker,
        confirmed: collections.abc.Set[model.TaskKey],
    ) -> None:
        """Counts a crash for the worker's tasks, and requeues them."""
        keys = sorted(worker.tasks | worker.lapsed_tasks)
        self._requeue_tasks(worker)
        tasks = [
            (located[0], located[2])
            for key in keys
            if (located := self.task(key)) is not None
        ]
        if not tasks:
            return
        crash = crashes.record_crash(
            worker.record,
            tasks,
            confirmed,
            self._time_ms,
            bool(worker.lapsed_tasks),
        )
        self._crashes.append(crash)
        for job, task in tasks:
            self._deactivate_if_ended(job)
            # After an expired lease the task may run on another worker by now.
            current = self._workers.get(task.worker_id)
            if current is not None:
                current.revision += 1

    def _remove_worker(self, worker: worker_state.Worker) -> None:
        self._requeue_tasks(worker)
        record = worker.record
        del self._workers[record.worker_id]
        self._superseded_workers.pop(record.worker_id, None)
        self._workers_by_instance[record.instance].remove(record.worker_id)
        if not self._workers_by_instance[record.instance]:
            del self._workers_by_instance[record.instance]

    def _requeue_tasks(self, worker: worker_state.Worker) -> None:
        for key in sorted(worker.tasks):
            located = self.task(key)
            if located is not None:
                located[0].requeue_lost(located[2])
        worker.clear_tasks()

    def _remove_expired_jobs(self) -> None:
        oldest_kept_ms = self._time_ms - _ENDED_JOB_RETENTION_MS
        for job_id in [
            job.job_id
            for job in self._jobs.values()
            if job.ended_ms is not None
            and job.ended_ms < oldest_kept_ms
            and not self._counts_for_cap(job)
        ]:
            self._task_count -= self._jobs.pop(job_id).task_count

    def _counts_for_cap(self, job: jobs_module.Job) -> bool:
        """Whether tasks of an ended job may run, which count for a cap."""
        return self.customers.is_configured and any(job.running_tasks())

    def snapshot(self) -> bytes:
        """Serializes the state."""
        configurations, previous_queues = self._queues.pack()
        return msgpack.packb(
            [
                self._time_ms,
                self._applied_count,
                configurations,
                previous_queues,
                [
                    [codec.encode(job.definition), job.pack()]
                    for job in self._jobs.values()
                ],
                [
                    [worker.record.pack(), worker.state.value]
                    for worker in self._workers.values()
                ],
                [wave.pack() for wave in self._waves.values()],
                list(self._ended_workers),
                crash_evidence.pack(self._jobs.values(), self._workers),
            ]
        )

    def restore(self, index: int, data: bytes) -> None:
        """Replaces the state by a snapshot; empty data means an empty state."""
        self.__init__()  # type: ignore[misc]
        if not data:
            return
        values = msgpack.unpackb(data)
        self._time_ms, self._applied_count = values[0], values[1]
        self._queues.restore(values[2], values[3])
        for record, state in values[5]:
            worker = worker_state.Worker(model.WorkerRecord.unpack(record))
            worker.state = worker_state.WorkerState(state)
            self._add_worker(worker)
        for definition, packed in values[4]:
            self._restore_job(
                jobs_module.Job.unpack(packed, codec.decode(definition))
            )
        for packed in values[6]:
            wave = waves.Wave.unpack(packed)
            self._waves[wave.number] = wave
        self._ended_workers = dict.fromkeys(values[7])
        self._incarnations = incarnations.IncarnationIndex(
            (*self._workers, *self._ended_workers)
        )
        if len(values) > _CRASH_EVIDENCE:
            crash_evidence.restore(
                values[_CRASH_EVIDENCE], self.task, self._workers
            )

    def _restore_job(self, job: jobs_module.Job) -> None:
        self._jobs[job.job_id] = job
        self._task_count += job.task_count
        self._count_arrival(job)
        job.finish_partly_done_gangs(self._time_ms)
        if not job.has_ended:
            self._active[job.job_id] = job
        for task in job.running_tasks():
            worker = self._workers.get(task.worker_id)
            if worker is not None:
                worker.add_task(task.key)

    def free_on(self, worker: worker_state.Worker) -> model.Resources:
        """Returns the capacity that no task reserves; negative if it shrank."""
        free = worker.record.capacity
        for key in worker.tasks:
            located = self.task(key)
            if located is not None:
                free = free.minus(located[1].demand)
        return free

    def tasks_on(
        self, worker: worker_state.Worker
    ) -> Iterator[jobs_module.Task]:
        """Yields the tasks that run or may run on a worker."""
        for key in worker.tasks:
            located = self.task(key)
            if located is not None:
                yield located[2]
