"""Consistent hashing of members onto entry processes."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from functools import lru_cache

from blake3 import blake3

POINTS_PER_NODE = 16
CACHED_NODES = 4096
HASH_BYTES = 8


def hash64(text: str) -> int:
    """Return a 64-bit hash of a text that is the same in every process."""
    return int.from_bytes(blake3(text.encode()).digest(length=HASH_BYTES), "big")


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Return nodes in the order of their rendezvous hash for a key, best first."""
    return sorted(nodes, key=lambda node: hash64(f"{key}\0{node}"), reverse=True)


@lru_cache(maxsize=CACHED_NODES)
def points_of(node: str) -> tuple[int, ...]:
    """Return the points of a node on the circle."""
    return tuple(hash64(f"{node}#{index}") for index in range(POINTS_PER_NODE))


class Ring:
    """Points of nodes on a circle of hashes.

    Attributes:
      nodes: Names of the nodes.
    """

    def __init__(self, nodes: Iterable[str]) -> None:
        self.nodes = frozenset(nodes)
        pairs = sorted((point, node) for node in self.nodes for point in points_of(node))
        self.points = [point for point, _ in pairs]
        self.owners = [owner for _, owner in pairs]

    def successors(self, key: str, count: int) -> tuple[str, ...]:
        """Return the first distinct nodes that follow a key on the circle."""
        found: dict[str, None] = {}
        for owner in self.walk(key):
            if len(found) >= min(count, len(self.nodes)):
                break
            found[owner] = None
        return tuple(found)

    def walk(self, key: str) -> Iterator[str]:
        """Yield the owners of all points, starting after a key."""
        start = bisect_right(self.points, hash64(key))
        for offset in range(len(self.owners)):
            yield self.owners[(start + offset) % len(self.owners)]
