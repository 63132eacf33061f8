"""Requests and answers of the administration API."""

from collections.abc import Awaitable, Callable, Mapping, MutableMapping
import dataclasses
import json
import math
from typing import Any
import urllib.parse
import uuid

import pydantic_core

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import request_body

__all__ = [
    "Answer",
    "Receive",
    "Request",
    "Scope",
    "Send",
    "error_answer",
    "read_headers",
    "read_request",
    "send_answer",
]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

_MAX_BODY_BYTES = 4 * 1024 * 1024
# Integers are encoded in 64 bits.
_MAX_DIGITS = 18


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request.

    Attributes:
        method: HTTP method.
        parts: Parts of the path after `/admin/v1/`, unquoted.
        query: Query parameters; the last value of a name wins.
        headers: Headers with lower-case names.
        body: The JSON object of the body; empty without a body.
        request_id: Id that is copied into the answer.
        command_id: `Command-Id` header, or a generated id.
    """

    method: str
    parts: tuple[str, ...]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: Mapping[str, Any]
    request_id: str
    command_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One HTTP answer with a body of plain types or dataclasses."""

    status: int
    body: object
    headers: tuple[tuple[str, str], ...] = ()


def read_headers(scope: Scope) -> dict[str, str]:
    """Returns the headers with lower-case names."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


async def read_request(
    scope: Scope, receive: Receive, prefix: str, idle_timeout_s: float
) -> Request | errors.Failure:
    """Reads a complete request.

    Args:
        scope: The ASGI scope.
        receive: The ASGI function.
        prefix: Path that the parts follow.
        idle_timeout_s: Longest time between two parts of the body.

    Returns:
        The request, or a `Failure` of kind TOO_LARGE, SLOW_REQUEST or
        BAD_REQUEST.
    """
    headers = read_headers(scope)
    limits = request_body.BodyLimits(_MAX_BODY_BYTES, idle_timeout_s)
    data = await request_body.read(scope["headers"], receive, limits)
    if isinstance(data, errors.Failure):
        return data
    body = _parse_body(data)
    if isinstance(body, errors.Failure):
        return body
    raw_path = scope.get("raw_path") or scope["path"].encode()
    path = raw_path.decode("latin-1").removeprefix(prefix)
    query = urllib.parse.parse_qsl(
        scope["query_string"].decode("latin-1"), keep_blank_values=True
    )
    return Request(
        scope["method"],
        tuple(urllib.parse.unquote(part) for part in path.split("/")),
        dict(query),
        headers,
        body,
        uuid.uuid4().hex,
        headers.get("command-id") or uuid.uuid4().hex,
    )


def error_answer(failure: errors.Failure, request_id: str) -> Answer:
    """Builds the error answer for a failure."""
    response = errors.HTTP_RESPONSES[failure.kind]
    body: dict[str, object] = {
        "error": failure.kind.value,
        "reason": failure.reason,
        "request_id": request_id,
    }
    if failure.detail:
        body["detail"] = dict(failure.detail)
    headers = [("Tarragoncleat-Outcome", response.outcome.value)]
    if response.retry_after_s is not None:
        headers.append(("Retry-After", str(response.retry_after_s)))
    if failure.kind is errors.ErrorKind.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    return Answer(response.status, body, tuple(headers))


async def send_answer(send: Send, answer: Answer) -> None:
    """Sends an answer; a string body is sent as HTML."""
    if isinstance(answer.body, str):
        content_type, data = "text/html; charset=utf-8", answer.body.encode()
    else:
        content_type = "application/json"
        data = pydantic_core.to_json(answer.body) + b"\n"
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(data))),
        *answer.headers,
    ]
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": [
                (name.lower().encode(), value.encode())
                for name, value in headers
            ],
        }
    )
    await send({"type": "http.response.body", "body": data})


def _parse_int(text: str) -> int:
    if len(text) > _MAX_DIGITS:
        raise ValueError(f"a number has more than {_MAX_DIGITS} digits")
    return int(text)


def _parse_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"the number {text} is too large")
    return value


def _reject_constant(text: str) -> float:
    raise ValueError(f"{text} is not a number")


def _parse_body(data: bytes) -> dict | errors.Failure:
    if not data:
        return {}
    try:
        value = json.loads(
            data,
            parse_int=_parse_int,
            parse_float=_parse_float,
            parse_constant=_reject_constant,
        )
        # JSON may contain lone surrogates, which can't be stored as UTF-8.
        json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        return errors.Failure(
            errors.ErrorKind.BAD_REQUEST, f"the body is not JSON: {error}"
        )
    if not isinstance(value, dict):
        return errors.Failure(
            errors.ErrorKind.BAD_REQUEST, "the body must be a JSON object"
        )
    return value
