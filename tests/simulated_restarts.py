"""A request that crashes its backends while all entry processes end at once, in simulated time."""

import dataclasses
import random

from bench.soak_deadly import DeadlyHistory, late_sends
from tests.simulated_entries import CUT_OFF, SimulatedEntries
from verbenaward.platform.key_value import KeyValueEntry, KeyValueFailure

KEY = b"deadly"
RUN_SECONDS = 0.03
"""Time from a send to the crash."""
GAPS = (0.1, 3.0)
"""Shortest and longest time from one arrival of the request to the next, in seconds."""
COUNTED_AFTER_SECONDS = 3.2
"""Time after a start in which the request does not come, as the rule would not count it."""
DOWN_SECONDS = 1.0
"""Time from the end of a process until its successor accepts requests."""
ATTEMPTS = 2
STORE_SECONDS = 0.01
"""Time of a call to the store."""


class SimulatedRestarts:
    """Entry processes, their store, and a request that crashes each backend that runs it.

    Attributes:
      network: The processes and their store.
      crashes: Times of the crashes.
      arrivals: Times at which the request reached a backend, and the number of the send.
      senders: Process of each send.
      starts: Times at which each process was killed or started.
      up: Indices of the processes that accept requests.
      is_store_away: True while the store answers nobody.
      turns_sound_at: Time from which the request crashes nothing any more.
      refused: Times at which it was refused.
      answered: Times at which it was answered.
    """

    def __init__(self, seed, count, until):
        self.rng = random.Random(seed)
        self.network = SimulatedEntries(count, 3)
        self.until = until
        self.crashes, self.arrivals, self.senders = [], [], {}
        self.starts = {}
        self.up = set(range(count))
        self.is_store_away = False
        self.turns_sound_at = float("inf")
        self.refused, self.answered = [], []
        self.copy = None
        for index in range(count):
            self.keep_store(index, self.network.entries[index])
        self.network.after(4.0, self.arrive)

    @property
    def now(self):
        return self.network.now

    def arrive(self):
        """Have the request arrive at any process that is up, and wait for the next time."""
        if self.now >= self.until:
            return
        disturbed_at = max((times[-1] for times in self.starts.values()), default=0.0)
        if self.now < disturbed_at + COUNTED_AFTER_SECONDS:
            counted_at = disturbed_at + COUNTED_AFTER_SECONDS
            self.network.after(counted_at - self.now + self.rng.random(), self.arrive)
            return
        if self.up:
            self.send(self.rng.choice(sorted(self.up)), ATTEMPTS)
        self.network.after(self.rng.uniform(*GAPS), self.arrive)

    def send(self, index, attempts):
        """Send the request to a backend if its process admits it."""
        entry = self.network.entries[index]
        if not entry.exchange.crashes.admits((KEY,), self.now):
            self.refused.append(self.now)
            return
        number = str(len(self.arrivals))
        self.arrivals.append((self.now, number))
        self.senders[number] = str(index)
        run = entry.exchange.crashes.counted_run(KEY)
        run.__enter__()
        sent_at = self.now
        self.network.after(RUN_SECONDS, lambda: self.end(index, entry, run, sent_at, attempts))

    def end(self, index, entry, run, sent_at, attempts):
        """Crash the backend, or answer."""
        is_running = self.network.entries[index] is entry and index in self.up
        run.__exit__(None, None, None)
        if self.now >= self.turns_sound_at:
            self.answered.append(self.now)
            if is_running:
                entry.exchange.crashes.record_answered(KEY, self.now, self.now)
            return
        self.crashes.append(self.now)
        if not is_running:
            return
        entry.exchange.crashes.record_crash(KEY, len(self.crashes), sent_at, self.now)
        if attempts > 1:
            self.send(index, attempts - 1)

    def keep_store(self, index, entry):
        """Carry out what a process wants to write to the store, until it ends."""
        if entry.fault == CUT_OFF:
            return
        write = None if self.is_store_away else entry.stored.next_write(self.now)
        if write is not None:
            self.network.after(STORE_SECONDS, lambda: self.carry_out(entry, write))
        self.network.after(2 * STORE_SECONDS, lambda: self.keep_store(index, entry))

    def carry_out(self, entry, write):
        """Write to the store if the key is there as expected."""
        held = [item for item in self.network.items if item.key == write.name]
        revision = held[-1].revision if held and held[-1].value else 0
        if revision != write.expected_revision:
            entry.stored.record_not_written(KeyValueFailure.CONFLICT, self.now)
            return
        self.write(write.name, write.value)
        entry.stored.record_written(write, self.network.revision, self.now)

    def end_all(self, indices=None):
        """End processes at once; their successors read the store and accept requests later."""
        for index in sorted(self.up if indices is None else indices):
            self.starts[str(index)] = [*self.starts.get(str(index), ()), self.now]
            self.network.entries[index].fault = CUT_OFF
            self.up.discard(index)
            self.network.after(DOWN_SECONDS, lambda index=index: self.start(index))

    def start(self, index):
        """Start a process, once the store answers."""
        if self.is_store_away:
            self.network.after(0.2, lambda: self.start(index))
            return
        self.network.restart(index)
        self.keep_store(index, self.network.entries[index])
        self.starts[str(index)].append(self.now)
        self.up.add(index)

    def write(self, key, value):
        """Write to the store; an empty value deletes the key."""
        network = self.network
        network.revision += 1
        network.items.append(KeyValueEntry(key, value, network.revision, era=network.era))

    def take_copy(self):
        """Take the copy from which the store is restored later."""
        self.copy = (self.network.revision, tuple(self.network.items))

    def restore(self):
        """Let the store come back from the copy, in a new era."""
        network = self.network
        network.era += 1
        network.revision, items = self.copy
        network.items = [dataclasses.replace(entry, era=network.era) for entry in items]

    def late_sends(self):
        """Return the sends that the rule counts against the processes."""
        history = DeadlyHistory(
            paths=dict.fromkeys(self.senders, KEY),
            entries=self.senders,
            crashes={KEY: self.crashes},
            arrivals=self.arrivals,
            signals=self.starts,
        )
        return late_sends(history, KEY)
