"""Admission at the endpoint: a few slots, a short queue, and runs without company."""

import asyncio
from collections import deque

from ..data import Load, Refusal
from ..requests.refusals import not_run
from ..waiting import wait_at_most

RETRY_AFTER_SECONDS = 1.0
ALONE_WAIT_SECONDS = 5.0


class Gate:
    """Admits as many requests as the backend runs at once.

    Attributes:
      concurrency: Requests that may run at once.
      capacity: Requests that may wait.
      running: Requests that run now.
      waiting: Requests that wait, oldest first.
      closed: True once no new work is taken.
      exclusive: True while one request wants to run alone, or does.
    """

    def __init__(self, concurrency: int, capacity: int) -> None:
        self.concurrency = concurrency
        self.capacity = capacity
        self.running = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.closed = False
        self.exclusive = False
        self.idle = asyncio.Event()
        self.idle.set()

    def load(self) -> Load:
        """Return the present load."""
        return Load(self.running, len(self.waiting), self.concurrency)

    async def enter(self, seconds: float, alone: bool, no_wait: bool = False) -> Refusal | None:
        """Wait for admission.

        Args:
          seconds: Longest wait.
          alone: True where the request must be the only one that runs.
          no_wait: True to refuse the request where no slot is free.

        Returns:
          None where the request was admitted, else the refusal. An admitted request must
          be ended by leave().
        """
        if self.closed:
            return not_run(503, "leaving", "this VM is leaving", RETRY_AFTER_SECONDS)
        if self.exclusive:
            return not_run(503, "alone", "a request runs alone here", RETRY_AFTER_SECONDS)
        if alone:
            return await self.enter_alone(min(seconds, ALONE_WAIT_SECONDS))
        if self.running < self.concurrency and not self.waiting:
            self.start()
            return None
        if no_wait:
            return not_run(503, "no-free-slot", "no slot is free", RETRY_AFTER_SECONDS)
        if len(self.waiting) >= self.capacity:
            return not_run(503, "queue-full", "the endpoint is full", RETRY_AFTER_SECONDS)
        return await self.wait_for_slot(seconds)

    async def wait_for_slot(self, seconds: float) -> Refusal | None:
        """Wait in the queue."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await wait_at_most(turn, seconds)
        except TimeoutError:
            if turn.done() and not turn.cancelled():
                return None
            self.forget(turn)
            return not_run(503, "deadline", "no slot became free in time", RETRY_AFTER_SECONDS)
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.leave(False)
            else:
                self.forget(turn)
            raise
        return None

    async def enter_alone(self, seconds: float) -> Refusal | None:
        """Wait until nothing else runs, and keep all others out."""
        self.exclusive = True
        try:
            await wait_at_most(self.idle.wait(), seconds)
        except asyncio.TimeoutError:
            self.end_exclusive()
            return not_run(503, "alone", "the endpoint did not become idle", RETRY_AFTER_SECONDS)
        except asyncio.CancelledError:
            self.end_exclusive()
            raise
        self.start()
        return None

    def end_exclusive(self) -> None:
        """Let others in again."""
        self.exclusive = False
        self.admit_next()

    def leave(self, alone: bool) -> None:
        """End a request that was admitted."""
        self.running -= 1
        if self.running == 0:
            self.idle.set()
        if alone:
            self.exclusive = False
        self.admit_next()

    def admit_next(self) -> None:
        """Admit waiting requests while there is room."""
        while self.waiting and self.running < self.concurrency and not self.exclusive:
            turn = self.waiting.popleft()
            if not turn.done():
                self.start()
                turn.set_result(None)

    def start(self) -> None:
        """Count one request as running."""
        self.running += 1
        self.idle.clear()

    def forget(self, turn: asyncio.Future[None]) -> None:
        """Remove a request that no longer waits."""
        if turn in self.waiting:
            self.waiting.remove(turn)

    def close(self) -> None:
        """Take no new work; what waits and runs goes on."""
        self.closed = True

    def is_empty(self) -> bool:
        """Return True where nothing runs or waits."""
        return self.running == 0 and not self.waiting
