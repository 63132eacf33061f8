"""Builders of jobs, workers and configurations, and fake clients."""

from collections.abc import Sequence
import dataclasses
import itertools
import json
from typing import Any

import anyio

from tarragoncleat.batch import bounds
from tarragoncleat.batch.leader import dispatcher
from tarragoncleat.batch.replicated import commands
from tarragoncleat.batch.replicated import customers
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.scheduling import advice
from tarragoncleat.batch.workers import clients
from tarragoncleat.cluster import replica_selection
from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier

__all__ = [
    "FakeAdvisorClient",
    "FakeInstanceClient",
    "FakeLog",
    "FakeRun",
    "FakeWorker",
    "LocalState",
    "build_configuration",
    "build_customer",
    "build_customer_configuration",
    "build_heartbeat_body",
    "build_job",
    "build_configuration_fields",
    "build_replica_status",
    "build_record",
    "build_step",
    "build_dispatcher",
    "ManualTimer",
    "task_key",
]

QUEUE = model.QueueKey("hall.example", "/bids/")


def build_step(task_count: int = 1, **fields: Any) -> model.StepDefinition:
    """Returns a step of tasks with 1 core and an estimate of 1 s."""
    values: dict[str, Any] = {
        "cpu_millicores": 1_000,
        "memory_mb": 512,
        "estimated_ms": 1_000,
    }
    return model.StepDefinition(task_count, **{**values, **fields})


def build_job(*steps: model.StepDefinition) -> model.JobDefinition:
    """Returns a job of these steps, or of one default step."""
    return model.JobDefinition("payload", steps or (build_step(),))


def build_record(worker_id: str = "w-1", **fields: Any) -> model.WorkerRecord:
    """Returns a worker with 4 cores on its own instance."""
    values: dict[str, Any] = {
        "service": "bidding",
        "address": f"{worker_id}:80",
        "availability_zone": "fukuoka-a",
        "instance": f"instance-of-{worker_id}",
        "labels": ("a", "rack-1"),
        "rack": "rack-1",
        "cpu_millicores": 4_000,
        "memory_mb": 8_192,
        "accelerators": 0,
    }
    return model.WorkerRecord(worker_id, **{**values, **fields})


def build_configuration(
    version: int = 1, **queue_fields: Any
) -> model.FleetConfiguration:
    """Returns a configuration with one queue and one service."""
    values: dict[str, Any] = {
        "name": "bids",
        "host": QUEUE.host,
        "path_prefix": QUEUE.path_prefix,
        "service": "bidding",
        "timeout_ms": 3_000,
        "latency_ms": 600,
        "priority": 0,
        "max_attempts": 3,
        "stretch": 1.6,
    }
    queue = model.QueuePolicy(**{**values, **queue_fields})
    service = model.ServicePolicy(queue.service, True, False)
    return model.FleetConfiguration(version, b"{}", (queue,), (service,))


def build_customer(name: str, *keys: str) -> model.CustomerPolicy:
    """Returns a customer without a cap."""
    digests = [customers.digest_key(key.encode()) for key in keys]
    return model.CustomerPolicy(
        model.CustomerName(name), tuple(digests), 1.0, model.Resources(0, 0, 0)
    )


def build_customer_configuration(
    version: int, *owned: model.CustomerPolicy, **queue_fields: Any
) -> model.FleetConfiguration:
    """Returns a configuration with one queue and these customers."""
    return dataclasses.replace(
        build_configuration(version, **queue_fields), customers=owned
    )


def task_key(job_id: str = "job-1", position: int = 0) -> model.TaskKey:
    """Returns a task of a job's first step."""
    return model.TaskKey(job_id, 0, 0, position)


def build_replica_status(
    name: str,
    silent_s: float = 0.0,
    zone: str | None = None,
    **fields: Any,
) -> replica_selection.ReplicaStatus:
    """Returns the status of a replica as its leader sees it."""
    return replica_selection.ReplicaStatus(
        ids.EntryId(name),
        ids.AvailabilityZone(zone) if zone else None,
        silent_s,
        **fields,
    )


def build_configuration_fields(**fields: Any) -> dict[str, Any]:
    """Returns the fields of a valid configuration in the platform's JSON."""
    route = {
        "name": "r-1",
        "host": QUEUE.host,
        "path-prefix": QUEUE.path_prefix,
        "type": "unsafe",
        "timeout-ms": 3000,
        "target-latency-ms": 600,
        "priority": 1,
        "service": "bidding",
        "max-attempts": 3,
        "stretch": 1.6,
    }
    service = {"name": "bidding", "rejects-overload": True, "spare": False}
    return {
        "version": 7,
        "routes": [route],
        "services": [service],
        **fields,
    }


