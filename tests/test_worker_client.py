"""Tests of the calls to workers over persistent connections."""

from collections.abc import Awaitable, Callable
import unittest

import anyio
import anyio.abc

from fleet_adapter import worker_client
from tarragoncleat.batch import clients
from tests import batch_builders

_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n"
    b"Content-Type: application/json\r\n\r\n"
    b'{"clock-ms":100}'
)
_ORDER = clients.StopOrder(batch_builders.task_key(), 1, 7)
_Outcome = clients.OrderOutcome


class _Server:
    """Responds to each request as its attributes state."""

    def __init__(self) -> None:
        self.connections = 0
        self.requests = 0
        self.responds = True
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
                    await self.may_respond.wait()
                    if self.responds:
                        await stream.send(_RESPONSE)
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
    ) -> None:
        async def main() -> None:
            server = _Server()
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            record = batch_builders.build_record(address=f"127.0.0.1:{port}")
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


if __name__ == "__main__":
    unittest.main()
