"""Decoding of JSON values that other processes have written."""

from typing import TypeVar

import msgspec

ValueType = TypeVar("ValueType")


def decode_value(payload: bytes, value_type: type[ValueType]) -> ValueType:
    """Return the value of a type that a payload holds.

    Args:
      payload: The value, in JSON.
      value_type: Type of the value; fields that it lacks are ignored.

    Returns:
      The value.

    Raises:
      msgspec.DecodeError: The payload holds no such value, or is nested too deeply.
    """
    try:
        return msgspec.json.decode(payload, type=value_type)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(f"{value_type.__name__}: {error}") from error
