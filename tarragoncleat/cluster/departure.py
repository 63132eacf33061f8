"""Gives up a node's place as a replica before the node stops as planned.

A machine that is removed for good is told no more than that it is to stop. If
its place stayed taken until it has been silent for a while, a disk that is lost
meanwhile could take the majority of the log.
"""

import dataclasses
import math

import anyio

from tarragoncleat.cluster import leader_finder
from tarragoncleat.cluster import log_node
from tarragoncleat.cluster import messages
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module

__all__ = ["LeaveEnded", "leave"]

_ASK_INTERVAL_S = 0.1
_CALL_TIMEOUT_S = 0.5
_MS_PER_S = 1000
_FINAL_STATES = (messages.LeaveState.RELEASED, messages.LeaveState.STAYS)


@event_log.event("leave", event_log.Priority.HIGH)
@dataclasses.dataclass(frozen=True, slots=True)
class LeaveEnded:
    """This node asked for its replacement; `state` is the last answer.

    It is None if no leader answered.
    """

    state: str | None
    took_ms: int


async def leave(
    node: log_node.LogNode,
    finder: leader_finder.LeaderFinder,
    timer: timer_module.TimerService,
    node_id: ids.EntryId,
    timeout_s: float = math.inf,
) -> messages.LeaveState | None:
    """Waits until another node has a node's place, or none can take it.

    Args:
        node: The log, of which the node may be the leader.
        finder: Finds the leader otherwise.
        timer: Clock.
        node_id: The node.
        timeout_s: Time after which it isn't waited for any longer.

    Returns:
        The last known state, or None if no leader answered in time.
    """
    started_s = timer.monotonic_s()
    state: messages.LeaveState | None = None
    with anyio.move_on_after(timeout_s):
        while True:
            state = await _ask(node, finder, node_id) or state
            if state in _FINAL_STATES:
                break
            await timer.sleep_s(_ASK_INTERVAL_S)
    took_ms = int((timer.monotonic_s() - started_s) * _MS_PER_S)
    event_log.emit(LeaveEnded(state.value if state else None, took_ms))
    return state


async def _ask(
    node: log_node.LogNode,
    finder: leader_finder.LeaderFinder,
    node_id: ids.EntryId,
) -> messages.LeaveState | None:
    """Asks the leader once; returns None if none has answered."""
    request = messages.LeaveRequest(node_id)
    if node.is_leader:
        return node.on_leave(request).state
    reply = await finder.call(request, _CALL_TIMEOUT_S)
    if isinstance(reply, messages.LeaveReply):
        return reply.state
    # A leader that has removed itself stops leading, and no other is known yet.
    return messages.LeaveState.RELEASED if node.has_left else None
