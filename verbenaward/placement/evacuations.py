"""Availability zones whose backends get no requests, as the operator's keys in the store say."""

import math
from collections.abc import Callable

import msgspec

from .. import metrics
from ..logs import get_logger
from ..platform.declarations import DECODE_ERRORS
from ..platform.key_value import KeyValueEntry
from ..platform.names import EVACUATION_PREFIX

LOG = get_logger(__name__)
MAXIMUM_FAULT_LENGTH = 150
"""Characters of a malformed value's description in a log line."""


class Evacuations:
    """The evacuated zones, and when evacuations have ended.

    Attributes:
      known_zones: Zones of the settings. An evacuation of another one is in force too, as backends
        may register there.
      zones: Evacuated zones.
      ended: When the last evacuation of a zone ended, monotonic, by zone.
      return_listeners: Called with the zone and the present time when an evacuation ends.
    """

    def __init__(self) -> None:
        self.known_zones: frozenset[str] = frozenset()
        self.zones: set[str] = set()
        self.ended: dict[str, float] = {}
        self.return_listeners: list[Callable[[str, float], None]] = []

    def apply(self, entry: KeyValueEntry, now: float) -> None:
        """Apply the key of a zone: while it exists, the zone is evacuated.

        Args:
          entry: The key; an empty value means that it was deleted.
          now: Present time, monotonic, in seconds.
        """
        zone = entry.key.removeprefix(EVACUATION_PREFIX)
        if entry.value:
            self.begin(zone, entry.value)
        elif zone in self.zones:
            self.end(zone, now)
        metrics.EVACUATED_ZONES.set(len(self.zones))

    def begin(self, zone: str, value: bytes) -> None:
        """Evacuate a zone, also if the value is malformed: the key shows the intention."""
        fault = fault_of(value)
        if fault:
            LOG.error("evacuation.unreadable", zone=zone, fault=fault)
        if zone in self.zones:
            return
        self.zones.add(zone)
        LOG.warning("zone.evacuated", zone=zone)
        if zone not in self.known_zones:
            LOG.error("zone.unknown", zone=zone)

    def end(self, zone: str, now: float) -> None:
        """End the evacuation of a zone."""
        self.zones.remove(zone)
        self.ended[zone] = now
        LOG.warning("zone.returned", zone=zone)
        for listener in self.return_listeners:
            listener(zone, now)

    def is_evacuated(self, zone: str) -> bool:
        """Return True if the backends of a zone get no requests."""
        return zone in self.zones

    def ended_at(self, zone: str) -> float:
        """Return when the last evacuation of a zone ended, monotonic; minus infinity for never."""
        return self.ended.get(zone, -math.inf)


def fault_of(value: bytes) -> str:
    """Return what is malformed in the value of an evacuation; empty for nothing."""
    try:
        body = msgspec.json.decode(value)
    except DECODE_ERRORS as error:
        return f"{type(error).__name__} {error}"[:MAXIMUM_FAULT_LENGTH]
    return "" if isinstance(body, dict) else "the value is not an object"
