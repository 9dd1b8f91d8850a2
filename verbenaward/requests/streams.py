"""Relays streamed answers to callers and resumes broken streams on other endpoints."""

import asyncio
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web
from returns.result import Failure, Result, Success

from .. import clock, metrics
from ..data import Refusal, Verdict
from ..sockets import abort_connection
from . import headers
from .attempt import (
    BACKEND_CRASHED,
    CONNECT_TIMEOUT_SECONDS,
    RESPONSE_GRACE_SECONDS,
    attempt_headers,
    failure_of_exception,
    refusal_of,
    run_url,
    verdict_of,
)
from .dispatch import Dispatcher
from .endpoints import EndpointView
from .event_stream import EventStreamParser, Received
from .events import CRASH_EVENT, ends_with_crash, is_done, received_events
from .fair_queue import FairQueue
from .records import AttemptFailure, Request, parse_load
from .refusals import may_have_run, not_run, response_of
from .retries import AttemptHistory, NextStep, next_step

STREAMING = web.RequestKey("streaming", bool)
"""Set on the HTTP request of a caller once the headers of its stream are sent."""


@dataclass(slots=True)
class StreamProgress:
    """Progress of one stream to its caller, over all attempts.

    Attributes:
      response: Response to the caller; None until its headers are sent.
      tokens: Number of token events forwarded.
      release: Release that generated them, in hexadecimal.
      has_begun: True once a part of the stream was forwarded.
      done: True once the end of the stream was forwarded.
      crashed: True if the last endpoint reported that its backend crashed.
      last_event_at: Time of the last event, monotonic.
      labels: Workspace and request class, as metric labels.
    """

    response: web.StreamResponse | None = None
    tokens: int = 0
    release: str = ""
    has_begun: bool = False
    done: bool = False
    crashed: bool = False
    last_event_at: float = 0.0
    labels: tuple[str, str] = field(default=("", ""))


