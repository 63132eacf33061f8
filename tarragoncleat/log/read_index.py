"""Read barriers, which make a local read see every earlier commit."""

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
class _SharedRequest:
    """A read index request that several readers share."""

    event: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    index: int | None = None


class ReadBarriers:
    """Requests read indexes from the leader, and serves them as the leader."""

    def __init__(
        self,
        links: replication_messages.Links,
        timer: timer_module.TimerService,
        applier: applier_module.Applier,
        request_local: Callable[[int], bool],
        leader_id: Callable[[], ids.EntryId | None],
    ) -> None:
        """Creates the read barriers.

        Args:
            links: Links to the other entries.
            timer: Clock for timeouts.
            applier: Applies the records that a read waits for.
            request_local: Requests a read index from the consensus core of
                this entry; returns False when it is not the leader.
            leader_id: Returns the known leader, if any.
        """
        self._links = links
        self._timer = timer
        self._applier = applier
        self._request_local = request_local
        self._leader_id = leader_id
        self._tokens = itertools.count(1)
        self._requests: dict[int, _SharedRequest] = {}
        self._remote_requests: dict[int, tuple[ids.EntryId, int]] = {}
        self._next_request: _SharedRequest | None = None

    async def wait(self, timeout_s: float) -> int | errors.Failure:
        """Returns an index that is applied here and safe to read at.

        Returns a `Failure` of kind NO_LEADER after the timeout.
        """
        deadline_s = self._timer.monotonic_s() + timeout_s
        while (remaining_s := deadline_s - self._timer.monotonic_s()) > 0:
            index = await self._request_index(
                min(remaining_s, _RETRY_INTERVAL_S * 5)
            )
            if index is None:
                await self._timer.sleep_s(min(_RETRY_INTERVAL_S, remaining_s))
                continue
            remaining_s = deadline_s - self._timer.monotonic_s()
            if await self._applier.wait_applied(index, remaining_s):
                return index
        return errors.Failure(
            errors.ErrorKind.NO_LEADER,
            "no leader confirmed a read index in time",
        )

    def on_confirmed(
        self, reads: Sequence[consensus_output.ConfirmedRead]
    ) -> None:
        """Completes the reads that the core of this entry has confirmed."""
        for read in reads:
            self._complete(read.token, read.index)
            remote_request = self._remote_requests.pop(read.token, None)
            if remote_request is not None:
                sender, request_id = remote_request
                reply = replication_messages.ReadIndexReply(
                    request_id, read.index
                )
                self._links.send(sender, reply)

    def on_request(
        self,
        sender: ids.EntryId,
        request: replication_messages.ReadIndexRequest,
    ) -> None:
        """Replies to another entry once a majority has confirmed the index."""
        token = next(self._tokens)
        self._remote_requests[token] = (sender, request.request_id)
        if not self._request_local(token):
            # A core that stops leading drops its pending reads.
            self._remote_requests.clear()
            reply = replication_messages.ReadIndexReply(
                request.request_id, None
            )
            self._links.send(sender, reply)

    def on_reply(
        self, sender: ids.EntryId, reply: replication_messages.ReadIndexReply
    ) -> None:
        """Processes the leader's reply."""
        self._complete(reply.request_id, reply.index)

    async def _request_index(self, timeout_s: float) -> int | None:
        # Readers that start in the same iteration of the event loop share a
        # request. Later ones can't use it, because its index may be older
        # than a commit that they must see.
        shared = self._next_request
        if shared is not None:
            with anyio.move_on_after(timeout_s):
                await shared.event.wait()
            return shared.index
        shared = self._next_request = _SharedRequest()
        await anyio.lowlevel.checkpoint()
        self._next_request = None
        token = next(self._tokens)
        self._requests[token] = shared
        try:
            if self._send_request(token):
                with anyio.move_on_after(timeout_s):
                    await shared.event.wait()
        finally:
            self._requests.pop(token, None)
            shared.event.set()
        return shared.index

    def _send_request(self, token: int) -> bool:
        if self._request_local(token):
            return True
        leader_id = self._leader_id()
        if leader_id is None:
            return False
        request = replication_messages.ReadIndexRequest(token)
        return self._links.send(leader_id, request)

    def _complete(self, token: int, index: int | None) -> None:
        shared = self._requests.get(token)
        if shared is not None:
            shared.index = index
            shared.event.set()
