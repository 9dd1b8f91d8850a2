"""Figures of a soak: what callers got, repeats, deadly requests and lost ones."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

from review.harness import BOUNDS

from .soak_callers import Callers
from .soak_counting import (
    Outcome,
    RequestResult,
    RetryLimit,
    classify,
    count_outcomes,
    longest_gap,
    repeat_times,
    share_later_than,
    worst_window,
)
from .soak_deadly import DeadlyHistory, late_sends
from .soak_deployment import SoakDeployment
from .soak_rows import Row
from .soak_traffic import PlannedRequest
from .soak_verdicts import KILL_SECONDS

LATE_SECONDS = (1.5, 2.0, 3.0, 4.0)
STREAM_TARGET_SECONDS = 0.505
GAP_TARGET_SECONDS = 0.4
LIMIT = RetryLimit(
    ratio=float(BOUNDS["retry_budget_ratio"]),
    extra=int(BOUNDS["retry_budget_extra"]),
    window_seconds=float(BOUNDS["retry_window_s"]),
)
STEP_SECONDS = 5
"""Steps in which refusals as poison are counted."""


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request that was cut or closed, so that it can be looked up in the logs.

    Attributes:
      attempt: Its id, which the logs call `request`.
      outcome: What its caller got.
      entry: Name of the entry process.
      sent_at: When it was sent, in seconds since the traffic began.
      ended_at: When its connection ended.
      ended_utc: The same as the logs print it.
      since_sigterm: Seconds since the last SIGTERM of the entry process; None without one.
      events: Events that its caller received.
      error: Error of the caller's connection.
      arrivals: Backends and times at which it arrived there.
    """

    attempt: str
    outcome: str
    entry: str
    sent_at: float
    ended_at: float
    ended_utc: str
    since_sigterm: float | None
    events: int
    error: str
    arrivals: tuple[str, ...]


def summarize(
    deployment: SoakDeployment, row: Row, callers: Callers, deadly: Mapping[str, str]
) -> dict[str, Any]:
    """Return the figures of a row; what callers got is counted without the deadly requests."""
    results = [item for item in callers.results if item.attempt not in deadly]
    repeats = repeat_times(
        item for item in arrivals_of(deployment, callers) if item[1] not in deadly
    )
    worst = worst_window([item.sent_at for item in results], repeats, LIMIT)
    refused = [item for item in results if classify(item) is Outcome.REFUSED]
    figures: dict[str, Any] = {
        "requests": len(results),
        **count_outcomes(results),
        "refused_reasons": dict(Counter(item.reason for item in refused)),
        "refused_as_poison_from": dict(
            Counter(
                f"{int(item.sent_at // STEP_SECONDS * STEP_SECONDS)} s"
                for item in sorted(refused, key=lambda item: item.sent_at)
                if item.reason == "poison"
            )
        ),
        "repeats": len(repeats),
        "worst_window": worst and {**asdict(worst), "start": round(worst.start, 2)},
        "starts": sum(entry.starts for entry in deployment.entries),
        "ended_by_themselves": sum(len(entry.exits) for entry in deployment.entries),
    }
    if row.load.is_stream:
        figures |= lateness([item for item in results if item.sent_at >= row.counted_from])
    figures["lost"] = [asdict(item) for item in lost_requests(deployment, callers)]
    return figures


def deadly_figures(
    deployment: SoakDeployment, callers: Callers, deadly: Mapping[str, str]
) -> dict[str, Any]:
    """Return crashes, and sends that came too late, by the path of each deadly request."""
    history = deadly_history(deployment, callers, deadly)
    return {
        path: {
            "crashes": len(history.crashes.get(path, ())),
            "sends": sum(history.paths.get(attempt) == path for _, attempt in history.arrivals),
            "late": len(late_sends(history, path)),
        }
        for path in sorted(set(deadly.values()))
    }


def deadly_history(
    deployment: SoakDeployment, callers: Callers, deadly: Mapping[str, str]
) -> DeadlyHistory:
    """Return what happened to the deadly requests of a soak."""
    began_at = callers.began_at
    crashes: dict[str, list[float]] = {}
    for worker in deployment.workers.values():
        for at, path in worker.crash_times:
            crashes.setdefault(path, []).append(at - began_at)
    return DeadlyHistory(
        paths=deadly,
        entries={item.attempt: item.entry for item in callers.results},
        crashes=crashes,
        arrivals=[item for item in arrivals_of(deployment, callers) if item[1] in deadly],
        signals={
            entry.name: [at - began_at for at in entry.disturbed_at] for entry in deployment.entries
        },
    )


def deadly_paths(requests: Sequence[PlannedRequest]) -> dict[str, str]:
    """Return the paths of the deadly requests, by attempt."""
    return {item.attempt: item.path for item in requests if item.is_deadly}


def arrivals_of(deployment: SoakDeployment, callers: Callers) -> list[tuple[float, str]]:
    """Return when requests arrived at backends, since the traffic began."""
    return [
        (at - callers.began_at, attempt)
        for worker in deployment.workers.values()
        for at, attempt in worker.received
    ]


def lost_requests(deployment: SoakDeployment, callers: Callers) -> list[LostRequest]:
    """Return the requests that were cut or closed, but not by the end of a killed process."""
    entries = {entry.name: entry for entry in deployment.entries}

    def was_killed(item: RequestResult) -> bool:
        start, end = item.sent_at + callers.began_at, item.ended_at + callers.began_at
        return entries[item.entry].was_killed(start - KILL_SECONDS, end)

    return [
        describe(deployment, callers, item)
        for item in callers.results
        if classify(item) in (Outcome.CUT, Outcome.CLOSED) and not was_killed(item)
    ]


def lateness(results: Sequence[RequestResult]) -> dict[str, Any]:
    """Return how late streams were: shares of those that were not whole some seconds after."""
    accepted = [item for item in results if item.event_times]
    firsts = [item.event_times[0] - item.sent_at for item in accepted]
    return {
        "late_share": {
            f"{limit:g} s": round(share_later_than(results, limit), 4) for limit in LATE_SECONDS
        },
        "first_event_late": sum(first > STREAM_TARGET_SECONDS for first in firsts),
        "gap_late": sum(longest_gap(item) > GAP_TARGET_SECONDS for item in accepted),
    }


def describe(deployment: SoakDeployment, callers: Callers, result: RequestResult) -> LostRequest:
    """Return what is needed to look a lost request up."""
    entry = next(item for item in deployment.entries if item.name == result.entry)
    since = entry.since_sigterm(result.ended_at + callers.began_at)
    ago = timedelta(seconds=callers.now() - result.ended_at)
    arrivals = sorted(
        (at - callers.began_at, worker.identity)
        for worker in deployment.workers.values()
        for at, attempt in worker.received
        if attempt == result.attempt
    )
    return LostRequest(
        attempt=result.attempt,
        outcome=classify(result).value,
        entry=result.entry,
        sent_at=round(result.sent_at, 3),
        ended_at=round(result.ended_at, 3),
        ended_utc=(datetime.now(UTC) - ago).isoformat(timespec="milliseconds"),
        since_sigterm=None if since is None else round(since, 3),
        events=len(result.event_times),
        error=result.reason,
        arrivals=tuple(f"{identity} {at:.3f}" for at, identity in arrivals),
    )
