"""Ids of nodes: where a node listens and which disk it began with."""

import secrets

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids

__all__ = ["address_of", "first_id", "later_id"]

_SEPARATOR = "-"
_SUFFIX_BYTES = 4


def first_id(host: str, port: int) -> ids.EntryId:
    """Returns the id of a node that takes part in the very first start.

    It has no random part, so that all members can name each other before
    they have exchanged a message.
    """
    return ids.EntryId(f"{host}{_SEPARATOR}{port}")


def later_id(host: str, port: int) -> ids.EntryId:
    """Returns a new id for a node that starts with an empty disk later.

    The random part keeps it apart from an earlier node at the same address,
    whose votes are gone with its disk.
    """
    suffix = secrets.token_hex(_SUFFIX_BYTES)
    return ids.EntryId(f"{host}{_SEPARATOR}{port}{_SEPARATOR}{suffix}")


def address_of(node_id: ids.EntryId) -> tuple[str, int] | errors.Failure:
    """Returns the host and port at which a node listens for other nodes."""
    parts = node_id.split(_SEPARATOR)
    if len(parts) < 2 or not parts[1].isdecimal():
        return errors.Failure(
            errors.ErrorKind.DECODE, f"{node_id!r} names no address"
        )
    return parts[0], int(parts[1])
