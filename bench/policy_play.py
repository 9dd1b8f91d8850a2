"""Plays entry processes, models of engines and callers in simulated time.

Entry processes with the placing of the product, or another one, send to models of engines.
Each sees the load of the others late, as pulses tell it; callers that are refused come back once.
"""

import random
from dataclasses import dataclass, field
from typing import Any

from multidict import CIMultiDict, CIMultiDictProxy

from standins.engine_model import USUAL_RANK, Clock, EngineModelStandIn, Job
from verbenaward.data import Backend, EngineModel, HeldWeights, Route, RouteKind
from verbenaward.direct.backends import RemoteLoad
from verbenaward.direct.cells import cell_of
from verbenaward.direct.fleet import Fleet
from verbenaward.direct.placing import rank_of
from verbenaward.direct.records import Request
from verbenaward.knowledge.items import ItemView
from verbenaward.platform.request_headers import CallerHeaders

from .placing_policies import POLICIES, ZONES

ENGINE = EngineModel(
    slots=16,
    step_seconds=0.00887,
    sequence_seconds=0.0000388,
    read_tokens_per_second=19100.0,
    read_tokens_per_pass=2048,
    steps_per_event=5,
    usual_prompt_tokens=977.0,
    usual_answer_tokens=94.0,
    models=("model",),
    chunk_count=48,
    chunk_bytes=49152,
)
NEAR_SECONDS = 0.003
FAR_SECONDS = 0.006
NEAR_PULSE_SECONDS = 0.05
FAR_PULSE_SECONDS = 0.6
DEADLINE_SECONDS = 6.0
LEAST_PATIENCE = 0.85
"""Part of the deadline that the least patient callers wait."""
WARM_SECONDS = 3.0
BURST_FROM_SECONDS = 5.0
BURST_UNTIL_SECONDS = 8.0
FULL_SECONDS = 0.15
MINIMUM_LEFT_SECONDS = 0.1
LATE_SHARE = 0.25
"""What a late answer is worth, of one on time."""
REFUSED_AGAIN_SHARE = 0.3
"""What it costs callers to come back when they were told, and to be refused again."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request.

    Attributes:
      route: Its route.
      share: Part of all requests.
      prompt: Mean prompt, in tokens.
      events: Mean events of an answer.
      worth: What an answer on time is worth; a late one a quarter of it.
    """

    route: Route
    share: float
    prompt: float
    events: float
    worth: float


def route_of(name: str, target_seconds: float) -> Route:
    """Return the route of a class."""
    return Route(
        name, "h", "/", RouteKind.STREAMING, (), 6.0, target_seconds, 0.4, 1, 2, False, True
    )


CLASSES = (
    RequestClass(route_of("long", 0.505), 0.40, 1290.0, 21.0, 2.4),
    RequestClass(route_of("middle", 0.404), 0.31, 787.0, 21.0, 2.0),
    RequestClass(route_of("short", 0.404), 0.29, 607.0, 14.0, 1.5),
)


@dataclass(slots=True)
class Tally:
    """What became of requests.

    Attributes:
      owed: Worth of all.
      earned: Worth of what was answered.
      counts: Requests by outcome: "on-time", "late", "refused".
      first_events: Time to the first event of each answered one, in seconds.
    """

    owed: float = 0.0
    earned: float = 0.0
    counts: dict[str, int] = field(default_factory=dict)
    first_events: list[float] = field(default_factory=list)

    def add(self, worth: float, share: float, outcome: str) -> None:
        """Count one request."""
        self.owed += worth
        self.earned += worth * share
        self.counts[outcome] = self.counts.get(outcome, 0) + 1


@dataclass(frozen=True, slots=True)
class Setting:
    """What is played.

    Attributes:
      policy: Name of the policy.
      load: Requests a second, over what the engines can do.
      engines: How many there are.
      entries: Entry processes.
      seconds: Time that is counted.
      near_seconds: Time between two pulses within a region; 0 where all see everything at once.
      far_seconds: Time between two pulses to other regions.
      slow: Pace of the first engine.
      swap_seconds: Time over which all engines load once; 0 for none.
      burst: How many times the load comes in a burst of a few seconds; 1 for none.
      seed: Seed of all draws.
    """

    policy: str = "placer"
    load: float = 1.0
    engines: int = 13
    entries: int = 9
    seconds: float = 12.0
    near_seconds: float = NEAR_PULSE_SECONDS
    far_seconds: float = FAR_PULSE_SECONDS
    slow: float = 1.0
    swap_seconds: float = 0.0
    burst: float = 1.0
    seed: int = 1


def requests_per_second(engine: EngineModel) -> float:
    """Return what one engine can do with all its places taken."""
    step = engine.step_seconds + engine.sequence_seconds * engine.slots
    writing = engine.usual_answer_tokens * step / engine.slots
    return 1.0 / (writing + engine.usual_prompt_tokens / engine.read_tokens_per_second)


