"""Cached positions in the rendezvous orders of a transfer.

Large tables are cut into slices of neighbouring chunks, and a slice has one order, so
that the work after a change of membership stays small.
"""

from ..schema.messages import Member
from .policies import Carriers, SpreadPolicy
from .table import Table

MAXIMUM_SLICES = 512


class Turns:
    """Positions of this process, by slice.

    Attributes:
      slice_chunks: Number of chunks in a slice.
    """

    def __init__(self, table: Table) -> None:
        self.table = table
        self.slice_chunks = -(-len(table.chunks) // MAXIMUM_SLICES) or 1
        self.draw_places: dict[int, int] = {}
        self.fetch_places: dict[tuple[int, str], int] = {}

    def forget(self) -> None:
        """Drop all cached positions, after the carriers have changed."""
        self.draw_places.clear()
        self.fetch_places.clear()

    def draw_place(self, policy: SpreadPolicy, carriers: Carriers, index: int) -> int:
        """Return the position of this process among those that draw a chunk."""
        part = index // self.slice_chunks
        if part not in self.draw_places:
            self.draw_places[part] = policy.draw_position(self.name_of(part), carriers)
        return self.draw_places[part]

    def fetch_place(
        self, policy: SpreadPolicy, carriers: Carriers, index: int, peer: Member
    ) -> int:
        """Return the position of this process among those that fetch a chunk from a peer."""
        key = (index // self.slice_chunks, peer.region)
        if key not in self.fetch_places:
            name = self.name_of(key[0])
            self.fetch_places[key] = policy.fetch_position(name, carriers, peer)
        return self.fetch_places[key]

    def name_of(self, part: int) -> bytes:
        """Return the hash that stands for a slice."""
        return self.table.chunks[part * self.slice_chunks].hash
