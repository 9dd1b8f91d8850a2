"""The plan of a drawn soak: pure functions of its seed; no network and no clock."""

import random
from dataclasses import dataclass

from standins.unruly_clients import HABITS

from .soak_traffic import AT_END, WITHIN, Load, PlannedRequest, draw_deadly, draw_requests

KEPT_SHARE = 0.5
PROXIED_HABITS = ("bodies of 3 MB", "control messages")
"""Beginnings of the names of habits that only the proxied mode has paths for."""
STREAMS = Load("/assist/", "POST", 6060, KEPT_SHARE)
LOOKS = Load("/look/", "GET", 2180, KEPT_SHARE)
BOOKINGS = Load("/book/", "POST", 4060, KEPT_SHARE)
"""Unsafe requests."""
LOADS = (STREAMS, LOOKS, BOOKINGS)
FULL_STREAM_RATE = 84.0
"""Streams a second that six engines carry."""
PLAIN_RATES = (10.0, 40.0)
ERROR_SHARES = (0.0, 0.0, 0.1, 0.4)
FOR_GOOD_SECONDS = 3600.0
TARGETS = 10_000
"""Targets are drawn below this, far above the number of processes or backends."""
ENTRY_COUNTS = (3, 6, 9)


@dataclass(frozen=True, slots=True)
class Series:
    """A kind of trouble that comes again and again, in bursts.

    Attributes:
      kind: Name of the action.
      share: Share of the seeds that have it.
      pauses: Shortest and longest pause between bursts, in seconds.
      burst: Most troubles of a burst.
      gaps: Shortest and longest time from one trouble of a burst to the next, in seconds.
      lengths: Shortest and longest duration of one, in seconds.
      width: Most processes or backends that one trouble meets at once.
      details: Forms of it, of which each trouble draws one.
    """

    kind: str
    share: float
    pauses: tuple[float, float]
    burst: int = 3
    gaps: tuple[float, float] = (0.05, 1.5)
    lengths: tuple[float, float] = (0.0, 0.0)
    width: int = 1
    details: tuple[str, ...] = ("",)


CONFIGURATIONS = (
    "same",
    "timeouts",
    "attempts",
    "targets",
    "regions",
    "workspace-regions",
    "limits",
    "route-name",
    "route-away",
    "service",
    "split",
    "key-away",
    "engine",
)
ALL_SERIES = (
    Series("silence", 0.95, (0.5, 4.0), lengths=(0.5, 3.0), width=3, details=("", WITHIN, AT_END)),
    Series("silence", 0.3, (12.0, 40.0), 1, lengths=(FOR_GOOD_SECONDS,) * 2, details=("", WITHIN)),
    Series("sigterm", 0.7, (4.0, 12.0), 2, width=2),
    Series("sigterm-again", 0.7, (5.0, 12.0), 2, lengths=(0.05, 4.0)),
    Series("sighup", 0.7, (1.0, 6.0), width=3, details=("same", "changed", "fixed")),
    Series("sigkill", 0.35, (8.0, 20.0), 2),
    Series("stop", 0.5, (4.0, 12.0), 2, lengths=(0.2, 3.0), width=2),
    Series("configuration", 0.9, (1.0, 5.0), lengths=(0.5, 6.0), details=CONFIGURATIONS),
    Series("leave", 0.5, (4.0, 12.0), 2, lengths=(1.0, 5.0), details=("lapse", "draining")),
    Series("lapse", 0.4, (4.0, 12.0), 2, width=2),
    Series("errors", 0.6, (5.0, 15.0), 2, lengths=(1.0, 10.0), details=("0.5", "0.9", "1")),
    Series("move", 0.5, (2.0, 8.0), 4, (0.5, 3.0), lengths=(1.0, 10.0), width=2),
    Series(
        "store",
        0.4,
        (6.0, 15.0),
        1,
        lengths=(0.5, 5.0),
        details=("down", "silent", "reset", "limited"),
    ),
    Series("link", 0.9, (2.0, 8.0), 3, lengths=(0.3, 5.0), width=3, details=("bad", "cut")),
)
"""`leave` is a registration of a backend that ends, `lapse` the lease of an entry process, `errors`
are answers of all plain backends, a `move` brings all callers to some entry processes, and `store`
is a fault of the key-value store."""
ALL_AT_ONCE = (
    Series("kill-all", 0.35, (5.0, 9.0), 1),
    Series("sigterm-all", 0.35, (8.0, 16.0), 1),
    Series("still", 0.5, (2.0, 8.0), 2, (0.5, 3.0), (2.0, 9.0), 4, ("reports", "nothing")),
    Series(
        "failing",
        0.5,
        (3.0, 10.0),
        1,
        lengths=(3.0, 15.0),
        details=("500", "503", "reset", "head-reset"),
    ),
)
"""Series of their own seed, beside those above: ends of all entry processes, backends that stand
still, and answers of all backends that fail."""
STORE_AND_DARK = (
    Series("dark-end", 0.5, (2.0, 8.0), 2, (0.5, 3.0), lengths=(1.0, 4.5), width=4),
    Series("leases", 0.3, (5.0, 12.0), 1),
    Series("restore", 0.25, (8.0, 20.0), 1, lengths=(0.5, 5.0)),
)
"""Series of a third seed: engines that hang and are back under a new id, leases that the store
forgets, and a store that comes back from a copy."""
CROWDS = (
    Series(
        "crowd",
        0.5,
        (3.0, 10.0),
        2,
        lengths=(1.0, 6.0),
        details=tuple(item for item in HABITS if not item.startswith(PROXIED_HABITS)),
    ),
)
"""Series of a fourth seed: clients that do not behave, at one listener of an entry process."""
DEADLY_SHARE = 0.6
"""Share of the seeds with requests that crash the backends that run them."""
LINKED_SHARE = 0.4
"""Share of the seeds whose entry processes reach each other over links that can be bad."""
BURST_SHARE = 0.5
"""Share of the seeds that have bursts of whole answers."""
BURST_RATES = (50.0, 200.0)
"""Requests a second in a burst."""
BURST_SECONDS = (3.0, 20.0)
BURST_PAUSES = (5.0, 15.0)


