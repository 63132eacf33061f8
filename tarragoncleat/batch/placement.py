"""Assigns waiting tasks to workers.

Pure functions over the state and views of the workers, without I/O or clock.
"""

from collections.abc import Iterable, Iterator, Sequence
import dataclasses
import heapq

from tarragoncleat.batch import advice
from tarragoncleat.batch import commands
from tarragoncleat.batch import job_order
from tarragoncleat.batch import jobs as jobs_module
from tarragoncleat.batch import model
from tarragoncleat.batch import pool_sizing
from tarragoncleat.batch import state as state_module
from tarragoncleat.batch import worker_views

__all__ = ["Plan", "plan"]

_LONG_RUNNING, _IN_USE, _IDLE = range(3)


@dataclasses.dataclass(slots=True)
class _ReadyStep:
    """A step with tasks that may start, and its sort key."""

    order: tuple
    can_meet_objective: bool
    needs_ticket: bool
    step: jobs_module.Step
    placed_count: int = 0

    @property
    def unplaced_count(self) -> int:
        """Number of tasks without a worker."""
        return len(self.step.waiting) - self.placed_count


@dataclasses.dataclass(slots=True)
class Plan:
    """Runs to start, and the load by service that remains after them."""

    starts: list[commands.RunStart] = dataclasses.field(default_factory=list)
    demands: dict[str, pool_sizing.Demand] = dataclasses.field(
        default_factory=dict
    )


def plan(
    state: state_module.BatchState,
    views: dict[str, list[worker_views.WorkerView]],
    now_ms: int,
    approval_cache: advice.ApprovalCache | None = None,
    idle_services: Iterable[str] = (),
) -> Plan:
    """Returns the runs to start now; deducts their resources from the views.

    Args:
        state: The replicated state.
        views: Workers by service.
        now_ms: Time in milliseconds since the epoch.
        approval_cache: Source of the tickets that steps of queues with advice
            need for each worker; missing ones are requested.
        idle_services: Services that get a demand even without jobs.
    """
    ready: dict[str, list[_ReadyStep]] = {
        service: [] for service in idle_services if service in views
    }
    for job in state.active_jobs.values():
        policy = state.policy_of(job)
        if policy is None:
            continue
        steps = ready.setdefault(policy.service, [])
        steps.extend(_ready_steps(job, policy, now_ms))
    result = Plan()
    default_instance_millicores = _largest_worker_millicores(views)
    for service, steps in ready.items():
        steps.sort(key=lambda ready_step: ready_step.order)
        result.demands[service] = _plan_service(
            [step for step in steps if step.can_meet_objective],
            views.get(service, ()),
            default_instance_millicores,
            approval_cache,
            result.starts,
        )
    late = {
        service: [step for step in steps if not step.can_meet_objective]
        for service, steps in ready.items()
    }
    if any(late.values()):
        _record_placeable(ready, views, result.demands)
        lacking = _lacking_services(state, result.demands)
        for service, steps in late.items():
            _place_late_steps(
                steps,
                views.get(service, ()),
                bool(lacking - {service}),
                approval_cache,
                result.starts,
                result.demands[service],
            )
    return result


def _place_late_steps(
    steps: Sequence[_ReadyStep],
    views: Sequence[worker_views.WorkerView],
    gives_way: bool,
    approval_cache: advice.ApprovalCache | None,
    starts: list[commands.RunStart],
    demand: pool_sizing.Demand,
) -> None:
    """Starts steps of late jobs, and updates the service's load.

    With `gives_way` they get only workers with long-running tasks: the others
    can move, once they are idle, to a pool that lacks instances.
    """
    workers = views
    if gives_way:
        workers = [view for view in views if view.long_running_tasks]
    _place_steps(steps, workers, approval_cache, starts)
    demand.late_millicores = _unplaced_millicores(steps)
    _update_used(demand, views)


def _record_placeable(
    ready: dict[str, list[_ReadyStep]],
    views: dict[str, list[worker_views.WorkerView]],
    demands: dict[str, pool_sizing.Demand],
) -> None:
    """Sets the part of each service's unplaced demand that fits somewhere."""
    records = [view.record for workers in views.values() for view in workers]
    for service, steps in ready.items():
        demands[service].placeable_millicores = _unplaced_millicores(
            step for step in steps if _is_placeable(step, records)
        )