class Entry:
    """One entry process.

    Attributes:
      zone: Its availability zone.
      name: Its name.
      fleet: What it believes about backends.
      cell: The entry processes that hear of each other at once.
      policy: Decides.
    """

    def __init__(self, setting: Setting, number: int, rng: random.Random, fleet: Fleet) -> None:
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"entry-{number}"
        self.fleet = fleet
        near = [
            f"entry-{other}"
            for other in range(setting.entries)
            if other % len(ZONES) == number % len(ZONES)
        ]
        engines = [
            view.backend.address
            for view in fleet.backends.values()
            if view.backend.zone == self.zone
        ]
        self.cell = cell_of(self.name, near, engines)
        self.policy = POLICIES.find(setting.policy)(self.fleet, self.zone, rng, self.cell)


def fleet_of(count: int) -> Fleet:
    """Return what a new entry process believes about engines that hold the weights."""
    fleet = Fleet(ItemView())
    for index in range(count):
        zone = ZONES[index % len(ZONES)]
        held = (HeldWeights("model", 1),)
        backend = Backend(
            f"e-{index}", "engines", f"h:{index + 1}", zone, ENGINE.slots, False, held, 0, 1
        )
        fleet.put(backend, 0.0)
    return fleet


class Play:
    """One play of a setting.

    Attributes:
      tally: What became of all requests.
      tallies: The same by class.
      largest: The same of those nearly twice the usual size and more.
      refusals: For how long a refused request was held, and when it may come back, in seconds.
    """

    def __init__(self, setting: Setting) -> None:
        self.setting = setting
        self.rng = random.Random(setting.seed)
        self.clock = Clock()
        self.engines = {
            f"e-{index}": EngineModelStandIn(
                self.clock, ENGINE, setting.slow if index == 0 else 1.0
            )
            for index in range(setting.engines)
        }
        shared = fleet_of(setting.engines)
        self.entries = [
            Entry(
                setting,
                index,
                self.rng,
                fleet_of(setting.engines) if setting.near_seconds else shared,
            )
            for index in range(setting.entries)
        ]
        self.tally = Tally()
        self.tallies = {item.route.name: Tally() for item in CLASSES}
        self.largest = Tally()
        self.refusals: list[tuple[float, float]] = []

    def run(self) -> Tally:
        """Play until all that was counted has ended."""
        rate = self.setting.load * self.setting.engines * requests_per_second(ENGINE)
        ends_at = WARM_SECONDS + self.setting.seconds
        at = 0.0
        while at < ends_at:
            is_burst = BURST_FROM_SECONDS <= at < BURST_UNTIL_SECONDS
            at += self.rng.expovariate(rate * (self.setting.burst if is_burst else 1.0))
            self.clock.after(at, self.arrive)
        for entry in self.entries if self.setting.near_seconds else ():
            phase = self.rng.random()
            near, far = self.setting.near_seconds, self.setting.far_seconds
            self.clock.after(phase * near, lambda e=entry: self.pulse(e, True))
            self.clock.after(phase * far, lambda e=entry: self.pulse(e, False))
        if self.setting.swap_seconds:
            self.plan_swap()
        self.clock.run(ends_at + DEADLINE_SECONDS)
        return self.tally

    def plan_swap(self) -> None:
        """Have each engine load once, one after the other."""
        gap = self.setting.swap_seconds / self.setting.engines
        for index in range(self.setting.engines):
            turn = WARM_SECONDS + 2.0 + index * gap
            address, engine = f"h:{index + 1}", self.engines[f"e-{index}"]
            self.clock.after(turn - 2.0, lambda a=address: self.tell(a, 2.0))
            self.clock.after(turn, lambda a=address, e=engine: self.begin_load(a, e))

    def tell(self, address: str, in_seconds: float) -> None:
        """Tell all entry processes that an engine is about to load."""
        for entry in self.entries:
            entry.fleet.note_loading(address, in_seconds, self.clock.now)

    def begin_load(self, address: str, engine: EngineModelStandIn) -> None:
        """Have an engine load."""
        self.tell(address, 0.0)

        def loaded() -> None:
            for entry in self.entries:
                for view in entry.fleet.backends.values():
                    if view.backend.address == address:
                        view.loading_until = view.loads_at = 0.0

        engine.load(0.35, loaded)

    def pulse(self, sender: Entry, is_near: bool) -> None:
        """Have entry processes hear the load that another one puts on backends."""
        setting = self.setting
        for taker in self.entries:
            if taker is sender or (taker.name in sender.cell.members) != is_near:
                continue
            for identity, view in sender.fleet.backends.items():
                load = RemoteLoad(view.running, view.prompt_tokens, self.clock.now)
                taker.fleet.backends[identity].remote[str(id(sender))] = load
        pause = setting.near_seconds if is_near else setting.far_seconds
        self.clock.after(pause, lambda: self.pulse(sender, is_near))

    def arrive(self) -> None:
        """Draw a request and have a caller send it."""
        kind = self.rng.choices(CLASSES, [item.share for item in CLASSES])[0]
        prompt = int(min(3 * kind.prompt, kind.prompt * self.rng.lognormvariate(-0.3, 0.8)))
        events = max(1, min(52, round(kind.events * self.rng.lognormvariate(-0.25, 0.7))))
        Caller(self, kind, prompt, events, self.clock.now).send()


