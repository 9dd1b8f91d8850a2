"""Which chunk to fetch next, and from whom."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from .peers import Peer, PeerTable

SAMPLE = 128
MAXIMUM_OUTSTANDING_PER_PEER = 2
END_GAME_CHUNKS = 8
END_GAME_REQUESTS = 2


@dataclass(frozen=True, slots=True)
class Pick:
    """A chunk and the peer to ask for it."""

    index: int
    peer: Peer


def pick_from_peers(
    missing: Collection[int],
    in_flight: dict[int, int],
    table: PeerTable,
    zone: str,
    may_fetch: Callable[[int, Peer], bool],
    now: float,
    rng: random.Random,
) -> Pick | None:
    """Choose the rarest chunk that some peer can send, and its least busy holder.

    Args:
      missing: Indexes of chunks that are not held.
      in_flight: Number of running requests by chunk.
      table: The peers.
      zone: Own availability zone, which is preferred.
      may_fetch: Says whether a chunk may be fetched from a peer.
      now: Present time, monotonic, in seconds.
      rng: Source of the choices among equals.

    Returns:
      The choice, or None where no peer can send anything that is missing.
    """
    able = [peer for peer in table.peers.values() if is_able(peer, now)]
    candidates = open_candidates(missing, in_flight, table)
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
    missing: Collection[int], in_flight: dict[int, int], table: PeerTable
) -> list[int]:
    """Return chunks that somebody holds and that need a further request."""
    requests = END_GAME_REQUESTS if len(missing) <= END_GAME_CHUNKS else 1
    return [
        index for index in missing if table.holders[index] and in_flight.get(index, 0) < requests
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
