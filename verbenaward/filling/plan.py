"""Which weights an engine should hold, and when it is told to load them."""

from ..data import Backend


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
