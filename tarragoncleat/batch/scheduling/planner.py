"""Plans the runs to start, and the load of each service that remains.

A plan deals again only with the services whose jobs or workers changed since
the one before; the others keep their load. So the cost of a decision on one
service doesn't grow with the work of the others.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
import dataclasses
import itertools

from tarragoncleat.batch.pools import pool_sizing
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import customer_usage
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.scheduling import advice
from tarragoncleat.batch.scheduling import cap_planning
from tarragoncleat.batch.scheduling import placement
from tarragoncleat.batch.scheduling import ready_steps
from tarragoncleat.batch.scheduling import shortages
from tarragoncleat.batch.scheduling import worker_views

__all__ = ["Plan", "Planner", "plan"]

_Views = dict[str, list[worker_views.WorkerView]]


@dataclasses.dataclass(slots=True)
class Plan:
    """Runs to start, and the load by service that remains after them."""

    starts: list[commands.RunStart] = dataclasses.field(default_factory=list)
    demands: dict[str, pool_sizing.Demand] = dataclasses.field(
        default_factory=dict
    )


class Planner:
    """Plans runs again and again during one leader's term."""

    def __init__(
        self,
        state: state_module.BatchState,
        approval_cache: advice.ApprovalCache | None = None,
        controls_overload: bool = False,
        give_way_clock: shortages.GiveWayClock | None = None,
    ) -> None:
        """Creates a planner that has made no plan yet.

        Args:
            state: The replicated state, read only.
            approval_cache: Source of the tickets that steps of queues with
                advice need for each worker; missing ones are requested.
            controls_overload: Whether the order of jobs depends on their work.
            give_way_clock: Late work that gives way so far; none by default.
        """
        self._state = state
        self._approval_cache = approval_cache
        self._give_way_clock = give_way_clock or shortages.GiveWayClock()
        self._index = ready_steps.ReadyIndex(controls_overload)
        self._demands: dict[str, pool_sizing.Demand] = {}
        # Whether late work of a service gave way to others in the last plan.
        self._gave_way: dict[str, bool] = {}
        # By service and customer, the least charge of work that a cap holds
        # back, or None until it is computed.
        self._held_back: dict[
            str, dict[model.CustomerName, model.Resources | None]
        ] = {}
        # What the customers could start after the last plan.
        self._ledger: customer_usage.CapLedger | None = None
        # Whether some worker is large enough, by demand and label.
        self._fits: dict[tuple[model.Resources, str], bool] = {}

    @property
    def services(self) -> Mapping[str, ready_steps.ServiceSteps]:
        """Ready steps by service, as of the last plan."""
        return self._index.services

    def plan(
        self,
        views: _Views,
        changed_views: Collection[str],
        now_ms: int,
        has_other_workers: bool = True,
    ) -> Plan:
        """Returns the runs to start now, and deducts them from the views.

        Services without jobs keep a load once they have had one; a pool keeps
        its size until its first job, which may need all of it.

        Args:
            views: Workers by service.
            changed_views: Services whose views changed since the last plan.
            now_ms: Time in milliseconds since the epoch.
            has_other_workers: Whether workers were added, removed or resized
                since then.
        """
        changed = self._index.refresh(self._state, now_ms)
        previous, self._ledger = self._ledger, self._state.cap_ledger()
        services = self._index.services
        stale = {
            service
            for service in services.keys() | self._demands.keys()
            if has_other_workers
            or service in changed
            or service in changed_views
            or service not in self._demands
            # Approvals may have arrived.
            or self._steps_of(service).need_tickets
        }
        if has_other_workers:
            self._fits.clear()
        result = Plan()
        for service in sorted(stale):
            self._plan_in_time(service, views, result.starts)
        for service in self._released_services(stale, previous, views):
            self._plan_in_time(service, views, result.starts)
            stale.add(service)
        self._plan_late(stale, views, now_ms, result.starts)
        for service in sorted(stale):
            self._place_suspects(service, views, result.starts)
        result.demands = dict(self._demands)
        return result

    def _released_services(
        self,
        planned: Collection[str],
        previous: customer_usage.CapLedger | None,
        views: _Views,
    ) -> list[str]:
        """Returns further services in which customers may start tasks now.

        Args:
            planned: Services that this plan has dealt with.
            previous: Ledger after the last plan.
            views: Workers by service.
        """
        ledger = self._ledger
        if ledger is None or previous is None:
            return []
        released = []
        changed = ledger.changed_since(previous)
        for service, held in sorted(self._held_back.items()):
            if service in planned:
                continue
            for customer in changed & held.keys():
                charge = held[customer]
                if charge is None:
                    steps = self._steps_of(service)
                    charge = held[customer] = cap_planning.least_charge(
                        customer,
                        itertools.chain(steps.in_time, steps.late),
                        views.get(service, ()),
                    )
                if ledger.room(customer, charge):
                    released.append(service)
                    break
        return released

    def _add_up(
        self, service: str, steps: Iterable[ready_steps.ReadyStep]
    ) -> cap_planning.Unplaced:
        """Adds up what a plan doesn't start; notes what a cap holds back."""
        unplaced = cap_planning.Unplaced(steps, self._ledger)
        held = unplaced.held_customers
        if held:
            self._held_back.setdefault(service, {}).update(dict.fromkeys(held))
        return unplaced

    def _steps_of(self, service: str) -> ready_steps.ServiceSteps:
        return self._index.services.get(service, ready_steps.ServiceSteps())

    def _plan_in_time(
        self,
        service: str,
        views: _Views,
        starts: list[commands.RunStart],
    ) -> None:
        """Starts the steps in time of a service, and sets its load."""
        self._held_back.pop(service, None)
        service_views = views.get(service, [])
        steps = self._steps_of(service)
        if not service_views and service not in self._index.services:
            self._demands.pop(service, None)
            return
        # A worker that has shrunk doesn't show the size of an instance.
        instance_millicores = _largest_worker_millicores(
            {service: service_views} if service_views else views
        )
        demand = pool_sizing.Demand(instance_millicores=instance_millicores)
        placeable = self._placeable(steps.in_time, views)
        starts.extend(
            placement.place_steps(
                placeable,
                service_views,
                self._approval_cache,
                ledger=self._ledger,
            )
        )
        unplaced = self._add_up(service, placeable)
        demand.placeable_millicores = unplaced.millicores
        if len(placeable) < len(steps.in_time):
            unplaced = cap_planning.Unplaced(steps.in_time, self._ledger)
        demand.unplaced_millicores = unplaced.millicores
        demand.unplaced_long_running = sum(
            unplaced.count_within_cap(ready_step)
            for ready_step in steps.in_time
            if ready_step.step.definition.long_running
        )
        _update_used(demand, service_views)
        self._demands[service] = demand

    def _plan_late(
        self,
        stale: Collection[str],
        views: _Views,
        now_ms: int,
        starts: list[commands.RunStart],
    ) -> None:
        """Starts steps of late jobs, and updates the load of their services.

        While another service lacks instances they get only workers with
        long-running tasks: the others can move there once they are idle. That
        ends when none has moved for some time.
        """
        self._give_way_clock.update(self._lacking_services())
        for service, steps in self._index.services.items():
            if not steps.late:
                continue
            gives_way = self._give_way_clock.gives_way(
                service,
                [view.record.worker_id for view in views.get(service, ())],
                now_ms,
            )
            if service in stale or self._gave_way.get(service) != gives_way:
                self._gave_way[service] = gives_way
                self._place_late(service, views, gives_way, starts)

    def _place_late(
        self,
        service: str,
        views: _Views,
        gives_way: bool,
        starts: list[commands.RunStart],
    ) -> None:
        steps = self._steps_of(service).late
        service_views = views.get(service, [])
        placeable = self._placeable(steps, views)
        starts.extend(
            placement.place_steps(
                placeable,
                service_views,
                self._approval_cache,
                gives_way,
                self._ledger,
            )
        )
        demand = self._demands[service]
        demand.late_millicores = self._add_up(service, steps).millicores
        _update_used(demand, service_views)

    def _place_suspects(
        self, service: str, views: _Views, starts: list[commands.RunStart]
    ) -> None:
        """Starts tasks that must run alone on workers that are still vacant."""
        steps = self._steps_of(service)
        late = () if self._gave_way.get(service) else steps.late
        suspects = [
            ready_step
            for ready_step in (*steps.in_time, *late)
            if ready_step.step.suspects
        ]
        if not suspects:
            return
        service_views = views.get(service, [])
        starts.extend(
            placement.place_on_vacant(
                suspects, service_views, self._approval_cache, self._ledger
            )
        )
        _update_used(self._demands[service], service_views)

    def _placeable(
        self, steps: Iterable[ready_steps.ReadyStep], views: _Views
    ) -> list[ready_steps.ReadyStep]:
        """Returns the steps whose tasks fit on some worker of the fleet.

        The others can never run; trying them again would cost each plan a look
        at every worker.
        """
        result = []
        for ready_step in steps:
            ready_step.placed_count = 0
            ready_step.placed_alone.clear()
            step = ready_step.step
            key = (step.demand, step.definition.required_label)
            if key not in self._fits:
                self._fits[key] = _fits_somewhere(*key, views)
            if self._fits[key]:
                result.append(ready_step)
        return result

    def _lacking_services(self) -> set[str]:
        """Returns the services that need instances of other pools.

        Without a spare pool no instance moves.
        """
        configuration = self._state.configuration
        if configuration is None or not any(
            service.is_spare for service in configuration.services
        ):
            return set()
        return {
            service
            for service, demand in self._demands.items()
            if pool_sizing.lacks_instances(demand)
        }


