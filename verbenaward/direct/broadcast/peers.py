"""Section: addresses of known peers, so that processes find each other without the store."""

import random
from typing import Any

from ...schema.messages import Pulse
from ..entry_peers import EntryPeer
from .sections import SECTIONS, SharedState

GOSSIP_INTERVAL = 16
"""Full broadcasts of which one names other peers."""
GOSSIPED_PEERS = 8
"""Addresses of other peers in a full broadcast."""


@SECTIONS.register("peers")
class PeersSection:
    """Addresses of other entry processes, in some of the broadcasts.

    Attributes:
      full_broadcasts: Full broadcasts so far.
    """

    def __init__(self, state: SharedState) -> None:
        self.peers = state.peers
        self.full_broadcasts = 0
        self.rng = random.Random()

    def fields(self, now: float) -> dict[str, Any]:
        """Return the addresses of some live peers, in one of `GOSSIP_INTERVAL` broadcasts."""
        self.full_broadcasts += 1
        if self.full_broadcasts % GOSSIP_INTERVAL != 1:
            return {}
        alive = [peer.control for peer in self.peers.alive(now)]
        if len(alive) > GOSSIPED_PEERS:
            alive = self.rng.sample(alive, GOSSIPED_PEERS)
        return {"entries": tuple(alive)}

    def apply(self, broadcast: Pulse, peer: EntryPeer, now: float) -> None:
        """Add the peers that the sender names."""
        for control in broadcast.entries:
            self.peers.peer(control)
