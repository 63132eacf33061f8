"""Client of the administration API."""

from collections.abc import Mapping, Sequence
import dataclasses
import json
import pathlib
import ssl
from typing import Any
import urllib.parse
import uuid

import httpcore

from tarragoncleat.kernel import errors

__all__ = ["AdminClient", "Reply"]

_PREFIX = "/admin/v1/"
# Errors that occur before any byte of the request is written.
_NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
_LOST_ANSWER_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A successful answer."""

    status: int
    body: Any


class AdminClient:
    """Calls the administration API of one of several entries.

    A call whose answer was lost is resent to the next entry. A command is
    resent with the same Command-Id, so that it is applied only once.
    """

    def __init__(
        self,
        urls: Sequence[str],
        token: str | None = None,
        timeout_s: float = 10.0,
        ca_file: pathlib.Path | None = None,
    ) -> None:
        """Creates the client.

        Args:
            urls: Base URLs of entries, in order of preference.
            token: Bearer token, or None.
            timeout_s: Limit of each attempt.
            ca_file: Certificate authority of the entries, if not a system one.
        """
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._headers: dict[str, str] = {}
        if token is not None:
            self._headers["Authorization"] = f"Bearer {token}"
        self._timeout_s = timeout_s
        context = ssl.create_default_context(cafile=ca_file)
        self._pool = httpcore.ConnectionPool(ssl_context=context)

    def __enter__(self) -> "AdminClient":
        return self

    def __exit__(self, *details: object) -> None:
        self.close()

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()

    def get(
        self, path: str, query: Mapping[str, str] | None = None
    ) -> Reply | errors.Failure:
        """Reads a path below `/admin/v1/`."""
        encoded_query = urllib.parse.urlencode(query or {})
        target = _build_target(path) + (
            f"?{encoded_query}" if encoded_query else ""
        )
        return self._call("GET", target, None, {})

    def get_all(
        self, path: str, query: Mapping[str, str] | None = None
    ) -> list[Any] | errors.Failure:
        """Reads every page of a list."""
        items: list[Any] = []
        parameters = dict(query or {})
        while True:
            reply = self.get(path, parameters)
            if isinstance(reply, errors.Failure):
                return reply
            items.extend(reply.body["items"])
            if reply.body["next_cursor"] is None:
                return items
            parameters["cursor"] = reply.body["next_cursor"]

    def send_command(
        self,
        method: str,
        path: str,
        body: object = None,
        if_match: int | None = None,
        command_id: str | None = None,
    ) -> Reply | errors.Failure:
        """Sends a command.

        Args:
            method: PUT, POST or DELETE.
            path: Path below `/admin/v1/`.
            body: JSON value of the body, if the command has one.
            if_match: Required revision of the object; 0 for a new object.
            command_id: Id of the command; generated when None.
        """
        headers = {"Command-Id": command_id or uuid.uuid4().hex}
        if if_match is not None:
            headers["If-Match"] = str(if_match)
        return self._call(method, _build_target(path), body, headers)

    def _call(
        self,
        method: str,
        target: str,
        body: object,
        headers: Mapping[str, str],
    ) -> Reply | errors.Failure:
        content = None if body is None else json.dumps(body).encode()
        failure = errors.Failure(
            errors.ErrorKind.BAD_REQUEST, "no entry URL was given"
        )
        may_have_arrived = False
        for url in self._urls:
            try:
                response = self._pool.request(
                    method,
                    url + target,
                    headers=list({**self._headers, **headers}.items()),
                    content=content,
                    extensions={"timeout": self._timeouts()},
                )
            except _NOT_SENT_ERRORS as error:
                failure = _no_answer(url, error, may_have_arrived)
                continue
            except _LOST_ANSWER_ERRORS as error:
                may_have_arrived = True
                failure = _no_answer(url, error, may_have_arrived)
                continue
            except httpcore.UnsupportedProtocol as error:
                return errors.Failure(
                    errors.ErrorKind.BAD_REQUEST, f"{url}: {error}"
                )
            return _parse_reply(response.status, response.content)
        return failure

    def _timeouts(self) -> dict[str, float]:
        names = ("connect", "read", "write", "pool")
        return dict.fromkeys(names, self._timeout_s)


def _build_target(path: str) -> str:
    return _PREFIX + urllib.parse.quote(path)


def _no_answer(
    url: str, error: Exception, may_have_arrived: bool
) -> errors.Failure:
    """Returns the failure of a call that got no answer.

    The outcome is unknown if a request may have reached an entry.
    """
    kind = (
        errors.ErrorKind.UNDECIDED
        if may_have_arrived
        else errors.ErrorKind.NO_LEADER
    )
    description = str(error) or type(error).__name__
    return errors.Failure(kind, f"no answer from {url}: {description}")


def _parse_reply(status: int, content: bytes) -> Reply | errors.Failure:
    try:
        body = json.loads(content)
    except ValueError:
        return errors.Failure(
            errors.ErrorKind.INTERNAL,
            f"status {status} with a body that is not JSON",
        )
    if status < 300:
        return Reply(status, body)
    if not isinstance(body, dict):
        body = {}
    kinds = {kind.value: kind for kind in errors.ErrorKind}
    kind = kinds.get(str(body.get("error")), errors.ErrorKind.INTERNAL)
    reason = str(body.get("reason", f"status {status}"))
    return errors.Failure(kind, reason, body.get("detail") or {})
