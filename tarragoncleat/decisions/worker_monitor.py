"""Derives the state changes to record from the workers' reports.

It also counts failures for the quarantine, updates the usage model, and records
when this leader first saw each instance in its present state.
"""

from collections.abc import Mapping
import dataclasses

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import quarantine
from tarragoncleat.decisions import state_transitions
from tarragoncleat.decisions import usage
from tarragoncleat.decisions import worker_leases
from tarragoncleat.decisions import worker_messages
from tarragoncleat.decisions import worker_reconciler
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import commands
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = ["DetectedChanges", "WorkerMonitor"]

_MS_PER_S = 1000
_DEFAULT_MAX_OUT_S = 3600.0
_TIMED_STATES = frozenset(
    {pools.InstanceState.DRAINING, pools.InstanceState.IN_MAINTENANCE}
)

_InstanceChange = commands.RecordInstanceState | commands.SwitchPool


@dataclasses.dataclass(frozen=True, slots=True)
class DetectedChanges:
    """What to record: the job changes first, then the instance changes."""

    job_changes: tuple[commands.JobChange, ...]
    instance_changes: tuple[_InstanceChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _StateStart:
    state: pools.InstanceState
    in_service_since_ms: int
    time_s: float

    def matches(self, instance: pools.Instance) -> bool:
        return (
            self.state is instance.state
            and self.in_service_since_ms == instance.in_service_since_ms
        )


class WorkerMonitor:
    """Evaluates new reports and workers that have become unresponsive."""

    def __init__(
        self,
        limits: settings.ControllerSettings,
        leases: worker_leases.WorkerLeases,
        statuses: Mapping[ids.InstanceId, worker_reconciler.WorkerStatus],
        model: usage.UsageModel,
    ) -> None:
        """Creates the monitor for one leader's term."""
        self._drain_timeout_s = limits.drain_timeout_ms / _MS_PER_S
        self._unresponsive_after_s = limits.lease_ms / _MS_PER_S
        self._leases = leases
        self._statuses = statuses
        self._model = model
        self._streaks = quarantine.FailureStreaks(limits)
        self._state_starts: dict[ids.InstanceId, _StateStart] = {}
        self._lost_since_ms: dict[ids.InstanceId, int] = {}

    def detect_changes(
        self, view: fleet_view.FleetView, now_s: float, now_ms: int
    ) -> DetectedChanges:
        """Returns the changes since the last call.

        Args:
            view: The fleet.
            now_s: Monotonic time, for leases.
            now_ms: Time since the epoch, for run times.
        """
        job_changes: list[commands.JobChange] = []
        instance_changes: list[_InstanceChange] = []
        unresponsive_before_s = now_s - self._unresponsive_after_s
        for name, status in self._statuses.items():
            instance = view.instances.get(name)
            if instance is None:
                continue
            if (
                not status.is_unprocessed
                and status.reported_s > unresponsive_before_s
                and instance.state not in _TIMED_STATES
            ):
                continue
            observation = self._observation(instance, status, now_s)
            change = state_transitions.instance_change(
                instance,
                _wave_of(view, instance),
                observation,
                _max_out_s(view, instance),
            )
            if change is not None:
                instance_changes.append(change)
            if status.is_unprocessed:
                job_changes.extend(
                    self._process_report(
                        view, instance, status, observation, now_ms
                    )
                )
                status.is_unprocessed = False
                status.has_restarted = False
        instance_changes.extend(
            commands.RecordInstanceState(
                instance.instance_id,
                pools.InstanceState.QUARANTINED,
                "every task failed",
                instance.revision,
            )
            for instance in self._streaks.instances_to_quarantine(view)
        )
        return DetectedChanges(tuple(job_changes), tuple(instance_changes))

    def can_return_to_service(
        self, instance: pools.Instance, now_s: float
    ) -> bool:
        """Returns whether a returning instance can serve again."""
        status = self._statuses.get(instance.instance_id)
        if status is None:
            return False
        return state_transitions.can_return_to_service(
            instance, self._observation(instance, status, now_s)
        )

    def update_lost_since(
        self, view: fleet_view.FleetView, now_ms: int
    ) -> Mapping[ids.InstanceId, int]:
        """Returns when this leader first saw each lost instance as lost."""
        previous = self._lost_since_ms
        self._lost_since_ms = {
            name: previous.get(name, now_ms) for name in view.lost
        }
        return self._lost_since_ms

    def _observation(
        self,
        instance: pools.Instance,
        status: worker_reconciler.WorkerStatus,
        now_s: float,
    ) -> state_transitions.WorkerObservation:
        name = instance.instance_id
        reboot_id = worker_messages.reboot_action_id(instance)
        return state_transitions.WorkerObservation(
            status.report,
            status.instance is instance,
            self._leases.is_held(name, instance.fence, now_s),
            self._leases.has_ended(name, now_s),
            now_s - status.reported_s > self._unresponsive_after_s,
            status.completed_reboot_id == reboot_id,
            self._state_age_s(instance, now_s),
        )

    def _state_age_s(self, instance: pools.Instance, now_s: float) -> float:
        if instance.state not in _TIMED_STATES:
            return 0.0
        state_start = self._state_starts.get(instance.instance_id)
        if state_start is None or not state_start.matches(instance):
            state_start = _StateStart(
                instance.state, instance.in_service_since_ms, now_s
            )
            self._state_starts[instance.instance_id] = state_start
        return now_s - state_start.time_s

    def _process_report(
        self,
        view: fleet_view.FleetView,
        instance: pools.Instance,
        status: worker_reconciler.WorkerStatus,
        observation: state_transitions.WorkerObservation,
        now_ms: int,
    ) -> list[commands.JobChange]:
        assert status.report is not None
        pool = view.pools[instance.pool_id]
        active = pool.active.get(instance.instance_id, ())
        self._update_usage_model(active, status.report, now_ms)
        changes = {
            change.job_id: change
            for change in state_transitions.job_changes(
                active, status.active, status.report, status.has_restarted
            )
        }
        self._record_results(instance, active, changes)
        if instance.state is pools.InstanceState.DRAINING:
            overdue = observation.state_age_s > self._drain_timeout_s
            actions = _allowed_interruptions(pool)
            for change in state_transitions.drain_changes(
                active, actions, overdue
            ):
                changes.setdefault(change.job_id, change)
        return list(changes.values())

    def _update_usage_model(
        self,
        active: tuple[jobs.Job, ...],
        report: worker_messages.Report,
        now_ms: int,
    ) -> None:
        jobs_by_task = {worker_messages.task_id_of(job): job for job in active}
        for task in report.tasks:
            job = jobs_by_task.get(task.task_id)
            if job is None:
                continue
            self._model.record_usage(
                job, task.task_id, task.cores_used, task.memory_mb_used
            )
            if task.exit == 0 and job.started_at_ms:
                run_s = (now_ms - job.started_at_ms) / _MS_PER_S
                self._model.record_completion(job, task.task_id, run_s)

    def _record_results(
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


def _allowed_interruptions(
    pool: fleet_view.PoolView,
) -> tuple[profiles.Interruption, ...]:
    if pool.profile is None:
        return tuple(profiles.Interruption)
    return pool.profile.tolerance.actions
