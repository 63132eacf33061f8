"""Assigns waiting tasks to workers.

Pure functions over the state and views of the workers, without I/O or clock.
"""

import bisect
from collections.abc import Iterable, Iterator, Sequence
import dataclasses
import heapq
import itertools
import operator

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import crashes
from tarragoncleat.batch.replicated import customer_usage
from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.scheduling import advice
from tarragoncleat.batch.scheduling import cap_planning
from tarragoncleat.batch.scheduling import isolation
from tarragoncleat.batch.scheduling import placement_rank
from tarragoncleat.batch.scheduling import ready_steps
from tarragoncleat.batch.scheduling import worker_views

__all__ = ["place_on_vacant", "place_steps"]


def place_steps(
    steps: Sequence[ready_steps.ReadyStep],
    views: Sequence[worker_views.WorkerView],
    approval_cache: advice.ApprovalCache | None,
    gives_way: bool = False,
    ledger: customer_usage.CapLedger | None = None,
) -> list[commands.RunStart]:
    """Returns the starts of steps; deducts their resources from the views.

    Args:
        steps: Steps in the order in which they get capacity.
        views: Workers of the steps' service.
        approval_cache: Source of the tickets that some steps need.
        gives_way: Whether the steps leave workers without long-running tasks to
            others, except for tasks that must run alone.
        ledger: What the customers may start, if any are configured.
    """
    starts = _place_alone(steps, views, approval_cache, True, ledger)
    workers = [
        view
        for view in views
        if view.is_open and (view.long_running_tasks or not gives_way)
    ]
    # Under overload nearly all workers are full and hundreds of steps wait, so
    # full workers are skipped; checking them for each step would take all of
    # the leader's time.
    ranking = _Ranking(workers, _min_demand(steps))
    for ready_step in steps:
        if not ranking.has_views:
            break
        limit = cap_planning.start_limit(ready_step, ledger)
        if not limit:
            continue
        if _is_plain(ready_step):
            placed = ranking.place(ready_step.step, limit)
        else:
            usable = _workers_with_ticket(
                ready_step, ranking.views, approval_cache
            )
            placed = list(_place_step(ready_step.step, usable, limit))
            if placed:
                ranking = _Ranking(
                    [view for view in ranking.views if view.is_open],
                    _min_demand(steps),
                )
        cap_planning.count_placed(ready_step, len(placed), ledger)
        starts.extend(placed)
    return starts


def place_on_vacant(
    steps: Sequence[ready_steps.ReadyStep],
    views: Sequence[worker_views.WorkerView],
    approval_cache: advice.ApprovalCache | None,
    ledger: customer_usage.CapLedger | None = None,
) -> list[commands.RunStart]:
    """Returns starts of tasks that must run alone, after all other steps.

    They use the workers that are still vacant.
    """
    return _place_alone(steps, views, approval_cache, False, ledger)


def _place_alone(
    steps: Iterable[ready_steps.ReadyStep],
    views: Sequence[worker_views.WorkerView],
    approval_cache: advice.ApprovalCache | None,
    is_first: bool,
    ledger: customer_usage.CapLedger | None,
) -> list[commands.RunStart]:
    """Places the tasks that probably crash their workers.

    Before the others they get a share of the workers, since the others would
    take each vacant one; after them what is left vacant.
    """
    starts: list[commands.RunStart] = []
    for ready_step in steps:
        step = ready_step.step
        if not step.suspects or step.definition.gang:
            continue
        positions = [
            position
            for position in crashes.suspects(step, crashes.Suspicion.PROBABLE)
            if position not in ready_step.placed_alone
        ][: cap_planning.start_limit(ready_step, ledger)]
        if not positions:
            continue
        workers = [view for view in views if view.is_schedulable]
        usable = _workers_with_ticket(ready_step, workers, approval_cache)
        placed = isolation.place_alone(step, positions, usable, is_first)
        ready_step.placed_alone.update(start.task.position for start in placed)
        cap_planning.count_placed(ready_step, len(placed), ledger)
        starts.extend(placed)
    return starts


def _is_plain(ready_step: ready_steps.ReadyStep) -> bool:
    """Whether only the load of a worker decides how well it suits the step."""
    definition = ready_step.step.definition
    return not (
        ready_step.step.suspects
        or ready_step.needs_ticket
        or definition.gang
        or definition.required_label
        or definition.data_rack
        or definition.max_per_worker
        or definition.long_running
        or definition.best_effort
        or definition.latency_target_ms
    )


