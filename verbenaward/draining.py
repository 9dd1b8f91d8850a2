"""Requests in progress of a process, which a graceful stop refuses, limits and waits for."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator

from aiohttp import web

from . import clock
from .data import Refusal
from .drain_times import DrainTimes
from .requests.refusals import not_run

POLL_SECONDS = 0.02
FLUSH_SECONDS = 0.2
"""Time for writing out the last answers, after which the process ends."""
HAS_BEGUN = web.RequestKey("has_begun", bool)
HAS_ENDED = web.RequestKey("has_ended", bool)


class DrainingRequests:
    """Requests in progress, and the times of the graceful stop.

    Attributes:
      count: Number of requests whose answers are not yet handed to their connections.
      times: Times of the stop; None before it.
      limits: Timeouts of what requests do, with the time by which each may outlast `answers_at`.
    """

    def __init__(self) -> None:
        self.count = 0
        self.times: DrainTimes | None = None
        self.limits: dict[asyncio.Timeout, float] = {}

    def begin(self, times: DrainTimes) -> None:
        """Begin a stop with its times."""
        self.times = times
        for limit in self.limits:
            self.apply_times(limit, clock.now())

    @contextlib.contextmanager
    def in_progress(self) -> Iterator[None]:
        """Count a request as in progress."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1

    @contextlib.asynccontextmanager
    async def limit(self, extra_seconds: float = 0.0) -> AsyncIterator[asyncio.Timeout]:
        """Limit what a request does to the time that is left once the process stops.

        Args:
          extra_seconds: Time by which it may last longer than until `answers_at`.

        Raises:
          TimeoutError: That time is over.
        """
        async with asyncio.timeout(None) as limit:
            self.limits[limit] = extra_seconds
            self.apply_times(limit, clock.now())
            try:
                yield limit
            finally:
                del self.limits[limit]

    def apply_times(self, limit: asyncio.Timeout, now: float) -> None:
        """Set a timeout by the times of the stop, if there is one.

        Args:
          limit: One of `limits`.
          now: Present time, monotonic, in seconds.
        """
        if self.times is not None:
            left = max(0.0, self.times.answers_at + self.limits[limit] - now)
            limit.reschedule(asyncio.get_running_loop().time() + left)

    def refusal(
        self, now: float, needed_seconds: float, retry_after_seconds: float
    ) -> Refusal | None:
        """Return the refusal of a request that the stop leaves no time for, else None.

        Args:
          now: Present time, monotonic, in seconds.
          needed_seconds: Time that such a request usually takes.
          retry_after_seconds: Retry delay in the refusal.
        """
        if self.times is None or self.times.accepts(now, needed_seconds):
            return None
        return not_run(503, "leaving", "this process is stopping", retry_after_seconds)

    def deadline(self, deadline: float) -> float:
        """Return the deadline that an accepted request can keep, monotonic, in seconds."""
        return deadline if self.times is None else self.times.deadline(deadline)

    def cause_of_close(self) -> str:
        """Return why the connection of a request was closed before its answer."""
        if self.times is not None and clock.now() >= self.times.answers_at:
            return "this process closed the connection at the end of its stop"
        return "the caller closed the connection"

    def close_after(self, response: web.StreamResponse) -> None:
        """Have the connection of an answer closed with its end once the process stops.

        A caller that used it again would find it closed, without an answer.
        """
        if self.times is not None:
            response.force_close()

    async def announce_close(self, _: web.Request, response: web.StreamResponse) -> None:
        """Say in an answer that its connection closes; for the signal `on_response_prepare`."""
        if self.times is not None:
            response.force_close()
            response.headers["Connection"] = "close"

    async def wait_until_answered(self, runner: web.AppRunner | None = None) -> None:
        """Wait until all requests are answered, but not for longer than the stop allows.

        Args:
          runner: Server whose connections must have sent everything as well.
        """
        assert self.times is not None
        last = self.times.answers_at + FLUSH_SECONDS
        idle_polls = 0
        # What was read with the last poll is counted at the next one.
        while idle_polls < 2 and clock.now() < last:
            await asyncio.sleep(POLL_SECONDS)
            idle_polls = 0 if self.count or has_unsent(runner) else idle_polls + 1


async def wait_until_sent(runner: web.AppRunner) -> None:
    """Wait until the connections of a server have sent what was written to them, for a short time.

    Args:
      runner: The server.
    """
    last = clock.now() + FLUSH_SECONDS
    while has_unsent(runner) and clock.now() < last:
        await asyncio.sleep(POLL_SECONDS)


async def record_begin(caller: web.Request, _: web.StreamResponse) -> None:
    """Record that the answer of a request has begun; for the signal `on_response_prepare`."""
    caller[HAS_BEGUN] = True


def has_begun(caller: web.Request) -> bool:
    """Return True if a part of the answer may have been sent."""
    return bool(caller.get(HAS_BEGUN, False))


def record_end(caller: web.Request) -> None:
    """Record that the whole answer of a request was written."""
    caller[HAS_ENDED] = True


def has_ended(caller: web.Request) -> bool:
    """Return True if the whole answer of a request was written."""
    return bool(caller.get(HAS_ENDED, False))


def has_unsent(runner: web.AppRunner | None) -> bool:
    """Return True if a connection of a server still has bytes to write."""
    server = runner.server if runner is not None else None
    transports = (item.transport for item in (server.connections if server is not None else ()))
    return any(item is not None and item.get_write_buffer_size() > 0 for item in transports)
