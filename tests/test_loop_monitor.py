"""Tests of the measurement of event loop delays."""

import unittest
import unittest.mock

import anyio

from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import loop_monitor
from tests import batch_builders


class _BusyTimer(batch_builders.ManualTimer):
    """A timer whose sleeps last longer by the delays that the test has set."""

    def __init__(self, delays_s: list[float]) -> None:
        super().__init__()
        self._delays_s = delays_s

    async def sleep_s(self, seconds: float) -> None:
        if not self._delays_s:
            await anyio.sleep_forever()
        self.advance(seconds + self._delays_s.pop(0))


class LoopMonitorTest(unittest.TestCase):
    """Guards against a busy process whose log shows no sign of it."""

    def _delays(self, delays_s: list[float]) -> list[loop_monitor.LoopDelayed]:
        emitted: list[loop_monitor.LoopDelayed] = []

        async def main() -> None:
            with anyio.move_on_after(0.05):
                await loop_monitor.watch(_BusyTimer(delays_s))

        with unittest.mock.patch.object(event_log, "emit", emitted.append):
            anyio.run(main)
        return emitted

    def test_longest_delay_and_sum_are_logged_once(self) -> None:
        """Guards against one line per late timer in a busy process."""
        emitted = self._delays([0.25, 0.5, 0.0, 0.0])
        self.assertEqual(emitted, [loop_monitor.LoopDelayed(500, 750)])

    def test_punctual_loop_logs_nothing(self) -> None:
        """Guards against log lines of idle processes."""
        self.assertEqual(self._delays([0.001] * 25), [])


if __name__ == "__main__":
    unittest.main()
