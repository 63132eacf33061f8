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
_STUCK_S = 2.5
_FAILURE_PENALTY = 1.0
_RECENT_CRASH_S = 30.0


@dataclasses.dataclass(slots=True)
class _WorkerStats:
    """Recent results of one worker.

    `progress` holds for each run its percentage and the time since which it is
    unchanged; `ejection_s` is the length of the next ejection, and `penalty`
    is the rank penalty for recent failures.
    """

    recent_ends: deque[tuple[bool, str]] = dataclasses.field(
        default_factory=lambda: deque(maxlen=_MAX_RECENT_ENDS)
    )
    penalty: float = 0.0
    ejected_until_s: float = 0.0
    last_report_s: float = 0.0
    ejection_s: float = _EJECTION_S
    progress: dict[tuple[model.TaskKey, int], tuple[int, float]] = (
        dataclasses.field(default_factory=dict)
    )


class WorkerHealth:
    """Tracks the health of workers during one leader's term."""

    def __init__(self) -> None:
        """Creates a tracker that considers every worker healthy."""
        self._stats: dict[str, _WorkerStats] = {}
        # When a worker ended last, by instance.
        self._crashes: dict[str, float] = {}

    def record_end(self, run_end: commands.RunEnd, now_s: float) -> None:
        """Records the end of a run; may eject the worker."""
        is_failure = run_end.ending is commands.Ending.FAILED
        if not is_failure and run_end.ending is not commands.Ending.DONE:
            return
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
            previous = stats.progress.get(run_id)
            since_s = now_s
            if previous is not None and previous[0] == running_task.percent:
                since_s = previous[1]
            progress[run_id] = (running_task.percent, since_s)
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
        return [
            run_id
            for run_id, (_, since_s) in stats.progress.items()
            if stats.last_report_s - since_s > _STUCK_S
        ]

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
