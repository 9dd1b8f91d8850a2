"""Relays streamed answers to callers and resumes broken ones elsewhere."""

import asyncio
import time
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web
from returns.result import Failure, Result, Success

from .. import metrics
from ..data import Refusal, Verdict
from . import headers
from .attempt import (
    BACKEND_CRASHED,
    CONNECT_SECONDS,
    GRACE_SECONDS,
    attempt_headers,
    broken_attempt,
    refusal_of,
    run_url,
    verdict_of,
)
from .dispatch import Dispatcher
from .endpoints import EndpointView
from .events import CRASH_EVENT, DONE_EVENT, EVENT_END, whole_events
from .fair_queue import FairQueue
from .records import AttemptFailure, Request, parse_load
from .refusals import may_have_run, not_run, response_of
from .retries import AttemptHistory, NextStep, next_step

STREAMING = web.RequestKey("streaming", bool)
"""Set on the HTTP request of a caller once its stream is open."""


@dataclass(slots=True)
class Delivered:
    """What the caller of a stream has got so far.

    Attributes:
      response: Response to the caller, once it is open.
      tokens: Number of events with tokens.
      release: Release that generated them, in hexadecimal.
      done: True once the end of the stream was passed on.
      crashed: True where the last endpoint said that its backend crashed.
      last_at: Time of the last event, monotonic.
      labels: Workspace and class, as the metrics name them.
    """

    response: web.StreamResponse | None = None
    tokens: int = 0
    release: str = ""
    done: bool = False
    crashed: bool = False
    last_at: float = 0.0
    labels: tuple[str, str] = field(default=("", ""))


