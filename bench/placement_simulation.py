"""Simulates entry processes, engines and callers to compare placement policies.

Entry processes choose among models of engines, with the placement of the product or another
policy. They learn the load from other entry processes from periodic load reports, which are out
of date between reports. A refused caller retries once.
"""

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from multidict import CIMultiDict, CIMultiDictProxy

from standins.engine_model import DEFAULT_RANK, EngineModelStandIn, EngineRequest, SimulationClock
from verbenaward.data import Backend, EngineProfile, HeldWeights
from verbenaward.direct.broadcast.loads import report_ttl_seconds
from verbenaward.placement.backends import RemoteLoad
from verbenaward.placement.fleet import Fleet
from verbenaward.placement.levels import level_of, queue_level, urgency_of
from verbenaward.placement.peer_groups import peer_group_of
from verbenaward.placement.placer import rank_of
from verbenaward.placement.request_types import Request
from verbenaward.platform.request_headers import CallerHeaders
from verbenaward.replica.store_replica import StoreReplica

from .placement_policies import POLICIES, ZONES
from .simulated_deployments import EQUAL_PRIORITY, Deployment, RequestClass

NEAR_LATENCY_SECONDS = 0.003
"""One-way network latency within a region."""
FAR_LATENCY_SECONDS = 0.006
"""One-way network latency between regions."""
NEAR_REPORT_SECONDS = 0.05
"""Interval of load reports within a peer group."""
FAR_REPORT_SECONDS = 0.6
"""Interval of load reports to all other entry processes."""
DEADLINE_SECONDS = 6.0
MINIMUM_WAIT_SHARE = 0.85
"""Share of the deadline that the least patient callers wait."""
WARM_UP_SECONDS = 3.0
"""Requests of callers that ask earlier are not counted."""
BURST_FROM_SECONDS = 5.0
BURST_UNTIL_SECONDS = 8.0
FULL_RETRY_SECONDS = 0.15
"""Delay of the retry if the chosen engine refuses: its queue is full or it is loading."""
MINIMUM_REMAINING_SECONDS = 0.1
"""Part of its wait that a refused caller must have left to retry."""
SECOND_REFUSAL_SHARE = 0.3
"""Loss when a retry is refused too, as a share of the worth of an answer on time."""


WINDOW_SECONDS = 2.0
"""Windows in which the shares on time of the classes are compared."""
INVERSION_TOLERANCE = 0.03
"""Difference of two shares on time that is not counted; a window has 50 to 300 requests."""


@dataclass(slots=True)
class Tally:
    """Outcomes of requests.

    Attributes:
      owed: Worth of all requests if they were answered on time.
      earned: Worth of the answers, less the losses of second refusals.
      counts: Requests by outcome: "on-time", "late", "refused".
      first_events: Seconds to the first event of each answered request.
      windows: Requests and answers on time in each window of `WINDOW_SECONDS` of arrival.
    """

    owed: float = 0.0
    earned: float = 0.0
    counts: dict[str, int] = field(default_factory=dict)
    first_events: list[float] = field(default_factory=list)
    windows: dict[int, tuple[int, int]] = field(default_factory=dict)

    def add(self, worth: float, share: float, outcome: str, asked_at: float) -> None:
        """Count one request that earned a share of its worth."""
        window = int(asked_at / WINDOW_SECONDS)
        asked, on_time = self.windows.get(window, (0, 0))
        self.windows[window] = (asked + 1, on_time + (outcome == "on-time"))
        self.owed += worth
        self.earned += worth * share
        self.counts[outcome] = self.counts.get(outcome, 0) + 1


