"""Notices of endpoint processes about their engines, in the message `Pulse`.

An engine that will load weights is announced, and the requests at an engine are reported. The
report also counts the requests of entry processes whose own reports are late or lost.
"""

from ..placement.fleet import Fleet
from ..schema.messages import Pulse

MILLISECONDS_PER_SECOND = 1000
NO_LOAD_PLANNED_MS = 2**32 - 1
"""Time until the load in a report of requests, which announces none. A process of an older version
takes it for a load in the far future."""
MAXIMUM_REQUESTS = 2**16 - 2


def loading_notice(vm: str, engine: str, seconds: float) -> Pulse:
    """Return the notice that an engine loads weights after a time; 0 seconds for now."""
    milliseconds = max(1, round(seconds * MILLISECONDS_PER_SECOND)) if seconds else 0
    return Pulse(vm=vm, loading=engine, loading_in_ms=milliseconds)


def requests_report(engine: str, requests: int) -> Pulse:
    """Return the report of the requests that run or wait at an engine."""
    counted = min(requests, MAXIMUM_REQUESTS) + 1
    return Pulse(loading=engine, loading_in_ms=NO_LOAD_PLANNED_MS, engine_requests=counted)


def apply_engine_notice(notice: Pulse, fleet: Fleet, now: float) -> None:
    """Apply a notice about an engine."""
    if notice.engine_requests:
        fleet.record_reported_requests(notice.loading, notice.engine_requests - 1, now)
    else:
        fleet.record_loading(notice.loading, notice.loading_in_ms / MILLISECONDS_PER_SECOND, now)
