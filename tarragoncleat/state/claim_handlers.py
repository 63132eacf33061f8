"""Handlers of the commands that claim and release idempotency keys."""

from tarragoncleat.kernel import errors
from tarragoncleat.state import command_context
from tarragoncleat.state import commands
from tarragoncleat.state import fleet_state

__all__: list[str] = []

_MS_PER_S = 1000
_GRANTED = "granted"
_HELD = "held"
_KEY_REUSED = "key_reused"
_FULL = "full"


@command_context.apply_command.register
def _claim_keys(
    command: commands.ClaimKeys, context: command_context.CommandContext
) -> list | errors.Failure:
    _remove_expired_claims(context, command.retention_s)
    return [
        _claim_key(context, claim, command.max_entries)
        for claim in command.claims
    ]


@command_context.apply_command.register
def _release_claims(
    command: commands.ReleaseClaims, context: command_context.CommandContext
) -> dict | errors.Failure:
    claims = context.state.claims
    released = 0
    for claim in command.claims:
        record = claims.get(claim.digest)
        if record is not None and record.request_id == claim.request_id:
            del claims[claim.digest]
            released += 1
    return {"released": released}


def _remove_expired_claims(
    context: command_context.CommandContext, retention_s: int
) -> None:
    """Removes the claims that are older than the retention.

    Age is relative to the time of the log record. Claims are ordered by time,
    because record times never decrease.
    """
    claims = context.state.claims
    claimed_after_ms = context.now_ms - retention_s * _MS_PER_S
    while claims:
        digest, oldest = next(iter(claims.items()))
        if oldest.claimed_at_ms > claimed_after_ms:
            return
        del claims[digest]


def _claim_key(
    context: command_context.CommandContext,
    claim: commands.Claim,
    max_entries: int,
) -> list:
    claims = context.state.claims
    record = claims.get(claim.digest)
    if record is not None:
        return [
            _existing_claim_outcome(record, claim),
            record.request_id,
            record.entry_id,
        ]
    if len(claims) >= max_entries:
        return [_FULL, claim.request_id, claim.entry_id]
    claims[claim.digest] = fleet_state.ClaimRecord(
        claim.fingerprint, claim.request_id, claim.entry_id, context.now_ms
    )
    return [_GRANTED, claim.request_id, claim.entry_id]


def _existing_claim_outcome(
    record: fleet_state.ClaimRecord, claim: commands.Claim
) -> str:
    if record.fingerprint != claim.fingerprint:
        return _KEY_REUSED
    # A request repeats its claim if the response to the first one was lost.
    return _GRANTED if record.request_id == claim.request_id else _HELD
