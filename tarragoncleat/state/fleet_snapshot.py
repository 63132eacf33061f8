"""Encoding of the fleet's state for snapshots.

Each table is a msgpack list of rows. Rows are converted and validated in bulk,
because the fleet has more than 100,000 of them at the target scale.
"""

from collections.abc import Iterable
import dataclasses
import enum
import operator
from typing import Any

import msgpack
import pydantic

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.state import fleet_state
from tarragoncleat.state import job_losses
from tarragoncleat.state import jobs
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles
from tarragoncleat.state import waves

__all__ = ["decode_state", "encode_state"]


@codec.message("fleet_snapshot")
@dataclasses.dataclass(frozen=True, slots=True)
class _Snapshot:
    applied_index: int
    time_ms: int
    revision: int
    next_sequence: int
    complete_since_ms: int
    tables: dict[str, bytes]


class _Table:
    """The encoding of a table whose rows are instances of one dataclass."""

    def __init__(self, row_class: type) -> None:
        self._names = [field.name for field in dataclasses.fields(row_class)]
        self._get_field_values = operator.attrgetter(*self._names)
        # The element type is known only at run time.
        self._adapter: pydantic.TypeAdapter[list[Any]] = pydantic.TypeAdapter(
            list[row_class]  # type: ignore[valid-type]
        )

    def encode(self, rows: Iterable[object]) -> bytes:
        """Encodes rows in their order."""
        field_values = list(map(self._get_field_values, rows))
        return msgpack.packb(field_values, default=_to_plain)

    def decode(self, data: bytes) -> list[Any]:
        """Decodes and validates rows.

        Rows of an earlier version lack the fields added since, which have
        defaults.
        """
        names = self._names
        field_values = msgpack.unpackb(data)
        rows = [
            dict(zip(names, values, strict=False)) for values in field_values
        ]
        return self._adapter.validate_python(rows)


_TABLES = {
    "profiles": _Table(profiles.Profile),
    "services": _Table(profiles.Service),
    "teams": _Table(profiles.Team),
    "pools": _Table(pools.Pool),
    "instances": _Table(pools.Instance),
    "waves": _Table(waves.Wave),
    "jobs": _Table(jobs.Job),
}
_LEDGER_TABLE = _Table(ledger.Entry)
# Ledger entries are immutable, so the encoded bytes of whole blocks are reused
# by later snapshots.
_ENTRIES_PER_BLOCK = 1_000


def encode_state(state: fleet_state.State) -> bytes:
    """Encodes the whole state; equal states have equal encodings."""
    tables = {
        name: _TABLES[name].encode(rows)
        for name, rows in (
            ("profiles", state.profiles.values()),
            ("services", state.services.values()),
            ("teams", state.teams.values()),
            ("pools", state.pools.values()),
            ("instances", state.instances.values()),
            ("waves", fleet_state.WaveMapping(state.waves).values()),
            ("jobs", state.jobs.values()),
        )
    }
    tables["ledger"] = _encode_ledger(state)
    claims = [
        (
            digest,
            claim.fingerprint,
            claim.request_id,
            claim.entry_id,
            claim.claimed_at_ms,
        )
        for digest, claim in state.claims.items()
    ]
    tables["claims"] = msgpack.packb(claims)
    tables["results"] = _encode_results(state.results)
    tables["system_results"] = _encode_results(state.system_results)
    if state.losses:
        tables["losses"] = msgpack.packb(
            [
                (job_id, *dataclasses.astuple(losses))
                for job_id, losses in state.losses.items()
            ]
        )
    tables["finished_jobs"] = msgpack.packb(list(state.finished_jobs))
    tables["ended_waves"] = msgpack.packb(list(state.ended_waves))
    return codec.encode(
        _Snapshot(
            state.applied_index,
            state.time_ms,
            state.revision,
            state.ledger.next_sequence,
            state.ledger.complete_since_ms,
            tables,
        )
    )


