"""Tests of the calls to workers over kept connections."""

from collections.abc import Awaitable, Callable
import unittest

import anyio
import anyio.abc

from fleet_adapter import worker_client
from tarragoncleat.batch import clients
from tests import batch_builders

_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n"
    b"Content-Type: application/json\r\n\r\n"
    b'{"clock-ms":100}'
)
_ORDER = clients.StopOrder(batch_builders.task_key(), 1, 7)
_Outcome = clients.OrderOutcome


class _Server:
    """Answers each request of each connection, as its script says."""

    def __init__(self) -> None:
        self.connections = 0
        self.requests = 0
        self.answers = True
        self.closes = False
        self.is_held = anyio.Event()
        self.is_held.set()

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
                    await self.is_held.wait()
                    if self.answers:
                        await stream.send(_ANSWER)
                    if self.closes:
                        return
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return


class WorkerClientTest(unittest.TestCase):
    """Guards against calls that are mixed up, repeated or never ended."""

    def _play(
        self,
        scenario: Callable[
            [_Server, worker_client.HttpWorkerCalls], Awaitable[None]
        ],
    ) -> None:
        async def main() -> None:
            server = _Server()
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            record = batch_builders.build_record(address=f"127.0.0.1:{port}")
            calls = worker_client.HttpWorkerCalls(record)
            with anyio.fail_after(20):
                async with listener, anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, server.handle)
                    await scenario(server, calls)
                    await calls.close()
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_calls_in_turn_share_one_connection(self) -> None:
        async def scenario(
            server: _Server, calls: worker_client.HttpWorkerCalls
        ) -> None:
            for _ in range(5):
                reply = await calls.stop(_ORDER)
                self.assertIs(reply.outcome, _Outcome.ACCEPTED)
                self.assertEqual(reply.clock_ms, 100)
            self.assertEqual((server.connections, server.requests), (1, 5))

        self._play(scenario)

    def test_calls_at_once_get_a_connection_each(self) -> None:
        async def scenario(
            server: _Server, calls: worker_client.HttpWorkerCalls
        ) -> None:
            server.is_held = anyio.Event()
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(calls.stop, _ORDER)
                while server.requests < 4:
                    await anyio.sleep(0.005)
                server.is_held.set()
            self.assertEqual(server.connections, 4)
            await calls.stop(_ORDER)
            self.assertEqual(server.connections, 4)

        self._play(scenario)

    def test_closed_connection_is_not_used_again(self) -> None:
        async def scenario(
            server: _Server, calls: worker_client.HttpWorkerCalls
        ) -> None:
            server.closes = True
            for number in range(1, 4):
                reply = await calls.stop(_ORDER)
                self.assertIs(reply.outcome, _Outcome.ACCEPTED)
                self.assertEqual(server.connections, number)
                # The end of the connection has to arrive here.
                await anyio.sleep(0.05)

        self._play(scenario)

    def test_call_without_an_answer_is_said_so_and_sent_once(self) -> None:
        """Guards against a repeated order and a late answer to another one."""

        async def scenario(
            server: _Server, calls: worker_client.HttpWorkerCalls
        ) -> None:
            server.answers = False
            reply = await calls.stop(_ORDER)
            self.assertIs(reply.outcome, _Outcome.UNANSWERED)
            self.assertEqual(server.requests, 1)
            server.answers = True
            reply = await calls.stop(_ORDER)
            self.assertIs(reply.outcome, _Outcome.ACCEPTED)
            self.assertEqual(server.connections, 2)

        self._play(scenario)


if __name__ == "__main__":
    unittest.main()
