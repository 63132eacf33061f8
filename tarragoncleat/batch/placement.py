"""Chooses which waiting tasks start now, and on which workers.

Pure functions over the state and over views of the workers; they perform no
I/O and read no clock.
"""

from collections.abc import Iterable, Iterator, Sequence
import dataclasses
import heapq

from tarragoncleat.batch import advice
from tarragoncleat.batch import commands
from tarragoncleat.batch import jobs as jobs_module
from tarragoncleat.batch import model
from tarragoncleat.batch import pool_sizing
from tarragoncleat.batch import state as state_module
from tarragoncleat.batch import urgency
from tarragoncleat.batch import worker_views

__all__ = ["Plan", "plan"]

_ANCHORED, _IN_USE, _VACANT = range(3)


@dataclasses.dataclass(slots=True)
class _Ready:
    """A step with tasks that may start, and its place in the order."""

    order: tuple
    in_time: bool
    is_advised: bool
    step: jobs_module.Step
    placed: int = 0


@dataclasses.dataclass(slots=True)
class Plan:
    """Runs to start, and the work in time that found no room by service."""

    starts: list[commands.RunStart] = dataclasses.field(default_factory=list)
    demands: dict[str, pool_sizing.Demand] = dataclasses.field(
        default_factory=dict
    )


def plan(
    state: state_module.BatchState,
    views: dict[str, list[worker_views.WorkerView]],
    now_ms: int,
    advisor: advice.Advisor | None = None,
    idle_services: Iterable[str] = (),
) -> Plan:
    """Returns the runs to start now; takes their room from the views.

    Args:
        state: The state.
        views: Workers by service.
        now_ms: Time in milliseconds since the epoch.
        advisor: Steps of queues with advice run only on workers with a
            ticket; it is told which ones are missing.
        idle_services: Services whose load is stated also without jobs.
    """
    ready: dict[str, list[_Ready]] = {
        service: [] for service in idle_services if service in views
    }
    for job in state.active_jobs.values():
        policy = state.policy_of(job)
        if policy is None:
            continue
        steps = ready.setdefault(policy.service, [])
        steps.extend(_ready_steps(job, policy, now_ms))
    made = Plan()
    usual_size = _usual_size(views)
    for service, steps in ready.items():
        steps.sort(key=lambda item: item.order)
        made.demands[service] = _plan_service(
            steps, views.get(service, ()), usual_size, advisor, made.starts
        )
    return made


def _usual_size(views: dict[str, list[worker_views.WorkerView]]) -> int:
    """Returns the size of the largest worker, in 1/1000 core."""
    return max(
        (
            view.record.cpu_millicores
            for found in views.values()
            for view in found
        ),
        default=1,
    )


def _plan_service(
    steps: Sequence[_Ready],
    views: Sequence[worker_views.WorkerView],
    usual_size: int,
    advisor: advice.Advisor | None,
    starts: list[commands.RunStart],
) -> pool_sizing.Demand:
    """Adds the starts of one service, and returns its load after them.

    Instances of a service without workers count as `usual_size`, in 1/1000
    core.
    """
    size = views[0].record.cpu_millicores if views else usual_size
    demand = pool_sizing.Demand(instance_millicores=size)
    workers = [view for view in views if view.is_open]
    # Under overload nearly all workers are full and hundreds of steps wait;
    # trying each step on each worker would take all of the leader's time.
    least = _least_demand(steps)
    room = _with_room(workers, least)
    for item in steps:
        if not room:
            break
        placed = list(_place_step(item.step, _allowed(item, room, advisor)))
        if placed:
            starts.extend(placed)
            item.placed = len(placed)
            room = _with_room(room, least)
    for item in steps:
        if item.in_time:
            definition = item.step.definition
            unplaced = len(item.step.waiting) - item.placed
            cpu = definition.demand.cpu_millicores
            demand.unplaced_millicores += unplaced * cpu
            if definition.long_running:
                demand.unplaced_lasting += unplaced
    demand.free_millicores = sum(view.free.cpu_millicores for view in workers)
    demand.used_millicores = sum(
        view.record.cpu_millicores - view.free.cpu_millicores for view in views
    )
    return demand


def _least_demand(steps: Sequence[_Ready]) -> model.Resources:
    """Returns room that each of the steps needs for a task, at the least."""
    demands = [item.step.definition.demand for item in steps]
    if not demands:
        return model.Resources(0, 0, 0)
    return model.Resources(
        *(min(needs) for needs in zip(*demands, strict=True))
    )


def _with_room(
    workers: Sequence[worker_views.WorkerView], least: model.Resources
) -> list[worker_views.WorkerView]:
    return [view for view in workers if least.fits_into(view.free)]


def _ready_steps(
    job: jobs_module.Job, policy: model.QueuePolicy, now_ms: int
) -> Iterator[_Ready]:
    order = None
    for occurrence in job.occurrences.values():
        for step in occurrence.steps:
            if step.waiting and occurrence.is_ready(step):
                if order is None:
                    order = urgency.order_of(job, policy, now_ms)
                best_effort = step.definition.best_effort
                in_time = urgency.is_in_time(order)
                is_advised = policy.advice is not None
                yield _Ready((best_effort, *order), in_time, is_advised, step)


