"""Proposes commands of the controller to the replicated log."""

from typing import Any, Protocol
import uuid

import loguru

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import commands

__all__ = ["Proposer", "Replication", "is_log_unavailable"]

_MS_PER_S = 1000

_LOG_UNAVAILABLE_KINDS = frozenset(
    {
        errors.ErrorKind.NO_LEADER,
        errors.ErrorKind.UNDECIDED,
        errors.ErrorKind.DISK_FULL,
    }
)


def is_log_unavailable(result: object) -> bool:
    """Returns whether the log accepts no records now, which ends a round."""
    return (
        isinstance(result, errors.Failure)
        and result.kind in _LOG_UNAVAILABLE_KINDS
    )


class Replication(Protocol):
    """The part of `replication.Replication` that the controller uses."""

    @property
    def is_leader(self) -> bool:
        """Whether this process leads now."""

    @property
    def leader_since_s(self) -> float | None:
        """Monotonic time at which it became leader; None while it isn't."""

    async def propose(self, payload: bytes, timeout_s: float) -> Any:
        """Proposes a record; returns an `AppliedProposal` or a `Failure`."""


class Proposer:
    """Wraps commands in envelopes and decodes their results."""

    def __init__(
        self, configuration: settings.Settings, replication: Replication
    ) -> None:
        """Creates a proposer with this entry as the actor."""
        self._entry_id = configuration.entry_id
        timeout_ms = configuration.consensus.propose_timeout_ms
        self._timeout_s = timeout_ms / _MS_PER_S
        self._replication = replication

    async def propose(self, command: Any) -> commands.Result | errors.Failure:
        """Proposes a command.

        A rejected command is logged and returned as a `Failure`. The decision
        is repeated from the committed state in the next round.
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
