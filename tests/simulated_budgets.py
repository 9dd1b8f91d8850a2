"""Simulated entry processes with their retry budgets, a store with leases, and restarts."""

import asyncio
import random
from bisect import bisect_right
from types import SimpleNamespace

from returns.result import Failure, Success

from verbenaward.direct.broadcast.retries import RetriesSection
from verbenaward.direct.budget import SharedRetryBudget
from verbenaward.direct.budget_grants import THOUSANDTHS
from verbenaward.direct.budget_membership import BudgetMembership
from verbenaward.direct.entry_peers import record_of
from verbenaward.direct.peer_table import MAXIMUM_TARGETS
from verbenaward.platform.key_value import KeyValueEntry, KeyValueError, KeyValueFailure
from verbenaward.platform.names import ENTRY_PREFIX
from verbenaward.replica.store_replica import Changes, StoreReplica
from verbenaward.schema.messages import Pulse

RATIO, EXTRA, WINDOW = 0.2, 256.0, 10.0
STEP = 0.25
LEASE, RENEWAL = 6.0, 2.0
LOSS = 0.05
"""Share of the broadcasts that get lost."""
SERVICE = "s"


class SimulatedStore:
    """Keys with revisions; each process reads the log of changes with a delay of its own."""

    def __init__(self):
        self.revision = 1
        self.values = {}
        self.log = []
        self.writes = 0
        self.now = 0.0

    def put(self, key, value):
        """Write or, with an empty value, delete a key."""
        self.revision += 1
        entry = KeyValueEntry(key, value, self.revision, era=1)
        self.values[key] = entry
        self.log.append((self.now, entry))
        return self.revision

    async def write(self, key, value, expected_version, ttl_seconds=0.0):
        """Write by compare-and-swap, as the port to the store does."""
        self.writes += 1
        held = self.values.get(key)
        if (held.revision if held and held.value else 0) != expected_version:
            return Failure(KeyValueError(KeyValueFailure.CONFLICT, "simulated"))
        return Success(self.put(key, value))


