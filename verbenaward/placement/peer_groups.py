"""Peer groups: shards of a region's entry processes and engines.

With many entry processes in a region, no process can receive the load reports of all others in
time. So the processes and the engines of the region are sharded into groups. Members of a group
send each other their load changes at once and prefer the engines of their group.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

MAXIMUM_MEMBERS = 5
"""Entry processes of a group, unless the region has too few engines for so many groups."""
MINIMUM_BACKENDS = 3
"""Engines of each group at least; with fewer, one long queue soon delays the whole group."""


@dataclass(frozen=True, slots=True)
class PeerGroup:
    """The peer group of one entry process.

    Attributes:
      members: Names of its entry processes, this one included.
      backends: Addresses of its preferred engines; empty if the region is one group.
    """

    members: frozenset[str] = frozenset()
    backends: frozenset[str] = frozenset()


def peer_group_of(own: str, members: Iterable[str], backends: Iterable[str]) -> PeerGroup:
    """Return the peer group of an entry process.

    Processes with the same view of members and engines compute the same groups. While their views
    differ, only their preferences differ.

    Args:
      own: Name of the entry process.
      members: Names of the entry processes of its region.
      backends: Addresses of the engines of its region.
    """
    names = sorted({*members, own})
    engines = sorted(set(backends))
    group_count = min(math.ceil(len(names) / MAXIMUM_MEMBERS), len(engines) // MINIMUM_BACKENDS)
    if group_count <= 1:
        return PeerGroup(frozenset(names))
    group_index = names.index(own) * group_count // len(names)
    return PeerGroup(
        frozenset(shard(names, group_index, group_count)),
        frozenset(shard(engines, group_index, group_count)),
    )


def shard(items: Sequence[str], index: int, count: int) -> Sequence[str]:
    """Return one of some contiguous shards of nearly equal size.

    An item that comes or goes moves only the few items next to the limits of shards, so that
    processes whose views differ for a moment still agree on most of their group.
    """
    return [item for rank, item in enumerate(items) if rank * count // len(items) == index]
