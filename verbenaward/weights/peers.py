"""What a transfer knows about the other VMs that carry the same table."""

from dataclasses import dataclass, field

from ..schema.messages import ChunksHeld, Member

SILENT_SECONDS = 1.5
BAN_SECONDS = 2.0


@dataclass(slots=True)
class Peer:
    """One other VM.

    Attributes:
      member: Its record.
      held: Indexes of the chunks it holds.
      outstanding: Requests of this process that it has not answered yet.
      uploads: Uploads that it reported to have in its queue.
      heard_at: Time of its last report, monotonic; 0 for never.
      connected: True while the channel for its reports is open.
      was_connected: True once the channel has been open.
      banned_until: Time until which it is not asked, after a failure.
    """

    member: Member
    held: set[int] = field(default_factory=set)
    outstanding: int = 0
    uploads: int = 0
    heard_at: float = 0.0
    connected: bool = False
    was_connected: bool = False
    banned_until: float = 0.0

    def is_silent(self, now: float) -> bool:
        """Return True where the peer was heard once and then broke off or went quiet."""
        if not self.was_connected:
            return False
        return not self.connected or now - self.heard_at > SILENT_SECONDS


class PeerTable:
    """The peers of one transfer and how many of them hold each chunk.

    Attributes:
      peers: Peers by VM.
      holders: Number of peers that hold each chunk.
      last_news_at: Time at which some peer last reported a chunk that nobody held.
    """

    def __init__(self, chunk_count: int, now: float) -> None:
        self.peers: dict[str, Peer] = {}
        self.holders = [0] * chunk_count
        self.last_news_at = now

    def add(self, member: Member) -> Peer:
        """Add a peer, or return the known one with its record renewed."""
        peer = self.peers.get(member.vm)
        if peer is None:
            peer = self.peers[member.vm] = Peer(member)
        peer.member = member
        return peer

    def remove(self, vm: str) -> None:
        """Forget a peer and what it held."""
        peer = self.peers.pop(vm, None)
        if peer is not None:
            self.clear(peer)

    def clear(self, peer: Peer) -> None:
        """Forget what a peer held."""
        for index in peer.held:
            self.holders[index] -= 1
        peer.held.clear()

    def take_report(self, peer: Peer, report: ChunksHeld, now: float) -> bool:
        """Note the chunks that a peer reports; True where any was new for it."""
        peer.heard_at = now
        peer.uploads = report.uploads
        added = False
        for index in report.held:
            if index < len(self.holders) and index not in peer.held:
                self.note_holder(peer, index, now)
                added = True
        return added

    def note_holder(self, peer: Peer, index: int, now: float) -> None:
        """Note that a peer holds a chunk."""
        peer.held.add(index)
        if self.holders[index] == 0:
            self.last_news_at = now
        self.holders[index] += 1

    def silent(self, now: float) -> set[str]:
        """Return the VMs that were heard once and are silent now."""
        return {vm for vm, peer in self.peers.items() if peer.is_silent(now)}

    def ban(self, peer: Peer, now: float) -> None:
        """Ask a peer nothing for a while."""
        peer.banned_until = now + BAN_SECONDS
