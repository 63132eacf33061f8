"""Reconciles each worker with the committed state.

A pass over one worker reads its report, renews its lease and makes the calls
that the committed state requires. Passes run concurrently up to a limit, and
never two for the same worker. The result is kept as a `WorkerStatus`.
"""

from collections.abc import Callable, Collection, Iterator, Mapping
import dataclasses
import functools

import anyio
import anyio.abc
import loguru

from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import worker_actions
from tarragoncleat.decisions import worker_client
from tarragoncleat.decisions import worker_leases
from tarragoncleat.decisions import worker_messages
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.kernel import timer
from tarragoncleat.state import jobs
from tarragoncleat.state import pools

__all__ = ["WorkerReconciler", "WorkerStatus"]

_MS_PER_S = 1000
# An unanswered report request is retried well before the lease ends.
_RETRY_INTERVAL_S = 1.0
_TRANSITIONAL_STATES = frozenset(
    {
        pools.InstanceState.DRAINING,
        pools.InstanceState.IN_MAINTENANCE,
        pools.InstanceState.RETURNING,
    }
)
# Two passes may fail before a lease ends.
_PASSES_PER_LEASE = 3
_LOST_INTERVAL_LEASES = 1


@dataclasses.dataclass(slots=True)
class WorkerStatus:
    """What this leader knows about a worker.

    Attributes:
        instance: The committed instance at the start of the last pass.
        active: Jobs placed on it at that time.
        report: The last report, or None.
        reported_s: Monotonic time at which that report arrived; before the
            first report, when this leader first saw the worker.
        started_tasks: Tasks that were started after the report.
        completed_reboot_id: Action id of a reboot that the worker reported
            as done.
        due_s: When the next pass is due.
        is_reconciling: Whether a pass is running.
        is_unprocessed: Whether the last report is still to be evaluated.
        has_restarted: Whether the worker restarted since the last report that
            was evaluated.
    """

    instance: pools.Instance | None = None
    active: tuple[jobs.Job, ...] = ()
    report: worker_messages.Report | None = None
    reported_s: float = 0.0
    started_tasks: tuple[str, ...] = ()
    completed_reboot_id: str | None = None
    due_s: float = 0.0
    is_reconciling: bool = False
    is_unprocessed: bool = False
    has_restarted: bool = False

    def active_tasks(self) -> Iterator[str]:
        """Yields the ids of tasks that may occupy capacity of the worker."""
        yield from self.started_tasks
        if self.report is not None:
            for task in self.report.tasks:
                if task.state.is_active:
                    yield task.task_id


