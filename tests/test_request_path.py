"""Tests of the request path against real upstream processes."""

from collections.abc import Awaitable, Callable, Iterator
import contextlib
import json
import pathlib
import tempfile
from typing import Any
import unittest

import anyio

from tarragoncleat.state import profiles
from tests import request_path_rig as rig

_ENTRY = f"{rig.HOST}:9100"
_ADDRESSES = {"up-1": f"{rig.HOST}:9101", "up-2": f"{rig.HOST}:9102"}
_UNREACHABLE = f"{rig.HOST}:9199"
_URL = "/services/bidding/"
_MIDWAY_FAULTS = ("reset-midway", "close-midway")
# Exceeds the kernel buffers of two hops, each up to 32 MiB for receiving and
# 4 MiB for sending.
_LARGE_BODY_BYTES = 134_217_728
_CHUNK = bytes(1_048_576)
# Maximum time until an upstream on a busy machine reads what it was sent.
_LATE_RUNS_S = 10.0


class RequestPathTest(unittest.TestCase):
    """Guards against lost, repeated, mixed and truncated answers."""

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls._log_file = pathlib.Path(folder) / "runs"
        for name, address in _ADDRESSES.items():
            arguments = ["--upstream-id", name, "--address", address]
            arguments += ["--service", "bidding"]
            arguments += ["--log-file", str(cls._log_file)]
            cls.enterClassContext(rig.run_standin(*arguments))

    def setUp(self) -> None:
        self._upstreams = rig.Upstreams()
        for name, address in _ADDRESSES.items():
            self._upstreams.add("bidding", name, address)

    def _run(self, test: Callable[[Any], Awaitable], **options: Any) -> None:
        async def run() -> None:
            with anyio.fail_after(30):
                async with rig.run_entry(
                    _ENTRY, self._upstreams, **options
                ) as api:
                    await test(api)

        anyio.run(run)

    def _runs(self, reply: rig.Reply) -> list[str]:
        request_id = reply.headers["tarragoncleat-request-id"]
        return [
            line["upstream"]
            for line in self._log("run")
            if line["request_id"] == request_id
        ]

    def _log(self, event: str) -> Iterator[dict]:
        for line in self._log_file.read_text().splitlines():
            fields = json.loads(line)
            if fields["event"] == event:
                yield fields

    async def _get(self, **headers: str) -> rig.Reply:
        return await self._call("GET", **headers)

    async def _call(
        self, method: str, body: bytes = b"", **headers: str
    ) -> rig.Reply:
        named = {k.replace("_", "-"): v for k, v in headers.items()}
        caller = rig.Caller(_ENTRY)
        async with contextlib.aclosing(caller):
            return await caller.request(method, _URL, named, body)

    def test_bid_is_sent_once_whatever_the_upstream_does(self) -> None:
        """Guards against running a non-idempotent request twice."""

        async def check(api: Any) -> None:
            for fault in (
                "reset-before-answer",
                "reset-midway",
                "close-midway",
            ):
                reply = await self._call("POST", b"1", x_standin_fault=fault)
                self.assertEqual(
                    (reply.status, reply.outcome), (502, "unknown")
                )
                self.assertEqual(len(self._runs(reply)), 1, fault)

        self._run(check)

    def test_unreachable_upstream_loses_no_request(self) -> None:
        """Guards against losing a bid that was never sent."""
        self._upstreams.add("bidding", "up-0", _UNREACHABLE)

        async def check(api: Any) -> None:
            for _ in range(30):
                reply = await self._call("POST", b"1")
                self.assertEqual(reply.status, 200)
                self.assertEqual(len(self._runs(reply)), 1)
            self.assertEqual(self._upstreams.suspects, {"up-0"})

        self._run(check)

    def test_idempotent_request_is_retried_elsewhere(self) -> None:
        """Guards against reporting a reset or a refusal that a retry avoids."""

        async def check(api: Any) -> None:
            for fault in ("reset-before-answer", "reset-midway", "refuse"):
                for only in _ADDRESSES:
                    for _ in range(2):
                        reply = await self._get(
                            x_standin_fault=fault, x_standin_only=only
                        )
                        self.assertEqual(reply.status, 200)
                        self.assertNotEqual(reply.json["upstream"], only)

        self._run(check, routing={"eject_after_failures": 100})

    def test_refused_bid_is_reported_as_not_run(self) -> None:
        """Guards against `not-run` for a request that ran."""

        async def check(api: Any) -> None:
            reply = await self._call("POST", b"1", x_standin_fault="refuse")
            self.assertEqual((reply.status, reply.outcome), (503, "not-run"))
            self.assertEqual(self._runs(reply), [])
            self.assertIn("retry-after", reply.headers)

        self._run(check)

    def test_answers_are_never_mixed(self) -> None:
        """Guards against a late or extra answer reaching another caller."""

        async def call(number: int) -> None:
            headers = {"X-Standin-Delay-Ms": str(number * 37 % 50)}
            if number % 3 == 0:
                headers["Tarragoncleat-Deadline-Ms"] = "20"
            if number % 5 == 0:
                headers["X-Standin-Fault"] = "extra-answer"
            caller = rig.Caller(_ENTRY)
            async with contextlib.aclosing(caller):
                for turn in range(5):
                    target = f"{_URL}{number}/{turn}?q={number}"
                    reply = await caller.request("GET", target, headers)
                    if reply.status == 200:
                        expected = f"/{number}/{turn}?q={number}"
                        self.assertEqual(reply.json["target"], expected)
                    else:
                        self.assertIn(reply.status, (502, 504))
                        self.assertEqual(reply.outcome, "unknown")

        async def check(api: Any) -> None:
            async with anyio.create_task_group() as group:
                for number in range(16):
                    group.start_soon(call, number)

        self._run(check)

    def test_truncated_answer_arrives_as_broken(self) -> None:
        """Guards against a truncated answer that looks complete."""

        async def check(api: Any) -> None:
            for fault in _MIDWAY_FAULTS:
                for more in ({}, {"x_standin_chunked": "1"}):
                    reply = await self._call(
                        "POST",
                        b"1",
                        x_standin_fault=fault,
                        x_standin_answer_bytes="1000000",
                        **more,
                    )
                    self.assertTrue(reply.broken, (fault, more))

        self._run(check)

    def test_failing_upstreams_cause_no_retry_storm(self) -> None:
        """Guards against retries that multiply the load of failures."""

        async def check(api: Any) -> None:
            for _ in range(200):
                reply = await self._get(x_standin_fault="reset-before-answer")
                self.assertEqual(
                    (reply.status, reply.outcome), (502, "unknown")
                )
            before = len(list(self._log("run")))
            for _ in range(200):
                await self._get(x_standin_fault="reset-before-answer")
            # 200 requests and a retry budget of a tenth of them, no floor.
            added = len(list(self._log("run"))) - before
            self.assertLessEqual(added, 220)

        self._run(check, routing={"retry_floor_per_s": 0})

    def test_slow_upstreams_cause_no_retries(self) -> None:
        """Guards against retries of requests that timed out."""
        replies: list[rig.Reply] = []

        async def call() -> None:
            reply = await self._get(
                x_standin_delay_ms="400", tarragoncleat_deadline_ms="100"
            )
            self.assertIn(reply.status, (503, 504))
            expected = "unknown" if reply.status == 504 else "not-run"
            self.assertEqual(reply.outcome, expected)
            replies.append(reply)

        async def check(api: Any) -> None:
            async with anyio.create_task_group() as group:
                for _ in range(40):
                    group.start_soon(call)
            sent = [reply for reply in replies if reply.status == 504]
            # The upstream reads a request later than the entry gives up on it.
            with anyio.move_on_after(_LATE_RUNS_S):
                while not all(self._runs(reply) for reply in sent):
                    await anyio.sleep(0.05)
            for reply in replies:
                runs = self._runs(reply)
                self.assertEqual(len(runs), int(reply.status == 504))

        self._run(check)

    def test_overload_refuses_the_lowest_standing_first(self) -> None:
        """Guards against refusing urgent work while other work is queued."""
        directory = rig.Directory()
        for standing in profiles.Standing:
            directory.standings[standing.value] = standing
            self._upstreams.add(standing.value, "up-1", _ADDRESSES["up-1"])
        replies: dict[str, list[rig.Reply]] = {}
        folder = self.enterContext(tempfile.TemporaryDirectory())
        hold_file = pathlib.Path(folder) / "answer"

        async def call(service: str) -> None:
            caller = rig.Caller(_ENTRY)
            async with contextlib.aclosing(caller):
                headers = {"X-Standin-Hold": str(hold_file)}
                reply = await caller.request(
                    "POST", f"/services/{service}/", headers, b"1"
                )
                replies.setdefault(service, []).append(reply)

        async def wait_admitted(api: Any, count: int) -> None:
            """Waits until `count` requests are in flight, queued or refused."""
            while True:
                state = api.dump()["dispatcher"]
                refused = sum(len(answers) for answers in replies.values())
                if state["in_flight"] + state["queued"] + refused == count:
                    return
                await anyio.sleep(0.01)

        async def check(api: Any) -> None:
            async with anyio.create_task_group() as group:
                for sent, service in enumerate(("low", "normal", "urgent"), 1):
                    for _ in range(4):
                        group.start_soon(call, service)
                    await wait_admitted(api, 4 * sent)
                hold_file.touch()

        # The timeout is long, so that no request is refused by it even on a
        # slow machine: only refusals by standing are counted.
        limits = {
            "max_in_flight": 2,
            "max_queued": 6,
            "queue_timeout_ms": 60_000,
        }
        self._run(check, routing=limits, directory=directory)
        refused = {
            service: [reply for reply in got if reply.status == 503]
            for service, got in replies.items()
        }
        # 8 of 12 fit. The refused ones are LOW, except for the 2 in flight,
        # and, once no LOW is left in the queue, NORMAL.
        counts = {name: len(answers) for name, answers in refused.items()}
        self.assertEqual(counts, {"low": 2, "normal": 2, "urgent": 0})
        for reply in refused["low"] + refused["normal"]:
            self.assertEqual(reply.outcome, "not-run")
            self.assertEqual(self._runs(reply), [])
            self.assertIn("retry-after", reply.headers)

    def test_messages_of_all_framings_arrive_whole(self) -> None:
        """Guards against framing errors on either side."""

        async def check(api: Any) -> None:
            reply = await self._call("HEAD")
            self.assertEqual((reply.status, reply.body), (200, b""))
            for status in (204, 304):
                reply = await self._get(x_standin_status=str(status))
                self.assertEqual((reply.status, reply.body), (status, b""))
            for size in (0, 5, 65_536, 3_000_000):
                for more in ({}, {"x_standin_chunked": "1"}):
                    reply = await self._get(
                        x_standin_answer_bytes=str(size), **more
                    )
                    self.assertEqual(len(reply.body), size)
                reply = await self._call("PUT", b"x" * size)
                self.assertEqual(reply.json["body_bytes"], size)
            for _ in range(3):
                reply = await self._call("POST", x_standin_fault="close-after")
                self.assertEqual(reply.status, 200)

        self._run(check)

    def test_expect_continue_and_chunked_body(self) -> None:
        """Guards against a caller that waits for 100 Continue for ever."""

        async def check(api: Any) -> None:
            host, _, port = _ENTRY.rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(
                    b"POST /services/bidding/a HTTP/1.1\r\nHost: entry\r\n"
                    b"Expect: 100-continue\r\nConnection: close\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                )
                interim = await stream.receive()
                self.assertTrue(interim.startswith(b"HTTP/1.1 100"), interim)
                await stream.send(b"3\r\nabc\r\n0\r\n\r\n")
                answer = b""
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        answer += await stream.receive()
                self.assertIn(b'"body_bytes": 3', answer)

        self._run(check)

    def test_garbage_after_a_request_does_not_answer_it(self) -> None:
        """Guards against `not-run` for a request in flight."""

        async def check(api: Any) -> None:
            host, _, port = _ENTRY.rpartition(":")
            head = b"POST /services/bidding/a HTTP/1.1\r\nHost: entry\r\n"
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(head + b"X-Standin-Delay-Ms: 300\r\n\r\n")
                while not any(self._upstreams.reported.values()):
                    await anyio.sleep(0.01)
                await stream.send(b"\0\0\0\r\n\r\n")
                with self.assertRaises(anyio.EndOfStream):
                    self.fail(await stream.receive())
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(b"\0\0\0\r\n\r\n")
                answer = await stream.receive()
                self.assertIn(b"tarragoncleat-outcome: not-run", answer)

        self._run(check)

    def test_late_upstream_is_ejected_but_not_for_short_deadlines(
        self,
    ) -> None:
        """Guards against a stuck upstream that keeps receiving requests."""

        async def check(api: Any) -> None:
            late = {"x_standin_delay_ms": "2000"}
            for deadline_ms, ejected in (("50", 0), ("100", 1)):
                for _ in range(4):
                    reply = await self._get(
                        tarragoncleat_deadline_ms=deadline_ms, **late
                    )
                    self.assertEqual(reply.status, 504)
                states = api.dump()["dispatcher"]["services"]["bidding"]
                out = [s for s in states.values() if s["ejected_for_s"] > 0]
                self.assertEqual(len(out) >= 1, bool(ejected))

        limits = {"default_deadline_ms": 100, "eject_after_failures": 2}
        self._run(check, routing=limits)

    def test_disconnect_cancels_an_idempotent_request(self) -> None:
        """Guards against work for callers that have disconnected."""

        async def check(api: Any) -> None:
            caller = rig.Caller(_ENTRY)
            headers = {"X-Standin-Delay-Ms": "60000"}
            await caller.send_request("GET", _URL, headers, b"")
            while not self._upstreams.reported.get("up-1"):
                await anyio.sleep(0.01)
            await anyio.sleep(0.1)
            await caller.aclose()
            while api.in_flight:
                await anyio.sleep(0.01)
            self.assertEqual(api.dump()["idle_connections"], 0)
            self.assertEqual(self._upstreams.reported["up-1"], 0)

        self._run(check)

    def test_request_that_outlasts_the_stop_is_answered(self) -> None:
        """Guards against a 500 without an outcome at the end of a stop."""

        async def run() -> None:
            async with rig.run_entry(_ENTRY, self._upstreams):
                caller = rig.Caller(_ENTRY)
                headers = {"X-Standin-Delay-Ms": "60000"}
                await caller.send_request("GET", _URL, headers, b"")
                while not self._upstreams.reported.get("up-1"):
                    await anyio.sleep(0.01)
            reply = await caller.read_reply()
            self.assertEqual(reply.status, 504)
            self.assertEqual(reply.headers["tarragoncleat-outcome"], "unknown")
            await caller.aclose()

        anyio.run(run)

    def test_slow_caller_slows_the_upstream_down(self) -> None:
        """Guards against buffering an answer that the caller does not read."""

        async def check(api: Any) -> None:
            caller = rig.Caller(_ENTRY)
            headers = {"X-Standin-Answer-Bytes": str(_LARGE_BODY_BYTES)}
            await caller.send_request("GET", _URL, headers, b"")
            await anyio.sleep(1)
            lines_before = len(list(self._log("answered")))
            reply = await caller.read_reply()
            self.assertEqual(len(reply.body), _LARGE_BODY_BYTES)
            await anyio.sleep(0.1)
            answered = [
                line
                for line in list(self._log("answered"))[lines_before:]
                if line["answer_bytes"] == _LARGE_BODY_BYTES
            ]
            self.assertEqual(len(answered), 1)
            await caller.aclose()

        self._run(check)

    def test_slow_upstream_slows_the_caller_down(self) -> None:
        """Guards against buffering a body that the upstream does not read."""

        async def check(api: Any) -> None:
            host, _, port = _ENTRY.rpartition(":")
            sent = 0
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(
                    b"PUT /services/bidding/a HTTP/1.1\r\nHost: entry\r\n"
                    b"X-Standin-Fault: slow-read\r\n"
                    b"Content-Length: %d\r\n\r\n" % _LARGE_BODY_BYTES
                )
                with anyio.move_on_after(1):
                    while sent < _LARGE_BODY_BYTES:
                        await stream.send(_CHUNK)
                        sent += len(_CHUNK)
            self.assertLess(sent, _LARGE_BODY_BYTES)

        self._run(check, callers={"max_body_bytes": _LARGE_BODY_BYTES})

    def test_limits_of_the_caller(self) -> None:
        """Guards against callers that send too much, too slowly, too often."""

        async def check(api: Any) -> None:
            reply = await self._call("POST", bytes(200_000))
            self.assertEqual((reply.status, reply.outcome), (413, "not-run"))
            reply = await self._get(x_padding="x" * 2_000)
            self.assertEqual((reply.status, reply.outcome), (431, "not-run"))
            host, _, port = _ENTRY.rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(
                    b"POST /services/bidding/a HTTP/1.1\r\nHost: entry\r\n"
                    b"Content-Length: 10\r\n\r\nabc"
                )
                answer = await stream.receive()
                self.assertIn(b" 408 ", answer.partition(b"\r\n")[0])
            statuses = []

            async def call() -> None:
                reply = await self._get(x_standin_delay_ms="300")
                statuses.append(reply.status)

            async with anyio.create_task_group() as group:
                for _ in range(6):
                    group.start_soon(call)
            self.assertEqual(sorted(statuses), [200] * 4 + [429] * 2)

        limits = {
            "max_body_bytes": 100_000,
            "max_header_bytes": 1_500,
            "body_idle_timeout_ms": 100,
            "max_connections_per_caller": 4,
        }
        self._run(check, callers=limits)


if __name__ == "__main__":
    unittest.main()
