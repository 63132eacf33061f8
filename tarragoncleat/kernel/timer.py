"""The timer service that the parts of a process subscribe to."""

from collections.abc import AsyncIterator
import time

import anyio

__all__ = ["TimerService"]

_MS_PER_S = 1000


class TimerService:
    """Real clocks, sleeping and periodic ticks.

    Tests replace it with an implementation whose clock they advance.
    """

    def __init__(self) -> None:
        """Creates a service without subscribers."""
        self._intervals_s: list[float] = []

    def dump(self) -> dict:
        """Returns the intervals of the current subscriptions, in seconds."""
        return {"intervals_s": sorted(self._intervals_s)}

    def monotonic_s(self) -> float:
        """Returns seconds of a clock that also counts suspended time.

        A process that was suspended would otherwise take its leases and its
        contact with a majority for fresh when it continues.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time_ms(self) -> int:
        """Returns the time since the Unix epoch in milliseconds."""
        return int(time.time() * _MS_PER_S)

    async def sleep_s(self, seconds: float) -> None:
        """Sleeps for at least the given number of seconds."""
        await anyio.sleep(seconds)

    async def subscribe(self, interval_s: float) -> AsyncIterator[float]:
        """Yields the monotonic time once each interval.

        A subscriber that is late skips the ticks that it missed, so that a
        slow task doesn't run several times in a row.
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
