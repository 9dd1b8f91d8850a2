"""Order in which a process sends its requests to the origin of weights, one at a time.

An origin that is away may leave requests without any answer. Such a request does not keep others
from being sent: that would hide the return of the origin until it times out.
"""

import asyncio
import heapq
import itertools
import math
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Failure, Result

from .. import clock
from .origin_reachability import OriginReachability

BUSY_SECONDS = 1.0
"""Time without an answer after which the next request is sent to an origin that has answered others
lately. An origin with a busy link answers late, and requests sent again would keep it busy."""
SILENT_SECONDS = 0.3
"""The same if it has not answered lately, so that its return is noticed."""
PROBE_SECONDS = 0.15
"""The same while another answer is overdue."""
AWAY_SECONDS = 2.0
"""Time since the last answer from which the origin may be away."""
RETRY_PAUSE_SECONDS = 0.1
"""Pause after a failed request; an origin that refuses gets 30 requests a second, 10 from each
of the `ORIGIN_READERS`."""

OriginRequest = Callable[[Callable[[], None]], Coroutine[Any, Any, Result[bytes, str]]]
"""Sends a request to the origin; it calls its argument when the answer begins."""


class OriginQueue:
    """Queue of requests to the origin.

    Attributes:
      is_busy: True while a request is being answered, or waits for an answer that is not overdue.
      waiting: Heap of the waiting requests by rank and arrival.
      overdue: For each request whose answer is overdue, what ends it.
      answered_at: When an answer last began, monotonic; minus infinity for never.
      reachability: Whether the origin answers this process.
    """

    def __init__(self) -> None:
        self.is_busy = False
        self.waiting: list[tuple[tuple[int, ...], int, asyncio.Future[None]]] = []
        self.overdue: set[asyncio.Future[None]] = set()
        self.answered_at = -math.inf
        self.arrivals = itertools.count()
        self.reachability = OriginReachability()

    async def fetch(self, rank: tuple[int, ...], send: OriginRequest) -> Result[bytes, str]:
        """Send a request when it is its turn, and return its result.

        Once the origin answers another request after it was away, those that it left without an
        answer are ended: it has lost them.

        Args:
          rank: The lowest rank is sent first.
          send: Sends the request.
        """
        await self.acquire(rank)
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[None] = loop.create_future()
        turn = Turn(self, ended)
        timer = loop.call_later(self.silent_seconds(clock.now()), turn.pass_on)
        request = asyncio.create_task(send(turn.answer))
        both: list[asyncio.Future[Any]] = [request, ended]
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if not request.done():
                return Failure("the origin lost the request")
            result = request.result()
            if isinstance(result, Failure):
                turn.fail()
            return result
        finally:
            request.cancel()
            timer.cancel()
            turn.finish()

    async def acquire(self, rank: tuple[int, ...]) -> None:
        """Wait until no request is being answered and no waiting one has a lower rank."""
        if not self.is_busy:
            self.is_busy = True
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (rank, next(self.arrivals), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():
                self.release()
            raise

    def may_be_away(self, now: float) -> bool:
        """Return True if the origin has answered nothing lately."""
        return now - self.answered_at > AWAY_SECONDS

    def silent_seconds(self, now: float) -> float:
        """Return the time without an answer after which the next request is sent."""
        if not self.may_be_away(now):
            return BUSY_SECONDS
        return PROBE_SECONDS if self.overdue else SILENT_SECONDS

    def record_answer(self, now: float) -> None:
        """Record that an answer begins.

        If the origin was away, it has lost the requests whose answers are overdue; otherwise they
        are still under way.
        """
        if self.may_be_away(now):
            self.end_overdue()
        self.answered_at = now

    def release(self) -> None:
        """Let the next waiting request be sent."""
        while self.waiting:
            _, _, turn = heapq.heappop(self.waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self.is_busy = False

    def end_overdue(self) -> None:
        """End the requests whose answer is overdue."""
        for ended in self.overdue:
            if not ended.done():
                ended.set_result(None)


class Turn:
    """One request that has its turn at the origin.

    Attributes:
      queue: The queue.
      ended: Set to end the request before its answer.
      is_passed_on: True once the next request may be sent.
      is_answered: True once the answer has begun.
      pause_seconds: Pause before the next request, at the end of this one.
    """

    def __init__(self, queue: OriginQueue, ended: asyncio.Future[None]) -> None:
        self.queue = queue
        self.ended = ended
        self.is_passed_on = False
        self.is_answered = False
        self.pause_seconds = 0.0

    def answer(self) -> None:
        """Record that the answer to this request has begun."""
        self.is_answered = True
        self.queue.reachability.record_answer(clock.now())
        self.queue.overdue.discard(self.ended)
        self.queue.record_answer(clock.now())

    def pass_on(self) -> None:
        """Let the next request be sent, as the answer to this one is overdue."""
        if not self.is_answered:
            self.queue.reachability.record_silence(clock.now())
            self.is_passed_on = True
            self.queue.overdue.add(self.ended)
            self.queue.release()

    def fail(self) -> None:
        """Record that the request failed."""
        self.pause_seconds = RETRY_PAUSE_SECONDS
        if not self.is_answered:
            self.queue.reachability.record_silence(clock.now())

    def finish(self) -> None:
        """Let the next request be sent, unless that has been done."""
        self.queue.overdue.discard(self.ended)
        if not self.is_passed_on:
            self.is_passed_on = True
            loop = asyncio.get_running_loop()
            loop.call_later(self.pause_seconds, self.queue.release)
