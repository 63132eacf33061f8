"""Stored answers for resends of requests with an idempotency key."""

import collections
import dataclasses

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import ids
from tarragoncleat.requests import answers

__all__ = ["StoredAnswerReply", "StoredAnswerRequest", "StoredAnswers"]


@codec.message("stored_answer_request")
@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswerRequest:
    """Asks the entry that made a claim for the answer."""

    digest: bytes
    request_id: ids.RequestId


@codec.message("stored_answer_reply")
@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswerReply:
    """The answer, if the entry still has it."""

    found: bool
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""

    def to_answer(self) -> answers.CompleteAnswer | None:
        """Returns the answer, or None if none was found."""
        if not self.found:
            return None
        return answers.CompleteAnswer(
            self.status, list(self.headers), self.body
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredAnswer:
    request_id: ids.RequestId
    fingerprint: bytes
    answer: answers.CompleteAnswer


class StoredAnswers:
    """A bounded store of answers that evicts the oldest first."""

    def __init__(self, max_answers: int):
        """Creates an empty store."""
        self._max_answers = max_answers
        self._stored: collections.OrderedDict[bytes, _StoredAnswer]
        self._stored = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._stored)

    def put(
        self,
        digest: bytes,
        fingerprint: bytes,
        request_id: ids.RequestId,
        answer: answers.CompleteAnswer,
    ) -> None:
        """Stores an answer."""
        self._stored[digest] = _StoredAnswer(request_id, fingerprint, answer)
        while len(self._stored) > self._max_answers:
            self._stored.popitem(last=False)

    def find(
        self, digest: bytes, request_id: ids.RequestId
    ) -> answers.CompleteAnswer | None:
        """Returns the answer of the request that holds the claim."""
        stored = self._stored.get(digest)
        if stored is None or stored.request_id != request_id:
            return None
        return stored.answer

    def build_reply(self, request: StoredAnswerRequest) -> StoredAnswerReply:
        """Returns the reply to another entry's request."""
        answer = self.find(request.digest, request.request_id)
        if answer is None:
            return StoredAnswerReply(found=False)
        return StoredAnswerReply(
            True, answer.status, tuple(answer.headers), answer.body
        )
