"""Formats the output of the command line as a table or as JSON."""

from collections.abc import Mapping, Sequence
import json
from typing import Any, Literal, TypeAlias

__all__ = ["OutputFormat", "render"]

OutputFormat: TypeAlias = Literal["table", "json"]

_MAX_CELL_LENGTH = 48


def render(value: Any, output_format: OutputFormat) -> str:
    """Formats a result.

    Args:
        value: A string, which is returned unchanged; a list of objects, which
            becomes a table with one row each; or an object.
        output_format: "table" or "json".
    """
    if isinstance(value, str):
        return value.rstrip("\n")
    if output_format == "json":
        return json.dumps(value, indent=2)
    if isinstance(value, Mapping):
        return _align_columns(
            [[name, _format_cell(item)] for name, item in value.items()]
        )
    if isinstance(value, Sequence):
        return _render_table(value)
    return _format_cell(value)


def _render_table(items: Sequence[Any]) -> str:
    if not items:
        return "(none)"
    names = list(dict.fromkeys(name for item in items for name in item))
    rows = [
        [_truncate(_format_cell(item.get(name))) for name in names]
        for item in items
    ]
    return _align_columns([names, *rows])


def _align_columns(rows: Sequence[Sequence[str]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, str):
        return value
    return json.dumps(value)


def _truncate(text: str) -> str:
    return (
        text
        if len(text) <= _MAX_CELL_LENGTH
        else text[: _MAX_CELL_LENGTH - 3] + "..."
    )
