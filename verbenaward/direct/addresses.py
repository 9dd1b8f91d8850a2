"""Selects the entry addresses that the directory returns to a caller."""

from collections.abc import Mapping, Sequence

from ..schema.messages import Pulse

SUFFICIENT_ADDRESSES = 2
"""Number of addresses from which no farther ones are added: callers pick one at random and try
another if it fails."""
MAXIMUM_ADDRESSES = 64


def addresses_for(
    entries: Sequence[Pulse], zone: str, regions: Mapping[str, str]
) -> tuple[str, ...]:
    """Return the addresses for a caller: those of its zone, else its region, else all.

    Args:
      entries: State of each entry process that accepts requests, including this one if it does.
      zone: Availability zone of the caller; empty if it names none.
      regions: Region of each zone.
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
    return tuple([entry.front for entry in entries][:MAXIMUM_ADDRESSES])
