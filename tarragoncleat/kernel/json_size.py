"""Estimates the memory of JSON values before they are decoded."""

__all__ = ["estimate_bytes"]

# A smaller text takes at most 2 MB.
_MIN_ESTIMATED_BYTES = 65_536
# In CPython 3.11, with the entry in the surrounding list.
_OBJECT_BYTES = 192
_LIST_BYTES = 80
_ITEM_BYTES = 16


def estimate_bytes(text: bytes) -> int:
    """Returns about how many bytes of memory the value of a JSON text takes.

    Brackets in strings count as well, which only overstates the memory.
    """
    if len(text) < _MIN_ESTIMATED_BYTES:
        return len(text)
    return (
        len(text)
        + _OBJECT_BYTES * text.count(b"{")
        + _LIST_BYTES * text.count(b"[")
        + _ITEM_BYTES * text.count(b",")
    )
