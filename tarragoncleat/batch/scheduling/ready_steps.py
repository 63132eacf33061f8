"""The steps with waiting tasks that may start, kept between plans.

A plan follows each commit, and a commit changes a few jobs. While hundreds of
jobs wait, collecting and sorting the steps of all of them again would take most
of a plan's time.
"""

from collections.abc import Iterator
import dataclasses
import math

from tarragoncleat.batch.replicated import customer_usage
from tarragoncleat.batch.replicated import jobs as jobs_module
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.scheduling import fair_share
from tarragoncleat.batch.scheduling import job_order
from tarragoncleat.batch.scheduling import overload

__all__ = ["ReadyIndex", "ReadyStep", "ServiceSteps"]


@dataclasses.dataclass(slots=True, eq=False)
class ReadyStep:
    """A step with tasks that may start.

    Attributes:
        step: The step.
        rank: Rank of its job.
        needs_ticket: Whether workers need the advisor's approval.
        customer: Customer of its job; empty for none.
        charge: What each of its tasks counts for the customer.
        is_over_weight: Whether its job is beyond its customer's weight.
        has_started: Whether a task of its job was ever started.
        placed_count: Number of its tasks that the latest plan starts.
        placed_alone: Positions of those of them that run alone.
        share: See `fair_share.WaitingStep`.
        share_of: See there.
    """

    step: jobs_module.Step
    rank: job_order.JobRank
    needs_ticket: bool
    customer: model.CustomerName
    charge: model.Resources
    is_over_weight: bool
    has_started: bool = False
    placed_count: int = 0
    placed_alone: set[int] = dataclasses.field(default_factory=set)
    share: float = 0.0
    share_of: tuple[float, ...] = ()

    @property
    def unplaced_count(self) -> int:
        """Number of tasks without a worker."""
        return len(self.step.waiting) - self.placed_count

    @property
    def unplaced_millicores(self) -> int:
        """Demand of the tasks without a worker, in 1/1000 core."""
        return self.unplaced_count * self.step.demand.cpu_millicores


@dataclasses.dataclass(slots=True)
class ServiceSteps:
    """The ready steps of a service, in the order in which they get capacity.

    Attributes:
        in_time: Steps of jobs that can still meet their objectives.
        late: Steps of the other jobs, last of those beyond their customers'
            weights.
        need_tickets: Whether workers need the advisor's approval for some.
        valid_until_ms: Until when the order stays the same if no job changes.
    """

    in_time: list[ReadyStep] = dataclasses.field(default_factory=list)
    late: list[ReadyStep] = dataclasses.field(default_factory=list)
    need_tickets: bool = False
    valid_until_ms: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """The ready steps of a job at one of its revisions."""

    job: jobs_module.Job
    revision: int
    service: str | None
    steps: tuple[ReadyStep, ...]


