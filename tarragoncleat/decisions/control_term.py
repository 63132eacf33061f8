"""One leader's term: what it knows about the workers, and its decisions."""

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
from tarragoncleat.decisions import stuck_pools
from tarragoncleat.decisions import usage
from tarragoncleat.decisions import worker_client
from tarragoncleat.decisions import worker_leases
from tarragoncleat.decisions import worker_messages
from tarragoncleat.decisions import worker_visits
from tarragoncleat.decisions import worker_watch
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
_MAX_REMEMBERED_DENIALS = 50_000

_STATE_AFTER = {
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
        client: worker_client.PlatformClient,
        since_s: float,
        on_news: Callable[[], None],
    ) -> None:
        """Starts a term.

        Args:
            configuration: Settings of the entry.
            fleet: The committed state.
            replication: Where commands are proposed.
            clock: Clocks.
            client: Calls the workers.
            since_s: Monotonic time since when this process leads.
            on_news: Called when a report may allow a new decision.
        """
        limits = configuration.controller
        wait_ms = (
            limits.lease_ms
            + limits.lease_margin_ms
            + configuration.consensus.election_timeout_max_ms
        )
        self._since_s = since_s
        self._decide_after_s = since_s + wait_ms / _MS_PER_S
        self._fleet = fleet
        self._clock = clock
        self._proposer = command_proposals.Proposer(configuration, replication)
        self._proposal_limiter = anyio.CapacityLimiter(_PARALLEL_PROPOSALS)
        self._leases = worker_leases.WorkerLeases(limits, self._decide_after_s)
        self._visits = worker_visits.WorkerVisits(
            limits,
            client,
            clock,
            self._leases,
            lambda: replication.is_leader,
            on_news,
        )
        self._index = fleet_view.FleetIndex()
        self._model = usage.UsageModel()
        self._watch = worker_watch.WorkerWatch(
            limits, self._leases, self._visits.statuses, self._model
        )
        objectives = configuration.objectives
        self._planner = planner.WavePlanner(objectives)
        self._balancer = balancer.Balancer(objectives)
        self._stuck = stuck_pools.StuckPools(objectives)
        self._placer = placer.Placer(self._model)
        self._denied: dict[ids.JobId, None] = {}

    @property
    def since_s(self) -> float:
        """Monotonic time since when this process leads."""
        return self._since_s

    def dump(self) -> dict:
        """Returns counts for the state dump."""
        statuses = self._visits.statuses.values()
        return {
            "decides": self._clock.monotonic_s() >= self._decide_after_s,
            "workers": len(self._visits.statuses),
            "workers_reporting": sum(s.report is not None for s in statuses),
            "visits_under_way": sum(s.is_busy for s in statuses),
        }

    def start_visits(self, group: anyio.abc.TaskGroup) -> None:
        """Starts the visits that are due."""
        view = self._index.refresh(self._fleet)
        self._visits.start_due(group, view, self._fleet.jobs)

    async def decide(self, group: anyio.abc.TaskGroup) -> None:
        """Records what was observed, then decides; one round."""
        if self._clock.monotonic_s() < self._decide_after_s:
            # New work needs no knowledge of the previous leader's leases.
            await self._place_jobs()
            self.start_visits(group)
            return
        await self._record_observations()
        await self._step_waves()
        await self._move_instances()
        await self._place_jobs()
        self.start_visits(group)

    async def _record_observations(self) -> None:
        view = self._index.refresh(self._fleet)
        found = self._watch.observe(
            view, self._clock.monotonic_s(), self._clock.wall_time_ms()
        )
        await self._record_jobs(found.job_changes)
        async with anyio.create_task_group() as group:
            for change in found.instance_changes:
                group.start_soon(self._record_instance, change)

    async def _record_instance(self, change: Any) -> None:
        async with self._proposal_limiter:
            result = await self._proposer.propose(change)
        if isinstance(result, errors.Failure):
            return
        self._visits.wake([change.instance_id])
        if isinstance(change, commands.RecordInstanceState):
            loguru.logger.info(
                "instance {} is {}: {}",
                change.instance_id,
                change.state.value,
                change.cause,
            )

    async def _record_jobs(self, changes: Sequence[commands.JobChange]) -> bool:
        for start in range(0, len(changes), _JOBS_PER_RECORD):
            part = tuple(changes[start : start + _JOBS_PER_RECORD])
            result = await self._proposer.propose(
                commands.RecordJobStates(part)
            )
            if isinstance(result, errors.Failure):
                return False
        return True

    async def _step_waves(self) -> None:
        view = self._index.refresh(self._fleet)
        now_ms = self._clock.wall_time_ms()
        now_s = self._clock.monotonic_s()
        lost = self._watch.update_lost(view, now_ms)
        steps = self._planner.plan(
            view,
            now_ms,
            lost,
            lambda instance: self._watch.is_back(instance, now_s),
        )
        self._stuck.keep_only([step.wave_id for step in steps])
        for step in steps:
            self._stuck.note(step, now_ms)
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
            if command_proposals.was_not_committed(result):
                return
            self._visits.wake(step.take)

    async def _move_instances(self) -> None:
        view = self._index.refresh(self._fleet)
        now_ms = self._clock.wall_time_ms()
        moves = self._balancer.balance(
            view,
            now_ms,
            self._watch.update_lost(view, now_ms),
            self._stuck.wanted(now_ms),
        )
        for move in moves:
            command = commands.MoveInstance(move.instance_id, move.to_pool)
            result = await self._proposer.propose(command)
            if command_proposals.was_not_committed(result):
                return
            self._visits.wake([move.instance_id])

    async def _place_jobs(self) -> None:
        view = self._index.refresh(self._fleet)
        now_s = self._clock.monotonic_s()
        decision = self._placer.place(
            view,
            self._clock.wall_time_ms(),
            lambda instance: self._is_ready(instance, now_s),
            self._held_jobs(view, now_s),
        )
        await self._record_unplaceable(decision.unplaceable)
        if not await self._interrupt(decision.interruptions):
            return
        placements = tuple(
            commands.JobPlacement(item.job_id, item.instance_id, item.size)
            for item in decision.placements
        )
        for start in range(0, len(placements), _JOBS_PER_RECORD):
            part = placements[start : start + _JOBS_PER_RECORD]
            result = await self._proposer.propose(commands.PlaceJobs(part))
            if command_proposals.was_not_committed(result):
                return
        self._visits.wake({item.instance_id for item in decision.placements})
        await self._record_denials(decision.waiting)

    def _is_ready(self, instance: pools.Instance, now_s: float) -> bool:
        return self._leases.is_held(instance.instance_id, instance.fence, now_s)

    def _held_jobs(
        self, view: fleet_view.FleetView, now_s: float
    ) -> Collection[ids.JobId]:
        """Returns waiting jobs whose earlier task may still run."""
        placed_before = {
            job.job_id
            for pool in view.pools.values()
            for job in pool.waiting
            if job.attempt
        }
        # Until the previous leader's leases have ended, a worker that has not
        # reported yet may run any of them.
        if not placed_before or now_s < self._decide_after_s:
            return placed_before
        held = set()
        for name, status in self._visits.statuses.items():
            if self._leases.has_ended(name, now_s):
                continue
            for task_id in status.active_tasks():
                named = worker_messages.job_of_task(task_id)
                if named is not None:
                    held.add(named[0])
        return held

    async def _interrupt(
        self, interruptions: Sequence[preemption.Interruption]
    ) -> bool:
        changes = [
            commands.JobChange(
                item.job.job_id,
                item.job.attempt,
                _STATE_AFTER[item.action],
                f"{item.action.value}: room for urgent job {item.cause}",
            )
            for item in interruptions
        ]
        return await self._record_jobs(changes)

    async def _record_unplaceable(self, notes: Sequence[placer.Note]) -> None:
        changes = [
            commands.JobChange(
                note.job.job_id,
                note.job.attempt,
                jobs.JobState.UNPLACEABLE,
                note.reason,
            )
            for note in notes
        ]
        await self._record_jobs(changes)

    async def _record_denials(self, notes: Sequence[placer.Note]) -> None:
        """Records once for each job that it has to wait, and why."""
        fresh = [n for n in notes if n.job.job_id not in self._denied]
        if not fresh:
            return
        denials = tuple(
            commands.Denial(
                note.job.service_id, note.reason, job_id=note.job.job_id
            )
            for note in fresh
        )
        result = await self._proposer.propose(commands.RecordDenials(denials))
        if isinstance(result, errors.Failure):
            return
        self._denied.update(dict.fromkeys(n.job.job_id for n in fresh))
        while len(self._denied) > _MAX_REMEMBERED_DENIALS:
            del self._denied[next(iter(self._denied))]
