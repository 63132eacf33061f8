"""Log events of queues, jobs, workers and waves.

`job` is the submitter's job id, so that one search over the logs of all nodes
finds every decision about a job.
"""

import dataclasses
from typing import NamedTuple

from tarragoncleat.kernel import event_log

__all__ = [
    "AdviceMissing",
    "CallerRefused",
    "ConfigurationAnswered",
    "ConfigurationInForce",
    "CustomerLoad",
    "CustomersLoad",
    "InstanceMoved",
    "JobAccepted",
    "JobCancelled",
    "JobEnded",
    "JobsHeldBack",
    "JobsWaiting",
    "LeadershipChanged",
    "MaintenanceOrdered",
    "OperatorAnswered",
    "PoolLoad",
    "QueueAnswered",
    "RequestAnswered",
    "RequestRefused",
    "RunsEnded",
    "RunsLost",
    "RunsStarted",
    "StartRefused",
    "StartsNotStored",
    "StopRefused",
    "SubmissionRefused",
    "TaskPaced",
    "TasksSuspected",
    "WaveAccepted",
    "WorkerChanged",
    "WorkerLossesStored",
    "WorkerResized",
]

_HIGH = event_log.Priority.HIGH
_LOW = event_log.Priority.LOW


@event_log.event("request_answered", event_log.Priority.LISTENERS_ONLY)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestAnswered:
    """A request was answered."""

    method: str
    status: int
    took_ms: float


@event_log.event("request_refused", _HIGH)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestRefused:
    """A request was answered with an error.

    Attributes:
        job: Id of the job, if the path holds one.
        path: Path of the request.
        method: Method of the request.
        status: Status of the answer.
        kind: Kind of the error.
        reason: Reason of the error.
        waited_ms: Time from the request's arrival to the answer.
        leader_age_ms: Age of the last message of a leader, or None.
    """

    job: str
    path: str
    method: str
    status: int
    kind: str
    reason: str
    waited_ms: int
    leader_age_ms: int | None


@event_log.event("job_accepted", _HIGH)
@dataclasses.dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job is stored.

    Attributes:
        job: Id of the job.
        queue: Name of its queue.
        version: Configuration in force when the job was acknowledged.
        term: Term of the leader.
        tasks: Number of tasks.
        is_new: Whether the job was not stored before.
        routed_version: Configuration in force when the queue was chosen.
        waited_ms: Time from the request's arrival at the leader.
        customer: Name of the caller's customer; empty for an anonymous caller.
    """

    job: str
    queue: str
    version: int
    term: int
    tasks: int
    is_new: bool
    routed_version: int
    waited_ms: int
    customer: str


@event_log.event("job_cancelled", _HIGH)
@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job's cancellation is stored.

    `waited_ms` is the time from the request's arrival at the leader.
    """

    job: str
    was_known: bool
    waited_ms: int


@event_log.event("submission_refused", _HIGH)
@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionRefused:
    """The leader refused a job for want of room.

    Attributes:
        job: Id of the job.
        queue: Name of its queue.
        service: Service of the queue.
        priority: Priority of the queue.
        cause: One word for the rule that refused it.
        reason: The same as a sentence.
        retry_after_s: When the caller is told to come back.
    """

    job: str
    queue: str
    service: str
    priority: int
    cause: str
    reason: str
    retry_after_s: int


@event_log.event("jobs_waiting", _LOW)
@dataclasses.dataclass(frozen=True, slots=True)
class JobsWaiting:
    """Number of jobs of a service and priority of which nothing has started.

    `outlook` is `in_time`, `late` or `expired`.
    """

    service: str
    priority: int
    outlook: str
    jobs: int


