"""Measures how late the event loop runs its tasks.

A late loop delays every lease, commit and answer of the process, and looks
from outside like a slow network or a lost node.
"""

import dataclasses

from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import timer as timer_module

__all__ = ["LoopDelayed", "watch"]

_SAMPLE_INTERVAL_S = 0.1
_REPORT_INTERVAL_S = 1.0
_MIN_LOGGED_DELAY_S = 0.05
_MS_PER_S = 1000


@event_log.event("loop_delayed")
@dataclasses.dataclass(frozen=True, slots=True)
class LoopDelayed:
    """The event loop ran a timer late.

    Attributes:
        max_ms: Longest delay since the last line or for the last second.
        total_ms: Sum of the delays in that time.
    """

    max_ms: int
    total_ms: int


async def watch(timer: timer_module.TimerService) -> None:
    """Logs the delays of the event loop, at most once per second."""
    last_s = timer.monotonic_s()
    reported_s = last_s
    max_s = total_s = 0.0
    while True:
        await timer.sleep_s(_SAMPLE_INTERVAL_S)
        now_s = timer.monotonic_s()
        delay_s = now_s - last_s - _SAMPLE_INTERVAL_S
        last_s = now_s
        max_s = max(max_s, delay_s)
        total_s += delay_s
        if now_s - reported_s < _REPORT_INTERVAL_S:
            continue
        if max_s >= _MIN_LOGGED_DELAY_S:
            event_log.emit(
                LoopDelayed(
                    round(max_s * _MS_PER_S), round(total_s * _MS_PER_S)
                )
            )
        reported_s = now_s
        max_s = total_s = 0.0
