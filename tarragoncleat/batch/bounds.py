"""Bounds and limits that a deployment sets for jobs, workers and waves."""

import dataclasses

__all__ = ["Bounds"]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times in milliseconds, as the deployment's operators state them.

    Attributes:
        max_lease_ms: Longest lease that a worker accepts.
        stop_timeout_ms: Longest time in which a worker stops a task.
        gang_timeout_ms: How long members of a gang wait for each other.
        notice_ms: A task that was not at work for this long counts as away.
        harm_ms: How long a task that serves may be over its latency target.
        early_ms: How much before its time an occurrence may start.
        move_ms: Time in which an instance changes its pool.
        maintenance_ms: Time that an instance is down for maintenance.
        instance_calls_per_s: Moves and maintenance orders a second.
        instance_reads_per_s: Readings of the list of instances a second.
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
