"""Messages by which entries exchange the registry of upstreams."""

import dataclasses

from tarragoncleat import codec
from tarragoncleat import ids
from tarragoncleat import upstreams

__all__ = [
    "FindUpstream",
    "FoundUpstream",
    "Heartbeat",
    "LeaveAck",
    "LeaveNotice",
    "RegistryPage",
    "RegistryPull",
    "Renewal",
    "Renewals",
    "UpstreamUpdate",
    "ZoneLoad",
    "ZoneReport",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReport:
    """What a relay knows about another availability zone.

    Attributes:
        heard_age_ms: Time since it heard from an entry of the zone.
        vouched_age_ms: Time since the zone last confirmed the relay's copy of
            its records.
        digest: Digest of the relay's copy.
        live_entries: Live entries of the zone.
    """

    heard_age_ms: int
    vouched_age_ms: int
    digest: int
    live_entries: int


@codec.message("heartbeat")
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent at every heartbeat interval.

    Attributes:
        entry_id: Sender.
        digest: Digest of the live records of the sender's zone.
        live_entries: Live entries of the sender's zone.
        full: Whether `in_flight` replaces what was reported before; otherwise
            it holds changes.
        in_flight: Requests in flight by upstream, of the sender; from one
            zone's relay to another's, of the sender's whole zone.
        applied_index: Log index that the sender has applied.
        configuration_revision: Configuration in force at the sender.
        zones: Other zones, in a relay's heartbeat to its own zone.
    """

    entry_id: ids.EntryId
    digest: int
    live_entries: int
    full: bool
    in_flight: dict[ids.UpstreamId, int]
    applied_index: int
    configuration_revision: int
    zones: dict[ids.AvailabilityZone, ZoneReport]


@codec.message("zone_load")
@dataclasses.dataclass(frozen=True, slots=True)
class ZoneLoad:
    """Another zone's in-flight requests, passed on by a relay."""

    availability_zone: ids.AvailabilityZone
    full: bool
    in_flight: dict[ids.UpstreamId, int]


@codec.message("upstream_update")
@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUpdate:
    """Records that changed."""

    copies: tuple[upstreams.Copy, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """A renewed lease of a record that the receiver knows.

    Attributes:
        identity: Hash of id, epoch and content of the renewed record.
    """

    upstream_id: ids.UpstreamId
    identity: int
    renewal: int
    lease_ms: int
    remaining_ms: int


@codec.message("renewals")
@dataclasses.dataclass(frozen=True, slots=True)
class Renewals:
    """The renewals of one heartbeat interval, as tuples of `Renewal` fields."""

    renewals: tuple[tuple[ids.UpstreamId, int, int, int, int], ...]


@codec.message("leave_notice")
@dataclasses.dataclass(frozen=True, slots=True)
class LeaveNotice:
    """An upstream that is leaving; answered by `LeaveAck`."""

    copy: upstreams.Copy


@codec.message("leave_ack")
@dataclasses.dataclass(frozen=True, slots=True)
class LeaveAck:
    """The notice is in the receiver's registry and was passed on."""


@codec.message("registry_pull")
@dataclasses.dataclass(frozen=True, slots=True)
class RegistryPull:
    """Asks for the records of a zone in the buckets whose digests differ."""

    availability_zone: ids.AvailabilityZone
    buckets: tuple[int, ...]
    after: ids.UpstreamId


@codec.message("registry_page")
@dataclasses.dataclass(frozen=True, slots=True)
class RegistryPage:
    """One page of the records asked for, sorted by id."""

    copies: tuple[upstreams.Copy, ...]
    more: bool


@codec.message("find_upstream")
@dataclasses.dataclass(frozen=True, slots=True)
class FindUpstream:
    """Asks for one record."""

    upstream_id: ids.UpstreamId


@codec.message("found_upstream")
@dataclasses.dataclass(frozen=True, slots=True)
class FoundUpstream:
    """The record asked for, None when it is unknown."""

    copy: upstreams.Copy | None
