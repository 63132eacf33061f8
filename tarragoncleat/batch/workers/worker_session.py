"""The leader's session with a worker: leases, orders and reports."""

from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Mapping
import dataclasses
import operator
from typing import Protocol

import anyio

from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import events
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import incarnations
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.replicated import worker_state
from tarragoncleat.batch.workers import clients
from tarragoncleat.batch.workers import leases
from tarragoncleat.batch.workers import restarts
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module

__all__ = ["SessionListener", "Sessions", "WorkerSession"]

_MS_PER_S = 1000
# A start extends the lease only if less than this is left of it.
_MIN_START_LEASE_MS = 1_000
_LONG_POLL_MS = 2_000
_SHORT_POLL_MS = 500
_MAX_PARALLEL_ORDERS = 3
_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 1.0
_MAX_SILENCE_S = 3.2
# Kept starts without an answer, which a successor may carry out late.
_MAX_UNANSWERED_STARTS = 64

_Outcome = clients.OrderOutcome
_RunId = tuple[model.TaskKey, int]

# After these answers a worker won't carry out a start of the run any more, or
# other leaders decide. Any other one leaves it open.
_SETTLED_STOPS = frozenset(
    {
        _Outcome.ACCEPTED,
        _Outcome.SUPERSEDED,
        _Outcome.GONE,
        _Outcome.RESTARTED,
        _Outcome.FENCED,
    }
)


class SessionListener(Protocol):
    """Receives the events of a session."""

    async def on_runs_ended(self, ends: list[commands.RunEnd]) -> bool:
        """Commits ended runs; returns whether they are stored."""

    def may_grant_lease(self, worker_id: str) -> bool:
        """Whether a lease may be granted to a worker now."""

    def on_report(self, session: "WorkerSession") -> None:
        """Called after each report."""

    def on_worker_ended(self, session: "WorkerSession") -> None:
        """Called when the worker's incarnation has ended."""

    def on_start_refused(
        self,
        session: "WorkerSession",
        task: model.TaskKey,
        outcome: clients.OrderOutcome,
    ) -> None:
        """Called when the worker has refused a start."""


@dataclasses.dataclass(slots=True)
class _StartOrder:
    task: model.TaskKey
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


