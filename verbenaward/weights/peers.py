"""State of the peers of a transfer: the other VMs that download the same chunk table."""

from dataclasses import dataclass, field

from ..schema.messages import ChunksHeld, Member

REPORT_TIMEOUT_SECONDS = 1.5
"""Time without an availability report after which a connected peer is unresponsive."""
PEER_BACKOFF_SECONDS = 2.0


@dataclass(slots=True)
class Peer:
    """One other VM.

    Attributes:
      member: Its member record.
      held: Indexes of the chunks it holds.
      outstanding: Requests of this process that it has not answered yet.
      uploads: Length of its upload queue, as it last reported.
      last_report_at: Time of its last availability report, monotonic; 0 for never.
      connected: True while the channel for its reports is open.
      was_connected: True once the channel has been open.
      backoff_until: Time until which it gets no requests after a failure, monotonic.
    """

    member: Member
    held: set[int] = field(default_factory=set)
    outstanding: int = 0
    uploads: int = 0
    last_report_at: float = 0.0
    connected: bool = False
    was_connected: bool = False
    backoff_until: float = 0.0

    def is_unresponsive(self, now: float) -> bool:
        """Return True if a peer that was connected has disconnected or stopped reporting."""
        if not self.was_connected:
            return False
        return not self.connected or now - self.last_report_at > REPORT_TIMEOUT_SECONDS


class PeerTable:
    """The peers of one transfer and how many of them hold each chunk.

    Attributes:
      peers: Peers by VM.
      holder_counts: Number of peers that hold each chunk, by chunk index.
      last_new_chunk_at: Time at which a peer last reported a chunk that no other peer held,
        monotonic.
    """

    def __init__(self, chunk_count: int, now: float) -> None:
        self.peers: dict[str, Peer] = {}
        self.holder_counts = [0] * chunk_count
        self.last_new_chunk_at = now

    def add(self, member: Member) -> Peer:
        """Add a peer, or update the member record of a known one, and return it."""
        peer = self.peers.get(member.vm)
        if peer is None:
            peer = self.peers[member.vm] = Peer(member)
        peer.member = member
        return peer

    def remove(self, vm: str) -> None:
        """Remove a peer and its chunks from the counts."""
        peer = self.peers.pop(vm, None)
        if peer is not None:
            self.clear(peer)

    def clear(self, peer: Peer) -> None:
        """Discard the chunks that a peer has reported; it reports all after reconnecting."""
        for index in peer.held:
            self.holder_counts[index] -= 1
        peer.held.clear()

    def apply_report(self, peer: Peer, report: ChunksHeld, now: float) -> bool:
        """Record the chunks that a peer reports; True if any was not yet known of it."""
        peer.last_report_at = now
        peer.uploads = report.uploads
        added = False
        for index in report.held:
            if index < len(self.holder_counts) and index not in peer.held:
                self.add_holder(peer, index, now)
                added = True
        return added

    def add_holder(self, peer: Peer, index: int, now: float) -> None:
        """Record that a peer holds a chunk."""
        peer.held.add(index)
        if self.holder_counts[index] == 0:
            self.last_new_chunk_at = now
        self.holder_counts[index] += 1

    def unresponsive(self, now: float) -> set[str]:
        """Return the VMs that were connected and are unresponsive now."""
        return {vm for vm, peer in self.peers.items() if peer.is_unresponsive(now)}

    def back_off(self, peer: Peer, now: float) -> None:
        """Send a peer no requests for PEER_BACKOFF_SECONDS, after a failure."""
        peer.backoff_until = now + PEER_BACKOFF_SECONDS
