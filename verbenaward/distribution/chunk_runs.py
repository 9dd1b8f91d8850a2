"""Orders in which endpoints fetch the chunks of weights, and from which entry processes.

A run is a few consecutive chunks; the endpoints of a region fetch all chunks of a run from the same
entry process, which can then read ahead.
"""

import math
from collections.abc import Sequence

from ..membership.ring import rendezvous_order

CHUNKS_PER_RUN = 4
"""Consecutive chunks that the endpoints of a region fetch from the same entry process."""

ENDPOINTS_PER_RUN = 2
"""Endpoints of a region that start with the same run; an entry process sends to each of them at
the rate of its link, and may be the one for two runs."""
MAXIMUM_BLOCK_RUNS = 5
"""Longest block of runs: an endpoint may have to wait until the origin has sent most of a block."""


def chunk_run_name(model: str, version: int, index: int) -> str:
    """Return the name of the run that a chunk belongs to, as the key for rendezvous hashing."""
    return f"{model}/{version}/{index // CHUNKS_PER_RUN}"


def chunk_order(indexes: Sequence[int], rank: int, endpoints: int) -> list[int]:
    """Return the missing chunks in the order in which an endpoint fetches them.

    The origin sends the chunks in ascending order, and sends them faster than one endpoint can
    receive them. So the endpoints follow that order, and none waits for a chunk of the end. A few
    consecutive runs form a block, and the endpoints of a region start with different runs of it, so
    that they do not all use the same entry process at once.

    Args:
      indexes: Missing chunks.
      rank: Position of the endpoint among those of its region, from 0.
      endpoints: Number of endpoints in its region.
    """
    block_runs = min(MAXIMUM_BLOCK_RUNS, math.ceil(endpoints / ENDPOINTS_PER_RUN))

    def position(index: int) -> tuple[int, int, int]:
        block, run_of_block = divmod(index // CHUNKS_PER_RUN, block_runs)
        return block, (run_of_block - rank) % block_runs, index

    return sorted(indexes, key=position)


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