class Caller:
    """A caller with one request; it comes back once where it was refused."""

    def __init__(
        self, play: Play, kind: RequestClass, prompt: int, events: int, asked_at: float
    ) -> None:
        self.play = play
        self.kind = kind
        self.prompt = prompt
        self.events = events
        self.asked_at = asked_at
        self.comebacks = 0
        self.patience = DEADLINE_SECONDS * play.rng.uniform(LEAST_PATIENCE, 1.0)
        self.last_event_at = 0.0
        self.first_at = 0.0
        self.longest_pause = 0.0

    def request(self, now: float) -> Request:
        """Return the request as an entry process sees it."""
        tokens = self.events * ENGINE.steps_per_event
        left = self.patience - (now - self.asked_at)
        hint = max(1, int(tokens * self.play.rng.lognormvariate(0.0, 0.5)))
        said = CallerHeaders("a", left, "", "model", self.prompt, tokens, "", hint)
        headers = CIMultiDictProxy(CIMultiDict())
        return Request(
            headers, said, "POST", "/", b"", self.kind.route, "engines", ENGINE, "one", 1, now,
            now + left, b"f",
        )  # fmt: skip

    def send(self) -> None:
        """Ask an entry process of the own zone."""
        play, clock = self.play, self.play.clock
        entry = play.rng.choice(play.entries)
        now = clock.now
        request = self.request(now)
        view, come_back = entry.policy.place(request, now)
        if view is None:
            play.refusals.append((clock.now - now, come_back))
            self.refused(come_back)
            return
        rank = rank_of(request, self.comebacks > 0)
        distance = NEAR_SECONDS if view.backend.zone == entry.zone else FAR_SECONDS
        view.note_started(self.prompt)
        is_reading = [True]

        def event() -> None:
            if is_reading[0]:
                is_reading[0] = False
                view.note_read(self.prompt)
                self.first_at = clock.now + distance + NEAR_SECONDS
            else:
                self.longest_pause = max(self.longest_pause, clock.now - self.last_event_at)
            self.last_event_at = clock.now

        def end() -> None:
            view.note_ended()
            self.answered()

        job = Job(
            self.prompt,
            self.events * ENGINE.steps_per_event,
            USUAL_RANK if rank is None else rank,
            event,
            end,
        )

        def submit() -> None:
            if play.engines[view.backend.identity].submit(job):
                return
            view.note_read(self.prompt)
            view.note_ended()
            view.note_full(clock.now)
            self.refused(FULL_SECONDS)

        clock.after(distance, submit)

    def refused(self, come_back: float) -> None:
        """Come back once, where there is time."""
        left = self.patience - (self.play.clock.now - self.asked_at)
        if self.comebacks:
            self.count(-REFUSED_AGAIN_SHARE, "refused")
            return
        if left < MINIMUM_LEFT_SECONDS:
            self.count(0.0, "refused")
            return
        come_back = min(come_back, left / 3)
        self.comebacks += 1
        self.play.clock.after(come_back + 2 * NEAR_SECONDS, self.send)

    def answered(self) -> None:
        """Count an answer."""
        first = self.first_at - self.asked_at
        self.play.tally.first_events.append(first)
        on_time = first <= self.kind.route.target_seconds and self.longest_pause <= 0.4
        self.count(1.0 if on_time else LATE_SHARE, "on-time" if on_time else "late")

    def count(self, share: float, outcome: str) -> None:
        """Count what became of the request, if it came in the time that counts."""
        if self.asked_at < WARM_SECONDS:
            return
        size = self.prompt + 10 * self.events * ENGINE.steps_per_event
        mean = self.kind.prompt + 10 * self.kind.events * ENGINE.steps_per_event
        worth = self.kind.worth * min(4.0, 0.3 + 0.7 * size / mean)
        self.play.tally.add(worth, share, outcome)
        self.play.tallies[self.kind.route.name].add(worth, share, outcome)
        if size > 1.8 * mean:
            self.play.largest.add(worth, share, outcome)


def played(setting: Setting) -> dict[str, Any]:
    """Play a setting and return its figures."""
    play = Play(setting)
    tally = play.run()
    first = sorted(tally.first_events) or [0.0]

    def quantile(share: float) -> int:
        return round(1000 * first[min(len(first) - 1, int(share * len(first)))])

    def worth(of: Tally) -> float:
        return round(of.earned / of.owed, 3) if of.owed else 1.0

    return {
        "policy": setting.policy if setting.near_seconds else f"{setting.policy}, knows all",
        "load": setting.load,
        "worth": worth(tally),
        "worst_class": min(worth(item) for item in play.tallies.values()),
        "largest": worth(play.largest),
        "first_ms": [quantile(share) for share in (0.5, 0.95, 0.99)],
        **tally.counts,
    }
