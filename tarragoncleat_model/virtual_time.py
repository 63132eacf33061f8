"""An event loop whose time passes only while every task waits.

Leases and timeouts are played on it without sockets or threads: a busy machine
can't make a lease expire.
"""

import asyncio
from collections.abc import Awaitable, Callable
import selectors
from typing import Any

from tarragoncleat.kernel import timer

__all__ = ["Clock", "Timer", "run"]

_MS_PER_S = 1000
_START_S = 1_000.0
_EPOCH_OFFSET_S = 1_700_000_000.0


class Clock:
    """The time of a virtual event loop, with the interface of module `time`."""

    def __init__(self) -> None:
        """Creates a clock."""
        self._now_s = _START_S

    def monotonic(self) -> float:
        """Returns the simulated time in seconds."""
        return self._now_s

    def time(self) -> float:
        """Returns the simulated time since the Unix epoch, in seconds."""
        return _EPOCH_OFFSET_S + self._now_s

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        self._now_s += seconds


class Timer(timer.TimerService):
    """A timer service for tasks on a virtual event loop."""

    def __init__(self, clock: Clock) -> None:
        """Creates a timer service on a clock."""
        super().__init__()
        self._clock = clock

    def monotonic_s(self) -> float:
        """Returns the simulated time in seconds."""
        return self._clock.monotonic()

    def wall_time_ms(self) -> int:
        """Returns the simulated time since the Unix epoch, in ms."""
        return int(self._clock.time() * _MS_PER_S)


class _Selector(selectors.DefaultSelector):
    """Advances the clock instead of waiting."""

    def __init__(self, clock: Clock) -> None:
        """Creates a timer service on a clock."""
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("every task waits, and none for a time")
        ready = super().select(0)
        if not ready:
            self._clock.advance(timeout)
        return ready


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self, clock: Clock) -> None:
        super().__init__(_Selector(clock))
        self._clock = clock

    def time(self) -> float:
        return self._clock.monotonic()


def run(main: Callable[[], Awaitable[Any]], clock: Clock) -> None:
    """Runs `main` on an event loop whose time is `clock`."""

    async def start() -> None:
        await main()

    with asyncio.Runner(loop_factory=lambda: _Loop(clock)) as runner:
        runner.run(start())
