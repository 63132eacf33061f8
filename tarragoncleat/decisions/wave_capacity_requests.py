"""Requests for instances in pools where waves can't continue without them."""

from collections.abc import Collection, Mapping

from tarragoncleat.decisions import planner
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings

__all__ = ["WaveCapacityRequests"]

# A wave may be blocked for this time, multiplied by the share of the weights
# `buffer` and `moves`, before a spare instance is moved into the pool. Both
# weights favour waiting.
_MAX_DELAY_MS = 300_000


class WaveCapacityRequests:
    """Records since when each pool has lacked instances for a wave."""

    def __init__(self, objectives: settings.ObjectiveSettings) -> None:
        """Computes the delay of a request from the operators' weights."""
        total = objectives.roll_out + objectives.buffer + objectives.moves
        delaying_weights = objectives.buffer + objectives.moves
        share = delaying_weights / total if total else 1.0
        self._delay_ms = share * _MAX_DELAY_MS
        self._since_ms: dict[ids.WaveId, dict[ids.PoolId, int]] = {}
        self._missing_counts: dict[ids.PoolId, int] = {}

    def update(self, step: planner.WaveStep, now_ms: int) -> None:
        """Updates which pools lack instances for a wave."""
        previous = self._since_ms.get(step.wave_id, {})
        self._since_ms[step.wave_id] = {
            item.pool_id: previous.get(item.pool_id, now_ms)
            for item in step.missing_instances
        }
        for item in step.missing_instances:
            self._missing_counts[item.pool_id] = item.count

    def retain_waves(self, wave_ids: Collection[ids.WaveId]) -> None:
        """Drops the waves that are no longer active."""
        for wave_id in self._since_ms.keys() - set(wave_ids):
            del self._since_ms[wave_id]

    def due(self, now_ms: int) -> Mapping[ids.PoolId, int]:
        """Returns how many instances are requested after the delay, by pool."""
        return {
            pool_id: self._missing_counts[pool_id]
            for since_by_pool in self._since_ms.values()
            for pool_id, since_ms in since_by_pool.items()
            if now_ms - since_ms >= self._delay_ms
        }
