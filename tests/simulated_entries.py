"""Entry processes that follow a store and broadcast to each other, in simulated time."""

import heapq
import random

from tests.direct_fakes import exchange_of
from verbenaward.direct.entry_peers import record_of
from verbenaward.direct.stored_crashes import StoredCrashes
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.platform.names import ENTRY_PREFIX
from verbenaward.replica.follower import (
    INITIAL_BACKOFF_SECONDS,
    MAXIMUM_BACKOFF_SECONDS,
    MAXIMUM_WATCH_SECONDS,
    STANDBY_POLL_SECONDS,
    UNREACHABLE_WATCH_SECONDS,
)
from verbenaward.replica.store_replica import Changes

DELAY_SECONDS = 0.002
"""One-way delay of every message, unless a simulation sets another one."""
TICK_SECONDS = 0.02
"""Interval at which a process looks for a broadcast that is due."""
SILENCE_SECONDS = 0.6
"""Time after the end of a watch at which a call without an answer fails."""
TURNED_AWAY = "are turned away by it"
CUT_OFF = "are cut off from all others"


class SimulatedEntry:
    """One entry process: its state exchange, with a model of the follower of the store.

    Attributes:
      exchange: State exchange under test.
      fault: One of the faults below; "" while it has none.
      failures: Failed calls in a row.
      stored: Decides which evidence of crashes is written to the store.
      side: Processes of different sides do not reach each other; all reach the store.
    """

    def __init__(self, simulation, index, zone):
        self.simulation = simulation
        self.exchange = exchange_of(f"entry-{index:02}", zone, 9000 + index, 0.0)
        self.exchange.transport = self
        self.exchange.rng = random.Random(index)
        self.exchange.on_position = self.observe_position
        self.exchange.peers.is_store_lost = lambda: self.failures > 0
        self.stored = StoredCrashes(
            self.exchange.crashes, self.exchange.replica, self.exchange.peers
        )
        self.fault = ""
        self.failures = 0
        self.side = 0
        self.is_fetching = False

    @property
    def replica(self):
        return self.exchange.replica

    def reaches(self, other):
        """Return True if messages between this process and another one arrive."""
        return self.side == other.side and CUT_OFF not in (self.fault, other.fault)

    def sendto(self, payload, target):
        """Deliver a datagram to another process."""
        receiver = self.simulation.entries[target[1] - 9000]
        if not self.reaches(receiver) or self.simulation.is_lost():
            return
        source = ("127.0.0.1", int(self.exchange.settings.listen.rpartition(":")[2]))
        self.simulation.after(
            self.simulation.delay,
            lambda: receiver.exchange.receive(payload, source, self.simulation.now),
        )

    def broadcast(self):
        """Send a full broadcast if one is due, and look again later."""
        if self.exchange.is_full_due(self.simulation.now):
            self.exchange.send_full(self.simulation.now)
        self.simulation.after(TICK_SECONDS, self.broadcast)

    def observe_position(self, position, kept_checksum):
        """Fetch the changes of a peer that is ahead."""
        ahead = self.exchange.peers.peers_ahead_of(self.replica.position, self.simulation.now)
        if ahead and not self.is_fetching:
            self.is_fetching = True
            peer = self.simulation.entries[int(ahead[0].rpartition(":")[2]) - 9000]
            self.simulation.after(4 * self.simulation.delay, lambda: self.fetch(peer))

    def fetch(self, peer):
        """Apply the changes that a peer has."""
        self.is_fetching = False
        if not self.reaches(peer):
            return
        self.replica.apply(peer.replica.changes_after(self.replica.position), self.simulation.now)

    def follow(self):
        """Watch the store if this process has to, else look again later."""
        if not self.exchange.peers.is_watcher(self.simulation.now):
            self.simulation.after(STANDBY_POLL_SECONDS, self.follow)
            return
        seconds = UNREACHABLE_WATCH_SECONDS if self.failures else MAXIMUM_WATCH_SECONDS
        self.watch(self.simulation.now, self.simulation.now + seconds)

    def watch(self, called_at, until):
        """Wait for changes of the store, then apply them or record a failure."""
        now = self.simulation.now
        if self.fault == TURNED_AWAY or (self.fault and now >= until + SILENCE_SECONDS):
            self.fail()
        elif not self.fault and (now >= until or self.simulation.is_ahead_of(self.replica)):
            self.succeed(called_at)
        else:
            self.simulation.after(2 * self.simulation.delay, lambda: self.watch(called_at, until))

    def succeed(self, called_at):
        """Apply what the store answered, and watch again."""
        self.note_failures(0)
        is_restored = self.replica.era != self.simulation.era
        self.replica.apply(self.simulation.changes(is_restored, called_at), self.simulation.now)
        self.simulation.after(2 * self.simulation.delay, self.follow)

    def fail(self):
        """Record a failed call, and try again after the backoff."""
        self.note_failures(self.failures + 1)
        backoff = INITIAL_BACKOFF_SECONDS * 2 ** (self.failures - 1)
        self.simulation.after(min(MAXIMUM_BACKOFF_SECONDS, backoff), self.follow)

    def note_failures(self, failures):
        """Have a broadcast sent when the store is lost or found."""
        if bool(failures) != bool(self.failures):
            self.exchange.request_full_broadcast()
        self.failures = failures


