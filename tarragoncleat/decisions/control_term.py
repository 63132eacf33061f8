"""The controller's state and decisions during one leader's term."""

from collections.abc import Callable, Collection, Sequence
from typing import Any

import anyio
import anyio.abc
import loguru

from tarragoncleat.decisions import balancer
from tarragoncleat.decisions import command_proposals
from tarragoncleat.decisions import fleet_view
from tarragoncleat.decisions import placer
from tarragoncleat.decisions import planner
from tarragoncleat.decisions import preemption
from tarragoncleat.decisions import usage
from tarragoncleat.decisions import wave_capacity_requests
from tarragoncleat.decisions import worker_client
from tarragoncleat.decisions import worker_leases
from tarragoncleat.decisions import worker_messages
from tarragoncleat.decisions import worker_monitor
from tarragoncleat.decisions import worker_reconciler
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.kernel import timer
from tarragoncleat.state import commands
from tarragoncleat.state import jobs
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = ["Term"]

_MS_PER_S = 1000
_PARALLEL_PROPOSALS = 32
# Keeps a record well below the frame limit of 8 MiB.
_JOBS_PER_RECORD = 2_000
_MAX_DENIED_JOBS = 50_000

_STATE_AFTER_INTERRUPTION = {
    profiles.Interruption.CHECKPOINT: jobs.JobState.CHECKPOINTED,
    profiles.Interruption.THROTTLE: jobs.JobState.THROTTLED,
    profiles.Interruption.STOP: jobs.JobState.QUEUED,
}


