"""Pools in which a wave can't go on without another instance."""

from collections.abc import Collection, Mapping

from tarragoncleat.decisions import planner
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings

__all__ = ["StuckPools"]

# How long a wave may be stuck before a spare instance is moved in, times the
# share of the weights buffer and moves: both speak against it.
_MAX_PATIENCE_MS = 300_000


class StuckPools:
    """Remembers since when pools have been stuck."""

    def __init__(self, objectives: settings.ObjectiveSettings) -> None:
        """Works out the patience from the operators' weights."""
        total = objectives.roll_out + objectives.buffer + objectives.moves
        against = objectives.buffer + objectives.moves
        share = against / total if total else 1.0
        self._patience_ms = share * _MAX_PATIENCE_MS
        self._since_ms: dict[ids.WaveId, dict[ids.PoolId, int]] = {}
        self._wanted: dict[ids.PoolId, int] = {}

    def note(self, step: planner.WaveStep, now_ms: int) -> None:
        """Takes over which pools a wave is stuck in."""
        known = self._since_ms.get(step.wave_id, {})
        self._since_ms[step.wave_id] = {
            item.pool_id: known.get(item.pool_id, now_ms)
            for item in step.wanted
        }
        for item in step.wanted:
            self._wanted[item.pool_id] = item.count

    def keep_only(self, wave_ids: Collection[ids.WaveId]) -> None:
        """Drops waves that don't step any more."""
        for wave_id in self._since_ms.keys() - set(wave_ids):
            del self._since_ms[wave_id]

    def wanted(self, now_ms: int) -> Mapping[ids.PoolId, int]:
        """Returns how many more instances are wanted, by pool."""
        return {
            pool_id: self._wanted[pool_id]
            for pools in self._since_ms.values()
            for pool_id, since_ms in pools.items()
            if now_ms - since_ms >= self._patience_ms
        }
