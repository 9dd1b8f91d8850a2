"""Rows of a soak: a load, and the troubles beside it."""

from dataclasses import dataclass

from .soak_traffic import Load
from .soak_troubles import CALM_START_SECONDS, DARK_FROM_SECONDS, FIRST_FAULT_SECONDS
from .soak_workers import STREAM_SECONDS

STREAMS = Load("/assist/", "POST", 6060, kept_share=0.5)
LOOKS = Load("/look/", "GET", 2180)
CHECKS = Load("/check/", "GET", 618)
BOOKINGS = Load("/book/", "POST", 4060)
DEADLY_LOADS = (STREAMS, LOOKS, BOOKINGS)


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a soak.

    Attributes:
      description: What it plays, for the help.
      load: Its requests.
      troubles: Names of its troubles.
      error_share: Share of the plain backends' answers that are 500.
      rate: Requests a second; 0 for the usual rate.
      span: When requests are sent, in seconds.
      engines_per_zone: Engines in each zone.
      plain: Plain backends beside engines.
      more: Further loads, and their requests a second.
      is_deadly: True if a request of each kind crashes the backends that run it.
      has_own_bodies: True if no two streams are equal.
    """

    description: str
    load: Load
    troubles: tuple[str, ...] = ()
    error_share: float = 0.0
    rate: float = 0.0
    span: tuple[float, float] = (0.0, float("inf"))
    engines_per_zone: int = 2
    plain: int = 0
    more: tuple[tuple[Load, float], ...] = ()
    is_deadly: bool = False
    has_own_bodies: bool = False

    @property
    def counted_from(self) -> float:
        """When the requests are sent whose lateness is counted, in seconds.

        With a dark engine these are those that were under way on it, and all later ones.
        """
        return DARK_FROM_SECONDS - STREAM_SECONDS if "dark" in self.troubles else 0.0


ERRORS = 0.8
ROWS = {
    "calm": Row("streams, no trouble", STREAMS),
    "silence": Row("streams; an engine is silent for 1.4 s each 2.5 s", STREAMS, ("silence",)),
    "silence-sigterm": Row(
        "the same, and SIGTERM to the entry processes in turn from 14 s, 6 s apart",
        STREAMS,
        ("silence", "sigterm"),
    ),
    "sigterm": Row("streams; SIGTERM in turn, no silence", STREAMS, ("sigterm",)),
    "sigterm-twice": Row(
        "streams; SIGTERM, and once more 1 s later, in turn from 14 s, 9 s apart",
        STREAMS,
        ("sigterm-twice",),
    ),
    "silence-configuration": Row(
        "streams; silence, and a configuration each 3 s", STREAMS, ("silence", "configuration")
    ),
    "dark": Row("streams; from 10 s on one engine never sends a byte", STREAMS, ("dark",)),
    "dark-sigterm": Row("the same, and SIGTERM in turn", STREAMS, ("dark", "sigterm")),
    "whole-silence": Row("whole answers; a plain backend is silent", LOOKS, ("silence",)),
    "whole-silence-sigterm": Row("the same, and SIGTERM in turn", LOOKS, ("silence", "sigterm")),
    "errors": Row("plain backends answer 500 to 80%", CHECKS, (), ERRORS),
    "errors-killed": Row(
        "the same; from 14 s on all entry processes are killed each 4 s", CHECKS, ("kill",), ERRORS
    ),
    "errors-sigterm": Row(
        "the same; SIGTERM in turn from 14 s, 1.5 s apart", CHECKS, ("roll",), ERRORS
    ),
    "errors-stopped": Row(
        "the same; from 14 s one after the other is stopped for 3 s", CHECKS, ("stop",), ERRORS
    ),
    "burst": Row(
        "plain backends; a burst of 10 s after a calm, errors from its 2.5 s on",
        CHECKS,
        ("late-errors",),
        rate=150.0,
        span=(FIRST_FAULT_SECONDS - CALM_START_SECONDS, FIRST_FAULT_SECONDS + 7.5),
    ),
    "move": Row(
        "plain backends, all callers at one entry process; errors, and 2 s later they move",
        CHECKS,
        ("late-errors", "move"),
        rate=150.0,
    ),
    "move-sigterm": Row(
        "the same, and the process that they leave gets SIGTERM",
        CHECKS,
        ("late-errors", "move", "sigterm-left"),
        rate=150.0,
    ),
    "deadly": Row(
        "a stream, a look-up and an unsafe request crash each backend that runs them",
        STREAMS,
        engines_per_zone=3,
        plain=3,
        is_deadly=True,
    ),
    "deadly-kill": Row(
        "the same; from 8 s on all entry processes are killed each 9 s",
        STREAMS,
        ("kill-herd",),
        engines_per_zone=3,
        plain=3,
        is_deadly=True,
    ),
    "deadly-sigterm": Row(
        "the same; from 8 s on all entry processes get SIGTERM each 12 s",
        STREAMS,
        ("sigterm-herd",),
        engines_per_zone=3,
        plain=3,
        is_deadly=True,
    ),
    "still-500": Row(
        "streams; nine answers in ten are 500 from 6 s on; engines stand still and answer reports",
        STREAMS,
        ("stand-still", "stream-errors"),
        rate=85.0,
        engines_per_zone=3,
    ),
    "still-503": Row(
        "the same with refusals that prove that nothing ran",
        STREAMS,
        ("stand-still", "stream-refusals"),
        rate=85.0,
        engines_per_zone=3,
    ),
    "frozen-500": Row(
        "nine answers in ten are 500; engines stand still and answer nothing",
        STREAMS,
        ("freeze", "stream-errors"),
        rate=85.0,
        engines_per_zone=3,
    ),
    "frozen-503": Row(
        "the same with refusals that prove that nothing ran",
        STREAMS,
        ("freeze", "stream-refusals"),
        rate=85.0,
        engines_per_zone=3,
    ),
    "resets": Row(
        "streams of their own and look-ups; for 3 s nine answers in ten are resets",
        STREAMS,
        ("resets",),
        rate=85.0,
        engines_per_zone=3,
        plain=3,
        more=((LOOKS, 3.0),),
        has_own_bodies=True,
    ),
    "head-resets": Row(
        "the same; the head of the answer, then a reset",
        STREAMS,
        ("head-resets",),
        rate=85.0,
        engines_per_zone=3,
        plain=3,
        more=((LOOKS, 3.0),),
        has_own_bodies=True,
    ),
    "equal-resets": Row(
        "resets before the answer; streams of 60 kinds",
        STREAMS,
        ("resets",),
        rate=85.0,
        engines_per_zone=3,
        plain=3,
        more=((LOOKS, 3.0),),
    ),
}
