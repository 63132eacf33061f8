"""Runs the leader's loops: placement, worker sessions, waves and moves."""

from collections.abc import Callable
import math
from typing import Any

import anyio
import anyio.abc

from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import events
from tarragoncleat.batch.leader import admission
from tarragoncleat.batch.leader import customer_report
from tarragoncleat.batch.leader import worker_losses
from tarragoncleat.batch.pools import instance_orders
from tarragoncleat.batch.pools import pool_rebalancer
from tarragoncleat.batch.pools import pool_sizing
from tarragoncleat.batch.pools import wave_controller
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.replicated import worker_state
from tarragoncleat.batch.scheduling import advice
from tarragoncleat.batch.scheduling import job_order
from tarragoncleat.batch.scheduling import planner
from tarragoncleat.batch.scheduling import worker_views
from tarragoncleat.batch.workers import clients
from tarragoncleat.batch.workers import departures
from tarragoncleat.batch.workers import leases
from tarragoncleat.batch.workers import pacing
from tarragoncleat.batch.workers import run_ends
from tarragoncleat.batch.workers import session_registry
from tarragoncleat.batch.workers import worker_health
from tarragoncleat.batch.workers import worker_session
from tarragoncleat.cluster import log_node
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module

__all__ = ["Dispatcher"]

_COMMIT_TIMEOUT_S = 3.0
_CHECK_INTERVAL_S = 0.25
# Changes that arrive within this time are planned in one round.
_MIN_ROUND_GAP_S = 0.003
# Pause after a round relative to its plan, which limits the share of the
# processor that plans take.
_ROUND_GAP_PLANS = 3
# A plan during which the process was suspended takes as long as that.
_MAX_ROUND_GAP_S = 0.02
_WAVE_INTERVAL_S = 0.2
_REBALANCE_INTERVAL_S = 0.1
_LOAD_LOG_INTERVAL_S = 1.0
_MS_PER_S = 1000


