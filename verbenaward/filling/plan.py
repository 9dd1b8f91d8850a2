"""Which weights an engine should hold, and when it is told to load them."""

from dataclasses import dataclass

from ..data import Backend

STAGING_SHARE = 0.58
"""Part of the time bound of a version after which its engines begin to load."""
LOADING_SHARE = 0.32
"""Part of the time bound over which they take their turns."""
NEWER_SHARE = 0.9
"""Part of the time bound within which the last engine should have staged a newer version."""
IN_TIME_SHARE = 0.85
"""Part of the time bound within which a version should be staged."""


def wanted_version(named: dict[str, int], model: str, others: list[Backend]) -> int:
    """Return the version of a model that an engine should hold; 0 where none is known.

    Args:
      named: Versions that the operator has named.
      model: Name of the model.
      others: Backends of the service. Where no version was named, what they hold counts.
    """
    if model in named:
        return named[model]
    held = [
        item.version for backend in others for item in backend.weights or () if item.model == model
    ]
    return max(held, default=0)


def load_delay_seconds(address: str, serving: list[str], window_seconds: float) -> float:
    """Return how long an engine that serves older weights waits before it loads newer ones.

    An engine takes nothing new while it ends what it runs and loads. Those of a service take
    their turns over the window, so that they do not all stop at once.

    Args:
      address: Address of the engine.
      serving: Addresses of all engines of the service that serve.
      window_seconds: Time in which all should begin.
    """
    order = sorted({*serving, address})
    return window_seconds * order.index(address) / len(order)


@dataclass(frozen=True, slots=True)
class Overtaken:
    """A version that is being staged when a newer one is named.

    Attributes:
      staged_share: Part of its chunks that are staged.
      newer_heard_at: When the newer version was heard, monotonic.
      staging_seconds: Time to stage a whole version.
      bound_seconds: Time bound of a version.
      rank: Place of the engine among those that serve.
    """

    staged_share: float
    newer_heard_at: float
    staging_seconds: float
    bound_seconds: float
    rank: int


def goes_on(overtaken: Overtaken, now: float) -> bool:
    """Return True where an engine still takes a version that a newer one has overtaken.

    If all gave it up, none would hold a version that may serve between the bound of the older
    and the arrival of the newer one. If both can be had in time, all go on; else every second.

    Args:
      overtaken: What is known when the newer version is heard.
      now: Present time, monotonic, in seconds.
    """
    rest = (1.0 - overtaken.staged_share) * overtaken.staging_seconds
    newer_staged_at = now + rest + overtaken.staging_seconds
    in_time = overtaken.newer_heard_at + IN_TIME_SHARE * overtaken.bound_seconds
    return newer_staged_at <= in_time or overtaken.rank % 2 == 0


def loading_window_seconds(
    first_heard_at: float, newer_heard_at: float | None, staging_seconds: float, bound: float
) -> float:
    """Return the time over which the engines of a service take their turns.

    Args:
      first_heard_at: When the version that they load was heard, monotonic.
      newer_heard_at: When a newer one was heard that must be staged afterwards; None for none.
      staging_seconds: Time to stage a whole version.
      bound: Time bound of a version.
    """
    window = LOADING_SHARE * bound
    if newer_heard_at is None:
        return window
    start = first_heard_at + STAGING_SHARE * bound
    last = newer_heard_at + NEWER_SHARE * bound - staging_seconds
    return max(0.0, min(window, last - start))
