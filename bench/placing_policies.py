"""Ways of placing requests that the bench `policies` and the tests of load play."""

import random
from collections.abc import Callable
from typing import Protocol

from verbenaward.direct.backends import BackendView
from verbenaward.direct.cells import Cell
from verbenaward.direct.fleet import Fleet
from verbenaward.direct.placing import Placer
from verbenaward.direct.records import Request
from verbenaward.registry import Registry

ZONES = ("zone-a", "zone-b", "zone-c")
REGIONS = {zone: f"region-{zone}" for zone in ZONES}


class Policy(Protocol):
    """Decides on a request as one entry process does."""

    def place(self, request: Request, now: float) -> tuple[BackendView | None, float]:
        """Return the backend, or None and when to come back, in seconds."""
        ...


POLICIES: Registry[Callable[[Fleet, str, random.Random, Cell], Policy]] = Registry("policy")


@POLICIES.register("placer")
class PlacerPolicy:
    """The placing of the product."""

    def __init__(self, fleet: Fleet, zone: str, rng: random.Random, cell: Cell) -> None:
        self.placer = Placer(fleet, zone, REGIONS, 8.0)
        self.placer.rng = rng
        self.placer.cell = cell

    def place(self, request: Request, now: float) -> tuple[BackendView | None, float]:
        """Choose as an entry process does."""
        choice = self.placer.choose(request, set(), now)
        refusal = self.placer.refusal(request, choice, now)
        if refusal is not None or choice is None:
            return None, refusal.retry_after_seconds if refusal else 0.1
        return choice.view, 0.0


@POLICIES.register("least-running")
class LeastRunningPolicy:
    """The backend with the fewest requests; refused where all places are taken twice."""

    def __init__(self, fleet: Fleet, zone: str, rng: random.Random, cell: Cell) -> None:
        self.fleet = fleet

    def place(self, request: Request, now: float) -> tuple[BackendView | None, float]:
        """Choose by the number of requests."""
        usable = [view for view in self.fleet.backends.values() if view.loading_until <= now]
        best = min(usable, key=lambda view: view.all_running(now), default=None)
        if best is None or best.all_running(now) >= 2 * best.backend.slots:
            return None, 0.3
        return best, 0.0


@POLICIES.register("random")
class RandomPolicy:
    """Any backend."""

    def __init__(self, fleet: Fleet, zone: str, rng: random.Random, cell: Cell) -> None:
        self.fleet = fleet
        self.rng = rng

    def place(self, request: Request, now: float) -> tuple[BackendView | None, float]:
        """Draw one."""
        return self.rng.choice(list(self.fleet.backends.values())), 0.0
