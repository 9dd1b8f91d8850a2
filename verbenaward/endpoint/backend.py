"""Calls to the engine or plain service on this VM, with verdicts."""

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from ..data import Load, Refusal
from ..requests import headers
from ..requests.attempt import BACKEND_CRASHED
from ..requests.records import Answer
from ..requests.refusals import may_have_run, not_run

CONNECT_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0
PROBE_SECONDS = 0.5
PROBE_PATH = "/healthz"


@dataclass(frozen=True, slots=True)
class Call:
    """A call to the backend.

    Attributes:
      request_id: Name of the request; the backend repeats it in its answer.
      method: HTTP method.
      path: Path and query.
      body: Body.
      content_type: Type of the body.
      priority: Priority for the engine; higher goes first.
      idempotency_key: Key that the backend gets; empty for none.
      resume_tokens: Tokens of the answer that the caller has already.
      deadline: Time after which the answer is worthless, monotonic.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str
    priority: int
    idempotency_key: str
    resume_tokens: int
    deadline: float


class Backend:
    """Makes calls to one backend.

    Attributes:
      url: Base URL of the backend.
      session: HTTP client that keeps connections, for idempotent calls.
      once_session: HTTP client with a connection for each call, so that the library never
        sends a call twice.
    """

    def __init__(
        self, url: str, session: aiohttp.ClientSession, once_session: aiohttp.ClientSession
    ) -> None:
        self.url = url.rstrip("/")
        self.session = session
        self.once_session = once_session

    def open(self, call: Call) -> aiohttp.client._RequestContextManager:
        """Start a call and return its context manager."""
        session = self.once_session if call.idempotency_key else self.session
        seconds = max(0.0, call.deadline - time.monotonic())
        timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)
        return session.request(
            call.method,
            self.url + call.path,
            data=call_body(call),
            headers=call_headers(call),
            timeout=timeout,
        )

    async def run(self, call: Call, vm: str, release: str) -> Result[Answer, Refusal]:
        """Make a call and wait for the whole answer."""
        try:
            async with self.open(call) as response:
                body = await response.read()
                if not is_answer_to(call, response.headers):
                    message = "the backend answered another request"
                    return Failure(may_have_run("crossed-answer", message))
                content_type = response.headers.get("Content-Type", "application/octet-stream")
                return Success(Answer(response.status, content_type, body, vm, release, Load()))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return Failure(await self.explain(error))

    async def explain(self, error: Exception) -> Refusal:
        """Return what a failed call means: a crash is one after which the backend is away."""
        refusal = refusal_of(error)
        if refusal.reason == BACKEND_CRASHED and await self.is_reachable():
            return may_have_run("connection-broken", refusal.message)
        return refusal

    async def is_reachable(self) -> bool:
        """Return True where the backend answers anything at all."""
        timeout = aiohttp.ClientTimeout(total=PROBE_SECONDS)
        try:
            async with self.once_session.get(self.url + PROBE_PATH, timeout=timeout):
                return True
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return False


def call_headers(call: Call) -> dict[str, str]:
    """Return the headers of a call."""
    values = {
        headers.REQUEST_ID: call.request_id,
        headers.PRIORITY: str(call.priority),
        "Content-Type": call.content_type,
    }
    if call.idempotency_key:
        values[headers.IDEMPOTENCY_KEY] = call.idempotency_key
    return values


def call_body(call: Call) -> bytes:
    """Return the body of a call, which asks to resume where the caller has tokens already."""
    if not call.resume_tokens:
        return call.body
    document = msgspec.json.decode(call.body)
    document["resume_tokens"] = call.resume_tokens
    return msgspec.json.encode(document)


def is_answer_to(call: Call, values: Mapping[str, str]) -> bool:
    """Return True where an answer names the request, or names none."""
    return values.get(headers.REQUEST_ID, call.request_id) == call.request_id


def refusal_of(error: Exception) -> Refusal:
    """Return what an exception of the HTTP client says about a call."""
    text = f"{type(error).__name__} {error}"[:200]
    if isinstance(error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)):
        return not_run(503, "backend-unreachable", text, RETRY_AFTER_SECONDS)
    if isinstance(error, asyncio.TimeoutError):
        return may_have_run("timeout", "the backend did not answer before the deadline")
    return may_have_run(BACKEND_CRASHED, text)