class ReadyIndex:
    """The ready steps of all active jobs by service."""

    def __init__(self, controls_overload: bool = False) -> None:
        """Creates an empty index; `refresh` fills it.

        Args:
            controls_overload: Whether the order depends on the jobs' work.
        """
        self._mean_work = overload.MeanWork() if controls_overload else None
        self._configuration: model.FleetConfiguration | None = None
        self._entries: dict[str, _Entry] = {}
        self._entries_by_service: dict[str, dict[str, _Entry]] = {}
        self._ordered: dict[str, ServiceSteps] = {}
        # Revision of the customers' usage that the order of a service is of.
        self._usage_revisions: dict[str, int] = {}

    @property
    def services(self) -> dict[str, ServiceSteps]:
        """Steps by service, for the services with active jobs."""
        return self._ordered

    def refresh(
        self, state: state_module.BatchState, now_ms: int
    ) -> frozenset[str]:
        """Updates the index.

        Args:
            state: The replicated state.
            now_ms: Time in milliseconds since the epoch.

        Returns:
            Services whose steps or their order changed since the last call.
        """
        changed = self._update_jobs(state)
        changed.update(
            service
            for service, steps in self._ordered.items()
            if now_ms > steps.valid_until_ms
        )
        changed.update(self._update_usage(state))
        for service in changed:
            if service in self._entries_by_service:
                shares = None
                if state.customers.is_configured:
                    shares = fair_share.shares_in(
                        state.usage(), state.customers, service
                    )
                self._ordered[service] = self._order(service, now_ms, shares)
            else:
                self._ordered.pop(service, None)
        return frozenset(changed)

    def _update_usage(self, state: state_module.BatchState) -> list[str]:
        """Returns the services with customers whose usage changed."""
        if not state.customers.is_configured:
            return []
        usage = state.usage()
        changed = [
            service
            for service in self._entries_by_service
            if self._usage_revisions.get(service) != usage.revision(service)
        ]
        for service in changed:
            self._usage_revisions[service] = usage.revision(service)
        return changed

    def _update_jobs(self, state: state_module.BatchState) -> set[str]:
        """Replaces the entries of changed jobs; returns their services."""
        changed: set[str] = set()
        if state.configuration is not self._configuration:
            # It may move queues to other services.
            self._configuration = state.configuration
            changed.update(self._entries_by_service)
            self._entries.clear()
            self._entries_by_service.clear()
        active = state.active_jobs
        if self._mean_work is not None and not self._entries:
            # A new leader ranks what waits by all of it.
            for job in active.values():
                self._mean_work.add(job)
        for job_id, job in active.items():
            entry = self._entries.get(job_id)
            if (
                entry is None
                or entry.revision != job.revision
                or entry.job is not job
            ):
                changed.update(self._remove(job_id))
                changed.update(self._add(job, state.policy_of(job)))
        if len(self._entries) > len(active):
            for job_id in self._entries.keys() - active.keys():
                changed.update(self._remove(job_id))
        return changed

    def _add(
        self, job: jobs_module.Job, policy: model.QueuePolicy | None
    ) -> Iterator[str]:
        service = None
        steps: tuple[ReadyStep, ...] = ()
        if policy is not None:
            service = policy.service
            if self._mean_work is not None and not job.has_started:
                self._mean_work.add(job)
            steps = tuple(_ready_steps(job, policy, self._mean_work))
        entry = _Entry(job, job.revision, service, steps)
        self._entries[job.job_id] = entry
        if service is not None:
            entries = self._entries_by_service.setdefault(service, {})
            entries[job.job_id] = entry
            yield service

    def _remove(self, job_id: str) -> Iterator[str]:
        entry = self._entries.pop(job_id, None)
        if entry is None or entry.service is None:
            return
        entries = self._entries_by_service[entry.service]
        del entries[job_id]
        if not entries:
            del self._entries_by_service[entry.service]
        yield entry.service

    def _order(
        self, service: str, now_ms: int, shares: fair_share.Shares | None
    ) -> ServiceSteps:
        result = ServiceSteps()
        keyed = []
        for entry in self._entries_by_service[service].values():
            if not entry.steps:
                continue
            rank = entry.steps[0].rank
            key = rank.key(now_ms)
            result.valid_until_ms = min(
                result.valid_until_ms, rank.valid_until_ms(now_ms)
            )
            for ready_step in entry.steps:
                best_effort = ready_step.step.definition.best_effort
                is_over_weight = ready_step.is_over_weight
                keyed.append(((is_over_weight, best_effort, *key), ready_step))
        keyed.sort(key=lambda item: item[0])
        if shares is not None:
            keyed = fair_share.order(keyed, shares)
        for key, ready_step in keyed:
            result.need_tickets |= ready_step.needs_ticket
            can_be_in_time = job_order.can_meet_objective(key[2:])
            if can_be_in_time and not ready_step.is_over_weight:
                result.in_time.append(ready_step)
            else:
                result.late.append(ready_step)
        return result


def _ready_steps(
    job: jobs_module.Job,
    policy: model.QueuePolicy,
    mean_work: overload.MeanWork | None,
) -> Iterator[ReadyStep]:
    rank = None
    for occurrence in job.occurrences.values():
        for step in occurrence.steps:
            if step.waiting and occurrence.is_ready(step):
                rank = rank or job_order.rank(job, policy, mean_work)
                yield ReadyStep(
                    step,
                    rank,
                    policy.advice is not None,
                    job.caller.customer,
                    customer_usage.charge_of(step.definition),
                    # Nothing would end the wait of those that last.
                    job.is_over_weight and not job.is_long_running,
                    job.has_started,
                )
