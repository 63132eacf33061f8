"""Finds the leader of the log and brings requests to it."""

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

_ANNOUNCE_S = 0.5
_ASK_TIMEOUT_S = 0.5
_ATTEMPT_S = 1.2
_PAUSE_S = 0.05
_MAX_KNOWN = 64


@event_log.event("leader_contact")
@dataclasses.dataclass(frozen=True, slots=True)
class LeaderContact:
    """The leader was found or lost; `age_ms` is that of its last word."""

    leader: str | None
    was: str | None
    age_ms: int | None


class LeaderFinder:
    """Asks known nodes who leads; seeds are where it begins."""

    def __init__(
        self,
        links: links_module.Links,
        timer: timer_module.TimerService,
        own: messages.Announcement,
        seeds: Sequence[tuple[str, int]],
    ) -> None:
        """Prepares the search; `run` keeps it up to date."""
        self._links = links
        self._timer = timer
        self._own = own
        self._seeds = tuple(seeds)
        self._known: dict[tuple[str, int], None] = dict.fromkeys(seeds)
        self._leader: tuple[str, int] | None = None
        self._leader_id: ids.EntryId | None = None
        self._is_ready = False
        self._confirmed_s: float | None = None
        self._wake = anyio.Event()

    @property
    def leader_id(self) -> ids.EntryId | None:
        """The leader that was found last."""
        return self._leader_id

    @property
    def known(self) -> tuple[tuple[str, int], ...]:
        """Addresses of nodes that may hold the log."""
        return tuple(self._known)

    def confirmed_age_s(self) -> float | None:
        """Returns the age of the last word of a leader that is ready."""
        if self._confirmed_s is None:
            return None
        return self._timer.monotonic_s() - self._confirmed_s

    def use_seeds(self, seeds: Sequence[tuple[str, int]]) -> None:
        """Takes other seeds from changed settings."""
        self._seeds = tuple(seeds)
        self._learn(seeds)

    async def run(self) -> None:
        """Announces this node to the leader until cancelled."""
        while True:
            await self._announce()
            with anyio.move_on_after(_ANNOUNCE_S):
                await self._wake.wait()
            self._wake = anyio.Event()

    async def call(self, message: object, timeout_s: float) -> Any:
        """Brings a request to the leader; the request must be idempotent.

        Returns:
            The leader's reply, or a `Failure`: NO_LEADER when no leader got
            it, UNDECIDED when it may have been carried out.
        """
        due_s = self._timer.monotonic_s() + timeout_s
        failure = errors.Failure(
            errors.ErrorKind.NO_LEADER, "no leader of the log was found"
        )
        while True:
            left_s = due_s - self._timer.monotonic_s()
            if left_s <= 0:
                return failure
            leader = self._leader
            if leader is None:
                self._wake.set()
                await self._timer.sleep_s(min(_PAUSE_S, left_s))
                continue
            reply = await self._links.request(
                leader, message, min(left_s, _ATTEMPT_S)
            )
            if isinstance(reply, messages.NotLeader):
                self._follow_hint(leader, reply.leader)
                await self._timer.sleep_s(min(_PAUSE_S, left_s))
            elif isinstance(reply, errors.Failure):
                if reply.kind is errors.ErrorKind.UNDECIDED:
                    failure = reply
                self._forget_leader(leader)
            elif isinstance(reply, messages.Refusal):
                return errors.Failure(reply.kind, reply.reason)
            else:
                return reply

    def _follow_hint(
        self, asked: tuple[str, int], hint: ids.EntryId | None
    ) -> None:
        address = node_ids.address_of(hint) if hint else None
        if hint is None or not isinstance(address, tuple) or address == asked:
            self._forget_leader(asked)
            return
        self._use_leader(address, hint)
        self._learn([address])

    def _forget_leader(self, leader: tuple[str, int]) -> None:
        if self._leader == leader:
            self._use_leader(None, None)
        self._wake.set()

    def _use_leader(
        self, address: tuple[str, int] | None, leader_id: ids.EntryId | None
    ) -> None:
        if leader_id != self._leader_id:
            age_s = self.confirmed_age_s()
            age_ms = None if age_s is None else int(age_s * 1000)
            event_log.emit(LeaderContact(leader_id, self._leader_id, age_ms))
        self._leader = address
        self._leader_id = leader_id

    async def _announce(self) -> None:
        if self._leader is not None and await self._ask(self._leader):
            return
        async with anyio.create_task_group() as tasks:
            for address in list(self._known):
                tasks.start_soon(self._ask, address)

    async def _ask(self, address: tuple[str, int]) -> bool:
        """Asks one node; returns whether it is the leader and ready."""
        reply = await self._links.request(address, self._own, _ASK_TIMEOUT_S)
        if not isinstance(reply, messages.Directory):
            if self._leader == address:
                self._forget_leader(address)
            return False
        self._learn_nodes(reply.nodes)
        if reply.leader is None:
            if self._leader == address:
                self._forget_leader(address)
            return False
        leader = node_ids.address_of(reply.leader)
        if isinstance(leader, errors.Failure):
            return False
        # The word of the leader itself goes before that of others.
        if leader == address or self._leader is None:
            self._use_leader(leader, reply.leader)
        if leader == address and reply.is_ready:
            self._confirmed_s = self._timer.monotonic_s()
        return leader == address

    def _learn_nodes(self, nodes: Sequence[ids.EntryId]) -> None:
        addresses = [node_ids.address_of(node) for node in nodes]
        self._learn([item for item in addresses if isinstance(item, tuple)])

    def _learn(self, addresses: Sequence[tuple[str, int]]) -> None:
        for address in addresses:
            self._known[address] = None
        while len(self._known) > _MAX_KNOWN:
            oldest = next(
                (item for item in self._known if item not in self._seeds), None
            )
            if oldest is None:
                return
            del self._known[oldest]
