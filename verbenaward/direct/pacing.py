"""Bodies that are sent at a rate, so that no queue grows before a thin link."""

import asyncio
import time

from aiohttp import web

SLICE_BYTES = 4096
RATE_QUERY = "rate"


async def send_slowly(request: web.Request, body: bytes, rate: float) -> web.StreamResponse:
    """Send a body in slices at a rate, so that no queue grows before a thin link.

    Args:
      request: Request of another process.
      body: What it gets.
      rate: Bytes a second.
    """
    response = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await response.prepare(request)
    started = time.monotonic()
    for start in range(0, len(body), SLICE_BYTES):
        due = started + start / rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        await response.write(body[start : start + SLICE_BYTES])
    await response.write_eof()
    return response


def rate_of(request: web.Request) -> float:
    """Return the rate in bytes a second that a request asks for; 0 for none."""
    try:
        rate = float(request.query.get(RATE_QUERY, "0"))
    except ValueError:
        return 0.0
    return rate if 0 < rate < float("inf") else 0.0
