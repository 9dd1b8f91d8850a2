"""Section: position of the replica in the store's history, and its age."""

import math
from typing import Any

from ...schema.messages import Pulse
from ..entry_peers import EntryPeer, position_of
from ..peer_table import MAXIMUM_AGE_MS, MILLISECONDS_PER_SECOND
from .sections import SECTIONS, SharedState


@SECTIONS.register("store position")
class StorePositionSection:
    """Position of the replica in the store's history, its age, and what it keeps."""

    def __init__(self, state: SharedState) -> None:
        self.state = state

    def fields(self, now: float) -> dict[str, Any]:
        """Return the position and the age of the replica."""
        replica, peers = self.state.replica, self.state.peers
        age_ms = peers.replica_age(now) * MILLISECONDS_PER_SECOND
        return {
            "revision": replica.revision,
            "era": replica.era,
            "kept": replica.kept_checksum(),
            "checked_ms": math.ceil(min(MAXIMUM_AGE_MS, age_ms)),
            "hops": peers.hops(now),
            "store_lost": peers.is_store_lost(),
        }

    def apply(self, broadcast: Pulse, peer: EntryPeer, now: float) -> None:
        """Record the age of the peer's replica and report its position."""
        peer.replica_current_at = now - broadcast.checked_ms / MILLISECONDS_PER_SECOND
        position = position_of(broadcast, self.state.replica.era)
        self.state.on_position(position, broadcast.kept)