def build_heartbeat_body(**fields: Any) -> bytes:
    """Returns the body of a heartbeat as the platform's workers send it."""
    values = {
        "service": "bidding",
        "address": "10.128.0.9:8080",
        "zone": "fukuoka-a",
        "machine": "m-1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "clock-ms": 482113,
        "sequence": 4,
    }
    return json.dumps({**values, **fields}).encode()


class LocalState:
    """A batch state to which commands are applied directly, without a log."""

    def __init__(self, max_attempts: int = 3) -> None:
        self.state = state_module.BatchState()
        self._index = itertools.count(1)
        self.time_ms = 1_000_000
        self.apply(
            commands.PutConfiguration(
                build_configuration(max_attempts=max_attempts)
            )
        )

    def apply(self, command: commands.Command) -> None:
        """Applies a command at the current time."""
        payload = codec.encode(command)
        self.state.apply(next(self._index), self.time_ms, payload)

    def submit(
        self, job_id: str = "job-1", *steps: model.StepDefinition
    ) -> None:
        """Accepts a job."""
        self.apply(commands.SubmitJob(job_id, QUEUE, build_job(*steps)))

    def register(self, *worker_ids: str, **fields: Any) -> None:
        """Registers workers."""
        for worker_id in worker_ids:
            record = build_record(worker_id, **fields)
            self.apply(commands.RegisterWorker(record))

    def start(
        self, task: model.TaskKey, run: int = 1, worker_id: str = "w-1"
    ) -> None:
        """Records the start of a run."""
        row = commands.RunStart(task, run, worker_id)
        self.apply(commands.StartRuns((row,)))

    def end(
        self,
        task: model.TaskKey,
        ending: commands.Ending = commands.Ending.DONE,
        run: int = 1,
        worker_id: str = "w-1",
        checkpoint: str = "",
    ) -> None:
        """Records the end of a run."""
        row = commands.RunEnd(task, run, worker_id, ending, checkpoint)
        self.apply(commands.EndRuns((row,)))


