"""A batch state with customers, without log, network or clock."""

from collections.abc import Iterator, Mapping, Sequence
import heapq
import itertools
from typing import Any

import msgpack

from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import customers
from tarragoncleat.batch.replicated import jobs
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.scheduling import planner
from tarragoncleat.batch.scheduling import worker_views
from tarragoncleat.kernel import codec
from tests import batch_builders

__all__ = ["CustomerFleet", "build_customer", "key_of"]

_NO_CAP = model.Resources(0, 0, 0)


def key_of(name: str) -> model.KeyDigest:
    """Returns the digest of a customer's key."""
    return customers.digest_key(f"key of {name}".encode())


def build_customer(
    name: str, weight: float = 1.0, cap: Sequence[int] = _NO_CAP
) -> model.CustomerPolicy:
    """Returns a customer with one key."""
    return model.CustomerPolicy(
        model.CustomerName(name), (key_of(name),), weight, model.Resources(*cap)
    )


class CustomerFleet:
    """A fleet with one pool per service, planned by the leader's planner."""

    def __init__(self, services: Sequence[str] = ("bidding",)) -> None:
        self.state = state_module.BatchState()
        self.now_ms = 1_000_000
        self.queues = {
            service: model.QueueKey("host", f"/{service}/")
            for service in services
        }
        self._index = itertools.count(1)
        self._versions = itertools.count(1)
        self._jobs = itertools.count(1)
        self._ends: list[tuple[int, model.TaskKey, int, str]] = []
        self.restart_leader()

    def restart_leader(self) -> None:
        """Forgets what only a leader knows."""
        self._cache = worker_views.ViewCache()
        self._planner = planner.Planner(self.state)

    def apply(self, command: commands.Command) -> Any:
        """Applies a command and returns its result."""
        payload = codec.encode(command)
        result = self.state.apply(next(self._index), self.now_ms, payload)
        return msgpack.unpackb(result)

    def configure(self, *policies: model.CustomerPolicy, **fields: Any) -> None:
        """Puts a configuration with customers in force."""
        version = next(self._versions)
        queues = tuple(
            batch_builders.build_configuration(
                name=service,
                host=key.host,
                path_prefix=key.path_prefix,
                service=service,
                allows_anonymous=True,
                **fields,
            ).queues[0]
            for service, key in self.queues.items()
        )
        pools = tuple(
            model.ServicePolicy(service, True, False)
            for service in (*self.queues, "spare")
        )
        self.apply(
            commands.PutConfiguration(
                model.FleetConfiguration(
                    version, b"{}", queues, pools, policies or None
                )
            )
        )

    def register(self, count: int, **fields: Any) -> None:
        """Adds workers to each pool."""
        for service in self.queues:
            for number in range(count):
                record = batch_builders.build_record(
                    f"{service}-{number}", service=service, **fields
                )
                self.apply(commands.RegisterWorker(record))

    def submit(
        self,
        customer: str,
        *steps: model.StepDefinition,
        service: str = "",
    ) -> tuple[str, commands.JobDecision]:
        """Submits a job; returns its id and the decision."""
        job_id = f"{customer or 'anonymous'}-{next(self._jobs):06}"
        queue = self.queues[service or next(iter(self.queues))]
        definition = batch_builders.build_job(*steps)
        key = key_of(customer) if customer else customers.NO_KEY
        command = commands.SubmitCustomerJob(job_id, queue, definition, key)
        return job_id, commands.JobDecision(self.apply(command))

    def plan(self) -> planner.Plan:
        """Returns a plan of what changed since the last one."""
        schedulable_workers = dict.fromkeys(self.state.workers, 0.0)
        views = self._cache.refresh(
            self.state, schedulable_workers, now_ms=self.now_ms
        )
        return self._planner.plan(
            views,
            self._cache.changed_services,
            self.now_ms,
            self._cache.has_other_workers,
        )

    def views(self) -> dict[str, list[worker_views.WorkerView]]:
        """Returns new views of the workers."""
        schedulable_workers = dict.fromkeys(self.state.workers, 0.0)
        return worker_views.build_views(
            self.state, schedulable_workers, now_ms=self.now_ms
        )

    def start(self, starts: Sequence[commands.RunStart]) -> list[bool]:
        """Applies starts; their tasks end after their estimates."""
        results = self.apply(commands.StartRuns(tuple(starts)))
        for run, is_started in zip(starts, results, strict=True):
            if is_started:
                located = self.state.task(run.task)
                assert located is not None
                end_ms = self.now_ms + located[1].definition.estimated_ms
                entry = (end_ms, run.task, run.run, run.worker_id)
                heapq.heappush(self._ends, entry)
        return results

    def run(self) -> list[commands.RunStart]:
        """Plans and starts."""
        starts = self.plan().starts
        if starts:
            self.start(starts)
        return starts

    def advance(self, duration_ms: int) -> None:
        """Lets time pass, and ends the tasks that are over."""
        self.now_ms += duration_ms
        ends = []
        while self._ends and self._ends[0][0] <= self.now_ms:
            _, task, run, worker_id = heapq.heappop(self._ends)
            ends.append(
                commands.RunEnd(task, run, worker_id, commands.Ending.DONE, "")
            )
        if ends:
            self.apply(commands.EndRuns(tuple(ends)))

    def running(self) -> Iterator[tuple[str, model.StepDefinition, jobs.Task]]:
        """Yields customer, step and task of all tasks that may run."""
        for worker in self.state.workers.values():
            for key in worker.tasks:
                job = self.state.job(key.job_id)
                located = self.state.task(key)
                assert job is not None
                assert located is not None
                yield job.caller.customer, located[1].definition, located[2]

    def usage(self) -> Mapping[str, tuple[int, ...]]:
        """Returns CPU, memory, accelerators and tasks, counted anew."""
        totals: dict[str, tuple[int, ...]] = {}
        for customer, step, _ in self.running():
            charge = (
                step.cpu_millicores,
                step.memory_mb,
                step.accelerators,
                1,
            )
            total = totals.get(customer, (0, 0, 0, 0))
            totals[customer] = tuple(map(sum, zip(total, charge, strict=True)))
        return totals
