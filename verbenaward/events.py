"""Log events of a daemon: the required fields of each, and its explanation."""

from dataclasses import dataclass

COMMON_FIELDS = ("vm", "role")
"""Fields that the lines of all events have."""


@dataclass(frozen=True, slots=True)
class EventKind:
    """One log event.

    Attributes:
      template: Sentence for operators; names in braces are replaced by fields of the line.
      fields: Fields that a line must have besides the common ones, time and event.
    """

    template: str
    fields: tuple[str, ...] = ()


def kind(template: str, *fields: str) -> EventKind:
    """Return a log event; a short form for the tables below."""
    return EventKind(template, fields)


REQUEST_EVENTS = {
    "request.sent": kind(
        "sent to {backend}, registered at revision {registered}, with {running} running requests; "
        "first event expected after {expected_ms} ms; weights of version {version}",
        "route", "backend", "registered", "running", "expected_ms", "version", "sends",
    ),
    "request.failed": kind(
        "{backend} failed: {failure} ({message}); may have run: {may_have_run}",
        "backend", "failure", "may_have_run", "message",
    ),
    "request.resumed": kind(
        "resumes at {backend} after event {after}", "after", "backend"
    ),
    "request.refused": kind(
        "refused with {status} ({verdict}): {reason}, {message}; retry after {retry_after} s",
        "route", "reason", "verdict", "status", "message", "retry_after",
    ),
    "request.turned-away": kind(
        "rejected with {status} before a backend was chosen: {reason}, {message}",
        "reason", "status", "message",
    ),
    "request.answered": kind(
        "answered with {status} after {sends} attempts; first event after {first_ms} ms",
        "status", "sends", "first_ms",
    ),
    "request.late-start": kind(
        "the first event came from weights of version {version} of {backend}, though version "
        "{required} is required",
        "backend", "version", "required",
    ),
    "request.superseded": kind(
        "the send to {backend} was cancelled, as {by} continues the answer", "backend", "by"
    ),
    "request.cancelled": kind("it got no whole answer: {reason}", "reason"),
    "request.ended": kind("it ended with status {status}", "status"),
    "request.cut": kind(
        "its connection was aborted after {events} writes of events: {reason}; {left_ms} ms were "
        "left, and retries for {retries_left} sends",
        "reason", "events", "left_ms", "retries_left",
    ),
    "request.stopped": kind(
        "this process had to end before its answer, and has answered {status} (0: its connection "
        "was aborted in the middle of a stream)",
        "status",
    ),
    "request.unexpected": kind(
        "an unexpected error in this process ended it, with status {status} (0: its connection was "
        "aborted): {message}",
        "status", "message",
    ),
}  # fmt: skip

