"""Limits of a deployment for jobs, workers and waves."""

import dataclasses

__all__ = ["Bounds"]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits from the deployment's settings.

    Attributes:
        max_lease_ms: Longest lease that a worker accepts.
        stop_timeout_ms: Maximum time in which a worker stops a task.
        gang_timeout_ms: How long tasks of a gang wait for each other.
        notice_ms: Time without work after which a task counts as unavailable.
        harm_ms: Maximum time that a tail latency may exceed its target.
        early_ms: How much before its due time an occurrence may start.
        move_ms: Duration of an instance's move to another pool.
        maintenance_ms: Time that an instance is down for maintenance.
        instance_calls_per_s: Maximum moves and maintenance orders a second.
        instance_reads_per_s: Maximum reads of the instance list a second.
        controls_overload: Whether the work of jobs decides which of them get
            too little room, and submissions may be refused for want of it.
        max_stored_tasks: Tasks of all jobs that are kept, to bound the memory
            of the control nodes.
    """

    max_lease_ms: int = 6_000
    stop_timeout_ms: int = 500
    gang_timeout_ms: int = 3_000
    notice_ms: int = 4_500
    harm_ms: int = 4_000
    early_ms: int = 250
    move_ms: int = 1_500
    maintenance_ms: int = 2_000
    instance_calls_per_s: float = 10.0
    instance_reads_per_s: float = 10.0
    controls_overload: bool = False
    max_stored_tasks: int = 128_000
