"""Server-sent events of streamed answers."""

from collections.abc import AsyncIterator

import aiohttp

from .event_stream import Event, EventStreamParser, Received

DONE_DATA = b"[DONE]"
"""Data of the last event of a complete stream."""
CRASH_EVENT = b": backend-crashed\n\n"
"""Comment sent by an endpoint process when its backend crashes in the middle of a stream."""


async def received_events(
    stream: aiohttp.StreamReader, parser: EventStreamParser
) -> AsyncIterator[Received]:
    """Yield complete server-sent events as they arrive, one or several at a time.

    Args:
      stream: Body of a streaming answer.
      parser: Parser of this answer.

    Yields:
      Bytes up to the end of an event, and the events; an incomplete last event is dropped.
    """
    async for piece in stream.iter_any():
        received = parser.feed(piece)
        if received.raw:
            yield received


def is_done(event: Event) -> bool:
    """Return True for the last event of a complete stream."""
    return event.data == DONE_DATA


def ends_with_crash(received: Received) -> bool:
    """Return True if the last event is the comment that reports a crash."""
    if not received.events:
        return False
    last = received.events[-1]
    return received.raw[last.start : last.end] == CRASH_EVENT