class _Ranking:
    """Workers in the order in which plain steps fill them.

    The order is the same for all plain steps, so it is kept while they are
    placed, and only the worker that got a task moves in it.
    """

    def __init__(
        self,
        workers: Sequence[worker_views.WorkerView],
        min_demand: model.Resources,
    ) -> None:
        """Ranks workers; placing a step of another kind makes it stale.

        Args:
            workers: Workers; those with less than `min_demand` free are full.
            min_demand: The minimum of each resource over the steps to place.
        """
        self._min_demand = min_demand
        self._ranked = sorted(
            (
                (_plain_rank(view), view)
                for view in workers
                if min_demand.fits_into(view.free)
            ),
            key=operator.itemgetter(0),
        )
        # Workers only get fuller, so what didn't fit once won't fit later.
        self._unplaced_demands: list[model.Resources] = []

    @property
    def has_views(self) -> bool:
        """Whether some worker is not full."""
        return bool(self._ranked)

    @property
    def views(self) -> list[worker_views.WorkerView]:
        """The workers that are not full."""
        return [view for _, view in self._ranked]

    def place(
        self, step: jobs_module.Step, limit: int
    ) -> list[commands.RunStart]:
        """Places as many of a step's tasks as fit, at most `limit`."""
        demand = step.demand
        if any(other.fits_into(demand) for other in self._unplaced_demands):
            return []
        positions = sorted(step.waiting)[:limit]
        starts = self._place_together(step, positions)
        index = 0
        for position in positions[len(starts) :]:
            index = self._find(demand, index)
            if index == len(self._ranked):
                self._unplaced_demands.append(demand)
                break
            view = self._ranked[index][1]
            starts.append(_start(step, position, view))
            index = min(index, self._move(index))
        return starts

    def _place_together(
        self, step: jobs_module.Step, positions: Sequence[int]
    ) -> list[commands.RunStart]:
        """Places all tasks on one worker in use, if one has the room.

        A job needs all tasks of its step, so the fewer workers and zones they
        are on, the fewer jobs does the loss of one delay.
        """
        index = self._find(step.demand.times(len(positions)), 0)
        if index == len(self._ranked):
            return []
        view = self._ranked[index][1]
        if not view.task_count:
            return []
        starts = [_start(step, position, view) for position in positions]
        self._move(index)
        return starts

    def _find(self, demand: model.Resources, index: int) -> int:
        """Returns the first worker from an index on that a task fits on."""
        for rank_and_view in itertools.islice(self._ranked, index, None):
            if demand.fits_into(rank_and_view[1].free):
                break
            index += 1
        return index

    def _move(self, index: int) -> int:
        """Ranks a worker again after it got a task.

        Returns:
            Its new index, or the index of the next worker if it is full now.
        """
        _, view = self._ranked.pop(index)
        if not self._min_demand.fits_into(view.free):
            return index
        entry = (_plain_rank(view), view)
        new_index = bisect.bisect(
            self._ranked, entry[0], key=operator.itemgetter(0)
        )
        self._ranked.insert(new_index, entry)
        return new_index


def _start(
    step: jobs_module.Step, position: int, view: worker_views.WorkerView
) -> commands.RunStart:
    """Places a task on a worker."""
    key = step.tasks[position].key
    view.add_task(key, step.definition, step.demand)
    return commands.RunStart(
        key, step.next_run(position), view.record.worker_id
    )


def _plain_rank(view: worker_views.WorkerView) -> tuple:
    """Returns what `placement_rank.rank` does, for a plain step."""
    return (
        view.penalty,
        *placement_rank.packing_preference(view),
        view.record.worker_id,
    )


def _min_demand(steps: Sequence[ready_steps.ReadyStep]) -> model.Resources:
    """Returns the minimum of each resource over the demands of the steps."""
    demands = {ready_step.step.demand for ready_step in steps}
    if not demands:
        return model.Resources(0, 0, 0)
    return model.Resources(
        *(min(needs) for needs in zip(*demands, strict=True))
    )


