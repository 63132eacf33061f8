"""One request and its answer over one upstream connection."""

import anyio
import h11

from tarragoncleat.kernel import errors
from tarragoncleat.requests import answers
from tarragoncleat.requests import caller_requests
from tarragoncleat.requests import request_context
from tarragoncleat.requests import upstream_connections

__all__ = ["Exchange"]

_OUTCOME_HEADER = b"tarragoncleat-outcome"
_DROPPED_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        _OUTCOME_HEADER,
        caller_requests.REQUEST_ID_HEADER,
    }
)
_DROPPED_HEADERS_WITHOUT_BODY = _DROPPED_HEADERS | {b"content-length"}
_NO_BODY_STATUSES = frozenset({204, 304})
# An answer up to this size is read whole before its first byte is forwarded,
# so that most broken answers can still be retried or reported.
_READ_AHEAD_BYTES = 65_536
_MAX_INTERIM_ANSWERS = 16


class Exchange:
    """Sends a request to an upstream and forwards its answer to the caller."""

    __slots__ = (
        "_answer_complete",
        "_connection",
        "_context",
        "_head",
        "_headers",
        "_interim_count",
        "_is_small",
        "_keep_bytes",
        "_kept",
        "_refused",
        "_skipped_bytes",
        "_status",
        "_unsent",
    )

    def __init__(
        self,
        connection: upstream_connections.Connection,
        context: request_context.RequestContext,
        head: h11.Request,
        keep_bytes: int,
    ):
        """Prepares the exchange; answers up to `keep_bytes` are kept."""
        self._connection = connection
        self._context = context
        self._head = head
        self._keep_bytes = keep_bytes
        self._status = 0
        self._headers: caller_requests.Headers = []
        self._unsent = b""
        self._kept: bytearray | None = bytearray() if keep_bytes else None
        self._answer_complete = False
        self._refused = False
        self._is_small = False
        self._skipped_bytes = 0
        self._interim_count = 0

    @property
    def refused(self) -> bool:
        """Whether the upstream reported that it did not run the request."""
        return self._refused

    async def run(self) -> errors.Failure | None:
        """Runs the exchange until the caller has the whole answer."""
        body = self._context.body
        data = body.buffered
        if not body.complete or len(data) > _READ_AHEAD_BYTES:
            return await self._run_streaming()
        if data:
            failure = await self._connection.send(
                self._head, h11.Data(data=data), h11.EndOfMessage()
            )
        else:
            failure = await self._connection.send(
                self._head, h11.EndOfMessage()
            )
        return await self._forward_answer() if failure is None else failure

    def get_kept_answer(self) -> answers.CompleteAnswer | None:
        """Returns the answer, or None if it was too large to be kept."""
        if self._kept is None:
            return None
        head_bytes = sum(
            len(name) + len(value) for name, value in self._headers
        )
        if head_bytes + len(self._kept) > self._keep_bytes:
            return None
        self._add_content_length(len(self._kept))
        return answers.CompleteAnswer(
            self._status, self._headers, bytes(self._kept)
        )

    async def _run_streaming(self) -> errors.Failure | None:
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
            results.append(await self._forward_answer())
            group.cancel_scope.cancel()
        return results[0]

    async def _upload(self) -> errors.Failure | None:
        failure = await self._send_chunks()
        if failure is None:
            return None
        caller_failed = failure.kind is not errors.ErrorKind.UPSTREAM_FAILED
        # The upstream may have answered before it closed its side; then the
        # answer is forwarded. Without an answer, receiving fails as well.
        if caller_failed or not self._connection.has_sent:
            return failure
        return None

    async def _send_chunks(self) -> errors.Failure | None:
        failure = await self._connection.send(self._head)
        chunk: bytes | errors.Failure = self._context.body.buffered
        while failure is None:
            if isinstance(chunk, errors.Failure):
                return chunk
            if chunk:
                failure = await self._connection.send(h11.Data(data=chunk))
            if failure is not None or self._context.body.complete:
                break
            chunk = await self._context.body.next_chunk()
        if failure is not None:
            return failure
        return await self._connection.send(h11.EndOfMessage())

    async def _forward_answer(self) -> errors.Failure | None:
        receive = self._connection.receive
        while self._must_buffer_more():
            failure = self._handle_event(await receive())
            if failure is not None:
                return failure
        if self._refused:
            return errors.Failure(
                errors.ErrorKind.UPSTREAM_REFUSED,
                "the upstream did not run the request",
            )
        if not self._answer_complete:
            failure = self._handle_buffered_events()
            if failure is not None:
                return failure
        await self._send_answer_start()
        return await self._send_answer_body()

    def _must_buffer_more(self) -> bool:
        if not self._status:
            return True
        if self._refused:
            # The rest of a long refusal isn't worth waiting for.
            is_long = self._skipped_bytes > _READ_AHEAD_BYTES
            return not self._answer_complete and not is_long
        return not self._answer_complete and self._is_small

    def _handle_buffered_events(self) -> errors.Failure | None:
        while not self._answer_complete and (
            len(self._unsent) <= _READ_AHEAD_BYTES
        ):
            event = self._connection.receive_buffered()
            if event is None:
                return None
            failure = self._handle_event(event)
            if failure is not None:
                return failure
        return None

    def _handle_event(
        self, event: upstream_connections.Event | errors.Failure
    ) -> errors.Failure | None:
        if isinstance(event, h11.Data):
            if self._refused:
                self._skipped_bytes += len(event.data)
            else:
                self._unsent += event.data
        elif isinstance(event, h11.EndOfMessage):
            self._answer_complete = True
        elif isinstance(event, h11.Response):
            return self._handle_response(event)
        elif isinstance(event, errors.Failure):
            return event
        elif isinstance(event, h11.InformationalResponse):
            self._interim_count += 1
            if self._interim_count > _MAX_INTERIM_ANSWERS:
                return errors.Failure(
                    errors.ErrorKind.UPSTREAM_FAILED,
                    "the upstream sent too many interim answers",
                )
        return None

    def _handle_response(self, response: h11.Response) -> errors.Failure | None:
        self._status = response.status_code
        headers = list(response.headers)
        request_id = self._context.request.request_id.encode()
        for name, value in headers:
            if name == b"content-length":
                self._is_small = int(value) <= _READ_AHEAD_BYTES
            elif name == _OUTCOME_HEADER and value == b"not-run":
                self._refused = self._status == 503
            elif (
                name == caller_requests.REQUEST_ID_HEADER
                and value != request_id
            ):
                # Detects an upstream that sent two answers to one request,
                # once the connection is reused.
                return errors.Failure(
                    errors.ErrorKind.UPSTREAM_FAILED,
                    "the answer has the id of another request",
                )
        self._headers = caller_requests.end_to_end_headers(
            headers,
            _DROPPED_HEADERS_WITHOUT_BODY
            if self._status in _NO_BODY_STATUSES
            else _DROPPED_HEADERS,
        )
        self._headers.append((caller_requests.REQUEST_ID_HEADER, request_id))
        return None

    async def _send_answer_start(self) -> None:
        context = self._context
        if self._answer_complete:
            self._add_content_length(len(self._unsent))
        headers = self._headers + context.extra_headers
        if not context.body.complete:
            headers.append((b"connection", b"close"))
        context.answer_started = True
        await context.send(
            {
                "type": "http.response.start",
                "status": self._status,
                "headers": headers,
            }
        )

    def _add_content_length(self, length: int) -> None:
        """Adds Content-Length to a complete answer that has none."""
        if self._status in _NO_BODY_STATUSES:
            return
        if self._context.request.method == "HEAD":
            return
        for name, _ in self._headers:
            if name == b"content-length":
                return
        self._headers.append((b"content-length", b"%d" % length))

    async def _send_answer_body(self) -> errors.Failure | None:
        while True:
            data = self._unsent
            self._unsent = b""
            self._keep_for_resends(data)
            done = self._answer_complete
            if data or done:
                await self._context.send(
                    {
                        "type": "http.response.body",
                        "body": data,
                        "more_body": not done,
                    }
                )
            if done:
                return None
            failure = self._handle_event(await self._connection.receive())
            if failure is None:
                failure = self._handle_buffered_events()
            if failure is not None:
                return failure

    def _keep_for_resends(self, data: bytes) -> None:
        if self._kept is None:
            return
        if len(self._kept) + len(data) > self._keep_bytes:
            self._kept = None
        else:
            self._kept += data
