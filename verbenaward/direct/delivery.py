"""The part of a stream that its caller has received."""

import dataclasses
import math
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from .. import clock
from ..placement.memory_budget import HeldBytes
from ..sockets import buffered_bytes
from .sends import Progress
from .slow_readers import (
    PAUSED_STREAM_BYTES,
    WRITE_BUFFER_BYTES,
    limit_send_buffers,
    raise_refusal,
)
from .stream_attempt import StreamAttempt
from .stream_position import StreamPosition

OK = 200
LARGEST_EVENT_BYTES = 1024 * 1024
"""Size over which an unfinished event fails the attempt."""


class CallerGoneError(Exception):
    """Raised when the caller closes its connection during its stream."""


@dataclass(slots=True)
class Delivery:
    """The part of a stream that its caller has received.

    Attributes:
      caller: Request of the caller.
      response: Response to the caller, once its headers are sent.
      position: Place that the stream has reached.
      writes: Number of writes to the caller so far, each of one or more whole events.
      held: Bytes held for the request.
      progress: Sends of the request.
      speaker: The send whose events are forwarded; None before the first one.
    """

    caller: web.Request
    held: HeldBytes
    progress: Progress
    speaker: StreamAttempt | None = None
    response: web.StreamResponse | None = None
    position: StreamPosition = field(default_factory=StreamPosition)
    writes: int = 0

    @property
    def last_event_id(self) -> str:
        """Return the id of the last event forwarded; empty if none is known."""
        return self.position.last_event_id

    async def open(self, headers: CIMultiDict[str]) -> None:
        """Send the headers of the first backend whose event is forwarded to the caller.

        Raises:
          CallerGoneError: The caller has closed its connection.
        """
        self.progress.is_delivering = True
        self.response = web.StreamResponse(status=OK, headers=headers)
        if self.held.budget.is_limited:
            limit_send_buffers(self.caller)
        try:
            await self.response.prepare(self.caller)
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error

    async def forward_events(self, piece: bytes, attempt: StreamAttempt) -> bool:
        """Forward the whole events received so far; return True if there was one.

        Args:
          piece: Bytes received.
          attempt: The send that they belong to; it is not silent while the caller does not read.

        Raises:
          CallerGoneError: The caller has closed its connection.
          ClientPayloadError: An event is too long, or was forwarded before; neither is forwarded.
          RefusedError: The process has no memory for the events.
        """
        received = attempt.parser.feed(piece)
        if not received.raw and attempt.parser.unfinished_bytes > LARGEST_EVENT_BYTES:
            raise aiohttp.ClientPayloadError("an event is too long")
        position = dataclasses.replace(self.position)
        size = position.advance(received)
        has_events = any(event.end <= size for event in received.events)
        # A part that begins anew, or line ends alone, must not supersede a send that may continue.
        if has_events and not await self.take_over(attempt):
            return False
        if size and self.speaker is attempt:
            self.position = position
            self.writes += 1
            try:
                await self.write(received.raw[:size], attempt)
            except ConnectionError as error:
                raise CallerGoneError(str(error)) from error
        if size < len(received.raw):
            raise aiohttp.ClientPayloadError("the stream began anew instead of going on")
        self.hold(attempt, attempt.parser.unfinished_bytes)
        return has_events

    async def take_over(self, attempt: StreamAttempt) -> bool:
        """Let a send continue the stream from now on; False if another one does already."""
        if not attempt.send.claim():
            return False
        attempt.end_start_deadline()
        self.speaker = attempt
        if self.response is None:
            await self.open(attempt.headers)
        return True

    async def write(self, events: bytes, attempt: StreamAttempt) -> None:
        """Write events to the caller, and wait until most of them are on their way.

        The time that it takes does not count as silence of the backend.
        """
        assert self.response is not None
        started, silent_at = clock.now(), attempt.send.silent_at
        attempt.send.silent_at = math.inf
        try:
            await self.write_unread(events, attempt)
        finally:
            attempt.send.silent_at = silent_at + clock.now() - started

    async def write_unread(self, events: bytes, attempt: StreamAttempt) -> None:
        """Write events, and if the caller reads slowly, wait until it has read most of them."""
        assert self.response is not None
        unsent = buffered_bytes(self.caller) if self.held.budget.is_limited else 0
        if not self.held.budget.is_limited or unsent + len(events) <= WRITE_BUFFER_BYTES:
            await self.response.write(events)
            return
        self.hold(attempt, PAUSED_STREAM_BYTES + unsent + len(events))
        started = clock.now()
        await self.response.write(events)
        await self.caller.writer.drain()
        attempt.paused_seconds += clock.now() - started

    def hold(self, attempt: StreamAttempt, size: int) -> None:
        """Count the bytes that are held for a send now.

        Raises:
          RefusedError: The process has no room for them.
        """
        raise_refusal(attempt.held.put(size))
