"""Each backend as one entry process sees it: load, failures and exclusions.

Load reports name a backend by a short hash of its identity. Two kinds of time limits keep requests
away from a backend: in backoff it is used only if no other backend is left; while excluded it
is not used at all.
"""

import math
import zlib
from dataclasses import dataclass, field, replace

from ..data import Backend, EngineProfile, HeldWeights
from .backend_notices import IncarnationNotices, incarnation_hash
from .decay import DecayingAverage
from .levels import LAST_LEVEL, NONE_LESS_URGENT, LessUrgent, is_at_least_as_urgent

UNREACHABLE_BACKOFF_SECONDS = 1.5
"""Backoff after a backend could not be reached or did not answer; doubled for each further
failure in a row."""
MAXIMUM_UNREACHABLE_BACKOFF_SECONDS = 6.0
MAXIMUM_DOUBLINGS = 10
"""Most doublings of a backoff; it reaches its limit earlier. Larger powers overflow a float."""
FULL_BACKOFF_SECONDS = 0.15
"""Backoff after a backend answered that it is full."""
LOADING_OCCUPANCY = 0.75
"""Share of its slots below which a backend that answers "full" is taken to be loading weights."""
MISDIRECTED_EXCLUSION_SECONDS = 1.0
"""Exclusion after a backend turned out to be another incarnation; doubled each time that this is
found again."""
MAXIMUM_MISDIRECTED_EXCLUSION_SECONDS = 4.0
WEIGHTS_MISMATCH_EXCLUSION_SECONDS = 0.4
"""Exclusion of a backend that holds other weights than registered: the update of its registration
is on its way."""
MAXIMUM_LOADING_EXCLUSION_SECONDS = 4.0
"""Longest exclusion of a backend that announced that it loads weights."""
LOADING_BACKOFF_SECONDS = 0.6
"""Backoff from a backend that is taken to be loading because it refused with free slots."""
REMOTE_LOAD_TTL_SECONDS = 2.0
"""Age from which a load report of another entry process is ignored, if all receive each report."""
REGISTRATION_LAG_SECONDS = 5.0
"""Longest time for which a backend's registration may show older weights than it holds."""
UNKNOWN_REQUESTS_TTL_SECONDS = 1.0
"""Age from which a backend's own report of its requests is ignored."""
FAILURE_SMOOTHING = 0.2
"""Weight of a new sample in the moving average of failures."""
FAILURE_AVERAGE = DecayingAverage(0.0, FAILURE_SMOOTHING, 5.0)
SLOWNESS_AVERAGE = DecayingAverage(1.0, 0.15, 2.0)
MINIMUM_SLOWNESS = 0.7
MAXIMUM_SLOWNESS = 20.0


def identity_hash(identity: str) -> int:
    """Return the hash that names a backend in load reports."""
    return zlib.crc32(identity.encode())


@dataclass(slots=True)
class RemoteLoad:
    """Load that another entry process puts on a backend.

    Attributes:
      running: Its requests in flight there.
      prompt_tokens: Prompt tokens of those that have no first event yet.
      received_at: When it was reported, monotonic.
      ttl_seconds: Age from which the report is ignored.
      less_urgent: Those of its requests without a first event that are below level 0 and 1.
    """

    running: int
    prompt_tokens: int
    received_at: float
    ttl_seconds: float = REMOTE_LOAD_TTL_SECONDS
    less_urgent: LessUrgent = NONE_LESS_URGENT


@dataclass(frozen=True, slots=True)
class UnknownRequests:
    """Requests at a backend that no entry process has reported, by a report from its VM.

    Attributes:
      count: Number of these requests.
      received_at: When the report arrived, monotonic.
    """

    count: int
    received_at: float


@dataclass(frozen=True, slots=True)
class LoadedWeights:
    """Weights that a backend has loaded, as announced from its VM.

    Attributes:
      weights: The weights.
      announced_at: When that was last announced, monotonic.
    """

    weights: HeldWeights
    announced_at: float


