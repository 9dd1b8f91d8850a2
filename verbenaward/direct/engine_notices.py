"""Notices of endpoint processes about their engines, in the message `Pulse`.

An engine that will load weights is announced, and one that has loaded them: its registration in the
store follows seconds later. The requests at an engine are reported, which counts those of entry
processes whose own reports are late or lost as well.
"""

from ..data import HeldWeights
from ..placement.fleet import Fleet
from ..schema.messages import Pulse

MILLISECONDS_PER_SECOND = 1000
NO_LOAD_PLANNED_MS = 2**32 - 1
"""Time until the load in a notice that announces none. A process of an older version takes it for a
load in the far future."""
MAXIMUM_REQUESTS = 2**16 - 2


def loading_notice(vm: str, engine: str, seconds: float) -> Pulse:
    """Return the notice that an engine loads weights after a time; 0 seconds for now."""
    milliseconds = max(1, round(seconds * MILLISECONDS_PER_SECOND)) if seconds else 0
    return Pulse(vm=vm, loading=engine, loading_in_ms=milliseconds)


def requests_report(engine: str, requests: int) -> Pulse:
    """Return the report of the requests that run or wait at an engine."""
    counted = min(requests, MAXIMUM_REQUESTS) + 1
    return Pulse(loading=engine, loading_in_ms=NO_LOAD_PLANNED_MS, engine_requests=counted)


def loaded_notice(engine: str, weights: HeldWeights, born_unix_ms: int) -> Pulse:
    """Return the notice that an engine holds weights and accepts requests.

    Args:
      engine: Address of the engine.
      weights: The weights.
      born_unix_ms: Start of the engine, in milliseconds since the epoch; 0 if unknown.
    """
    return Pulse(
        loading=engine,
        loading_in_ms=NO_LOAD_PLANNED_MS,
        loaded_model=weights.model,
        loaded_version=weights.version,
        born_unix_ms=born_unix_ms,
    )


def apply_engine_notice(notice: Pulse, fleet: Fleet, now: float) -> None:
    """Apply a notice about an engine."""
    if notice.loaded_model:
        weights = HeldWeights(notice.loaded_model, notice.loaded_version)
        fleet.record_loaded(notice.loading, weights, notice.born_unix_ms, now)
    elif notice.engine_requests:
        fleet.record_reported_requests(notice.loading, notice.engine_requests - 1, now)
    else:
        fleet.record_loading(notice.loading, notice.loading_in_ms / MILLISECONDS_PER_SECOND, now)
