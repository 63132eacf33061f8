"""Finds workers that fail, hang or refuse, from what they do.

Their heartbeats say nothing of this: a worker that fails every task it starts
would otherwise attract all work, because it is always free.
"""

from collections import deque
import dataclasses

from tarragoncleat.batch import commands
from tarragoncleat.batch import model
from tarragoncleat.batch import state as state_module
from tarragoncleat.batch import worker_session

__all__ = ["WorkerHealth"]

_RECENT_ENDS = 6
_FAILURES_TO_SHUT = 3
_SHUT_S = 4.0
_LONGEST_SHUT_S = 16.0
_REFUSAL_SHUT_S = 0.5
_STUCK_S = 2.5
_FAILURE_PENALTY = 1.0


@dataclasses.dataclass(slots=True)
class _Record:
    """What one worker did lately."""

    ends: deque[tuple[bool, str]] = dataclasses.field(
        default_factory=lambda: deque(maxlen=_RECENT_ENDS)
    )
    shut_until_s: float = 0.0
    reported_s: float = 0.0
    shut_s: float = _SHUT_S
    progress: dict[tuple[model.TaskKey, int], tuple[int, float]] = (
        dataclasses.field(default_factory=dict)
    )


class WorkerHealth:
    """Judges the workers of one leader's term."""

    def __init__(self) -> None:
        """Begins with a good opinion of every worker."""
        self._records: dict[str, _Record] = {}

    def note_end(self, row: commands.RunEnd, now_s: float) -> None:
        """Takes the end of a run."""
        is_failure = row.ending is commands.Ending.FAILED
        if not is_failure and row.ending is not commands.Ending.DONE:
            return
        record = self._record(row.worker_id)
        record.ends.append((is_failure, row.task.job_id))
        if not is_failure:
            record.shut_s = _SHUT_S
            return
        # One job may fail everywhere; several jobs point at the worker.
        jobs = {job_id for failed, job_id in record.ends if failed}
        fails_all = all(failed for failed, _ in record.ends)
        if fails_all and len(jobs) >= _FAILURES_TO_SHUT:
            record.shut_until_s = now_s + record.shut_s
            record.shut_s = min(2 * record.shut_s, _LONGEST_SHUT_S)

    def note_refusal(self, worker_id: str, now_s: float) -> None:
        """Takes the refusal of a start."""
        record = self._record(worker_id)
        until_s = now_s + _REFUSAL_SHUT_S
        record.shut_until_s = max(record.shut_until_s, until_s)

    def note_report(
        self,
        session: worker_session.WorkerSession,
        state: state_module.BatchState,
        now_s: float,
    ) -> None:
        """Takes the progress of the tasks on a worker."""
        record = self._record(session.record.worker_id)
        progress = {}
        for run_id, row in session.running.items():
            found = state.task(row.task)
            if found is None or found[1].definition.long_running:
                continue
            if found[1].definition.gang:
                continue
            before = record.progress.get(run_id)
            since_s = now_s
            if before is not None and before[0] == row.percent:
                since_s = before[1]
            progress[run_id] = (row.percent, since_s)
        record.progress = progress
        record.reported_s = now_s

    def stuck(self, worker_id: str) -> list[tuple[model.TaskKey, int]]:
        """Returns the runs that made no progress for too long.

        Only reports count: a worker that is silent says nothing of its tasks.
        """
        record = self._records.get(worker_id)
        if record is None:
            return []
        return [
            run_id
            for run_id, (_, since_s) in record.progress.items()
            if record.reported_s - since_s > _STUCK_S
        ]

    def is_shut(self, worker_id: str, now_s: float) -> bool:
        """Whether a worker should get nothing for now."""
        record = self._records.get(worker_id)
        return record is not None and now_s < record.shut_until_s

    def penalty(self, worker_id: str) -> float:
        """Returns how much other workers are preferred to this one."""
        record = self._records.get(worker_id)
        if record is None or not record.ends:
            return 0.0
        failures = sum(failed for failed, _ in record.ends)
        return _FAILURE_PENALTY * round(failures / len(record.ends))

    def _record(self, worker_id: str) -> _Record:
        return self._records.setdefault(worker_id, _Record())
