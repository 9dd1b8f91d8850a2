"""Lines about what was decided on a request.

The volume is bounded: a process writes at most so many lines a second, and what was dropped
is counted in the next line. Failures have a share of their own.
"""

import time
from dataclasses import dataclass
from typing import Any

from ..data import Refusal
from ..logs import get_logger
from .backends import BackendView
from .placing import Choice
from .records import FailedAttempt, Request

LOG = get_logger(__name__)
USUAL_LINES_PER_SECOND = 60.0
FAILURE_LINES_PER_SECOND = 100.0


@dataclass(slots=True)
class LineBudget:
    """Lines that may still be written.

    Attributes:
      per_second: Lines a second.
      left: Lines at hand, of at most one second.
      filled_at: When they were last counted, monotonic.
      dropped: Lines that were not written since the last one.
    """

    per_second: float
    left: float = 0.0
    filled_at: float = 0.0
    dropped: int = 0

    def take(self, now: float) -> bool:
        """Take one line; False where there is none."""
        grown = self.left + (now - self.filled_at) * self.per_second
        self.left = min(self.per_second, grown)
        self.filled_at = now
        if self.left < 1.0:
            self.dropped += 1
            return False
        self.left -= 1.0
        return True


class DecisionLog:
    """Writes lines about decisions on requests."""

    def __init__(self) -> None:
        self.usual = LineBudget(USUAL_LINES_PER_SECOND)
        self.failures = LineBudget(FAILURE_LINES_PER_SECOND)

    def write(self, budget: LineBudget, event: str, request: Request, **values: Any) -> None:
        """Write a line about a request where the budget allows one."""
        held = round((time.monotonic() - request.received_at) * 1000, 1)
        self.write_line(budget, event, request=request.said.request_id, held_ms=held, **values)

    def write_line(self, budget: LineBudget, event: str, **values: Any) -> None:
        """Write a line where the budget allows one, and how many were dropped before it."""
        if not budget.take(time.monotonic()):
            return
        if budget.dropped:
            values["dropped"] = budget.dropped
            budget.dropped = 0
        LOG.info(event, **values)

    def turned_away(self, request_id: str, refusal: Refusal) -> None:
        """Note that a request ends before a backend is looked for."""
        self.write_line(
            self.failures,
            "request.turned-away",
            request=request_id,
            reason=refusal.reason,
            status=refusal.status,
            message=refusal.message,
        )

    def sent(self, request: Request, choice: Choice, sends: int) -> None:
        """Note that a request was sent to a backend."""
        now = time.monotonic()
        self.write(
            self.usual,
            "request.sent",
            request,
            route=request.route.name,
            backend=choice.view.backend.identity,
            registered=choice.view.backend.revision,
            running=choice.view.all_running(now),
            expected_ms=round(choice.expected_seconds * 1000),
            version=choice.version,
            sends=sends,
            caller_ms=round((request.said.deadline_seconds or 0.0) * 1000),
        )

    def refused(
        self,
        request: Request,
        refusal: Refusal,
        choice: Choice | None,
        allowed_seconds: float | None = None,
    ) -> None:
        """Note that a request ends with a refusal, and what the time to it was held against."""
        expected = round(choice.expected_seconds * 1000) if choice else None
        self.write(
            self.failures,
            "request.refused",
            request,
            route=request.route.name,
            reason=refusal.reason,
            verdict=refusal.verdict.value,
            status=refusal.status,
            message=refusal.message,
            expected_ms=expected,
            allowed_ms=None if allowed_seconds is None else round(allowed_seconds * 1000),
            caller_ms=round((request.said.deadline_seconds or 0.0) * 1000),
            retry_after=round(refusal.retry_after_seconds, 3),
        )

    def failed(self, request: Request, view: BackendView, failed: FailedAttempt) -> None:
        """Note that an attempt failed."""
        self.write(
            self.failures,
            "request.failed",
            request,
            backend=view.backend.identity,
            failure=failed.failure.value,
            may_have_run=failed.may_have_run,
            message=failed.message[:200],
        )

    def resumed(self, request: Request, after: str, reason: str) -> None:
        """Note that a stream goes on at another backend."""
        self.write(self.failures, "request.resumed", request, after=after, reason=reason)

    def cancelled(self, request: Request) -> None:
        """Note that the caller left."""
        self.write(self.usual, "request.cancelled", request)

    def answered(
        self, request: Request, status: int, sends: int, first_seconds: float = 0.0
    ) -> None:
        """Note that an answer was passed on, and when its first event was."""
        first_ms = round(first_seconds * 1000)
        self.write(
            self.usual, "request.answered", request, status=status, sends=sends, first_ms=first_ms
        )
