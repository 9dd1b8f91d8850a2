"""The graceful stop of an entry process: which requests it still accepts, and its steps."""

import asyncio
import dataclasses

from aiohttp import web

from .. import clock
from ..draining import DrainingRequests
from ..placement.admission import expected_answer_tokens
from ..placement.backends import residence_seconds
from ..placement.request_types import RefusedError, Request

READ_SECONDS = 0.1
"""Time without a new request after which all that came before it has been read."""
READ_LIMIT_SECONDS = 1.0
"""Longest time for which a process that stops waits for that, beside callers that go on sending."""
RETRY_AFTER_SECONDS = 0.01
"""Retry delay of a refusal while the process stops; another one may serve the request at once."""


def usual_seconds(request: Request) -> float:
    """Return the time that a request usually takes; for a stream, at an engine without free slots.

    Args:
      request: The request.
    """
    target, engine = request.route.target_seconds, request.engine
    if engine is None:
        return target
    return target + residence_seconds(engine, engine.slots, expected_answer_tokens(request))


def check_accepted(drain: DrainingRequests, now: float, needed_seconds: float = 0.0) -> None:
    """Refuse a request that the stop of this process leaves no time for.

    Raises:
      RefusedError: The process does not accept it any more.
    """
    refusal = drain.refusal(now, needed_seconds, RETRY_AFTER_SECONDS)
    if refusal is not None:
        raise RefusedError(refusal)


def limited(drain: DrainingRequests, request: Request, now: float) -> Request:
    """Return a request with a deadline that it can keep, also if this process stops.

    Raises:
      RefusedError: The stop leaves no time for it.
    """
    if drain.times is None:
        return request
    check_accepted(drain, now, min(usual_seconds(request), request.deadline - now))
    return dataclasses.replace(request, deadline=drain.deadline(request.deadline))


async def read_what_came(runner: web.AppRunner, answers_at: float) -> None:
    """Let requests that have come be read, and refused, before their connections are closed.

    After a suspension, or with too little processor time, the timer that ends the acceptance fires
    before the connections in the listener's queue are accepted and read.

    Args:
      runner: Server for callers.
      answers_at: When all that is left is answered, monotonic, in seconds.
    """
    assert runner.server is not None
    last = clock.now() + READ_LIMIT_SECONDS
    while (began := clock.now()) < answers_at:
        seen = runner.server.requests_count
        await asyncio.sleep(READ_SECONDS)
        now = clock.now()
        if now - began > 2 * READ_SECONDS:
            # This process had no processor time, so it has read nothing meanwhile.
            last = now + READ_LIMIT_SECONDS
        elif runner.server.requests_count == seen or now >= last:
            return


async def drain_front(runner: web.AppRunner, drain: DrainingRequests) -> None:
    """Serve on for a limited time, close the listener and wait for the last answers.

    Args:
      runner: Server for callers.
      drain: Requests in progress; the stop has begun.
    """
    assert drain.times is not None
    await asyncio.sleep(max(0.0, drain.times.closes_at - clock.now()))
    await read_what_came(runner, drain.times.answers_at)
    for site in list(runner.sites):
        await site.stop()
    await drain.wait_until_answered(runner)
