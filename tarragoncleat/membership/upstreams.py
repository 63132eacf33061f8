"""Data types of upstreams: announcements, records, candidates."""

import dataclasses
import enum

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import ids

__all__ = [
    "Announcement",
    "Candidate",
    "RecordCopy",
    "UpstreamRecord",
    "UpstreamState",
]


class UpstreamState(enum.Enum):
    """State that an upstream last announced."""

    ANNOUNCED = "announced"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Data that an upstream announces about itself."""

    upstream_id: ids.UpstreamId
    service: ids.ServiceId
    host: str
    port: int
    availability_zone: ids.AvailabilityZone
    rack: ids.Rack
    slots: int
    connections: int
    lease_ms: int


@codec.message("upstream_record")
@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One version of an upstream's record."""

    upstream_id: ids.UpstreamId
    epoch: int
    state: UpstreamState
    renewal: int
    lease_ms: int
    service: ids.ServiceId
    host: str
    port: int
    availability_zone: ids.AvailabilityZone
    rack: ids.Rack
    slots: int
    connections: int

    @property
    def content(self) -> tuple:
        """The fields that an announcement sets, apart from the lease."""
        return (
            self.service,
            self.host,
            self.port,
            self.availability_zone,
            self.rack,
            self.slots,
            self.connections,
        )

    @property
    def version(self) -> tuple:
        """Total order of the versions of one upstream."""
        leaving = self.state is UpstreamState.LEAVING
        return (
            self.epoch,
            leaving,
            self.renewal,
            self.lease_ms,
            self.content,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RecordCopy:
    """A record as entries send it to each other.

    Attributes:
        record: The version.
        remaining_ms: Remaining lease of an announced record; after its expiry,
            the remaining time of its tombstone as a negative number. For a
            leaving record, the remaining time of its tombstone.
    """

    record: UpstreamRecord
    remaining_ms: int

    @property
    def live(self) -> bool:
        """Whether the record is announced and its lease has not expired."""
        announced = self.record.state is UpstreamState.ANNOUNCED
        return announced and self.remaining_ms > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may receive caller traffic now.

    Attributes:
        returned_at_s: Monotonic time at which it last became usable; slow
            start counts from here.
    """

    upstream_id: ids.UpstreamId
    service: ids.ServiceId
    host: str
    port: int
    availability_zone: ids.AvailabilityZone
    rack: ids.Rack
    slots: int
    connections: int
    returned_at_s: float
