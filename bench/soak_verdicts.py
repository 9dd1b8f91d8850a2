"""Verdicts on what happened in a soak: pure functions over its history; no network and no clock."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from verbenaward.registry import Registry

from .soak_counting import (
    Outcome,
    RequestResult,
    RetryLimit,
    WindowCount,
    classify,
    repeat_times,
    worst_window,
)
from .soak_deadly import (
    ALLOWED_SENDS,
    NO_DEADLY_REQUESTS,
    DeadlyHistory,
    is_in_touch,
    late_sends,
)

KILL_SECONDS = 0.2
"""A killed process still accepts connections for less than this."""
DEADLINE_MARGIN_SECONDS = 0.1
"""An entry process ends an answer this long before its deadline at the earliest."""
LATE_SHARE = 5 / 6
"""Share of the grace period after which its end may cut an answer."""
LINGER_SECONDS = 3.0
"""A process that stops takes requests for so long; the answers to these may end with it."""
UNREAD_SECONDS = 1.0
"""A request may cross the close of its connection; it then ends sooner than this."""
IN_FORCE_SECONDS = 5.0
"""Time after which a replaced configuration is in force nowhere."""
ALLOWED_EXCESS = 3
"""Attempts that may run on more backends than their route allows."""
DEADLINE_SLACK_SECONDS = 0.5
"""How much longer than allowed a deadline may be that is handed on."""
ALLOWED_LONG_DEADLINES = 20
LONG_DEADLINE_SHARE = 0.2
"""More deadlines that are too long break the rule, if they are more than this part of them and of
the late repeats."""
ENDS_BY_SIGTERM = (0, -15, -1)
"""Statuses of a process that got SIGTERM: graceful, or by a signal at the very start or end."""


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """The end of a process.

    Attributes:
      name: Name of its VM.
      status: Its exit status, negative for a signal.
      signals: Names of the signals that it got.
    """

    name: str
    status: int
    signals: frozenset[str]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a backend has read.

    Attributes:
      at: When it was read.
      attempt: Its attempt id.
      worker: Incarnation of the backend.
      deadline_seconds: Time that it was handed on with; None without one.
      is_late: True if the backend stood still when it came.
    """

    at: float
    attempt: str
    worker: str
    deadline_seconds: float | None
    is_late: bool = False


@dataclass(frozen=True, slots=True)
class History:
    """What happened in a soak. Times are in seconds since the traffic began.

    Attributes:
      results: What the callers have seen.
      allowed_seconds: Longest time that each request may take by its deadline and the timeouts of
        its route, by attempt.
      services: Service that each attempt is for; those between which configurations move routes
        count as one, which allows less than the rule.
      unsafe: Attempts that are not idempotent.
      runs: How often backends began to run each attempt.
      arrivals: When attempts arrived at backends.
      kills: When entry processes got SIGKILL, by name.
      stops: When running entry processes first got SIGTERM, by name.
      resumptions: When entry processes got SIGCONT, by name; they read nothing before it.
      grace_seconds: Time from SIGTERM to the end of a process.
      ends: The ends of all processes.
      limit: Limit on repeats.
      read: The same arrivals with what was handed on with them.
      own_seconds: Deadline with which each attempt was sent.
      most_backends: Most backends that may run each attempt.
      runs_at: Attempts that began to run, with the incarnation of the backend.
      ended_backends: Incarnations of backends that have crashed.
      broken_off: Attempts whose answer a backend has broken off.
      deadly: Requests that crash the backends that run them.
      peaks: Peak memory of each running process at the end, in MB, by name.
      memory_megabytes: Memory of the machine of each entry process.
    """

    results: Sequence[RequestResult]
    allowed_seconds: Mapping[str, float]
    services: Mapping[str, str]
    unsafe: frozenset[str]
    runs: Mapping[str, int]
    arrivals: Sequence[tuple[float, str]]
    kills: Mapping[str, Sequence[float]]
    stops: Mapping[str, Sequence[float]]
    resumptions: Mapping[str, Sequence[float]]
    grace_seconds: float
    ends: Sequence[ProcessEnd]
    limit: RetryLimit
    read: Sequence[Arrival] = ()
    own_seconds: Mapping[str, float] = field(default_factory=dict)
    most_backends: Mapping[str, int] = field(default_factory=dict)
    runs_at: Sequence[tuple[str, str]] = ()
    ended_backends: frozenset[str] = frozenset()
    broken_off: frozenset[str] = frozenset()
    deadly: DeadlyHistory = NO_DEADLY_REQUESTS
    peaks: Mapping[str, float] = field(default_factory=dict)
    memory_megabytes: float = float("inf")


