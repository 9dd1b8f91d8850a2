"""Benchmark `soak`: real processes on loopback under silences, restarts and errors."""

import argparse
import asyncio
import contextlib
import random
import tempfile
from collections.abc import AsyncIterator, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

from review.harness import ROOT

from .registry import BENCHES
from .soak_callers import Callers
from .soak_deployment import SoakDeployment, SoakPlan
from .soak_figures import deadly_figures, deadly_paths, summarize
from .soak_rows import DEADLY_LOADS, ROWS, Row
from .soak_traffic import PlannedRequest, draw_deadly, draw_requests
from .soak_troubles import TROUBLES

ZONES = 3
STREAM_RATE = 36.0
PLAIN_RATES = {3: 60.0}
"""Requests a second by the number of entry processes."""
LARGE_PLAIN_RATE = 90.0
PLAIN_BACKENDS = 6
ENGINES_PER_ZONE = 2
SETTLING_SECONDS = 2.0
LAG_POLL_SECONDS = 0.02


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Return the options of the benchmark."""
    rows = "\n".join(f"  {name:22} {row.description}" for name, row in ROWS.items())
    parser = argparse.ArgumentParser(
        prog="python -m bench soak",
        description=(
            "Run rows of the soak, one after the other: entry and endpoint processes, and\n"
            "stand-ins of backends and callers, on loopback. Without target/deps the daemons\n"
            "run with the interpreter of this process.\n\n"
            f"rows:\n{rows}"
        ),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("rows", nargs="+", metavar="ROW", help="names of rows, see above")
    parser.add_argument("--seed", type=int, default=1, help="of what is drawn (default 1)")
    add_common_options(parser)
    parser.add_argument(
        "--restart-seconds",
        type=number_between(0, 60),
        default=0.1,
        help="from the end of a process to its next start (default 0.1)",
    )
    options = parser.parse_args(arguments)
    unknown = [name for name in options.rows if name not in ROWS]
    if unknown:
        parser.error(f"unknown row {unknown[0]!r}; known: {', '.join(ROWS)}")
    return options


def add_common_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that the rows and the drawn soak have in common."""
    parser.add_argument(
        "--seconds", type=number_between(5, 3600), default=40.0, help="of traffic (default 40)"
    )
    parser.add_argument(
        "--rate",
        type=number_between(1, 500),
        help="requests a second, in a drawn soak streams a second; six engines carry 84 streams a"
        " second (default of rows: streams 36, others 60, 90 with more entry processes)",
    )
    parser.add_argument(
        "--entries",
        type=entry_count,
        default=3,
        help="entry processes: 3, 6, 9 ... (default 3, in a drawn soak drawn)",
    )
    parser.add_argument(
        "--engines-per-zone",
        type=int,
        choices=range(1, 41),
        metavar="N",
        help="engines in each zone (default of the row, 2 in a drawn soak)",
    )
    parser.add_argument(
        "--idle-routes",
        type=int,
        choices=range(0, 1001),
        default=0,
        metavar="N",
        help="routes of the configuration that no request uses (default 0)",
    )
    parser.add_argument(
        "--daemons",
        type=daemon_folder,
        default=ROOT,
        metavar="FOLDER",
        help="checkout whose code the daemons run (default: this one)",
    )
    parser.add_argument(
        "--keep-logs",
        type=folder_to_fill,
        metavar="FOLDER",
        help="keep record, settings and logs of each run in a folder of FOLDER",
    )
    parser.add_argument("--json", action="store_true", help="print one line of JSON")


