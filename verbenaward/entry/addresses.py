"""Choice of the entry addresses that a caller should use."""

import random
from collections.abc import Sequence

from ..schema.messages import Member

MAXIMUM_ADDRESSES = 4
"""Addresses returned to a caller; several, so that it can fail over by itself."""


def choose_addresses(
    entries: Sequence[Member], own: Member, near_region: str, rng: random.Random
) -> tuple[str, ...]:
    """Return some entry addresses in random order, those in the caller's region first.

    Args:
      entries: Entry processes that accept requests.
      own: Record of this process; its address is returned if `entries` is empty.
      near_region: Region of the caller; empty for the region of this process.
      rng: Random generator for the order.
    """
    region = near_region or own.region
    shuffled = list(entries)
    rng.shuffle(shuffled)
    shuffled.sort(key=lambda item: item.region != region)
    chosen = tuple(item.address for item in shuffled[:MAXIMUM_ADDRESSES])
    return chosen or (own.address,)