class Dispatcher:
    """Schedules tasks and manages workers during one leader's term."""

    def __init__(
        self,
        node: log_node.LogNode,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        bounds: bounds_module.Bounds,
        worker_client_factory: session_registry.WorkerClientFactory,
        instance_client: clients.InstanceClient,
        advisor_client: advice.AdvisorClient,
        holder: str,
    ) -> None:
        """Creates the dispatcher after the term's first record is committed.

        Args:
            node: The replicated log, which this node leads.
            state: The replicated state.
            timer: Clock.
            bounds: Limits of the deployment.
            worker_client_factory: Creates the client of a worker.
            instance_client: Client of the platform's instance interface.
            advisor_client: Client of the advisor.
            holder: Lease holder name of this node in instance requests.
        """
        self._node = node
        self._state = state
        self._timer = timer
        self._bounds = bounds
        self._fence = node.term
        self._max_unconfirmed_s = leases.max_unconfirmed_s(bounds.max_lease_ms)
        self._sessions = session_registry.SessionRegistry(
            state,
            timer,
            bounds,
            worker_client_factory,
            self,
            self._fence,
            self.notify_state_changed,
        )
        self._departures = departures.Departures()
        self._health = worker_health.WorkerHealth()
        self._losses = worker_losses.WorkerLosses(
            state, timer, self._health, self, self._start_soon
        )
        self._run_ends = run_ends.RunEndCommitter(
            self, self._health, timer, self.notify_state_changed
        )
        self._state_changed = anyio.Event()
        state.pop_ended_jobs()
        state.pop_crashes()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._approval_cache = advice.ApprovalCache(advisor_client, timer)
        self._view_cache = worker_views.ViewCache()
        self._planner = planner.Planner(
            state, self._approval_cache, bounds.controls_overload
        )
        self._held_jobs = customer_report.HeldJobs()
        self._waiting_log = admission.WaitingLog()
        self._views: dict[str, list[worker_views.WorkerView]] = {}
        self._demands: dict[str, pool_sizing.Demand] = {}
        orders = instance_orders.InstanceOrders(
            instance_client, holder, self._fence
        )
        self._rebalancer = pool_rebalancer.PoolRebalancer(
            state, timer, bounds, orders, self
        )
        self._wave_controller = wave_controller.WaveController(
            state, timer, bounds, orders, self
        )

    @property
    def sessions(self) -> worker_session.Sessions:
        """Sessions by worker."""
        return self._sessions.by_worker

    @property
    def term(self) -> int:
        """Term of this dispatcher."""
        return self._fence

    def supply(self, service: str) -> admission.Supply | None:
        """Returns a service's capacity, or None if nothing waits there."""
        coming = self._rebalancer.arriving_counts().get(service, 0)
        return admission.build_supply(
            service,
            self._state,
            self._demands,
            coming + self._rebalancer.spare_count,
            self._bounds.move_ms,
        )

    def notify_state_changed(self) -> None:
        """Triggers a placement round after a possible change of the state."""
        self._state_changed.set()

    async def run(self) -> None:
        """Runs all loops until cancelled at the end of the term."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._run_placement)
            tasks.start_soon(self._run_ends.run)
            tasks.start_soon(self._run_periodic_checks)
            tasks.start_soon(self._approval_cache.run)
            tasks.start_soon(self._run_wave_controller)
            tasks.start_soon(self._run_rebalancer)
            tasks.start_soon(self._run_load_log)

    async def commit(self, command: commands.Command) -> Any:
        """Replicates a command.

        Returns:
            `AppliedProposal`, or a `Failure` of the log.
        """
        return await self._node.propose(
            codec.encode(command), _COMMIT_TIMEOUT_S
        )

    async def commit_decision(self, command: commands.Command) -> Any:
        """Replicates a decision, and waits as long as its fate is not known.

        The next decision of its kind would otherwise be made on a state that
        lacks it, and both might be applied.

        Returns:
            `AppliedProposal`, or a `Failure` if it will never be applied or a
            snapshot has replaced its record.
        """
        return await self._node.propose(codec.encode(command), math.inf)

    async def confirm_leadership(self) -> bool:
        """Returns whether this node was the leader at the time of the call."""
        return await self._node.read_barrier()

    async def on_runs_ended(self, ends: list[commands.RunEnd]) -> bool:
        """Commits ended runs; returns whether they are stored."""
        return await self._run_ends.store(ends)

    def on_report(self, session: worker_session.WorkerSession) -> None:
        """Processes a report: worker states, health and pacing."""
        worker = self._state.workers.get(session.record.worker_id)
        if worker is None:
            return
        if worker.state is worker_state.WorkerState.LEASE_EXPIRED:
            # The session's record has the capacity of the registration.
            self._start_soon(
                self.commit, commands.RegisterWorker(worker.record)
            )
        self._losses.end_earlier_incarnations(session, self.sessions)
        now_s = self._timer.monotonic_s()
        self._health.record_report(session, self._state, now_s)
        for task, run, percent in pacing.speed_changes(session, self._state):
            session.pace(task, run, percent)
            event_log.emit(
                events.TaskPaced(str(task), session.record.worker_id, percent)
            )

    def on_worker_ended(self, session: worker_session.WorkerSession) -> None:
        """Marks a worker whose incarnation has ended as lost."""
        self._losses.end(session)

    def may_grant_lease(self, worker_id: str) -> bool:
        """Whether a worker may get a lease.

        Not while its loss is being stored, nor after a time in which another
        leader may have been elected.
        """
        is_confirmed = self._node.leadership_age_s() < self._max_unconfirmed_s
        return is_confirmed and not self._losses.is_pending(worker_id)

    def on_start_refused(
        self,
        session: worker_session.WorkerSession,
        task: model.TaskKey,
        outcome: clients.OrderOutcome,
    ) -> None:
        """Drops the refused ticket, or ejects the worker for a short time."""
        worker_id = session.record.worker_id
        if outcome is clients.OrderOutcome.NO_TICKET:
            self._approval_cache.discard_ticket(task[:3], worker_id)
            return
        self._health.record_refusal(worker_id, self._timer.monotonic_s())

    async def _run_placement(self) -> None:
        while True:
            self._state_changed = anyio.Event()
            self._sync_sessions()
            self._log_crashes()
            self._stop_ended_jobs()
            planned_s = self._timer.monotonic_s()
            plan = self._plan()
            plan_s = self._timer.monotonic_s() - planned_s
            starts = plan.starts
            self._demands = plan.demands
            if starts:
                result = await self.commit_decision(
                    commands.StartRuns(tuple(starts))
                )
                if isinstance(result, applier_module.AppliedProposal):
                    self._send_starts(starts)
                    self._log_starts(plan)
                    continue
                event_log.emit(
                    events.StartsNotStored(len(starts), result.reason)
                )
                await self._timer.sleep_s(_CHECK_INTERVAL_S)
            await self._state_changed.wait()
            await self._timer.sleep_s(_round_gap_s(plan_s))

    def _sync_sessions(self) -> None:
        """Opens and closes sessions as workers come and go."""
        if self._tasks is not None:
            self._sessions.sync(self._tasks)

    def _plan(self) -> planner.Plan:
        schedulable_workers = self._schedulable_workers()
        due_for_maintenance = self._wave_controller.due_instances()
        now_ms = self._timer.wall_time_ms()
        self._views = self._view_cache.refresh(
            self._state,
            schedulable_workers,
            due_for_maintenance,
            now_ms,
            self._health.crashed_instances(self._timer.monotonic_s()),
        )
        self._approval_cache.clear_requests()
        return self._planner.plan(
            self._views,
            self._view_cache.changed_services,
            now_ms,
            self._view_cache.has_other_workers,
        )

    def _schedulable_workers(self) -> dict[str, float]:
        """Returns the rank penalty of each worker that may get tasks."""
        now_s = self._timer.monotonic_s()
        health = self._health
        reserved = self._wave_controller.reserved_instances()
        has_pending_move = self._rebalancer.has_pending_move
        penalties = {}
        for worker_id, session in self.sessions.items():
            instance = session.record.instance
            if (
                session.is_responsive_at(now_s)
                and not health.is_ejected(worker_id, now_s)
                and not self._losses.is_pending(worker_id)
                and instance not in reserved
                and not has_pending_move(instance)
            ):
                penalties[worker_id] = health.penalty(worker_id)
        return penalties

    def _send_starts(self, starts: list[commands.RunStart]) -> None:
        for start in starts:
            session = self.sessions.get(start.worker_id)
            is_current = self._state.is_current(
                start.task, start.run, start.worker_id
            )
            located = self._state.task(start.task)
            if session is None or located is None or not is_current:
                continue
            payload = located[0].definition.payload
            ticket = (
                self._approval_cache.ticket(start.task[:3], start.worker_id)
                or ""
            )
            session.start(start, payload, located[2].checkpoint, ticket)

    def _log_starts(self, plan: planner.Plan) -> None:
        waiting = sum(
            demand.unplaced_millicores for demand in plan.demands.values()
        )
        event_log.emit(
            events.RunsStarted(
                tuple(
                    (str(start.task), start.run, start.worker_id)
                    for start in plan.starts
                ),
                self._fence,
                waiting,
            )
        )

    def _stop_ended_jobs(self) -> None:
        for job in self._state.pop_ended_jobs():
            self._log_job_ended(job)
            for task in job.running_tasks():
                session = self.sessions.get(task.worker_id)
                if session is not None:
                    session.stop(task.key, task.run)

    def _log_crashes(self) -> None:
        for crash in self._state.pop_crashes():
            event_log.emit(
                events.TasksSuspected(
                    crash.worker.worker_id,
                    crash.worker.instance,
                    crash.was_isolated,
                    tuple((str(key), count) for key, count in crash.tasks),
                    crash.given_up,
                    tuple(map(str, crash.unconfirmed)),
                )
            )

    def _log_job_ended(self, job: jobs_module.Job) -> None:
        policy = self._state.policy_of(job)
        objective_ms = 0.0
        if policy is not None:
            objective_ms = job_order.objective_ms(job, policy)
        event_log.emit(
            events.JobEnded(
                job.job_id,
                job.state.value,
                (job.ended_ms or 0) - job.accepted_ms,
                int(objective_ms),
            )
        )

    async def _run_periodic_checks(self) -> None:
        async for _ in self._timer.subscribe(_CHECK_INTERVAL_S):
            self._losses.release_expired_leases(self.sessions)
            await self._open_due_occurrences()
            self._stop_runs_on_draining()
            self._stop_stuck_runs()
            self.notify_state_changed()

    async def _open_due_occurrences(self) -> None:
        now_ms = self._timer.wall_time_ms()
        for job in list(self._state.active_jobs.values()):
            due_ms = job.next_due_ms()
            if due_ms is None or due_ms > now_ms:
                continue
            if self._has_room_for(job):
                await self.commit(
                    commands.OpenOccurrence(job.job_id, job.next_occurrence)
                )

    def _has_room_for(self, job: jobs_module.Job) -> bool:
        """Whether the tasks of a job's next occurrence may be stored now."""
        stored = self._state.task_count + job.definition.task_count
        return stored <= self._bounds.max_stored_tasks

    def record_departure(self, worker_id: str, remaining_ms: int) -> None:
        """Takes note of how long a draining worker stays at least."""
        now_s = self._timer.monotonic_s()
        self._departures.record_notice(worker_id, remaining_ms, now_s)

    def _stop_runs_on_draining(self) -> None:
        """Stops runs that draining workers won't finish, to move them."""
        self._departures.forget_ended(self._state)
        now_s = self._timer.monotonic_s()
        for worker_id, session in self.sessions.items():
            worker = self._state.workers.get(worker_id)
            if worker is None:
                continue
            if worker.state is not worker_state.WorkerState.DRAINING:
                continue
            for run_id in self._departures.unfinishable_runs(
                session, self._state, now_s
            ):
                if run_id not in session.stopping:
                    self._log_worker_change(worker_id, "unfinishable_task")
                    session.stop(*run_id)

    def _stop_stuck_runs(self) -> None:
        """Stops tasks without progress; they restart elsewhere."""
        for worker_id, session in self.sessions.items():
            for run_id in self._health.stuck_runs(worker_id):
                if run_id not in session.stopping:
                    self._log_worker_change(worker_id, "stuck_task")
                    self._health.record_stuck(run_id[0])
                    session.stop(*run_id)

    async def _run_wave_controller(self) -> None:
        async for _ in self._timer.subscribe(_WAVE_INTERVAL_S):
            await self._wave_controller.step(
                self.sessions, self._demands, self._rebalancer.is_moving
            )

    async def _run_rebalancer(self) -> None:
        async for _ in self._timer.subscribe(_REBALANCE_INTERVAL_S):
            await self._rebalancer.step(
                self.sessions,
                self._demands,
                self._is_healthy,
                self._wave_controller.is_reserved,
            )

    async def _run_load_log(self) -> None:
        async for _ in self._timer.subscribe(_LOAD_LOG_INTERVAL_S):
            if self._bounds.controls_overload:
                self._waiting_log.update(
                    self._state, self._timer.wall_time_ms()
                )
            arriving = self._rebalancer.arriving_counts()
            for service, demand in self._demands.items():
                views = self._views.get(service, ())
                event_log.emit(
                    events.PoolLoad(
                        service,
                        len(views),
                        sum(view.is_schedulable for view in views),
                        arriving.get(service, 0),
                        demand.used_millicores,
                        demand.free_millicores,
                        demand.unplaced_millicores,
                        demand.late_millicores,
                    )
                )
            self._log_customers()

    def _log_customers(self) -> None:
        if not self._state.customers.is_configured:
            return
        waiting = self.waiting_by_customer()
        rows = customer_report.build_rows(self._state, waiting)
        event_log.emit(events.CustomersLoad(rows))
        for held in self._held_jobs.find(rows, waiting):
            event_log.emit(held)

    def waiting_by_customer(
        self,
    ) -> dict[model.CustomerName, customer_report.Waiting]:
        """Returns the waiting tasks of the customers as of the last plan."""
        return customer_report.count_waiting(self._planner.services.values())

    def _is_healthy(self, worker_id: str) -> bool:
        now_s = self._timer.monotonic_s()
        is_ejected = self._health.is_ejected(worker_id, now_s)
        return not is_ejected and not self._health.penalty(worker_id)

    def _start_soon(self, call: Callable, *args: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(call, *args)

    def _log_worker_change(self, worker_id: str, change: str) -> None:
        session = self.sessions.get(worker_id)
        worker = self._state.workers.get(worker_id)
        event_log.emit(
            events.WorkerChanged(
                worker_id,
                session.record.service if session else "",
                change,
                len(worker.tasks) if worker else 0,
            )
        )


def _round_gap_s(plan_s: float) -> float:
    """Returns the pause after a round whose plan took `plan_s`."""
    gap_s = max(_MIN_ROUND_GAP_S, _ROUND_GAP_PLANS * plan_s)
    return min(gap_s, _MAX_ROUND_GAP_S)
