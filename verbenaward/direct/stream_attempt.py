"""One send of a stream: its silence, its start deadline and the load of its backend."""

import asyncio
import math

from multidict import CIMultiDict

from .. import clock, metrics
from ..placement.levels import queue_level
from ..placement.memory_budget import HeldPart, Purpose
from ..placement.placer import Choice
from ..placement.request_types import FailedAttempt, FailureKind, Request, labels_of
from ..requests.event_stream import EventStreamParser
from .forwarding import Forwarder
from .sending import LATE_ANSWER_SECONDS
from .sends import Send
from .slow_readers import UNREAD_SECONDS

STALL_SECONDS = 1.2
"""Time between events after which a stream is silent, so that a successor may be tried."""
MINIMUM_FIRST_EVENT_SECONDS = 1.5
"""Shortest time without a first event after which a send is silent."""
FIRST_EVENT_FACTOR = 4.0
"""Time without a first event after which a send is silent, in multiples of the expected time."""
START_MARGIN_SECONDS = 0.3 + LATE_ANSWER_SECONDS
"""Time before the start deadline at which a send is cancelled: the cancellation may cross a slow
link, and the head of the answer is awaited a little longer."""


class StreamAttempt:
    """One send of a stream: its load accounting, start deadline and time to the first event.

    Attributes:
      send: The send.
      first_seconds: Time from the arrival of the request to the first event; 0 before it.
      usual_seconds: Expected time to the first event at a backend that is not slow.
      headers: Headers of its answer for the caller, once they were received.
      held: Bytes held for it.
      parser: Parser of its answer.
      paused_seconds: Time for which it was paused as the caller did not read.
      limit: Timeout by which its start deadline is kept.
      held_when_sent: Version of the model that its backend held when it was sent; 0 for none.
    """

    def __init__(
        self, forwarder: Forwarder, send: Send, request: Request, is_resumed: bool = False
    ) -> None:
        self.forwarder = forwarder
        self.send = send
        self.choice = choice = send.choice
        self.request = request
        self.first_seconds = 0.0
        self.tokens = request.parsed_headers.prompt_tokens
        self.started_at = started_at = send.sent_at
        self.usual_seconds = choice.expected_seconds / choice.view.present_slowness(started_at)
        self.headers: CIMultiDict[str] = CIMultiDict()
        self.held = HeldPart(request.held, Purpose.STREAM)
        self.parser = EventStreamParser(drops_mark=is_resumed)
        self.paused_seconds = 0.0
        self.awaits_first_event = True
        self.has_begun = False
        self.limit: asyncio.Timeout | None = None
        self.held_when_sent = choice.view.held_version(request.parsed_headers.model)
        is_late = forwarder.placer.is_late(request, started_at)
        self.level = queue_level(request.level, is_late)
        choice.view.record_started(self.tokens, self.level)
        if not is_late:
            choice.view.record_awaited(id(self), self.level, started_at)
        forwarder.load_changed()

    def limit_start(self, now: float) -> None:
        """Cancel the send before the start deadline that is in force now.

        A target version makes it earlier, and a reload of the settings earlier or later.

        Args:
          now: Present time, monotonic, in seconds.
        """
        if self.has_begun or self.limit is None or self.limit.expired():
            return
        deadline = self.forwarder.placer.start_deadline(
            self.choice.view, self.request, self.held_when_sent
        )
        if deadline == math.inf:
            self.limit.reschedule(None)
            return
        self.limit.reschedule(loop_time() + max(0.0, deadline - START_MARGIN_SECONDS - now))

    def end_start_deadline(self) -> None:
        """End its start deadline: it has begun, so its weights may become too old for new ones."""
        self.has_begun = True
        if self.limit is not None:
            self.limit.reschedule(None)

    def on_event(self, version: int) -> None:
        """Record an event; the first one ends the prefill and updates the backend's slowness.

        Args:
          version: Version of the weights from which it comes; 0 if unknown.
        """
        now = clock.now()
        self.send.record_event(now, STALL_SECONDS)
        if not self.awaits_first_event:
            return
        self.end_prefill()
        self.report_late_start(version, now)
        took = now - self.started_at
        self.first_seconds = now - self.request.received_at
        metrics.FIRST_TOKEN_SECONDS.labels(*labels_of(self.request)).observe(self.first_seconds)
        # At least 20 ms, so that a very short expectation does not give a huge ratio.
        if not self.level:
            # Less urgent requests are overtaken, so their wait does not show the backend's speed.
            self.choice.view.record_slowness(took / max(self.usual_seconds, 0.02), now)
        self.forwarder.load_changed()

    def report_late_start(self, version: int, now: float) -> None:
        """Log and count a first event from weights that are older than required by now."""
        required = self.forwarder.placer.required_version(self.request, now)
        if 0 < version < required:
            metrics.LATE_STARTS.inc()
            self.forwarder.log.late_start(self.request, self.choice.view, version, required)

    def broken(self, message: str) -> FailedAttempt:
        """Return the failure of an answer that broke; a caller that paused it is to blame."""
        unread = self.paused_seconds >= UNREAD_SECONDS
        return FailedAttempt(FailureKind.UNREAD if unread else FailureKind.BROKEN, True, message)

    def end_prefill(self) -> None:
        """Stop counting the prompt as load of the backend."""
        if self.awaits_first_event:
            self.awaits_first_event = False
            self.choice.view.record_not_awaited(id(self))
            self.choice.view.record_prefill_done(self.tokens, self.level)

    def end(self) -> None:
        """Stop counting the stream as load of the backend."""
        self.end_prefill()
        self.held.put(0)
        self.choice.view.record_ended()
        self.forwarder.load_changed()


def first_event_seconds(choice: Choice) -> float:
    """Return the time without a first event after which a send counts as silent."""
    return max(MINIMUM_FIRST_EVENT_SECONDS, FIRST_EVENT_FACTOR * choice.expected_seconds)


def loop_time() -> float:
    """Return the time of the running event loop, by which its timeouts are set."""
    return asyncio.get_running_loop().time()
