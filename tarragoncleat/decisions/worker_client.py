"""HTTP calls to the workers (the worker interface of docs/design.md).

Every call is safe to repeat. An unreachable worker or a response that violates
the interface results in a `Failure`; a rejection (HTTP 409, for example of an
old fence) results in a `Failure` of kind CONFLICT.
"""

import collections
from collections.abc import AsyncIterator
import contextlib
import json
from typing import Any, NoReturn, Protocol
import urllib.parse

import anyio
import httpcore
import pydantic

from tarragoncleat.decisions import worker_messages
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import settings
from tarragoncleat.state import jobs
from tarragoncleat.state import profiles

__all__ = ["WorkerCalls", "WorkerClient"]

_MAX_RESPONSE_BYTES = 4 * 1024 * 1024
_IDLE_TIMEOUT_S = 10.0
_DEFAULT_MAX_IDLE_CONNECTIONS = 2_048
_OK = 200
_CONFLICT = 409
_REPORT = pydantic.TypeAdapter(worker_messages.Report)
_REBOOT = pydantic.TypeAdapter(worker_messages.RebootStatus)


class WorkerCalls(Protocol):
    """The calls of the worker interface, each safe to repeat."""

    async def close(self) -> None:
        """Releases the connections."""

    async def read_report(
        self, address: str
    ) -> worker_messages.Report | errors.Failure:
        """Reads the report of a worker."""

    async def renew_lease(
        self, address: str, fence: int, lease_until_ms: int
    ) -> errors.Failure | None:
        """Acquires or renews the lease; the end is in the worker's clock."""

    async def start_task(
        self,
        address: str,
        task_id: str,
        fence: int,
        demand: jobs.Demand,
        command: str,
    ) -> errors.Failure | None:
        """Starts a task; starting a known task again has no effect."""

    async def interrupt_task(
        self,
        address: str,
        task_id: str,
        action: profiles.Interruption,
        action_id: str,
    ) -> errors.Failure | None:
        """Checkpoints, throttles or stops a task."""

    async def set_draining(
        self, address: str, action_id: str, draining: bool
    ) -> errors.Failure | None:
        """Starts or ends the drain of a worker."""

    async def reboot(
        self, address: str, action_id: str
    ) -> worker_messages.RebootStatus | errors.Failure:
        """Reboots a worker once for each action id."""


