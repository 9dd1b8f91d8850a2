"""make demo, second part: the daemon's direct mode on the stand-in of the users' platform."""

import asyncio
import sys
import time
from collections import Counter

import aiohttp
from rich.console import Console
from rich.table import Table

from standins.platform import CHUNK_BYTES, CHUNKS, PlatformStandIn, send_request
from standins.platform_backend import PlatformBackendStandIn
from verbenaward.logs import configure_logs

ENGINES = 4
ROUNDS = 60
"""Rounds of requests: a booking, a look-up and a stream in each."""
READY_TIMEOUT_SECONDS = 10.0
PAUSE_SECONDS = 0.05
MAXIMUM_ORIGIN_COPIES = 2.0
"""Each region fetches the model from the origin at most once."""
CONSOLE = Console()


async def main() -> int:
    """Run the demo and return the exit status."""
    configure_logs("critical")
    platform = PlatformStandIn()
    try:
        await start_platform(platform)
        return await run_demo(platform)
    finally:
        await platform.stop()


async def start_platform(platform: PlatformStandIn) -> None:
    """Start store, origin, backends, two entry processes and the endpoints of all engines."""
    await platform.start()
    for index in range(2):
        await platform.add_backend(f"plain-{index}", "plain")
    for index in range(ENGINES):
        zone = ("zone-a", "zone-b")[index % 2]
        backend = await platform.add_backend(f"engine-{index}", "engines", zone)
        backend.staging.chunks = dict(enumerate(platform.origin.versions[1]))
    platform.direct_settings["version_seconds"] = 6.0
    platform.write_configuration()
    for zone in ("zone-a", "zone-b"):
        await platform.add_entry(zone)
    for backend in engines(platform):
        await platform.add_endpoint(backend)
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while not all(role.is_ready() for role in platform.entries):
        if time.monotonic() > deadline:
            raise RuntimeError("the entry processes did not become ready")
        await asyncio.sleep(PAUSE_SECONDS)


def engines(platform: PlatformStandIn) -> list[PlatformBackendStandIn]:
    """Return the backends of the service `engines`."""
    return [item for item in platform.backends.values() if item.service == "engines"]


async def run_demo(platform: PlatformStandIn) -> int:
    """Order version 2 under load while one engine cuts off its streams, and print a table."""
    platform.origin.add_version(2, CHUNKS, CHUNK_BYTES)
    started = time.monotonic()
    platform.store.put("op/version/model", b'{"model_name": "model", "version": 2}')
    engines(platform)[0].mode = "truncated-event"
    loading = asyncio.create_task(wait_for_version(platform, 2, started))
    statuses, bookings = await send_requests(platform)
    seconds = await loading
    twice = sum(
        count > 1 for item in platform.backends.values() for count in bookings_of(item).values()
    )
    table = Table("on the users' platform", "")
    table.add_row("seconds to all engines", f"{seconds:.2f}")
    copies = sum(platform.origin.sent_counts.values()) / CHUNKS
    table.add_row("origin copies", f"{copies:.2f}")
    table.add_row("requests sent", str(sum(statuses.values())))
    table.add_row("requests answered", str(statuses[200]))
    table.add_row("bookings", str(bookings))
    table.add_row("bookings run twice", str(twice))
    CONSOLE.print(table)
    kept = not twice and statuses[200] == sum(statuses.values()) and copies <= MAXIMUM_ORIGIN_COPIES
    CONSOLE.print("all guarantees held" if kept else "a guarantee was violated")
    return 0 if kept else 1


def bookings_of(backend: PlatformBackendStandIn) -> Counter[str]:
    """Return how often a backend ran each booking, by idempotency key."""
    return Counter({key: n for key, n in backend.run_counts.items() if key.startswith("book")})


async def send_requests(platform: PlatformStandIn) -> tuple[Counter[int], int]:
    """Send requests of all kinds; return their status counts and the number of bookings."""
    statuses: Counter[int] = Counter()
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        for index in range(ROUNDS):
            front = platform.entries[index % 2].direct.front
            answers = await asyncio.gather(
                send_request(session, front, "/book/bed", f"book-{index}", body=b"bed"),
                send_request(session, front, "/look/bed", f"look-{index}"),
                send_request(session, front, f"/stream/{index}", f"stream-{index}"),
            )
            for status, _, _ in answers:
                statuses[status] += 1
            for backend in engines(platform):
                platform.register(backend)
            await asyncio.sleep(PAUSE_SECONDS)
    return statuses, ROUNDS


async def wait_for_version(platform: PlatformStandIn, version: int, started: float) -> float:
    """Wait until all engines hold a version; return the seconds since a start time."""
    while any(item.version != version for item in engines(platform)):
        if (
            time.monotonic() - started
            > READY_TIMEOUT_SECONDS + platform.direct_settings["version_seconds"]
        ):
            raise RuntimeError("not all engines loaded the version")
        await asyncio.sleep(PAUSE_SECONDS)
    return time.monotonic() - started


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