@dataclass(frozen=True, slots=True)
class SimulationSettings:
    """Parameters of a simulation.

    Attributes:
      policy: Name of the placement policy.
      load: Request rate, as a share of the capacity of all engines.
      engines: Number of engines.
      entries: Number of entry processes.
      seconds: Simulated time after the warm-up, in which requests are counted.
      near_report_seconds: Interval of load reports within a peer group; 0 if all share their view
        of the engines, so that there is no delay.
      far_report_seconds: Interval of load reports to other entry processes.
      engine_report_seconds: Interval at which an engine's VM reports its requests to the entry
        processes of its zone; 0 for never.
      slowdown: Slowdown of the first engine; 1 for none.
      loading_seconds: Time in which all engines load weights once, in sequence; 0 for never.
      burst: Factor of the request rate during the burst; 1 for no burst.
      seed: Seed of all random choices.
      deployment: Engines and request classes.
      has_levels: True if entry processes distinguish the priorities of the classes.
    """

    policy: str = "placer"
    load: float = 1.0
    engines: int = 13
    entries: int = 9
    seconds: float = 12.0
    near_report_seconds: float = NEAR_REPORT_SECONDS
    far_report_seconds: float = FAR_REPORT_SECONDS
    engine_report_seconds: float = 0.0
    slowdown: float = 1.0
    loading_seconds: float = 0.0
    burst: float = 1.0
    seed: int = 1
    deployment: Deployment = EQUAL_PRIORITY
    has_levels: bool = False


def requests_per_second(engine: EngineProfile) -> float:
    """Return the capacity of one engine with all slots in use."""
    step = engine.step_seconds + engine.sequence_seconds * engine.slots
    writing = engine.usual_answer_tokens * step / engine.slots
    return 1.0 / (writing + engine.usual_prompt_tokens / engine.read_tokens_per_second)


class Entry:
    """One entry process.

    Attributes:
      zone: Its availability zone.
      name: Its name.
      fleet: Its view of the backends.
      peer_group: Entry processes that exchange load reports at the short interval.
      policy: Its placement policy.
    """

    def __init__(
        self, settings: SimulationSettings, number: int, rng: random.Random, fleet: Fleet
    ) -> None:
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"entry-{number}"
        self.fleet = fleet
        near = [
            f"entry-{other}"
            for other in range(settings.entries)
            if other % len(ZONES) == number % len(ZONES)
        ]
        engines = [
            view.backend.address
            for view in fleet.backends.values()
            if view.backend.zone == self.zone
        ]
        self.peer_group = peer_group_of(self.name, near, engines)
        self.policy = POLICIES.find(settings.policy)(self.fleet, self.zone, rng, self.peer_group)


def initial_fleet(count: int, slots: int) -> Fleet:
    """Return the initial view of the engines, all of which hold the weights."""
    fleet = Fleet(StoreReplica(), 0.0)
    for index in range(count):
        zone = ZONES[index % len(ZONES)]
        held = (HeldWeights("model", 1),)
        backend = Backend(f"e-{index}", "engines", f"h:{index + 1}", zone, slots, False, held, 0, 1)
        fleet.put(backend, 0.0)
    return fleet


