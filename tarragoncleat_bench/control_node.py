"""Runs an entry that has only peer links and the replicated log.

It reads a command in JSON from each line of standard input and writes one line
of JSON to standard output as the answer:

    {"do": "propose", "first": 0, "count": 9, "bytes": 100, "parallel": 4,
     "interval_s": 0.0, "timeout_s": 5.0}
    {"do": "status"}
    {"do": "times"}
    {"do": "tags"}
"""

from collections.abc import Awaitable, Callable
import json
import pathlib
import resource
import sys
import time

import anyio
import anyio.to_thread
import defopt
import msgpack

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import logs
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer
from tarragoncleat.log import replication
from tarragoncleat.membership import peering

__all__ = ["TagStateMachine", "main"]

_TAG_BYTES = 8
_MAX_TIMED_TAGS = 10_000


class TagStateMachine:
    """Records the order of all tags and the latest value of each key.

    Args:
        keys: Number of keys; the tags are spread over them.
    """

    def __init__(self, keys: int) -> None:
        """Creates an empty state machine."""
        self._keys = keys
        self._values: dict[int, bytes] = {}
        self.tags: list[int] = []
        self.times_s: dict[int, float] = {}

    def apply(self, index: int, time_ms: int, payload: bytes) -> bytes:
        """Appends the tag and stores its value."""
        tag = int.from_bytes(payload[:_TAG_BYTES], "big")
        self.tags.append(tag)
        self._values[tag % self._keys] = payload[_TAG_BYTES:]
        if len(self.times_s) < _MAX_TIMED_TAGS:
            self.times_s[tag] = time.monotonic()
        return b""

    def snapshot(self) -> bytes:
        """Serializes the tags and the values."""
        return msgpack.packb([self.tags, self._values])

    def restore(self, index: int, data: bytes) -> None:
        """Replaces the tags and the values by those of a snapshot."""
        self.tags, self._values = msgpack.unpackb(data, strict_map_key=False)


class _ControlNode:
    def __init__(self, settings: settings_module.Settings, keys: int) -> None:
        timer_service = timer.TimerService()
        self._settings = settings
        self._state_machine = TagStateMachine(keys)
        self.links = peering.PeerLinks(settings, timer_service)
        self.replication = replication.Replication(
            settings, self.links, timer_service, self._state_machine
        )
        self._commands: dict[str, Callable[[dict], Awaitable[dict]]] = {
            "propose": self._propose,
            "status": self._status,
            "times": self._times,
            "tags": self._tags,
        }

    async def serve(self) -> None:
        """Answers commands until the input ends."""
        while True:
            line = await anyio.to_thread.run_sync(
                sys.stdin.readline, abandon_on_cancel=True
            )
            if not line:
                return
            command = json.loads(line)
            answer = await self._commands[command.pop("do")](command)
            print(json.dumps(answer), flush=True)

    async def _propose(self, command: dict) -> dict:
        first, count = command["first"], command["count"]
        tags = iter(range(first, first + count))
        answer: dict = {"applied": [], "failed": [], "latency_ms": []}

        async def propose_remaining() -> None:
            for tag in tags:
                await self._propose_one(tag, command, answer)

        started_s = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for _ in range(command["parallel"]):
                tasks.start_soon(propose_remaining)
        answer["seconds"] = time.monotonic() - started_s
        return answer

    async def _propose_one(self, tag: int, command: dict, answer: dict) -> None:
        payload = tag.to_bytes(_TAG_BYTES, "big") + b"x" * command["bytes"]
        started_s = time.monotonic()
        outcome = await self.replication.propose(payload, command["timeout_s"])
        ended_s = time.monotonic()
        answer["latency_ms"].append((ended_s - started_s) * 1000)
        if isinstance(outcome, errors.Failure):
            answer["failed"].append([tag, outcome.kind.value, ended_s])
        else:
            answer["applied"].append([tag, outcome.index, ended_s])
        await anyio.sleep(command["interval_s"])

    async def _status(self, command: dict) -> dict:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        peers = self.links.dump()["peers"].values()
        return {
            "role": self.replication.role.value,
            "term": self.replication.term,
            "leader_id": self.replication.leader_id,
            "applied_index": self.replication.applied_index,
            "in_force": {
                entry_id: row.applied_index
                for entry_id, row in self.replication.applied_indexes().items()
            },
            "dump": self.replication.dump(),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "memory_mb": usage.ru_maxrss / 1024,
            "sent_bytes": sum(peer["sent_bytes"] for peer in peers),
            "received_bytes": sum(peer["received_bytes"] for peer in peers),
            "now_s": time.monotonic(),
        }

    async def _times(self, command: dict) -> dict:
        return {"times_s": list(self._state_machine.times_s.items())}

    async def _tags(self, command: dict) -> dict:
        return {"tags": self._state_machine.tags}


async def _run(node: _ControlNode) -> int:
    failure = node.replication.open()
    if failure is not None:
        print(json.dumps({"failure": failure.reason}), flush=True)
        return 1
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.links.run)
        tasks.start_soon(node.replication.run)
        await node.serve()
        tasks.cancel_scope.cancel()
    return 0


def main(*, settings: pathlib.Path, keys: int = 1_000) -> int:
    """Runs until the end of standard input.

    Args:
        settings: Settings file of the entry.
        keys: Number of keys of the state machine.
    """
    loaded = settings_module.load(settings)
    if isinstance(loaded, errors.Failure):
        print(loaded.reason, file=sys.stderr)
        return 2
    logs.configure(loaded.log.level, loaded.log.json_lines)
    return anyio.run(_run, _ControlNode(loaded, keys))


if __name__ == "__main__":
    sys.exit(defopt.run(main))
