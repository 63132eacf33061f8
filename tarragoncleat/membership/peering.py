"""Message streams between entries.

Every entry dials each peer of its settings. The side that dialled a connection
sends its messages on it; the other side sends only its Hello, replies and
keep-alives. A pair of entries thus has two connections, and an entry can send
to a peer only while it receives bytes on the connection that it dialled.
"""

import dataclasses
import itertools
import random
import time
from typing import Any

import anyio
import anyio.abc
from anyio.streams import memory
import loguru

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.membership import peer_connection
from tarragoncleat.membership import peer_session

__all__ = ["PeerLinks", "Received"]

Received = peer_session.Received

# A connection that received nothing for this many heartbeats is closed.
# Connections are checked at every heartbeat, so a keep-alive is sent at least
# every two heartbeats, and two of them must be late before a connection closes.
_SILENT_HEARTBEATS = 5
_KEEP_ALIVE_HEARTBEATS = 1.5
# Factors of both times for connections between zones. Most of these are idle,
# and with many zones their keep-alives took most of an entry's processor time.
# The liveness of a zone depends on heartbeats and not on keep-alives.
_OTHER_ZONE_TIMEOUT_FACTOR = 3
_MANY_ZONES_TIMEOUT_FACTOR = 9
_MANY_ZONES = 9
_BACKOFF_MIN_S = 0.05
_BACKOFF_MAX_S = 1.0
_SUBSCRIBER_MESSAGES = 8_192
_MS_PER_S = 1000


class _PendingReply:
    def __init__(self, connection: peer_connection.Connection) -> None:
        self.connection = connection
        self.event = anyio.Event()
        self.result: object = None

    def finish(self, result: object) -> None:
        self.result = result
        self.event.set()


