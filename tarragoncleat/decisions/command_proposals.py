"""Proposes commands of the controller to the replicated log."""

from typing import Any, Protocol
import uuid

import loguru

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import commands

__all__ = ["Proposer", "Replication", "was_not_committed"]

_MS_PER_S = 1000


_NOT_COMMITTED = frozenset(
    {
        errors.ErrorKind.NO_LEADER,
        errors.ErrorKind.UNDECIDED,
        errors.ErrorKind.DISK_FULL,
    }
)


def was_not_committed(result: object) -> bool:
    """Tells whether the log takes no record now, so that a round ends."""
    return isinstance(result, errors.Failure) and result.kind in _NOT_COMMITTED


class Replication(Protocol):
    """The part of `replication.Replication` that the controller uses."""

    @property
    def is_leader(self) -> bool:
        """Whether this process leads now."""

    @property
    def leader_since_s(self) -> float | None:
        """Monotonic time since when it leads, None while it doesn't."""

    async def propose(self, payload: bytes, timeout_s: float) -> Any:
        """Proposes a record; returns an `AppliedProposal` or a `Failure`."""


class Proposer:
    """Wraps commands in envelopes and unwraps their results."""

    def __init__(
        self, configuration: settings.Settings, replication: Replication
    ) -> None:
        """Creates a proposer that acts in the name of this entry."""
        self._entry_id = configuration.entry_id
        timeout_ms = configuration.consensus.propose_timeout_ms
        self._timeout_s = timeout_ms / _MS_PER_S
        self._replication = replication

    async def propose(self, command: Any) -> commands.Result | errors.Failure:
        """Proposes a command.

        A result that isn't ok is logged and returned as a `Failure`. The
        decision is made again from the committed state in the next round.
        """
        envelope = commands.Envelope(
            ids.CommandId(f"controller-{uuid.uuid4().hex}"),
            commands.ANY_FIRM,
            self._entry_id,
            commands.CONTROLLER_ROLE,
            None,
            command,
        )
        payload = codec.encode(envelope)
        applied = await self._replication.propose(payload, self._timeout_s)
        if isinstance(applied, errors.Failure):
            loguru.logger.warning(
                "{} was not committed: {}", command.kind, applied.reason
            )
            return applied
        result = codec.decode(applied.result)
        if isinstance(result, errors.Failure):
            return result
        if not result.ok:
            loguru.logger.info(
                "{} was refused: {}", command.kind, result.reason
            )
            return result.to_failure()
        return result
