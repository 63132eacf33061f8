"""A simulated fleet whose tasks may crash the workers that start them."""

import dataclasses
import random

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.scheduling import planner
from tarragoncleat.batch.scheduling import worker_views
from tarragoncleat.batch.workers import worker_health
from tests import batch_builders

__all__ = ["CrashFleet"]

_STEP_MS = 100
# Time until the successor of a crashed worker answers.
_RESTART_MS = 3_000


@dataclasses.dataclass
class _Run:
    task: model.TaskKey
    run: int
    ends_ms: float


class CrashFleet:
    """Drives the real state and planner with workers that run in memory.

    A run of a task in `deadly` crashes its worker after `crash_after_ms`;
    members of a gang only do so once all of them run. Every other run is done
    after `task_ms`, unless it is long-running. With `loses_answers` the leader
    doesn't learn that a run has begun.
    """

    def __init__(self, worker_count: int, seed: int = 1) -> None:
        self.local = batch_builders.LocalState()
        self.state = self.local.state
        self.deadly: set[model.TaskKey] = set()
        self.crash_after_ms = 0
        self.task_ms = 1_000
        self.loses_answers = False
        self.crashes: list[tuple[int, str]] = []
        self.runs: dict[model.TaskKey, int] = {}
        self.random = random.Random(seed)
        self._incarnations = 0
        self._running: dict[str, list[_Run]] = {}
        self._down: dict[str, tuple[str, int, list[_Run]]] = {}
        self.start_leader()
        for number in range(worker_count):
            self._register(f"instance-{number:02d}")

    @property
    def now_ms(self) -> int:
        """Simulated time."""
        return self.local.time_ms

    def start_leader(self) -> None:
        """Replaces the leader; only the replicated state is kept."""
        self._views = worker_views.ViewCache()
        self._planner = planner.Planner(self.state)
        self._health = worker_health.WorkerHealth()

    def restart_from_snapshot(self) -> None:
        """Restarts all replicas from a snapshot."""
        self.state.restore(1, self.state.snapshot())
        self.start_leader()

    def crash(self, worker_id: str) -> None:
        """Ends a worker, all that runs on it, and the gangs of those runs."""
        self.crashes.append((self.now_ms, worker_id))
        instance = self.state.workers[worker_id].record.instance
        lost = list(self._running[worker_id])
        self._down[worker_id] = (instance, self.now_ms + _RESTART_MS, lost)
        self._running[worker_id].clear()
        for run in lost:
            located = self.state.task(run.task)
            if located is not None and located[1].definition.gang:
                self._break_gang(run)

    def _break_gang(self, lost: _Run) -> None:
        """Ends the other members of a gang that has lost one."""
        for worker_id, runs in self._running.items():
            for run in list(runs):
                if run.task[:3] == lost.task[:3] and run.run == lost.run:
                    runs.remove(run)
                    self.local.end(
                        run.task, commands.Ending.BROKEN, run.run, worker_id
                    )

    def busy_workers(self) -> list[str]:
        """Returns the workers on which tasks run."""
        return [name for name, runs in self._running.items() if runs]

    def worker_of(self, key: model.TaskKey) -> str:
        """Returns the worker on which a task runs, or an empty name."""
        for worker_id, runs in self._running.items():
            if any(run.task == key for run in runs):
                return worker_id
        return ""

    def advance(self, seconds: float) -> None:
        """Simulates some time."""
        for _ in range(int(seconds * 1_000 / _STEP_MS)):
            self.local.time_ms += _STEP_MS
            self._notice_crashes()
            self._end_runs()
            self._place()

    def _register(self, instance: str) -> None:
        self._incarnations += 1
        worker_id = f"{instance}-life-{self._incarnations}"
        self.local.register(worker_id, instance=instance)
        self._running[worker_id] = []

    def _notice_crashes(self) -> None:
        for worker_id, (instance, back_ms, lost) in list(self._down.items()):
            if self.now_ms >= back_ms:
                del self._down[worker_id]
                del self._running[worker_id]
                self._register(instance)
                self._health.record_crash(instance, self.now_ms / 1_000)
                confirmed = () if self.loses_answers else lost
                self.local.apply(
                    commands.EndWorker(
                        worker_id,
                        tuple(
                            commands.ConfirmedRun(run.task, run.run)
                            for run in confirmed
                        ),
                    )
                )

    def _end_runs(self) -> None:
        for worker_id, runs in list(self._running.items()):
            for run in list(runs):
                if self.now_ms < run.ends_ms or not self._is_complete(run):
                    continue
                if run.task in self.deadly:
                    self.crash(worker_id)
                    break
                runs.remove(run)
                row = commands.RunEnd(
                    run.task, run.run, worker_id, commands.Ending.DONE, ""
                )
                self.local.apply(commands.EndRuns((row,)))
        self._stop_ended_jobs()

    def _stop_ended_jobs(self) -> None:
        for worker_id, runs in self._running.items():
            for run in list(runs):
                job = self.state.job(run.task.job_id)
                if job is None or job.has_ended:
                    runs.remove(run)
                    self.local.end(
                        run.task, commands.Ending.STOPPED, run.run, worker_id
                    )

    def _is_complete(self, run: _Run) -> bool:
        """Whether a run's gang, if it has one, runs as a whole."""
        located = self.state.task(run.task)
        if located is None or not located[1].definition.gang:
            return True
        return all(self.worker_of(task.key) for task in located[1].tasks)

    def _place(self) -> None:
        schedulable = {
            worker_id: 0.0
            for worker_id in self.state.workers
            if worker_id not in self._down
        }
        views = self._views.refresh(
            self.state,
            schedulable,
            now_ms=self.now_ms,
            crashed_instances=self._health.crashed_instances(
                self.now_ms / 1_000
            ),
        )
        plan = self._planner.plan(
            views,
            self._views.changed_services,
            self.now_ms,
            self._views.has_other_workers,
        )
        if plan.starts:
            self.local.apply(commands.StartRuns(tuple(plan.starts)))
        for start in plan.starts:
            self._start(start)

    def _start(self, start: commands.RunStart) -> None:
        if not self.state.is_current(start.task, start.run, start.worker_id):
            return
        self.runs[start.task] = self.runs.get(start.task, 0) + 1
        located = self.state.task(start.task)
        assert located is not None
        ends_ms = float(self.now_ms + self.task_ms)
        if start.task in self.deadly:
            ends_ms = self.now_ms + self.crash_after_ms
        elif located[1].definition.long_running:
            ends_ms = float("inf")
        self._running[start.worker_id].append(
            _Run(start.task, start.run, ends_ms)
        )

    def job_state(self, job_id: str) -> jobs_module.JobState:
        """Returns the state of a job."""
        job = self.state.job(job_id)
        assert job is not None
        return job.state