def _lacking_services(
    state: state_module.BatchState, demands: dict[str, pool_sizing.Demand]
) -> set[str]:
    """Returns the services that need instances of other pools for their work.

    Without a spare pool no instance moves.
    """
    configuration = state.configuration
    if configuration is None or not any(
        service.is_spare for service in configuration.services
    ):
        return set()
    return {
        service
        for service, demand in demands.items()
        if pool_sizing.lacks_instances(demand)
    }


def _largest_worker_millicores(
    views: dict[str, list[worker_views.WorkerView]],
) -> int:
    """Returns the size of the largest worker, in 1/1000 core."""
    return max(
        (
            view.record.cpu_millicores
            for service_views in views.values()
            for view in service_views
        ),
        default=1,
    )


def _plan_service(
    steps: Sequence[_ReadyStep],
    views: Sequence[worker_views.WorkerView],
    default_instance_millicores: int,
    approval_cache: advice.ApprovalCache | None,
    starts: list[commands.RunStart],
) -> pool_sizing.Demand:
    """Starts the steps in time of a service and returns its remaining load.

    If the service has no workers, `default_instance_millicores` is the assumed
    size of its instances.
    """
    instance_millicores = (
        views[0].record.cpu_millicores if views else default_instance_millicores
    )
    demand = pool_sizing.Demand(instance_millicores=instance_millicores)
    _place_steps(steps, views, approval_cache, starts)
    demand.unplaced_millicores = _unplaced_millicores(steps)
    demand.unplaced_long_running = sum(
        ready_step.unplaced_count
        for ready_step in steps
        if ready_step.step.definition.long_running
    )
    _update_used(demand, views)
    return demand


def _is_placeable(
    ready_step: _ReadyStep, records: Sequence[model.WorkerRecord]
) -> bool:
    """Whether a step in time has unplaced tasks that fit on some worker."""
    if not (ready_step.can_meet_objective and ready_step.unplaced_count):
        return False
    definition = ready_step.step.definition
    label = definition.required_label
    return any(
        definition.demand.fits_into(record.capacity)
        and (not label or label in record.labels)
        for record in records
    )


def _unplaced_millicores(steps: Iterable[_ReadyStep]) -> int:
    return sum(
        ready_step.unplaced_count
        * ready_step.step.definition.demand.cpu_millicores
        for ready_step in steps
    )


def _update_used(
    demand: pool_sizing.Demand, views: Sequence[worker_views.WorkerView]
) -> None:
    """Sets the used and the free capacity of a service's workers."""
    demand.free_millicores = sum(
        view.free.cpu_millicores for view in views if view.is_schedulable
    )
    demand.used_millicores = sum(
        view.record.cpu_millicores - view.free.cpu_millicores for view in views
    )


def _place_steps(
    steps: Sequence[_ReadyStep],
    views: Sequence[worker_views.WorkerView],
    approval_cache: advice.ApprovalCache | None,
    starts: list[commands.RunStart],
) -> None:
    """Adds the starts of steps, which are in the order of their ranks."""
    workers = [view for view in views if view.is_schedulable]
    # Under overload nearly all workers are full and hundreds of steps wait, so
    # full workers are skipped; checking them for each step would take all of
    # the leader's time.
    min_demand = _min_demand(steps)
    candidates = _with_free_capacity(workers, min_demand)
    for ready_step in steps:
        if not candidates:
            break
        placed = list(
            _place_step(
                ready_step.step,
                _workers_with_ticket(ready_step, candidates, approval_cache),
            )
        )
        if placed:
            starts.extend(placed)
            ready_step.placed_count = len(placed)
            candidates = _with_free_capacity(candidates, min_demand)


def _min_demand(steps: Sequence[_ReadyStep]) -> model.Resources:
    """Returns the minimum of each resource over the demands of the steps."""
    demands = [ready_step.step.definition.demand for ready_step in steps]
    if not demands:
        return model.Resources(0, 0, 0)
    return model.Resources(
        *(min(needs) for needs in zip(*demands, strict=True))
    )


def _with_free_capacity(
    workers: Sequence[worker_views.WorkerView], min_demand: model.Resources
) -> list[worker_views.WorkerView]:
    return [view for view in workers if min_demand.fits_into(view.free)]


