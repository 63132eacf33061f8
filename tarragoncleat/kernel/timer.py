"""Clocks, sleeping and periodic ticks."""

from collections.abc import AsyncIterator
import time

import anyio

__all__ = ["TimerService"]

_MS_PER_S = 1000


class TimerService:
    """Clocks, sleeping and periodic ticks in real time.

    Tests replace it with an implementation whose clock they control.
    """

    def __init__(self) -> None:
        """Creates a service without subscribers."""
        self._intervals_s: list[float] = []

    def dump(self) -> dict:
        """Returns the intervals of the current subscriptions, in seconds."""
        return {"intervals_s": sorted(self._intervals_s)}

    def monotonic_s(self) -> float:
        """Returns the seconds of a monotonic clock that includes suspension.

        With a clock that stops during suspension, a process that continues
        would treat its leases and its contact with a majority as recent.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time_ms(self) -> int:
        """Returns the time since the Unix epoch in milliseconds."""
        return int(time.time() * _MS_PER_S)

    async def sleep_s(self, seconds: float) -> None:
        """Sleeps for at least the given number of seconds."""
        await anyio.sleep(seconds)

    async def subscribe(self, interval_s: float) -> AsyncIterator[float]:
        """Yields the monotonic time once per interval.

        A late subscriber skips the ticks that it missed, so that a slow task
        doesn't run several times in a row.
        """
        self._intervals_s.append(interval_s)
        try:
            async for now_s in self._tick(interval_s):
                yield now_s
        finally:
            self._intervals_s.remove(interval_s)

    async def _tick(self, interval_s: float) -> AsyncIterator[float]:
        due_s = self.monotonic_s() + interval_s
        while True:
            await self.sleep_s(max(0.0, due_s - self.monotonic_s()))
            now_s = self.monotonic_s()
            yield now_s
            missed = max(0, int((self.monotonic_s() - due_s) / interval_s))
            due_s += interval_s * (1 + missed)
