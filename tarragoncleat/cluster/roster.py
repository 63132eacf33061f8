"""Chooses which nodes hold the log, without an operator.

Pure rules: the leader passes in what it knows, and gets the next change of one
replica or None.
"""

from collections import Counter
from collections.abc import Sequence
import dataclasses

from tarragoncleat.cluster import node_ids
from tarragoncleat.kernel import ids

__all__ = ["Candidate", "Member", "next_replicas", "wanted_count"]

# A replica that is silent for this long is replaced when another node waits.
_REPLACE_SILENT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A replica as its leader sees it; the leader's own silence is 0."""

    node_id: ids.EntryId
    availability_zone: ids.AvailabilityZone | None
    silent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A live node with a disk that is no replica."""

    node_id: ids.EntryId
    availability_zone: ids.AvailabilityZone


def wanted_count(tolerated_losses: int, nodes: int) -> int:
    """Returns how many replicas survive that many losses.

    An even number of nodes would add a replica without tolerating more.
    """
    most = nodes if nodes % 2 else nodes - 1
    return max(1, min(2 * tolerated_losses + 1, most))


def next_replicas(
    members: Sequence[Member],
    candidates: Sequence[Candidate],
    tolerated_losses: int,
) -> tuple[ids.EntryId, ...] | None:
    """Returns the replicas after the next change, or None for no change.

    A lost replica is removed before its substitute is added: in the other
    order the change would wait for one more node than a majority needs.
    """
    names = [member.node_id for member in members]
    candidates = [item for item in candidates if item.node_id not in names]
    live = sum(member.silent_s < _REPLACE_SILENT_S for member in members)
    wanted = wanted_count(tolerated_losses, live + len(candidates))
    lost = _lost_member(members, candidates)
    if lost is not None and 2 * live > len(members) - 1:
        return tuple(name for name in names if name != lost)
    if len(members) < wanted and candidates:
        return (*names, _best(members, candidates).node_id)
    return None


def _lost_member(
    members: Sequence[Member], candidates: Sequence[Candidate]
) -> ids.EntryId | None:
    if not candidates or len(members) < 2:
        return None
    reused = {node_ids.address_of(item.node_id) for item in candidates}
    silent = sorted(members, key=lambda member: -member.silent_s)
    for member in silent:
        has_successor = node_ids.address_of(member.node_id) in reused
        if member.silent_s >= _REPLACE_SILENT_S or has_successor:
            return member.node_id
    return None


def _best(
    members: Sequence[Member], candidates: Sequence[Candidate]
) -> Candidate:
    zones = Counter(member.availability_zone for member in members)
    return min(
        candidates,
        key=lambda item: (zones[item.availability_zone], item.node_id),
    )
