"""Model of an engine that batches continuously, played in simulated time.

It follows what a configuration declares about engines: passes of several token steps, prompts
that are read in pieces between them, places, and a queue in the order of ranks.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from verbenaward.data import EngineModel

USUAL_RANK = 5
QUEUE_FACTOR = 2
"""Requests that may wait, for each place."""


class Clock:
    """Simulated time.

    Attributes:
      now: Present time, in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.plans: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Plan an action."""
        heapq.heappush(self.plans, (self.now + seconds, next(self.numbers), action))

    def run(self, until: float) -> None:
        """Play all that is planned up to a time."""
        while self.plans and self.plans[0][0] <= until:
            self.now, _, action = heapq.heappop(self.plans)
            action()
        self.now = until


@dataclass(slots=True, eq=False)
class Job:
    """A request at an engine.

    Attributes:
      unread: Prompt tokens that are not read yet.
      unwritten: Answer tokens that are not written yet.
      rank: Place in the order; 0 is the first.
      on_event: Called with each event, in simulated time.
      on_end: Called at the end.
    """

    unread: int
    unwritten: int
    rank: int
    on_event: Callable[[], None]
    on_end: Callable[[], None]


@dataclass(eq=False)
class EngineModelStandIn:
    """One engine.

    Attributes:
      clock: Simulated time.
      model: What a configuration declares about it.
      pace: How many times slower than declared it is.
      running: Requests that have a place.
      queue: Requests that wait for one, in order.
      loading: True while it takes nothing and ends what it runs.
    """

    clock: Clock
    model: EngineModel
    pace: float = 1.0
    running: list[Job] = field(default_factory=list)
    queue: list[tuple[int, int, Job]] = field(default_factory=list)
    loading: bool = False
    is_stepping: bool = False
    arrivals: "itertools.count[int]" = field(default_factory=itertools.count)

    def submit(self, job: Job) -> bool:
        """Take a request; False where there is no room."""
        if self.loading or len(self.queue) >= QUEUE_FACTOR * self.model.slots:
            return False
        heapq.heappush(self.queue, (job.rank, next(self.arrivals), job))
        self.step()
        return True

    def load(self, seconds: float, loaded: Callable[[], None]) -> None:
        """Take nothing, end what runs, then load other weights."""
        self.loading = True

        def check() -> None:
            if self.running or self.queue:
                self.clock.after(0.005, check)
            else:
                self.clock.after(seconds, done)

        def done() -> None:
            self.loading = False
            loaded()

        check()

    def step(self) -> None:
        """Begin a pass where none is in progress and there is work."""
        if self.is_stepping:
            return
        while self.queue and len(self.running) < self.model.slots:
            self.running.append(heapq.heappop(self.queue)[2])
        if not self.running:
            return
        writers = [job for job in self.running if not job.unread]
        budget = self.model.read_tokens_per_pass
        for job in self.running:
            taken = min(budget, job.unread)
            job.unread -= taken
            budget -= taken
        read = self.model.read_tokens_per_pass - budget
        step = self.model.step_seconds + self.model.sequence_seconds * len(writers)
        steps = self.model.steps_per_event if writers else 0
        seconds = steps * step + read / self.model.read_tokens_per_second
        self.is_stepping = True
        self.clock.after(seconds * self.pace, lambda: self.end_pass(writers))

    def end_pass(self, writers: list[Job]) -> None:
        """End a pass: each request that wrote in it has one event more."""
        self.is_stepping = False
        for job in writers:
            if job not in self.running:
                continue
            job.unwritten -= self.model.steps_per_event
            job.on_event()
            if job.unwritten <= 0:
                self.running.remove(job)
                job.on_end()
        self.step()
