"""Which entry process owns the limit of a backend: it alone grants sends there.

The owner is appointed by rendezvous hash. It may own the limit only while no better process may own
it, so that two processes own it for a moment at most, when one of them joins or falls silent.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from .entry_peers import EntryPeer, appointment_rank

SETTLING_SECONDS = 3.0
"""Time for which a process must have been ready: it may not know its peers before. Also the silence
after which a peer does not own a limit any more."""
DEREGISTERED_SECONDS = 4.0
"""Time for which a peer may own limits after its registration ended without a notice that it
leaves: an outage of the store ends all registrations, and they return in about 2 s."""
STALL_SECONDS = 2.5
"""Time between two broadcasts of this process after which it has stalled, and must settle again."""


@dataclass(slots=True)
class Readiness:
    """Since when this process has been ready without a stall.

    Attributes:
      ready_since: Monotonic; infinite while it is not ready.
      observed_at: When that was last observed, monotonic.
      announced_at: When a broadcast first said that it may own limits; infinite if none has. A
        process that learns of a better owner stops before that one begins.
    """

    ready_since: float = math.inf
    observed_at: float = -math.inf
    announced_at: float = math.inf

    def observe(self, is_ready: bool, now: float) -> None:
        """Record whether the process is ready; called with each full broadcast."""
        has_stalled = now - self.observed_at > STALL_SECONDS
        if not is_ready:
            self.ready_since = math.inf
        elif has_stalled or self.ready_since == math.inf:
            self.ready_since = now
        is_settled = now - self.ready_since >= SETTLING_SECONDS
        self.announced_at = min(self.announced_at, now) if is_settled else math.inf
        self.observed_at = now

    def is_settled(self, now: float) -> bool:
        """Return True if this process may own limits."""
        is_running = now - self.observed_at <= STALL_SECONDS
        return is_running and now >= self.announced_at


def is_candidate(peer: EntryPeer, is_sampled: bool, now: float) -> bool:
    """Return True if a peer may own limits; all processes find the same.

    With sampled broadcasts the registrations in the store decide, as broadcasts reach each process
    at a different time.
    """
    broadcast = peer.last_broadcast
    if is_sampled:
        is_excluded = broadcast is not None and (broadcast.leaving or not broadcast.knows_limits)
        is_registered = peer.registered or now - peer.deregistered_at < DEREGISTERED_SECONDS
        return is_registered and not is_excluded
    return broadcast is not None and broadcast.grants_limits and peer.is_alive(now)


def may_still_own(peer: EntryPeer, is_sampled: bool, now: float) -> bool:
    """Return True if a peer may own limits, or fell silent too recently to be replaced."""
    broadcast = peer.last_broadcast
    is_recent = broadcast is not None and now - peer.received_at < SETTLING_SECONDS
    return is_candidate(peer, is_sampled, now) or (
        is_recent and broadcast is not None and broadcast.grants_limits
    )


def owner_of(name: int, candidates: Iterable[str]) -> str | None:
    """Return the owner of a limit among processes, by control address; None if there is none."""
    return min(candidates, key=lambda control: owner_rank(name, control), default=None)


def is_owner(name: int, own: str, rivals: Iterable[str]) -> bool:
    """Return True if a process owns a limit beside others that may own it too."""
    return all(owner_rank(name, own) < owner_rank(name, rival) for rival in rivals)


def owner_rank(name: int, control: str) -> bytes:
    """Return the rank of a process, by control address, for a limit; the lowest one owns it."""
    return appointment_rank(name.to_bytes(4, "big"), control)
