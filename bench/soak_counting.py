"""What the callers of a soak have seen, and what is counted of it; no network and no clock."""

import bisect
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum


class Ending(StrEnum):
    """How the connection of a request ended."""

    COMPLETE = "complete"
    """The answer was complete in the protocol."""
    LOST = "lost"
    """The connection ended before the answer did."""
    NO_CONNECTION = "no-connection"
    ABANDONED = "abandoned"
    """The caller left, after its deadline or the longest gap that it accepts."""


class Outcome(StrEnum):
    """What a caller got; each request has one of these."""

    WHOLE = "whole"
    REFUSED = "refused"
    """429 or 503."""
    CUT = "cut"
    """Status 200, and then the connection ended or the body was not whole."""
    GATEWAY_ERROR = "gateway_error"
    """502 or 504."""
    CLOSED = "closed"
    """The connection ended without an answer."""
    UNCONNECTED = "unconnected"
    ABANDONED = "abandoned"
    OTHER = "other"
    """Any other status, for example a backend's own 500."""


@dataclass(frozen=True, slots=True)
class RequestResult:
    """What one caller has seen of one request. Times are in seconds since the traffic began.

    Attributes:
      attempt: Value of X-Attempt-Id.
      entry: Name of the entry process.
      sent_at: When it was sent.
      ended_at: When its answer or connection ended.
      ending: How its connection ended.
      status: Status of the answer; 0 without one.
      reason: Header X-Reason, or the error.
      is_whole: True if the body is the whole answer of a backend.
      event_times: When its events were received; empty if it is no stream.
      verdict: Header X-Verdict: "not-run", "may-have-run", "ran", or empty.
    """

    attempt: str
    entry: str
    sent_at: float
    ended_at: float
    ending: Ending
    status: int = 0
    reason: str = ""
    is_whole: bool = False
    event_times: tuple[float, ...] = ()
    verdict: str = ""


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """Limit on repeats in a sliding window: `ratio` of the requests, and `extra` more."""

    ratio: float
    extra: int
    window_seconds: float


@dataclass(frozen=True, slots=True)
class WindowCount:
    """Repeats in one window against the limit.

    Attributes:
      start: Start of the window.
      repeats: Arrivals beyond the first of each request.
      requests: Requests in it, or in an earlier window that counts in its place.
      bound: Repeats that are allowed.
    """

    start: float
    repeats: int
    requests: int
    bound: float

    @property
    def share(self) -> float:
        """Part of the bound that is used."""
        return self.repeats / self.bound


OUTCOMES_BY_STATUS = {
    429: Outcome.REFUSED,
    503: Outcome.REFUSED,
    502: Outcome.GATEWAY_ERROR,
    504: Outcome.GATEWAY_ERROR,
}


def classify(result: RequestResult) -> Outcome:
    """Return what the caller of a request got."""
    if result.ending is Ending.NO_CONNECTION:
        return Outcome.UNCONNECTED
    if result.ending is Ending.ABANDONED:
        return Outcome.ABANDONED
    if result.status == 200:
        is_whole = result.is_whole and result.ending is Ending.COMPLETE
        return Outcome.WHOLE if is_whole else Outcome.CUT
    if result.status == 0:
        return Outcome.CLOSED
    return OUTCOMES_BY_STATUS.get(result.status, Outcome.OTHER)


def count_outcomes(results: Iterable[RequestResult]) -> dict[str, int]:
    """Return the number of requests by outcome, all outcomes in a fixed order."""
    counts = Counter(classify(result) for result in results)
    return {outcome.value: counts[outcome] for outcome in Outcome}


def repeat_times(arrivals: Iterable[tuple[float, str]]) -> list[float]:
    """Return when requests arrived that had arrived before, at any backend, in order."""
    found: set[str] = set()
    times = []
    for at, attempt in sorted(arrivals):
        if attempt in found:
            times.append(at)
        found.add(attempt)
    return times


def worst_window(
    sent: Sequence[float], repeats: Sequence[float], limit: RetryLimit
) -> WindowCount | None:
    """Return the window whose repeats use most of their bound; None without repeats.

    The requests are those of the window, of the one before it or of the one half a window before
    it, whichever has most.

    Args:
      sent: When requests were sent.
      repeats: When repeats arrived.
      limit: Limit on the repeats.
    """
    sent, repeats = sorted(sent), sorted(repeats)
    length = limit.window_seconds
    starts = [start for at in repeats for start in (at, at - length)]
    counts = []
    for start in starts:
        requests = max(
            count_between(sent, start - before, start - before + length)
            for before in (0.0, length / 2, length)
        )
        bound = limit.ratio * requests + limit.extra
        found = count_between(repeats, start, start + length)
        counts.append(WindowCount(start, found, requests, bound))
    return max(counts, key=lambda item: item.share, default=None)


def count_between(times: Sequence[float], start: float, end: float) -> int:
    """Return how many of some sorted times lie between two times, which are included."""
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)


def share_later_than(results: Iterable[RequestResult], seconds: float) -> float:
    """Return the share of accepted requests that were not whole some seconds after their sending.

    Accepted are all that were neither refused nor left without a connection.
    """
    left_out = (Outcome.REFUSED, Outcome.UNCONNECTED)
    accepted = [item for item in results if classify(item) not in left_out]
    late = [
        item
        for item in accepted
        if classify(item) is not Outcome.WHOLE or item.ended_at - item.sent_at > seconds
    ]
    return len(late) / len(accepted) if accepted else 0.0


def longest_gap(result: RequestResult) -> float:
    """Return the longest time between two events of a stream, in seconds."""
    pairs = zip(result.event_times, result.event_times[1:], strict=False)
    return max((after - before for before, after in pairs), default=0.0)