class WorkerReconciler:
    """Runs periodic reconciliation passes over all workers of the fleet."""

    def __init__(
        self,
        limits: settings.ControllerSettings,
        client: worker_client.WorkerCalls,
        clock: timer.TimerService,
        leases: worker_leases.WorkerLeases,
        is_leader: Callable[[], bool],
        on_report_change: Callable[[], None],
    ) -> None:
        """Creates the reconciler for one leader's term.

        Args:
            limits: Lease length, intervals and parallelism.
            client: Calls the workers.
            clock: Monotonic time.
            leases: Bounds on the leases, updated with each renewal.
            is_leader: Checked before each call that changes a worker, so that
                a deposed leader stops at once.
            on_report_change: Called when a report may allow a new decision.
        """
        self._client = client
        self._clock = clock
        self._leases = leases
        self._is_leader = is_leader
        self._on_report_change = on_report_change
        self._limiter = anyio.CapacityLimiter(limits.parallel_calls)
        lease_s = limits.lease_ms / _MS_PER_S
        self._interval_s = lease_s / _PASSES_PER_LEASE
        self._transitional_interval_s = limits.interval_ms / _MS_PER_S
        self._lost_interval_s = lease_s * _LOST_INTERVAL_LEASES
        self._statuses: dict[ids.InstanceId, WorkerStatus] = {}
        self._jobs: Mapping[ids.JobId, jobs.Job] = {}

    @property
    def statuses(self) -> Mapping[ids.InstanceId, WorkerStatus]:
        """What is known about each worker."""
        return self._statuses

    def schedule_now(self, instance_ids: Collection[ids.InstanceId]) -> None:
        """Makes passes due now, after a change to the workers was recorded."""
        for name in instance_ids:
            if name in self._statuses:
                self._statuses[name].due_s = 0.0

    def start_due(
        self,
        group: anyio.abc.TaskGroup,
        view: fleet_view.FleetView,
        jobs_by_id: Mapping[ids.JobId, jobs.Job],
    ) -> None:
        """Starts the passes that are due."""
        self._jobs = jobs_by_id
        self._drop_removed_workers(view)
        now_s = self._clock.monotonic_s()
        for name, instance in view.instances.items():
            status = self._statuses.get(name)
            if status is None:
                status = WorkerStatus(reported_s=now_s)
                self._statuses[name] = status
            if status.is_reconciling or status.due_s > now_s:
                continue
            status.is_reconciling = True
            active = view.pools[instance.pool_id].active.get(name, ())
            group.start_soon(self._reconcile, status, instance, active)

    def _drop_removed_workers(self, view: fleet_view.FleetView) -> None:
        if len(self._statuses) <= len(view.instances):
            return
        for name in self._statuses.keys() - view.instances.keys():
            del self._statuses[name]
            self._leases.remove(name)

    async def _reconcile(
        self,
        status: WorkerStatus,
        instance: pools.Instance,
        active: tuple[jobs.Job, ...],
    ) -> None:
        started_s = self._clock.monotonic_s()
        interval_s = self._interval_s
        if instance.state is pools.InstanceState.LOST:
            interval_s = self._lost_interval_s
        elif instance.state in _TRANSITIONAL_STATES:
            # A wave waits for the next report of the instances that it drains.
            interval_s = self._transitional_interval_s
        status.due_s = started_s + interval_s
        reported_s = status.reported_s
        try:
            async with self._limiter:
                await self._run_pass(status, instance, active)
        finally:
            status.is_reconciling = False
        is_lost = instance.state is pools.InstanceState.LOST
        if status.reported_s == reported_s and not is_lost:
            retry_s = self._clock.monotonic_s() + _RETRY_INTERVAL_S
            status.due_s = min(status.due_s, retry_s)

    async def _run_pass(
        self,
        status: WorkerStatus,
        instance: pools.Instance,
        active: tuple[jobs.Job, ...],
    ) -> None:
        requested_s = self._clock.monotonic_s()
        report = await self._client.read_report(instance.address)
        if isinstance(report, errors.Failure):
            self._log_failure(instance, "report", report)
            return
        if report.instance_id != instance.instance_id:
            loguru.logger.warning(
                "worker at {} reports instance id {}; expected {}",
                instance.address,
                report.instance_id,
                instance.instance_id,
            )
            return
        received_s = self._clock.monotonic_s()
        if worker_actions.needs_lease(instance, report):
            await self._renew_lease(instance, report, requested_s, received_s)
        is_changed = _has_changed(status.report, report)
        if status.report is not None:
            status.has_restarted |= status.report.boot_id != report.boot_id
        status.started_tasks = ()
        status.instance = instance
        status.active = active
        status.report = report
        status.reported_s = received_s
        status.is_unprocessed = True
        if is_changed:
            self._on_report_change()
        await self._make_calls(status, instance, active, report)

    async def _renew_lease(
        self,
        instance: pools.Instance,
        report: worker_messages.Report,
        requested_s: float,
        received_s: float,
    ) -> None:
        if not self._is_leader() or report.lease_has_ended(instance.fence):
            return
        name = instance.instance_id
        lease_until_ms = self._leases.begin_renewal(
            name, report.clock_ms, received_s
        )
        failure = await self._client.renew_lease(
            instance.address, instance.fence, lease_until_ms
        )
        if failure is None:
            self._leases.confirm_renewal(name, requested_s, instance.fence)
        else:
            self._log_failure(instance, "lease", failure)

    async def _make_calls(
        self,
        status: WorkerStatus,
        instance: pools.Instance,
        active: tuple[jobs.Job, ...],
        report: worker_messages.Report,
    ) -> None:
        for call in worker_actions.required_calls(
            instance, active, self._jobs, report
        ):
            if not self._is_leader():
                return
            if isinstance(call, worker_actions.StartTask):
                if not self._can_start(instance, call.task_id):
                    continue
                status.started_tasks = (*status.started_tasks, call.task_id)
            failure = await _perform(call, self._client, instance, status)
            if failure is not None:
                self._log_failure(instance, type(call).__name__, failure)
                return
            # Read the effect of the call without waiting for the interval.
            status.due_s = 0.0

    def _can_start(self, instance: pools.Instance, task_id: str) -> bool:
        """Checks the job again, because it may be cancelled during a pass."""
        job_and_attempt = worker_messages.job_of_task(task_id)
        job = (
            None
            if job_and_attempt is None
            else self._jobs.get(job_and_attempt[0])
        )
        if job is None or job.state is not jobs.JobState.PLACED:
            return False
        if worker_messages.task_id_of(job) != task_id:
            return False
        now_s = self._clock.monotonic_s()
        name = instance.instance_id
        return self._leases.is_held(name, instance.fence, now_s)

    def _log_failure(
        self, instance: pools.Instance, operation: str, failure: errors.Failure
    ) -> None:
        # A lost worker fails in every pass; its loss was logged already.
        level = (
            "DEBUG"
            if instance.state is pools.InstanceState.LOST
            or failure.kind is errors.ErrorKind.UPSTREAM_FAILED
            else "WARNING"
        )
        loguru.logger.log(
            level,
            "{} call to worker {} failed: {}",
            operation,
            instance.instance_id,
            failure.reason,
        )


