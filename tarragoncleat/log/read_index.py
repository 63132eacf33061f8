"""Read barriers: indexes at which a read sees every earlier commit."""

from collections.abc import Callable, Sequence
import dataclasses
import itertools

import anyio
import anyio.lowlevel

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module
from tarragoncleat.log import consensus_output
from tarragoncleat.log import replication_messages

__all__ = ["ReadBarriers"]

_RETRY_INTERVAL_S = 0.1


@dataclasses.dataclass(slots=True)
class _Round:
    """One question to the leader that several readers share."""

    event: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    index: int | None = None


class ReadBarriers:
    """Asks the leader for read indexes and answers other entries."""

    def __init__(
        self,
        links: replication_messages.Links,
        timer: timer_module.TimerService,
        applier: applier_module.Applier,
        request_own: Callable[[int], bool],
        leader_id: Callable[[], ids.EntryId | None],
    ) -> None:
        """Connects the parts.

        Args:
            links: Links to the other entries.
            timer: Clock for timeouts.
            applier: Tells when an index is applied.
            request_own: Asks the own core; returns False when it doesn't lead.
            leader_id: Returns the leader that this entry knows of.
        """
        self._links = links
        self._timer = timer
        self._applier = applier
        self._request_own = request_own
        self._leader_id = leader_id
        self._tokens = itertools.count(1)
        self._rounds: dict[int, _Round] = {}
        self._remote: dict[int, tuple[ids.EntryId, int]] = {}
        self._next: _Round | None = None

    async def wait(self, timeout_s: float) -> int | errors.Failure:
        """Returns an index that is applied here and safe to read at."""
        deadline_s = self._timer.monotonic_s() + timeout_s
        while (left_s := deadline_s - self._timer.monotonic_s()) > 0:
            index = await self._ask(min(left_s, _RETRY_INTERVAL_S * 5))
            if index is None:
                await self._timer.sleep_s(min(_RETRY_INTERVAL_S, left_s))
                continue
            left_s = deadline_s - self._timer.monotonic_s()
            if await self._applier.wait_applied(index, left_s):
                return index
        return errors.Failure(
            errors.ErrorKind.NO_LEADER,
            "no leader confirmed the state in time",
        )

    def on_ready(self, reads: Sequence[consensus_output.ConfirmedRead]) -> None:
        """Takes the read indexes that the own core has confirmed."""
        for read in reads:
            self._finish(read.token, read.index)
            remote = self._remote.pop(read.token, None)
            if remote is not None:
                sender, request_id = remote
                reply = replication_messages.ReadIndexReply(
                    request_id, read.index
                )
                self._links.send(sender, reply)

    def on_request(
        self,
        sender: ids.EntryId,
        request: replication_messages.ReadIndexRequest,
    ) -> None:
        """Answers another entry once a majority has confirmed the index."""
        token = next(self._tokens)
        self._remote[token] = (sender, request.request_id)
        if not self._request_own(token):
            # The core drops every read when it stops leading.
            self._remote.clear()
            reply = replication_messages.ReadIndexReply(
                request.request_id, None
            )
            self._links.send(sender, reply)

    def on_reply(
        self, sender: ids.EntryId, reply: replication_messages.ReadIndexReply
    ) -> None:
        """Takes the leader's answer."""
        self._finish(reply.request_id, reply.index)

    async def _ask(self, timeout_s: float) -> int | None:
        # Readers that arrive in the same turn of the event loop share a
        # round; a round that has started may be too old for later ones.
        shared = self._next
        if shared is not None:
            with anyio.move_on_after(timeout_s):
                await shared.event.wait()
            return shared.index
        shared = self._next = _Round()
        await anyio.lowlevel.checkpoint()
        self._next = None
        token = next(self._tokens)
        self._rounds[token] = shared
        try:
            if self._start(token):
                with anyio.move_on_after(timeout_s):
                    await shared.event.wait()
        finally:
            self._rounds.pop(token, None)
            shared.event.set()
        return shared.index

    def _start(self, token: int) -> bool:
        if self._request_own(token):
            return True
        leader_id = self._leader_id()
        if leader_id is None:
            return False
        request = replication_messages.ReadIndexRequest(token)
        return self._links.send(leader_id, request)

    def _finish(self, token: int, index: int | None) -> None:
        shared = self._rounds.get(token)
        if shared is not None:
            shared.index = index
            shared.event.set()
