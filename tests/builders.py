"""Builders of test data."""

import pathlib
from typing import Any

from tarragoncleat import settings

__all__ = ["build_settings"]


def build_settings(
    entry_id: str = "entry-1",
    availability_zone: str = "fukuoka-a",
    data_folder: pathlib.Path | None = pathlib.Path("data"),
    **sections: Any,
) -> settings.Settings:
    """Returns settings of one entry; `sections` override whole sections."""
    entry = {
        "entry_id": entry_id,
        "availability_zone": availability_zone,
        "region": "kyushu",
        "http_address": "127.0.0.1:8080",
        "peer_address": "127.0.0.1:9080",
        "data_folder": data_folder,
    }
    entry.update(sections.pop("entry", {}))
    return settings.Settings.model_validate({"entry": entry, **sections})
