"""Log lines of one request from the logs of many processes, and the reason for its outcome."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

from ..data import Fault
from ..events import COMMON_FIELDS, REQUEST_EVENTS, STATE_CHANGE_EVENTS, EventKind, kinds_of

MAXIMUM_LINE_CHARACTERS = 64 * 1024
"""Longer lines are not parsed."""
STATE_CHANGE_MARGIN_SECONDS = 2.0
"""State changes this long before the first and after the last line of a request are shown too."""
REASON_TEXTS = {
    "overload": "the expected time to the first event was longer than allowed on every engine",
    "no-backend": "no backend was available: all were leaving, loading or without the weights",
    "limited": "all backends had named limits, and these were used up",
    "no-room": "no backend that was tried had free capacity, or no retry was left",
    "poison": "identical requests have crashed several backends",
    "timeout": "the deadline of the caller or the timeout of the route passed",
    "backend-failed": "a backend failed after it may have started the request",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of a daemon.

    Attributes:
      at: Time of the line.
      vm: VM whose daemon wrote it.
      event: Name of the event.
      values: All fields of the line.
    """

    at: datetime
    vm: str
    event: str
    values: dict[str, Any]


def parse_line(text: str) -> LogLine | None:
    """Parse a log line, with or without a log collector's prefix.

    Returns:
      The line; None if it was not written by a daemon, or is truncated or too long.
    """
    start = text.find("{")
    if start < 0 or len(text) > MAXIMUM_LINE_CHARACTERS:
        return None
    try:
        values = json.loads(text[start:])
        at = datetime.fromisoformat(values["timestamp"])
        return LogLine(at, str(values.get("vm", "?")), str(values["event"]), values)
    except (ValueError, KeyError, TypeError):
        return None


def numbered_lines(files: Iterable[Path]) -> Iterator[tuple[Path, int, str]]:
    """Yield file, line number and text of each line; logs may be larger than memory."""
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as opened:
            for number, text in enumerate(opened, start=1):
                yield file, number, text


def lines_of_request(files: Iterable[Path], request: str) -> list[LogLine]:
    """Return the log lines of one request, sorted by time."""
    found = [
        line
        for _, _, text in numbered_lines(files)
        if request in text and (line := parse_line(text)) is not None
        if line.values.get("request") == request
    ]
    return sorted(found, key=lambda line: line.at)


def state_changes_during(files: Iterable[Path], request_lines: list[LogLine]) -> list[LogLine]:
    """Return the state changes logged while a request ran, by the processes that handled it."""
    vms = {line.vm for line in request_lines}
    found = [
        line
        for _, _, text in numbered_lines(files)
        if (line := parse_line(text)) is not None
        if line.vm in vms and line.event in STATE_CHANGE_EVENTS
        if (request_lines[0].at - line.at).total_seconds() <= STATE_CHANGE_MARGIN_SECONDS
        if (line.at - request_lines[-1].at).total_seconds() <= STATE_CHANGE_MARGIN_SECONDS
    ]
    return sorted(found, key=lambda line: line.at)


def event_text(line: LogLine) -> str:
    """Return a readable text for a line; the name of the event if that is unknown."""
    event_kind = kind_of(line)
    if event_kind is None:
        return line.event
    return event_kind.template.format_map(FieldsOrMissing(line.values))


def kind_of(line: LogLine) -> EventKind | None:
    """Return the kind of a line's event; None if the event is unknown.

    An event of both modes has two kinds. The result is the one whose fields the line has, or that
    of the direct mode if it has the fields of neither.
    """
    kinds = kinds_of(line.event)
    complete = [kind for kind in kinds if not missing_fields(kind, line)]
    return next(iter([*complete, *kinds]), None)


def missing_fields(event_kind: EventKind, line: LogLine) -> list[str]:
    """Return the required fields that a line lacks."""
    return [name for name in (*COMMON_FIELDS, *event_kind.fields) if name not in line.values]


class FieldsOrMissing(dict[str, Any]):
    """Fields of a line, with a placeholder for those that it lacks."""

    def __missing__(self, key: str) -> str:
        """Return the placeholder of a missing field."""
        return "(missing)"


def outcome_cause(request_lines: list[LogLine]) -> str:
    """Return the reason for the outcome of a request, from its own log lines."""
    final = next(
        (
            line
            for line in reversed(request_lines)
            if line.event in REQUEST_EVENTS and is_final(line)
        ),
        None,
    )
    if final is None:
        return "no final line was found: the request was cut off, or its last line was dropped"
    if final.event == "request.cancelled":
        return f"its connection ended before its answer: {final.values.get('reason')}"
    if final.event == "request.ended":
        return f"it ended with status {final.values.get('status')}"
    if final.event == "request.cut":
        return f"its connection was aborted in the middle: {final.values.get('reason')}"
    if final.event == "request.stopped":
        return "the process that had passed it on had to end before its answer"
    if final.event == "request.unexpected":
        return f"an unexpected error in this process ended it: {final.values.get('message')}"
    if final.event == "request.turned-away":
        return f"it was rejected before a backend was chosen: {final.values.get('message')}"
    failures = [line for line in request_lines if line.event == "request.failed"]
    if final.event == "request.answered":
        return answered_cause(final, failures)
    reason = str(final.values.get("reason"))
    cause = REASON_TEXTS.get(reason, reason)
    if reason == "overload":
        expected, allowed = final.values.get("expected_ms"), final.values.get("allowed_ms")
        cause += f" (expected {expected} ms, allowed {allowed} ms)"
    if failures:
        last = failures[-1].values
        cause += f"; an earlier attempt at {last.get('backend')} failed: {last.get('message')}"
    return cause


def answered_cause(final: LogLine, failures: list[LogLine]) -> str:
    """Return how an answered request was served: at the first backend or after a failure."""
    if not failures:
        return f"it was answered with status {final.values.get('status')} by the first backend"
    last = failures[-1].values
    return f"it was answered after {last.get('backend')} failed: {last.get('message')}"


def is_final(line: LogLine) -> bool:
    """Return True for the line with which the entry process ends a request."""
    return line.event not in ("request.sent", "request.failed", "request.resumed")


def find_log_faults(files: Iterable[Path]) -> Iterator[Fault]:
    """Yield a fault for each line that cannot be parsed, is of an unknown event or lacks fields."""
    for file, number, text in numbered_lines(files):
        location = f"{file}:{number}"
        line = parse_line(text)
        if line is None:
            yield Fault(location, "", "not a log line of a daemon, or truncated")
            continue
        event_kind = kind_of(line)
        if event_kind is None:
            yield Fault(location, line.event, "unknown event")
            continue
        missing = missing_fields(event_kind, line)
        if missing:
            yield Fault(location, line.event, f"missing fields: {', '.join(missing)}")
