"""Admission control at the endpoint: a concurrency limit, a bounded queue, exclusive runs."""

import asyncio
from collections import deque

from ..data import Load, Refusal
from ..requests.refusals import not_run
from ..waiting import wait_at_most

RETRY_AFTER_SECONDS = 1.0
EXCLUSIVE_WAIT_SECONDS = 5.0
"""Longest wait for the running requests to end before an exclusive one starts.

The endpoint admits nothing else during this wait.
"""


class AdmissionGate:
    """Admits as many requests as the backend can run at once.

    Attributes:
      concurrency: Limit on running requests.
      capacity: Limit on queued requests.
      running: Number of running requests.
      waiting: One future for each queued request, oldest first; a result means admission.
      closed: True once new requests are refused.
      exclusive: True while an exclusive request runs or waits for the others to end.
      idle: Set while no request runs.
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
        """Return the current load, for the load header of answers."""
        return Load(self.running, len(self.waiting), self.concurrency)

    async def enter(self, seconds: float, exclusive: bool, no_wait: bool = False) -> Refusal | None:
        """Wait for admission.

        Args:
          seconds: Longest wait, in seconds.
          exclusive: True if the request must be the only one that runs.
          no_wait: True to refuse the request instead of queueing it.

        Returns:
          None if the request was admitted, else the refusal. The caller must call leave()
          for an admitted request when it has ended.
        """
        if self.closed:
            return not_run(503, "leaving", "this VM is draining", RETRY_AFTER_SECONDS)
        if self.exclusive:
            return not_run(
                503, "alone", "a request has exclusive use of this endpoint", RETRY_AFTER_SECONDS
            )
        if exclusive:
            return await self.enter_exclusive(min(seconds, EXCLUSIVE_WAIT_SECONDS))
        if self.running < self.concurrency and not self.waiting:
            self.start()
            return None
        if no_wait:
            return not_run(503, "no-free-slot", "no slot is free", RETRY_AFTER_SECONDS)
        if len(self.waiting) >= self.capacity:
            return not_run(
                503, "queue-full", "the queue of the endpoint is full", RETRY_AFTER_SECONDS
            )
        return await self.wait_for_slot(seconds)

    async def wait_for_slot(self, seconds: float) -> Refusal | None:
        """Wait in the queue until a slot is free or the time is over."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(waiter)
        try:
            await wait_at_most(waiter, seconds)
        except TimeoutError:
            if waiter.done() and not waiter.cancelled():
                return None
            self.remove_waiter(waiter)
            return not_run(503, "deadline", "no slot became free in time", RETRY_AFTER_SECONDS)
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.leave(False)
            else:
                self.remove_waiter(waiter)
            raise
        return None

    async def enter_exclusive(self, seconds: float) -> Refusal | None:
        """Refuse all other requests and wait until none runs."""
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
        """Admit other requests again."""
        self.exclusive = False
        self.admit_next()

    def leave(self, exclusive: bool) -> None:
        """Give back the slot of an admitted request that has ended."""
        self.running -= 1
        if self.running == 0:
            self.idle.set()
        if exclusive:
            self.exclusive = False
        self.admit_next()

    def admit_next(self) -> None:
        """Admit queued requests while slots are free."""
        while self.waiting and self.running < self.concurrency and not self.exclusive:
            waiter = self.waiting.popleft()
            if not waiter.done():
                self.start()
                waiter.set_result(None)

    def start(self) -> None:
        """Count one request as running."""
        self.running += 1
        self.idle.clear()

    def remove_waiter(self, waiter: asyncio.Future[None]) -> None:
        """Remove a request that timed out or was cancelled from the queue."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)

    def close(self) -> None:
        """Refuse new requests; queued and running ones are finished."""
        self.closed = True

    def is_empty(self) -> bool:
        """Return True if no request is running or queued."""
        return self.running == 0 and not self.waiting
