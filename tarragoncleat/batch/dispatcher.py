"""The leader's work: it places tasks and keeps the workers' leases."""

from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from tarragoncleat.batch import advice
from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import commands
from tarragoncleat.batch import events
from tarragoncleat.batch import jobs as jobs_module
from tarragoncleat.batch import model
from tarragoncleat.batch import pacing
from tarragoncleat.batch import placement
from tarragoncleat.batch import pool_mover
from tarragoncleat.batch import pool_sizing
from tarragoncleat.batch import state as state_module
from tarragoncleat.batch import urgency
from tarragoncleat.batch import wave_keeper
from tarragoncleat.batch import worker_calls
from tarragoncleat.batch import worker_health
from tarragoncleat.batch import worker_session
from tarragoncleat.batch import worker_views
from tarragoncleat.cluster import log_node
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module

__all__ = ["Dispatcher"]

_COMMIT_TIMEOUT_S = 3.0
_CHECK_INTERVAL_S = 0.25
_WAVE_INTERVAL_S = 0.2
_MOVE_INTERVAL_S = 0.1
_MS_PER_S = 1000

MakeCalls = Callable[[model.WorkerRecord], worker_calls.WorkerCalls]


class Dispatcher:
    """One leader's term: sessions with workers, placement and waves."""

    def __init__(
        self,
        node: log_node.LogNode,
        state: state_module.BatchState,
        timer: timer_module.TimerService,
        bounds: bounds_module.Bounds,
        make_calls: MakeCalls,
        instance_calls: worker_calls.InstanceCalls,
        advisor_calls: advice.AdvisorCalls,
        holder: str,
    ) -> None:
        """Begins a term at its first committed record.

        Args:
            node: The replicated log, which this node leads.
            state: The replicated state.
            timer: Clock.
            bounds: Bounds of the deployment.
            make_calls: Opens the calls to a worker.
            instance_calls: Calls to the platform about instances.
            advisor_calls: Calls to the advisor.
            holder: Name of this node as holder of the instances' leases.
        """
        self._node = node
        self._state = state
        self._timer = timer
        self._bounds = bounds
        self._make_calls = make_calls
        self._fence = node.term
        self._sessions: dict[str, worker_session.WorkerSession] = {}
        self._health = worker_health.WorkerHealth()
        self._ends: list[commands.RunEnd] = []
        self._ends_done = anyio.Event()
        self._ends_wake = anyio.Event()
        self._ends_committed = True
        self._wake = anyio.Event()
        state.take_ended()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._advisor = advice.Advisor(advisor_calls, timer)
        self._views = worker_views.ViewCache()
        self._demands: dict[str, pool_sizing.Demand] = {}
        self._mover = pool_mover.PoolMover(
            state, timer, bounds, instance_calls, self, holder, self._fence
        )
        self._waves = wave_keeper.WaveKeeper(
            state, timer, bounds, instance_calls, self, holder, self._fence
        )

    @property
    def sessions(self) -> dict[str, worker_session.WorkerSession]:
        """Sessions by worker."""
        return self._sessions

    @property
    def term(self) -> int:
        """The term in which this dispatcher leads."""
        return self._fence

    def wake(self) -> None:
        """Notes that the state may have changed."""
        self._wake.set()

    async def run(self) -> None:
        """Works until cancelled at the end of the term."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._place)
            tasks.start_soon(self._commit_ends)
            tasks.start_soon(self._check)
            tasks.start_soon(self._advisor.run)
            tasks.start_soon(self._keep_waves)
            tasks.start_soon(self._move_instances)

    async def commit(self, command: commands.Command) -> Any:
        """Replicates a command.

        Returns:
            `AppliedProposal`, or a `Failure` of the log.
        """
        return await self._node.propose(
            codec.encode(command), _COMMIT_TIMEOUT_S
        )

    async def confirm(self) -> bool:
        """Returns whether this node certainly led when it was asked."""
        return await self._node.read_barrier()

    # What sessions tell.

    async def on_ended(self, rows: list[commands.RunEnd]) -> bool:
        """Stores ends with those of other sessions in one record."""
        self._ends.extend(rows)
        bad = [row for row in rows if row.ending is not commands.Ending.DONE]
        if bad:
            event_log.emit(
                events.RunsEnded(
                    tuple(
                        (
                            str(row.task),
                            row.run,
                            row.worker_id,
                            row.ending.value,
                        )
                        for row in bad
                    )
                )
            )
        for row in rows:
            self._health.note_end(row, self._timer.monotonic_s())
        done = self._ends_done
        self._ends_wake.set()
        await done.wait()
        return self._ends_committed

    def on_report(self, session: worker_session.WorkerSession) -> None:
        """Takes a report: paces tasks, and looks for room."""
        worker = self._state.workers.get(session.record.worker_id)
        if worker is None:
            return
        if worker.state is state_module.WorkerState.LAPSED:
            self._start_soon(
                self.commit, commands.RegisterWorker(session.record)
            )
        self._end_earlier_lives(session)
        now_s = self._timer.monotonic_s()
        self._health.note_report(session, self._state, now_s)
        for task, run, percent in pacing.changes(session, self._state):
            session.pace(task, run, percent)
            event_log.emit(
                events.TaskPaced(str(task), session.record.worker_id, percent)
            )

    def _end_earlier_lives(self, session: worker_session.WorkerSession) -> None:
        """Ends the other workers that were on the instance of this one."""
        for worker in self._state.workers_on(session.record.instance):
            worker_id = worker.record.worker_id
            other = self._sessions.get(worker_id)
            if other is None or other is session:
                continue
            has_lapsed = worker.state is state_module.WorkerState.LAPSED
            if has_lapsed or session.outlives(other):
                self._log_worker(worker_id, "followed")
                self._start_soon(
                    self.commit,
                    commands.LoseWorkers((worker_id,), is_final=True),
                )

    def on_gone(self, session: worker_session.WorkerSession) -> None:
        """Notes the end of a worker's life."""
        worker_id = session.record.worker_id
        self._log_worker(worker_id, "gone")
        self._start_soon(
            self.commit, commands.LoseWorkers((worker_id,), is_final=True)
        )

    def on_start_refused(
        self,
        session: worker_session.WorkerSession,
        task: model.TaskKey,
        outcome: worker_calls.OrderOutcome,
    ) -> None:
        """Prefers other workers for a while."""
        worker_id = session.record.worker_id
        if outcome is worker_calls.OrderOutcome.NO_TICKET:
            self._advisor.forget(task[:3], worker_id)
            return
        self._health.note_refusal(worker_id, self._timer.monotonic_s())

    # Placement.

    async def _place(self) -> None:
        while True:
            self._wake = anyio.Event()
            self._match_sessions()
            self._stop_ended_jobs()
            planned = self._plan()
            starts = planned.starts
            self._demands = planned.demands
            if starts:
                result = await self.commit(commands.StartRuns(tuple(starts)))
                if isinstance(result, applier_module.AppliedProposal):
                    self._send_starts(starts)
                    self._log_starts(planned)
                    continue
                event_log.emit(
                    events.StartsNotStored(len(starts), result.reason)
                )
                await self._timer.sleep_s(_CHECK_INTERVAL_S)
            await self._wake.wait()

    def _plan(self) -> placement.Plan:
        now_s = self._timer.monotonic_s()
        open_workers = {
            worker_id: self._health.penalty(worker_id)
            for worker_id, session in self._sessions.items()
            if session.is_fresh
            and not self._health.is_shut(worker_id, now_s)
            and not self._waves.is_emptying(session.record.instance)
            and not self._mover.is_leaving(session.record.instance)
        }
        passing = self._waves.due_instances()
        views = self._views.refresh(self._state, open_workers, passing)
        self._advisor.begin_round()
        # A pool keeps its size until its first job, which may need all of it.
        return placement.plan(
            self._state,
            views,
            self._timer.wall_time_ms(),
            self._advisor,
            idle_services=self._demands,
        )

    def _send_starts(self, starts: list[commands.RunStart]) -> None:
        for row in starts:
            session = self._sessions.get(row.worker_id)
            is_current = self._state.is_current(
                row.task, row.run, row.worker_id
            )
            found = self._state.task(row.task)
            if session is None or found is None or not is_current:
                continue
            payload = found[0].definition.payload
            ticket = self._advisor.ticket(row.task[:3], row.worker_id) or ""
            session.start(row, payload, found[2].checkpoint, ticket)

    def _log_starts(self, planned: placement.Plan) -> None:
        waiting = sum(
            demand.unplaced_millicores for demand in planned.demands.values()
        )
        event_log.emit(
            events.RunsStarted(
                tuple(
                    (str(row.task), row.run, row.worker_id)
                    for row in planned.starts
                ),
                self._fence,
                waiting,
            )
        )

    def _match_sessions(self) -> None:
        """Opens a session for each worker, and closes those of ended ones."""
        workers = self._state.workers
        for worker_id in list(self._sessions):
            if worker_id not in workers:
                self._sessions.pop(worker_id).close()
        for worker_id, worker in workers.items():
            if worker_id in self._sessions or self._tasks is None:
                continue
            session = worker_session.WorkerSession(
                worker.record,
                self._state,
                self._make_calls(worker.record),
                self,
                self._timer,
                self._bounds,
                self._fence,
            )
            self._sessions[worker_id] = session
            self._tasks.start_soon(session.run)

    def _stop_ended_jobs(self) -> None:
        for job in self._state.take_ended():
            self._log_ended(job)
            for task in job.running_tasks():
                session = self._sessions.get(task.worker_id)
                if session is not None:
                    session.stop(task.key, task.run)

    def _log_ended(self, job: jobs_module.Job) -> None:
        policy = self._state.policy_of(job)
        objective_ms = 0.0
        if policy is not None:
            objective_ms = urgency.objective_ms(job, policy)
        event_log.emit(
            events.JobEnded(
                job.job_id,
                job.state.value,
                (job.ended_ms or 0) - job.accepted_ms,
                int(objective_ms),
            )
        )

    async def _commit_ends(self) -> None:
        while True:
            await self._ends_wake.wait()
            self._ends_wake = anyio.Event()
            rows, self._ends = self._ends, []
            done, self._ends_done = self._ends_done, anyio.Event()
            result = await self.commit(commands.EndRuns(tuple(rows)))
            self._ends_committed = isinstance(
                result, applier_module.AppliedProposal
            )
            done.set()
            self.wake()

    # Checks by time.

    async def _check(self) -> None:
        async for _ in self._timer.subscribe(_CHECK_INTERVAL_S):
            await self._lose_lapsed()
            await self._open_due_occurrences()
            self._move_off_draining()
            self._stop_stuck()
            self.wake()

    async def _lose_lapsed(self) -> None:
        lapsed = tuple(
            worker_id
            for worker_id, session in self._sessions.items()
            if session.has_lapsed
            and not session.is_fresh
            and self._may_hold_tasks(worker_id)
        )
        if lapsed:
            for worker_id in lapsed:
                self._log_worker(worker_id, "lapsed")
            await self.commit(commands.LoseWorkers(lapsed, is_final=False))

    def _may_hold_tasks(self, worker_id: str) -> bool:
        worker = self._state.workers.get(worker_id)
        if worker is None:
            return False
        is_up = worker.state is state_module.WorkerState.UP
        return is_up or bool(worker.tasks)

    async def _open_due_occurrences(self) -> None:
        now_ms = self._timer.wall_time_ms()
        for job in list(self._state.active_jobs.values()):
            due_ms = job.next_due_ms()
            if due_ms is not None and due_ms <= now_ms:
                await self.commit(
                    commands.OpenOccurrence(job.job_id, job.next_occurrence)
                )

    def _move_off_draining(self) -> None:
        """Stops tasks that last on workers that leave, to restart elsewhere."""
        for worker_id, session in self._sessions.items():
            worker = self._state.workers.get(worker_id)
            if worker is None:
                continue
            if worker.state is not state_module.WorkerState.DRAINING:
                continue
            for task in self._state.tasks_on(worker):
                found = self._state.task(task.key)
                if found is not None and found[1].definition.long_running:
                    session.stop(task.key, task.run)

    def _stop_stuck(self) -> None:
        """Stops tasks that make no progress, to restart them elsewhere."""
        for worker_id, session in self._sessions.items():
            for run_id in self._health.stuck(worker_id):
                if run_id not in session.stopping:
                    self._log_worker(worker_id, "stuck_task")
                    session.stop(*run_id)

    async def _keep_waves(self) -> None:
        async for _ in self._timer.subscribe(_WAVE_INTERVAL_S):
            await self._waves.step(self._sessions, self._demands)

    async def _move_instances(self) -> None:
        async for _ in self._timer.subscribe(_MOVE_INTERVAL_S):
            await self._mover.step(
                self._sessions, self._demands, self._is_sound
            )

    def _is_sound(self, worker_id: str) -> bool:
        now_s = self._timer.monotonic_s()
        is_shut = self._health.is_shut(worker_id, now_s)
        return not is_shut and not self._health.penalty(worker_id)

    def _start_soon(self, call: Callable, *args: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(call, *args)

    def _log_worker(self, worker_id: str, what: str) -> None:
        session = self._sessions.get(worker_id)
        worker = self._state.workers.get(worker_id)
        event_log.emit(
            events.WorkerChanged(
                worker_id,
                session.record.service if session else "",
                what,
                len(worker.tasks) if worker else 0,
            )
        )
