"""Distribution policies: which VM reads a chunk from the sources, and who fetches it from whom.

Both decisions are ranks in a rendezvous order of the VMs. Rank 0 may act at once; while the
transfer makes no progress, one further rank at a time may act too, so that a failed or slow VM
is replaced without any coordination.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..membership.ring import hash64
from ..registry import Registry
from ..schema.messages import Member
from ..schema.settings import LinkSettings

NEVER = 1_000_000
"""Rank of a VM that must not act, however long the transfer stalls."""
AUTO = "auto"
MASK_64 = (1 << 64) - 1
HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class Swarm:
    """The VMs that download the same release, as seen by one of them.

    Attributes:
      own: Member record of this process.
      others: Member records of the other VMs, without unresponsive peers.
      region_link_limited: True if the link between regions has a rate limit.
      origin_region: Region of the origin; empty for none.
    """

    own: Member
    others: tuple[Member, ...]
    region_link_limited: bool = False
    origin_region: str = ""

    @property
    def same_region(self) -> tuple[Member, ...]:
        """Return the other VMs of this VM's region."""
        return tuple(item for item in self.others if item.region == self.own.region)


@dataclass(frozen=True, slots=True)
class DistributionPolicy:
    """Decisions of one policy, each as a rank: 0 acts first, NEVER does not act.

    Attributes:
      source_rank: Rank of this VM among those that read a chunk from the sources.
      peer_rank: Rank of this VM among those that fetch a chunk from a given peer.
    """

    source_rank: Callable[[bytes, Swarm], int]
    peer_rank: Callable[[bytes, Swarm, Member], int]


POLICIES: Registry[Callable[[], DistributionPolicy]] = Registry("distribution policy")


@POLICIES.register("naive")
def naive_policy() -> DistributionPolicy:
    """Let every VM read every chunk from the sources; peers are not used."""
    return DistributionPolicy(lambda chunk, swarm: 0, lambda chunk, swarm, peer: NEVER)


@POLICIES.register("per-region")
def per_region_policy() -> DistributionPolicy:
    """Let one VM of each region read a chunk from the sources; the others fetch it from peers."""

    def source_rank(chunk: bytes, swarm: Swarm) -> int:
        return rendezvous_rank(chunk, swarm.own, swarm.same_region)

    def peer_rank(chunk: bytes, swarm: Swarm, peer: Member) -> int:
        if peer.region == swarm.own.region:
            return 0
        return 1 + rendezvous_rank(chunk, swarm.own, swarm.same_region)

    return DistributionPolicy(source_rank, peer_rank)


@POLICIES.register("once")
def once_policy() -> DistributionPolicy:
    """Let one VM of all regions read a chunk from the sources; regions exchange chunks."""

    def source_rank(chunk: bytes, swarm: Swarm) -> int:
        near = [item for item in swarm.others if item.region == swarm.origin_region]
        if swarm.own.region == swarm.origin_region:
            return rendezvous_rank(chunk, swarm.own, near)
        return len(near) + rendezvous_rank(chunk, swarm.own, swarm.others)

    def peer_rank(chunk: bytes, swarm: Swarm, peer: Member) -> int:
        if peer.region == swarm.own.region or not swarm.region_link_limited:
            return 0
        return rendezvous_rank(chunk, swarm.own, swarm.same_region)

    return DistributionPolicy(source_rank, peer_rank)


def rendezvous_rank(chunk: bytes, own: Member, others: Sequence[Member]) -> int:
    """Return the rank of a VM in the rendezvous order of a chunk hash, 0 for the first.

    Unlike `rendezvous_order`, it does not hash each pair of chunk and VM, as there are many chunks.
    """
    factor = int.from_bytes(chunk[:HASH_BYTES], "big") | 1
    own_weight = rendezvous_weight(factor, own.vm)
    return sum(rendezvous_weight(factor, item.vm) > own_weight for item in others)


def rendezvous_weight(factor: int, vm: str) -> int:
    """Return the rendezvous weight of a VM for a chunk; the highest weight has rank 0."""
    mixed = (factor * vm_hash(vm)) & MASK_64
    return mixed ^ (mixed >> 32)


def vm_hash(vm: str) -> int:
    """Return the cached hash of a VM's name, made odd for the multiplication."""
    known = VM_HASH_CACHE.get(vm)
    if known is None:
        known = VM_HASH_CACHE[vm] = hash64(vm) | 1
    return known


VM_HASH_CACHE: dict[str, int] = {}


def choose_policy(links: LinkSettings, regions: int) -> str:
    """Return the name of the policy that moves a release fastest over the configured links.

    With "once", each region imports what the other regions read from the sources; with
    "per-region", the origin's link carries one copy for each region. The slower link decides.
    If the origin is in a region, both policies move one copy over each region link, and
    "once" puts less load on the origin.

    Args:
      links: The settings of the links.
      regions: Number of regions that download the release.
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
