"""Turns what the visits found into changes to record.

It also counts failures for the quarantine, feeds the usage model, and keeps
since when each instance has been in its state, as this leader saw it.
"""

from collections.abc import Mapping
import dataclasses

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import observations
from tarragoncleat.decisions import quarantine
from tarragoncleat.decisions import usage
from tarragoncleat.decisions import worker_leases
from tarragoncleat.decisions import worker_messages
from tarragoncleat.decisions import worker_visits
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import commands
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = ["Observed", "WorkerWatch"]

_MS_PER_S = 1000
_DEFAULT_MAX_OUT_S = 3600.0
_TIMED_STATES = frozenset(
    {pools.InstanceState.DRAINING, pools.InstanceState.IN_MAINTENANCE}
)

_InstanceChange = commands.RecordInstanceState | commands.SwitchPool


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """What to record: the job changes first, then the instance changes."""

    job_changes: tuple[commands.JobChange, ...]
    instance_changes: tuple[_InstanceChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Since:
    state: pools.InstanceState
    in_service_since_ms: int
    time_s: float

    def is_about(self, instance: pools.Instance) -> bool:
        return (
            self.state is instance.state
            and self.in_service_since_ms == instance.in_service_since_ms
        )


class WorkerWatch:
    """Examines the workers that were visited or fell silent."""

    def __init__(
        self,
        limits: settings.ControllerSettings,
        leases: worker_leases.WorkerLeases,
        statuses: Mapping[ids.InstanceId, worker_visits.WorkerStatus],
        model: usage.UsageModel,
    ) -> None:
        """Creates the watch of one term."""
        self._drain_timeout_s = limits.drain_timeout_ms / _MS_PER_S
        self._silence_s = limits.lease_ms / _MS_PER_S
        self._leases = leases
        self._statuses = statuses
        self._model = model
        self._streaks = quarantine.FailureStreaks(limits)
        self._since: dict[ids.InstanceId, _Since] = {}
        self._lost_since_ms: dict[ids.InstanceId, int] = {}

    def observe(
        self, view: fleet_view.FleetView, now_s: float, now_ms: int
    ) -> Observed:
        """Returns what the workers showed since the last call.

        Args:
            view: The fleet.
            now_s: Monotonic time, for leases.
            now_ms: Time since the epoch, for run times.
        """
        job_changes: list[commands.JobChange] = []
        instance_changes: list[_InstanceChange] = []
        silent_since_s = now_s - self._silence_s
        for name, status in self._statuses.items():
            instance = view.instances.get(name)
            if instance is None:
                continue
            if (
                not status.is_new
                and status.reported_s > silent_since_s
                and instance.state not in _TIMED_STATES
            ):
                continue
            seen = self._seen(instance, status, now_s)
            change = observations.instance_change(
                instance,
                _wave_of(view, instance),
                seen,
                _max_out_s(view, instance),
            )
            if change is not None:
                instance_changes.append(change)
            if status.is_new:
                job_changes.extend(
                    self._examine(view, instance, status, seen, now_ms)
                )
                status.is_new = False
        instance_changes.extend(
            commands.RecordInstanceState(
                instance.instance_id,
                pools.InstanceState.QUARANTINED,
                "every task failed",
                instance.revision,
            )
            for instance in self._streaks.due(view)
        )
        return Observed(tuple(job_changes), tuple(instance_changes))

    def is_back(self, instance: pools.Instance, now_s: float) -> bool:
        """Tells whether a returning instance can serve again."""
        status = self._statuses.get(instance.instance_id)
        if status is None:
            return False
        return observations.is_back(
            instance, self._seen(instance, status, now_s)
        )

    def update_lost(
        self, view: fleet_view.FleetView, now_ms: int
    ) -> Mapping[ids.InstanceId, int]:
        """Returns since when each lost instance has been seen lost."""
        known = self._lost_since_ms
        self._lost_since_ms = {
            name: known.get(name, now_ms) for name in view.lost
        }
        return self._lost_since_ms

    def _seen(
        self,
        instance: pools.Instance,
        status: worker_visits.WorkerStatus,
        now_s: float,
    ) -> observations.Seen:
        name = instance.instance_id
        reboot_id = worker_messages.reboot_action_id(instance)
        return observations.Seen(
            status.report,
            status.instance is instance,
            self._leases.is_held(name, instance.fence, now_s),
            self._leases.has_ended(name, now_s),
            now_s - status.reported_s > self._silence_s,
            status.reboot_done == reboot_id,
            self._state_age_s(instance, now_s),
        )

    def _state_age_s(self, instance: pools.Instance, now_s: float) -> float:
        if instance.state not in _TIMED_STATES:
            return 0.0
        since = self._since.get(instance.instance_id)
        if since is None or not since.is_about(instance):
            since = _Since(instance.state, instance.in_service_since_ms, now_s)
            self._since[instance.instance_id] = since
        return now_s - since.time_s

    def _examine(
        self,
        view: fleet_view.FleetView,
        instance: pools.Instance,
        status: worker_visits.WorkerStatus,
        seen: observations.Seen,
        now_ms: int,
    ) -> list[commands.JobChange]:
        assert status.report is not None
        pool = view.pools[instance.pool_id]
        active = pool.active.get(instance.instance_id, ())
        self._learn(active, status.report, now_ms)
        changes = {
            change.job_id: change
            for change in observations.job_changes(
                active, status.active, status.report
            )
        }
        self._count_results(instance, active, changes)
        if instance.state is pools.InstanceState.DRAINING:
            overdue = seen.state_age_s > self._drain_timeout_s
            actions = _actions(pool)
            for change in observations.drain_changes(active, actions, overdue):
                changes.setdefault(change.job_id, change)
        return list(changes.values())

    def _learn(
        self,
        active: tuple[jobs.Job, ...],
        report: worker_messages.Report,
        now_ms: int,
    ) -> None:
        by_task = {worker_messages.task_id_of(job): job for job in active}
        for task in report.tasks:
            job = by_task.get(task.task_id)
            if job is None:
                continue
            self._model.observe(
                job, task.task_id, task.cores_used, task.memory_mb_used
            )
            if task.exit == 0 and job.started_at_ms:
                run_s = (now_ms - job.started_at_ms) / _MS_PER_S
                self._model.finish(job, task.task_id, run_s)

    def _count_results(
        self,
        instance: pools.Instance,
        active: tuple[jobs.Job, ...],
        changes: Mapping[ids.JobId, commands.JobChange],
    ) -> None:
        for job in active:
            change = changes.get(job.job_id)
            if change is None or not change.state.is_final:
                continue
            failed = change.state is jobs.JobState.FAILED
            self._streaks.record(instance.instance_id, job.job_id, failed)


def _wave_of(
    view: fleet_view.FleetView, instance: pools.Instance
) -> waves.Wave | None:
    if instance.wave_id is None:
        return None
    return view.waves.get(instance.wave_id)


def _max_out_s(view: fleet_view.FleetView, instance: pools.Instance) -> float:
    profile = view.pools[instance.pool_id].profile
    return (
        _DEFAULT_MAX_OUT_S if profile is None else profile.tolerance.max_out_s
    )


def _actions(
    pool: fleet_view.PoolView,
) -> tuple[profiles.Interruption, ...]:
    if pool.profile is None:
        return tuple(profiles.Interruption)
    return pool.profile.tolerance.actions
