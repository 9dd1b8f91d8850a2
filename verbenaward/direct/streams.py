"""Forwards event streams, and resumes a broken stream at another backend.

A stream resumes after the last event that its caller has received, by `Last-Event-Id`.
"""

import asyncio
import contextlib
import dataclasses
import math
from collections.abc import Mapping

import aiohttp
from aiohttp import web
from returns.result import Success

from .. import clock
from ..draining import record_end
from ..placement.engine_memory import counted_tokens
from ..placement.memory_budget import MEMORY_REASON
from ..placement.request_types import (
    FailedAttempt,
    FailureKind,
    RefusedError,
    Request,
    WholeAnswer,
)
from ..platform.request_headers import BackendHeaders, headers_for_caller, weights_version
from .attempts import Attempts
from .delivery import OK, CallerGoneError, Delivery
from .forwarding import Forwarder
from .sending import read_answer, send_request
from .sends import Progress, Send
from .stream_attempt import StreamAttempt, first_event_seconds
from .unread_sends import RequestCharges


class StreamCutError(Exception):
    """Raised when a stream cannot be completed, so the caller's connection must be aborted."""


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
        progress = Progress(charges=RequestCharges(request.service))
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
        attempt: StreamAttempt,
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
        if attempt.parser.unfinished_bytes:
            return attempt.broken("the stream was cut off")
        if not await delivery.take_over(attempt):
            return FailedAttempt(FailureKind.SILENT, True, "another backend continues the stream")
        assert delivery.response is not None
        send.silent_at = math.inf
        try:
            await delivery.response.write_eof()
            record_end(caller=delivery.caller)
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


def resumed_after(values: BackendHeaders, last_event_id: str) -> BackendHeaders:
    """Return the header values of a send that resumes a stream after an event."""
    return dataclasses.replace(values, last_event_id=last_event_id)