STATE_CHANGE_EVENTS = {
    "backend.gone": kind("{backend} was removed", "backend"),
    "backend.registered": kind(
        "{backend} of {service} was registered", "backend", "service", "revision"
    ),
    "backend.lapsed": kind(
        "the registration of {backend} expired during an outage of the store", "backend"
    ),
    "backend.loaded": kind("{backend} has loaded version {version}", "backend", "version"),
    "backend.leaving": kind("{backend} is draining", "backend", "revision"),
    "backend.limit-unreadable": kind(
        "{backend} named a malformed limit, which is ignored: {limit}", "backend", "limit"
    ),
    "backend.limited": kind(
        "{backend} takes {per_second} requests a second from all processes", "backend", "per_second"
    ),
    "backend.loading": kind("{backend} loads weights and accepts no requests", "backend"),
    "backend.paused": kind("{backend} wants no requests for {seconds} s", "backend", "seconds"),
    "backend.announced-drain": kind("{backend} said in an answer that it leaves", "backend"),
    "backend.unlimited": kind("{backend} names no limit any more", "backend"),
    "backend.unreadable": kind("malformed registration of a backend: {fault}", "fault", "key"),
    "backend.warm": kind("{backend} is no longer cold", "backend"),
    "backend.warming-up": kind(
        "{backend} is cold for {seconds} s and takes {per_second} requests a second from all "
        "processes",
        "backend",
        "per_second",
        "seconds",
    ),
    "peer_group.changed": kind(
        "the peer group has {members} entry processes", "members", "backends"
    ),
    "chunk.corrupt": kind("chunk {index} has the wrong digest", "model", "version", "index"),
    "chunk.read": kind(
        "chunk {index} of version {version} was read from the origin",
        "version",
        "index",
        "seconds",
    ),
    "chunk.failed": kind(
        "chunk {index} could not be fetched for endpoint processes: {error}", "index", "error"
    ),
    "configuration.older": kind(
        "configuration {version} is older than {known}, ignored", "version", "known"
    ),
    "configuration.taken": kind("configuration {version} is in force", "version", "revision"),
    "configuration.unknown-region": kind(
        "no zone of the settings is in the allowed region {region}", "region"
    ),
    "configuration.unreadable": kind("malformed configuration: {fault}", "fault"),
    "daemon.reload": kind("reload of the settings: {outcome}", "outcome"),
    "daemon.signal": kind("received {signal}", "signal"),
    "daemon.stop-too-long": kind("the graceful stop took longer than {seconds} s", "seconds"),
    "daemon.started": kind("the process started as {role}", "listen"),
    "daemon.stopped": kind("the process stopped"),
    "digests.stored": kind(
        "chunk digests of version {version} were written to the store", "model", "version"
    ),
    "digests.replaced": kind(
        "the origin's chunks did not match the stored digests of version {version}, which were"
        " replaced",
        "model",
        "version",
    ),
    "digests.too-few": kind(
        "version {version} has {digests} digests for {chunks} chunks and is not loaded",
        "version",
        "digests",
        "chunks",
    ),
    "digests.not-stored": kind(
        "chunk digests of version {version} could not be written to the store", "version", "error"
    ),
    "engine.ordered": kind(
        "the engine was ordered to load version {version}: {outcome}",
        "version",
        "outcome",
        "check_age_seconds",
    ),
    "manifest.differs": kind(
        "the origin sent manifests of version {version} that differ; it is asked again",
        "model",
        "version",
    ),
    "limits.share": kind(
        "this process may grant {share} of the limits that it owns, by the peers in reach", "share"
    ),
    "peer.changed": kind("readiness of {entry} changed to {ready}", "entry", "ready"),
    "entry.failed": kind("{entry} did not answer: {error}", "entry", "error"),
    "peer.discovered": kind("{entry} was discovered", "entry", "ready"),
    "entry.leaving": kind("drain started with {in_flight} requests in flight", "in_flight"),
    "entry.left": kind("drain ended with {in_flight} requests in flight", "in_flight"),
    "evacuation.unreadable": kind(
        "malformed evacuation of zone {zone}, which is in force: {fault}", "zone", "fault"
    ),
    "library.message": kind("a library reports: {message}", "message"),
    "memory.enough": kind("memory is available again: {held} of {limit} bytes are held", "held"),
    "memory.short": kind(
        "no memory for more bytes of kind {purpose}: {held} are held, {limit} allowed",
        "purpose",
        "held",
        "limit",
    ),
    "change.received": kind(
        "{items} newer items of the store were received from another process",
        "after",
        "revision",
        "items",
    ),
    "kept_items.received": kind(
        "{items} items that the store has lost were received from another process", "era", "items"
    ),
    "poison.changed": kind(
        "requests with key {key} are now {state}, after {crashes} crashes",
        "key",
        "state",
        "crashes",
    ),
    "crashes.unreadable": kind(
        "the evidence of crashes at {key} of the store is ignored: {error}", "key", "error"
    ),
    "crashes.withdrawn": kind(
        "the backend with the hash {backend} lives on; its crash is withdrawn from {keys} keys",
        "backend",
        "keys",
    ),
    "crashes.not_written": kind(
        "the evidence of crashes on {key} was not written to the store: {reason}", "key", "reason"
    ),
    "pulse.malformed": kind("malformed state broadcast from {source}: {error}", "source", "error"),
    "retry_opening.not_written": kind(
        "which processes begin the deployment could not be written to the store", "reason"
    ),
    "retry_opening.written": kind(
        "which processes begin the deployment was written to the store",
        "members",
        "is_complete",
    ),
    "store.found": kind("the store answers again", "revision"),
    "store.lost": kind("the store does not answer: {error}", "error", "revision"),
    "store.read-from-peer": kind(
        "the content of the store up to revision {revision} was read from another process",
        "revision",
    ),
    "store.restored": kind(
        "the store was restored from a copy (era {era}, revision {revision}); it has not caught up "
        "with {kept}",
        "era",
        "revision",
        "kept",
    ),
    "version.unknown": kind("no version of the weights of {service} is known", "service"),
    "version.not-found": kind(
        "the origin did not tell the newest version of {model}: {error}", "model", "error"
    ),
    "version.late": kind(
        "version {version} is expected in {expected_seconds} s, its bound is in {bound_seconds} s",
        "version",
        "expected_seconds",
        "bound_seconds",
    ),
    "target_version.set": kind("target version of {model} is now {version}", "model", "version"),
    "version.superseded": kind(
        "newer target version {newest} was set; this process continues with {goal}",
        "goal",
        "newest",
    ),
    "version.resumed": kind(
        "version {newest} does not arrive; this process returns to version {version}",
        "version",
        "newest",
    ),
    "version.unreadable": kind("malformed target version: {fault}", "fault"),
    "staged_chunk.corrupt": kind("staged chunk {index} has the wrong digest", "index", "version"),
    "staged_chunk.read-failed": kind(
        "staged chunk {index} could not be read from the engine: {error}", "index", "error"
    ),
    "staged_chunks.check-late": kind(
        "version {version} is not loaded yet: the engine is too slow for the check of its staged "
        "chunks, {reads} reads took {seconds} s",
        "version",
        "reads",
        "seconds",
        "parallel",
    ),
    "weights.staged": kind(
        "version {version} was staged: {chunks} chunks in {seconds} s",
        "version",
        "chunks",
        "seconds",
    ),
    "chunk.fetch-failed": kind("a request for a chunk to {url} failed: {error}", "url", "error"),
    "chunk.staging-failed": kind("chunk {index} could not be staged: {error}", "index", "error"),
    "zone.evacuated": kind("no requests are sent to the backends of zone {zone}", "zone"),
    "zone.returned": kind("the evacuation of zone {zone} has ended", "zone"),
    "zone.unknown": kind("zone {zone} is to be evacuated, but is not in the settings", "zone"),
}

