"""Reads from the sources of weights: the weight store first, then the origin."""

import time
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .. import metrics
from ..platform.sources import ByteRange, SourceError, WeightSource

DRAW_TIMEOUT_SECONDS = 20.0
BACKOFF_SECONDS = 0.5
MAXIMUM_BACKOFF_SECONDS = 8.0


@dataclass(slots=True)
class SourceState:
    """One source and when it may be asked again.

    Attributes:
      name: Name for metrics.
      source: The source.
      closed_until: Time until which it is left alone, monotonic.
      failures: Failures in a row.
    """

    name: str
    source: WeightSource
    closed_until: float = 0.0
    failures: int = 0


class Sources:
    """Tries the sources in order and leaves each alone as long as it asks for.

    Attributes:
      states: The sources, preferred first.
    """

    def __init__(self, named: dict[str, WeightSource]) -> None:
        self.states = [SourceState(name, source) for name, source in named.items()]

    async def read(self, wanted: ByteRange) -> Result[bytes, SourceError]:
        """Read a range from the first source that is open."""
        error = SourceError("no source is open", self.seconds_until_open(time.monotonic()))
        for state in self.states:
            if state.closed_until > time.monotonic():
                continue
            result = await state.source.read(wanted, DRAW_TIMEOUT_SECONDS)
            if isinstance(result, Success):
                state.failures = 0
                metrics.WEIGHT_BYTES.labels(state.name).inc(len(result.unwrap()))
                return result
            error = result.failure()
            self.note_failure(state, error, time.monotonic())
        return Failure(error)

    def note_failure(self, state: SourceState, error: SourceError, now: float) -> None:
        """Close a source for a while after a failure."""
        if error.missing:
            return
        state.failures += 1
        backoff = min(BACKOFF_SECONDS * 2**state.failures, MAXIMUM_BACKOFF_SECONDS)
        state.closed_until = now + (error.retry_after_seconds or backoff)

    def seconds_until_open(self, now: float) -> float:
        """Return the seconds until some source may be asked again."""
        waits = [max(0.0, state.closed_until - now) for state in self.states]
        return min(waits, default=BACKOFF_SECONDS)
