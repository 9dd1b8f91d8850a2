"""Routing policies, which choose the endpoint for a request."""

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..membership.ring import Ring
from ..registry import Registry
from .endpoints import EndpointView
from .records import Request

BOUND_FACTOR = 1.25
"""Load bound of prefix affinity, as a multiple of the average load."""
BOUND_SLACK = 0.25
"""Load added to that bound, so that affinity holds while the average load is low."""
MAXIMUM_BOUND = 0.5
"""Upper limit of the bound, as a share of an endpoint's slots."""
LOAD_SAMPLE_SIZE = 4
"""Number of random endpoints that the least-load policy compares."""


@dataclass(frozen=True, slots=True)
class Candidates:
    """Endpoints that may run a request, and the state that policies use.

    Attributes:
      views: The endpoints, at least one.
      ring: Consistent-hash ring of the endpoints of the role.
      rng: Random number generator.
      round_robin_counter: Number of round-robin choices so far.
    """

    views: Sequence[EndpointView]
    ring: Ring
    rng: random.Random
    round_robin_counter: "itertools.count[int]" = field(default_factory=itertools.count)


RoutingPolicy = Callable[[Request, Candidates, float], EndpointView]
POLICIES: Registry[RoutingPolicy] = Registry("routing policy")


@POLICIES.register("prefix-affinity")
def prefix_affinity(request: Request, candidates: Candidates, now: float) -> EndpointView:
    """Choose by the prompt prefix: consistent hashing with bounded loads.

    Args:
      request: The request.
      candidates: The endpoints.
      now: Current time, monotonic, in seconds.
    """
    if not request.is_model:
        return least_load(request, candidates, now)
    loads = {view.member.vm: view.expected_load(now) for view in candidates.views}
    bound = BOUND_FACTOR * sum(loads.values()) / len(loads) + BOUND_SLACK
    bound = min(bound, MAXIMUM_BOUND)
    by_vm = {view.member.vm: view for view in candidates.views}
    for vm in candidates.ring.walk(request.affinity):
        if vm in by_vm and loads[vm] <= bound:
            return by_vm[vm]
    return least_load(request, candidates, now)


@POLICIES.register("least-load")
def least_load(request: Request, candidates: Candidates, now: float) -> EndpointView:
    """Choose the least loaded of LOAD_SAMPLE_SIZE random endpoints."""
    views = candidates.views
    sample = candidates.rng.sample(views, min(LOAD_SAMPLE_SIZE, len(views)))
    return min(sample, key=lambda view: view.expected_load(now))


@POLICIES.register("round-robin")
def round_robin(request: Request, candidates: Candidates, now: float) -> EndpointView:
    """Choose the endpoints one after the other, in order of VM."""
    views = sorted(candidates.views, key=lambda view: view.member.vm)
    return views[next(candidates.round_robin_counter) % len(views)]


@POLICIES.register("random")
def at_random(request: Request, candidates: Candidates, now: float) -> EndpointView:
    """Choose a random endpoint."""
    return candidates.rng.choice(candidates.views)
