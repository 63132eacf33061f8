"""Rules of the claims of idempotency keys."""

from tarragoncleat.kernel import errors
from tarragoncleat.state import commands
from tarragoncleat.state import fleet_rules
from tarragoncleat.state import fleet_state

__all__: list[str] = []

_MS_PER_S = 1000
_GRANTED = "granted"
_HELD = "held"
_KEY_REUSED = "key_reused"
_FULL = "full"


@fleet_rules.apply_command.register
def _claim_keys(
    command: commands.ClaimKeys, change: fleet_rules.Change
) -> list | errors.Failure:
    _expire(change, command.retention_s)
    return [
        _claim(change, claim, command.max_entries) for claim in command.claims
    ]


@fleet_rules.apply_command.register
def _release_claims(
    command: commands.ReleaseClaims, change: fleet_rules.Change
) -> dict | errors.Failure:
    claims = change.state.claims
    released = 0
    for claim in command.claims:
        record = claims.get(claim.digest)
        if record is not None and record.request_id == claim.request_id:
            del claims[claim.digest]
            released += 1
    return {"released": released}


def _expire(change: fleet_rules.Change, retention_s: int) -> None:
    """Drops the claims whose retention is over by the time of the record.

    Claims are in order of their time, because record times never decrease.
    """
    claims = change.state.claims
    limit_ms = change.now_ms - retention_s * _MS_PER_S
    while claims:
        digest, oldest = next(iter(claims.items()))
        if oldest.claimed_at_ms > limit_ms:
            return
        del claims[digest]


def _claim(
    change: fleet_rules.Change, claim: commands.Claim, max_entries: int
) -> list:
    claims = change.state.claims
    record = claims.get(claim.digest)
    if record is not None:
        return [_compare(record, claim), record.request_id, record.entry_id]
    if len(claims) >= max_entries:
        return [_FULL, claim.request_id, claim.entry_id]
    claims[claim.digest] = fleet_state.ClaimRecord(
        claim.fingerprint, claim.request_id, claim.entry_id, change.now_ms
    )
    return [_GRANTED, claim.request_id, claim.entry_id]


def _compare(record: fleet_state.ClaimRecord, claim: commands.Claim) -> str:
    if record.fingerprint != claim.fingerprint:
        return _KEY_REUSED
    # The same request claims again when the answer to its claim was lost.
    return _GRANTED if record.request_id == claim.request_id else _HELD
