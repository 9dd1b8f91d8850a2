"""Conversion of the generated message classes to and from packed Cap'n Proto."""

import dataclasses
import enum
import typing
from functools import cache
from pathlib import Path
from typing import Any, TypeVar

import capnp as capnp_library

from ..schema import messages

MessageType = TypeVar("MessageType")

capnp: Any = capnp_library
SCHEMA = capnp.load(str(Path(messages.__file__).with_name("messages.capnp")))
TRAVERSAL_LIMIT_WORDS = 16 * 1024 * 1024
"""Words of 8 bytes that may be read from one message; limits the cost of a malicious one."""


WORD_BYTES = 8
SEGMENT_FIELD_BYTES = 4
"""Length of each number in the segment table: the number of segments less one, then their words."""
MAXIMUM_SEGMENTS = 512
"""Most segments of a message; the library allows no more either."""


class MalformedMessageError(ValueError):
    """Raised if bytes are not a message of the expected type."""


def encode(message: Any) -> bytes:
    """Encode a message.

    Args:
      message: An instance of a class from schema.messages.

    Returns:
      The packed bytes.
    """
    builder = getattr(SCHEMA, type(message).__name__).new_message()
    write_fields(builder, message)
    return bytes(builder.to_bytes_packed())


def decode(message_type: type[MessageType], payload: bytes) -> MessageType:
    """Decode a message.

    Args:
      message_type: Expected class from schema.messages.
      payload: Bytes made by encode().

    Returns:
      The message.

    Raises:
      MalformedMessageError: The bytes are not such a message.
    """
    schema = getattr(SCHEMA, message_type.__name__)
    if is_truncated(payload):
        raise MalformedMessageError(f"{message_type.__name__}: truncated")
    try:
        reader = schema.from_bytes_packed(payload, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS)
        return read_fields(message_type, reader)
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise MalformedMessageError(f"{message_type.__name__}: {error}") from error


def is_truncated(payload: bytes) -> bool:
    """Return True if a packed message of several segments lacks a part of them.

    The library reads all segments but the first when they are used, and the rest when the message
    is freed, where an error ends the process.
    """
    first = unpack(payload, WORD_BYTES)
    extra_segments = int.from_bytes(first[:SEGMENT_FIELD_BYTES], "little")
    if not extra_segments:
        return False
    if extra_segments >= MAXIMUM_SEGMENTS:
        return True
    table_bytes = (extra_segments + 2) * SEGMENT_FIELD_BYTES
    table_words = -(-table_bytes // WORD_BYTES)
    table = unpack(payload, table_words * WORD_BYTES)
    sizes = [
        int.from_bytes(table[at : at + SEGMENT_FIELD_BYTES], "little")
        for at in range(SEGMENT_FIELD_BYTES, table_bytes, SEGMENT_FIELD_BYTES)
    ]
    return unpacked_words(payload) < table_words + sum(sizes)


def unpack(payload: bytes, limit: int) -> bytes:
    """Return up to some first bytes of a packed message, unpacked."""
    found = bytearray()
    at = 0
    while at < len(payload) and len(found) < limit:
        tag = payload[at]
        at += 1
        for bit in range(WORD_BYTES):
            if tag >> bit & 1 and at < len(payload):
                found.append(payload[at])
                at += 1
            else:
                found.append(0)
        if tag in (0x00, 0xFF) and at < len(payload):
            count = payload[at]
            at += 1
            words = bytes(WORD_BYTES * count)
            if tag:
                words = payload[at : at + WORD_BYTES * count]
                at += WORD_BYTES * count
            found += words
    return bytes(found[:limit])


def unpacked_words(payload: bytes) -> int:
    """Return the number of whole words of a packed message."""
    words = at = 0
    while at < len(payload):
        tag = payload[at]
        at += 1 + tag.bit_count()
        words += at <= len(payload)
        if tag in (0x00, 0xFF) and at < len(payload):
            count = payload[at]
            at += 1
            if tag:
                count = min(count, (len(payload) - at) // WORD_BYTES)
                at += WORD_BYTES * payload[at - 1]
            words += count
    return words


def write_fields(builder: Any, message: Any) -> None:
    """Copy the fields of a message into a Cap'n Proto builder."""
    for attribute, wire_name, _ in fields_of(type(message)):  # type: ignore[arg-type]
        value = getattr(message, attribute)
        if isinstance(value, tuple):
            write_list(builder, wire_name, value)
        elif dataclasses.is_dataclass(value):
            write_fields(builder.init(wire_name), value)
        elif isinstance(value, enum.Enum):
            setattr(builder, wire_name, value.value)
        else:
            setattr(builder, wire_name, value)


def write_list(builder: Any, wire_name: str, values: tuple[Any, ...]) -> None:
    """Copy a tuple into a list field of a builder."""
    if not values or not dataclasses.is_dataclass(values[0]):
        setattr(builder, wire_name, list(values))
        return
    items = builder.init(wire_name, len(values))
    for index, value in enumerate(values):
        write_fields(items[index], value)


def read_fields(message_type: type[MessageType], reader: Any) -> MessageType:
    """Build a message from a Cap'n Proto reader."""
    values = {}
    for attribute, wire_name, kind in fields_of(message_type):  # type: ignore[arg-type]
        values[attribute] = read_value(kind, getattr(reader, wire_name))
    return message_type(**values)


def read_value(kind: Any, value: Any) -> Any:
    """Convert one field value to its Python type."""
    if typing.get_origin(kind) is tuple:
        inner = typing.get_args(kind)[0]
        return tuple(read_value(inner, item) for item in value)
    if dataclasses.is_dataclass(kind):
        return read_fields(typing.cast(type[Any], kind), value)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return kind(str(value))
    if kind is bytes:
        return bytes(value)
    return value


@cache
def fields_of(message_type: Any) -> tuple[tuple[str, str, Any], ...]:
    """Return (attribute name, wire name, type) for each field of a message class."""
    hints = typing.get_type_hints(message_type)
    return tuple(
        (field.name, camel_case(field.name), hints[field.name])
        for field in dataclasses.fields(message_type)
    )


def camel_case(name: str) -> str:
    """Convert a name from snake_case to camelCase."""
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)
