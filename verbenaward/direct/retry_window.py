"""Requests and retries of one service at one process, and what may still be sent again.

The bound counts the retries of a window, of all processes together, against the requests of a
window that begins half a window earlier. A count that each process takes of the time before its own
send does not add up: processes whose callers move, or burst, would spend on requests of different
windows. So every span from a retry up to now is bounded by the requests around its start:

    retries since t <= fixed share + credit * requests from t - window/2 to t + window/2

For one t this holds at every process, wherever callers are, so it holds for the sums.
"""

from collections import deque
from dataclasses import dataclass, field

SLOT_SECONDS = 0.1
"""Retries that are closer together share a record, so that a window has few of them."""


@dataclass(slots=True)
class Slot:
    """Retries that were sent soon after each other.

    Attributes:
      first_at: When the first of them was sent, monotonic.
      retries: How many they are.
      older: Requests that came more than half a window before the last of them.
      until: Requests that came up to half a window after the first; None before that has passed.
    """

    first_at: float
    retries: int
    older: int
    until: int | None = None


@dataclass(slots=True)
class RetryWindow:
    """The latest requests and retries of a service.

    Attributes:
      requests: Times of the requests of the last half window, the oldest first.
      request_count: Requests since the start of the process.
      slots: Retries of the last window, the oldest first.
    """

    requests: deque[float] = field(default_factory=deque)
    request_count: int = 0
    slots: deque[Slot] = field(default_factory=deque)

    def record_request(self, now: float, window_seconds: float) -> None:
        """Count a request."""
        self.drop_expired(now, window_seconds)
        self.requests.append(now)
        self.request_count += 1

    def record_retry(self, now: float, window_seconds: float) -> None:
        """Count a retry."""
        self.drop_expired(now, window_seconds)
        older = self.request_count - len(self.requests)
        last = self.slots[-1] if self.slots else None
        if last is not None and now - last.first_at < SLOT_SECONDS:
            last.retries += 1
            last.older = older
        else:
            self.slots.append(Slot(now, 1, older))

    def drop_expired(self, now: float, window_seconds: float) -> None:
        """Drop what is too old to be counted, and end the counting of requests after retries."""
        half = window_seconds / 2
        while self.requests and self.requests[0] < now - half:
            self.requests.popleft()
        while self.slots and self.slots[0].first_at < now - window_seconds - SLOT_SECONDS:
            self.slots.popleft()
        for slot in self.slots:
            if slot.first_at >= now - half:
                break
            if slot.until is None:
                slot.until = self.request_count

    def sent_retries(self, now: float, window_seconds: float) -> int:
        """Return the retries of the last window."""
        self.drop_expired(now, window_seconds)
        return sum(slot.retries for slot in self.slots)

    def remaining(self, fixed: float, credit: float, now: float, window_seconds: float) -> float:
        """Return the retries that may still be sent now.

        Args:
          fixed: Share of this process in the fixed part of the bound.
          credit: Retries that each request adds.
          now: Present time, monotonic, in seconds.
          window_seconds: Length of the window of the bound.
        """
        self.drop_expired(now, window_seconds)
        least = credit * len(self.requests)
        retries = 0
        for slot in reversed(self.slots):
            retries += slot.retries
            until = self.request_count if slot.until is None else slot.until
            least = min(least, credit * (until - slot.older) - retries)
        return fixed + least
