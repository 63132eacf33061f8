"""The server side of an HTTP/1.1 connection, with limits on what it holds.

uvicorn's protocol collects headers, trailers and waiting requests without a
limit, reads a body on after the answer, and waits without end for a peer that
reads nothing.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import json
from typing import Any, cast

import httptools
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import refusals
from tarragoncleat.kernel import settings
from tarragoncleat.process import connection_budget
from tarragoncleat.requests import answers
from tarragoncleat.requests import caller_requests

__all__ = ["BodyCost", "LimitedProtocol", "Listener"]

_MS_PER_S = 1000
# Longest read, so that limits are checked often enough.
_READ_BYTES = 65_536
# Between messages and in heads, at most this much is parsed before the requests
# in it are counted; the smallest request has 18 bytes.
_HEAD_SLICE_BYTES = 1_024
# Approximate memory of a request in flight or waiting, and of a header.
_REQUEST_BYTES = 8_192
_HEADER_BYTES = 160
# Colon, space and line end (CR LF) of each header.
_HEADER_OVERHEAD_BYTES = 4
# A chunk of one byte has 5 bytes of framing.
_MAX_FRAMING_PER_BODY_BYTE = 8
# A body that nobody wants is read for at most this time and this many bytes,
# because closing a socket with unread data resets the connection, and the peer
# could lose the answer.
_LINGER_S = 1.0
_MAX_LINGER_BYTES = 4_194_304
# A connection stays open if at most this much of a body comes after the answer.
_MAX_SKIPPED_BODY_BYTES = 65_536
_MAX_LENGTH_DIGITS = 18

_OVERLOADED = errors.Failure(
    errors.ErrorKind.OVERLOADED, "the process holds too much for its clients"
)


@dataclasses.dataclass(frozen=True, slots=True)
class BodyCost:
    """What the body of a request costs in memory until its answer.

    Attributes:
        held_bytes: Bytes of a body that are held at most.
        factor: Memory for each of them, as received and as decoded.
    """

    held_bytes: int
    factor: float = 1.0


@dataclasses.dataclass(slots=True)
class _OpenRequest:
    """Memory of a request whose answer is not complete."""

    head_bytes: int
    body_cost: BodyCost
    body_bytes: int = 0


@dataclasses.dataclass(slots=True)
class Listener:
    """What the connections of one listener share.

    Attributes:
        limits: Limits of each connection.
        max_connections: Limit for the open connections of the listener.
        body_cost: Returns what a body costs, by the path of the request.
        budget: Budget of all listeners of the process.
        refusals: Counts of refusals of all listeners of the process.
        connections: Number of open connections of the listener.
    """

    limits: settings.CallerLimits
    max_connections: int
    body_cost: Callable[[bytes], BodyCost]
    budget: connection_budget.ConnectionBudget
    refusals: refusals.RefusalLog
    connections: int = 0


class _ResponseWriter:
    """Writes the head of a response together with the first part of its body.

    uvicorn writes them separately, which costs an extra system call and packet
    per response. If no body follows immediately, the head is written in the
    next iteration of the event loop.
    """

    def __init__(self, protocol: "LimitedProtocol") -> None:
        self._protocol: LimitedProtocol | None = protocol
        self._head: bytes | None = b""
        self._flush_handle: asyncio.Handle | None = None

    def detach(self) -> None:
        """Lets go of the connection, which refers to this writer.

        Cycles are looked for so rarely that their memory would add up.
        """
        self._protocol = None
        if self._flush_handle is not None:
            self._flush_handle.cancel()

    def write(self, data: bytes) -> None:
        if self._protocol is None:
            return
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
            data = self._pop_head() + data
        elif self._head is not None:
            self._head = data
            self._flush_handle = self._protocol.loop.call_soon(self._flush)
            return
        self._protocol.write(data)

    def close(self) -> None:
        if self._protocol is None:
            return
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush()
        self._protocol.close_after_response()

    def is_closing(self) -> bool:
        return self._protocol is None or self._protocol.transport.is_closing()

    def _flush(self) -> None:
        self._flush_handle = None
        if self._protocol is not None:
            self._protocol.write(self._pop_head())

    def _pop_head(self) -> bytes:
        head, self._head = self._head, None
        return head or b""


class _Flow(flow_control.FlowControl):
    """Reads nothing while requests wait behind the one in flight."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._is_held = False

    def hold(self) -> None:
        self._is_held = True
        self.pause_reading()

    def release(self) -> None:
        self._is_held = False
        self.resume_reading()

    def resume_reading(self) -> None:
        if not self._is_held:
            super().resume_reading()


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """One connection; subclasses set `listener`."""

    listener: Listener

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        """Creates the protocol, as uvicorn does for each connection."""
        super().__init__(*arguments, **keywords)
        self._header_timer: asyncio.TimerHandle | None = None
        self._answer_timer: asyncio.TimerHandle | None = None
        self._linger_timer: asyncio.TimerHandle | None = None
        self._writer: _ResponseWriter | None = None
        self._close_after_request = False
        self._receiving_headers = False
        self._receiving_message = False
        # Nothing that arrives is parsed any more.
        self._is_refused = False
        self._lingering_bytes: int | None = None
        # What has arrived behind requests that wait.
        self._unparsed = b""
        # Changes whenever a head or a message begins or ends.
        self._phase = 0
        self._header_bytes = 0
        # Bytes since the last change of phase that belong to no body.
        self._framing_bytes = 0
        self._body_bytes = 0
        # Whether the connection stays open once the whole body has arrived.
        self._keep_alive: bool | None = None
        self._open_requests: collections.deque[_OpenRequest]
        self._open_requests = collections.deque()
        self._open_bytes = 0
        self._written_bytes = 0
        self._drained_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Counts the connection; refuses it if there are too many."""
        super().connection_made(transport)
        self.flow = _Flow(transport)
        if hasattr(transport, "max_size"):
            transport.max_size = _READ_BYTES
        listener = self.listener
        listener.connections += 1
        is_open = listener.budget.open(self)
        if is_open and listener.connections <= listener.max_connections:
            # The keep-alive timeout starts only after the first response.
            self._start_header_timer()
            return
        self._record(refusals.Refusal.REFUSED_CONNECTIONS)
        self._write_refusal(
            errors.Failure(
                errors.ErrorKind.TOO_MANY_CONNECTIONS,
                "the entry has reached its connection limit",
            )
        )
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases what the connection held."""
        self.listener.connections -= 1
        self.listener.budget.close(self)
        self._stop_header_timer()
        for timer in (self._answer_timer, self._linger_timer):
            if timer is not None:
                timer.cancel()
        self._is_refused = True
        self._unparsed = b""
        if self._writer is not None:
            self._writer.detach()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses what has arrived, unless requests wait."""
        if self._lingering_bytes is not None:
            self._discard(data)
            return
        if self._is_refused or self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        if self._unparsed or self.pipeline or len(data) > _HEAD_SLICE_BYTES:
            self._unparsed += data
            self._parse()
        elif self._feed(data):
            self._charge_budget()

    def _parse(self) -> None:
        while self._unparsed and not self.pipeline:
            size = len(self._unparsed)
            if self._receiving_headers or not self._receiving_message:
                size = _HEAD_SLICE_BYTES
            data = self._unparsed[:size]
            self._unparsed = self._unparsed[size:]
            if not self._feed(data):
                return
        if self._unparsed:
            self._flow.hold()
        self._charge_budget()

    def _feed(self, data: bytes) -> bool:
        """Parses data; returns False if the connection was refused."""
        phase, body_bytes = self._phase, self._body_bytes
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served without the upgrade.
            pass
        except httptools.HttpParserError:
            self._refuse_malformed()
        if self._is_refused or self.transport.is_closing():
            return False
        if phase != self._phase:
            self._framing_bytes = 0
        else:
            self._framing_bytes += len(data) - (self._body_bytes - body_bytes)
            if not self._check_framing():
                return False
        if self._receiving_message and not self._receiving_headers:
            self._charge_body()
            self._expect_rest_of_body()
        self._watch_incomplete_request(phase != self._phase)
        return True

    def _check_framing(self) -> bool:
        limit = self.listener.limits.max_header_bytes
        refusal = refusals.Refusal.OVERSIZED_HEADERS
        if self._receiving_message and not self._receiving_headers:
            limit += _MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
            refusal = refusals.Refusal.OVERSIZED_FRAMING
        if self._framing_bytes <= limit:
            return True
        self._refuse_headers(refusal)
        return False

    def _expect_rest_of_body(self) -> None:
        """Closes the connection if the answer comes before a long body."""
        if self._keep_alive is None and not self.cycle.response_started:
            self._keep_alive = self.cycle.keep_alive
            if not _is_short(self.headers):
                self.cycle.keep_alive = False

    def _watch_incomplete_request(self, has_new_phase: bool) -> None:
        """Limits the time of a head, and of bytes that ask for nothing."""
        if self._receiving_headers:
            self._start_header_timer()
        elif self._is_in_flight:
            return
        elif self._receiving_message or not has_new_phase:
            self._start_header_timer()
        else:
            self._stop_header_timer()
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._phase += 1
        self._receiving_message = True
        self._receiving_headers = True
        self._header_bytes = 0
        self._body_bytes = 0
        self._keep_alive = None
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Adds a part of the target."""
        if self._count_header_bytes(len(url)):
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; a trailer is only counted."""
        size = len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        if self._count_header_bytes(size) and self._receiving_headers:
            super().on_header(name, value)

    def _count_header_bytes(self, size: int) -> bool:
        """Returns False if the connection is refused."""
        if self._is_refused:
            return False
        self._header_bytes += size
        if self._header_bytes > self.listener.limits.max_header_bytes:
            self._refuse_headers(refusals.Refusal.OVERSIZED_HEADERS)
        return not self._is_refused

    def on_headers_complete(self) -> None:
        """Starts the request, or lets it wait for the one in flight."""
        self._phase += 1
        self._receiving_headers = False
        self._stop_header_timer()
        if self._is_refused:
            return
        if self.listener.budget.is_exceeded:
            self._record(refusals.Refusal.MEMORY)
            self.app = _answer_overload
        super().on_headers_complete()
        self.app = self.config.loaded_app
        self._writer = _ResponseWriter(self)
        self.cycle.transport = cast(asyncio.Transport, self._writer)
        if self._close_after_request:
            self.cycle.keep_alive = False
        head_bytes = _REQUEST_BYTES + self._partial_head_bytes
        self._open_bytes += head_bytes
        body_cost = self.listener.body_cost(self.scope["raw_path"])
        self._open_requests.append(_OpenRequest(head_bytes, body_cost))
        # Trailers have the same limit again.
        self._header_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._body_bytes += len(body)
        if not self._is_refused:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends the request."""
        self._phase += 1
        self._receiving_message = False
        if self._is_refused:
            return
        if self._body_bytes:
            self._charge_body()
        if self._keep_alive is not None and not self.cycle.response_started:
            self.cycle.keep_alive = self._keep_alive
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Releases the request's memory; goes on with those that wait."""
        if self._open_requests:
            request = self._open_requests.popleft()
            self._open_bytes -= request.head_bytes + request.body_bytes
        if self._is_refused:
            return
        super().on_response_complete()
        if self._unparsed and not self.pipeline:
            self.loop.call_soon(self._parse_rest)
        self._charge_budget()

    def _parse_rest(self) -> None:
        if self._is_refused or self.transport.is_closing() or self.pipeline:
            return
        self._unset_keepalive_if_required()
        self._parse()
        if not self._unparsed and not self.transport.is_closing():
            self._flow.release()

    def shutdown(self) -> None:
        """Closes the connection once its request is answered."""
        # A request whose headers are still arriving is in flight: it is
        # answered before the connection closes.
        if self._receiving_headers:
            self._close_after_request = True
            return
        if self._keep_alive is not None:
            self._keep_alive = False
        super().shutdown()

    def write(self, data: bytes) -> None:
        """Writes a part of a response, and watches that the peer reads it."""
        self.transport.write(data)
        self._written_bytes += len(data)
        if self._unread_bytes:
            self._watch_unread_answer()
            self._charge_budget()

    def close_after_response(self) -> None:
        """Closes the connection; reads a little more of a long body."""
        if self._receiving_message:
            self._linger()
        else:
            self._close()

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection."""
        self._close()

    def give_up(self) -> bool:
        """Closes the connection, unless a request is being answered on it."""
        is_waiting = self._receiving_message or self.pipeline or self._unparsed
        if self._open_requests and not is_waiting and not self._unread_bytes:
            return False
        self._record(refusals.Refusal.MEMORY)
        if self._open_requests or self._unread_bytes or self._is_refused:
            self._abort()
        else:
            self._refuse(_OVERLOADED)
        return True

    @property
    def _flow(self) -> _Flow:
        return cast(_Flow, self.flow)

    @property
    def _is_in_flight(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def _unread_bytes(self) -> int:
        return self.transport.get_write_buffer_size()

    @property
    def _partial_head_bytes(self) -> int:
        return self._header_bytes + _HEADER_BYTES * len(self.headers)

    def _charge_body(self) -> None:
        """Charges what has arrived of the body of the latest request."""
        if not self._is_in_flight:
            return
        request = self._open_requests[-1]
        cost = request.body_cost
        body_bytes = int(min(self._body_bytes, cost.held_bytes) * cost.factor)
        self._open_bytes += body_bytes - request.body_bytes
        request.body_bytes = body_bytes

    def _charge_budget(self) -> None:
        held_bytes = self._unread_bytes
        if not self._is_refused:
            held_bytes += self._open_bytes + len(self._unparsed)
            if self._receiving_headers:
                held_bytes += self._partial_head_bytes + self._framing_bytes
        self.listener.budget.charge(self, held_bytes)

    def _start_header_timer(self) -> None:
        if self._header_timer is None:
            self._header_timer = self.loop.call_later(
                self.listener.limits.header_timeout_ms / _MS_PER_S,
                self._on_header_timeout,
            )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        self._record(refusals.Refusal.SLOW_HEADERS)
        limit_ms = self.listener.limits.header_timeout_ms
        self._refuse(
            errors.Failure(
                errors.ErrorKind.SLOW_REQUEST,
                f"headers took over {limit_ms} ms",
            )
        )

    def _watch_unread_answer(self) -> None:
        if self._answer_timer is None and self._unread_bytes:
            self._answer_timer = self.loop.call_later(
                self.listener.limits.answer_timeout_ms / _MS_PER_S,
                self._on_answer_timeout,
            )

    def _on_answer_timeout(self) -> None:
        self._answer_timer = None
        drained_bytes = self._written_bytes - self._unread_bytes
        has_progress = drained_bytes > self._drained_bytes
        self._drained_bytes = drained_bytes
        if has_progress or not self._unread_bytes:
            self._charge_budget()
            self._watch_unread_answer()
            return
        self._record(refusals.Refusal.UNREAD_ANSWERS)
        self._abort()

    def _refuse_headers(self, refusal: refusals.Refusal) -> None:
        self._record(refusal)
        limit = self.listener.limits.max_header_bytes
        self._refuse(
            errors.Failure(
                errors.ErrorKind.HEADERS_TOO_LARGE,
                f"headers exceed {limit} bytes",
            )
        )

    def _refuse_malformed(self) -> None:
        self._record(refusals.Refusal.MALFORMED)
        self._refuse(
            errors.Failure(
                errors.ErrorKind.BAD_REQUEST, "the request is malformed"
            )
        )

    def _record(self, refusal: refusals.Refusal) -> None:
        peer = self.client[0] if self.client else ""
        self.listener.refusals.record(refusal, peer)

    def _refuse(self, failure: errors.Failure) -> None:
        """Answers with a failure, and closes the connection."""
        if self._is_refused:
            return
        if self._is_in_flight:
            # The caller would mistake the error for the response to the
            # request in flight, which may have run.
            self._stop_receiving()
            self._close()
            return
        self._write_refusal(failure)
        self._linger()

    def _write_refusal(self, failure: errors.Failure) -> None:
        self._stop_receiving()
        response = errors.HTTP_RESPONSES[failure.kind]
        body = json.dumps(
            {
                "error": failure.kind.value,
                "reason": failure.reason,
                "request_id": None,
            }
        ).encode()
        head_lines = [
            f"HTTP/1.1 {response.status} Refused",
            "content-type: application/json",
            f"content-length: {len(body)}",
            f"tarragoncleat-outcome: {response.outcome.value}",
            "connection: close",
        ]
        if response.retry_after_s is not None:
            head_lines.append(f"retry-after: {response.retry_after_s}")
        head = "\r\n".join(head_lines).encode() + b"\r\n\r\n"
        self.write(head + body)

    def _stop_receiving(self) -> None:
        """Ends the parsing; what was received is released."""
        self._is_refused = True
        self._stop_header_timer()
        self._unset_keepalive_if_required()
        self._unparsed = b""
        self.headers = []
        self.url = b""
        self.scope = cast(Any, {})
        self._charge_budget()

    def _linger(self) -> None:
        """Discards what arrives for a while, so that the answer is received."""
        self._stop_receiving()
        if not self.transport.can_write_eof():
            self._close()
            return
        self._lingering_bytes = 0
        self._linger_timer = self.loop.call_later(_LINGER_S, self._close)
        self.transport.write_eof()
        self._flow.release()

    def _discard(self, data: bytes) -> None:
        self._lingering_bytes = (self._lingering_bytes or 0) + len(data)
        if self._lingering_bytes > _MAX_LINGER_BYTES:
            self._close()

    def _close(self) -> None:
        """Closes the connection once the peer has read what was written."""
        if not self.transport.is_closing():
            self.transport.close()
            self._watch_unread_answer()

    def _abort(self) -> None:
        self._stop_receiving()
        self.transport.abort()


async def _answer_overload(scope: Any, receive: Any, send: Any) -> None:
    """Refuses a request while the process holds too much."""
    del scope, receive
    answer = answers.build_error(
        _OVERLOADED, errors.Outcome.NOT_RUN, caller_requests.new_request_id()
    )
    await answers.send_complete(send, answer, [])


def _is_short(headers: list[tuple[bytes, bytes]]) -> bool:
    """Whether the body is announced to be short."""
    for name, value in headers:
        if name == b"content-length" and len(value) <= _MAX_LENGTH_DIGITS:
            return value.isdigit() and int(value) <= _MAX_SKIPPED_BODY_BYTES
    return False