class WorkerClient:
    """Calls workers with a timeout and keeps one idle connection to each.

    httpcore's connection pool scans all its connections for every call, which
    limits it to some hundreds of calls per second.
    """

    def __init__(
        self, timeout_s: float, max_idle: int = _DEFAULT_MAX_IDLE_CONNECTIONS
    ) -> None:
        """Creates a client; connections are opened by the first calls.

        Args:
            timeout_s: Limit for a whole call.
            max_idle: Limit of the idle connections to all workers; above it
                the connection that was idle for the longest time is closed.
        """
        self._timeout_s = timeout_s
        self._max_idle = max_idle
        self._idle_connections: collections.OrderedDict[
            str, httpcore.AsyncHTTPConnection
        ] = collections.OrderedDict()

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle_connections:
            _, connection = self._idle_connections.popitem()
            await connection.aclose()

    async def read_report(
        self, address: str
    ) -> worker_messages.Report | errors.Failure:
        """Reads the report of a worker."""
        body = await self._call("GET", address, "report", None)
        return _parse(_REPORT, body)

    async def renew_lease(
        self, address: str, fence: int, lease_until_ms: int
    ) -> errors.Failure | None:
        """Acquires or renews the lease; the end is in the worker's clock."""
        content = {"fence": fence, "lease_until_ms": lease_until_ms}
        return _failure_of(await self._call("PUT", address, "lease", content))

    async def start_task(
        self,
        address: str,
        task_id: str,
        fence: int,
        demand: jobs.Demand,
        command: str,
    ) -> errors.Failure | None:
        """Starts a task; starting a known task again has no effect."""
        content = {
            "fence": fence,
            "cores": demand.cores,
            "memory_mb": demand.memory_mb,
            "accelerators": demand.accelerators,
            "command": command,
        }
        path = f"tasks/{_quote(task_id)}"
        return _failure_of(await self._call("PUT", address, path, content))

    async def interrupt_task(
        self,
        address: str,
        task_id: str,
        action: profiles.Interruption,
        action_id: str,
    ) -> errors.Failure | None:
        """Checkpoints, throttles or stops a task."""
        path = f"tasks/{_quote(task_id)}/{action.value}"
        content = {"action_id": action_id}
        return _failure_of(await self._call("PUT", address, path, content))

    async def set_draining(
        self, address: str, action_id: str, draining: bool
    ) -> errors.Failure | None:
        """Starts or ends the drain of a worker."""
        content = {"action_id": action_id, "draining": draining}
        return _failure_of(await self._call("PUT", address, "drain", content))

    async def reboot(
        self, address: str, action_id: str
    ) -> worker_messages.RebootStatus | errors.Failure:
        """Reboots a worker once for each action id.

        The response to a repeated call states whether that reboot is done.
        """
        content = {"action_id": action_id}
        body = await self._call("PUT", address, "reboot", content)
        return _parse(_REBOOT, body)

    async def _call(
        self, method: str, address: str, path: str, content: dict | None
    ) -> bytes | errors.Failure:
        url = f"http://{address}/platform/v1/{path}"
        data = None if content is None else json.dumps(content).encode()
        headers = [("content-type", "application/json")] if data else []
        try:
            with anyio.fail_after(self._timeout_s):
                async with (
                    self._connection(address) as connection,
                    connection.stream(
                        method, url, headers=headers, content=data
                    ) as response,
                ):
                    body = await _read_body(response)
        except _CALL_ERRORS as error:
            detail = str(error) or type(error).__name__
            return _unreachable(f"{method} {url}: {detail}")
        if response.status == _OK:
            return body
        text = body[:200].decode(errors="replace")
        reason = f"{method} {url}: status {response.status}: {text}"
        if response.status == _CONFLICT:
            return errors.Failure(errors.ErrorKind.CONFLICT, reason)
        return _unreachable(reason)

    @contextlib.asynccontextmanager
    async def _connection(
        self, address: str
    ) -> AsyncIterator[httpcore.AsyncHTTPConnection]:
        """Provides the idle connection to a worker, or a new one."""
        connection = self._idle_connections.pop(address, None)
        if connection is not None and connection.has_expired():
            await connection.aclose()
            connection = None
        if connection is None:
            host, port = settings.host_and_port(address)
            origin = httpcore.Origin(b"http", host.encode(), port)
            connection = httpcore.AsyncHTTPConnection(
                origin, keepalive_expiry=_IDLE_TIMEOUT_S
            )
        try:
            yield connection
        except BaseException:
            # The state of the exchange is unknown, also after cancellation.
            with anyio.CancelScope(shield=True):
                await connection.aclose()
            raise
        await self._store_idle(address, connection)

    async def _store_idle(
        self, address: str, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        if address in self._idle_connections or not connection.is_idle():
            await connection.aclose()
            return
        self._idle_connections[address] = connection
        if len(self._idle_connections) > self._max_idle:
            _, oldest = self._idle_connections.popitem(last=False)
            await oldest.aclose()


class _ResponseTooLargeError(Exception):
    """A response exceeded the size limit."""


_CALL_ERRORS = (
    TimeoutError,
    httpcore.ConnectionNotAvailable,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    _ResponseTooLargeError,
)


def _quote(task_id: str) -> str:
    return urllib.parse.quote(task_id, safe="")


async def _read_body(response: httpcore.Response) -> bytes:
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > _MAX_RESPONSE_BYTES:
            _raise_too_large()
    return bytes(body)


def _raise_too_large() -> NoReturn:
    raise _ResponseTooLargeError(f"response over {_MAX_RESPONSE_BYTES} bytes")


def _parse(adapter: pydantic.TypeAdapter, body: bytes | errors.Failure) -> Any:
    if isinstance(body, errors.Failure):
        return body
    try:
        return adapter.validate_json(body)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        return errors.Failure(
            errors.ErrorKind.DECODE,
            f"invalid worker response: {key}: {first['msg']}",
        )


def _failure_of(body: bytes | errors.Failure) -> errors.Failure | None:
    return body if isinstance(body, errors.Failure) else None


def _unreachable(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.UPSTREAM_FAILED, reason)
