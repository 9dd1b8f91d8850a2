"""Server-sent events of streamed answers."""

from collections.abc import AsyncIterator

import aiohttp

DONE_EVENT = b"data: [DONE]"
EVENT_END = b"\n\n"
CRASH_EVENT = b": backend-crashed\n\n"
"""Comment by which an endpoint process says why it cuts a stream off."""


async def whole_events(stream: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield server-sent events as they arrive, several together where they are there.

    Args:
      stream: Body of a streaming answer.

    Yields:
      Bytes that end with the end of an event; a cut-off event is never part of them.
    """
    rest = b""
    async for piece in stream.iter_any():
        rest = rest + piece if rest else piece
        end = rest.rfind(EVENT_END)
        if end >= 0:
            yield rest[: end + 2]
            rest = rest[end + 2 :]
