"""What an entry process believes about backends."""

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..data import Backend, EngineModel

SUSPECT_SECONDS = 1.5
"""Time for which a backend that did not answer is passed over."""
LONGEST_SUSPECT_SECONDS = 6.0
FULL_SECONDS = 0.15
"""Time for which a backend that said it is full is passed over."""
LOADING_LOAD = 0.75
"""Part of its places below which a backend that refuses must have another reason."""
MISDIRECTED_SECONDS = 1.0
"""Time for which a backend gets nothing that turned out to be another one; twice that for each
time that it is found again."""
LONGEST_MISDIRECTED_SECONDS = 4.0
OTHER_WEIGHTS_SECONDS = 0.4
"""Time for which a backend gets nothing that has just loaded weights; it registers them at once."""
LONGEST_LOADING_SECONDS = 4.0
"""Time after which a backend that was said to load is asked again."""
LOADING_SECONDS = 0.6
"""Time for which such a backend is passed over."""
REMOTE_SECONDS = 2.0
"""Age at which what another entry process said about its load counts no more."""
FAILURE_SMOOTHING = 0.2
SLOWNESS_SMOOTHING = 0.15
FASTEST = 0.7
SLOWEST = 20.0


def identity_hash(identity: str) -> int:
    """Return the short name of a backend in messages about load."""
    return zlib.crc32(identity.encode())


@dataclass(slots=True)
class RemoteLoad:
    """Load that another entry process put on a backend, and when that was heard."""

    running: int
    prompt_tokens: int
    heard_at: float


@dataclass(slots=True, eq=False)
class BackendView:
    """One backend as an entry process sees it.

    Attributes:
      backend: Its registration.
      running: Own requests that were sent and have not ended.
      prompt_tokens: Prompt tokens of those that have no first event yet.
      remote: Load of other entry processes by their name.
      passed_over_until: Time until which it gets nothing unless no other is left.
      loading_until: Time until which it gets nothing: it loads, or another one is there.
      misdirected_until: Time until which it is held to be another one than it was.
      misdirections: How often it was found so since its last good answer.
      loads_at: When it will begin to load other weights and take nothing; past where unknown.
      failures_in_a_row: Attempts since the last good one that found it dead or silent.
      failure_share: Smoothed share of attempts that failed.
      slowness: Smoothed ratio of the time to the first event to the expected one.
      gone_at: When its registration lapsed in an outage of the store; 0 while it stands.
      waiting: Start of each own request that has no first event yet and should have one soon.
      short_name: Its name in messages about load.
    """

    backend: Backend
    running: int = 0
    prompt_tokens: int = 0
    remote: dict[str, RemoteLoad] = field(default_factory=dict)
    passed_over_until: float = 0.0
    loading_until: float = 0.0
    misdirected_until: float = 0.0
    misdirections: int = 0
    loads_at: float = 0.0
    failures_in_a_row: int = 0
    failure_share: float = 0.0
    slowness: float = 1.0
    gone_at: float = 0.0
    waiting: dict[int, float] = field(default_factory=dict)
    short_name: int = 0

    def __post_init__(self) -> None:
        """Derive the short name."""
        self.short_name = identity_hash(self.backend.identity)

    def all_running(self, now: float) -> int:
        """Return the requests of all entry processes that it has."""
        return self.running + sum(load.running for load in self.fresh_remote(now))

    def all_prompt_tokens(self, now: float) -> int:
        """Return the prompt tokens that it has still to read."""
        return self.prompt_tokens + sum(load.prompt_tokens for load in self.fresh_remote(now))

    def fresh_remote(self, now: float) -> Iterable[RemoteLoad]:
        """Return the loads that other entry processes have told lately."""
        return [load for load in self.remote.values() if now - load.heard_at < REMOTE_SECONDS]

    def note_started(self, prompt_tokens: int) -> None:
        """Count a request that is sent."""
        self.running += 1
        self.prompt_tokens += prompt_tokens

    def longest_wait(self, now: float) -> float:
        """Return for how long a request has been waiting for its first event; 0 for none.

        A backend that fell silent, or whose link has become narrow, is known by it long before
        it answers.
        """
        return now - min(self.waiting.values(), default=now)

    def note_read(self, prompt_tokens: int) -> None:
        """Count a prompt that has been read, or will not be."""
        self.prompt_tokens -= prompt_tokens

    def note_ended(self) -> None:
        """Count a request that has ended."""
        self.running -= 1

    def note_good(self) -> None:
        """Learn from an answer."""
        self.failures_in_a_row = 0
        self.misdirections = 0
        self.failure_share *= 1 - FAILURE_SMOOTHING

    def note_slowness(self, ratio: float) -> None:
        """Learn how long the first event took, against what was expected."""
        bounded = min(SLOWEST, max(FASTEST, ratio))
        self.slowness += SLOWNESS_SMOOTHING * (bounded - self.slowness)

    def note_failure(self) -> None:
        """Learn from an attempt that failed though the backend was there."""
        self.failure_share += FAILURE_SMOOTHING * (1 - self.failure_share)

    def note_silent(self, now: float) -> None:
        """Learn that it could not be reached or fell silent."""
        self.note_failure()
        pause = min(LONGEST_SUSPECT_SECONDS, SUSPECT_SECONDS * 2**self.failures_in_a_row)
        self.failures_in_a_row += 1
        self.passed_over_until = max(self.passed_over_until, now + pause)

    def note_loading(self, now: float) -> None:
        """Learn that it ends what it runs and then loads other weights."""
        self.loading_until = now + LONGEST_LOADING_SECONDS

    def note_misdirected(self, now: float) -> None:
        """Learn that another incarnation is at its address by now."""
        pause = min(LONGEST_MISDIRECTED_SECONDS, MISDIRECTED_SECONDS * 2**self.misdirections)
        self.misdirections += 1
        self.misdirected_until = now + pause
        self.loading_until = max(self.loading_until, self.misdirected_until)

    def note_other_weights(self, now: float) -> None:
        """Learn that it is another incarnation or holds other weights; its word will come."""
        self.loading_until = max(self.loading_until, now + OTHER_WEIGHTS_SECONDS)

    def note_full(self, now: float) -> None:
        """Learn that it had no room; one with free places loads weights, which takes longer."""
        is_loading = self.all_running(now) < LOADING_LOAD * self.backend.slots
        pause = LOADING_SECONDS if is_loading else FULL_SECONDS
        self.passed_over_until = max(self.passed_over_until, now + pause)

    def version_of(self, model: str) -> int:
        """Return the version of a model that it holds; 0 for none."""
        held = self.backend.weights or ()
        return max((item.version for item in held if item.model == model), default=0)