class ManualTimer(timer_module.TimerService):
    """A timer whose clock moves only by `advance`."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self.now_s += seconds

    def monotonic_s(self) -> float:
        """Returns the manual clock."""
        return self.now_s

    def wall_time_ms(self) -> int:
        """Returns the manual clock in milliseconds."""
        return int(self.now_s * 1000)


class FakeLog:
    """A log that applies each proposed command at once."""

    def __init__(self, state: state_module.BatchState, term: int = 1) -> None:
        self.state = state
        self.term = term
        self.committed: list[Any] = []
        self.is_rejecting = False
        self.on_commit: list[Any] = []
        # Records of others that are applied before the next proposal.
        self.ahead: list[commands.Command] = []
        # Proposals wait for their commit while this is set.
        self.stall: anyio.Event | None = None
        self.confirmed_age_s = 0.0
        # Commands whose commit has stalled.
        self.stalled: list[commands.Command] = []

    async def propose(
        self, payload: bytes, timeout_s: float
    ) -> applier.AppliedProposal | errors.Failure:
        """Applies a command, after a stall even if its time is over."""
        await anyio.sleep(0)
        stall = self.stall
        if stall is not None:
            self.stalled.append(codec.decode(payload))
            with anyio.move_on_after(timeout_s):
                await stall.wait()
            if not stall.is_set():
                self.ahead.append(codec.decode(payload))
                return errors.Failure(errors.ErrorKind.UNDECIDED, "stalled")
        if self.is_rejecting:
            return errors.Failure(errors.ErrorKind.NO_LEADER, "refused")
        while self.ahead:
            self._apply(codec.encode(self.ahead.pop(0)))
        result = self._apply(payload)
        for call in self.on_commit:
            call()
        return applier.AppliedProposal(len(self.committed), result)

    def _apply(self, payload: bytes) -> bytes:
        self.committed.append(codec.decode(payload))
        return self.state.apply(len(self.committed), 1_000_000, payload)

    def leadership_age_s(self) -> float:
        """Returns how long ago the leadership was confirmed."""
        return self.confirmed_age_s

    async def read_barrier(self) -> bool:
        """Returns whether the log still accepts commands."""
        await anyio.sleep(0)
        return not self.is_rejecting

    async def read(self, evaluate: Any) -> Any:
        """Evaluates the state unless the log rejects commands."""
        value = evaluate()
        if await self.read_barrier():
            return value
        return errors.Failure(errors.ErrorKind.NO_LEADER, "refused")


@dataclasses.dataclass
class FakeRun:
    """The state of a run that a fake worker reports."""

    checkpoint: str = ""
    percent: int = 0
    load: float = 0.0


class FakeWorker:
    """A worker and its client; runs end by `end` or by a stop order."""

    def __init__(self, record: model.WorkerRecord) -> None:
        self.record = record
        self.clock_ms = 50_000
        self.fence = 0
        self.running: dict[tuple[model.TaskKey, int], FakeRun] = {}
        self.ended: list[clients.EndedRun] = []
        self.starts: list[clients.StartOrder] = []
        self.stops: list[clients.StopOrder] = []
        self.paces: list[clients.PaceOrder] = []
        self.acknowledged = 0
        self.renewed_until_ms = 0
        self.max_poll_s = 0.02
        # A report lists the first ends up to this number.
        self.max_listed_ends = 500
        self.is_unresponsive = False
        self.has_ended = False
        # Answers in place of this worker, which has started again.
        self.successor: FakeWorker | None = None
        self.acknowledgements: list[int] = []
        self.start_outcome: clients.OrderOutcome | None = None
        # Outcomes of the next orders of a kind, which do nothing.
        self.next_start_outcomes: list[clients.OrderOutcome] = []
        self.next_stop_outcomes: list[clients.OrderOutcome] = []
        self.next_pace_outcomes: list[clients.OrderOutcome] = []
        self.lost_replies = 0
        # Raised by the next renewal.
        self.error: Exception | None = None
        self._changed = anyio.Event()
        self._sequence = itertools.count(1)

    def end(
        self,
        task: model.TaskKey,
        run: int = 1,
        ending: commands.Ending = commands.Ending.DONE,
    ) -> None:
        """Ends a run."""
        done = self.running.pop((task, run))
        self.ended.append(
            clients.EndedRun(
                next(self._sequence), task, run, ending, done.checkpoint
            )
        )
        self._changed.set()

    async def start(self, order: clients.StartOrder) -> clients.OrderReply:
        """Starts a run that wasn't stopped, or returns the set outcome."""
        if self.successor is not None:
            return _as_successor(await self.successor.start(order))
        failure = await self._failure()
        if failure is not None:
            return failure
        self.starts.append(order)
        if self.next_start_outcomes:
            return self._reply(self.next_start_outcomes.pop(0))
        if self.start_outcome is not None:
            return self._reply(self.start_outcome)
        if any(
            (stop.task, stop.run) == (order.task, order.run)
            for stop in self.stops
        ):
            return self._reply(clients.OrderOutcome.SUPERSEDED)
        self.running.setdefault((order.task, order.run), FakeRun())
        if self.lost_replies:
            self.lost_replies -= 1
            return clients.OrderReply(clients.OrderOutcome.UNANSWERED)
        return self._reply(clients.OrderOutcome.ACCEPTED)

    async def stop(self, order: clients.StopOrder) -> clients.OrderReply:
        """Stops a run."""
        if self.successor is not None:
            return _as_successor(await self.successor.stop(order))
        failure = await self._failure()
        if failure is not None:
            return failure
        if self.next_stop_outcomes:
            return self._reply(self.next_stop_outcomes.pop(0))
        self.stops.append(order)
        if (order.task, order.run) in self.running:
            self.end(order.task, order.run, commands.Ending.STOPPED)
        return self._reply(clients.OrderOutcome.ACCEPTED)

    async def pace(self, order: clients.PaceOrder) -> clients.OrderReply:
        """Records the order."""
        if self.next_pace_outcomes:
            return self._reply(self.next_pace_outcomes.pop(0))
        self.paces.append(order)
        return self._reply(clients.OrderOutcome.ACCEPTED)

    async def renew_lease(
        self, order: clients.RenewLeaseOrder
    ) -> clients.WorkerReport | clients.OrderReply:
        """Returns a report; waits briefly for an end if the order allows it."""
        self.acknowledgements.append(order.acknowledged)
        if self.successor is not None:
            report = await self.successor.renew_lease(order)
            if isinstance(report, clients.OrderReply):
                return report
            return dataclasses.replace(report, is_successor=True)
        error, self.error = self.error, None
        if error is not None:
            raise error
        failure = await self._failure()
        if failure is not None:
            return failure
        self.acknowledged = max(self.acknowledged, order.acknowledged)
        self.renewed_until_ms = order.lease_until_ms or self.renewed_until_ms
        self.ended = [
            row for row in self.ended if row.sequence > order.acknowledged
        ]
        if not self.ended:
            self._changed = anyio.Event()
            with anyio.move_on_after(self.max_poll_s if order.wait_ms else 0):
                await self._changed.wait()
        rows = tuple(
            clients.RunningTask(
                task, run, row.checkpoint, row.percent, row.load
            )
            for (task, run), row in self.running.items()
        )
        listed = tuple(self.ended[: self.max_listed_ends])
        return clients.WorkerReport(
            self.clock_ms,
            rows,
            listed,
            lists_all_ends=len(listed) == len(self.ended),
        )

    async def close(self) -> None:
        """Does nothing."""

    async def _failure(self) -> clients.OrderReply | None:
        await anyio.sleep(0)
        outcome = None
        if self.is_unresponsive:
            outcome = clients.OrderOutcome.UNANSWERED
        elif self.has_ended:
            outcome = clients.OrderOutcome.GONE
        return clients.OrderReply(outcome) if outcome else None

    def _reply(self, outcome: clients.OrderOutcome) -> clients.OrderReply:
        return clients.OrderReply(outcome, self.clock_ms)


