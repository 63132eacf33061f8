"""Sharing of the workers' heartbeats over the control nodes.

Nearly all heartbeats change nothing. The followers answer them from their
copies of the state, so that they take no processor time of the leader.
"""

from collections.abc import Mapping
import zlib

from tarragoncleat.batch.replicated import messages
from tarragoncleat.batch.replicated import model
from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.batch.replicated import worker_state
from tarragoncleat.kernel import ids

__all__ = ["changes_nothing", "select_node"]

# A copy of the state without word of the leader for longer may be too old.
_MAX_LEADER_SILENCE_S = 1.0


def changes_nothing(
    heartbeat: messages.Heartbeat,
    state: state_module.BatchState,
    leader_silence_s: float | None,
) -> bool:
    """Whether a follower may answer a heartbeat itself.

    Args:
        heartbeat: The heartbeat.
        state: The follower's copy of the state.
        leader_silence_s: Time since the last message of the leader, or None.
    """
    if leader_silence_s is None or leader_silence_s > _MAX_LEADER_SILENCE_S:
        return False
    worker = state.workers.get(heartbeat.worker.worker_id)
    return (
        worker is not None
        and worker.state is worker_state.WorkerState.UP
        and worker.record == heartbeat.worker
        and not heartbeat.is_draining
    )


def select_node(
    worker: model.WorkerRecord,
    leader: ids.EntryId | None,
    nodes: Mapping[ids.EntryId, ids.AvailabilityZone | None],
) -> ids.EntryId | None:
    """Returns the node for a worker's further heartbeats, or None.

    It is a follower, if possible one of the worker's availability zone; the
    workers of a zone are spread over its followers.

    Args:
        worker: The worker.
        leader: The leader.
        nodes: Availability zone of each node that was heard of recently.
    """
    followers = sorted(node for node in nodes if node != leader)
    near = [
        node for node in followers if nodes[node] == worker.availability_zone
    ]
    candidates = near or followers
    if not candidates:
        return leader
    return candidates[zlib.crc32(worker.worker_id.encode()) % len(candidates)]
