"""Records of the sends of a request."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ..placement.placer import Choice
from ..placement.request_types import WholeAnswer
from .unread_sends import RequestCharges, UnreadSend

ANSWER_START_SECONDS = 0.5
"""Time from the head of an answer within which a backend crashes if a part of the prompt is to
blame. An answer that goes on for longer clears its parts."""


@dataclass(slots=True)
class Progress:
    """Sends of a request so far.

    Attributes:
      tried: Identities of the backends that failed it.
      may_have_run_at: Those of them where it may have run.
      runs: Ended sends that may have run.
      not_run: Ended sends that certainly did not run.
      in_flight: Sends without an outcome; each may have run.
      answer: Last server error of a backend, returned if no retry does better.
      charges: What its sends cost the retry budget.
      is_delivering: True once the head of its stream was sent to the caller.
      is_resumable: False once a part was sent after which another backend could only begin anew.
    """

    tried: set[str] = field(default_factory=set)
    may_have_run_at: set[str] = field(default_factory=set)
    runs: int = 0
    not_run: int = 0
    in_flight: int = 0
    answer: WholeAnswer | None = None
    charges: RequestCharges = field(default_factory=lambda: RequestCharges(""))
    is_delivering: bool = False
    is_resumable: bool = True

    @property
    def sends(self) -> int:
        """Return the number of sends so far."""
        return self.runs + self.not_run + self.in_flight

    def record_run(self, backend: str) -> None:
        """Record that a send which may have run ended without an answer for the caller."""
        self.in_flight -= 1
        self.runs += 1
        self.tried.add(backend)
        self.may_have_run_at.add(backend)

    def record_not_run(self, backend: str) -> None:
        """Record that a send ended with the proof that the request did not run."""
        self.in_flight -= 1
        self.not_run += 1
        self.tried.add(backend)

    def record_unsent(self, backend: str) -> None:
        """Record that a send ended before anything was sent."""
        self.in_flight -= 1
        self.tried.add(backend)


@dataclass(slots=True, eq=False)
class Send:
    """One send of a request to a backend.

    Attributes:
      choice: The backend.
      sent_at: When it was sent, monotonic, in seconds.
      answer_began_at: When the head of the answer arrived, monotonic; 0 while it has not.
      silent_at: Time from which it counts as silent, monotonic; infinite for never.
      is_recorded_silent: True while its backend is recorded as unresponsive for its silence.
      is_superseded: True once another send continues in its place, so that nothing of it may be
        forwarded.
      claim: Called before a part of its answer is forwarded; it supersedes the other sends, and
        returns False if this one was superseded.
      is_reserved: True while it counts as load of its backend though it has not begun.
      unread: Its record while its backend may not have read it; None before it is recorded.
    """

    choice: Choice
    sent_at: float
    answer_began_at: float = 0.0
    silent_at: float = math.inf
    is_recorded_silent: bool = False
    is_superseded: bool = False
    claim: Callable[[], bool] = field(default=lambda: True)
    is_reserved: bool = False
    unread: UnreadSend | None = None

    @property
    def backend(self) -> str:
        """Return the identity of its backend."""
        return self.choice.view.backend.identity

    def has_outlived_start(self, now: float) -> bool:
        """Return True if the backend has gone on with its answer for some time."""
        return 0 < self.answer_began_at <= now - ANSWER_START_SECONDS

    def reserve(self) -> None:
        """Count it as load of its backend from now on."""
        self.is_reserved = True
        self.choice.view.reserved += 1

    def end_reservation(self) -> None:
        """Stop that, as it has begun and is counted itself, or will not begin."""
        if self.is_reserved:
            self.is_reserved = False
            self.choice.view.reserved -= 1

    def record_event(self, now: float, stall_seconds: float) -> None:
        """Record an event: the backend is not silent.

        Args:
          now: Present time, monotonic, in seconds.
          stall_seconds: Time without an event after which it counts as silent.
        """
        self.silent_at = now + stall_seconds
        self.record_answering(now)

    def record_answering(self, now: float) -> None:
        """Record at its backend that a silence, if there was one, has ended."""
        if self.is_recorded_silent:
            self.is_recorded_silent = False
            self.choice.view.record_responsive(now)

    def record_silence(self, now: float) -> None:
        """Record at its backend, once, that the send has become silent."""
        if self.silent_at <= now and not self.is_recorded_silent:
            self.is_recorded_silent = True
            self.choice.view.record_unresponsive(now)
