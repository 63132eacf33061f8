"""In-process links between entries, for tests of replication."""

from collections.abc import Mapping, Sequence
import dataclasses
import pathlib
from typing import Any

import anyio
from anyio.streams import memory
import msgpack

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer
from tarragoncleat.log import replication
from tests import builders

__all__ = ["Cluster", "ListMachine", "MemoryLinks", "Network", "SlowTimer"]

_STREAM_MESSAGES = 100_000
_FAST_TIMING = {
    "heartbeat_ms": 40,
    "election_timeout_min_ms": 200,
    "election_timeout_max_ms": 400,
    "snapshot_every_records": 100,
}


class ListMachine:
    """A state machine that stores the payloads in order."""

    def __init__(self) -> None:
        self.payloads: list[bytes] = []
        self.indexes: list[int] = []
        self.times_ms: list[int] = []

    def apply(self, index: int, time_ms: int, payload: bytes) -> bytes:
        self.payloads.append(payload)
        self.indexes.append(index)
        self.times_ms.append(time_ms)
        return b"did " + payload

    def snapshot(self) -> bytes:
        return msgpack.packb(self.payloads)

    def restore(self, index: int, data: bytes) -> None:
        self.payloads = msgpack.unpackb(data)
        self.indexes.append(index)


@dataclasses.dataclass(frozen=True)
class _Received:
    sender: ids.EntryId
    message: Any


class Network:
    """Delivers messages between connected links."""

    def __init__(self) -> None:
        self.links: dict[str, MemoryLinks] = {}
        self.disconnected_pairs: set[frozenset[str]] = set()

    def is_connected(self, sender: str, receiver: str) -> bool:
        pair = frozenset({sender, receiver})
        return receiver in self.links and pair not in self.disconnected_pairs


class MemoryLinks:
    """Implements the interface of `PeerLinks` that replication uses."""

    def __init__(self, network: Network, entry_id: str) -> None:
        self._network = network
        self._entry_id = ids.EntryId(entry_id)
        self._streams: dict[type, memory.MemoryObjectSendStream[Any]] = {}
        network.links[entry_id] = self

    def subscribe(
        self, *message_types: type
    ) -> memory.MemoryObjectReceiveStream[Any]:
        sender, receiver = anyio.create_memory_object_stream[Any](
            _STREAM_MESSAGES
        )
        self._streams.update(dict.fromkeys(message_types, sender))
        return receiver

    def send(self, entry_id: ids.EntryId, message: object) -> bool:
        if not self._network.is_connected(self._entry_id, entry_id):
            return False
        decoded = codec.decode(codec.encode(message))
        assert decoded == message, decoded
        stream = self._network.links[entry_id]._streams[type(message)]
        try:
            stream.send_nowait(_Received(self._entry_id, decoded))
        except anyio.BrokenResourceError:
            return False
        return True

    def connected(self) -> frozenset[ids.EntryId]:
        return frozenset(
            ids.EntryId(other)
            for other in self._network.links
            if other != self._entry_id
            and self._network.is_connected(self._entry_id, other)
        )


class SlowTimer(timer.TimerService):
    """A timer whose clock runs at a fraction of real time.

    An entry with it doesn't find itself cut off while the others, on a busy
    machine, take long to elect a leader. It ticks often all the same.
    """

    _RATE = 0.01
    _MAX_SLEEP_S = 0.01

    def monotonic_s(self) -> float:
        return self._RATE * super().monotonic_s()

    async def sleep_s(self, seconds: float) -> None:
        await super().sleep_s(min(seconds, self._MAX_SLEEP_S))


class Cluster:
    """Entries in one process with real stores; the first are replicas.

    `timers` replaces the timers of some entries.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        zones: Sequence[str],
        replicas: int,
        timers: Mapping[str, timer.TimerService] | None = None,
    ) -> None:
        self.network = Network()
        self.entries: dict[str, replication.Replication] = {}
        self.state_machines: dict[str, ListMachine] = {}
        self.folder = folder
        self._timers = timers or {}
        self._zones = {f"entry-{n}": zone for n, zone in enumerate(zones)}
        self._replicas = set(list(self._zones)[:replicas])
        self._scopes: dict[str, anyio.CancelScope] = {}

    def build(self, name: str) -> replication.Replication:
        peers = [
            {
                "entry_id": other,
                "availability_zone": zone,
                "address": "127.23.0.1:9000",
                "replica": other in self._replicas,
            }
            for other, zone in self._zones.items()
            if other != name
        ]
        folder = self.folder / name if name in self._replicas else None
        settings = builders.build_settings(
            name, self._zones[name], folder, peers=peers, consensus=_FAST_TIMING
        )
        links = MemoryLinks(self.network, name)
        self.state_machines[name] = ListMachine()
        clock = self._timers.get(name, timer.TimerService())
        self.entries[name] = replication.Replication(
            settings, links, clock, self.state_machines[name]
        )
        return self.entries[name]

    async def run(self, name: str) -> None:
        entry = self.build(name)
        with anyio.CancelScope() as self._scopes[name]:
            await entry.run()

    def stop(self, name: str) -> None:
        self._scopes[name].cancel()
        self.network.links.pop(name, None)
        self.entries.pop(name, None)

    async def leader(self) -> str:
        while True:
            for name, entry in self.entries.items():
                if entry.is_leader:
                    return name
            await anyio.sleep(0.01)

    async def wait_payload_count(self, count: int) -> None:
        """Waits until every running entry has applied `count` payloads."""
        while any(
            len(self.state_machines[name].payloads) < count
            for name in self.entries
        ):
            await anyio.sleep(0.02)