class Term:
    """The controller's state while this process leads."""

    def __init__(
        self,
        configuration: settings.Settings,
        fleet: fleet_view.FleetReader,
        replication: command_proposals.Replication,
        clock: timer.TimerService,
        client: worker_client.WorkerCalls,
        leader_since_s: float,
        on_report_change: Callable[[], None],
    ) -> None:
        """Creates the state of a new term.

        Args:
            configuration: Settings of the entry.
            fleet: The committed state.
            replication: Where commands are proposed.
            clock: Wall-clock and monotonic time.
            client: Calls the workers.
            leader_since_s: Monotonic time at which this process became leader.
            on_report_change: Called when a report may allow a new decision.
        """
        limits = configuration.controller
        previous_leases_ms = (
            limits.lease_ms
            + limits.lease_margin_ms
            + configuration.consensus.election_timeout_max_ms
        )
        self._leader_since_s = leader_since_s
        self._decide_after_s = leader_since_s + previous_leases_ms / _MS_PER_S
        self._fleet = fleet
        self._clock = clock
        self._proposer = command_proposals.Proposer(configuration, replication)
        self._proposal_limiter = anyio.CapacityLimiter(_PARALLEL_PROPOSALS)
        self._leases = worker_leases.WorkerLeases(limits, self._decide_after_s)
        self._reconciler = worker_reconciler.WorkerReconciler(
            limits,
            client,
            clock,
            self._leases,
            lambda: replication.is_leader,
            on_report_change,
        )
        self._index = fleet_view.FleetIndex()
        self._model = usage.UsageModel()
        self._monitor = worker_monitor.WorkerMonitor(
            limits, self._leases, self._reconciler.statuses, self._model
        )
        objectives = configuration.objectives
        self._planner = planner.WavePlanner(objectives)
        self._balancer = balancer.Balancer(objectives)
        self._capacity_requests = wave_capacity_requests.WaveCapacityRequests(
            objectives
        )
        self._placer = placer.Placer(self._model)
        self._denied_jobs: dict[ids.JobId, None] = {}

    @property
    def leader_since_s(self) -> float:
        """Monotonic time at which this process became leader."""
        return self._leader_since_s

    def dump(self) -> dict:
        """Returns counts for the state dump."""
        statuses = self._reconciler.statuses.values()
        return {
            "decides": self._clock.monotonic_s() >= self._decide_after_s,
            "workers": len(self._reconciler.statuses),
            "workers_reporting": sum(s.report is not None for s in statuses),
            "visits_under_way": sum(s.is_reconciling for s in statuses),
        }

    def reconcile_due_workers(self, group: anyio.abc.TaskGroup) -> None:
        """Starts the reconciliation passes that are due."""
        view = self._index.refresh(self._fleet)
        self._reconciler.start_due(group, view, self._fleet.jobs)

    async def decide(self, group: anyio.abc.TaskGroup) -> None:
        """Runs one round: records the workers' changes, then decides."""
        if self._clock.monotonic_s() < self._decide_after_s:
            # New jobs don't depend on the previous leader's leases.
            await self._place_jobs()
            self.reconcile_due_workers(group)
            return
        await self._record_worker_changes()
        await self._step_waves()
        await self._move_instances()
        await self._place_jobs()
        self.reconcile_due_workers(group)

    async def _record_worker_changes(self) -> None:
        view = self._index.refresh(self._fleet)
        detected = self._monitor.detect_changes(
            view, self._clock.monotonic_s(), self._clock.wall_time_ms()
        )
        await self._record_job_changes(detected.job_changes)
        async with anyio.create_task_group() as group:
            for change in detected.instance_changes:
                group.start_soon(self._record_instance_change, change)

    async def _record_instance_change(self, change: Any) -> None:
        async with self._proposal_limiter:
            result = await self._proposer.propose(change)
        if isinstance(result, errors.Failure):
            return
        self._reconciler.schedule_now([change.instance_id])
        if isinstance(change, commands.RecordInstanceState):
            loguru.logger.info(
                "instance {} is {}: {}",
                change.instance_id,
                change.state.value,
                change.cause,
            )

    async def _record_job_changes(
        self, changes: Sequence[commands.JobChange]
    ) -> bool:
        for start in range(0, len(changes), _JOBS_PER_RECORD):
            chunk = tuple(changes[start : start + _JOBS_PER_RECORD])
            result = await self._proposer.propose(
                commands.RecordJobStates(chunk)
            )
            if isinstance(result, errors.Failure):
                return False
        return True

    async def _step_waves(self) -> None:
        view = self._index.refresh(self._fleet)
        now_ms = self._clock.wall_time_ms()
        now_s = self._clock.monotonic_s()
        lost = self._monitor.update_lost_since(view, now_ms)
        steps = self._planner.plan(
            view,
            now_ms,
            lost,
            lambda instance: self._monitor.can_return_to_service(
                instance, now_s
            ),
        )
        self._capacity_requests.retain_waves([step.wave_id for step in steps])
        for step in steps:
            self._capacity_requests.update(step, now_ms)
            wave = view.waves[step.wave_id]
            if step.is_empty and step.blocked_by == wave.blocked_by:
                continue
            result = await self._proposer.propose(
                commands.StepWave(
                    step.wave_id,
                    step.take,
                    step.finish,
                    step.skip,
                    step.blocked_by,
                )
            )
            if command_proposals.is_log_unavailable(result):
                return
            self._reconciler.schedule_now(step.take)

    async def _move_instances(self) -> None:
        view = self._index.refresh(self._fleet)
        now_ms = self._clock.wall_time_ms()
        moves = self._balancer.balance(
            view,
            now_ms,
            self._monitor.update_lost_since(view, now_ms),
            self._capacity_requests.due(now_ms),
        )
        for move in moves:
            command = commands.MoveInstance(move.instance_id, move.to_pool)
            result = await self._proposer.propose(command)
            if command_proposals.is_log_unavailable(result):
                return
            self._reconciler.schedule_now([move.instance_id])

    async def _place_jobs(self) -> None:
        view = self._index.refresh(self._fleet)
        now_s = self._clock.monotonic_s()
        decision = self._placer.place(
            view,
            self._clock.wall_time_ms(),
            lambda instance: self._holds_lease(instance, now_s),
            self._possibly_running_jobs(view, now_s),
        )
        await self._record_unplaceable(decision.unplaceable)
        if not await self._record_interruptions(decision.interruptions):
            return
        placements = tuple(
            commands.JobPlacement(item.job_id, item.instance_id, item.size)
            for item in decision.placements
        )
        for start in range(0, len(placements), _JOBS_PER_RECORD):
            chunk = placements[start : start + _JOBS_PER_RECORD]
            result = await self._proposer.propose(commands.PlaceJobs(chunk))
            if command_proposals.is_log_unavailable(result):
                return
        self._reconciler.schedule_now(
            {item.instance_id for item in decision.placements}
        )
        await self._record_denials(decision.waiting)

    def _holds_lease(self, instance: pools.Instance, now_s: float) -> bool:
        return self._leases.is_held(instance.instance_id, instance.fence, now_s)

    def _possibly_running_jobs(
        self, view: fleet_view.FleetView, now_s: float
    ) -> Collection[ids.JobId]:
        """Returns waiting jobs of which an earlier task may still run."""
        placed_before = {
            job.job_id
            for pool in view.pools.values()
            for job in pool.waiting
            if job.attempt
        }
        # Until the previous leader's leases have ended, any of them may still
        # run on a worker that has not reported yet.
        if not placed_before or now_s < self._decide_after_s:
            return placed_before
        possibly_running = set()
        for name, status in self._reconciler.statuses.items():
            if self._leases.has_ended(name, now_s):
                continue
            for task_id in status.active_tasks():
                job_and_attempt = worker_messages.job_of_task(task_id)
                if job_and_attempt is not None:
                    possibly_running.add(job_and_attempt[0])
        return possibly_running

    async def _record_interruptions(
        self, interruptions: Sequence[preemption.Interruption]
    ) -> bool:
        changes = [
            commands.JobChange(
                item.job.job_id,
                item.job.attempt,
                _STATE_AFTER_INTERRUPTION[item.action],
                f"{item.action.value}: room for urgent job {item.cause}",
            )
            for item in interruptions
        ]
        return await self._record_job_changes(changes)

    async def _record_unplaceable(
        self, unplaced: Sequence[placer.UnplacedJob]
    ) -> None:
        changes = [
            commands.JobChange(
                item.job.job_id,
                item.job.attempt,
                jobs.JobState.UNPLACEABLE,
                item.reason,
            )
            for item in unplaced
        ]
        await self._record_job_changes(changes)

    async def _record_denials(
        self, unplaced: Sequence[placer.UnplacedJob]
    ) -> None:
        """Records the reason why a job has to wait, once for each job."""
        unrecorded = [
            item
            for item in unplaced
            if item.job.job_id not in self._denied_jobs
        ]
        if not unrecorded:
            return
        denials = tuple(
            commands.Denial(
                item.job.service_id, item.reason, job_id=item.job.job_id
            )
            for item in unrecorded
        )
        result = await self._proposer.propose(commands.RecordDenials(denials))
        if isinstance(result, errors.Failure):
            return
        self._denied_jobs.update(
            dict.fromkeys(item.job.job_id for item in unrecorded)
        )
        while len(self._denied_jobs) > _MAX_DENIED_JOBS:
            del self._denied_jobs[next(iter(self._denied_jobs))]
