"""The requests of a soak, drawn from its seed; no network and no clock."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

SUBJECTS = 60
WITHIN, AT_END = "within", "end"
"""Places of a silence: half an event or body, and the whole body without its end, is sent."""
DEADLY = "deadly"
"""Last part of the path of a request that crashes each backend that begins to run it."""
DEADLY_GAPS = (0.1, 3.0)
"""Shortest and longest time from one arrival of a deadly request to the next, in seconds."""


@dataclass(frozen=True, slots=True)
class Load:
    """Requests that are sent evenly.

    Attributes:
      prefix: Prefix of their paths.
      method: Their method.
      deadline_ms: Value of X-Deadline-Ms.
      kept_share: Share that is sent on kept connections.
    """

    prefix: str
    method: str
    deadline_ms: int
    kept_share: float = 0.0

    @property
    def is_stream(self) -> bool:
        """True if the answers are streams."""
        return self.prefix == "/assist/"


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of a soak.

    Attributes:
      at: When it is sent, in seconds since the traffic began.
      attempt: Value of X-Attempt-Id.
      load: What it belongs to.
      subject: Last part of its path.
      is_kept: True if it is sent on a kept connection.
      is_deadly: True if it crashes each backend that begins to run it.
      body: Its body.
    """

    at: float
    attempt: str
    load: Load
    subject: int
    is_kept: bool
    is_deadly: bool = False
    body: bytes = b""

    @property
    def path(self) -> str:
        """Its path."""
        return f"{self.load.prefix}{DEADLY if self.is_deadly else self.subject}"


def draw_requests(
    seed: int, flows: Sequence[tuple[Load, float, tuple[float, float]]]
) -> tuple[PlannedRequest, ...]:
    """Return the requests of a seed in their order.

    Args:
      seed: Seed of what is drawn.
      flows: Loads, their requests a second, and when these begin and end.
    """
    rng = random.Random(f"{seed} callers")
    due = [
        (start + number / rate, load)
        for load, rate, (start, end) in flows
        for number in range(round((end - start) * rate))
    ]
    due.sort(key=lambda item: item[0])
    return tuple(
        PlannedRequest(
            at=at,
            attempt=f"{number:08x}{rng.randrange(2**32):08x}",
            load=load,
            subject=rng.randrange(SUBJECTS),
            is_kept=rng.random() < load.kept_share,
        )
        for number, (at, load) in enumerate(due, start=1)
    )


def draw_deadly(seed: int, loads: Sequence[Load], seconds: float) -> tuple[PlannedRequest, ...]:
    """Return one deadly request of each load, which comes again and again."""
    rng = random.Random(f"{seed} deadly")
    found = []
    for load in loads:
        at = rng.uniform(*DEADLY_GAPS)
        while at < seconds:
            attempt = f"dead{len(found):04x}{rng.randrange(2**32):08x}"
            found.append(PlannedRequest(at, attempt, load, 0, False, is_deadly=True))
            at += rng.uniform(*DEADLY_GAPS)
    return tuple(found)
