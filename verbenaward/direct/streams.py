"""Passes streams of events on, and has broken ones go on at another backend."""

import asyncio
import contextlib
import dataclasses
import math
import time
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Success

from .. import metrics
from ..platform.request_headers import SendOrder, headers_for_caller
from ..requests.events import EVENT_END
from .forwarding import RESERVE_SECONDS, Forwarder, Progress
from .placing import Choice
from .records import (
    FailedAttempt,
    Failure,
    RefusedError,
    Request,
    WholeAnswer,
    labels_of,
)
from .sending import opened, read_whole, was_reset

ID_FIELD = b"id:"
OK = 200
STALL_SECONDS = 1.2
"""Silence after which a stream that may be resumed goes on elsewhere."""
FIRST_EVENT_SECONDS = 1.5
FIRST_EVENT_FACTOR = 4.0
BEGIN_MARGIN_SECONDS = 0.3
"""Time before its weights are too old at which a backend is told that nobody waits: the word
may cross a slow link."""
LARGEST_EVENT_BYTES = 1024 * 1024


class CallerGoneError(Exception):
    """The caller has left in the middle of its stream."""


class BrokenOffError(Exception):
    """A stream ends before its last event; the caller's connection is cut."""


@dataclass(slots=True)
class Delivery:
    """What the caller of a stream has got.

    Attributes:
      caller: Request of the caller.
      response: Response to the caller, once it is open.
      last_event_id: Last event that was passed on.
      events: Events that were passed on.
    """

    caller: web.Request
    response: web.StreamResponse | None = None
    last_event_id: str = ""
    events: int = 0
    rest: bytes = field(default=b"")

    async def open(self, headers: CIMultiDict[str]) -> None:
        """Send the headers of the first backend to the caller."""
        self.response = web.StreamResponse(status=OK, headers=headers)
        await self.response.prepare(self.caller)

    async def pass_on(self, piece: bytes) -> bool:
        """Pass the whole events of a piece on; True where there was one."""
        self.rest += piece
        end = self.rest.rfind(EVENT_END)
        if end < 0:
            if len(self.rest) > LARGEST_EVENT_BYTES:
                raise aiohttp.ClientPayloadError("an event is too long")
            return False
        whole = self.rest[: end + len(EVENT_END)]
        self.rest = self.rest[end + len(EVENT_END) :]
        self.last_event_id = last_id_of(whole) or self.last_event_id
        self.events += 1
        assert self.response is not None
        try:
            await self.response.write(whole)
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error
        return True


def last_id_of(events: bytes) -> str:
    """Return the id of the last event that has one; empty for none."""
    start = events.rfind(b"\n" + ID_FIELD)
    start = start + 1 if start >= 0 else (0 if events.startswith(ID_FIELD) else -1)
    if start < 0:
        return ""
    line = events[start + len(ID_FIELD) : events.index(b"\n", start)]
    return line.strip().decode(errors="replace")


