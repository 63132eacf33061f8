"""What arrives on one connection between two entries: Hello, then messages."""

from collections.abc import Callable
import dataclasses
from typing import Any, Protocol

import loguru

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.membership import peer_connection

__all__ = ["Owner", "Received", "Session"]


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


class Owner(Protocol):
    """The links that a session belongs to."""

    def is_stale(self) -> bool:
        """Whether received bytes may be too old to be believed."""

    def knows(self, entry_id: ids.EntryId) -> bool:
        """Whether an entry is among the peers."""

    def on_greeted(
        self,
        connection: peer_connection.Connection,
        entry_id: ids.EntryId,
        was_dialled: bool,
    ) -> None:
        """Takes a connection whose other side has sent its Hello."""

    def on_reply(self, request_id: int, result: object) -> None:
        """Takes a reply."""

    def on_message(self, received: Received) -> None:
        """Takes a message or a request."""


class Session:
    """Checks and decodes the bodies that arrive on one connection."""

    def __init__(
        self,
        connection: peer_connection.Connection,
        dialled: ids.EntryId | None,
        owner: Owner,
    ) -> None:
        """Starts before the Hello.

        Args:
            connection: The connection, closed on a violation.
            dialled: Entry that was dialled; None for an accepted connection.
            owner: Takes what was received.
        """
        self._connection = connection
        self._dialled = dialled
        self._owner = owner
        self._peer: ids.EntryId | None = None

    @property
    def peer(self) -> ids.EntryId | None:
        """The other entry, once its Hello was accepted."""
        return self._peer

    def receive(self, body: bytes) -> None:
        """Handles one body."""
        if self._owner.is_stale():
            loguru.logger.warning(
                "closing the link with {}: the process was stopped", self._peer
            )
            self._connection.close()
            return
        message = codec.decode(body)
        if isinstance(message, errors.Failure):
            self._count_damaged(message.reason)
        elif self._peer is None:
            self._greet(message)
        else:
            self._dispatch(self._peer, message)

    def _count_damaged(self, reason: str) -> None:
        self._connection.count_decode_error()
        loguru.logger.warning(
            "dropped a message from entry {}: {}", self._peer, reason
        )
        if self._peer is None:
            self._connection.close()

    def _greet(self, message: object) -> None:
        if not isinstance(message, peer_connection.Hello):
            self._refuse("its first message was no Hello")
            return
        entry_id = ids.EntryId(message.entry_id)
        if not self._owner.knows(entry_id):
            self._refuse(f"entry {entry_id} is not among the peers")
            return
        if self._dialled is not None and entry_id != self._dialled:
            self._refuse(f"entry {entry_id} answered for {self._dialled}")
            return
        self._peer = entry_id
        self._connection.greeted = True
        self._owner.on_greeted(
            self._connection, entry_id, self._dialled is not None
        )

    def _refuse(self, reason: str) -> None:
        loguru.logger.warning("refused a peer connection: {}", reason)
        self._connection.close()

    def _dispatch(self, sender: ids.EntryId, message: Any) -> None:
        self._connection.count_message()
        if isinstance(message, peer_connection.Reply):
            result = codec.decode(message.body)
            self._owner.on_reply(message.request_id, result)
            return
        if not isinstance(message, peer_connection.Request):
            self._owner.on_message(Received(sender, message))
            return
        inner = codec.decode(message.body)
        if isinstance(inner, errors.Failure):
            self._count_damaged(inner.reason)
            return
        request_id = message.request_id

        def reply(answer: object) -> None:
            body = codec.encode(answer)
            self._connection.put(
                codec.encode(peer_connection.Reply(request_id, body))
            )

        self._owner.on_message(Received(sender, inner, reply))
