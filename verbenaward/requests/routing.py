"""Routing policies: which endpoint gets a request."""

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..membership.ring import Ring
from ..registry import Registry
from .endpoints import EndpointView
from .records import Request

BOUND_FACTOR = 1.25
BOUND_SLACK = 0.25
NEARLY_FULL = 0.5
LOAD_CHOICES = 4


@dataclass(frozen=True, slots=True)
class Candidates:
    """Endpoints that may run a request, with what a policy needs to choose.

    Attributes:
      views: The endpoints, at least one.
      ring: Ring of the endpoints of the role.
      rng: Source of random choices.
      turns: Counter for policies that go round.
    """

    views: Sequence[EndpointView]
    ring: Ring
    rng: random.Random
    turns: "itertools.count[int]" = field(default_factory=itertools.count)


RoutingPolicy = Callable[[Request, Candidates, float], EndpointView]
POLICIES: Registry[RoutingPolicy] = Registry("routing policy")


@POLICIES.register("prefix-affinity")
def prefix_affinity(request: Request, candidates: Candidates, now: float) -> EndpointView:
    """Choose by the prompt prefix, but pass over endpoints with too much load.

    Args:
      request: The request.
      candidates: The endpoints.
      now: Present time, monotonic, in seconds.
    """
    if not request.is_model:
        return least_load(request, candidates, now)
    loads = {view.member.vm: view.expected_load(now) for view in candidates.views}
    bound = BOUND_FACTOR * sum(loads.values()) / len(loads) + BOUND_SLACK
    bound = min(bound, NEARLY_FULL)
    by_vm = {view.member.vm: view for view in candidates.views}
    for vm in candidates.ring.walk(request.affinity):
        if vm in by_vm and loads[vm] <= bound:
            return by_vm[vm]
    return least_load(request, candidates, now)


@POLICIES.register("least-load")
def least_load(request: Request, candidates: Candidates, now: float) -> EndpointView:
    """Choose the least loaded of a few random endpoints."""
    views = candidates.views
    sample = candidates.rng.sample(views, min(LOAD_CHOICES, len(views)))
    return min(sample, key=lambda view: view.expected_load(now))


@POLICIES.register("round-robin")
def round_robin(request: Request, candidates: Candidates, now: float) -> EndpointView:
    """Choose the endpoints in turn."""
    views = sorted(candidates.views, key=lambda view: view.member.vm)
    return views[next(candidates.turns) % len(views)]


@POLICIES.register("random")
def at_random(request: Request, candidates: Candidates, now: float) -> EndpointView:
    """Choose any endpoint."""
    return candidates.rng.choice(candidates.views)
