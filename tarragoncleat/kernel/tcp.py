"""Non-blocking TCP sockets, for which anyio only waits.

Unlike a stream with a write buffer, a socket shows whether a byte was written.
"""

import errno
import os
import socket

import anyio

from tarragoncleat.kernel import errors

__all__ = ["connect", "error_name"]


async def connect(
    host: str, port: int, timeout_s: float
) -> socket.socket | errors.Failure:
    """Returns a connected socket, or a `Failure` of kind UPSTREAM_FAILED."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    failure: errors.Failure | None = _failure("connecting was cancelled")
    try:
        failure = await _finish_connecting(sock, (host, port), timeout_s)
    finally:
        if failure is not None:
            sock.close()
    return sock if failure is None else failure


def error_name(error: OSError) -> str:
    """Returns the symbolic name of an error, for example ECONNRESET."""
    return errno.errorcode.get(error.errno or 0, "unknown error")


async def _finish_connecting(
    sock: socket.socket, address: tuple[str, int], timeout_s: float
) -> errors.Failure | None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    error_number = sock.connect_ex(address)
    if error_number == errno.EINPROGRESS:
        with anyio.move_on_after(timeout_s) as scope:
            await anyio.wait_writable(sock)
        if scope.cancelled_caught:
            return _failure("connecting timed out")
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error_number:
        return _failure(f"connecting failed: {os.strerror(error_number)}")
    return None


def _failure(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.UPSTREAM_FAILED, reason)
