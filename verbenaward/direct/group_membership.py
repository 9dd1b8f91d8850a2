"""Keeps the peer group of an entry process up to date, as peers and engines come and go."""

from ..logs import get_logger
from ..placement.fleet import Fleet
from ..placement.peer_groups import PeerGroup, peer_group_of
from ..placement.regions import region_of
from ..schema.settings import Settings
from .peer_table import PeerTable

LOG = get_logger(__name__)


class GroupMembership:
    """The peer group of this process.

    Attributes:
      settings: Settings of the process.
      fleet: Backends, of which the engines of the region are sharded.
      peers: The other entry processes.
      group: Peers that receive load deltas, and the engines that they prefer.
    """

    def __init__(self, settings: Settings, fleet: Fleet, peers: PeerTable) -> None:
        self.settings = settings
        self.fleet = fleet
        self.peers = peers
        self.group = PeerGroup()

    def update(self, now: float) -> None:
        """Recompute the peer group from the ready peers and the engines of the region.

        Engines that hold no weights yet do not count, as they cannot serve.

        Args:
          now: Present time, monotonic, in seconds.
        """
        zones = self.settings.direct.zones if self.settings.direct else {}
        region = region_of(self.settings.zone, zones)
        members = [
            broadcast.vm
            for broadcast in self.peers.group_candidates(now)
            if region_of(broadcast.zone, zones) == region
        ]
        engines = [
            view.backend.address
            for view in self.fleet.backends.values()
            if view.backend.weights and region_of(view.backend.zone, zones) == region
        ]
        peer_group = peer_group_of(self.settings.vm, members, engines)
        if peer_group.members != self.group.members:
            LOG.info(
                "peer_group.changed",
                members=len(peer_group.members),
                backends=len(peer_group.backends),
            )
        self.group = peer_group
        for peer in self.peers.by_control.values():
            # A silent peer keeps its flag: the longer time limit of other groups would otherwise
            # make it alive again.
            if peer.last_broadcast is not None and peer.is_alive(now):
                peer.in_group = peer.last_broadcast.vm in peer_group.members
