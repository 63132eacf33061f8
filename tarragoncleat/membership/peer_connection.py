"""One TCP connection between two entries."""

from collections.abc import Callable
import dataclasses

import anyio
import anyio.abc
import loguru

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import timer as timer_module
from tarragoncleat.membership import frames

__all__ = ["Connection", "Counters", "Hello", "Reply", "Request"]

_QUEUE_MESSAGES = 2_048
# Fits two of the largest frames and small ones between them.
_QUEUE_BYTES = 3 * frames.MAX_BODY_BYTES
# Larger frames are only taken from peers.
_MAX_HELLO_BYTES = 4_096
_WRITE_BYTES = 256 * 1024
_READ_BYTES = 256 * 1024


@codec.message("hello")
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of each side of a connection."""

    entry_id: str
    availability_zone: str
    incarnation: int


@codec.message("request", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A message that expects a reply; `body` is an encoded message."""

    request_id: int
    body: bytes


@codec.message("reply", compact=True)
@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The reply to the request of the same id."""

    request_id: int
    body: bytes


@dataclasses.dataclass(slots=True)
class Counters:
    """Traffic with one peer since the start of the process."""

    connects: int = 0
    failed_dials: int = 0
    closed_silent: int = 0
    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0
    undelivered_messages: int = 0
    decode_errors: int = 0


class Connection:
    """A socket with a bounded send queue and framing.

    Attributes:
        timeout_factor: Factor of the keep-alive interval and of the silence
            timeout; both sides use the same.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        timer: timer_module.TimerService,
        counters: Counters,
    ) -> None:
        """Wraps an open stream and owns it."""
        self._stream = stream
        self._timer = timer
        self._counters = counters
        self._decoder = frames.Decoder(_MAX_HELLO_BYTES)
        self._scope = anyio.CancelScope()
        self._queued_bytes = 0
        self._queue_in, self._queue_out = anyio.create_memory_object_stream[
            bytes
        ](_QUEUE_MESSAGES)
        self.timeout_factor = 1
        self._hello_received = False
        now_s = timer.monotonic_s()
        self._opened_at_s = now_s
        self._read_at_s = now_s
        self._written_at_s = now_s

    @property
    def hello_received(self) -> bool:
        """Whether the other side has sent a valid Hello."""
        return self._hello_received

    def accept_hello(self) -> None:
        """Takes the other side for a peer from now on."""
        self._hello_received = True
        self._decoder.max_body_bytes = frames.MAX_BODY_BYTES

    @property
    def opened_at_s(self) -> float:
        """When the connection was opened."""
        return self._opened_at_s

    @property
    def read_at_s(self) -> float:
        """When bytes were last received."""
        return self._read_at_s

    @property
    def written_at_s(self) -> float:
        """When bytes were last handed to the operating system."""
        return self._written_at_s

    @property
    def queued_messages(self) -> int:
        """Messages that wait to be written."""
        return self._queue_in.statistics().current_buffer_used

    def set_counters(self, counters: Counters) -> None:
        """Sets the counters, once the Hello has identified the peer."""
        self._counters = counters

    def count_silence_timeout(self) -> None:
        """Counts that the connection is closed by the silence timeout."""
        self._counters.closed_silent += 1

    def count_message(self) -> None:
        """Counts a received message."""
        self._counters.received_messages += 1

    def count_decode_error(self) -> None:
        """Counts a message that could not be decoded."""
        self._counters.decode_errors += 1

    def put(self, body: bytes) -> bool:
        """Queues an encoded message; False when it was dropped."""
        if len(body) > frames.MAX_BODY_BYTES:
            loguru.logger.error(
                "message of {} bytes is above the frame limit", len(body)
            )
            self._counters.dropped_messages += 1
            return False
        if self._put_frame(frames.pack(body)):
            self._counters.sent_messages += 1
            return True
        self._counters.dropped_messages += 1
        return False

    def put_keep_alive(self) -> None:
        """Queues a keep-alive unless other frames are queued."""
        if not self.queued_messages:
            self._put_frame(frames.KEEP_ALIVE)

    def close(self) -> None:
        """Ends `run` and closes the socket."""
        self._scope.cancel()

    async def run(self, receive: Callable[[bytes], None]) -> None:
        """Writes queued frames and calls `receive` with bodies until closed."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write_queue)
                    await self._read_bodies(receive)
                    tasks.cancel_scope.cancel()
        finally:
            self._queue_in.close()
            self._queue_out.close()
            await anyio.aclose_forcefully(self._stream)

    def _put_frame(self, frame: bytes) -> bool:
        if self._queued_bytes + len(frame) > _QUEUE_BYTES:
            return False
        try:
            self._queue_in.send_nowait(frame)
        except (
            anyio.WouldBlock,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return False
        self._queued_bytes += len(frame)
        return True

    async def _write_queue(self) -> None:
        try:
            async for frame in self._queue_out:
                data = self._gather(frame)
                await self._stream.send(data)
                self._queued_bytes -= len(data)
                self._counters.sent_bytes += len(data)
                self._written_at_s = self._timer.monotonic_s()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            loguru.logger.debug("peer connection broke on write: {}", error)
            self.close()

    def _gather(self, frame: bytes) -> bytes:
        batch = [frame]
        size = len(frame)
        while size < _WRITE_BYTES:
            try:
                batch.append(self._queue_out.receive_nowait())
            except anyio.WouldBlock:
                break
            size += len(batch[-1])
        return b"".join(batch)

    async def _read_bodies(self, receive: Callable[[bytes], None]) -> None:
        while True:
            try:
                data = await self._stream.receive(_READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return
            self._read_at_s = self._timer.monotonic_s()
            self._counters.received_bytes += len(data)
            bodies = self._decoder.feed(data)
            if isinstance(bodies, errors.Failure):
                self._counters.decode_errors += 1
                loguru.logger.warning(
                    "closing a peer connection: {}", bodies.reason
                )
                return
            for body in bodies:
                receive(body)
