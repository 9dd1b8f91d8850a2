"""Log lines about the decisions on each request, with a rate limit.

Lines over the limit are dropped, and the next line carries their number. Failures have a limit of
their own, so that usual lines do not displace them. A line about a send is written only if there is
room for the line about the end of its request too: one without the other is no dropped line.
"""

import math
from dataclasses import dataclass
from typing import Any

from .. import clock, metrics
from ..data import Refusal
from ..logs import get_logger
from ..placement.backends import BackendView
from ..placement.placer import Choice
from ..placement.request_types import FailedAttempt, Request

LOG = get_logger(__name__)
USUAL_LINES_PER_SECOND = 60.0
FAILURE_LINES_PER_SECOND = 100.0
LONGEST_LOGGED_ID = 128
"""Characters of a request's id in a line; a caller may send one as long as a head."""


@dataclass(slots=True)
class LineRateLimit:
    """Token bucket for log lines.

    Attributes:
      per_second: Lines allowed a second, and the size of the bucket.
      available: Lines that may be written now.
      refilled_at: When the bucket was last refilled, monotonic.
      dropped: Lines dropped since the last written one.
    """

    per_second: float
    available: float = 0.0
    refilled_at: float = 0.0
    dropped: int = 0

    def acquire(self, now: float, lines: int = 1) -> bool:
        """Take lines from the bucket; count a dropped line and return False if it lacks them.

        Args:
          now: Present time, monotonic, in seconds.
          lines: The line to be written now and those reserved with it; 0 if it was reserved.
        """
        grown = self.available + (now - self.refilled_at) * self.per_second
        self.available = min(self.per_second, grown)
        self.refilled_at = now
        if self.available < lines:
            self.dropped += 1
            return False
        self.available -= lines
        return True


