"""Runs that a draining worker will not finish before it is gone.

Designed for instances that are taken away at short notice: a run that is
stopped at once resumes elsewhere, while one that is still there at the end is
lost, and its job waits until the loss is noticed.
"""

from collections.abc import Iterator

from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.workers import worker_session

__all__ = ["Departures"]

_MS_PER_S = 1000
_PERCENT = 100
# From this progress on, a run's own speed says more than its estimate.
_MIN_PERCENT = 10
# A run that is expected to end this much too late may still end in time, as
# estimates are rough and workers often stay a little longer than announced.
_TOLERANCE_S = 0.3


class Departures:
    """Announced departures of draining workers, during one leader's term."""

    def __init__(self) -> None:
        """Creates a record without departures."""
        self._gone_at_s: dict[str, float] = {}

    def record_notice(
        self, worker_id: str, remaining_ms: int, now_s: float
    ) -> None:
        """Records how long a draining worker stays at least."""
        self._gone_at_s[worker_id] = now_s + remaining_ms / _MS_PER_S

    def forget_ended(self, state: state_module.BatchState) -> None:
        """Removes the departures of workers that have ended."""
        for worker_id in self._gone_at_s.keys() - state.workers.keys():
            del self._gone_at_s[worker_id]

    def unfinishable_runs(
        self,
        session: worker_session.WorkerSession,
        state: state_module.BatchState,
        now_s: float,
    ) -> Iterator[tuple[model.TaskKey, int]]:
        """Yields the runs that should be stopped to start again elsewhere.

        Members of a gang are left alone, because stopping one ends all.
        """
        gone_at_s = self._gone_at_s.get(session.record.worker_id)
        for (key, run), running in session.running.items():
            located = state.task(key)
            if located is None or located[1].definition.gang:
                continue
            definition = located[1].definition
            if definition.long_running:
                yield key, run
                continue
            if gone_at_s is None:
                continue
            started_s = session.started_s(key, run)
            duration_s = definition.estimated_ms / _MS_PER_S
            if started_s is not None and running.percent >= _MIN_PERCENT:
                elapsed_s = session.reported_s - started_s
                duration_s = elapsed_s * _PERCENT / running.percent
            remaining_s = duration_s * (1 - running.percent / _PERCENT)
            if session.reported_s + remaining_s > gone_at_s + _TOLERANCE_S:
                yield key, run
