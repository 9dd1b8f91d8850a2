"""Deployments that the placement simulation runs: engines, request classes and bursts."""

from dataclasses import dataclass

from verbenaward.data import EngineProfile, Route, RouteKind

LATE_SHARE = 0.25
"""Worth of a late answer, as a share of one on time, unless its class has its own."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with its size distribution.

    Attributes:
      route: Its route.
      share: Share of all requests.
      prompt: Mean prompt, in tokens.
      events: Mean number of events in an answer.
      worth: Worth of an answer of mean size on time.
      late_share: Worth of a late answer, as a share of one on time.
    """

    route: Route
    share: float
    prompt: float
    events: float
    worth: float
    late_share: float = LATE_SHARE


@dataclass(frozen=True, slots=True)
class ClassBurst:
    """A burst of the requests of one class.

    Attributes:
      route: Name of the route of the class.
      starts_at: When it starts, in simulated seconds.
      seconds: How long it takes.
      factor: Factor of the request rate of the class during the burst.
    """

    route: str
    starts_at: float
    seconds: float
    factor: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Engines, request classes and bursts of a simulation.

    Attributes:
      engine: Performance profile of the engines.
      classes: Request classes.
      bursts: Bursts of single classes.
      learns_delays: True if entry processes learn from overdue and slow first events, as in the
        product; the figures of the first deployment were measured without that.
    """

    engine: EngineProfile
    classes: tuple[RequestClass, ...]
    bursts: tuple[ClassBurst, ...] = ()
    learns_delays: bool = False


def route_of(name: str, target_seconds: float, priority: int = 1) -> Route:
    """Return the route of a class, with its target for the time to the first event."""
    return Route(
        name, "h", "/", RouteKind.STREAMING, (), 6.0, target_seconds, 0.4, priority, 2, False, True
    )


def engine_of(
    slots: int,
    step_ms: float,
    sequence_ms: float,
    read_per_second: float,
    prompt: float,
    answer: float,
) -> EngineProfile:
    """Return an engine that prefills 2048 tokens a pass and emits an event every 5 steps."""
    return EngineProfile(
        slots=slots,
        step_seconds=step_ms / 1000,
        sequence_seconds=sequence_ms / 1000,
        read_tokens_per_second=read_per_second,
        read_tokens_per_pass=2048,
        steps_per_event=5,
        usual_prompt_tokens=prompt,
        usual_answer_tokens=answer,
        models=("model",),
        chunk_count=48,
        chunk_bytes=49152,
    )


EQUAL_PRIORITY = Deployment(
    engine_of(16, 8.87, 0.0388, 19100.0, 977.0, 94.0),
    (
        RequestClass(route_of("long", 0.505), 0.40, 1290.0, 21.0, 2.4),
        RequestClass(route_of("middle", 0.404), 0.31, 787.0, 21.0, 2.0),
        RequestClass(route_of("short", 0.404), 0.29, 607.0, 14.0, 1.5),
    ),
)

THREE_PRIORITIES = Deployment(
    engine_of(12, 9.27, 0.0232, 20700.0, 917.0, 97.0),
    (
        RequestClass(route_of("long", 1.0, 2), 0.34, 1290.0, 21.0, 1.0, 0.38),
        RequestClass(route_of("middle", 0.4, 0), 0.43, 787.0, 21.0, 3.2, 0.32),
        RequestClass(route_of("short", 0.4, 1), 0.23, 607.0, 14.0, 1.3, 0.31),
    ),
    (ClassBurst("long", 4.0, 5.9, 2.4), ClassBurst("middle", 10.5, 3.5, 1.7)),
    learns_delays=True,
)
