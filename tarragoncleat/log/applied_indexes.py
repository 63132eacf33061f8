"""The applied index of each entry, as last reported."""

from collections.abc import Iterable, Mapping
import dataclasses
import types

from tarragoncleat.kernel import ids
from tarragoncleat.log import replication_messages

__all__ = ["AppliedIndexTable", "ReportedIndex"]

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedIndex:
    """Applied index of an entry and the age of its report in seconds."""

    applied_index: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    applied_index: int
    reported_at_s: float


class AppliedIndexTable:
    """The latest report of each entry.

    Reports are sent with their age instead of a time, because the clocks of
    two entries can't be compared.
    """

    def __init__(self, entry_id: ids.EntryId) -> None:
        """Starts without reports."""
        self._entry_id = entry_id
        self._reports: dict[ids.EntryId, _Report] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Number that increases with each change of an applied index."""
        return self._version

    def record_own(self, applied_index: int, now_s: float) -> None:
        """Stores the applied index of this entry."""
        self._set_report(self._entry_id, _Report(applied_index, now_s))

    def merge(
        self, report: replication_messages.AppliedIndexReport, now_s: float
    ) -> None:
        """Stores the rows that are newer than the stored ones."""
        for row in report.rows:
            if row.entry_id == self._entry_id:
                continue
            reported_at_s = now_s - row.age_ms / _MS_PER_S
            old = self._reports.get(row.entry_id)
            if old is None or old.reported_at_s < reported_at_s:
                self._set_report(
                    row.entry_id, _Report(row.applied_index, reported_at_s)
                )

    def report(
        self, now_s: float, entries: Iterable[ids.EntryId] | None = None
    ) -> replication_messages.AppliedIndexReport:
        """Returns a report about the given entries, or about all."""
        selected = self._reports.keys() if entries is None else entries
        rows = tuple(
            replication_messages.ReportRow(
                entry_id,
                self._reports[entry_id].applied_index,
                int(
                    (now_s - self._reports[entry_id].reported_at_s) * _MS_PER_S
                ),
            )
            for entry_id in selected
            if entry_id in self._reports
        )
        return replication_messages.AppliedIndexReport(rows)

    def view(self, now_s: float) -> Mapping[ids.EntryId, ReportedIndex]:
        """Returns the latest reports with their current ages."""
        return types.MappingProxyType(
            {
                entry_id: ReportedIndex(
                    report.applied_index, now_s - report.reported_at_s
                )
                for entry_id, report in self._reports.items()
            }
        )

    def _set_report(self, entry_id: ids.EntryId, report: _Report) -> None:
        old = self._reports.get(entry_id)
        if old is None or old.applied_index != report.applied_index:
            self._version += 1
        self._reports[entry_id] = report
