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

    A replacement is added before the lost replica is removed. With fewer than
    2f + 1 replicas, f lost disks could take the majority of the log.
    """
    replica_ids = [replica.node_id for replica in replicas]
    standbys = [item for item in standbys if item.node_id not in replica_ids]
    target_count = target_replica_count(
        tolerated_losses, len(replicas) + len(standbys)
    )
    lost = _lost_replicas(replicas, standbys)
    if len(replicas) > target_count:
        removed = _replica_to_remove(replicas, lost)
        if not _has_majority(replicas, lost, removed):
            return None
        return tuple(name for name in replica_ids if name != removed)
    if not standbys or (len(replicas) == target_count and not lost):
        return None
    if 2 * (len(replicas) - len(lost) + 1) <= len(replicas) + 1:
        return None
    kept = [replica for replica in replicas if replica.node_id not in lost]
    return (*replica_ids, _best_standby(kept, standbys).node_id)


def _lost_replicas(
    replicas: Sequence[ReplicaStatus], standbys: Sequence[StandbyNode]
) -> set[ids.EntryId]:
    """Returns the replicas that are silent or have a new disk."""
    standby_addresses = {node_ids.address_of(item.node_id) for item in standbys}
    return {
        replica.node_id
        for replica in replicas
        if replica.silent_s >= _REPLACE_SILENT_S
        or node_ids.address_of(replica.node_id) in standby_addresses
    }


def _replica_to_remove(
    replicas: Sequence[ReplicaStatus], lost: set[ids.EntryId]
) -> ids.EntryId:
    """Returns the lost replica, or else any, that is silent for longest."""
    worst = max(
        replicas,
        key=lambda replica: (replica.node_id in lost, replica.silent_s),
    )
    return worst.node_id


def _has_majority(
    replicas: Sequence[ReplicaStatus],
    lost: set[ids.EntryId],
    removed: ids.EntryId,
) -> bool:
    """Whether the replicas without `removed` have a majority that is alive."""
    remaining = [
        replica.node_id for replica in replicas if replica.node_id != removed
    ]
    alive_count = sum(name not in lost for name in remaining)
    return 2 * alive_count > len(remaining)


def _best_standby(
    replicas: Sequence[ReplicaStatus], standbys: Sequence[StandbyNode]
) -> StandbyNode:
    zones = Counter(replica.availability_zone for replica in replicas)
    return min(
        standbys,
        key=lambda item: (zones[item.availability_zone], item.node_id),
    )
