"""Choice between near engines and far ones, whose load is known late.

Load of near engines, those of the peer group or of the region, is reported at once. What is known
of the others may be seconds old. In overload all processes would see the same few far engines as
idle and overflow to them together. So a request leaves the near engines only if they cannot serve
it in time, and then for a random one of the far engines that are clearly idle, of the own region
first, as the links between regions are narrow.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from .backends import BackendView

FAR_WAIT_SHARE = 0.4
"""Share of the allowed wait that the forecast of a far engine may take; the rest allows for load
that it has received since its last report."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may run a request.

    Attributes:
      view: The engine.
      wait_seconds: Forecast of the time to the first event, without what the request itself needs
        beyond a usual one.
      cost_seconds: Cost by which engines are ranked.
      is_near: True if its load is known at once.
      is_in_region: True if it is in the region of this process.
    """

    view: BackendView
    wait_seconds: float
    cost_seconds: float
    is_near: bool
    is_in_region: bool


def eligible(
    candidates: Sequence[Candidate], allowed_seconds: float, tie_seconds: float
) -> list[Candidate]:
    """Return the engines among which one is chosen at random; empty only for no candidates.

    Args:
      candidates: Engines that may run the request.
      allowed_seconds: Longest wait with which the request is admitted.
      tie_seconds: Difference of costs below which engines count as equal.
    """
    near = cheapest([item for item in candidates if item.is_near], tie_seconds)
    if near and near[0].wait_seconds <= allowed_seconds:
        return near
    longest = FAR_WAIT_SHARE * allowed_seconds
    idle = [item for item in candidates if not item.is_near and item.wait_seconds <= longest]
    idle_in_region = [item for item in idle if item.is_in_region]
    return idle_in_region or idle or near or cheapest(candidates, tie_seconds)


def cheapest(candidates: Sequence[Candidate], tie_seconds: float) -> list[Candidate]:
    """Return the candidates whose cost is the lowest or ties with it, the lowest first."""
    ranked = sorted(candidates, key=lambda item: item.cost_seconds)
    return [item for item in ranked if item.cost_seconds <= ranked[0].cost_seconds + tie_seconds]
