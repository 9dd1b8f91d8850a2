"""Other entry processes as one of them sees them."""

from dataclasses import dataclass

import msgspec

from ..schema.messages import Pulse

ALIVE_SECONDS = 1.2
"""Silence after which an entry process is not named to callers any more."""
FAR_ALIVE_SECONDS = 2.4
"""The same for one of another cell, which is heard less often."""
REPLACED_SECONDS = 0.5


class EntryRecord(msgspec.Struct, frozen=True):
    """What an entry process writes about itself to the store."""

    vm: str
    zone: str
    front: str
    control: str


def zone_of_record(value: bytes) -> str:
    """Return the availability zone in the record of an entry process; empty where unreadable."""
    try:
        return msgspec.json.decode(value, type=EntryRecord).zone
    except msgspec.DecodeError:
        return ""


@dataclass(slots=True)
class EntryPeer:
    """Another entry process.

    Attributes:
      control: Address for other processes.
      registered: True while the store names it.
      pulse: Its last message; None before the first.
      heard_at: When it was last heard.
      checked_at: When the store last answered it or one that it heard, by its last whole pulse.
      is_near: True where it is of the cell of this process.
    """

    control: str
    registered: bool = False
    pulse: Pulse | None = None
    heard_at: float = 0.0
    checked_at: float = 0.0
    is_near: bool = False

    def is_alive(self, now: float) -> bool:
        """Return True where it was heard lately."""
        longest = ALIVE_SECONDS if self.is_near else FAR_ALIVE_SECONDS
        return self.pulse is not None and now - self.heard_at < longest

    def is_named(self, now: float, many: bool) -> bool:
        """Return True where callers may be sent to it.

        Args:
          now: Present time, monotonic, in seconds.
          many: True where there are more entry processes than get each pulse. One that was not
            heard lately counts as long as its lease in the store lives.
        """
        if self.pulse is None or not self.pulse.ready:
            return False
        return self.is_alive(now) or (many and self.registered)


def is_older(pulse: Pulse, known: Pulse, silent_seconds: float) -> bool:
    """Return True where a pulse was overtaken by one that is known.

    A process that starts again may have a clock that was put back: once the one that is known
    has fallen silent, any other incarnation is the newer one.
    """
    if pulse.incarnation == known.incarnation:
        return pulse.sequence <= known.sequence
    return pulse.incarnation < known.incarnation and silent_seconds < REPLACED_SECONDS
