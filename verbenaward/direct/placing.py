"""Which backend gets a request, and whether it gets one at all.

Answers the load of a burst: where every engine would give the first event later than it is
worth waiting for, a request is refused at once, so that those that were taken stay on time.
"""

import math
import random
from dataclasses import dataclass

from ..data import EngineModel, Refusal, ServiceShare, Verdict
from ..requests.refusals import not_run
from .backends import BackendView, first_event_seconds, residence_seconds
from .caller_retries import CallerRetryDetector
from .cells import Cell
from .fleet import Fleet
from .records import Request

START_SLACK_SECONDS = 0.5
START_FACTOR = 2.0
"""A request may begin to run as late as this many times the expected time, and the slack."""
NEAR_SECONDS = 0.012
"""Backends that differ by less are alike; one of them is drawn."""
FAILURE_SECONDS = 0.5
"""Expected delay of a backend that fails all requests, over one that fails none."""
REGION_SECONDS = 0.006
"""Usual round trip to another region."""
FAR_COST_SECONDS = 0.3
"""Cost of another region: the load that its entry processes put on backends is heard late, and
the link between them is narrow."""
CELL_COST_SECONDS = 0.25
"""Cost of an engine that the entry processes of another cell prefer, for the same reason."""
OVERRUN_SHARE = 0.25
"""What counts of the time for which a stream holds up an engine that is about to load."""
LATE_TARGETS = 0.75
"""A request that is late already may wait this many times its target; one that is not yet late
would otherwise be refused in its place."""
LONG_PROMPT = 2.0
"""A prompt of this many times the usual length goes first at a full engine."""
LONG_RANK = 4
LATE_RANK = 7
MINIMUM_RETRY_AFTER_SECONDS = 0.05
LONGEST_RETRY_AFTER_SECONDS = 2.0
RETRY_SPREAD = 0.5
BURST_SECONDS = 1.2
"""Shortest time after which a caller should come back that engines have no room for: it will be
late in any case, and would take the place of one that is not."""
BURST_SPREAD = 1.5


@dataclass(frozen=True, slots=True)
class Choice:
    """A backend for a request.

    Attributes:
      view: The backend.
      expected_seconds: Expected time to the answer or the first event.
      version: Version of the weights that it is believed to hold; 0 where any will do.
      cost_seconds: Expected time, and what the request costs those that come after it.
      begin_by: Time by which the request must have begun there, as its weights will then be too
        old, monotonic; never where they will not.
    """

    view: BackendView
    expected_seconds: float
    version: int
    cost_seconds: float
    begin_by: float = math.inf


