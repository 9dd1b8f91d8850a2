"""Which chunk to fetch next from a peer, and from which peer."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from .peers import Peer, PeerTable

CANDIDATE_SAMPLE = 128
"""Missing chunks considered for one pick, chosen at random; bounds the cost of a pick."""
MAXIMUM_OUTSTANDING_PER_PEER = 2
END_GAME_CHUNKS = 8
"""Missing chunks at or below which a slow request may be duplicated."""
END_GAME_REQUESTS = 2
"""Concurrent requests for one chunk in the end game."""
END_GAME_SECONDS = 0.25
"""Age of a request from which it counts as slow in the end game."""


@dataclass(slots=True)
class RequestsInFlight:
    """Requests in flight by chunk: how many, and since when.

    Attributes:
      counts: Number of requests in flight.
      since: Start of the first of them, monotonic.
    """

    counts: dict[int, int] = field(default_factory=dict)
    since: dict[int, float] = field(default_factory=dict)

    def start(self, index: int, now: float) -> None:
        """Count a request that starts."""
        self.counts[index] = self.counts.get(index, 0) + 1
        self.since.setdefault(index, now)

    def finish(self, index: int) -> None:
        """Stop counting a request that has ended, successfully or not."""
        self.counts[index] -= 1
        if not self.counts[index]:
            del self.counts[index]
            del self.since[index]

    def may_start(self, index: int, is_end_game: bool, now: float) -> bool:
        """Return True for a chunk without a request, or with one slow request in the end game."""
        if index not in self.counts:
            return True
        is_slow = now - self.since[index] > END_GAME_SECONDS
        return is_end_game and is_slow and self.counts[index] < END_GAME_REQUESTS


@dataclass(frozen=True, slots=True)
class Pick:
    """A chunk and the peer to request it from."""

    index: int
    peer: Peer


def pick_from_peers(
    missing: Collection[int],
    in_flight: RequestsInFlight,
    peers: PeerTable,
    zone: str,
    may_fetch: Callable[[int, Peer], bool],
    now: float,
    rng: random.Random,
) -> Pick | None:
    """Choose the rarest chunk that some peer can send, and its least busy holder.

    Args:
      missing: Indexes of chunks that this VM lacks.
      in_flight: Requests in flight by chunk.
      peers: The peers.
      zone: Own availability zone, whose peers are preferred.
      may_fetch: Tells whether the policy allows fetching a chunk from a peer.
      now: Present time, monotonic, in seconds.
      rng: Breaks ties and samples the candidates.

    Returns:
      The choice, or None if no peer can send a missing chunk now.
    """
    available = [peer for peer in peers.peers.values() if is_available(peer, now)]
    candidates = requestable_chunks(missing, in_flight, peers, now)
    if len(candidates) > CANDIDATE_SAMPLE:
        candidates = rng.sample(candidates, CANDIDATE_SAMPLE)
    rng.shuffle(candidates)
    candidates.sort(key=peers.holder_counts.__getitem__)
    for index in candidates:
        holders = [peer for peer in available if index in peer.held and may_fetch(index, peer)]
        if holders:
            return Pick(index, least_busy(holders, zone, rng))
    return None


def requestable_chunks(
    missing: Collection[int], in_flight: RequestsInFlight, peers: PeerTable, now: float
) -> list[int]:
    """Return the missing chunks that some peer holds and that may be requested now."""
    is_end_game = len(missing) <= END_GAME_CHUNKS
    return [
        index
        for index in missing
        if peers.holder_counts[index] and in_flight.may_start(index, is_end_game, now)
    ]


def is_available(peer: Peer, now: float) -> bool:
    """Return True if a peer is connected, below its request limit and not in backoff."""
    return (
        peer.connected
        and peer.outstanding < MAXIMUM_OUTSTANDING_PER_PEER
        and peer.backoff_until <= now
    )


def least_busy(holders: list[Peer], zone: str, rng: random.Random) -> Peer:
    """Return the holder with the shortest queue; among equals, one of the same zone."""

    def cost(peer: Peer) -> tuple[int, bool, float]:
        return (peer.outstanding * 2 + peer.uploads, peer.member.zone != zone, rng.random())

    return min(holders, key=cost)
