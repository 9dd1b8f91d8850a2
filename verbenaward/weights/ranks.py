"""Cached ranks of this VM in the rendezvous orders of a transfer.

Large chunk tables are divided into slices of consecutive chunks. All chunks of a slice share
one rendezvous order, which limits the recomputation after a membership change.
"""

from ..schema.messages import Member
from .chunk_table import LoadedChunkTable
from .policies import DistributionPolicy, Swarm

MAXIMUM_SLICES = 512


class RankCache:
    """Ranks of this VM by slice, computed on first use.

    Attributes:
      slice_chunks: Number of chunks in a slice.
    """

    def __init__(self, table: LoadedChunkTable) -> None:
        self.table = table
        self.slice_chunks = -(-len(table.chunks) // MAXIMUM_SLICES) or 1
        self.source_ranks: dict[int, int] = {}
        self.peer_ranks: dict[tuple[int, str], int] = {}

    def clear(self) -> None:
        """Drop all cached ranks; called when the swarm has changed."""
        self.source_ranks.clear()
        self.peer_ranks.clear()

    def source_rank(self, policy: DistributionPolicy, swarm: Swarm, index: int) -> int:
        """Return the rank of this VM among those that read a chunk from the sources."""
        slice_index = index // self.slice_chunks
        if slice_index not in self.source_ranks:
            self.source_ranks[slice_index] = policy.source_rank(self.slice_key(slice_index), swarm)
        return self.source_ranks[slice_index]

    def peer_rank(self, policy: DistributionPolicy, swarm: Swarm, index: int, peer: Member) -> int:
        """Return the rank of this VM among those that fetch a chunk from a peer."""
        key = (index // self.slice_chunks, peer.region)
        if key not in self.peer_ranks:
            slice_key = self.slice_key(key[0])
            self.peer_ranks[key] = policy.peer_rank(slice_key, swarm, peer)
        return self.peer_ranks[key]

    def slice_key(self, slice_index: int) -> bytes:
        """Return the hash of a slice's first chunk, which the rendezvous order is based on."""
        return self.table.chunks[slice_index * self.slice_chunks].hash
