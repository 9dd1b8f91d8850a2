"""Benchmark `tokens`: CPU time per streamed token at entry, endpoint and a bare proxy."""

import argparse
import asyncio
import json
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp

from .bare_proxy_process import running_bare_proxy
from .cluster import Cluster, ClusterPlan, quantile, running_cluster
from .models import MODEL, make_version, manifest_of
from .operations import apply_or_fail, wait_until_routed, wait_until_served
from .process_usage import cpu_seconds
from .registry import BENCHES
from .requests import millis

TOKENS = 150
"""Tokens of a stream."""
ENGINES = 2
MICROSECONDS = 1_000_000


@BENCHES.register("tokens")
async def bench_tokens(arguments: Sequence[str]) -> dict[str, Any]:
    """Read many streams at once and divide the CPU time of the processes by the tokens."""
    parser = argparse.ArgumentParser(prog="python -m bench tokens")
    parser.add_argument("--streams", type=int, default=40)
    parser.add_argument("--token-ms", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="verbenaward-origin-") as name:
        origin = Path(name)
        version = make_version(origin, "v1", 65536, options.seed)
        plan = ClusterPlan(
            entries=1,
            engines=ENGINES,
            origin_folder=origin,
            engine={"slots": options.streams, "token_seconds": options.token_ms / 1000},
            endpoint={"concurrency": options.streams},
            log_level="warning",
        )
        async with running_cluster(plan) as cluster:
            await apply_or_fail(cluster, manifest_of(version))
            await wait_until_served(cluster, version.digest, cluster.engine_vms, 30)
            await wait_until_routed(cluster, version.digest, ENGINES, 30)
            return await measure(options, cluster)


async def measure(options: argparse.Namespace, cluster: Cluster) -> dict[str, Any]:
    """Measure the entry and endpoint processes, then the bare proxy with the same streams."""
    entry_pid = cluster.processes["entry-0"].process.pid
    endpoints = [cluster.processes[vm].process.pid for vm in cluster.engine_vms]
    before = cpu_seconds(entry_pid), sum(map(cpu_seconds, endpoints))
    entry = f"http://{cluster.address_of('entry-0')}/v1/chat/completions"
    started = time.monotonic()
    gaps = await stream_all(cluster.session, entry, options.streams)
    elapsed = time.monotonic() - started
    spent = cpu_seconds(entry_pid) - before[0], sum(map(cpu_seconds, endpoints)) - before[1]
    async with running_bare_proxy(cluster) as (proxy_pid, url):
        proxy_before = cpu_seconds(proxy_pid)
        await stream_all(cluster.session, url, options.streams)
        proxy_spent = cpu_seconds(proxy_pid) - proxy_before
    count = options.streams * TOKENS
    return {
        "streams": options.streams,
        "tokens_per_second": round(count / elapsed),
        "entry_us_per_token": round(spent[0] / count * MICROSECONDS, 1),
        "endpoint_us_per_token": round(spent[1] / count * MICROSECONDS, 1),
        "hop_us_per_token": round(proxy_spent / count * MICROSECONDS, 1),
        "engine_token_ms": options.token_ms,
        "between_tokens_p50_ms": millis(quantile(gaps, 0.5)),
        "between_tokens_p95_ms": millis(quantile(gaps, 0.95)),
        "seed": options.seed,
    }


async def stream_all(session: aiohttp.ClientSession, url: str, count: int) -> list[float]:
    """Read many streams at once and return the seconds between their tokens."""
    gaps: list[float] = []

    async def stream(index: int) -> None:
        message = {"role": "user", "content": f"stream {index}"}
        body = {"model": MODEL, "stream": True, "max_tokens": TOKENS, "messages": [message]}
        last = 0.0
        async with session.post(
            url, data=json.dumps(body), headers={"Content-Type": "application/json"}
        ) as response:
            async for line in response.content:
                if line.startswith(b"data: {"):
                    now = time.monotonic()
                    if last:
                        gaps.append(now - last)
                    last = now

    await asyncio.gather(*(stream(index) for index in range(count)))
    return gaps
