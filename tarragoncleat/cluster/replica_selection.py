"""Selects the nodes that are replicas of the log, without an operator.

These functions do no I/O: the leader passes in the state of the nodes and gets
the next change of one replica, or None.
"""

from collections import Counter
from collections.abc import Sequence
import dataclasses
import math

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
    """A replica and the time since its last reply; 0 for the leader itself.

    `is_leaving` tells that it is about to stop, as planned.
    """

    node_id: ids.EntryId
    availability_zone: ids.AvailabilityZone | None
    silent_s: float
    is_leaving: bool = False


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
    2f + 1 replicas, f lost disks could take the majority of the log. One that
    is about to stop is replaced while it still confirms records: nobody can
    tell a stop from a removal for good, after which f disks may be lost too.
    """
    replica_ids = [replica.node_id for replica in replicas]
    standbys = [item for item in standbys if item.node_id not in replica_ids]
    target_count = target_replica_count(
        tolerated_losses, len(replicas) + len(standbys)
    )
    lost = _lost_replicas(replicas, standbys)
    if 2 * len(lost) >= len(replicas):
        return None
    leaving = {replica.node_id for replica in replicas if replica.is_leaving}
    to_replace = lost | leaving
    may_remove_live = len(replicas) > 2 * tolerated_losses + 1
    if may_remove_live or (len(replicas) > target_count and lost):
        removed = _replica_to_remove(replicas, lost)
        return tuple(name for name in replica_ids if name != removed)
    if not standbys or (len(replicas) >= target_count and not to_replace):
        return None
    kept = [
        replica for replica in replicas if replica.node_id not in to_replace
    ]
    return (*replica_ids, _best_standby(kept, standbys).node_id)


def _lost_replicas(
    replicas: Sequence[ReplicaStatus], standbys: Sequence[StandbyNode]
) -> set[ids.EntryId]:
    """Returns the replicas that are silent or have a new disk."""
    heard_s: dict[object, float] = {
        node_ids.address_of(item.node_id): -1.0 for item in standbys
    }
    for replica in replicas:
        address = node_ids.address_of(replica.node_id)
        heard_s[address] = min(replica.silent_s, heard_s.get(address, math.inf))
    # Of two nodes at one address, the one that was heard last has the disk.
    return {
        replica.node_id
        for replica in replicas
        if replica.silent_s >= _REPLACE_SILENT_S
        or replica.silent_s > heard_s[node_ids.address_of(replica.node_id)]
    }


def _replica_to_remove(
    replicas: Sequence[ReplicaStatus], lost: set[ids.EntryId]
) -> ids.EntryId:
    """Returns a lost replica, else one that leaves, else any.

    Of several it is the one that is silent for longest.
    """
    worst = max(
        replicas,
        key=lambda replica: (
            replica.node_id in lost,
            replica.is_leaving,
            replica.silent_s,
        ),
    )
    return worst.node_id


def _best_standby(
    replicas: Sequence[ReplicaStatus], standbys: Sequence[StandbyNode]
) -> StandbyNode:
    zones = Counter(replica.availability_zone for replica in replicas)
    return min(
        standbys,
        key=lambda item: (zones[item.availability_zone], item.node_id),
    )