def number_between(low: float, high: float) -> Any:
    """Return a function that reads a number in a range, for an option."""

    def number(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise argparse.ArgumentTypeError(f"{text} is not between {low:g} and {high:g}")
        return value

    return number


def entry_count(text: str) -> int:
    """Read a number of entry processes.

    Raises:
      ArgumentTypeError: The zones cannot have the same number each.
    """
    value = int(text)
    if not 0 < value <= 90 or value % ZONES:
        raise argparse.ArgumentTypeError(f"{text} is not one of 3, 6, 9 ... 90")
    return value


def daemon_folder(text: str) -> Path:
    """Read the folder of a checkout.

    Raises:
      ArgumentTypeError: It lacks the deploy file.
    """
    folder = Path(text).resolve()
    if not (folder / "deploy/system.toml").exists():
        raise argparse.ArgumentTypeError(f"{folder} has no deploy/system.toml")
    return folder


def folder_to_fill(text: str) -> Path:
    """Read the path of a folder that is made if there is none.

    Raises:
      ArgumentTypeError: Something else is there.
    """
    path = Path(text)
    if path.exists() and not path.is_dir():
        raise argparse.ArgumentTypeError(f"{path} is no folder")
    return path


@BENCHES.register("soak")
async def bench_soak(arguments: Sequence[str]) -> dict[str, Any]:
    """Run the rows named in the arguments."""
    options = parse(arguments)
    return {f"{name} seed {options.seed}": await run_row(name, options) for name in options.rows}


async def run_row(name: str, options: argparse.Namespace) -> dict[str, Any]:
    """Run one row and return its figures."""
    row = ROWS[name]
    is_stream = row.load.is_stream
    plan = SoakPlan(
        daemons=options.daemons,
        entries_per_zone=options.entries // ZONES,
        models_per_zone=options.engines_per_zone or row.engines_per_zone if is_stream else 0,
        plain=row.plain if is_stream else PLAIN_BACKENDS,
        error_share=row.error_share,
        restart_seconds=options.restart_seconds,
        seed=options.seed,
        idle_routes=options.idle_routes,
    )
    plain_rate = PLAIN_RATES.get(options.entries, LARGE_PLAIN_RATE)
    rate = options.rate or row.rate or (STREAM_RATE if is_stream else plain_rate)
    kept = options.keep_logs and options.keep_logs / f"{name}-{options.seed}"
    async with running(plan, kept) as deployment:
        figures = await play(deployment, row, rate, options)
    return {"rate": rate, "entries": options.entries, "seconds": options.seconds, **figures}


@contextlib.asynccontextmanager
async def running(plan: SoakPlan, kept: Path | None) -> AsyncIterator[SoakDeployment]:
    """Run a deployment; keep its record, settings and logs in a folder if one is given."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        deployment = SoakDeployment(plan, Path(folder))
        try:
            await deployment.start_plan()
            yield deployment
        finally:
            if kept is not None:
                deployment.keep_logs(kept)
                (kept / "record.txt").write_bytes((Path(folder) / "record.txt").read_bytes())
            await deployment.stop()


async def play(
    deployment: SoakDeployment, row: Row, rate: float, options: argparse.Namespace
) -> dict[str, Any]:
    """Send the traffic of a row beside its troubles and return the figures."""
    await asyncio.sleep(SETTLING_SECONDS)
    callers = Callers(deployment, options.seed)
    span = (row.span[0], min(row.span[1], options.seconds))
    requests = planned_requests(row, rate, span, options)
    lags: list[float] = []
    try:
        async with playing(deployment, row, options), polling_lag(lags):
            await callers.run(requests)
    finally:
        await callers.close()
    deadly = deadly_paths(requests)
    return {
        **summarize(deployment, row, callers, deadly),
        "deadly": deadly_figures(deployment, callers, deadly),
        "max_loop_lag_ms": round(1000 * max(lags)),
    }


def planned_requests(
    row: Row, rate: float, span: tuple[float, float], options: argparse.Namespace
) -> list[PlannedRequest]:
    """Return the requests of a row in their order, deadly ones included."""
    flows = ((row.load, rate, span), *((load, more, span) for load, more in row.more))
    requests = list(draw_requests(options.seed, flows))
    if row.has_own_bodies:
        requests = [
            replace(item, body=item.attempt.encode()) if item.load.is_stream else item
            for item in requests
        ]
    if row.is_deadly:
        requests += draw_deadly(options.seed, DEADLY_LOADS, options.seconds)
    return sorted(requests, key=lambda item: item.at)


@contextlib.asynccontextmanager
async def playing(
    deployment: SoakDeployment, row: Row, options: argparse.Namespace
) -> AsyncIterator[None]:
    """Disturb a deployment while the body runs; no trouble begins after the traffic has ended."""

    async def limited(name: str) -> None:
        trouble = TROUBLES.find(name)
        rng = random.Random(f"{options.seed} {name}")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(trouble(deployment, rng), options.seconds)

    tasks = [deployment.background(limited(name)) for name in row.troubles]
    try:
        yield
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def polling_lag(lags: list[float]) -> AsyncIterator[None]:
    """Collect how late a timer of this process fires: its own stalls are no silence of others."""

    async def poll() -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_POLL_SECONDS
            await asyncio.sleep(LAG_POLL_SECONDS)
            lags.append(loop.time() - due)

    task = asyncio.create_task(poll())
    try:
        yield
    finally:
        task.cancel()
