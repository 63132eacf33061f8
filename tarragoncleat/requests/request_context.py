"""State of a request in flight."""

import dataclasses

import anyio

from tarragoncleat.requests import answers
from tarragoncleat.requests import caller_requests

__all__ = ["RequestContext"]


@dataclasses.dataclass(slots=True)
class RequestContext:
    """A caller's request and its progress.

    Attributes:
        request: Head of the request.
        body: Body of the request.
        send: ASGI send function of the caller.
        firm: Firm of the caller.
        caller: Name of the caller's token; empty without one.
        extra_headers: Headers to add to the answer.
        arrived_at_s: Monotonic time of the arrival.
        cancel_scope: Cancels the request at its deadline or when the caller
            disconnects.
        disconnect_scope: Cancels the task that waits for the caller to
            disconnect.
        attempted: Whether an attempt to send the request has begun.
        maybe_sent: Whether an upstream may have received a byte of the request
            and did not report that it was not run.
        answer_started: Whether the caller may have received a part of the
            answer.
    """

    request: caller_requests.CallerRequest
    body: caller_requests.CallerBody
    send: answers.Send
    extra_headers: caller_requests.Headers
    arrived_at_s: float
    cancel_scope: anyio.CancelScope
    firm: str = ""
    caller: str = ""
    disconnect_scope: anyio.CancelScope | None = None
    attempted: bool = False
    maybe_sent: bool = False
    answer_started: bool = False
