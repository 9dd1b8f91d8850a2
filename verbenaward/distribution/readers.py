"""Decides which entry processes read a version from the origin, and which chunk one reads next.

A version has a few readers. Each is responsible for its share of the chunks; once it has them it
reads what the others have neither received nor begun to receive. So a reader that is slow, cut off
or gone delays no chunk, and none is read twice. All decisions are based on the inventories that the
readers query from each other before each chunk.

This answers a rollout during which the origin is away for seconds and readers stop.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from ..membership.ring import hash64, rendezvous_order

ORIGIN_READERS = 3
"""Processes that read a version from the origin. Each reads one chunk at a time, and what has
arrived of it is lost if the origin goes away, so they are few."""


@dataclass(frozen=True, slots=True)
class Inventory:
    """Chunks of one version at one process.

    Attributes:
      held: Chunks that it can send.
      receiving: Chunks that it is receiving from the origin.
    """

    held: frozenset[int] = frozenset()
    receiving: frozenset[int] = frozenset()


def reader_order(model: str, version: int, entries: Collection[str]) -> list[str]:
    """Return entry processes in the order in which they become readers of a version.

    Args:
      model: Name of the model.
      version: Version of its weights.
      entries: Control addresses of the entry processes in the region of the origin.
    """
    return rendezvous_order(f"{model}/{version}", entries)


def readers_of_chunk(order: list[str], index: int) -> list[str]:
    """Return the readers in the order in which a chunk is requested from them.

    The one responsible for it is first. The others take turns in being the next one, so that they
    divide the share of a lost reader. The processes of the order that are no readers come last.
    """
    readers = order[:ORIGIN_READERS]
    if not readers:
        return []
    turn, owner = divmod(index, len(readers))
    helpers = [*readers[owner + 1 :], *readers[:owner]]
    start = turn % len(helpers) if helpers else 0
    return [readers[owner], *helpers[start:], *helpers[:start], *order[ORIGIN_READERS:]]


def next_to_read(
    missing: Collection[int],
    order: list[str],
    reader: str,
    inventories: Mapping[str, Inventory],
    rejections: Mapping[int, int],
) -> int | None:
    """Return the chunk that a reader requests from the origin next; None for none now.

    Its own share comes first, in ascending order. Then come the chunks for which it is the next
    reader, in descending order, so that it meets a slow one from the other end, and then the rest
    in an order of its own.

    Args:
      missing: Chunks that the reader lacks.
      order: Entry processes in the order in which they become readers.
      reader: Control address of the reader.
      inventories: What the other processes have, by control address.
      rejections: How often the origin answered a request for a chunk without its valid bytes; such
        chunks come last, so that they do not hold back others.
    """
    elsewhere: set[int] = set()
    for inventory in inventories.values():
        elsewhere |= inventory.held | inventory.receiving

    def rank(index: int) -> tuple[int, int, int]:
        position = position_of(reader, readers_of_chunk(order, index))
        within = (index, -index)[position] if position < 2 else hash64(f"{reader}/{index}")
        return rejections.get(index, 0), position, within

    unread = [index for index in missing if index not in elsewhere]
    return min(unread, key=rank, default=None)


def position_of(reader: str, readers: list[str]) -> int:
    """Return the position of a process among the readers of a chunk; their number if it is none."""
    return readers.index(reader) if reader in readers else len(readers)


def holders_of(index: int, inventories: Mapping[str, Inventory]) -> list[str]:
    """Return the processes that can send a chunk."""
    return [control for control, inventory in inventories.items() if index in inventory.held]
