"""A worker as the protocol describes it, without network or threads."""

from collections.abc import Mapping
import dataclasses
import itertools
import math

import anyio

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.workers import clients
from tarragoncleat_model import availability
from tarragoncleat_model import history as history_module

__all__ = ["GangBoard", "ModelWorker", "TaskBehaviour"]

_MS_PER_S = 1000
_MAX_LEASE_MS = 6_000
_GANG_TIMEOUT_S = 3.0
_STARTUP_S = 0.7
_CLOCK_OFFSET_MS = 50_000
_CHECKPOINT_INTERVAL_S = 0.5
_PERCENT = 100

_Outcome = clients.OrderOutcome
_Ending = commands.Ending


@dataclasses.dataclass(frozen=True, slots=True)
class TaskBehaviour:
    """What the tasks of a step do.

    Attributes:
        duration_s: Length of a run that isn't interrupted.
        failures: Number of first runs that end as failed.
        definition: The step.
    """

    duration_s: float
    failures: int
    definition: model.StepDefinition


@dataclasses.dataclass(slots=True)
class _Run:
    task: model.TaskKey
    number: int
    behaviour: TaskBehaviour
    began_s: float
    ends_s: float
    resumed_s: float

    @property
    def gang(self) -> tuple[str, int, int, int]:
        """Identifies the runs that work together."""
        return (*self.task[:3], self.number)

    def progress_s(self, now_s: float) -> float:
        """Returns the work done, including that before the checkpoint."""
        if math.isinf(self.ends_s) and self.behaviour.definition.gang:
            return self.resumed_s
        return self.resumed_s + now_s - self.began_s


class GangBoard:
    """Lets the members of a gang find each other."""

    def __init__(self) -> None:
        """Creates an empty board."""
        self._present: dict[tuple, int] = {}
        self._complete_s: dict[tuple, float] = {}
        self._broken: set[tuple] = set()

    def join(self, gang: tuple, size: int, now_s: float) -> None:
        """Records that a member is present."""
        self._present[gang] = self._present.get(gang, 0) + 1
        if self._present[gang] == size and gang not in self._broken:
            self._complete_s[gang] = now_s

    def complete_s(self, gang: tuple) -> float | None:
        """Returns when the last member came, or None."""
        return self._complete_s.get(gang)

    def is_broken(self, gang: tuple) -> bool:
        """Whether a member has ended without being done."""
        return gang in self._broken

    def leave(self, gang: tuple, ending: commands.Ending) -> None:
        """Records the end of a member."""
        if ending is not _Ending.DONE:
            self._broken.add(gang)