def plan(
    state: state_module.BatchState,
    views: _Views,
    now_ms: int,
    approval_cache: advice.ApprovalCache | None = None,
    give_way_clock: shortages.GiveWayClock | None = None,
) -> Plan:
    """Returns a plan that no earlier one precedes; see `Planner`."""
    made = Planner(state, approval_cache, give_way_clock=give_way_clock)
    return made.plan(views, views.keys(), now_ms)


def _largest_worker_millicores(views: _Views) -> int:
    """Returns the size of the largest worker, in 1/1000 core."""
    return max(
        (
            view.record.cpu_millicores
            for service_views in views.values()
            for view in service_views
        ),
        default=1,
    )


def _update_used(
    demand: pool_sizing.Demand, views: Sequence[worker_views.WorkerView]
) -> None:
    """Sets the used and the free capacity of a service's workers."""
    demand.free_millicores = sum(
        view.free.cpu_millicores for view in views if view.is_open
    )
    demand.used_millicores = sum(
        view.record.cpu_millicores - view.free.cpu_millicores for view in views
    )


def _fits_somewhere(demand: model.Resources, label: str, views: _Views) -> bool:
    """Whether a task fits on some worker while nothing else runs there."""
    return any(
        demand.fits_into(view.record.capacity)
        and (not label or label in view.record.labels)
        for service_views in views.values()
        for view in service_views
    )