def _as_successor(reply: clients.OrderReply) -> clients.OrderReply:
    if reply.outcome is clients.OrderOutcome.ACCEPTED:
        return clients.OrderReply(clients.OrderOutcome.RESTARTED)
    return clients.OrderReply(reply.outcome)


class FakeInstanceClient:
    """Records moves and maintenance orders, which succeed unless set."""

    def __init__(self) -> None:
        self.maintained: list[str] = []
        self.moved: list[tuple[str, str]] = []
        self.instances: tuple[clients.InstanceRecord, ...] = ()
        self.failure: errors.Failure | None = None

    async def list_instances(
        self,
    ) -> tuple[clients.InstanceRecord, ...] | errors.Failure:
        """Returns the instances that the test has set."""
        return self.instances

    async def move(
        self, instance: str, pool: str, holder: str, fence: int
    ) -> None | errors.Failure:
        """Records the move unless a failure is set."""
        del holder, fence
        if self.failure is None:
            self.moved.append((instance, pool))
        return self.failure

    async def maintain(
        self, instance: str, wave: int, holder: str, fence: int
    ) -> None | errors.Failure:
        """Records the order unless a failure is set."""
        del wave, holder, fence
        if self.failure is None:
            self.maintained.append(instance)
        return self.failure


class FakeAdvisorClient:
    """Approves the workers in `approved_ids` and records the calls."""

    def __init__(self, approved_ids: Sequence[str] = ()) -> None:
        self.approved_ids = approved_ids
        self.valid_ms = 3_000
        self.calls: list[tuple[advice.StepKey, tuple[str, ...]]] = []

    async def request_approvals(
        self, step: advice.StepKey, worker_ids: Sequence[str]
    ) -> advice.Approvals | errors.Failure:
        """Returns tickets for the approved workers."""
        self.calls.append((step, tuple(worker_ids)))
        await anyio.sleep(0)
        approvals = tuple(
            advice.Approval(worker_id, f"ticket-{len(self.calls)}")
            for worker_id in worker_ids
            if worker_id in self.approved_ids
        )
        return advice.Approvals(approvals, self.valid_ms)


def build_dispatcher(
    local: LocalState,
    workers: Sequence[FakeWorker],
    timer: timer_module.TimerService,
    instances: FakeInstanceClient | None = None,
    term: int = 1,
) -> tuple[dispatcher.Dispatcher, FakeLog]:
    """Returns a dispatcher with fake clients, and its log."""
    log = FakeLog(local.state, term)
    by_id = {worker.record.worker_id: worker for worker in workers}

    def create_client(record: model.WorkerRecord) -> FakeWorker:
        if record.worker_id not in by_id:
            raise ValueError(f"no client for {record.address!r}")
        return by_id[record.worker_id]

    made = dispatcher.Dispatcher(
        log,  # type: ignore[arg-type]
        local.state,
        timer,
        bounds.Bounds(),
        create_client,
        instances or FakeInstanceClient(),
        FakeAdvisorClient(),
        "core-1",
    )
    log.on_commit.append(made.notify_state_changed)
    return made, log
