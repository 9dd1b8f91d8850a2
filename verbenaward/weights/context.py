"""What all transfers of one process share."""

import random
from dataclasses import dataclass, field

import aiohttp

from ..membership.directory import Directory
from ..membership.own_record import OwnRecord
from ..schema.settings import LinkSettings
from .draws import Sources
from .pacing import Pacer
from .store import ChunkStore


@dataclass(slots=True)
class WeightContext:
    """Shared parts of the weight transfers.

    Attributes:
      session: HTTP client.
      directory: What this process knows about others.
      own: Record of this process.
      store: Verified chunks.
      sources: Sources of weights.
      links: Settings of the links.
      upload: Pacer of bytes sent to peers.
      download: Pacer of bytes received.
      region: Pacer of this VM's share of the link between regions.
      rng: Source of random choices.
    """

    session: aiohttp.ClientSession
    directory: Directory
    own: OwnRecord
    store: ChunkStore
    sources: Sources
    links: LinkSettings
    upload: Pacer
    download: Pacer
    region: Pacer
    rng: random.Random = field(default_factory=random.Random)
