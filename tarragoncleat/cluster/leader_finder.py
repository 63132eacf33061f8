"""Finds the leader of the log and sends requests to it."""

from collections.abc import Sequence
import dataclasses
from typing import Any

import anyio

from tarragoncleat.cluster import links as links_module
from tarragoncleat.cluster import messages
from tarragoncleat.cluster import node_ids
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import event_log
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import timer as timer_module

__all__ = ["LeaderContact", "LeaderFinder"]

_ANNOUNCE_INTERVAL_S = 0.5
# Interval of nodes that can't be replicas: there may be a hundred of them, and
# the leader answers each announcement.
_OBSERVER_ANNOUNCE_INTERVAL_S = 1.0
_QUERY_TIMEOUT_S = 0.5
_ATTEMPT_TIMEOUT_S = 1.2
_RETRY_DELAY_S = 0.05
_MIN_ANNOUNCE_INTERVAL_S = 0.02
_MAX_KNOWN_ADDRESSES = 64


@event_log.event("leader_contact")
@dataclasses.dataclass(frozen=True, slots=True)
class LeaderContact:
    """The known leader changed; `age_ms` is the time since its last reply."""

    leader: str | None
    was: str | None
    age_ms: int | None


class LeaderFinder:
    """Finds the leader by asking known nodes, starting with the seeds."""

    def __init__(
        self,
        links: links_module.Links,
        timer: timer_module.TimerService,
        announcement: messages.Announcement,
        seeds: Sequence[tuple[str, int]],
    ) -> None:
        """Creates a finder without a leader; `run` keeps it up to date."""
        self._links = links
        self._timer = timer
        self._announcement = announcement
        self._seeds = tuple(seeds)
        self._known_addresses: dict[tuple[str, int], None] = dict.fromkeys(
            seeds
        )
        self._leader: tuple[str, int] | None = None
        self._leader_id: ids.EntryId | None = None
        self._is_ready = False
        self._confirmed_s: float | None = None
        self._wake = anyio.Event()
        self._leader_changed = anyio.Event()
        self._waiting_count = 0

    @property
    def leader_id(self) -> ids.EntryId | None:
        """The leader that was found last."""
        return self._leader_id

    @property
    def known_addresses(self) -> tuple[tuple[str, int], ...]:
        """Addresses of nodes that may be replicas of the log."""
        return tuple(self._known_addresses)

    def confirmed_age_s(self) -> float | None:
        """Returns the time since a ready leader last replied, if any did."""
        if self._confirmed_s is None:
            return None
        return self._timer.monotonic_s() - self._confirmed_s

    def set_seeds(self, seeds: Sequence[tuple[str, int]]) -> None:
        """Replaces the seeds, for example after the settings changed."""
        self._seeds = tuple(seeds)
        self._add_addresses(seeds)

    async def run(self) -> None:
        """Announces this node to the leader until cancelled."""
        while True:
            await self._announce()
            with anyio.move_on_after(self._announce_interval_s()):
                await self._wake.wait()
            # Also when it is woken: a leader that others name but that can't be
            # reached is lost again in each round.
            await self._timer.sleep_s(_MIN_ANNOUNCE_INTERVAL_S)
            self._wake = anyio.Event()

    def _announce_interval_s(self) -> float:
        if self._waiting_count > 0:
            return _RETRY_DELAY_S
        if self._announcement.node_id is None and self._leader is not None:
            return _OBSERVER_ANNOUNCE_INTERVAL_S
        return _ANNOUNCE_INTERVAL_S

    async def call(
        self, message: object, timeout_s: float, is_undecided: bool = False
    ) -> Any:
        """Sends a request to the leader, with retries; it must be idempotent.

        Args:
            message: The request.
            timeout_s: Time for all attempts.
            is_undecided: Whether an earlier attempt may be carried out.

        Returns:
            The leader's reply, or a `Failure`: NO_LEADER if no leader received
            the request, UNDECIDED if it may have been carried out.
        """
        deadline_s = self._timer.monotonic_s() + timeout_s
        failure = errors.Failure(
            errors.ErrorKind.NO_LEADER, "no leader of the log was found"
        )
        while True:
            remaining_s = deadline_s - self._timer.monotonic_s()
            if remaining_s <= 0:
                return failure
            leader = self._leader
            if leader is None:
                await self._wait_for_leader(remaining_s)
                continue
            reply = await self._request_leader(
                leader, message, min(remaining_s, _ATTEMPT_TIMEOUT_S)
            )
            if isinstance(reply, messages.NotLeader):
                self._follow_leader_hint(leader, reply.leader)
                await self._timer.sleep_s(min(_RETRY_DELAY_S, remaining_s))
            elif isinstance(reply, errors.Failure):
                if reply.kind is errors.ErrorKind.UNDECIDED:
                    failure = reply
                    is_undecided = True
                if self._leader in (None, leader):
                    self._clear_leader(leader)
                    # Other nodes may still name a leader that this one can't
                    # reach.
                    await self._timer.sleep_s(min(_RETRY_DELAY_S, remaining_s))
            elif isinstance(reply, messages.Refusal):
                return _decode_refusal(reply, is_undecided)
            else:
                return reply

    async def _wait_for_leader(self, timeout_s: float) -> None:
        """Waits for a leader; the nodes are asked more often meanwhile."""
        self._waiting_count += 1
        self._wake.set()
        try:
            with anyio.move_on_after(timeout_s):
                await self._leader_changed.wait()
        finally:
            self._waiting_count -= 1

    async def _request_leader(
        self, leader: tuple[str, int], message: object, timeout_s: float
    ) -> Any:
        """Sends a request to a leader until another one is known.

        Requests that wait are woken in the order of their arrival and sent over
        one connection, so that the next leader decides them in that order.
        """
        reply: Any = errors.Failure(
            errors.ErrorKind.UNDECIDED, "the leader changed before its reply"
        )
        async with anyio.create_task_group() as tasks:

            async def cancel_after_change() -> None:
                while self._leader in (None, leader):
                    await self._leader_changed.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_after_change)
            reply = await self._links.request(leader, message, timeout_s)
            tasks.cancel_scope.cancel()
        return reply

    def _follow_leader_hint(
        self, asked_address: tuple[str, int], leader_hint: ids.EntryId | None
    ) -> None:
        address = node_ids.address_of(leader_hint) if leader_hint else None
        if (
            leader_hint is None
            or not isinstance(address, tuple)
            or address == asked_address
        ):
            self._clear_leader(asked_address)
            return
        self._set_leader(address, leader_hint)
        self._add_addresses([address])

    def _clear_leader(self, leader: tuple[str, int]) -> None:
        if self._leader == leader:
            self._set_leader(None, None)
        self._wake.set()

    def _set_leader(
        self, address: tuple[str, int] | None, leader_id: ids.EntryId | None
    ) -> None:
        if leader_id != self._leader_id:
            age_s = self.confirmed_age_s()
            age_ms = None if age_s is None else int(age_s * 1000)
            event_log.emit(LeaderContact(leader_id, self._leader_id, age_ms))
        self._leader_id = leader_id
        if address != self._leader:
            self._leader = address
            self._leader_changed.set()
            self._leader_changed = anyio.Event()

    async def _announce(self) -> None:
        if self._leader is not None and await self._query_node(self._leader):
            return
        async with anyio.create_task_group() as tasks:
            for address in list(self._known_addresses):
                tasks.start_soon(self._query_node, address)

    async def _query_node(self, address: tuple[str, int]) -> bool:
        """Asks one node for the leader; returns whether it is the leader."""
        reply = await self._links.request(
            address, self._announcement, _QUERY_TIMEOUT_S
        )
        if not isinstance(reply, messages.Directory):
            if self._leader == address:
                self._clear_leader(address)
            return False
        self._add_nodes(reply.nodes)
        if reply.leader is None:
            if self._leader == address:
                self._clear_leader(address)
            return False
        leader = node_ids.address_of(reply.leader)
        if isinstance(leader, errors.Failure):
            return False
        # A reply from the leader itself takes precedence over other replies.
        if leader == address or self._leader is None:
            self._set_leader(leader, reply.leader)
        if leader == address and reply.is_ready:
            self._confirmed_s = self._timer.monotonic_s()
        return leader == address

    def _add_nodes(self, nodes: Sequence[ids.EntryId]) -> None:
        addresses = [node_ids.address_of(node) for node in nodes]
        self._add_addresses(
            [address for address in addresses if isinstance(address, tuple)]
        )

    def _add_addresses(self, addresses: Sequence[tuple[str, int]]) -> None:
        for address in addresses:
            self._known_addresses[address] = None
        while len(self._known_addresses) > _MAX_KNOWN_ADDRESSES:
            oldest = next(
                (
                    address
                    for address in self._known_addresses
                    if address not in self._seeds
                ),
                None,
            )
            if oldest is None:
                return
            del self._known_addresses[oldest]


def _decode_refusal(
    refusal: messages.Refusal, is_undecided: bool
) -> errors.Failure:
    """Returns the failure of a refused request.

    A refusal that depends on the load says nothing about an earlier attempt
    that may be carried out.
    """
    if refusal.retry_after_s is not None and is_undecided:
        return errors.Failure(
            errors.ErrorKind.UNDECIDED,
            f"an earlier attempt may be carried out; {refusal.reason}",
        )
    return errors.Failure(
        refusal.kind, refusal.reason, retry_after_s=refusal.retry_after_s
    )
