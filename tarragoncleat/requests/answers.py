"""Complete answers: error answers of the entry, and stored ones."""

from collections.abc import Awaitable, Callable
import dataclasses
import json
from typing import Any

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.requests import caller_requests

__all__ = ["CompleteAnswer", "Send", "build_error", "send_complete"]

Send = Callable[[dict[str, Any]], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """An answer with its whole body."""

    status: int
    headers: caller_requests.Headers
    body: bytes


def build_error(
    failure: errors.Failure,
    outcome: errors.Outcome,
    request_id: ids.RequestId,
) -> CompleteAnswer:
    """Returns the answer that reports a failure and the request's outcome."""
    response = errors.HTTP_RESPONSES[failure.kind]
    body = json.dumps(
        {
            "error": failure.kind.value,
            "reason": failure.reason,
            "request_id": request_id,
        }
    ).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"tarragoncleat-outcome", outcome.value.encode()),
        (caller_requests.REQUEST_ID_HEADER, request_id.encode()),
    ]
    if response.retry_after_s is not None:
        headers.append((b"retry-after", str(response.retry_after_s).encode()))
    return CompleteAnswer(response.status, headers, body)


async def send_complete(
    send: Send,
    answer: CompleteAnswer,
    extra_headers: caller_requests.Headers,
) -> None:
    """Sends an answer with its whole body to the caller."""
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": answer.headers + extra_headers,
        }
    )
    await send({"type": "http.response.body", "body": answer.body})
