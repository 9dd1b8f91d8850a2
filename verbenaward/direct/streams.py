"""Forwards event streams, and resumes a broken stream at another backend.

A stream resumes after the last event that its caller has received, by `Last-Event-Id`.
"""

import asyncio
import contextlib
import dataclasses
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Success

from .. import clock, metrics
from ..http_client import was_reset
from ..placement.engine_memory import counted_tokens
from ..placement.levels import queue_level
from ..placement.memory_budget import MEMORY_REASON, HeldBytes, HeldPart, Purpose
from ..placement.placer import Choice
from ..placement.request_types import (
    FailedAttempt,
    FailureKind,
    RefusedError,
    Request,
    WholeAnswer,
    labels_of,
)
from ..platform.request_headers import BackendHeaders, headers_for_caller, weights_version
from ..requests.event_stream import EventStreamParser
from ..sockets import buffered_bytes
from .attempts import Attempts, Progress, Send
from .forwarding import Forwarder
from .sending import LATE_ANSWER_SECONDS, read_answer, send_request
from .slow_readers import (
    PAUSED_STREAM_BYTES,
    UNREAD_SECONDS,
    WRITE_BUFFER_BYTES,
    limit_send_buffers,
    raise_refusal,
)
from .stream_position import StreamPosition

OK = 200
STALL_SECONDS = 1.2
"""Time between events after which a stream is silent, so that a successor may be tried."""
MINIMUM_FIRST_EVENT_SECONDS = 1.5
"""Shortest time without a first event after which a send is silent."""
FIRST_EVENT_FACTOR = 4.0
"""Time without a first event after which a send is silent, in multiples of the expected time."""
START_MARGIN_SECONDS = 0.3 + LATE_ANSWER_SECONDS
"""Time before the start deadline at which a send is cancelled: the cancellation may cross a slow
link, and the head of the answer is awaited a little longer."""
LARGEST_EVENT_BYTES = 1024 * 1024
"""Size over which an unfinished event fails the attempt."""


class CallerGoneError(Exception):
    """Raised when the caller closes its connection during its stream."""


class StreamCutError(Exception):
    """Raised when a stream cannot be completed, so the caller's connection must be aborted."""


@dataclass(slots=True)
class Delivery:
    """The part of a stream that its caller has received.

    Attributes:
      caller: Request of the caller.
      response: Response to the caller, once its headers are sent.
      position: Place that the stream has reached.
      writes: Number of writes to the caller so far, each of one or more whole events.
      held: Bytes held for the request.
      progress: Sends of the request.
      speaker: The send whose events are forwarded; None before the first one.
      is_complete: True once the end of the stream was sent.
    """

    caller: web.Request
    held: HeldBytes
    progress: Progress
    speaker: "StreamAttempt | None" = None
    response: web.StreamResponse | None = None
    position: StreamPosition = field(default_factory=StreamPosition)
    writes: int = 0
    is_complete: bool = False

    @property
    def last_event_id(self) -> str:
        """Return the id of the last event forwarded; empty if none is known."""
        return self.position.last_event_id

    async def open(self, headers: CIMultiDict[str]) -> None:
        """Send the headers of the first backend that sent an event to the caller."""
        self.progress.is_delivering = True
        self.response = web.StreamResponse(status=OK, headers=headers)
        if self.held.budget.is_limited:
            limit_send_buffers(self.caller)
        await self.response.prepare(self.caller)

    async def forward_events(self, piece: bytes, attempt: "StreamAttempt") -> bool:
        """Forward the whole events received so far; return True if there was one.

        Args:
          piece: Bytes received.
          attempt: The send that they belong to; it is not silent while the caller does not read.

        Raises:
          CallerGoneError: The caller has closed its connection.
          ClientPayloadError: An event is too long, or was forwarded before; neither is forwarded.
          RefusedError: The process has no memory for the events.
        """
        received = attempt.parser.feed(piece)
        if not received.raw and attempt.parser.unfinished_bytes > LARGEST_EVENT_BYTES:
            raise aiohttp.ClientPayloadError("an event is too long")
        position = dataclasses.replace(self.position)
        size = position.advance(received)
        has_events = any(event.end <= size for event in received.events)
        # A part that begins anew, or line ends alone, must not supersede the send that may go on.
        if has_events and not await self.take_over(attempt):
            return False
        if size and self.speaker is attempt:
            self.position = position
            self.writes += 1
            try:
                await self.write(received.raw[:size], attempt)
            except ConnectionError as error:
                raise CallerGoneError(str(error)) from error
        if size < len(received.raw):
            raise aiohttp.ClientPayloadError("the stream began anew instead of going on")
        self.hold(attempt, attempt.parser.unfinished_bytes)
        return has_events

    async def take_over(self, attempt: "StreamAttempt") -> bool:
        """Let a send go on with the stream from now on; False if another one does already."""
        if not attempt.send.claim():
            return False
        attempt.end_start_deadline()
        self.speaker = attempt
        if self.response is None:
            await self.open(attempt.headers)
        return True

    async def write(self, events: bytes, attempt: "StreamAttempt") -> None:
        """Write events to the caller, and wait until most of them are on their way.

        The time that it takes does not count as silence of the backend.
        """
        assert self.response is not None
        started, silent_at = clock.now(), attempt.send.silent_at
        attempt.send.silent_at = math.inf
        try:
            await self.write_unread(events, attempt)
        finally:
            attempt.send.silent_at = silent_at + clock.now() - started

    async def write_unread(self, events: bytes, attempt: "StreamAttempt") -> None:
        """Write events, and if the caller reads slowly, wait until it has read most of them."""
        assert self.response is not None
        unsent = buffered_bytes(self.caller) if self.held.budget.is_limited else 0
        if not self.held.budget.is_limited or unsent + len(events) <= WRITE_BUFFER_BYTES:
            await self.response.write(events)
            return
        self.hold(attempt, PAUSED_STREAM_BYTES + unsent + len(events))
        started = clock.now()
        await self.response.write(events)
        await self.caller.writer.drain()
        attempt.paused_seconds += clock.now() - started

    def hold(self, attempt: "StreamAttempt", size: int) -> None:
        """Count the bytes that are held for a send now.

        Raises:
          RefusedError: The process has no room for them.
        """
        raise_refusal(attempt.held.put(size))


