"""The upstreams of each service that may receive caller traffic now."""

from collections.abc import Sequence
import dataclasses
import math

from tarragoncleat.kernel import ids
from tarragoncleat.membership import liveness
from tarragoncleat.membership import registry as registry_module
from tarragoncleat.membership import upstreams

__all__ = ["CandidateTable"]

# An upstream renews well before its lease ends; with less than this fraction
# of the lease left, it has missed a renewal and is a suspect.
_SUSPECT_LEASE_FRACTION = 1 / 3
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedCandidates:
    revision: int
    valid_until_s: float
    candidates: tuple[upstreams.Candidate, ...]


class CandidateTable:
    """Cache of the candidates of each service; times are arguments.

    A service's candidates are rebuilt when the service changes, and when a
    lease or the freshness of a zone that they depend on ends.
    """

    def __init__(
        self,
        registry: registry_module.Registry,
        tracker: liveness.LivenessTracker,
    ) -> None:
        """Creates an empty cache over a registry and the liveness of zones."""
        self._registry = registry
        self._liveness = tracker
        self._cached: dict[ids.ServiceId, _CachedCandidates] = {}
        self._suspect_epochs: dict[ids.UpstreamId, int] = {}
        self._probed_leases: dict[ids.UpstreamId, tuple[int, int]] = {}
        self._returned_at_s: dict[ids.UpstreamId, float] = {}

    def get(
        self, service: ids.ServiceId, now_s: float
    ) -> Sequence[upstreams.Candidate]:
        """Returns the candidates of a service."""
        cached = self._cached.get(service)
        if (
            cached is None
            or now_s >= cached.valid_until_s
            or cached.revision != self._registry.revision(service)
        ):
            cached = self._build(service, now_s)
            self._cached[service] = cached
        return cached.candidates

    def invalidate(self) -> None:
        """Drops all cached candidates."""
        self._cached.clear()

    def report_suspect(self, upstream_id: ids.UpstreamId) -> None:
        """Withholds caller traffic after a connection attempt failed."""
        held = self._registry.get(upstream_id)
        if held is None or not held.live:
            return
        self._probed_leases.pop(upstream_id, None)
        self._suspect_epochs[upstream_id] = held.record.epoch
        self._registry.bump_revision(held.record.service)

    def suspects(self, now_s: float) -> list[registry_module.HeldRecord]:
        """Returns the live records to probe, whatever their last result."""
        suspects = []
        for upstream_id in tuple(self._suspect_epochs):
            held = self._registry.get(upstream_id)
            if (
                held is not None
                and held.live
                and self._is_reported_suspect(held)
            ):
                suspects.append(held)
            else:
                del self._suspect_epochs[upstream_id]
        for held in self._registry.zone_records(self._liveness.own_zone):
            is_late = held.live and now_s >= self._suspect_at_s(held)
            if is_late and not self._is_reported_suspect(held):
                suspects.append(held)
        self._prune()
        return suspects

    def record_probe(
        self, held: registry_module.HeldRecord, connected: bool, now_s: float
    ) -> None:
        """Records the result of a probe of a suspect."""
        upstream_id = held.record.upstream_id
        if not connected:
            if self._probed_leases.pop(upstream_id, None) is not None:
                self._registry.bump_revision(held.record.service)
            return
        was_reported = self._suspect_epochs.pop(upstream_id, None) is not None
        if was_reported or not self._is_probed(held):
            self._returned_at_s[upstream_id] = now_s
            self._registry.bump_revision(held.record.service)
        self._probed_leases[upstream_id] = _lease_version(held)

    def record_renewal(
        self, held: registry_module.HeldRecord, was_suspect: bool
    ) -> None:
        """Records a renewal, which makes a late upstream a candidate again."""
        if was_suspect:
            self._registry.bump_revision(held.record.service)

    def has_missed_renewal(
        self, held: registry_module.HeldRecord, now_s: float
    ) -> bool:
        """Whether an upstream has missed a renewal."""
        return held.live and now_s >= self._suspect_at_s(held)

    def _build(self, service: ids.ServiceId, now_s: float) -> _CachedCandidates:
        valid_until_s = math.inf
        candidates = []
        for held in self._registry.live_records(service):
            usable_until_s = self._usable_until_s(held, now_s)
            if usable_until_s > now_s:
                valid_until_s = min(valid_until_s, usable_until_s)
                candidates.append(self._build_candidate(held))
        return _CachedCandidates(
            self._registry.revision(service), valid_until_s, tuple(candidates)
        )

    def _usable_until_s(
        self, held: registry_module.HeldRecord, now_s: float
    ) -> float:
        if self._is_reported_suspect(held):
            return -math.inf
        zone = held.record.availability_zone
        if zone != self._liveness.own_zone:
            return self._liveness.usable_until_s(zone)
        suspect_at_s = self._suspect_at_s(held)
        if now_s >= suspect_at_s and self._is_probed(held):
            return held.deadline_s
        return suspect_at_s

    def _suspect_at_s(self, held: registry_module.HeldRecord) -> float:
        lease_s = held.record.lease_ms / _MS_PER_S
        return held.deadline_s - _SUSPECT_LEASE_FRACTION * lease_s

    def _is_reported_suspect(self, held: registry_module.HeldRecord) -> bool:
        epoch = self._suspect_epochs.get(held.record.upstream_id)
        return epoch == held.record.epoch

    def _is_probed(self, held: registry_module.HeldRecord) -> bool:
        return self._probed_leases.get(
            held.record.upstream_id
        ) == _lease_version(held)

    def _build_candidate(
        self, held: registry_module.HeldRecord
    ) -> upstreams.Candidate:
        record = held.record
        returned_at_s = self._returned_at_s.get(record.upstream_id, -math.inf)
        return upstreams.Candidate(
            upstream_id=record.upstream_id,
            service=record.service,
            host=record.host,
            port=record.port,
            availability_zone=record.availability_zone,
            rack=record.rack,
            slots=record.slots,
            connections=record.connections,
            returned_at_s=max(held.returned_at_s, returned_at_s),
        )

    def _prune(self) -> None:
        for table in (self._probed_leases, self._returned_at_s):
            for upstream_id in tuple(table):
                held = self._registry.get(upstream_id)
                if held is None or not held.live:
                    del table[upstream_id]


def _lease_version(held: registry_module.HeldRecord) -> tuple[int, int]:
    """Identifies a lease; its renewal makes an earlier probe's result void."""
    return held.record.epoch, held.record.renewal
