"""Paces response bodies to a requested rate, so that no queue builds up before a slow link."""

import asyncio

from aiohttp import web

from .. import clock

SLICE_BYTES = 4096
RATE_QUERY = "rate"
"""Query parameter with the rate that a caller asks for, in bytes a second."""


async def send_paced(request: web.Request, body: bytes, rate: float) -> web.StreamResponse:
    """Send a response body in slices at a rate.

    Args:
      request: Request that is answered.
      body: Body of the response.
      rate: Bytes a second.
    """
    response = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await response.prepare(request)
    started = clock.now()
    for start in range(0, len(body), SLICE_BYTES):
        due = started + start / rate
        await asyncio.sleep(max(0.0, due - clock.now()))
        await response.write(body[start : start + SLICE_BYTES])
    await response.write_eof()
    return response


def rate_of(request: web.Request) -> float:
    """Return the rate that a request asks for, in bytes a second; 0 for no limit."""
    try:
        rate = float(request.query.get(RATE_QUERY, "0"))
    except ValueError:
        return 0.0
    return rate if 0 < rate < float("inf") else 0.0
