"""Which chunk to fetch next, and from whom."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from .peers import Peer, PeerTable

SAMPLE = 128
MAXIMUM_OUTSTANDING_PER_PEER = 2
END_GAME_CHUNKS = 8
END_GAME_REQUESTS = 2
END_GAME_SECONDS = 0.25


@dataclass(slots=True)
class Flights:
    """Running requests by chunk: how many, and since when.

    Attributes:
      counts: Number of running requests.
      since: Start of the first of them, monotonic.
    """

    counts: dict[int, int] = field(default_factory=dict)
    since: dict[int, float] = field(default_factory=dict)

    def begin(self, index: int, now: float) -> None:
        """Count a request that starts."""
        self.counts[index] = self.counts.get(index, 0) + 1
        self.since.setdefault(index, now)

    def end(self, index: int) -> None:
        """Count a request that has ended."""
        self.counts[index] -= 1
        if not self.counts[index]:
            del self.counts[index]
            del self.since[index]

    def may_begin(self, index: int, is_end_game: bool, now: float) -> bool:
        """Return True where a chunk needs a request, or a second one at the end."""
        if index not in self.counts:
            return True
        is_slow = now - self.since[index] > END_GAME_SECONDS
        return is_end_game and is_slow and self.counts[index] < END_GAME_REQUESTS


@dataclass(frozen=True, slots=True)
class Pick:
    """A chunk and the peer to ask for it."""

    index: int
    peer: Peer


def pick_from_peers(
    missing: Collection[int],
    flights: Flights,
    table: PeerTable,
    zone: str,
    may_fetch: Callable[[int, Peer], bool],
    now: float,
    rng: random.Random,
) -> Pick | None:
    """Choose the rarest chunk that some peer can send, and its least busy holder.

    Args:
      missing: Indexes of chunks that are not held.
      flights: Running requests by chunk.
      table: The peers.
      zone: Own availability zone, which is preferred.
      may_fetch: Says whether a chunk may be fetched from a peer.
      now: Present time, monotonic, in seconds.
      rng: Source of the choices among equals.

    Returns:
      The choice, or None where no peer can send anything that is missing.
    """
    able = [peer for peer in table.peers.values() if is_able(peer, now)]
    candidates = open_candidates(missing, flights, table, now)
    if len(candidates) > SAMPLE:
        candidates = rng.sample(candidates, SAMPLE)
    rng.shuffle(candidates)
    candidates.sort(key=table.holders.__getitem__)
    for index in candidates:
        holders = [peer for peer in able if index in peer.held and may_fetch(index, peer)]
        if holders:
            return Pick(index, least_busy(holders, zone, rng))
    return None


def open_candidates(
    missing: Collection[int], flights: Flights, table: PeerTable, now: float
) -> list[int]:
    """Return chunks that somebody holds and that need a further request."""
    is_end_game = len(missing) <= END_GAME_CHUNKS
    return [
        index
        for index in missing
        if table.holders[index] and flights.may_begin(index, is_end_game, now)
    ]


def is_able(peer: Peer, now: float) -> bool:
    """Return True where a peer may be asked for another chunk."""
    return (
        peer.connected
        and peer.outstanding < MAXIMUM_OUTSTANDING_PER_PEER
        and peer.banned_until <= now
    )


def least_busy(holders: list[Peer], zone: str, rng: random.Random) -> Peer:
    """Return the holder with the shortest queue, near ones first among equals."""

    def cost(peer: Peer) -> tuple[int, bool, float]:
        return (peer.outstanding * 2 + peer.uploads, peer.member.zone != zone, rng.random())

    return min(holders, key=cost)