def _allowed(
    item: _Ready,
    workers: Sequence[worker_views.WorkerView],
    advisor: advice.Advisor | None,
) -> Sequence[worker_views.WorkerView]:
    """Returns the workers that may run a step, and asks for more."""
    if not item.is_advised or advisor is None:
        return workers
    key = item.step.tasks[0].key[:3]
    allowed = [
        view
        for view in workers
        if advisor.ticket(key, view.record.worker_id) is not None
    ]
    room = [
        view
        for view in allowed
        if item.step.definition.demand.fits_into(view.free)
    ]
    missing = len(item.step.waiting) - len(room)
    if missing > 0:
        others = [view.record.worker_id for view in workers]
        advisor.want(key, others, missing)
    return allowed


def _place_step(
    step: jobs_module.Step, workers: Sequence[worker_views.WorkerView]
) -> Iterable[commands.RunStart]:
    if step.definition.gang:
        return _place_gang(step, workers)
    definition = step.definition
    first = step.tasks[0].key
    # Tasks of a step are alike, and placing one changes the preference of
    # its worker only, so each worker is ranked anew only after it got a task.
    ranked = [
        (_rank(first, definition, view), view)
        for view in workers
        if _may_run(first, definition, view)
    ]
    heapq.heapify(ranked)
    starts = []
    for position in sorted(step.waiting):
        if not ranked:
            break
        view = ranked[0][1]
        task = step.tasks[position]
        view.take(task.key, definition)
        starts.append(
            commands.RunStart(
                task.key, step.next_run(position), view.record.worker_id
            )
        )
        if _may_run(first, definition, view):
            rank = _rank(first, definition, view)
            heapq.heapreplace(ranked, (rank, view))
        else:
            heapq.heappop(ranked)
    return starts


def _place_gang(
    step: jobs_module.Step, workers: Sequence[worker_views.WorkerView]
) -> list[commands.RunStart]:
    """Places all members, or none of them."""
    if len(step.waiting) < len(step.tasks):
        return []
    for group in _gang_groups(step.definition, workers):
        chosen = _workers_for_gang(step, group)
        if chosen is None:
            continue
        run = step.next_run(0)
        starts = []
        for task, view in zip(step.tasks, chosen, strict=True):
            view.take(task.key, step.definition)
            starts.append(
                commands.RunStart(task.key, run, view.record.worker_id)
            )
        return starts
    return []


def _workers_for_gang(
    step: jobs_module.Step, group: Sequence[worker_views.WorkerView]
) -> list[worker_views.WorkerView] | None:
    """Returns a worker for each member, or None when they don't all fit."""
    copies = [
        dataclasses.replace(view, steps=dict(view.steps)) for view in group
    ]
    originals = {view.record.worker_id: view for view in group}
    chosen = []
    for task in step.tasks:
        copy = _best_worker(task.key, step.definition, copies)
        if copy is None:
            return None
        copy.take(task.key, step.definition)
        chosen.append(originals[copy.record.worker_id])
    return chosen


def _gang_groups(
    definition: model.StepDefinition, workers: Sequence[worker_views.WorkerView]
) -> Iterator[Sequence[worker_views.WorkerView]]:
    """Yields the sets of workers to try: single racks first if they help."""
    if definition.rack_local:
        for rack in sorted({view.record.rack for view in workers}):
            yield [view for view in workers if view.record.rack == rack]
    yield workers


def _best_worker(
    key: model.TaskKey,
    definition: model.StepDefinition,
    workers: Sequence[worker_views.WorkerView],
) -> worker_views.WorkerView | None:
    best = None
    best_rank: tuple = ()
    for view in workers:
        if not _may_run(key, definition, view):
            continue
        rank = _rank(key, definition, view)
        if best is None or rank < best_rank:
            best, best_rank = view, rank
    return best


def _may_run(
    key: model.TaskKey,
    definition: model.StepDefinition,
    view: worker_views.WorkerView,
) -> bool:
    if not definition.demand.fits_into(view.free):
        return False
    label = definition.required_label
    if label and label not in view.record.labels:
        return False
    most = definition.max_per_worker
    return not most or view.steps.get(key[:3], 0) < most


def _rank(
    key: model.TaskKey,
    definition: model.StepDefinition,
    view: worker_views.WorkerView,
) -> tuple:
    """Returns the preference of a worker; the least is the best."""
    data_rack = definition.data_rack
    is_far = bool(data_rack) and view.record.rack != data_rack
    disturbed = 0
    if definition.best_effort:
        disturbed = view.serving
    elif definition.latency_target_ms:
        disturbed = view.best_effort
    is_passing = view.is_passing and definition.long_running
    same_step = view.steps.get(key[:3], 0) if definition.long_running else 0
    return (
        view.penalty,
        is_far,
        is_passing,
        same_step,
        disturbed,
        *_packing(view),
        view.record.worker_id,
    )


def _packing(view: worker_views.WorkerView) -> tuple[int, int]:
    """Returns the preference that empties whole workers.

    Workers with tasks that last can't leave, so their room goes first, evenly;
    of the others the fullest goes first, and one without tasks last.
    """
    free = view.free.cpu_millicores
    if view.lasting:
        return _ANCHORED, -free
    return (_IN_USE, free) if view.tasks else (_VACANT, free)
