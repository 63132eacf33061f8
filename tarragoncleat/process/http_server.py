"""The HTTP listener: uvicorn with limits on headers and connections."""

import asyncio
from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import gc
import json
import pathlib
from typing import Any, cast

import loguru
import uvicorn
from uvicorn.protocols.http import httptools_impl

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import settings
from tarragoncleat.kernel import timer

__all__ = ["HttpServer", "ListenerCounts"]

_KEEP_ALIVE_S = 15
_BACKLOG = 2_048


@dataclasses.dataclass(slots=True)
class ListenerCounts:
    """What the listener refused, for the state dump."""

    connections: int = 0
    refused_connections: int = 0
    oversized_headers: int = 0
    slow_headers: int = 0


class _JoiningTransport:
    """Writes the head of an answer together with its first part.

    uvicorn writes them separately, which costs a system call and a packet for
    each answer. A head without a prompt first part is written in the next
    turn of the event loop.
    """

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._transport = transport
        self._loop = loop
        self._head: bytes | None = b""
        self._flush_handle: asyncio.Handle | None = None

    def write(self, data: bytes) -> None:
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
            data = self._take_head() + data
        elif self._head is not None:
            self._head = data
            self._flush_handle = self._loop.call_soon(self._flush)
            return
        self._transport.write(data)

    def close(self) -> None:
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush()
        self._transport.close()

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def _flush(self) -> None:
        self._flush_handle = None
        self._transport.write(self._take_head())

    def _take_head(self) -> bytes:
        head, self._head = self._head, None
        return head or b""