class StreamForwarder:
    """Runs requests whose answers are streams.

    Attributes:
      forwarder: Decisions that streams share with other requests.
    """

    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder

    async def run(self, request: Request, caller: web.Request) -> web.StreamResponse | WholeAnswer:
        """Pass a stream on to its caller.

        Returns:
          The response that was sent, or a whole answer that is no stream.

        Raises:
          RefusedError: Nothing was sent to the caller.
          BrokenOffError: The stream could not be ended.
        """
        forwarder = self.forwarder
        progress = Progress()
        delivery = Delivery(caller)
        forwarder.budget.note_request(request.service, time.monotonic())
        try:
            async with asyncio.timeout(request.deadline - time.monotonic()):
                return await self.attempts(request, progress, delivery)
        except TimeoutError:
            if delivery.response is not None:
                raise BrokenOffError("the time is over") from None
            return forwarder.timed_out(request, progress)
        except RefusedError as error:
            if delivery.response is not None:
                raise BrokenOffError(error.refusal.message) from None
            raise
        except asyncio.CancelledError:
            forwarder.log.cancelled(request)
            raise

    async def attempts(
        self, request: Request, progress: Progress, delivery: Delivery
    ) -> web.StreamResponse | WholeAnswer:
        """Send until the stream has ended."""
        forwarder = self.forwarder
        while True:
            try:
                choice = await forwarder.next_choice(request, progress)
            except RefusedError:
                if progress.answer is None or delivery.response is not None:
                    raise
                return progress.answer
            result = await self.attempt(request, progress, choice, delivery)
            if not isinstance(result, FailedAttempt):
                return result
            forwarder.note_failure(request, progress, choice, result)
            kept = forwarder.after_failure(request, progress, result)
            if kept is not None:
                return kept
            if delivery.events:
                forwarder.log.resumed(request, delivery.last_event_id, result.message)

    async def attempt(
        self, request: Request, progress: Progress, choice: Choice, delivery: Delivery
    ) -> web.StreamResponse | WholeAnswer | FailedAttempt:
        """Send once and pass on what comes."""
        forwarder, view = self.forwarder, choice.view
        now = time.monotonic()
        order = forwarder.order_of(request, choice, now)
        if delivery.last_event_id:
            order = order_after(order, delivery.last_event_id)
        forwarder.log.sent(request, choice, progress.sends)
        delivery.rest = b""
        reading = Reading(forwarder, choice, request, now)
        try:
            async with contextlib.AsyncExitStack() as stack:
                limit = await stack.enter_async_context(asyncio.timeout(None))
                wait = self.first_event_wait(request, progress, choice, now)
                if wait is not None:
                    limit.reschedule(now_of_loop() + wait)
                result = await stack.enter_async_context(
                    opened(forwarder.session, request, view, order)
                )
                if not isinstance(result, Success):
                    return result.failure()
                answer = result.unwrap()
                if answer.status != OK:
                    return await self.no_stream(request, progress, choice, answer)
                return await self.pass_events(request, progress, answer, delivery, reading, limit)
        except TimeoutError:
            return FailedAttempt(Failure.SILENT, True, "the backend fell silent")
        finally:
            reading.end()

    def first_event_wait(
        self, request: Request, progress: Progress, choice: Choice, now: float
    ) -> float | None:
        """Return how long the first event of a send may take; None for as long as it likes.

        Where the backend's weights are soon too old to begin on, the send is ended before: the
        backend then drops the request instead of beginning it late.
        """
        waits = []
        if self.may_go_elsewhere(request, progress):
            waits.append(max(FIRST_EVENT_SECONDS, FIRST_EVENT_FACTOR * choice.expected_seconds))
        if choice.start_deadline < math.inf:
            waits.append(max(0.0, choice.start_deadline - BEGIN_MARGIN_SECONDS - now))
        return min(waits, default=None)

    async def pass_events(
        self,
        request: Request,
        progress: Progress,
        answer: aiohttp.ClientResponse,
        delivery: Delivery,
        reading: "Reading",
        limit: asyncio.Timeout,
    ) -> web.StreamResponse | FailedAttempt:
        """Pass the events of an answer on until its end."""
        protocol = answer.connection.protocol if answer.connection else None
        if delivery.response is None:
            await delivery.open(headers_for_caller(answer.headers))
        try:
            async for piece in answer.content.iter_any():
                if await delivery.pass_on(piece):
                    reading.first_event()
                    may_go = self.may_go_elsewhere(request, progress)
                    limit.reschedule(now_of_loop() + STALL_SECONDS if may_go else None)
        except (aiohttp.ClientError, OSError) as error:
            return FailedAttempt(Failure.BROKEN, True, f"{type(error).__name__} {error}")
        if was_reset(protocol) or delivery.rest:
            return FailedAttempt(Failure.BROKEN, True, "the stream was cut off")
        assert delivery.response is not None
        limit.reschedule(None)
        try:
            await delivery.response.write_eof()
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error
        reading.choice.view.note_success()
        self.forwarder.crashes.record_success(request.fingerprint)
        self.forwarder.log.answered(request, OK, progress.sends + 1, reading.first_seconds)
        return delivery.response

    async def no_stream(
        self,
        request: Request,
        progress: Progress,
        choice: Choice,
        answer: aiohttp.ClientResponse,
    ) -> WholeAnswer | FailedAttempt:
        """Judge an answer that is no stream; a failure may be tried elsewhere."""
        whole = await read_whole(answer)
        if not isinstance(whole, Success):
            return whole.failure()
        judged = self.forwarder.judge_answer(request, progress, choice.view, whole.unwrap())
        if judged is not None:
            return judged
        progress.runs -= 1
        return FailedAttempt(Failure.NOT_RUN, True, f"status {answer.status}")

    def may_go_elsewhere(self, request: Request, progress: Progress) -> bool:
        """Return True where a silent stream may go on at another backend."""
        forwarder = self.forwarder
        now = time.monotonic()
        return (
            forwarder.may_repeat(request, progress)
            and forwarder.has_budget(request, now)
            and now + RESERVE_SECONDS < request.deadline
        )


class Reading:
    """Counts a stream at its backend, and its prompt until the first event."""

    def __init__(
        self, forwarder: Forwarder, choice: Choice, request: Request, started_at: float
    ) -> None:
        self.forwarder = forwarder
        self.choice = choice
        self.request = request
        self.first_seconds = 0.0
        self.tokens = request.parsed_headers.prompt_tokens
        self.started_at = started_at
        self.is_reading = True
        choice.view.note_started(self.tokens)
        if not forwarder.placer.is_late(request, started_at):
            choice.view.awaiting_first_event[id(self)] = started_at
        forwarder.load_changed()

    def first_event(self) -> None:
        """Note an event; the first one ends the reading of the prompt."""
        if not self.is_reading:
            return
        self.stop_reading()
        now = time.monotonic()
        took = now - self.started_at
        self.first_seconds = now - self.request.received_at
        metrics.FIRST_TOKEN_SECONDS.labels(*labels_of(self.request)).observe(self.first_seconds)
        expected = self.choice.expected_seconds / self.choice.view.slowness
        self.choice.view.note_slowness(took / max(expected, 0.02))
        self.forwarder.load_changed()

    def stop_reading(self) -> None:
        """Count the prompt no more."""
        if self.is_reading:
            self.is_reading = False
            self.choice.view.awaiting_first_event.pop(id(self), None)
            self.choice.view.note_read(self.tokens)

    def end(self) -> None:
        """Count the stream no more."""
        self.stop_reading()
        self.choice.view.note_ended()
        self.forwarder.load_changed()


def order_after(order: SendOrder, last_event_id: str) -> SendOrder:
    """Return the order of a stream that goes on after an event."""
    return dataclasses.replace(order, last_event_id=last_event_id)


def now_of_loop() -> float:
    """Return the present time of the running loop."""
    return asyncio.get_running_loop().time()
