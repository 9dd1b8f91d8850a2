"""Sends this process's requests to the origin of weights, one at a time.

An origin that is away may leave requests without any answer. Such a request does not keep others
from being sent: that would hide the return of the origin until it times out.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any

from .. import clock

BUSY_SECONDS = 1.0
"""Time without an answer after which the next request is sent to an origin that has answered others
lately. An origin with a busy link answers late, and requests sent again would keep it busy."""
SILENT_SECONDS = 0.3
"""The same if it has not answered lately, so that its return is noticed."""
PROBE_SECONDS = 0.15
"""The same while another answer is overdue."""
AWAY_SECONDS = 2.0
"""Time since the last answer from which the origin may be away."""

OriginRequest = Callable[[Callable[[], None]], Coroutine[Any, Any, None]]
"""Sends a request to the origin and handles its result; it calls its argument when the answer
begins."""


class OriginLink:
    """The link to the origin.

    Attributes:
      turn: Held by the version whose chunk is requested next.
      overdue: Requests whose answer is overdue.
      answered_at: When an answer last began, monotonic; minus infinity for never.
    """

    def __init__(self) -> None:
        self.turn = asyncio.Lock()
        self.overdue: set[asyncio.Task[None]] = set()
        self.answered_at = -math.inf

    async def request(self, send: OriginRequest) -> None:
        """Send a request, and return once it has ended or its answer is overdue.

        Once the origin answers another request after it was away, those that it left without an
        answer are cancelled: it has lost them.
        """
        answered = asyncio.Event()
        task = asyncio.create_task(send(lambda: self.record_answer(task, answered)))
        waiting = asyncio.create_task(answered.wait())
        try:
            await asyncio.wait(
                {task, waiting},
                timeout=self.silent_seconds(clock.now()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if answered.is_set():
                await asyncio.wait({task})
        except asyncio.CancelledError:
            task.cancel()
            raise
        finally:
            waiting.cancel()
        if not task.done():
            self.overdue.add(task)
            task.add_done_callback(self.overdue.discard)

    def record_answer(self, task: asyncio.Task[None], answered: asyncio.Event) -> None:
        """Record that the answer to a request begins.

        If the origin was away, it has lost the requests whose answers are overdue; otherwise they
        are still under way.
        """
        now = clock.now()
        self.overdue.discard(task)
        if self.may_be_away(now):
            self.cancel_overdue()
        self.answered_at = now
        answered.set()

    def may_be_away(self, now: float) -> bool:
        """Return True if the origin has answered nothing lately."""
        return now - self.answered_at > AWAY_SECONDS

    def silent_seconds(self, now: float) -> float:
        """Return the time without an answer after which the next request is sent."""
        if not self.may_be_away(now):
            return BUSY_SECONDS
        return PROBE_SECONDS if self.overdue else SILENT_SECONDS

    def cancel_overdue(self) -> None:
        """Cancel the requests whose answer is overdue."""
        for task in tuple(self.overdue):
            task.cancel()