class ModelWorker:
    """One incarnation of a worker.

    The caller advances it: first `expire`, then `finish`, on all workers, so
    that a gang is done on all of them or broken.
    """

    def __init__(
        self,
        record: model.WorkerRecord,
        behaviours: Mapping[str, TaskBehaviour],
        gangs: GangBoard,
        history: history_module.History,
        watch: availability.AvailabilityWatch,
        page_size: int,
        clock_rate: float,
        born_s: float,
    ) -> None:
        """Creates a worker on which nothing runs.

        Args:
            record: The worker.
            behaviours: What tasks do, by job.
            gangs: Shared by all workers.
            history: Receives starts, ends and lapses.
            watch: Learns which tasks are ended by orders.
            page_size: Number of ends that a report lists.
            clock_rate: Speed of the worker's clock.
            born_s: Time of its start.
        """
        self.record = record
        self.is_up = True
        self.changed = anyio.Event()
        self._behaviours = behaviours
        self._gangs = gangs
        self._history = history
        self._watch = watch
        self._page_size = page_size
        self._clock_rate = clock_rate
        self._born_s = born_s
        self._fence = 0
        self._lease_ms = 0
        self._has_lease = False
        self._runs: dict[model.TaskKey, _Run] = {}
        self._highest: dict[model.TaskKey, int] = {}
        self._ended: list[clients.EndedRun] = []
        self._numbers = itertools.count(1)

    def clock_ms(self, now_s: float) -> int:
        """Returns the worker's own clock."""
        elapsed_s = (now_s - self._born_s) * self._clock_rate
        return _CLOCK_OFFSET_MS + int(elapsed_s * _MS_PER_S)

    @property
    def tasks(self) -> tuple[model.TaskKey, ...]:
        """Tasks that run here."""
        return tuple(self._runs)

    def runs(self, task: model.TaskKey) -> bool:
        """Whether a task runs here."""
        return task in self._runs

    def at_work(self, now_s: float) -> set[model.TaskKey]:
        """Returns the long-running tasks that have started up."""
        return {
            run.task
            for run in self._runs.values()
            if run.behaviour.definition.long_running
            and now_s - run.began_s >= _STARTUP_S
        }

    def expire(self, now_s: float) -> None:
        """Ends what the lease no longer covers."""
        lease_s = self._lease_s()
        if not self._has_lease or lease_s > now_s:
            return
        self._has_lease = False
        for run in list(self._runs.values()):
            if run.ends_s > lease_s:
                self._end(run, _Ending.LEASE_EXPIRED, lease_s)
        self._history.record_lapse(self.record.worker_id, now_s)

    def finish(self, now_s: float) -> None:
        """Ends runs that are done, and gangs that are broken or incomplete."""
        for run in list(self._runs.values()):
            if run.behaviour.definition.gang:
                self._advance_gang(run, now_s)
            if run.task in self._runs and run.ends_s <= now_s:
                has_failed = run.number <= run.behaviour.failures
                self._end(
                    run,
                    _Ending.FAILED if has_failed else _Ending.DONE,
                    run.ends_s,
                )

    def _advance_gang(self, run: _Run, now_s: float) -> None:
        complete_s = self._gangs.complete_s(run.gang)
        if self._gangs.is_broken(run.gang):
            self._end(run, _Ending.BROKEN, now_s)
        elif complete_s is not None and math.isinf(run.ends_s):
            run.began_s = complete_s
            run.ends_s = complete_s + run.behaviour.duration_s - run.resumed_s
        elif math.isinf(run.ends_s) and now_s - run.began_s > _GANG_TIMEOUT_S:
            self._end(run, _Ending.ALONE, now_s)

    def start(self, order: clients.StartOrder, now_s: float) -> _Outcome:
        """Carries out a start."""
        if order.fence < self._fence:
            return _Outcome.FENCED
        self._fence = order.fence
        known = self._runs.get(order.task)
        if known is not None and known.number == order.run:
            return _Outcome.ACCEPTED
        if order.lease_until_ms <= self.clock_ms(now_s):
            return _Outcome.EXPIRED
        self._extend(order.lease_until_ms, now_s)
        if known is not None or order.run <= self._highest.get(order.task, 0):
            return _Outcome.SUPERSEDED
        behaviour = self._behaviours[order.task.job_id]
        if self._used() + behaviour.definition.demand.cpu_millicores > (
            self.record.cpu_millicores
        ):
            self._history.record_break(
                history_module.Rule.ROOM, now_s, self.record.worker_id
            )
        self._begin(order, behaviour, now_s)
        return _Outcome.ACCEPTED

    def _begin(
        self, order: clients.StartOrder, behaviour: TaskBehaviour, now_s: float
    ) -> None:
        definition = behaviour.definition
        resumed_s = 0.0
        if order.checkpoint:
            resumed_s = min(float(order.checkpoint), behaviour.duration_s)
        ends_s = now_s + behaviour.duration_s - resumed_s
        if definition.long_running or definition.gang:
            ends_s = math.inf
        run = _Run(order.task, order.run, behaviour, now_s, ends_s, resumed_s)
        self._runs[order.task] = run
        if definition.gang:
            self._gangs.join(run.gang, definition.task_count, now_s)
        self._history.record_start(
            history_module.Start(
                now_s,
                order.task,
                order.run,
                self.record.worker_id,
                order.checkpoint,
            )
        )

    def stop(self, order: clients.StopOrder, now_s: float) -> _Outcome:
        """Carries out a stop."""
        if order.fence < self._fence:
            return _Outcome.FENCED
        self._fence = order.fence
        run = self._runs.get(order.task)
        if run is not None and run.number <= order.run:
            stopped = {order.task} & self.at_work(now_s)
            self._watch.record_order(stopped, "a stop", now_s)
            self._end(run, _Ending.STOPPED, now_s)
        highest = self._highest.get(order.task, 0)
        self._highest[order.task] = max(highest, order.run)
        return _Outcome.ACCEPTED

    def renew(
        self, order: clients.RenewLeaseOrder, now_s: float
    ) -> _Outcome | None:
        """Renews the lease and drops acknowledged ends."""
        if order.fence < self._fence:
            return _Outcome.FENCED
        self._fence = order.fence
        if order.lease_until_ms is not None:
            self._extend(order.lease_until_ms, now_s)
        if self._ended and self._ended[0].sequence <= order.acknowledged:
            self._history.record_acknowledgement(
                self.record.worker_id, order.acknowledged, now_s
            )
        self._ended = [
            end for end in self._ended if end.sequence > order.acknowledged
        ]
        return None

    @property
    def has_ends(self) -> bool:
        """Whether there are ends to report."""
        return bool(self._ended)

    def report(self, now_s: float) -> clients.WorkerReport:
        """Returns what runs, and a page of the ends."""
        listed = tuple(self._ended[: self._page_size])
        return clients.WorkerReport(
            self.clock_ms(now_s),
            tuple(self._row(run, now_s) for run in self._runs.values()),
            listed,
            lists_all_ends=len(listed) < self._page_size,
        )

    def crash(self) -> None:
        """Ends the incarnation with all that runs."""
        self.is_up = False
        for run in self._runs.values():
            if run.behaviour.definition.gang:
                self._gangs.leave(run.gang, _Ending.BROKEN)
        self._runs.clear()
        self.changed.set()

    def _row(self, run: _Run, now_s: float) -> clients.RunningTask:
        definition = run.behaviour.definition
        percent = int(
            _PERCENT * run.progress_s(now_s) / run.behaviour.duration_s
        )
        if definition.long_running:
            is_up = now_s - run.began_s >= _STARTUP_S
            percent = _PERCENT if is_up else 0
        checkpoint = self._checkpoint(run, now_s)
        return clients.RunningTask(
            run.task, run.number, checkpoint, percent, 0.0
        )

    def _checkpoint(self, run: _Run, now_s: float) -> str:
        if not run.behaviour.definition.checkpointing:
            return ""
        saved = int(run.progress_s(now_s) / _CHECKPOINT_INTERVAL_S)
        return str(saved * _CHECKPOINT_INTERVAL_S) if saved else ""

    def _end(self, run: _Run, ending: commands.Ending, at_s: float) -> None:
        del self._runs[run.task]
        highest = self._highest.get(run.task, 0)
        self._highest[run.task] = max(highest, run.number)
        if run.behaviour.definition.gang:
            self._gangs.leave(run.gang, ending)
        number = next(self._numbers)
        self._ended.append(
            clients.EndedRun(
                number,
                run.task,
                run.number,
                ending,
                self._checkpoint(run, at_s),
            )
        )
        self._history.record_end(
            history_module.End(
                at_s,
                run.task,
                run.number,
                self.record.worker_id,
                ending,
                number,
            )
        )
        self.changed.set()

    def _extend(self, until_ms: int, now_s: float) -> None:
        longest_ms = self.clock_ms(now_s) + _MAX_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, longest_ms))
        self._has_lease = self._lease_s() > now_s

    def _lease_s(self) -> float:
        """Returns when the lease expires, in the time of the model."""
        elapsed_s = (self._lease_ms - _CLOCK_OFFSET_MS) / _MS_PER_S
        return self._born_s + elapsed_s / self._clock_rate

    def _used(self) -> int:
        return sum(
            run.behaviour.definition.demand.cpu_millicores
            for run in self._runs.values()
        )
