"""The queues and services of the configuration in force."""

from collections.abc import Iterator

from tarragoncleat.batch.replicated import customers
from tarragoncleat.batch.replicated import model
from tarragoncleat.kernel import codec

__all__ = ["QueueTable"]


class QueueTable:
    """The configuration in force, and the queues that earlier ones had.

    The policy of a removed queue still holds for its jobs.
    """

    def __init__(self) -> None:
        """Creates a table without a configuration."""
        self._configuration: model.FleetConfiguration | None = None
        self._queues: dict[model.QueueKey, model.QueuePolicy] = {}
        self._previous_queues: dict[model.QueueKey, model.QueuePolicy] = {}
        self._services: dict[str, model.ServicePolicy] = {}
        self._customers = customers.CustomerTable()

    @property
    def configuration(self) -> model.FleetConfiguration | None:
        """The configuration in force, or None before the first one."""
        return self._configuration

    @property
    def customers(self) -> customers.CustomerTable:
        """The customers of the configuration in force."""
        return self._customers

    def put(self, configuration: model.FleetConfiguration) -> bool:
        """Applies a configuration; returns False if it isn't newer."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._previous_queues.update(self._queues)
        self._set(configuration)
        return True

    def _set(self, configuration: model.FleetConfiguration) -> None:
        self._configuration = configuration
        self._queues = {queue.key: queue for queue in configuration.queues}
        self._services = {
            service.name: service for service in configuration.services
        }
        self._customers = customers.CustomerTable(configuration.customers)

    def queue(self, key: model.QueueKey) -> model.QueuePolicy | None:
        """Returns a queue of the configuration in force, or None."""
        return self._queues.get(key)

    def policy(self, key: model.QueueKey) -> model.QueuePolicy | None:
        """Returns the policy of a queue, also of a removed one, or None."""
        return self._queues.get(key) or self._previous_queues.get(key)

    def service(self, name: str) -> model.ServicePolicy | None:
        """Returns a service of the configuration in force, or None."""
        return self._services.get(name)

    def route(self, host: str, path: str) -> model.QueuePolicy | None:
        """Returns the queue with the longest prefix of `path`, or None."""
        best = None
        for key, queue in self._queues.items():
            if key.host != host or not path.startswith(key.path_prefix):
                continue
            if best is None or len(key.path_prefix) > len(best.path_prefix):
                best = queue
        return best

    def leads_to(self, key: model.QueueKey, job_id: str) -> bool:
        """Whether the path of a job in a queue leads to the queue."""
        queue = self.route(key.host, key.path_prefix + job_id)
        return queue is not None and queue.key == key

    def keys_at(self, host: str, path: str) -> Iterator[model.QueueKey]:
        """Yields the queues that a path may be in, also removed ones."""
        for key in {**self._previous_queues, **self._queues}:
            if key.host == host and path.startswith(key.path_prefix):
                yield key

    def pack(self) -> tuple[list, list]:
        """Returns the configuration and the earlier queues, for a snapshot."""
        configurations = [self._configuration] if self._configuration else []
        return (
            [codec.encode(item) for item in configurations],
            [
                [list(key), queue.pack()]
                for key, queue in self._previous_queues.items()
            ],
        )

    def restore(self, configurations: list, previous_queues: list) -> None:
        """Fills an empty table from the result of `pack`."""
        for encoded in configurations:
            self._set(codec.decode(encoded))
        for key, packed in previous_queues:
            queue = model.QueuePolicy.unpack(packed)
            self._previous_queues[model.QueueKey(*key)] = queue
