"""Sends that no backend is known to have read: their retries count until one has.

A backend that stands still, as a suspended process does, reads what has come when it goes on, also
if the sender has left meanwhile. So a send that is given up is not over. It has been read once its
backend answers it, or anything that was sent to it later; a send that fails otherwise has ended.
"""

from collections import deque
from dataclasses import dataclass

from .budget import SharedRetryBudget

LONGEST_STANDSTILL_SECONDS = 30.0
"""Time after which a send counts as read though its backend has shown no life: several times the
silence after which the platform takes a backend for gone."""


@dataclass(slots=True)
class RequestCharges:
    """What a request's sends cost the retry budget.

    Of n sends at most n - 1 are repeats, and those that were not read may be repeats whenever they
    are read.

    Attributes:
      service: Service that it is for.
      retries: Sends beyond its first one.
      unread: Sends that may not have been read yet.
      held: Retries that the budget counts as unread.
    """

    service: str
    retries: int = 0
    unread: int = 0
    held: int = 0


@dataclass(slots=True, eq=False)
class UnreadSend:
    """A send that may not have been read yet.

    Attributes:
      sent_at: When it was sent, monotonic, in seconds.
      charges: Those of its request.
      is_read: True once it has been read, or cannot be read any more.
    """

    sent_at: float
    charges: RequestCharges
    is_read: bool = False


class UnreadSends:
    """All sends of this process that backends may not have read yet.

    Attributes:
      budget: Retry budget of this process.
      by_backend: Sends by the name of the backend's incarnation, the oldest first.
    """

    def __init__(self, budget: SharedRetryBudget) -> None:
        self.budget = budget
        self.by_backend: dict[int, deque[UnreadSend]] = {}

    def spend(self, charges: RequestCharges, now: float) -> bool:
        """Count one more send of a request against the budget; False if none is left."""
        if not self.budget.spend(charges.service, now):
            return False
        charges.retries += 1
        charges.held += 1
        return True

    def record_sent(self, charges: RequestCharges, backend: int, now: float) -> UnreadSend:
        """Record a send, right after `spend` if it is not the first one of its request."""
        send = UnreadSend(now, charges)
        charges.unread += 1
        self.by_backend.setdefault(backend, deque()).append(send)
        return send

    def record_read(self, send: UnreadSend, now: float) -> None:
        """Record that a backend has read a send, or that none will."""
        if send.is_read:
            return
        send.is_read = True
        charges = send.charges
        charges.unread -= 1
        while charges.held > min(charges.unread, charges.retries):
            charges.held -= 1
            self.budget.record_read(charges.service, now)

    def record_life(self, backend: int, sent_at: float, now: float) -> None:
        """Record that a backend has answered a send: it has read that and all earlier ones.

        Args:
          backend: Name of its incarnation.
          sent_at: When the answered request was sent, monotonic.
          now: Present time, monotonic, in seconds.
        """
        sends = self.by_backend.get(backend)
        while sends and sends[0].sent_at <= sent_at:
            self.record_read(sends.popleft(), now)
        if not sends:
            self.by_backend.pop(backend, None)

    def drop_expired(self, now: float) -> None:
        """Take sends as read that are older than any standstill."""
        for backend in list(self.by_backend):
            self.record_life(backend, now - LONGEST_STANDSTILL_SECONDS, now)