@dataclass(slots=True, eq=False)
class BackendView:
    """One backend as an entry process sees it.

    Attributes:
      backend: Its registration.
      running: Requests of this process in flight there.
      reserved: Further ones that are about to be sent.
      prompt_tokens: Prompt tokens of those that have no first event yet.
      held_tokens: Tokens of their prompts and expected answers.
      less_urgent: Those of its requests without a first event that are below level 0 and 1.
      remote_loads: Load of each other entry process, by its name.
      backoff_until: Time until which it is used only if no other backend is left.
      unresponsive_until: End of the backoff because it could not be reached or was silent.
      excluded_until: Time until which it is excluded: it loads weights, or another incarnation
        answers at its address.
      misdirected_until: Time until which peers are told that another incarnation answers at its
        address.
      misdirections: How often that was found since its last good answer.
      loading_starts_at: When it will stop accepting requests to load other weights; in the past if
        no load is announced.
      consecutive_failures: Attempts since the last good one that found it unreachable or silent.
      failure_share: Moving average of the share of attempts that failed, at the last sample.
      failure_recorded_at: When its last sample was recorded, monotonic.
      slowness: Moving average of the ratio of the actual to the expected time to the first event,
        at the last sample.
      slowness_recorded_at: When its last sample was recorded, monotonic.
      lapsed_until: Time until which it is used though its registration lapsed in an outage of the
        store, monotonic; 0 while it is registered.
      awaiting_first_event: Start of each request of this process that has no first event yet,
        without those that were late from the start.
      awaiting_levels: Level of each of these requests that has one.
      short_name: Hash that names it in load reports.
      notices: What it has said of itself in its answers.
      unknown: Requests there that no entry process has reported; None before the first report from
        its VM.
      loaded: Weights that it was last announced to hold; None before the first notice.
    """

    backend: Backend
    running: int = 0
    reserved: int = 0
    prompt_tokens: int = 0
    held_tokens: int = 0
    less_urgent: LessUrgent = NONE_LESS_URGENT
    remote_loads: dict[str, RemoteLoad] = field(default_factory=dict)
    backoff_until: float = 0.0
    unresponsive_until: float = 0.0
    excluded_until: float = 0.0
    misdirected_until: float = 0.0
    misdirections: int = 0
    loading_starts_at: float = 0.0
    consecutive_failures: int = 0
    failure_share: float = 0.0
    failure_recorded_at: float = math.inf
    slowness: float = 1.0
    slowness_recorded_at: float = math.inf
    lapsed_until: float = 0.0
    awaiting_first_event: dict[int, float] = field(default_factory=dict)
    awaiting_levels: dict[int, int] = field(default_factory=dict)
    short_name: int = 0
    notices: IncarnationNotices = field(init=False)
    unknown: UnknownRequests | None = None
    loaded: LoadedWeights | None = None

    def __post_init__(self) -> None:
        """Derive the short name; the incarnation has said nothing yet."""
        self.short_name = identity_hash(self.backend.identity)
        self.notices = IncarnationNotices(incarnation_hash(self.backend))

    def is_excluded(self, now: float) -> bool:
        """Return True if it may get no request at all, even if no other backend is left."""
        return self.excluded_until > now or not self.notices.admits(now)

    def all_running(self, now: float) -> int:
        """Return the requests that it has in flight, over all entry processes.

        A fresh report from its VM counts those that this process does not know of.
        """
        unknown = self.unknown
        is_fresh = unknown is not None and now - unknown.received_at <= UNKNOWN_REQUESTS_TTL_SECONDS
        return self.known_running(now) + (unknown.count if unknown and is_fresh else 0)

    def known_running(self, now: float) -> int:
        """Return the requests in flight there that this process and its peers have sent."""
        own = self.running + self.reserved
        return own + sum(load.running for load in self.fresh_remote_loads(now))

    def record_reported_requests(self, requests: int, now: float) -> None:
        """Record a report from its VM of the requests that run or wait there."""
        self.unknown = UnknownRequests(max(0, requests - self.known_running(now)), now)

    def all_prompt_tokens(self, now: float) -> int:
        """Return the prompt tokens without a first event yet, over all entry processes."""
        return self.prompt_tokens + sum(load.prompt_tokens for load in self.fresh_remote_loads(now))

    def fresh_remote_loads(self, now: float) -> list[RemoteLoad]:
        """Return the load reports of other entry processes that are not stale."""
        return [
            load for load in self.remote_loads.values() if now - load.received_at < load.ttl_seconds
        ]

    def all_less_urgent(self, level: int | None, now: float) -> tuple[int, int]:
        """Return the requests below a level without a first event, and their prompt tokens."""
        if level is None or level >= LAST_LEVEL:
            return 0, 0
        counts = [self.less_urgent]
        counts += [load.less_urgent for load in self.fresh_remote_loads(now)]
        return (
            sum(count.requests[level] for count in counts),
            sum(count.prompt_tokens[level] for count in counts),
        )

    def record_started(self, prompt_tokens: int, level: int | None = None) -> None:
        """Count a request that is being sent.

        Args:
          prompt_tokens: Its prompt tokens.
          level: Level with which it waits at the backend.
        """
        self.running += 1
        self.prompt_tokens += prompt_tokens
        self.less_urgent = self.less_urgent.changed_by(level, 1, prompt_tokens)

    def record_awaited(self, key: int, level: int | None, now: float) -> None:
        """Record that a request waits for its first event, under a key of the caller's choice."""
        self.awaiting_first_event[key] = now
        if level is not None:
            self.awaiting_levels[key] = level

    def record_not_awaited(self, key: int) -> None:
        """Record that a request does not wait for its first event any more."""
        self.awaiting_first_event.pop(key, None)
        self.awaiting_levels.pop(key, None)

    def longest_first_event_wait(self, now: float, level: int | None = None) -> float:
        """Return for how long the oldest request has waited for its first event; 0 for none.

        It shows a backend that hangs, or whose link has become slow, long before an attempt times
        out. Requests that are less urgent than `level` wait longer without any fault, and are left
        out.
        """
        waits = [
            started
            for key, started in self.awaiting_first_event.items()
            if is_at_least_as_urgent(self.awaiting_levels.get(key), level)
        ]
        return now - min(waits, default=now)

    def record_prefill_done(self, prompt_tokens: int, level: int | None = None) -> None:
        """Subtract a prompt whose prefill is done or will not take place.

        Args:
          prompt_tokens: Its prompt tokens.
          level: Level with which it waited at the backend.
        """
        self.prompt_tokens -= prompt_tokens
        self.less_urgent = self.less_urgent.changed_by(level, -1, -prompt_tokens)

    def record_ended(self) -> None:
        """Subtract a request that has ended."""
        self.running -= 1

    def record_success(self, now: float) -> None:
        """Record a good answer."""
        self.consecutive_failures = 0
        self.misdirections = 0
        self.record_outcome(0.0, now)

    def record_failure(self, now: float) -> None:
        """Record a failed attempt."""
        self.record_outcome(1.0, now)

    def record_outcome(self, failed: float, now: float) -> None:
        """Record an attempt: 1.0 if it failed, 0.0 if not."""
        share = self.present_failure_share(now)
        self.failure_share = FAILURE_AVERAGE.updated(share, failed)
        self.failure_recorded_at = now

    def present_failure_share(self, now: float) -> float:
        """Return the share of attempts that failed; it falls while none are made."""
        return FAILURE_AVERAGE.decayed(self.failure_share, self.failure_recorded_at, now)

    def record_slowness(self, ratio: float, now: float) -> None:
        """Record the ratio of the actual to the expected time to a first event."""
        bounded = min(MAXIMUM_SLOWNESS, max(MINIMUM_SLOWNESS, ratio))
        self.slowness = SLOWNESS_AVERAGE.updated(self.present_slowness(now), bounded)
        self.slowness_recorded_at = now

    def present_slowness(self, now: float) -> float:
        """Return how much slower than expected it is; 1 after some time without requests."""
        return SLOWNESS_AVERAGE.decayed(self.slowness, self.slowness_recorded_at, now)

    def record_unresponsive(self, now: float) -> None:
        """Record that it could not be reached or did not answer, and back off exponentially.

        During the backoff that counts as the same failure, however many requests meet it.
        """
        if now < self.unresponsive_until:
            return
        self.record_failure(now)
        doublings = min(MAXIMUM_DOUBLINGS, self.consecutive_failures)
        pause = min(MAXIMUM_UNREACHABLE_BACKOFF_SECONDS, UNREACHABLE_BACKOFF_SECONDS * 2**doublings)
        self.consecutive_failures += 1
        self.unresponsive_until = now + pause
        self.backoff_until = max(self.backoff_until, self.unresponsive_until)

    def record_responsive(self, now: float) -> None:
        """Record that it answers again after a silence: the backoff for that ends."""
        if self.backoff_until <= self.unresponsive_until:
            self.backoff_until = min(self.backoff_until, now)
        self.unresponsive_until = min(self.unresponsive_until, now)
        self.consecutive_failures = 0

    def record_loading(self, now: float) -> None:
        """Exclude it: it finishes its requests and then loads other weights."""
        self.excluded_until = now + MAXIMUM_LOADING_EXCLUSION_SECONDS

    def record_loaded(self, weights: HeldWeights, now: float) -> bool:
        """Record that it holds weights and accepts requests; False if that was known."""
        if self.held_version(weights.model) > weights.version:
            return False
        is_known = self.held_version(weights.model) == weights.version
        self.loaded = LoadedWeights(weights, now)
        if not is_known:
            self.backend = with_weights(self.backend, weights)
            self.excluded_until = self.loading_starts_at = 0.0
        return not is_known

    def with_loaded(self, registered: Backend, now: float) -> Backend:
        """Return its registration with the weights that were announced since it was written."""
        loaded = self.loaded
        if loaded is None or now - loaded.announced_at > REGISTRATION_LAG_SECONDS:
            return registered
        held = [item for item in registered.weights or () if item.model == loaded.weights.model]
        if held and held[0].version >= loaded.weights.version:
            return registered
        return with_weights(registered, loaded.weights)

    def record_misdirected(self, now: float) -> None:
        """Exclude it: another incarnation answers at its address."""
        doublings = min(MAXIMUM_DOUBLINGS, self.misdirections)
        longest = MAXIMUM_MISDIRECTED_EXCLUSION_SECONDS
        pause = min(longest, MISDIRECTED_EXCLUSION_SECONDS * 2**doublings)
        self.misdirections += 1
        self.misdirected_until = now + pause
        self.excluded_until = max(self.excluded_until, self.misdirected_until)

    def record_weights_mismatch(self, now: float) -> None:
        """Exclude it briefly: it refused the incarnation or weights named in the request.

        Usually it has loaded other weights, and the update of its registration is on its way.
        """
        self.excluded_until = max(self.excluded_until, now + WEIGHTS_MISMATCH_EXCLUSION_SECONDS)

    def record_full(self, now: float) -> None:
        """Back off after it answered "full".

        The backoff is longer if it has free slots, which suggests that it is loading weights.
        """
        is_loading = self.all_running(now) < LOADING_OCCUPANCY * self.backend.slots
        pause = LOADING_BACKOFF_SECONDS if is_loading else FULL_BACKOFF_SECONDS
        self.backoff_until = max(self.backoff_until, now + pause)

    def held_version(self, model: str) -> int:
        """Return the newest version of a model that it holds; 0 for none."""
        held = self.backend.weights or ()
        return max((item.version for item in held if item.model == model), default=0)


