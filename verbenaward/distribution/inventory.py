"""The message that carries the inventory of one version at one process."""

from collections.abc import Iterable

import msgspec
from returns.result import Failure, Result, Success

from ..platform.declarations import DECODE_ERRORS
from .readers import Inventory

BITS_PER_BYTE = 8


class InventoryMessage(msgspec.Struct, frozen=True):
    """Body of an answer; chunk 0 is the lowest bit of the first byte of each bitmap.

    Attributes:
      held: Bitmap of the chunks that the process can send.
      receiving: Bitmap of the chunks that it is receiving from the origin.
    """

    held: bytes
    receiving: bytes = b""


def encode_inventory(inventory: Inventory) -> bytes:
    """Return the body that carries an inventory."""
    message = InventoryMessage(bitmap_of(inventory.held), bitmap_of(inventory.receiving))
    return msgspec.json.encode(message)


def decode_inventory(body: bytes) -> Result[Inventory, str]:
    """Return the inventory in a body; a failure if it is malformed."""
    try:
        message = msgspec.json.decode(body, type=InventoryMessage)
    except DECODE_ERRORS as error:
        return Failure(f"malformed inventory: {error}")
    return Success(Inventory(indexes_of(message.held), indexes_of(message.receiving)))


def bitmap_of(indexes: Iterable[int]) -> bytes:
    """Return a bitmap with a bit set for each index."""
    number = 0
    for index in indexes:
        number |= 1 << index
    return number.to_bytes((number.bit_length() + BITS_PER_BYTE - 1) // BITS_PER_BYTE, "little")


def indexes_of(bitmap: bytes) -> frozenset[int]:
    """Return the indexes whose bits are set in a bitmap."""
    number = int.from_bytes(bitmap, "little")
    return frozenset(index for index in range(number.bit_length()) if number >> index & 1)
