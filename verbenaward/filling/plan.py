"""Which weights an engine should hold, and when it is told to load them."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..data import Backend

LAST_TURN_SHARE = 0.9
"""Part of the time bound of a version within which its last engine begins to load."""
UNKNOWN_STAGING_SHARE = 0.5
"""Part of the time bound that staging is held to take where the link is unknown."""
NEWER_SHARE = 0.9
"""Part of the time bound within which the last engine should have staged a newer version."""
IN_TIME_SHARE = 0.85
"""Part of the time bound within which a version should be staged."""


def wanted_version(named: dict[str, int], model: str, others: list[Backend]) -> int:
    """Return the version of a model that an engine should hold; 0 where none is known.

    Args:
      named: Versions that the operator has named.
      model: Name of the model.
      others: Backends of the service. Where no version was named, what they hold counts.
    """
    if model in named:
        return named[model]
    held = [
        item.version for backend in others for item in backend.weights or () if item.model == model
    ]
    return max(held, default=0)


def turn_order(zones: Mapping[str, str]) -> list[str]:
    """Return the addresses of engines in the order in which they load newer weights.

    Neighbours in the order are in different availability zones, so that each zone keeps most of
    its engines at any time.

    Args:
      zones: Availability zone of each address.
    """
    by_zone: dict[str, list[str]] = {}
    for address in sorted(zones):
        by_zone.setdefault(zones[address], []).append(address)
    places = [
        ((index + 0.5) / len(addresses), zone, address)
        for zone, addresses in by_zone.items()
        for index, address in enumerate(addresses)
    ]
    return [address for _, _, address in sorted(places)]


def load_delay_seconds(address: str, zones: Mapping[str, str], window_seconds: float) -> float:
    """Return how long an engine that serves older weights waits before it loads newer ones.

    An engine takes nothing new while it ends what it runs and loads. Those of a service take
    their turns over the window, so that they do not all stop at once.

    Args:
      address: Address of the engine.
      zones: Availability zone of each engine of the service that serves, itself included.
      window_seconds: Time in which all should begin.
    """
    order = turn_order(zones)
    return window_seconds * order.index(address) / len(order)


@dataclass(frozen=True, slots=True)
class Overtaken:
    """A version that is being staged when a newer one is named.

    Attributes:
      staged_share: Part of its chunks that are staged.
      newer_heard_at: When the newer version was heard, monotonic.
      staging_seconds: Time to stage a whole version.
      bound_seconds: Time bound of a version.
      rank: Place of the engine among those that serve.
    """

    staged_share: float
    newer_heard_at: float
    staging_seconds: float
    bound_seconds: float
    rank: int


def goes_on(overtaken: Overtaken, now: float) -> bool:
    """Return True where an engine still takes a version that a newer one has overtaken.

    If all gave it up, none would hold a version that may serve between the bound of the older
    and the arrival of the newer one. If both can be had in time, all go on; else every second.

    Args:
      overtaken: What is known when the newer version is heard.
      now: Present time, monotonic, in seconds.
    """
    rest = (1.0 - overtaken.staged_share) * overtaken.staging_seconds
    newer_staged_at = now + rest + overtaken.staging_seconds
    in_time = overtaken.newer_heard_at + IN_TIME_SHARE * overtaken.bound_seconds
    return newer_staged_at <= in_time or overtaken.rank % 2 == 0


@dataclass(frozen=True, slots=True)
class Swap:
    """What decides when the engines of a service take their turns to load a version.

    Attributes:
      heard_at: When the version was heard, monotonic.
      newer_heard_at: When a newer one was heard that must be staged afterwards; None for none.
      staging_seconds: Time to stage a whole version; 0 where it is unknown.
      bound_seconds: Time bound of a version.
    """

    heard_at: float
    newer_heard_at: float | None
    staging_seconds: float
    bound_seconds: float

    @property
    def first_turn_at(self) -> float:
        """Return when the first engine begins to load: once a version can be staged."""
        known = self.staging_seconds or UNKNOWN_STAGING_SHARE * self.bound_seconds
        return self.heard_at + min(known, LAST_TURN_SHARE * self.bound_seconds)

    @property
    def window_seconds(self) -> float:
        """Return the time over which the engines take their turns."""
        last = self.heard_at + LAST_TURN_SHARE * self.bound_seconds
        if self.newer_heard_at is not None:
            newer_due = self.newer_heard_at + NEWER_SHARE * self.bound_seconds
            last = min(last, newer_due - self.staging_seconds)
        return max(0.0, last - self.first_turn_at)
