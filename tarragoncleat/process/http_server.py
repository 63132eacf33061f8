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
# Allocations before a collection, and collections of each generation before one
# of the next.
_GC_THRESHOLDS = (50_000, 50, 1_000)


@dataclasses.dataclass(slots=True)
class ListenerCounts:
    """Counts of connections and refusals, for the state dump."""

    connections: int = 0
    refused_connections: int = 0
    oversized_headers: int = 0
    slow_headers: int = 0


class _CoalescingTransport:
    """Writes the head of a response together with the first part of its body.

    uvicorn writes them separately, which costs an extra system call and packet
    per response. If no body follows immediately, the head is written in the
    next iteration of the event loop.
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
            data = self._pop_head() + data
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
        self._transport.write(self._pop_head())

    def _pop_head(self) -> bytes:
        head, self._head = self._head, None
        return head or b""


class _LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """Limits the size and the duration of a request's header section.

    uvicorn's parser collects headers without a limit, so a caller that never
    stops sending headers could hold memory or a connection indefinitely.
    """

    limits: settings.CallerLimits
    counts: ListenerCounts
    header_timer: asyncio.TimerHandle | None = None
    header_bytes: int = 0
    close_after_request: bool = False
    receiving_headers: bool = False
    receiving_message: bool = False

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.counts.connections += 1
        if self.counts.connections > self.limits.max_connections:
            self.counts.refused_connections += 1
            self._reject(
                errors.ErrorKind.TOO_MANY_CONNECTIONS,
                "the entry has reached its connection limit",
            )
            return
        # The keep-alive timeout starts only after the first response.
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self.counts.connections -= 1
        self._stop_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        was_receiving_body = (
            self.receiving_message and not self.receiving_headers
        )
        super().data_received(data)
        # Most requests arrive in one piece and need no timer.
        if self.receiving_headers and not self.transport.is_closing():
            self._check_headers(0 if was_receiving_body else len(data))

    def on_message_begin(self) -> None:
        self.receiving_message = True
        self.receiving_headers = True
        self.header_bytes = 0
        super().on_message_begin()

    def on_message_complete(self) -> None:
        self.receiving_message = False
        super().on_message_complete()

    def on_headers_complete(self) -> None:
        self.receiving_headers = False
        self._stop_header_timer()
        super().on_headers_complete()
        transport = _CoalescingTransport(self.transport, self.loop)
        self.cycle.transport = cast(asyncio.Transport, transport)
        if self.close_after_request:
            self.cycle.keep_alive = False

    def shutdown(self) -> None:
        # A request whose headers are still arriving is in flight: it is
        # answered before the connection closes.
        if self.receiving_headers:
            self.close_after_request = True
            return
        super().shutdown()

    def _check_headers(self, received_bytes: int) -> None:
        self._start_header_timer()
        self.header_bytes += received_bytes
        if self.header_bytes <= self.limits.max_header_bytes:
            return
        self.counts.oversized_headers += 1
        self._reject(
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
        self._reject(
            errors.ErrorKind.SLOW_REQUEST,
            f"headers took over {self.limits.header_timeout_ms} ms",
        )

    def send_400_response(self, msg: str) -> None:
        self._reject(errors.ErrorKind.BAD_REQUEST, "the request is malformed")

    def _reject(self, kind: errors.ErrorKind, reason: str) -> None:
        self._stop_header_timer()
        if self.cycle is not None and not self.cycle.response_complete:
            # The caller would mistake the error for the response to the
            # request in flight, which may have run.
            self.transport.close()
            return
        response = errors.HTTP_RESPONSES[kind]
        body = json.dumps(
            {"error": kind.value, "reason": reason, "request_id": None}
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
        self.transport.write(head + body)
        self.transport.close()


class _Server(uvicorn.Server):
    """A server that leaves signal handling to the process."""

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
        """Creates the listener; `serve` opens it."""
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
        # Objects that exist at the start stay alive. Excluding them from full
        # garbage collections shortens the pauses of requests. Nearly all others
        # are freed by their reference counts, so looking for cycles after each
        # few hundred allocations takes processor time and finds little.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*_GC_THRESHOLDS)
        await self._server.serve()

    def stop(self) -> None:
        """Closes the listener; requests in flight run to completion."""
        self._server.should_exit = True

    async def reload_certificate(self) -> None:
        """Reloads the TLS certificate whenever its files change.

        Open connections keep the certificate that they started with.
        """
        tls = self._settings.tls
        if tls is None:
            return
        loaded_times = _modification_times(tls)
        async for _ in self._timer.subscribe(tls.reload_interval_s):
            current_times = _modification_times(tls)
            if current_times != loaded_times and self._load_certificate(tls):
                loaded_times = current_times

    def _load_certificate(self, tls: settings.TlsSettings) -> bool:
        context = self._server.config.ssl
        if context is None:
            return False
        try:
            context.load_cert_chain(tls.certificate_file, tls.key_file)
        except OSError as error:
            loguru.logger.error(
                "can't load the new TLS certificate; keeping the old one: {}",
                error,
            )
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
