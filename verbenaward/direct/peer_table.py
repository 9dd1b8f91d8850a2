"""The table of the other entry processes (peers), and what follows from their broadcasts.

It tells which peers accept requests, which of them watch the store, whether the store is down, and
how old the replica of this process is.
"""

import random
from collections.abc import Callable

from ..configuration.settings import host_of, port_of
from ..distribution.process_map import EntryProcess
from ..platform.key_value import KeyValueEntry, Position
from ..platform.names import ENTRY_PREFIX
from ..replica.store_replica import StoreReplica
from ..schema.messages import Pulse
from ..schema.settings import Settings
from .entry_peers import (
    EntryPeer,
    Watcher,
    appointment_rank,
    chosen_watchers,
    position_of,
    zone_of_record,
    zones_of,
)

FORGET_PEER_SECONDS = 30.0
"""Silence after which a peer that is neither registered nor a seed is removed."""
MAXIMUM_AGE_MS = 3_600_000
"""Largest age of a replica that a broadcast carries; it also stands for "no live peer"."""
MILLISECONDS_PER_SECOND = 1000
MAXIMUM_REPLICA_AGE_SECONDS = 1.6
"""If no live peer confirms a replica that is younger, a process watches the store itself."""
MAXIMUM_SAMPLED_REPLICA_AGE_SECONDS = 2.0
"""The same if broadcasts go to a sample of the peers, as its time then spreads in several hops."""
STORE_DOWN_SECONDS = 2.5
"""Age over which the replicas of all peers show that the store is down; also the time for which the
news of a recovery may be under way."""
GROUP_SILENCE_SECONDS = 6.0
"""Silence after which a peer leaves the peer group; about twice the mean interval between the
broadcasts of one of 45 peers."""
MAXIMUM_HOPS = 2
"""Processes that may have passed on the age of a replica before the peer that reports it. The age
does not include network delays, so it could otherwise circulate."""
MAXIMUM_TARGETS = 16
"""Entry processes that receive one full broadcast, chosen at random each time."""


