"""A stand-in upstream: announces itself, answers, and fails on request.

Request headers choose what happens to one request:

- `X-Standin-Delay-Ms`: time before the answer;
- `X-Standin-Hold`: path of a file; the answer waits until it exists;
- `X-Standin-Answer-Bytes`: size of the answer's body, sent in pieces;
- `X-Standin-Status`: status code;
- `X-Standin-Chunked: 1`: the answer has no Content-Length;
- `X-Standin-Fault`: one of `FAULTS`; `X-Standin-Only: ID` limits it to one
  upstream.

The run log has one JSON line for each request, written before its answer.
"""

import dataclasses
import hashlib
import json
import os
import pathlib
import signal
import socket
import struct
import time
from typing import Any

import anyio
import anyio.abc
import defopt
import h11
import httpcore

__all__ = ["FAULTS", "Options", "main", "serve"]

FAULTS = (
    "reset-before-answer",
    "reset-midway",
    "close-midway",
    "close-after",
    "extra-answer",
    "early-answer",
    "crash",
    "refuse",
    "slow-read",
)
_CHUNK_BYTES = 65_536
_READ_BYTES = 65_536
_SLOW_READ_S = 2.0
_HOLD_POLL_S = 0.01
_RENEWALS_PER_LEASE = 3
_LINGER_ZERO = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of the program."""

    upstream_id: str
    service: str
    address: str
    log_file: pathlib.Path | None = None
    entries: tuple[str, ...] = ()
    availability_zone: str = "fukuoka-a"
    slots: int = 8
    connections: int = 64
    lease_ms: int = 2_000
    token: str = ""
    delay_ms: float = 0.0
    fault: str = ""
    refuse_over_slots: bool = False
    announce_once: bool = False


class _Upstream:
    def __init__(self, options: Options) -> None:
        self.options = options
        self.running = 0
        log_file = options.log_file
        self._log = None if log_file is None else log_file.open("a")

    def record(self, **fields: Any) -> None:
        if self._log is not None:
            self._log.write(json.dumps(fields) + "\n")
            self._log.flush()

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            try:
                await _ServerConnection(self, stream).run()
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                h11.ProtocolError,
            ) as error:
                self.record(event="broken", reason=str(error))

    async def announce(self) -> None:
        options = self.options
        body = json.dumps(
            {
                "service": options.service,
                "address": options.address,
                "availability_zone": options.availability_zone,
                "rack": "rack-1",
                "slots": options.slots,
                "connections": options.connections,
                "lease_ms": options.lease_ms,
            }
        ).encode()
        while True:
            await self._call_entries("PUT", body)
            if options.announce_once:
                return
            await anyio.sleep(options.lease_ms / 1000 / _RENEWALS_PER_LEASE)

    async def leave(self) -> None:
        await self._call_entries("DELETE", b"")

    async def _call_entries(self, method: str, body: bytes) -> None:
        for entry in self.options.entries:
            status = await self._call(method, entry, body)
            if status == 200:
                return
            self.record(event="entry", entry=entry, status=status)

    async def _call(self, method: str, entry: str, body: bytes) -> int | str:
        url = f"http://{entry}/upstreams/{self.options.upstream_id}"
        headers = {"content-type": "application/json"}
        if self.options.token:
            headers["authorization"] = f"Bearer {self.options.token}"
        timeouts = {"connect": 1.0, "read": 2.0, "write": 1.0, "pool": 1.0}
        try:
            async with httpcore.AsyncConnectionPool() as client:
                answer = await client.request(
                    method,
                    url,
                    headers=headers,
                    content=body,
                    extensions={"timeout": timeouts},
                )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            return type(error).__name__
        return answer.status


class _ServerConnection:
    def __init__(
        self, upstream: _Upstream, stream: anyio.abc.SocketStream
    ) -> None:
        self._upstream = upstream
        self._stream = stream
        self._codec = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        while True:
            request = await self._next()
            if not isinstance(request, h11.Request):
                return
            self._upstream.running += 1
            try:
                keep_alive = await self._answer(request)
            finally:
                self._upstream.running -= 1
            if not keep_alive or self._codec.our_state is not h11.DONE:
                return
            self._codec.start_next_cycle()

    async def _next(self) -> Any:
        while True:
            event = self._codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive(_READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            self._codec.receive_data(data)

    async def _read_body(self) -> tuple[int, str]:
        length = 0
        digest = hashlib.sha256()
        while isinstance(event := await self._next(), h11.Data):
            digest.update(event.data)
            length += len(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise anyio.BrokenResourceError
        return length, digest.hexdigest()

    async def _answer(self, request: h11.Request) -> bool:
        headers = {k.decode(): v.decode() for k, v in request.headers}
        options = self._upstream.options
        fault = options.fault or headers.get("x-standin-fault", "")
        only = headers.get("x-standin-only", options.upstream_id)
        if only != options.upstream_id:
            fault = options.fault
        if fault == "slow-read":
            # Blocks the whole process, since the stream of an accepted
            # connection reads ahead without limit while the event loop runs.
            time.sleep(_SLOW_READ_S)
        early = fault == "early-answer"
        length, digest = (0, "") if early else await self._read_body()
        fields = {
            "upstream": options.upstream_id,
            "request_id": headers.get("tarragoncleat-request-id"),
            "key": headers.get("idempotency-key"),
            "method": request.method.decode(),
            "target": request.target.decode(),
            "body_bytes": length,
            "body_sha256": digest,
        }
        over = self._upstream.running > options.slots
        if fault == "refuse" or (options.refuse_over_slots and over):
            self._upstream.record(event="refused", **fields)
            await self._send_refusal()
            return True
        self._upstream.record(event="run", **fields)
        delay_ms = float(headers.get("x-standin-delay-ms", options.delay_ms))
        if delay_ms:
            await anyio.sleep(delay_ms / 1000)
        if "x-standin-hold" in headers:
            hold_file = pathlib.Path(headers["x-standin-hold"])
            while not hold_file.exists():
                await anyio.sleep(_HOLD_POLL_S)
        return await self._send_answer(request, headers, fields, fault)

    async def _send_refusal(self) -> None:
        head = [("Tarragoncleat-Outcome", "not-run"), ("Content-Length", "0")]
        await self._send(
            h11.Response(status_code=503, headers=head), h11.EndOfMessage()
        )

    async def _send_answer(
        self, request: h11.Request, headers: dict, fields: dict, fault: str
    ) -> bool:
        if fault == "crash":
            os._exit(1)
        if fault == "reset-before-answer":
            self._reset()
            return False
        body = json.dumps(fields).encode()
        if "x-standin-answer-bytes" in headers:
            size = int(headers["x-standin-answer-bytes"])
            unit = fields["request_id"].encode()
            body = (unit * (size // len(unit) + 1))[:size]
        status = int(headers.get("x-standin-status", 200))
        head: list[tuple[str, str]] = [
            ("X-Standin-Id", fields["upstream"]),
            ("Tarragoncleat-Request-Id", fields["request_id"]),
        ]
        if "x-standin-chunked" not in headers and status not in (204,):
            head.append(("Content-Length", str(len(body))))
        if request.method == b"HEAD" or status in (204, 304):
            body = b""
        await self._send(h11.Response(status_code=status, headers=head))
        if fault in ("reset-midway", "close-midway"):
            await self._send(h11.Data(data=body[: len(body) // 2]))
            if fault == "reset-midway":
                self._reset()
            return False
        for start in range(0, len(body), _CHUNK_BYTES):
            await self._send(h11.Data(data=body[start : start + _CHUNK_BYTES]))
        await self._send(h11.EndOfMessage())
        self._upstream.record(event="answered", answer_bytes=len(body))
        if fault == "extra-answer":
            extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
            extra += f"Tarragoncleat-Request-Id: {fields['request_id']}\r\n"
            await self._stream.send(f"{extra}\r\nWRONG".encode())
        return fault not in ("close-after", "early-answer")

    async def _send(self, *events: Any) -> None:
        data = b"".join(self._codec.send(event) or b"" for event in events)
        if data:
            await self._stream.send(data)

    def _reset(self) -> None:
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


async def serve(options: Options) -> None:
    """Serves until SIGTERM; then leaves and lets running requests finish."""
    upstream = _Upstream(options)
    host, _, port = options.address.rpartition(":")
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port), backlog=1_024
    )
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            group.start_soon(listener.serve, upstream.handle)
            if options.entries:
                group.start_soon(upstream.announce)
            print("ready", flush=True)
            async for _ in signals:
                break
        await upstream.leave()
        while upstream.running:
            await anyio.sleep(0.01)
        group.cancel_scope.cancel()


def main(
    *,
    upstream_id: str,
    service: str,
    address: str,
    log_file: pathlib.Path | None = None,
    entry: list[str] | None = None,
    availability_zone: str = "fukuoka-a",
    slots: int = 8,
    connections: int = 64,
    lease_ms: int = 2_000,
    token: str = "",
    delay_ms: float = 0.0,
    fault: str = "",
    refuse_over_slots: bool = False,
    announce_once: bool = False,
) -> None:
    """Runs a stand-in upstream.

    Args:
        upstream_id: Id to announce.
        service: Service that it serves.
        address: IP:PORT to listen on and to announce.
        log_file: Run log; one JSON line for each request.
        entry: IP:PORT of entries to announce to; the first that accepts wins.
        availability_zone: Availability zone to announce.
        slots: Slots to announce.
        connections: Connections to announce.
        lease_ms: Lease to ask for.
        token: Bearer token for the announcement.
        delay_ms: Time that each request takes.
        fault: Fault of every request.
        refuse_over_slots: Whether to refuse requests beyond the slots.
        announce_once: Whether its lease is never renewed.
    """
    options = Options(
        upstream_id=upstream_id,
        service=service,
        address=address,
        log_file=log_file,
        entries=tuple(entry or ()),
        availability_zone=availability_zone,
        slots=slots,
        connections=connections,
        lease_ms=lease_ms,
        token=token,
        delay_ms=delay_ms,
        fault=fault,
        refuse_over_slots=refuse_over_slots,
        announce_once=announce_once,
    )
    anyio.run(serve, options)


if __name__ == "__main__":
    defopt.run(main)
