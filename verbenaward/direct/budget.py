"""Budget of repeats that all entry processes share without talking about it.

The bound counts, in any window, the sends to a service beyond the first of each request. Each
process may use its share of the fixed part and the ratio of its own requests, so the sum
stays under the bound however load and repeats are spread.
"""

from collections import deque
from dataclasses import dataclass, field

RATIO_MARGIN = 0.8
"""Part of the ratio that is used; requests may end before their repeats are counted."""
EXTRA_MARGIN = 0.8
SPARE_ENTRIES = 3
"""Entry processes that may join without being known yet."""


@dataclass(slots=True)
class ServiceWindow:
    """Requests and repeats of one service, by time."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def forget(self, now: float, window_seconds: float) -> None:
        """Drop what is older than the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] <= now - window_seconds:
                times.popleft()


class SharedBudget:
    """Repeats that one entry process may send.

    Attributes:
      ratio: Repeats allowed for each request to a service.
      extra: Repeats allowed beyond that in a window, over all entry processes.
      window_seconds: Length of the window.
      entries: Entry processes that are known, this one included.
    """

    def __init__(self, ratio: float, extra: float, window_seconds: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_seconds = window_seconds
        self.entries = 1
        self.most_entries = 1
        self.services: dict[str, ServiceWindow] = {}

    def note_entries(self, entries: int) -> None:
        """Note how many entry processes there are; the share never grows back."""
        self.entries = entries
        self.most_entries = max(self.most_entries, entries)

    def note_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self.window_of(service, now).requests.append(now)

    def left(self, service: str, now: float) -> float:
        """Return the repeats that may still be sent in this window."""
        window = self.window_of(service, now)
        share = EXTRA_MARGIN * self.extra / (self.most_entries + SPARE_ENTRIES)
        allowed = share + RATIO_MARGIN * self.ratio * len(window.requests)
        return allowed - len(window.repeats)

    def spend(self, service: str, now: float) -> bool:
        """Take one repeat; False where none is left.

        Args:
          service: Service that gets it.
          now: Present time, monotonic, in seconds.
        """
        if self.left(service, now) < 1.0:
            return False
        self.services[service].repeats.append(now)
        return True

    def window_of(self, service: str, now: float) -> ServiceWindow:
        """Return the window of a service."""
        window = self.services.setdefault(service, ServiceWindow())
        window.forget(now, self.window_seconds)
        return window
