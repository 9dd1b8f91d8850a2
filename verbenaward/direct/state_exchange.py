"""State broadcasts between entry processes: liveness, load, crashes and store revision.

The message `Pulse` carries them, as UDP datagrams. A full broadcast contains the whole state of
the sender. A load delta (`partial`) contains only the loads that have changed, and goes to the
peer group at once. Endpoints announce that they load weights in the same message (`loading`).
"""

import asyncio
import contextlib
import dataclasses
import math
import random
import socket
import time
from collections.abc import Callable

import msgspec

from .. import clock
from ..configuration.settings import host_of, port_of
from ..logs import get_logger
from ..platform.key_value import KeyValueEntry, Position
from ..platform.names import ENTRY_PREFIX
from ..replica.store_replica import StoreReplica
from ..schema.messages import BackendLoad, Pulse
from ..schema.settings import Settings
from ..wire.codec import MalformedMessageError, decode, encode
from .backends import RemoteLoad
from .crash_tracker import CrashTracker
from .entry_peers import (
    EntryPeer,
    EntryRecord,
    Watcher,
    appointment_rank,
    chosen_watchers,
    is_older,
    position_of,
    zones_of,
)
from .fleet import Fleet
from .limit_grants import LimitGrants, Peers
from .peer_groups import PeerGroup, peer_group_of

LOG = get_logger(__name__)
FORGET_PEER_SECONDS = 30.0
"""Silence after which a peer that is neither registered nor a seed is removed."""
MINIMUM_FULL_BROADCAST_SECONDS = 0.3
"""Shortest time between two full broadcasts, unless one is urgent."""
MAXIMUM_FULL_BROADCAST_SECONDS = 1.0
"""Longest time between two full broadcasts, even if they exceed the allowed rate."""
MINIMUM_IDLE_WAIT_SECONDS = 0.05
"""Shortest wait for a change before a full broadcast that is already due."""
MINIMUM_SEND_INTERVAL_SECONDS = 0.02
"""Shortest time between two messages; changes in between are sent together."""
LOAD_DELTA_SHARE = 0.5
"""Share of the allowed rate that load deltas may use; full broadcasts have the rest."""
DATAGRAM_OVERHEAD_BYTES = 28
"""IP and UDP headers, which count towards the allowed rate."""
GOSSIP_INTERVAL = 16
"""Full broadcasts of which one names other peers."""
GOSSIPED_PEERS = 8
"""Addresses of other peers in a full broadcast."""
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
MAXIMUM_HOPS = 2
"""Processes that may have passed on the age of a replica before the peer that reports it. The age
does not include network delays, so it could otherwise circulate."""
MAXIMUM_TARGETS = 16
"""Entry processes that receive one full broadcast, chosen at random each time."""


