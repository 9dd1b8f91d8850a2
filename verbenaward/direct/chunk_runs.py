"""Orders in which endpoints fetch the chunks of weights, and from which entry processes.

A run is a few consecutive chunks; the endpoints of a region fetch all chunks of a run from the same
entry process, which can then read ahead.
"""

import zlib
from collections.abc import Sequence

from ..membership.ring import rendezvous_order

CHUNKS_PER_RUN = 4
"""Consecutive chunks that the endpoints of a region fetch from the same entry process."""


def chunk_run_name(model: str, version: int, index: int) -> str:
    """Return the name of the run that a chunk belongs to, as the key for rendezvous hashing."""
    return f"{model}/{version}/{index // CHUNKS_PER_RUN}"


def chunk_order(indexes: Sequence[int], name: str) -> list[int]:
    """Return the missing chunks in the order in which an endpoint fetches them.

    Endpoints start with different runs, so that they do not all use the same entry process at
    once.

    Args:
      indexes: Missing chunks, in ascending order.
      name: Name of the endpoint.
    """
    runs = sorted({index // CHUNKS_PER_RUN for index in indexes})
    if not runs:
        return []
    first = runs[zlib.crc32(name.encode()) % len(runs)]
    return sorted(indexes, key=lambda index: (index // CHUNKS_PER_RUN < first, index))


def entry_order(
    controls: dict[str, str], own_zone: str, regions: dict[str, str], key: str
) -> list[str]:
    """Return entry processes in the order in which an endpoint process contacts them.

    Those of its own zone come first, then its region, then the others; within each of these,
    rendezvous hashing decides.

    Args:
      controls: Availability zone of each entry process, by its control address.
      own_zone: Zone of the endpoint.
      regions: Region of each zone.
      key: Key for rendezvous hashing, such as the name of a run.
    """

    def distance(control: str) -> int:
        zone = controls[control]
        if regions.get(zone) != regions.get(own_zone):
            return 2
        return int(zone != own_zone)

    return sorted(rendezvous_order(key, controls), key=distance)
