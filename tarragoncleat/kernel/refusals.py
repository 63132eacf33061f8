"""Counts of refused connections and requests, and a bounded log of them."""

import collections
from collections.abc import Mapping
import dataclasses
import enum
from typing import Any

import loguru

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import request_body
from tarragoncleat.kernel import timer as timer_module

__all__ = ["ListenerRefused", "Refusal", "RefusalLog"]

_LOG_INTERVAL_S = 10.0


class Refusal(enum.Enum):
    """Why a listener refused a request or closed a connection."""

    REFUSED_CONNECTIONS = "refused_connections"
    OVERSIZED_HEADERS = "oversized_headers"
    SLOW_HEADERS = "slow_headers"
    OVERSIZED_FRAMING = "oversized_framing"
    OVERSIZED_BODY = "oversized_body"
    SLOW_BODY = "slow_body"
    UNREAD_ANSWERS = "unread_answers"
    MEMORY = "memory"
    MALFORMED = "malformed"


@event_log.event("listener_refused", event_log.Priority.LISTENERS_ONLY)
@dataclasses.dataclass(frozen=True, slots=True)
class ListenerRefused:
    """A listener refused a request or closed a connection."""

    refusal: str


_BODY_REFUSALS = {
    errors.ErrorKind.TOO_LARGE: Refusal.OVERSIZED_BODY,
    errors.ErrorKind.SLOW_REQUEST: Refusal.SLOW_BODY,
}


class RefusalLog:
    """Counts refusals; logs each kind at most once in 10 s."""

    def __init__(self, timer: timer_module.TimerService) -> None:
        """Creates a log without refusals."""
        self._timer = timer
        self._counts: collections.Counter[Refusal] = collections.Counter()
        self._logged_counts: dict[Refusal, int] = {}
        self._logged_s: dict[Refusal, float] = {}

    def __getitem__(self, refusal: Refusal) -> int:
        return self._counts[refusal]

    @property
    def counts(self) -> Mapping[Refusal, int]:
        """Number of refusals of each kind since the start."""
        return self._counts

    def observe(self, event: Any) -> None:
        """Counts refused bodies; meant for `event_log.subscribe`."""
        if isinstance(event, request_body.BodyRefused):
            refusal = _BODY_REFUSALS.get(event.kind)
            if refusal is not None:
                self.record(refusal, "")

    def record(self, refusal: Refusal, peer: str) -> None:
        """Counts a refusal, and logs it unless one was logged just now."""
        self._counts[refusal] += 1
        event_log.emit(ListenerRefused(refusal.value))
        now_s = self._timer.monotonic_s()
        logged_s = self._logged_s.get(refusal)
        if logged_s is not None and now_s - logged_s < _LOG_INTERVAL_S:
            return
        new_count = self._counts[refusal] - self._logged_counts.get(refusal, 0)
        self._logged_s[refusal] = now_s
        self._logged_counts[refusal] = self._counts[refusal]
        loguru.logger.warning(
            "refused {} times since the last such line: {}; last {}",
            new_count,
            refusal.value,
            peer,
        )
