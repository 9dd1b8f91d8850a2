"""Selects the entry addresses that the directory returns to a caller."""

from collections.abc import Mapping, Sequence

from ..placement.regions import region_of
from ..schema.messages import Pulse

SUFFICIENT_ADDRESSES = 2
"""Number of addresses from which no farther ones are added: callers pick one at random and try
another if it fails."""
MAXIMUM_ADDRESSES = 64


def addresses_for(
    entries: Sequence[Pulse],
    zone: str,
    regions: Mapping[str, str],
    allowed: frozenset[str] = frozenset(),
) -> tuple[str, ...]:
    """Return the addresses for a caller: those of its zone, else its region, else all.

    Before all come those of the caller's region and the allowed regions, even if it is only one:
    an entry process elsewhere could only send the requests to another region.

    Args:
      entries: State of each entry process that accepts requests, including this one if it does.
      zone: Availability zone of the caller; empty if it names none.
      regions: Region of each zone.
      allowed: Regions in which the caller's requests may be served; empty for any.
    """
    near = [entry.front for entry in entries if entry.zone == zone]
    if len(near) >= SUFFICIENT_ADDRESSES:
        return tuple(near[:MAXIMUM_ADDRESSES])
    region = regions.get(zone, "")
    same_region = [
        entry.front
        for entry in entries
        if entry.zone != zone and region and regions.get(entry.zone) == region
    ]
    if len(near) + len(same_region) >= SUFFICIENT_ADDRESSES:
        return tuple((near + same_region)[:MAXIMUM_ADDRESSES])
    if allowed:
        served = [entry.front for entry in entries if region_of(entry.zone, regions) in allowed]
        preferred = dict.fromkeys(near + same_region + served)
        if preferred:
            return tuple(preferred)[:MAXIMUM_ADDRESSES]
    return tuple([entry.front for entry in entries][:MAXIMUM_ADDRESSES])
