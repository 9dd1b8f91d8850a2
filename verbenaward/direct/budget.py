"""Retry budget that all entry processes share without coordination.

The bound limits the retries to a service in any window, that is the sends beyond the first of each
request. Each process may use its share of the fixed part plus credit of its own requests, so the
sum stays under the bound however requests and retries are spread over the processes, and however
callers move between them (see `retry_window`).

The credit of a request is its process's own, so a process that has just started may use it at once.
But it knows neither what its predecessor has spent of the fixed part nor, at first, how many
processes there are. So until it has run for a window it uses nothing of the fixed part. A process
of a fleet that begins has no predecessor, and its share is given by the opening (see
`budget_opening`). Any other one gets parts of the shares of established processes (see
`budget_grants`).
"""

import math

from .. import metrics
from .budget_grants import RetryGrants
from .retry_window import RetryWindow

RATIO_MARGIN = 0.85
"""Share of the ratio that is used; the rest is a reserve for requests that their process reads
late, and for retries that a predecessor has sent and that a backend reads later."""
EXTRA_MARGIN = 0.85
"""Share of the fixed part that is used; the rest is a reserve for processes that joined while
others were cut off, whose shares do not shrink."""
JOIN_SECONDS = 2.0
"""Time in which the other processes count one that joins."""


class SharedRetryBudget:
    """Limits the retries that one entry process may send.

    Attributes:
      ratio: Retries allowed for each request to a service.
      extra: Retries allowed beyond that in a window, over all entry processes.
      window_seconds: Length of the window.
      started_at: When this process started, monotonic; minus infinity for long ago.
      entry_count: Entry processes that are known now, this one included; 0 while none are known,
        as the registry was not read yet.
      maximum_entry_count: Largest count so far; the fixed part is divided by it.
      opening_share: Share in the first window of a process of a fleet that begins; None for any
        other process.
      is_opening_complete: True once no process can join those that begin the fleet.
      incarnation: Start time of this process in nanoseconds, by which peers detect a restart.
      grants: Parts of the budget given to other processes, and received from them.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_seconds: float,
        started_at: float = -math.inf,
        incarnation: int = 0,
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_seconds = window_seconds
        self.started_at = started_at
        self.entry_count = 0
        self.maximum_entry_count = 0
        self.opening_share: float | None = None
        self.is_opening_complete = False
        self.incarnation = incarnation
        self.grants = RetryGrants()
        self.services: dict[str, RetryWindow] = {}

    def update_entry_count(self, entry_count: int) -> None:
        """Set the number of entry processes; the share of this one never grows again."""
        self.entry_count = entry_count
        self.maximum_entry_count = max(self.maximum_entry_count, entry_count)

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller, which adds to the budget."""
        self.window_of(service).record_request(now, self.window_seconds)

    def remaining(self, service: str, now: float) -> float:
        """Return the retries that may still be sent in this window."""
        fixed, ratio = self.fixed_share(now), RATIO_MARGIN * self.ratio
        return self.window_of(service).remaining(fixed, ratio, now, self.window_seconds)

    def is_new(self, now: float) -> bool:
        """Return True while a predecessor of this process may have sent retries in the window."""
        return self.is_in_first_window(now) and self.opening_share is None

    def is_in_first_window(self, now: float) -> bool:
        """Return True until this process has run for a window that its peers count it in."""
        return now - self.started_at < self.window_seconds + JOIN_SECONDS

    def fixed_share(self, now: float) -> float:
        """Return the part of the fixed part that this process may use in a window."""
        if self.is_new(now):
            return self.grants.received_retries()
        self.grants.drop_expired(now, self.window_seconds + JOIN_SECONDS)
        return EXTRA_MARGIN * self.extra * self.share(now) - self.grants.given_retries()

    def share(self, now: float) -> float:
        """Return the share of an established process, or of one of a fleet that begins."""
        if self.is_in_first_window(now):
            return self.opening_share or 0.0
        return 1.0 / self.maximum_entry_count if self.maximum_entry_count else 0.0

    def asks(self, now: float) -> bool:
        """Return True if this process asks its peers for parts of their shares."""
        return self.is_new(now) and self.is_opening_complete

    def give(self, incarnation: int, now: float) -> float:
        """Give a part of what is left to a process that has just started; return the retries."""
        if self.is_new(now):
            return 0.0
        left = [self.remaining(service, now) for service in list(self.services)]
        available = min([self.fixed_share(now), *left])
        return self.grants.give(incarnation, available, self.maximum_entry_count, now)

    def receive_grant(self, giver: str, incarnation: int, retries: float) -> None:
        """Record what a peer has given to this process, unless it was meant for a predecessor."""
        if incarnation == self.incarnation:
            self.grants.received[giver] = retries

    def spend(self, service: str, now: float) -> bool:
        """Count a retry against the budget; False if none is left.

        It counts in every span until `record_read`.

        Args:
          service: Service that the retry is sent to.
          now: Present time, monotonic, in seconds.
        """
        if self.remaining(service, now) < 1.0:
            return False
        self.window_of(service).unread += 1
        metrics.RETRIES_SENT.labels(service).inc()
        return True

    def record_read(self, service: str, now: float) -> None:
        """Record that a backend has read a retry by now: it counts for one window from now on."""
        window = self.window_of(service)
        window.unread -= 1
        window.record_retry(now, self.window_seconds)

    def window_of(self, service: str) -> RetryWindow:
        """Return the window of a service."""
        return self.services.setdefault(service, RetryWindow())
