"""The ledger, which records grants, denials and changes of capacity."""

import collections
from collections.abc import Iterable, Iterator
import dataclasses
import enum
import itertools

from tarragoncleat.kernel import ids
from tarragoncleat.state import profiles

__all__ = ["Entry", "Filter", "Ledger", "LedgerKind", "Page"]

# An entry takes about 0.4 KB of memory; a node has 256 MB in total.
_MAX_ENTRIES = 50_000


class LedgerKind(enum.Enum):
    """What a ledger entry records."""

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
    """A ledger entry; times in milliseconds since the epoch.

    The meaning of `amount` depends on the subject of the entry. For an instance
    it is the signed change of the pool's capacity in service, for a job what
    the job received or was denied, and for a configuration change what the
    service is owed from then on.
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
    """Selects ledger entries. None matches any value.

    Attributes:
        firm: Only entries of this firm.
        service_ids: Only entries of these services.
        since_ms: Only entries at or after this time.
        until_ms: Only entries before this time.
        kinds: Only entries of these kinds.
    """

    firm: ids.FirmId | None = None
    service_ids: frozenset[ids.ServiceId] | None = None
    since_ms: int | None = None
    until_ms: int | None = None
    kinds: frozenset[LedgerKind] | None = None

    def matches(self, entry: Entry) -> bool:
        """Returns whether the filter selects an entry."""
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
    """A page of entries in order of sequence.

    `next_sequence` is the sequence of the next matching entry, None on the last
    page.
    """

    entries: tuple[Entry, ...]
    next_sequence: int | None


class Ledger:
    """A bounded ledger, which drops the oldest entries when it is full."""

    def __init__(self, max_entries: int = _MAX_ENTRIES) -> None:
        """Creates an empty ledger.

        Args:
            max_entries: Maximum number of entries to keep.
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
        """Time from which the ledger is complete; 0 if no entry was dropped."""
        return self._complete_since_ms

    def append(self, entry: Entry) -> None:
        """Adds an entry, whose sequence must be `next_sequence`."""
        entries = self._entries
        if len(entries) == entries.maxlen:
            # More entries of the same millisecond may have been dropped.
            self._complete_since_ms = entries[0].time_ms + 1
        entries.append(entry)
        self._next_sequence = entry.sequence + 1

    def read(
        self, entry_filter: Filter, start: int = 0, limit: int = 1000
    ) -> Page:
        """Returns up to `limit` matching entries, starting at a sequence."""
        matching: list[Entry] = []
        first = self._next_sequence - len(self._entries)
        skipped = max(0, start - first)
        for entry in itertools.islice(self._entries, skipped, None):
            if not entry_filter.matches(entry):
                continue
            if len(matching) == limit:
                return Page(tuple(matching), entry.sequence)
            matching.append(entry)
        return Page(tuple(matching), None)

    def read_range(self, start: int, end: int) -> Iterator[Entry]:
        """Returns the entries with sequences from `start` to before `end`."""
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
        """Replaces the contents with those of a snapshot."""
        self._entries.clear()
        self._entries.extend(entries)
        self._next_sequence = next_sequence
        self._complete_since_ms = complete_since_ms