class RequestLog:
    """Writes rate-limited log lines about requests.

    Attributes:
      usual: Limit on usual lines.
      failures: Limit on lines about failures.
      reserved: Ids of the requests in progress for whose last line there is room.
    """

    def __init__(self) -> None:
        self.reserved: set[str] = set()
        self.usual = LineRateLimit(USUAL_LINES_PER_SECOND)
        self.failures = LineRateLimit(FAILURE_LINES_PER_SECOND)

    def write(self, limit: LineRateLimit, event: str, request: Request, **values: Any) -> None:
        """Write a line about a request, with its id and age, if the limit allows."""
        self.write_line(limit, event, **id_and_age(request), **values)

    def write_line(self, limit: LineRateLimit, event: str, lines: int = 1, **values: Any) -> bool:
        """Write a line, with the number of lines dropped before it, if the limit allows.

        Args:
          limit: The limit.
          event: Event of the line.
          lines: The line and those reserved with it; 0 if it was reserved.
          **values: Fields of the line.

        Returns:
          True if it was written.
        """
        if not limit.acquire(clock.now(), lines):
            return False
        if "request" in values:
            values["request"] = values["request"][:LONGEST_LOGGED_ID]
        if limit.dropped:
            values["dropped"] = limit.dropped
            limit.dropped = 0
        LOG.info(event, **values)
        return True

    def write_end(self, limit: LineRateLimit, event: str, request: str, **values: Any) -> None:
        """Write a line about the end of a request, if it was reserved or the limit allows.

        Args:
          limit: The limit.
          event: Event of the line.
          request: Id of the request.
          **values: Fields of the line.
        """
        lines = 0 if request in self.reserved else 1
        self.reserved.discard(request)
        self.write_line(limit, event, lines=lines, request=request, **values)

    def ended(self, request_id: str, status: int) -> None:
        """Log the end of a request whose sends were logged, unless a line has said it.

        Args:
          request_id: Its id.
          status: Status that its caller got.
        """
        if request_id in self.reserved:
            self.write_end(
                self.usual,
                "request.ended",
                request_id,
                status=status,
            )

    def refused_early(self, request_id: str, refusal: Refusal) -> None:
        """Log that a request was refused before a backend was chosen."""
        self.write_end(
            self.failures,
            "request.turned-away",
            request_id,
            reason=refusal.reason,
            status=refusal.status,
            message=refusal.message,
        )

    def stopped(self, request_id: str, status: int) -> None:
        """Log that this process had to end before the answer to a request.

        Args:
          request_id: Its id.
          status: Status that its caller gets; 0 if its connection is aborted.
        """
        self.write_end(
            self.failures,
            "request.stopped",
            request_id,
            status=status,
        )

    def unexpected(self, request_id: str, status: int, error: Exception) -> None:
        """Log that the handling of a request failed with an error that nothing expects.

        Args:
          request_id: Its id.
          status: Status that its caller gets; 0 if its connection is aborted.
          error: The error; the line has its traceback.
        """
        self.write_end(
            self.failures,
            "request.unexpected",
            request_id,
            status=status,
            message=f"{type(error).__name__} {error}"[:200],
            exc_info=error,
        )

    def sent(
        self, request: Request, choice: Choice, sends: int, limit_seconds: float | None = None
    ) -> None:
        """Log that a request was sent to a backend, with the expected wait and its limit."""
        now = clock.now()
        request_id = request.parsed_headers.request_id
        if self.write_line(
            self.usual,
            "request.sent",
            lines=1 if request_id in self.reserved else 2,
            **id_and_age(request),
            route=request.route.name,
            backend=choice.view.backend.identity,
            registered=choice.view.backend.revision,
            running=choice.view.all_running(now),
            expected_ms=round(choice.expected_seconds * 1000),
            urgency=request.level or 0,
            limit_ms=None if limit_seconds is None else round(limit_seconds * 1000),
            version=choice.version,
            start_within_ms=milliseconds_until(choice.start_deadline, now),
            sends=sends,
            caller_ms=round((request.parsed_headers.deadline_seconds or 0.0) * 1000),
        ):
            self.reserved.add(request_id)

    def refused(
        self,
        request: Request,
        refusal: Refusal,
        choice: Choice | None,
        allowed_seconds: float | None = None,
    ) -> None:
        """Count and log a refusal, with the expected wait and the one that was allowed."""
        metrics.REFUSALS.labels(str(request.level or 0), refusal.reason).inc()
        expected = round(choice.expected_seconds * 1000) if choice else None
        self.write_end(
            self.failures,
            "request.refused",
            **id_and_age(request),
            route=request.route.name,
            urgency=request.level or 0,
            reason=refusal.reason,
            verdict=refusal.verdict.value,
            status=refusal.status,
            message=refusal.message,
            expected_ms=expected,
            allowed_ms=None if allowed_seconds is None else round(allowed_seconds * 1000),
            caller_ms=round((request.parsed_headers.deadline_seconds or 0.0) * 1000),
            retry_after=round(refusal.retry_after_seconds, 3),
        )

    def failed(self, request: Request, view: BackendView, failed: FailedAttempt) -> None:
        """Log that an attempt failed."""
        self.write(
            self.failures,
            "request.failed",
            request,
            backend=view.backend.identity,
            failure=failed.failure.value,
            may_have_run=failed.may_have_run,
            message=failed.message[:200],
        )

    def resumed(self, request: Request, after: str, view: BackendView) -> None:
        """Log that a stream is resumed at another backend, and after which event."""
        self.write(
            self.failures, "request.resumed", request, after=after, backend=view.backend.identity
        )

    def superseded(self, request: Request, view: BackendView, by: BackendView) -> None:
        """Log that a send is cancelled, as another backend continues the answer."""
        self.write(
            self.failures,
            "request.superseded",
            request,
            backend=view.backend.identity,
            by=by.backend.identity,
        )

    def late_start(self, request: Request, view: BackendView, version: int, required: int) -> None:
        """Log that the first event came from weights that are too old by now."""
        self.write(
            self.failures,
            "request.late-start",
            request,
            backend=view.backend.identity,
            version=version,
            required=required,
        )

    def cut(self, request: Request, writes: int, retries_left: float, reason: str) -> None:
        """Log that a caller's connection is aborted after a part of its stream was sent.

        Args:
          request: The request.
          writes: Writes to the caller so far, each of one or more whole events.
          retries_left: Retries that this process may still send to the service.
          reason: Why the stream cannot be completed.
        """
        self.write_end(
            self.failures,
            "request.cut",
            **id_and_age(request),
            route=request.route.name,
            reason=reason[:200],
            events=writes,
            left_ms=milliseconds_until(request.deadline, clock.now()),
            retries_left=round(retries_left, 1),
        )

    def cancelled(self, request_id: str, held_seconds: float, reason: str) -> None:
        """Log that a request ended as its connection did.

        Args:
          request_id: Its id.
          held_seconds: Time since it arrived.
          reason: How the connection ended.
        """
        held = round(held_seconds * 1000, 1)
        self.write_end(
            self.usual,
            "request.cancelled",
            request_id,
            held_ms=held,
            reason=reason[:200],
        )

    def answered(
        self, request: Request, status: int, sends: int, first_seconds: float = 0.0
    ) -> None:
        """Log that a request was answered; for a stream, with the time to its first event."""
        first_ms = round(first_seconds * 1000)
        self.write_end(
            self.usual,
            "request.answered",
            **id_and_age(request),
            status=status,
            sends=sends,
            first_ms=first_ms,
        )


def id_and_age(request: Request) -> dict[str, Any]:
    """Return the fields that name a request, and how long it has been held."""
    held = round((clock.now() - request.received_at) * 1000, 1)
    return {"request": request.parsed_headers.request_id, "held_ms": held}


def milliseconds_until(deadline: float, now: float) -> int | None:
    """Return the time until a deadline, for a log line; None if there is no deadline."""
    return round((deadline - now) * 1000) if deadline < math.inf else None
