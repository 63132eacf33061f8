"""Frames of the streams between entries.

A frame is a 4-byte big-endian length and a body. A frame of length 0 is a
keep-alive and carries no message.
"""

import struct

from tarragoncleat.kernel import errors

__all__ = ["KEEP_ALIVE", "MAX_BODY_BYTES", "Decoder", "pack"]

MAX_BODY_BYTES = 8 * 1024 * 1024

_LENGTH = struct.Struct(">I")

KEEP_ALIVE = _LENGTH.pack(0)


def pack(body: bytes) -> bytes:
    """Returns the frame of a body of at most `MAX_BODY_BYTES`."""
    return _LENGTH.pack(len(body)) + body


class Decoder:
    """Splits a stream of bytes into the bodies of its frames.

    Attributes:
        max_body_bytes: Limit for the bodies of later frames.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Creates a decoder at the beginning of a stream."""
        self.max_body_bytes = max_body_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes] | errors.Failure:
        """Adds received bytes.

        Returns:
            The bodies that are complete now, without keep-alives, or a
            `Failure` of kind DECODE for a length above the limit. The stream
            must then be closed, as the start of the next frame is unknown.
        """
        self._buffer += data
        bodies = []
        position = 0
        while len(self._buffer) - position >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, position)
            if length > self.max_body_bytes:
                return errors.Failure(
                    errors.ErrorKind.DECODE,
                    f"frame of {length} bytes, above {self.max_body_bytes}",
                )
            start = position + _LENGTH.size
            if len(self._buffer) - start < length:
                break
            position = start + length
            if length:
                bodies.append(bytes(self._buffer[start:position]))
        del self._buffer[:position]
        return bodies
