"""Which entry process an endpoint asks for a chunk."""

import zlib
from collections.abc import Sequence

from ..membership.ring import rendezvous_order

RUN = 4
"""Chunks in order that the endpoints of a region ask the same entry process for."""


def run_name(model: str, version: int, index: int) -> str:
    """Return the name of the run of chunks that a chunk belongs to."""
    return f"{model}/{version}/{index // RUN}"


def chunk_order(indexes: Sequence[int], name: str) -> list[int]:
    """Return the chunks that an endpoint fetches, in its own order.

    Each endpoint begins with another run, so that not all ask the same entry process at once.

    Args:
      indexes: Chunks that it lacks, in order.
      name: Name of the endpoint.
    """
    runs = sorted({index // RUN for index in indexes})
    if not runs:
        return []
    first = runs[zlib.crc32(name.encode()) % len(runs)]
    return sorted(indexes, key=lambda index: (index // RUN < first, index))


def holder_order(
    controls: dict[str, str], own_zone: str, regions: dict[str, str], key: str
) -> list[str]:
    """Return entry processes in the order in which an endpoint asks them for a chunk.

    Args:
      controls: Availability zone of each control address.
      own_zone: Zone of the endpoint.
      regions: Region of each zone.
      key: Name of the chunk.
    """

    def distance(control: str) -> int:
        zone = controls[control]
        if regions.get(zone) != regions.get(own_zone):
            return 2
        return int(zone != own_zone)

    return sorted(rendezvous_order(key, controls), key=distance)