@event_log.event("job_ended", _HIGH)
@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has ended, `age_ms` after it was accepted.

    `objective_ms` follows from the queue's policy and the submitter's estimate.
    """

    job: str
    state: str
    age_ms: int
    objective_ms: int


@event_log.event("runs_started")
@dataclasses.dataclass(frozen=True, slots=True)
class RunsStarted:
    """Runs were stored and are being sent to workers.

    `runs` holds task, run number and worker.
    """

    runs: tuple[tuple[str, int, str], ...]
    term: int
    waiting_millicores: int


@event_log.event("runs_ended")
@dataclasses.dataclass(frozen=True, slots=True)
class RunsEnded:
    """Runs ended without success; `runs` holds task, run, worker and ending."""

    runs: tuple[tuple[str, int, str, str], ...]


@event_log.event("runs_lost")
@dataclasses.dataclass(frozen=True, slots=True)
class RunsLost:
    """A worker was lost with runs; their tasks are queued again.

    `change` is that of the `WorkerChanged` beside it; `runs` holds task and run
    number.
    """

    worker: str
    change: str
    runs: tuple[tuple[str, int], ...]


@event_log.event("worker_losses_stored")
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLossesStored:
    """The losses of workers were committed, or refused.

    No lease was granted to the workers in the `took_ms` since the proposal;
    `refused` tells why the losses were not committed.
    """

    workers: tuple[str, ...]
    took_ms: float
    refused: str | None = None


@event_log.event("tasks_suspected")
@dataclasses.dataclass(frozen=True, slots=True)
class TasksSuspected:
    """A worker crashed under tasks, and the crash was counted for each.

    Attributes:
        worker: Id of the worker.
        instance: Its instance.
        was_isolated: Whether only tasks of one job ran on it.
        runs: Task, and number of workers that have crashed under it.
        given_up: Jobs of which a task was given up. They failed, but for those
            of which other tasks last.
        unconfirmed: Tasks that may not have begun before the crash.
    """

    worker: str
    instance: str
    was_isolated: bool
    runs: tuple[tuple[str, int], ...]
    given_up: tuple[str, ...]
    unconfirmed: tuple[str, ...] = ()


@event_log.event("start_refused")
@dataclasses.dataclass(frozen=True, slots=True)
class StartRefused:
    """A worker refused a start."""

    task: str
    run: int
    worker: str
    outcome: str
    was_unanswered: bool


@event_log.event("stop_refused")
@dataclasses.dataclass(frozen=True, slots=True)
class StopRefused:
    """A worker refused a stop, which is repeated until it is taken."""

    task: str
    run: int
    worker: str
    outcome: str


@event_log.event("starts_not_stored")
@dataclasses.dataclass(frozen=True, slots=True)
class StartsNotStored:
    """Planned runs could not be stored and were not sent."""

    count: int
    reason: str


@event_log.event("worker_changed")
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerChanged:
    """The known state of a worker has changed."""

    worker: str
    service: str
    change: str
    tasks: int = 0


@event_log.event("worker_resized")
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerResized:
    """A worker's capacity has changed; resources are CPU, memory, accelerators.

    Attributes:
        worker: Id of the worker.
        service: Its service.
        sequence: Number of the heartbeat that told it.
        capacity: The new capacity, in 1/1000 core, MB and accelerators.
        free: What no task reserves; negative while more runs than fits.
    """

    worker: str
    service: str
    sequence: int
    capacity: tuple[int, ...]
    free: tuple[int, ...]


@event_log.event("leadership")
@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """This node became the leader or ceased to be it."""

    term: int
    leads: bool


@event_log.event("configuration")
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """A configuration is stored and applied."""

    version: int
    queues: int
    services: int


@event_log.event("configuration_answered")
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationAnswered:
    """The leader answered a request to put or to read the configuration.

    Attributes:
        method: Method of the request.
        version: Version in the request, or None for a read.
        held: Version in force at the time of the answer, or None.
        term: Term of the leader.
        failure: Reason of the failure, or None.
        waited_ms: Time from the request's arrival at the leader.
    """

    method: str
    version: int | None
    held: int | None
    term: int
    failure: str | None
    waited_ms: int


@event_log.event("caller_refused", _HIGH)
@dataclasses.dataclass(frozen=True, slots=True)
class CallerRefused:
    """The leader refused a request because of its key.

    Attributes:
        job: Id of the job; empty for a request about a queue.
        queue: Name of the queue.
        version: The configuration that decided.
        term: Term of the leader.
        key: "none" or "unknown"; "other_customer" or "other_queue" if a job of
            another customer or of another queue has the id.
        waited_ms: Time from the request's arrival at the leader.
    """

    job: str
    queue: str
    version: int
    term: int
    key: str
    waited_ms: int


@event_log.event("queue_answered", _LOW)
@dataclasses.dataclass(frozen=True, slots=True)
class QueueAnswered:
    """The leader read a queue's length, or found no queue at the path.

    Attributes:
        host: Host of the request.
        path: Path of the request.
        queue: Name of the queue, or None if there is none at the path.
        version: The configuration that decided.
        term: Term of the leader.
        waited_ms: Time from the request's arrival at the leader.
    """

    host: str
    path: str
    queue: str | None
    version: int
    term: int
    waited_ms: int


@event_log.event("operator_answered", _HIGH)
@dataclasses.dataclass(frozen=True, slots=True)
class OperatorAnswered:
    """A node answered an operator.

    Attributes:
        method: Method of the request.
        path: Path of the request.
        status: Status of the answer.
        reason: Reason of the error, or None.
        waited_ms: Time from the request's arrival to the answer.
    """

    method: str
    path: str
    status: int
    reason: str | None
    waited_ms: int


@event_log.event("pool_load")
@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of a service's pool, once per second.

    Attributes:
        service: Name of the service.
        workers: Workers whose incarnations have not ended.
        schedulable: Workers that may get tasks.
        arriving: Instances that are moving to the pool.
        used_millicores: Demand of the placed tasks.
        free_millicores: Free capacity of the schedulable workers.
        unplaced_millicores: Demand without a worker that can be in time.
        late_millicores: Demand without a worker of late jobs.
    """

    service: str
    workers: int
    schedulable: int
    arriving: int
    used_millicores: int
    free_millicores: int
    unplaced_millicores: int
    late_millicores: int


