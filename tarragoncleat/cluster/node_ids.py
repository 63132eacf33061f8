"""Ids of nodes, made of the address of a node and an id of its disk."""

import secrets

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids

__all__ = ["address_of", "bootstrap_id", "unique_id"]

_SEPARATOR = "-"
_SUFFIX_BYTES = 4


def bootstrap_id(host: str, port: int) -> ids.EntryId:
    """Returns the id of a node that takes part in the first start of the log.

    It has no random part, so that the initial replicas know each other's ids
    before they have exchanged a message.
    """
    return ids.EntryId(f"{host}{_SEPARATOR}{port}")


def unique_id(host: str, port: int) -> ids.EntryId:
    """Returns a new id for a node that starts with an empty disk later.

    The random part distinguishes it from an earlier node at the same address,
    whose votes were lost with its disk.
    """
    suffix = secrets.token_hex(_SUFFIX_BYTES)
    return ids.EntryId(f"{host}{_SEPARATOR}{port}{_SEPARATOR}{suffix}")


def address_of(node_id: ids.EntryId) -> tuple[str, int] | errors.Failure:
    """Returns the host and port at which a node listens for other nodes."""
    parts = node_id.split(_SEPARATOR)
    if len(parts) < 2 or not parts[1].isdecimal():
        return errors.Failure(
            errors.ErrorKind.DECODE, f"{node_id!r} contains no address"
        )
    return parts[0], int(parts[1])