class WorkerSession:
    """Sends all requests to one worker during one leader's term."""

    def __init__(
        self,
        record: model.WorkerRecord,
        state: state_module.BatchState,
        client: clients.WorkerClient,
        listener: SessionListener,
        timer: timer_module.TimerService,
        bounds: bounds_module.Bounds,
        fence: int,
    ) -> None:
        """Creates a session; `run` contacts the worker.

        Args:
            record: The worker.
            state: The replicated state, read only.
            client: Client of the worker; the session closes it.
            listener: Receives the session's events.
            timer: Clock.
            bounds: Limits of the deployment.
            fence: Fencing token of this term.
        """
        self.record = record
        self._state = state
        self._client = client
        self._listener = listener
        self._timer = timer
        self._lease_ms = leases.granted_duration_ms(bounds.max_lease_ms)
        self._fence = fence
        self._leases = leases.LeaseTracker(
            timer.monotonic_s(), bounds.max_lease_ms
        )
        self._acknowledged_sequence = 0
        self._consecutive_failures = 0
        self._has_report = False
        self._report_received_s: float | None = None
        self._report_requested_s = 0.0
        self._has_ended = False
        self._restart_found = anyio.Event()
        _, started_ms = incarnations.split_worker_id(record.worker_id)
        self._may_be_followed = started_ms > 0
        self._unanswered_starts: deque[_RunId] = deque(
            maxlen=_MAX_UNANSWERED_STARTS
        )
        self._running: dict[_RunId, clients.RunningTask] = {}
        self._orders: deque[Callable[[], Awaitable[None]]] = deque()
        self._order_available = anyio.Event()
        self._retry_requested = anyio.Event()
        # When the worker answered the latest order for a run. If a report that
        # was requested later doesn't list the run, it is not on the worker.
        self._answered_s: dict[_RunId, float] = {}
        # Runs that the worker has accepted or listed in this term.
        self._confirmed: set[_RunId] = set()
        self._ordered: set[_RunId] = set()
        self._stopping: set[_RunId] = set()
        self._paces: dict[_RunId, int] = {}
        self._scope = anyio.CancelScope()

    @property
    def running(self) -> dict[_RunId, clients.RunningTask]:
        """Runs in the latest report, by task and run number."""
        return self._running

    @property
    def reported_s(self) -> float:
        """When the latest report arrived; 0 before the first one."""
        return self._report_received_s or 0.0

    def started_s(self, task: model.TaskKey, run: int) -> float | None:
        """Returns when the worker accepted a run, if it did so in this term."""
        return self._answered_s.get((task, run))

    @property
    def paces(self) -> dict[_RunId, int]:
        """Speed of each paced run, in percent."""
        return self._paces

    @property
    def stopping(self) -> set[_RunId]:
        """Runs for which a stop was ordered."""
        return self._stopping

    @property
    def is_responsive(self) -> bool:
        """Whether the worker answers and has reported in this term."""
        return self.is_responsive_at(self._timer.monotonic_s())

    def is_responsive_at(self, now_s: float) -> bool:
        """Returns `is_responsive` at a time that was read before."""
        return (
            self._has_report
            and not self._consecutive_failures
            and now_s - self._leases.last_contact_s < _MAX_SILENCE_S
        )

    def supersedes(self, other: "WorkerSession") -> bool:
        """Whether this worker's report proves that the other one has ended.

        Both workers are incarnations on one instance, which runs one at a time.
        The latest report of this one must have been requested after the other
        one last reported; a delayed report proves nothing.
        """
        return (
            other._report_received_s is not None
            and self._report_received_s is not None
            and self._report_requested_s > other._report_received_s
        )

    @property
    def has_lease_expired(self) -> bool:
        """Whether no task can run on the worker, as every lease has expired."""
        return self._leases.is_expired(self._timer.monotonic_s())

    def end_command(self) -> commands.EndWorker:
        """Returns the command that records the end of the incarnation."""
        return commands.EndWorker(
            self.record.worker_id,
            tuple(
                commands.ConfirmedRun(task, run)
                for task, run in sorted(self._committed_runs())
                if (task, run) in self._confirmed
            ),
        )

    @property
    def was_restarted(self) -> bool:
        """Whether the worker has started again under the same name."""
        return self._restart_found.is_set()

    def end_by_restart(self) -> None:
        """Ends the session of a worker that has a later incarnation.

        The listener is told once no run of this incarnation can start on that
        one.
        """
        if not self._has_ended:
            self._has_ended = True
            self._has_report = False
            self._restart_found.set()

    def close(self) -> None:
        """Cancels the session."""
        self._has_ended = True
        self._scope.cancel()

    async def run(self) -> None:
        """Sends orders and renews leases until `close` is called."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    for _ in range(_MAX_PARALLEL_ORDERS):
                        tasks.start_soon(self._send_orders)
                    tasks.start_soon(self._renew_leases)
                    tasks.start_soon(self._settle_restart)
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.close()

    def start(
        self,
        run_start: commands.RunStart,
        payload: str,
        checkpoint: str,
        ticket: str = "",
    ) -> None:
        """Queues the start of a committed run."""
        order = _StartOrder(
            run_start.task, run_start.run, payload, checkpoint, ticket
        )
        self._ordered.add((run_start.task, run_start.run))
        self._enqueue(lambda: self._start(order))

    def stop(self, task: model.TaskKey, run: int) -> None:
        """Queues a stop unless the run is already being stopped."""
        if (task, run) not in self._stopping:
            self._stopping.add((task, run))
            self._enqueue(lambda: self._stop(task, run))

    def pace(self, task: model.TaskKey, run: int, percent: int) -> None:
        """Queues a change of a run's speed, in percent."""
        if self._paces.get((task, run), 100) != percent:
            self._paces[(task, run)] = percent
            self._enqueue(lambda: self._pace(task, run, percent))

    def unanswered_starts(self) -> set[_RunId]:
        """Returns runs whose start may reach the worker's successor."""
        return {
            *self._unanswered_starts,
            *(self._ordered - {*self._answered_s}),
        }

    def refuse_start(self, task: model.TaskKey, run: int) -> None:
        """Queues a stop of a run that the worker's predecessor was to start."""
        self._enqueue(lambda: self._refuse_start(task, run))

    def retry_now(self) -> None:
        """Skips the delay after a failed lease renewal."""
        self._retry_requested.set()

    def _enqueue(self, order: Callable[[], Awaitable[None]]) -> None:
        self._orders.append(order)
        self._order_available.set()

    async def _send_orders(self) -> None:
        while True:
            while not self._orders:
                self._order_available = anyio.Event()
                await self._order_available.wait()
            await self._orders.popleft()()

    async def _start(self, order: _StartOrder) -> None:
        was_unanswered = False
        while self._may_start(order):
            if self._is_draining() or not self._has_room(order.task):
                await self._withdraw_start(order, was_unanswered)
                return
            reply = await self._send_start(order)
            if reply is None or reply.outcome is _Outcome.UNANSWERED:
                if reply is not None:
                    was_unanswered = True
                    self._unanswered_starts.append((order.task, order.run))
                await self._timer.sleep_s(_MIN_RETRY_DELAY_S)
                continue
            self._record_clock(reply.clock_ms)
            if reply.outcome is _Outcome.EXPIRED:
                await self._timer.sleep_s(_MIN_RETRY_DELAY_S)
                continue
            await self._process_start_reply(
                order, reply.outcome, was_unanswered
            )
            return

    def _may_start(self, order: _StartOrder) -> bool:
        is_current = self._is_current(order.task, order.run)
        return is_current and not self.was_restarted

    async def _send_start(
        self, order: _StartOrder
    ) -> clients.OrderReply | None:
        """Sends a start; returns None if no lease can be granted now."""
        if not self._may_grant_lease():
            return None
        until_ms = self._leases.reuse_or_grant(
            self._lease_ms, _MIN_START_LEASE_MS, self._timer.monotonic_s()
        )
        if until_ms is None:
            return None
        return await self._client.start(
            clients.StartOrder(
                order.task,
                order.run,
                order.payload,
                until_ms,
                self._fence,
                order.checkpoint,
                order.ticket,
            )
        )

    async def _process_start_reply(
        self, order: _StartOrder, outcome: _Outcome, was_unanswered: bool
    ) -> None:
        if outcome is _Outcome.ACCEPTED:
            self._confirmed.add((order.task, order.run))
        if outcome in (_Outcome.ACCEPTED, _Outcome.SUPERSEDED):
            self._answered_s[(order.task, order.run)] = (
                self._timer.monotonic_s()
            )
            return
        if outcome in (_Outcome.GONE, _Outcome.RESTARTED):
            self._end_by(outcome)
            return
        if outcome is _Outcome.FENCED:
            return
        event_log.emit(
            events.StartRefused(
                str(order.task),
                order.run,
                self.record.worker_id,
                outcome.value,
                was_unanswered,
            )
        )
        self._listener.on_start_refused(self, order.task, outcome)
        await self._withdraw_start(order, was_unanswered)

    async def _withdraw_start(
        self, order: _StartOrder, was_unanswered: bool
    ) -> None:
        """Queues a task again whose run the worker doesn't have."""
        if was_unanswered:
            # An earlier attempt may still reach the worker; after a stop the
            # worker refuses it.
            self.stop(order.task, order.run)
            return
        run_end = commands.RunEnd(
            order.task,
            order.run,
            self.record.worker_id,
            commands.Ending.REJECTED,
            "",
        )
        while self._is_current(order.task, order.run):
            if await self._listener.on_runs_ended([run_end]):
                return
            await self._timer.sleep_s(_MIN_RETRY_DELAY_S)

    def _is_draining(self) -> bool:
        """Whether the worker is about to leave.

        It may have said so after a start was stored, and while the attempts to
        send it got no answer.
        """
        worker = self._state.workers.get(self.record.worker_id)
        if worker is None:
            return False
        return worker.state is worker_state.WorkerState.DRAINING

    def _has_room(self, task: model.TaskKey) -> bool:
        """Whether all tasks on the worker fit, as far as this one matters.

        The worker's capacity may have shrunk since the start was stored.
        """
        worker = self._state.workers.get(self.record.worker_id)
        located = self._state.task(task)
        if worker is None or located is None:
            return True
        demand = located[1].demand
        free = self._state.free_on(worker)
        return demand.fits_into(
            model.Resources(*map(operator.add, free, demand))
        )

    async def _stop(
        self, task: model.TaskKey, run: int, was_refused: bool = False
    ) -> None:
        """Sends a stop, again and again until the worker has taken it.

        Only a stop that was taken shows that no earlier copy of the start will
        run. Between two attempts other orders have their turn.
        """
        order = clients.StopOrder(task, run, self._fence)
        reply = await self._client.stop(order)
        self._record_clock(reply.clock_ms)
        outcome = reply.outcome
        if outcome in (_Outcome.GONE, _Outcome.RESTARTED):
            self._end_by(outcome)
        elif outcome in (_Outcome.ACCEPTED, _Outcome.SUPERSEDED):
            self._answered_s[(task, run)] = self._timer.monotonic_s()
            self.retry_now()
        elif outcome is _Outcome.FENCED or not self._may_run_here(task, run):
            self._stopping.discard((task, run))
        else:
            is_refusal = outcome is not _Outcome.UNANSWERED
            if is_refusal and not was_refused:
                event_log.emit(
                    events.StopRefused(
                        str(task), run, self.record.worker_id, outcome.value
                    )
                )
            await self._timer.sleep_s(_MIN_RETRY_DELAY_S)
            was_refused = was_refused or is_refusal
            self._enqueue(lambda: self._stop(task, run, was_refused))

    async def _refuse_start(self, task: model.TaskKey, run: int) -> None:
        """Sends a stop for a late start until the worker has taken it."""
        order = clients.StopOrder(task, run, self._fence)
        reply = await self._client.stop(order)
        is_settled = reply.outcome in _SETTLED_STOPS or self._has_ended
        if not is_settled:
            await self._timer.sleep_s(_MIN_RETRY_DELAY_S)
            self.refuse_start(task, run)

    async def _pace(self, task: model.TaskKey, run: int, percent: int) -> None:
        """Sends a speed until the worker has taken it or another one is due."""
        if self._paces.get((task, run)) != percent:
            return
        reply = await self._client.pace(
            clients.PaceOrder(task, run, percent, self._fence)
        )
        if reply.outcome in (_Outcome.UNANSWERED, _Outcome.UNHEALTHY):
            await self._timer.sleep_s(_MIN_RETRY_DELAY_S)
            self._enqueue(lambda: self._pace(task, run, percent))
        elif (
            reply.outcome is not _Outcome.ACCEPTED
            and self._paces.get((task, run)) == percent
        ):
            del self._paces[(task, run)]

    async def _renew_leases(self) -> None:
        delay_s = _MIN_RETRY_DELAY_S
        while not self.was_restarted:
            sent_s = self._timer.monotonic_s()
            report = await self._client.renew_lease(self._next_renewal(sent_s))
            if self.was_restarted:
                return
            if isinstance(report, clients.WorkerReport):
                if report.is_successor:
                    self.end_by_restart()
                    return
                self._consecutive_failures = 0
                delay_s = _MIN_RETRY_DELAY_S
                self._record_clock(report.clock_ms)
                await self._process_report(report, sent_s)
                continue
            if report.outcome is _Outcome.GONE:
                self._on_worker_ended()
                return
            if report.outcome is _Outcome.FENCED:
                event_log.emit(
                    events.WorkerChanged(
                        self.record.worker_id, self.record.service, "fenced"
                    )
                )
                await anyio.sleep_forever()
            self._consecutive_failures += 1
            with anyio.move_on_after(delay_s):
                await self._retry_requested.wait()
            self._retry_requested = anyio.Event()
            delay_s = min(2 * delay_s, _MAX_RETRY_DELAY_S)

    def _next_renewal(self, now_s: float) -> clients.RenewLeaseOrder:
        """Returns the next renewal; after a failure it grants no lease.

        If unanswered renewals extended the lease, it would never expire. Nor
        does it acknowledge ends then if the worker may have started again: a
        successor numbers its own ends from 1, and would forget them unread.
        """
        until_ms = None
        wait_ms = 0
        acknowledged = self._acknowledged_sequence
        if self._consecutive_failures and self._may_be_followed:
            acknowledged = 0
        if not self._consecutive_failures and self._leases.has_clock:
            wait_ms = _LONG_POLL_MS
            if self._needs_frequent_reports():
                wait_ms = _SHORT_POLL_MS
        if self._may_grant_lease():
            until_ms = self._leases.grant(self._lease_ms, now_s)
        return clients.RenewLeaseOrder(
            until_ms, self._fence, acknowledged, wait_ms
        )

    def _may_grant_lease(self) -> bool:
        return (
            not self._consecutive_failures
            and self._leases.has_clock
            and self._listener.may_grant_lease(self.record.worker_id)
        )

    def _needs_frequent_reports(self) -> bool:
        """Whether decisions on the worker's tasks depend on their progress.

        That is while it drains or its loss is being stored, while tasks are
        stopped or paced, and while latency-sensitive and best-effort tasks
        share it.
        """
        if not self._listener.may_grant_lease(self.record.worker_id):
            return True
        worker = self._state.workers.get(self.record.worker_id)
        if worker is None:
            return False
        if self._paces or self._stopping or self._is_draining():
            return True
        steps = []
        for key in worker.tasks:
            located = self._state.task(key)
            if located is not None:
                steps.append(located[1].definition)
        return any(step.best_effort for step in steps) and any(
            step.latency_target_ms for step in steps
        )

    async def _process_report(
        self, report: clients.WorkerReport, sent_s: float
    ) -> None:
        self._has_report = True
        self._report_requested_s = sent_s
        self._report_received_s = self._timer.monotonic_s()
        self._running = {(row.task, row.run): row for row in report.running}
        self._confirmed.update(self._running)
        ends = [
            commands.RunEnd(
                row.task,
                row.run,
                self.record.worker_id,
                row.ending,
                row.checkpoint,
            )
            for row in report.ended
        ]
        ended_runs = {(end.task, end.run) for end in ends}
        if report.lists_all_ends:
            ends.extend(self._missing_runs(ended_runs, sent_s))
        for run_id in ended_runs:
            self._discard_run(run_id)
        if ends and not await self._listener.on_runs_ended(ends):
            await self._timer.sleep_s(_MIN_RETRY_DELAY_S)
            return
        if report.ended:
            self._acknowledged_sequence = max(
                row.sequence for row in report.ended
            )
        self._stop_obsolete_runs()
        if report.lists_all_ends:
            self._start_unlisted_runs(ended_runs)
        self._listener.on_report(self)

    def _missing_runs(
        self, ended_runs: set[_RunId], sent_s: float
    ) -> Iterable[commands.RunEnd]:
        """Yields answered runs that the worker no longer lists, as rejected.

        It has them no more only if its report lists all ends.
        """
        unlisted = {
            run_id
            for run_id, answered_s in self._answered_s.items()
            if answered_s <= sent_s
            and run_id not in ended_runs
            and run_id not in self._running
        }
        if not unlisted:
            return
        for task, run in sorted(unlisted.intersection(self._committed_runs())):
            self._discard_run((task, run))
            yield commands.RunEnd(
                task,
                run,
                self.record.worker_id,
                commands.Ending.REJECTED,
                "",
            )

    def _discard_run(self, run_id: _RunId) -> None:
        self._answered_s.pop(run_id, None)
        self._confirmed.discard(run_id)
        self._ordered.discard(run_id)
        self._stopping.discard(run_id)
        self._paces.pop(run_id, None)

    def _committed_runs(self) -> list[_RunId]:
        worker = self._state.workers.get(self.record.worker_id)
        if worker is None:
            return []
        return [(task.key, task.run) for task in self._state.tasks_on(worker)]

    def _stop_obsolete_runs(self) -> None:
        for task, run in self._running:
            if not self._is_current(task, run):
                self.stop(task, run)

    def _start_unlisted_runs(self, ended_runs: set[_RunId]) -> None:
        """Sends the starts that no leader has sent, as far as is known.

        The report must list all ends: a run that has ended isn't started again.
        """
        for task, run in self._committed_runs():
            run_id = (task, run)
            if run_id in self._running or run_id in ended_runs:
                continue
            if run_id in self._ordered or run_id in self._stopping:
                continue
            located = self._state.task(task)
            if located is None:
                continue
            if located[0].has_ended:
                self.stop(task, run)
                continue
            run_start = commands.RunStart(task, run, self.record.worker_id)
            payload = located[0].definition.payload
            self.start(run_start, payload, located[2].checkpoint)

    def _is_current(self, task: model.TaskKey, run: int) -> bool:
        return self._state.is_current(task, run, self.record.worker_id)

    def _may_run_here(self, task: model.TaskKey, run: int) -> bool:
        return (task, run) in self._committed_runs() or (
            task,
            run,
        ) in self._running

    def _record_clock(self, clock_ms: int | None) -> None:
        if clock_ms is not None:
            self._leases.record_clock(clock_ms, self._timer.monotonic_s())

    async def _settle_restart(self) -> None:
        await self._restart_found.wait()
        await restarts.keep_off_successor(
            self._client,
            {*self._committed_runs(), *self.unanswered_starts()},
            self._fence,
            lambda: self.has_lease_expired,
            self._timer,
        )
        self._listener.on_worker_ended(self)

    def _end_by(self, outcome: _Outcome) -> None:
        if outcome is _Outcome.RESTARTED:
            self.end_by_restart()
        else:
            self._on_worker_ended()

    def _on_worker_ended(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._listener.on_worker_ended(self)


Sessions = Mapping[str, WorkerSession]
