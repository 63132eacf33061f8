"""Stand-in worker: serves the worker interface of docs/design.md.

    python -m tests.standin_worker --address 127.25.0.1:7000 --instance-id w1

It measures leases by its own clock, reports usage late, and runs tasks as
timers. A task's command is JSON: {"run_s", "cores", "memory_mb", "exit"}
override the declared values, so that sizes and run times can differ from them.
Faults are switched on by the command line or by PUT /standin/v1/faults
{"fail_tasks", "silent"}; GET /standin/v1/log returns all events in order.
"""

import argparse
from collections.abc import Sequence
import dataclasses
import json
import time
from typing import Any
import uuid

import anyio
import uvicorn

__all__ = ["Worker", "handle", "main", "parse_arguments"]

_MS_PER_S = 1000
_THROTTLED_SPEED = 0.5


@dataclasses.dataclass
class _Task:
    task_id: str
    cores: float
    memory_mb: float
    run_s: float
    exit_status: int
    started_s: float
    crashes: bool = False
    state: str = "running"
    exit: int | None = None
    ends_s: float = 0.0


class Worker:
    """The worker's state, with a method for each call of the interface.

    `clock` has the interface of module `time`.
    """

    def __init__(self, options: argparse.Namespace, clock: Any = time) -> None:
        self._options = options
        self._clock = clock
        self._clock_offset_ms = options.clock_offset_ms
        self._boot_id = uuid.uuid4().hex
        self._fence = 0
        self._lease_until_ms = 0
        self._draining = False
        self._down_until_s = 0.0
        self._tasks: dict[str, _Task] = {}
        self._ended_task_ids: set[str] = set()
        self._reboot_ends_s: dict[str, float] = {}
        self.fail_tasks = options.fail_tasks
        self.silent = False
        self.log: list[dict] = []

    def is_down(self) -> bool:
        return self.silent or self._clock.monotonic() < self._down_until_s

    def clock_ms(self) -> int:
        return int(self._clock.monotonic() * _MS_PER_S) + self._clock_offset_ms

    def advance(self) -> None:
        """Ends tasks whose run time is over, and all after lease expiry."""
        now_s = self._clock.monotonic()
        if any(
            task.crashes and now_s >= task.ends_s
            for task in self._tasks.values()
        ):
            self._log_event("crash")
            self._restart()
        for task in self._tasks.values():
            if task.state in ("running", "throttled") and now_s >= task.ends_s:
                task.state, task.exit = "exited", task.exit_status
                self._log_event("exit", task_id=task.task_id, status=task.exit)
        if self.clock_ms() >= self._lease_until_ms:
            for task_id in list(self._tasks):
                if self._tasks.pop(task_id).state in ("running", "throttled"):
                    self._ended_task_ids.add(task_id)
                    until_ms = self._clock.time() * _MS_PER_S - (
                        self.clock_ms() - self._lease_until_ms
                    )
                    self._log_event(
                        "lease_end", task_id=task_id, lease_until_ms=until_ms
                    )

    def report(self) -> dict:
        lag_s = self._options.usage_lag_s
        tasks = [self._describe(task, lag_s) for task in self._tasks.values()]
        return {
            "instance_id": self._options.instance_id,
            "boot_id": self._boot_id,
            "clock_ms": self.clock_ms(),
            "lease_until_ms": self._lease_until_ms,
            "fence": self._fence,
            "draining": self._draining,
            "tasks": tasks,
        }

    def renew(self, fence: int, lease_until_ms: int) -> dict | None:
        has_lease = self.clock_ms() < self._lease_until_ms
        if fence < self._fence or (fence == self._fence and not has_lease):
            return None
        if fence > self._fence:
            self._log_event("lease", fence=fence)
        self._fence = fence
        self._lease_until_ms = max(
            self._lease_until_ms if has_lease else 0, lease_until_ms
        )
        return {"lease_until_ms": self._lease_until_ms}

    def start(self, task_id: str, content: dict) -> dict | None:
        if task_id in self._tasks:
            return {"state": self._tasks[task_id].state}
        if content["fence"] != self._fence or task_id in self._ended_task_ids:
            return None
        if self._draining or self.clock_ms() >= self._lease_until_ms:
            return None
        overrides = json.loads(content["command"] or "{}")
        fails = self.fail_tasks
        now_s = self._clock.monotonic()
        task = _Task(
            task_id,
            overrides.get("cores", content["cores"]),
            overrides.get("memory_mb", content["memory_mb"]),
            0.0 if fails else overrides.get("run_s", 1.0),
            1 if fails else overrides.get("exit", 0),
            now_s,
            overrides.get("crashes", False),
        )
        task.ends_s = now_s + task.run_s
        self._tasks[task_id] = task
        self._log_event("start", task_id=task_id, cores=task.cores)
        return {"state": "running"}

    def interrupt(self, task_id: str, action: str) -> dict:
        task = self._tasks.get(task_id)
        if task is None:
            self._ended_task_ids.add(task_id)
            return {"state": "stopped"}
        if action == "throttle" and task.state == "running":
            remaining_s = task.ends_s - self._clock.monotonic()
            task.ends_s += remaining_s / _THROTTLED_SPEED - remaining_s
            task.cores *= _THROTTLED_SPEED
            task.state = "throttled"
            self._log_event("throttle", task_id=task_id)
        elif action != "throttle" and task.state in ("running", "throttled"):
            task.state = "checkpointed" if action == "checkpoint" else "stopped"
            self._log_event(action, task_id=task_id)
        return {"state": task.state}

    def drain(self, draining: bool) -> dict:
        if draining != self._draining:
            self._log_event("drain", draining=draining)
        self._draining = draining
        return {"draining": draining}

    def reboot(self, action_id: str) -> dict:
        if action_id not in self._reboot_ends_s:
            self._log_event("reboot", action_id=action_id)
            self._restart()
            self._reboot_ends_s[action_id] = self._down_until_s
        done = self._clock.monotonic() >= self._reboot_ends_s[action_id]
        return {"action_id": action_id, "done": done}

    def _restart(self) -> None:
        self._down_until_s = self._clock.monotonic() + self._options.reboot_s
        self._boot_id = uuid.uuid4().hex
        self._lease_until_ms = 0
        self._ended_task_ids.update(self._tasks)
        self._tasks.clear()

    def _describe(self, task: _Task, lag_s: float) -> dict:
        is_reported = self._clock.monotonic() - task.started_s >= lag_s
        return {
            "task_id": task.task_id,
            "state": task.state,
            "cores_used": task.cores if is_reported else 0.0,
            "memory_mb_used": task.memory_mb if is_reported else 0.0,
            "usage_at_ms": self.clock_ms() - int(lag_s * _MS_PER_S),
            "exit": task.exit,
        }

    def _log_event(self, event: str, **fields: Any) -> None:
        entry = {
            "event": event,
            "at_ms": self._clock.time() * _MS_PER_S,
            **fields,
        }
        self.log.append(entry)


