"""Entry processes that send streams to engines which crash, in simulated time."""

import dataclasses
import random
from types import SimpleNamespace

from tests.direct_fakes import placer_of, request_of
from tests.simulated_entries import SimulatedEntries
from verbenaward.direct.budget import SharedRetryBudget
from verbenaward.direct.crash_tracker import fingerprint_of, part_keys_of
from verbenaward.direct.forwarding import Forwarder
from verbenaward.direct.request_log import RequestLog
from verbenaward.direct.sends import Progress, Send
from verbenaward.placement.request_types import RefusedError

PREFILL_SECONDS = 0.25
"""Time from a send to the head of the answer."""
CRASH_SECONDS = 0.09
"""Time from the head of an answer on the bad part to the crash."""
ANSWER_SECONDS = 1.5
"""Time from the head of an answer to its end."""
ATTEMPTS = 2
"""Sends of one stream."""


class Engine:
    """An engine whose incarnations crash; `flights` are its streams in flight."""

    def __init__(self, number):
        self.number = number
        self.incarnation = number * 1000
        self.up = True
        self.flights = []


class Flight:
    """One stream: its entry process, its parts, whether it crashes engines, and its sends."""

    def __init__(self, entry, number, parts, is_bad):
        self.entry = entry
        self.is_bad = is_bad
        self.progress = Progress()
        self.attempts = 0
        self.request = dataclasses.replace(
            request_of(),
            fingerprint=fingerprint_of("POST", "/", "one", str(number).encode()),
            part_keys=part_keys_of("engines", (*parts, f"own-{number}")),
        )
        self.run = None
        self.send = None


class SimulatedCrashes:
    """Streams, engines and their crashes.

    Attributes:
      bad_crashes: Times at which the bad part crashed an engine.
      bad_sends: Times at which a stream with the bad part was sent.
      sound: Time of arrival of each sound stream that found an engine up, and whether it was sent.
      kills: Times at which engines were killed.
      turns_bad_at: Time from which the bad part crashes engines.
    """

    def __init__(self, seed, engines=7, entries=8):
        self.rng = random.Random(seed)
        self.network = SimulatedEntries(entries, 3)
        self.engines = [Engine(number) for number in range(engines)]
        self.bad_crashes, self.bad_sends, self.sound, self.kills = [], [], [], []
        self.streams = 0
        self.turns_bad_at = 0.0
        for entry in self.network.entries:
            exchange = entry.exchange
            entry.forwarder = Forwarder(
                None,
                placer_of(exchange.fleet),
                SharedRetryBudget(1.0, 1000.0, 10.0),
                exchange.crashes,
                RequestLog(),
                lambda: None,
                entry.exchange.limits.admits,
            )

    @property
    def now(self):
        return self.network.now

    def arrivals(self, rate, until, parts):
        """Let streams arrive at any process until a time; `parts` draws those of each."""
        if self.now >= until:
            return
        self.network.after(self.rng.expovariate(rate), lambda: self.arrive(rate, until, parts))

    def arrive(self, rate, until, parts):
        """Send a stream and wait for the next one."""
        self.streams += 1
        entry = self.rng.choice(self.network.entries)
        drawn = parts(self.rng)
        is_bad = "bad" in drawn and self.now >= self.turns_bad_at
        flight = Flight(entry, self.streams, drawn, is_bad)
        can_serve = any(engine.up for engine in self.engines)
        sent = self.send(flight)
        if not flight.is_bad and can_serve:
            self.sound.append((self.now, sent))
        self.arrivals(rate, until, parts)

    def send(self, flight):
        """Send a stream to an engine that is up; return False if it is refused."""
        running = [engine for engine in self.engines if engine.up]
        try:
            flight.entry.forwarder.refuse_poison(flight.request, flight.progress, self.now)
        except RefusedError:
            return False
        if not running:
            return False
        flight.attempts += 1
        engine = self.rng.choice(running)
        view = SimpleNamespace(notices=SimpleNamespace(name=engine.incarnation))
        flight.send = Send(SimpleNamespace(view=view), self.now)
        engine.flights.append(flight)
        flight.run = flight.entry.exchange.crashes.counted_run(*flight.request.crash_keys)
        flight.run.__enter__()
        if flight.is_bad:
            self.bad_sends.append(self.now)
        attempt = flight.attempts
        self.network.after(PREFILL_SECONDS, lambda: self.begin(flight, engine, attempt))
        return True

    def is_running(self, flight, engine, attempt):
        return flight in engine.flights and flight.attempts == attempt

    def begin(self, flight, engine, attempt):
        """Have the head of the answer arrive."""
        if not self.is_running(flight, engine, attempt):
            return
        flight.send.answer_began_at = self.now
        if flight.is_bad:
            self.network.after(CRASH_SECONDS, lambda: self.crash_by(flight, engine, attempt))
            return
        for after in (0.6, 0.9, 1.2):
            self.network.after(after, lambda: self.go_on(flight, engine, attempt))
        self.network.after(ANSWER_SECONDS, lambda: self.end(flight, engine, attempt))

    def go_on(self, flight, engine, attempt):
        """Have an event of the answer arrive that clears the parts."""
        if self.is_running(flight, engine, attempt):
            assert flight.send.has_outlived_start(self.now)
            crashes = flight.entry.exchange.crashes
            began_at = flight.send.answer_began_at
            crashes.record_parts_answered(flight.request.part_keys, began_at, self.now)

    def end(self, flight, engine, attempt):
        """Have the answer end."""
        if self.is_running(flight, engine, attempt):
            engine.flights.remove(flight)
            flight.run.__exit__(None, None, None)
            flight.entry.forwarder.record_answered(flight.request, flight.send, self.now)

    def crash_by(self, flight, engine, attempt):
        """Crash an engine by a stream with the bad part."""
        if self.is_running(flight, engine, attempt):
            self.bad_crashes.append(self.now)
            self.crash(engine)

    def crash(self, engine):
        """End an engine and all its streams, and start it again some seconds later."""
        if not engine.up:
            return
        engine.up = False
        flights, engine.flights = engine.flights, []
        self.network.after(self.rng.uniform(2.0, 4.0), lambda: self.restart(engine))
        for flight in flights:
            flight.run.__exit__(None, None, None)
            flight.entry.forwarder.record_crash(flight.request, flight.send, self.now)
            if flight.attempts < ATTEMPTS:
                self.send(flight)

    def restart(self, engine):
        engine.incarnation += 1
        engine.up = True

    def kill(self, at, share):
        """Kill a share of the engines at a time, which none of their streams has caused."""

        def strike():
            self.kills.append(self.now)
            for engine in self.engines:
                if self.rng.random() < share:
                    self.crash(engine)

        self.network.after(at - self.now, strike)
