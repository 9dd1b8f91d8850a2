"""Consistent hashing and rendezvous hashing."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from functools import lru_cache

from blake3 import blake3

POINTS_PER_NODE = 16
"""Virtual nodes of each node; more of them spread the keys more evenly."""
CACHED_NODES = 4096
"""Nodes whose points are cached in memory."""
HASH_BYTES = 8


def hash64(text: str) -> int:
    """Return a 64-bit hash of a text; unlike Python's hash() it is the same in every process."""
    return int.from_bytes(blake3(text.encode()).digest(length=HASH_BYTES), "big")


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Return nodes by their rendezvous hash for a key, highest first.

    When a node leaves, only the keys for which it was first get another first node.
    """
    return sorted(nodes, key=lambda node: hash64(f"{key}\0{node}"), reverse=True)


@lru_cache(maxsize=CACHED_NODES)
def points_of(node: str) -> tuple[int, ...]:
    """Return the hashes of a node's virtual nodes."""
    return tuple(hash64(f"{node}#{index}") for index in range(POINTS_PER_NODE))


class Ring:
    """Consistent hash ring.

    Attributes:
      nodes: Names of the nodes.
      points: Hashes of all virtual nodes, ascending.
      owners: Node of each point.
    """

    def __init__(self, nodes: Iterable[str]) -> None:
        self.nodes = frozenset(nodes)
        pairs = sorted((point, node) for node in self.nodes for point in points_of(node))
        self.points = [point for point, _ in pairs]
        self.owners = [owner for _, owner in pairs]

    def successors(self, key: str, count: int) -> tuple[str, ...]:
        """Return up to `count` distinct nodes that follow a key on the ring."""
        found: dict[str, None] = {}
        for owner in self.walk(key):
            if len(found) >= min(count, len(self.nodes)):
                break
            found[owner] = None
        return tuple(found)

    def walk(self, key: str) -> Iterator[str]:
        """Yield the owner of each point once around the ring, starting after a key."""
        start = bisect_right(self.points, hash64(key))
        for offset in range(len(self.owners)):
            yield self.owners[(start + offset) % len(self.owners)]
