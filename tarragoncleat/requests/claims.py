"""Claims of idempotency keys, proposed to the replicated log in batches."""

from collections.abc import AsyncIterable
import dataclasses
import hashlib
from typing import Any, Protocol
import uuid

import anyio
import loguru

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.requests import answers
from tarragoncleat.requests import caller_requests
from tarragoncleat.requests import stored_answers
from tarragoncleat.state import commands

__all__ = [
    "AlreadyClaimed",
    "ClaimRequest",
    "Claims",
    "Granted",
    "Links",
    "Log",
    "build_claim_request",
]

_MS_PER_S = 1000
_DIGEST_BYTES = 16
_MAX_BATCH_CLAIMS = 500
# Batches whose proposals are under way at the same time.
_MAX_CONCURRENT_PROPOSALS = 8
_RELEASE_INTERVAL_S = 1.0
_MAX_WAITING_RELEASES = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request to be the only one that runs under its idempotency key.

    Attributes:
        firm: Firm of the caller.
        caller: Name of the caller's token; empty without one.
        service: Service that is called.
        key: Idempotency-Key.
        fingerprint: Digest of the method, the target, the declared length and
            the body or its first part.
        request_id: Id of this request.
    """

    firm: str
    caller: str
    service: ids.ServiceId
    key: str
    fingerprint: bytes
    request_id: ids.RequestId

    @property
    def digest(self) -> bytes:
        """Digest of firm, caller, service and key."""
        scope = (self.firm, self.caller, self.service, self.key)
        return _digest(*(part.encode() for part in scope))


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request may run."""


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another request claimed the key; `answer` is its answer if known."""

    request_id: ids.RequestId
    entry_id: ids.EntryId
    answer: answers.CompleteAnswer | None


_ClaimResult = Granted | AlreadyClaimed | errors.Failure


class Log(Protocol):
    """The part of `replication.Replication` that claims use."""

    @property
    def cut_off_since_ms(self) -> int | None:
        """Since when no majority is reachable, or None."""

    async def propose(self, payload: bytes, timeout_s: float) -> Any:
        """Returns the applied result, or a `Failure`."""


class Links(Protocol):
    """The part of `peering.PeerLinks` that claims use."""

    def subscribe(self, *message_types: type) -> AsyncIterable[Any]:
        """Returns the received messages of these types."""

    async def request(
        self, entry_id: ids.EntryId, message: object, timeout_s: float
    ) -> Any:
        """Returns the reply, or a `Failure`."""


def _digest(*parts: bytes) -> bytes:
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8))
        hasher.update(part)
    return hasher.digest()


def build_claim_request(
    firm: str,
    caller: str,
    request: caller_requests.CallerRequest,
    body_start: bytes,
) -> ClaimRequest:
    """Returns the claim request for a request with a key.

    Args:
        firm: Firm of the caller.
        caller: Name of the caller's token; empty without one.
        request: Head of the request.
        body_start: The body, or a prefix of fixed length, so that a resend
            has the same fingerprint.
    """
    length = request.content_length
    fingerprint = _digest(
        request.method.encode(),
        request.target,
        b"" if length is None else b"%d" % length,
        body_start,
    )
    return ClaimRequest(
        firm,
        caller,
        request.service,
        request.key or "",
        fingerprint,
        request.request_id,
    )


class _Pending:
    """A claim or a release that waits for the result of its proposal."""

    __slots__ = ("event", "record", "result", "started_s", "waited_for")

    def __init__(self, record: commands.Claim, started_s: float):
        self.record = record
        self.started_s = started_s
        self.event = anyio.Event()
        self.result: tuple | errors.Failure | None = None
        self.waited_for = True

    def resolve(self, result: tuple | errors.Failure | None) -> None:
        self.result = result
        self.event.set()


class Claims:
    """Claims keys for the requests of this entry and stores their answers."""

    def __init__(
        self,
        settings: settings_module.Settings,
        timer: timer_module.TimerService,
        replication: Log,
        links: Links,
    ):
        """Creates a store without claims; `run` must be running."""
        self._settings = settings.claims
        self._entry_id = settings.entry_id
        self._timeout_s = settings.claims.timeout_ms / _MS_PER_S
        self._timer = timer
        self._replication = replication
        self._links = links
        self._received = links.subscribe(stored_answers.StoredAnswerRequest)
        self._stored = stored_answers.StoredAnswers(
            settings.claims.stored_answers
        )
        self._waiting_claims: list[_Pending] = []
        self._waiting_releases: list[_Pending] = []
        self._has_claims = anyio.Event()
        self._proposals = anyio.Semaphore(_MAX_CONCURRENT_PROPOSALS)

    async def run(self) -> None:
        """Proposes batches and serves stored answers to other entries."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._serve_stored_answers)
            group.start_soon(self._retry_releases)
            while True:
                await self._has_claims.wait()
                await self._timer.sleep_s(
                    self._settings.batch_interval_ms / _MS_PER_S
                )
                await self._proposals.acquire()
                batch = self._waiting_claims[:_MAX_BATCH_CLAIMS]
                del self._waiting_claims[:_MAX_BATCH_CLAIMS]
                if not self._waiting_claims:
                    self._has_claims = anyio.Event()
                group.start_soon(self._propose_claims, batch)

    async def claim(self, request: ClaimRequest) -> _ClaimResult:
        """Claims the key of a request.

        Returns:
            `Granted`; `AlreadyClaimed` when another request has the key; or a
            `Failure`, after which the request must not run.
        """
        if self._replication.cut_off_since_ms is not None:
            return errors.Failure(
                errors.ErrorKind.CUT_OFF,
                "keys can't be claimed while the entry is cut off",
            )
        pending = self._new_pending(request)
        self._waiting_claims.append(pending)
        self._has_claims.set()
        try:
            await pending.event.wait()
        except anyio.get_cancelled_exc_class():
            pending.waited_for = False
            if self._was_granted(pending):
                self._queue_release(pending.record)
            raise
        return await self._build_result(request, pending)

    async def release(self, request: ClaimRequest) -> None:
        """Releases the claim of a request that certainly did not run.

        Returns after the first attempt; `run` retries an attempt that failed.
        """
        pending = self._queue_release(self._build_claim(request))
        with anyio.move_on_after(self._timeout_s):
            await self._propose_releases()
            await pending.event.wait()

    def store(
        self, request: ClaimRequest, answer: answers.CompleteAnswer
    ) -> None:
        """Stores the answer of a granted request for resends."""
        self._stored.put(
            request.digest, request.fingerprint, request.request_id, answer
        )

    def dump(self) -> dict:
        """Returns the state for the state dump."""
        return {
            "waiting_claims": len(self._waiting_claims),
            "waiting_releases": len(self._waiting_releases),
            "stored_answers": len(self._stored),
        }

    def _build_claim(self, request: ClaimRequest) -> commands.Claim:
        return commands.Claim(
            request.digest,
            request.fingerprint,
            request.request_id,
            self._entry_id,
        )

    def _new_pending(self, request: ClaimRequest) -> _Pending:
        return _Pending(self._build_claim(request), self._timer.monotonic_s())

    def _was_granted(self, pending: _Pending) -> bool:
        result = pending.result
        return isinstance(result, tuple) and result[0] == "granted"

    async def _build_result(
        self, request: ClaimRequest, pending: _Pending
    ) -> _ClaimResult:
        if not isinstance(pending.result, tuple):
            if pending.result is not None:
                return pending.result
            return errors.Failure(
                errors.ErrorKind.UNDECIDED, "the claim was not decided"
            )
        outcome, holder, entry_id = pending.result
        if outcome == "granted":
            return Granted()
        if outcome == "full":
            return errors.Failure(
                errors.ErrorKind.CLAIMS_FULL,
                "the number of claims is at its limit",
            )
        if outcome == "key_reused":
            return errors.Failure(
                errors.ErrorKind.KEY_REUSED,
                "the key was used for a different request",
            )
        answer = await self._find_answer(request.digest, holder, entry_id)
        return AlreadyClaimed(holder, entry_id, answer)

    async def _find_answer(
        self, digest: bytes, holder: ids.RequestId, entry_id: ids.EntryId
    ) -> answers.CompleteAnswer | None:
        if entry_id == self._entry_id:
            return self._stored.find(digest, holder)
        reply = await self._links.request(
            entry_id,
            stored_answers.StoredAnswerRequest(digest, holder),
            self._timeout_s,
        )
        if isinstance(reply, stored_answers.StoredAnswerReply):
            return reply.to_answer()
        return None

    async def _serve_stored_answers(self) -> None:
        async for received in self._received:
            if received.reply is not None:
                received.reply(self._stored.build_reply(received.message))

    async def _propose_claims(self, batch: list[_Pending]) -> None:
        try:
            values = await self._propose(
                commands.ClaimKeys(
                    tuple(pending.record for pending in batch),
                    self._settings.retention_s,
                    self._settings.max_entries,
                )
            )
        finally:
            self._proposals.release()
        for position, pending in enumerate(batch):
            if isinstance(values, errors.Failure):
                pending.resolve(values)
            else:
                pending.resolve(tuple(values[position]))
            undecided = isinstance(values, errors.Failure) and (
                values.kind is errors.ErrorKind.UNDECIDED
            )
            abandoned = not pending.waited_for and self._was_granted(pending)
            if undecided or abandoned:
                self._queue_release(pending.record)

    async def _propose(
        self, command: commands.ClaimKeys | commands.ReleaseClaims
    ) -> list | errors.Failure:
        envelope = commands.Envelope(
            command_id=ids.CommandId(uuid.uuid4().hex),
            firm=commands.ANY_FIRM,
            actor=self._entry_id,
            role=commands.ENTRY_ROLE,
            if_match=None,
            command=command,
        )
        applied = await self._replication.propose(
            codec.encode(envelope), self._timeout_s
        )
        if isinstance(applied, errors.Failure):
            return applied
        result = codec.decode(applied.result)
        if isinstance(result, errors.Failure):
            return result
        return result.value or [] if result.ok else result.to_failure()

    def _queue_release(self, record: commands.Claim) -> _Pending:
        pending = _Pending(record, self._timer.monotonic_s())
        if len(self._waiting_releases) < _MAX_WAITING_RELEASES:
            self._waiting_releases.append(pending)
        else:
            loguru.logger.warning(
                "too many releases are waiting; a claim that should be "
                "released stays until its retention ends"
            )
        return pending

    async def _retry_releases(self) -> None:
        async for now_s in self._timer.subscribe(_RELEASE_INTERVAL_S):
            oldest_s = now_s - self._settings.retention_s
            self._waiting_releases = [
                pending
                for pending in self._waiting_releases
                if pending.started_s >= oldest_s
            ]
            await self._propose_releases()

    async def _propose_releases(self) -> None:
        batch = self._waiting_releases[:_MAX_BATCH_CLAIMS]
        if not batch:
            return
        del self._waiting_releases[:_MAX_BATCH_CLAIMS]
        result: list | errors.Failure = errors.Failure(
            errors.ErrorKind.UNDECIDED, "the release was interrupted"
        )
        try:
            result = await self._propose(
                commands.ReleaseClaims(
                    tuple(pending.record for pending in batch)
                )
            )
        finally:
            if isinstance(result, errors.Failure):
                self._waiting_releases.extend(batch)
            for pending in batch:
                pending.resolve(None)
