"""Checksummed files: whole files that are replaced atomically, and segments.

A segment is a header and frames. A frame contains one record, the number of
the write that it belongs to, and how many frames of that write follow it. This
distinguishes a write that a crash cut short, whose records were never
acknowledged, from damage to records that were synced before.
"""

from collections.abc import Iterator, Sequence
import dataclasses
import errno
import os
import pathlib
import struct

import xxhash

from tarragoncleat.kernel import errors

__all__ = [
    "Frame",
    "Segment",
    "failure_from_os_error",
    "pack_frames",
    "pack_segment_header",
    "read_checksummed",
    "read_segment",
    "sync_file",
    "sync_folder",
    "write_all",
    "write_checksummed",
]

_CHECKSUMMED_MAGIC = b"TCFILE1\n"
_CHECKSUMMED_HEADER = struct.Struct(">8sQQ")
_SEGMENT_MAGIC = b"TCLOG01\n"
_SEGMENT_HEADER = struct.Struct(">8sQQ")
# The byte 0xc1 occurs in msgpack only within binary and text values, so that
# the search for frames after damage has few false matches.
_MARKER = b"\xc1\xf7"
# Marker, length of the body, batch, remaining frames, checksum of the body;
# then a checksum of these fields. Without it, a damaged length would look like
# a write that was cut short.
_FRAME_FIELDS = struct.Struct(">2sIQIQ")
_FIELDS_CHECKSUM = struct.Struct(">I")
_FRAME_HEADER_BYTES = _FRAME_FIELDS.size + _FIELDS_CHECKSUM.size
# A frame doesn't end with a zero byte, which distinguishes its end from the
# zeros of the reserved space after the last frame.
_TRAILER = b"\xa5"
# Unsynced data is lost in whole sectors, which then read as zeros.
_SECTOR_BYTES = 512
_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A frame; `batch` is the number of the write that it belongs to."""

    body: bytes
    batch: int
    remaining: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """The content of a segment.

    `torn_at` is the offset where a write was cut short by a crash.
    """

    first_batch: int
    frames: Sequence[Frame]
    torn_at: int | None

    @property
    def end(self) -> int:
        """Offset of the end of the last complete write."""
        return self.frames[-1].end if self.frames else _SEGMENT_HEADER.size

    @property
    def next_batch(self) -> int:
        """Number of the first write after the segment."""
        if self.frames:
            return self.frames[-1].batch + 1
        return self.first_batch


def failure_from_os_error(error: OSError, path: pathlib.Path) -> errors.Failure:
    """Returns a failure of kind DISK_FULL or STORAGE for an `OSError`."""
    if error.errno in _FULL_ERRNOS:
        kind = errors.ErrorKind.DISK_FULL
    else:
        kind = errors.ErrorKind.STORAGE
    return errors.Failure(kind, f"{path}: {error.strerror or error}")


def sync_folder(folder: pathlib.Path) -> None:
    """Makes creations, renames and removals in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_file(path: pathlib.Path) -> None:
    """Makes the content of a file durable."""
    descriptor = os.open(path, os.O_RDWR)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, data: bytes) -> None:
    """Writes all of `data`, repeating writes that were only partial."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def write_checksummed(path: pathlib.Path, body: bytes) -> None:
    """Replaces a file; after a crash it has the old or the new content."""
    checksum = xxhash.xxh3_64_intdigest(body)
    header = _CHECKSUMMED_HEADER.pack(_CHECKSUMMED_MAGIC, len(body), checksum)
    temporary = path.with_suffix(".tmp")
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    descriptor = os.open(temporary, flags, 0o600)
    try:
        write_all(descriptor, header + body)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    sync_folder(path.parent)


def read_checksummed(path: pathlib.Path) -> bytes | errors.Failure:
    """Reads a file written by `write_checksummed`.

    Returns:
        The content, or a Failure of kind STORAGE if the file is damaged.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        return failure_from_os_error(error, path)
    if len(content) < _CHECKSUMMED_HEADER.size:
        return _damage_failure(path, len(content), "the file is too short")
    magic, length, checksum = _CHECKSUMMED_HEADER.unpack_from(content)
    body = content[_CHECKSUMMED_HEADER.size :]
    if magic != _CHECKSUMMED_MAGIC or length != len(body):
        return _damage_failure(path, 0, "the header does not fit the file")
    if xxhash.xxh3_64_intdigest(body) != checksum:
        return _damage_failure(
            path, _CHECKSUMMED_HEADER.size, "the checksum is wrong"
        )
    return body


def pack_segment_header(first_batch: int) -> bytes:
    """Returns the start of a segment."""
    checksum = xxhash.xxh3_64_intdigest(first_batch.to_bytes(8, "big"))
    return _SEGMENT_HEADER.pack(_SEGMENT_MAGIC, first_batch, checksum)


