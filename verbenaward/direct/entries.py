"""The other entry processes: who they are, which load they have and what they know."""

import asyncio
import contextlib
import dataclasses
import math
import random
import socket
import time
from collections.abc import Callable

import msgspec

from ..configuration.settings import host_of, port_of
from ..knowledge.items import ItemView
from ..logs import get_logger
from ..platform.key_value import KeyValueEntry
from ..platform.names import ENTRY_PREFIX
from ..schema.messages import BackendLoad, Pulse
from ..schema.settings import Settings
from ..wire.codec import MalformedMessageError, decode, encode
from .backends import RemoteLoad
from .cells import Cell, cell_of
from .entry_peers import EntryPeer, EntryRecord, is_older
from .fleet import Fleet
from .poison import CrashTracker

LOG = get_logger(__name__)
FORGET_SECONDS = 30.0
IDLE_PULSE_SECONDS = 0.3
"""Shortest time between two whole pulses, but for news."""
LONGEST_PULSE_SECONDS = 1.0
NEWS_SECONDS = 0.05
"""Shortest time between two whole pulses that carry news."""
QUICKEST_LOADS_SECONDS = 0.02
LOADS_SHARE = 0.5
"""Part of the allowed rate that partial pulses may take; whole ones have the rest."""
DATAGRAM_OVERHEAD_BYTES = 28
NAMED_ENTRIES = 8
LONGEST_AGE_MS = 3_600_000
MILLISECONDS = 1000
WATCHERS = 3
"""Entry processes that watch the store; the others hear from them."""
UNCHECKED_SECONDS = 1.6
"""Time without a word of the store after which a process watches by itself."""
MANY_UNCHECKED_SECONDS = 3.5
"""The same where a word takes several pulses to come round."""
MOST_TARGETS = 16
"""Entry processes that get one pulse, drawn anew each time."""


