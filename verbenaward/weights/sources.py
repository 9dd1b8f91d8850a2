"""Reads weights from their sources in order: the weight store first, then the origin."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .. import clock, metrics
from ..platform.sources import ByteRange, SourceError, WeightSource

READ_TIMEOUT_SECONDS = 20.0
BACKOFF_SECONDS = 0.5
"""Half of the backoff after the first failure; each further one in a row doubles the backoff."""
MAXIMUM_BACKOFF_SECONDS = 8.0


@dataclass(slots=True)
class SourceState:
    """One source and its backoff state.

    Attributes:
      name: Name in the metric of bytes read.
      source: Port to the source.
      backoff_until: Time until which it is skipped after a failure, monotonic.
      failures: Consecutive failures.
    """

    name: str
    source: WeightSource
    backoff_until: float = 0.0
    failures: int = 0


class Sources:
    """Tries the sources in order; after a failure, honours a source's Retry-After or backs off.

    Attributes:
      states: The sources, the preferred one first.
    """

    def __init__(self, named: dict[str, WeightSource]) -> None:
        self.states = [SourceState(name, source) for name, source in named.items()]

    async def read(self, wanted: ByteRange) -> Result[bytes, SourceError]:
        """Read a byte range from the first source that delivers it."""
        error = SourceError(
            "all weight sources are in backoff", self.seconds_until_retry(clock.now())
        )
        for state in self.states:
            if state.backoff_until > clock.now():
                continue
            result = await state.source.read(wanted, READ_TIMEOUT_SECONDS)
            if isinstance(result, Success):
                state.failures = 0
                metrics.WEIGHT_BYTES.labels(state.name).inc(len(result.unwrap()))
                return result
            error = result.failure()
            self.record_failure(state, error, clock.now())
        return Failure(error)

    def record_failure(self, state: SourceState, error: SourceError, now: float) -> None:
        """Put a source into backoff; a missing file is no failure of the source."""
        if error.missing:
            return
        state.failures += 1
        backoff = min(BACKOFF_SECONDS * 2**state.failures, MAXIMUM_BACKOFF_SECONDS)
        state.backoff_until = now + (error.retry_after_seconds or backoff)

    def seconds_until_retry(self, now: float) -> float:
        """Return the seconds until the first backoff of a source ends."""
        remaining = [max(0.0, state.backoff_until - now) for state in self.states]
        return min(remaining, default=BACKOFF_SECONDS)
