"""Probes of suspected upstreams."""

import anyio
import loguru

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.membership import candidates
from tarragoncleat.membership import registry as registry_module

__all__ = ["Prober"]

_PARALLEL_PROBES = 32


class Prober:
    """Tests whether suspects accept connections."""

    def __init__(
        self,
        timer: timer_module.TimerService,
        registry: registry_module.Registry,
        candidate_table: candidates.CandidateTable,
        interval_s: float,
    ) -> None:
        """Prepares to probe each suspect once per interval."""
        self._timer = timer
        self._registry = registry
        self._candidate_table = candidate_table
        self._interval_s = interval_s
        self._probing: set[ids.UpstreamId] = set()
        self._limit = anyio.CapacityLimiter(_PARALLEL_PROBES)

    async def run(self) -> None:
        """Probes until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for now_s in self._timer.subscribe(self._interval_s):
                for held in self._candidate_table.suspects(now_s):
                    upstream_id = held.record.upstream_id
                    if upstream_id not in self._probing:
                        self._probing.add(upstream_id)
                        tasks.start_soon(self._probe, held)

    async def _probe(self, held: registry_module.HeldRecord) -> None:
        record = held.record
        connected = False
        try:
            async with self._limit:
                with anyio.fail_after(self._interval_s):
                    stream = await anyio.connect_tcp(record.host, record.port)
            await anyio.aclose_forcefully(stream)
            connected = True
        except (OSError, TimeoutError) as error:
            loguru.logger.debug(
                "probe of upstream {} failed: {}", record.upstream_id, error
            )
        finally:
            self._probing.discard(record.upstream_id)
        current = self._registry.get(record.upstream_id)
        if current is not None and current.record == record:
            self._candidate_table.record_probe(
                current, connected, self._timer.monotonic_s()
            )
