"""Model of an engine with continuous batching, simulated as discrete events.

Its parameters are those that a configuration declares about engines. The engine works in passes:
each prefills prompts up to a token budget and runs several decoding steps. A limited number of
requests run in slots; the others wait in a priority queue ordered by rank.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from verbenaward.data import EngineProfile

DEFAULT_RANK = 5
"""Queue rank of a request without one of its own; lower ranks run first."""
QUEUED_REQUESTS_PER_SLOT = 2
"""Requests beyond this number per slot are refused."""


class SimulationClock:
    """Discrete event scheduler with simulated time.

    Attributes:
      now: Simulated time, in seconds.
      scheduled: Heap of (time, sequence number, action).
      sequence_numbers: Keep actions of the same time in the order of scheduling.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()

    def schedule_after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        heapq.heappush(self.scheduled, (self.now + seconds, next(self.sequence_numbers), action))

    def run(self, until: float) -> None:
        """Run all actions that are due up to a time, then set the clock to it."""
        while self.scheduled and self.scheduled[0][0] <= until:
            self.now, _, action = heapq.heappop(self.scheduled)
            action()
        self.now = until


@dataclass(slots=True, eq=False)
class EngineRequest:
    """A request that an engine runs.

    Attributes:
      prompt_tokens_left: Prompt tokens still to prefill.
      answer_tokens_left: Answer tokens still to generate.
      rank: Queue rank; the lowest runs first.
      on_event: Called at each event of the answer stream.
      on_end: Called after the last event.
    """

    prompt_tokens_left: int
    answer_tokens_left: int
    rank: int
    on_event: Callable[[], None]
    on_end: Callable[[], None]


@dataclass(eq=False)
class EngineModelStandIn:
    """Simulated engine.

    Attributes:
      clock: Scheduler of the simulation.
      model: Speeds and sizes that a configuration declares.
      slowdown: Slowdown factor; 2 takes twice the declared time.
      running: Requests that hold a slot.
      queue: Heap of waiting requests as (rank, arrival number, request).
      loading: True while it refuses requests, finishing its work or loading weights.
      is_pass_running: True between the start and the end of a pass.
    """

    clock: SimulationClock
    model: EngineProfile
    slowdown: float = 1.0
    running: list[EngineRequest] = field(default_factory=list)
    queue: list[tuple[int, int, EngineRequest]] = field(default_factory=list)
    loading: bool = False
    is_pass_running: bool = False
    arrival_numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def submit(self, request: EngineRequest) -> bool:
        """Queue a request; return False if the engine is loading or its queue is full."""
        if self.loading or len(self.queue) >= QUEUED_REQUESTS_PER_SLOT * self.model.slots:
            return False
        heapq.heappush(self.queue, (request.rank, next(self.arrival_numbers), request))
        self.start_pass()
        return True

    def load(self, seconds: float, on_loaded: Callable[[], None]) -> None:
        """Refuse new requests, finish the accepted ones, then load other weights.

        Args:
          seconds: Time that loading takes once the engine is idle.
          on_loaded: Called when the engine accepts requests again.
        """
        self.loading = True

        def load_when_idle() -> None:
            if self.running or self.queue:
                self.clock.schedule_after(0.005, load_when_idle)
            else:
                self.clock.schedule_after(seconds, finish)

        def finish() -> None:
            self.loading = False
            on_loaded()

        load_when_idle()

    def start_pass(self) -> None:
        """Start a pass if none is running and there is work."""
        if self.is_pass_running:
            return
        while self.queue and len(self.running) < self.model.slots:
            self.running.append(heapq.heappop(self.queue)[2])
        if not self.running:
            return
        decoding = [request for request in self.running if not request.prompt_tokens_left]
        budget = self.model.read_tokens_per_pass
        for request in self.running:
            prefilled = min(budget, request.prompt_tokens_left)
            request.prompt_tokens_left -= prefilled
            budget -= prefilled
        prefill_tokens = self.model.read_tokens_per_pass - budget
        step_seconds = self.model.step_seconds + self.model.sequence_seconds * len(decoding)
        steps = self.model.steps_per_event if decoding else 0
        seconds = steps * step_seconds + prefill_tokens / self.model.read_tokens_per_second
        self.is_pass_running = True
        self.clock.schedule_after(seconds * self.slowdown, lambda: self.end_pass(decoding))

    def end_pass(self, decoding: list[EngineRequest]) -> None:
        """End a pass: each request that decoded in it emits one event."""
        self.is_pass_running = False
        for request in decoding:
            if request not in self.running:
                continue
            request.answer_tokens_left -= self.model.steps_per_event
            request.on_event()
            if request.answer_tokens_left <= 0:
                self.running.remove(request)
                request.on_end()
        self.start_pass()