class StreamRelay:
    """Relays the streams of one entry process.

    Attributes:
      dispatcher: Chooses endpoints and records the outcomes of attempts.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher

    async def run(
        self, request: Request, caller: web.Request, queue: FairQueue
    ) -> web.StreamResponse:
        """Relay one stream, with retries.

        Args:
          request: The request.
          caller: HTTP request of the caller.
          queue: Queue of its role.

        Returns:
          The response. The connection of a stream that cannot be finished is aborted, so that
          the caller does not mistake it for a complete one.
        """
        history = AttemptHistory()
        workspace = metrics.WORKSPACES.bounded(request.workspace)
        progress = StreamProgress(labels=(workspace, request.request_class))
        self.dispatcher.budget.earn()
        try:
            return await self.run_attempts(request, caller, history, progress, queue)
        finally:
            history.give_back()

    async def run_attempts(
        self,
        request: Request,
        caller: web.Request,
        history: AttemptHistory,
        progress: StreamProgress,
        queue: FairQueue,
    ) -> web.StreamResponse:
        """Make attempts until the stream is complete or none may follow."""
        while True:
            result = await self.attempt(request, caller, history, progress, queue)
            if isinstance(result, Success):
                queue.limit.record_success(queue.running)
                response: web.StreamResponse = result.unwrap()
                return response
            failure = result.failure()
            history.record_failure(failure)
            if progress.tokens:
                history.may_have_run = True
            step = next_step(request, history, self.dispatcher.budget, clock.now())
            if step is NextStep.GIVE_UP:
                return self.end_stream(
                    request, caller, history.final_refusal(failure.refusal), progress
                )
            if step is NextStep.PAUSE:
                await asyncio.sleep(history.pause_seconds())
                history.pauses += 1

    async def attempt(
        self,
        request: Request,
        caller: web.Request,
        history: AttemptHistory,
        progress: StreamProgress,
        queue: FairQueue,
    ) -> Result[web.StreamResponse, AttemptFailure]:
        """Choose an endpoint, relay its stream, and record the outcome."""
        chosen = await self.dispatcher.wait_for_endpoint(request, history)
        if not isinstance(chosen, Success):
            return Failure(AttemptFailure(chosen.failure(), ""))
        view = chosen.unwrap()
        if progress.tokens and view.active_release() != progress.release:
            refusal = not_run(
                503, "other-release", "no endpoint serves the release of the stream any more"
            )
            return Failure(AttemptFailure(refusal, view.member.vm))
        alone = self.dispatcher.is_quarantined(request)
        view.outstanding += 1
        try:
            result = await self.relay(request, caller, view, alone, history, progress)
        finally:
            view.outstanding -= 1
        outcome = "answered" if isinstance(result, Success) else result.failure().refusal.reason
        metrics.ATTEMPTS.labels(outcome).inc()
        await self.dispatcher.report_crash_or_clearance(request, view, alone, result)
        if not isinstance(result, Success):
            self.dispatcher.apply_failure(request, view, result.failure(), queue)
        return result

    async def relay(
        self,
        request: Request,
        caller: web.Request,
        view: EndpointView,
        alone: bool,
        history: AttemptHistory,
        progress: StreamProgress,
    ) -> Result[web.StreamResponse, AttemptFailure]:
        """Relay the stream of one endpoint from the first event that the caller lacks."""
        progress.crashed = False
        now = clock.now()
        timeout = aiohttp.ClientTimeout(
            total=max(0.0, request.deadline - now) + RESPONSE_GRACE_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )
        no_wait = self.dispatcher.take_no_wait(request, history)
        values = attempt_headers(request, view, alone, no_wait, progress.tokens, now)
        try:
            async with self.dispatcher.session.post(
                run_url(view), data=request.body, headers=values, timeout=timeout
            ) as answer:
                failure = failure_of(request, view, answer)
                if failure is not None:
                    return Failure(failure)
                # The endpoint has admitted the stream, which may last long.
                history.give_back()
                progress.release = answer.headers.get(headers.RELEASE, "")
                await self.forward_events(request, caller, answer, progress)
        except CallerGoneError:
            raise
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            if not progress.crashed:
                return Failure(failure_of_exception(view, error))
        if not progress.done or progress.response is None:
            reason = BACKEND_CRASHED if progress.crashed else "connection-lost"
            refusal = may_have_run(reason, "the stream ended early")
            return Failure(AttemptFailure(refusal, view.member.vm, crashed=True))
        return Success(progress.response)

    async def forward_events(
        self,
        request: Request,
        caller: web.Request,
        answer: aiohttp.ClientResponse,
        progress: StreamProgress,
    ) -> None:
        """Forward complete events to the caller until the stream ends."""
        response = await self.opened_response(request, caller, answer, progress)
        # A byte order mark may only stand at the start of the stream that the caller gets.
        parser = EventStreamParser(drops_mark=progress.has_begun)
        async for received in received_events(answer.content, parser):
            raw = received.raw
            if ends_with_crash(received):
                progress.crashed = True
                raw = raw.removesuffix(CRASH_EVENT)
            self.record_timing(request, received, progress)
            progress.has_begun = progress.has_begun or bool(raw)
            await write_to_caller(response, raw)
            if any(is_done(event) for event in received.events):
                progress.done = True
        if progress.done:
            await write_to_caller(response, b"")
            await response.write_eof()

    async def opened_response(
        self,
        request: Request,
        caller: web.Request,
        answer: aiohttp.ClientResponse,
        progress: StreamProgress,
    ) -> web.StreamResponse:
        """Return the response to the caller; the first attempt that streams sends its headers."""
        if progress.response is None:
            values = {
                headers.REQUEST_ID: request.request_id,
                headers.VERDICT: Verdict.RAN.value,
                "Content-Type": answer.headers.get("Content-Type", "text/event-stream"),
            }
            response = web.StreamResponse(status=answer.status, headers=values)
            caller[STREAMING] = True
            await response.prepare(caller)
            progress.response = response
        return progress.response

    def record_timing(self, request: Request, received: Received, progress: StreamProgress) -> None:
        """Count token events and observe the first-token and between-token times."""
        now = clock.now()
        count = sum(event.data is not None and not is_done(event) for event in received.events)
        if not count:
            return
        if progress.tokens == 0:
            waited = now - request.received_at
            metrics.FIRST_TOKEN_SECONDS.labels(*progress.labels).observe(waited)
        else:
            gap = (now - progress.last_event_at) / count
            metrics.BETWEEN_TOKENS_SECONDS.labels(*progress.labels).observe(gap)
        progress.tokens += count
        progress.last_event_at = now

    def end_stream(
        self, request: Request, caller: web.Request, refusal: Refusal, progress: StreamProgress
    ) -> web.StreamResponse:
        """Refuse a stream that has not started, or abort the connection of one that has."""
        if progress.response is None:
            return response_of(refusal, request.request_id)
        abort_connection(caller)
        return progress.response


class CallerGoneError(ConnectionError):
    """The caller closed its connection."""


async def write_to_caller(response: web.StreamResponse, events: bytes) -> None:
    """Write events to the caller.

    Raises:
      CallerGoneError: The caller closed its connection.
    """
    try:
        await response.write(events)
    except (ConnectionError, aiohttp.ClientError) as error:
        raise CallerGoneError(str(error)) from error


def failure_of(
    request: Request, view: EndpointView, answer: aiohttp.ClientResponse
) -> AttemptFailure | None:
    """Return the failure of an answer that is no stream for this request, else None."""
    vm = view.member.vm
    if answer.headers.get(headers.REQUEST_ID) != request.request_id:
        refusal = may_have_run("crossed-answer", "the answer belongs to another request")
        return AttemptFailure(refusal, vm)
    view.record_answer(parse_load(answer.headers.get(headers.LOAD, "")), clock.now())
    verdict = verdict_of(answer.headers)
    if verdict is Verdict.RAN:
        return None
    refusal = refusal_of(verdict, answer.status, answer.headers)
    crashed = refusal.reason == BACKEND_CRASHED
    return AttemptFailure(refusal, vm, crashed, answer.headers.get(headers.RELEASE, ""))
