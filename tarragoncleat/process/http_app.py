"""Routes each HTTP request to the application that serves its path."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio

from tarragoncleat.administration import auth
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import settings
from tarragoncleat.requests import answers
from tarragoncleat.requests import caller_requests

__all__ = ["App", "HttpApp", "RawHeaders", "raw_header_authentication"]

App = Callable[[Any, Any, Any], Awaitable[None]]
RawHeaders = Iterable[tuple[bytes, bytes]]

_READY_PATH = b"/readyz"
_NOT_READY_BODY = b'{"status": "starting"}'


class HttpApp:
    """The ASGI application of an entry."""

    def __init__(
        self,
        caller_api: App,
        upstream_api: App,
        admin_api: App,
        is_ready: Callable[[], bool],
    ) -> None:
        """Combines the applications.

        Args:
            caller_api: Serves callers and the health paths.
            upstream_api: Serves `/upstreams/`.
            admin_api: Serves `/admin/`.
            is_ready: Returns whether `/readyz` may be answered with 200.
        """
        self._caller_api = caller_api
        self._prefixes = (
            (b"/upstreams/", upstream_api),
            (b"/admin/", admin_api),
        )
        self._is_ready = is_ready

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""
        path = scope["raw_path"]
        if path == _READY_PATH and not self._is_ready():
            await _send_not_ready(send)
            return
        for prefix, app in self._prefixes:
            if path.startswith(prefix):
                await _run_with_error_answer(app, scope, receive, send)
                return
        await self._caller_api(scope, receive, send)


async def _run_with_error_answer(
    app: App, scope: Any, receive: Any, send: Any
) -> None:
    """Runs an application; answers with an error if it raises an exception."""
    response_started = False

    async def send_and_record(message: dict[str, Any]) -> None:
        nonlocal response_started
        response_started = True
        await send(message)

    try:
        await app(scope, receive, send_and_record)
    except (Exception, anyio.get_cancelled_exc_class()) as error:
        if not response_started:
            failure = _build_abort_failure(error)
            answer = answers.build_error(
                failure,
                errors.Outcome.UNKNOWN,
                caller_requests.new_request_id(),
            )
            await answers.send_complete(send, answer, [])
        # The server logs the exception and closes the connection.
        raise


def _build_abort_failure(error: BaseException) -> errors.Failure:
    """Returns why a request ended by an exception.

    The server cancels requests that outlast the stop of the entry.
    """
    if isinstance(error, Exception):
        return errors.Failure(
            errors.ErrorKind.INTERNAL, "the request failed unexpectedly"
        )
    return errors.Failure(
        errors.ErrorKind.UNDECIDED, "the entry stopped before the request ended"
    )


async def _send_not_ready(send: Any) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(_NOT_READY_BODY)).encode()),
    ]
    await send(
        {"type": "http.response.start", "status": 503, "headers": headers}
    )
    await send({"type": "http.response.body", "body": _NOT_READY_BODY})


def raw_header_authentication(
    authenticator: auth.Authenticator,
) -> Callable[[RawHeaders], settings.Token | None | errors.Failure]:
    """Returns an `authenticate` function for raw headers.

    It decodes only the authorization header, which keeps the request path
    short.
    """

    def authenticate(
        headers: RawHeaders,
    ) -> settings.Token | None | errors.Failure:
        for name, value in headers:
            if name == b"authorization":
                text = value.decode("latin-1")
                return authenticator.authenticate({"authorization": text})
        return authenticator.authenticate({})

    return authenticate
