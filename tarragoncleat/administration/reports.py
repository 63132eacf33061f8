"""Reports of what a service was granted and denied, and when."""

import collections
from collections.abc import Iterable, Sequence
import dataclasses
import datetime as dt
import html

from tarragoncleat.kernel import ids
from tarragoncleat.state import fleet as fleet_module
from tarragoncleat.state import ledger
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = ["Point", "Report", "build_report", "to_html", "to_markdown"]

_MAX_ENTRIES = 1_000
_MS_PER_S = 1000
# The amount of these entries isn't a change of the granted capacity.
_KINDS_WITHOUT_CHANGE = (
    ledger.LedgerKind.CONFIGURATION,
    ledger.LedgerKind.DENIAL,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """The number of instances in service and owed, from a time on."""

    time_ms: int
    granted: int
    owed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The capacity that a service received; times are in ms since the epoch.

    Attributes:
        service_id: The service.
        profile_id: Its current profile.
        since_ms: Start of the report.
        until_ms: End of the report, exclusive.
        complete_since_ms: Entries before this time may be missing.
        counts: Entries by kind.
        denials: Denials by cause.
        below_owed_ms: Time with fewer instances in service than owed.
        points: Instances granted and owed over time.
        lines: The newest entries, oldest first.
        omitted: Number of older entries that `lines` leaves out.
    """

    service_id: ids.ServiceId
    profile_id: ids.ProfileId
    since_ms: int
    until_ms: int
    complete_since_ms: int
    counts: dict[str, int]
    denials: dict[str, int]
    below_owed_ms: int
    points: tuple[Point, ...]
    lines: tuple[ledger.Entry, ...]
    omitted: int


def build_report(
    fleet: fleet_module.Fleet,
    service_id: ids.ServiceId,
    entry_filter: ledger.Filter,
) -> Report:
    """Builds the report of an existing service.

    Args:
        fleet: The fleet.
        service_id: The service.
        entry_filter: Times, firm and kinds of the entries. The default start
            is the service's first entry, the default end is now.
    """
    full_ledger = fleet.ledger
    entry_filter = dataclasses.replace(
        entry_filter, service_ids=frozenset({service_id})
    )
    entries = full_ledger.read(entry_filter, limit=len(full_ledger) + 1).entries
    until_ms = (
        fleet.time_ms
        if entry_filter.until_ms is None
        else entry_filter.until_ms
    )
    since_ms = entry_filter.since_ms
    if since_ms is None:
        since_ms = min(_first_time_ms(fleet, service_id), until_ms)
    points = _build_points(fleet, service_id, since_ms, until_ms)
    denial_entries = [
        entry for entry in entries if entry.kind is ledger.LedgerKind.DENIAL
    ]
    return Report(
        service_id=service_id,
        profile_id=fleet.services[service_id].profile_id,
        since_ms=since_ms,
        until_ms=until_ms,
        complete_since_ms=full_ledger.complete_since_ms,
        counts=dict(collections.Counter(entry.kind.value for entry in entries)),
        denials=dict(
            collections.Counter(entry.cause for entry in denial_entries)
        ),
        below_owed_ms=_below_owed_ms(points, until_ms),
        points=points,
        lines=entries[-_MAX_ENTRIES:],
        omitted=max(0, len(entries) - _MAX_ENTRIES),
    )


def to_markdown(report: Report) -> str:
    """Returns the report as Markdown."""
    lines = [
        f"# Service {report.service_id}",
        "",
        *(f"- {name}: {value}" for name, value in _summary_rows(report)),
        "",
        "## Entries by kind",
        "",
        *_markdown_table(("kind", "entries"), sorted(report.counts.items())),
        "",
        "## Denied",
        "",
        *_markdown_table(("cause", "times"), _sorted_by_count(report.denials)),
        "",
        "## Granted and owed instances",
        "",
        *_markdown_table(
            ("from", "granted", "owed"),
            (
                (_format_time(item.time_ms), item.granted, item.owed)
                for item in report.points
            ),
        ),
        "",
        "## Entries",
        "",
        *_markdown_table(_ENTRY_COLUMNS, map(_entry_row, report.lines)),
        "",
    ]
    return "\n".join(lines)


def to_html(report: Report) -> str:
    """Returns the report as an HTML page with a plot."""
    title = html.escape(f"Service {report.service_id}")
    summary = "".join(
        f"<li>{html.escape(name)}: {html.escape(str(value))}</li>"
        for name, value in _summary_rows(report)
    )
    return "\n".join(
        (
            "<!DOCTYPE html>",
            '<html lang="en"><head><meta charset="utf-8">',
            f"<title>{title}</title><style>{_STYLE}</style></head><body>",
            f"<h1>{title}</h1><ul>{summary}</ul>",
            "<h2>Granted and owed instances</h2>",
            _svg_plot(report),
            "<h2>Denied</h2>",
            _html_table(("cause", "times"), _sorted_by_count(report.denials)),
            "<h2>Entries by kind</h2>",
            _html_table(("kind", "entries"), sorted(report.counts.items())),
            "<h2>Entries</h2>",
            _html_table(_ENTRY_COLUMNS, map(_entry_row, report.lines)),
            "</body></html>",
            "",
        )
    )


def _first_time_ms(fleet: fleet_module.Fleet, service_id: ids.ServiceId) -> int:
    service_filter = ledger.Filter(service_ids=frozenset({service_id}))
    first_entries = fleet.ledger.read(service_filter, limit=1).entries
    return first_entries[0].time_ms if first_entries else fleet.time_ms


def _build_points(
    fleet: fleet_module.Fleet,
    service_id: ids.ServiceId,
    since_ms: int,
    until_ms: int,
) -> tuple[Point, ...]:
    """Returns the points at which the granted or owed instances change.

    Only the current granted count is known; the signed amounts of the entries
    are subtracted to find the count at the start.
    """
    service = fleet.services[service_id]
    service_filter = ledger.Filter(service_ids=frozenset({service_id}))
    entries = fleet.ledger.read(
        service_filter, limit=len(fleet.ledger) + 1
    ).entries
    granted = sum(
        item.state is pools.InstanceState.IN_SERVICE
        for item in fleet.instances_of(service.pool_id)
    )
    granted -= sum(map(_granted_change, entries))
    owed = fleet.profiles[service.profile_id].owed.instances
    owed = next(iter(_owed_changes(entries)), owed)
    points_by_time: dict[int, Point] = {
        since_ms: Point(since_ms, granted, owed)
    }
    for entry in entries:
        if entry.time_ms >= until_ms:
            break
        granted += _granted_change(entry)
        owed = next(iter(_owed_changes((entry,))), owed)
        time_ms = max(entry.time_ms, since_ms)
        points_by_time[time_ms] = Point(time_ms, granted, owed)
    return tuple(_remove_repeated_points(points_by_time.values()))


def _remove_repeated_points(points: Iterable[Point]) -> list[Point]:
    distinct: list[Point] = []
    for point in points:
        is_repeated = distinct and (
            distinct[-1].granted,
            distinct[-1].owed,
        ) == (
            point.granted,
            point.owed,
        )
        if not is_repeated:
            distinct.append(point)
    return distinct


def _granted_change(entry: ledger.Entry) -> int:
    if entry.job_id is not None or entry.kind in _KINDS_WITHOUT_CHANGE:
        return 0
    return 0 if entry.amount is None else entry.amount.instances


def _owed_changes(entries: Iterable[ledger.Entry]) -> list[int]:
    return [
        entry.amount.instances
        for entry in entries
        if entry.kind is ledger.LedgerKind.CONFIGURATION
        and entry.amount is not None
    ]


def _below_owed_ms(points: Sequence[Point], until_ms: int) -> int:
    ends = [point.time_ms for point in points[1:]] + [until_ms]
    return sum(
        max(0, end_ms - point.time_ms)
        for point, end_ms in zip(points, ends, strict=True)
        if point.granted < point.owed
    )


def _summary_rows(report: Report) -> list[tuple[str, object]]:
    complete = report.complete_since_ms <= report.since_ms
    return [
        ("profile", report.profile_id),
        ("from", _format_time(report.since_ms)),
        ("until", _format_time(report.until_ms)),
        (
            "ledger",
            "complete"
            if complete
            else f"complete from {_format_time(report.complete_since_ms)}",
        ),
        ("time below owed", f"{report.below_owed_ms / _MS_PER_S:g} s"),
        ("entries left out of the list", report.omitted),
    ]


def _sorted_by_count(counts: dict[str, int]) -> list[tuple[str, int]]:
    return sorted(counts.items(), key=lambda item: (-item[1], item[0]))


_ENTRY_COLUMNS = (
    "time",
    "kind",
    "pool",
    "instance",
    "job",
    "wave",
    "amount",
    "cause",
)


def _entry_row(entry: ledger.Entry) -> tuple[object, ...]:
    return (
        _format_time(entry.time_ms),
        entry.kind.value,
        entry.pool_id or "",
        entry.instance_id or "",
        entry.job_id or "",
        entry.wave_id or "",
        _format_amount(entry.amount),
        entry.cause,
    )


def _format_amount(amount: profiles.Capacity | None) -> str:
    if amount is None:
        return ""
    parts = (
        (field.name, getattr(amount, field.name))
        for field in dataclasses.fields(amount)
    )
    return ", ".join(f"{value:g} {name}" for name, value in parts if value)


def _format_time(time_ms: int) -> str:
    moment = dt.datetime.fromtimestamp(time_ms / _MS_PER_S, dt.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _markdown_table(
    column_names: Sequence[str], rows: Iterable[Sequence[object]]
) -> list[str]:
    """Returns a Markdown table; cells are escaped."""
    lines = [
        f"| {' | '.join(column_names)} |",
        f"|{'---|' * len(column_names)}",
    ]
    for row in rows:
        cells = map(_markdown_cell, row)
        lines.append(f"| {' | '.join(cells)} |")
    return lines


def _markdown_cell(value: object) -> str:
    text = str(value).replace("|", "\\|").replace("\n", " ")
    return text.replace("<", "&lt;")


def _html_table(
    column_names: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    head = "".join(f"<th>{html.escape(name)}</th>" for name in column_names)
    body = "\n".join(
        "<tr>"
        + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row)
        + "</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>\n{body}</table>"


_WIDTH, _HEIGHT, _MARGIN = 900, 260, 40
_GRANTED_COLOUR, _OWED_COLOUR = "#1f6f8b", "#c0392b"
_STYLE = (
    "body{font-family:sans-serif;margin:2em}"
    "table{border-collapse:collapse}"
    "td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}"
)


def _svg_plot(report: Report) -> str:
    """Returns an SVG plot of the granted and owed instances over time."""
    max_count = max((max(p.granted, p.owed) for p in report.points), default=0)
    span_ms = max(1, report.until_ms - report.since_ms)

    def x(time_ms: int) -> float:
        fraction = (time_ms - report.since_ms) / span_ms
        return _MARGIN + fraction * (_WIDTH - 2 * _MARGIN)

    def y(count: int) -> float:
        fraction = count / max(1, max_count)
        return _HEIGHT - _MARGIN - fraction * (_HEIGHT - 2 * _MARGIN)

    def path(counts: Sequence[int]) -> str:
        parts: list[str] = []
        for point, count in zip(report.points, counts, strict=True):
            command = "L" if parts else "M"
            if parts:
                parts.append(f"H{x(point.time_ms):.1f}")
            parts.append(f"{command}{x(point.time_ms):.1f} {y(count):.1f}")
        return " ".join([*parts, f"H{x(report.until_ms):.1f}"])

    granted = path([point.granted for point in report.points])
    owed = path([point.owed for point in report.points])
    bottom = _HEIGHT - _MARGIN
    return "\n".join(
        (
            f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" '
            f'height="{_HEIGHT}" role="img" '
            'aria-label="granted and owed instances over time">',
            f'<path d="M{_MARGIN} {_MARGIN} V{bottom} H{_WIDTH - _MARGIN}" '
            'fill="none" stroke="#888"/>',
            _svg_text(4, y(max_count) + 4, str(max_count)),
            _svg_text(4, y(0) + 4, "0"),
            _svg_text(_MARGIN, _HEIGHT - 12, _format_time(report.since_ms)),
            _svg_text(
                _WIDTH - 220, _HEIGHT - 12, _format_time(report.until_ms)
            ),
            _svg_text(_MARGIN + 10, 20, "granted", _GRANTED_COLOUR),
            _svg_text(_MARGIN + 90, 20, "owed", _OWED_COLOUR),
            f'<path d="{granted}" fill="none" stroke="{_GRANTED_COLOUR}" '
            'stroke-width="2"/>',
            f'<path d="{owed}" fill="none" stroke="{_OWED_COLOUR}" '
            'stroke-dasharray="6 4"/>',
            "</svg>",
        )
    )


def _svg_text(x: float, y: float, text: str, colour: str = "#333") -> str:
    return (
        f'<text x="{x:.0f}" y="{y:.0f}" font-size="12" fill="{colour}">'
        f"{html.escape(text)}</text>"
    )
