"""Placement policies that the benchmark `policies` and the load tests simulate."""

import random
from collections.abc import Callable
from typing import Protocol

from verbenaward.placement.fleet import Fleet
from verbenaward.placement.peer_groups import PeerGroup
from verbenaward.placement.placer import Choice, Placer
from verbenaward.placement.request_types import Request
from verbenaward.registry import Registry

ZONES = ("zone-a", "zone-b", "zone-c")
REGIONS = {zone: f"region-{zone}" for zone in ZONES}


class PlacementPolicy(Protocol):
    """Chooses backends for the requests of one entry process."""

    def place(self, request: Request, now: float) -> tuple[Choice | None, float]:
        """Return the choice and 0; if refused, None and the seconds until a retry."""
        ...


POLICIES: Registry[Callable[[Fleet, str, random.Random, PeerGroup], PlacementPolicy]] = Registry(
    "policy"
)


@POLICIES.register("placer")
class PlacerPolicy:
    """The placement of the product, verbenaward.placement.placer."""

    def __init__(self, fleet: Fleet, zone: str, rng: random.Random, peer_group: PeerGroup) -> None:
        self.placer = Placer(fleet, zone, REGIONS, 8.0)
        self.placer.rng = rng
        self.placer.peer_group = peer_group

    def place(self, request: Request, now: float) -> tuple[Choice | None, float]:
        """Return the choice of the product's placer."""
        choice = self.placer.choose(request, set(), now)
        refusal = self.placer.refusal(request, choice, now)
        if refusal is not None or choice is None:
            return None, refusal.retry_after_seconds if refusal else 0.1
        return choice, 0.0


@POLICIES.register("least-running")
class LeastRunningPolicy:
    """The backend with the fewest requests; refuses if even that one has twice its slots."""

    def __init__(self, fleet: Fleet, zone: str, rng: random.Random, peer_group: PeerGroup) -> None:
        self.fleet = fleet

    def place(self, request: Request, now: float) -> tuple[Choice | None, float]:
        """Return the backend that runs the fewest requests and is not loading."""
        usable = [view for view in self.fleet.backends.values() if view.excluded_until <= now]
        best = min(usable, key=lambda view: view.all_running(now), default=None)
        if best is None or best.all_running(now) >= 2 * best.backend.slots:
            return None, 0.3
        return Choice(best, 0.0, 0, 0.0), 0.0


@POLICIES.register("random")
class RandomPolicy:
    """A random backend, whatever its load."""

    def __init__(self, fleet: Fleet, zone: str, rng: random.Random, peer_group: PeerGroup) -> None:
        self.fleet = fleet
        self.rng = rng

    def place(self, request: Request, now: float) -> tuple[Choice | None, float]:
        """Return a random backend; never refuses."""
        view = self.rng.choice(list(self.fleet.backends.values()))
        return Choice(view, 0.0, 0, 0.0), 0.0
