"""What backends have said of themselves: leaving, a pause, a limit, that they are cold.

A notice belongs to one incarnation of a backend and outlives its registration, which may end and
come back while the incarnation lives.
"""

import math
import zlib
from collections import OrderedDict
from dataclasses import dataclass, field

from ..data import Backend
from ..platform.request_headers import BackendNotice
from .known_limits import KnownLimit
from .warm_up import WarmUp

PAUSE_SPREAD = 0.25
"""Longest random extension of a pause, as a share of it. A backend asks all its callers for the
same pause while it is overloaded; without the extension they would all return at its end."""
MAXIMUM_PAUSE_EXTENSION_SECONDS = 1.0
ANNOUNCED_SECONDS = 10.0
"""Time for which the peers are told that a backend leaves. Each broadcast may reach only a sample
of them."""
KEPT_INCARNATIONS = 4096
"""Incarnations whose notices are remembered; the ones that were heard first are dropped first."""


@dataclass(slots=True, eq=False)
class IncarnationNotices:
    """What one incarnation of a backend has said of itself.

    Attributes:
      name: Hash that names the incarnation in broadcasts.
      is_leaving: True once it has said that it leaves; it never takes that back.
      heard_leaving_at: When this process heard that, monotonic; 0 if it has not.
      paused_until: Time until which it wants no requests of this process, monotonic.
      limit: Limit on the requests of all processes together that its answers name.
      warm_up: Limit that applies while it is cold.
      has_malformed_limit: True once it has named a limit that is not a number.
      limited_until: Time until which the owner of its limit grants this process no send, monotonic.
      awaits_grant: True while the owner is being asked; one request asks at a time.
    """

    name: int
    is_leaving: bool = False
    heard_leaving_at: float = 0.0
    paused_until: float = 0.0
    limit: KnownLimit = field(default_factory=KnownLimit)
    warm_up: WarmUp = field(default_factory=WarmUp)
    has_malformed_limit: bool = False
    limited_until: float = 0.0
    awaits_grant: bool = False

    def admits(self, now: float) -> bool:
        """Return True if the incarnation may get requests of this process."""
        return not self.is_leaving and not self.awaits_grant and self.available_at() <= now

    def available_at(self) -> float:
        """Return the time from which it may get requests again, monotonic; in the past for now."""
        limit_ends_at = math.inf if self.limit.is_limited else self.warm_up.limited_until
        return max(self.paused_until, min(self.limited_until, limit_ends_at))

    def limit_per_second(self, now: float) -> float:
        """Return how many requests a second it takes from all processes; infinite for no limit."""
        return min(self.limit.per_second, self.warm_up.limit_per_second(now))

    def is_limited(self, now: float) -> bool:
        """Return True if it names a limit, or one applies because it is cold."""
        return self.limit_per_second(now) < math.inf


class NoticeBook:
    """The notices of all incarnations.

    Attributes:
      by_incarnation: Notices by identity and start time of the incarnation.
      by_name: The same notices by their names.
    """

    def __init__(self) -> None:
        self.by_incarnation: OrderedDict[tuple[str, int], IncarnationNotices] = OrderedDict()
        self.by_name: dict[int, IncarnationNotices] = {}

    def of(self, backend: Backend) -> IncarnationNotices:
        """Return the notices of an incarnation, which are empty if it has said nothing."""
        key = (backend.identity, backend.born_unix_ms)
        found = self.by_incarnation.get(key)
        if found is None:
            found = self.by_incarnation[key] = IncarnationNotices(incarnation_hash(backend))
            self.by_name[found.name] = found
            while len(self.by_incarnation) > KEPT_INCARNATIONS:
                _, dropped = self.by_incarnation.popitem(last=False)
                self.by_name.pop(dropped.name, None)
        return found

    def last_start(self, identity: str) -> int:
        """Return the start time of the last known incarnation of a backend; 0 for none."""
        starts = (born for known, born in self.by_incarnation if known == identity)
        return max(starts, default=0)

    def named(self, name: int) -> IncarnationNotices | None:
        """Return the notices of the incarnation with a name; None if it is not known."""
        return self.by_name.get(name)

    def announced(self, now: float) -> tuple[int, ...]:
        """Return the names of the incarnations of which the peers are told that they leave."""
        return tuple(
            item.name
            for item in self.by_incarnation.values()
            if item.heard_leaving_at and now - item.heard_leaving_at < ANNOUNCED_SECONDS
        )

    def record_leaving_by_name(self, names: tuple[int, ...]) -> None:
        """Record that incarnations leave, as a peer has heard from them."""
        for item in self.by_incarnation.values() if names else ():
            if item.name in names:
                item.is_leaving = True


def record_notice(
    notices: IncarnationNotices, notice: BackendNotice, now: float, extension_share: float
) -> None:
    """Record what an answer says. A longer pause that was asked for earlier stays.

    Args:
      notices: Notices of the incarnation that has answered.
      notice: What its answer says.
      now: Present time, monotonic, in seconds.
      extension_share: Random number from 0 to 1 that spreads the ends of pauses.
    """
    if notice.is_leaving:
        notices.is_leaving = True
        notices.heard_leaving_at = notices.heard_leaving_at or now
    if notice.pause_seconds:
        end = pause_end(now, notice.pause_seconds, extension_share)
        notices.paused_until = max(notices.paused_until, end)
    notices.warm_up.record_cold(notice.cold_seconds, now)


def pause_end(now: float, seconds: float, extension_share: float) -> float:
    """Return the time at which a process uses a backend again that has asked for a pause.

    Args:
      now: Present time, monotonic, in seconds.
      seconds: Length of the pause that the backend has asked for.
      extension_share: Random number from 0 to 1 that spreads the ends of pauses.
    """
    longest = min(MAXIMUM_PAUSE_EXTENSION_SECONDS, PAUSE_SPREAD * seconds)
    return now + seconds + longest * extension_share


def incarnation_hash(backend: Backend) -> int:
    """Return the hash that names an incarnation of a backend in broadcasts."""
    return zlib.crc32(f"{backend.identity}/{backend.born_unix_ms}".encode())