class StateExchange:
    """Sends state broadcasts to the other entry processes and applies theirs.

    Attributes:
      settings: Settings of the process.
      peers: Other entry processes by their control address.
      is_ready: Returns whether this process accepts requests.
      leaving: True once this process has been told to stop.
      limits: Grants of sends to backends that name a limit.
      peer_group: Peers that receive load deltas, and the engines that they prefer.
      on_position: Called for each full broadcast received, with the sender's position in the
        store's history and the checksum of what it keeps from before a restore.
      is_store_lost: Returns True if this process's last call to the store failed.
      incarnation: Start time of this process in nanoseconds, by which peers tell a restart.
      sequence: Number of the last message sent.
      full_broadcasts: Number of full broadcasts among them.
      is_urgent: True if a full broadcast is to be sent at once.
      next_full_at: When the next periodic full broadcast is due, monotonic.
      next_delta_at: When the allowed rate permits the next load delta, monotonic.
      sent_loads: Loads in the last message sent, by backend.
      sent_position: Position in the store's history in the last full broadcast sent.
    """

    def __init__(
        self,
        settings: Settings,
        replica: StoreReplica,
        fleet: Fleet,
        crashes: CrashTracker,
        is_ready: Callable[[], bool],
        on_position: Callable[[Position, int], None],
        is_store_lost: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.replica = replica
        self.fleet = fleet
        self.crashes = crashes
        self.is_ready = is_ready
        self.on_position = on_position
        self.is_store_lost = is_store_lost
        self.leaving = False
        self.peer_group = PeerGroup()
        self.peers: dict[str, EntryPeer] = {}
        self.limits = LimitGrants(
            fleet.notices,
            Peers(
                settings.listen,
                self.peers,
                lambda: self.is_sampled,
                lambda message, control: self.send_to(message, control),
            ),
        )
        self.incarnation = time.time_ns()
        self.sequence = 0
        self.full_broadcasts = 0
        self.transport: asyncio.DatagramTransport | None = None
        self.changed = asyncio.Event()
        self.is_urgent = False
        self.rng = random.Random()
        self.next_full_at = 0.0
        self.next_delta_at = 0.0
        self.sent_loads: dict[int, BackendLoad] = {}
        self.sent_position = Position()
        port = port_of(settings.listen)
        # All processes of a deployment use the same control port.
        for seed in settings.seeds:
            self.peer(f"{host_of(seed)}:{port}")
        replica.listeners.append(self.apply_store_item)

    def peer(self, control: str) -> EntryPeer | None:
        """Return the peer at a control address, added if new; None for this process."""
        if control == self.settings.listen:
            return None
        return self.peers.setdefault(control, EntryPeer(control))

    def apply_store_item(self, entry: KeyValueEntry, now: float) -> None:
        """Apply an item of the store: the registration of a peer, or its end.

        Any change of the store wakes the sending task, as it may call for a broadcast.
        """
        self.changed.set()
        if not entry.key.startswith(ENTRY_PREFIX):
            return
        control = entry.key.removeprefix(ENTRY_PREFIX)
        if control == self.settings.listen:
            return
        if entry.value:
            found = self.peer(control)
            assert found is not None
            found.registered = True
        elif control in self.peers:
            self.peers[control].registered = False
            self.peers[control].deregistered_at = now

    def own_record(self) -> bytes:
        """Return the encoded record under which this process registers itself in the store."""
        direct = self.settings.direct
        assert direct is not None
        record = EntryRecord(
            self.settings.vm, self.settings.zone, direct.front, self.settings.listen
        )
        return msgspec.json.encode(record)

    async def open(self) -> None:
        """Open the UDP socket for broadcasts."""
        loop = asyncio.get_running_loop()
        host, port = host_of(self.settings.listen), port_of(self.settings.listen)
        opened_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened_socket.setblocking(False)
        opened_socket.bind((host, port))
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: BroadcastProtocol(self), sock=opened_socket
        )

    def close(self) -> None:
        """Close the UDP socket."""
        if self.transport is not None:
            self.transport.close()

    def signal_load_change(self) -> None:
        """Wake the sending task after a change of this process's load."""
        self.changed.set()

    def request_full_broadcast(self) -> None:
        """Have a full broadcast sent at once."""
        self.is_urgent = True
        self.changed.set()

    async def run(self) -> None:
        """Send broadcasts until cancelled.

        The peer group gets each change of load at once, within the allowed rate, as it sends to
        the same backends. All peers get a full broadcast periodically, and at once if it is
        urgent.
        """
        while True:
            now = clock.now()
            wait_seconds = max(MINIMUM_IDLE_WAIT_SECONDS, self.next_full_at - now)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_seconds):
                    await self.changed.wait()
            now = clock.now()
            self.changed.clear()
            if self.is_full_due(now):
                self.send_full(now)
            elif now >= self.next_delta_at:
                self.send_load_delta(now)
            else:
                await asyncio.sleep(self.next_delta_at - now)
                self.changed.set()
                continue
            await asyncio.sleep(MINIMUM_SEND_INTERVAL_SECONDS)

    def is_full_due(self, now: float) -> bool:
        """Return True if the next message is a full broadcast.

        That is so periodically, when one was requested, and when this process watches the store
        and is at a position that it has not broadcast yet.
        """
        is_urgent = self.is_urgent or (
            self.replica.position > self.sent_position and self.is_watcher(now)
        )
        return now >= self.next_full_at or is_urgent

    def rate(self) -> float:
        """Return the allowed rate of broadcasts, in bytes a second."""
        direct = self.settings.direct
        assert direct is not None
        return direct.pulse_bytes_per_second

    def send_full(self, now: float) -> None:
        """Send a full broadcast to the peers, or to a sample of them.

        If the store is lost, the sample includes the peers that watch it in place of this process.
        """
        self.forget_peers(now)
        self.is_urgent = False
        self.sent_position = self.replica.position
        targets = list(self.peers)
        if self.is_sampled:
            targets = self.rng.sample(targets, MAXIMUM_TARGETS)
            if self.is_store_lost():
                watchers = chosen_watchers(self.possible_watchers(now))
                targets += [one.control for one in watchers if one.control not in targets]
        broadcast = self.full_broadcast(now)
        self.sent_loads = {load.backend: load for load in broadcast.loads}
        sent = self.send(broadcast, targets)
        affordable_at = max(now, self.next_full_at) + sent / (self.rate() * (1 - LOAD_DELTA_SHARE))
        self.next_full_at = max(
            now + MINIMUM_FULL_BROADCAST_SECONDS,
            min(affordable_at, now + MAXIMUM_FULL_BROADCAST_SECONDS),
        )

    def send_load_delta(self, now: float) -> None:
        """Send the loads that have changed since the last message to the peer group."""
        loads = {load.backend: load for load in self.loads()}
        changed = [load for name, load in loads.items() if self.sent_loads.get(name) != load]
        ended = [BackendLoad(name) for name in self.sent_loads if name not in loads]
        self.sent_loads = loads
        group_members = [peer.control for peer in self.peers.values() if peer.in_group]
        if not group_members or not (changed or ended):
            return
        self.sequence += 1
        delta = Pulse(
            incarnation=self.incarnation,
            sequence=self.sequence,
            loads=(*changed, *ended),
            partial=True,
            misdirected=self.misdirected(now),
        )
        sent = self.send(delta, group_members)
        self.next_delta_at = now + sent / (self.rate() * LOAD_DELTA_SHARE)

    def send(self, message: Pulse, targets: list[str]) -> int:
        """Send a message to peers and return the bytes used on the network."""
        if self.transport is None:
            return 0
        payload = encode(message)
        for control in targets:
            self.transport.sendto(payload, (host_of(control), port_of(control)))
        return len(targets) * (len(payload) + DATAGRAM_OVERHEAD_BYTES)

    def send_to(self, message: Pulse, control: str) -> None:
        """Send a message to one process."""
        self.send(message, [control])

    def loads(self) -> tuple[BackendLoad, ...]:
        """Return the requests and prompt tokens that this process has in flight, by backend."""
        return tuple(
            BackendLoad(view.short_name, view.running, max(0, view.prompt_tokens))
            for view in self.fleet.backends.values()
            if view.running
        )

    def full_broadcast(self, now: float) -> Pulse:
        """Return a full broadcast of the present state."""
        direct = self.settings.direct
        assert direct is not None
        self.sequence += 1
        self.full_broadcasts += 1
        is_ready = self.is_ready() and not self.leaving
        self.limits.readiness.observe(is_ready, now)
        alive = [peer.control for peer in self.peers.values() if peer.is_alive(now)]
        gossiped = alive if len(alive) <= GOSSIPED_PEERS else self.rng.sample(alive, GOSSIPED_PEERS)
        return Pulse(
            vm=self.settings.vm,
            zone=self.settings.zone,
            front=direct.front,
            incarnation=self.incarnation,
            sequence=self.sequence,
            ready=is_ready,
            leaving=self.leaving,
            revision=self.replica.revision,
            loads=self.loads(),
            evidence=self.crashes.evidence_to_broadcast(now),
            misdirected=self.misdirected(now),
            entries=tuple(gossiped) if self.full_broadcasts % GOSSIP_INTERVAL == 1 else (),
            checked_ms=math.ceil(
                min(MAXIMUM_AGE_MS, self.replica_age(now) * MILLISECONDS_PER_SECOND)
            ),
            store_lost=self.is_store_lost(),
            hops=self.hops(now),
            departing=self.fleet.notices.announced(now),
            era=self.replica.era,
            kept=self.replica.kept_checksum(),
            limits=self.limits.reports(now),
            knows_limits=True,
            grants_limits=self.limits.readiness.is_settled(now),
        )

    def receive(self, payload: bytes, source: tuple[str, int], now: float) -> None:
        """Apply a message of another entry process, or an endpoint's notice that it loads weights.

        Args:
          payload: Encoded message.
          source: Host and port of the sender.
          now: Present time, monotonic, in seconds.
        """
        try:
            broadcast = decode(Pulse, payload)
        except MalformedMessageError as error:
            LOG.warning("pulse.malformed", source=source[0], error=str(error)[:100])
            return
        if broadcast.loading:
            self.fleet.record_loading(
                broadcast.loading, broadcast.loading_in_ms / MILLISECONDS_PER_SECOND, now
            )
            return
        peer = self.peer(f"{source[0]}:{source[1]}")
        if peer is None:
            return
        if broadcast.limit_requests or broadcast.limit_replies:
            self.limits.receive(broadcast, peer.control, now)
            return
        previous = peer.last_broadcast
        if broadcast.partial:
            self.apply_load_delta(peer, broadcast, now)
            return
        if previous is not None:
            if is_older(broadcast, previous, now - peer.received_at):
                return
            if previous.ready != broadcast.ready:
                LOG.info("entry.changed", entry=broadcast.vm, ready=broadcast.ready)
        else:
            LOG.info("entry.heard", entry=broadcast.vm, ready=broadcast.ready)
        peer.last_broadcast = broadcast
        peer.received_at = now
        peer.state_received_at = now
        peer.replica_current_at = now - broadcast.checked_ms / MILLISECONDS_PER_SECOND
        for control in broadcast.entries:
            self.peer(control)
        self.crashes.merge(broadcast.evidence, now)
        self.fleet.record_misdirected(broadcast.misdirected, now)
        self.fleet.notices.record_leaving_by_name(broadcast.departing)
        self.limits.record_reports(broadcast.limits, now)
        self.apply_loads(broadcast, now)
        self.on_position(position_of(broadcast, self.replica.era), broadcast.kept)

    def misdirected(self, now: float) -> tuple[int, ...]:
        """Return the short names of backends at whose addresses another incarnation answers."""
        return tuple(
            view.short_name for view in self.fleet.backends.values() if view.misdirected_until > now
        )

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; the zone itself if the settings name no region."""
        direct = self.settings.direct
        return direct.zones.get(zone, zone) if direct else zone

    def update_peer_group(self, now: float) -> None:
        """Recompute the peer group from the ready peers and the engines of the region.

        Args:
          now: Present time, monotonic, in seconds.
        """
        region = self.region_of(self.settings.zone)
        members = [
            broadcast.vm
            for broadcast in self.ready_peers(now)
            if self.region_of(broadcast.zone) == region
        ]
        engines = [
            view.backend.address
            for view in self.fleet.backends.values()
            if view.backend.weights is not None and self.region_of(view.backend.zone) == region
        ]
        peer_group = peer_group_of(self.settings.vm, members, engines)
        if peer_group.members != self.peer_group.members:
            LOG.info(
                "cell.changed", members=len(peer_group.members), backends=len(peer_group.backends)
            )
        self.peer_group = peer_group
        for peer in self.peers.values():
            # A silent peer keeps its flag: the longer time limit of other groups would otherwise
            # make it alive again.
            if peer.last_broadcast is not None and peer.is_alive(now):
                peer.in_group = peer.last_broadcast.vm in peer_group.members

    def apply_load_delta(self, peer: EntryPeer, broadcast: Pulse, now: float) -> None:
        """Apply a load delta, if its sender's last full broadcast is known and it is newer."""
        previous = peer.last_broadcast
        if previous is None or previous.incarnation != broadcast.incarnation:
            return
        if broadcast.sequence <= previous.sequence:
            return
        peer.last_broadcast = dataclasses.replace(previous, sequence=broadcast.sequence)
        peer.received_at = now
        self.fleet.record_misdirected(broadcast.misdirected, now)
        loads = {load.backend: load for load in broadcast.loads}
        for view in self.fleet.backends.values():
            load = loads.get(view.short_name)
            if load is not None:
                view.remote_loads[previous.vm] = RemoteLoad(load.running, load.prompt_tokens, now)

    def apply_loads(self, broadcast: Pulse, now: float) -> None:
        """Replace the loads that another entry process puts on backends."""
        loads = {load.backend: load for load in broadcast.loads}
        for view in self.fleet.backends.values():
            load = loads.get(view.short_name)
            if load is not None:
                view.remote_loads[broadcast.vm] = RemoteLoad(load.running, load.prompt_tokens, now)
            else:
                view.remote_loads.pop(broadcast.vm, None)

    def forget_peers(self, now: float) -> None:
        """Remove peers that have been silent for long and are neither registered nor seeds."""
        seeds = {f"{host_of(seed)}" for seed in self.settings.seeds}
        gone = [
            peer.control
            for peer in self.peers.values()
            if not peer.registered
            and peer.received_at
            and now - peer.received_at > FORGET_PEER_SECONDS
            and host_of(peer.control) not in seeds
        ]
        for control in gone:
            del self.peers[control]

    def ready_peers(self, now: float) -> list[Pulse]:
        """Return the last full broadcasts of the peers that accept requests."""
        return [
            peer.last_broadcast
            for peer in self.peers.values()
            if peer.last_broadcast is not None and peer.is_listable(now, self.is_sampled)
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
            for peer in self.peers.values()
            if peer.last_broadcast is not None
            and not peer.last_broadcast.leaving
            and not peer.last_broadcast.store_lost
            and self.is_present(peer, now)
        ]

    @property
    def is_sampled(self) -> bool:
        """Return True if each full broadcast goes to a sample of the peers only."""
        return len(self.peers) > MAXIMUM_TARGETS

    def is_present(self, peer: EntryPeer, now: float) -> bool:
        """Return True if a peer is alive or, with sampled broadcasts, registered in the store."""
        return peer.is_alive(now) or (self.is_sampled and peer.registered)

    def is_store_down(self, now: float) -> bool:
        """Return True if the store answers no entry process, as far as this one can tell.

        A process that hears only a part of its peers, or of the availability zones, may be cut off
        together with them.
        """
        known = [peer for peer in self.peers.values() if peer.last_broadcast is not None]
        heard = [peer for peer in known if now - peer.state_received_at < STORE_DOWN_SECONDS]
        if not self.is_store_lost() or 2 * len(heard) <= len(self.peers):
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
            for peer in self.peers.values()
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
        others = [broadcast.vm for broadcast in self.ready_peers(now)]
        return all(
            appointment_rank(key, self.settings.vm) <= appointment_rank(key, vm) for vm in others
        )

    def peers_ahead_of(self, position: Position, now: float) -> list[str]:
        """Return the control addresses of live peers that are ahead of a position, shuffled."""
        found = [
            peer.control
            for peer in self.peers.values()
            if peer.last_broadcast is not None
            and peer.is_alive(now)
            and position_of(peer.last_broadcast, position.era) > position
        ]
        self.rng.shuffle(found)
        return found

    def peers_that_keep(self, checksum: int, now: float) -> list[str]:
        """Return the control addresses of live peers that keep what has a checksum, shuffled."""
        found = [
            peer.control
            for peer in self.peers.values()
            if peer.last_broadcast is not None
            and peer.is_alive(now)
            and peer.last_broadcast.kept == checksum
        ]
        self.rng.shuffle(found)
        return found


class BroadcastProtocol(asyncio.DatagramProtocol):
    """Passes received datagrams to the state exchange."""

    def __init__(self, exchange: StateExchange) -> None:
        self.exchange = exchange

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Apply a datagram."""
        self.exchange.receive(data, addr, clock.now())

    def error_received(self, exc: Exception) -> None:
        """Ignore a refused datagram: the peer is down or restarting."""
