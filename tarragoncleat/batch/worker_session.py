"""A leader's dealings with one worker: leases, orders and reports."""

from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Mapping
import dataclasses
from typing import Protocol

import anyio

from tarragoncleat.batch import bounds as bounds_module
from tarragoncleat.batch import commands
from tarragoncleat.batch import events
from tarragoncleat.batch import leases
from tarragoncleat.batch import model
from tarragoncleat.batch import state as state_module
from tarragoncleat.batch import worker_calls
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module

__all__ = ["SessionOwner", "Sessions", "WorkerSession"]

_MS_PER_S = 1000
# Three quarters of the longest lease: the rest covers the time in which a
# deposed leader may still renew before it notices.
_LEASE_SHARE = 0.75
_WAIT_MS = 2_000
_WATCHFUL_WAIT_MS = 500
_PARALLEL_ORDERS = 3
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0
_FRESH_S = 3.2

_Outcome = worker_calls.OrderOutcome
_RunId = tuple[model.TaskKey, int]


class SessionOwner(Protocol):
    """What a session tells the leader's dispatcher."""

    async def on_ended(self, rows: list[commands.RunEnd]) -> bool:
        """Stores ends; returns whether they are committed."""

    def on_report(self, session: "WorkerSession") -> None:
        """A report has arrived."""

    def on_gone(self, session: "WorkerSession") -> None:
        """The worker's life has ended."""

    def on_start_refused(
        self,
        session: "WorkerSession",
        task: model.TaskKey,
        outcome: worker_calls.OrderOutcome,
    ) -> None:
        """The worker has refused a start."""


@dataclasses.dataclass(slots=True)
class _Start:
    task: model.TaskKey
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


