"""State broadcasts between entry processes: sends those of this process and receives the others.

The message `Pulse` carries them, as UDP datagrams. A full broadcast contains the whole state of
the sender, which the sections of `broadcast` write and read. A load delta (`partial`) contains only
the loads that have changed, and goes to the peer group at once. Endpoints send notices about their
engines in the same message (`engine_notices`).
"""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable

from .. import clock
from ..logs import get_logger
from ..placement.fleet import Fleet
from ..platform.key_value import KeyValueEntry, Position
from ..replica.store_replica import StoreReplica
from ..schema.messages import BackendLoad, Pulse
from ..schema.settings import Settings
from ..wire.codec import MalformedMessageError, decode, encode
from .broadcast.backend_state import misdirected
from .broadcast.loads import apply_changed_loads, own_loads, report_ttl_seconds
from .broadcast.sections import SharedState, sections_of
from .broadcast_socket import open_broadcast_socket, send_to_all
from .budget import SharedRetryBudget
from .budget_grants import THOUSANDTHS
from .crash_tracker import CrashTracker
from .engine_notices import apply_engine_notice
from .entry_peers import EntryPeer, chosen_watchers, is_older
from .limit_grants import LimitGrants, Peers
from .peer_table import MAXIMUM_TARGETS, PeerTable
from .reach import RECEIVED_SECONDS, Sampling, grantable_share

LOG = get_logger(__name__)
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


