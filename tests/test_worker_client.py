"""Tests of the calls to workers over persistent connections."""

from collections.abc import Awaitable, Callable
import json
from typing import Any
import unittest

import anyio
import anyio.abc

from fleet_adapter import worker_client
from tarragoncleat.batch.workers import clients
from tests import batch_builders

_RESPONSE = b'{"clock-ms":100}'
_BORN_MS = 1_780_953_740_000
_ORDER = clients.StopOrder(batch_builders.task_key(), 1, 7)
_Outcome = clients.OrderOutcome


class _Server:
    """Responds to each request as its attributes state."""

    def __init__(self) -> None:
        self.connections = 0
        self.requests = 0
        self.responds = True
        self.received = b""
        self.status = b"200 OK"
        self.response = _RESPONSE
        self.closes_connections = False
        self.may_respond = anyio.Event()
        self.may_respond.set()

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one connection."""
        self.connections += 1
        async with stream:
            try:
                while True:
                    data = b""
                    while b"}" not in data:
                        data += await stream.receive()
                    self.requests += 1
                    self.received = data
                    await self.may_respond.wait()
                    if self.responds:
                        head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n"
                        size = len(self.response)
                        await stream.send(
                            head % (self.status, size) + self.response
                        )
                    if self.closes_connections:
                        return
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return


class WorkerClientTest(unittest.TestCase):
    """Guards against responses to the wrong call and repeated calls."""

    def _run(
        self,
        scenario: Callable[
            [_Server, worker_client.HttpWorkerClient], Awaitable[None]
        ],
        worker_id: str = "w-1",
    ) -> None:
        async def main() -> None:
            server = _Server()
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            record = batch_builders.build_record(
                worker_id, address=f"127.0.0.1:{port}"
            )
            calls = worker_client.HttpWorkerClient(record)
            with anyio.fail_after(20):
                async with listener, anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, server.handle)
                    await scenario(server, calls)
                    await calls.close()
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_sequential_calls_share_one_connection(self) -> None:
        """Guards against a new connection for each call."""

        async def scenario(
            server: _Server, calls: worker_client.HttpWorkerClient
        ) -> None:
            for _ in range(5):
                reply = await calls.stop(_ORDER)
                self.assertIs(reply.outcome, _Outcome.ACCEPTED)
                self.assertEqual(reply.clock_ms, 100)
            self.assertEqual((server.connections, server.requests), (1, 5))

        self._run(scenario)

    def test_concurrent_calls_use_separate_connections(self) -> None:
        """Guards against concurrent calls that wait for one connection."""

        async def scenario(
            server: _Server, calls: worker_client.HttpWorkerClient
        ) -> None:
            server.may_respond = anyio.Event()
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(calls.stop, _ORDER)
                while server.requests < 4:
                    await anyio.sleep(0.005)
                server.may_respond.set()
            self.assertEqual(server.connections, 4)
            await calls.stop(_ORDER)
            self.assertEqual(server.connections, 4)

        self._run(scenario)

    def test_closed_connection_is_not_used_again(self) -> None:
        """Guards against calls that fail on a connection closed by the peer."""

        async def scenario(
            server: _Server, calls: worker_client.HttpWorkerClient
        ) -> None:
            server.closes_connections = True
            for number in range(1, 4):
                reply = await calls.stop(_ORDER)
                self.assertIs(reply.outcome, _Outcome.ACCEPTED)
                self.assertEqual(server.connections, number)
                # Wait until the client has received the end of the connection.
                await anyio.sleep(0.05)

        self._run(scenario)

    def test_unanswered_call_is_reported_and_sent_once(self) -> None:
        """Guards against a repeated order and a late response to another."""

        async def scenario(
            server: _Server, calls: worker_client.HttpWorkerClient
        ) -> None:
            server.responds = False
            reply = await calls.stop(_ORDER)
            self.assertIs(reply.outcome, _Outcome.UNANSWERED)
            self.assertEqual(server.requests, 1)
            server.responds = True
            reply = await calls.stop(_ORDER)
            self.assertIs(reply.outcome, _Outcome.ACCEPTED)
            self.assertEqual(server.connections, 2)

        self._run(scenario)

    def _answers(self, worker_id: str, **fields: Any) -> tuple[Any, Any]:
        """Returns the results of a stop and of a renewal."""
        results: list[Any] = []

        async def scenario(
            server: _Server, calls: worker_client.HttpWorkerClient
        ) -> None:
            body = {"clock-ms": 100, "running-tasks": [], "ended": []}
            server.response = json.dumps({**body, **fields}).encode()
            results.append(await calls.stop(_ORDER))
            self.assertIn(
                b"expected-instance: w-1\r\n", server.received.lower()
            )
            renewal = clients.RenewLeaseOrder(None, 7, 0, 0)
            results.append(await calls.renew_lease(renewal))

        self._run(scenario, worker_id)
        return results[0], results[1]

    def test_answer_of_the_same_incarnation_counts(self) -> None:
        """Guards against a worker that tells its start and isn't used."""
        stop, report = self._answers(f"w-1@{_BORN_MS}", born=_BORN_MS)
        self.assertEqual(stop, clients.OrderReply(_Outcome.ACCEPTED, 100))
        self.assertEqual(report, clients.WorkerReport(100, (), ()))

    def test_answer_of_the_next_incarnation_ends_this_one(self) -> None:
        """The expected id can't tell them apart, and the clock began anew."""
        stop, report = self._answers(f"w-1@{_BORN_MS}", born=_BORN_MS + 1)
        self.assertEqual(stop, clients.OrderReply(_Outcome.RESTARTED))
        self.assertTrue(report.is_successor)

    def test_answer_that_is_not_of_this_incarnation_is_none(self) -> None:
        """Guards against a late answer and one of another writer."""
        unanswered = clients.OrderReply(_Outcome.UNANSWERED)
        for born in (_BORN_MS - 1, str(_BORN_MS), 1.5, None, True, -1):
            with self.subTest(born=born):
                answers = self._answers(f"w-1@{_BORN_MS}", born=born)
                self.assertEqual(answers, (unanswered, unanswered))

    def test_order_reply_may_leave_out_the_incarnation(self) -> None:
        """Its clock may be a successor's; a report says which one answered."""
        stop, report = self._answers(f"w-1@{_BORN_MS}")
        self.assertEqual(stop, clients.OrderReply(_Outcome.ACCEPTED))
        self.assertEqual(report, clients.OrderReply(_Outcome.UNANSWERED))

    def test_refusal_by_a_successor_is_still_a_refusal(self) -> None:
        """Guards against a start that counts as accepted for want of room."""

        async def scenario(
            server: _Server, calls: worker_client.HttpWorkerClient
        ) -> None:
            server.status = b"409 Conflict"
            for born in (_BORN_MS, _BORN_MS + 1):
                body = {"clock-ms": 100, "reason": "room", "born": born}
                server.response = json.dumps(body).encode()
                reply = await calls.stop(_ORDER)
                self.assertIs(reply.outcome, _Outcome.NO_ROOM)
                self.assertEqual(reply.clock_ms is None, born != _BORN_MS)

        self._run(scenario, f"w-1@{_BORN_MS}")

    def test_worker_that_tells_no_start_is_served_as_before(self) -> None:
        """Its heartbeats decide; what its answers tell isn't looked at."""
        for fields in ({}, {"born": _BORN_MS}, {"born": "x"}):
            stop, report = self._answers("w-1", **fields)
            self.assertEqual(stop, clients.OrderReply(_Outcome.ACCEPTED, 100))
            self.assertEqual(report, clients.WorkerReport(100, (), ()))


if __name__ == "__main__":
    unittest.main()
