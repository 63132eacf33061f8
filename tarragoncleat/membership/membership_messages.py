"""Messages by which entries exchange the registry of upstreams."""

import dataclasses
from typing import NamedTuple

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import ids
from tarragoncleat.membership import upstreams

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


class ZoneReport(NamedTuple):
    """A relay's report of another availability zone.

    Attributes:
        contact_age_ms: Time since its last contact with an entry of the zone.
        confirmed_age_ms: Time since the zone last confirmed the relay's copy of
            its records.
        digest: Digest of the relay's copy.
        live_entries: Live entries of the zone.
    """

    contact_age_ms: int
    confirmed_age_ms: int
    digest: int
    live_entries: int


@codec.message("heartbeat", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent at every heartbeat interval.

    Attributes:
        digest: Digest of the live records of the sender's zone.
        live_entries: Live entries of the sender's zone.
        beat: Number of the heartbeat since the start of the sender.
        in_flight: Changed counts of requests in flight by the hash of the
            upstream id, of the sender; from one zone's relay to another's, of
            the sender's whole zone.
        applied_index: Log index that the sender has applied.
        configuration_revision: Configuration in force at the sender.
        zones: Other zones, in a relay's heartbeat to its own zone.
    """

    digest: int
    live_entries: int
    beat: int
    in_flight: dict[int, int]
    applied_index: int
    configuration_revision: int
    zones: dict[ids.AvailabilityZone, ZoneReport]


@codec.message("zone_load", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class ZoneLoad:
    """Another zone's in-flight requests, passed on by a relay.

    Attributes:
        restart: Whether earlier counts of the zone are void.
        in_flight: Changed counts by the hash of the upstream id.
    """

    availability_zone: ids.AvailabilityZone
    restart: bool
    in_flight: dict[int, int]


@codec.message("upstream_update", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUpdate:
    """Records that changed."""

    copies: tuple[upstreams.RecordCopy, ...]


class Renewal(NamedTuple):
    """A renewed lease of a record that the receiver has.

    Attributes:
        identity: Hash of id, epoch and content of the renewed record.
    """

    upstream_id: ids.UpstreamId
    identity: int
    renewal: int
    lease_ms: int
    remaining_ms: int


@codec.message("renewals", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class Renewals:
    """The renewals of one heartbeat interval."""

    renewals: tuple[Renewal, ...]


@codec.message("leave_notice", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class LeaveNotice:
    """An upstream that is leaving; answered by `LeaveAck`."""

    copy: upstreams.RecordCopy


@codec.message("leave_ack", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class LeaveAck:
    """Confirms that the receiver merged and forwarded a leave notice.

    Attributes:
        newer: The receiver's record, if the notice was outdated.
    """

    newer: upstreams.RecordCopy | None


@codec.message("registry_pull", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class RegistryPull:
    """Asks for the records of a zone in the buckets whose digests differ."""

    availability_zone: ids.AvailabilityZone
    buckets: tuple[int, ...]
    after: ids.UpstreamId


@codec.message("registry_page", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class RegistryPage:
    """One page of the requested records, sorted by id."""

    copies: tuple[upstreams.RecordCopy, ...]
    more: bool


@codec.message("find_upstream", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class FindUpstream:
    """Asks for one record."""

    upstream_id: ids.UpstreamId


@codec.message("found_upstream", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class FoundUpstream:
    """The requested record; None when it is unknown."""

    copy: upstreams.RecordCopy | None