def first_event_seconds(
    view: BackendView, engine: EngineModel, prompt_tokens: int, now: float
) -> float:
    """Return when the first event of a request may be expected at a backend.

    The engine reads a part of the prompts in each pass, between token steps. A request waits for
    a place if all are taken, then for the pass in progress, then until all prompts before its own
    are read.

    Args:
      view: The backend.
      engine: What its service declares about it.
      prompt_tokens: Prompt of the request.
      now: Present time, monotonic, in seconds.
    """
    running = view.all_running(now)
    places = max(1, view.backend.slots)
    busy = min(running, places)
    step = engine.step_seconds + engine.sequence_seconds * busy
    one_pass = step * engine.steps_per_event
    tokens = view.all_prompt_tokens(now) + prompt_tokens
    passes = math.ceil(tokens / engine.read_tokens_per_pass) + (0.5 if running else 0.0)
    waiting = max(0, running + 1 - places)
    seconds = tokens / engine.read_tokens_per_second + one_pass * passes
    if waiting:
        seconds += waiting * residence_seconds(engine, places, engine.usual_answer_tokens) / places
    return seconds * view.slowness


def residence_seconds(engine: EngineModel, running: int, answer_tokens: float) -> float:
    """Return how long a request keeps its place on an engine.

    Its tokens take their steps, and between them the prompts of those are read that follow on
    the other places.

    Args:
      engine: What its service declares about it.
      running: Requests that run beside it.
      answer_tokens: Tokens of its answer.
    """
    step = engine.step_seconds + engine.sequence_seconds * running
    reading = engine.usual_prompt_tokens / engine.read_tokens_per_second
    return answer_tokens * (step + running * reading / engine.usual_answer_tokens)
