"""Bench `hop`: processor time of a request and an event at an entry process that sends straight.

Everything runs in one process, so the figures are differences of its processor time: through
the entry process, through a bare aiohttp hop, and straight to the backend.
"""

import argparse
import asyncio
import contextlib
import time
from collections.abc import Sequence
from typing import Any

import aiohttp

from standins.users_backend import EVENTS
from standins.users_platform import UsersPlatform, ask, free_address
from verbenaward.logs import configure_logs

from . import hop
from .registry import BENCHES

MICRO = 1_000_000
READY_SECONDS = 5.0
AT_ONCE = 3
"""Fewer than the engine has places, so that nothing is refused."""
TURNS = 5
"""Rounds in which the three ways take turns, so that all meet the same machine."""


@BENCHES.register("hop")
async def run(arguments: Sequence[str]) -> dict[str, Any]:
    """Measure and return microseconds of a request and an event."""
    options = parse(arguments)
    configure_logs("critical")
    platform = UsersPlatform()
    await platform.start()
    plain = await platform.add_backend("plain", "plain")
    engine = await platform.add_backend("engine", "engines")
    platform.configure()
    entry = await platform.add_entry()
    hops: list[asyncio.Task[None]] = []
    addresses: dict[str, tuple[str, str]] = {
        "straight": (plain.address, engine.address),
        "entry": (entry.direct.front, entry.direct.front),
        "bare": (free_address(), free_address()),
    }
    for target, address in zip((plain, engine), addresses["bare"], strict=True):
        host, _, port = address.rpartition(":")
        hops.append(asyncio.create_task(hop.serve(host, int(port), f"http://{target.address}")))
    try:
        await wait_until_ready(entry.is_ready)
        return await measure(addresses, options.requests)
    finally:
        for task in hops:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await platform.stop()


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Return the options."""
    parser = argparse.ArgumentParser(prog="python -m bench hop")
    parser.add_argument("--requests", type=int, default=200, help="requests a way and round")
    return parser.parse_args(arguments)


async def wait_until_ready(is_ready: Any) -> None:
    """Wait until the entry process takes requests."""
    deadline = time.monotonic() + READY_SECONDS
    while not is_ready():
        if time.monotonic() > deadline:
            raise RuntimeError("the entry process did not become ready")
        await asyncio.sleep(0.05)


async def measure(addresses: dict[str, tuple[str, str]], requests: int) -> dict[str, Any]:
    """Return the costs over the straight way."""
    costs = {name: [0.0, 0.0] for name in addresses}
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        for turn in range(TURNS):
            for name, (plain, engine) in addresses.items():
                costs[name][0] += await cost(session, plain, "/book/x", requests, f"{name}{turn}")
                costs[name][1] += await cost(
                    session, engine, "/stream/x", requests, f"{name}{turn}"
                )
    total = TURNS * requests
    result: dict[str, Any] = {}
    for name, prefix in (("entry", ""), ("bare", "bare_")):
        request = (costs[name][0] - costs["straight"][0]) / total
        stream = (costs[name][1] - costs["straight"][1]) / total
        result[f"{prefix}request_us"] = round(request * MICRO, 1)
        result[f"{prefix}event_us"] = round((stream - request) / EVENTS * MICRO, 1)
    result["requests"] = total
    return result


async def cost(
    session: aiohttp.ClientSession, address: str, path: str, requests: int, name: str
) -> float:
    """Return the processor seconds of some requests, sent a few at a time."""
    started = time.process_time()
    for first in range(0, requests, AT_ONCE):
        answers = await asyncio.gather(
            *(ask(session, address, path, f"{name}-{path}-{first}-{i}") for i in range(AT_ONCE))
        )
        if any(status != 200 for status, _, _ in answers):
            raise RuntimeError(f"{address}{path}: {[status for status, _, _ in answers]}")
    return time.process_time() - started
