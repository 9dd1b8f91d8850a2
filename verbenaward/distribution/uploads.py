"""Sends the bodies of chunks, each at its requested rate, in the order that `upload_order` decides.

Bytes count as under way until the receiver has acknowledged them, so the rate of the link need not
be known.
"""

import asyncio
import itertools
import math
from dataclasses import dataclass, field

from aiohttp import web

from .. import clock, metrics
from ..sockets import unsent_bytes
from .upload_order import (
    LinkRate,
    PendingSlice,
    Receiver,
    least_urgent,
    next_slice,
    updated_rate,
)

SLICE_BYTES = 4096
RATE_QUERY = "rate"
"""Query parameter with the rate that a caller asks for, in bytes a second."""
LACKING_QUERY = "lacking"
"""Query parameter with the number of chunks of the version that a caller lacks."""
BEGIN_SECONDS = 1.0
"""Longest time until a body begins, after which the request is answered with 503. It is shorter
than the time after which a silent process counts as unreachable."""
MAXIMUM_DIGITS = 6
"""Longest number of chunks that is read from a query."""
POLL_SECONDS = 0.002
"""Interval at which acknowledgements are looked for while slices wait."""
URGENT_SECONDS = 2.0
"""Time after a body for which the next request of its receiver is expected. Over a narrow link the
queries between two chunks take up to 1.1 s."""
STALLED_SECONDS = 0.5
"""Time without an acknowledgement after which a receiver no longer holds back the others."""
ABANDONED_SECONDS = 3.0
"""Time without an acknowledgement after which a receiver is given up; longer than receivers wait.
"""


@dataclass(eq=False, slots=True)
class Upload:
    """A body that is being sent.

    Attributes:
      request: Request that is answered.
      number: Position in the order of requests.
      receiver: Who waits for the body.
      lacking: Chunks of the version that the receiver lacks; 0 if it did not tell.
      has_begun: True once a slice was sent.
      remaining: Bytes that are still to be written.
      is_written: True once all slices were sent.
      unsent: Bytes that the receiver has not acknowledged.
      acknowledged_at: When `unsent` last changed, monotonic.
      turn: Set when the next slice may be sent; None while none waits.
    """

    request: web.Request
    number: int
    receiver: Receiver
    lacking: int = 0
    has_begun: bool = False
    remaining: int = 0
    is_written: bool = False
    unsent: int = 0
    acknowledged_at: float = field(default_factory=clock.now)
    turn: asyncio.Event | None = None

    def update(self, now: float) -> None:
        """Update the bytes that the receiver has not acknowledged."""
        unsent = unsent_bytes(self.request)
        if unsent != self.unsent:
            self.unsent, self.acknowledged_at = unsent, now

    def is_stalled(self, now: float) -> bool:
        """Return True if the receiver has acknowledged nothing lately."""
        return now - self.acknowledged_at > STALLED_SECONDS

    def is_over(self, now: float) -> bool:
        """Return True if nothing of the body is under way, or the receiver is given up."""
        if not self.is_written:
            return False
        return not self.unsent or now - self.acknowledged_at > ABANDONED_SECONDS