class PeerTable:
    """The other entry processes as this one sees them.

    Attributes:
      settings: Settings of the process.
      replica: Local replica of the key-value store.
      is_store_lost: Returns True if this process's last call to the store failed.
      is_leaving: Returns True once this process was ordered to stop.
      by_control: Peers by their control address.
      rng: Shuffles the peers that are asked.
    """

    def __init__(
        self,
        settings: Settings,
        replica: StoreReplica,
        is_store_lost: Callable[[], bool],
        is_leaving: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.replica = replica
        self.is_store_lost = is_store_lost
        self.is_leaving = is_leaving
        self.by_control: dict[str, EntryPeer] = {}
        self.rng = random.Random()
        port = port_of(settings.listen)
        # All processes of a deployment use the same control port.
        for seed in settings.seeds:
            self.peer(f"{host_of(seed)}:{port}")
        replica.listeners.append(self.apply_store_item)

    def peer(self, control: str) -> EntryPeer | None:
        """Return the peer at a control address, added if new; None for this process."""
        if control == self.settings.listen:
            return None
        return self.by_control.setdefault(control, EntryPeer(control))

    def apply_store_item(self, entry: KeyValueEntry, now: float) -> None:
        """Apply an item of the store: the registration of a peer, or its end."""
        if not entry.key.startswith(ENTRY_PREFIX):
            return
        control = entry.key.removeprefix(ENTRY_PREFIX)
        if control == self.settings.listen:
            return
        if entry.value:
            found = self.peer(control)
            assert found is not None
            found.registered = True
        elif control in self.by_control:
            self.by_control[control].registered = False
            self.by_control[control].deregistered_at = now

    def forget_silent(self, now: float) -> None:
        """Remove peers that have been silent for long and are neither registered nor seeds."""
        seeds = {host_of(seed) for seed in self.settings.seeds}
        gone = [
            peer.control
            for peer in self.by_control.values()
            if not peer.registered
            and peer.received_at
            and now - peer.received_at > FORGET_PEER_SECONDS
            and host_of(peer.control) not in seeds
        ]
        for control in gone:
            del self.by_control[control]

    def ready(self, now: float) -> list[Pulse]:
        """Return the last full broadcasts of the peers that accept requests."""
        return [
            peer.last_broadcast
            for peer in self.by_control.values()
            if peer.last_broadcast is not None and peer.is_listable(now, self.is_sampled)
        ]

    def entries(self, now: float) -> list[EntryProcess]:
        """Return the entry processes that are registered in the store or alive, with this one.

        Peers that are starting are among them, so that the readers of weights stay the same after
        many processes were killed.
        """
        own = EntryProcess(self.settings.listen, self.settings.zone, self.is_leaving())
        found = {
            control: EntryProcess(control, zone_of_record(entry.value))
            for entry in self.replica.entries_with_prefix(ENTRY_PREFIX)
            if (control := entry.key.removeprefix(ENTRY_PREFIX)) in self.by_control
        }
        for peer in self.by_control.values():
            broadcast = peer.last_broadcast
            if broadcast is not None and (peer.control in found or peer.is_alive(now)):
                found[peer.control] = EntryProcess(peer.control, broadcast.zone, broadcast.leaving)
        return [own, *found.values()]

    def group_candidates(self, now: float) -> list[Pulse]:
        """Return the last full broadcasts of the peers that may be in the peer group.

        With sampled broadcasts a peer may be silent for seconds. It stays a candidate for
        `GROUP_SILENCE_SECONDS`, as each change of the candidates moves others to another group.
        """
        if not self.is_sampled:
            return self.ready(now)
        return [
            peer.last_broadcast
            for peer in self.by_control.values()
            if peer.last_broadcast is not None
            and peer.last_broadcast.ready
            and now - peer.received_at < GROUP_SILENCE_SECONDS
        ]

    def is_watcher(self, now: float) -> bool:
        """Return True if this process watches the store, for itself and its peers.

        The first entry process of each availability zone does, up to `WATCHERS`. Peers that have
        lost the store are passed over; this process is not, so that it keeps trying. Every process
        does while no peer confirms that its replica is current.

        Args:
          now: Present time, monotonic, in seconds.
        """
        own = Watcher(self.settings.zone, self.settings.vm, self.settings.listen)
        if own in chosen_watchers([*self.possible_watchers(now), own]):
            return True
        longest = (
            MAXIMUM_SAMPLED_REPLICA_AGE_SECONDS if self.is_sampled else MAXIMUM_REPLICA_AGE_SECONDS
        )
        return self.replica_age_by_peers(now) > longest

    def possible_watchers(self, now: float) -> list[Watcher]:
        """Return the peers that can watch the store."""
        return [
            Watcher(peer.last_broadcast.zone, peer.last_broadcast.vm, peer.control)
            for peer in self.by_control.values()
            if peer.last_broadcast is not None
            and not peer.last_broadcast.leaving
            and not peer.last_broadcast.store_lost
            and self.is_present(peer, now)
        ]

    @property
    def is_sampled(self) -> bool:
        """Return True if each full broadcast goes to a sample of the peers only."""
        return len(self.by_control) > MAXIMUM_TARGETS

    def is_present(self, peer: EntryPeer, now: float) -> bool:
        """Return True if a peer is alive or, with sampled broadcasts, registered in the store."""
        return peer.is_alive(now) or (self.is_sampled and peer.registered)

    def is_store_down(self, now: float) -> bool:
        """Return True if the store answers no entry process, as far as this one can tell.

        A process that hears only a part of its peers, or of the availability zones, may be cut off
        together with them.
        """
        known = [peer for peer in self.by_control.values() if peer.last_broadcast is not None]
        heard = [peer for peer in known if now - peer.state_received_at < STORE_DOWN_SECONDS]
        if not self.is_store_lost() or 2 * len(heard) <= len(self.by_control):
            return False
        if zones_of(heard) != zones_of(known):
            return False
        return all(now - peer.replica_current_at > STORE_DOWN_SECONDS for peer in heard)

    def replica_age(self, now: float) -> float:
        """Return the time since the replica was last known to be complete, in seconds."""
        return min(now - self.replica.current_at, self.replica_age_by_peers(now))

    def replica_age_by_peers(self, now: float) -> float:
        """Return the age of this replica that live peers confirm, in seconds."""
        peer = self.youngest_confirmation(now)
        unconfirmed = MAXIMUM_AGE_MS / MILLISECONDS_PER_SECOND
        return now - peer.replica_current_at if peer is not None else unconfirmed

    def youngest_confirmation(self, now: float) -> EntryPeer | None:
        """Return the live peer that confirms the youngest age of this replica; None for none.

        A peer confirms it if its own replica was complete and has no change that this one lacks.
        """
        confirming = [
            peer
            for peer in self.by_control.values()
            if peer.last_broadcast is not None
            and peer.last_broadcast.era in (0, self.replica.era)
            and peer.last_broadcast.revision <= self.replica.revision
            and peer.last_broadcast.hops <= MAXIMUM_HOPS
            and peer.is_alive(now)
        ]
        return max(confirming, key=lambda peer: peer.replica_current_at, default=None)

    def hops(self, now: float) -> int:
        """Return how many processes have passed on the age of this replica; 0 if it is its own."""
        peer = self.youngest_confirmation(now)
        if peer is None or self.replica.current_at >= peer.replica_current_at:
            return 0
        assert peer.last_broadcast is not None
        return peer.last_broadcast.hops + 1

    def is_appointed(self, key: bytes, now: float) -> bool:
        """Return True if this process, of all that accept requests, tries what is quarantined.

        Each key has a process of its own.

        Args:
          key: Key of the quarantined requests.
          now: Present time, monotonic, in seconds.
        """
        others = [broadcast.vm for broadcast in self.ready(now)]
        return all(
            appointment_rank(key, self.settings.vm) <= appointment_rank(key, vm) for vm in others
        )

    def peers_ahead_of(self, position: Position, now: float) -> list[str]:
        """Return the control addresses of live peers that are ahead of a position, shuffled.

        Those of the own region come first, as the links between the regions are narrow.
        """
        ahead = [
            peer
            for peer in self.by_control.values()
            if peer.last_broadcast is not None
            and peer.is_alive(now)
            and position_of(peer.last_broadcast, position.era) > position
        ]
        self.rng.shuffle(ahead)
        ahead.sort(key=lambda peer: not self.is_in_region(peer))
        return [peer.control for peer in ahead]

    def is_in_region(self, peer: EntryPeer) -> bool:
        """Return True if a peer is in the region of this process."""
        zones = self.settings.direct.zones if self.settings.direct else {}
        zone = peer.last_broadcast.zone if peer.last_broadcast else ""
        return zones.get(zone) == zones.get(self.settings.zone)

    def peers_that_keep(self, checksum: int, now: float) -> list[str]:
        """Return the control addresses of live peers that keep what has a checksum, shuffled."""
        found = [
            peer.control
            for peer in self.by_control.values()
            if peer.last_broadcast is not None
            and peer.is_alive(now)
            and peer.last_broadcast.kept == checksum
        ]
        self.rng.shuffle(found)
        return found

    def alive(self, now: float) -> list[EntryPeer]:
        """Return the peers whose last message is recent."""
        return [peer for peer in self.by_control.values() if peer.is_alive(now)]