class WorkerSession:
    """Owns the calls to one worker during one leader's term."""

    def __init__(
        self,
        record: model.WorkerRecord,
        state: state_module.BatchState,
        calls: worker_calls.WorkerCalls,
        owner: SessionOwner,
        timer: timer_module.TimerService,
        bounds: bounds_module.Bounds,
        fence: int,
    ) -> None:
        """Begins without contact.

        Args:
            record: The worker.
            state: The replicated state, for reading.
            calls: Calls to the worker.
            owner: The dispatcher.
            timer: Clock.
            bounds: Bounds of the deployment.
            fence: Fencing token of this term.
        """
        self.record = record
        self._state = state
        self._calls = calls
        self._owner = owner
        self._timer = timer
        self._lease_ms = int(bounds.max_lease_ms * _LEASE_SHARE)
        self._fence = fence
        self._lease = leases.Lease(timer.monotonic_s(), bounds.max_lease_ms)
        self._acknowledged = 0
        self._failures = 0
        self._has_report = False
        self._reported_s: float | None = None
        self._asked_s = 0.0
        self._is_over = False
        self._running: dict[_RunId, worker_calls.RunningTask] = {}
        self._orders: deque[Callable[[], Awaitable[None]]] = deque()
        self._order_wake = anyio.Event()
        self._hold_wake = anyio.Event()
        # Runs whose order was answered, and when: such a run that a later
        # report doesn't name is not on the worker.
        self._settled: dict[_RunId, float] = {}
        self._ordered: set[_RunId] = set()
        self._stopping: set[_RunId] = set()
        self._paces: dict[_RunId, int] = {}
        self._scope = anyio.CancelScope()

    @property
    def running(self) -> dict[_RunId, worker_calls.RunningTask]:
        """What the latest report names, by task and run."""
        return self._running

    @property
    def paces(self) -> dict[_RunId, int]:
        """Percent of its speed that each paced run was given."""
        return self._paces

    @property
    def stopping(self) -> set[_RunId]:
        """Runs that were told to stop."""
        return self._stopping

    @property
    def is_fresh(self) -> bool:
        """Whether the worker answers and has reported in this term."""
        silence_s = self._timer.monotonic_s() - self._lease.seen_s
        return self._has_report and not self._failures and silence_s < _FRESH_S

    def outlives(self, other: "WorkerSession") -> bool:
        """Whether a report here proves that another worker's life has ended.

        Both are on one instance, where one life follows another. The latest
        report here was asked for after the other worker had last answered; an
        answer that was long on its way proves nothing.
        """
        return (
            other._reported_s is not None
            and self._reported_s is not None
            and self._asked_s > other._reported_s
        )

    @property
    def has_lapsed(self) -> bool:
        """Whether nothing can run there, because no lease is left."""
        return self._lease.is_certainly_over(self._timer.monotonic_s())

    def close(self) -> None:
        """Ends the session."""
        self._is_over = True
        self._scope.cancel()

    async def run(self) -> None:
        """Deals with the worker until `close` or its end."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    for _ in range(_PARALLEL_ORDERS):
                        tasks.start_soon(self._carry_out)
                    tasks.start_soon(self._hold)
        finally:
            with anyio.CancelScope(shield=True):
                await self._calls.close()

    def start(
        self,
        row: commands.RunStart,
        payload: str,
        checkpoint: str,
        ticket: str = "",
    ) -> None:
        """Orders a run that is committed."""
        order = _Start(row.task, row.run, payload, checkpoint, ticket)
        self._ordered.add((row.task, row.run))
        self._put(lambda: self._start(order))

    def stop(self, task: model.TaskKey, run: int) -> None:
        """Orders the end of a run."""
        if (task, run) not in self._stopping:
            self._stopping.add((task, run))
            self._put(lambda: self._stop(task, run))

    def pace(self, task: model.TaskKey, run: int, percent: int) -> None:
        """Orders a task to work at a share of its speed."""
        if self._paces.get((task, run), 100) != percent:
            self._paces[(task, run)] = percent
            self._put(lambda: self._pace(task, run, percent))

    def look_now(self) -> None:
        """Ends the pause after a failed call."""
        self._hold_wake.set()

    # Orders.

    def _put(self, order: Callable[[], Awaitable[None]]) -> None:
        self._orders.append(order)
        self._order_wake.set()

    async def _carry_out(self) -> None:
        while True:
            while not self._orders:
                self._order_wake = anyio.Event()
                await self._order_wake.wait()
            await self._orders.popleft()()

    async def _start(self, order: _Start) -> None:
        was_unanswered = False
        while self._is_current(order.task, order.run):
            reply = await self._send_start(order)
            if reply is None or reply.outcome is _Outcome.UNANSWERED:
                was_unanswered = was_unanswered or reply is not None
                await self._timer.sleep_s(_FIRST_PAUSE_S)
                continue
            self._note_clock(reply.clock_ms)
            if reply.outcome is _Outcome.EXPIRED:
                await self._timer.sleep_s(_FIRST_PAUSE_S)
                continue
            await self._settle_start(order, reply.outcome, was_unanswered)
            return

    async def _send_start(
        self, order: _Start
    ) -> worker_calls.OrderReply | None:
        """Sends a start; returns None while the lease can't be extended."""
        if self._failures or not self._lease.has_clock:
            return None
        until_ms = self._lease.grant(self._lease_ms, self._timer.monotonic_s())
        if until_ms is None:
            return None
        return await self._calls.start(
            worker_calls.StartOrder(
                order.task,
                order.run,
                order.payload,
                until_ms,
                self._fence,
                order.checkpoint,
                order.ticket,
            )
        )

    async def _settle_start(
        self, order: _Start, outcome: _Outcome, was_unanswered: bool
    ) -> None:
        if outcome in (_Outcome.ACCEPTED, _Outcome.SUPERSEDED):
            self._settled[(order.task, order.run)] = self._timer.monotonic_s()
            return
        if outcome is _Outcome.GONE:
            self._end()
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
        self._owner.on_start_refused(self, order.task, outcome)
        if was_unanswered:
            # An earlier copy of the order may still be carried out; a stop
            # makes the worker refuse it.
            self.stop(order.task, order.run)
            return
        row = commands.RunEnd(
            order.task,
            order.run,
            self.record.worker_id,
            commands.Ending.REJECTED,
            "",
        )
        while self._is_current(order.task, order.run):
            if await self._owner.on_ended([row]):
                return
            await self._timer.sleep_s(_FIRST_PAUSE_S)

    async def _stop(self, task: model.TaskKey, run: int) -> None:
        order = worker_calls.StopOrder(task, run, self._fence)
        while True:
            reply = await self._calls.stop(order)
            self._note_clock(reply.clock_ms)
            if reply.outcome is not _Outcome.UNANSWERED:
                break
            if not self._may_run_here(task, run):
                break
            await self._timer.sleep_s(_FIRST_PAUSE_S)
        if reply.outcome is _Outcome.GONE:
            self._end()
        elif reply.outcome in (_Outcome.ACCEPTED, _Outcome.SUPERSEDED):
            self._settled[(task, run)] = self._timer.monotonic_s()
            self.look_now()
        else:
            self._stopping.discard((task, run))

    async def _pace(self, task: model.TaskKey, run: int, percent: int) -> None:
        if self._paces.get((task, run)) != percent:
            return
        reply = await self._calls.pace(
            worker_calls.PaceOrder(task, run, percent, self._fence)
        )
        if reply.outcome is not _Outcome.ACCEPTED:
            self._paces.pop((task, run), None)

    # Leases and reports.

    async def _hold(self) -> None:
        pause_s = _FIRST_PAUSE_S
        while True:
            sent_s = self._timer.monotonic_s()
            report = await self._calls.hold(self._hold_order(sent_s))
            if isinstance(report, worker_calls.HoldReport):
                self._failures = 0
                pause_s = _FIRST_PAUSE_S
                self._note_clock(report.clock_ms)
                await self._take_report(report, sent_s)
                continue
            if report.outcome is _Outcome.GONE:
                self._end()
                return
            if report.outcome is _Outcome.FENCED:
                event_log.emit(
                    events.WorkerChanged(
                        self.record.worker_id, self.record.service, "fenced"
                    )
                )
                await anyio.sleep_forever()
            self._failures += 1
            with anyio.move_on_after(pause_s):
                await self._hold_wake.wait()
            self._hold_wake = anyio.Event()
            pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)

    def _hold_order(self, now_s: float) -> worker_calls.HoldOrder:
        """Returns the next order; without contact it grants nothing.

        A lease that is extended without an answer would never certainly end.
        """
        until_ms = None
        wait_ms = 0
        if not self._failures and self._lease.has_clock:
            until_ms = self._lease.grant(self._lease_ms, now_s)
            wait_ms = _WAIT_MS
            if self._paces or self._stopping or self._is_watchful():
                wait_ms = _WATCHFUL_WAIT_MS
        return worker_calls.HoldOrder(
            until_ms, self._fence, self._acknowledged, wait_ms
        )

    def _is_watchful(self) -> bool:
        """Whether tasks that serve share the worker with best-effort ones."""
        worker = self._state.workers.get(self.record.worker_id)
        if worker is None:
            return False
        steps = []
        for key in worker.tasks:
            found = self._state.task(key)
            if found is not None:
                steps.append(found[1].definition)
        return any(step.best_effort for step in steps) and any(
            step.latency_target_ms for step in steps
        )

    async def _take_report(
        self, report: worker_calls.HoldReport, sent_s: float
    ) -> None:
        self._has_report = True
        self._asked_s = sent_s
        self._reported_s = self._timer.monotonic_s()
        self._running = {(row.task, row.run): row for row in report.running}
        rows = [
            commands.RunEnd(
                row.task,
                row.run,
                self.record.worker_id,
                row.ending,
                row.checkpoint,
            )
            for row in report.ended
        ]
        ended = {(row.task, row.run) for row in rows}
        rows.extend(self._vanished(ended, sent_s))
        for run_id in ended:
            self._forget(run_id)
        if rows and not await self._owner.on_ended(rows):
            await self._timer.sleep_s(_FIRST_PAUSE_S)
            return
        if report.ended:
            self._acknowledged = max(row.sequence for row in report.ended)
        self._reconcile(ended)
        self._owner.on_report(self)

    def _vanished(
        self, ended: set[_RunId], sent_s: float
    ) -> Iterable[commands.RunEnd]:
        """Yields runs that are settled and not on the worker any more."""
        for task, run in self._committed():
            run_id = (task, run)
            settled_s = self._settled.get(run_id)
            if settled_s is None or settled_s > sent_s:
                continue
            if run_id in ended or run_id in self._running:
                continue
            self._forget(run_id)
            yield commands.RunEnd(
                task,
                run,
                self.record.worker_id,
                commands.Ending.REJECTED,
                "",
            )

    def _forget(self, run_id: _RunId) -> None:
        self._settled.pop(run_id, None)
        self._ordered.discard(run_id)
        self._stopping.discard(run_id)
        self._paces.pop(run_id, None)

    def _committed(self) -> list[_RunId]:
        worker = self._state.workers.get(self.record.worker_id)
        if worker is None:
            return []
        return [(task.key, task.run) for task in self._state.tasks_on(worker)]

    def _reconcile(self, ended: set[_RunId]) -> None:
        """Stops what must not run, and starts what an earlier leader didn't."""
        for task, run in self._running:
            if not self._is_current(task, run):
                self.stop(task, run)
        for task, run in self._committed():
            run_id = (task, run)
            if run_id in self._running or run_id in ended:
                continue
            if run_id in self._ordered or run_id in self._stopping:
                continue
            found = self._state.task(task)
            if found is None:
                continue
            if found[0].has_ended:
                self.stop(task, run)
                continue
            row = commands.RunStart(task, run, self.record.worker_id)
            payload = found[0].definition.payload
            self.start(row, payload, found[2].checkpoint)

    def _is_current(self, task: model.TaskKey, run: int) -> bool:
        return self._state.is_current(task, run, self.record.worker_id)

    def _may_run_here(self, task: model.TaskKey, run: int) -> bool:
        return (task, run) in self._committed() or (
            task,
            run,
        ) in self._running

    def _note_clock(self, clock_ms: int | None) -> None:
        if clock_ms is not None:
            self._lease.note_clock(clock_ms, self._timer.monotonic_s())

    def _end(self) -> None:
        if not self._is_over:
            self._is_over = True
            self._owner.on_gone(self)


Sessions = Mapping[str, WorkerSession]
