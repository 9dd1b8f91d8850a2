"""HTTP client for the engine or plain service on this VM.

Every failed call is classified: whether the backend may have run the request or not.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from .. import clock
from ..bounded_reading import LARGEST_ANSWER_BYTES, read_at_most
from ..data import Load, Refusal
from ..http_client import send_once
from ..requests import headers
from ..requests.attempt import BACKEND_CRASHED
from ..requests.decoding import encoding_of
from ..requests.records import Answer
from ..requests.refusals import may_have_run, not_run
from ..targets import exact_url

CONNECT_TIMEOUT_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.5
PROBE_PATH = "/healthz"


@dataclass(frozen=True, slots=True)
class BackendCall:
    """One HTTP request to the backend.

    Attributes:
      request_id: Unique id of the request; the backend returns it in its answer.
      method: HTTP method.
      path: Path with its query string.
      body: Request body.
      content_type: Media type of the body.
      priority: Priority in the engine's queue; higher values run first.
      idempotency_key: Key sent to the backend; empty for an idempotent request.
      resume_tokens: Tokens of the answer that the caller has already received.
      deadline: Monotonic time in seconds after which the caller no longer waits.
      content_encoding: How the caller has encoded the body; empty for not at all.
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
    content_encoding: str = ""


class BackendClient:
    """HTTP client for one backend.

    Attributes:
      url: Base URL of the backend.
      session: HTTP client that opens a new connection for each call. On a kept one, what the
        backend wrote after an earlier answer would be taken for the answer of the next call, and a
        call whose connection turns out to be closed may have run and could not be sent again.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url.rstrip("/")
        self.session = session

    def open_call(self, call: BackendCall) -> aiohttp.client._RequestContextManager:
        """Return the context manager that sends a call and yields the response."""
        seconds = max(0.0, call.deadline - clock.now())
        timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)
        return self.session.request(
            call.method,
            exact_url(self.url, call.path),
            data=call_body(call),
            headers=call_headers(call),
            timeout=timeout,
            middlewares=(send_once,),
        )

    async def run(self, call: BackendCall, vm: str, release: str) -> Result[Answer, Refusal]:
        """Send a call and read the whole answer.

        Args:
          call: The call.
          vm: Name of this VM, stored in the answer.
          release: Digest of the release that the engine serves, stored in the answer.
        """
        try:
            async with self.open_call(call) as response:
                body = await read_at_most(response, LARGEST_ANSWER_BYTES)
                if not is_answer_to(call, response.headers):
                    message = "the answer has the id of another request"
                    return Failure(may_have_run("crossed-answer", message))
                content_type = response.headers.get("Content-Type", "application/octet-stream")
                encoding = encoding_of(response.headers)
                return Success(
                    Answer(response.status, content_type, body, vm, release, Load(), encoding)
                )
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return Failure(await self.classify_failure(error))

    async def classify_failure(self, error: Exception) -> Refusal:
        """Return the refusal for a failed call.

        A broken connection counts as a crash only if the backend cannot be reached afterwards.
        """
        refusal = refusal_for_error(error)
        if refusal.reason == BACKEND_CRASHED and await self.is_reachable():
            return may_have_run("connection-broken", refusal.message)
        return refusal

    async def is_reachable(self) -> bool:
        """Return True if the backend answers a health check, with any status."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        try:
            async with self.session.get(self.url + PROBE_PATH, timeout=timeout):
                return True
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return False


def call_headers(call: BackendCall) -> dict[str, str]:
    """Return the HTTP headers to send to the backend."""
    values = {
        headers.REQUEST_ID: call.request_id,
        headers.PRIORITY: str(call.priority),
        "Content-Type": call.content_type,
    }
    if call.content_encoding:
        values["Content-Encoding"] = call.content_encoding
    if call.idempotency_key:
        values[headers.IDEMPOTENCY_KEY] = call.idempotency_key
    return values


def call_body(call: BackendCall) -> bytes:
    """Return the body to send, with `resume_tokens` added if part of the answer was delivered."""
    if not call.resume_tokens:
        return call.body
    document = msgspec.json.decode(call.body)
    document["resume_tokens"] = call.resume_tokens
    return msgspec.json.encode(document)


def is_answer_to(call: BackendCall, values: Mapping[str, str]) -> bool:
    """Return True unless the answer carries the id of another request."""
    return values.get(headers.REQUEST_ID, call.request_id) == call.request_id


def refusal_for_error(error: Exception) -> Refusal:
    """Return the refusal for an exception of the HTTP client.

    Only a failed connection attempt proves that the backend did not run the request.
    """
    text = f"{type(error).__name__} {error}"[:200]
    if isinstance(error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)):
        return not_run(503, "backend-unreachable", text, RETRY_AFTER_SECONDS)
    if isinstance(error, asyncio.TimeoutError):
        return may_have_run("timeout", "the backend did not answer before the deadline")
    return may_have_run(BACKEND_CRASHED, text)
