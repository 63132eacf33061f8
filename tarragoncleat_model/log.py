"""A replicated log of one replica, which serves one leader after the other."""

from collections.abc import Callable
import math

import anyio

from tarragoncleat.batch.replicated import state as state_module
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier

__all__ = ["LeaderLog", "SharedLog"]

_COMMIT_S = 0.004


class SharedLog:
    """Applies commands to the state in the order in which they are proposed."""

    def __init__(
        self, state: state_module.BatchState, timer: timer_module.TimerService
    ) -> None:
        """Creates an empty log.

        Args:
            state: The state.
            timer: Clock.
        """
        self.state = state
        self.term = 0
        self._timer = timer
        self._index = 0
        self._lock = anyio.Lock()
        self._stalled_until_s = 0.0

    def apply(self, payload: bytes) -> bytes:
        """Appends a command and applies it."""
        self._index += 1
        now_ms = self._timer.wall_time_ms()
        return self.state.apply(self._index, now_ms, payload)

    async def stall(self, for_s: float) -> None:
        """Commits nothing for a time; what is proposed meanwhile waits."""
        until_s = self._timer.monotonic_s() + for_s
        self._stalled_until_s = max(self._stalled_until_s, until_s)
        await self._timer.sleep_s(for_s)

    async def commit(self, payload: bytes, term: int) -> bytes | None:
        """Commits a proposal; returns None if its term is over."""
        async with self._lock:
            await self._timer.sleep_s(_COMMIT_S)
            while (now_s := self._timer.monotonic_s()) < self._stalled_until_s:
                await self._timer.sleep_s(self._stalled_until_s - now_s)
            return self.apply(payload) if term == self.term else None


class LeaderLog:
    """The log as the leader of one term uses it."""

    def __init__(
        self, log: SharedLog, on_commit: Callable[[], None] = lambda: None
    ) -> None:
        """Begins a term.

        Args:
            log: The log.
            on_commit: Called after each commit.
        """
        log.term += 1
        self.term = log.term
        self.on_commit = on_commit
        self._log = log

    async def propose(
        self, payload: bytes, timeout_s: float = math.inf
    ) -> applier.AppliedProposal | errors.Failure:
        """Commits a command, unless a later term has begun."""
        del timeout_s
        result = await self._log.commit(payload, self.term)
        if result is None:
            return errors.Failure(errors.ErrorKind.NO_LEADER, "deposed")
        self.on_commit()
        return applier.AppliedProposal(0, result)

    def leadership_age_s(self) -> float:
        """Returns 0: a frozen leader goes on as if it were confirmed."""
        return 0.0

    async def read_barrier(self) -> bool:
        """Returns whether the term goes on."""
        await anyio.sleep(_COMMIT_S)
        return self.term == self._log.term
