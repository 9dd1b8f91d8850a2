"""Entry processes that send to backends which name a limit or are cold, in simulated time."""

import dataclasses
import json
import math
import random

from tests.direct_fakes import fleet_of
from tests.simulated_entries import CUT_OFF, SimulatedEntries
from verbenaward.direct.role import LEASE_SECONDS
from verbenaward.direct.silent_owners import REPLY_SECONDS
from verbenaward.platform.key_value import KeyValueEntry
from verbenaward.platform.names import ENTRY_PREFIX
from verbenaward.platform.request_headers import BackendNotice
from verbenaward.wire.codec import encode

ANSWER_SECONDS = 0.03
"""Time from a send to the head of the answer."""
HEADER_BYTES = 28
"""IP and UDP headers of a datagram."""
COLD_PER_SECOND = 26
"""Requests a second that a cold engine tolerates, as seen."""


class SimulatedLimits:
    """Processes, their callers and one backend.

    Attributes:
      network: The entry processes.
      limit: Limit that the backend names; infinite for none.
      arrivals: Time and process of each request that reached the backend.
      told: Time at which each process first passed on an answer that names a limit.
      questions: Number of questions to owners.
      refused: Number of requests that found no send granted.
      reached: Times at which requests reached each backend, by its identity.
    """

    def __init__(self, count, limit, demand, seed, shares=None):
        self.rng = random.Random(seed)
        self.network = SimulatedEntries(count, 3)
        self.limit = limit
        self.demand = demand
        self.shares = shares or [1 / count] * count
        self.arrivals, self.told = [], {}
        self.questions = self.refused = 0
        self.reached = {}
        for index in range(count):
            self.know_backend(index)
            self.schedule_caller(index)

    def know_backend(self, index):
        """Have a process know the backend, and make the random numbers of its owner repeatable."""
        exchange = self.network.entries[index].exchange
        backend = next(iter(fleet_of(1).backends.values())).backend
        exchange.fleet.put(backend, self.network.now)
        exchange.limits.limiters.rng = random.Random(self.rng.random())

    def restart(self, index):
        """Replace a process by a new one."""
        self.network.restart(index)
        self.know_backend(index)
        self.told.pop(index, None)

    def schedule_caller(self, index):
        """Schedule the next request of the callers of a process."""
        rate = self.demand * self.shares[index]
        if rate:
            pause = self.rng.expovariate(rate)
            self.network.after(pause, lambda: self.on_request(index))

    def on_request(self, index):
        """Send a request of a caller."""
        self.schedule_caller(index)
        self.try_send(index)

    def try_send(self, index):
        """Ask for a send at a backend that is not passed over now, as `Forwarder.next_choice`."""
        now = self.network.now
        view = self.choose(index, now)
        if view is None:
            self.refused += 1
        elif not view.notices.is_limited(now):
            self.send(index, view)
        else:
            self.ask(index, view)

    def choose(self, index, now):
        """Return a backend that a process may use now; None for none."""
        fleet = self.network.entries[index].exchange.fleet
        usable = [view for view in fleet.backends.values() if view.notices.admits(now)]
        return self.rng.choice(usable) if usable else None

    def ask(self, index, view):
        """Ask the owner, as `LimitGrants.admits` does."""
        notices = view.notices
        entry = self.network.entries[index]
        grants = entry.exchange.limits
        notices.awaits_grant = True
        self.questions += 1

        def on_reply(wait):
            if not notices.awaits_grant:
                return
            notices.awaits_grant = False
            now = self.network.now
            notices.limited_until = now + wait
            if self.network.entries[index] is not entry:
                return
            if wait and notices.is_limited(now):
                self.try_send(index)
            else:
                self.send(index, view)

        number = grants.ask(notices, self.network.now, on_reply)

        def on_timeout():
            if grants.pending.pop(number, None):
                on_reply(grants.unanswered_seconds())

        self.network.after(REPLY_SECONDS, on_timeout)

    def send(self, index, view):
        """Send a request; the head of the answer names the limit that holds then."""
        sent_at = self.network.now
        self.arrivals.append((sent_at, index))
        self.reached.setdefault(view.backend.identity, []).append(sent_at)
        entry = self.network.entries[index]

        def answer():
            if self.network.entries[index] is not entry:
                return
            now = self.network.now
            if self.limit < math.inf:
                self.told.setdefault(index, now)
            notice = BackendNotice(False, 0.0, self.limit)
            entry.exchange.fleet.record_notice(view, notice, sent_at, now, 0.0)

        self.network.after(ANSWER_SECONDS, answer)

    def view_of(self, index):
        """Return the backend as a process sees it."""
        return self.network.entries[index].exchange.fleet.backends["e-0"]

    def notices_of(self, index):
        """Return what a process knows of the backend's notices."""
        return self.view_of(index).notices

    def owners(self):
        """Return the processes that the processes take for the owner, without those cut off."""
        now = self.network.now
        return {
            entry.exchange.limits.owner(self.notices_of(index).name, now)
            for index, entry in enumerate(self.network.entries)
            if entry.fault != CUT_OFF
        }

    def owner_index(self):
        """Return the index of the owner, on which all agree."""
        (owner,) = self.owners()
        return int(owner.rpartition(":")[2]) - 9000

    def used(self, start, end):
        """Return the requests that reached the backend in a time."""
        return sum(start <= at < end for at, _ in self.arrivals)

    def counted(self, excused, notice_seconds):
        """Return the times of requests of processes that had the limit for some time.

        Args:
          excused: Process, begin and end of each time in which a process is not counted.
          notice_seconds: Time after its first answer with a limit from which a process is counted.
        """

        def is_counted(at, index):
            if any(one == index and start <= at < end for one, start, end in excused):
                return False
            return at >= self.told.get(index, math.inf) + notice_seconds

        return [at for at, index in self.arrivals if is_counted(at, index)]