def with_weights(backend: Backend, weights: HeldWeights) -> Backend:
    """Return a backend that holds weights in place of others of their model."""
    others = [item for item in backend.weights or () if item.model != weights.model]
    return replace(backend, weights=(*others, weights))


def first_event_seconds(
    view: BackendView,
    engine: EngineProfile,
    prompt_tokens: int,
    now: float,
    level: int | None = None,
    urgent_share: float = 0.0,
) -> float:
    """Return the expected time to the first event of a request at a backend, in seconds.

    The engine prefills a part of the prompts in each pass, between decode steps. A request waits
    for a free slot, then for the pass in progress, then for the prefill of all prompts before its
    own. In the queue for slots it overtakes less urgent requests, and the more urgent ones that
    arrive meanwhile overtake it.

    Args:
      view: The backend.
      engine: Performance profile that its service declares.
      prompt_tokens: Prompt tokens of the request.
      now: Present time, monotonic, in seconds.
      level: Level of the request; None if its service has no levels.
      urgent_share: Share of more urgent levels in the work that the backend gets.
    """
    running = view.all_running(now)
    slots = max(1, view.backend.slots)
    busy = min(running, slots)
    step = engine.step_seconds + engine.sequence_seconds * busy
    one_pass = step * engine.steps_per_event
    less_urgent, less_urgent_tokens = view.all_less_urgent(level, now)
    # Which requests hold slots is not reported; in the queue the less urgent ones remain.
    overtaken = min(max(0, running - slots), less_urgent)
    tokens = view.all_prompt_tokens(now) + prompt_tokens
    tokens -= round(less_urgent_tokens * overtaken / max(1, less_urgent))
    # On average, half of the pass in progress is left.
    passes = math.ceil(tokens / engine.read_tokens_per_pass) + (0.5 if running else 0.0)
    queued = max(0, running + 1 - slots) - overtaken
    seconds = tokens / engine.read_tokens_per_second + one_pass * passes
    if queued:
        slot_seconds = residence_seconds(engine, slots, engine.usual_answer_tokens) / slots
        seconds += queued * slot_seconds / (1.0 - urgent_share)
    return seconds * view.present_slowness(now)


def residence_seconds(engine: EngineProfile, running: int, answer_tokens: float) -> float:
    """Return how long a request occupies its slot on an engine, in seconds.

    Each token takes a decode step; in between, the engine prefills the prompts of requests that
    start in the other slots.

    Args:
      engine: Performance profile that its service declares.
      running: Requests that run at the same time.
      answer_tokens: Expected length of its answer.
    """
    step = engine.step_seconds + engine.sequence_seconds * running
    prefill = engine.usual_prompt_tokens / engine.read_tokens_per_second
    return answer_tokens * (step + running * prefill / engine.usual_answer_tokens)
