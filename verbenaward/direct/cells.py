"""Cells: entry processes of a region that prefer the same few engines.

Where a region has many entry processes, none can hear of the load of all others in time. So they
are dealt into cells, and the engines of the region with them. Those of a cell tell each
other at once what they send, and prefer the engines of their cell.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

MOST_MEMBERS = 5
LEAST_BACKENDS = 3
"""Engines that a cell has at least; with fewer, one long queue in it is soon all queues."""


@dataclass(frozen=True, slots=True)
class Cell:
    """The cell of one entry process.

    Attributes:
      members: Names of its entry processes.
      backends: Addresses of its engines; empty where nothing is preferred.
    """

    members: frozenset[str] = frozenset()
    backends: frozenset[str] = frozenset()


def cell_of(own: str, members: Iterable[str], backends: Iterable[str]) -> Cell:
    """Return the cell of an entry process.

    Processes that know the same members and engines deal the same cells; while they differ,
    only preferences do.

    Args:
      own: Name of the entry process.
      members: Names of the entry processes of its region.
      backends: Addresses of the engines of its region.
    """
    names = sorted({*members, own})
    engines = sorted(set(backends))
    count = min(math.ceil(len(names) / MOST_MEMBERS), len(engines) // LEAST_BACKENDS)
    if count <= 1:
        return Cell(frozenset(names))
    index = names.index(own) * count // len(names)
    alike = (name for rank, name in enumerate(names) if rank * count // len(names) == index)
    return Cell(frozenset(alike), frozenset(engines[index::count]))
