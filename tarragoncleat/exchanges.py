"""One request and its answer over one upstream connection."""

import dataclasses

import anyio
import h11

from tarragoncleat import answers
from tarragoncleat import caller_requests
from tarragoncleat import errors
from tarragoncleat import upstream_connections

__all__ = ["Exchange", "Progress"]

_OUTCOME = b"tarragoncleat-outcome"
_DROPPED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        _OUTCOME,
        caller_requests.REQUEST_ID,
    }
)
_DROPPED_WITHOUT_BODY = _DROPPED | {b"content-length"}
_NO_BODY_STATUSES = frozenset({204, 304})
# An answer up to this size is read whole before its first byte is sent on, so
# that most broken answers can still be retried or reported.
_READ_AHEAD_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a request has come; outlives a cancelled exchange.

    Attributes:
        started: Whether an attempt to send the request has begun.
        sent: Whether an upstream may have received a byte of the request and
            did not report that it was not run.
        answering: Whether the caller may have received a part of the answer.
    """

    started: bool = False
    sent: bool = False
    answering: bool = False


class Exchange:
    """Sends a request and passes its answer on to the caller."""

    def __init__(
        self,
        connection: upstream_connections.Connection,
        request: caller_requests.CallerRequest,
        head: h11.Request,
        body: caller_requests.CallerBody,
        send: answers.Send,
        progress: Progress,
        keep_bytes: int,
        extra_headers: caller_requests.Headers,
    ):
        """Prepares the exchange; answers up to `keep_bytes` are returned."""
        self._connection = connection
        self._request = request
        self._head = head
        self._body = body
        self._send = send
        self._progress = progress
        self._keep_bytes = keep_bytes
        self._extra_headers = extra_headers
        self._response: h11.Response | None = None
        self._unsent = bytearray()
        self._kept: bytearray | None = bytearray() if keep_bytes else None
        self._answer_complete = False
        self._refused = False
        self._is_small = False

    @property
    def refused(self) -> bool:
        """Whether the upstream reported that it did not run the request."""
        return self._refused

    async def run(self) -> errors.Failure | None:
        """Runs the exchange until the caller has the whole answer."""
        if self._body.complete and len(self._body.buffered) <= (
            _READ_AHEAD_BYTES
        ):
            failure = await self._send_at_once()
            return await self._answer() if failure is None else failure
        return await self._stream_body()

    def take_answer(self) -> answers.CompleteAnswer | None:
        """Returns the answer if it was small enough to be kept."""
        if self._kept is None or self._response is None:
            return None
        return answers.CompleteAnswer(
            self._response.status_code,
            self._answer_headers(len(self._kept)),
            bytes(self._kept),
        )

    async def _send_at_once(self) -> errors.Failure | None:
        data = self._body.buffered
        events: list[h11.Request | h11.Data | h11.EndOfMessage]
        events = [self._head]
        if data:
            events.append(h11.Data(data=data))
        events.append(h11.EndOfMessage())
        return await self._connection.send(*events)

    async def _stream_body(self) -> errors.Failure | None:
        # The upstream may answer before it has read the whole body, so both
        # directions run at the same time.
        results: list[errors.Failure | None] = []
        async with anyio.create_task_group() as group:

            async def upload() -> None:
                failure = await self._upload()
                if failure is not None:
                    results.append(failure)
                    group.cancel_scope.cancel()

            group.start_soon(upload)
            results.append(await self._answer())
            group.cancel_scope.cancel()
        return results[0]

    async def _upload(self) -> errors.Failure | None:
        failure = await self._send_chunks()
        if failure is None:
            return None
        caller_failed = failure.kind is not errors.ErrorKind.UPSTREAM_FAILED
        # The upstream may have answered before it closed its side. Then the
        # answer counts; without one the reading side fails as well.
        if caller_failed or not self._connection.wrote:
            return failure
        return None

    async def _send_chunks(self) -> errors.Failure | None:
        failure = await self._connection.send(self._head)
        chunk: bytes | errors.Failure = self._body.buffered
        while failure is None:
            if isinstance(chunk, errors.Failure):
                return chunk
            if chunk:
                failure = await self._connection.send(h11.Data(data=chunk))
            if failure is not None or self._body.complete:
                break
            chunk = await self._body.next_chunk()
        if failure is not None:
            return failure
        return await self._connection.send(h11.EndOfMessage())

    async def _answer(self) -> errors.Failure | None:
        while self._must_read_on():
            failure = self._take(await self._connection.receive())
            if failure is not None:
                return failure
        if self._refused:
            return errors.Failure(
                errors.ErrorKind.UPSTREAM_REFUSED,
                "the upstream did not run the request",
            )
        failure = self._take_ready()
        if failure is not None:
            return failure
        await self._send_start()
        return await self._send_body()

    def _must_read_on(self) -> bool:
        if self._response is None:
            return True
        return not self._answer_complete and (self._refused or self._is_small)

    def _take_ready(self) -> errors.Failure | None:
        while not self._answer_complete and (
            len(self._unsent) <= _READ_AHEAD_BYTES
        ):
            event = self._connection.receive_ready()
            if event is None:
                return None
            failure = self._take(event)
            if failure is not None:
                return failure
        return None

    def _take(
        self, event: upstream_connections.Event | errors.Failure
    ) -> errors.Failure | None:
        if isinstance(event, errors.Failure):
            return event
        if isinstance(event, h11.Data):
            if not self._refused:
                self._unsent += event.data
        elif isinstance(event, h11.EndOfMessage):
            self._answer_complete = True
        elif isinstance(event, h11.Response):
            return self._take_response(event)
        return None

    def _take_response(self, response: h11.Response) -> errors.Failure | None:
        self._response = response
        for name, value in response.headers:
            if name == b"content-length":
                self._is_small = int(value) <= _READ_AHEAD_BYTES
            elif name == _OUTCOME and value == b"not-run":
                self._refused = response.status_code == 503
            elif name == caller_requests.REQUEST_ID and value != (
                self._request.request_id.encode()
            ):
                # An upstream that sends two answers to one request can't be
                # noticed otherwise once the connection is used again.
                return errors.Failure(
                    errors.ErrorKind.UPSTREAM_FAILED,
                    "the answer names another request",
                )
        return None

    async def _send_start(self) -> None:
        assert self._response is not None
        length = len(self._unsent) if self._answer_complete else None
        headers = self._answer_headers(length) + self._extra_headers
        if not self._body.complete:
            headers.append((b"connection", b"close"))
        self._progress.answering = True
        await self._send(
            {
                "type": "http.response.start",
                "status": self._response.status_code,
                "headers": headers,
            }
        )

    def _answer_headers(
        self, known_length: int | None
    ) -> caller_requests.Headers:
        assert self._response is not None
        without_body = self._response.status_code in _NO_BODY_STATUSES
        headers = caller_requests.end_to_end_headers(
            list(self._response.headers),
            _DROPPED_WITHOUT_BODY if without_body else _DROPPED,
        )
        if (
            known_length is not None
            and not without_body
            and self._request.method != "HEAD"
            and not any(name == b"content-length" for name, _ in headers)
        ):
            headers.append((b"content-length", b"%d" % known_length))
        headers.append(
            (caller_requests.REQUEST_ID, self._request.request_id.encode())
        )
        return headers

    async def _send_body(self) -> errors.Failure | None:
        while True:
            data = bytes(self._unsent)
            self._unsent.clear()
            self._keep(data)
            done = self._answer_complete
            if data or done:
                await self._send(
                    {
                        "type": "http.response.body",
                        "body": data,
                        "more_body": not done,
                    }
                )
            if done:
                return None
            failure = self._take(await self._connection.receive())
            if failure is None:
                failure = self._take_ready()
            if failure is not None:
                return failure

    def _keep(self, data: bytes) -> None:
        if self._kept is None:
            return
        if len(self._kept) + len(data) > self._keep_bytes:
            self._kept = None
        else:
            self._kept += data