class PlacementSimulation:
    """One simulation.

    Attributes:
      tally: Outcomes of all requests.
      tallies: Outcomes by class.
      largest: Outcomes of requests of more than 1.8 times the mean size of their class.
      refusals: Simulated seconds until each refusal was given, and until its retry may come.
    """

    def __init__(self, settings: SimulationSettings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.clock = SimulationClock()
        self.deployment = settings.deployment
        engine = settings.deployment.engine
        self.engines = {
            f"e-{index}": EngineModelStandIn(
                self.clock, engine, settings.slowdown if index == 0 else 1.0
            )
            for index in range(settings.engines)
        }
        shared = initial_fleet(settings.engines, engine.slots)
        self.entries = [
            Entry(
                settings,
                index,
                self.rng,
                initial_fleet(settings.engines, engine.slots)
                if settings.near_report_seconds
                else shared,
            )
            for index in range(settings.entries)
        ]
        self.tally = Tally()
        self.tallies = {item.route.name: Tally() for item in self.deployment.classes}
        self.largest = Tally()
        self.refusals: list[tuple[float, float]] = []

    def run(self) -> Tally:
        """Run the simulation until all counted requests have ended."""
        rate = (
            self.settings.load * self.settings.engines * requests_per_second(self.deployment.engine)
        )
        ends_at = WARM_UP_SECONDS + self.settings.seconds
        at = 0.0
        while at < ends_at:
            is_burst = BURST_FROM_SECONDS <= at < BURST_UNTIL_SECONDS
            factor = self.settings.burst if is_burst else 1.0
            at += self.rng.expovariate(rate * factor * sum(self.class_weights(at)))
            self.clock.schedule_after(at, self.arrive)
        for entry in self.entries if self.settings.near_report_seconds else ():
            phase = self.rng.random()
            near, far = self.settings.near_report_seconds, self.settings.far_report_seconds
            self.clock.schedule_after(phase * near, lambda e=entry: self.send_load_reports(e, True))
            self.clock.schedule_after(phase * far, lambda e=entry: self.send_load_reports(e, False))
        for identity in self.engines if self.settings.engine_report_seconds else ():
            phase = self.rng.random() * self.settings.engine_report_seconds
            self.clock.schedule_after(phase, lambda i=identity: self.report_requests(i))
        if self.settings.loading_seconds:
            self.schedule_loading()
        self.clock.run(ends_at + DEADLINE_SECONDS)
        return self.tally

    def class_weights(self, at: float) -> list[float]:
        """Return the share of each class in the usual request rate, raised in its bursts."""
        weights = []
        for item in self.deployment.classes:
            factors = [
                burst.factor
                for burst in self.deployment.bursts
                if burst.route == item.route.name and 0 <= at - burst.starts_at < burst.seconds
            ]
            weights.append(item.share * max(factors, default=1.0))
        return weights

    def level_of(self, request_class: RequestClass) -> int | None:
        """Return the level of the requests of a class; None if priorities are not distinguished."""
        if not self.settings.has_levels:
            return None
        urgencies = sorted({urgency_of(item.route, None) for item in self.deployment.classes})
        return level_of(tuple(urgencies), urgency_of(request_class.route, None))

    def schedule_loading(self) -> None:
        """Schedule one loading of weights on each engine, one after the other."""
        gap = self.settings.loading_seconds / self.settings.engines
        for index in range(self.settings.engines):
            starts_at = WARM_UP_SECONDS + 2.0 + index * gap
            address, engine = f"h:{index + 1}", self.engines[f"e-{index}"]
            self.clock.schedule_after(
                starts_at - 2.0, lambda a=address: self.announce_loading(a, 2.0)
            )
            self.clock.schedule_after(
                starts_at, lambda a=address, e=engine: self.start_loading(a, e)
            )

    def announce_loading(self, address: str, in_seconds: float) -> None:
        """Announce to all entry processes that an engine starts loading in some seconds."""
        for entry in self.entries:
            entry.fleet.record_loading(address, in_seconds, self.clock.now)

    def start_loading(self, address: str, engine: EngineModelStandIn) -> None:
        """Start to load weights on an engine, with the time announced to the entry processes."""
        self.announce_loading(address, 0.0)

        def loaded() -> None:
            for entry in self.entries:
                for view in entry.fleet.backends.values():
                    if view.backend.address == address:
                        view.excluded_until = view.loading_starts_at = 0.0

        engine.load(0.35, loaded)

    def send_load_reports(self, sender: Entry, is_near: bool) -> None:
        """Send the load that one entry process puts on backends to others, and repeat."""
        settings = self.settings
        for receiver in self.entries:
            if receiver is sender or (receiver.name in sender.peer_group.members) != is_near:
                continue
            for identity, view in sender.fleet.backends.items():
                load = RemoteLoad(
                    view.running,
                    view.prompt_tokens,
                    self.clock.now,
                    report_ttl_seconds(settings.entries - 1),
                    view.less_urgent,
                )
                receiver.fleet.backends[identity].remote_loads[str(id(sender))] = load
        interval = settings.near_report_seconds if is_near else settings.far_report_seconds
        self.clock.schedule_after(interval, lambda: self.send_load_reports(sender, is_near))

    def report_requests(self, identity: str) -> None:
        """Report the requests at an engine to the entry processes of its zone, and repeat."""
        engine = self.engines[identity]
        requests = len(engine.running) + len(engine.queue)
        for entry in self.entries:
            view = entry.fleet.backends[identity]
            if view.backend.zone == entry.zone:
                self.clock.schedule_after(
                    NEAR_LATENCY_SECONDS,
                    lambda v=view: v.record_reported_requests(requests, self.clock.now),
                )
        self.clock.schedule_after(
            self.settings.engine_report_seconds, lambda: self.report_requests(identity)
        )

    def arrive(self) -> None:
        """Start a caller with a request of random class and size."""
        request_class = self.rng.choices(
            self.deployment.classes, self.class_weights(self.clock.now)
        )[0]
        prompt = int(
            min(3 * request_class.prompt, request_class.prompt * self.rng.lognormvariate(-0.3, 0.8))
        )
        events = max(1, min(52, round(request_class.events * self.rng.lognormvariate(-0.25, 0.7))))
        Caller(self, request_class, prompt, events, self.clock.now).send()


class Caller:
    """A caller with one request, which retries once if it is refused."""

    def __init__(
        self,
        simulation: PlacementSimulation,
        request_class: RequestClass,
        prompt: int,
        events: int,
        asked_at: float,
    ) -> None:
        self.simulation = simulation
        self.engine = simulation.deployment.engine
        self.request_class = request_class
        self.prompt = prompt
        self.events = events
        self.asked_at = asked_at
        self.retries = 0
        self.max_wait_seconds = DEADLINE_SECONDS * simulation.rng.uniform(MINIMUM_WAIT_SHARE, 1.0)
        self.last_event_at = 0.0
        self.first_at = 0.0
        self.longest_pause = 0.0

    def request(self, now: float) -> Request:
        """Return the request as an entry process gets it, with a rough length hint."""
        tokens = self.events * self.engine.steps_per_event
        left = self.max_wait_seconds - (now - self.asked_at)
        hint = max(1, int(tokens * self.simulation.rng.lognormvariate(0.0, 0.5)))
        caller_headers = CallerHeaders("a", left, "", "model", self.prompt, tokens, "", hint)
        headers = CIMultiDictProxy(CIMultiDict())
        route = self.request_class.route
        return Request(
            headers, caller_headers, "POST", "/", b"", route, "engines", self.engine, "one",
            route.priority, now, now + left, b"f",
            level=self.simulation.level_of(self.request_class),
        )  # fmt: skip

    def send(self) -> None:
        """Send the request to a random entry process."""
        simulation, clock = self.simulation, self.simulation.clock
        entry = simulation.rng.choice(simulation.entries)
        now = clock.now
        request = self.request(now)
        choice, retry_after = entry.policy.place(request, now)
        if choice is None:
            simulation.refusals.append((clock.now - now, retry_after))
            self.handle_refusal(retry_after)
            return
        view = choice.view
        rank = rank_of(request, self.retries > 0)
        level = queue_level(request.level, self.retries > 0)
        latency = NEAR_LATENCY_SECONDS if view.backend.zone == entry.zone else FAR_LATENCY_SECONDS
        view.record_started(self.prompt, level)
        learns_delays = simulation.deployment.learns_delays
        if learns_delays and not self.retries:
            view.record_awaited(id(self), level, now)
        is_prefilling = [True]

        def event() -> None:
            if is_prefilling[0]:
                is_prefilling[0] = False
                view.record_prefill_done(self.prompt, level)
                if learns_delays:
                    view.record_not_awaited(id(self))
                    expected = max(choice.expected_seconds / view.present_slowness(clock.now), 0.02)
                    if not level:
                        view.record_slowness((clock.now + latency - now) / expected, clock.now)
                self.first_at = clock.now + latency + NEAR_LATENCY_SECONDS
            else:
                self.longest_pause = max(self.longest_pause, clock.now - self.last_event_at)
            self.last_event_at = clock.now

        def end() -> None:
            view.record_ended()
            self.count_answer()

        engine_request = EngineRequest(
            self.prompt,
            self.events * self.engine.steps_per_event,
            DEFAULT_RANK if rank is None else rank,
            event,
            end,
        )

        def submit() -> None:
            if simulation.engines[view.backend.identity].submit(engine_request):
                return
            view.record_prefill_done(self.prompt, level)
            view.record_not_awaited(id(self))
            view.record_ended()
            view.record_full(clock.now)
            self.handle_refusal(FULL_RETRY_SECONDS)

        clock.schedule_after(latency, submit)

    def handle_refusal(self, retry_after: float) -> None:
        """Schedule the retry, or count a refusal if there is no time or it was the retry."""
        left = self.max_wait_seconds - (self.simulation.clock.now - self.asked_at)
        if self.retries:
            self.count_outcome(-SECOND_REFUSAL_SHARE, "refused")
            return
        if left < MINIMUM_REMAINING_SECONDS:
            self.count_outcome(0.0, "refused")
            return
        retry_after = min(retry_after, left / 3)
        self.retries += 1
        self.simulation.clock.schedule_after(retry_after + 2 * NEAR_LATENCY_SECONDS, self.send)

    def count_answer(self) -> None:
        """Count a complete answer as on time or late."""
        first = self.first_at - self.asked_at
        self.simulation.tally.first_events.append(first)
        # 0.4 s is the gap target of all routes; see route_of().
        on_time = first <= self.request_class.route.target_seconds and self.longest_pause <= 0.4
        self.count_outcome(
            1.0 if on_time else self.request_class.late_share, "on-time" if on_time else "late"
        )

    def count_outcome(self, share: float, outcome: str) -> None:
        """Count the outcome of the request, unless it came during the warm-up."""
        if self.asked_at < WARM_UP_SECONDS:
            return
        # An answer token weighs as much as ten prompt tokens. 30% of the worth is fixed, the rest
        # grows with the size, up to four times the worth of the class. A request counts among the
        # largest from 1.8 times the mean size of its class.
        size = self.prompt + 10 * self.events * self.engine.steps_per_event
        mean = (
            self.request_class.prompt + 10 * self.request_class.events * self.engine.steps_per_event
        )
        worth = self.request_class.worth * min(4.0, 0.3 + 0.7 * size / mean)
        self.simulation.tally.add(worth, share, outcome, self.asked_at)
        self.simulation.tallies[self.request_class.route.name].add(
            worth, share, outcome, self.asked_at
        )
        if size > 1.8 * mean:
            self.simulation.largest.add(worth, share, outcome, self.asked_at)


def simulate(settings: SimulationSettings) -> dict[str, Any]:
    """Run a simulation and return its figures."""
    simulation = PlacementSimulation(settings)
    tally = simulation.run()
    first = sorted(tally.first_events) or [0.0]

    def quantile(share: float) -> int:
        return round(1000 * first[min(len(first) - 1, int(share * len(first)))])

    def worth(of: Tally) -> float:
        return round(of.earned / of.owed, 3) if of.owed else 1.0

    return {
        "policy": settings.policy
        if settings.near_report_seconds
        else f"{settings.policy}, knows all",
        "load": settings.load,
        "worth": worth(tally),
        "worst_class": min(worth(item) for item in simulation.tallies.values()),
        "largest": worth(simulation.largest),
        "first_ms": [quantile(share) for share in (0.5, 0.95, 0.99)],
        **tally.counts,
    }


def class_rows(deployment: Deployment, simulations: Sequence[PlacementSimulation]) -> list[Any]:
    """Return the figures of each request class over simulations that have run, in percent."""
    rows = []
    for item in sorted(deployment.classes, key=lambda one: one.route.priority):
        tallies = [simulation.tallies[item.route.name] for simulation in simulations]
        total = sum(sum(tally.counts.values()) for tally in tallies)

        def share(outcome: str, tallies: list[Tally] = tallies, total: int = total) -> float:
            counted = sum(tally.counts.get(outcome, 0) for tally in tallies)
            return round(100 * counted / max(1, total), 1)

        owed, earned = (
            sum(getattr(tally, name) for tally in tallies) for name in ("owed", "earned")
        )
        rows.append(
            {
                "class": item.route.name,
                "priority": item.route.priority,
                "on-time": share("on-time"),
                "late": share("late"),
                "refused": share("refused"),
                "worth": round(earned / max(owed, 1e-9), 3),
            }
        )
    return rows


def inverted_windows(simulation: PlacementSimulation) -> tuple[int, int]:
    """Return the windows in which a class got a larger share on time than a more urgent one.

    Returns:
      Their number, with a tolerance of `INVERSION_TOLERANCE`, and that of all windows.
    """
    classes = sorted(simulation.deployment.classes, key=lambda item: item.route.priority)
    tallies = [simulation.tallies[item.route.name] for item in classes]
    windows = set.intersection(*(set(tally.windows) for tally in tallies))
    inverted = 0
    for window in windows:
        shares = [
            on_time / asked for asked, on_time in (tally.windows[window] for tally in tallies)
        ]
        pairs = itertools.pairwise(shares)
        inverted += any(low > high + INVERSION_TOLERANCE for high, low in pairs)
    return inverted, len(windows)