class SimulatedWarmUps(SimulatedLimits):
    """Processes that learn from the store of engines that are cold.

    Attributes:
      sent: Index of the process and bytes of each question and reply.
    """

    def __init__(self, count, engines, demand, seed):
        self.sent = []
        super().__init__(count, math.inf, demand, seed)
        self.engines = [f"e-{index}" for index in range(engines)]
        service = {"name": "engines", "cold_start_s": 3, "cold_per_s": COLD_PER_SECOND}
        self.write("op/config", {"version": 1, "routes": [], "services": [service]})

    def know_backend(self, index):
        """Count the messages of a process, which knows no engine before it is registered."""
        grants = self.network.entries[index].exchange.limits
        grants.limiters.rng = random.Random(self.rng.random())
        send = grants.peers.send

        def counting_send(message, control):
            self.sent.append((index, len(encode(message)) + HEADER_BYTES))
            send(message, control)

        grants.peers = dataclasses.replace(grants.peers, send=counting_send)

    def write(self, key, body):
        """Write a value to the store, or delete the key if there is none."""
        self.network.revision += 1
        value = json.dumps(body).encode() if body else b""
        self.network.items.append(KeyValueEntry(key, value, self.network.revision))

    def register(self, cold_seconds):
        """Register the engines, or change their registrations."""
        common = {"service": "engines", "zone": "z", "slots": 12, "state": "ready", "born": 1}
        for port, name in enumerate(self.engines, 1):
            cold = {"address": f"h:{port}", "cold_remaining_ms": round(cold_seconds * 1000)}
            self.write(f"servers/{name}", {**common, **cold})

    def tell_all_but_owner(self, seconds):
        """Let all processes know that the engine is cold but the owner, which sends nothing."""
        self.shares[self.owner_index()] = 0
        for index in set(range(len(self.network.entries))) - {self.owner_index()}:
            self.notices_of(index).warm_up.record_cold(seconds, self.network.now)

    def begin_fault(self, event):
        """Begin a fault of the owner of the first engine or of a process that owns none."""
        entries, is_owner = self.network.entries, event.startswith("an owner")
        others = (i for i, one in enumerate(entries) if not one.exchange.limits.limiters.by_name)
        index = self.owner_index() if is_owner else next(others)
        if event == "a process starts":
            self.restart(index)
            return index
        entry = entries[index]
        entry.fault = CUT_OFF
        if is_owner:
            self.shares[index] = 0
        if event == "an owner is killed":
            key = ENTRY_PREFIX + entry.exchange.settings.listen
            self.network.after(LEASE_SECONDS, lambda: self.write(key, None))
        elif event == "an owner returns":
            self.network.after(6.0, lambda: setattr(entry, "fault", ""))
        return index

    def reached_between(self, start, end):
        """Return, for each engine, the times of its requests in a time."""
        return [[at for at in self.reached[name] if start <= at < end] for name in self.engines]
