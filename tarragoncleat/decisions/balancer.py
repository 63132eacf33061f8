"""Moves instances to pools that hold less than their profile owes.

Only instances of the same firm move: first from its spare pools, then from
pools that hold more than they owe and whose availability budget allows it. Each
missing instance costs one move, and no instance moves back without need.
"""

import collections
from collections.abc import Collection, Iterable, Mapping
import dataclasses

from tarragoncleat.decisions import fleet_view
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import budget
from tarragoncleat.state import pools
from tarragoncleat.state import profiles

__all__ = ["Balancer", "Move"]

# A restart takes one or two minutes, a repair hours. Waiting for this time,
# multiplied by the share of the weight `moves`, avoids a move for an instance
# that only restarts.
_MAX_LOSS_WAIT_MS = 120_000

_PRESENT_STATES = frozenset(
    {
        pools.InstanceState.IN_SERVICE,
        pools.InstanceState.DRAINING,
        pools.InstanceState.IN_MAINTENANCE,
        pools.InstanceState.RETURNING,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """An instance that is to move to another pool."""

    instance_id: ids.InstanceId
    from_pool: ids.PoolId
    to_pool: ids.PoolId


@dataclasses.dataclass(slots=True)
class _Shortage:
    pool: fleet_view.PoolView
    profile: profiles.Profile
    present: list[pools.Instance]
    instances: int
    cores: float
    memory_mb: int
    accelerators: int

    def is_covered(self) -> bool:
        return (
            self.instances <= 0
            and self.cores <= 0
            and self.memory_mb <= 0
            and self.accelerators <= 0
        )

    def is_reduced_by(self, instance: pools.Instance) -> bool:
        return (
            self.instances > 0
            or (self.cores > 0 and instance.cores > 0)
            or (self.memory_mb > 0 and instance.memory_mb > 0)
            or (self.accelerators > 0 and instance.accelerators > 0)
        )

    def add(self, instance: pools.Instance) -> None:
        self.present.append(instance)
        self.instances -= 1
        self.cores -= instance.cores
        self.memory_mb -= instance.memory_mb
        self.accelerators -= instance.accelerators


@dataclasses.dataclass(frozen=True, slots=True)
class _PoolSummary:
    """The instances of one pool; kept while the pool doesn't change."""

    pool: fleet_view.PoolView
    staying: tuple[pools.Instance, ...]
    outgoing: tuple[pools.Instance, ...]
    lost: tuple[pools.Instance, ...]


class Balancer:
    """Decides about moves; only the summaries of changed pools are rebuilt."""

    def __init__(self, objectives: settings.ObjectiveSettings) -> None:
        """Creates a balancer with the operators' weights."""
        total = objectives.roll_out + objectives.buffer + objectives.moves
        share = objectives.moves / total if total else 0.0
        self._loss_wait_ms = share * _MAX_LOSS_WAIT_MS
        self._summaries: dict[ids.PoolId, _PoolSummary] = {}

    def balance(
        self,
        view: fleet_view.FleetView,
        now_ms: int,
        lost_since_ms: Mapping[ids.InstanceId, int],
        extra: Mapping[ids.PoolId, int],
    ) -> tuple[Move, ...]:
        """Returns the moves to start now.

        Args:
            view: The fleet.
            now_ms: Time in milliseconds since the epoch.
            lost_since_ms: When each lost instance was first seen as lost. A
                recently lost instance still counts as present, because it may
                only restart.
            extra: Instances requested above what is owed, by pool, for example
                to unblock a wave. They come from spare pools only.
        """
        self._update_summaries(view)
        incoming = self._incoming()
        shortages = []
        for summary in self._summaries.values():
            present = [
                *summary.staying,
                *incoming.get(summary.pool.pool_id, ()),
                *self._recently_lost(summary, now_ms, lost_since_ms),
            ]
            shortage = _shortage(summary.pool, present)
            if shortage is not None:
                shortages.append(shortage)
        if not shortages and not extra:
            return ()
        shortages.sort(key=_shortage_order)
        pools_in_shortage = {item.pool.pool_id for item in shortages}
        surplus = _SurplusInstances(self._summaries, now_ms, pools_in_shortage)
        moves: list[Move] = []
        for shortage in shortages:
            moves.extend(_cover_shortage(shortage, surplus))
        for pool_id, count in extra.items():
            target = self._summaries.get(pool_id)
            if target is not None and target.pool.profile is not None:
                missing = count - len(incoming.get(pool_id, ()))
                moves.extend(_move_spares(target, missing, surplus))
        return tuple(moves)

    def _update_summaries(self, view: fleet_view.FleetView) -> None:
        for pool_id, pool in view.pools.items():
            cached = self._summaries.get(pool_id)
            if cached is None or cached.pool is not pool:
                self._summaries[pool_id] = _summarise_pool(pool)
        for pool_id in self._summaries.keys() - view.pools.keys():
            del self._summaries[pool_id]

    def _incoming(self) -> dict[ids.PoolId, list[pools.Instance]]:
        incoming: dict[ids.PoolId, list[pools.Instance]] = {}
        for summary in self._summaries.values():
            for item in summary.outgoing:
                assert item.moving_to is not None
                incoming.setdefault(item.moving_to, []).append(item)
        return incoming

    def _recently_lost(
        self,
        summary: _PoolSummary,
        now_ms: int,
        lost_since_ms: Mapping[ids.InstanceId, int],
    ) -> list[pools.Instance]:
        return [
            item
            for item in summary.lost
            if now_ms - lost_since_ms.get(item.instance_id, now_ms)
            < self._loss_wait_ms
        ]


def _summarise_pool(pool: fleet_view.PoolView) -> _PoolSummary:
    present = [item for item in pool.instances if item.state in _PRESENT_STATES]
    return _PoolSummary(
        pool,
        tuple(item for item in present if item.moving_to is None),
        tuple(item for item in present if item.moving_to is not None),
        tuple(
            item
            for item in pool.instances
            if item.state is pools.InstanceState.LOST
        ),
    )


def _shortage(
    pool: fleet_view.PoolView, present: Collection[pools.Instance]
) -> _Shortage | None:
    profile = pool.profile
    if profile is None:
        return None
    owed = profile.owed
    shortage = _Shortage(
        pool,
        profile,
        list(present),
        owed.instances - len(present),
        owed.cores - sum(item.cores for item in present),
        owed.memory_mb - sum(item.memory_mb for item in present),
        owed.accelerators - sum(item.accelerators for item in present),
    )
    return None if shortage.is_covered() else shortage


def _shortage_order(shortage: _Shortage) -> tuple:
    return (
        shortage.profile.standing.rank,
        -shortage.instances / max(1, shortage.profile.owed.instances),
        shortage.pool.pool_id,
    )


def _cover_shortage(
    shortage: _Shortage, surplus: "_SurplusInstances"
) -> Iterable[Move]:
    target = shortage.pool
    while not shortage.is_covered():
        chosen = surplus.reserve_best(target, shortage.present, shortage)
        if chosen is None:
            return
        shortage.add(chosen)
        yield Move(chosen.instance_id, chosen.pool_id, target.pool_id)


def _move_spares(
    target: _PoolSummary, missing: int, surplus: "_SurplusInstances"
) -> Iterable[Move]:
    present = list(target.staying)
    for _ in range(missing):
        chosen = surplus.reserve_best(target.pool, present, None)
        if chosen is None:
            return
        present.append(chosen)
        yield Move(chosen.instance_id, chosen.pool_id, target.pool.pool_id)


class _SurplusInstances:
    """Instances that other pools can spare, by firm."""

    def __init__(
        self,
        summaries: Mapping[ids.PoolId, _PoolSummary],
        now_ms: int,
        pools_in_shortage: Collection[ids.PoolId],
    ) -> None:
        self._now_ms = now_ms
        self._reserved: dict[ids.PoolId, list[ids.InstanceId]]
        self._reserved = collections.defaultdict(list)
        self._pools: dict[ids.FirmId, list[_PoolSummary]] = {}
        for summary in summaries.values():
            if summary.pool.pool_id not in pools_in_shortage:
                firm = summary.pool.pool.firm
                self._pools.setdefault(firm, []).append(summary)

    def reserve_best(
        self,
        target: fleet_view.PoolView,
        present: Collection[pools.Instance],
        shortage: _Shortage | None,
    ) -> pools.Instance | None:
        """Reserves and returns the best instance for the target pool.

        Without a shortage only spare pools are considered.
        """
        zones = collections.Counter(i.availability_zone for i in present)
        racks = collections.Counter(_rack(i) for i in present)
        ranked = []
        for source in self._pools.get(target.pool.firm, ()):
            if source.pool is target or not self._has_surplus(source):
                continue
            if shortage is None and source.pool.profile is not None:
                continue
            for item in self._candidates(source, target, shortage):
                order = (
                    source.pool.profile is not None,
                    source.pool.job_count(item.instance_id),
                    zones[item.availability_zone],
                    racks[_rack(item)],
                    item.instance_id,
                )
                ranked.append((order, source, item))
        ranked.sort(key=lambda candidate: candidate[0])
        for _, source, item in ranked:
            if self._can_release(source, item):
                self._reserved[item.pool_id].append(item.instance_id)
                return item
        return None

    def _has_surplus(self, source: _PoolSummary) -> bool:
        profile = source.pool.profile
        reserved = len(self._reserved[source.pool.pool_id])
        remaining = len(source.staying) - reserved
        return remaining > (0 if profile is None else profile.owed.instances)

    def _candidates(
        self,
        source: _PoolSummary,
        target: fleet_view.PoolView,
        shortage: _Shortage | None,
    ) -> Iterable[pools.Instance]:
        assert target.profile is not None
        zones = target.profile.placement.availability_zones
        reserved = self._reserved[source.pool.pool_id]
        for item in source.staying:
            if item.instance_id in reserved or not _can_move(item):
                continue
            if zones and item.availability_zone not in zones:
                continue
            if shortage is None or shortage.is_reduced_by(item):
                yield item

    def _can_release(self, source: _PoolSummary, item: pools.Instance) -> bool:
        """Returns whether a pool keeps what it owes without this instance.

        The budget check also keeps the pool's failure reserve.
        """
        profile = source.pool.profile
        if profile is None:
            return source.pool.pool.service_id is None
        released = {*self._reserved[source.pool.pool_id], item.instance_id}
        remaining = [i for i in source.staying if i.instance_id not in released]
        if _shortage(source.pool, remaining) is not None:
            return False
        members = source.pool.instances
        return (
            budget.check_drain(profile, members, released, self._now_ms) is None
        )


def _rack(instance: pools.Instance) -> tuple[str, str]:
    return instance.availability_zone, instance.rack


def _can_move(item: pools.Instance) -> bool:
    return (
        item.state is pools.InstanceState.IN_SERVICE
        and item.moving_to is None
        and item.wave_id is None
    )