class StreamRelay:
    """Relays streams of one entry process.

    Attributes:
      dispatcher: Chooses endpoints and keeps the books.
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
          The response. A stream that cannot be finished is cut off, so that the caller
          does not take it for whole.
        """
        history = AttemptHistory()
        workspace = metrics.WORKSPACES.bounded(request.workspace)
        delivered = Delivered(labels=(workspace, request.request_class))
        self.dispatcher.budget.earn()
        while True:
            result = await self.one_attempt(request, caller, history, delivered, queue)
            if isinstance(result, Success):
                queue.limit.record_success(queue.running)
                response: web.StreamResponse = result.unwrap()
                return response
            failure = result.failure()
            history.note(failure)
            if delivered.tokens:
                history.may_have_run = True
            step = next_step(request, history, self.dispatcher.budget, time.monotonic())
            if step is NextStep.GIVE_UP:
                return self.give_up(request, caller, history.final(failure.refusal), delivered)
            if step is NextStep.PAUSE:
                await asyncio.sleep(history.pause_seconds())
                history.pauses += 1

    async def one_attempt(
        self,
        request: Request,
        caller: web.Request,
        history: AttemptHistory,
        delivered: Delivered,
        queue: FairQueue,
    ) -> Result[web.StreamResponse, AttemptFailure]:
        """Choose an endpoint and relay from it."""
        chosen = await self.dispatcher.choose_or_wait(request, history)
        if not isinstance(chosen, Success):
            return Failure(AttemptFailure(chosen.failure(), ""))
        view = chosen.unwrap()
        if delivered.tokens and view.active_release() != delivered.release:
            refusal = not_run(503, "other-release", "no endpoint serves the release any more")
            return Failure(AttemptFailure(refusal, view.member.vm))
        alone = self.dispatcher.is_suspect(request)
        view.outstanding += 1
        try:
            result = await self.relay(request, caller, view, alone, history, delivered)
        finally:
            view.outstanding -= 1
        outcome = "answered" if isinstance(result, Success) else result.failure().refusal.reason
        metrics.ATTEMPTS.labels(outcome).inc()
        await self.dispatcher.settle(request, view, alone, result)
        if not isinstance(result, Success):
            self.dispatcher.learn(request, view, result.failure(), queue)
        return result

    async def relay(
        self,
        request: Request,
        caller: web.Request,
        view: EndpointView,
        alone: bool,
        history: AttemptHistory,
        delivered: Delivered,
    ) -> Result[web.StreamResponse, AttemptFailure]:
        """Relay the stream of one endpoint."""
        delivered.crashed = False
        now = time.monotonic()
        timeout = aiohttp.ClientTimeout(
            total=max(0.0, request.deadline - now) + GRACE_SECONDS, sock_connect=CONNECT_SECONDS
        )
        no_wait = self.dispatcher.may_refuse_to_wait(request, history)
        values = attempt_headers(request, view, alone, no_wait, delivered.tokens, now)
        try:
            async with self.dispatcher.session.post(
                run_url(view), data=request.body, headers=values, timeout=timeout
            ) as answer:
                failure = failure_of(request, view, answer)
                if failure is not None:
                    return Failure(failure)
                delivered.release = answer.headers.get(headers.RELEASE, "")
                await self.pass_events(request, caller, answer, delivered)
        except CallerGoneError:
            raise
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            if not delivered.crashed:
                return Failure(broken_attempt(view, error))
        if not delivered.done or delivered.response is None:
            reason = BACKEND_CRASHED if delivered.crashed else "connection-lost"
            refusal = may_have_run(reason, "the stream ended early")
            return Failure(AttemptFailure(refusal, view.member.vm, crashed=True))
        return Success(delivered.response)

    async def pass_events(
        self,
        request: Request,
        caller: web.Request,
        answer: aiohttp.ClientResponse,
        delivered: Delivered,
    ) -> None:
        """Pass whole events on to the caller until the stream ends."""
        response = await self.open_response(request, caller, answer, delivered)
        async for events in whole_events(answer.content):
            if events.endswith(CRASH_EVENT):
                delivered.crashed = True
                events = events.removesuffix(CRASH_EVENT)
            self.observe(request, events, delivered)
            await write_to_caller(response, events)
            if DONE_EVENT in events:
                delivered.done = True
        if delivered.done:
            await write_to_caller(response, b"")
            await response.write_eof()

    async def open_response(
        self,
        request: Request,
        caller: web.Request,
        answer: aiohttp.ClientResponse,
        delivered: Delivered,
    ) -> web.StreamResponse:
        """Return the response to the caller, opened with the first answer."""
        if delivered.response is None:
            values = {
                headers.REQUEST_ID: request.request_id,
                headers.VERDICT: Verdict.RAN.value,
                "Content-Type": answer.headers.get("Content-Type", "text/event-stream"),
            }
            response = web.StreamResponse(status=answer.status, headers=values)
            caller[STREAMING] = True
            await response.prepare(caller)
            delivered.response = response
        return delivered.response

    def observe(self, request: Request, events: bytes, delivered: Delivered) -> None:
        """Count tokens and measure the time between them."""
        now = time.monotonic()
        count = events.count(EVENT_END) - events.count(DONE_EVENT)
        if delivered.tokens == 0:
            waited = now - request.received_at
            metrics.FIRST_TOKEN_SECONDS.labels(*delivered.labels).observe(waited)
        elif count:
            gap = (now - delivered.last_at) / count
            metrics.BETWEEN_TOKENS_SECONDS.labels(*delivered.labels).observe(gap)
        delivered.tokens += count
        delivered.last_at = now

    def give_up(
        self, request: Request, caller: web.Request, refusal: Refusal, delivered: Delivered
    ) -> web.StreamResponse:
        """End a stream that cannot be finished."""
        if delivered.response is None:
            return response_of(refusal, request.request_id)
        if caller.transport is not None:
            caller.transport.abort()
        return delivered.response


class CallerGoneError(ConnectionError):
    """The caller has closed its connection."""


async def write_to_caller(response: web.StreamResponse, events: bytes) -> None:
    """Write to the caller.

    Raises:
      CallerGoneError: The caller has closed its connection.
    """
    try:
        await response.write(events)
    except (ConnectionError, aiohttp.ClientError) as error:
        raise CallerGoneError(str(error)) from error


def failure_of(
    request: Request, view: EndpointView, answer: aiohttp.ClientResponse
) -> AttemptFailure | None:
    """Return why the answer of an endpoint is not a stream for this request, or None."""
    vm = view.member.vm
    if answer.headers.get(headers.REQUEST_ID) != request.request_id:
        refusal = may_have_run("crossed-answer", "the answer belongs to another request")
        return AttemptFailure(refusal, vm)
    view.note_answer(parse_load(answer.headers.get(headers.LOAD, "")), time.monotonic())
    verdict = verdict_of(answer.headers)
    if verdict is Verdict.RAN:
        return None
    refusal = refusal_of(verdict, answer.status, answer.headers)
    crashed = refusal.reason == BACKEND_CRASHED
    return AttemptFailure(refusal, vm, crashed, answer.headers.get(headers.RELEASE, ""))
