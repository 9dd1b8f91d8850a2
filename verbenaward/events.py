"""What the log lines of a daemon say: each event with the fields that its line must have."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EventKind:
    """One kind of line.

    Attributes:
      meaning: What happened, as a sentence whose braces name fields.
      fields: Fields that the line must have beside time, VM and event.
    """

    meaning: str
    fields: tuple[str, ...] = ()


def kind(meaning: str, *fields: str) -> EventKind:
    """Return a kind of line."""
    return EventKind(meaning, fields)


REQUEST_EVENTS = {
    "request.sent": kind(
        "sent to {backend}, registered at revision {registered}, which ran {running}; the first "
        "event was expected after {expected_ms} ms, on version {version}",
        "route", "backend", "registered", "running", "expected_ms", "version", "sends",
    ),
    "request.failed": kind(
        "{backend} failed: {failure} ({message}); may have run: {may_have_run}",
        "backend", "failure", "may_have_run", "message",
    ),
    "request.resumed": kind("goes on elsewhere after event {after}: {reason}", "after", "reason"),
    "request.refused": kind(
        "refused with {status} ({verdict}): {reason}, {message}; come back after {retry_after} s",
        "route", "reason", "verdict", "status", "message", "retry_after",
    ),
    "request.turned-away": kind(
        "turned away with {status}: {reason}, {message}", "reason", "status", "message"
    ),
    "request.answered": kind(
        "answered with {status} after {sends} sends; first event after {first_ms} ms",
        "status", "sends", "first_ms",
    ),
    "request.cancelled": kind("the caller left"),
}  # fmt: skip

BELIEF_EVENTS = {
    "backend.gone": kind("{backend} is gone", "backend"),
    "backend.heard": kind("{backend} of {service} is there", "backend", "service", "revision"),
    "backend.lapsed": kind("the registration of {backend} lapsed in an outage", "backend"),
    "backend.leaving": kind("{backend} is leaving", "backend", "revision"),
    "backend.loading": kind("{backend} loads weights and takes nothing", "backend"),
    "backend.unreadable": kind("a registration cannot be read: {fault}", "fault", "key"),
    "cell.changed": kind("the cell has {members} entry processes", "members", "backends"),
    "chunk.corrupt": kind("chunk {index} came spoilt", "model", "version", "index"),
    "chunk.failed": kind("chunk {index} was not to be had: {error}", "index", "error"),
    "configuration.older": kind("an older configuration came", "version", "known"),
    "configuration.taken": kind("configuration {version} is in force", "version", "revision"),
    "configuration.unreadable": kind("a configuration cannot be read: {fault}", "fault"),
    "daemon.reload": kind("the settings were read again: {outcome}", "outcome"),
    "daemon.started": kind("the process started as {role}", "role", "listen"),
    "daemon.stopped": kind("the process ended"),
    "digests.kept": kind("digests of version {version} are in the store", "model", "version"),
    "digests.unkept": kind("digests of version {version} were not written", "version", "error"),
    "engine.ordered": kind("the engine was ordered to load {version}", "version", "outcome"),
    "entry.changed": kind("{entry} is ready: {ready}", "entry", "ready"),
    "entry.failed": kind("{entry} did not answer: {error}", "entry", "error"),
    "entry.heard": kind("{entry} was heard first", "entry", "ready"),
    "entry.leaving": kind("this process leaves with {in_flight} requests", "in_flight"),
    "entry.left": kind("this process ends with {in_flight} requests", "in_flight"),
    "peer.told": kind("another process told {items} items", "after", "revision", "items"),
    "pulse.malformed": kind("a pulse of {source} cannot be read", "source", "error"),
    "store.found": kind("the store answers again", "revision"),
    "store.lost": kind("the store does not answer: {error}", "error", "revision"),
    "version.named": kind("version {version} was named", "model", "version"),
    "version.overtaken": kind("{newest} was named while {goal} is taken", "goal", "newest"),
    "version.unreadable": kind("a named version cannot be read: {fault}", "fault"),
    "weights.spoilt": kind("staged chunk {index} is spoilt", "index", "version"),
    "weights.staged": kind("version {version} is staged", "version", "chunks", "seconds"),
    "weights.unfetched": kind("a chunk was not fetched: {error}", "url", "error"),
    "weights.unstaged": kind("chunk {index} was not staged: {error}", "index", "error"),
}

EVENTS = {**REQUEST_EVENTS, **BELIEF_EVENTS}
