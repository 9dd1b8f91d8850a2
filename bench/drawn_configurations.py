"""Changes to a configuration that a drawn soak writes, by name."""

import random
from collections.abc import Callable
from typing import Any

from review.harness import ZONES
from verbenaward.registry import Registry

Body = dict[str, Any]
Change = Callable[[Body, random.Random], None]
CHANGES: Registry[Change] = Registry("change of the configuration")
FACTORS = (0.5, 0.75, 1.5)
PLAIN_SERVICES = ("beds", "rooms")


def declare_services(body: Body) -> None:
    """Declare the second plain service."""
    beds = next(item for item in body["services"] if item["name"] == "beds")
    body["services"].append({**beds, "name": "rooms"})


def plain_routes(body: Body) -> list[Body]:
    """Return the routes of plain services."""
    return [item for item in body["routes"] if item["service"] == "beds"]


def some_regions(rng: random.Random) -> list[str]:
    """Return two or three regions."""
    return rng.sample(list(ZONES.values()), rng.randint(2, 3))


@CHANGES.register("same")
def keep(body: Body, rng: random.Random) -> None:
    """Change nothing but the version."""


@CHANGES.register("timeouts")
def change_timeouts(body: Body, rng: random.Random) -> None:
    """Make timeouts of routes shorter or longer."""
    for route in body["routes"]:
        route["timeout_ms"] = int(route["timeout_ms"] * rng.choice(FACTORS))


@CHANGES.register("attempts")
def change_attempts(body: Body, rng: random.Random) -> None:
    """Change how often idempotent requests and streams may be sent."""
    for route in body["routes"]:
        if route["kind"] != "non_idempotent":
            route["max_attempts"] = rng.randint(1, 3)


@CHANGES.register("targets")
def change_targets(body: Body, rng: random.Random) -> None:
    """Change target latencies and priorities."""
    for route in body["routes"]:
        route["target_latency_ms"] = int(route["target_latency_ms"] * rng.choice(FACTORS))
        route["priority"] = rng.randint(0, 3)


@CHANGES.register("regions")
def change_regions(body: Body, rng: random.Random) -> None:
    """Allow a route some regions only."""
    rng.choice(body["routes"])["allowed_regions"] = some_regions(rng)


@CHANGES.register("workspace-regions")
def change_workspace_regions(body: Body, rng: random.Random) -> None:
    """Allow the workspace some regions only."""
    body["tenants"][0]["allowed_regions"] = some_regions(rng)


@CHANGES.register("limits")
def change_limits(body: Body, rng: random.Random) -> None:
    """Change the limits on callers."""
    body["limits"]["idle_timeout_ms"] = rng.choice((1000, 4000, 30_000))
    body["limits"]["header_timeout_ms"] = rng.choice((1500, 6000))
    body["limits"]["max_body_bytes"] = rng.choice((65_536, 1_048_576))


@CHANGES.register("route-name")
def rename_route(body: Body, rng: random.Random) -> None:
    """Give a route another name."""
    rng.choice(body["routes"])["name"] += "-new"


@CHANGES.register("route-away")
def remove_route(body: Body, rng: random.Random) -> None:
    """Take one route away."""
    body["routes"].remove(rng.choice(body["routes"]))


@CHANGES.register("service")
def change_service(body: Body, rng: random.Random) -> None:
    """Let a plain route go to the other service."""
    rng.choice(plain_routes(body))["service"] = "rooms"


@CHANGES.register("split")
def split_traffic(body: Body, rng: random.Random) -> None:
    """Split plain routes between both services."""
    for route in plain_routes(body):
        route["traffic_split"] = [
            {"service": name, "weight": rng.randint(1, 3)} for name in PLAIN_SERVICES
        ]


@CHANGES.register("key-away")
def remove_key(body: Body, rng: random.Random) -> None:
    """Give the workspace another key than that of the callers."""
    body["tenants"][0]["api_keys"] = ["another key"]


@CHANGES.register("engine")
def change_engine(body: Body, rng: random.Random) -> None:
    """Change what the engines' service declares of them."""
    engine = next(item for item in body["services"] if item["name"] == "assist")
    engine["inference_engine"]["step_ms"] *= rng.choice(FACTORS)
    engine["inference_engine"]["slots"] = rng.choice((12, 16, 24))