def _workers_with_ticket(
    ready_step: ready_steps.ReadyStep,
    workers: Sequence[worker_views.WorkerView],
    approval_cache: advice.ApprovalCache | None,
) -> Sequence[worker_views.WorkerView]:
    """Returns the workers that may run a step; requests missing tickets."""
    if not ready_step.needs_ticket or approval_cache is None:
        return workers
    key = ready_step.step.tasks[0].key[:3]
    approved = [
        view
        for view in workers
        if approval_cache.ticket(key, view.record.worker_id) is not None
    ]
    candidates = [
        view for view in approved if ready_step.step.demand.fits_into(view.free)
    ]
    missing = len(ready_step.step.waiting) - len(candidates)
    if missing > 0:
        others = [view.record.worker_id for view in workers]
        approval_cache.request_tickets(key, others, missing)
    return approved


def _place_step(
    step: jobs_module.Step,
    workers: Sequence[worker_views.WorkerView],
    limit: int,
) -> Iterable[commands.RunStart]:
    if step.definition.gang:
        return _place_gang(step, workers)
    positions = step.waiting
    apart: list[commands.RunStart] = []
    if step.suspects:
        positions = positions - step.suspects
        apart = isolation.place_apart(
            step,
            crashes.suspects(step, crashes.Suspicion.POSSIBLE)[:limit],
            workers,
        )
    allowed = sorted(positions)[: limit - len(apart)]
    return [*apart, *_place_unsuspected(step, allowed, workers)]


def _place_unsuspected(
    step: jobs_module.Step,
    positions: Iterable[int],
    workers: Sequence[worker_views.WorkerView],
) -> list[commands.RunStart]:
    definition = step.definition
    first = step.tasks[0].key
    # Tasks of a step are identical, and placing one changes only the rank of
    # its worker, so a worker is ranked again only after it got a task.
    ranked = [
        (placement_rank.rank(first, definition, view), view)
        for view in workers
        if placement_rank.can_run(first, step, view)
    ]
    heapq.heapify(ranked)
    starts = []
    for position in positions:
        if not ranked:
            break
        view = ranked[0][1]
        task = step.tasks[position]
        view.add_task(task.key, definition, step.demand)
        starts.append(
            commands.RunStart(
                task.key, step.next_run(position), view.record.worker_id
            )
        )
        if placement_rank.can_run(first, step, view):
            rank = placement_rank.rank(first, definition, view)
            heapq.heapreplace(ranked, (rank, view))
        else:
            heapq.heappop(ranked)
    return starts


def _place_gang(
    step: jobs_module.Step, workers: Sequence[worker_views.WorkerView]
) -> list[commands.RunStart]:
    """Places all tasks of a gang or none."""
    if len(step.waiting) < len(step.tasks):
        return []
    if step.suspects:
        workers = isolation.workers_for_gang(step, workers)
    for group in _gang_groups(step.definition, workers):
        chosen = _workers_for_gang(step, group)
        if chosen is None:
            continue
        run = step.next_run(0)
        starts = []
        for task, view in zip(step.tasks, chosen, strict=True):
            view.add_task(task.key, step.definition, step.demand)
            if step.suspects:
                view.add_suspect(task.key.job_id, crashes.suspicion(task))
            starts.append(
                commands.RunStart(task.key, run, view.record.worker_id)
            )
        return starts
    return []


def _workers_for_gang(
    step: jobs_module.Step, group: Sequence[worker_views.WorkerView]
) -> list[worker_views.WorkerView] | None:
    """Returns a worker for each task, or None if they don't all fit."""
    copies = [
        dataclasses.replace(view, tasks_by_step=dict(view.tasks_by_step))
        for view in group
    ]
    originals = {view.record.worker_id: view for view in group}
    chosen = []
    for task in step.tasks:
        copy = _best_worker(task.key, step, copies)
        if copy is None:
            return None
        copy.add_task(task.key, step.definition, step.demand)
        chosen.append(originals[copy.record.worker_id])
    return chosen


def _gang_groups(
    definition: model.StepDefinition, workers: Sequence[worker_views.WorkerView]
) -> Iterator[Sequence[worker_views.WorkerView]]:
    """Yields worker sets to try: for rack-local steps single racks first."""
    if definition.rack_local:
        for rack in sorted({view.record.rack for view in workers}):
            yield [view for view in workers if view.record.rack == rack]
    yield workers


def _best_worker(
    key: model.TaskKey,
    step: jobs_module.Step,
    workers: Sequence[worker_views.WorkerView],
) -> worker_views.WorkerView | None:
    best = None
    best_rank: tuple = ()
    for view in workers:
        if not placement_rank.can_run(key, step, view):
            continue
        rank = placement_rank.rank(key, step.definition, view)
        if best is None or rank < best_rank:
            best, best_rank = view, rank
    return best
