"""The HTTP listener: uvicorn with limits on headers and connections."""

from collections.abc import Callable, Iterator, Mapping
import contextlib
import dataclasses
import gc
import pathlib
import socket
import sys

import loguru
import uvicorn

from tarragoncleat.kernel import refusals
from tarragoncleat.kernel import settings
from tarragoncleat.kernel import timer
from tarragoncleat.process import connection_budget
from tarragoncleat.process import limited_protocol

__all__ = [
    "HttpServer",
    "ListenerCounts",
    "ProcessLimits",
    "build_process_limits",
]

_KEEP_ALIVE_S = 15
_BACKLOG = 2_048
# Accepted connections have descriptors before they can be refused.
_ACCEPTED_AT_ONCE = 64
_CALLER_PREFIX = b"/services/"
# uvicorn's buffer and a part of a body that is on its way.
_STREAM_BUFFER_BYTES = 131_072
# Memory of a body as it is received and decoded, by its size.
_DECODED_FACTOR = 4.0
# Allocations before a collection, and collections of each generation before one
# of the next.
_GC_THRESHOLDS = (50_000, 50, 1_000)


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerCounts:
    """Counts of a process, for the state dump.

    Attributes:
        connections: Open connections of the listener.
        held_bytes: What the connections of all listeners hold.
        refusals: Refusals by all listeners since the start.
    """

    connections: int
    held_bytes: int
    refusals: Mapping[refusals.Refusal, int]

    def to_plain(self) -> dict[str, int]:
        """Returns the counts by name."""
        counts = {kind.value: self.refusals[kind] for kind in refusals.Refusal}
        return {
            "connections": self.connections,
            "held_bytes": self.held_bytes,
            **counts,
        }


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What all listeners of a process share."""

    budget: connection_budget.ConnectionBudget
    refusals: refusals.RefusalLog


def build_process_limits(
    limits: settings.CallerLimits, timer_service: timer.TimerService
) -> ProcessLimits:
    """Builds the limits of a process, without connections."""
    return ProcessLimits(
        connection_budget.ConnectionBudget(
            limits.max_connections, limits.max_held_bytes
        ),
        refusals.RefusalLog(timer_service),
    )


class _Server(uvicorn.Server):
    """A server that leaves signal handling to the process."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Opens the listener, with a queue for more than it accepts at once."""
        await super().startup(sockets)
        for listening_socket in sockets or ():
            listening_socket.listen(_BACKLOG)

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
        process_limits: ProcessLimits | None = None,
        body_cost: limited_protocol.BodyCost | None = None,
    ) -> None:
        """Creates the listener; `serve` opens it.

        Args:
            entry_settings: Address and limits.
            app: ASGI application.
            timer_service: Clock.
            process_limits: What the listeners of the process share; None for
                the only one.
            body_cost: Memory of a request's body; None for the product's own
                requests.
        """
        self._settings = entry_settings
        self._timer = timer_service
        callers = entry_settings.callers
        if process_limits is None:
            process_limits = build_process_limits(callers, timer_service)
        self._listener = limited_protocol.Listener(
            callers,
            callers.max_connections,
            self._own_body_cost if body_cost is None else lambda _: body_cost,
            process_limits.budget,
            process_limits.refusals,
        )
        self._server = _Server(self._build_config(app))

    @property
    def counts(self) -> ListenerCounts:
        """Connections, and refusals so far."""
        listener = self._listener
        return ListenerCounts(
            listener.connections,
            listener.budget.held_bytes,
            listener.refusals.counts,
        )

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
        await self._server.serve([self._open_socket()])

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

    def _open_socket(self) -> socket.socket:
        host, port = settings.host_and_port(self._settings.entry.http_address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            return socket.create_server(
                (host, port), family=family, backlog=_BACKLOG
            )
        except OSError as error:
            loguru.logger.error("can't listen on {}:{}: {}", host, port, error)
            sys.exit(1)

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
            backlog=_ACCEPTED_AT_ONCE,
            timeout_keep_alive=_KEEP_ALIVE_S,
            timeout_graceful_shutdown=max(1, stop_limit_ms // 1000),
            ssl_certfile=None if tls is None else str(tls.certificate_file),
            ssl_keyfile=None if tls is None else str(tls.key_file),
        )

    def _protocol_class(self) -> type[limited_protocol.LimitedProtocol]:
        values = {"listener": self._listener}
        base = limited_protocol.LimitedProtocol
        return type("ListenerProtocol", (base,), values)

    def _own_body_cost(self, path: bytes) -> limited_protocol.BodyCost:
        """Returns the memory of a body; those of callers are streamed."""
        if path.startswith(_CALLER_PREFIX):
            replayed_bytes = self._settings.routing.replay_body_bytes
            return limited_protocol.BodyCost(
                replayed_bytes + _STREAM_BUFFER_BYTES
            )
        return limited_protocol.BodyCost(
            self._settings.callers.max_body_bytes, _DECODED_FACTOR
        )


def _modification_times(tls: settings.TlsSettings) -> tuple[int, ...]:
    return tuple(
        _modified_ns(path) for path in (tls.certificate_file, tls.key_file)
    )


def _modified_ns(path: pathlib.Path) -> int:
    return path.stat().st_mtime_ns if path.exists() else 0
