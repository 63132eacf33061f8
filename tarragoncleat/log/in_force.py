"""Which entry has applied what, as last reported."""

from collections.abc import Iterable, Mapping
import dataclasses
import types

from tarragoncleat.kernel import ids
from tarragoncleat.log import replication_messages

__all__ = ["InForce", "InForceTable"]

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """Applied index of an entry and the age of that report in seconds."""

    applied_index: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    applied_index: int
    known_at_s: float


class InForceTable:
    """The newest report of each entry.

    Reports travel with their age instead of a time, because the clocks of two
    entries can't be compared.
    """

    def __init__(self, entry_id: ids.EntryId) -> None:
        """Starts without reports."""
        self._entry_id = entry_id
        self._known: dict[ids.EntryId, _Known] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Raised whenever the applied index of a row changes."""
        return self._version

    def record_own(self, applied_index: int, now_s: float) -> None:
        """Records the state of this entry."""
        self._replace(self._entry_id, _Known(applied_index, now_s))

    def merge(
        self, report: replication_messages.InForceReport, now_s: float
    ) -> None:
        """Takes the rows that are newer than what is known."""
        for row in report.rows:
            if row.entry_id == self._entry_id:
                continue
            known_at_s = now_s - row.age_ms / _MS_PER_S
            old = self._known.get(row.entry_id)
            if old is None or old.known_at_s < known_at_s:
                self._replace(
                    row.entry_id, _Known(row.applied_index, known_at_s)
                )

    def report(
        self, now_s: float, entries: Iterable[ids.EntryId] | None = None
    ) -> replication_messages.InForceReport:
        """Returns the rows of some entries, or of all."""
        chosen = self._known.keys() if entries is None else entries
        rows = tuple(
            replication_messages.ReportRow(
                entry_id,
                self._known[entry_id].applied_index,
                int((now_s - self._known[entry_id].known_at_s) * _MS_PER_S),
            )
            for entry_id in chosen
            if entry_id in self._known
        )
        return replication_messages.InForceReport(rows)

    def view(self, now_s: float) -> Mapping[ids.EntryId, InForce]:
        """Returns the table with the present ages."""
        return types.MappingProxyType(
            {
                entry_id: InForce(known.applied_index, now_s - known.known_at_s)
                for entry_id, known in self._known.items()
            }
        )

    def _replace(self, entry_id: ids.EntryId, known: _Known) -> None:
        old = self._known.get(entry_id)
        if old is None or old.applied_index != known.applied_index:
            self._version += 1
        self._known[entry_id] = known
