"""Faults that are put back into the product's code, to measure the model.

The product itself has no such switch.
"""

from collections.abc import Callable, Iterator
import contextlib
import enum
from typing import Any
import unittest.mock

from tarragoncleat.batch.leader import dispatcher
from tarragoncleat.batch.pools import wave_controller
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.workers import clients
from tarragoncleat.batch.workers import leases
from tarragoncleat.batch.workers import worker_session
from tarragoncleat_model import worker as worker_module

__all__ = ["Mutation", "installed"]

_Outcome = clients.OrderOutcome
_Session = worker_session.WorkerSession


class Mutation(enum.Enum):
    """A change of the product's code."""

    REFUSED_STOP_DROPPED = "a refused stop is dropped (review/1)"
    CUT_REPORT_TRUSTED = "a cut list of ends is taken as complete (review/2)"
    GANG_ENDED_IN_PART = "lost members of a done gang go on waiting (review/3)"
    CHOSEN_NOT_DRAINED = "a leader doesn't drain chosen instances (review/5)"
    STALE_REPORT_TRUSTED = "a report older than a start shows a run as missing"
    UNANSWERED_START_DROPPED = "an unanswered start is queued again at once"
    LEASE_ENDED_EARLY = "a lease counts as expired a second too early"
    END_DROPPED = "ends are acknowledged without being stored"
    BUDGET_IGNORED = "a wave ignores how many tasks of a step are away"
    LEASE_BESIDE_LOSS = "a lease is granted while a loss is stored (review/6)"
    CHECKPOINTS_APART = "each member of a gang keeps its own checkpoint"


async def _drop_refused_stop(
    self: Any, task: Any, run: int, was_refused: bool = False
) -> None:
    del was_refused
    while True:
        reply = await self._client.stop(
            clients.StopOrder(task, run, self._fence)
        )
        self._record_clock(reply.clock_ms)
        if reply.outcome is not _Outcome.UNANSWERED:
            break
        if not self._may_run_here(task, run):
            break
        await self._timer.sleep_s(0.1)
    if reply.outcome in (_Outcome.GONE, _Outcome.RESTARTED):
        self._end_by(reply.outcome)
    elif reply.outcome in (_Outcome.ACCEPTED, _Outcome.SUPERSEDED):
        self._answered_s[(task, run)] = self._timer.monotonic_s()
        self.retry_now()
    else:
        self._stopping.discard((task, run))


def _trust_cut_report(self: Any, now_s: float) -> clients.WorkerReport:
    listed = tuple(self._ended[: self._page_size])
    running = tuple(self._row(run, now_s) for run in self._runs.values())
    return clients.WorkerReport(self.clock_ms(now_s), running, listed)


def _running_members(self: Any, run: int) -> list[jobs.Task]:
    return [
        task
        for task in self.tasks
        if task.state is jobs.TaskState.RUNNING and task.run == run
    ]


async def _order_chosen(self: Any, wave: Any, by_instance: Any) -> None:
    self._start_draining(wave, by_instance)
    for instance in wave.remaining:
        if instance in wave.chosen:
            await self._order_maintenance(wave, instance)
        elif instance in self._draining_since_s:
            is_drained = self._drain(instance)
            if is_drained and self._down_count(wave) < wave.cap:
                await self._record_and_order(wave, instance)


def _missing_by_any_report(
    self: Any, ended_runs: set, sent_s: float
) -> Iterator[commands.RunEnd]:
    del sent_s
    known = self._ordered | self._answered_s.keys()
    for task, run in sorted(known.intersection(self._committed_runs())):
        if (task, run) in ended_runs or (task, run) in self._running:
            continue
        self._discard_run((task, run))
        yield commands.RunEnd(
            task, run, self.record.worker_id, commands.Ending.REJECTED, ""
        )


async def _start_once(self: Any, order: Any) -> None:
    while self._may_start(order):
        reply = await self._send_start(order)
        if reply is None or reply.outcome is _Outcome.EXPIRED:
            await self._timer.sleep_s(0.1)
            continue
        if reply.outcome is _Outcome.UNANSWERED:
            await self._withdraw_start(order, False)
            return
        self._record_clock(reply.clock_ms)
        await self._process_start_reply(order, reply.outcome, False)
        return


def _save_apart(self: Any, task: jobs.Task, checkpoint: str) -> None:
    del self
    task.checkpoint = checkpoint


async def _process_report_unstored(
    self: Any, report: clients.WorkerReport, sent_s: float
) -> None:
    if report.ended and self._timer.monotonic_s() % 1 < 0.2:
        self._acknowledged_sequence = max(row.sequence for row in report.ended)
        return
    await _PROCESS_REPORT(self, report, sent_s)


_PROCESS_REPORT = _Session._process_report
_IS_EXPIRED = leases.LeaseTracker.is_expired

_Change = tuple[type, str, Callable]
_CHANGES: dict[Mutation, tuple[_Change, ...]] = {
    Mutation.REFUSED_STOP_DROPPED: ((_Session, "_stop", _drop_refused_stop),),
    Mutation.CUT_REPORT_TRUSTED: (
        (worker_module.ModelWorker, "report", _trust_cut_report),
    ),
    Mutation.GANG_ENDED_IN_PART: (
        (jobs.Step, "unfinished_members", _running_members),
    ),
    Mutation.CHOSEN_NOT_DRAINED: (
        (wave_controller.WaveController, "_step_wave", _order_chosen),
        (
            wave_controller.WaveController,
            "reserved_instances",
            lambda self: self._draining_since_s.keys(),
        ),
    ),
    Mutation.STALE_REPORT_TRUSTED: (
        (_Session, "_missing_runs", _missing_by_any_report),
    ),
    Mutation.UNANSWERED_START_DROPPED: ((_Session, "_start", _start_once),),
    Mutation.LEASE_ENDED_EARLY: (
        (
            leases.LeaseTracker,
            "is_expired",
            lambda self, now_s: _IS_EXPIRED(self, now_s + 1.0),
        ),
    ),
    Mutation.END_DROPPED: (
        (_Session, "_process_report", _process_report_unstored),
    ),
    Mutation.BUDGET_IGNORED: (
        (
            wave_controller.WaveController,
            "_may_stop",
            lambda self, step, task: True,
        ),
    ),
    Mutation.LEASE_BESIDE_LOSS: (
        (
            dispatcher.Dispatcher,
            "may_grant_lease",
            lambda self, worker_id: True,
        ),
    ),
    Mutation.CHECKPOINTS_APART: ((jobs.Step, "save_checkpoint", _save_apart),),
}


@contextlib.contextmanager
def installed(mutation: Mutation) -> Iterator[None]:
    """Changes the code until the context is left."""
    with contextlib.ExitStack() as stack:
        for owner, name, method in _CHANGES[mutation]:
            stack.enter_context(unittest.mock.patch.object(owner, name, method))
        yield