class StateExchange:
    """Sends state broadcasts to the other entry processes and applies theirs.

    Attributes:
      settings: Settings of the process.
      peers: The other entry processes.
      is_ready: Returns whether this process accepts requests.
      leaving: True once this process has been told to stop.
      limits: Grants of sends to backends that name a limit.
      budget: Retry budget of this process.
      sections: Kinds of state that full broadcasts carry.
      incarnation: Start time of this process in nanoseconds, by which peers detect a restart.
      sequence: Number of the last message sent.
      is_urgent: True if a full broadcast is to be sent at once.
      next_full_at: When the next periodic full broadcast is due, monotonic.
      full_interval: Time from the last full broadcast to the next periodic one, in seconds.
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
        budget: SharedRetryBudget,
        is_ready: Callable[[], bool],
        on_position: Callable[[Position, int], None],
        is_store_lost: Callable[[], bool],
    ) -> None:
        """Build the sections.

        Args:
          settings: Settings of the process.
          replica: Local replica of the key-value store.
          fleet: Configuration, backends and weights versions.
          crashes: Finds poison requests.
          budget: Retry budget of this process, with its incarnation.
          is_ready: Returns whether this process accepts requests.
          on_position: Called for each full broadcast received, with the sender's position in the
            store's history and the checksum of what it keeps from before a restore.
          is_store_lost: Returns True if this process's last call to the store failed.
        """
        self.settings = settings
        self.replica = replica
        self.fleet = fleet
        self.crashes = crashes
        self.is_ready = is_ready
        self.on_position = on_position
        self.leaving = False
        self.peers = PeerTable(settings, replica, is_store_lost, lambda: self.leaving)
        self.limits = LimitGrants(
            fleet.notices,
            Peers(
                settings.listen,
                self.peers.by_control,
                lambda: self.peers.is_sampled,
                lambda message, control: self.send_to(message, control),
                lambda now, since: self.grantable_share(now, since),
            ),
        )
        self.sections = sections_of(
            SharedState(
                settings,
                replica,
                fleet,
                self.peers,
                crashes,
                self.limits,
                budget,
                lambda message, control: self.send_to(message, control),
                self.is_available,
                lambda position, checksum: self.on_position(position, checksum),
            )
        )
        self.budget = budget
        self.incarnation = budget.incarnation
        self.sequence = 0
        self.transport: asyncio.DatagramTransport | None = None
        self.changed = asyncio.Event()
        self.is_urgent = False
        self.rng = random.Random()
        self.next_full_at = 0.0
        self.full_interval = MAXIMUM_FULL_BROADCAST_SECONDS
        self.next_delta_at = 0.0
        self.sent_loads: dict[int, BackendLoad] = {}
        self.sent_position = Position()
        replica.listeners.append(self.apply_store_item)

    def apply_store_item(self, entry: KeyValueEntry, now: float) -> None:
        """Wake the sending task, as a change of the store may call for a broadcast."""
        self.changed.set()

    def is_available(self) -> bool:
        """Return True if this process accepts requests and is not leaving."""
        return self.is_ready() and not self.leaving

    async def open(self) -> None:
        """Open the UDP socket for broadcasts."""
        self.transport = await open_broadcast_socket(
            self.settings.listen, lambda *datagram: self.receive(*datagram)
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
            self.replica.position > self.sent_position and self.peers.is_watcher(now)
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
        self.peers.forget_silent(now)
        self.is_urgent = False
        self.sent_position = self.replica.position
        targets = list(self.peers.by_control)
        if self.peers.is_sampled:
            targets = self.rng.sample(targets, MAXIMUM_TARGETS)
            if self.peers.is_store_lost():
                watchers = chosen_watchers(self.peers.possible_watchers(now))
                targets += [one.control for one in watchers if one.control not in targets]
        broadcast = self.full_broadcast(now)
        self.sent_loads = {load.backend: load for load in broadcast.loads}
        sent = self.send(broadcast, targets)
        affordable_at = max(now, self.next_full_at) + sent / (self.rate() * (1 - LOAD_DELTA_SHARE))
        self.next_full_at = max(
            now + MINIMUM_FULL_BROADCAST_SECONDS,
            min(affordable_at, now + MAXIMUM_FULL_BROADCAST_SECONDS),
        )
        self.full_interval = self.next_full_at - now

    def grantable_share(self, now: float, since: float) -> float:
        """Return the share of each shared amount that this process may grant.

        Args:
          now: Present time, monotonic, in seconds.
          since: Time from which on messages of peers count, monotonic.
        """
        peers = self.peers.by_control.values()
        since = max(since, now - RECEIVED_SECONDS)
        return grantable_share(peers, Sampling(MAXIMUM_TARGETS, self.full_interval), since, now)

    def send_load_delta(self, now: float) -> None:
        """Send the loads that have changed since the last message to the peer group."""
        loads = {load.backend: load for load in own_loads(self.fleet)}
        changed = [load for name, load in loads.items() if self.sent_loads.get(name) != load]
        ended = [BackendLoad(name) for name in self.sent_loads if name not in loads]
        self.sent_loads = loads
        group_members = [peer.control for peer in self.peers.by_control.values() if peer.in_group]
        if not group_members or not (changed or ended):
            return
        self.sequence += 1
        delta = Pulse(
            incarnation=self.incarnation,
            sequence=self.sequence,
            loads=(*changed, *ended),
            partial=True,
            misdirected=misdirected(self.fleet, now),
        )
        sent = self.send(delta, group_members)
        self.next_delta_at = now + sent / (self.rate() * LOAD_DELTA_SHARE)

    def send(self, message: Pulse, targets: list[str]) -> int:
        """Send a message to peers and return the bytes used on the network."""
        return send_to_all(self.transport, encode(message), targets)

    def send_to(self, message: Pulse, control: str) -> None:
        """Send a message to one process."""
        self.send(message, [control])

    def full_broadcast(self, now: float) -> Pulse:
        """Return a full broadcast of the present state."""
        direct = self.settings.direct
        assert direct is not None
        self.sequence += 1
        envelope = Pulse(
            vm=self.settings.vm,
            zone=self.settings.zone,
            front=direct.front,
            incarnation=self.incarnation,
            sequence=self.sequence,
            ready=self.is_available(),
            leaving=self.leaving,
        )
        fields = {
            name: value for section in self.sections for name, value in section.fields(now).items()
        }
        return dataclasses.replace(envelope, **fields)

    def receive(self, payload: bytes, source: tuple[str, int], now: float) -> None:
        """Apply a message of another entry process, or an endpoint's notice about its engine.

        Args:
          payload: Encoded message.
          source: Host and port of the sender.
          now: Present time, monotonic, in seconds.
        """
        try:
            message = decode(Pulse, payload)
        except MalformedMessageError as error:
            LOG.warning("pulse.malformed", source=source[0], error=str(error)[:100])
            return
        if message.loading:
            apply_engine_notice(message, self.fleet, now)
            return
        peer = self.peers.peer(f"{source[0]}:{source[1]}")
        if peer is None:
            return
        if message.limit_requests or message.limit_replies:
            self.limits.receive(message, peer.control, now)
        elif message.grant_to:
            self.budget.receive_grant(
                peer.control, message.grant_to, message.grant_thousandths / THOUSANDTHS
            )
        elif message.partial:
            self.apply_load_delta(peer, message, now)
        else:
            self.apply_full(peer, message, now)

    def apply_full(self, peer: EntryPeer, broadcast: Pulse, now: float) -> None:
        """Apply a full broadcast unless a later one of its sender is known."""
        previous = peer.last_broadcast
        if previous is None:
            LOG.info("peer.discovered", entry=broadcast.vm, ready=broadcast.ready)
        elif is_older(broadcast, previous, now - peer.received_at):
            return
        elif previous.ready != broadcast.ready:
            LOG.info("peer.changed", entry=broadcast.vm, ready=broadcast.ready)
        peer.last_broadcast = broadcast
        peer.received_at = now
        peer.state_received_at = now
        for section in self.sections:
            section.apply(broadcast, peer, now)

    def apply_load_delta(self, peer: EntryPeer, delta: Pulse, now: float) -> None:
        """Apply a load delta, if its sender's last full broadcast is known and it is newer."""
        previous = peer.last_broadcast
        if previous is None or previous.incarnation != delta.incarnation:
            return
        if delta.sequence <= previous.sequence:
            return
        peer.last_broadcast = dataclasses.replace(previous, sequence=delta.sequence)
        peer.received_at = now
        self.fleet.record_misdirected(delta.misdirected, now)
        ttl = report_ttl_seconds(len(self.peers.by_control))
        apply_changed_loads(self.fleet, previous.vm, delta.loads, ttl, now)