class Entries:
    """Sends pulses to the other entry processes and takes theirs.

    Attributes:
      settings: Settings of the process.
      peers: Other entry processes by their control address.
      is_ready: Tells whether this process takes requests.
      leaving: True once this process has been told to end.
      cell: Those that hear of each change of load at once, and their engines.
      heard_revision: Called with the revision that another process knows.
      checked_at: Tells when the store last answered this process.
    """

    def __init__(
        self,
        settings: Settings,
        view: ItemView,
        fleet: Fleet,
        crashes: CrashTracker,
        is_ready: Callable[[], bool],
        heard_revision: Callable[[int], None],
        checked_at: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.view = view
        self.fleet = fleet
        self.crashes = crashes
        self.is_ready = is_ready
        self.heard_revision = heard_revision
        self.checked_at = checked_at
        self.leaving = False
        self.cell = Cell()
        self.peers: dict[str, EntryPeer] = {}
        self.incarnation = time.time_ns()
        self.sequence = 0
        self.transport: asyncio.DatagramTransport | None = None
        self.changed = asyncio.Event()
        self.has_news = False
        self.rng = random.Random()
        self.next_whole_at = 0.0
        self.next_loads_at = 0.0
        self.told_loads: dict[int, BackendLoad] = {}
        self.told_revision = 0
        port = port_of(settings.listen)
        for seed in settings.seeds:
            self.peer(f"{host_of(seed)}:{port}")
        view.listeners.append(self.take_item)

    def peer(self, control: str) -> EntryPeer | None:
        """Return the entry process at an address; None for this one."""
        if control == self.settings.listen:
            return None
        return self.peers.setdefault(control, EntryPeer(control))

    def take_item(self, entry: KeyValueEntry, now: float) -> None:
        """Take the record of an entry process from the store; others may hear of any item."""
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

    def own_record(self) -> bytes:
        """Return what this process writes about itself to the store."""
        direct = self.settings.direct
        assert direct is not None
        record = EntryRecord(
            self.settings.vm, self.settings.zone, direct.front, self.settings.listen
        )
        return msgspec.json.encode(record)

    async def open(self) -> None:
        """Listen for pulses."""
        loop = asyncio.get_running_loop()
        host, port = host_of(self.settings.listen), port_of(self.settings.listen)
        made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        made.setblocking(False)
        made.bind((host, port))
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: PulseProtocol(self), sock=made
        )

    def close(self) -> None:
        """Stop to listen."""
        if self.transport is not None:
            self.transport.close()

    def note_change(self) -> None:
        """Note that the own load has changed."""
        self.changed.set()

    def note_news(self) -> None:
        """Note that all other entry processes should hear of this one at once."""
        self.has_news = True
        self.changed.set()

    async def run(self) -> None:
        """Send pulses until cancelled.

        Those of the cell hear of each change of load at once, within the allowed rate: they
        send to the same backends. All hear a whole pulse now and then, and when there is news.
        """
        while True:
            now = time.monotonic()
            pause = max(NEWS_SECONDS, self.next_whole_at - now)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self.changed.wait()
            now = time.monotonic()
            self.changed.clear()
            if self.is_whole_due(now):
                self.send_whole(now)
            elif now >= self.next_loads_at:
                self.send_loads(now)
            else:
                await asyncio.sleep(self.next_loads_at - now)
                self.changed.set()
                continue
            await asyncio.sleep(QUICKEST_LOADS_SECONDS)

    def is_whole_due(self, now: float) -> bool:
        """Return True where the next pulse is a whole one."""
        has_news = self.has_news or (
            self.view.revision > self.told_revision and self.is_watcher(now)
        )
        return now >= self.next_whole_at or has_news

    def rate(self) -> float:
        """Return the bytes a second that pulses may take."""
        direct = self.settings.direct
        assert direct is not None
        return direct.pulse_bytes_per_second

    def send_whole(self, now: float) -> None:
        """Send a whole pulse to the other entry processes."""
        self.forget(now)
        self.has_news = False
        self.told_revision = self.view.revision
        targets = list(self.peers)
        if self.are_many:
            targets = self.rng.sample(targets, MOST_TARGETS)
        pulse = self.pulse(now)
        self.told_loads = {load.backend: load for load in pulse.loads}
        sent = self.send(pulse, targets)
        owed = max(now, self.next_whole_at) + sent / (self.rate() * (1 - LOADS_SHARE))
        self.next_whole_at = max(now + IDLE_PULSE_SECONDS, min(owed, now + LONGEST_PULSE_SECONDS))

    def send_loads(self, now: float) -> None:
        """Send the loads that have changed to the entry processes of the cell."""
        loads = {load.backend: load for load in self.loads()}
        changed = [load for name, load in loads.items() if self.told_loads.get(name) != load]
        ended = [BackendLoad(name) for name in self.told_loads if name not in loads]
        self.told_loads = loads
        near = [peer.control for peer in self.peers.values() if peer.is_near]
        if not near or not (changed or ended):
            return
        self.sequence += 1
        partial = Pulse(
            incarnation=self.incarnation,
            sequence=self.sequence,
            loads=(*changed, *ended),
            partial=True,
            misdirected=self.misdirected(now),
        )
        sent = self.send(partial, near)
        self.next_loads_at = now + sent / (self.rate() * LOADS_SHARE)

    def send(self, pulse: Pulse, targets: list[str]) -> int:
        """Send a pulse and return the bytes that it took on the network."""
        if self.transport is None:
            return 0
        payload = encode(pulse)
        for control in targets:
            self.transport.sendto(payload, (host_of(control), port_of(control)))
        return len(targets) * (len(payload) + DATAGRAM_OVERHEAD_BYTES)

    def loads(self) -> tuple[BackendLoad, ...]:
        """Return what this process has in flight at backends."""
        return tuple(
            BackendLoad(view.short_name, view.running, max(0, view.prompt_tokens))
            for view in self.fleet.backends.values()
            if view.running
        )

    def pulse(self, now: float) -> Pulse:
        """Return the message of this moment."""
        direct = self.settings.direct
        assert direct is not None
        self.sequence += 1
        alive = [peer.control for peer in self.peers.values() if peer.is_alive(now)]
        named = alive if len(alive) <= NAMED_ENTRIES else self.rng.sample(alive, NAMED_ENTRIES)
        return Pulse(
            vm=self.settings.vm,
            zone=self.settings.zone,
            front=direct.front,
            incarnation=self.incarnation,
            sequence=self.sequence,
            ready=self.is_ready() and not self.leaving,
            leaving=self.leaving,
            revision=self.view.revision,
            loads=self.loads(),
            crashes=self.crashes.recent_crashes(now),
            misdirected=self.misdirected(now),
            entries=tuple(named) if self.sequence % 16 == 1 else (),
            checked_ms=min(LONGEST_AGE_MS, math.ceil(self.seconds_since_check(now) * MILLISECONDS)),
        )

    def take(self, payload: bytes, source: tuple[str, int], now: float) -> None:
        """Take a pulse of another entry process."""
        try:
            pulse = decode(Pulse, payload)
        except MalformedMessageError as error:
            LOG.warning("pulse.malformed", source=source[0], error=str(error)[:100])
            return
        if pulse.loading:
            self.fleet.note_loading(pulse.loading, pulse.loading_in_ms / MILLISECONDS, now)
            return
        peer = self.peer(f"{source[0]}:{source[1]}")
        if peer is None:
            return
        known = peer.pulse
        if pulse.partial:
            self.take_partial(peer, pulse, now)
            return
        if known is not None:
            if is_older(pulse, known, now - peer.heard_at):
                return
            if known.ready != pulse.ready:
                LOG.info("entry.changed", entry=pulse.vm, ready=pulse.ready)
        else:
            LOG.info("entry.heard", entry=pulse.vm, ready=pulse.ready)
        peer.pulse = pulse
        peer.heard_at = now
        peer.checked_at = now - pulse.checked_ms / MILLISECONDS
        for control in pulse.entries:
            self.peer(control)
        self.crashes.merge(pulse.crashes, now)
        self.fleet.note_misdirected(pulse.misdirected, now)
        self.take_loads(pulse, now)
        self.heard_revision(pulse.revision)

    def misdirected(self, now: float) -> tuple[int, ...]:
        """Return the backends that turned out to be others than they were."""
        return tuple(
            view.short_name for view in self.fleet.backends.values() if view.misdirected_until > now
        )

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; the zone itself where the settings do not say."""
        direct = self.settings.direct
        return direct.zones.get(zone, zone) if direct else zone

    def arrange_cell(self, now: float) -> None:
        """Deal the entry processes and engines of the region into cells.

        Args:
          now: Present time, monotonic, in seconds.
        """
        region = self.region_of(self.settings.zone)
        members = [
            pulse.vm for pulse in self.ready_peers(now) if self.region_of(pulse.zone) == region
        ]
        engines = [
            view.backend.address
            for view in self.fleet.backends.values()
            if view.backend.weights is not None and self.region_of(view.backend.zone) == region
        ]
        cell = cell_of(self.settings.vm, members, engines)
        if cell.members != self.cell.members:
            LOG.info("cell.changed", members=len(cell.members), backends=len(cell.backends))
        self.cell = cell
        for peer in self.peers.values():
            # One that fell silent keeps its place, else its silence would be allowed for longer.
            if peer.pulse is not None and peer.is_alive(now):
                peer.is_near = peer.pulse.vm in cell.members

    def take_partial(self, peer: EntryPeer, pulse: Pulse, now: float) -> None:
        """Take the changed loads of an entry process that is known."""
        known = peer.pulse
        if known is None or known.incarnation != pulse.incarnation:
            return
        if pulse.sequence <= known.sequence:
            return
        peer.pulse = dataclasses.replace(known, sequence=pulse.sequence)
        peer.heard_at = now
        self.fleet.note_misdirected(pulse.misdirected, now)
        loads = {load.backend: load for load in pulse.loads}
        for view in self.fleet.backends.values():
            load = loads.get(view.short_name)
            if load is not None:
                view.remote[known.vm] = RemoteLoad(load.running, load.prompt_tokens, now)

    def take_loads(self, pulse: Pulse, now: float) -> None:
        """Take the load that another entry process has put on backends."""
        loads = {load.backend: load for load in pulse.loads}
        for view in self.fleet.backends.values():
            load = loads.get(view.short_name)
            if load is not None:
                view.remote[pulse.vm] = RemoteLoad(load.running, load.prompt_tokens, now)
            else:
                view.remote.pop(pulse.vm, None)

    def forget(self, now: float) -> None:
        """Forget entry processes that neither the store names nor anybody has heard."""
        seeds = {f"{host_of(seed)}" for seed in self.settings.seeds}
        gone = [
            peer.control
            for peer in self.peers.values()
            if not peer.registered
            and peer.heard_at
            and now - peer.heard_at > FORGET_SECONDS
            and host_of(peer.control) not in seeds
        ]
        for control in gone:
            del self.peers[control]

    def ready_peers(self, now: float) -> list[Pulse]:
        """Return the last messages of the entry processes that take requests."""
        return [
            peer.pulse
            for peer in self.peers.values()
            if peer.pulse is not None and peer.is_named(now, self.are_many)
        ]

    def is_watcher(self, now: float) -> bool:
        """Return True where this process watches the store, for itself and others.

        The first entry process of each availability zone does, up to a few; and every one while
        none of them says that the store answers.

        Args:
          now: Present time, monotonic, in seconds.
        """
        alive = [
            (peer.pulse.zone, peer.pulse.vm)
            for peer in self.peers.values()
            if peer.pulse is not None and not peer.pulse.leaving and self.is_present(peer, now)
        ]
        own = (self.settings.zone, self.settings.vm)
        first: dict[str, tuple[str, str]] = {}
        for zone, vm in sorted([*alive, own]):
            first.setdefault(zone, (zone, vm))
        chosen = list(first.values())[:WATCHERS]
        longest = MANY_UNCHECKED_SECONDS if self.are_many else UNCHECKED_SECONDS
        return own in chosen or self.seconds_unchecked(now) > longest

    @property
    def are_many(self) -> bool:
        """Return True where there are more entry processes than get each pulse."""
        return len(self.peers) > MOST_TARGETS

    def is_present(self, peer: EntryPeer, now: float) -> bool:
        """Return True where an entry process is there, as far as pulses or its lease tell."""
        return peer.is_alive(now) or (self.are_many and peer.registered)

    def seconds_since_check(self, now: float) -> float:
        """Return how long ago the store last answered this process or one that it heard."""
        return min(now - self.checked_at(), self.seconds_unchecked(now))

    def seconds_unchecked(self, now: float) -> float:
        """Return how long ago the store last answered one of the other processes."""
        ages = [now - peer.checked_at for peer in self.peers.values() if peer.is_alive(now)]
        return min(ages, default=LONGEST_AGE_MS / MILLISECONDS)

    def ahead(self, revision: int, now: float) -> list[str]:
        """Return the control addresses of processes that know more than a revision."""
        found = [
            peer.control
            for peer in self.peers.values()
            if peer.pulse is not None and peer.is_alive(now) and peer.pulse.revision > revision
        ]
        self.rng.shuffle(found)
        return found


class PulseProtocol(asyncio.DatagramProtocol):
    """Hands datagrams on."""

    def __init__(self, entries: Entries) -> None:
        self.entries = entries

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a datagram."""
        self.entries.take(data, addr, time.monotonic())

    def error_received(self, exc: Exception) -> None:
        """Pass over a refused datagram: the other process is not there now."""
