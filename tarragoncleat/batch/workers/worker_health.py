"""Detects workers that fail tasks, hang or refuse starts, and ejects them.

Heartbeats don't show this. A worker that fails every task at once would
otherwise attract all work, because it is always idle.
"""

from collections import deque
import dataclasses

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.workers import worker_session

__all__ = ["WorkerHealth"]

_MAX_RECENT_ENDS = 6
_JOBS_TO_EJECT = 3
_EJECTION_S = 4.0
_MAX_EJECTION_S = 16.0
_REFUSAL_EJECTION_S = 0.5
# A run without progress for so long is stuck, if no more time is due for it.
_STUCK_S = 2.5
# Progress is reported in whole percent. A run is stuck after this multiple of
# the time that one percent takes by its estimate, or took on average.
_STUCK_PERCENTS = 3
# Each stop of a task doubles what its next run is allowed, up to this power of
# 2: its estimate may be far too low.
_MAX_STUCK_DOUBLINGS = 12
_PERCENT = 100
_MS_PER_S = 1000
_FAILURE_PENALTY = 1.0
_RECENT_CRASH_S = 30.0


@dataclasses.dataclass(slots=True)
class _Progress:
    """Progress of a run.

    Attributes:
        percent: Percentage in the latest report.
        since_s: Since when it is unchanged.
        estimated_percent_s: Time for one percent by the task's estimate.
        first_percent: Percentage in the first report.
        first_s: When that report came.
    """

    percent: int
    since_s: float
    estimated_percent_s: float
    first_percent: int
    first_s: float

    def update(self, percent: int, now_s: float) -> None:
        """Records a further report."""
        if percent != self.percent:
            self.percent = percent
            self.since_s = now_s

    @property
    def percent_s(self) -> float:
        """Time for one percent, as estimated or as it took on average."""
        gained = self.percent - self.first_percent
        if gained <= 0:
            return self.estimated_percent_s
        average_s = (self.since_s - self.first_s) / gained
        return max(self.estimated_percent_s, average_s)


@dataclasses.dataclass(slots=True)
class _WorkerStats:
    """Recent results of one worker.

    `progress` holds the progress of each run; `ejection_s` is the length of the
    next ejection, and `penalty` is the rank penalty for recent failures.
    """

    recent_ends: deque[tuple[bool, str]] = dataclasses.field(
        default_factory=lambda: deque(maxlen=_MAX_RECENT_ENDS)
    )
    penalty: float = 0.0
    ejected_until_s: float = 0.0
    last_report_s: float = 0.0
    ejection_s: float = _EJECTION_S
    progress: dict[tuple[model.TaskKey, int], _Progress] = dataclasses.field(
        default_factory=dict
    )


class WorkerHealth:
    """Tracks the health of workers during one leader's term."""

    def __init__(self) -> None:
        """Creates a tracker that considers every worker healthy."""
        self._stats: dict[str, _WorkerStats] = {}
        # How often tasks were stopped because they were stuck.
        self._stuck_counts: dict[model.TaskKey, int] = {}
        # When a worker ended last, by instance.
        self._crashes: dict[str, float] = {}

    def record_end(self, run_end: commands.RunEnd, now_s: float) -> None:
        """Records the end of a run; may eject the worker."""
        is_failure = run_end.ending is commands.Ending.FAILED
        if not is_failure and run_end.ending is not commands.Ending.DONE:
            return
        self._stuck_counts.pop(run_end.task, None)
        stats = self._stats_of(run_end.worker_id)
        stats.recent_ends.append((is_failure, run_end.task.job_id))
        failures = sum(failed for failed, _ in stats.recent_ends)
        failure_share = failures / len(stats.recent_ends)
        stats.penalty = _FAILURE_PENALTY * round(failure_share)
        if not is_failure:
            stats.ejection_s = _EJECTION_S
            return
        # One job may fail on any worker; only failures of several jobs indicate
        # a faulty worker.
        jobs = {job_id for failed, job_id in stats.recent_ends if failed}
        all_failed = all(failed for failed, _ in stats.recent_ends)
        if all_failed and len(jobs) >= _JOBS_TO_EJECT:
            stats.ejected_until_s = now_s + stats.ejection_s
            stats.ejection_s = min(2 * stats.ejection_s, _MAX_EJECTION_S)

    def record_refusal(self, worker_id: str, now_s: float) -> None:
        """Ejects a worker for a short time after it refused a start."""
        stats = self._stats_of(worker_id)
        until_s = now_s + _REFUSAL_EJECTION_S
        stats.ejected_until_s = max(stats.ejected_until_s, until_s)

    def record_crash(self, instance: str, now_s: float) -> None:
        """Records that a worker on an instance ended."""
        self._crashes[instance] = now_s

    def crashed_instances(self, now_s: float) -> frozenset[str]:
        """Returns the instances on which a worker ended recently."""
        self._crashes = {
            instance: crashed_s
            for instance, crashed_s in self._crashes.items()
            if now_s - crashed_s < _RECENT_CRASH_S
        }
        return frozenset(self._crashes)

    def record_report(
        self,
        session: worker_session.WorkerSession,
        state: state_module.BatchState,
        now_s: float,
    ) -> None:
        """Records the progress of the tasks on a worker."""
        stats = self._stats_of(session.record.worker_id)
        progress = {}
        for run_id, running_task in session.running.items():
            located = state.task(running_task.task)
            if located is None or located[1].definition.long_running:
                continue
            if located[1].definition.gang:
                continue
            percent = running_task.percent
            known = stats.progress.get(run_id)
            if known is None:
                estimate_s = located[1].definition.estimated_ms / _MS_PER_S
                known = _Progress(
                    percent, now_s, estimate_s / _PERCENT, percent, now_s
                )
            known.update(percent, now_s)
            progress[run_id] = known
        stats.progress = progress
        stats.last_report_s = now_s

    def stuck_runs(self, worker_id: str) -> list[tuple[model.TaskKey, int]]:
        """Returns the runs without progress for longer than the limit.

        Only time between reports counts: without reports from a worker nothing
        is known of its tasks.
        """
        stats = self._stats.get(worker_id)
        if stats is None:
            return []
        changed_before_s = stats.last_report_s - _STUCK_S
        return [
            run_id
            for run_id, progress in stats.progress.items()
            # Nearly all runs have made progress lately.
            if progress.since_s < changed_before_s
            and stats.last_report_s - progress.since_s
            > self._allowed_s(run_id[0], progress)
        ]

    def record_stuck(self, task: model.TaskKey) -> None:
        """Records that a task's run is stopped because it is stuck."""
        count = self._stuck_counts.get(task, 0) + 1
        self._stuck_counts[task] = min(count, _MAX_STUCK_DOUBLINGS)

    def _allowed_s(self, task: model.TaskKey, progress: _Progress) -> float:
        """Returns for how long a run may make no progress."""
        allowed_s = max(_STUCK_S, _STUCK_PERCENTS * progress.percent_s)
        return allowed_s * 2 ** self._stuck_counts.get(task, 0)

    def is_ejected(self, worker_id: str, now_s: float) -> bool:
        """Whether a worker must not get tasks now."""
        stats = self._stats.get(worker_id)
        return stats is not None and now_s < stats.ejected_until_s

    def penalty(self, worker_id: str) -> float:
        """Returns the rank penalty of a worker for recent failures."""
        stats = self._stats.get(worker_id)
        return 0.0 if stats is None else stats.penalty

    def _stats_of(self, worker_id: str) -> _WorkerStats:
        return self._stats.setdefault(worker_id, _WorkerStats())
