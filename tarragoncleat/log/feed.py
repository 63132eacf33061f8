"""Sends committed records to the entries that follow this one."""

from collections.abc import Callable
import dataclasses

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.log import applier as applier_module
from tarragoncleat.log import replication_messages

__all__ = ["FOLLOW_INTERVAL_S", "Feed", "LeaderView"]

# Interval of the renewals by subscribers and of the heartbeats to them.
FOLLOW_INTERVAL_S = 0.5
_MAX_MISSED_RENEWALS = 4
_MAX_BATCH_RECORDS = 256
_MAX_BATCH_BYTES = 262_144
_MAX_WINDOW_RECORDS = 1_024
_CHUNK_BYTES = 262_144
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderView:
    """The known term and leader, and the age of this information."""

    term: int
    leader_id: ids.EntryId | None
    age_s: float


@dataclasses.dataclass(slots=True)
class _Subscriber:
    contact_s: float
    next_index: int = 0
    acked_index: int = 0
    sent_s: float = 0.0
    snapshot_index: int | None = None


class Feed:
    """Sends committed records and snapshots to subscribed entries."""

    def __init__(
        self,
        links: replication_messages.Links,
        timer: timer_module.TimerService,
        applier: applier_module.Applier,
        leader_view: Callable[[], LeaderView],
    ) -> None:
        """Starts without subscribers."""
        self._links = links
        self._timer = timer
        self._applier = applier
        self._leader_view = leader_view
        self._subscribers: dict[ids.EntryId, _Subscriber] = {}

    @property
    def subscribers(self) -> tuple[ids.EntryId, ...]:
        """The entries that follow this one."""
        return tuple(self._subscribers)

    async def run(self) -> None:
        """Sends heartbeats and removes silent subscribers until cancelled."""
        async for now_s in self._timer.subscribe(FOLLOW_INTERVAL_S):
            limit_s = now_s - _MAX_MISSED_RENEWALS * FOLLOW_INTERVAL_S
            for entry_id, subscriber in tuple(self._subscribers.items()):
                if subscriber.contact_s < limit_s:
                    del self._subscribers[entry_id]
                elif now_s - subscriber.sent_s >= FOLLOW_INTERVAL_S / 2:
                    self._send_batch(entry_id, subscriber)

    def on_request(
        self,
        sender: ids.EntryId,
        request: replication_messages.FollowRequest,
    ) -> None:
        """Processes a subscription, renewal or acknowledgement."""
        now_s = self._timer.monotonic_s()
        subscriber = self._subscribers.get(sender)
        is_new = subscriber is None
        if subscriber is None:
            subscriber = self._subscribers[sender] = _Subscriber(now_s)
        subscriber.contact_s = now_s
        subscriber.acked_index = request.applied_index
        if is_new or request.restart:
            subscriber.next_index = request.applied_index + 1
            subscriber.snapshot_index = None
        subscriber.next_index = max(
            subscriber.next_index, request.applied_index + 1
        )
        if subscriber.snapshot_index is not None:
            self._continue_snapshot(sender, subscriber, request)
        elif is_new or request.restart:
            self._send_batch(sender, subscriber)
        self._push(sender, subscriber)

    def push(self) -> None:
        """Sends newly applied records to the subscribers."""
        for entry_id, subscriber in self._subscribers.items():
            self._push(entry_id, subscriber)

    def _push(self, entry_id: ids.EntryId, subscriber: _Subscriber) -> None:
        while self._may_send(subscriber):
            if not self._send_batch(entry_id, subscriber):
                return

    def _may_send(self, subscriber: _Subscriber) -> bool:
        in_flight = subscriber.next_index - 1 - subscriber.acked_index
        return (
            subscriber.snapshot_index is None
            and subscriber.next_index <= self._applier.applied_index
            and in_flight < _MAX_WINDOW_RECORDS
        )

    def _send_batch(
        self, entry_id: ids.EntryId, subscriber: _Subscriber
    ) -> bool:
        if subscriber.snapshot_index is not None:
            return False
        history = self._applier.history
        if subscriber.next_index < history.first_index:
            return self._send_chunk(entry_id, subscriber, 0)
        records = history.slice(
            subscriber.next_index,
            _MAX_BATCH_RECORDS,
            _MAX_BATCH_BYTES,
            subscriber.acked_index + _MAX_WINDOW_RECORDS,
        )
        view = self._leader_view()
        batch = replication_messages.FollowBatch(
            subscriber.next_index - 1,
            self._applier.applied_index,
            records,
            int(view.age_s * _MS_PER_S),
            view.term,
            view.leader_id,
        )
        if not self._links.send(entry_id, batch):
            return False
        subscriber.next_index += len(records)
        subscriber.sent_s = self._timer.monotonic_s()
        return True

    def _continue_snapshot(
        self,
        entry_id: ids.EntryId,
        subscriber: _Subscriber,
        request: replication_messages.FollowRequest,
    ) -> None:
        snapshot = self._applier.history.snapshot
        if request.applied_index >= snapshot.index:
            subscriber.snapshot_index = None
        elif request.snapshot_index == snapshot.index:
            self._send_chunk(entry_id, subscriber, request.snapshot_offset)
        else:
            self._send_chunk(entry_id, subscriber, 0)

    def _send_chunk(
        self, entry_id: ids.EntryId, subscriber: _Subscriber, offset: int
    ) -> bool:
        snapshot = self._applier.history.snapshot
        subscriber.snapshot_index = snapshot.index
        chunk = replication_messages.FollowSnapshot(
            snapshot.index,
            snapshot.term,
            snapshot.time_ms,
            snapshot.replicas,
            len(snapshot.data),
            offset,
            snapshot.data[offset : offset + _CHUNK_BYTES],
        )
        subscriber.sent_s = self._timer.monotonic_s()
        return self._links.send(entry_id, chunk)
