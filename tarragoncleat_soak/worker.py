"""Stand-in worker: speaks the platform's worker protocol, and runs timers.

It records each start and end of a run, as a JSON line, before it answers. A
run's specification is JSON: `runs_s` has the lengths by step, and the first
`fails` runs of a task fail. The clock of leases runs at `clock_rate` of the
machine's.
"""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import sys
import time
from typing import Any
import uuid

import anyio
import anyio.to_thread
import defopt
import uvicorn

__all__ = ["Options", "Worker", "main"]

_MS_PER_S = 1000
_TICK_S = 0.01
_HEARTBEAT_S = 0.4
_HEARTBEAT_TIMEOUT_S = 1.0
_DRAIN_S = 1.0
_MAX_LEASE_MS = 6_000
_CAPACITY = {"cpu": 4_000, "mem-mb": 8_192, "gpu": 0}
_CONFLICT = 409
_OTHER_INCARNATION = 421
_UNHEALTHY = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What `main` describes."""

    name: str
    address: str
    advertised: str
    control: list[str]
    zone: str
    service: str
    events: pathlib.Path
    clock_rate: float


@dataclasses.dataclass(slots=True)
class _Running:
    number: int
    cpu: int
    start_s: float
    end_s: float
    ending: str

    def progress_percent(self, now_s: float) -> int:
        """Returns the share of the work that is done."""
        length_s = max(self.end_s - self.start_s, _TICK_S)
        return int(100 * min(1.0, (now_s - self.start_s) / length_s))


def _step_of(task: str) -> int:
    """Returns the step's number in JOB.OCCURRENCE.STEP.INDEX."""
    return int(task.split(".")[2])


class Worker:
    """The runs of one incarnation."""

    def __init__(self, options: Options) -> None:
        """Creates an incarnation, and records its start."""
        self.instance_id = f"{options.name}-{uuid.uuid4().hex[:8]}"
        self._rate = options.clock_rate
        self._lease_until_ms = 0.0
        self._fence = 0
        self._has_left = False
        self._running: dict[str, _Running] = {}
        self._highest_ended: dict[str, int] = {}
        self._ended: collections.deque[list] = collections.deque()
        self._sequence = 0
        self._changed = anyio.Event()
        self._events = options.events.open("a", encoding="utf-8", buffering=1)
        self._record("boot", pid=os.getpid())

    def clock_ms(self) -> float:
        """The worker's clock, which is slower than the machine's."""
        return time.monotonic() * self._rate * _MS_PER_S

    def advance(self) -> None:
        """Ends the runs whose time or lease is over."""
        now_s = time.monotonic()
        lease_end_s = self._lease_until_ms / _MS_PER_S / self._rate
        for task, run in list(self._running.items()):
            if run.end_s <= min(now_s, lease_end_s):
                self._end(task, run.ending, run.end_s)
            elif lease_end_s <= now_s:
                self._end(task, "lapsed", lease_end_s)

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Starts a run; one that has left refuses it as an unhealthy one."""
        if self._has_left:
            return self._answer(_UNHEALTHY)
        refusal = self._refuse_fence(body)
        if refusal:
            return refusal
        task, number = body["task"], body["run-id"]
        known = self._running.get(task)
        if known is not None and known.number == number:
            return self._answer(200)
        is_old = number <= self._highest_ended.get(task, 0)
        if body["deadline-ms"] <= self.clock_ms():
            return self._answer(_CONFLICT, reason="late")
        self._extend(body["deadline-ms"])
        if is_old or (known is not None and known.number > number):
            return self._answer(_CONFLICT, reason="old")
        cpu = self._spec(body).get("cpu", 0)
        in_use = sum(run.cpu for run in self._running.values())
        if in_use + cpu > _CAPACITY["cpu"]:
            return self._answer(_CONFLICT, reason="room")
        self._begin(task, number, cpu, self._spec(body))
        return self._answer(200)

    def stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stops a run, also one that hasn't arrived yet."""
        refusal = self._refuse_fence(body)
        if refusal:
            return refusal
        task, number = body["task"], body["run-id"]
        run = self._running.get(task)
        if run is not None and run.number <= number:
            self._end(task, "stopped", time.monotonic())
        previous = self._highest_ended.get(task, 0)
        self._highest_ended[task] = max(previous, number)
        return self._answer(200)

    async def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Extends the lease, and waits for an end."""
        refusal = self._refuse_fence(body)
        if refusal:
            return refusal
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        while self._ended and self._ended[0][0] <= body.get("ack-cursor", 0):
            self._ended.popleft()
        if not self._ended:
            self._changed = anyio.Event()
            with anyio.move_on_after(body.get("wait-ms", 0) / _MS_PER_S):
                await self._changed.wait()
        now_s = time.monotonic()
        rows = [
            [task, run.number, "", run.progress_percent(now_s)]
            for task, run in self._running.items()
        ]
        return self._answer(
            200, **{"running-tasks": rows, "ended": list(self._ended)[:500]}
        )

    def end_all(self) -> None:
        """Ends all runs, and accepts no more, since the worker leaves."""
        self._has_left = True
        for task in list(self._running):
            self._end(task, "left", time.monotonic())

    def _begin(self, task: str, number: int, cpu: int, spec: dict) -> None:
        if task in self._running:
            self._end(task, "replaced", time.monotonic())
        fails = number <= spec.get("fails", 0)
        self._record("start", task=task, run=number)
        now_s = time.monotonic()
        self._running[task] = _Running(
            number,
            cpu,
            now_s,
            now_s + spec["runs_s"][_step_of(task)],
            "failed" if fails else "done",
        )

    def _end(self, task: str, ending: str, at_s: float) -> None:
        run = self._running.pop(task)
        self._highest_ended[task] = run.number
        self._sequence += 1
        self._ended.append([self._sequence, task, run.number, ending, ""])
        self._record("end", at_s, task=task, run=run.number, ending=ending)
        self._changed.set()

    def _refuse_fence(
        self, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]] | None:
        self.advance()
        fence = body.get("fencing-token", 0)
        if fence < self._fence:
            return self._answer(_CONFLICT, reason="fence")
        self._fence = fence
        return None

    def _extend(self, deadline_ms: float) -> None:
        longest_ms = self.clock_ms() + _MAX_LEASE_MS
        self._lease_until_ms = max(
            self._lease_until_ms, min(deadline_ms, longest_ms)
        )

    def _answer(self, status: int, **fields: Any) -> tuple[int, dict[str, Any]]:
        return status, {"clock-ms": int(self.clock_ms()), **fields}

    @staticmethod
    def _spec(body: dict[str, Any]) -> dict[str, Any]:
        return json.loads(body["spec"])

    def _record(
        self, event: str, at_s: float | None = None, **fields: Any
    ) -> None:
        row = {
            "event": event,
            "at_s": time.monotonic() if at_s is None else at_s,
            "worker": self.instance_id,
            **fields,
        }
        self._events.write(json.dumps(row) + "\n")


class _App:
    """Serves the orders of leaders."""

    def __init__(self, worker: Worker) -> None:
        self._worker = worker

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        content = b""
        while True:
            message = await receive()
            content += message.get("body", b"")
            if not message.get("more_body"):
                break
        headers = dict(scope["headers"])
        status, fields = await self._handle(scope["path"], headers, content)
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-type", b"application/json")],
            }
        )
        body = json.dumps(fields).encode()
        await send({"type": "http.response.body", "body": body})

    async def _handle(
        self, path: str, headers: dict[bytes, bytes], content: bytes
    ) -> tuple[int, dict[str, Any]]:
        expected = headers.get(b"expected-instance", b"").decode()
        if expected and expected != self._worker.instance_id:
            return _OTHER_INCARNATION, {}
        body = json.loads(content)
        if path == "/hold":
            return await self._worker.hold(body)
        if path == "/run-start":
            return self._worker.start(body)
        if path == "/run-stop":
            return self._worker.stop(body)
        return 404, {}


class _Server(uvicorn.Server):
    """A server that leaves signals to the worker."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class _Heartbeats:
    """Registers the worker at control nodes."""

    def __init__(self, options: Options, worker: Worker) -> None:
        self._options = options
        self._worker = worker
        self._next_node = 0
        self._sequence = 0
        self.is_draining = False

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            await self.send("PUT")
            await anyio.sleep(_HEARTBEAT_S)

    async def send(self, method: str) -> None:
        """Sends one message, to the next node after one without an answer."""
        self._sequence += 1
        nodes = self._options.control
        node = nodes[self._next_node % len(nodes)]
        body = json.dumps(self._body()).encode()
        status = await anyio.to_thread.run_sync(
            _send, node, method, f"/instances/{self._worker.instance_id}", body
        )
        if status != 200:
            self._next_node += 1

    def _body(self) -> dict[str, Any]:
        body = {
            "service": self._options.service,
            "address": self._options.advertised,
            "zone": self._options.zone,
            "machine": f"machine-of-{self._options.name}",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "capacity": _CAPACITY,
            "labels": ["a", "rack-1"],
            "clock-ms": int(self._worker.clock_ms()),
            "sequence": self._sequence,
        }
        if self.is_draining:
            body["remaining-ms"] = int(_DRAIN_S * _MS_PER_S)
        return body


