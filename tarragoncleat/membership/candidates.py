"""The upstreams of each service that may receive caller traffic now."""

from collections.abc import Sequence
import dataclasses
import math

from tarragoncleat.kernel import ids
from tarragoncleat.membership import entry_view
from tarragoncleat.membership import registry as registry_module
from tarragoncleat.membership import upstreams

__all__ = ["CandidateTable"]

# An upstream renews well before its lease ends; past two thirds of the lease
# it has missed a renewal and is suspected.
_SUSPECT_LEASE_LEFT = 1 / 3
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Cached:
    revision: int
    valid_until_s: float
    candidates: tuple[upstreams.Candidate, ...]


class CandidateTable:
    """Cached candidates by service; times are arguments.

    A tuple is built again when the service changes, and when a lease or the
    freshness of a zone that it relies on ends.
    """

    def __init__(
        self,
        registry: registry_module.Registry,
        view: entry_view.EntryView,
    ) -> None:
        """Reads from the registry and the view."""
        self._registry = registry
        self._view = view
        self._cached: dict[ids.ServiceId, _Cached] = {}
        self._reported: dict[ids.UpstreamId, int] = {}
        self._probed: dict[ids.UpstreamId, tuple[int, int]] = {}
        self._returned: dict[ids.UpstreamId, float] = {}

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

    def clear(self) -> None:
        """Builds every tuple again when it is next asked for."""
        self._cached.clear()

    def report_suspect(self, upstream_id: ids.UpstreamId) -> None:
        """Withholds caller traffic after a failed connect."""
        held = self._registry.get(upstream_id)
        if held is None or not held.live:
            return
        self._probed.pop(upstream_id, None)
        self._reported[upstream_id] = held.record.epoch
        self._registry.touch(held.record.service)

    def suspects(self, now_s: float) -> list[registry_module.Held]:
        """Returns the live records to probe, those cleared before included."""
        found = []
        for upstream_id in tuple(self._reported):
            held = self._registry.get(upstream_id)
            if held is not None and held.live and self._is_reported(held):
                found.append(held)
            else:
                del self._reported[upstream_id]
        for held in self._registry.of_zone(self._view.own_zone):
            late = held.live and now_s >= self._suspect_at_s(held)
            if late and not self._is_reported(held):
                found.append(held)
        self._prune()
        return found

    def record_probe(
        self, held: registry_module.Held, connected: bool, now_s: float
    ) -> None:
        """Takes the result of a probe of a suspect."""
        upstream_id = held.record.upstream_id
        if not connected:
            if self._probed.pop(upstream_id, None) is not None:
                self._registry.touch(held.record.service)
            return
        was_reported = self._reported.pop(upstream_id, None) is not None
        if was_reported or not self._is_probed(held):
            self._returned[upstream_id] = now_s
            self._registry.touch(held.record.service)
        self._probed[upstream_id] = _lease_of(held)

    def note_renewal(
        self, held: registry_module.Held, was_suspect: bool
    ) -> None:
        """Makes a suspect that renewed its lease a candidate again."""
        if was_suspect:
            self._registry.touch(held.record.service)

    def is_late(self, held: registry_module.Held, now_s: float) -> bool:
        """Whether an upstream has missed a renewal."""
        return held.live and now_s >= self._suspect_at_s(held)

    def _build(self, service: ids.ServiceId, now_s: float) -> _Cached:
        valid_until_s = math.inf
        candidates = []
        for held in self._registry.of_service(service):
            usable_until_s = self._usable_until_s(held, now_s)
            if usable_until_s > now_s:
                valid_until_s = min(valid_until_s, usable_until_s)
                candidates.append(self._candidate(held))
        return _Cached(
            self._registry.revision(service), valid_until_s, tuple(candidates)
        )

    def _usable_until_s(
        self, held: registry_module.Held, now_s: float
    ) -> float:
        if self._is_reported(held):
            return -math.inf
        zone = held.record.availability_zone
        if zone != self._view.own_zone:
            return self._view.usable_until_s(zone)
        suspect_at_s = self._suspect_at_s(held)
        if now_s >= suspect_at_s and self._is_probed(held):
            return held.deadline_s
        return suspect_at_s

    def _suspect_at_s(self, held: registry_module.Held) -> float:
        lease_s = held.record.lease_ms / _MS_PER_S
        return held.deadline_s - _SUSPECT_LEASE_LEFT * lease_s

    def _is_reported(self, held: registry_module.Held) -> bool:
        epoch = self._reported.get(held.record.upstream_id)
        return epoch == held.record.epoch

    def _is_probed(self, held: registry_module.Held) -> bool:
        return self._probed.get(held.record.upstream_id) == _lease_of(held)

    def _candidate(self, held: registry_module.Held) -> upstreams.Candidate:
        record = held.record
        returned_at_s = self._returned.get(record.upstream_id, -math.inf)
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
        for table in (self._probed, self._returned):
            for upstream_id in tuple(table):
                held = self._registry.get(upstream_id)
                if held is None or not held.live:
                    del table[upstream_id]


def _lease_of(held: registry_module.Held) -> tuple[int, int]:
    """Epoch and renewal: a probe's result holds until the next renewal."""
    return held.record.epoch, held.record.renewal