class _App:
    """ASGI application that maps requests to methods of the worker."""

    def __init__(self, worker: Worker) -> None:
        self._worker = worker

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        parts = scope["path"].strip("/").split("/")
        content = json.loads(body) if body else {}
        if parts[0] == "platform" and self._worker.is_down():
            # Leaves the request unanswered, as a machine without network does.
            await anyio.sleep(3600)
        answer = handle(self._worker, parts, content)
        status = 409 if answer is None else 200
        await send(
            {"type": "http.response.start", "status": status, "headers": []}
        )
        data = json.dumps(answer).encode()
        await send({"type": "http.response.body", "body": data})


def handle(worker: Worker, parts: Sequence[str], content: dict) -> Any:
    """Returns the answer to a call by the parts of its path; None refuses."""
    worker.advance()
    match parts:
        case ["platform", "v1", "report"]:
            return worker.report()
        case ["platform", "v1", "lease"]:
            return worker.renew(content["fence"], content["lease_until_ms"])
        case ["platform", "v1", "tasks", task_id]:
            return worker.start(task_id, content)
        case ["platform", "v1", "tasks", task_id, action]:
            return worker.interrupt(task_id, action)
        case ["platform", "v1", "drain"]:
            return worker.drain(content["draining"])
        case ["platform", "v1", "reboot"]:
            return worker.reboot(content["action_id"])
        case ["standin", "v1", "log"]:
            return worker.log
        case ["standin", "v1", "faults"]:
            worker.fail_tasks = content.get("fail_tasks", worker.fail_tasks)
            worker.silent = content.get("silent", worker.silent)
            return {}
    return None


def parse_arguments(
    arguments: Sequence[str] | None = None,
) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--instance-id", required=True)
    parser.add_argument("--usage-lag-s", type=float, default=0.2)
    parser.add_argument("--reboot-s", type=float, default=0.5)
    parser.add_argument("--clock-offset-ms", type=int, default=0)
    parser.add_argument("--fail-tasks", action="store_true")
    return parser.parse_args(arguments)


def main() -> None:
    """Serves until it is terminated."""
    options = parse_arguments()
    host, _, port = options.address.rpartition(":")
    uvicorn.run(
        _App(Worker(options)),
        host=host,
        port=int(port),
        log_level="warning",
        lifespan="off",
        timeout_graceful_shutdown=1,
    )


if __name__ == "__main__":
    main()