def _send(address: str, method: str, path: str, body: bytes) -> int | None:
    """Sends a request; returns the status, or None without an answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=_HEARTBEAT_TIMEOUT_S
    )
    headers = {"Content-Type": "application/json"}
    try:
        connection.request(method, path, body, headers)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


async def _advance(worker: Worker) -> None:
    while True:
        worker.advance()
        await anyio.sleep(_TICK_S)


async def _leave_on_signal(
    worker: Worker, heartbeats: _Heartbeats, scope: anyio.CancelScope
) -> None:
    """Reports the end as planned, works for a while, and leaves."""
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            break
    heartbeats.is_draining = True
    await heartbeats.send("PUT")
    await anyio.sleep(_DRAIN_S)
    worker.end_all()
    await heartbeats.send("DELETE")
    scope.cancel()


async def _run(options: Options) -> None:
    worker = Worker(options)
    host, _, port = options.address.rpartition(":")
    server = _Server(
        uvicorn.Config(
            _App(worker), host=host, port=int(port), log_level="warning"
        )
    )
    heartbeats = _Heartbeats(options, worker)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        tasks.start_soon(_advance, worker)
        tasks.start_soon(heartbeats.run)
        tasks.start_soon(
            _leave_on_signal, worker, heartbeats, tasks.cancel_scope
        )


def main(
    *,
    name: str,
    address: str,
    advertised: str,
    control: list[str],
    zone: str,
    service: str,
    events: pathlib.Path,
    clock_rate: float = 1.0,
) -> None:
    """Runs a worker until SIGTERM.

    Args:
        name: Name of its instance.
        address: Listener for orders, "HOST:PORT".
        advertised: Address that heartbeats tell.
        control: Addresses of the control nodes.
        zone: Availability zone.
        service: Pool of the instance.
        events: File of the recorded starts and ends.
        clock_rate: Speed of the worker's clock.
    """
    anyio.run(
        _run,
        Options(
            name,
            address,
            advertised,
            control,
            zone,
            service,
            events,
            clock_rate,
        ),
    )


if __name__ == "__main__":
    sys.exit(defopt.run(main))
