"""All error kinds, and the HTTP response for each of them."""

from collections.abc import Mapping
import dataclasses
import enum
import types

__all__ = [
    "HTTP_RESPONSES",
    "ErrorKind",
    "Failure",
    "HttpResponse",
    "Outcome",
    "first_failure",
]

_SHORT_RETRY_S = 1
_LONG_RETRY_S = 5


class Outcome(enum.Enum):
    """Whether a request was run, if the system answered it itself."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Every kind of error that the system reports."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    DUPLICATE_REQUEST = "duplicate_request"
    KEY_REUSED = "key_reused"
    TOO_LARGE = "too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    SLOW_REQUEST = "slow_request"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    QUEUE_TIMEOUT = "queue_timeout"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_REFUSED = "upstream_refused"
    LEAVING = "leaving"
    CUT_OFF = "cut_off"
    NO_LEADER = "no_leader"
    UNDECIDED = "undecided"
    CLAIMS_FULL = "claims_full"
    DISK_FULL = "disk_full"
    BUDGET = "budget"
    QUOTA = "quota"
    SETTINGS = "settings"
    STORAGE = "storage"
    DECODE = "decode"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A falsy result that describes an error.

    Attributes:
        kind: Kind of the error.
        reason: One sentence for people who read the response or the log.
        detail: Further values by name, such as the current revision.
        retry_after_s: When a retry may succeed, instead of the kind's value.
    """

    kind: ErrorKind
    reason: str
    detail: Mapping[str, object] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )
    retry_after_s: int | None = None

    def __bool__(self) -> bool:
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """The HTTP response for an error kind.

    Attributes:
        status: HTTP status code.
        outcome: Default outcome; the phase of a request may override it.
        retry_after_s: Value of `Retry-After` in seconds, or None if a retry of
            the same request can't succeed.
    """

    status: int
    outcome: Outcome
    retry_after_s: int | None = None


def _not_run(status: int, retry_after_s: int | None = None) -> HttpResponse:
    return HttpResponse(status, Outcome.NOT_RUN, retry_after_s)


def _unknown(status: int, retry_after_s: int | None = None) -> HttpResponse:
    return HttpResponse(status, Outcome.UNKNOWN, retry_after_s)


HTTP_RESPONSES: Mapping[ErrorKind, HttpResponse] = types.MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: _not_run(400),
        ErrorKind.UNAUTHORIZED: _not_run(401),
        ErrorKind.FORBIDDEN: _not_run(403),
        ErrorKind.NOT_FOUND: _not_run(404),
        ErrorKind.CONFLICT: _not_run(409),
        ErrorKind.DUPLICATE_REQUEST: _unknown(409, _SHORT_RETRY_S),
        ErrorKind.KEY_REUSED: _not_run(422),
        ErrorKind.TOO_LARGE: _not_run(413),
        ErrorKind.HEADERS_TOO_LARGE: _not_run(431),
        ErrorKind.SLOW_REQUEST: _not_run(408),
        ErrorKind.TOO_MANY_CONNECTIONS: _not_run(429, _SHORT_RETRY_S),
        ErrorKind.NO_UPSTREAM: _not_run(503, _SHORT_RETRY_S),
        ErrorKind.OVERLOADED: _not_run(503, _SHORT_RETRY_S),
        ErrorKind.QUEUE_TIMEOUT: _not_run(503, _SHORT_RETRY_S),
        ErrorKind.DEADLINE_EXCEEDED: _unknown(504),
        ErrorKind.UPSTREAM_FAILED: _unknown(502),
        ErrorKind.UPSTREAM_REFUSED: _not_run(503, _SHORT_RETRY_S),
        ErrorKind.LEAVING: _not_run(503, _SHORT_RETRY_S),
        ErrorKind.CUT_OFF: _not_run(503, _LONG_RETRY_S),
        ErrorKind.NO_LEADER: _not_run(503, _SHORT_RETRY_S),
        ErrorKind.UNDECIDED: _unknown(504, _SHORT_RETRY_S),
        ErrorKind.CLAIMS_FULL: _not_run(503, _LONG_RETRY_S),
        ErrorKind.DISK_FULL: _not_run(507, _LONG_RETRY_S),
        ErrorKind.BUDGET: _not_run(409, _LONG_RETRY_S),
        ErrorKind.QUOTA: _not_run(429, _LONG_RETRY_S),
        ErrorKind.SETTINGS: _not_run(500),
        ErrorKind.STORAGE: _not_run(500),
        ErrorKind.DECODE: _not_run(400),
        ErrorKind.INTERNAL: _unknown(500),
    }
)


def first_failure(*results: Failure | None) -> Failure | None:
    """Returns the first failure among the results of checks, or None.

    Results of checks can't be combined with `or`, because a failure is falsy.
    """
    return next((item for item in results if item is not None), None)