class SimulatedProcess:
    """One incarnation of an entry process."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.control = f"10.0.{index // 250}.{index % 250}:7000"
        fleet.incarnations += 1
        self.incarnation = fleet.incarnations
        self.started_at = fleet.now
        self.delay = fleet.rng.choice([0.0, 0.25, 0.5])
        self.read = 0
        self.replica = StoreReplica()
        self.budget = SharedRetryBudget(RATIO, EXTRA, WINDOW, self.started_at, self.incarnation)
        self.membership = BudgetMembership(
            self.budget, self.replica, fleet.store, self.control, lambda: False
        )
        state = SimpleNamespace(budget=self.budget, send=self.give)
        self.section = RetriesSection(state)
        self.next_broadcast_at = self.started_at
        self.is_cut_off = False
        settings = SimpleNamespace(
            vm=self.control, zone="z", listen=self.control, direct=SimpleNamespace(front="f")
        )
        key = ENTRY_PREFIX + self.control
        fleet.store.put(key, record_of(settings, self.incarnation))
        fleet.leases[key] = fleet.now + LEASE

    def broadcast(self):
        """Send a broadcast to all that are in touch, if it is due; some get lost."""
        fleet = self.fleet
        if fleet.now < self.next_broadcast_at or not self.section.fields(fleet.now)["asks_retries"]:
            return
        self.next_broadcast_at = fleet.now + fleet.rng.choice([0.25, 0.5, 1.0])
        fields = self.section.fields(fleet.now)
        message = Pulse(incarnation=self.incarnation, **fields)
        others = [other for other in fleet.processes.values() if other is not self]
        for other in fleet.rng.sample(others, min(len(others), MAXIMUM_TARGETS)):
            if self.reaches(other):
                other.section.apply(message, self, fleet.now)

    def give(self, grant, control):
        """Send a grant to the process at an address."""
        for other in self.fleet.processes.values():
            if other.control == control and self.reaches(other):
                retries = grant.grant_thousandths / THOUSANDTHS
                other.budget.receive_grant(self.control, grant.grant_to, retries)

    def reaches(self, other):
        """Return True if a message that is sent now to another process arrives."""
        is_cut = self.is_cut_off or other.is_cut_off
        return not is_cut and self.fleet.rng.random() > LOSS

    def follow(self):
        """Read the store, update the budget, and write what is due."""
        log, now = self.fleet.store.log, self.fleet.now
        end = bisect_right(log, now - self.delay, key=lambda item: item[0])
        entries = tuple(entry for _, entry in log[self.read : end])
        if entries:
            is_first = not self.read
            latest = {entry.key: entry for entry in entries}
            present = tuple(entry for entry in latest.values() if entry.value)
            changes = present if is_first else entries
            self.replica.apply(Changes(entries[-1].revision, is_first, changes, now, 1), now)
            self.read = end
        due = self.membership.update(now)
        if due is not None:
            asyncio.run(self.membership.write(due))
        registered = sum(1 for _ in self.replica.entries_with_prefix(ENTRY_PREFIX))
        self.budget.update_entry_count(max(1, registered))


class SimulatedFleet:
    """All entry processes; they send every retry that their budgets allow.

    Attributes:
      processes: Running processes by index.
      requests: Requests in each step.
      retries: Retries in each step.
      is_failing: Whether backends fail, so that all budgets are used up.
    """

    def __init__(self, count, requests_per_second, seed):
        self.count = count
        self.per_step = requests_per_second * STEP
        self.rng = random.Random(seed)
        self.now = 0.0
        self.incarnations = 1000
        self.store = SimulatedStore()
        self.leases = {}
        self.processes = {}
        self.starts = {index: self.rng.choice([0.0, 0.25, 0.5]) for index in range(count)}
        self.requests, self.retries = [], []
        self.is_failing = True

    def kill(self, indices, down_seconds=1.5, has_notice=False):
        """End processes, with or without a notice to the store; they start again later."""
        for index in indices:
            process = self.processes.pop(index, None)
            if process is None:
                continue
            key = ENTRY_PREFIX + process.control
            if has_notice:
                self.leases[key] = self.now
            self.starts[index] = self.now + down_seconds + self.rng.choice([0.0, 0.25, 0.5])

    def step(self):
        """Play one step: starts, leases, reads of the store, requests and retries."""
        self.store.now = self.now
        for index in [index for index, at in self.starts.items() if at <= self.now]:
            del self.starts[index]
            self.processes[index] = SimulatedProcess(self, index)
        for process in self.processes.values():
            if (self.now - process.started_at) % RENEWAL < STEP:
                self.leases[ENTRY_PREFIX + process.control] = self.now + LEASE
        for key in [key for key, end in self.leases.items() if end <= self.now]:
            del self.leases[key]
            self.store.put(key, b"")
        self.exchange()
        for process in self.processes.values():
            process.broadcast()
        self.send()
        self.now += STEP

    def exchange(self):
        """Let all processes read the store, in any order."""
        for process in self.rng.sample(list(self.processes.values()), len(self.processes)):
            process.follow()

    def send(self):
        """Send the requests of a step, and all retries that the budgets allow."""
        requests = retries = 0
        for process in self.processes.values():
            for _ in range(int(self.per_step + self.rng.random())):
                process.budget.record_request(SERVICE, self.now)
                requests += 1
            while self.is_failing and process.budget.spend(SERVICE, self.now):
                process.budget.record_read(SERVICE, self.now)
                retries += 1
        self.requests.append(requests)
        self.retries.append(retries)

    def run_until(self, end):
        """Play up to a time and check the bound after each step."""
        while self.now < end:
            self.step()
            used, bound = self.used(), self.bound()
            assert used <= bound, (self.now, used, bound)

    def used(self):
        """Return the retries of the present window."""
        return sum(self.retries[-int(WINDOW / STEP) :])

    def bound(self):
        """Return the retries that the rule allows in it."""
        return RATIO * self.counted_requests() + EXTRA

    def counted_requests(self):
        """Return the requests of the window, the one before or the one half before, the most."""
        steps, end = int(WINDOW / STEP), len(self.requests)
        starts = (end - steps, end - steps * 3 // 2, end - 2 * steps)
        return max(sum(self.requests[max(0, at) : max(0, at + steps)]) for at in starts)
