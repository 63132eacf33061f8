"""Bounds on the leases of workers, kept by the leader.

A lease ends at a reading of the worker's own clock: the reading in its last
report plus the lease length. The worker's clock was read between the request
for the report and its arrival. One lease length after the request, less the
margin, is therefore a lower bound for the end of the lease; one lease length
after the arrival, plus the margin, is an upper bound. A renewal that is delayed
in the network names the same reading and doesn't extend the lease. The margin
covers clocks that run at different rates.
"""

import dataclasses

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings

__all__ = ["WorkerLeases"]

_MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class _Lease:
    held_until_s: float
    ended_at_s: float
    fence: int


class WorkerLeases:
    """Lower and upper bounds on the lease of each worker, for one leader."""

    def __init__(
        self,
        limits: settings.ControllerSettings,
        previous_leases_ended_at_s: float,
    ) -> None:
        """Creates the bounds for a new leader.

        Args:
            limits: Lease length and margin.
            previous_leases_ended_at_s: Monotonic time at which every lease that
                the previous leader granted has provably ended.
        """
        self._lease_s = limits.lease_ms / _MS_PER_S
        self._margin_s = limits.lease_margin_ms / _MS_PER_S
        self._previous_leases_ended_at_s = previous_leases_ended_at_s
        self._leases: dict[ids.InstanceId, _Lease] = {}

    def begin_renewal(
        self, instance_id: ids.InstanceId, clock_ms: int, received_s: float
    ) -> int:
        """Raises the upper bound before a renewal is sent.

        Args:
            instance_id: The worker.
            clock_ms: Clock reading in its report.
            received_s: Monotonic time at which the report arrived.

        Returns:
            The lease end to send, in the worker's clock.
        """
        lease = self._lease_of(instance_id)
        ended_at_s = received_s + self._lease_s + self._margin_s
        lease.ended_at_s = max(lease.ended_at_s, ended_at_s)
        return clock_ms + round(self._lease_s * _MS_PER_S)

    def confirm_renewal(
        self, instance_id: ids.InstanceId, requested_s: float, fence: int
    ) -> None:
        """Raises the lower bound after the worker acknowledged a renewal.

        Args:
            instance_id: The worker.
            requested_s: Monotonic time at which the report was requested.
            fence: Fence of the renewal.
        """
        lease = self._lease_of(instance_id)
        held_until_s = requested_s + self._lease_s - self._margin_s
        lease.held_until_s = max(lease.held_until_s, held_until_s)
        lease.fence = fence

    def is_held(
        self, instance_id: ids.InstanceId, fence: int, now_s: float
    ) -> bool:
        """Returns whether the worker provably holds a lease with this fence."""
        lease = self._leases.get(instance_id)
        return (
            lease is not None
            and lease.fence == fence
            and now_s < lease.held_until_s
        )

    def has_ended(self, instance_id: ids.InstanceId, now_s: float) -> bool:
        """Returns whether every lease of the worker has provably ended."""
        lease = self._leases.get(instance_id)
        ended_at_s = self._previous_leases_ended_at_s
        if lease is not None:
            ended_at_s = max(ended_at_s, lease.ended_at_s)
        return now_s > ended_at_s

    def remove(self, instance_id: ids.InstanceId) -> None:
        """Removes a worker that is no longer in the fleet."""
        self._leases.pop(instance_id, None)

    def _lease_of(self, instance_id: ids.InstanceId) -> _Lease:
        if instance_id not in self._leases:
            self._leases[instance_id] = _Lease(0.0, 0.0, 0)
        return self._leases[instance_id]