@dataclass(frozen=True, slots=True)
class Violation:
    """One thing that breaks a verdict.

    Attributes:
      verdict: Name of the verdict.
      subject: Attempt id, name of a VM, or window.
      detail: What was seen.
    """

    verdict: str
    subject: str
    detail: str


Verdict = Callable[[History], list[tuple[str, str]]]
"""Returns subject and detail of each violation."""
VERDICTS: Registry[Verdict] = Registry("verdict")


def judge(history: History) -> list[Violation]:
    """Return all that breaks a verdict."""
    return [
        Violation(name, subject, detail)
        for name, verdict in VERDICTS.items.items()
        for subject, detail in verdict(history)
    ]


@VERDICTS.register("no sound answer is cut")
def cut_answers(history: History) -> list[tuple[str, str]]:
    """Return answers that began and did not end, and that nothing excuses."""
    return [
        (item.attempt, f"cut after {item.ended_at - item.sent_at:.2f} s by {item.entry}")
        for item in history.results
        if classify(item) is Outcome.CUT and not excuse(history, item)
    ]


@VERDICTS.register("every request gets an answer")
def unanswered_requests(history: History) -> list[tuple[str, str]]:
    """Return requests that a process read and whose connection it ended without an answer.

    It has read those that it passed on, and those that it closed some time after their sending
    if it ran all the while.
    """
    passed_on = {attempt for _, attempt in history.arrivals}

    def was_read(item: RequestResult) -> bool:
        times = history.resumptions.get(item.entry, ())
        has_run = not any(item.sent_at <= at <= item.ended_at for at in times)
        is_late = item.ended_at - item.sent_at > UNREAD_SECONDS
        return item.attempt in passed_on or (has_run and is_late)

    return [
        (item.attempt, f"closed after {item.ended_at - item.sent_at:.2f} s by {item.entry}")
        for item in history.results
        if classify(item) is Outcome.CLOSED and was_read(item) and not excuse(history, item)
    ]


@VERDICTS.register("an unsafe request runs at most once")
def repeated_runs(history: History) -> list[tuple[str, str]]:
    """Return unsafe requests that ran more than once."""
    return [
        (attempt, f"ran {history.runs[attempt]} times")
        for attempt in sorted(history.unsafe)
        if history.runs.get(attempt, 0) > 1
    ]


@VERDICTS.register("not-run is true")
def false_refusals(history: History) -> list[tuple[str, str]]:
    """Return requests that ran although their answer says that they did not."""
    return [
        (item.attempt, f"{item.status} {item.reason}, ran {history.runs[item.attempt]} times")
        for item in history.results
        if item.verdict == "not-run" and history.runs.get(item.attempt, 0)
    ]


@VERDICTS.register("repeats stay within their limit")
def exceeded_windows(history: History) -> list[tuple[str, str]]:
    """Return the worst window of each service that has more repeats than allowed."""
    return [
        (f"{service}, from {item.start:.2f} s", f"{item.repeats} repeats of {item.bound:.0f}")
        for service, item in worst_windows(history)
        if item.repeats > item.bound
    ]


def worst_windows(history: History) -> list[tuple[str, WindowCount]]:
    """Return the window of each service whose repeats use most of their bound."""
    found = []
    for service in sorted(set(history.services.values())):
        sent = [item.sent_at for item in history.results if of(history, item.attempt, service)]
        arrivals = [item for item in history.arrivals if of(history, item[1], service)]
        worst = worst_window(sent, repeat_times(arrivals), history.limit)
        if worst is not None:
            found.append((service, worst))
    return found


def of(history: History, attempt: str, service: str) -> bool:
    """Return True if an attempt is for a service."""
    return history.services.get(attempt) == service


@VERDICTS.register("a deadly request is not sent on")
def deadly_requests(history: History) -> list[tuple[str, str]]:
    """Return requests that are sent on too often though they have crashed three backends."""
    found = []
    for path in sorted(set(history.deadly.paths.values())):
        late = late_sends(history.deadly, path)
        if len(late) > ALLOWED_SENDS:
            found.append((path, f"{len(late)} sends too late, first at {late[0]:.2f} s"))
    return found


