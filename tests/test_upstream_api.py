"""Tests of PUT and DELETE /upstreams/{upstream_id}."""

from collections.abc import Mapping, MutableMapping
import hashlib
import json
from typing import Any
import unittest

import anyio

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.kernel import timer
from tarragoncleat.membership import membership
from tarragoncleat.membership import peering
from tarragoncleat.membership import upstream_api
from tests import builders

_BODY = {
    "service": "bidding",
    "address": "127.0.0.1:7001",
    "availability_zone": "fukuoka-a",
    "rack": "rack-1",
    "slots": 8,
    "connections": 64,
    "lease_ms": 3_000,
}
_OWNERS = {"bidding": ids.FirmId("hakata"), "other": ids.FirmId("rival")}


def _token(**fields: Any) -> settings.Token:
    values = {"name": "token", "role": "upstream", "firm": "hakata"}
    digest = hashlib.sha256(b"secret").hexdigest()
    return settings.Token.model_validate({"sha256": digest, **values, **fields})


class UpstreamApiTest(unittest.TestCase):
    """Guards against invalid records and access to other firms' services."""

    def setUp(self) -> None:
        own = builders.build_settings()
        clock = timer.TimerService()
        links = peering.PeerLinks(own, clock)
        self._token: settings.Token | None | errors.Failure = None
        self._membership = membership.Membership(own, links, clock)
        self._api = upstream_api.UpstreamApi(
            own,
            self._membership,
            self._authenticate,
            lambda: 17,
            _OWNERS.get,
        )

    def _authenticate(self, headers: Mapping[str, str]) -> Any:
        self.assertEqual(headers["authorization"], "Bearer secret")
        return self._token

    def _call(
        self, method: str, name: str = "u-1", body: bytes = b""
    ) -> tuple[int, dict, dict]:
        events: list[MutableMapping[str, Any]] = []
        scope = {
            "type": "http",
            "method": method,
            "path": f"/upstreams/{name}",
            "headers": [(b"authorization", b"Bearer secret")],
        }

        async def receive() -> dict:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(event: MutableMapping[str, Any]) -> None:
            events.append(event)

        anyio.run(self._api, scope, receive, send)
        headers = {name.decode(): value for name, value in events[0]["headers"]}
        return events[0]["status"], headers, json.loads(events[1]["body"])

    def _put(self, name: str = "u-1", **fields: Any) -> tuple[int, dict, dict]:
        body = json.dumps({**_BODY, **fields}).encode()
        return self._call("PUT", name, body)

    def test_announce_and_leave(self) -> None:
        """An announced upstream must be a candidate until it leaves."""
        status, _, answer = self._put(lease_ms=10)
        self.assertEqual(
            (status, answer), (200, {"lease_ms": 500, "revision": 17})
        )
        (candidate,) = self._membership.candidates(ids.ServiceId("bidding"))
        self.assertEqual((candidate.host, candidate.port), ("127.0.0.1", 7001))
        self.assertEqual(self._call("DELETE")[0], 200)
        self.assertEqual(self._call("DELETE")[0], 200)
        self.assertFalse(self._membership.candidates(ids.ServiceId("bidding")))
        self.assertEqual(self._call("DELETE", "nobody")[0], 404)

    def test_bad_fields_are_named(self) -> None:
        """An invalid field must be refused by its name and change nothing."""
        for field, value in [
            ("service", "a/b"),
            ("address", "localhost:1"),
            ("address", "127.0.0.1:0"),
            ("availability_zone", "kagoshima"),
            ("rack", 3),
            ("slots", 0),
            ("connections", "64"),
            ("lease_ms", -1),
            ("surplus", 1),
        ]:
            with self.subTest(field=field, value=value):
                status, headers, answer = self._put(**{field: value})
                self.assertEqual(status, 400)
                self.assertTrue(answer["reason"].startswith(f"{field}: "))
                self.assertEqual(headers["tarragoncleat-outcome"], b"not-run")
        for name, body in [("u-1", b"{"), ("u-1", b"[]"), ("a%2Fb", b"{}")]:
            self.assertEqual(self._call("PUT", name, body)[0], 400)
        self.assertEqual(self._call("PUT", body=b" " * 20_000)[0], 413)
        self.assertEqual(self._call("POST")[0], 400)
        self.assertEqual(self._membership.dump()["records"], 0)

    def test_tokens(self) -> None:
        """A token must not announce or remove another firm's upstreams."""
        self._put()
        for token, status in [
            (errors.Failure(errors.ErrorKind.UNAUTHORIZED, "no token"), 401),
            (_token(role="caller"), 403),
            (_token(firm="rival"), 403),
            (_token(services=["other"]), 403),
            (_token(), 200),
            (_token(firm="*"), 200),
            (_token(services=["bidding"]), 200),
        ]:
            self._token = token
            with self.subTest(token=token):
                self.assertEqual(self._put()[0], status)
        self._token = _token(firm="rival")
        self.assertEqual(self._call("DELETE")[0], 403)
        self.assertEqual(self._put(service="other")[0], 403)
        self.assertEqual(self._put("u-2", service="other")[0], 200)
        self.assertEqual(self._put("u-3", service="unknown")[0], 403)
