"""How much of a shared amount this process may grant, by the share of its peers that it receives.

The registrations in the store say how many processes there are. Processes that are cut off from
most others may not grant what the others grant too; in an even split each half grants one half.
"""

from collections.abc import Collection
from dataclasses import dataclass

from .entry_peers import OTHER_GROUP_ALIVE_SECONDS, EntryPeer
from .limit_owners import DEREGISTERED_SECONDS

RECEIVED_SECONDS = OTHER_GROUP_ALIVE_SECONDS
"""Age up to which a message shows that its sender reaches this process. Shorter than the silence
after which another process replaces an owner."""
HALF = 0.5
SAMPLING_MARGIN = 0.1
"""Share of the processes above one half that counts as an even split with sampled broadcasts, as
the number of received peers varies."""


@dataclass(frozen=True, slots=True)
class Sampling:
    """To how many peers, and how often, a process sends broadcasts.

    Attributes:
      targets: Number of peers to which one broadcast goes.
      interval: Time between two broadcasts of this process, in seconds; the peers send about as
        often.
    """

    targets: int
    interval: float

    def received_share(self, others: int) -> float:
        """Return the share of the peers in reach of which a message arrives in `RECEIVED_SECONDS`.

        Args:
          others: Number of peers, among which each broadcast chooses its targets.
        """
        if others <= self.targets:
            return 1.0
        return 1.0 - float((1.0 - self.targets / others) ** (RECEIVED_SECONDS / self.interval))


def is_member(peer: EntryPeer, now: float) -> bool:
    """Return True if a peer counts as one of the entry processes; one that leaves does not."""
    broadcast = peer.last_broadcast
    is_leaving = broadcast is not None and broadcast.leaving
    is_registered = peer.registered or now - peer.deregistered_at < DEREGISTERED_SECONDS
    return not is_leaving and (is_registered or is_received(peer, now - RECEIVED_SECONDS))


def is_received(peer: EntryPeer, since: float) -> bool:
    """Return True if a message of a peer has arrived since some time."""
    return peer.last_broadcast is not None and peer.received_at > since


def grantable_share(
    peers: Collection[EntryPeer], sampling: Sampling, since: float, now: float
) -> float:
    """Return the share of each shared amount that this process may grant: 0, 0.5 or 1.

    Args:
      peers: The other entry processes.
      sampling: How broadcasts are sent.
      since: Time from which on messages of peers count, monotonic.
      now: Present time, monotonic, in seconds.
    """
    members = [peer for peer in peers if is_member(peer, now)]
    received = sum(is_received(peer, since) for peer in members)
    in_reach = received / sampling.received_share(len(peers))
    part = (1.0 + in_reach) / (1 + len(members))
    margin = SAMPLING_MARGIN if len(peers) > sampling.targets else 0.0
    if part < HALF:
        return 0.0
    return 1.0 if part > HALF + margin else HALF
