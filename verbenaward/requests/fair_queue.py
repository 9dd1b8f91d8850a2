"""Weighted fair queue in front of the endpoints of one role.

Each workspace has its own queue, ordered by request class. Start-time fair queueing shares
the capacity among workspaces by weight. A full queue sheds a request of the workspace with
the most queued requests per unit of weight, so that a large workspace cannot starve a small
one.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from .. import clock
from ..data import Refusal
from ..waiting import wait_at_most
from .limits import AdaptiveLimit
from .records import Request
from .refusals import not_run

SMOOTHING_FACTOR = 0.1
"""Weight of the newest sample in the moving averages."""
RUN_TIME_MARGIN = 1.25
"""Multiple of the average run time that must remain before a request's deadline."""
MINIMUM_RETRY_AFTER_SECONDS = 1.0
MAXIMUM_RETRY_AFTER_SECONDS = 30.0
"""Bounds of the Retry-After value that callers get."""


@dataclass(slots=True)
class QueuedRequest:
    """A request in the queue.

    Attributes:
      request: The request.
      admission: Resolved with None on admission, or with the refusal.
    """

    request: Request
    admission: asyncio.Future[Refusal | None]


@dataclass(slots=True)
class WorkspaceQueue:
    """Queued requests of one workspace.

    Attributes:
      weight: Share of the capacity, relative to the other workspaces.
      heap: Queued requests, ordered by (-priority, arrival number).
      start_tag: Virtual start time of its next request.
    """

    weight: float
    heap: list[tuple[int, int, QueuedRequest]] = field(default_factory=list)
    start_tag: float = 0.0