@VERDICTS.register("no request runs on more backends than its route allows")
def excess_runs(history: History) -> list[tuple[str, str]]:
    """Return the requests that have run on too many, if they are too many themselves."""
    backends: dict[str, set[str]] = {}
    for attempt, backend in history.runs_at:
        if backend not in history.ended_backends:
            backends.setdefault(attempt, set()).add(backend)
    found = [
        (attempt, f"ran on {len(names)} backends of {history.most_backends[attempt]}")
        for attempt, names in backends.items()
        if len(names) > history.most_backends.get(attempt, len(names))
    ]
    return found if len(found) > ALLOWED_EXCESS else []


@VERDICTS.register("no more time is handed on than is left")
def long_deadlines(history: History) -> list[tuple[str, str]]:
    """Return arrivals of whole answers with a deadline that is too long, if they are many.

    What a backend has read late was sent before, so nothing is known of it.
    """
    firsts: dict[str, Arrival] = {}
    found, late_repeats = [], 0
    sent_at = {item.attempt: item.sent_at for item in history.results}
    counted = [
        item
        for item in sorted(history.read, key=lambda item: item.at)
        if item.attempt in history.own_seconds
        and not item.is_late
        and is_in_touch(history.deadly, item.attempt, item.at)
    ]
    for item in counted:
        first = firsts.setdefault(item.attempt, item)
        is_late_repeat = item.at > first.at + DEADLINE_SLACK_SECONDS
        late_repeats += is_late_repeat
        own = history.own_seconds[item.attempt]
        ends_at = max(end_of(first), sent_at.get(item.attempt, item.at) + own)
        given = item.deadline_seconds
        is_long = given is None or given > own + DEADLINE_SLACK_SECONDS
        if is_long or (is_late_repeat and end_of(item) > ends_at + DEADLINE_SLACK_SECONDS):
            found.append((item.attempt, f"handed on with {given} s of {own} s at {item.at:.2f} s"))
    is_broken = len(found) > max(
        ALLOWED_LONG_DEADLINES, LONG_DEADLINE_SHARE * (len(found) + late_repeats)
    )
    return found if is_broken else []


def end_of(arrival: Arrival) -> float:
    """Return when the time ends with which a request was handed on; infinite without one."""
    given = arrival.deadline_seconds
    return float("inf") if given is None else arrival.at + given


@VERDICTS.register("no process needs more memory than its machine has")
def excess_memory(history: History) -> list[tuple[str, str]]:
    """Return processes whose peak memory is above that of their machine."""
    limit = history.memory_megabytes
    return [
        (name, f"{peak:.0f} MB of {limit:.0f}")
        for name, peak in history.peaks.items()
        if peak > limit
    ]


@VERDICTS.register("no process ends by itself")
def own_ends(history: History) -> list[tuple[str, str]]:
    """Return processes that ended without a signal to end, or with an error."""
    return [
        (end.name, f"status {end.status} after {', '.join(sorted(end.signals)) or 'no signal'}")
        for end in history.ends
        if not is_ordered(end)
    ]


def is_ordered(end: ProcessEnd) -> bool:
    """Return True if a process ended as a signal to end has told it."""
    if "SIGKILL" in end.signals:
        return True
    return "SIGTERM" in end.signals and end.status in ENDS_BY_SIGTERM


def excuse(history: History, result: RequestResult) -> str:
    """Return why an answer may have ended before its end; empty if nothing excuses it."""
    start, end = result.sent_at, result.ended_at
    kills, stops = history.kills.get(result.entry, ()), history.stops.get(result.entry, ())
    late = LATE_SHARE * history.grace_seconds
    if any(start - KILL_SECONDS <= at <= end for at in kills):
        return "process killed"
    if result.attempt in history.broken_off:
        return "broken off by a backend"
    if end - start >= history.allowed_seconds[result.attempt] - DEADLINE_MARGIN_SECONDS:
        return "at its deadline"
    if any(start <= at + LINGER_SECONDS and end >= at + late for at in stops):
        return "at the end of the grace period"
    return ""


def shortest_timeout(
    timeouts: Sequence[tuple[float, Mapping[str, float]]], prefix: str, start: float, end: float
) -> float:
    """Return the shortest timeout of a route that was in force in a span; infinite without one.

    Args:
      timeouts: When configurations were written, in order, with their timeouts by path prefix.
      prefix: Path prefix of the route.
      start: Start of the span in which a request was read, in seconds.
      end: Its end.
    """
    replaced = [at for at, _ in timeouts[1:]] + [float("inf")]
    found = [
        by_prefix[prefix]
        for (at, by_prefix), until in zip(timeouts, replaced, strict=True)
        if prefix in by_prefix and at <= end and until + IN_FORCE_SECONDS >= start
    ]
    return min(found, default=float("inf"))
