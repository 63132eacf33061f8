"""Lingering close of connections whose request body is not read."""

from typing import Any

import anyio

from tarragoncleat.requests import answers
from tarragoncleat.requests import caller_requests

__all__ = ["LingeringSend"]

# The body of a refused request is read for at most this time and this many
# bytes.
_LINGER_S = 1.0
_MAX_LINGER_BYTES = 4_194_304


class LingeringSend:
    """ASGI send function that reads more of the body before it ends an answer.

    Closing a socket with unread data resets the connection, and the caller
    could lose the answer.
    """

    def __init__(
        self, receive: caller_requests.Receive, send: answers.Send
    ) -> None:
        """Wraps the ASGI functions of one request."""
        self._receive = receive
        self._send = send

    async def __call__(self, message: dict[str, Any]) -> None:
        """Sends a message of an answer that is complete."""
        if message["type"] != "http.response.body":
            await self._send(message)
            return
        await self._send(message | {"more_body": True})
        with anyio.move_on_after(_LINGER_S):
            await self._skip_body()
        await self._send({"type": "http.response.body", "body": b""})

    async def _skip_body(self) -> None:
        skipped = 0
        while skipped < _MAX_LINGER_BYTES:
            message = await self._receive()
            skipped += len(message.get("body", b""))
            if not message.get("more_body", False):
                return
