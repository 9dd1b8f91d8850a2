"""What is counted of requests that crash the backends that run them; no network and no clock."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

COUNTED_CRASHES = 3
"""Crashes after which the rule begins to count."""
STABLE_SECONDS = 3.0
"""Time after the third crash, and after a disturbance of the sender, from which a send counts
(`stability_window_ms`)."""
ALLOWED_SENDS = 3


@dataclass(frozen=True, slots=True)
class DeadlyHistory:
    """What happened to deadly requests. Times are in seconds since the traffic began.

    Attributes:
      paths: Path of each deadly request, which is the same each time that it comes, by attempt.
      entries: Entry process to which each attempt was sent.
      crashes: When each path has crashed backends.
      arrivals: When attempts arrived at backends.
      signals: When each entry process got a signal or was started.
    """

    paths: Mapping[str, str]
    entries: Mapping[str, str]
    crashes: Mapping[str, Sequence[float]]
    arrivals: Sequence[tuple[float, str]]
    signals: Mapping[str, Sequence[float]]


NO_DEADLY_REQUESTS = DeadlyHistory({}, {}, {}, (), {})


def late_sends(history: DeadlyHistory, path: str) -> list[float]:
    """Return when a deadly request reached backends that it should not have reached any more.

    Counted is what processes in touch send later than STABLE_SECONDS after the third crash.
    """
    crashes = sorted(history.crashes.get(path, ()))
    if len(crashes) < COUNTED_CRASHES:
        return []
    until = crashes[COUNTED_CRASHES - 1] + STABLE_SECONDS
    return [
        at
        for at, attempt in sorted(history.arrivals)
        if history.paths.get(attempt) == path and at > until and is_in_touch(history, attempt, at)
    ]


def is_in_touch(history: DeadlyHistory, attempt: str, at: float) -> bool:
    """Return True if the process that has sent an attempt was not disturbed shortly before."""
    times = history.signals.get(history.entries.get(attempt, ""), ())
    return not any(at - STABLE_SECONDS <= time <= at for time in times)
