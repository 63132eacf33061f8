"""Moves instances to pools that hold less than their profile owes.

Only instances of the same firm move: first from its spare pools, then from
pools that hold more than they owe and whose availability budget has room. Each
missing instance costs one move, and nothing moves back without need.
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

# A restart takes one or two minutes, a repair hours. Waiting this long, times
# the share of the weight `moves`, avoids a move for a restarted instance.
_MAX_PATIENCE_MS = 120_000

_PRESENT = frozenset(
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

    def is_met(self) -> bool:
        return (
            self.instances <= 0
            and self.cores <= 0
            and self.memory_mb <= 0
            and self.accelerators <= 0
        )

    def is_eased_by(self, instance: pools.Instance) -> bool:
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
class _Summary:
    """What one pool holds; kept while the pool doesn't change."""

    pool: fleet_view.PoolView
    staying: tuple[pools.Instance, ...]
    leaving: tuple[pools.Instance, ...]
    lost: tuple[pools.Instance, ...]


class Balancer:
    """Decides about moves; only changed pools are summed up again."""

    def __init__(self, objectives: settings.ObjectiveSettings) -> None:
        """Creates a balancer with the operators' weights."""
        total = objectives.roll_out + objectives.buffer + objectives.moves
        share = objectives.moves / total if total else 0.0
        self._patience_ms = share * _MAX_PATIENCE_MS
        self._summaries: dict[ids.PoolId, _Summary] = {}

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
            lost_since_ms: When each lost instance was first seen lost. A short
                loss is waited out, because a restarted instance comes back.
            extra: Instances wanted above what is owed, by pool, for example
                to give a blocked wave room. They come from spare pools only.
        """
        self._summarise(view)
        incoming = self._incoming()
        shortages = []
        for summary in self._summaries.values():
            present = [
                *summary.staying,
                *incoming.get(summary.pool.pool_id, ()),
                *self._expected(summary, now_ms, lost_since_ms),
            ]
            shortage = _shortage(summary.pool, present)
            if shortage is not None:
                shortages.append(shortage)
        if not shortages and not extra:
            return ()
        shortages.sort(key=_urgency)
        short = {item.pool.pool_id for item in shortages}
        givers = _Givers(self._summaries, now_ms, short)
        moves: list[Move] = []
        for shortage in shortages:
            moves.extend(_fill(shortage, givers))
        for pool_id, count in extra.items():
            found = self._summaries.get(pool_id)
            if found is not None and found.pool.profile is not None:
                wanted = count - len(incoming.get(pool_id, ()))
                moves.extend(_give_spares(found, wanted, givers))
        return tuple(moves)

    def _summarise(self, view: fleet_view.FleetView) -> None:
        for pool_id, pool in view.pools.items():
            known = self._summaries.get(pool_id)
            if known is None or known.pool is not pool:
                self._summaries[pool_id] = _summary(pool)
        for pool_id in self._summaries.keys() - view.pools.keys():
            del self._summaries[pool_id]

    def _incoming(self) -> dict[ids.PoolId, list[pools.Instance]]:
        found: dict[ids.PoolId, list[pools.Instance]] = {}
        for summary in self._summaries.values():
            for item in summary.leaving:
                assert item.moving_to is not None
                found.setdefault(item.moving_to, []).append(item)
        return found

    def _expected(
        self,
        summary: _Summary,
        now_ms: int,
        lost_since_ms: Mapping[ids.InstanceId, int],
    ) -> list[pools.Instance]:
        return [
            item
            for item in summary.lost
            if now_ms - lost_since_ms.get(item.instance_id, now_ms)
            < self._patience_ms
        ]


def _summary(pool: fleet_view.PoolView) -> _Summary:
    present = [item for item in pool.instances if item.state in _PRESENT]
    return _Summary(
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
    return None if shortage.is_met() else shortage


def _urgency(shortage: _Shortage) -> tuple:
    return (
        shortage.profile.standing.rank,
        -shortage.instances / max(1, shortage.profile.owed.instances),
        shortage.pool.pool_id,
    )


def _fill(shortage: _Shortage, givers: "_Givers") -> Iterable[Move]:
    receiver = shortage.pool
    while not shortage.is_met():
        chosen = givers.take(receiver, shortage.present, shortage)
        if chosen is None:
            return
        shortage.add(chosen)
        yield Move(chosen.instance_id, chosen.pool_id, receiver.pool_id)


def _give_spares(
    receiver: _Summary, wanted: int, givers: "_Givers"
) -> Iterable[Move]:
    present = list(receiver.staying)
    for _ in range(wanted):
        chosen = givers.take(receiver.pool, present, None)
        if chosen is None:
            return
        present.append(chosen)
        yield Move(chosen.instance_id, chosen.pool_id, receiver.pool.pool_id)


class _Givers:
    """Instances that other pools can give, by firm."""

    def __init__(
        self,
        summaries: Mapping[ids.PoolId, _Summary],
        now_ms: int,
        short: Collection[ids.PoolId],
    ) -> None:
        self._now_ms = now_ms
        self._taken: dict[ids.PoolId, list[ids.InstanceId]]
        self._taken = collections.defaultdict(list)
        self._pools: dict[ids.FirmId, list[_Summary]] = {}
        for summary in summaries.values():
            if summary.pool.pool_id not in short:
                firm = summary.pool.pool.firm
                self._pools.setdefault(firm, []).append(summary)

    def take(
        self,
        receiver: fleet_view.PoolView,
        present: Collection[pools.Instance],
        shortage: _Shortage | None,
    ) -> pools.Instance | None:
        """Returns the best instance for the receiver and marks it as taken.

        Without a shortage only spare pools give.
        """
        zones = collections.Counter(i.availability_zone for i in present)
        racks = collections.Counter(_rack(i) for i in present)
        ranked = []
        for giver in self._pools.get(receiver.pool.firm, ()):
            if giver.pool is receiver or not self._has_surplus(giver):
                continue
            if shortage is None and giver.pool.profile is not None:
                continue
            for item in self._candidates(giver, receiver, shortage):
                order = (
                    giver.pool.profile is not None,
                    giver.pool.job_count(item.instance_id),
                    zones[item.availability_zone],
                    racks[_rack(item)],
                    item.instance_id,
                )
                ranked.append((order, giver, item))
        ranked.sort(key=lambda entry: entry[0])
        for _, giver, item in ranked:
            if self._may_give(giver, item):
                self._taken[item.pool_id].append(item.instance_id)
                return item
        return None

    def _has_surplus(self, giver: _Summary) -> bool:
        profile = giver.pool.profile
        taken = len(self._taken[giver.pool.pool_id])
        left = len(giver.staying) - taken
        return left > (0 if profile is None else profile.owed.instances)

    def _candidates(
        self,
        giver: _Summary,
        receiver: fleet_view.PoolView,
        shortage: _Shortage | None,
    ) -> Iterable[pools.Instance]:
        assert receiver.profile is not None
        zones = receiver.profile.placement.availability_zones
        taken = self._taken[giver.pool.pool_id]
        for item in giver.staying:
            if item.instance_id in taken or not _can_move(item):
                continue
            if zones and item.availability_zone not in zones:
                continue
            if shortage is None or shortage.is_eased_by(item):
                yield item

    def _may_give(self, giver: _Summary, item: pools.Instance) -> bool:
        """Tells whether a pool keeps what it owes without one more instance.

        The budget check also keeps the giver's failure reserve.
        """
        profile = giver.pool.profile
        if profile is None:
            return giver.pool.pool.service_id is None
        gone = {*self._taken[giver.pool.pool_id], item.instance_id}
        left = [i for i in giver.staying if i.instance_id not in gone]
        if _shortage(giver.pool, left) is not None:
            return False
        members = giver.pool.instances
        return budget.check_drain(profile, members, gone, self._now_ms) is None


def _rack(instance: pools.Instance) -> tuple[str, str]:
    return instance.availability_zone, instance.rack


def _can_move(item: pools.Instance) -> bool:
    return (
        item.state is pools.InstanceState.IN_SERVICE
        and item.moving_to is None
        and item.wave_id is None
    )
