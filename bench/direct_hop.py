"""Benchmark `hop`: CPU time per request and per event of an entry process in direct mode.

Callers, entry process and backends share one process. Its CPU time is measured on three paths:
through the entry process, through a bare aiohttp proxy, and directly to the backend. The results
are the extra cost of the first two over the last.
"""

import argparse
import asyncio
import contextlib
import time
from collections.abc import Sequence
from typing import Any

import aiohttp

from standins.platform import PlatformStandIn, free_address, send_request
from standins.platform_backend import STREAM_EVENTS
from verbenaward.logs import configure_logs

from . import bare_proxy
from .registry import BENCHES

MICRO = 1_000_000
READY_TIMEOUT_SECONDS = 5.0
CONCURRENCY = 3
"""Fewer requests than the engine has slots, so that none is refused."""
ROUNDS = 5
"""The paths alternate in rounds, so that changes of the machine's load affect all alike."""


@BENCHES.register("hop")
async def run(arguments: Sequence[str]) -> dict[str, Any]:
    """Return the extra CPU time per request and per event, in microseconds."""
    options = parse(arguments)
    configure_logs("critical")
    platform = PlatformStandIn()
    await platform.start()
    plain = await platform.add_backend("plain", "plain")
    engine = await platform.add_backend("engine", "engines")
    platform.write_configuration()
    entry = await platform.add_entry()
    proxies: list[asyncio.Task[None]] = []
    addresses: dict[str, tuple[str, str]] = {
        "direct": (plain.address, engine.address),
        "entry": (entry.direct.front, entry.direct.front),
        "bare": (free_address(), free_address()),
    }
    for target, address in zip((plain, engine), addresses["bare"], strict=True):
        host, _, port = address.rpartition(":")
        proxies.append(
            asyncio.create_task(bare_proxy.serve(host, int(port), f"http://{target.address}"))
        )
    try:
        await wait_until_ready(entry.is_ready)
        return await measure(addresses, options.requests)
    finally:
        for task in proxies:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await platform.stop()


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Return the options of the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench hop")
    parser.add_argument("--requests", type=int, default=200, help="requests per path and round")
    return parser.parse_args(arguments)


async def wait_until_ready(is_ready: Any) -> None:
    """Wait until the entry process accepts requests."""
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while not is_ready():
        if time.monotonic() > deadline:
            raise RuntimeError("the entry process did not become ready")
        await asyncio.sleep(0.05)


async def measure(addresses: dict[str, tuple[str, str]], requests: int) -> dict[str, Any]:
    """Return the extra costs of the entry process and the bare proxy over the direct path."""
    costs = {name: [0.0, 0.0] for name in addresses}
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        for round_index in range(ROUNDS):
            for name, (plain, engine) in addresses.items():
                costs[name][0] += await cpu_cost(
                    session, plain, "/book/x", requests, f"{name}{round_index}"
                )
                costs[name][1] += await cpu_cost(
                    session, engine, "/stream/x", requests, f"{name}{round_index}"
                )
    total = ROUNDS * requests
    result: dict[str, Any] = {}
    for name, prefix in (("entry", ""), ("bare", "bare_")):
        request = (costs[name][0] - costs["direct"][0]) / total
        stream = (costs[name][1] - costs["direct"][1]) / total
        result[f"{prefix}request_us"] = round(request * MICRO, 1)
        result[f"{prefix}event_us"] = round((stream - request) / STREAM_EVENTS * MICRO, 1)
    result["requests"] = total
    return result


async def cpu_cost(
    session: aiohttp.ClientSession, address: str, path: str, requests: int, name: str
) -> float:
    """Return the CPU seconds of a number of requests, rounded up to full groups of CONCURRENCY."""
    started = time.process_time()
    for first in range(0, requests, CONCURRENCY):
        answers = await asyncio.gather(
            *(
                send_request(session, address, path, f"{name}-{path}-{first}-{i}")
                for i in range(CONCURRENCY)
            )
        )
        if any(status != 200 for status, _, _ in answers):
            raise RuntimeError(f"{address}{path}: {[status for status, _, _ in answers]}")
    return time.process_time() - started