@functools.singledispatch
async def _perform(
    call: worker_actions.Call,
    client: worker_client.WorkerCalls,
    instance: pools.Instance,
    status: WorkerStatus,
) -> errors.Failure | None:
    raise TypeError(f"unknown worker call: {type(call).__name__}")


@_perform.register
async def _start_task(
    call: worker_actions.StartTask,
    client: worker_client.WorkerCalls,
    instance: pools.Instance,
    status: WorkerStatus,
) -> errors.Failure | None:
    return await client.start_task(
        instance.address,
        call.task_id,
        instance.fence,
        call.demand,
        call.command,
    )


@_perform.register
async def _interrupt_task(
    call: worker_actions.InterruptTask,
    client: worker_client.WorkerCalls,
    instance: pools.Instance,
    status: WorkerStatus,
) -> errors.Failure | None:
    return await client.interrupt_task(
        instance.address, call.task_id, call.action, call.action_id
    )


@_perform.register
async def _set_draining(
    call: worker_actions.SetDraining,
    client: worker_client.WorkerCalls,
    instance: pools.Instance,
    status: WorkerStatus,
) -> errors.Failure | None:
    return await client.set_draining(
        instance.address, call.action_id, call.draining
    )


@_perform.register
async def _reboot(
    call: worker_actions.Reboot,
    client: worker_client.WorkerCalls,
    instance: pools.Instance,
    status: WorkerStatus,
) -> errors.Failure | None:
    status_of_reboot = await client.reboot(instance.address, call.action_id)
    if isinstance(status_of_reboot, errors.Failure):
        return status_of_reboot
    if status_of_reboot.done:
        status.completed_reboot_id = status_of_reboot.action_id
    return None


def _has_changed(
    old: worker_messages.Report | None, new: worker_messages.Report
) -> bool:
    """Returns whether anything but clocks and usage differs."""
    if old is None or old.boot_id != new.boot_id:
        return True
    if old.draining != new.draining or old.fence != new.fence:
        return True
    return _task_states(old) != _task_states(new)


def _task_states(report: worker_messages.Report) -> dict[str, object]:
    return {task.task_id: task.state for task in report.tasks}