class PeerLinks:
    """The connections of this entry with all its peers."""

    def __init__(
        self,
        settings: settings_module.Settings,
        timer: timer_module.TimerService,
    ) -> None:
        """Prepares the connections; `run` opens them."""
        self._settings = settings
        self._timer = timer
        self._heartbeat_s = settings.membership.heartbeat_ms / _MS_PER_S
        self._silence_timeout_s = _SILENT_HEARTBEATS * self._heartbeat_s
        self._stale_after_s = settings.membership.zone_freshness_ms / _MS_PER_S
        self._hello = peer_connection.Hello(
            settings.entry_id, settings.availability_zone, time.time_ns()
        )
        self._counters = {
            ids.EntryId(peer.entry_id): peer_connection.Counters()
            for peer in settings.peers
        }
        self._zone_by_entry = settings.zone_by_entry
        has_many_zones = len(set(self._zone_by_entry.values())) > _MANY_ZONES
        self._other_zone_factor = (
            _MANY_ZONES_TIMEOUT_FACTOR
            if has_many_zones
            else _OTHER_ZONE_TIMEOUT_FACTOR
        )
        self._unidentified = peer_connection.Counters()
        self._dialled: dict[ids.EntryId, peer_connection.Connection] = {}
        self._accepted: dict[ids.EntryId, peer_connection.Connection] = {}
        self._open: set[peer_connection.Connection] = set()
        self._request_ids = itertools.count(1)
        self._pending: dict[int, _PendingReply] = {}
        self._subscribers: dict[
            type, list[memory.MemoryObjectSendStream[Received]]
        ] = {}
        self._last_tick_s = timer.monotonic_s()

    async def run(self) -> None:
        """Listens, dials every peer and reconnects until cancelled."""
        host, port = settings_module.host_and_port(
            self._settings.entry.peer_address
        )
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, reuse_port=False
        )
        self._last_tick_s = self._timer.monotonic_s()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._check_connections)
                for peer in self._settings.peers:
                    tasks.start_soon(self._maintain_connection, peer)
                await listener.serve(self._accept)
        finally:
            # A cancelled close would leave the address in use.
            with anyio.CancelScope(shield=True):
                await listener.aclose()
            for subscribers in self._subscribers.values():
                for subscriber in subscribers:
                    subscriber.close()

    def subscribe(
        self, *message_types: type
    ) -> memory.MemoryObjectReceiveStream[Received]:
        """Returns a bounded stream of the received messages of these types."""
        sender, receiver = anyio.create_memory_object_stream[Received](
            _SUBSCRIBER_MESSAGES
        )
        for message_type in message_types:
            self._subscribers.setdefault(message_type, []).append(sender)
        return receiver

    def send(self, entry_id: ids.EntryId, message: object) -> bool:
        """Queues a message without blocking; False when it was dropped."""
        return self._send_body(entry_id, codec.encode(message))

    def broadcast(self, message: object) -> None:
        """Queues a message for every connected entry."""
        self.multicast(self._dialled, message)

    def multicast(self, entry_ids: Any, message: object) -> None:
        """Queues one encoding of a message for several entries."""
        body = codec.encode(message)
        for entry_id in tuple(entry_ids):
            self._send_body(entry_id, body)

    async def request(
        self, entry_id: ids.EntryId, message: object, timeout_s: float
    ) -> Any:
        """Sends a message and waits for its reply.

        Returns:
            The reply; a `Failure` of kind CUT_OFF when the message was not
            sent; one of kind DEADLINE_EXCEEDED when the link broke or the time
            passed, so that the peer may have handled the message.
        """
        request_id = next(self._request_ids)
        body = codec.encode(
            peer_connection.Request(request_id, codec.encode(message))
        )
        connection = self._dialled.get(entry_id)
        if connection is None or not connection.put(body):
            return errors.Failure(
                errors.ErrorKind.CUT_OFF, f"no link to entry {entry_id}"
            )
        pending = _PendingReply(connection)
        self._pending[request_id] = pending
        try:
            with anyio.move_on_after(timeout_s):
                await pending.event.wait()
                return pending.result
        finally:
            del self._pending[request_id]
        return errors.Failure(
            errors.ErrorKind.DEADLINE_EXCEEDED,
            f"entry {entry_id} did not reply within {timeout_s} s",
        )

    def connected(self) -> frozenset[ids.EntryId]:
        """Entries that messages can be sent to."""
        return frozenset(self._dialled)

    def counters(self, entry_id: ids.EntryId) -> peer_connection.Counters:
        """Traffic counters of one peer."""
        return self._counters[entry_id]

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        now_s = self._timer.monotonic_s()
        return {
            "incarnation": self._hello.incarnation,
            "unidentified": dataclasses.asdict(self._unidentified),
            "peers": {
                entry_id: self._dump_peer(entry_id, counters, now_s)
                for entry_id, counters in self._counters.items()
            },
        }

    def _dump_peer(
        self,
        entry_id: ids.EntryId,
        counters: peer_connection.Counters,
        now_s: float,
    ) -> dict:
        dialled = self._dialled.get(entry_id)
        accepted = self._accepted.get(entry_id)
        return {
            "connected": dialled is not None,
            "accepted": accepted is not None,
            "queued_messages": dialled.queued_messages if dialled else 0,
            "silent_s": now_s - dialled.read_at_s if dialled else None,
            **dataclasses.asdict(counters),
        }

    def _send_body(self, entry_id: ids.EntryId, body: bytes) -> bool:
        connection = self._dialled.get(entry_id)
        if connection is not None:
            return connection.put(body)
        if entry_id in self._counters:
            self._counters[entry_id].dropped_messages += 1
        return False

    async def _check_connections(self) -> None:
        """Sends keep-alives and closes silent connections."""
        async for now_s in self._timer.subscribe(self._heartbeat_s):
            self._last_tick_s = now_s
            for connection in tuple(self._open):
                self._check_connection(connection, now_s)

    def _check_connection(
        self, connection: peer_connection.Connection, now_s: float
    ) -> None:
        factor = connection.timeout_factor * self._heartbeat_s
        idle_s = now_s - connection.written_at_s
        if idle_s >= _KEEP_ALIVE_HEARTBEATS * factor:
            connection.put_keep_alive()
        # Before the Hello, received bytes don't keep a connection open.
        contact_s = connection.opened_at_s
        if connection.hello_received:
            contact_s = connection.read_at_s
        if now_s - contact_s > _SILENT_HEARTBEATS * factor:
            connection.count_silence_timeout()
            connection.close()

    async def _maintain_connection(self, peer: settings_module.Peer) -> None:
        backoff_s = _BACKOFF_MIN_S
        counters = self._counters[ids.EntryId(peer.entry_id)]
        while True:
            connects = counters.connects
            await self._dial(peer, counters)
            if counters.connects > connects:
                backoff_s = _BACKOFF_MIN_S
            else:
                counters.failed_dials += 1
            await self._timer.sleep_s(backoff_s * random.uniform(0.5, 1))
            backoff_s = min(2 * backoff_s, _BACKOFF_MAX_S)

    async def _dial(
        self,
        peer: settings_module.Peer,
        counters: peer_connection.Counters,
    ) -> None:
        host, port = settings_module.host_and_port(peer.address)
        try:
            with anyio.fail_after(self._silence_timeout_s):
                stream = await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError) as error:
            loguru.logger.debug("dialling {} failed: {}", peer.entry_id, error)
            return
        connection = peer_connection.Connection(stream, self._timer, counters)
        await self._run_connection(connection, ids.EntryId(peer.entry_id))

    async def _accept(self, stream: anyio.abc.SocketStream) -> None:
        if len(self._open) > 4 * len(self._counters) + 16:
            await anyio.aclose_forcefully(stream)
            return
        connection = peer_connection.Connection(
            stream, self._timer, self._unidentified
        )
        await self._run_connection(connection, None)

    async def _run_connection(
        self,
        connection: peer_connection.Connection,
        dialled_id: ids.EntryId | None,
    ) -> None:
        session = peer_session.Session(connection, dialled_id, self)
        connection.put(codec.encode(self._hello))
        self._open.add(connection)
        try:
            await connection.run(session.receive)
        finally:
            self._open.discard(connection)
            self._remove_connection(connection, session.peer_id)

    def _remove_connection(
        self,
        connection: peer_connection.Connection,
        entry_id: ids.EntryId | None,
    ) -> None:
        if entry_id is None:
            return
        for connections in (self._dialled, self._accepted):
            if connections.get(entry_id) is connection:
                del connections[entry_id]
                loguru.logger.info("link to entry {} closed", entry_id)
        failure = errors.Failure(
            errors.ErrorKind.DEADLINE_EXCEEDED,
            f"the link to entry {entry_id} closed before the reply",
        )
        for pending in self._pending.values():
            if pending.connection is connection:
                pending.finish(failure)

    def is_stale(self) -> bool:
        """Whether received bytes may be too old to be used.

        This is so after the process was stopped or starved. The socket may
        then have buffered bytes that are older than any lease, and a heartbeat
        among them doesn't show that its sender's zone is reachable.
        """
        tick_age_s = self._timer.monotonic_s() - self._last_tick_s
        return tick_age_s > self._stale_after_s

    def is_peer(self, entry_id: ids.EntryId) -> bool:
        """Whether an entry is among the peers of the settings."""
        return entry_id in self._counters

    def on_hello(
        self,
        connection: peer_connection.Connection,
        entry_id: ids.EntryId,
        was_dialled: bool,
    ) -> None:
        """Registers a connection after the valid Hello of the other side."""
        if self._zone_by_entry[entry_id] != self._settings.availability_zone:
            connection.timeout_factor = self._other_zone_factor
        counters = self._counters[entry_id]
        connection.set_counters(counters)
        if was_dialled:
            counters.connects += 1
            self._dialled[entry_id] = connection
            loguru.logger.info("link to entry {} is up", entry_id)
            return
        replaced = self._accepted.get(entry_id)
        self._accepted[entry_id] = connection
        if replaced is not None:
            replaced.close()

    def on_reply(self, request_id: int, result: object) -> None:
        """Resolves the request that waits for a reply."""
        pending = self._pending.get(request_id)
        if pending is not None:
            pending.finish(result)

    def on_message(self, received: Received) -> None:
        """Delivers a message to its subscribers."""
        subscribers = self._subscribers.get(type(received.message), ())
        delivered = bool(subscribers)
        for subscriber in subscribers:
            try:
                subscriber.send_nowait(received)
            except (
                anyio.WouldBlock,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                delivered = False
        if not delivered:
            self._counters[received.sender].undelivered_messages += 1
