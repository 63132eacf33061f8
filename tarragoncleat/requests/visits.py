"""One request on its way through the entry."""

import dataclasses

import anyio

from tarragoncleat.requests import answers
from tarragoncleat.requests import caller_requests

__all__ = ["Visit"]


@dataclasses.dataclass(slots=True)
class Visit:
    """A caller's request and how far it has come.

    Attributes:
        request: What the caller asks for.
        body: Its body.
        send: ASGI send function of the caller.
        firm: Firm of the caller.
        caller: Name of the caller's token; empty without one.
        extra_headers: Headers to add to the answer.
        arrived_s: Monotonic time of the arrival.
        scope: Ends the request at its deadline or when its caller has gone.
        watch: Ends the task that watches for the caller's disconnect.
        started: Whether an attempt to send the request has begun.
        sent: Whether an upstream may have received a byte of the request and
            did not report that it was not run.
        answering: Whether the caller may have received a part of the answer.
    """

    request: caller_requests.CallerRequest
    body: caller_requests.CallerBody
    send: answers.Send
    extra_headers: caller_requests.Headers
    arrived_s: float
    scope: anyio.CancelScope
    firm: str = ""
    caller: str = ""
    watch: anyio.CancelScope | None = None
    started: bool = False
    sent: bool = False
    answering: bool = False
