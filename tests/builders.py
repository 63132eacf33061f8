"""Builders of test data."""

import pathlib
from typing import Any

from tarragoncleat import ids
from tarragoncleat import settings
from tarragoncleat import upstreams

__all__ = ["build_announcement", "build_settings"]


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


def build_announcement(
    upstream_id: str = "upstream-1",
    availability_zone: str = "fukuoka-a",
    **fields: Any,
) -> upstreams.Announcement:
    """Returns what an upstream of the service "bidding" announces."""
    values = {
        "service": ids.ServiceId("bidding"),
        "host": "127.0.0.1",
        "port": 7001,
        "rack": ids.Rack("rack-1"),
        "slots": 8,
        "connections": 64,
        "lease_ms": 3_000,
    }
    return upstreams.Announcement(
        upstream_id=ids.UpstreamId(upstream_id),
        availability_zone=ids.AvailabilityZone(availability_zone),
        **{**values, **fields},
    )