def _ready_steps(
    job: jobs_module.Job, policy: model.QueuePolicy, now_ms: int
) -> Iterator[_ReadyStep]:
    order = None
    for occurrence in job.occurrences.values():
        for step in occurrence.steps:
            if step.waiting and occurrence.is_ready(step):
                if order is None:
                    order = job_order.sort_key(job, policy, now_ms)
                best_effort = step.definition.best_effort
                can_meet_objective = job_order.can_meet_objective(order)
                needs_ticket = policy.advice is not None
                yield _ReadyStep(
                    (best_effort, *order),
                    can_meet_objective,
                    needs_ticket,
                    step,
                )


def _workers_with_ticket(
    ready_step: _ReadyStep,
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
        view
        for view in approved
        if ready_step.step.definition.demand.fits_into(view.free)
    ]
    missing = len(ready_step.step.waiting) - len(candidates)
    if missing > 0:
        others = [view.record.worker_id for view in workers]
        approval_cache.request_tickets(key, others, missing)
    return approved


def _place_step(
    step: jobs_module.Step, workers: Sequence[worker_views.WorkerView]
) -> Iterable[commands.RunStart]:
    if step.definition.gang:
        return _place_gang(step, workers)
    definition = step.definition
    first = step.tasks[0].key
    # Tasks of a step are identical, and placing one changes only the rank of
    # its worker, so a worker is ranked again only after it got a task.
    ranked = [
        (_rank(first, definition, view), view)
        for view in workers
        if _can_run(first, definition, view)
    ]
    heapq.heapify(ranked)
    starts = []
    for position in sorted(step.waiting):
        if not ranked:
            break
        view = ranked[0][1]
        task = step.tasks[position]
        view.add_task(task.key, definition)
        starts.append(
            commands.RunStart(
                task.key, step.next_run(position), view.record.worker_id
            )
        )
        if _can_run(first, definition, view):
            rank = _rank(first, definition, view)
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
    for group in _gang_groups(step.definition, workers):
        chosen = _workers_for_gang(step, group)
        if chosen is None:
            continue
        run = step.next_run(0)
        starts = []
        for task, view in zip(step.tasks, chosen, strict=True):
            view.add_task(task.key, step.definition)
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
        copy = _best_worker(task.key, step.definition, copies)
        if copy is None:
            return None
        copy.add_task(task.key, step.definition)
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
    definition: model.StepDefinition,
    workers: Sequence[worker_views.WorkerView],
) -> worker_views.WorkerView | None:
    best = None
    best_rank: tuple = ()
    for view in workers:
        if not _can_run(key, definition, view):
            continue
        rank = _rank(key, definition, view)
        if best is None or rank < best_rank:
            best, best_rank = view, rank
    return best


def _can_run(
    key: model.TaskKey,
    definition: model.StepDefinition,
    view: worker_views.WorkerView,
) -> bool:
    if not definition.demand.fits_into(view.free):
        return False
    label = definition.required_label
    if label and label not in view.record.labels:
        return False
    max_per_worker = definition.max_per_worker
    return (
        not max_per_worker
        or view.tasks_by_step.get(key[:3], 0) < max_per_worker
    )


def _rank(
    key: model.TaskKey,
    definition: model.StepDefinition,
    view: worker_views.WorkerView,
) -> tuple:
    """Returns the rank of a worker for a task; the lowest is the best."""
    data_rack = definition.data_rack
    is_remote = bool(data_rack) and view.record.rack != data_rack
    interfering = 0
    if definition.best_effort:
        interfering = view.latency_sensitive_tasks
    elif definition.latency_target_ms:
        interfering = view.best_effort_tasks
    is_due_for_maintenance = (
        view.is_due_for_maintenance and definition.long_running
    )
    same_step = (
        view.tasks_by_step.get(key[:3], 0) if definition.long_running else 0
    )
    return (
        view.penalty,
        is_remote,
        is_due_for_maintenance,
        same_step,
        interfering,
        *_packing_preference(view),
        view.record.worker_id,
    )


def _packing_preference(view: worker_views.WorkerView) -> tuple[int, int]:
    """Returns a rank that packs tasks so that whole workers become idle.

    Workers with long-running tasks can't move anyway, so they are filled first,
    evenly. Of the others the fullest come first and idle ones last.
    """
    free = view.free.cpu_millicores
    if view.long_running_tasks:
        return _LONG_RUNNING, -free
    return (_IN_USE, free) if view.task_count else (_IDLE, free)
