"""Selects the nodes that are replicas of the log, without an operator.

These functions do no I/O: the leader passes in the state of the nodes and gets
the next change of one replica, or None.
"""

from collections import Counter
from collections.abc import Sequence
import dataclasses

from tarragoncleat.cluster import node_ids
from tarragoncleat.kernel import ids

__all__ = [
    "ReplicaStatus",
    "StandbyNode",
    "next_replicas",
    "target_replica_count",
]

# A replica that is silent for this long is replaced if a standby exists.
_REPLACE_SILENT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """A replica and the time since its last reply; 0 for the leader itself."""

    node_id: ids.EntryId
    availability_zone: ids.AvailabilityZone | None
    silent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StandbyNode:
    """A live node with a data folder that is not a replica."""

    node_id: ids.EntryId
    availability_zone: ids.AvailabilityZone


def target_replica_count(tolerated_losses: int, nodes: int) -> int:
    """Returns how many of the nodes should be replicas.

    The number is odd, because an even one would add a replica without
    tolerating more losses.
    """
    most = nodes if nodes % 2 else nodes - 1
    return max(1, min(2 * tolerated_losses + 1, most))


def next_replicas(
    replicas: Sequence[ReplicaStatus],
    standbys: Sequence[StandbyNode],
    tolerated_losses: int,
) -> tuple[ids.EntryId, ...] | None:
    """Returns the replicas after the next change, or None for no change.

    A lost replica is removed before its replacement is added. In the other
    order the change would need the confirmation of one more node.
    """
    replica_ids = [replica.node_id for replica in replicas]
    standbys = [item for item in standbys if item.node_id not in replica_ids]
    live_count = sum(
        replica.silent_s < _REPLACE_SILENT_S for replica in replicas
    )
    target_count = target_replica_count(
        tolerated_losses, live_count + len(standbys)
    )
    lost = _replica_to_remove(replicas, standbys)
    if lost is not None and 2 * live_count > len(replicas) - 1:
        return tuple(name for name in replica_ids if name != lost)
    if len(replicas) < target_count and standbys:
        return (*replica_ids, _best_standby(replicas, standbys).node_id)
    return None


def _replica_to_remove(
    replicas: Sequence[ReplicaStatus], standbys: Sequence[StandbyNode]
) -> ids.EntryId | None:
    if not standbys or len(replicas) < 2:
        return None
    standby_addresses = {node_ids.address_of(item.node_id) for item in standbys}
    by_silence = sorted(replicas, key=lambda replica: -replica.silent_s)
    for replica in by_silence:
        is_replaced = node_ids.address_of(replica.node_id) in standby_addresses
        if replica.silent_s >= _REPLACE_SILENT_S or is_replaced:
            return replica.node_id
    return None


def _best_standby(
    replicas: Sequence[ReplicaStatus], standbys: Sequence[StandbyNode]
) -> StandbyNode:
    zones = Counter(replica.availability_zone for replica in replicas)
    return min(
        standbys,
        key=lambda item: (zones[item.availability_zone], item.node_id),
    )
