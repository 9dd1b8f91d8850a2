"""Server-sent events of streamed answers."""

from collections.abc import AsyncIterator

import aiohttp

DONE_EVENT = b"data: [DONE]"
"""Last event of a complete stream, without its end."""
EVENT_END = b"\n\n"
CRASH_EVENT = b": backend-crashed\n\n"
"""Comment sent by an endpoint process when its backend crashes in the middle of a stream."""


async def complete_events(stream: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield complete server-sent events as they arrive, one or several at a time.

    Args:
      stream: Body of a streaming answer.

    Yields:
      Bytes that end at the end of an event; an incomplete last event is dropped.
    """
    buffer = b""
    async for chunk in stream.iter_any():
        buffer = buffer + chunk if buffer else chunk
        end = buffer.rfind(EVENT_END)
        if end >= 0:
            yield buffer[: end + 2]
            buffer = buffer[end + 2 :]