class FairQueue:
    """Admits requests in weighted fair order, up to a concurrency limit.

    Attributes:
      limit: Limit on the requests that run at once.
      capacity: Maximum number of queued requests.
      weight_of: Returns the weight of a workspace.
      running: Number of running requests.
      queued_count: Number of queued requests.
      virtual_time: Start tag of the last admitted request.
      seconds_per_request: Moving average of the time between two completions while requests
        are queued.
      run_seconds: Moving average of the run time of answered requests.
      last_end_at: Time of the last completion, monotonic; 0 before the first one.
    """

    def __init__(
        self, limit: AdaptiveLimit, capacity: int, weight_of: Callable[[str], float]
    ) -> None:
        self.limit = limit
        self.capacity = capacity
        self.weight_of = weight_of
        self.queues: dict[str, WorkspaceQueue] = {}
        self.running = 0
        self.queued_count = 0
        self.virtual_time = 0.0
        self.seconds_per_request = 0.0
        self.run_seconds = 0.0
        self.last_end_at = 0.0
        self.arrival_numbers = itertools.count()

    async def enter(self, request: Request, now: float) -> Refusal | None:
        """Wait for admission.

        Args:
          request: The request.
          now: Current time, monotonic, in seconds.

        Returns:
          None if the request was admitted, else the refusal. The caller must call leave()
          when an admitted request ends.
        """
        if self.running < self.limit.value and not self.queued_count:
            self.admit(self.queue_of(request.workspace))
            return None
        expected = self.expected_wait(request.workspace)
        if now + expected + self.required_seconds() >= request.deadline:
            return self.late_refusal(expected)
        queued = QueuedRequest(request, asyncio.get_running_loop().create_future())
        self.push(queued)
        if self.queued_count > self.capacity:
            self.shed()
        try:
            return await wait_at_most(queued.admission, request.deadline - now)
        except TimeoutError:
            if queued.admission.done() and not queued.admission.cancelled():
                return queued.admission.result()
            self.remove(queued)
            return self.late_refusal(expected)
        except asyncio.CancelledError:
            self.remove_cancelled(queued)
            raise

    def leave(self, now: float, ran_seconds: float | None = None) -> None:
        """End an admitted request and admit the next ones.

        Args:
          now: Current time, monotonic, in seconds.
          ran_seconds: Run time of the request; None if it was not answered.
        """
        self.running -= 1
        if ran_seconds is not None:
            self.run_seconds += SMOOTHING_FACTOR * (ran_seconds - self.run_seconds)
        if self.queued_count and self.last_end_at:
            gap = now - self.last_end_at
            self.seconds_per_request += SMOOTHING_FACTOR * (gap - self.seconds_per_request)
        self.last_end_at = now
        self.admit_next(now)

    def admit_next(self, now: float) -> None:
        """Admit queued requests up to the limit; refuse those that would miss their deadline."""
        while self.queued_count and self.running < self.limit.value:
            queue = min(
                (queue for queue in self.queues.values() if queue.heap),
                key=lambda queue: queue.start_tag,
            )
            queued = heapq.heappop(queue.heap)[2]
            self.queued_count -= 1
            if queued.admission.done():
                continue
            if now + self.required_seconds() >= queued.request.deadline:
                queued.admission.set_result(self.late_refusal(0.0))
                continue
            self.admit(queue)
            queued.admission.set_result(None)

    def admit(self, queue: WorkspaceQueue) -> None:
        """Count an admitted request and advance the start tag of its workspace."""
        self.running += 1
        start = max(queue.start_tag, self.virtual_time)
        self.virtual_time = start
        queue.start_tag = start + 1.0 / queue.weight

    def push(self, queued: QueuedRequest) -> None:
        """Append a request to the queue of its workspace."""
        queue = self.queue_of(queued.request.workspace)
        if not queue.heap:
            queue.start_tag = max(queue.start_tag, self.virtual_time)
        entry = (-queued.request.priority, next(self.arrival_numbers), queued)
        heapq.heappush(queue.heap, entry)
        self.queued_count += 1

    def queue_of(self, workspace: str) -> WorkspaceQueue:
        """Return the queue of a workspace, created on first use, with its current weight."""
        weight = self.weight_of(workspace)
        queue = self.queues.get(workspace)
        if queue is None:
            self.drop_idle_queues()
            queue = self.queues[workspace] = WorkspaceQueue(weight)
        queue.weight = weight
        return queue

    def drop_idle_queues(self) -> None:
        """Drop empty queues whose start tag is not ahead of the virtual time."""
        idle = [
            name
            for name, queue in self.queues.items()
            if not queue.heap and queue.start_tag <= self.virtual_time
        ]
        for name in idle:
            del self.queues[name]

    def shed(self) -> None:
        """Refuse the last request of the workspace with the most queued per unit of weight."""
        queue = max(self.queues.values(), key=lambda queue: len(queue.heap) / queue.weight)
        entry = max(queue.heap, key=lambda entry: entry[:2])
        queue.heap.remove(entry)
        heapq.heapify(queue.heap)
        self.queued_count -= 1
        if not entry[2].admission.done():
            entry[2].admission.set_result(self.full_refusal())

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request from its queue, if it is still in it."""
        queue = self.queues.get(queued.request.workspace)
        entries = queue.heap if queue else []
        for entry in entries:
            if entry[2] is queued:
                entries.remove(entry)
                heapq.heapify(entries)
                self.queued_count -= 1
                return

    def remove_cancelled(self, queued: QueuedRequest) -> None:
        """Remove a request whose caller disconnected, whether it was admitted or not."""
        was_admitted = queued.admission.done() and not queued.admission.cancelled()
        if was_admitted and queued.admission.result() is None:
            self.leave(clock.now())
        else:
            self.remove(queued)

    def expected_wait(self, workspace: str) -> float:
        """Estimate how long a new request of a workspace would wait, in seconds."""
        queue = self.queues.get(workspace)
        ahead = len(queue.heap) + 1 if queue else 1
        weights = sum(other.weight for other in self.queues.values() if other.heap)
        own = self.weight_of(workspace)
        share = own / max(own, weights + (0 if queue and queue.heap else own))
        return ahead * self.seconds_per_request / share

    def required_seconds(self) -> float:
        """Return the time that must remain before the deadline on admission, in seconds."""
        return RUN_TIME_MARGIN * self.run_seconds

    def late_refusal(self, expected: float) -> Refusal:
        """Return the refusal for a request that would miss its deadline."""
        message = "the request would not be answered before its deadline"
        return not_run(503, "deadline", message, retry_after(expected))

    def full_refusal(self) -> Refusal:
        """Return the refusal for a request shed from a full queue."""
        seconds = self.queued_count * self.seconds_per_request
        return not_run(503, "queue-full", "too many requests are queued", retry_after(seconds))


def retry_after(seconds: float) -> float:
    """Return an estimated wait, clamped to the bounds of the Retry-After value."""
    return min(max(seconds, MINIMUM_RETRY_AFTER_SECONDS), MAXIMUM_RETRY_AFTER_SECONDS)
