"""The context of weight transfers."""

import random
from dataclasses import dataclass, field

import aiohttp

from ..membership.directory import Directory
from ..membership.own_record import OwnRecord
from ..schema.settings import LinkSettings
from .pacing import Pacer
from .sources import Sources
from .store import ChunkStore


@dataclass(slots=True)
class WeightContext:
    """Dependencies shared by the weight transfers of a process.

    Attributes:
      session: HTTP client.
      directory: Membership directory.
      own: Member record of this process.
      store: Verified chunks in memory.
      sources: The weight store and the origin.
      links: Settings of the network links.
      upload: Paces bytes sent to peers.
      download: Paces bytes received.
      region_link: Paces bytes fetched from other regions, at this VM's share of the region link.
      rng: Random generator of peer and chunk choices.
    """

    session: aiohttp.ClientSession
    directory: Directory
    own: OwnRecord
    store: ChunkStore
    sources: Sources
    links: LinkSettings
    upload: Pacer
    download: Pacer
    region_link: Pacer
    rng: random.Random = field(default_factory=random.Random)
