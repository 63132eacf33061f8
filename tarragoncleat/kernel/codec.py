"""Encodes typed messages as msgpack.

A message is a frozen dataclass with a name and a version. Its encoding is the
list `[name, version, fields]`; pydantic validates the fields on decoding. The
fields are a map by name. For a compact message they are the list of values in
order, because names would be most of the bytes of a small message.

A field with the metadata `OMIT_DEFAULT` is left out while it has its default,
so that a message without it keeps the bytes that earlier builds gave it.
"""

from collections.abc import Callable
import dataclasses
import enum
import functools
import types
from typing import Any, TypeVar

import msgpack
import pydantic

from tarragoncleat.kernel import errors

__all__ = ["OMIT_DEFAULT", "decode", "encode", "message"]

_Class = TypeVar("_Class", bound=type)
_OMITTED = "omit_default"
# Metadata of a field; its default must be a plain value.
OMIT_DEFAULT = types.MappingProxyType({_OMITTED: True})
_PLAIN_TYPES = frozenset({bool, bytes, float, int, str, type(None)})


@dataclasses.dataclass(frozen=True)
class _MessageType:
    name: str
    version: int
    message_class: type
    compact: bool

    @functools.cached_property
    def field_names(self) -> tuple[str, ...]:
        return tuple(
            field.name for field in dataclasses.fields(self.message_class)
        )

    @functools.cached_property
    def adapter(self) -> pydantic.TypeAdapter:
        return pydantic.TypeAdapter(self.message_class)


_TYPES_BY_NAME: dict[str, _MessageType] = {}
_TYPES_BY_CLASS: dict[type, _MessageType] = {}


def message(
    name: str, version: int = 1, compact: bool = False
) -> Callable[[_Class], _Class]:
    """Registers a frozen dataclass as a message.

    Args:
        name: Name on the wire, unique in the project.
        version: Must be increased when the fields change incompatibly.
        compact: Whether the fields are encoded without their names. Adding a
            field is then an incompatible change.

    Returns:
        A class decorator.
    """

    def register(cls: _Class) -> _Class:
        if name in _TYPES_BY_NAME:
            raise ValueError(f"message name {name!r} is registered already")
        if compact and _find_omitted_defaults(cls):
            raise ValueError(f"compact message {name!r} can't omit a field")
        message_type = _MessageType(name, version, cls, compact)
        _TYPES_BY_NAME[name] = message_type
        _TYPES_BY_CLASS[cls] = message_type
        return cls

    return register


def encode(value: object) -> bytes:
    """Encodes a registered message."""
    message_type = _TYPES_BY_CLASS[type(value)]
    fields = _to_plain(value)
    if message_type.compact and isinstance(fields, dict):
        fields = list(fields.values())
    return msgpack.packb([message_type.name, message_type.version, fields])


def decode(data: bytes) -> Any:
    """Decodes a message.

    Returns:
        The message, or a `Failure` of kind DECODE for damaged data, an unknown
        name, another version or fields that don't fit.
    """
    try:
        parts = msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        return _failure(f"not msgpack: {error}")
    if not isinstance(parts, list) or len(parts) != 3:
        return _failure("not a list of name, version and fields")
    name, version, fields = parts
    message_type = _TYPES_BY_NAME.get(name) if isinstance(name, str) else None
    if message_type is None:
        return _failure(f"unknown message {name!r}")
    if version != message_type.version:
        return _failure(
            f"{name} has version {version}, not {message_type.version}"
        )
    if message_type.compact:
        fields = _fields_by_name(message_type, fields)
    try:
        return message_type.adapter.validate_python(fields)
    except pydantic.ValidationError as error:
        return _failure(f"{name}: {error.errors()[0]['msg']}")


def _fields_by_name(message_type: _MessageType, values: object) -> object:
    names = message_type.field_names
    if isinstance(values, list) and len(values) == len(names):
        return dict(zip(names, values, strict=True))
    return None


def _failure(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.DECODE, reason)


def _to_plain(value: object) -> object:
    cls: Any = type(value)
    if cls in _PLAIN_TYPES:
        return value
    if issubclass(cls, enum.Enum):
        return value.value  # type: ignore[attr-defined]
    names = _field_names(cls)
    if names is not None:
        fields = {name: _to_plain(getattr(value, name)) for name in names}
        for name, default in _find_omitted_defaults(cls):
            if fields[name] == default:
                del fields[name]
        return fields
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_to_plain(item) for item in value]
    if isinstance(value, dict):
        return {_to_plain(key): _to_plain(item) for key, item in value.items()}
    return value


@functools.cache
def _field_names(cls: type) -> tuple[str, ...] | None:
    """Returns the names of a dataclass's fields, or None for another class."""
    if not dataclasses.is_dataclass(cls):
        return None
    return tuple(field.name for field in dataclasses.fields(cls))


@functools.cache
def _find_omitted_defaults(cls: type) -> tuple[tuple[str, object], ...]:
    """Returns the fields that are left out at their default, and these."""
    return tuple(
        (field.name, field.default)
        for field in dataclasses.fields(cls)
        if _OMITTED in field.metadata
    )