def decode_state(data: bytes) -> fleet_state.State | errors.Failure:
    """Decodes a state.

    Returns:
        The state, or a `Failure` of kind STORAGE for damaged data.
    """
    snapshot = codec.decode(data)
    if not isinstance(snapshot, _Snapshot):
        return _damaged(str(getattr(snapshot, "reason", "not a snapshot")))
    try:
        return _build_state(snapshot)
    except (KeyError, ValueError, msgpack.UnpackException) as error:
        return _damaged(f"{type(error).__name__}: {error}")


def _damaged(reason: str) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.STORAGE, f"damaged fleet snapshot: {reason}"
    )


def _build_state(snapshot: _Snapshot) -> fleet_state.State:
    raw = snapshot.tables
    rows = {name: table.decode(raw[name]) for name, table in _TABLES.items()}
    state = fleet_state.State()
    state.applied_index = snapshot.applied_index
    state.time_ms = snapshot.time_ms
    state.revision = snapshot.revision
    state.profiles = {row.profile_id: row for row in rows["profiles"]}
    for service in rows["services"]:
        state.put_service(service)
    state.teams = {row.team_id: row for row in rows["teams"]}
    state.pools = {row.pool_id: row for row in rows["pools"]}
    for instance in rows["instances"]:
        state.put_instance(instance)
    for wave in rows["waves"]:
        state.waves[wave.wave_id] = fleet_state.WaveRecord(wave)
    for job in rows["jobs"]:
        state.put_job(job)
    # Snapshots of earlier builds don't have it.
    if "losses" in raw:
        for job_id, crashed_on, alone_on, count in msgpack.unpackb(
            raw["losses"]
        ):
            state.losses[job_id] = job_losses.JobLosses(
                tuple(crashed_on), tuple(alone_on), count
            )
    state.ledger.restore(
        _decode_ledger(raw["ledger"]),
        snapshot.next_sequence,
        snapshot.complete_since_ms,
    )
    for digest, *fields in msgpack.unpackb(raw["claims"]):
        state.claims[digest] = fleet_state.ClaimRecord(*fields)
    state.results = _decode_results(raw["results"])
    state.system_results = _decode_results(raw["system_results"])
    state.restore_order(
        msgpack.unpackb(raw["finished_jobs"]),
        msgpack.unpackb(raw["ended_waves"]),
    )
    return state


def _encode_ledger(state: fleet_state.State) -> bytes:
    """Encodes the ledger in blocks.

    Blocks start at sequence numbers that are multiples of the block size.
    """
    fleet_ledger = state.ledger
    first = fleet_ledger.next_sequence - len(fleet_ledger)
    cached_blocks = state.ledger_blocks
    blocks = {}
    start = first - first % _ENTRIES_PER_BLOCK
    while start < fleet_ledger.next_sequence:
        end = start + _ENTRIES_PER_BLOCK
        is_whole = first <= start and end <= fleet_ledger.next_sequence
        block = cached_blocks.get(start) if is_whole else None
        if block is None:
            block = _LEDGER_TABLE.encode(fleet_ledger.read_range(start, end))
        blocks[start] = block
        if is_whole:
            cached_blocks[start] = block
        start = end
    for evicted in [start for start in cached_blocks if start < first]:
        del cached_blocks[evicted]
    return msgpack.packb(list(blocks.values()))


def _decode_ledger(data: bytes) -> list[ledger.Entry]:
    entries: list[ledger.Entry] = []
    for block in msgpack.unpackb(data):
        entries.extend(_LEDGER_TABLE.decode(block))
    return entries


_Results = dict[tuple[str, str], fleet_state.StoredResult]


def _encode_results(results: _Results) -> bytes:
    return msgpack.packb(
        [
            (*key, stored.digest, stored.time_ms, stored.result)
            for key, stored in results.items()
        ]
    )


def _decode_results(data: bytes) -> _Results:
    return {
        (firm, command_id): fleet_state.StoredResult(*fields)
        for firm, command_id, *fields in msgpack.unpackb(data)
    }


def _to_plain(value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    if dataclasses.is_dataclass(value):
        return {
            field.name: getattr(value, field.name)
            for field in dataclasses.fields(value)
        }
    raise TypeError(f"no encoding for {type(value).__name__}")
