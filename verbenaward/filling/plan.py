"""Which weights an engine should hold, and when it is told to load them."""

from dataclasses import dataclass

from ..data import Backend, HeldWeights

WAVES = 2
WAVE_SECONDS = 1.3
"""Time in which an engine ends what it runs and loads what is staged."""


@dataclass(frozen=True, slots=True)
class Target:
    """Weights that an engine should hold, and the rank of its VM among those that load them."""

    weights: HeldWeights
    wave: int


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


def wave_of(address: str, serving: list[str]) -> int:
    """Return the wave in which an engine loads: those that serve do not all stop at once.

    Args:
      address: Address of the engine.
      serving: Addresses of all engines that serve older weights.
    """
    order = sorted({*serving, address})
    return order.index(address) % WAVES


def load_at(named_at: float, wave: int, is_serving: bool) -> float:
    """Return the earliest time at which an engine is told to load.

    Args:
      named_at: When the version was named, monotonic.
      wave: Wave of the engine.
      is_serving: False where it holds nothing, and so loses nothing.
    """
    return named_at if not is_serving else named_at + wave * WAVE_SECONDS