CONNECTION_EVENTS = {
    "connection.excess": kind(
        "{closed} callers sent bytes without end or heads that are too long, the last one"
        " {raw_bytes} bytes since its last request; their connections were closed",
        "kind",
        "raw_bytes",
        "closed",
    ),
    "connections.available": kind(
        "connections are taken again: {open} are open, {busy} of them with a request",
        "open",
        "busy",
    ),
    "connections.full": kind(
        "not ready: no descriptors for more connections; {open} are open, {busy} of them with a "
        "request, limit {limit}",
        "open",
        "busy",
        "limit",
    ),
    "connections.short": kind(
        "{closed} connections were closed to make room and {closed_for_memory} for want of memory;"
        " {unreadable} requests could not be parsed; {open} are open, limit {limit}",
        "closed",
        "closed_for_memory",
        "unreadable",
        "open",
        "busy",
        "limit",
    ),
}

DIRECT_EVENTS = {**REQUEST_EVENTS, **STATE_CHANGE_EVENTS, **CONNECTION_EVENTS}

PROXIED_EVENTS = {
    **CONNECTION_EVENTS,
    "chunk.corrupt": kind("{peer} sent chunk {chunk} with a wrong digest", "chunk", "peer"),
    "claim.taken_by_other": kind("the claim {path} was taken by another writer", "path"),
    "claim.unreadable": kind("malformed claim {key}: {error}", "key", "error"),
    "configuration.contradiction_refused": kind(
        "another document with revision {revision} from {source} was refused",
        "revision",
        "offered_write_id",
        "source",
    ),
    "configuration.history_unreadable": kind(
        "malformed entry {key} of the history: {error}", "key", "error"
    ),
    "configuration.in_force": kind(
        "revision {revision} from {source} is in force", "revision", "source"
    ),
    "configuration.offer_malformed": kind(
        "malformed configuration from {source}: {error}", "source", "error"
    ),
    "configuration.older_head_refused": kind(
        "the key-value service holds revision {service_head}, older than {in_force} in force",
        "in_force",
        "service_head",
    ),
    "daemon.signal": STATE_CHANGE_EVENTS["daemon.signal"],
    "daemon.stop-too-long": STATE_CHANGE_EVENTS["daemon.stop-too-long"],
    "daemon.started": STATE_CHANGE_EVENTS["daemon.started"],
    "daemon.stopped": STATE_CHANGE_EVENTS["daemon.stopped"],
    "drain.ended": kind("drain ended with {in_flight} requests in flight", "in_flight"),
    "drain.started": kind("drain started with {in_flight} requests in flight", "in_flight"),
    "library.message": STATE_CHANGE_EVENTS["library.message"],
    "order.failed": kind(
        "the engine did not carry out the order {kind}: {error}", "kind", "release", "error"
    ),
    "release.active": kind("the engine serves release {release}", "release"),
    "release.failed": kind("release {release} failed: {error}", "release", "error"),
    "release.held": kind(
        "all chunks of release {release} are held after {seconds} s", "release", "seconds"
    ),
    "release.lost": kind("the engine no longer serves release {release}", "release"),
    "release.too_large": kind(
        "the release needs {needed} bytes, over the limit of {limit}", "needed", "limit"
    ),
    "release.wanted": kind("release {release} is wanted", "release"),
    "request.failed": kind("internal error on {path}: {error}", "path", "error"),
    "slots.holder_gone": kind("the slots of {holder} are free: its VM has ended", "holder"),
    "slots.unreadable": kind("malformed slot table {key}: {error}", "key", "error"),
    "slots.taken": kind("{slots} slots were taken, {held} are held", "slots", "held"),
    "table.refused": kind("the chunk table {source} was refused: {message}", "source", "message"),
    "task.failed": kind("a background task failed: {error}", "error"),
}


def kinds_of(event: str) -> tuple[EventKind, ...]:
    """Return the kinds of log event with a name: at most one for each mode."""
    return tuple(events[event] for events in (DIRECT_EVENTS, PROXIED_EVENTS) if event in events)