def is_event_stream(headers: Mapping[str, str]) -> bool:
    """Return True if an answer is a stream of events without an encoding."""
    kind = headers.get("Content-Type", "").partition(";")[0].strip().lower()
    return kind == "text/event-stream" and not headers.get("Content-Encoding")


class StreamForwarder:
    """Runs requests whose answers are streams.

    Attributes:
      forwarder: Retry rules that streams share with other requests.
      waiting: Sends in progress; a start deadline applies to those without a first event.
    """

    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.waiting: set[StreamAttempt] = set()

    def limit_waiting(self, now: float) -> None:
        """Apply the start deadlines anew to all sends that wait for their first event."""
        for attempt in self.waiting:
            attempt.limit_start(now)

    async def run(self, request: Request, caller: web.Request) -> web.StreamResponse | WholeAnswer:
        """Run a request and forward its stream to the caller.

        Returns:
          The response that was sent, or a complete answer that is not a stream.

        Raises:
          RefusedError: No backend answered, and nothing was sent to the caller.
          StreamCutError: Part of the stream was sent, and it could not be completed.
        """
        forwarder = self.forwarder
        progress = Progress()
        delivery = Delivery(caller, request.held, progress)
        attempts = Attempts[web.StreamResponse](
            forwarder,
            request,
            progress,
            lambda send: self.attempt(request, progress, send, delivery),
        )
        forwarder.budget.record_request(request.service, clock.now())
        try:
            async with asyncio.timeout(request.deadline - clock.now()):
                result = await attempts.run()
        except TimeoutError:
            if delivery.response is not None:
                raise self.cut(request, delivery, "the deadline has passed") from None
            return forwarder.finish_timed_out(request, progress)
        except RefusedError as error:
            if delivery.response is not None:
                if error.refusal.reason == MEMORY_REASON:
                    forwarder.log.refused(request, error.refusal, None)
                raise self.cut(request, delivery, error.refusal.message) from None
            raise
        except (asyncio.CancelledError, CallerGoneError):
            if not delivery.is_complete:
                forwarder.log.cancelled(request)
            raise
        if isinstance(result, WholeAnswer) and delivery.response is not None:
            raise self.cut(request, delivery, f"a backend answered with status {result.status}")
        return result

    def cut(self, request: Request, delivery: Delivery, reason: str) -> StreamCutError:
        """Log that a stream cannot be completed, and return the error that says so."""
        retries_left = self.forwarder.budget.remaining(request.service, clock.now())
        self.forwarder.log.cut(request, delivery.writes, retries_left, reason)
        return StreamCutError(reason)

    async def attempt(
        self, request: Request, progress: Progress, send: Send, delivery: Delivery
    ) -> web.StreamResponse | WholeAnswer | FailedAttempt:
        """Send a request once and forward the events of the answer."""
        forwarder, view = self.forwarder, send.choice.view
        send.end_reservation()
        attempt = StreamAttempt(forwarder, send, request, is_resumed=delivery.writes > 0)
        values = forwarder.backend_headers_for(request, send.choice, send.sent_at)
        if delivery.writes:
            forwarder.log.resumed(request, delivery.last_event_id, view)
        if delivery.last_event_id:
            values = resumed_after(values, delivery.last_event_id)
        forwarder.log_sent(request, send, progress)
        send.silent_at = send.sent_at + first_event_seconds(send.choice)
        try:
            async with contextlib.AsyncExitStack() as stack:
                stack.enter_context(forwarder.crashes.counted_run(*request.crash_keys))
                stack.enter_context(counted_tokens(view, request))
                attempt.limit = await stack.enter_async_context(asyncio.timeout(None))
                attempt.limit_start(send.sent_at)
                self.waiting.add(attempt)
                result = await stack.enter_async_context(
                    send_request(forwarder.session, request, view, values, forwarder.record_notice)
                )
                if not isinstance(result, Success):
                    return result.failure()
                answer = result.unwrap()
                if answer.status != OK:
                    return await self.handle_non_stream(request, progress, send, answer)
                return await self.forward_stream(request, progress, answer, delivery, attempt)
        except TimeoutError:
            message = "the weights of the backend are too old to start"
            return FailedAttempt(FailureKind.SILENT, True, message)
        finally:
            self.waiting.discard(attempt)
            attempt.end()

    async def forward_stream(
        self,
        request: Request,
        progress: Progress,
        answer: aiohttp.ClientResponse,
        delivery: Delivery,
        attempt: "StreamAttempt",
    ) -> web.StreamResponse | FailedAttempt:
        """Forward the events of an answer to the caller until the answer ends."""
        send = attempt.send
        send.answer_began_at = clock.now()
        attempt.headers = headers_for_caller(answer.headers)
        if delivery.response is not None and not is_event_stream(answer.headers):
            return FailedAttempt(FailureKind.INVALID, True, "the resumed answer is no event stream")
        try:
            async for piece in answer.content.iter_any():
                if await delivery.forward_events(piece, attempt):
                    progress.is_resumable = delivery.position.is_resumable
                    attempt.on_event(weights_version(answer.headers))
                    self.clear_parts(request, send)
        except (aiohttp.ClientError, OSError) as error:
            return attempt.broken(f"{type(error).__name__} {error}")
        if was_reset(answer) or attempt.parser.unfinished_bytes:
            return attempt.broken("the stream was cut off")
        if not await delivery.take_over(attempt):
            return FailedAttempt(FailureKind.SILENT, True, "another backend goes on")
        assert delivery.response is not None
        send.silent_at = math.inf
        try:
            await delivery.response.write_eof()
            delivery.is_complete = True
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error
        send.choice.view.record_success(clock.now())
        self.forwarder.record_answered(request, send, clock.now())
        self.forwarder.log.answered(request, OK, progress.sends, attempt.first_seconds)
        return delivery.response

    def clear_parts(self, request: Request, send: Send) -> None:
        """Clear the parts of a prompt once the answer has gone on for some time."""
        now = clock.now()
        if send.has_outlived_start(now):
            self.forwarder.crashes.record_parts_answered(
                request.part_keys, send.answer_began_at, now
            )

    async def handle_non_stream(
        self,
        request: Request,
        progress: Progress,
        send: Send,
        answer: aiohttp.ClientResponse,
    ) -> WholeAnswer | FailedAttempt:
        """Return an answer that is not a stream; a server error may be retried instead."""
        read = await read_answer(answer, request.held)
        handled = read.bind(
            lambda whole: self.forwarder.handle_answer(request, progress, send, whole)
        )
        return handled.unwrap() if isinstance(handled, Success) else handled.failure()


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
        is_late = forwarder.placer.is_late(request, started_at)
        self.level = queue_level(request.level, is_late)
        choice.view.record_started(self.tokens, self.level)
        if not is_late:
            choice.view.record_awaited(id(self), self.level, started_at)
        forwarder.load_changed()

    def limit_start(self, now: float) -> None:
        """Cancel the send before its start deadline, if that has become earlier.

        Args:
          now: Present time, monotonic, in seconds.
        """
        deadline = self.forwarder.placer.start_deadline(self.choice.view, self.request)
        if self.has_begun or self.limit is None or deadline == math.inf:
            return
        cancel_at = loop_time() + max(0.0, deadline - START_MARGIN_SECONDS - now)
        when = self.limit.when()
        if when is None or cancel_at < when:
            self.limit.reschedule(cancel_at)

    def end_start_deadline(self) -> None:
        """Let it go on, however old its weights become: it has begun."""
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


def resumed_after(values: BackendHeaders, last_event_id: str) -> BackendHeaders:
    """Return the header values of a send that resumes a stream after an event."""
    return dataclasses.replace(values, last_event_id=last_event_id)


def loop_time() -> float:
    """Return the time of the running event loop, by which its timeouts are set."""
    return asyncio.get_running_loop().time()
