"""Parsing of a caller's request: head, body and Tarragoncleat headers."""

from collections.abc import Awaitable, Callable, Iterable
import dataclasses
import itertools
import re
import secrets
from typing import Any

import anyio
import h11

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module

__all__ = [
    "REQUEST_ID_HEADER",
    "CallerBody",
    "CallerRequest",
    "Headers",
    "Receive",
    "Scope",
    "build_head",
    "end_to_end_headers",
    "new_request_id",
    "parse",
]

Headers = list[tuple[bytes, bytes]]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Scope = dict[str, Any]

REQUEST_ID_HEADER = b"tarragoncleat-request-id"

_MS_PER_S = 1000
_IDEMPOTENT_METHODS = frozenset(
    {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"}
)
_SERVICE_PATH = re.compile(
    rb"^/services/([A-Za-z0-9][A-Za-z0-9._-]{0,62})(/.*)?$"
)
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# The entry answers Expect itself, and the request id is the entry's own.
_NOT_FORWARDED = _HOP_BY_HOP | {b"expect", REQUEST_ID_HEADER}
# Colon, space and line end (CR LF) of each header.
_HEADER_OVERHEAD_BYTES = 4
_MAX_KEY_BYTES = 255
# Random for each process, so that request ids are unique across restarts and
# entries.
_PROCESS_ID = secrets.token_hex(8)
_REQUEST_NUMBERS = itertools.count()
_MAX_DEADLINE_MS = 3_600_000
# Python refuses to convert thousands of digits.
_MAX_DIGITS = 18


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """The head of a request to a service.

    Attributes:
        request_id: Unique id that the entry assigned to the request.
        service: Service that is called.
        method: HTTP method.
        target: Path and query for the upstream.
        headers: End-to-end headers for the upstream.
        idempotent: Whether the request may run more than once.
        key: Idempotency-Key, if the caller sent one.
        deadline_s: Longest duration of the whole request.
        content_length: Declared length of the body, None when it is chunked.
    """

    request_id: ids.RequestId
    service: ids.ServiceId
    method: str
    target: bytes
    headers: Headers
    idempotent: bool
    key: str | None
    deadline_s: float
    content_length: int | None


def new_request_id() -> ids.RequestId:
    """Returns a unique id."""
    return ids.RequestId(f"{_PROCESS_ID}{next(_REQUEST_NUMBERS):016x}")


def end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> Headers:
    """Returns headers without `dropped` and those that Connection names.

    Names must be in lower case.
    """
    kept = []
    for header in headers:
        name = header[0]
        if name not in dropped:
            kept.append(header)
        elif name == b"connection":
            return _drop_named_headers(headers, dropped)
    return kept


def _drop_named_headers(
    headers: Iterable[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> Headers:
    named = {
        item.strip().lower()
        for name, value in headers
        if name == b"connection"
        for item in value.split(b",")
    }
    return [
        header
        for header in headers
        if header[0] not in dropped and header[0] not in named
    ]


def parse(
    scope: Scope,
    request_id: ids.RequestId,
    settings: settings_module.Settings,
) -> CallerRequest | errors.Failure:
    """Parses the head of a request."""
    match = _SERVICE_PATH.match(scope["raw_path"])
    if match is None:
        return errors.Failure(
            errors.ErrorKind.NOT_FOUND, "the path is not /services/NAME/PATH"
        )
    if scope["http_version"] == "1.0":
        return _bad_request("HTTP/1.1 is required")
    headers: Headers = scope["headers"]
    limits = settings.callers
    size = _HEADER_OVERHEAD_BYTES * len(headers)
    for name, value in headers:
        size += len(name) + len(value)
    if size > limits.max_header_bytes:
        return errors.Failure(
            errors.ErrorKind.HEADERS_TOO_LARGE,
            f"headers may have at most {limits.max_header_bytes} bytes",
        )
    by_name = dict(headers)
    length = _parse_content_length(by_name)
    if isinstance(length, errors.Failure):
        return length
    if length is not None and length > limits.max_body_bytes:
        return errors.Failure(
            errors.ErrorKind.TOO_LARGE,
            f"the body may have at most {limits.max_body_bytes} bytes",
        )
    deadline_ms = _parse_deadline_ms(
        by_name, settings.routing.default_deadline_ms
    )
    if isinstance(deadline_ms, errors.Failure):
        return deadline_ms
    idempotent = _parse_idempotent(by_name, scope["method"])
    if isinstance(idempotent, errors.Failure):
        return idempotent
    key = _parse_idempotency_key(by_name)
    if isinstance(key, errors.Failure):
        return key
    query = scope["query_string"]
    path = match.group(2) or b"/"
    return CallerRequest(
        request_id=request_id,
        service=ids.ServiceId(match.group(1).decode("ascii")),
        method=scope["method"],
        target=path + b"?" + query if query else path,
        headers=end_to_end_headers(headers, _NOT_FORWARDED),
        idempotent=idempotent,
        key=key,
        deadline_s=deadline_ms / _MS_PER_S,
        content_length=length,
    )


def build_head(
    request: CallerRequest, known_length: int | None
) -> h11.Request | errors.Failure:
    """Returns the request head for the upstream.

    Args:
        request: The caller's request.
        known_length: Length of the body if all of it was read ahead.
    """
    headers = list(request.headers)
    if request.content_length is None:
        if known_length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            headers.append((b"content-length", b"%d" % known_length))
    headers.append((REQUEST_ID_HEADER, request.request_id.encode()))
    try:
        return h11.Request(
            method=request.method, target=request.target, headers=headers
        )
    except h11.LocalProtocolError as error:
        return _bad_request(f"the request is malformed: {error}")


def _bad_request(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)


def _parse_content_length(
    by_name: dict[bytes, bytes],
) -> int | None | errors.Failure:
    if b"transfer-encoding" in by_name:
        return None
    value = by_name.get(b"content-length", b"0")
    length = _parse_number(value)
    if length is None:
        return _bad_request("Content-Length is invalid")
    return length


def _parse_number(value: bytes) -> int | None:
    """Returns a number; None for other text, or for too many digits."""
    if len(value) > _MAX_DIGITS or not value.isdigit():
        return None
    return int(value)


def _parse_deadline_ms(
    by_name: dict[bytes, bytes], default_ms: int
) -> int | errors.Failure:
    value = by_name.get(b"tarragoncleat-deadline-ms")
    if value is None:
        return default_ms
    number = _parse_number(value)
    if number is None or not 0 < number <= _MAX_DEADLINE_MS:
        return _bad_request(
            f"Tarragoncleat-Deadline-Ms must be 1 to {_MAX_DEADLINE_MS}"
        )
    return number


def _parse_idempotent(
    by_name: dict[bytes, bytes], method: str
) -> bool | errors.Failure:
    value = by_name.get(b"tarragoncleat-idempotent")
    if value is None:
        return method in _IDEMPOTENT_METHODS
    if value not in (b"true", b"false"):
        return _bad_request("Tarragoncleat-Idempotent must be true or false")
    return value == b"true"


def _parse_idempotency_key(
    by_name: dict[bytes, bytes],
) -> str | None | errors.Failure:
    value = by_name.get(b"idempotency-key")
    if value is None:
        return None
    if not 0 < len(value) <= _MAX_KEY_BYTES:
        return _bad_request(
            f"Idempotency-Key must have 1 to {_MAX_KEY_BYTES} bytes"
        )
    return value.decode("latin-1")


class CallerBody:
    """The body of a request, of which a bounded part is kept for resending."""

    def __init__(
        self,
        receive: Receive,
        content_length: int | None,
        limits: settings_module.CallerLimits,
    ):
        """Prepares a body of `content_length` bytes, None if unknown."""
        self._receive = receive
        self._max_bytes = limits.max_body_bytes
        self._idle_timeout_s = limits.body_idle_timeout_ms / _MS_PER_S
        self._buffered = bytearray()
        self._received = 0
        self._complete = content_length == 0
        self._disconnected = False

    @property
    def buffered(self) -> bytes:
        """The part of the body that was read ahead."""
        return bytes(self._buffered)

    @property
    def complete(self) -> bool:
        """Whether the whole body has been received."""
        return self._complete

    @property
    def replayable(self) -> bool:
        """Whether everything that was received is still buffered."""
        return self._received == len(self._buffered)

    @property
    def disconnected(self) -> bool:
        """Whether the caller closed its connection."""
        return self._disconnected

    async def read_ahead(self, max_bytes: int) -> errors.Failure | None:
        """Buffers chunks until the body ends or exceeds `max_bytes`."""
        while not self._complete and len(self._buffered) <= max_bytes:
            chunk = await self.next_chunk()
            if isinstance(chunk, errors.Failure):
                return chunk
            self._buffered += chunk
        return None

    async def next_chunk(self) -> bytes | errors.Failure:
        """Returns the next chunk of a body that is not complete."""
        with anyio.move_on_after(self._idle_timeout_s) as scope:
            message = await self._receive()
        if scope.cancelled_caught:
            return errors.Failure(
                errors.ErrorKind.SLOW_REQUEST, "the body arrived too slowly"
            )
        if message["type"] == "http.disconnect":
            self._disconnected = True
            return _bad_request(
                "the caller disconnected before the end of the body"
            )
        chunk = message.get("body", b"")
        self._received += len(chunk)
        if self._received > self._max_bytes:
            return errors.Failure(
                errors.ErrorKind.TOO_LARGE,
                f"the body may have at most {self._max_bytes} bytes",
            )
        self._complete = not message.get("more_body", False)
        return chunk

    async def wait_for_disconnect(self) -> None:
        """Waits until the caller disconnects; the body must be complete."""
        while not self._disconnected:
            message = await self._receive()
            self._disconnected = message["type"] == "http.disconnect"
