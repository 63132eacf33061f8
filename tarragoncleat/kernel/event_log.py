"""Structured log lines for decisions: bounded, and never blocking.

Each line is one JSON object. A reader that stalls loses lines instead of
holding the process; they are counted and reported once it reads again.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import json
import os
from typing import Any

import loguru

__all__ = [
    "EventSink",
    "Weight",
    "configure",
    "emit",
    "event",
    "subscribe",
]

_STDOUT = 1
_BUFFER_BYTES = 256 * 1024
_WINDOW_MS = 1_000
# Lines of one kind in a second; what exceeds it is summed up.
_MOST_LINES = {"common": 50, "decision": 400, "last": 2_000}
_MS_PER_S = 1000


class Weight(enum.Enum):
    """Which events are summed up first when there are too many.

    Silent ones go to the listeners only.
    """

    SILENT = "silent"
    COMMON = "common"
    DECISION = "decision"
    LAST = "last"


def event(name: str, weight: Weight = Weight.DECISION) -> Callable:
    """Registers a frozen dataclass as an event with a name and a weight."""

    def register(cls: type) -> type:
        cls.event_name = name  # type: ignore[attr-defined]
        cls.event_weight = weight  # type: ignore[attr-defined]
        return cls

    return register


_listeners: list[Callable[[Any], None]] = []


def subscribe(listener: Callable[[Any], None]) -> None:
    """Passes every later event to `listener`, which must not fail."""
    _listeners.append(listener)


def emit(happened: Any) -> None:
    """Logs an event with its fields, and passes it to the listeners."""
    for listener in _listeners:
        listener(happened)
    cls = type(happened)
    if cls.event_weight is Weight.SILENT:
        return
    fields = {
        field.name: getattr(happened, field.name)
        for field in dataclasses.fields(cls)
    }
    loguru.logger.bind(weight=cls.event_weight, fields=fields).info(
        cls.event_name
    )


def configure(node: str, level: str = "INFO") -> "EventSink":
    """Sends the process's log to standard output as JSON lines."""
    os.set_blocking(_STDOUT, False)
    sink = EventSink(node, _write_stdout)
    loguru.logger.remove()
    loguru.logger.add(
        sink.take,
        level=level,
        format="{message}",
        backtrace=False,
        diagnose=False,
    )
    return sink


def _write_stdout(data: bytes) -> int:
    try:
        return os.write(_STDOUT, data)
    except BlockingIOError:
        return 0
    except OSError:
        # Nobody can read the log any more; the process goes on without it.
        return len(data)


class EventSink:
    """Writes log records as JSON lines within bounds."""

    def __init__(self, node: str, write: Callable[[bytes], int]) -> None:
        """Prepares the sink.

        Args:
            node: Name of the node, on each line.
            write: Takes bytes and returns how many it took, without waiting.
        """
        self._node = node
        self._write = write
        self._buffer = bytearray()
        self._dropped = 0
        self._window_ms = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._summed: collections.Counter[str] = collections.Counter()

    @property
    def dropped(self) -> int:
        """Lines that were lost because the reader stalled."""
        return self._dropped

    def take(self, message: Any) -> None:
        """Takes a record of loguru."""
        record = message.record
        extra = record["extra"]
        weight = extra.get("weight", Weight.DECISION)
        self.put(
            int(record["time"].timestamp() * _MS_PER_S),
            record["level"].name,
            record["message"],
            weight,
            extra.get("fields", {}),
        )

    def put(
        self,
        time_ms: int,
        level: str,
        name: str,
        weight: Weight,
        fields: dict[str, Any],
    ) -> None:
        """Writes one line, or counts it when its kind has had its share."""
        if time_ms // _WINDOW_MS != self._window_ms:
            self._begin_window(time_ms)
        self._counts[name] += 1
        if self._counts[name] > _MOST_LINES[weight.value]:
            self._summed[name] += 1
            return
        self._append(time_ms, level, name, fields)
        self._flush()

    def _begin_window(self, time_ms: int) -> None:
        self._window_ms = time_ms // _WINDOW_MS
        self._counts.clear()
        summed, self._summed = self._summed, collections.Counter()
        if summed:
            self._append(time_ms, "WARNING", "summed_up", dict(summed))

    def _append(
        self, time_ms: int, level: str, name: str, fields: dict[str, Any]
    ) -> None:
        values = {
            "time_ms": time_ms,
            "node": self._node,
            "level": level,
            "event": name,
            **fields,
        }
        line = json.dumps(values, separators=(",", ":"), default=_plain)
        if len(self._buffer) + len(line) >= _BUFFER_BYTES:
            self._dropped += 1
            return
        self._buffer += line.encode() + b"\n"

    def _flush(self) -> None:
        if not self._buffer:
            return
        written = self._write(bytes(self._buffer))
        del self._buffer[:written]
        if not self._buffer and self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._append(
                self._window_ms * _WINDOW_MS,
                "WARNING",
                "lines_dropped",
                {"count": dropped},
            )


def _plain(value: object) -> object:
    return value.value if isinstance(value, enum.Enum) else str(value)
