"""Levels of urgency: the distinct priorities of the requests for a service, in order.

The priority of the workspace comes first; among workspaces of one priority, that of the route
decides. Level 0 is the most urgent. A service whose requests all have one priority has no levels:
its requests have the level None and are served as if there were no priorities. Late requests wait
behind all others, so load reports count them in the last level.
"""

from dataclasses import dataclass

from ..data import Route, RoutingConfiguration

MAXIMUM_LEVELS = 3
LAST_LEVEL = MAXIMUM_LEVELS - 1

Urgency = tuple[int, int]
"""Priority of the workspace, or that of the route if it has none; then that of the route."""


@dataclass(frozen=True, slots=True)
class LessUrgent:
    """Requests without a first event below level 0 and below level 1, at one backend.

    Attributes:
      requests: Their number, below each of the two levels.
      prompt_tokens: Their prompt tokens.
    """

    requests: tuple[int, int] = (0, 0)
    prompt_tokens: tuple[int, int] = (0, 0)

    def changed_by(self, level: int | None, requests: int, prompt_tokens: int) -> "LessUrgent":
        """Return the counts after a change of the requests of a level."""
        if not level:
            return self
        below_first = int(level > 1)
        return LessUrgent(
            (self.requests[0] + requests, self.requests[1] + below_first * requests),
            (
                self.prompt_tokens[0] + prompt_tokens,
                self.prompt_tokens[1] + below_first * prompt_tokens,
            ),
        )


NONE_LESS_URGENT = LessUrgent()


def urgency_of(route: Route, workspace_priority: int | None) -> Urgency:
    """Return the urgency of the requests of a workspace on a route; the lowest is served first."""
    first = route.priority if workspace_priority is None else workspace_priority
    return first, route.priority


def urgencies_by_service(configuration: RoutingConfiguration) -> dict[str, tuple[Urgency, ...]]:
    """Return the distinct urgencies of the requests for each service, in order."""
    found: dict[str, set[Urgency]] = {}
    for route in configuration.routes:
        urgencies = {urgency_of(route, item.priority) for item in configuration.workspaces}
        if route.is_public or not configuration.workspaces:
            urgencies.add(urgency_of(route, None))
        for share in route.shares:
            found.setdefault(share.service, set()).update(urgencies)
    return {service: tuple(sorted(urgencies)) for service, urgencies in found.items()}


def level_of(urgencies: tuple[Urgency, ...], urgency: Urgency) -> int | None:
    """Return the level of an urgency; None if all requests of the service have the same.

    Args:
      urgencies: Distinct urgencies of the requests for the service, in order. More than three are
        distributed over the levels as evenly as possible.
      urgency: Urgency of the request.
    """
    count = len(urgencies)
    if count < 2:
        return None
    position = min(count - 1, sum(other < urgency for other in urgencies))
    return position if count <= MAXIMUM_LEVELS else position * MAXIMUM_LEVELS // count


def queue_level(level: int | None, is_late: bool) -> int | None:
    """Return the level with which a request waits at a backend: the last one if it is late."""
    return LAST_LEVEL if is_late and level is not None else level


def level_rank(level: int, is_late: bool) -> int:
    """Return the rank of a request in the queue of an engine, from 0 to 5; lower is served first.

    Late requests come last whatever their level, as they would displace requests that can still
    be on time.
    """
    return MAXIMUM_LEVELS + level if is_late else level


def is_at_least_as_urgent(other: int | None, level: int | None) -> bool:
    """Return True if a request of level `other` is at least as urgent as one of `level`.

    A request without a level counts as level 0; any request is if `level` is None.
    """
    return level is None or (other or 0) <= level
