"""Remote calls between processes: an HTTP POST with a packed message as its body.

The path contains the type of the message, for example POST /control/Heartbeat.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import aiohttp
from aiohttp import web
from returns.result import Failure, Result, Success

from .. import metrics
from ..bounded_reading import LARGEST_MESSAGE_BYTES, read_at_most
from ..schema import messages
from .codec import MalformedMessageError, decode, encode

Reply = TypeVar("Reply")
Handler = Callable[[Any], Awaitable[Any]]

CALL_TIMEOUT_SECONDS = 1.5
"""Longest wait for the reply to a control message."""
CALL_HEADERS = {"Content-Type": "application/capnp"}
REQUEST_HEADER_BYTES = 125
"""Estimated size of the HTTP headers of a call, for the traffic metric."""
RESPONSE_HEADER_BYTES = 40
"""Estimated size of the HTTP headers of a reply, for the traffic metric."""


async def call(
    session: aiohttp.ClientSession,
    address: str,
    message: Any,
    reply_type: type[Reply],
    timeout_seconds: float = CALL_TIMEOUT_SECONDS,
) -> Result[Reply, str]:
    """Send a message to another process and wait for the reply.

    Args:
      session: HTTP client.
      address: Address of the other process.
      message: Instance of a class from schema.messages.
      reply_type: Class of the reply.
      timeout_seconds: Longest wait for the reply, in seconds.

    Returns:
      The reply, or a description of the failure.
    """
    kind = type(message).__name__
    payload = encode(message)
    timeout = aiohttp.ClientTimeout(total=timeout_seconds)
    url = f"http://{address}/control/{kind}"
    count_message(kind, "sent", len(payload) + REQUEST_HEADER_BYTES)
    try:
        async with session.post(
            url, data=payload, headers=CALL_HEADERS, timeout=timeout
        ) as response:
            body = await read_at_most(response, LARGEST_MESSAGE_BYTES)
            if response.status != 200:
                return Failure(f"{kind} to {address}: status {response.status}")
            count_message(kind, "received", len(body) + RESPONSE_HEADER_BYTES)
            return Success(decode(reply_type, body))
    except (aiohttp.ClientError, asyncio.TimeoutError, MalformedMessageError) as error:
        return Failure(f"{kind} to {address}: {type(error).__name__} {error}")


class ControlServer:
    """Dispatches control messages to handlers by type.

    Attributes:
      handlers: Message class and handler by name of the class.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, tuple[type[Any], Handler]] = {}

    def handle(self, message_type: type[Any], handler: Handler) -> None:
        """Register the handler of a message type."""
        self.handlers[message_type.__name__] = (message_type, handler)

    def add_routes(self, app: web.Application) -> None:
        """Add the HTTP route of control messages."""
        app.router.add_post("/control/{kind}", self.serve)

    async def serve(self, request: web.Request) -> web.Response:
        """Decode one control message, call its handler and send the reply."""
        kind = request.match_info["kind"]
        if kind not in self.handlers:
            return web.Response(status=404, text="unknown message type")
        message_type, handler = self.handlers[kind]
        payload = await request.read()
        try:
            message = decode(message_type, payload)
        except MalformedMessageError as error:
            return web.Response(status=400, text=str(error))
        count_message(kind, "received", len(payload) + REQUEST_HEADER_BYTES)
        reply = encode(await handler(message))
        count_message(kind, "sent", len(reply) + RESPONSE_HEADER_BYTES)
        return web.Response(body=reply)


def count_message(kind: str, direction: str, size: int) -> None:
    """Add one control message, with its HTTP headers, to the traffic metrics."""
    if hasattr(messages, kind):
        metrics.CONTROL_MESSAGES.labels(kind, direction).inc()
        metrics.CONTROL_BYTES.labels(kind, direction).inc(size)