class Placer:
    """Chooses backends.

    Attributes:
      fleet: Backends.
      zone: Availability zone of this process.
      regions: Region of each zone.
      version_seconds: Bound on requests that begin on older weights; 0 for none.
      cell: The entry processes that tell this one at once what they send, and their engines.
    """

    def __init__(
        self, fleet: Fleet, zone: str, regions: dict[str, str], version_seconds: float
    ) -> None:
        self.fleet = fleet
        self.zone = zone
        self.regions = regions
        self.version_seconds = version_seconds
        self.rng = random.Random()
        self.caller_retries = CallerRetryDetector()
        self.cell = Cell()

    def choose(self, request: Request, tried: set[str], now: float) -> Choice | None:
        """Return the backend that should give the first event soonest.

        Args:
          request: The request.
          tried: Backends that failed this request.
          now: Present time, monotonic, in seconds.
        """
        rated = self.rated(request, now)
        fresh = [item for item in rated if item.view.backend.identity not in tried] or rated
        awake = [item for item in fresh if item.view.backoff_until <= now] or fresh
        if not awake:
            return None
        best = min(item.cost_seconds for item in awake)
        near = [item for item in awake if item.cost_seconds <= best + NEAR_SECONDS]
        return self.rng.choice(near)

    def rated(self, request: Request, now: float) -> list[Choice]:
        """Return the backends that may run a request, with the time that each would take."""
        found = []
        for view in self.fleet.usable(request.service, now):
            if view.loading_until > now:
                continue
            seconds = self.expected_seconds(view, request, now)
            latest_start = now + START_SLACK_SECONDS + START_FACTOR * seconds
            version = self.required_version(request, latest_start)
            if fits(view, request, version):
                held = view.held_version(request.parsed_headers.model) if version else 0
                overrun = overrun_seconds(view, request, seconds, now)
                cost = seconds + OVERRUN_SHARE * overrun + self.far_cost_seconds(view)
                found.append(Choice(view, seconds, held, cost, self.begin_by(view, request)))
        return found

    def required_version(self, request: Request, at: float) -> int:
        """Return the version of the weights that a request must run on; 0 for any.

        Args:
          request: The request.
          at: Time at which it may begin to run, monotonic, in seconds.
        """
        if not request.parsed_headers.model or not self.version_seconds:
            return 0
        return self.fleet.required_version(request.parsed_headers.model, self.version_seconds, at)

    def begin_by(self, view: BackendView, request: Request) -> float:
        """Return the time by which a request must have begun at a backend, monotonic."""
        if (
            not request.parsed_headers.model
            or not self.version_seconds
            or view.backend.weights is None
        ):
            return math.inf
        held = view.held_version(request.parsed_headers.model)
        return self.fleet.startable_until(request.parsed_headers.model, held, self.version_seconds)

    def expected_seconds(self, view: BackendView, request: Request, now: float) -> float:
        """Return the expected time to the answer or the first event at a backend."""
        distance = self.distance_seconds(view)
        doubt = FAILURE_SECONDS * view.failure_share
        if request.engine is None:
            load = view.all_running(now) / max(1, view.backend.slots)
            return distance + doubt + 0.02 * load
        prompt = request.parsed_headers.prompt_tokens
        seconds = first_event_seconds(view, request.engine, prompt, now)
        return distance + doubt + max(seconds, view.longest_first_event_wait(now))

    def far_cost_seconds(self, view: BackendView) -> float:
        """Return what speaks against a backend because others know its load better."""
        here, there = self.regions.get(self.zone), self.regions.get(view.backend.zone)
        if here != there:
            return FAR_COST_SECONDS
        preferred = self.cell.backends
        if not preferred or view.backend.weights is None or view.backend.address in preferred:
            return 0.0
        return CELL_COST_SECONDS

    def distance_seconds(self, view: BackendView) -> float:
        """Return a usual round trip to a backend."""
        if view.backend.zone == self.zone:
            return 0.001
        here, there = self.regions.get(self.zone), self.regions.get(view.backend.zone)
        return 0.004 if here == there else REGION_SECONDS

    def refusal(self, request: Request, choice: Choice | None, now: float) -> Refusal | None:
        """Return why a request should not be sent to its best backend, or None.

        Args:
          request: The request.
          choice: Its best backend; None where there is none.
          now: Present time, monotonic, in seconds.
        """
        if choice is None:
            return self.come_back("no-backend", "no backend can take it now", 0.8)
        if request.engine is None or not request.route.target_seconds:
            return None
        allowed = self.allowed_seconds(request, now)
        expected = choice.expected_seconds - own_reading_seconds(request, request.engine)
        if expected <= allowed:
            return None
        wait = max(BURST_SECONDS, expected - allowed)
        message = "all backends have more than they can do"
        return self.come_back("overload", message, wait, BURST_SPREAD)

    def allowed_seconds(self, request: Request, now: float) -> float:
        """Return how long a request may wait for its first event and be worth it."""
        target = request.route.target_seconds
        if self.is_late(request, now):
            return target * LATE_TARGETS
        return target - (now - request.received_at)

    def is_late(self, request: Request, now: float) -> bool:
        """Return True where a request cannot be answered within its target any more."""
        if now - request.received_at > request.route.target_seconds / 2:
            return True
        parsed_headers = request.parsed_headers.deadline_seconds
        return self.caller_retries.is_retry(request.route.name, parsed_headers, now)

    def come_back(
        self, reason: str, message: str, wait_seconds: float, spread: float = RETRY_SPREAD
    ) -> Refusal:
        """Return a refusal that says when there should be room; callers are spread out."""
        wait = min(LONGEST_RETRY_AFTER_SECONDS, max(MINIMUM_RETRY_AFTER_SECONDS, wait_seconds))
        return not_run(503, reason, message, wait * self.rng.uniform(1.0, 1.0 + spread))

    def service_of(self, shares: tuple[ServiceShare, ...]) -> str:
        """Return the service of a request, drawn by weight."""
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self.rng.choices(shares, weights)[0].service


def own_reading_seconds(request: Request, engine: EngineModel) -> float:
    """Return what the request's own prompt takes beyond a usual one, which is not held against it.

    Else long prompts would be refused first, and short ones last.
    """
    beyond = request.parsed_headers.prompt_tokens - engine.usual_prompt_tokens
    return beyond / engine.read_tokens_per_second


def rank_of(request: Request, is_late: bool) -> int | None:
    """Return the rank of a request in the queue of an engine; None for the usual one.

    Long prompts go first, as they need the most of their time; what is late already goes last.
    """
    if request.engine is None:
        return None
    if is_late:
        return LATE_RANK
    if request.parsed_headers.prompt_tokens > LONG_PROMPT * request.engine.usual_prompt_tokens:
        return LONG_RANK
    return None


def overrun_seconds(
    view: BackendView, request: Request, expected_seconds: float, now: float
) -> float:
    """Return how long a request would still run when its backend is to load other weights.

    A backend takes nothing new from then on and loads when its last request has ended.

    Args:
      view: The backend.
      request: The request.
      expected_seconds: Expected time to its first event.
      now: Present time, monotonic, in seconds.
    """
    if request.engine is None or view.loads_at <= now:
        return 0.0
    running = min(view.all_running(now), view.backend.slots)
    residence = residence_seconds(request.engine, running, answer_tokens_of(request))
    return max(0.0, now + expected_seconds + residence - view.loads_at)


def answer_tokens_of(request: Request) -> float:
    """Return the tokens that the answer to a request may be expected to have."""
    parsed_headers = request.parsed_headers
    named = [
        float(count)
        for count in (parsed_headers.hinted_tokens, parsed_headers.answer_tokens)
        if count
    ]
    if named:
        return min(named)
    return request.engine.usual_answer_tokens if request.engine else 0.0


def fits(view: BackendView, request: Request, version: int) -> bool:
    """Return True where a backend holds the weights that a request needs."""
    if not request.parsed_headers.model or view.backend.weights is None:
        return True
    held = view.held_version(request.parsed_headers.model)
    return held > 0 and held >= version


def may_have_run(status: int, reason: str, message: str) -> Refusal:
    """Return the refusal of a request that may have run."""
    return Refusal(Verdict.MAY_HAVE_RUN, status, reason, message)
