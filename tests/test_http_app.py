"""Tests of the routing between the applications of an entry."""

import asyncio
from typing import Any
import unittest

import anyio

from tarragoncleat.process import http_app


class HttpAppTest(unittest.TestCase):
    """Guards against answers without an outcome and premature readiness."""

    def _get(self, path: bytes, is_ready: bool) -> list[dict]:
        sent: list[dict] = []

        async def broken(scope: Any, receive: Any, send: Any) -> None:
            raise RuntimeError("unexpected")

        async def callers(scope: Any, receive: Any, send: Any) -> None:
            await send({"type": "http.response.start", "status": 200})

        async def send(message: dict) -> None:
            sent.append(message)

        app = http_app.HttpApp(callers, broken, broken, lambda: is_ready)
        scope = {"type": "http", "raw_path": path}
        try:
            anyio.run(app, scope, None, send)
        except RuntimeError:
            self.assertEqual(path, b"/admin/v1/state")
        return sent

    def test_unexpected_error_is_answered_as_unknown(self) -> None:
        """Guards against an exception that leaves a request unanswered."""
        start, body = self._get(b"/admin/v1/state", is_ready=True)
        self.assertEqual(start["status"], 500)
        self.assertEqual(
            dict(start["headers"])[b"tarragoncleat-outcome"], b"unknown"
        )
        self.assertIn(b'"error": "internal"', body["body"])

    def test_request_that_outlasts_the_stop_is_answered_as_unknown(
        self,
    ) -> None:
        """Guards against a 500 for an operator's change that may be stored.

        The server cancels its requests at the end of the stop.
        """
        sent: list[dict] = []

        async def wait(scope: Any, receive: Any, send: Any) -> None:
            await anyio.sleep_forever()

        async def send(message: dict) -> None:
            sent.append(message)

        async def run() -> None:
            app = http_app.HttpApp(wait, wait, wait, lambda: True)
            scope = {"type": "http", "raw_path": b"/admin/v1/state"}
            request = asyncio.create_task(app(scope, None, send))
            await anyio.sleep(0)
            request.cancel()
            await asyncio.wait([request])

        anyio.run(run)
        self.assertEqual(sent[0]["status"], 504)
        self.assertEqual(
            dict(sent[0]["headers"])[b"tarragoncleat-outcome"], b"unknown"
        )

    def test_not_ready_before_the_state_is_current(self) -> None:
        """Guards against traffic for an entry that hasn't caught up."""
        self.assertEqual(self._get(b"/readyz", False)[0]["status"], 503)
        self.assertEqual(self._get(b"/readyz", True)[0]["status"], 200)


if __name__ == "__main__":
    unittest.main()
