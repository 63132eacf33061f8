"""The ledger: who received what and when, and what was denied and why."""

import collections
from collections.abc import Iterable, Iterator
import dataclasses
import enum
import itertools

from tarragoncleat.kernel import ids
from tarragoncleat.state import profiles

__all__ = ["Entry", "Filter", "Ledger", "LedgerKind", "Page"]

# An entry takes about 0.4 KB of memory; a node has 256 MB in all.
_MAX_ENTRIES = 50_000


class LedgerKind(enum.Enum):
    """What an entry records."""

    GRANT = "grant"
    DENIAL = "denial"
    MOVE = "move"
    INTERRUPTION = "interruption"
    WAVE_STEP = "wave_step"
    LOSS = "loss"
    RETURN = "return"
    QUARANTINE = "quarantine"
    CONFIGURATION = "configuration"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One line of the ledger; time in milliseconds since the epoch.

    `amount` of an entry about an instance is the signed change of the pool's
    capacity in service; of a job, what the job received or was denied; of a
    configuration change, what the service is owed from now on.
    """

    sequence: int
    time_ms: int
    kind: LedgerKind
    firm: ids.FirmId
    service_id: ids.ServiceId | None = None
    pool_id: ids.PoolId | None = None
    instance_id: ids.InstanceId | None = None
    job_id: ids.JobId | None = None
    wave_id: ids.WaveId | None = None
    revision: ids.Revision = ids.Revision(0)
    cause: str = ""
    amount: profiles.Capacity | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Which entries to read. None leaves a field open.

    Attributes:
        firm: Only entries of this firm.
        service_ids: Only entries of these services.
        since_ms: First time, inclusive.
        until_ms: Last time, exclusive.
        kinds: Only these kinds.
    """

    firm: ids.FirmId | None = None
    service_ids: frozenset[ids.ServiceId] | None = None
    since_ms: int | None = None
    until_ms: int | None = None
    kinds: frozenset[LedgerKind] | None = None

    def matches(self, entry: Entry) -> bool:
        """Tells whether an entry passes."""
        return (
            (self.firm is None or entry.firm == self.firm)
            and (
                self.service_ids is None or entry.service_id in self.service_ids
            )
            and (self.since_ms is None or entry.time_ms >= self.since_ms)
            and (self.until_ms is None or entry.time_ms < self.until_ms)
            and (self.kinds is None or entry.kind in self.kinds)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Entries in order; `next_sequence` is None at the end."""

    entries: tuple[Entry, ...]
    next_sequence: int | None


class Ledger:
    """The newest entries in order of sequence; older ones are dropped."""

    def __init__(self, max_entries: int = _MAX_ENTRIES) -> None:
        """Creates an empty ledger.

        Args:
            max_entries: Entries that are kept.
        """
        self._entries: collections.deque[Entry] = collections.deque(
            maxlen=max_entries
        )
        self._next_sequence = 1
        self._complete_since_ms = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._entries)

    @property
    def next_sequence(self) -> int:
        """Sequence of the next entry."""
        return self._next_sequence

    @property
    def complete_since_ms(self) -> int:
        """Time from which no entry is missing; 0 if none was dropped."""
        return self._complete_since_ms

    def append(self, entry: Entry) -> None:
        """Adds an entry, whose sequence must be `next_sequence`."""
        entries = self._entries
        if len(entries) == entries.maxlen:
            # Other entries of the same millisecond may be dropped too.
            self._complete_since_ms = entries[0].time_ms + 1
        entries.append(entry)
        self._next_sequence = entry.sequence + 1

    def read(self, wanted: Filter, start: int = 0, limit: int = 1000) -> Page:
        """Returns the matching entries from a sequence on, oldest first."""
        found: list[Entry] = []
        first = self._next_sequence - len(self._entries)
        skip = max(0, start - first)
        for entry in itertools.islice(self._entries, skip, None):
            if not wanted.matches(entry):
                continue
            if len(found) == limit:
                return Page(tuple(found), entry.sequence)
            found.append(entry)
        return Page(tuple(found), None)

    def between(self, start: int, end: int) -> Iterator[Entry]:
        """Returns the entries of a range of sequences, `end` excluded."""
        first = self._next_sequence - len(self._entries)
        return itertools.islice(
            self._entries, max(0, start - first), max(0, end - first)
        )

    def restore(
        self,
        entries: Iterable[Entry],
        next_sequence: int,
        complete_since_ms: int,
    ) -> None:
        """Replaces the content by that of a snapshot."""
        self._entries.clear()
        self._entries.extend(entries)
        self._next_sequence = next_sequence
        self._complete_since_ms = complete_since_ms
