"""Levels of urgency: the distinct priorities of the requests for a service, in order.

Level 0 is the most urgent. A service whose requests all have one priority has no levels: its
requests have the level None and are served as if there were no priorities. Late requests wait
behind all others, so load reports count them in the last level.
"""

from dataclasses import dataclass

from ..data import RoutingConfiguration

MAXIMUM_LEVELS = 3
LAST_LEVEL = MAXIMUM_LEVELS - 1
RANKS_PER_LEVEL = 2
"""Queue ranks of a level at an engine: long prompts, then all others."""
FIRST_LATE_RANK = RANKS_PER_LEVEL * MAXIMUM_LEVELS
"""Queue rank of late requests of level 0; those of the other levels follow."""


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


def priorities_by_service(configuration: RoutingConfiguration) -> dict[str, tuple[int, ...]]:
    """Return the distinct effective priorities of the requests for each service, in order.

    The priority of a workspace replaces that of the route.
    """
    found: dict[str, set[int]] = {}
    for route in configuration.routes:
        priorities = {
            route.priority if workspace.priority is None else workspace.priority
            for workspace in configuration.workspaces
        }
        if route.is_public or not configuration.workspaces:
            priorities.add(route.priority)
        for share in route.shares:
            found.setdefault(share.service, set()).update(priorities)
    return {service: tuple(sorted(priorities)) for service, priorities in found.items()}


def level_of(priorities: tuple[int, ...], priority: int) -> int | None:
    """Return the level of a priority; None if all requests of the service have the same.

    Args:
      priorities: Distinct effective priorities of the requests for the service, in order. From the
        third on they share the last level.
      priority: Priority of the request.
    """
    if len(priorities) < 2:
        return None
    return min(LAST_LEVEL, sum(other < priority for other in priorities))


def queue_level(level: int | None, is_late: bool) -> int | None:
    """Return the level with which a request waits at a backend: the last one if it is late."""
    return LAST_LEVEL if is_late and level is not None else level


def level_rank(level: int, is_late: bool, is_long: bool) -> int:
    """Return the rank of a request in the queue of an engine, from 0 to 8; lower is served first.

    Late requests come last whatever their level, as they would displace requests that can still
    be on time.
    """
    if is_late:
        return FIRST_LATE_RANK + level
    return RANKS_PER_LEVEL * level + (0 if is_long else 1)


def is_more_urgent_awaited(awaited: int | None, level: int | None) -> bool:
    """Return True if a request of one level is served no later than one of another level."""
    return level is None or (awaited or 0) <= level