@dataclass(frozen=True, slots=True)
class Trouble:
    """One planned trouble.

    Attributes:
      at: When it begins, in seconds since the traffic began.
      kind: Name of the action.
      targets: Numbers of the entry processes or backends, to be taken modulo how many there are.
      seconds: Its duration.
      detail: Its form.
      number: Seed of what the action itself draws.
    """

    at: float
    kind: str
    targets: tuple[int, ...]
    seconds: float
    detail: str
    number: int


@dataclass(frozen=True, slots=True)
class DrawnPlan:
    """All that is planned for one seed.

    Attributes:
      rates: Loads, and their requests a second.
      requests: Requests in their order.
      troubles: Troubles in their order.
      error_share: Share of the plain backends' answers that are 500.
      entries: Number of entry processes.
      has_links: Whether they reach each other over links that can be bad.
    """

    rates: tuple[tuple[Load, float], ...]
    requests: tuple[PlannedRequest, ...]
    troubles: tuple[Trouble, ...]
    error_share: float
    entries: int
    has_links: bool


def draw_plan(seed: int, seconds: float, entries: int | None, rate: float | None) -> DrawnPlan:
    """Return the plan of a seed.

    Args:
      seed: Seed of all that is drawn.
      seconds: Duration of the traffic.
      entries: Number of entry processes; drawn if None.
      rate: Streams a second; drawn from a third of what the engines carry to all of it if None.
    """
    rng = random.Random(f"{seed} plan")
    drawn_rate = rng.uniform(FULL_STREAM_RATE / 3, FULL_STREAM_RATE)
    rates = (
        (STREAMS, rate or drawn_rate),
        (LOOKS, rng.uniform(*PLAIN_RATES)),
        (BOOKINGS, rng.uniform(*PLAIN_RATES)),
    )
    error_share = rng.choice(ERROR_SHARES)
    drawn_entries = rng.choice(ENTRY_COUNTS)
    troubles = [trouble for series in ALL_SERIES for trouble in draw_series(rng, series, seconds)]
    more = random.Random(f"{seed} all at once")
    troubles += [
        trouble for series in ALL_AT_ONCE for trouble in draw_series(more, series, seconds)
    ]
    third = random.Random(f"{seed} store and dark")
    troubles += [
        trouble for series in STORE_AND_DARK for trouble in draw_series(third, series, seconds)
    ]
    fourth = random.Random(f"{seed} crowds")
    troubles += [trouble for series in CROWDS for trouble in draw_series(fourth, series, seconds)]
    deadly = draw_deadly(seed, LOADS, seconds) if more.random() < DEADLY_SHARE else ()
    troubles.sort(key=lambda item: item.at)
    rates_and_spans = [(load, rate, (0.0, seconds)) for load, rate in rates]
    requests = draw_requests(seed, [*rates_and_spans, *draw_bursts(seed, seconds)])
    requests = tuple(sorted((*requests, *deadly), key=lambda item: item.at))
    return DrawnPlan(
        rates,
        requests,
        tuple(troubles),
        error_share,
        entries or drawn_entries,
        random.Random(f"{seed} links").random() < LINKED_SHARE,
    )


def draw_bursts(seed: int, seconds: float) -> list[tuple[Load, float, tuple[float, float]]]:
    """Return the bursts of a seed: load, requests a second, and when it begins and ends."""
    rng = random.Random(f"{seed} bursts")
    bursts: list[tuple[Load, float, tuple[float, float]]] = []
    if rng.random() >= BURST_SHARE:
        return bursts
    at = rng.uniform(*BURST_PAUSES)
    while at < seconds:
        end = min(seconds, at + rng.uniform(*BURST_SECONDS))
        bursts.append((LOOKS, rng.uniform(*BURST_RATES), (at, end)))
        at = end + rng.uniform(*BURST_PAUSES)
    return bursts


def draw_series(rng: random.Random, series: Series, seconds: float) -> list[Trouble]:
    """Return the troubles of one series; none if the seed does not have it."""
    if rng.random() >= series.share:
        return []
    troubles = []
    at = rng.uniform(*series.pauses)
    while at < seconds:
        for _ in range(rng.randint(1, series.burst)):
            troubles.append(draw_trouble(rng, series, at))
            at += rng.uniform(*series.gaps)
        at += rng.uniform(*series.pauses)
    return [item for item in troubles if item.at < seconds]


def draw_trouble(rng: random.Random, series: Series, at: float) -> Trouble:
    """Return one trouble of a series."""
    width = rng.randint(1, series.width)
    return Trouble(
        at=at,
        kind=series.kind,
        targets=tuple(rng.randrange(TARGETS) for _ in range(width)),
        seconds=rng.uniform(*series.lengths),
        detail=rng.choice(series.details),
        number=rng.randrange(2**32),
    )
