"""Structured log lines for events, with limits and without blocking.

Each line is one JSON object. If the reader stalls, lines are dropped instead
of blocking the process. They are counted, and the number is logged once the
reader continues.
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
    "Priority",
    "configure",
    "emit",
    "event",
    "subscribe",
]

_STDOUT = 1
_BUFFER_BYTES = 256 * 1024
_WINDOW_MS = 1_000
# Limits for the lines of one event per window; further ones are only counted.
_MAX_LINES_PER_WINDOW = {"common": 50, "decision": 400, "last": 2_000}
# A line with the traceback of an internal error is longer, but still whole.
_MAX_TEXT_CHARACTERS = 2_000
_MS_PER_S = 1000


class Priority(enum.Enum):
    """Priority of an event, which limits the rate of its log lines.

    LISTENERS_ONLY events are passed to the listeners but not logged.
    """

    LISTENERS_ONLY = "silent"
    LOW = "common"
    NORMAL = "decision"
    HIGH = "last"


def event(name: str, priority: Priority = Priority.NORMAL) -> Callable:
    """Registers a frozen dataclass as an event with a name and a priority."""

    def register(cls: type) -> type:
        cls.event_name = name  # type: ignore[attr-defined]
        cls.event_priority = priority  # type: ignore[attr-defined]
        return cls

    return register


_listeners: list[Callable[[Any], None]] = []


def subscribe(listener: Callable[[Any], None]) -> None:
    """Passes later events to `listener`, which must not raise."""
    _listeners.append(listener)


def emit(event_object: Any) -> None:
    """Logs an event with its fields, and passes it to the listeners."""
    for listener in _listeners:
        listener(event_object)
    cls = type(event_object)
    if cls.event_priority is Priority.LISTENERS_ONLY:
        return
    fields = {
        field.name: getattr(event_object, field.name)
        for field in dataclasses.fields(cls)
    }
    loguru.logger.bind(weight=cls.event_priority, fields=fields).info(
        cls.event_name
    )


def configure(node: str, level: str = "INFO") -> "EventSink":
    """Writes the log of the process to standard output as JSON lines."""
    os.set_blocking(_STDOUT, False)
    sink = EventSink(node, _write_stdout)
    loguru.logger.remove()
    loguru.logger.add(
        sink.write_record,
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
        # The log can't be read any more; the process continues without it.
        return len(data)


class EventSink:
    """Writes log records as JSON lines, with limits on rate and memory."""

    def __init__(self, node: str, write: Callable[[bytes], int]) -> None:
        """Creates a sink.

        Args:
            node: Name of the node, a field of each line.
            write: Writes bytes without blocking; returns how many it wrote.
        """
        self._node = node
        self._write = write
        self._buffer = bytearray()
        self._dropped = 0
        self._window_ms = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._suppressed: collections.Counter[str] = collections.Counter()

    @property
    def dropped(self) -> int:
        """Number of lines dropped because the reader stalled."""
        return self._dropped

    def write_record(self, message: Any) -> None:
        """Writes a record of loguru; meant as a sink for `logger.add`."""
        record = message.record
        extra = record["extra"]
        priority = extra.get("weight", Priority.NORMAL)
        fields = extra.get("fields")
        # The text of other lines may hold what a client sent, so that no two
        # are alike.
        source = f"{record['name']}:{record['line']}"
        self.write_event(
            int(record["time"].timestamp() * _MS_PER_S),
            record["level"].name,
            record["message"],
            priority,
            fields or {},
            None if fields is not None else source,
        )

    def write_event(
        self,
        time_ms: int,
        level: str,
        name: str,
        priority: Priority,
        fields: dict[str, Any],
        source: str | None = None,
    ) -> None:
        """Writes one line, or only counts it above the limit of its event.

        Args:
            time_ms: Time of the event, in ms since the epoch.
            level: Name of the level.
            name: Name of the event, or the text of another line.
            priority: Decides on the limit.
            fields: Fields of the line; long texts are cut.
            source: What the limit counts, if not the name.
        """
        if time_ms // _WINDOW_MS != self._window_ms:
            self._start_window(time_ms)
        counted = source or name
        self._counts[counted] += 1
        if self._counts[counted] > _MAX_LINES_PER_WINDOW[priority.value]:
            self._suppressed[counted] += 1
            return
        self._append(time_ms, level, name, fields)
        self._flush()

    def _start_window(self, time_ms: int) -> None:
        self._window_ms = time_ms // _WINDOW_MS
        self._counts.clear()
        suppressed, self._suppressed = self._suppressed, collections.Counter()
        if suppressed:
            self._append(time_ms, "WARNING", "summed_up", dict(suppressed))

    def _append(
        self, time_ms: int, level: str, name: str, fields: dict[str, Any]
    ) -> None:
        values = {
            "time_ms": time_ms,
            "node": self._node,
            "level": level,
            "event": _cut(name),
            **{key: _cut(value) for key, value in fields.items()},
        }
        line = json.dumps(values, separators=(",", ":"), default=_to_plain)
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


def _cut(value: Any) -> Any:
    """Cuts a long text; a client may have chosen it."""
    if isinstance(value, str) and len(value) > _MAX_TEXT_CHARACTERS:
        return f"{value[:_MAX_TEXT_CHARACTERS]}... ({len(value)} characters)"
    return value


def _to_plain(value: object) -> object:
    return value.value if isinstance(value, enum.Enum) else str(value)
