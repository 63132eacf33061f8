"""The HTTP API by which upstreams announce themselves and leave."""

from collections.abc import Awaitable, Callable, Mapping, MutableMapping
import json
from typing import Annotated, Any
import uuid

import pydantic

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import request_body
from tarragoncleat.kernel import settings as settings_module
from tarragoncleat.membership import membership as membership_module
from tarragoncleat.membership import upstreams

__all__ = ["Authenticate", "OwnerOf", "UpstreamApi"]

Authenticate = Callable[
    [Mapping[str, str]], settings_module.Token | None | errors.Failure
]
OwnerOf = Callable[[ids.ServiceId], ids.FirmId | None]

_PREFIX = "/upstreams/"
_MAX_BODY_BYTES = 16_384
_ID = pydantic.Field(pattern="^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
_MAX_SLOTS = 100_000
_Id = Annotated[str, _ID]
_Scope = MutableMapping[str, Any]
_Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
_Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
_UPSTREAM_ID = pydantic.TypeAdapter(_Id)


def _check_address(address: str) -> str:
    settings_module.host_and_port(address)
    return address


class _AnnouncementBody(pydantic.BaseModel):
    """Body of PUT /upstreams/{upstream_id}."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    service: _Id
    address: Annotated[str, pydantic.AfterValidator(_check_address)]
    availability_zone: _Id
    rack: _Id
    slots: int = pydantic.Field(ge=1, le=_MAX_SLOTS)
    connections: int = pydantic.Field(ge=1, le=_MAX_SLOTS)
    lease_ms: int = pydantic.Field(ge=1)


class UpstreamApi:
    """ASGI application for `PUT` and `DELETE /upstreams/{upstream_id}`."""

    def __init__(
        self,
        settings: settings_module.Settings,
        membership: membership_module.Membership,
        authenticate: Authenticate,
        revision: Callable[[], int],
        owner_of: OwnerOf,
    ) -> None:
        """Creates the application.

        Args:
            settings: Settings of the entry.
            membership: Registry to announce to.
            authenticate: Returns the token of a request from its headers with
                lower-case names, None where no token is required, or a
                `Failure`.
            revision: Returns the configuration revision in force.
            owner_of: Returns the firm that owns a service, None for a service
                that is not configured.
        """
        self._settings = settings
        self._membership = membership
        self._authenticate = authenticate
        self._revision = revision
        self._owner_of = owner_of

    async def __call__(
        self, scope: _Scope, receive: _Receive, send: _Send
    ) -> None:
        """Answers one request."""
        result = await self._handle(scope, receive)
        if isinstance(result, errors.Failure):
            await _send_failure(send, result)
        else:
            await _send_json(send, 200, result, [])

    async def _handle(
        self, scope: _Scope, receive: _Receive
    ) -> dict | errors.Failure:
        token = self._authenticate(_headers(scope))
        if isinstance(token, errors.Failure):
            return token
        try:
            upstream_id = ids.UpstreamId(
                _UPSTREAM_ID.validate_python(
                    scope["path"].removeprefix(_PREFIX)
                )
            )
        except pydantic.ValidationError as error:
            return _bad_request(f"upstream_id: {error.errors()[0]['msg']}")
        if scope["method"] == "PUT":
            return await self._put(upstream_id, token, scope, receive)
        if scope["method"] == "DELETE":
            return await self._delete(upstream_id, token)
        return _bad_request("method must be PUT or DELETE")

    async def _put(
        self,
        upstream_id: ids.UpstreamId,
        token: settings_module.Token | None,
        scope: _Scope,
        receive: _Receive,
    ) -> dict | errors.Failure:
        idle_timeout_ms = self._settings.callers.body_idle_timeout_ms
        data = await request_body.read(
            scope["headers"],
            receive,
            request_body.BodyLimits(_MAX_BODY_BYTES, idle_timeout_ms / 1000),
        )
        if isinstance(data, errors.Failure):
            return data
        body = self._parse(data)
        if isinstance(body, errors.Failure):
            return body
        failure = self._check_token(token, ids.ServiceId(body.service))
        if failure is None:
            failure = self._check_owner(token, upstream_id)
        if failure is not None:
            return failure
        record = self._membership.announce(
            self._build_announcement(upstream_id, body)
        )
        if isinstance(record, errors.Failure):
            return record
        return {"lease_ms": record.lease_ms, "revision": self._revision()}

    async def _delete(
        self, upstream_id: ids.UpstreamId, token: settings_module.Token | None
    ) -> dict | errors.Failure:
        failure = self._check_owner(token, upstream_id)
        if failure is not None:
            return failure
        failure = await self._membership.leave(upstream_id)
        if failure is not None:
            return failure
        return {"revision": self._revision()}

    def _parse(self, data: bytes) -> _AnnouncementBody | errors.Failure:
        try:
            body = _AnnouncementBody.model_validate_json(data)
        except pydantic.ValidationError as error:
            return _bad_request("; ".join(map(_describe, error.errors())))
        own_zone = self._settings.availability_zone
        if body.availability_zone != own_zone:
            return _bad_request(
                f"availability_zone: this entry serves {own_zone}; announce "
                f"to an entry of {body.availability_zone}"
            )
        return body

    def _build_announcement(
        self, upstream_id: ids.UpstreamId, body: _AnnouncementBody
    ) -> upstreams.Announcement:
        """Returns the announcement, with the lease clamped to the limits."""
        limits = self._settings.membership
        host, port = settings_module.host_and_port(body.address)
        lease_ms = max(body.lease_ms, limits.min_lease_ms)
        return upstreams.Announcement(
            upstream_id=upstream_id,
            service=ids.ServiceId(body.service),
            host=host,
            port=port,
            availability_zone=ids.AvailabilityZone(body.availability_zone),
            rack=ids.Rack(body.rack),
            slots=body.slots,
            connections=body.connections,
            lease_ms=min(lease_ms, limits.max_lease_ms),
        )

    def _check_owner(
        self, token: settings_module.Token | None, upstream_id: ids.UpstreamId
    ) -> errors.Failure | None:
        """Checks that the token covers the service of a known upstream."""
        record = self._membership.record(upstream_id)
        return self._check_token(token, record.service) if record else None

    def _check_token(
        self, token: settings_module.Token | None, service: ids.ServiceId
    ) -> errors.Failure | None:
        if token is None:
            return None
        if token.role is not settings_module.Role.UPSTREAM:
            return _forbidden("the token does not have the role upstream")
        if token.services and service not in token.services:
            return _forbidden("the token does not cover this service")
        owner = self._owner_of(service)
        known = owner is not None or bool(token.services)
        if token.firm != "*" and not (known and owner in (None, token.firm)):
            return _forbidden("the token's firm does not own this service")
        return None


def _headers(scope: _Scope) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


def _describe(error: Any) -> str:
    field = ".".join(str(part) for part in error["loc"]) or "body"
    return f"{field}: {error['msg']}"


def _bad_request(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)


def _forbidden(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.FORBIDDEN, reason)


async def _send_failure(send: _Send, failure: errors.Failure) -> None:
    response = errors.HTTP_RESPONSES[failure.kind]
    headers = [(b"tarragoncleat-outcome", response.outcome.value.encode())]
    if response.retry_after_s is not None:
        headers.append((b"retry-after", str(response.retry_after_s).encode()))
    body = {
        "error": failure.kind.value,
        "reason": failure.reason,
        "request_id": uuid.uuid4().hex,
    }
    await _send_json(send, response.status, body, headers)


async def _send_json(
    send: _Send,
    status: int,
    value: dict,
    headers: list[tuple[bytes, bytes]],
) -> None:
    body = json.dumps(value).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        *headers,
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})