class SimulatedEntries:
    """All entry processes and their store.

    Attributes:
      now: Present time, in seconds.
      entries: The processes.
      revision: Revision of the store.
      items: Its items.
      era: Its era, which rises when it is restored.
      delay: One-way delay of every message, in seconds.
      loss_share: Share of the datagrams that are lost.
    """

    def __init__(self, count, zones, delay=DELAY_SECONDS):
        self.now = 0.0
        self.delay = delay
        self.loss_share = 0.0
        self.rng = random.Random(count)
        self.events = []
        self.scheduled = 0
        self.revision = 1
        self.items = []
        self.era = 0
        self.entries = [
            SimulatedEntry(self, index, f"zone-{index % zones}") for index in range(count)
        ]
        for entry in self.entries:
            record = record_of(entry.exchange.settings)
            key = ENTRY_PREFIX + entry.exchange.settings.listen
            self.items.append(KeyValueEntry(key, record, 1))
        for index, entry in enumerate(self.entries):
            entry.replica.apply(Changes(1, True, tuple(self.items), 0.0), 0.0)
            self.after(index / count, entry.broadcast)
            self.after(index / count, entry.follow)

    def is_lost(self):
        """Return True if a datagram that is sent now gets lost."""
        return self.loss_share > 0 and self.rng.random() < self.loss_share

    def after(self, seconds, action):
        """Schedule an action."""
        self.scheduled += 1
        heapq.heappush(self.events, (self.now + seconds, self.scheduled, action))

    def run_until(self, end):
        """Run all actions up to a time."""
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def restart(self, index):
        """Replace a process by a new one that has read the store and knows nothing else."""
        old = self.entries[index]
        old.fault = CUT_OFF
        entry = self.entries[index] = SimulatedEntry(self, index, old.exchange.settings.zone)
        entry.exchange.incarnation = old.exchange.incarnation + 1
        entry.replica.apply(self.changes(True, self.now), self.now)
        entry.broadcast()
        entry.follow()

    def is_ahead_of(self, replica):
        """Return True if the store has changes that a replica lacks."""
        return (self.era, self.revision) > (replica.era, replica.revision)

    def changes(self, is_snapshot, called_at):
        """Return all that the store holds, as it answers a call made at a time."""
        return Changes(self.revision, is_snapshot, tuple(self.items), called_at, self.era)

    def change(self):
        """Make a change in the store."""
        self.revision += 1
        self.items.append(KeyValueEntry("changed", b"1", self.revision))

    def watchers(self):
        """Return the processes that watch the store."""
        return [entry for entry in self.entries if entry.exchange.peers.is_watcher(self.now)]

    def lagging(self):
        """Return the processes that lack a change, without those that are cut off."""
        return [
            entry
            for entry in self.entries
            if entry.fault != CUT_OFF and entry.replica.revision < self.revision
        ]