class CustomerLoad(NamedTuple):
    """What a customer uses and waits for.

    Attributes:
        customer: Name of the customer.
        tasks: Number of its tasks that run or may run.
        used: What they reserve: CPU (1/1000 core), memory (MB), accelerators.
        cap: Its cap; 0 for no limit.
        weight: Its weight.
        share: Its dominant share of all workers.
        is_at_cap: Whether less than a twentieth of a capped resource is free.
        waiting: Number of tasks that may start and have no worker.
        waiting_over_weight: Number of them in jobs beyond the weight.
    """

    customer: str
    tasks: int
    used: tuple[int, ...]
    cap: tuple[int, ...]
    weight: float
    share: float
    is_at_cap: bool
    waiting: int
    waiting_over_weight: int


@event_log.event("customers_load")
@dataclasses.dataclass(frozen=True, slots=True)
class CustomersLoad:
    """Load of the customers, once per second.

    `customers` holds at most 20: those at their caps, then those that use most.
    """

    customers: tuple[CustomerLoad, ...]
    columns: tuple[str, ...] = CustomerLoad._fields


@event_log.event("jobs_held_back")
@dataclasses.dataclass(frozen=True, slots=True)
class JobsHeldBack:
    """Jobs wait for their customer's cap or weight; each is told of once.

    `cause` is "cap" or "weight".
    """

    customer: str
    cause: str
    jobs: tuple[str, ...]


@event_log.event("wave")
@dataclasses.dataclass(frozen=True, slots=True)
class WaveAccepted:
    """A maintenance wave is stored."""

    wave: int
    instances: int
    cap: int
    duration_ms: int


@event_log.event("maintenance")
@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceOrdered:
    """Maintenance was ordered; `refused` holds the reason of a refusal."""

    wave: int
    instance: str
    remaining: int
    refused: str | None


@event_log.event("instance_moved")
@dataclasses.dataclass(frozen=True, slots=True)
class InstanceMoved:
    """A move was ordered; `refused` holds the reason of a refusal."""

    instance: str
    service: str
    refused: str | None


@event_log.event("advice_missing", _LOW)
@dataclasses.dataclass(frozen=True, slots=True)
class AdviceMissing:
    """The advisor did not answer a request for a step."""

    job: str
    step: int
    reason: str


@event_log.event("task_paced", _LOW)
@dataclasses.dataclass(frozen=True, slots=True)
class TaskPaced:
    """The speed of a best-effort task was changed."""

    task: str
    worker: str
    percent: int
