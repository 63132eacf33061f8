"""Reads the complete body of an ASGI request, within limits."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
import dataclasses
from typing import Any

import anyio

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import json_size

__all__ = ["BodyLimits", "BodyRefused", "read"]

Receive = Callable[[], Awaitable[Mapping[str, Any]]]
RawHeaders = Iterable[tuple[bytes, bytes]]

# No limit has more digits.
_MAX_LENGTH_DIGITS = 18


@dataclasses.dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits of a body.

    Attributes:
        max_bytes: Size of the whole body.
        idle_timeout_s: Time between two parts of it, in seconds.
        max_decoded_bytes: Memory of the JSON value that it holds.
    """

    max_bytes: int
    idle_timeout_s: float
    max_decoded_bytes: int = 2**40


@event_log.event("body_refused", event_log.Priority.LISTENERS_ONLY)
@dataclasses.dataclass(frozen=True, slots=True)
class BodyRefused:
    """A request was refused for the size or the pace of its body."""

    kind: errors.ErrorKind


async def read(
    headers: RawHeaders, receive: Receive, limits: BodyLimits
) -> bytes | errors.Failure:
    """Reads the body of a request.

    Nothing is read of a body that is announced to be too large, and no more of
    others once they are.

    Args:
        headers: Headers of the request, with names in lower case.
        receive: The ASGI function.
        limits: Limits of the body.

    Returns:
        The body, or a `Failure` of kind TOO_LARGE, SLOW_REQUEST, or BAD_REQUEST
        if the peer disconnected.
    """
    result = await _read(headers, receive, limits)
    if isinstance(result, errors.Failure):
        event_log.emit(BodyRefused(result.kind))
    return result


async def _read(
    headers: RawHeaders, receive: Receive, limits: BodyLimits
) -> bytes | errors.Failure:
    if _announced_bytes(headers) > limits.max_bytes:
        return _too_large(limits)
    chunks: list[bytes] = []
    size = 0
    while True:
        message: Mapping[str, Any] | None = None
        with anyio.move_on_after(limits.idle_timeout_s):
            message = await receive()
        if message is None:
            return errors.Failure(
                errors.ErrorKind.SLOW_REQUEST, "the body arrived too slowly"
            )
        if message["type"] != "http.request":
            return errors.Failure(
                errors.ErrorKind.BAD_REQUEST,
                "the connection was closed before the end of the body",
            )
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limits.max_bytes:
            return _too_large(limits)
        chunks.append(chunk)
        if not message.get("more_body", False):
            body = b"".join(chunks)
            if json_size.estimate_bytes(body) > limits.max_decoded_bytes:
                return errors.Failure(
                    errors.ErrorKind.TOO_LARGE,
                    "the values of the body take too much memory",
                )
            return body


def _announced_bytes(headers: RawHeaders) -> int:
    """Returns the Content-Length, or 0 without a valid one."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value[-_MAX_LENGTH_DIGITS:])
    return 0


def _too_large(limits: BodyLimits) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.TOO_LARGE,
        f"the body exceeds {limits.max_bytes} bytes",
    )