class Uploads:
    """The bodies that this process sends.

    Attributes:
      running: Bodies that are not acknowledged as a whole.
      numbers: Numbers the requests.
      sent_bytes: Bytes of bodies that were sent.
      rate: Measured rate of the link.
      requested_at: When a body for each receiver was last waiting or being sent, monotonic.
      granting: Lets waiting slices be sent; None while none waits.
    """

    def __init__(self) -> None:
        self.running: list[Upload] = []
        self.numbers = itertools.count()
        self.sent_bytes = 0
        self.rate = LinkRate(clock.now(), 0)
        self.requested_at: dict[Receiver, float] = {}
        self.granting: asyncio.Task[None] | None = None

    async def send(
        self, request: web.Request, body: bytes, rate: float, receiver: Receiver
    ) -> web.StreamResponse:
        """Send a response body in slices.

        Args:
          request: Request that is answered.
          body: Body of the response.
          rate: Bytes a second; infinity for no limit.
          receiver: Who waits for it.

        Returns:
          The response, with status 503 if the body could not begin in `BEGIN_SECONDS`.
        """
        lacking = lacking_of(request)
        upload = Upload(request, next(self.numbers), receiver, lacking, remaining=len(body))
        self.running.append(upload)
        try:
            if not await self.begins_in_time(upload):
                metrics.UPLOADS.labels("not_begun").inc()
                return web.Response(status=503)
            response = await self.write(upload, body, rate)
            metrics.UPLOADS.labels("written").inc()
            return response
        finally:
            if upload.has_begun and not upload.is_written:
                metrics.UPLOADS.labels("broken_off").inc()
            upload.is_written, upload.turn, upload.remaining = True, None, 0

    async def begins_in_time(self, upload: Upload) -> bool:
        """Wait until the first slice of a body may be sent; False if that takes too long."""
        try:
            async with asyncio.timeout(BEGIN_SECONDS):
                await self.wait_for_turn(upload)
        except TimeoutError:
            return False
        return True

    async def write(self, upload: Upload, body: bytes, rate: float) -> web.StreamResponse:
        """Write a body whose first slice may be sent.

        Raises:
          TimeoutError: The receiver takes nothing more.
        """
        upload.has_begun = True
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        await response.prepare(upload.request)
        started = clock.now()
        for start in range(0, len(body), SLICE_BYTES):
            due = started + start / rate
            await asyncio.sleep(max(0.0, due - clock.now()))
            if start:
                async with asyncio.timeout(ABANDONED_SECONDS):
                    await self.wait_for_turn(upload)
            await response.write(body[start : start + SLICE_BYTES])
        await response.write_eof()
        upload.is_written = True
        return response

    async def wait_for_turn(self, upload: Upload) -> None:
        """Wait until the next slice of a body may be sent."""
        turn = upload.turn = asyncio.Event()
        self.grant(clock.now())
        if not turn.is_set() and (self.granting is None or self.granting.done()):
            self.granting = asyncio.create_task(self.grant_until_empty())
        await turn.wait()

    async def grant_until_empty(self) -> None:
        """Grant turns as acknowledgements arrive, until no slice waits."""
        while any(upload.turn is not None for upload in self.running):
            await asyncio.sleep(POLL_SECONDS)
            self.grant(clock.now())

    def grant(self, now: float) -> None:
        """Grant turns to as many waiting slices as may be sent now."""
        for upload in self.running:
            upload.update(now)
            if not upload.is_written:
                self.requested_at[upload.receiver] = now
        self.running = [item for item in self.running if not item.is_over(now)]
        while chosen := self.next_upload(now):
            assert chosen.turn is not None
            chosen.turn.set()
            chosen.turn = None
            chosen.unsent += SLICE_BYTES
            chosen.remaining -= SLICE_BYTES
            self.sent_bytes += SLICE_BYTES

    def next_upload(self, now: float) -> Upload | None:
        """Return the body whose next slice may be sent; None for none."""
        waiting = {item.number: item for item in self.running if item.turn is not None}
        pending = [
            PendingSlice(item.number, item.receiver, item.lacking, item.has_begun, item.unsent)
            for item in waiting.values()
        ]
        under_way = sum(item.unsent for item in self.running if not item.is_stalled(now))
        self.update_rate(bool(pending), under_way, now)
        lately = [item for item, at in self.requested_at.items() if now - at < URGENT_SECONDS]
        remaining = sum(item.remaining for item in self.running)
        least = least_urgent(remaining, self.rate, min(lately, default=Receiver.READER))
        chosen = next_slice(pending, under_way, self.rate, least)
        return None if chosen is None else waiting[chosen.number]

    def update_rate(self, is_waiting: bool, under_way: int, now: float) -> None:
        """Update the measured rate of the link."""
        is_busy = is_waiting and under_way >= self.rate.limit_bytes
        self.rate = updated_rate(self.rate, self.sent_bytes - under_way, is_busy, now)

    def close(self) -> None:
        """Stop granting turns."""
        if self.granting is not None:
            self.granting.cancel()


def rate_of(request: web.Request) -> float:
    """Return the rate that a request asks for, in bytes a second; infinity for no limit."""
    try:
        rate = float(request.query.get(RATE_QUERY, "0"))
    except ValueError:
        return math.inf
    return rate if 0 < rate < math.inf else math.inf


def lacking_of(request: web.Request) -> int:
    """Return how many chunks a caller lacks; 0 if it does not tell."""
    text = request.query.get(LACKING_QUERY, "")
    return int(text) if text.isdecimal() and len(text) <= MAXIMUM_DIGITS else 0