class _LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """Bounds the size and the duration of a request's header section.

    The parser of uvicorn collects headers without a limit, so a caller could
    otherwise hold memory or a connection by sending headers for ever.
    """

    limits: settings.CallerLimits
    counts: ListenerCounts
    header_timer: asyncio.TimerHandle | None = None
    header_bytes: int = 0
    closing_after_request: bool = False
    headers_open: bool = False
    message_open: bool = False

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.counts.connections += 1
        if self.counts.connections > self.limits.max_connections:
            self.counts.refused_connections += 1
            self._refuse(
                errors.ErrorKind.TOO_MANY_CONNECTIONS,
                "the entry has reached its limit of connections",
            )
            return
        # The keep-alive timeout begins only after a first answer.
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self.counts.connections -= 1
        self._stop_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        body_open = self.message_open and not self.headers_open
        super().data_received(data)
        # Most requests arrive in one piece and need no timer.
        if self.headers_open and not self.transport.is_closing():
            self._check_headers(0 if body_open else len(data))

    def on_message_begin(self) -> None:
        self.message_open = True
        self.headers_open = True
        self.header_bytes = 0
        super().on_message_begin()

    def on_message_complete(self) -> None:
        self.message_open = False
        super().on_message_complete()

    def on_headers_complete(self) -> None:
        self.headers_open = False
        self._stop_header_timer()
        super().on_headers_complete()
        joining = _JoiningTransport(self.transport, self.loop)
        self.cycle.transport = cast(asyncio.Transport, joining)
        if self.closing_after_request:
            self.cycle.keep_alive = False

    def shutdown(self) -> None:
        # A request whose headers are still arriving is in flight: it gets its
        # answer before the connection closes.
        if self.headers_open:
            self.closing_after_request = True
            return
        super().shutdown()

    def _check_headers(self, received: int) -> None:
        self._start_header_timer()
        self.header_bytes += received
        if self.header_bytes <= self.limits.max_header_bytes:
            return
        self.counts.oversized_headers += 1
        self._refuse(
            errors.ErrorKind.HEADERS_TOO_LARGE,
            f"headers exceed {self.limits.max_header_bytes} bytes",
        )

    def _start_header_timer(self) -> None:
        if self.header_timer is None:
            self.header_timer = self.loop.call_later(
                self.limits.header_timeout_ms / 1000, self._on_header_timeout
            )

    def _stop_header_timer(self) -> None:
        if self.header_timer is not None:
            self.header_timer.cancel()
            self.header_timer = None

    def _on_header_timeout(self) -> None:
        self.header_timer = None
        self.counts.slow_headers += 1
        self._refuse(
            errors.ErrorKind.SLOW_REQUEST,
            f"headers took over {self.limits.header_timeout_ms} ms",
        )

    def send_400_response(self, msg: str) -> None:
        self._refuse(errors.ErrorKind.BAD_REQUEST, "the request is malformed")

    def _refuse(self, kind: errors.ErrorKind, reason: str) -> None:
        self._stop_header_timer()
        if self.cycle is not None and not self.cycle.response_complete:
            # The caller would take the refusal for the answer to the request
            # in flight, which may have run.
            self.transport.close()
            return
        answer = errors.HTTP_RESPONSES[kind]
        body = json.dumps(
            {"error": kind.value, "reason": reason, "request_id": None}
        ).encode()
        lines = [
            f"HTTP/1.1 {answer.status} Refused",
            "content-type: application/json",
            f"content-length: {len(body)}",
            f"tarragoncleat-outcome: {answer.outcome.value}",
            "connection: close",
        ]
        if answer.retry_after_s is not None:
            lines.append(f"retry-after: {answer.retry_after_s}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.transport.write(head + body)
        self.transport.close()


class _Server(uvicorn.Server):
    """A server whose process handles the signals itself."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Listens for callers, upstreams and operators."""

    def __init__(
        self,
        entry_settings: settings.Settings,
        app: Callable,
        timer_service: timer.TimerService,
    ) -> None:
        """Prepares the listener; `serve` opens it."""
        self._settings = entry_settings
        self._timer = timer_service
        self._counts = ListenerCounts()
        self._server = _Server(self._build_config(app))

    @property
    def counts(self) -> ListenerCounts:
        """Connections and refusals so far."""
        return self._counts

    @property
    def started(self) -> bool:
        """Whether the listener is open."""
        return self._server.started

    async def serve(self) -> None:
        """Serves until `stop` was called and all requests have finished."""
        # What exists at the start stays; leaving it out of each full garbage
        # collection shortens the pauses that requests see.
        gc.collect()
        gc.freeze()
        await self._server.serve()

    def stop(self) -> None:
        """Closes the listener; requests in flight finish."""
        self._server.should_exit = True

    async def reload_certificate(self) -> None:
        """Loads the TLS certificate again whenever its files change.

        Connections that are open keep the certificate they began with.
        """
        tls = self._settings.tls
        if tls is None:
            return
        loaded = _modification_times(tls)
        async for _ in self._timer.subscribe(tls.reload_interval_s):
            found = _modification_times(tls)
            if found != loaded and self._load_certificate(tls):
                loaded = found

    def _load_certificate(self, tls: settings.TlsSettings) -> bool:
        context = self._server.config.ssl
        if context is None:
            return False
        try:
            context.load_cert_chain(tls.certificate_file, tls.key_file)
        except OSError as error:
            loguru.logger.error("kept the old TLS certificate: {}", error)
            return False
        loguru.logger.info("loaded TLS certificate {}", tls.certificate_file)
        return True

    def _build_config(self, app: Callable) -> uvicorn.Config:
        host, port = settings.host_and_port(self._settings.entry.http_address)
        tls = self._settings.tls
        stop_limit_ms = self._settings.stop.in_flight_limit_ms
        return uvicorn.Config(
            app,
            host=host,
            port=port,
            http=self._protocol_class(),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=_BACKLOG,
            timeout_keep_alive=_KEEP_ALIVE_S,
            timeout_graceful_shutdown=max(1, stop_limit_ms // 1000),
            ssl_certfile=None if tls is None else str(tls.certificate_file),
            ssl_keyfile=None if tls is None else str(tls.key_file),
        )

    def _protocol_class(self) -> type[_LimitedProtocol]:
        values = {"limits": self._settings.callers, "counts": self._counts}
        return type("LimitedProtocol", (_LimitedProtocol,), values)


def _modification_times(tls: settings.TlsSettings) -> tuple[int, ...]:
    return tuple(
        _modified_ns(path) for path in (tls.certificate_file, tls.key_file)
    )


def _modified_ns(path: pathlib.Path) -> int:
    return path.stat().st_mtime_ns if path.exists() else 0
