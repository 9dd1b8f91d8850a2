"""Which entry addresses callers should use."""

from collections.abc import Mapping, Sequence

from ..schema.messages import Pulse

ENOUGH = 2
"""Addresses that are enough: callers pick one at random and go on to another if it fails."""
MAXIMUM_ADDRESSES = 64


def addresses_for(
    pulses: Sequence[Pulse], zone: str, regions: Mapping[str, str]
) -> tuple[str, ...]:
    """Return the addresses for a caller: near ones, and others where those are few.

    Args:
      pulses: Entry processes that take requests, this one included where it does.
      zone: Availability zone of the caller; empty where it named none.
      regions: Region of each zone.
    """
    near = [pulse.front for pulse in pulses if pulse.zone == zone]
    if len(near) >= ENOUGH:
        return tuple(near[:MAXIMUM_ADDRESSES])
    region = regions.get(zone, "")
    same = [
        pulse.front
        for pulse in pulses
        if pulse.zone != zone and region and regions.get(pulse.zone) == region
    ]
    if len(near) + len(same) >= ENOUGH:
        return tuple((near + same)[:MAXIMUM_ADDRESSES])
    return tuple([pulse.front for pulse in pulses][:MAXIMUM_ADDRESSES])
