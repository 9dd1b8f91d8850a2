"""Weighted fair queue before the endpoints of one role.

Each workspace has its own queue, ordered by class. Capacity goes to workspaces by weight,
by start-time fair queueing. A full queue sheds from the workspace that holds the most in
proportion to its weight, so that a large one cannot starve a small one.
"""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ..data import Refusal
from ..waiting import wait_at_most
from .limits import AdaptiveLimit
from .records import Request
from .refusals import not_run

RATE_SMOOTHING = 0.1
RUN_MARGIN = 1.25
MINIMUM_RETRY_AFTER_SECONDS = 1.0
MAXIMUM_RETRY_AFTER_SECONDS = 30.0


@dataclass(slots=True)
class Waiting:
    """One request that waits.

    Attributes:
      request: The request.
      turn: Resolved with None to go on, or with a refusal.
    """

    request: Request
    turn: asyncio.Future[Refusal | None]


@dataclass(slots=True)
class WorkspaceQueue:
    """Requests of one workspace.

    Attributes:
      weight: Its share.
      heap: Waiting requests by (-priority, arrival).
      tag: Virtual time at which its next request may start.
    """

    weight: float
    heap: list[tuple[int, int, Waiting]] = field(default_factory=list)
    tag: float = 0.0


class FairQueue:
    """Admits requests in fair order while the limit has room.

    Attributes:
      limit: How many may run at once.
      capacity: Most requests that may wait.
      running: Requests that run now.
      waiting_count: Requests that wait now.
      seconds_per_request: Smoothed time between two requests that end.
      run_seconds: Smoothed time that an admitted request runs.
    """

    def __init__(
        self, limit: AdaptiveLimit, capacity: int, weight_of: Callable[[str], float]
    ) -> None:
        self.limit = limit
        self.capacity = capacity
        self.weight_of = weight_of
        self.queues: dict[str, WorkspaceQueue] = {}
        self.running = 0
        self.waiting_count = 0
        self.virtual_time = 0.0
        self.seconds_per_request = 0.0
        self.run_seconds = 0.0
        self.last_end = 0.0
        self.arrivals = itertools.count()

    async def enter(self, request: Request, now: float) -> Refusal | None:
        """Wait for admission.

        Args:
          request: The request.
          now: Present time, monotonic, in seconds.

        Returns:
          None where the request was admitted, else the refusal. An admitted request must
          be ended by leave().
        """
        if self.running < self.limit.value and not self.waiting_count:
            self.admit(self.queue_of(request.workspace))
            return None
        expected = self.expected_wait(request.workspace)
        if now + expected + self.needed_seconds() >= request.deadline:
            return self.late_refusal(expected)
        waiting = Waiting(request, asyncio.get_running_loop().create_future())
        self.push(waiting)
        if self.waiting_count > self.capacity:
            self.shed()
        try:
            return await wait_at_most(waiting.turn, request.deadline - now)
        except TimeoutError:
            if waiting.turn.done() and not waiting.turn.cancelled():
                return waiting.turn.result()
            self.withdraw(waiting)
            return self.late_refusal(expected)
        except asyncio.CancelledError:
            self.give_up(waiting)
            raise

    def leave(self, now: float, ran_seconds: float | None = None) -> None:
        """End a request that was admitted and admit the next ones.

        Args:
          now: Present time, monotonic, in seconds.
          ran_seconds: Time that it ran, where it was answered.
        """
        self.running -= 1
        if ran_seconds is not None:
            self.run_seconds += RATE_SMOOTHING * (ran_seconds - self.run_seconds)
        if self.waiting_count and self.last_end:
            gap = now - self.last_end
            self.seconds_per_request += RATE_SMOOTHING * (gap - self.seconds_per_request)
        self.last_end = now
        self.admit_next(now)

    def admit_next(self, now: float) -> None:
        """Admit waiting requests while there is room; refuse those that would be late."""
        while self.waiting_count and self.running < self.limit.value:
            queue = min(
                (queue for queue in self.queues.values() if queue.heap),
                key=lambda queue: queue.tag,
            )
            waiting = heapq.heappop(queue.heap)[2]
            self.waiting_count -= 1
            if waiting.turn.done():
                continue
            if now + self.needed_seconds() >= waiting.request.deadline:
                waiting.turn.set_result(self.late_refusal(0.0))
                continue
            self.admit(queue)
            waiting.turn.set_result(None)

    def admit(self, queue: WorkspaceQueue) -> None:
        """Count one admitted request of a workspace."""
        self.running += 1
        start = max(queue.tag, self.virtual_time)
        self.virtual_time = start
        queue.tag = start + 1.0 / queue.weight

    def push(self, waiting: Waiting) -> None:
        """Add a request to the queue of its workspace."""
        queue = self.queue_of(waiting.request.workspace)
        if not queue.heap:
            queue.tag = max(queue.tag, self.virtual_time)
        entry = (-waiting.request.priority, next(self.arrivals), waiting)
        heapq.heappush(queue.heap, entry)
        self.waiting_count += 1

    def queue_of(self, workspace: str) -> WorkspaceQueue:
        """Return the queue of a workspace, with its present weight."""
        weight = self.weight_of(workspace)
        queue = self.queues.get(workspace)
        if queue is None:
            self.forget_idle()
            queue = self.queues[workspace] = WorkspaceQueue(weight)
        queue.weight = weight
        return queue

    def forget_idle(self) -> None:
        """Drop queues of workspaces that wait for nothing and owe nothing."""
        idle = [
            name
            for name, queue in self.queues.items()
            if not queue.heap and queue.tag <= self.virtual_time
        ]
        for name in idle:
            del self.queues[name]

    def shed(self) -> None:
        """Refuse the last request of the workspace that waits with the most."""
        queue = max(self.queues.values(), key=lambda queue: len(queue.heap) / queue.weight)
        entry = max(queue.heap, key=lambda entry: entry[:2])
        queue.heap.remove(entry)
        heapq.heapify(queue.heap)
        self.waiting_count -= 1
        if not entry[2].turn.done():
            entry[2].turn.set_result(self.full_refusal())

    def withdraw(self, waiting: Waiting) -> None:
        """Remove a request that no longer waits."""
        queue = self.queues.get(waiting.request.workspace)
        entries = queue.heap if queue else []
        for entry in entries:
            if entry[2] is waiting:
                entries.remove(entry)
                heapq.heapify(entries)
                self.waiting_count -= 1
                return

    def give_up(self, waiting: Waiting) -> None:
        """Remove a request whose caller has hung up, admitted or not."""
        was_admitted = waiting.turn.done() and not waiting.turn.cancelled()
        if was_admitted and waiting.turn.result() is None:
            self.leave(time.monotonic())
        else:
            self.withdraw(waiting)

    def expected_wait(self, workspace: str) -> float:
        """Return the seconds that a new request of a workspace would wait."""
        queue = self.queues.get(workspace)
        ahead = len(queue.heap) + 1 if queue else 1
        weights = sum(item.weight for item in self.queues.values() if item.heap)
        own = self.weight_of(workspace)
        share = own / max(own, weights + (0 if queue and queue.heap else own))
        return ahead * self.seconds_per_request / share

    def needed_seconds(self) -> float:
        """Return the time that a request should have left when it is admitted."""
        return RUN_MARGIN * self.run_seconds

    def late_refusal(self, expected: float) -> Refusal:
        """Return the refusal of a request that would miss its deadline."""
        message = "the request would not be answered before its deadline"
        return not_run(503, "deadline", message, retry_after(expected))

    def full_refusal(self) -> Refusal:
        """Return the refusal of a request that the queue has no room for."""
        seconds = self.waiting_count * self.seconds_per_request
        return not_run(503, "queue-full", "too many requests wait", retry_after(seconds))


def retry_after(seconds: float) -> float:
    """Return a wait for callers within sensible bounds."""
    return min(max(seconds, MINIMUM_RETRY_AFTER_SECONDS), MAXIMUM_RETRY_AFTER_SECONDS)