def pack_frames(bodies: Sequence[bytes], batch: int) -> bytes:
    """Returns the frames of one write."""
    parts = []
    for position, body in enumerate(bodies):
        remaining = len(bodies) - 1 - position
        checksum = xxhash.xxh3_64_intdigest(body)
        fields = _FRAME_FIELDS.pack(
            _MARKER, len(body), batch, remaining, checksum
        )
        parts.append(fields)
        parts.append(_FIELDS_CHECKSUM.pack(xxhash.xxh32_intdigest(fields)))
        parts.append(body)
        parts.append(_TRAILER)
    return b"".join(parts)


def read_segment(path: pathlib.Path, is_last: bool) -> Segment | errors.Failure:
    """Reads a segment.

    Only the last segment may end in a write that was cut short.

    Returns:
        The complete writes, or a Failure of kind STORAGE with the offset of
        the damage.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        return failure_from_os_error(error, path)
    first_batch = _read_header(content)
    # Reserved space that is not written yet reads as zeros.
    used_bytes = len(content.rstrip(b"\0"))
    if first_batch is None:
        # The header is synced before the first write, so a segment without a
        # complete header has no records.
        if is_last and used_bytes < _SEGMENT_HEADER.size:
            return Segment(0, (), 0)
        return _damage_failure(path, 0, "the header is damaged")
    content = content[: max(used_bytes, _SEGMENT_HEADER.size)]
    frames = list(_read_frames(content, _SEGMENT_HEADER.size))
    end = frames[-1].end if frames else _SEGMENT_HEADER.size
    complete = _frames_of_complete_writes(frames)
    segment = Segment(first_batch, complete, None)
    if segment.end == len(content):
        return segment
    if not is_last or not _is_only_last_write_damaged(
        content, end, segment.next_batch
    ):
        return _damage_failure(path, end, "a synced record is damaged")
    return dataclasses.replace(segment, torn_at=segment.end)


def _damage_failure(
    path: pathlib.Path, offset: int, problem: str
) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.STORAGE,
        f"{path}: damaged at offset {offset}: {problem}",
        {"file": str(path), "offset": offset},
    )


def _read_header(content: bytes) -> int | None:
    if len(content) < _SEGMENT_HEADER.size:
        return None
    magic, first_batch, checksum = _SEGMENT_HEADER.unpack_from(content)
    expected = xxhash.xxh3_64_intdigest(first_batch.to_bytes(8, "big"))
    if magic != _SEGMENT_MAGIC or checksum != expected:
        return None
    return first_batch


def _frame_fields(
    content: bytes, offset: int
) -> tuple[int, int, int, int] | None:
    start = offset + _FRAME_HEADER_BYTES
    if start > len(content):
        return None
    fields = content[offset : offset + _FRAME_FIELDS.size]
    (checksum,) = _FIELDS_CHECKSUM.unpack_from(content, offset + len(fields))
    marker, *values = _FRAME_FIELDS.unpack(fields)
    if marker != _MARKER or checksum != xxhash.xxh32_intdigest(fields):
        return None
    length, batch, remaining, body_checksum = values
    return length, batch, remaining, body_checksum


def _frame_at(content: bytes, offset: int) -> Frame | None:
    fields = _frame_fields(content, offset)
    if fields is None:
        return None
    length, batch, remaining, checksum = fields
    start = offset + _FRAME_HEADER_BYTES
    body = content[start : start + length]
    end = start + length + len(_TRAILER)
    if content[start + length : end] != _TRAILER:
        return None
    if xxhash.xxh3_64_intdigest(body) != checksum:
        return None
    return Frame(body, batch, remaining, end)


def _read_frames(content: bytes, offset: int) -> Iterator[Frame]:
    while (frame := _frame_at(content, offset)) is not None:
        yield frame
        offset = frame.end


def _frames_of_complete_writes(frames: Sequence[Frame]) -> Sequence[Frame]:
    count = len(frames)
    while count and frames[count - 1].remaining:
        count -= 1
    return frames[:count]


def _is_only_last_write_damaged(
    content: bytes, offset: int, batch: int
) -> bool:
    """Whether no frame after the damage belongs to another write.

    The damage starts at `offset`; `batch` is the number of the last write,
    which may be unsynced.
    """
    position = content.find(_MARKER, offset + 1)
    end = len(content)
    while position >= 0:
        frame = _frame_at(content, position)
        if frame is not None:
            if frame.batch != batch:
                return False
            end = min(end, position)
        position = content.find(_MARKER, position + 1)
    return _is_torn(content, offset, end)


def _is_torn(content: bytes, offset: int, end: int) -> bool:
    """Whether bytes from `offset` on are missing rather than changed."""
    start = offset + _FRAME_HEADER_BYTES
    if end == len(content):
        fields = _frame_fields(content, offset)
        if start > end or (fields is not None and start + fields[0] >= end):
            return True
    region = content[offset:end]
    if not region.strip(b"\0"):
        return True
    first = -(-offset // _SECTOR_BYTES) * _SECTOR_BYTES
    sectors = range(first, end - _SECTOR_BYTES + 1, _SECTOR_BYTES)
    zeros = bytes(_SECTOR_BYTES)
    return any(content[at : at + _SECTOR_BYTES] == zeros for at in sectors)
