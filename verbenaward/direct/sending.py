"""One attempt of a request at one backend."""

import asyncio
import contextlib
import errno
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import aiohttp
from aiohttp.helpers import DEFAULT_CHUNK_SIZE
from returns.result import Failure as Failed
from returns.result import Result, Success

from .. import clock
from ..answer_protocol import AnswerConnector
from ..bounded_reading import LARGEST_ANSWER_BYTES
from ..header_bytes import HeadRequest
from ..http_client import send_once
from ..placement.backends import BackendView
from ..placement.memory_budget import COPIES, HeldBytes, HeldPart, Purpose
from ..placement.request_types import FailedAttempt, FailureKind, Request, WholeAnswer
from ..platform.request_headers import (
    BackendHeaders,
    BackendNotice,
    answers_request,
    has_signature,
    headers_for_backend,
    headers_for_caller,
    is_at_capacity,
    proves_not_run,
    read_backend_notice,
)
from ..sockets import keepalive_socket
from ..targets import exact_url
from .slow_readers import READ_BUFFER_BYTES, raise_refusal, small_buffer_socket

CONNECT_SECONDS = 0.4
"""Timeout for a connection to a backend. A request that is still connecting when its backend asks
for a pause must arrive within the half second that the backend allows for that."""
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
"""Headers that aiohttp would add by itself; a backend gets only what the caller has sent."""
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)
"""Errors of a process or VM that has no descriptors left."""
LATE_ANSWER_SECONDS = 0.05
"""Time for which the head of an answer is awaited after its request was given up: a backend that
refuses it at its deadline may ask for a pause. It must be far below the time within which a backend
is to see that its caller has gone."""
LARGEST_HEADER_BYTES = 64 * 1024
"""Longest status line or header field that a backend may send."""


RecordNotice = Callable[[BackendView, BackendNotice, float], None]
"""Records what a backend says of itself in an answer to a request that was sent at a time."""

LATE_ANSWERS: set[asyncio.Task[None]] = set()
"""Tasks that await the heads of late answers; the event loop itself does not keep them."""


def backend_session(has_memory_limit: bool = False) -> aiohttp.ClientSession:
    """Return the HTTP client for backends, which never reuses a connection.

    On a reused connection, bytes that a backend sends after an answer could be taken for the next
    answer, and the backend could close it while a request is on its way.

    Args:
      has_memory_limit: True to keep the buffers of each connection small.
    """
    socket_factory = small_buffer_socket if has_memory_limit else keepalive_socket
    connector = AnswerConnector(
        limit=0, force_close=True, socket_factory=socket_factory, use_dns_cache=False
    )
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=(send_once,),
        request_class=HeadRequest,
        auto_decompress=False,
        skip_auto_headers=SKIPPED_HEADERS,
        cookie_jar=aiohttp.DummyCookieJar(),
        max_line_size=LARGEST_HEADER_BYTES,
        max_field_size=LARGEST_HEADER_BYTES,
        read_bufsize=READ_BUFFER_BYTES if has_memory_limit else DEFAULT_CHUNK_SIZE,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
    )


@contextlib.asynccontextmanager
async def send_request(
    session: aiohttp.ClientSession,
    request: Request,
    view: BackendView,
    values: BackendHeaders,
    record_notice: RecordNotice,
) -> AsyncIterator[Result[aiohttp.ClientResponse, FailedAttempt]]:
    """Send a request and yield the response with its body unread.

    The connection is closed on exit, so that the backend can cancel a request that is given up.

    Args:
      session: HTTP client for backends.
      request: The request.
      view: Backend to send it to.
      values: Headers that are added for the backend.
      record_notice: Called with what the backend says of itself.
    """
    sent_at = clock.now()

    def record(response: aiohttp.ClientResponse) -> None:
        notice = read_backend_notice(response.status, response.headers)
        record_notice(view, notice, sent_at)

    sending = session.request(
        request.method,
        exact_url(f"http://{view.backend.address}", request.raw_path),
        headers=headers_for_backend(request.headers, values),
        data=request.body or None,
        allow_redirects=False,
    )
    try:
        response = await head_of_answer(sending, record)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        yield Failed(FailedAttempt(failure_to_connect(error), False, str(error)))
        return
    except (aiohttp.ClientResponseError, ValueError) as error:
        # What came is not HTTP, or its head is not sound or too long.
        yield Failed(FailedAttempt(FailureKind.INVALID, True, f"{type(error).__name__} {error}"))
        return
    except (aiohttp.ClientError, OSError) as error:
        yield Failed(FailedAttempt(FailureKind.BROKEN, True, f"{type(error).__name__} {error}"))
        return
    record(response)
    try:
        yield classify_response(request, response)
    finally:
        response.close()


