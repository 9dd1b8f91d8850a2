"""Reads log lines of any number of processes and tells the story of one request."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

from ..data import Fault
from ..events import BELIEF_EVENTS, EVENTS, REQUEST_EVENTS

LONGEST_LINE_BYTES = 64 * 1024
AROUND_SECONDS = 2.0
REFUSALS = {
    "overload": "every engine was expected to give the first event later than was allowed",
    "no-backend": "no backend could take it: all were leaving, loading or without the weights",
    "no-room": "no backend that was tried had room, or no repeat was left",
    "poison": "requests like it have crashed several backends",
    "timeout": "the time of the caller or of its route was over",
    "backend-failed": "a backend failed after it may have begun to run it",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon.

    Attributes:
      at: When it was written.
      vm: VM that wrote it.
      event: Kind of line.
      values: All of its fields.
    """

    at: datetime
    vm: str
    event: str
    values: dict[str, Any]


def read_line(text: str) -> LogLine | None:
    """Return a line; None where it is none of ours, or was cut. A collector's prefix is allowed."""
    start = text.find("{")
    if start < 0 or len(text) > LONGEST_LINE_BYTES:
        return None
    try:
        values = json.loads(text[start:])
        at = datetime.fromisoformat(values["timestamp"])
        return LogLine(at, str(values.get("vm", "?")), str(values["event"]), values)
    except (ValueError, KeyError, TypeError):
        return None


def texts_of(files: Iterable[Path]) -> Iterator[tuple[Path, int, str]]:
    """Yield file, number and text of each line, one at a time: logs may be larger than memory."""
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as opened:
            for number, text in enumerate(opened, start=1):
                yield file, number, text


def lines_of_request(files: Iterable[Path], request: str) -> list[LogLine]:
    """Return the lines of one request, in the order of their time."""
    found = [
        line
        for _, _, text in texts_of(files)
        if request in text and (line := read_line(text)) is not None
        if line.values.get("request") == request
    ]
    return sorted(found, key=lambda line: line.at)


def beliefs_around(files: Iterable[Path], story: list[LogLine]) -> list[LogLine]:
    """Return the changes of belief of the processes of a story, while it went on."""
    vms = {line.vm for line in story}
    found = [
        line
        for _, _, text in texts_of(files)
        if (line := read_line(text)) is not None
        if line.vm in vms and line.event in BELIEF_EVENTS
        if (story[0].at - line.at).total_seconds() <= AROUND_SECONDS
        if (line.at - story[-1].at).total_seconds() <= AROUND_SECONDS
    ]
    return sorted(found, key=lambda line: line.at)


def sentence(line: LogLine) -> str:
    """Return what a line says."""
    known = EVENTS.get(line.event)
    if known is None:
        return line.event
    return known.meaning.format_map(Said(line.values))


class Said(dict[str, Any]):
    """Fields of a line; those that are missing are shown as such."""

    def __missing__(self, key: str) -> str:
        """Return what stands for a missing field."""
        return "(not said)"


def cause_of(story: list[LogLine]) -> str:
    """Return why a request ended as it did, from its own lines."""
    final = next(
        (line for line in reversed(story) if line.event in REQUEST_EVENTS and is_final(line)), None
    )
    if final is None:
        return "no line says how it ended: it was cut off, or its last line was dropped"
    if final.event == "request.cancelled":
        return "its caller left before it was answered"
    if final.event == "request.turned-away":
        return f"it was turned away before any backend was chosen: {final.values.get('message')}"
    failures = [line for line in story if line.event == "request.failed"]
    if final.event == "request.answered":
        return answered_cause(final, failures)
    reason = str(final.values.get("reason"))
    told = REFUSALS.get(reason, reason)
    if reason == "overload":
        expected, allowed = final.values.get("expected_ms"), final.values.get("allowed_ms")
        told += f" (expected {expected} ms, allowed {allowed} ms)"
    if failures:
        last = failures[-1].values
        told += f"; {last.get('backend')} failed before: {last.get('message')}"
    return told


def answered_cause(final: LogLine, failures: list[LogLine]) -> str:
    """Return what is worth saying of an answered request."""
    if not failures:
        return f"it was answered with {final.values.get('status')} at the first backend"
    last = failures[-1].values
    return f"it was answered after {last.get('backend')} failed: {last.get('message')}"


def is_final(line: LogLine) -> bool:
    """Return True for a line after which a request has ended at its entry process."""
    return line.event not in ("request.sent", "request.failed", "request.resumed")


def line_faults(files: Iterable[Path]) -> Iterator[Fault]:
    """Yield the lines that are cut, unknown or lack fields."""
    for file, number, text in texts_of(files):
        place = f"{file}:{number}"
        line = read_line(text)
        if line is None:
            yield Fault(place, "", "is no line of a daemon, or was cut")
            continue
        known = EVENTS.get(line.event)
        if known is None:
            yield Fault(place, line.event, "is no known event")
            continue
        missing = [name for name in known.fields if name not in line.values]
        if missing:
            yield Fault(place, line.event, f"lacks {', '.join(missing)}")
