"""Spread policies: who draws a chunk from the origin, and who fetches it from whom.

Both decisions are positions in a rendezvous order. Position 0 may go at once; the others
follow one after the other while the spread stagnates, so that a dead or slow VM is
replaced without any agreement.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..membership.ring import hash64
from ..registry import Registry
from ..schema.messages import Member
from ..schema.settings import LinkSettings

NEVER = 1_000_000
AUTO = "auto"
MASK_64 = (1 << 64) - 1
HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class Carriers:
    """The VMs that carry a release, as one of them sees them.

    Attributes:
      own: Record of this process.
      others: Records of the other VMs that are not known to be silent.
      region_link_limited: True where the link between regions is narrow.
      origin_region: Region of the origin; empty where it is in none.
    """

    own: Member
    others: tuple[Member, ...]
    region_link_limited: bool = False
    origin_region: str = ""

    @property
    def neighbours(self) -> tuple[Member, ...]:
        """Return the other VMs of the own region."""
        return tuple(item for item in self.others if item.region == self.own.region)


@dataclass(frozen=True, slots=True)
class SpreadPolicy:
    """Decisions of one policy.

    Attributes:
      draw_position: Position of this process among those that draw a chunk.
      fetch_position: Position of this process among those that fetch a chunk from a peer.
    """

    draw_position: Callable[[bytes, Carriers], int]
    fetch_position: Callable[[bytes, Carriers, Member], int]


POLICIES: Registry[Callable[[], SpreadPolicy]] = Registry("spread policy")


@POLICIES.register("naive")
def naive_policy() -> SpreadPolicy:
    """Every VM draws every chunk itself."""
    return SpreadPolicy(lambda chunk, carriers: 0, lambda chunk, carriers, peer: NEVER)


@POLICIES.register("per-region")
def per_region_policy() -> SpreadPolicy:
    """One VM of each region draws a chunk; the others of the region get it from it."""

    def draw(chunk: bytes, carriers: Carriers) -> int:
        return position(chunk, carriers.own, carriers.neighbours)

    def fetch(chunk: bytes, carriers: Carriers, peer: Member) -> int:
        if peer.region == carriers.own.region:
            return 0
        return 1 + position(chunk, carriers.own, carriers.neighbours)

    return SpreadPolicy(draw, fetch)


@POLICIES.register("once")
def once_policy() -> SpreadPolicy:
    """One VM of all draws a chunk; the regions exchange what they have drawn."""

    def draw(chunk: bytes, carriers: Carriers) -> int:
        near = [item for item in carriers.others if item.region == carriers.origin_region]
        if carriers.own.region == carriers.origin_region:
            return position(chunk, carriers.own, near)
        return len(near) + position(chunk, carriers.own, carriers.others)

    def fetch(chunk: bytes, carriers: Carriers, peer: Member) -> int:
        if peer.region == carriers.own.region or not carriers.region_link_limited:
            return 0
        return position(chunk, carriers.own, carriers.neighbours)

    return SpreadPolicy(draw, fetch)


def position(chunk: bytes, own: Member, others: Sequence[Member]) -> int:
    """Return the position of a VM in the rendezvous order of a chunk."""
    factor = int.from_bytes(chunk[:HASH_BYTES], "big") | 1
    own_weight = weight(factor, own.vm)
    return sum(weight(factor, item.vm) > own_weight for item in others)


def weight(factor: int, vm: str) -> int:
    """Return the rendezvous weight of a VM for a chunk."""
    mixed = (factor * vm_hash(vm)) & MASK_64
    return mixed ^ (mixed >> 32)


def vm_hash(vm: str) -> int:
    """Return the cached hash of a VM's name."""
    known = VM_HASHES.get(vm)
    if known is None:
        known = VM_HASHES[vm] = hash64(vm) | 1
    return known


VM_HASHES: dict[str, int] = {}


def choose_policy(links: LinkSettings, regions: int) -> str:
    """Return the name of the policy for the links that the settings describe.

    With one draw in all each region imports what the others draw; with one draw per
    region the origin's link carries a copy for each. The slower of the two decides. Where
    the origin is in a region, both move a copy over each region link, and one draw in all
    spares the origin.

    Args:
      links: The settings of the links.
      regions: Number of regions that carry the release.
    """
    if links.policy != AUTO:
        return links.policy
    if links.origin_region or not links.region_bytes_per_second:
        return "once"
    if not links.origin_bytes_per_second:
        return "once"
    seconds_through_origin = regions / links.origin_bytes_per_second
    imported = (regions - 1) / regions
    seconds_through_region_link = imported / links.region_bytes_per_second
    return "once" if seconds_through_region_link <= seconds_through_origin else "per-region"
