"""Orders for instances that carry the authority of one leader's term."""

from tarragoncleat.batch.workers import clients
from tarragoncleat.kernel import errors

__all__ = ["InstanceOrders"]


class InstanceOrders:
    """Client of the platform's instance interface for one leader's term.

    Each order names the lease holder and the fencing token of the term, so that
    the platform refuses those of an earlier leader.
    """

    def __init__(
        self, client: clients.InstanceClient, holder: str, fence: int
    ) -> None:
        """Creates the client of a term.

        Args:
            client: Client of the platform's instance interface.
            holder: Lease holder name of this node.
            fence: Fencing token of the term.
        """
        self._client = client
        self._holder = holder
        self._fence = fence

    async def list_instances(
        self,
    ) -> tuple[clients.InstanceRecord, ...] | errors.Failure:
        """Returns all instances."""
        return await self._client.list_instances()

    async def move(self, instance: str, pool: str) -> errors.Failure | None:
        """Moves an instance to another pool."""
        return await self._client.move(
            instance, pool, self._holder, self._fence
        )

    async def maintain(self, instance: str, wave: int) -> errors.Failure | None:
        """Begins the maintenance of an instance in a wave."""
        return await self._client.maintain(
            instance, wave, self._holder, self._fence
        )
