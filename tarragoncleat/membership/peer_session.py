"""Handling of the bodies received on a connection: a Hello, then messages."""

from collections.abc import Callable
import dataclasses
from typing import Any, Protocol

import loguru

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.membership import peer_connection

__all__ = ["Received", "Session", "SessionHandler"]


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from another entry.

    Attributes:
        sender: Entry that sent it.
        message: The decoded message.
        reply: Sends the reply of a request; None for a one-way message.
    """

    sender: ids.EntryId
    message: Any
    reply: Callable[[object], None] | None = None


class SessionHandler(Protocol):
    """Callbacks of a session."""

    def is_stale(self) -> bool:
        """Whether received bytes may be too old to be used."""

    def is_peer(self, entry_id: ids.EntryId) -> bool:
        """Whether an entry is among the peers."""

    def on_hello(
        self,
        connection: peer_connection.Connection,
        entry_id: ids.EntryId,
        was_dialled: bool,
    ) -> None:
        """Handles the valid Hello of the other side of a connection."""

    def on_reply(self, request_id: int, result: object) -> None:
        """Handles a reply."""

    def on_message(self, received: Received) -> None:
        """Handles a message or a request."""


class Session:
    """Decodes and dispatches the bodies received on one connection."""

    def __init__(
        self,
        connection: peer_connection.Connection,
        dialled_id: ids.EntryId | None,
        handler: SessionHandler,
    ) -> None:
        """Creates a session that expects a Hello.

        Args:
            connection: The connection, closed on a protocol violation.
            dialled_id: Entry that was dialled; None for an accepted connection.
            handler: Handles what was received.
        """
        self._connection = connection
        self._dialled_id = dialled_id
        self._handler = handler
        self._peer_id: ids.EntryId | None = None

    @property
    def peer_id(self) -> ids.EntryId | None:
        """The other entry, once its Hello was accepted."""
        return self._peer_id

    def receive(self, body: bytes) -> None:
        """Handles one body."""
        if self._handler.is_stale():
            loguru.logger.warning(
                "closing the link with entry {}: this process was paused, so "
                "received messages may be stale",
                self._peer_id,
            )
            self._connection.close()
            return
        message = codec.decode(body)
        if isinstance(message, errors.Failure):
            self._drop_undecodable(message.reason)
        elif self._peer_id is None:
            self._handle_hello(message)
        else:
            self._dispatch(self._peer_id, message)

    def _drop_undecodable(self, reason: str) -> None:
        self._connection.count_decode_error()
        loguru.logger.warning(
            "dropped a message from entry {}: {}", self._peer_id, reason
        )
        if self._peer_id is None:
            self._connection.close()

    def _handle_hello(self, message: object) -> None:
        if not isinstance(message, peer_connection.Hello):
            self._refuse("its first message was not a Hello")
            return
        entry_id = ids.EntryId(message.entry_id)
        if not self._handler.is_peer(entry_id):
            self._refuse(f"entry {entry_id} is not among the peers")
            return
        if self._dialled_id is not None and entry_id != self._dialled_id:
            self._refuse(f"entry {entry_id} answered for {self._dialled_id}")
            return
        self._peer_id = entry_id
        self._connection.accept_hello()
        self._handler.on_hello(
            self._connection, entry_id, self._dialled_id is not None
        )

    def _refuse(self, reason: str) -> None:
        loguru.logger.warning("refused a peer connection: {}", reason)
        self._connection.close()

    def _dispatch(self, sender: ids.EntryId, message: Any) -> None:
        self._connection.count_message()
        if isinstance(message, peer_connection.Reply):
            result = codec.decode(message.body)
            self._handler.on_reply(message.request_id, result)
            return
        if not isinstance(message, peer_connection.Request):
            self._handler.on_message(Received(sender, message))
            return
        inner = codec.decode(message.body)
        if isinstance(inner, errors.Failure):
            self._drop_undecodable(inner.reason)
            return
        request_id = message.request_id

        def reply(answer: object) -> None:
            body = codec.encode(answer)
            self._connection.put(
                codec.encode(peer_connection.Reply(request_id, body))
            )

        self._handler.on_message(Received(sender, inner, reply))