def failure_to_connect(error: aiohttp.ClientError) -> FailureKind:
    """Return the kind of failure of a send without a connection."""
    is_local = isinstance(error, aiohttp.ClientConnectorError) and error.errno in NO_DESCRIPTOR
    return FailureKind.NO_DESCRIPTOR if is_local else FailureKind.UNREACHABLE


async def head_of_answer(
    sending: Coroutine[Any, Any, aiohttp.ClientResponse],
    record: Callable[[aiohttp.ClientResponse], None],
) -> aiohttp.ClientResponse:
    """Return a response once its head is there; if this is cancelled, wait a little longer for it.

    Args:
      sending: Sends the request.
      record: Called with a response that comes after the cancellation.
    """
    task = asyncio.ensure_future(sending)
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        late = asyncio.ensure_future(record_late_answer(task, record))
        LATE_ANSWERS.add(late)
        late.add_done_callback(LATE_ANSWERS.discard)
        raise


async def record_late_answer(
    task: asyncio.Task[aiohttp.ClientResponse], record: Callable[[aiohttp.ClientResponse], None]
) -> None:
    """Record a response if it comes soon, and close its connection in any case."""
    await asyncio.wait((task,), timeout=LATE_ANSWER_SECONDS)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError, aiohttp.ClientError, OSError, ValueError):
        response = await task
        record(response)
        response.close()


def classify_response(
    request: Request, response: aiohttp.ClientResponse
) -> Result[aiohttp.ClientResponse, FailedAttempt]:
    """Return the response if it is a valid answer to the request, else the failure."""
    status, headers = response.status, response.headers
    if not answers_request(headers, request.parsed_headers.request_id):
        message = "the answer belongs to another request"
        return Failed(FailedAttempt(FailureKind.INVALID, True, message))
    if is_at_capacity(status, headers):
        return Failed(FailedAttempt(FailureKind.FULL, False, "the backend is full"))
    if proves_not_run(status, headers):
        message = f"the backend did not run the request: status {status}"
        return Failed(FailedAttempt(FailureKind.NOT_RUN, False, message))
    if not has_signature(headers):
        message = f"the answer has no signature header: status {status}"
        return Failed(FailedAttempt(FailureKind.INVALID, True, message))
    return Success(response)


async def send_and_read(
    session: aiohttp.ClientSession,
    request: Request,
    view: BackendView,
    values: BackendHeaders,
    wait_seconds: float,
    record_notice: RecordNotice,
) -> Result[WholeAnswer, FailedAttempt]:
    """Send a request and return its complete answer.

    Args:
      session: HTTP client for backends.
      request: The request.
      view: Backend to send it to.
      values: Headers that are added for the backend.
      wait_seconds: Timeout for the complete answer.
      record_notice: Called with what the backend says of itself.
    """
    try:
        async with asyncio.timeout(wait_seconds):
            async with send_request(session, request, view, values, record_notice) as result:
                if not isinstance(result, Success):
                    return Failed(result.failure())
                return await read_answer(result.unwrap(), request.held)
    except TimeoutError:
        message = f"no answer within {wait_seconds:.3f} s"
        return Failed(FailedAttempt(FailureKind.SILENT, True, message))


async def read_answer(
    response: aiohttp.ClientResponse, held: HeldBytes
) -> Result[WholeAnswer, FailedAttempt]:
    """Read the body of an answer; one that is truncated or too long is a failed attempt.

    Raises:
      RefusedError: The process has no memory for it.
    """
    part = HeldPart(held, Purpose.ANSWER)
    is_whole = False
    try:
        result = await read_whole_answer(response, part)
        is_whole = isinstance(result, Success)
        return result
    finally:
        if not is_whole:
            part.put(0)


async def read_whole_answer(
    response: aiohttp.ClientResponse, held: HeldPart
) -> Result[WholeAnswer, FailedAttempt]:
    """Read the body of an answer, and count its bytes.

    Raises:
      RefusedError: The process has no memory for it.
    """
    body = bytearray()
    try:
        async for piece in response.content.iter_any():
            raise_refusal(held.put(held.size + COPIES * len(piece)))
            body += piece
            if len(body) > LARGEST_ANSWER_BYTES:
                message = f"the answer is longer than {LARGEST_ANSWER_BYTES} bytes"
                return Failed(FailedAttempt(FailureKind.INVALID, True, message))
    except (aiohttp.ClientError, OSError) as error:
        return Failed(FailedAttempt(FailureKind.BROKEN, True, f"{type(error).__name__} {error}"))
    headers = headers_for_caller(response.headers)
    return Success(WholeAnswer(response.status, headers, bytes(body)))
