"""Which entry addresses callers should use."""

import random
from collections.abc import Sequence

from ..schema.messages import Member

MAXIMUM_ADDRESSES = 4


def choose_addresses(
    entries: Sequence[Member], own: Member, near_region: str, rng: random.Random
) -> tuple[str, ...]:
    """Return a few addresses in random order, those of the caller's region first.

    Args:
      entries: Entry processes that take requests.
      own: Record of this process, used where no other is known.
      near_region: Region of the caller; empty where it named none.
      rng: Source of the order.
    """
    region = near_region or own.region
    shuffled = list(entries)
    rng.shuffle(shuffled)
    shuffled.sort(key=lambda item: item.region != region)
    chosen = tuple(item.address for item in shuffled[:MAXIMUM_ADDRESSES])
    return chosen or (own.address,)
