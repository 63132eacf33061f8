"""Tests of the dispatch between the applications of an entry."""

from typing import Any
import unittest

import anyio

from tarragoncleat.process import http_app


class HttpAppTest(unittest.TestCase):
    """Guards against answers without an outcome, and against early traffic."""

    def _get(self, path: bytes, has_state: bool) -> list[dict]:
        sent: list[dict] = []

        async def broken(scope: Any, receive: Any, send: Any) -> None:
            raise RuntimeError("unexpected")

        async def callers(scope: Any, receive: Any, send: Any) -> None:
            await send({"type": "http.response.start", "status": 200})

        async def send(message: dict) -> None:
            sent.append(message)

        app = http_app.HttpApp(callers, broken, broken, lambda: has_state)
        scope = {"type": "http", "raw_path": path}
        try:
            anyio.run(app, scope, None, send)
        except RuntimeError:
            self.assertEqual(path, b"/admin/v1/state")
        return sent

    def test_unexpected_error_is_answered_as_unknown(self) -> None:
        start, body = self._get(b"/admin/v1/state", has_state=True)
        self.assertEqual(start["status"], 500)
        self.assertEqual(
            dict(start["headers"])[b"tarragoncleat-outcome"], b"unknown"
        )
        self.assertIn(b'"error": "internal"', body["body"])

    def test_not_ready_before_the_state_is_current(self) -> None:
        self.assertEqual(self._get(b"/readyz", False)[0]["status"], 503)
        self.assertEqual(self._get(b"/readyz", True)[0]["status"], 200)


if __name__ == "__main__":
    unittest.main()
