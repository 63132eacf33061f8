"""Output of the command line as a table or as JSON."""

from collections.abc import Mapping, Sequence
import json
from typing import Any, Literal, TypeAlias

__all__ = ["Form", "render"]

Form: TypeAlias = Literal["table", "json"]

_MAX_CELL = 48


def render(value: Any, form: Form) -> str:
    """Returns a result as text.

    Args:
        value: A string, which is returned as it is; a list of objects, which
            becomes a table with a line each; or an object.
        form: "table" or "json".
    """
    if isinstance(value, str):
        return value.rstrip("\n")
    if form == "json":
        return json.dumps(value, indent=2)
    if isinstance(value, Mapping):
        return _lines([[name, _cell(item)] for name, item in value.items()])
    if isinstance(value, Sequence):
        return _table(value)
    return _cell(value)


def _table(items: Sequence[Any]) -> str:
    if not items:
        return "(none)"
    names = list(dict.fromkeys(name for item in items for name in item))
    rows = [[_short(_cell(item.get(name))) for name in names] for item in items]
    return _lines([names, *rows])


def _lines(rows: Sequence[Sequence[str]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, str):
        return value
    return json.dumps(value)


def _short(text: str) -> str:
    return text if len(text) <= _MAX_CELL else text[: _MAX_CELL - 3] + "..."
