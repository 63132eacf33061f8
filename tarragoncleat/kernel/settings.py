"""The settings of an entry, read from TOML and validated by pydantic."""

import enum
import ipaddress
import pathlib
import tomllib
from typing import Annotated, Any, NewType

import pydantic

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids

__all__ = [
    "Address",
    "AuthSettings",
    "CallerLimits",
    "ClaimSettings",
    "ConsensusSettings",
    "ControllerSettings",
    "EntrySettings",
    "LogSettings",
    "MembershipSettings",
    "ObjectiveSettings",
    "Peer",
    "Role",
    "RoutingSettings",
    "Settings",
    "StopSettings",
    "TlsSettings",
    "Token",
    "host_and_port",
    "load",
]

Address = NewType("Address", str)

_MAX_PORT = 65_535
_SHA256_PATTERN = "^[0-9a-f]{64}$"
_ID_PATTERN = "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"


class Role(enum.Enum):
    """Permissions of a token."""

    OPERATOR = "operator"
    SERVICE = "service"
    AUDITOR = "auditor"
    CALLER = "caller"
    UPSTREAM = "upstream"


def host_and_port(address: str) -> tuple[str, int]:
    """Splits "IP:PORT".

    Raises:
        ValueError: The host is not an IP address or the port is out of range.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError("must be IP:PORT")
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"port must be 1 to {_MAX_PORT}")
    ipaddress.ip_address(host.strip("[]"))
    return host.strip("[]"), int(port)


def _check_address(address: str) -> str:
    host_and_port(address)
    return address


_AddressField = Annotated[str, pydantic.AfterValidator(_check_address)]
_IdField = Annotated[str, pydantic.Field(pattern=_ID_PATTERN)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class EntrySettings(_Section):
    """Identity, addresses and folders of this entry.

    With a `data_folder` the entry is a replica, without one a learner.
    """

    entry_id: _IdField
    availability_zone: _IdField
    region: _IdField
    http_address: _AddressField
    peer_address: _AddressField
    data_folder: pathlib.Path | None = None
    dump_folder: pathlib.Path | None = None


class Peer(_Section):
    """Another entry; `address` is the one that this entry connects to."""

    entry_id: _IdField
    availability_zone: _IdField
    address: _AddressField
    replica: bool = False


class ConsensusSettings(_Section):
    """Timing and snapshots of the replicated log.

    Followers that answer callers from their own state need `announce_commits`.
    """

    heartbeat_ms: int = pydantic.Field(100, ge=10, le=5_000)
    election_timeout_min_ms: int = pydantic.Field(500, ge=50, le=30_000)
    election_timeout_max_ms: int = pydantic.Field(1_000, ge=100, le=60_000)
    snapshot_every_records: int = pydantic.Field(2_000, ge=10, le=1_000_000)
    propose_timeout_ms: int = pydantic.Field(3_000, ge=100, le=60_000)
    announce_commits: bool = True

    @pydantic.model_validator(mode="after")
    def _check_times(self) -> "ConsensusSettings":
        if self.election_timeout_min_ms < 3 * self.heartbeat_ms:
            raise ValueError(
                "election_timeout_min_ms must be at least 3 times heartbeat_ms"
            )
        if self.election_timeout_max_ms <= self.election_timeout_min_ms:
            raise ValueError(
                "election_timeout_max_ms must exceed election_timeout_min_ms"
            )
        return self


class MembershipSettings(_Section):
    """Registry of upstreams and failure detection of entries."""

    heartbeat_ms: int = pydantic.Field(200, ge=20, le=1_000)
    zone_freshness_ms: int = pydantic.Field(1_500, ge=100, le=1_800)
    leave_ack_timeout_ms: int = pydantic.Field(500, ge=50, le=1_500)
    min_lease_ms: int = pydantic.Field(500, ge=100, le=60_000)
    max_lease_ms: int = pydantic.Field(30_000, ge=1_000, le=600_000)
    probe_interval_ms: int = pydantic.Field(500, ge=50, le=10_000)


class RoutingSettings(_Section):
    """Upstream selection, queues and retries.

    `max_in_flight` and `max_queued` are limits of the whole entry;
    `queue_length` limits the queued requests of one service.
    """

    zone_spill_load: float = pydantic.Field(0.8, gt=0, le=1)
    eject_after_failures: int = pydantic.Field(3, ge=1, le=100)
    eject_min_ms: int = pydantic.Field(1_000, ge=10, le=600_000)
    eject_max_ms: int = pydantic.Field(60_000, ge=10, le=3_600_000)
    slow_start_ms: int = pydantic.Field(5_000, ge=0, le=600_000)
    max_in_flight: int = pydantic.Field(512, ge=1, le=100_000)
    max_queued: int = pydantic.Field(1_024, ge=0, le=1_000_000)
    queue_length: int = pydantic.Field(256, ge=0, le=100_000)
    queue_timeout_ms: int = pydantic.Field(1_000, ge=1, le=60_000)
    default_deadline_ms: int = pydantic.Field(30_000, ge=1, le=3_600_000)
    connect_timeout_ms: int = pydantic.Field(500, ge=10, le=60_000)
    retry_fraction: float = pydantic.Field(0.1, ge=0, le=1)
    retry_floor_per_s: float = pydantic.Field(1.0, ge=0, le=1_000)
    idle_connection_ms: int = pydantic.Field(3_000, ge=1, le=600_000)
    fresh_connection_ms: int = pydantic.Field(500, ge=0, le=600_000)
    replay_body_bytes: int = pydantic.Field(65_536, ge=0, le=16_777_216)


class ClaimSettings(_Section):
    """Claims of idempotency keys."""

    retention_s: int = pydantic.Field(7_200, ge=1, le=604_800)
    max_entries: int = pydantic.Field(200_000, ge=1, le=10_000_000)
    batch_interval_ms: int = pydantic.Field(2, ge=0, le=1_000)
    timeout_ms: int = pydantic.Field(1_500, ge=10, le=60_000)
    stored_answers: int = pydantic.Field(2_000, ge=0, le=1_000_000)
    stored_answer_bytes: int = pydantic.Field(16_384, ge=0, le=1_048_576)


class CallerLimits(_Section):
    """Protection against slow or hostile callers.

    `max_header_bytes` also limits trailers and what precedes a request.
    `max_held_bytes` and `max_connections` are limits of the whole process.
    """

    max_header_bytes: int = pydantic.Field(32_768, ge=1_024, le=1_048_576)
    header_timeout_ms: int = pydantic.Field(5_000, ge=10, le=600_000)
    max_body_bytes: int = pydantic.Field(16_777_216, ge=0, le=2**40)
    body_idle_timeout_ms: int = pydantic.Field(10_000, ge=10, le=600_000)
    answer_timeout_ms: int = pydantic.Field(15_000, ge=10, le=600_000)
    max_held_bytes: int = pydantic.Field(67_108_864, ge=1_048_576, le=2**40)
    max_connections_per_caller: int = pydantic.Field(256, ge=1, le=100_000)
    max_connections: int = pydantic.Field(4_096, ge=1, le=1_000_000)


class ControllerSettings(_Section):
    """The control loop of the leader for workers, waves and jobs."""

    enabled: bool = True
    interval_ms: int = pydantic.Field(500, ge=20, le=60_000)
    lease_ms: int = pydantic.Field(3_000, ge=200, le=600_000)
    lease_margin_ms: int = pydantic.Field(500, ge=10, le=60_000)
    call_timeout_ms: int = pydantic.Field(1_000, ge=10, le=60_000)
    parallel_calls: int = pydantic.Field(64, ge=1, le=4_096)
    quarantine_after: int = pydantic.Field(3, ge=1, le=100)
    quarantine_fraction: float = pydantic.Field(0.25, ge=0, le=1)
    drain_timeout_ms: int = pydantic.Field(60_000, ge=100, le=86_400_000)


class ObjectiveSettings(_Section):
    """Weights of the planning objectives; only their ratios matter."""

    roll_out: float = pydantic.Field(1.0, ge=0)
    buffer: float = pydantic.Field(1.0, ge=0)
    moves: float = pydantic.Field(1.0, ge=0)


class StopSettings(_Section):
    """Graceful shutdown."""

    balancer_notice_ms: int = pydantic.Field(1_000, ge=0, le=600_000)
    in_flight_limit_ms: int = pydantic.Field(30_000, ge=0, le=3_600_000)


class Token(_Section):
    """A bearer token, stored as the SHA-256 hash in hex.

    An empty `services` list allows every service of the firm; `firm = "*"`
    allows every firm.
    """

    sha256: str = pydantic.Field(pattern=_SHA256_PATTERN)
    name: _IdField
    role: Role
    firm: str
    services: tuple[str, ...] = ()


class AuthSettings(_Section):
    """Whether bearer tokens are required, and the valid ones."""

    required: bool = False
    tokens: tuple[Token, ...] = ()


class TlsSettings(_Section):
    """TLS of the HTTP listener; changed files are reloaded."""

    certificate_file: pathlib.Path
    key_file: pathlib.Path
    reload_interval_s: float = pydantic.Field(10.0, ge=0.1, le=86_400)


class LogSettings(_Section):
    """Log output."""

    level: str = pydantic.Field(
        "INFO", pattern="^(TRACE|DEBUG|INFO|WARNING|ERROR)$"
    )
    json_lines: bool = False


class Settings(_Section):
    """All settings of an entry."""

    entry: EntrySettings
    peers: tuple[Peer, ...] = ()
    consensus: ConsensusSettings = ConsensusSettings()
    membership: MembershipSettings = MembershipSettings()
    routing: RoutingSettings = RoutingSettings()
    claims: ClaimSettings = ClaimSettings()
    callers: CallerLimits = CallerLimits()
    controller: ControllerSettings = ControllerSettings()
    objectives: ObjectiveSettings = ObjectiveSettings()
    stop: StopSettings = StopSettings()
    auth: AuthSettings = AuthSettings()
    tls: TlsSettings | None = None
    log: LogSettings = LogSettings()

    @property
    def entry_id(self) -> ids.EntryId:
        """Id of this entry."""
        return ids.EntryId(self.entry.entry_id)

    @property
    def availability_zone(self) -> ids.AvailabilityZone:
        """Availability zone of this entry."""
        return ids.AvailabilityZone(self.entry.availability_zone)

    @property
    def replica_ids(self) -> tuple[ids.EntryId, ...]:
        """Ids of the replicas of the log, sorted."""
        replicas = [peer.entry_id for peer in self.peers if peer.replica]
        if self.entry.data_folder is not None:
            replicas.append(self.entry.entry_id)
        return tuple(ids.EntryId(name) for name in sorted(replicas))

    @property
    def zone_by_entry(self) -> dict[ids.EntryId, ids.AvailabilityZone]:
        """Availability zone of every entry, including this one."""
        zones = {
            ids.EntryId(peer.entry_id): ids.AvailabilityZone(
                peer.availability_zone
            )
            for peer in self.peers
        }
        zones[self.entry_id] = self.availability_zone
        return zones

    @pydantic.model_validator(mode="after")
    def _check_entries(self) -> "Settings":
        names = [peer.entry_id for peer in self.peers]
        names.append(self.entry.entry_id)
        if len(set(names)) != len(names):
            raise ValueError("peers: every entry_id must be unique")
        if not self.replica_ids:
            raise ValueError(
                "peers: at least one entry must be a replica "
                "(a peer with replica = true or an own data_folder)"
            )
        return self


def load(path: pathlib.Path) -> Settings | errors.Failure:
    """Reads and validates a settings file.

    Relative paths in it are relative to the folder of the file.

    Returns:
        The settings, or a `Failure` of kind SETTINGS that names the file, the
        key and the allowed values.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return errors.Failure(errors.ErrorKind.SETTINGS, f"{path}: {error}")
    try:
        parsed = Settings.model_validate(values)
    except pydantic.ValidationError as error:
        return errors.Failure(
            errors.ErrorKind.SETTINGS, _format_error(path, error)
        )
    return _resolve_paths(parsed, path.parent)


def _format_error(path: pathlib.Path, error: pydantic.ValidationError) -> str:
    lines = []
    for item in error.errors():
        key = ".".join(str(part) for part in item["loc"]) or "settings"
        lines.append(f"{path}: {key}: {item['msg']}")
    return "\n".join(lines)


def _resolve_paths(parsed: Settings, folder: pathlib.Path) -> Settings:
    entry_changes: dict[str, Any] = {}
    for name in ("data_folder", "dump_folder"):
        value = getattr(parsed.entry, name)
        if value is not None:
            entry_changes[name] = folder / value
    changes: dict[str, Any] = {
        "entry": parsed.entry.model_copy(update=entry_changes)
    }
    if parsed.tls is not None:
        changes["tls"] = parsed.tls.model_copy(
            update={
                "certificate_file": folder / parsed.tls.certificate_file,
                "key_file": folder / parsed.tls.key_file,
            }
        )
    return parsed.model_copy(update=changes)
