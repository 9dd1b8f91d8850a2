"""Requests and retries of one service at one process, and what may still be sent again.

The bound counts the retries of a window, of all processes together, against the requests of the
same window or of the one before it, whichever has more. A count that each process takes of the time
before its own send does not add up to that: processes whose callers move, or burst, would spend on
requests of different windows. So every span from a retry up to now is bounded:

    retries since t <= fixed share + credit * requests since one window before t

With half of the ratio as credit the right side is below the mean of what both windows allow, and
linear in the requests. It holds for every t at every process, wherever callers are (it is tightest
where t is the time of a retry), so it holds for the sums.

What counts is when a backend reads a retry. One that is not known to have been read may be read at
any time, so it counts in every span until then.
"""

from collections import deque
from dataclasses import dataclass, field

WINDOWS_OF_REQUEST = 2
"""Windows in which the retries of one request may be: the one that it is in, and the next."""
SLOT_SECONDS = 0.1
"""Retries that are closer together share a record, so that a window has few of them."""


@dataclass(slots=True)
class Slot:
    """Retries that were sent soon after each other.

    Attributes:
      first_at: When the first of them was sent, monotonic.
      retries: How many they are.
      older: Requests that came more than a window before the last of them.
    """

    first_at: float
    retries: int
    older: int


@dataclass(slots=True)
class RetryWindow:
    """The latest requests and retries of a service.

    Attributes:
      requests: Times of the requests of the last window, the oldest first.
      request_count: Requests since the start of the process.
      slots: Retries of the last window, the oldest first.
      unread: Further retries that backends may not have read yet.
    """

    requests: deque[float] = field(default_factory=deque)
    request_count: int = 0
    slots: deque[Slot] = field(default_factory=deque)
    unread: int = 0

    def record_request(self, now: float, window_seconds: float) -> None:
        """Count a request."""
        self.drop_expired(now, window_seconds)
        self.requests.append(now)
        self.request_count += 1

    def record_retry(self, now: float, window_seconds: float) -> None:
        """Count a retry that is read now."""
        self.drop_expired(now, window_seconds)
        older = self.request_count - len(self.requests)
        last = self.slots[-1] if self.slots else None
        if last is not None and now - last.first_at < SLOT_SECONDS:
            last.retries += 1
            last.older = older
        else:
            self.slots.append(Slot(now, 1, older))

    def drop_expired(self, now: float, window_seconds: float) -> None:
        """Drop what is older than a window."""
        while self.requests and self.requests[0] < now - window_seconds:
            self.requests.popleft()
        while self.slots and self.slots[0].first_at < now - window_seconds - SLOT_SECONDS:
            self.slots.popleft()

    def sent_retries(self, now: float, window_seconds: float) -> int:
        """Return the retries of the last window, and those that were not read yet."""
        self.drop_expired(now, window_seconds)
        return sum(slot.retries for slot in self.slots) + self.unread

    def remaining(self, fixed: float, ratio: float, now: float, window_seconds: float) -> float:
        """Return the retries that may still be sent now.

        Args:
          fixed: Share of this process in the fixed part of the bound.
          ratio: Retries that the bound allows for each request.
          now: Present time, monotonic, in seconds.
          window_seconds: Length of the window of the bound.
        """
        self.drop_expired(now, window_seconds)
        credit = ratio / WINDOWS_OF_REQUEST
        least = credit * len(self.requests)
        retries = 0
        for slot in reversed(self.slots):
            retries += slot.retries
            least = min(least, credit * (self.request_count - slot.older) - retries)
        return fixed + least - self.unread
