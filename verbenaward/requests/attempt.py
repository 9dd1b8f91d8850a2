"""One attempt to run a request on one endpoint."""

import asyncio
from collections.abc import Mapping

import aiohttp
from blake3 import blake3
from multidict import CIMultiDictProxy
from returns.result import Failure, Result, Success

from .. import clock
from ..bounded_reading import LARGEST_ANSWER_BYTES, read_at_most
from ..data import Refusal, Verdict
from . import headers
from .decoding import encoding_of
from .endpoints import EndpointView
from .records import Answer, AttemptFailure, Request, parse_load
from .refusals import may_have_run, not_run

CONNECT_TIMEOUT_SECONDS = 1.0
RESPONSE_GRACE_SECONDS = 0.25
"""Time after the deadline for which the endpoint's own refusal can still arrive."""
MILLISECONDS_PER_SECOND = 1000
BACKEND_CRASHED = "backend-crashed"
"""Reason of a refusal whose backend crashed while it ran the request."""


def attempt_headers(
    request: Request,
    view: EndpointView,
    alone: bool,
    no_wait: bool,
    resume_tokens: int,
    now: float,
) -> dict[str, str]:
    """Return the headers of the HTTP request to an endpoint process.

    Args:
      request: The request.
      view: The endpoint.
      alone: True if the request must run alone.
      no_wait: True if the endpoint is to refuse the request if no slot is free.
      resume_tokens: Number of tokens that the caller already has; 0 for a new stream.
      now: Current time, monotonic, in seconds.
    """
    values = {
        headers.REQUEST_ID: request.request_id,
        headers.WORKSPACE: request.workspace,
        headers.CLASS: request.request_class,
        headers.METHOD: request.method,
        headers.PATH: request.path,
        headers.TARGET_VM: view.member.vm,
        headers.DEADLINE_MS: str(int((request.deadline - now) * MILLISECONDS_PER_SECOND)),
        headers.PRIORITY: str(request.priority),
        "Content-Type": request.content_type,
    }
    if request.content_encoding:
        values["Content-Encoding"] = request.content_encoding
    if request.is_model:
        values[headers.RELEASE] = view.active_release()
    if not request.idempotent:
        values[headers.NON_IDEMPOTENT] = "1"
        values[headers.IDEMPOTENCY_KEY] = request.idempotency_key
    if no_wait:
        values[headers.NO_WAIT] = "1"
    if alone:
        values[headers.ALONE] = "1"
    if request.stream:
        values[headers.STREAM] = "1"
    if resume_tokens:
        values[headers.RESUME_TOKENS] = str(resume_tokens)
    return values


async def run_attempt(
    session: aiohttp.ClientSession,
    request: Request,
    view: EndpointView,
    alone: bool,
    no_wait: bool,
) -> Result[Answer, AttemptFailure]:
    """Send a request to an endpoint and wait for the complete answer.

    Args:
      session: HTTP client.
      request: The request.
      view: The endpoint.
      alone: True if the request must run alone.
      no_wait: True if the endpoint is to refuse the request if no slot is free.

    Returns:
      The answer, or the failure, which says whether the request may have run.
    """
    now = clock.now()
    timeout = aiohttp.ClientTimeout(
        total=max(0.0, request.deadline - now) + RESPONSE_GRACE_SECONDS,
        sock_connect=CONNECT_TIMEOUT_SECONDS,
    )
    try:
        async with session.post(
            run_url(view),
            data=request.body,
            headers=attempt_headers(request, view, alone, no_wait, 0, now),
            timeout=timeout,
        ) as response:
            body = await read_at_most(response, LARGEST_ANSWER_BYTES)
            return parse_answer(request, view, response.status, response.headers, body)
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return Failure(failure_of_exception(view, error))


def run_url(view: EndpointView) -> str:
    """Return the URL to which requests for an endpoint are posted."""
    return f"http://{view.member.address}/run"


def failure_of_exception(view: EndpointView, error: Exception) -> AttemptFailure:
    """Convert an exception of the HTTP client.

    Without a connection the request did not run; after any other error it may have run.
    """
    text = f"{type(error).__name__} {error}"[:200]
    vm = view.member.vm
    if isinstance(error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)):
        return AttemptFailure(not_run(503, "unreachable", text, 1.0), vm)
    timed_out = isinstance(error, asyncio.TimeoutError)
    reason = "timeout" if timed_out else "connection-lost"
    return AttemptFailure(may_have_run(reason, text), vm, crashed=not timed_out)


def parse_answer(
    request: Request,
    view: EndpointView,
    status: int,
    values: CIMultiDictProxy[str],
    body: bytes,
) -> Result[Answer, AttemptFailure]:
    """Return the answer of an endpoint, or the failure if it refused or sent another answer."""
    vm = view.member.vm
    if not matches_request(request, values, body):
        message = "the answer belongs to another request or is corrupt"
        return Failure(AttemptFailure(may_have_run("crossed-answer", message), vm))
    load = parse_load(values.get(headers.LOAD, ""))
    view.record_answer(load, clock.now())
    verdict = verdict_of(values)
    release = values.get(headers.RELEASE, "")
    if verdict is Verdict.RAN:
        content_type = values.get("Content-Type", "application/octet-stream")
        encoding = encoding_of(values)
        return Success(Answer(status, content_type, body, vm, release, load, encoding))
    refusal = refusal_of(verdict, status, values)
    crashed = refusal.reason == BACKEND_CRASHED
    return Failure(AttemptFailure(refusal, vm, crashed, release))


def matches_request(request: Request, values: Mapping[str, str], body: bytes) -> bool:
    """Return True if an answer has the id of the request and a correct digest, if any."""
    if values.get(headers.REQUEST_ID) != request.request_id:
        return False
    digest = values.get(headers.BODY_DIGEST)
    return digest is None or digest == body_digest(body)


def body_digest(body: bytes) -> str:
    """Return the BLAKE3 digest of a body, in hexadecimal."""
    return blake3(body).hexdigest(length=16)


def verdict_of(values: Mapping[str, str]) -> Verdict:
    """Return the verdict of an answer; MAY_HAVE_RUN if it has no valid one."""
    try:
        return Verdict(values.get(headers.VERDICT, ""))
    except ValueError:
        return Verdict.MAY_HAVE_RUN


def refusal_of(verdict: Verdict, status: int, values: Mapping[str, str]) -> Refusal:
    """Return the refusal described by the headers of an answer."""
    try:
        retry_after_seconds = float(values.get(headers.RETRY_AFTER, "0"))
    except ValueError:
        retry_after_seconds = 0.0
    reason = values.get(headers.REASON, "unknown")
    holder = values.get(headers.HOLDER, "")
    message = f"the endpoint answered: {reason}"
    return Refusal(verdict, status, reason, message, retry_after_seconds, holder)
